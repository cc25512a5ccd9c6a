"""Interface through which control sends orders to workers.

This is for workers that serve calls. Workers of the other kind send reports
and receive their orders in the answers; see `daemons.worker_api`.
"""

from __future__ import annotations

import abc
import dataclasses
import enum

from banyantrack.core import errors
from banyantrack.generated.workload import ttypes
from banyantrack.workload import layout


class Silence(enum.Enum):
    """How a worker failed to answer."""

    # Nothing came in time: the worker, its host or the network may be slow,
    # cut off or without power.
    TIMEOUT = 'timeout'
    # The host is up, but no process listens at the worker's port.
    REFUSED = 'refused'
    # The connection was closed or reset before the answer.
    CLOSED = 'closed'
    # The answer could not be read.
    INVALID = 'invalid'


class NoAnswerError(errors.BanyanError):
    """An order was not answered; the worker may execute it, even later.

    Attributes:
        sent: Whether any byte of the order was sent; if not, it was not
            executed.
        silence: How the worker failed to answer.
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool = True,
        silence: Silence = Silence.INVALID,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.silence = silence


class OrderOutcome(enum.Enum):
    """Outcome of an order that was answered."""

    DONE = 'done'
    # The worker has received a higher fencing token from a newer leader.
    FENCED = 'fenced'
    # The run number is not higher than that of a run that ended there.
    OLD_RUN = 'old-run'
    # The lease in the order had expired on arrival.
    LATE = 'late'
    NO_CAPACITY = 'no-room'
    BAD_TICKET = 'bad-ticket'
    # A later incarnation with the same id answered; the order was not sent.
    OTHER_INCARNATION = 'other-incarnation'
    # Another worker has the address now; the order was not executed.
    REPLACED = 'replaced'
    # The worker is unhealthy; the order was not executed.
    UNHEALTHY = 'unhealthy'
    INVALID = 'invalid'


# Outcomes of answers that came from another process.
ANSWERS_OF_OTHERS = frozenset(
    (OrderOutcome.REPLACED, OrderOutcome.OTHER_INCARNATION)
)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer to an order to start, stop or pace a run.

    Attributes:
        reason: Outcome.
        clock_ms: Time on the worker's clock, in milliseconds; None if the
            answer has none.
        incarnation: The incarnation that answered, if it is another one.
    """

    reason: OrderOutcome
    clock_ms: int | None
    incarnation: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that is alive on a worker.

    Attributes:
        key: The task.
        run: Its number.
        checkpoint: Latest checkpoint; empty if there is none.
        percent: Progress in percent.
        usage: For a serving task, tail response time in milliseconds; for
            other tasks, processors in use in thousandths. None if unknown.
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
        number: Position in the worker's list of ended runs.
        key: The task.
        run: Its number.
        kind: Outcome of the run.
        checkpoint: Latest checkpoint; empty if there is none.
    """

    number: int
    key: layout.TaskId
    run: int
    kind: ttypes.EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answer to a renewal of a worker's lease.

    Attributes:
        reason: Outcome; `running` and `ended` are valid only for `DONE`.
        clock_ms: Time on the worker's clock, in milliseconds; None if the
            answer has none.
        running: Runs that are alive.
        ended: Ended runs that were not acknowledged yet, oldest first.
        complete: Whether `ended` holds all of them; if not, the next list
            holds more once these are acknowledged.
        incarnation: The incarnation that answered, if it is another one.
    """

    reason: OrderOutcome
    clock_ms: int | None
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    complete: bool = True
    incarnation: int | None = None


class WorkerClient(abc.ABC):
    """Sends orders to one incarnation of a worker.

    An order that is answered was answered by that incarnation. One that is
    not answered may be executed late, also by a later incarnation that has
    the same address and id.

    All orders raise `NoAnswerError` if no answer arrives in time.
    """

    @abc.abstractmethod
    async def start(
        self,
        start: ttypes.RunStart,
        spec: str,
        *,
        token: int,
        lease_end_ms: int,
    ) -> OrderReply:
        """Starts a run.

        Args:
            start: The run.
            spec: Specification of the job, passed to its tasks.
            token: Fencing token of the leader.
            lease_end_ms: End of the lease on the worker's clock, in
                milliseconds.
        """

    @abc.abstractmethod
    async def stop(
        self, key: layout.TaskId, run: int, *, token: int
    ) -> OrderReply:
        """Stops a run, or prevents its start if it has not started."""

    @abc.abstractmethod
    async def pace(
        self, key: layout.TaskId, run: int, percent: int, *, token: int
    ) -> OrderReply:
        """Limits a run to a percentage of its full speed."""

    @abc.abstractmethod
    async def renew_lease(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> LeaseReply:
        """Renews the lease and returns the live and the ended runs.

        A client that has yet to find out which incarnation answers, such as
        on a new connection, leaves the lease as it is and acknowledges
        nothing.

        Args:
            token: Fencing token of the leader.
            acknowledged: Number of the last ended run that is recorded; this
                acknowledges all ended runs up to it.
            lease_end_ms: End of the lease on the worker's clock, in
                milliseconds; None keeps the current lease.
            wait_ms: Longest time that the worker delays its answer until a
                run ends, in milliseconds.
        """

    @abc.abstractmethod
    async def check(self, *, token: int, acknowledged: int) -> OrderReply:
        """Asks whether the worker answers; changes nothing there.

        The answer is expected sooner than that to an order.

        Args:
            token: Fencing token of the leader.
            acknowledged: Number of the last ended run that is recorded.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


class PlatformClient(abc.ABC):
    """Creates clients of workers, and calls the platform's services."""

    @abc.abstractmethod
    def open(self, worker: ttypes.WorkerRecord) -> WorkerClient:
        """Returns a client of one incarnation of a worker."""

    @abc.abstractmethod
    async def advise(
        self, group: layout.GroupKey, workers: list[str], *, timeout_s: float
    ) -> dict[str, str] | None:
        """Asks the policy service which workers may run a step.

        Args:
            group: The step, in one occurrence of its job.
            workers: Ids of at most 100 workers.
            timeout_s: Timeout of the call, in seconds.

        Returns:
            Ticket by id of each approved worker; None if the service is too
            busy.

        Raises:
            NoAnswerError: If the service did not answer.
        """

    @abc.abstractmethod
    async def begin_upkeep(
        self, machine: str, wave: int, *, holder: str, token: int
    ) -> OrderOutcome:
        """Begins the upkeep of a machine.

        Raises:
            NoAnswerError: If the platform did not answer.
        """
