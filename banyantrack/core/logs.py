"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import collections
import datetime
import json
import logging
import os
import re
import select
import sys
import traceback
import typing

from pythonjsonlogger import core

from banyantrack.core import errors

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes as settings

# Per event, with a separate limit for levels above INFO; further lines are
# only counted.
MAX_LINES_PER_S = 200
# Lines buffered while the reader is slow; further ones are dropped.
MAX_BUFFER_BYTES = 256 * 1024
# Most characters of an unexpected error in its line.
ERROR_LENGTH = 300
_UNQUOTED = re.compile(r'[A-Za-z0-9_./:+-]+')
_PAIR = re.compile(
    r'(?P<key>[A-Za-z0-9_.-]+)=(?P<value>"(?:[^"\\]|\\.)*"|[^\s"=]+)(?: |$)'
)
_VALUES_ATTRIBUTE = 'event_values'
_COMMON_KEYS = frozenset(('time', 'level', 'logger', 'event'))
_INVALID_KEY_CHARACTERS = re.compile(r'[^A-Za-z0-9_.-]')


class LineError(errors.BanyanError, ValueError):
    """A line does not consist of key=value pairs."""


def render_value(value: object) -> str:
    """Returns the text of a value in a line, quoted if necessary."""
    text = value if isinstance(value, str) else _format_value(value)
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, float):
        return f'{value:.6g}'
    return str(value)


def render_pairs(pairs: typing.Mapping[str, object]) -> str:
    """Returns one line of key=value pairs."""
    return ' '.join(
        f'{_INVALID_KEY_CHARACTERS.sub("_", key)}={render_value(value)}'
        for key, value in pairs.items()
    )


def parse_line(line: str) -> dict[str, str]:
    """Returns the pairs of one line.

    Args:
        line: A line in the format of `render_pairs`.

    Raises:
        LineError: If the line is truncated or has another format.
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
        self._cached_second = -1
        self._cached_time = ''

    def format(self, record: logging.LogRecord) -> str:
        """Renders a record.

        The method of the base class collects and copies more than a line
        needs, which takes a tenth of an entry's CPU time.
        """
        pairs: dict[str, object] = {
            'time': self._format_time(record.created),
            'level': record.levelname,
            'logger': record.name,
            'event': record.getMessage(),
        }
        values = getattr(record, _VALUES_ATTRIBUTE, None) or {}
        for key, value in values.items():
            if value is not None:
                # A value must not replace a key that every line has.
                pairs[f'{key}_' if key in _COMMON_KEYS else key] = value
        if record.exc_info:
            pairs['exception'] = self.formatException(record.exc_info)
        return self.jsonify_log_record(pairs)

    def jsonify_log_record(self, log_data: dict[str, object]) -> str:
        """Renders pairs; overrides the method of the base class."""
        return render_pairs(log_data)

    def _format_time(self, created_s: float) -> str:
        second = int(created_s)
        if second != self._cached_second:
            moment = datetime.datetime.fromtimestamp(
                second, datetime.timezone.utc
            )
            self._cached_second = second
            self._cached_time = moment.strftime('%Y-%m-%dT%H:%M:%S')
        return (
            f'{self._cached_time}.{int((created_s - second) * 1000):03d}+00:00'
        )


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
        **values: Pairs of the line; those with value None are omitted.
    """
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={_VALUES_ATTRIBUTE: values})


def unexpected_error(
    logger: logging.Logger, name: str, error: Exception, /, **values: object
) -> None:
    """Writes one event about an error that no code handles.

    Args:
        logger: The module's logger.
        name: Name of the event.
        error: The error; its type and the place that raised it are written.
        **values: Further pairs of the line.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else None
    event(
        logger,
        name,
        level=logging.ERROR,
        error=repr(error)[:ERROR_LENGTH],
        place=place,
        **values,
    )


class LineLimiter:
    """Limits the lines of each event in each second.

    Levels above INFO have a separate limit, so that many lines about successes
    never suppress one about a failure.
    """

    def __init__(self) -> None:
        self._second = 0
        self._written: dict[tuple[bool, str], int] = {}
        self._suppressed: dict[str, int] = {}

    def admit(self, name: str, level: int, now_s: float) -> bool:
        """Whether a line may be written now.

        Args:
            name: Name of the event.
            level: Severity, as in `logging`.
            now_s: Time in seconds; a new second resets the limits.
        """
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written.clear()
        key = (level > logging.INFO, name)
        count = self._written.get(key, 0)
        if count >= MAX_LINES_PER_S:
            self._suppressed[name] = self._suppressed.get(name, 0) + 1
            return False
        self._written[key] = count + 1
        return True

    def pop_suppressed(self, now_s: float) -> dict[str, int]:
        """Returns and resets the suppressed lines by event.

        Empty until the second in which lines were suppressed is over.
        """
        if int(now_s) == self._second or not self._suppressed:
            return {}
        suppressed, self._suppressed = self._suppressed, {}
        return suppressed


class OutputHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Args:
        descriptor: The file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._limiter = LineLimiter()

    @property
    def dropped(self) -> int:
        """Lines dropped since the last `lines_dropped` event."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or buffers it until it can be written."""
        try:
            now_s = record.created
            suppressed = self._limiter.pop_suppressed(now_s)
            for name, count in suppressed.items():
                self._buffer_event('lines_left_out', of=name, lines=count)
            if self._limiter.admit(record.getMessage(), record.levelno, now_s):
                self._buffer_line(self.format(record))
            self.flush()
        except Exception:
            self.handleError(record)

    def flush(self) -> None:
        """Writes as many buffered lines as possible without blocking."""
        while self._lines and self._is_writable():
            line = self._lines.popleft()
            # A writable pipe accepts this many bytes without blocking.
            written = os.write(self._descriptor, line[: select.PIPE_BUF])
            self._buffered_bytes -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
            elif self._dropped and not self._lines:
                dropped, self._dropped = self._dropped, 0
                self._buffer_event('lines_dropped', lines=dropped)

    def _is_writable(self) -> bool:
        return any(state & select.POLLOUT for _, state in self._poll.poll(0))

    def _buffer_line(self, line: str) -> None:
        data = line.encode('utf-8', 'backslashreplace') + b'\n'
        if self._buffered_bytes + len(data) > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)

    def _buffer_event(self, name: str, **values: object) -> None:
        record = logging.LogRecord(
            __name__, logging.WARNING, '', 0, name, None, None
        )
        setattr(record, _VALUES_ATTRIBUTE, values)
        self._buffer_line(self.format(record))


def configure(settings: settings.LoggingSettings) -> None:
    """Configures the root logger.

    Args:
        settings: Validated settings.

    Raises:
        OSError: If the log file cannot be opened.
    """
    if settings.file:
        handler = logging.FileHandler(settings.file, encoding='utf-8')
    else:
        handler = OutputHandler(sys.stdout.fileno())
    handler.setFormatter(PairFormatter())
    # No line contains these attributes, so records need not collect them.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
