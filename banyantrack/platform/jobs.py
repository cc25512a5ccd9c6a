"""Decodes calls of customers and encodes the responses to them."""

from __future__ import annotations

import typing

from banyantrack.core import findings
from banyantrack.generated.workload import ttypes
from banyantrack.platform import wire

# Scheme of the `Authorization` header that holds a customer's key.
KEY_SCHEME = 'Token '
STATE_NAMES = {
    ttypes.JobState.QUEUED: 'queued',
    ttypes.JobState.RUNNING: 'running',
    ttypes.JobState.COMPLETED: 'completed',
    ttypes.JobState.FAILED: 'failed',
    ttypes.JobState.CANCELLED: 'cancelled',
}
STATUS_BY_VERDICT = {
    ttypes.JobVerdict.DONE: 200,
    ttypes.JobVerdict.NO_QUEUE: 404,
    ttypes.JobVerdict.BAD_KEY: 401,
    ttypes.JobVerdict.NO_JOB: 410,
    ttypes.JobVerdict.NOT_ACCEPTED: 429,
    ttypes.JobVerdict.NO_CONFIG: 503,
    ttypes.JobVerdict.INVALID: 400,
}


def parse_operation(method: str, path: str) -> int | None:
    """Returns the operation of a call; None if the method is not supported.

    A path that ends with a slash names a queue, any other path a job.
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
    """Decodes a job.

    Args:
        path: Path of the call; its last segment is the id of the job.
        body: Body of the call, JSON.
        found: Receives all findings about the body.

    Returns:
        The job; None if there are findings.
    """
    fields = wire.parse(body, found)
    if fields is None:
        return None
    job = ttypes.TaskJob(
        job_id=path.rpartition('/')[2],
        spec=fields.text('spec'),
        steps=[_step(step) for step in fields.objects('steps')],
        repeat_count=fields.integer('repeatCount', high=wire.MAX_INT32),
        start_ms=fields.integer('startTimeMs'),
        interval_ms=fields.integer('intervalMs'),
    )
    return None if found.found else job


def _step(fields: wire.Fields) -> ttypes.Step:
    def int32(name: str) -> int:
        return fields.integer(name, high=wire.MAX_INT32)

    return ttypes.Step(
        count=int32('count') or 1,
        cpu_milli=int32('cpu'),
        memory_mb=int32('memMb'),
        accelerators=int32('gpu'),
        estimated_ms=fields.integer('estimatedMs'),
        depends_on=fields.integers('dependsOn'),
        checkpointable=fields.flag('checkpointable'),
        gang=fields.flag('gang'),
        same_rack=fields.flag('sameRack'),
        required_label=fields.text('requiredLabel'),
        data_rack=fields.text('dataRack'),
        # Despite its name, the maximum number of tasks on one worker.
        max_per_worker=int32('antiAffinity'),
        allow_duplicates=fields.flag('allowDuplicates'),
        long_running=fields.flag('longRunning'),
        image=fields.text('image'),
        target_ms=int32('targetMs'),
        fills=fields.flag('fills'),
        may_miss=int32('mayMiss'),
    )


def parse_key(authorization: str | None) -> str:
    """Returns the key in an `Authorization` header; empty if there is none."""
    if authorization is None or not authorization.startswith(KEY_SCHEME):
        return ''
    return authorization.removeprefix(KEY_SCHEME).strip()


def answer_body(
    operation: int, answer: ttypes.JobAnswer
) -> dict[str, typing.Any]:
    """Returns the body of the response to a call.

    Args:
        operation: `JobOperation` of the call.
        answer: The answer of the leader.
    """
    if answer.verdict != ttypes.JobVerdict.DONE:
        return {'error': answer.detail or _verdict_name(answer)}
    if operation == ttypes.JobOperation.COUNT:
        return {'pending': answer.pending}
    if operation == ttypes.JobOperation.READ:
        return {'state': STATE_NAMES[answer.state]}
    return {}


def _verdict_name(answer: ttypes.JobAnswer) -> str:
    return ttypes.JobVerdict._VALUES_TO_NAMES[answer.verdict].lower()
