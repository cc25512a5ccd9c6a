"""Decodes the heartbeats of executors, the platform's name for workers."""

from __future__ import annotations

import ipaddress
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.platform import jobs
from banyantrack.platform import wire
from banyantrack.transport import addresses

if typing.TYPE_CHECKING:
    from banyantrack.core import findings

WORKER_STATES = {
    'ready': ttypes.WorkerState.READY,
    'draining': ttypes.WorkerState.DRAINING,
}


def parse_report(
    worker_id: str, body: bytes, found: findings.Findings
) -> ttypes.WorkerReport | None:
    """Decodes a heartbeat.

    Args:
        worker_id: Id of the worker, from the path.
        body: Body of the request, JSON.
        found: Receives all findings about the body.

    Returns:
        The report; None if there are findings.
    """
    fields = wire.parse(body, found)
    if fields is None:
        return None
    state = fields.text('state', required=True)
    if state not in WORKER_STATES:
        found.add(
            'state', f'got {state!r}; valid are: {", ".join(WORKER_STATES)}'
        )
    address = fields.text('address', required=True)
    try:
        ipaddress.ip_address(addresses.parse(address).host)
    except ValueError as error:
        found.add('address', str(error))
    capacity = fields.object('capacity')
    worker = ttypes.WorkerRecord(
        worker_id=worker_id,
        # Start of the executor's process, not of its registration.
        incarnation=fields.integer('born'),
        pool=fields.text('service', required=True),
        address=address,
        zone=fields.text('zone', required=True),
        state=WORKER_STATES.get(state, 0),
        cpu_milli=capacity.integer('cpu', required=True, high=jobs.MAX_INT32),
        memory_mb=capacity.integer(
            'memMb', required=True, high=jobs.MAX_INT32
        ),
        accelerators=capacity.integer('gpu', high=jobs.MAX_INT32),
        labels=fields.texts('labels'),
        machine=fields.text('machine'),
    )
    report = ttypes.WorkerReport(
        worker=worker,
        sequence=fields.integer('sequence', required=True),
        clock_ms=fields.integer('clockMs'),
        remaining_ms=fields.integer('remainingMs'),
    )
    return None if found.found else report
