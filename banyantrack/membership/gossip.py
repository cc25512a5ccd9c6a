"""Gossip between entries.

Each message carries the load of its sender, backends' announcements, changes
of the configuration, other entries' addresses and whether the sender leaves.
"""

from __future__ import annotations

import dataclasses
import logging
import time
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.membership import backends as backends_module
    from banyantrack.membership import config as config_module

# A peer without a message for this many gossip periods owns no slots.
ABSENT_AFTER_PERIODS = 8
# Time without a message from a peer after which the peer is removed.
REMOVAL_AGE_S = 300.0
CALL_TIMEOUT_S = 1.0
_LOG = logging.getLogger(__name__)


class LoadSource(typing.Protocol):
    """Load of this entry, as its dispatcher measures it."""

    def loads(self) -> list[cluster.BackendLoad]:
        """Returns the requests in flight by backend."""

    def demand(self) -> float:
        """Returns the averaged number of requests in flight and queued."""


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry.

    Attributes:
        address: RPC address.
        name: Name of the entry; empty until its first message or reply.
        incarnation: Number that increases when it restarts.
        revision: Revision of its configuration.
        last_message_at: Monotonic time in seconds of its last message.
        added_at: Monotonic time in seconds when its address was added.
        leaving: Whether it is stopping.
        loads: Requests in flight by backend: all, and long ones.
        loads_received_at: Monotonic time in seconds when `loads` arrived.
        demand: Averaged number of requests in flight and queued.
        acknowledged_version: `BackendTable.version` of the last message that
            it received.
        control_contact_at: Monotonic time in seconds of its last contact
            with a leader, computed from its last message.
    """

    address: str
    name: str = ''
    incarnation: int = 0
    revision: int = 0
    last_message_at: float = float('-inf')
    added_at: float = dataclasses.field(default_factory=clock.steady_s)
    leaving: bool = False
    loads: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    loads_received_at: float = 0.0
    demand: float = 0.0
    acknowledged_version: int = 0
    control_contact_at: float = float('-inf')


class Gossip:
    """Exchanges messages with all other entries.

    Args:
        name: Name of this entry.
        address: RPC address of this entry.
        peers: RPC addresses of the first peers.
        config: Configuration in force.
        backends: Table of backends.
        loads: Load of this entry.
        control: Gives the time of the last contact with the control group.
        pool: Connections to peers.
        period_s: Longest time in seconds between two messages to a peer.
    """

    def __init__(
        self,
        name: str,
        address: str,
        peers: list[str],
        *,
        config: config_module.Config,
        backends: backends_module.BackendTable,
        loads: LoadSource,
        control: config_module.ControlClient,
        pool: rpc.RpcPool,
        period_s: float,
    ) -> None:
        self._name = name
        self._address = address
        self._config = config
        self._backends = backends
        self._loads = loads
        self._control = control
        self._pool = pool
        self._period_s = period_s
        self._incarnation = int(time.time() * 1000)
        self._peers: dict[str, Peer] = {}
        self._leaving = False
        self._send_requested = signals.Signal()
        self._new_peers: list[Peer] = []
        for peer in peers:
            self.add_peer(peer)

    @property
    def peers(self) -> list[Peer]:
        """All other known entries, also absent ones."""
        return list(self._peers.values())

    @property
    def present_peers(self) -> list[Peer]:
        """Peers whose last message is recent and that are not leaving.

        Recent means within the last `ABSENT_AFTER_PERIODS` gossip periods.
        """
        since = clock.steady_s() - ABSENT_AFTER_PERIODS * self._period_s
        return [
            peer
            for peer in self._peers.values()
            if peer.last_message_at >= since and not peer.leaving
        ]

    @property
    def name(self) -> str:
        """Name of this entry."""
        return self._name

    def add_peer(self, address: str) -> None:
        """Adds an entry by its RPC address, unless it is known already."""
        if address != self._address and address not in self._peers:
            peer = Peer(address)
            self._peers[address] = peer
            self._new_peers.append(peer)

    def is_isolated(self, isolation_s: float) -> bool:
        """Returns whether this entry's configuration may be outdated.

        An entry without contact to the control group keeps serving while a
        present peer has contact, or while the present entries, itself
        included, are more than half of the known entries. In the second case
        either no change can be accepted, or the other entries are the
        isolated ones.

        Args:
            isolation_s: Tolerated seconds without contact to the control
                group.
        """
        now_s = clock.steady_s()
        if now_s - self._control.contact_at <= isolation_s:
            return False
        present_count = 1 + len(self.present_peers)
        known_count = 1 + sum(
            bool(peer.name) and not peer.leaving
            for peer in self._peers.values()
        )
        if any(
            now_s - peer.control_contact_at <= isolation_s
            for peer in self.present_peers
        ):
            return False
        return present_count * 2 <= known_count

    async def send_now(self) -> None:
        """Sends to all peers now instead of after the gossip period."""
        await self._send_requested.notify()

    async def leave(self) -> None:
        """Announces to all peers that this entry is stopping."""
        self._leaving = True
        await self.send_now()

    async def run(self) -> None:
        """Runs a task for each peer, also for later ones, until cancelled."""
        async with curio.TaskGroup() as tasks:
            while True:
                while self._new_peers:
                    await tasks.spawn(
                        self._send_periodically, self._new_peers.pop()
                    )
                await curio.sleep(self._period_s)
                self._backends.remove_expired()

    async def receive(
        self, request: cluster.GossipRequest
    ) -> cluster.GossipReply:
        """Applies a message of a peer and returns the reply to it."""
        self.add_peer(request.address)
        peer = self._peers.get(request.address)
        if peer is not None:
            self._record_message(peer, request)
        changed = False
        for announcement, age_ms in zip(
            request.announcements, request.announcement_ages_ms, strict=True
        ):
            changed |= self._backends.announce(
                announcement, age_s=age_ms / 1000
            )
        if self._config.apply_changes(
            request.objects_from_revision, request.revision, request.objects
        ):
            logs.event(
                _LOG,
                'config_from_peer',
                peer=request.entry,
                revision=request.revision,
            )
            await self._config.notify()
        for address in request.peers:
            self.add_peer(address)
        return cluster.GossipReply(
            revision=self._config.revision,
            entry=self._name,
            incarnation=self._incarnation,
            wants_all=False,
        )

    def _record_message(
        self, peer: Peer, request: cluster.GossipRequest
    ) -> None:
        now_s = clock.steady_s()
        if request.incarnation < peer.incarnation:
            return
        if request.incarnation > peer.incarnation:
            peer.acknowledged_version = 0
        if peer.leaving != request.leaving or not peer.name:
            logs.event(
                _LOG,
                'peer_seen',
                peer=request.entry,
                leaving=request.leaving,
            )
        peer.name = request.entry
        peer.incarnation = request.incarnation
        peer.revision = request.revision
        peer.last_message_at = now_s
        peer.leaving = request.leaving
        peer.loads = {
            load.backend_id: (load.in_flight, load.long_in_flight)
            for load in request.loads
        }
        peer.loads_received_at = now_s
        peer.demand = request.demand
        peer.control_contact_at = now_s - request.control_age_ms / 1000

    async def _send_periodically(self, peer: Peer) -> None:
        """Sends to one peer until the peer is removed."""
        while self._peers.get(peer.address) is peer:
            await self._send(peer)
            await self._send_requested.wait_for(self._period_s)
            silent_s = clock.steady_s() - max(
                peer.last_message_at, peer.added_at
            )
            control_silent_s = clock.steady_s() - self._control.contact_at
            # Without contact to the control group no peer is removed: absent
            # peers count in `is_isolated`.
            if silent_s > REMOVAL_AGE_S and control_silent_s < REMOVAL_AGE_S:
                del self._peers[peer.address]

    async def _send(self, peer: Peer) -> None:
        version = self._backends.version
        request = self._make_request(peer)
        try:
            reply = await self._pool.call(
                peer.address, request, timeout_s=CALL_TIMEOUT_S
            )
        except (rpc.TransportError, rpc.CallError) as error:
            logs.event(
                _LOG,
                'peer_unreachable',
                level=logging.DEBUG,
                peer=peer.address,
                error=error,
            )
            return
        if reply.incarnation != peer.incarnation:
            # The peer restarted, or has not sent its first message yet.
            peer.incarnation = reply.incarnation
            peer.name = reply.entry
            peer.acknowledged_version = 0
        else:
            peer.acknowledged_version = version
        peer.revision = reply.revision

    def _make_request(self, peer: Peer) -> cluster.GossipRequest:
        now_s = clock.steady_s()
        updated = self._backends.updated_after(peer.acknowledged_version)
        changes = self._config.changes_after(peer.revision)
        from_revision, objects = changes or (self._config.revision, [])
        age_ms = min((now_s - self._control.contact_at) * 1000, 1e12)
        return cluster.GossipRequest(
            entry=self._name,
            address=self._address,
            incarnation=self._incarnation,
            revision=self._config.revision,
            leaving=self._leaving,
            loads=self._loads.loads(),
            demand=self._loads.demand(),
            announcements=[b.announcement for b in updated],
            announcement_ages_ms=[
                int((now_s - b.announced_at) * 1000) for b in updated
            ],
            objects=objects,
            objects_from_revision=from_revision,
            peers=[p.address for p in self.present_peers],
            control_age_ms=int(age_ms),
        )
