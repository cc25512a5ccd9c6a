"""Limits of the memory, descriptors and time that clients may use.

Design load: 700 connections at an entry with 160 MB and 1,578 at a control
member with 296 MB, each of which may stall at any byte; 4 MiB reports and
8 MiB configurations are still read meanwhile. The decisions (what is admitted,
which request is dropped) run without a network.

All state is kept in the memory of the process and starts empty: the bytes that
each request holds, and the order in which requests began. It is derived from
the process's own reads; the address of a client is the one of its socket.
Each entry ends with its request or connection.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import enum
import logging
import resource
import typing

from banyantrack.core import logs
from banyantrack.transport import descriptors as descriptors_module
from banyantrack.transport import http

if typing.TYPE_CHECKING:
    from banyantrack.core import metrics as metrics_module
    from banyantrack.generated.settings import ttypes as settings_types

MIB = 1024 * 1024
DEFAULT_BUFFERED_BYTES = 128 * MIB
# A process takes 20 to 32 MB when idle; the rest is for decoded requests and
# for memory that the allocator does not return.
BASE_MEMORY_BYTES = 64 * MIB
# Share of the remaining memory for buffered requests.
BUFFERED_SHARE = 1 / 3
# The largest configuration, 8 MiB, counts twice.
MIN_BUFFERED_BYTES = 24 * MIB
# RPC frames have a budget of their own, so that clients never take it from
# members and entries. It holds one frame of the largest size.
MEMBERS_SHARE = 1 / 3
MIN_MEMBERS_BYTES = 20 * MIB
# A body is copied once when it is complete, and decoded afterwards.
BODY_FACTOR = 2
REQUEST_OVERHEAD_BYTES = 4096
# An ordinary job has at most this size. Unfinished requests that hold less
# are dropped only when no larger one is left.
SMALL_BYTES = 64 * 1024
# Share of the memory for connections, and what one takes: its task, its state
# and a request head beside another one that is pipelined.
CONNECTION_MEMORY_SHARE = 0.25
CONNECTION_BYTES = 48 * 1024
# Descriptors of listeners, the selector, logs and signals.
OWN_DESCRIPTORS = 32
# Shares of the descriptors left beside files; the rest, a quarter, is for
# connections to other processes.
CLIENTS_SHARE = 0.5
MEMBERS_CONNECTION_SHARE = 0.15
OPERATORS_SHARE = 0.05
PROBES_SHARE = 0.05
MIN_CONNECTIONS = 8
MAX_CONNECTIONS = 10_000
_LOG = logging.getLogger(__name__)


class Refusal(enum.Enum):
    """Why a request was refused or a connection closed."""

    BUDGET = 'budget'
    SOURCE = 'source'
    DROPPED = 'dropped'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    DEADLINE = 'deadline'
    NOT_READING = 'not-reading'
    CONNECTIONS = 'connections'


class BudgetError(http.ProtocolError):
    """A request was refused before it was executed.

    Attributes:
        refusal: Why it was refused.
    """

    def __init__(self, refusal: Refusal, message: str) -> None:
        super().__init__(message, 503)
        self.refusal = refusal


def dropped_error() -> BudgetError:
    """Returns the error of a request that was dropped for others."""
    return BudgetError(
        Refusal.DROPPED, 'dropped, since memory for requests is short'
    )


class Holding:
    """The bytes that one request holds.

    Args:
        budget: Where the bytes are reserved.
        source: Address of the client, without its port.
        drop: Called when the request is dropped.

    Attributes:
        dropped: Whether the request was dropped for others.
    """

    __slots__ = (
        '_budget',
        '_source',
        '_drop',
        '_held_bytes',
        '_unfinished',
        'dropped',
    )

    def __init__(
        self,
        budget: ByteBudget,
        source: str,
        drop: collections.abc.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._source = source
        self._drop = drop
        self._held_bytes = 0
        self._unfinished = False
        self.dropped = False

    @property
    def unfinished(self) -> bool:
        """Whether the request may be dropped for others."""
        return self._unfinished

    @property
    def source(self) -> str:
        """Address of the client, without its port."""
        return self._source

    @property
    def held_bytes(self) -> int:
        """Bytes that are reserved."""
        return self._held_bytes

    def resize(self, size: int) -> bool:
        """Reserves bytes before they are read, or returns some.

        Args:
            size: Bytes that the request holds from now on.

        Returns:
            Whether other requests were dropped. Their memory is free when
            their tasks have run.

        Raises:
            BudgetError: If they cannot be reserved, or the request was
                dropped.
        """
        if self.dropped:
            raise dropped_error()
        dropped = self._budget.make_room(self, size - self._held_bytes)
        self._budget.add(self, size - self._held_bytes)
        self._held_bytes = size
        return dropped

    def set_unfinished(self, unfinished: bool) -> None:
        """Sets whether the request may be dropped for others."""
        self._unfinished = unfinished and not self.dropped
        self._budget.set_unfinished(self, self._unfinished)

    def release(self) -> None:
        """Returns all bytes; may be called repeatedly."""
        self.set_unfinished(False)
        self._budget.add(self, -self._held_bytes)
        self._held_bytes = 0

    def drop(self) -> None:
        """Returns all bytes and ends the request."""
        self.release()
        self.dropped = True
        self._drop()


class ByteBudget:
    """Bytes that the requests of one process hold together.

    Args:
        limit_bytes: Bytes that all requests may hold.
        source_share: Share of them for requests of one address.
        refusals: Counts the dropped requests.
    """

    def __init__(
        self,
        limit_bytes: int,
        source_share: float = 1.0,
        refusals: Refusals | None = None,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._source_limit_bytes = int(limit_bytes * source_share)
        self._refusals = refusals or Refusals()
        self._held_bytes = 0
        self._by_source: collections.Counter[str] = collections.Counter()
        # In the order in which they began.
        self._unfinished: dict[Holding, None] = {}

    @property
    def limit_bytes(self) -> int:
        """Bytes that all requests may hold."""
        return self._limit_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that requests hold now."""
        return self._held_bytes

    @property
    def sources(self) -> int:
        """Number of addresses whose requests hold bytes."""
        return len(self._by_source)

    def make_room(self, holding: Holding, size: int) -> bool:
        """Drops unfinished requests until bytes are free.

        Args:
            holding: The request that the bytes are for.
            size: Number of bytes.

        Returns:
            Whether any request was dropped.

        Raises:
            BudgetError: If too many bytes are held by requests that cannot be
                dropped.
        """
        source = holding.source
        dropped = False
        while self._by_source[source] + size > self._source_limit_bytes:
            self._drop_oldest(holding, source, Refusal.SOURCE)
            dropped = True
        while self._held_bytes + size > self._limit_bytes:
            self._drop_oldest(holding, None, Refusal.BUDGET)
            dropped = True
        if not self._by_source[source]:
            del self._by_source[source]
        return dropped

    def add(self, holding: Holding, size: int) -> None:
        """Counts bytes of a request; negative ones are returned."""
        if not size:
            return
        self._held_bytes += size
        self._by_source[holding.source] += size
        if not self._by_source[holding.source]:
            del self._by_source[holding.source]

    def set_unfinished(self, holding: Holding, unfinished: bool) -> None:
        """Sets whether a request may be dropped for others."""
        if unfinished:
            self._unfinished.setdefault(holding)
        else:
            self._unfinished.pop(holding, None)

    def _drop_oldest(
        self, holding: Holding, source: str | None, refusal: Refusal
    ) -> None:
        """Drops the oldest large unfinished request, else the oldest one.

        Raises:
            BudgetError: If there is none besides `holding`.
        """
        oldest = None
        for other in self._unfinished:
            if other is holding or not other.held_bytes:
                continue
            if source is not None and other.source != source:
                continue
            oldest = oldest or other
            if other.held_bytes >= SMALL_BYTES:
                oldest = other
                break
        if oldest is None:
            raise BudgetError(refusal, 'memory for requests is short')
        self._refusals.add(
            Refusal.DROPPED,
            source=oldest.source,
            held_bytes=oldest.held_bytes,
            cause=refusal.value,
            budget_bytes=self._limit_bytes,
        )
        oldest.drop()


class Refusals:
    """Counts and logs refused requests and closed connections.

    Args:
        metrics: Where they are counted; nowhere if None.
    """

    def __init__(self, metrics: metrics_module.Metrics | None = None) -> None:
        self._metrics = metrics

    def add(self, refusal: Refusal, **values: object) -> None:
        """Counts one refusal and logs its inputs.

        The log limits the lines of this event in each second.
        """
        if self._metrics is not None:
            self._metrics.counter('banyan_refused', reason=refusal.value).add()
        logs.event(
            _LOG,
            'client_refused',
            level=logging.WARNING,
            reason=refusal.value,
            **values,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Connections that listeners accept at once.

    Each kind of listener has a limit of its own, so that clients of one never
    take the descriptors of another.

    Attributes:
        clients: Customers, workers, backends.
        members: RPC of members and entries.
        operators: Operators and metrics.
        probes: Readiness probes.
    """

    clients: int = MAX_CONNECTIONS
    members: int = MAX_CONNECTIONS
    operators: int = MAX_CONNECTIONS
    probes: int = MAX_CONNECTIONS


def connection_limits(
    descriptors: int, file_descriptors: int, memory_mb: int
) -> ConnectionLimits:
    """Divides the descriptors of a process among its listeners.

    Args:
        descriptors: Descriptors of the process.
        file_descriptors: Descriptors that are kept free for files.
        memory_mb: Memory of the host; 0 if it is not known.
    """
    reserved = min(file_descriptors, descriptors // 2) + OWN_DESCRIPTORS
    free = max(descriptors - reserved, 0)

    def limit(share: float) -> int:
        return min(max(int(free * share), MIN_CONNECTIONS), MAX_CONNECTIONS)

    clients = limit(CLIENTS_SHARE)
    if memory_mb:
        memory_bytes = memory_mb * MIB * CONNECTION_MEMORY_SHARE
        clients = min(clients, int(memory_bytes / CONNECTION_BYTES))
    return ConnectionLimits(
        clients=max(clients, MIN_CONNECTIONS),
        members=limit(MEMBERS_CONNECTION_SHARE),
        operators=limit(OPERATORS_SHARE),
        probes=limit(PROBES_SHARE),
    )


def buffered_limits(buffered_bytes: int, memory_mb: int) -> tuple[int, int]:
    """Returns the budgets of clients and of members in bytes.

    Args:
        buffered_bytes: Bytes for both; 0 takes them from the memory.
        memory_mb: Memory of the host; 0 if it is not known.
    """
    total = buffered_bytes
    if not total and memory_mb:
        free = memory_mb * MIB - BASE_MEMORY_BYTES
        total = int(free * BUFFERED_SHARE)
    total = total or DEFAULT_BUFFERED_BYTES
    members = max(int(total * MEMBERS_SHARE), MIN_MEMBERS_BYTES)
    return max(total - members, MIN_BUFFERED_BYTES), members


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits of the listeners of one process.

    Attributes:
        clients: Bytes that HTTP requests hold.
        members: Bytes that RPC frames hold.
        refusals: Counts and logs refusals.
        connections: Connections of each kind of listener.
        head_timeout_s: Longest time for a request head or an RPC frame.
        body_timeout_s: Longest time for a body that is read as a whole.
        send_timeout_s: Longest time to send one part of a response.
        idle_timeout_s: Longest idle time of a connection.
        unchecked_chunks: Chunks after which their mean size is checked.
        mean_chunk_bytes: Least mean size of chunks.
    """

    clients: ByteBudget = dataclasses.field(
        default_factory=lambda: ByteBudget(DEFAULT_BUFFERED_BYTES)
    )
    members: ByteBudget = dataclasses.field(
        default_factory=lambda: ByteBudget(DEFAULT_BUFFERED_BYTES)
    )
    refusals: Refusals = dataclasses.field(default_factory=Refusals)
    connections: ConnectionLimits = ConnectionLimits()
    head_timeout_s: float = 15.0
    body_timeout_s: float = 120.0
    send_timeout_s: float = 60.0
    idle_timeout_s: float = 300.0
    unchecked_chunks: int = 1024
    mean_chunk_bytes: int = 64

    def check_chunks(self, chunks: int, size: int) -> None:
        """Checks the mean size of the chunks of a body.

        Args:
            chunks: Number of chunks received.
            size: Bytes in them.

        Raises:
            ProtocolError: If the chunks are far too small.
        """
        if (
            chunks > self.unchecked_chunks
            and size < chunks * self.mean_chunk_bytes
        ):
            self.refusals.add(Refusal.CHUNKS, chunks=chunks, bytes=size)
            raise http.ProtocolError(
                f'got {size} bytes in {chunks} chunks; valid is a mean size'
                f' of {self.mean_chunk_bytes} bytes'
            )


def make_limits(
    settings: settings_types.LimitSettings, metrics: metrics_module.Metrics
) -> Limits:
    """Returns the limits of a process.

    Args:
        settings: Checked settings.
        metrics: Receives counters of refusals and a gauge of held bytes.
    """
    descriptors = settings.descriptors
    system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if system_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors or system_limit, system_limit)
    descriptors = descriptors or 2 * MAX_CONNECTIONS
    descriptors_module.LIMIT.set(descriptors, settings.file_descriptors)
    refusals = Refusals(metrics)
    clients, members = buffered_limits(
        settings.buffered_bytes, settings.memory_mb
    )
    limits = Limits(
        clients=ByteBudget(clients, settings.source_share, refusals),
        members=ByteBudget(members, 1.0, refusals),
        refusals=refusals,
        connections=connection_limits(
            descriptors,
            settings.file_descriptors,
            settings.memory_mb,
        ),
        head_timeout_s=settings.head_timeout_ms / 1000,
        body_timeout_s=settings.body_timeout_ms / 1000,
        send_timeout_s=settings.send_timeout_ms / 1000,
        idle_timeout_s=settings.idle_timeout_ms / 1000,
        unchecked_chunks=settings.unchecked_chunks,
        mean_chunk_bytes=settings.mean_chunk_bytes,
    )
    metrics.gauge('banyan_held_bytes', lambda: limits.clients.held_bytes)
    metrics.gauge('banyan_held_frame_bytes', lambda: limits.members.held_bytes)
    logs.event(
        _LOG,
        'limits',
        memory_mb=settings.memory_mb,
        descriptors=descriptors,
        buffered_bytes=clients,
        frame_bytes=members,
        clients=limits.connections.clients,
        members=limits.connections.members,
        operators=limits.connections.operators,
        probes=limits.connections.probes,
    )
    return limits
