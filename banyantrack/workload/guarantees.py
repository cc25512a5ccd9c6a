"""Urgent jobs that are covered by the guarantees of their customers."""

from __future__ import annotations

import typing

from banyantrack.workload import state as state_module

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes


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


def peak_accelerators(job: ttypes.TaskJob) -> int:
    """Returns the most accelerators that one step of a job uses at once."""
    return max(step.count * step.accelerators for step in job.steps)
