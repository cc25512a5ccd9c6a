"""Serves the configuration to entries and tracks their revisions."""

from __future__ import annotations

import dataclasses
import logging
import typing

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import feed
from banyantrack.replication import errors as replication_errors
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.intent import state as state_module
    from banyantrack.replication import replica as replica_module

# Kinds of objects in the configuration of entries.
ENTRY_KINDS = (
    intent.ObjectKind.CUSTOMER,
    intent.ObjectKind.GUARANTEE,
    intent.ObjectKind.ROUTE,
    intent.ObjectKind.BACKEND_LABELS,
)
BARRIER_TIMEOUT_S = 2.0
# An entry is listed as silent, and later removed from the list, this long
# after its last request.
SILENT_AFTER_S = 15.0
FORGET_AFTER_S = 86_400.0
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class EntryStatus:
    """Status of one entry, from its last request.

    Attributes:
        name: Its name.
        address: Its RPC address.
        http_address: Its HTTP address.
        revision: Revision that it has in force; 0 if none.
        heard_at: Monotonic time of its last request.
    """

    name: str
    address: str
    http_address: str
    revision: int
    heard_at: float

    @property
    def silent(self) -> bool:
        """Whether its last request is older than `SILENT_AFTER_S`."""
        return clock.steady_s() - self.heard_at > SILENT_AFTER_S


class Rollout:
    """Answers entries that watch the configuration.

    Args:
        replica: The member.
        state: The replicated state.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.IntentState,
    ) -> None:
        self._replica = replica
        self._state = state
        self._entries: dict[str, EntryStatus] = {}

    @property
    def entries(self) -> list[EntryStatus]:
        """Entries that sent a request in the last day, sorted by name."""
        now_s = clock.steady_s()
        for name, entry in list(self._entries.items()):
            if now_s - entry.heard_at > FORGET_AFTER_S:
                del self._entries[name]
        return sorted(self._entries.values(), key=lambda entry: entry.name)

    async def watch(self, request: cluster.WatchRequest) -> cluster.WatchReply:
        """Answers with the changes after the entry's revision.

        Without changes, the answer waits for at most `request.wait_ms`.

        Raises:
            rpc.CallError: If this member does not lead.
        """
        if not self._replica.ready:
            raise self.not_leader_error()
        self._record_request(request)
        if request.from_revision < 0:
            return await self._confirmed_snapshot()
        deadline_s = clock.steady_s() + request.wait_ms / 1000
        while True:
            reply = self._changes(request.from_revision)
            left_s = deadline_s - clock.steady_s()
            if (
                reply.full
                or reply.objects
                or left_s <= 0
                or self._has_other_zones(request)
            ):
                return reply
            await self._replica.wait_next_applied(left_s)
            if not self._replica.ready:
                raise self.not_leader_error()

    def _has_other_zones(self, request: cluster.WatchRequest) -> bool:
        """Whether other zones are evacuated than those the entry knows."""
        return (
            request.evacuated_zones is not None
            and request.evacuated_zones != self._evacuated_zones()
        )

    def _evacuated_zones(self) -> list[str]:
        return sorted(self._state.work.evacuations.in_force)

    def not_leader_error(self) -> rpc.CallError:
        """Returns the error that names the leader."""
        error = self._replica.not_leader_error()
        return rpc.CallError(
            cluster.ErrorCode.NOT_LEADER,
            str(error),
            leader_address=error.leader_address,
        )

    def _record_request(self, request: cluster.WatchRequest) -> None:
        known = self._entries.get(request.entry)
        if known is not None and request.from_revision < known.revision:
            # A restarted entry has no configuration in force.
            logs.event(
                _LOG,
                'entry_starts_over',
                entry=request.entry,
                revision=known.revision,
            )
        self._entries[request.entry] = EntryStatus(
            name=request.entry,
            address=request.entry_address,
            http_address=request.http_address,
            revision=max(request.from_revision, 0),
            heard_at=clock.steady_s(),
        )

    async def _confirmed_snapshot(self) -> cluster.WatchReply:
        """Returns the whole configuration, confirmed by a quorum."""
        try:
            await self._replica.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        except replication_errors.ReplicationError:
            raise self.not_leader_error() from None
        return self._snapshot()

    def _snapshot(self) -> cluster.WatchReply:
        return cluster.WatchReply(
            full=True,
            revision=self._state.revision,
            objects=self._state.of_kind(*ENTRY_KINDS),
            entries=self._entry_addresses(),
            evacuated_zones=self._evacuated_zones(),
        )

    def _changes(self, revision: int) -> cluster.WatchReply:
        if revision > self._state.revision:
            # This leader has not yet applied the revision that a previous
            # leader sent to the entry.
            raise self.not_leader_error()
        try:
            changes = self._state.feed.after(revision)
        except feed.CompactedError:
            return self._snapshot()
        return cluster.WatchReply(
            full=False,
            revision=self._state.revision,
            objects=[c for c in changes if c.kind in ENTRY_KINDS],
            entries=self._entry_addresses(),
            evacuated_zones=self._evacuated_zones(),
        )

    def _entry_addresses(self) -> list[str]:
        return [
            entry.address
            for entry in self._entries.values()
            if not entry.silent
        ]
