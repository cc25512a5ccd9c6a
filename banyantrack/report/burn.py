"""Error budgets of objectives and their burn rates."""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.settings import ttypes as settings
    from banyantrack.report import logs_reader

# Windows of the reported burn rates: 5 minutes, 1 hour, 6 hours and 3 days.
WINDOWS_S = (300.0, 3600.0, 21_600.0, 259_200.0)
# Number of time buckets in the series of an objective.
BUCKETS = 60


@dataclasses.dataclass(slots=True)
class Burn:
    """Use of the error budget of one objective.

    Attributes:
        name: Name of the objective.
        target: Share of requests that should be in time.
        total: Requests in the objective's window.
        bad: Requests of these that were late, refused or unknown.
        budget_left: Share of the budget that is left; below 0 if more than
            the budget is used.
        rates: Burn rate by window in seconds; at 1 the budget is used up
            exactly at the end of the objective's window.
        causes: Number of bad requests by cause.
        customers: Number of bad requests by customer.
        series: All requests and bad requests of each time bucket.
        start: Start of the first bucket, in seconds since the Unix epoch.
        bucket_s: Length of a bucket in seconds.
    """

    name: str
    target: float
    total: int = 0
    bad: int = 0
    budget_left: float = 1.0
    rates: dict[float, float] = dataclasses.field(default_factory=dict)
    causes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    customers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    series: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    start: float = 0.0
    bucket_s: float = 1.0


def cause_of(event: logs_reader.RequestEvent) -> str:
    """Returns why a request is bad, or '' if it was in time."""
    if event.outcome == 'unknown':
        return 'unknown'
    if event.outcome == 'not-run':
        return f'refused: {event.cause}' if event.cause else 'refused'
    return 'late' if event.late else ''


def measure(
    objective: settings.Objective,
    events: collections.abc.Sequence[logs_reader.RequestEvent],
    now: float,
) -> Burn:
    """Measures the use of an objective's error budget.

    Args:
        objective: The objective.
        events: All requests in order of time.
        now: End of all windows, in seconds since the Unix epoch.
    """
    counted = [
        event
        for event in events
        if (not objective.route or event.route == objective.route)
        and (not objective.customer or event.customer == objective.customer)
        and now - event.at <= objective.window_s
    ]
    burn = Burn(objective.name, objective.target, total=len(counted))
    for event in counted:
        cause = cause_of(event)
        if cause:
            burn.bad += 1
            burn.causes[cause] += 1
            burn.customers[event.customer or '-'] += 1
    error_budget = 1.0 - objective.target
    if burn.total:
        burn.budget_left = 1.0 - burn.bad / burn.total / error_budget
    for window_s in WINDOWS_S:
        burn.rates[window_s] = _rate(counted, now - window_s, error_budget)
    _fill_series(burn, counted, now)
    return burn


def _rate(
    events: collections.abc.Iterable[logs_reader.RequestEvent],
    since: float,
    error_budget: float,
) -> float:
    total = bad = 0
    for event in events:
        if event.at >= since:
            total += 1
            bad += bool(cause_of(event))
    return bad / total / error_budget if total else 0.0


def _fill_series(
    burn: Burn,
    events: collections.abc.Sequence[logs_reader.RequestEvent],
    now: float,
) -> None:
    if not events:
        return
    burn.start = events[0].at
    burn.bucket_s = max((now - burn.start) / BUCKETS, 1.0)
    counts = [[0, 0] for _ in range(BUCKETS + 1)]
    for event in events:
        bucket = min(int((event.at - burn.start) / burn.bucket_s), BUCKETS)
        counts[bucket][0] += 1
        counts[bucket][1] += bool(cause_of(event))
    burn.series = [(total, bad) for total, bad in counts]
