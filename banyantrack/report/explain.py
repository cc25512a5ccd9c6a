"""Collects the log lines of one request or job from several processes.

Lines are selected if a value contains the id. For the id of a request, lines
about the job in its path are selected too. Lines about the workers of these
runs and about leaders are added for the same span of time.
"""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import re
import typing

from banyantrack.core import logs

if typing.TYPE_CHECKING:
    import collections.abc

# Events after which a request or job fails or is delayed.
FAILURE_EVENTS = frozenset(
    (
        'run_refused',
        'run_never_began',
        'start_unanswered',
        'job_refused',
        'config_refused',
        'worker_silent',
        'crash_suspected',
        'worker_lapsed',
        'work_unconfirmed',
    )
)
# Ends of runs, as in the key `kind`, that are failures.
FAILURE_KINDS = frozenset(('failed', 'lost', 'lapsed', 'broken', 'alone'))
# Time without lines of a process that counts as a gap in its log.
GAP_S = 30.0
_LINE_START = re.compile(r'time=\d{4}-')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes:
        source: Name of the file, and of the process if a collector wrote it.
        pairs: The key=value pairs.
    """

    source: str
    pairs: dict[str, str]

    @property
    def time(self) -> str:
        """Time at which the line was written, in ISO 8601; may be empty."""
        return self.pairs.get('time', '')

    @property
    def started(self) -> str:
        """Start of the logged operation, in ISO 8601."""
        took_ms = self.pairs.get('took_ms')
        if took_ms is None:
            return self.time
        ended = datetime.datetime.fromisoformat(self.time)
        started = ended - datetime.timedelta(milliseconds=float(took_ms))
        return started.isoformat(timespec='milliseconds')

    @property
    def is_failure(self) -> bool:
        """Whether the line reports a failure."""
        event = self.pairs.get('event')
        return (
            event in FAILURE_EVENTS
            or (event == 'worker_lost' and self.pairs.get('cause') != 'left')
            or self.pairs.get('kind') in FAILURE_KINDS
            or self.pairs.get('verdict')
            in ('NO_CONFIG', 'NOT_ACCEPTED', 'INVALID', 'BAD_KEY')
            or self.pairs.get('not_taken') == 'true'
        )

    def mentions(self, wanted: str) -> bool:
        """Whether any value contains an id."""
        return any(wanted in value for value in self.pairs.values())


@dataclasses.dataclass(slots=True)
class Timeline:
    """Log lines about an id.

    Attributes:
        lines: Lines in order of time.
        gaps: Descriptions of what is missing or unreadable.
    """

    lines: list[Line]
    gaps: list[str]

    @property
    def first_failure(self) -> Line | None:
        """The first line that reports a failure, or None."""
        return next((line for line in self.lines if line.is_failure), None)


def read_lines(
    path: pathlib.Path, gaps: list[str]
) -> collections.abc.Iterator[Line]:
    """Yields the lines of a log.

    Args:
        path: The log file.
        gaps: Receives descriptions of what is missing or unreadable.
    """
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        gaps.append(f'{path}: cannot be read: {error}')
        return
    for number, raw in enumerate(text.splitlines(), 1):
        match = _LINE_START.search(raw)
        if match is None:
            continue
        # A collector may prepend its own time and the name of the process.
        before = raw[: match.start()].split()
        source = f'{path.name} {before[-1]}' if before else path.name
        try:
            pairs = logs.parse_line(raw[match.start() :])
        except logs.LineError as error:
            gaps.append(f'{path}:{number}: cut line: {error}')
            continue
        if pairs.get('event') in ('lines_left_out', 'lines_dropped'):
            gaps.append(f'{path}:{number}: {pairs.get("lines")} lines missing')
        yield Line(source, pairs)


def explain(
    wanted: str, paths: collections.abc.Iterable[pathlib.Path]
) -> Timeline:
    """Collects the log lines about an id and what it depends on.

    Args:
        wanted: Id of a request or a job.
        paths: Log files.
    """
    gaps: list[str] = []
    all_lines = [line for path in paths for line in read_lines(path, gaps)]
    ids = {wanted}
    for line in all_lines:
        path = line.pairs.get('path', '')
        request = line.pairs.get('request')
        if request == wanted and path:
            ids.add(path.rpartition('/')[2] or path)
    chosen = [
        line
        for line in all_lines
        if any(line.mentions(related_id) for related_id in ids)
    ]
    chosen += _about_workers_and_leaders(chosen, all_lines)
    chosen.sort(key=lambda line: line.time)
    return Timeline(chosen, gaps)


def _about_workers_and_leaders(
    chosen: list[Line], all_lines: list[Line]
) -> list[Line]:
    """Returns lines about workers and leaders in the time of chosen lines.

    Args:
        chosen: Lines about the id.
        all_lines: All lines.
    """
    if not chosen:
        return []
    first = min(line.started for line in chosen)
    last = max(line.time for line in chosen)
    workers = {line.pairs.get('worker') for line in chosen} - {None}
    return [
        line
        for line in all_lines
        if first <= line.time <= last
        and line not in chosen
        and (
            (line.pairs.get('worker') in workers and 'task' not in line.pairs)
            or line.pairs.get('event')
            in ('leader_elected', 'quorum_lost', 'leader_stepped_down')
        )
    ]


def render(wanted: str, timeline: Timeline) -> str:
    """Returns a timeline as text, with failures marked by `!`."""
    out = []
    for line in timeline.lines:
        pairs = {
            key: value
            for key, value in line.pairs.items()
            if key not in ('time', 'level', 'logger')
        }
        mark = '!' if line.is_failure else ' '
        out.append(
            f'{mark} {line.time} {line.source}: {logs.render_pairs(pairs)}'
        )
    if not timeline.lines:
        out.append(f'no line names {wanted!r}')
    first = timeline.first_failure
    if first is not None:
        out.append(
            f'first that went wrong: {first.time} {first.source}:'
            f' {first.pairs.get("event")}'
            f' {first.pairs.get("reason") or first.pairs.get("kind") or ""}'
        )
    out.extend(f'gap: {gap}' for gap in timeline.gaps)
    return '\n'.join(out)
