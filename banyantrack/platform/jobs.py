"""Customers' calls: jobs, their states and queues."""

from __future__ import annotations

import typing

from banyantrack.core import findings
from banyantrack.generated.workload import ttypes
from banyantrack.platform import wire

INT32 = 2**31 - 1
KEY_SCHEME = 'Token '
STATES = {
    ttypes.JobState.QUEUED: 'queued',
    ttypes.JobState.RUNNING: 'running',
    ttypes.JobState.COMPLETED: 'completed',
    ttypes.JobState.FAILED: 'failed',
    ttypes.JobState.CANCELLED: 'cancelled',
}
STATUSES = {
    ttypes.JobVerdict.DONE: 200,
    ttypes.JobVerdict.NO_QUEUE: 404,
    ttypes.JobVerdict.BAD_KEY: 401,
    ttypes.JobVerdict.NO_JOB: 410,
    ttypes.JobVerdict.NOT_ACCEPTED: 429,
    ttypes.JobVerdict.NO_CONFIG: 503,
    ttypes.JobVerdict.INVALID: 400,
}


def operation(method: str, path: str) -> int | None:
    """Returns what a call asks for; None if its method is not known.

    A path that ends with a slash names a queue, any other a job.
    """
    if method == 'GET':
        if path.endswith('/'):
            return ttypes.JobOperation.COUNT
        return ttypes.JobOperation.READ
    return {
        'POST': ttypes.JobOperation.SUBMIT,
        'DELETE': ttypes.JobOperation.CANCEL,
    }.get(method)


def parse_job(
    path: str, body: bytes, found: findings.Findings
) -> ttypes.TaskJob | None:
    """Reads a job.

    Args:
        path: Path of the call; its last part is the job's id.
        body: The body.
        found: Receives everything wrong with it.

    Returns:
        The job; None if anything was found.
    """
    fields = wire.parse(body, found)
    if fields is None:
        return None
    job = ttypes.TaskJob(
        job_id=path.rpartition('/')[2],
        spec=fields.text('spec'),
        steps=[_step(step) for step in fields.objects('steps')],
        repeat_count=fields.integer('repeatCount', high=INT32),
        start_ms=fields.integer('startTimeMs'),
        interval_ms=fields.integer('intervalMs'),
    )
    return None if found.found else job


def _step(fields: wire.Fields) -> ttypes.Step:
    def small(name: str) -> int:
        return fields.integer(name, high=INT32)

    return ttypes.Step(
        count=small('count') or 1,
        cpu_milli=small('cpu'),
        memory_mb=small('memMb'),
        accelerators=small('gpu'),
        estimated_ms=fields.integer('estimatedMs'),
        depends_on=fields.integers('dependsOn'),
        checkpointable=fields.flag('checkpointable'),
        gang=fields.flag('gang'),
        same_rack=fields.flag('sameRack'),
        required_label=fields.text('requiredLabel'),
        data_rack=fields.text('dataRack'),
        # The most tasks on one worker, not a rule on which repel others.
        max_per_worker=small('antiAffinity'),
        allow_duplicates=fields.flag('allowDuplicates'),
        long_running=fields.flag('longRunning'),
        image=fields.text('image'),
        target_ms=small('targetMs'),
        fills=fields.flag('fills'),
        may_miss=small('mayMiss'),
    )


def key_of(authorization: str | None) -> str:
    """Returns the customer's key in a header; empty if there is none."""
    if authorization is None or not authorization.startswith(KEY_SCHEME):
        return ''
    return authorization.removeprefix(KEY_SCHEME).strip()


def answer_body(asked: int, answer: ttypes.JobAnswer) -> dict[str, typing.Any]:
    """Returns the body of an answer to a call."""
    if answer.verdict != ttypes.JobVerdict.DONE:
        return {'error': answer.detail or _name(answer)}
    if asked == ttypes.JobOperation.COUNT:
        return {'pending': answer.pending}
    if asked == ttypes.JobOperation.READ:
        return {'state': STATES[answer.state]}
    return {}


def _name(answer: ttypes.JobAnswer) -> str:
    return ttypes.JobVerdict._VALUES_TO_NAMES[answer.verdict].lower()
