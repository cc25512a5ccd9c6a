"""States that several packages share."""

from __future__ import annotations

import enum


class Role(enum.Enum):
    """Role of a member in its replication group."""

    LEARNER = 'learner'
    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class ServiceClass(enum.Enum):
    """Lane of a request."""

    QUICK = 'quick'
    LONG = 'long'


class Adjacency(enum.Enum):
    """How closely the accelerators of a gang or shape lie together."""

    WORKER = 'worker'
    RACK = 'rack'
    ZONE = 'zone'
    ANY = 'any'


class Outcome(enum.Enum):
    """What is known of a request when its answer is sent.

    `NOT_RUN` is said only when it is certain.
    """

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ExitCode(enum.IntEnum):
    """Exit codes of the operator's command line."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3
