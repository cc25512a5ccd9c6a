"""Enumerations that several packages use."""

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
    """Smallest unit that must contain all accelerators of a gang or shape."""

    WORKER = 'worker'
    RACK = 'rack'
    ZONE = 'zone'
    ANY = 'any'


class Outcome(enum.Enum):
    """Outcome of a request, as reported with its answer.

    `NOT_RUN` is reported only if the request certainly did not run.
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
