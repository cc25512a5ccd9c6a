"""Builders of jobs, workers and configurations for tests."""

from __future__ import annotations

import copy
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import capacity
from banyantrack.workload import durations
from banyantrack.workload import planner as planner_module
from banyantrack.workload import state as state_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import advice
    from banyantrack.workload import layout

NOW_MS = 1_000_000
HOST = 'jobs.example'
KEYS = {'growers': 'growers-key', 'pickers': 'pickers-key'}
_STEP_DEFAULTS = {
    'count': 1,
    'cpu_milli': 1000,
    'memory_mb': 1000,
    'accelerators': 1,
    'estimated_ms': 2000,
    'depends_on': [],
    'checkpointable': False,
    'gang': False,
    'same_rack': False,
    'required_label': '',
    'data_rack': '',
    'max_per_worker': 0,
    'allow_duplicates': False,
    'long_running': False,
    'image': '',
    'target_ms': 0,
    'fills': False,
    'may_miss': 0,
}


def step(**values: object) -> ttypes.Step:
    """Returns a step of one small task; values replace its defaults."""
    return ttypes.Step(**(_STEP_DEFAULTS | values))


def job(job_id: str, *steps: ttypes.Step, **values: object) -> ttypes.TaskJob:
    """Returns a job; by default with one step of one task."""
    fields = {'repeat_count': 0, 'start_ms': 0, 'interval_ms': 0}
    return ttypes.TaskJob(
        job_id=job_id,
        spec='work',
        steps=list(steps) or [step()],
        **(fields | values),
    )


def queue(name: str, priority: int, **values: object) -> ttypes.Queue:
    """Returns a queue at `/NAME/` of the pool `line`."""
    fields = {
        'host': HOST,
        'prefix': f'/{name}/',
        'pool': 'line',
        'attempts': 3,
        'stretch': 3.0,
        'objective_ms': 1000,
        'open_to_all': False,
        'timeout_ms': 3000,
    }
    return ttypes.Queue(name=name, priority=priority, **(fields | values))


def config(version: int = 1, **values: object) -> ttypes.WorkConfig:
    """Returns a configuration with an urgent, a usual and a patient queue."""
    fields = {
        'queues': [queue('urgent', 0), queue('usual', 1), queue('patient', 2)],
        'pools': [ttypes.Pool(name='line', spare=False)],
        'accounts': [
            ttypes.Account(name=name, keys=[key], guaranteed_accelerators=16)
            for name, key in KEYS.items()
        ],
        'document': b'{}',
    }
    return ttypes.WorkConfig(version=version, **(fields | values))


def worker(name: str, **values: object) -> ttypes.WorkerRecord:
    """Returns a ready worker, by default with eight accelerators."""
    fields = {
        'incarnation': 1,
        'pool': 'line',
        'address': '127.0.0.1:1',
        'zone': 'z1',
        'state': ttypes.WorkerState.READY,
        'cpu_milli': 64_000,
        'memory_mb': 256_000,
        'accelerators': 8,
        'labels': ['a', 'r1'],
        'machine': f'm-{name}',
    }
    return ttypes.WorkerRecord(worker_id=name, **(fields | values))


def state(*workers: ttypes.WorkerRecord) -> state_module.WorkState:
    """Returns a state with a configuration and workers."""
    work_state = state_module.WorkState()
    work_state.apply(
        ttypes.WorkCommand(config=config(), workers=list(workers)), NOW_MS
    )
    return work_state


def require_approvals(target: state_module.WorkState) -> None:
    """Applies a configuration in which queue `usual` needs approvals.

    A policy service approves workers for the steps of its jobs.
    """
    rules = ttypes.Advice(decision_ms=1, per_worker_ms=1, validity_ms=1000)
    advised = queue('usual', 1, advice=rules)
    command = ttypes.WorkCommand(config=config(2, queues=[advised]))
    target.apply(command, NOW_MS)


def customer_key(customer: str) -> str:
    """Returns the API key of a customer."""
    return KEYS.get(customer, f'{customer}-key')


def submit(
    target: state_module.WorkState,
    submitted: ttypes.TaskJob,
    *,
    name: str = 'usual',
    customer: str = 'growers',
    now_ms: int = NOW_MS,
) -> ttypes.JobAnswer:
    """Submits a job to a queue and returns the answer.

    Args:
        target: State that the command is applied to.
        submitted: The job.
        name: Name of the queue.
        customer: Name of the customer, whose API key is used.
        now_ms: Time of the command.
    """
    command = ttypes.SubmitCommand(
        job=submitted,
        host=HOST,
        path=f'/{name}/{submitted.job_id}',
        key=customer_key(customer),
    )
    return target.apply(ttypes.WorkCommand(submit=command), now_ms)


def fleet(
    target: state_module.WorkState,
    *,
    stopping: collections.abc.Container[layout.RunId] = (),
    remaining_ms: float
    | collections.abc.Callable[[capacity.RunAllocation], float | None]
    | None = None,
    penalties: collections.abc.Mapping[str, float] | None = None,
    unchecked: collections.abc.Container[str] = (),
    speeds: collections.abc.Mapping[str, float] | None = None,
    sure_speeds: collections.abc.Mapping[str, float] | None = None,
) -> capacity.Fleet:
    """Returns the workers of a state, all usable.

    Args:
        target: The state.
        stopping: Runs that are stopping.
        remaining_ms: Estimated remaining time of all runs, or returns that of
            one; None if unknown.
        penalties: Penalties by worker id; 0 for others.
        unchecked: Ids of workers that have not answered recently.
        speeds: Speeds by worker id; None if they are not used.
        sure_speeds: Speeds that are reached almost certainly, by worker id;
            as `speeds` for others.
    """

    def speed(record: ttypes.WorkerRecord) -> tuple[float, float]:
        found = speeds[record.worker_id]
        return found, (sure_speeds or {}).get(record.worker_id, found)

    return capacity.Fleet(
        target,
        stopping=stopping,
        usable=lambda _: True,
        penalty=lambda worker: (penalties or {}).get(worker.worker_id, 0.0),
        answered_recently=lambda worker: worker.worker_id not in unchecked,
        remaining_ms=remaining_ms
        if callable(remaining_ms)
        else lambda _: remaining_ms,
        speed=None if speeds is None else speed,
    )


def make_planner(
    target: state_module.WorkState,
) -> planner_module.Planner:
    """Returns a planner of a state."""
    return planner_module.Planner(
        target,
        durations.LearnedDurations(),
        remote_factor=3.0,
        stop_ms=200,
    )


def plan(
    target: state_module.WorkState,
    *,
    now_ms: int = NOW_MS,
    stopping: collections.abc.Container[layout.RunId] = (),
    remaining_ms: float | None = None,
    penalties: collections.abc.Mapping[str, float] | None = None,
    approvals: collections.abc.Mapping[layout.GroupKey, advice.Approvals]
    | None = None,
    unchecked: collections.abc.Container[str] = (),
    speeds: collections.abc.Mapping[str, float] | None = None,
    sure_speeds: collections.abc.Mapping[str, float] | None = None,
    planner: planner_module.Planner | None = None,
) -> planner_module.Plan:
    """Runs one round of the planner with all workers usable.

    Args:
        target: The state.
        now_ms: Time of the round.
        stopping: Runs that are stopping.
        remaining_ms: Estimated remaining time of all runs; None if unknown.
        penalties: Penalties by worker id; 0 for others.
        approvals: Approvals of the policy service by group.
        unchecked: Ids of workers that have not answered recently.
        speeds: Speeds by worker id; None if they are not used.
        sure_speeds: Speeds that are reached almost certainly, by worker id.
        planner: The planner; None for a new one with the default settings.
    """
    return (planner or make_planner(target)).plan(
        fleet(
            target,
            stopping=stopping,
            remaining_ms=remaining_ms,
            penalties=penalties,
            unchecked=unchecked,
            speeds=speeds,
            sure_speeds=sure_speeds,
        ),
        now_ms=now_ms,
        blocked={},
        stopping=stopping,
        approvals=approvals or {},
    )


def start(
    target: state_module.WorkState, planned: planner_module.Plan
) -> list[ttypes.RunStart]:
    """Applies the planned starts to the state and returns them."""
    target.apply(ttypes.WorkCommand(starts=planned.starts), NOW_MS)
    return planned.starts


def end(
    target: state_module.WorkState,
    started: ttypes.RunStart,
    kind: int,
    *,
    checkpoint: str = '',
    now_ms: int = NOW_MS,
    **values: object,
) -> None:
    """Applies the end of a run to the state.

    Args:
        target: The state.
        started: Start of the run.
        kind: Kind of its end, a value of `EndKind`.
        checkpoint: Its last checkpoint; empty for none.
        now_ms: Time of the command.
        **values: Other fields of the end.
    """
    ended = ttypes.RunEnd(
        task=started.task,
        run=started.run,
        worker_id=started.worker_id,
        incarnation=started.incarnation,
        kind=kind,
        checkpoint=checkpoint,
        **values,
    )
    target.apply(ttypes.WorkCommand(ends=[ended]), now_ms)


def without_crashes(snapshot: ttypes.WorkSnapshot) -> ttypes.WorkSnapshot:
    """Returns a copy of a snapshot as a build without crash records writes it.

    Args:
        snapshot: The snapshot.
    """
    older = copy.deepcopy(snapshot)
    older.records_crashes = None
    for record in older.jobs:
        for task in record.tasks:
            task.suspect_crashes = None
    return older


def suspect_crash(
    host: str, *, incarnation: int = 1, sole: bool = True
) -> ttypes.SuspectCrash:
    """Returns a crash with a task as a suspect.

    Args:
        host: Host that crashed.
        incarnation: Incarnation of the worker.
        sole: Whether no other job is a suspect.
    """
    return ttypes.SuspectCrash(host=host, incarnation=incarnation, sole=sole)
