"""Errors of the replicated log."""

from __future__ import annotations

from banyantrack.core import errors


class ReplicationError(errors.BanyanError):
    """Base class of the errors of this package."""


class NotLeaderError(ReplicationError):
    """This member does not lead; the proposal was not applied.

    Attributes:
        leader_address: RPC address of the leader, or empty.
        leader_service_address: Its service address, or empty.
    """

    def __init__(
        self, leader_address: str, leader_service_address: str
    ) -> None:
        super().__init__(
            f'this member does not lead; leader: {leader_address or "unknown"}'
        )
        self.leader_address = leader_address
        self.leader_service_address = leader_service_address


class NotAppliedError(ReplicationError):
    """A proposal was not applied and never will be."""


class UnknownOutcomeError(ReplicationError):
    """A proposal may have been applied or may be applied later."""


class MembershipError(ReplicationError):
    """A membership change is not possible now."""


class StorageError(ReplicationError):
    """The storage cannot be read or written; fatal."""


class CorruptionError(StorageError):
    """A file holds an invalid record before its end."""


class DiskFullError(StorageError):
    """There is no space to write; existing data is intact."""
