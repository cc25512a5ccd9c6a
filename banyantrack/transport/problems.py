"""Error responses as RFC 9457 problem documents."""

from __future__ import annotations

import json
import typing

from banyantrack.core import states
from banyantrack.generated.cluster import ttypes as cluster

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.core import findings

CONTENT_TYPE = 'application/problem+json'
TITLES = {
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    405: 'Method Not Allowed',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def body(
    status: int,
    detail: str,
    *,
    found: collections.abc.Iterable[findings.Finding] = (),
    **members: object,
) -> bytes:
    """Returns an encoded problem document.

    Args:
        status: HTTP status code.
        detail: Explanation of this error.
        found: Findings about the request's input.
        **members: Extension members of the document.
    """
    document: dict[str, object] = {
        'type': 'about:blank',
        'title': TITLES.get(status, ''),
        'status': status,
        'detail': detail,
    }
    listed = [{'place': f.place, 'message': f.message} for f in found]
    if listed:
        document['findings'] = listed
    return json.dumps(document | members).encode()


def reply(
    status: int,
    detail: str,
    *,
    outcome: states.Outcome = states.Outcome.NOT_RUN,
    headers: dict[str, str] | None = None,
    found: collections.abc.Iterable[findings.Finding] = (),
    **members: object,
) -> cluster.OperatorReply:
    """Returns a reply to an operator that holds a problem document.

    Args:
        status: HTTP status code.
        detail: Explanation of this error.
        outcome: Whether the request has been executed.
        headers: Additional headers.
        found: Findings about the request's input.
        **members: Extension members of the document.
    """
    return cluster.OperatorReply(
        status=status,
        headers={
            'content-type': CONTENT_TYPE,
            'banyan-outcome': outcome.value,
            **(headers or {}),
        },
        body=body(status, detail, found=found, **members),
    )
