"""The configuration that an entry has in force.

It comes from the leader of the control group, first whole and confirmed by
a quorum, then change by change. Peers may pass on later changes, but never
the start. Its revision only goes up.
"""

from __future__ import annotations

import logging
import time
import typing

import curio

from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    import collections.abc

WATCH_WAIT_MS = 2000
WATCH_MARGIN_S = 1.0
RETRY_S = 0.05
# Stands for the revision of an entry that has no configuration yet.
NOT_STARTED = -1
_LOG = logging.getLogger(__name__)
Kind = intent.ObjectKind


class Config:
    """Objects in force.

    Args:
        keep: Changes that are kept for peers.
    """

    def __init__(self, *, keep: int = 256) -> None:
        self._objects: dict[tuple[int, str], intent.StoredObject] = {}
        self._revision = NOT_STARTED
        self._keep = keep
        self._recent: list[intent.StoredObject] = []
        self._recent_from = 0
        self._changed = signals.Signal()

    @property
    def revision(self) -> int:
        """Revision in force; `NOT_STARTED` before the start."""
        return self._revision

    @property
    def started(self) -> bool:
        """Whether any configuration is in force."""
        return self._revision != NOT_STARTED

    def of_kind(self, kind: int) -> list[intent.StoredObject]:
        """Returns all objects of a kind."""
        return [o for key, o in self._objects.items() if key[0] == kind]

    def replace(
        self, revision: int, objects: list[intent.StoredObject]
    ) -> bool:
        """Puts a whole configuration in force, unless it is older."""
        if revision < self._revision:
            return False
        self._objects = {(o.kind, o.name): o for o in objects}
        self._recent = []
        self._recent_from = revision
        self._advance(revision)
        return True

    def change(
        self,
        from_revision: int,
        revision: int,
        objects: list[intent.StoredObject],
    ) -> bool:
        """Puts changes in force, unless some before them are missing.

        Args:
            from_revision: Revision that the changes build on.
            revision: Revision after them.
            objects: Changed objects in the order of their revisions.

        Returns:
            Whether the revision went up.
        """
        if not self.started or from_revision > self._revision:
            return False
        if revision <= self._revision:
            return False
        fresh = [o for o in objects if o.revision > self._revision]
        for stored in fresh:
            key = (stored.kind, stored.name)
            if stored.deleted:
                self._objects.pop(key, None)
            else:
                self._objects[key] = stored
        self._remember(fresh)
        self._advance(revision)
        return True

    def changes_after(
        self, revision: int
    ) -> tuple[int, list[intent.StoredObject]] | None:
        """Returns changes for a peer, or None if it is too far behind."""
        if revision < self._recent_from:
            return None
        return revision, [o for o in self._recent if o.revision > revision]

    async def notify(self) -> None:
        """Tells those who wait that the configuration changed."""
        await self._changed.notify()

    async def wait(self, timeout_s: float) -> None:
        """Waits for a change."""
        await self._changed.wait_for(timeout_s)

    def _remember(self, fresh: list[intent.StoredObject]) -> None:
        self._recent.extend(fresh)
        excess = len(self._recent) - self._keep
        if excess > 0:
            self._recent_from = self._recent[excess - 1].revision
            self._recent = [
                o for o in self._recent if o.revision > self._recent_from
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
        pool: Connections.
    """

    def __init__(self, addresses: list[str], pool: rpc.RpcPool) -> None:
        self._addresses = list(addresses)
        self._pool = pool
        self._leader = ''
        self._next = 0
        self._contact_at = float('-inf')

    @property
    def contact_at(self) -> float:
        """Monotonic time of the last answer of a leader."""
        return self._contact_at

    async def call(
        self, request: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Calls the leader, looking for it if needed.

        Only a call that certainly was not taken is made again.

        Raises:
            rpc.TransportError: If no leader answered; its `sent` says
                whether one may have taken the call.
            rpc.CallError: If the leader refused.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                raise rpc.TransportError('no leader answered', sent=False)
            address = self._leader or self._candidate()
            try:
                reply = await self._pool.call(
                    address, request, timeout_s=left_s
                )
            except rpc.CallError as error:
                if error.code != cluster.ErrorCode.NOT_LEADER:
                    self._contact_at = time.monotonic()
                    raise
                self._leader = error.leader_address
                if not self._leader:
                    await curio.sleep(RETRY_S)
                continue
            except rpc.TransportError as error:
                self._leader = ''
                if error.sent:
                    raise
                await curio.sleep(RETRY_S)
                continue
            self._leader = address
            self._contact_at = time.monotonic()
            return reply

    def _candidate(self) -> str:
        self._next = (self._next + 1) % len(self._addresses)
        return self._addresses[self._next]


class Follower:
    """Keeps a configuration up to date from the control group.

    Args:
        config: What is in force.
        control: The control group; its connection is held open by
            requests that wait, so it is not shared with other calls.
        entry: Name of this entry.
        rpc_address: Its RPC address.
        http_address: Its HTTP address.
        on_entries: Receives the RPC addresses of other entries.
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
        """Follows until cancelled."""
        while True:
            try:
                await self._ask()
            except (rpc.TransportError, rpc.CallError) as error:
                logs.event(
                    _LOG,
                    'control_unreachable',
                    level=logging.DEBUG,
                    error=error,
                )
                await curio.sleep(RETRY_S)

    async def _ask(self) -> None:
        revision = self._config.revision
        request = cluster.WatchRequest(
            entry=self._entry,
            from_revision=revision,
            wait_ms=WATCH_WAIT_MS,
            entry_address=self._rpc_address,
            http_address=self._http_address,
            all_kinds=False,
        )
        reply = await self._control.call(
            request, timeout_s=WATCH_WAIT_MS / 1000 + WATCH_MARGIN_S
        )
        if reply.full:
            changed = self._config.replace(reply.revision, reply.objects)
        else:
            changed = self._config.change(
                revision, reply.revision, reply.objects
            )
        self._on_entries(reply.entries)
        if changed and (reply.full or reply.objects):
            logs.event(
                _LOG,
                'config_in_force',
                revision=reply.revision,
                changes=len(reply.objects),
                whole=reply.full,
            )
            await self._config.notify()
