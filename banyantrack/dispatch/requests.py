"""Routes and the callers' requests that they match."""

from __future__ import annotations

import dataclasses
import time
import typing

from banyantrack.core import findings
from banyantrack.core import ids
from banyantrack.core import selectors
from banyantrack.core import states
from banyantrack.core import untrusted
from banyantrack.generated.intent import ttypes as intent

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.transport import http_server

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
)
MAX_DEADLINE_MS = 86_400_000
MAX_KEY_CHARACTERS = 200
_BOOLEANS = {'true': True, 'false': False}


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A configured route.

    Attributes:
        name: Name of the route.
        prefix: Path prefix of matching requests.
        selector: Selects the backends that serve the route by label.
        service_class: Declared lane.
        deadline_ms: Default deadline, in milliseconds after arrival.
        slots: Backend slots that one request uses.
        customer: Default customer.
        queue_limit: Length of the lane's queue from which on requests of the
            route are refused.
    """

    name: str
    prefix: str
    selector: selectors.Selector
    service_class: states.ServiceClass
    deadline_ms: int
    slots: int
    customer: str
    queue_limit: int


def make_route(name: str, route: intent.Route) -> Route:
    """Builds a route from its stored configuration."""
    return Route(
        name=name,
        prefix=route.prefix,
        selector=selectors.parse(route.selector or ''),
        service_class=states.ServiceClass(route.service_class),
        deadline_ms=route.deadline_ms,
        slots=route.slots,
        customer=route.customer or '',
        queue_limit=route.queue_limit,
    )


class RouteTable:
    """Finds the route of a path: the one with the longest prefix.

    Args:
        routes: All routes.
    """

    def __init__(self, routes: collections.abc.Iterable[Route] = ()) -> None:
        self._routes = sorted(routes, key=lambda route: -len(route.prefix))

    def __iter__(self) -> collections.abc.Iterator[Route]:
        return iter(self._routes)

    def find(self, path: str) -> Route | None:
        """Returns the route of a path, or None."""
        for route in self._routes:
            if path.startswith(route.prefix) and _ends_at_segment(
                path, route.prefix
            ):
                return route
        return None


def _ends_at_segment(path: str, prefix: str) -> bool:
    rest = path[len(prefix) :]
    return not rest or prefix.endswith('/') or rest[0] in '/?'


class CallerRequest:
    """A caller's request with its dispatch parameters and state.

    Args:
        route: Route of the request.
        request: The HTTP request.
        request_id: Id that is sent to the backend and returned to the caller.
        claimant: Id that is unique to this request, even if a caller reuses
            a request id.

    Attributes:
        customer: Customer that the request counts for.
        received_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time of the deadline, in seconds.
        key: Idempotency key; empty if the caller sent none.
        idempotent: Whether the request is safe to run twice.
        lane: Lane in which it is dispatched.
        body: The body, or the start of one too large to keep.
        body_complete: Whether `body` is the whole body.
        attempts: Number of attempts made, without hedges.
        broken_off: Number of attempts, with hedges, in which the backend
            ended the connection instead of answering.
        caller_disconnected: Whether the caller closed its connection.

    Raises:
        FindingsError: If a header is not valid.
    """

    __slots__ = (
        'route',
        'request_id',
        'customer',
        'deadline',
        'received_at',
        'idempotent',
        'key',
        'lane',
        'body',
        'body_complete',
        'attempts',
        'broken_off',
        'caller_disconnected',
        'claimant',
    )

    def __init__(
        self,
        route: Route,
        request: http_server.Request,
        request_id: ids.RequestId,
        claimant: str,
    ) -> None:
        headers = {
            key: value
            for key, value in request.headers
            if key.startswith((b'banyan-', b'idempotency-'))
        }
        self.route = route
        self.request_id = request_id
        self.received_at = time.monotonic()
        self.customer = (
            _header_text(headers, b'banyan-customer') or route.customer
        )
        deadline_ms = _deadline_ms(headers, route.deadline_ms)
        self.deadline = self.received_at + deadline_ms / 1000
        self.key = _idempotency_key(headers)
        self.idempotent = _is_idempotent(headers, request.method)
        self.lane = route.service_class
        self.body = b''
        self.body_complete = True
        self.attempts = 0
        self.broken_off = 0
        self.caller_disconnected = False
        self.claimant = claimant

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


def _header_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b'').decode('latin-1').strip()


def _deadline_ms(headers: dict[bytes, bytes], default_ms: int) -> int:
    if b'banyan-deadline-ms' not in headers:
        return default_ms
    text = _header_text(headers, b'banyan-deadline-ms')
    deadline_ms = untrusted.parse_decimal(text, high=MAX_DEADLINE_MS)
    if deadline_ms:
        return deadline_ms
    raise _invalid_header(
        'Banyan-Deadline-Ms', text, f'valid are 1 to {MAX_DEADLINE_MS}'
    )


def _is_idempotent(headers: dict[bytes, bytes], method: str) -> bool:
    if b'banyan-idempotent' not in headers:
        return method in IDEMPOTENT_METHODS
    text = _header_text(headers, b'banyan-idempotent').lower()
    if text not in _BOOLEANS:
        raise _invalid_header(
            'Banyan-Idempotent', text, 'valid are true and false'
        )
    return _BOOLEANS[text]


def _idempotency_key(headers: dict[bytes, bytes]) -> str:
    text = _header_text(headers, b'idempotency-key')
    if len(text) > MAX_KEY_CHARACTERS:
        raise _invalid_header(
            'Idempotency-Key',
            text[:20] + '...',
            f'valid are at most {MAX_KEY_CHARACTERS} characters',
        )
    return text


def _invalid_header(
    name: str, text: str, valid: str
) -> findings.FindingsError:
    return findings.FindingsError.of(
        'headers', [findings.Finding(name, f'got {text!r}; {valid}')]
    )
