"""Log lines of key=value pairs, one line for each event."""

from __future__ import annotations

import collections
import datetime
import json
import logging
import os
import re
import select
import sys
import typing

from pythonjsonlogger import core

from banyantrack.core import errors

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes as settings

# Lines of one event in a second; further ones are counted only.
LINES_PER_S = 200
# Lines that wait for a reader that is slow; further ones are dropped.
BUFFER_BYTES = 256 * 1024
_PLAIN = re.compile(r'[A-Za-z0-9_./:+-]+')
_PAIR = re.compile(
    r'(?P<key>[A-Za-z0-9_.-]+)=(?P<value>"(?:[^"\\]|\\.)*"|[^\s"=]+)(?: |$)'
)
_VALUES = 'event_values'
_COMMON_KEYS = frozenset(('time', 'level', 'logger', 'event'))
_KEY_CHARACTERS = re.compile(r'[^A-Za-z0-9_.-]')


class LineError(errors.BanyanError, ValueError):
    """A line is not made of key=value pairs."""


def render_value(value: object) -> str:
    """Returns a value as it stands in a line, quoted where needed."""
    text = value if isinstance(value, str) else _text(value)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


def _text(value: object) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, float):
        return f'{value:.6g}'
    return str(value)


def render_pairs(pairs: typing.Mapping[str, object]) -> str:
    """Returns one line of key=value pairs."""
    return ' '.join(
        f'{_KEY_CHARACTERS.sub("_", key)}={render_value(value)}'
        for key, value in pairs.items()
    )


def parse_line(line: str) -> dict[str, str]:
    """Returns the pairs of one line.

    Args:
        line: A line that `render_pairs` made.

    Raises:
        LineError: If the line is cut or made of anything else.
    """
    pairs = {}
    position = 0
    line = line.rstrip('\n')
    while position < len(line):
        match = _PAIR.match(line, position)
        if match is None:
            raise LineError(f'column {position + 1}: no key=value pair')
        value = match['value']
        if value.startswith('"'):
            value = json.loads(value, strict=False)
        pairs[match['key']] = value
        position = match.end()
    return pairs


class PairFormatter(core.BaseJsonFormatter):
    """Renders each event as one line of key=value pairs."""

    def __init__(self) -> None:
        super().__init__()
        self._second = -1
        self._stamp = ''

    def format(self, record: logging.LogRecord) -> str:
        """Renders a record.

        The base class collects and copies more than a line needs, which
        costs an entry a tenth of its processor time.
        """
        pairs: dict[str, object] = {
            'time': self._time(record.created),
            'level': record.levelname,
            'logger': record.name,
            'event': record.getMessage(),
        }
        values = getattr(record, _VALUES, None) or {}
        for key, value in values.items():
            if value is not None:
                # Values must not hide what every line has.
                pairs[f'{key}_' if key in _COMMON_KEYS else key] = value
        if record.exc_info:
            pairs['exception'] = self.formatException(record.exc_info)
        return self.jsonify_log_record(pairs)

    def jsonify_log_record(self, log_data: dict[str, object]) -> str:
        """Renders pairs; the name is given by the base class."""
        return render_pairs(log_data)

    def _time(self, created_s: float) -> str:
        second = int(created_s)
        if second != self._second:
            moment = datetime.datetime.fromtimestamp(
                second, datetime.timezone.utc
            )
            self._second = second
            self._stamp = moment.strftime('%Y-%m-%dT%H:%M:%S')
        return f'{self._stamp}.{int((created_s - second) * 1000):03d}+00:00'


def event(
    logger: logging.Logger,
    name: str,
    /,
    *,
    level: int = logging.INFO,
    **values: object,
) -> None:
    """Writes one event.

    Args:
        logger: The module's logger.
        name: Name of the event.
        level: Severity, as in `logging`.
        **values: Values of the event.
    """
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={_VALUES: values})


class Budget:
    """Bounds the lines of each event in each second.

    What is worse than information has a bound of its own, so that a flood of
    successes never hides a failure.
    """

    def __init__(self) -> None:
        self._second = 0
        self._written: dict[tuple[bool, str], int] = {}
        self._left_out: dict[str, int] = {}

    def admit(self, name: str, level: int, now_s: float) -> bool:
        """Whether a line may be written now.

        Args:
            name: Name of the event.
            level: Its severity.
            now_s: Time in seconds.
        """
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written.clear()
        key = (level > logging.INFO, name)
        count = self._written.get(key, 0)
        if count >= LINES_PER_S:
            self._left_out[name] = self._left_out.get(name, 0) + 1
            return False
        self._written[key] = count + 1
        return True

    def take_left_out(self, now_s: float) -> dict[str, int]:
        """Returns what was left out in seconds that are over, by event."""
        if int(now_s) == self._second or not self._left_out:
            return {}
        left_out, self._left_out = self._left_out, {}
        return left_out


class OutputHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Args:
        descriptor: Where to write.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._dropped = 0
        self._budget = Budget()

    @property
    def dropped(self) -> int:
        """Lines that were dropped because nobody read them."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or keeps it until there is room."""
        try:
            now_s = record.created
            left_out = self._budget.take_left_out(now_s)
            for name, count in left_out.items():
                self._add_event('lines_left_out', of=name, lines=count)
            if self._budget.admit(record.getMessage(), record.levelno, now_s):
                self._add(self.format(record))
            self.flush()
        except Exception:
            self.handleError(record)

    def flush(self) -> None:
        """Writes what can be written now."""
        while self._lines and self._writable():
            line = self._lines.popleft()
            # A pipe that is writable takes this much without waiting.
            written = os.write(self._descriptor, line[: select.PIPE_BUF])
            self._size -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
            elif self._dropped and not self._lines:
                dropped, self._dropped = self._dropped, 0
                self._add_event('lines_dropped', lines=dropped)

    def _writable(self) -> bool:
        return any(state & select.POLLOUT for _, state in self._poll.poll(0))

    def _add(self, line: str) -> None:
        data = line.encode('utf-8', 'backslashreplace') + b'\n'
        if self._size + len(data) > BUFFER_BYTES:
            self._dropped += 1
            return
        self._lines.append(data)
        self._size += len(data)

    def _add_event(self, name: str, **values: object) -> None:
        record = logging.LogRecord(
            __name__, logging.WARNING, '', 0, name, None, None
        )
        setattr(record, _VALUES, values)
        self._add(self.format(record))


def configure(settings: settings.LoggingSettings) -> None:
    """Sets up the root logger.

    Args:
        settings: Checked settings.

    Raises:
        OSError: If the log file cannot be opened.
    """
    if settings.file:
        handler = logging.FileHandler(settings.file, encoding='utf-8')
    else:
        handler = OutputHandler(sys.stdout.fileno())
    handler.setFormatter(PairFormatter())
    # What no line shows need not be collected for each.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
