"""Decodes the heartbeats of executors, the platform's name for workers."""

from __future__ import annotations

import ipaddress
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.platform import wire
from banyantrack.transport import addresses

if typing.TYPE_CHECKING:
    from banyantrack.core import findings

WORKER_STATES = {
    'ready': ttypes.WorkerState.READY,
    'draining': ttypes.WorkerState.DRAINING,
}


# Largest valid lengths in a heartbeat; others are no executor's.
MAX_TEXT = 256
MAX_LABELS = 64


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
    state = _text(fields, 'state')
    if state not in WORKER_STATES:
        found.add(
            'state', f'got {state!r}; valid are: {", ".join(WORKER_STATES)}'
        )
    address = _text(fields, 'address')
    _check_address(address, found)
    labels = fields.texts('labels')
    if len(labels) > MAX_LABELS or any(len(x) > MAX_TEXT for x in labels):
        found.add('labels', f'valid are {MAX_LABELS} of {MAX_TEXT} characters')
    # These are not used, but one of another type comes from another writer.
    fields.text('version')
    fields.integer('slots')
    capacity = fields.object('capacity')
    worker = ttypes.WorkerRecord(
        worker_id=worker_id,
        # Start of the executor's process, not of its registration.
        incarnation=fields.integer('born'),
        pool=_text(fields, 'service'),
        address=address,
        zone=_text(fields, 'zone'),
        state=WORKER_STATES.get(state, 0),
        cpu_milli=capacity.integer('cpu', required=True, high=wire.MAX_INT32),
        memory_mb=capacity.integer(
            'memMb', required=True, high=wire.MAX_INT32
        ),
        accelerators=capacity.integer('gpu', high=wire.MAX_INT32),
        labels=labels,
        machine=fields.text('machine', limit=MAX_TEXT),
    )
    report = ttypes.WorkerReport(
        worker=worker,
        sequence=fields.integer('sequence', required=True),
        clock_ms=fields.integer('clockMs'),
        remaining_ms=fields.integer('remainingMs'),
        cold_remaining_ms=fields.integer('coldRemainingMs'),
    )
    return None if found.found else report


def _text(fields: wire.Fields, name: str) -> str:
    return fields.text(name, required=True, limit=MAX_TEXT)


def _check_address(address: str, found: findings.Findings) -> None:
    """Adds a finding unless an executor can be called at an address."""
    try:
        parsed = addresses.parse(address)
        host = ipaddress.ip_address(parsed.host)
    except ValueError as error:
        found.add('address', str(error))
        return
    if not parsed.port or host.is_unspecified or host.is_multicast:
        found.add('address', 'valid are one host and a port from 1')
