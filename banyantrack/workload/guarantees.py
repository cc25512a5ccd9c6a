"""Which urgent jobs the accelerators of their customers cover."""

from __future__ import annotations

import typing

from banyantrack.workload import state as state_module

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes


def covered_jobs(state: state_module.WorkState) -> set[str]:
    """Returns the urgent jobs that their customers' guarantees cover.

    Jobs count in the order in which they were accepted.
    """
    covered: set[str] = set()
    if state.config is None:
        return covered
    left = {
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
        need = accelerators_at_once(record.job)
        if need <= left.get(record.customer, 0):
            left[record.customer] -= need
            covered.add(record.job.job_id)
    return covered


def accelerators_at_once(job: ttypes.TaskJob) -> int:
    """Returns the most accelerators that one step of a job uses."""
    return max(step.count * step.accelerators for step in job.steps)
