"""Reads request events from logs that may be rotated, truncated or missing."""

from __future__ import annotations

import dataclasses
import datetime
import gzip
import pathlib
import typing

from banyantrack.core import logs

if typing.TYPE_CHECKING:
    import collections.abc

# A longer time between two lines of a log is reported as a gap.
MAX_SILENCE_S = 60.0
REQUEST_EVENT = 'request'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEvent:
    """One request as an entry logged it.

    Attributes:
        at: Time of the log line, in seconds since the Unix epoch.
        route: Name of the route.
        customer: Name of the customer.
        outcome: `done`, `not-run` or `unknown`.
        cause: Why it was refused, or empty.
        late: Whether it was answered after its deadline.
        duration_ms: Time until its answer.
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
    """Content of the logs that were read.

    Attributes:
        events: Requests in order of time.
        gaps: Descriptions of what is missing or unreadable.
        lines: Number of lines read.
    """

    events: list[RequestEvent]
    gaps: list[str]
    lines: int = 0


def read(paths: collections.abc.Iterable[pathlib.Path]) -> Reading:
    """Reads logs, including their rotated parts.

    Args:
        paths: Current logs; `name.1`, `name.2.gz` and so on are read too.
    """
    reading = Reading([], [])
    for path in paths:
        parts = _rotated_and_current(path)
        if not parts:
            reading.gaps.append(f'{path}: missing')
        last_at = 0.0
        for part in parts:
            last_at = _read_part(part, reading, last_at)
    reading.events.sort(key=lambda event: event.at)
    return reading


def _rotated_and_current(path: pathlib.Path) -> list[pathlib.Path]:
    """Returns the rotated parts, oldest first, and then the current log."""
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
    """Reads one file.

    Args:
        path: The file; compressed if its suffix is `.gz`.
        reading: Receives events and gaps.
        last_at: Time of the last line before the file, in seconds since the
            Unix epoch; 0 if there is none.

    Returns:
        Time of the last line of the file, or `last_at`.
    """
    open_file = gzip.open if path.suffix == '.gz' else open
    unreadable = 0
    try:
        with open_file(path, 'rt', encoding='utf-8', errors='replace') as file:
            for line in file:
                reading.lines += 1
                if not line.endswith('\n'):
                    # A truncated value may parse as a complete one.
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
                if last_at and at - last_at > MAX_SILENCE_S:
                    reading.gaps.append(
                        f'{path}: nothing for {at - last_at:.0f} s'
                        f' before {pairs["time"]}'
                    )
                last_at = at
                if pairs.get('event') == REQUEST_EVENT:
                    reading.events.append(_request_event(at, pairs))
    except (OSError, EOFError) as error:
        reading.gaps.append(f'{path}: cut: {error}')
    if unreadable:
        reading.gaps.append(f'{path}: {unreadable} lines are not readable')
    return last_at


def _request_event(at: float, pairs: dict[str, str]) -> RequestEvent:
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
