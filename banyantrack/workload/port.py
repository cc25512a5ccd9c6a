"""How control gives orders to workers that are called.

Workers of another kind report by themselves and read their orders from the
answer; see `daemons.worker_api`.
"""

from __future__ import annotations

import abc
import dataclasses
import enum

from banyantrack.core import errors
from banyantrack.generated.workload import ttypes
from banyantrack.workload import layout


class NoAnswerError(errors.BanyanError):
    """An order got no answer; it may be carried out, also later.

    Attributes:
        sent: Whether any byte of it was sent; if not, nothing was done.
    """

    def __init__(self, message: str, *, sent: bool = True) -> None:
        super().__init__(message)
        self.sent = sent


class Reason(enum.Enum):
    """Outcome of an order that was answered."""

    DONE = 'done'
    # A higher fencing token was seen; another leader gives orders.
    FENCED = 'fenced'
    # The run is not higher than one that ended there.
    OLD_RUN = 'old-run'
    # The lease in the order had ended already.
    LATE = 'late'
    NO_ROOM = 'no-room'
    BAD_TICKET = 'bad-ticket'
    # A later life under the same id answered; it may have done it.
    OTHER_INCARNATION = 'other-incarnation'
    # Another worker has the address now; nothing was done.
    REPLACED = 'replaced'
    # The worker is unhealthy and has done nothing.
    UNHEALTHY = 'unhealthy'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class Ordered:
    """Answer to a start, stop or change of pace.

    Attributes:
        reason: Outcome.
        clock_ms: The worker's clock; None if the answer has none.
    """

    reason: Reason
    clock_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that is alive on a worker.

    Attributes:
        key: The task.
        run: Its number.
        checkpoint: Latest checkpoint; empty if there is none.
        percent: How far it is.
        usage: Tail of the response times in milliseconds of a serving
            task, else processors in use in thousandths; None if unknown.
    """

    key: layout.TaskId
    run: int
    checkpoint: str
    percent: int
    usage: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that ended on a worker.

    Attributes:
        number: Position in the worker's list of ends.
        key: The task.
        run: Its number.
        kind: How it ended.
        checkpoint: Latest checkpoint; empty if there is none.
    """

    number: int
    key: layout.TaskId
    run: int
    kind: ttypes.EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Answer to a renewal of a worker's lease.

    Attributes:
        reason: Outcome; the rest counts only for `DONE`.
        clock_ms: The worker's clock.
        running: Runs that are alive.
        ended: Ends that were not noted yet.
    """

    reason: Reason
    clock_ms: int | None
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


class WorkerPort(abc.ABC):
    """Orders to one incarnation of a worker.

    All methods raise `NoAnswerError` when no answer came in time.
    """

    @abc.abstractmethod
    async def start(
        self, start: ttypes.RunStart, spec: str, *, token: int, until_ms: int
    ) -> Ordered:
        """Starts a run.

        Args:
            start: The run.
            spec: What the job's tasks are told.
            token: Fencing token of the leader.
            until_ms: End of the lease on the worker's clock.
        """

    @abc.abstractmethod
    async def stop(
        self, key: layout.TaskId, run: int, *, token: int
    ) -> Ordered:
        """Stops a run, or makes sure that it never starts."""

    @abc.abstractmethod
    async def pace(
        self, key: layout.TaskId, run: int, percent: int, *, token: int
    ) -> Ordered:
        """Lets a run work at a share of its speed."""

    @abc.abstractmethod
    async def hold(
        self,
        *,
        token: int,
        noted: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Held:
        """Renews the lease and lists runs and ends.

        Args:
            token: Fencing token of the leader.
            noted: Number of the last end that is recorded.
            until_ms: End of the lease on the worker's clock; None leaves
                it as it is.
            wait_ms: Longest time to wait for an end.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Ends all connections."""


class Ports(abc.ABC):
    """Opens ports to workers, and calls the platform's services."""

    @abc.abstractmethod
    def open(self, worker: ttypes.WorkerRecord) -> WorkerPort:
        """Returns a port to one incarnation of a worker."""

    @abc.abstractmethod
    async def advise(
        self, group: layout.GroupKey, workers: list[str], *, timeout_s: float
    ) -> dict[str, str] | None:
        """Asks which workers may run a step.

        Args:
            group: The step, in one occurrence of its job.
            workers: At most a hundred of them.
            timeout_s: Seconds until the call is given up.

        Returns:
            Ticket by worker; None if the service is too busy.

        Raises:
            NoAnswerError: If it did not answer.
        """

    @abc.abstractmethod
    async def begin_upkeep(
        self, machine: str, wave: int, *, holder: str, token: int
    ) -> Reason:
        """Begins the upkeep of a machine.

        Raises:
            NoAnswerError: If the platform did not answer.
        """
