"""Registers the request handlers of a replica with an RPC server."""

from __future__ import annotations

import logging
import typing

from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.replication import ttypes
from banyantrack.replication import elections
from banyantrack.replication import errors as replication_errors
from banyantrack.replication import joining
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.replication import replica

_LOG = logging.getLogger(__name__)


def register(server: rpc.RpcServer, member: replica.Replica) -> None:
    """Registers the handlers for requests of other members.

    Args:
        server: RPC server at the member's address.
        member: The member.
    """

    async def vote(request: ttypes.VoteRequest) -> ttypes.VoteReply:
        return await elections.receive_vote(member, request)

    async def hand_over(
        request: ttypes.HandOverRequest,
    ) -> ttypes.HandOverReply:
        return await elections.receive_hand_over(member, request)

    async def join(request: ttypes.JoinRequest) -> ttypes.JoinReply:
        return await joining.receive_join(member, request)

    for request_type, handler in (
        (ttypes.VoteRequest, vote),
        (ttypes.HandOverRequest, hand_over),
        (ttypes.AppendRequest, member.receive_append),
        (ttypes.SnapshotRequest, member.receive_snapshot),
    ):
        server.handle(request_type, _guarded(member, handler))
    server.handle(ttypes.JoinRequest, join, concurrent=True)


def _guarded(member: replica.Replica, handler: rpc.Handler) -> rpc.Handler:
    """Wraps a handler so that its errors stop the member.

    A full disk only fails the request.
    """

    async def handle(request: typing.Any) -> typing.Any:
        try:
            return await handler(request)
        except replication_errors.DiskFullError as error:
            # Existing data is intact, so the member continues.
            logs.event(_LOG, 'disk_full', level=logging.ERROR, error=error)
            raise rpc.CallError(
                cluster.ErrorCode.UNAVAILABLE, str(error)
            ) from error
        except errors.BanyanError as error:
            await member.fail(error)
            raise rpc.CallError(
                cluster.ErrorCode.UNAVAILABLE, str(error)
            ) from error

    return handle
