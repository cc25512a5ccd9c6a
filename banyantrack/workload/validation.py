"""Semantic checks of configurations and jobs that were parsed."""

from __future__ import annotations

import typing

from banyantrack.core import findings

if typing.TYPE_CHECKING:
    from banyantrack.generated.workload import ttypes

SPEC_LIMIT_BYTES = 4000
# Most tasks of one job over all occurrences; its record holds each of them.
TASK_LIMIT = 100_000


def check_config(config: ttypes.WorkConfig, found: findings.Findings) -> None:
    """Adds a finding for each error in a configuration.

    Args:
        config: The configuration.
        found: Receives the findings.
    """
    pools = {pool.name for pool in config.pools}
    places: set[tuple[str, str]] = set()
    for queue in config.queues:
        place = f'queue {queue.name!r}'
        if queue.pool not in pools:
            found.add(place, f'got pool {queue.pool!r}; valid are: {pools}')
        if (queue.host, queue.prefix) in places:
            found.add(place, 'another queue has the same host and prefix')
        places.add((queue.host, queue.prefix))
        if queue.timeout_ms <= 0:
            found.add(place, f'got time-out {queue.timeout_ms}; valid is > 0')
    owners: dict[str, str] = {}
    for account in config.accounts:
        for key in account.keys:
            owner = owners.setdefault(key, account.name)
            if owner != account.name:
                found.add(
                    f'customer {account.name!r}',
                    f'a key is shared with {owner!r}',
                )


def check_job(job: ttypes.TaskJob, found: findings.Findings) -> None:
    """Adds a finding for each error in a job.

    Args:
        job: The job.
        found: Receives the findings.
    """
    if len(job.spec.encode()) > SPEC_LIMIT_BYTES:
        found.add('spec', f'valid are at most {SPEC_LIMIT_BYTES} bytes')
    if not job.steps:
        found.add('steps', 'valid is at least one')
    tasks = sum(step.count for step in job.steps) * max(job.repeat_count, 1)
    if tasks > TASK_LIMIT:
        found.add('steps', f'got {tasks} tasks; valid are {TASK_LIMIT}')
    for number, step in enumerate(job.steps):
        place = f'steps[{number}]'
        if step.count < 1:
            found.add(place, f'got {step.count} tasks; valid is at least 1')
        for name in ('cpu_milli', 'memory_mb', 'accelerators'):
            if getattr(step, name) < 0:
                found.add(place, f'got a negative {name}')
        if any(not 0 <= other < number for other in step.depends_on):
            found.add(
                place,
                f'got dependencies {step.depends_on};'
                ' valid are numbers of earlier steps',
            )
