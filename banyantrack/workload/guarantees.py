"""Urgent jobs that are covered by the guarantees of their customers."""

from __future__ import annotations

from banyantrack.generated.workload import ttypes
from banyantrack.workload import state as state_module


def covered_jobs(state: state_module.WorkState) -> set[str]:
    """Returns the ids of urgent jobs that guaranteed accelerators cover.

    A customer's accelerators are assigned to its urgent jobs in the order in
    which the jobs were accepted.
    """
    covered: set[str] = set()
    if state.config is None:
        return covered
    unused = {
        account.name: account.guaranteed_accelerators
        for account in state.config.accounts
    }
    urgent = sorted(
        (
            record
            for record in state.active.values()
            if record.queue.priority == 0
            and record.state not in state_module.FINISHED
        ),
        key=lambda record: record.accepted_ms,
    )
    for record in urgent:
        need = peak_accelerators(record.job)
        if need <= unused.get(record.customer, 0):
            unused[record.customer] -= need
            covered.add(record.job.job_id)
    return covered


def unproven_customers(state: state_module.WorkState) -> list[str]:
    """Returns the customers whose guarantee needs an evacuated zone.

    Any customer's urgent jobs may be those that find no room, so if the
    workers in other zones have too few accelerators for all guarantees, all
    of them are affected.
    """
    evacuated = state.evacuations.in_force
    if state.config is None or not evacuated:
        return []
    pools = {q.pool for q in state.config.queues if q.priority == 0}
    outside = sum(
        worker.accelerators
        for worker in state.workers.values()
        if worker.state == ttypes.WorkerState.READY
        and worker.pool in pools
        and worker.zone not in evacuated
    )
    guaranteed = {
        account.name: account.guaranteed_accelerators
        for account in state.config.accounts
        if account.guaranteed_accelerators
    }
    return sorted(guaranteed) if sum(guaranteed.values()) > outside else []


def peak_accelerators(job: ttypes.TaskJob) -> int:
    """Returns the most accelerators that one step of a job uses at once."""
    return max(step.count * step.accelerators for step in job.steps)
