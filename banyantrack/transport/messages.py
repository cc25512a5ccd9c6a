"""Kinds of RPC calls and their request and reply structs."""

from __future__ import annotations

import dataclasses
import enum

from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.replication import ttypes as replication
from banyantrack.generated.workload import ttypes as workload


class MessageKind(enum.IntEnum):
    """Kind of a call; the value of `Frame.kind`."""

    ERROR = 0
    VOTE = 1
    APPEND = 2
    SNAPSHOT = 3
    HAND_OVER = 4
    JOIN = 5
    WATCH = 10
    COMMAND = 11
    OPERATOR = 12
    GOSSIP = 20
    JOB = 30
    REPORT = 31
    MEMBERS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class CallType:
    """Request and reply struct types of one kind of call."""

    kind: MessageKind
    request: type
    reply: type


CALL_TYPES = (
    CallType(MessageKind.VOTE, replication.VoteRequest, replication.VoteReply),
    CallType(
        MessageKind.APPEND, replication.AppendRequest, replication.AppendReply
    ),
    CallType(
        MessageKind.SNAPSHOT,
        replication.SnapshotRequest,
        replication.SnapshotReply,
    ),
    CallType(
        MessageKind.HAND_OVER,
        replication.HandOverRequest,
        replication.HandOverReply,
    ),
    CallType(MessageKind.JOIN, replication.JoinRequest, replication.JoinReply),
    CallType(MessageKind.WATCH, cluster.WatchRequest, cluster.WatchReply),
    CallType(
        MessageKind.COMMAND, cluster.CommandRequest, cluster.CommandReply
    ),
    CallType(
        MessageKind.OPERATOR, cluster.OperatorRequest, cluster.OperatorReply
    ),
    CallType(MessageKind.GOSSIP, cluster.GossipRequest, cluster.GossipReply),
    CallType(MessageKind.JOB, workload.JobCall, workload.JobAnswer),
    CallType(MessageKind.REPORT, workload.ReportRequest, workload.ReportReply),
    CallType(
        MessageKind.MEMBERS, workload.MembersRequest, workload.MembersReply
    ),
)
BY_KIND = {int(call.kind): call for call in CALL_TYPES}
BY_REQUEST = {call.request: call for call in CALL_TYPES}
