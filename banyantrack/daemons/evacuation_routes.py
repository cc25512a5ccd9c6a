"""Operators' routes for evacuations of availability zones."""

from __future__ import annotations

import typing

from banyantrack.core import findings
from banyantrack.daemons import operator_api
from banyantrack.daemons import views
from banyantrack.transport import problems
from banyantrack.workload import evacuations

if typing.TYPE_CHECKING:
    from banyantrack.generated.cluster import ttypes as cluster


@operator_api.ROUTES.register('GET evacuations')
async def _list(
    api: operator_api.OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    await api.ensure_current_state()
    return operator_api.json_reply(200, views.evacuations_view(api))


@operator_api.ROUTES.register('PUT evacuation')
async def _begin(
    api: operator_api.OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    if request.body:
        return problems.reply(400, 'got a body; valid is none')
    zone = parameters['zone']
    found = findings.Findings()
    verdict = await api.evacuations.begin(
        zone, _requester(api, request), found
    )
    found.raise_any('nothing was ordered')
    if verdict is evacuations.Verdict.FULL:
        return problems.reply(
            409,
            f'{evacuations.EVACUATIONS_LIMIT} zones are evacuated; valid are'
            ' no more',
        )
    await api.placement.request_round()
    document = views.evacuations_view(api)
    # Another order may have ended it since.
    item = next(
        (item for item in document['items'] if item['zone'] == zone),
        {'zone': zone, 'runs': 0},
    )
    return operator_api.json_reply(
        200, item | {'affected_customers': document['affected_customers']}
    )


@operator_api.ROUTES.register('DELETE evacuation')
async def _end(
    api: operator_api.OperatorApi,
    request: cluster.OperatorRequest,
    parameters: dict[str, str],
) -> cluster.OperatorReply:
    if request.body:
        return problems.reply(400, 'got a body; valid is none')
    zone = parameters['zone']
    await api.evacuations.end(zone, _requester(api, request))
    await api.placement.request_round()
    return operator_api.json_reply(200, {'ended': zone})


def _requester(
    api: operator_api.OperatorApi, request: cluster.OperatorRequest
) -> str:
    """Returns the name of the caller's token, or `operator` without one."""
    return api.name_of(request.headers.get('authorization', '')) or 'operator'
