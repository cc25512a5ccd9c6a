"""Reads request events from logs that may be rotated, cut or missing."""

from __future__ import annotations

import dataclasses
import datetime
import gzip
import pathlib
import typing

from banyantrack.core import logs

if typing.TYPE_CHECKING:
    import collections.abc

# Between two lines of a log, a longer silence is stated as a gap.
GAP_S = 60.0
REQUEST_EVENT = 'request'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEvent:
    """One request as an entry logged it.

    Attributes:
        at: Seconds since 1970.
        route: Its route.
        customer: Whose it was.
        outcome: `done`, `not-run` or `unknown`.
        cause: Why it was refused, or empty.
        late: Whether it was answered after its deadline.
        duration_ms: How long it took.
    """

    at: float
    route: str
    customer: str
    outcome: str
    cause: str
    late: bool
    duration_ms: float


@dataclasses.dataclass(slots=True)
class Reading:
    """What was read.

    Attributes:
        events: Requests in order of time.
        gaps: What is missing or could not be read.
        lines: Lines that were read.
    """

    events: list[RequestEvent]
    gaps: list[str]
    lines: int = 0


def read(paths: collections.abc.Iterable[pathlib.Path]) -> Reading:
    """Reads logs with their rotated parts.

    Args:
        paths: Current logs; `name.1`, `name.2.gz` and so on are read too.
    """
    reading = Reading([], [])
    for path in paths:
        parts = _parts(path)
        if not parts:
            reading.gaps.append(f'{path}: missing')
        last_at = 0.0
        for part in parts:
            last_at = _read_part(part, reading, last_at)
    reading.events.sort(key=lambda event: event.at)
    return reading


def _parts(path: pathlib.Path) -> list[pathlib.Path]:
    """Returns rotated parts, oldest first, then the current log."""
    rotated = [
        other
        for other in path.parent.glob(path.name + '.*')
        if other.name.removeprefix(path.name + '.').split('.')[0].isdigit()
    ]
    rotated.sort(
        key=lambda other: (
            -int(other.name.removeprefix(path.name + '.').split('.')[0])
        )
    )
    return rotated + ([path] if path.exists() else [])


def _read_part(path: pathlib.Path, reading: Reading, last_at: float) -> float:
    """Reads one file; returns the time of its last line."""
    opener = gzip.open if path.suffix == '.gz' else open
    unreadable = 0
    try:
        with opener(path, 'rt', encoding='utf-8', errors='replace') as file:
            for line in file:
                reading.lines += 1
                if not line.endswith('\n'):
                    # A cut value may look like a whole one.
                    unreadable += 1
                    continue
                try:
                    pairs = logs.parse_line(line)
                    at = datetime.datetime.fromisoformat(
                        pairs['time']
                    ).timestamp()
                except (ValueError, KeyError):
                    unreadable += 1
                    continue
                if last_at and at - last_at > GAP_S:
                    reading.gaps.append(
                        f'{path}: nothing for {at - last_at:.0f} s'
                        f' before {pairs["time"]}'
                    )
                last_at = at
                if pairs.get('event') == REQUEST_EVENT:
                    reading.events.append(_event(at, pairs))
    except (OSError, EOFError) as error:
        reading.gaps.append(f'{path}: cut: {error}')
    if unreadable:
        reading.gaps.append(f'{path}: {unreadable} lines are not readable')
    return last_at


def _event(at: float, pairs: dict[str, str]) -> RequestEvent:
    try:
        duration_ms = float(pairs.get('duration_ms', '0'))
    except ValueError:
        duration_ms = 0.0
    return RequestEvent(
        at=at,
        route=pairs.get('route', ''),
        customer=pairs.get('customer', ''),
        outcome=pairs.get('outcome', ''),
        cause=pairs.get('cause', ''),
        late=pairs.get('late') == 'true',
        duration_ms=duration_ms,
    )
