"""The configuration in force at an entry, and the client of its source.

The leader of the control group first sends the complete configuration,
confirmed by a quorum, and then the changes. Peers may forward later changes,
but never the first configuration. The revision never decreases.
"""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    import collections.abc

# Longest time that the leader delays the answer to a watch request while
# nothing changes.
WATCH_WAIT_MS = 2000
# Added to `WATCH_WAIT_MS` for the timeout of a watch request.
WATCH_MARGIN_S = 1.0
RETRY_INTERVAL_S = 0.05
# Revision of an entry that has no configuration yet.
NO_REVISION = -1
_LOG = logging.getLogger(__name__)
Kind = intent.ObjectKind


class Config:
    """Objects of the configuration in force, by kind and name.

    Args:
        recent_limit: Most recent changes that are kept for peers.
    """

    def __init__(self, *, recent_limit: int = 256) -> None:
        self._objects: dict[tuple[int, str], intent.StoredObject] = {}
        self._revision = NO_REVISION
        self._recent_limit = recent_limit
        self._recent: list[intent.StoredObject] = []
        # Revision after which `_recent` holds all changes.
        self._recent_base = 0
        self._evacuated_zones: frozenset[str] = frozenset()
        self._changed = signals.Signal()

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Evacuated availability zones, as the leader said last.

        They are not part of the revision, and peers do not forward them.
        """
        return self._evacuated_zones

    @property
    def revision(self) -> int:
        """Revision in force; `NO_REVISION` if there is none."""
        return self._revision

    @property
    def loaded(self) -> bool:
        """Whether a configuration is in force."""
        return self._revision != NO_REVISION

    def of_kind(self, kind: int) -> list[intent.StoredObject]:
        """Returns all objects of a kind."""
        return [o for key, o in self._objects.items() if key[0] == kind]

    def replace(
        self, revision: int, objects: list[intent.StoredObject]
    ) -> bool:
        """Replaces the configuration, unless the new one is older.

        Args:
            revision: Revision of the new configuration.
            objects: All of its objects.

        Returns:
            Whether the configuration was replaced.
        """
        if revision < self._revision:
            return False
        self._objects = {(o.kind, o.name): o for o in objects}
        self._recent = []
        self._recent_base = revision
        self._advance(revision)
        return True

    def set_evacuated_zones(self, zones: frozenset[str]) -> bool:
        """Replaces the evacuated zones; returns whether they have changed."""
        changed = zones != self._evacuated_zones
        self._evacuated_zones = zones
        return changed

    def apply_changes(
        self,
        from_revision: int,
        revision: int,
        objects: list[intent.StoredObject],
    ) -> bool:
        """Applies changes, unless earlier changes are missing.

        Args:
            from_revision: Revision that the changes are based on.
            revision: Revision after them.
            objects: Changed objects in the order of their revisions.

        Returns:
            Whether the revision increased.
        """
        if not self.loaded or from_revision > self._revision:
            return False
        if revision <= self._revision:
            return False
        new_objects = [o for o in objects if o.revision > self._revision]
        for stored in new_objects:
            key = (stored.kind, stored.name)
            if stored.deleted:
                self._objects.pop(key, None)
            else:
                self._objects[key] = stored
        self._add_recent(new_objects)
        self._advance(revision)
        return True

    def changes_after(
        self, revision: int
    ) -> tuple[int, list[intent.StoredObject]] | None:
        """Returns the changes after a revision, for a peer.

        Args:
            revision: Revision that the peer has.

        Returns:
            The same revision and the objects changed after it, in order, or
            None if some of these changes are no longer kept.
        """
        if revision < self._recent_base:
            return None
        return revision, [o for o in self._recent if o.revision > revision]

    async def notify(self) -> None:
        """Wakes the tasks in `wait` after a change."""
        await self._changed.notify()

    async def wait(self, timeout_s: float) -> None:
        """Waits for a change, for `timeout_s` at most."""
        await self._changed.wait_for(timeout_s)

    def _add_recent(self, new_objects: list[intent.StoredObject]) -> None:
        self._recent.extend(new_objects)
        excess = len(self._recent) - self._recent_limit
        if excess > 0:
            self._recent_base = self._recent[excess - 1].revision
            self._recent = [
                o for o in self._recent if o.revision > self._recent_base
            ]

    def _advance(self, revision: int) -> None:
        errors.check_invariant(
            revision >= self._revision,
            'revision %d in force after %d',
            revision,
            self._revision,
        )
        self._revision = revision


class ControlClient:
    """Calls the leader of the control group.

    Args:
        addresses: RPC addresses of control members.
        pool: Connections to the members.
    """

    def __init__(self, addresses: list[str], pool: rpc.RpcPool) -> None:
        self._addresses = list(addresses)
        self._pool = pool
        self._leader_address = ''
        self._next_index = 0
        self._contact_at = float('-inf')

    @property
    def contact_at(self) -> float:
        """Monotonic time in seconds of the last answer from a leader."""
        return self._contact_at

    async def call(
        self, request: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Calls the leader, after searching for it if it is unknown.

        A call is retried only if no leader can have received it.

        Raises:
            rpc.TransportError: If no leader answered; its `sent` is True if
                a leader may have received the call.
            rpc.CallError: If the leader rejected the call.
        """
        deadline = clock.steady_s() + timeout_s
        while True:
            remaining_s = deadline - clock.steady_s()
            if remaining_s <= 0:
                raise rpc.TransportError('no leader answered', sent=False)
            address = self._leader_address or self._next_address()
            try:
                reply = await self._pool.call(
                    address, request, timeout_s=remaining_s
                )
            except rpc.CallError as error:
                if error.code != cluster.ErrorCode.NOT_LEADER:
                    self._contact_at = clock.steady_s()
                    raise
                self._leader_address = error.leader_address
                if not self._leader_address:
                    await curio.sleep(RETRY_INTERVAL_S)
                continue
            except rpc.TransportError as error:
                self._leader_address = ''
                if error.sent:
                    raise
                await curio.sleep(RETRY_INTERVAL_S)
                continue
            self._leader_address = address
            self._contact_at = clock.steady_s()
            return reply

    def _next_address(self) -> str:
        self._next_index = (self._next_index + 1) % len(self._addresses)
        return self._addresses[self._next_index]


class ConfigWatcher:
    """Updates a configuration with watch requests to the control group.

    Args:
        config: The configuration in force.
        control: Client of the control group. A watch request occupies its
            connection until the leader answers, so its pool is not shared
            with other calls.
        entry: Name of this entry.
        rpc_address: RPC address of this entry.
        http_address: HTTP address of this entry.
        on_entries: Called with the RPC addresses of other entries.
    """

    def __init__(
        self,
        config: Config,
        control: ControlClient,
        *,
        entry: str,
        rpc_address: str,
        http_address: str,
        on_entries: collections.abc.Callable[[list[str]], None],
    ) -> None:
        self._config = config
        self._control = control
        self._entry = entry
        self._rpc_address = rpc_address
        self._http_address = http_address
        self._on_entries = on_entries

    async def run(self) -> None:
        """Sends watch requests until cancelled."""
        while True:
            try:
                await self._watch()
            except (rpc.TransportError, rpc.CallError) as error:
                logs.event(
                    _LOG,
                    'control_unreachable',
                    level=logging.DEBUG,
                    error=error,
                )
                await curio.sleep(RETRY_INTERVAL_S)

    async def _watch(self) -> None:
        revision = self._config.revision
        request = cluster.WatchRequest(
            entry=self._entry,
            from_revision=revision,
            wait_ms=WATCH_WAIT_MS,
            entry_address=self._rpc_address,
            http_address=self._http_address,
            all_kinds=False,
            evacuated_zones=sorted(self._config.evacuated_zones),
        )
        reply = await self._control.call(
            request, timeout_s=WATCH_WAIT_MS / 1000 + WATCH_MARGIN_S
        )
        if reply.full:
            changed = self._config.replace(reply.revision, reply.objects)
        else:
            changed = self._config.apply_changes(
                revision, reply.revision, reply.objects
            )
        self._on_entries(reply.entries)
        # A leader of a build that does not know evacuations changes nothing.
        if reply.evacuated_zones is not None and (
            self._config.set_evacuated_zones(frozenset(reply.evacuated_zones))
        ):
            logs.event(
                _LOG,
                'evacuated_zones',
                zones=','.join(reply.evacuated_zones) or None,
            )
            await self._config.notify()
        if changed and (reply.full or reply.objects):
            logs.event(
                _LOG,
                'config_in_force',
                revision=reply.revision,
                changes=len(reply.objects),
                whole=reply.full,
            )
            await self._config.notify()
