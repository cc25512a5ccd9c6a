"""The story of one request or job, from the logs of several processes.

Lines are found by the id itself, and by the ids that they name beside it:
a job's lines name the requests that asked for it, its runs name workers.
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

# Events of a story after which it cannot end as the caller wished, or later.
WRONG = frozenset(
    (
        'run_refused',
        'run_never_began',
        'start_unanswered',
        'job_refused',
        'config_refused',
        'worker_silent',
        'worker_lapsed',
        'work_unconfirmed',
    )
)
WRONG_KINDS = frozenset(('failed', 'lost', 'lapsed', 'broken', 'alone'))
# Silence of a process that is told as a gap in its log.
GAP_S = 30.0
_START = re.compile(r'time=\d{4}-')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes:
        source: File, and the process where the file names several.
        pairs: Its pairs.
    """

    source: str
    pairs: dict[str, str]

    @property
    def time(self) -> str:
        """When it was written."""
        return self.pairs.get('time', '')

    @property
    def began(self) -> str:
        """When what it tells of began."""
        took_ms = self.pairs.get('took_ms')
        if took_ms is None:
            return self.time
        ended = datetime.datetime.fromisoformat(self.time)
        began = ended - datetime.timedelta(milliseconds=float(took_ms))
        return began.isoformat(timespec='milliseconds')

    @property
    def wrong(self) -> bool:
        """Whether it tells of something that went wrong."""
        return (
            self.pairs.get('event') in WRONG
            or self.pairs.get('kind') in WRONG_KINDS
            or self.pairs.get('verdict')
            in ('NO_CONFIG', 'NOT_ACCEPTED', 'INVALID', 'BAD_KEY')
            or self.pairs.get('not_taken') == 'true'
        )

    def names(self, wanted: str) -> bool:
        """Whether any value names an id."""
        return any(wanted in value for value in self.pairs.values())


@dataclasses.dataclass(slots=True)
class Story:
    """What logs tell of an id.

    Attributes:
        lines: Its lines in order of time.
        gaps: What could not be read.
    """

    lines: list[Line]
    gaps: list[str]

    @property
    def first_wrong(self) -> Line | None:
        """The first line that tells of something that went wrong."""
        return next((line for line in self.lines if line.wrong), None)


def read_lines(
    path: pathlib.Path, gaps: list[str]
) -> collections.abc.Iterator[Line]:
    """Yields the lines of a log; what cannot be read is told as a gap."""
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        gaps.append(f'{path}: cannot be read: {error}')
        return
    for number, raw in enumerate(text.splitlines(), 1):
        found = _START.search(raw)
        if found is None:
            continue
        # A collector may put its own time and the process before the line.
        before = raw[: found.start()].split()
        source = f'{path.name} {before[-1]}' if before else path.name
        try:
            pairs = logs.parse_line(raw[found.start() :])
        except logs.LineError as error:
            gaps.append(f'{path}:{number}: cut line: {error}')
            continue
        if pairs.get('event') in ('lines_left_out', 'lines_dropped'):
            gaps.append(f'{path}:{number}: {pairs.get("lines")} lines missing')
        yield Line(source, pairs)


def explain(
    wanted: str, paths: collections.abc.Iterable[pathlib.Path]
) -> Story:
    """Collects the story of an id.

    Args:
        wanted: Id of a request or a job.
        paths: Log files.
    """
    gaps: list[str] = []
    everything = [line for path in paths for line in read_lines(path, gaps)]
    ids = {wanted}
    for line in everything:
        path = line.pairs.get('path', '')
        request = line.pairs.get('request')
        if request == wanted and path:
            ids.add(path.rpartition('/')[2] or path)
    chosen = [
        line for line in everything if any(line.names(known) for known in ids)
    ]
    chosen += _about_workers(chosen, everything)
    chosen.sort(key=lambda line: line.time)
    return Story(chosen, gaps)


def _about_workers(chosen: list[Line], everything: list[Line]) -> list[Line]:
    """Returns what happened to workers and leaders during a story."""
    if not chosen:
        return []
    first = min(line.began for line in chosen)
    last = max(line.time for line in chosen)
    workers = {line.pairs.get('worker') for line in chosen} - {None}
    return [
        line
        for line in everything
        if first <= line.time <= last
        and line not in chosen
        and (
            (line.pairs.get('worker') in workers and 'task' not in line.pairs)
            or line.pairs.get('event')
            in ('leader_elected', 'quorum_lost', 'leader_stepped_down')
        )
    ]


def render(wanted: str, story: Story) -> str:
    """Returns a story as text."""
    out = []
    for line in story.lines:
        pairs = {
            key: value
            for key, value in line.pairs.items()
            if key not in ('time', 'level', 'logger')
        }
        mark = '!' if line.wrong else ' '
        out.append(
            f'{mark} {line.time} {line.source}: {logs.render_pairs(pairs)}'
        )
    if not story.lines:
        out.append(f'no line names {wanted!r}')
    wrong = story.first_wrong
    if wrong is not None:
        out.append(
            f'first that went wrong: {wrong.time} {wrong.source}:'
            f' {wrong.pairs.get("event")}'
            f' {wrong.pairs.get("reason") or wrong.pairs.get("kind") or ""}'
        )
    out.extend(f'gap: {gap}' for gap in story.gaps)
    return '\n'.join(out)
