"""Chooses workers for a unit by their speeds.

Load: pools in which a third of the workers each run at 0.6, 1.0 and 1.6 times
the usual run time and about half are busy. An urgent gang has 1.5 times its
run time, so on the slowest third it is late, and on one such worker as well,
since a gang is as slow as its slowest member. Other work has three times its
run time and is in time anywhere unless it has waited.

A unit is placed on the slowest workers on which it is in time, so that faster
ones remain available for work that needs them. The members of a gang are
placed on workers of similar speed: a fast worker among slow ones is occupied
for as long as these.
"""

from __future__ import annotations

import functools
import math
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.workload import ttypes
    from banyantrack.workload import capacity
    from banyantrack.workload import units as units_module

# Allowance for members with more work than the others and for speeds that are
# not known exactly, as a factor on the expected run time.
RUN_TIME_MARGIN = 1.08
# Factor by which the expected run time may be wrong.
RUN_TIME_ERROR = 1.5
# Time from a decision until the runs work, in milliseconds.
START_DELAY_MS = 50.0
# Workers whose speeds differ by less than this factor are in one class.
CLASS_WIDTH = 1.2
# Largest mean speed of a gang's workers over the slowest of them, for a
# placement that is taken without looking at faster workers.
MAX_MISMATCH = 1.25
# Longest wait for faster workers of a job that its customer's guarantee
# covers; it must begin within about three seconds.
GUARANTEED_WAIT_MS = 1500.0
_LOG_CLASS_WIDTH = math.log(CLASS_WIDTH)


def speed_class(worker: capacity.WorkerCapacity) -> int:
    """Returns the class of a worker's speed; a higher one is faster."""
    return _speed_class(worker.speed)


@functools.lru_cache(maxsize=8192)
def _speed_class(speed: float) -> int:
    return round(math.log(speed) / _LOG_CLASS_WIDTH)


def required_speed(
    unit: units_module.Unit, now_ms: int, delay_ms: float = 0.0
) -> float:
    """Returns the least speed at which a unit is expected to be in time.

    Args:
        unit: The unit.
        now_ms: Time of day, in milliseconds since 1970.
        delay_ms: Time until its start, in milliseconds.

    Returns:
        Infinity if its objective has passed.
    """
    # Time that does not grow with the run time.
    fixed_ms = (
        unit.latest_start_ms
        + unit.expected_ms
        - unit.record.queue.stretch * unit.expected_ms
        - now_ms
        - delay_ms
        - START_DELAY_MS
    )
    # A longer run needs more of the fixed time, a shorter one loses more to
    # the time that has passed.
    run_ms = unit.expected_ms * (
        RUN_TIME_ERROR if fixed_ms > 0 else 1 / RUN_TIME_ERROR
    )
    allowed = unit.record.queue.stretch + fixed_ms / max(run_ms, 1.0)
    return RUN_TIME_MARGIN / allowed if allowed > 0 else math.inf


def fast_enough(
    unit: units_module.Unit,
    candidates: list[capacity.WorkerCapacity],
    now_ms: int,
    delay_ms: float = 0.0,
) -> list[list[capacity.WorkerCapacity]]:
    """Returns the candidates on which a unit is expected to be in time.

    Returns:
        Those on which it almost certainly is, then all on which it probably
        is. Empty if it would be late on each of them.
    """
    least = required_speed(unit, now_ms, delay_ms)
    probable = [worker for worker in candidates if worker.speed >= least]
    if not probable:
        return []
    sure = [worker for worker in probable if worker.sure_speed >= least]
    if not sure or len(sure) == len(probable):
        return [probable]
    return [sure, probable]


def may_wait(unit: units_module.Unit, now_ms: int) -> bool:
    """Whether a unit may wait for faster workers while others are free."""
    return (
        not unit.guaranteed or now_ms - unit.release_ms <= GUARANTEED_WAIT_MS
    )


def choose(
    candidates: list[capacity.WorkerCapacity],
    count: int,
    assign: collections.abc.Callable[
        [list[capacity.WorkerCapacity]], list[capacity.WorkerCapacity]
    ],
    *,
    gang: bool,
) -> list[capacity.WorkerCapacity]:
    """Returns workers for tasks, the slowest class first.

    For a gang, the slowest classes whose workers differ little, else those
    that differ least.

    Args:
        candidates: Workers to choose from.
        count: Number of tasks.
        assign: Returns workers for the tasks among some workers, the slowest
            class first; fewer than `count` if they do not fit.
        gang: Whether the slowest worker determines the end of all tasks.
    """
    chosen = assign(candidates)
    if not gang or len(chosen) < count:
        return chosen
    best, least = chosen, mismatch(chosen)
    while least > MAX_MISMATCH:
        slowest = min(map(speed_class, chosen))
        candidates = [w for w in candidates if speed_class(w) > slowest]
        chosen = assign(candidates)
        if len(chosen) < count:
            break
        ratio = mismatch(chosen)
        if ratio < least:
            best, least = chosen, ratio
    return best


def mismatch(workers: list[capacity.WorkerCapacity]) -> float:
    """Returns the mean speed of workers over that of the slowest."""
    speeds = [worker.speed for worker in workers]
    return sum(speeds) / len(speeds) / min(speeds) if speeds else 1.0


def run_time_ms(
    unit: units_module.Unit, workers: list[capacity.WorkerCapacity]
) -> float:
    """Returns the expected run time of a unit on workers."""
    slowest = min((worker.speed for worker in workers), default=1.0)
    return unit.expected_ms / slowest


def cost(
    unit: units_module.Unit, workers: list[capacity.WorkerCapacity]
) -> float:
    """Returns the cost of an assignment, to compare those of one unit.

    For a gang, workers of different speeds first; then the fastest class.
    """
    unequal = mismatch(workers) if unit.step.gang else 1.0
    return max(unequal / MAX_MISMATCH, 1.0) * 100 + max(
        map(speed_class, workers), default=0
    )


def least_urgent_speed(config: ttypes.WorkConfig) -> float:
    """Returns the least speed that urgent work of a site usually needs."""
    stretch = min(
        (queue.stretch for queue in config.queues if queue.priority == 0),
        default=1.0,
    )
    return RUN_TIME_MARGIN / max(stretch, 1.0)
