"""Explains where a job would be placed now, without submitting it.

The planner runs one round on the replicated state with the job added. Nothing
is started, stopped or stored.
"""

from __future__ import annotations

import collections
import typing

from banyantrack.workload import availability
from banyantrack.workload import capacity
from banyantrack.workload import layout
from banyantrack.workload import run_times as run_times_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.workload import ttypes
    from banyantrack.workload import durations as durations_module
    from banyantrack.workload import planner as planner_module
    from banyantrack.workload import state as state_module
    from banyantrack.workload import units as units_module

    Model = durations_module.LearnedDurations | run_times_module.RunTimes

# Workers that are named for each reason of rejection.
MAX_NAMED_WORKERS = 8
# Bounds of the range of a start.
LOW, HIGH = 0.1, 0.9


def explain(
    state: state_module.WorkState,
    record: ttypes.JobRecord,
    planner: planner_module.Planner,
    model: Model,
    make_fleet: collections.abc.Callable[
        [state_module.WorkState], capacity.Fleet
    ],
    *,
    now_ms: int,
    blocked: collections.abc.Mapping[layout.GroupKey, float],
    stopping: collections.abc.Container[layout.RunId],
    approvals: collections.abc.Mapping[layout.GroupKey, typing.Any],
) -> dict[str, object]:
    """Plans one round with a job added and returns what happens to the job.

    Args:
        state: The replicated state.
        record: Record of the job, as if it was accepted now.
        planner: The planner of the leader.
        model: Run times that the planner uses.
        make_fleet: Returns the workers of a state.
        now_ms: Time of day, in milliseconds since 1970.
        blocked: As for `Planner.plan`.
        stopping: As for `Planner.plan`.
        approvals: As for `Planner.plan`.

    Returns:
        A JSON document; times in milliseconds, starts from now.
    """
    job_id = record.job.job_id
    hypothetical = state.with_job(record)
    trial_model = model.for_dry_run()
    trial_planner = planner.copy_for(hypothetical, trial_model)
    fleet = make_fleet(hypothetical)
    plan = trial_planner.plan(
        fleet,
        now_ms=now_ms,
        blocked=blocked,
        stopping=stopping,
        approvals=approvals,
    )
    ready: dict[int, dict[str, object]] = {}
    for position, unit in enumerate(plan.units):
        if unit.key.job_id == job_id and unit.key.step not in ready:
            ready[unit.key.step] = _explain_unit(
                plan, fleet, trial_model, unit, position, now_ms
            )
    return {
        'job': job_id,
        'queue': record.queue.name,
        'customer': record.customer,
        'queued_units': len(plan.units),
        'steps': [
            _explain_forecast(trial_model, record, step)
            | {'step': number, 'depends_on': list(step.depends_on)}
            | ready.get(number, {'ready': False})
            for number, step in enumerate(record.job.steps)
        ],
    }


def _explain_forecast(
    model: Model, record: ttypes.JobRecord, step: ttypes.Step
) -> dict[str, object]:
    view: dict[str, object] = {
        'expected_ms': round(model.expected_ms(record, step))
    }
    if isinstance(model, run_times_module.RunTimes):
        forecast = model.forecast(record, step)
        view |= {
            'p10_ms': round(forecast.quantile_ms(LOW)),
            'p90_ms': round(forecast.quantile_ms(HIGH)),
            'based_on_runs': round(forecast.runs, 1),
        }
    return view


def _explain_unit(
    plan: planner_module.Plan,
    fleet: capacity.Fleet,
    model: Model,
    unit: units_module.Unit,
    position: int,
    now_ms: int,
) -> dict[str, object]:
    starts = collections.Counter(
        start.worker_id
        for start in plan.starts
        if layout.task_id(start.task).group == unit.key
    )
    waiting = plan.waiting.get(unit.key)
    reason = f'room for {unit.key.job_id}'
    need = capacity.resources_of(unit.step)
    candidates = []
    rejected: dict[str, list[str]] = {}
    for worker in fleet.of_pool(unit.record.queue.pool):
        name = worker.record.worker_id
        rejection = plan.rejection(worker, unit)
        if rejection is not None:
            rejected.setdefault(rejection.value, []).append(name)
            continue
        candidates.append(worker)
        if name not in starts and not worker.free.covers(need):
            rejected.setdefault('lacks capacity', []).append(name)
    return {
        'ready': True,
        'tasks': len(unit.members),
        'position': position + 1,
        'guaranteed': unit.guaranteed,
        'latest_start_ms': round(unit.latest_start_ms - now_ms),
        'starts': dict(sorted(starts.items())),
        'waits_for': waiting.cause.value if waiting is not None else None,
        'candidates': len(candidates),
        'rejected': {
            text: {'workers': len(names), 'named': names[:MAX_NAMED_WORKERS]}
            for text, names in sorted(rejected.items())
        },
        'stops': [
            {
                'task': '.'.join(map(str, stop.key)),
                'run': stop.run,
                'worker': stop.worker_id,
            }
            for stop in plan.stops
            if stop.reason == reason
        ],
        'start_ms': _expected_start(
            candidates, model, unit, now_ms, is_planned=waiting is None
        ),
    }


def _expected_start(
    candidates: list[capacity.WorkerCapacity],
    model: Model,
    unit: units_module.Unit,
    now_ms: int,
    *,
    is_planned: bool,
) -> dict[str, int | None]:
    """Returns when the capacity for a unit is free, and the range of that.

    Neither stops nor units that are more urgent are foreseen. A value is
    None if the tasks never fit or, for the bounds, if no range is known.
    """
    if is_planned:
        return {'low': 0, 'expected': 0, 'high': 0}

    def fits_after(q: float | None) -> int | None:
        found = availability.time_to_fit_ms(
            candidates,
            capacity.resources_of(unit.step),
            len(unit.members),
            limit=unit.step.max_per_worker,
            run_remaining_ms=lambda run: _remaining_ms(model, run, now_ms, q),
        )
        return None if found == float('inf') else round(found)

    has_range = isinstance(model, run_times_module.RunTimes)
    return {
        'low': fits_after(LOW) if has_range else None,
        'expected': fits_after(None),
        'high': fits_after(HIGH) if has_range else None,
    }


def _remaining_ms(
    model: Model,
    run: capacity.RunAllocation,
    now_ms: int,
    q: float | None,
) -> float:
    """Returns a quantile of the remaining time; the expected one for None."""
    if q is None or run.step.long_running:
        expected_ms = model.expected_ms(run.record, run.step)
        return availability.remaining_ms(run, expected_ms, now_ms)
    forecast = model.forecast(run.record, run.step)
    ran_ms = max(now_ms - run.task.started_ms, 0.0)
    quantile_ms = forecast.remaining_quantile_ms(ran_ms, q)
    if run.remaining_ms is None:
        return quantile_ms
    # The range of the forecast around the time that progress shows.
    expected_ms = max(forecast.remaining_ms(ran_ms), 1.0)
    return run.remaining_ms * quantile_ms / expected_ms
