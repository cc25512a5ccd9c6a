"""Operators' request where a job would be placed now."""

from __future__ import annotations

import json
import typing

from banyantrack.core import findings
from banyantrack.platform import jobs as platform_jobs
from banyantrack.workload import validation

if typing.TYPE_CHECKING:
    from banyantrack.daemons import work_session
    from banyantrack.generated.workload import ttypes
    from banyantrack.workload import state as state_module

# Id of a job whose document names none.
DEFAULT_JOB_ID = 'dry-run'


def explain(
    session: work_session.WorkSession,
    state: state_module.WorkState,
    body: bytes,
) -> dict[str, object]:
    """Returns where a job would be placed now; changes nothing.

    Args:
        session: The session of this member, which leads.
        state: The replicated state.
        body: JSON object with the name of a queue, that of a customer and a
            job in the platform's form; `id` is optional.

    Raises:
        FindingsError: If the request is not valid.
    """
    found = findings.Findings()
    job, queue, customer = _parse(state, body, found)
    found.raise_any('nothing was explained')
    document = session.dry_run(job, queue, customer)
    # The leader's view is the current one.
    return document | {'member': session.name, 'view_age_ms': 0}


def _parse(
    state: state_module.WorkState, body: bytes, found: findings.Findings
) -> tuple[ttypes.TaskJob | None, ttypes.Queue | None, str]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        found.add('body', f'not valid JSON: {error}')
        return None, None, ''
    if not isinstance(document, dict):
        found.add('body', 'valid is an object')
        return None, None, ''
    config = state.config
    queues = {queue.name: queue for queue in config.queues} if config else {}
    names = [account.name for account in config.accounts] if config else []
    queue = queues.get(str(document.get('queue', '')))
    if queue is None:
        valid = ', '.join(sorted(queues)) or 'none, there is no configuration'
        found.add('queue', f'got {document.get("queue")!r}; valid are {valid}')
    customer = document.get('customer', '')
    if customer not in names and not (
        queue is not None and queue.open_to_all and customer == ''
    ):
        found.add(
            'customer', f'got {customer!r}; valid is one of the accounts'
        )
    job_id = document.get('id', DEFAULT_JOB_ID)
    if not isinstance(job_id, str) or not job_id or '/' in job_id:
        found.add('id', f'got {job_id!r}; valid is a name')
    elif job_id in state.jobs:
        found.add('id', f'there is a job {job_id!r}')
    job = platform_jobs.parse_job(
        f'/{job_id}', json.dumps(document.get('job')).encode(), found
    )
    if job is not None:
        validation.check_job(job, found)
    return job, queue, customer
