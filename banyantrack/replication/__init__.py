"""A replicated log to embed, based on the Raft consensus algorithm.

Commits a sequence of entries among up to seven voters, stores the entries
durably and applies them to a state machine of the embedding program.
"""

from banyantrack.replication.api import Applied
from banyantrack.replication.api import Options
from banyantrack.replication.api import ReplicaStatus
from banyantrack.replication.api import StateMachine
from banyantrack.replication.api import Transport
from banyantrack.replication.errors import CorruptionError
from banyantrack.replication.errors import DiskFullError
from banyantrack.replication.errors import MembershipError
from banyantrack.replication.errors import NotAppliedError
from banyantrack.replication.errors import NotLeaderError
from banyantrack.replication.errors import ReplicationError
from banyantrack.replication.errors import StorageError
from banyantrack.replication.errors import UnknownOutcomeError
from banyantrack.replication.replica import Replica
from banyantrack.replication.rpc_handlers import register
from banyantrack.replication.storage import Storage

__all__ = (
    'Applied',
    'CorruptionError',
    'DiskFullError',
    'MembershipError',
    'NotAppliedError',
    'NotLeaderError',
    'Options',
    'Replica',
    'ReplicaStatus',
    'ReplicationError',
    'StateMachine',
    'Storage',
    'StorageError',
    'Transport',
    'UnknownOutcomeError',
    'register',
)
