"""What executors, which are our workers, say of themselves."""

from __future__ import annotations

import ipaddress
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.platform import jobs
from banyantrack.platform import wire
from banyantrack.transport import addresses

if typing.TYPE_CHECKING:
    from banyantrack.core import findings

STATES = {
    'ready': ttypes.WorkerState.READY,
    'draining': ttypes.WorkerState.DRAINING,
}


def parse_report(
    worker_id: str, body: bytes, found: findings.Findings
) -> ttypes.WorkerReport | None:
    """Reads a heartbeat.

    Args:
        worker_id: The worker's id, from the path.
        body: The body.
        found: Receives everything wrong with it.

    Returns:
        The report; None if anything was found.
    """
    fields = wire.parse(body, found)
    if fields is None:
        return None
    state = fields.text('state', required=True)
    if state not in STATES:
        found.add('state', f'got {state!r}; valid are: {", ".join(STATES)}')
    address = fields.text('address', required=True)
    try:
        ipaddress.ip_address(addresses.parse(address).host)
    except ValueError as error:
        found.add('address', str(error))
    capacity = fields.object('capacity')
    worker = ttypes.WorkerRecord(
        worker_id=worker_id,
        # When the executor's process started, not when it registered.
        incarnation=fields.integer('born'),
        pool=fields.text('service', required=True),
        address=address,
        zone=fields.text('zone', required=True),
        state=STATES.get(state, 0),
        cpu_milli=capacity.integer('cpu', required=True, high=jobs.INT32),
        memory_mb=capacity.integer('memMb', required=True, high=jobs.INT32),
        accelerators=capacity.integer('gpu', high=jobs.INT32),
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
