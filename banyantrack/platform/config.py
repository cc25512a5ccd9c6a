"""Decodes configurations and waves of upkeep from the platform's operator."""

from __future__ import annotations

import typing

from banyantrack.generated.workload import ttypes
from banyantrack.platform import wire

if typing.TYPE_CHECKING:
    from banyantrack.core import findings


def parse_config(
    body: bytes, found: findings.Findings
) -> ttypes.WorkConfig | None:
    """Decodes a configuration.

    Args:
        body: Body of the request, JSON.
        found: Receives all findings about the form of the body.

    Returns:
        The configuration; None if there are findings.
    """
    fields = wire.parse(body, found)
    if fields is None:
        return None
    config = ttypes.WorkConfig(
        version=fields.integer('version', required=True),
        queues=[_queue(route) for route in fields.objects('routes')],
        pools=[_pool(service) for service in fields.objects('services')],
        accounts=[
            _account(tenant)
            for tenant in fields.objects('tenants', required=False)
        ],
        document=body,
    )
    return None if found.found else config


def _queue(fields: wire.Fields) -> ttypes.Queue:
    advice = None
    if 'advice' in fields:
        advice_fields = fields.object('advice')
        advice = ttypes.Advice(
            decision_ms=advice_fields.integer(
                'decisionMs', high=wire.MAX_INT32
            ),
            per_worker_ms=advice_fields.integer(
                'perWorkerMs', high=wire.MAX_INT32
            ),
            validity_ms=advice_fields.integer(
                'validityMs', high=wire.MAX_INT32
            ),
        )
    return ttypes.Queue(
        name=fields.text('name', required=True),
        host=fields.text('host', required=True),
        prefix=fields.text('pathPrefix', required=True),
        pool=fields.text('service', required=True),
        priority=fields.integer('priority', high=wire.MAX_INT32),
        attempts=fields.integer('attempts', high=wire.MAX_INT32) or 1,
        stretch=fields.number('stretch') or 1.0,
        objective_ms=fields.integer('latencySloMs', high=wire.MAX_INT32),
        open_to_all=fields.flag('public'),
        advice=advice,
        timeout_ms=fields.integer('timeoutMs', high=wire.MAX_INT32),
    )


def _pool(fields: wire.Fields) -> ttypes.Pool:
    return ttypes.Pool(
        name=fields.text('name', required=True),
        spare=fields.flag('spare'),
        guards_capacity=fields.flag('rejectsOverload'),
    )


def _account(fields: wire.Fields) -> ttypes.Account:
    guaranteed = 0
    if 'guaranteed' in fields:
        guaranteed = fields.object('guaranteed').integer(
            'gpu', high=wire.MAX_INT32
        )
    return ttypes.Account(
        name=fields.text('name', required=True),
        keys=fields.texts('apiKeys'),
        guaranteed_accelerators=guaranteed,
    )


def parse_wave(body: bytes, found: findings.Findings) -> ttypes.Wave | None:
    """Decodes a wave of upkeep; returns None if there are findings."""
    fields = wire.parse(body, found)
    if fields is None:
        return None
    wave = ttypes.Wave(
        number=fields.integer('wave', required=True),
        machines=fields.texts('machines', required=True),
        duration_s=fields.integer('durationS', high=wire.MAX_INT32),
        at_once=fields.integer('maximum', high=wire.MAX_INT32) or 1,
        accepted_ms=0,
        begun=[],
        begun_ms=[],
        state=ttypes.WaveState.RUNNING,
    )
    return None if found.found else wave


def wave_body(wave: ttypes.Wave) -> dict[str, str]:
    """Returns the body of a response with the state of a wave."""
    done = wave.state == ttypes.WaveState.COMPLETED
    return {'state': 'completed' if done else 'running'}
