"""A caller's request as the dispatcher sees it."""

from __future__ import annotations

import dataclasses
import time
import typing

from banyantrack.core import findings
from banyantrack.core import ids
from banyantrack.core import selectors
from banyantrack.core import states
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
        name: Its name.
        prefix: Path prefix of its requests.
        selector: Backends that serve it.
        service_class: Lane that it declares.
        deadline_ms: Deadline of requests that state none.
        slots: Slots that one request takes.
        customer: Customer of requests that state none.
        queue_limit: Requests that may wait.
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
    """Returns a route of the configuration."""
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
            if path.startswith(route.prefix) and _ends_segment(
                path, route.prefix
            ):
                return route
        return None


def _ends_segment(path: str, prefix: str) -> bool:
    rest = path[len(prefix) :]
    return not rest or prefix.endswith('/') or rest[0] in '/?'


class CallerRequest:
    """One request and what decides how it is treated.

    Args:
        route: Its route.
        request: The HTTP request.
        request_id: Id that goes to the backend and back.
        claimant: Names this very arrival, also where a caller sends an id
            twice.

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
        'caller_gone',
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
        self.customer = _text(headers, b'banyan-customer') or route.customer
        deadline_ms = _deadline_ms(headers, route.deadline_ms)
        self.deadline = self.received_at + deadline_ms / 1000
        self.key = _key(headers)
        self.idempotent = _idempotent(headers, request.method)
        self.lane = route.service_class
        self.body = b''
        self.body_complete = True
        self.attempts = 0
        self.caller_gone = False
        self.claimant = claimant

    @property
    def left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


def _text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b'').decode('latin-1').strip()


def _deadline_ms(headers: dict[bytes, bytes], default_ms: int) -> int:
    if b'banyan-deadline-ms' not in headers:
        return default_ms
    text = _text(headers, b'banyan-deadline-ms')
    if (
        text.isascii()
        and text.isdigit()
        and (0 < int(text) <= MAX_DEADLINE_MS)
    ):
        return int(text)
    raise _invalid(
        'Banyan-Deadline-Ms', text, f'valid are 1 to {MAX_DEADLINE_MS}'
    )


def _idempotent(headers: dict[bytes, bytes], method: str) -> bool:
    if b'banyan-idempotent' not in headers:
        return method in IDEMPOTENT_METHODS
    text = _text(headers, b'banyan-idempotent').lower()
    if text not in _BOOLEANS:
        raise _invalid('Banyan-Idempotent', text, 'valid are true and false')
    return _BOOLEANS[text]


def _key(headers: dict[bytes, bytes]) -> str:
    text = _text(headers, b'idempotency-key')
    if len(text) > MAX_KEY_CHARACTERS:
        raise _invalid(
            'Idempotency-Key',
            text[:20] + '...',
            f'valid are at most {MAX_KEY_CHARACTERS} characters',
        )
    return text


def _invalid(name: str, text: str, valid: str) -> findings.FindingsError:
    return findings.FindingsError.of(
        'headers', [findings.Finding(name, f'got {text!r}; {valid}')]
    )
