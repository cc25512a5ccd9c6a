"""Work sessions, replication and executors in one process, in virtual time.

Sessions are those of the product. They send orders to stand-ins of executors
without a network. A group stands in for the replicas: it elects leaders, lets
leases lapse and commits commands.
"""

from __future__ import annotations

import collections
import enum
import json
import random
import time
import types
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import codec
from banyantrack.core import findings
from banyantrack.core import metrics
from banyantrack.core import signals
from banyantrack.daemons import report_spread
from banyantrack.daemons import work_api
from banyantrack.daemons import work_leadership
from banyantrack.generated.settings import ttypes as settings
from banyantrack.generated.workload import ttypes
from banyantrack.platform import wire
from banyantrack.platform import workers
from banyantrack.replication import errors as replication_errors
from banyantrack.testing import fake_executor
from banyantrack.testing import virtual
from banyantrack.testing import work_builders as builders
from banyantrack.transport import http_client
from banyantrack.transport import idle_connections
from banyantrack.workload import state as state_module
from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.generated.intent import ttypes as intent

# Time of an order on its way, and of its answer.
LINK_DELAY_S = 0.001
COMMIT_DURATION_S = 0.004
# Range of the time after which an order without an answer is carried out.
LATE_S = (2.0, 12.0)
# Workers above which reports are spread over members; more than it has.
LEADER_REPORTS = 500
# Connections to workers that stay open; more than it needs.
WORKER_CONNECTIONS = 500
# Time from the start of an executor until control has recorded it.
REGISTRATION_DELAY_S = 0.1
OPTIONS = settings.ControlPlatformSettings(
    lease_ms=fake_executor.MAX_LEASE_MS,
    stop_ms=400,
    gang_ms=1500,
    remote_factor=3.0,
    upkeep_s=2.0,
)


class Fate(enum.Enum):
    """What becomes of an order."""

    ANSWERED = 'answered'
    # Carried out seconds later, without an answer.
    LATE = 'late'
    # Carried out at once, but the answer is lost.
    ANSWER_LOST = 'answer lost'
    # No byte of it is sent.
    REFUSED = 'refused'
    # Carried out, and answered with a status that says nothing.
    ERROR = 'error'
    # The executor is unhealthy: it answers so, and does nothing.
    UNHEALTHY = 'unhealthy'


class Executor(fake_executor.FakeExecutor):
    """An executor that is called without a network.

    Args:
        name: Its id.
        address: Its address, a name only.
        observer: Shared by all executors.
        rng: Source of failures.
        **options: Further arguments of the base class.
    """

    def __init__(
        self,
        name: str,
        address: str,
        observer: fake_executor.Observer,
        rng: random.Random,
        **options: typing.Any,
    ) -> None:
        super().__init__(
            name, address, 'line', (), observer, rng=rng, **options
        )

    @property
    def incarnation(self) -> int:
        """Its incarnation; 0 while it is down."""
        return self._incarnation

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return bool(self._tasks)

    @property
    def has_ends(self) -> bool:
        """Whether ends of its runs are not acknowledged yet."""
        return bool(self._ends)

    @property
    def record(self) -> ttypes.WorkerRecord:
        """The record that its reports lead to."""
        states = {
            'ready': ttypes.WorkerState.READY,
            'draining': ttypes.WorkerState.DRAINING,
        }
        return builders.worker(
            self.name,
            state=states[self.state],
            zone=self.zone,
            incarnation=self._incarnation,
            address=self.address,
            cpu_milli=self._capacity['cpu'],
            memory_mb=self._capacity['memMb'],
            accelerators=self._capacity['gpu'],
        )

    async def open(self) -> None:
        """Starts the loop that runs tasks."""
        self._tasks.append(await curio.spawn(self._work_loop, daemon=True))

    async def open_again(self) -> None:
        """Starts again after a crash, under the same id."""
        self._reset()
        await self.open()

    async def crash(self) -> None:
        """Ends all tasks without a notice to control."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()
        self._incarnation = 0
        for run in list(self._runs.values()):
            self._end(run, 'crashed')


class _Connection:
    """Connection to an executor without a network.

    It has the methods of `HttpClient` that are used for orders.

    Args:
        address: Address of the executor.
        member: Member that sends the orders.
        group: The group of the member.
    """

    def __init__(self, address: str, member: Member, group: Group) -> None:
        self._address = address
        self._member = member
        self._group = group
        # Incarnation that the connection was opened to; 0 if it is closed.
        self._peer = 0

    @property
    def is_open(self) -> bool:
        """Whether the executor's process has not ended since the opening."""
        executor = self._group.executor_at(self._address)
        return bool(self._peer) and executor.incarnation == self._peer

    async def close(self) -> None:
        """Closes the connection."""
        self._peer = 0

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        only_if_open: bool = False,
    ) -> http_client.Answer:
        """Sends an order; see `HttpClient.request`."""
        await self._member.wait_awake()
        if only_if_open and not self.is_open:
            raise _no_response(http_client.NoResponse.CLOSED, sent=False)
        await curio.sleep(LINK_DELAY_S)
        executor = self._group.executor_at(self._address)
        fate = self._group.fate(executor, target)
        if not executor.up or fate is Fate.REFUSED:
            await self.close()
            raise _no_response(http_client.NoResponse.REFUSED, sent=False)
        self._peer = incarnation = executor.incarnation
        if fate is Fate.UNHEALTHY:
            return http_client.Answer(503, [], b'{}')
        if dict(headers)['expect-instance'] != executor.name:
            return http_client.Answer(421, [], b'{}')
        values = json.loads(body)
        answer: tuple[int, dict[str, typing.Any]] | None = None
        if fate is Fate.LATE:
            await self._group.spawn(
                self._carry_out_late, executor, target, values
            )
        else:
            async with curio.ignore_after(timeout_s):
                answer = await executor.carry_out(target, values)
        if answer is not None and fate is Fate.ERROR:
            return http_client.Answer(500, [], b'{}')
        if answer is None or fate is not Fate.ANSWERED:
            await curio.sleep(timeout_s)
            await self._member.wait_awake()
            await self.close()
            raise _no_response(http_client.NoResponse.TIMEOUT)
        await curio.sleep(LINK_DELAY_S)
        await self._member.wait_awake()
        if executor.incarnation != incarnation:
            await self.close()
            raise _no_response(http_client.NoResponse.CLOSED)
        status, answered = answer
        return http_client.Answer(status, [], wire.encode(answered))

    async def _carry_out_late(
        self,
        executor: Executor,
        path: str,
        values: dict[str, typing.Any],
    ) -> None:
        incarnation = executor.incarnation
        await curio.sleep(self._group.rng.uniform(*self._group.late_s))
        if executor.incarnation == incarnation or (
            executor.up and self._group.late_orders_outlive
        ):
            await executor.carry_out(path, values)


def _no_response(
    cause: http_client.NoResponse, *, sent: bool = True
) -> http_client.HttpError:
    return http_client.HttpError(cause.value, sent=sent, cause=cause)


class _Client(workers.HttpWorkerClient):
    """Client of an executor that calls it without a network.

    Args:
        worker: The worker.
        member: Member that sends the orders.
        group: The group of the member.
    """

    def __init__(
        self, worker: ttypes.WorkerRecord, member: Member, group: Group
    ) -> None:
        super().__init__(
            worker, idle_connections.IdleConnections(WORKER_CONNECTIONS)
        )
        self._order_client = _Connection(worker.address, member, group)
        self._lease_client = _Connection(worker.address, member, group)


class _PlatformClient(worker_client.PlatformClient):
    """Opens clients that call without a network."""

    def __init__(self, member: Member, group: Group) -> None:
        self._member = member
        self._group = group

    def open(self, worker: ttypes.WorkerRecord) -> worker_client.WorkerClient:
        return _Client(worker, self._member, self._group)

    async def advise(self, *_: object, **__: object) -> None:
        raise worker_client.NoAnswerError('no policy service')

    async def begin_upkeep(
        self, machine: str, *_: object, **__: object
    ) -> worker_client.OrderOutcome:
        await self._member.wait_awake()
        await curio.sleep(LINK_DELAY_S)
        self._group.upkeeps.append(machine)
        raise worker_client.NoAnswerError('no answer')


class Member:
    """A control member as a work session sees it, in one term as leader.

    Args:
        name: Its name.
        term: The term.

    Attributes:
        term: The term.
        is_leader: Whether it has not learnt of a later term.
        ready: False during a hand-over of the leadership.
        lease: Whether its lease holds.
        state: Its copy of the replicated state.
    """

    def __init__(
        self, name: str, term: int, state: state_module.WorkState
    ) -> None:
        self.member = types.SimpleNamespace(name=name)
        self.term = term
        self.is_leader = True
        self.ready = True
        self.lease = True
        self.state = state
        self._awake = True
        self._wake_signal = signals.Signal()

    def lease_holds(self) -> bool:
        """Whether no other leader can exist."""
        return self.is_leader and self.lease

    async def step_down(self) -> None:
        """Ends the leadership."""
        self.is_leader = False
        self.ready = False

    async def wait_next_applied(self, timeout_s: float) -> None:
        """Waits; entries of other leaders are not simulated."""
        await curio.sleep(timeout_s)

    async def freeze(self, duration_s: float) -> None:
        """Stands still: no order is sent and no answer is read."""
        self._awake = False
        await curio.sleep(duration_s)
        self._awake = True
        await self._wake_signal.notify()

    async def wait_awake(self) -> None:
        """Waits until it does not stand still."""
        while not self._awake:
            await self._wake_signal.wait()


class Group:
    """Control members that lead one after the other, and executors.

    Args:
        seed: Seed of all random choices.
        executors: Number of executors.
        capacity: Capacity of each executor; see `FakeExecutor`.
        zones: Availability zones of the executors, in turn.
        options: Settings of the platform.

    Attributes:
        rng: Source of random choices.
        observer: Records runs and violations of guarantees.
        executors: The executors.
        leader: The member that leads.
        fate: Decides what becomes of an order, from the executor and path.
        late_s: Range of the time until a late order is carried out.
        late_orders_outlive: Whether the next incarnation carries out late
            orders for one that has ended.
        crashes: Executors that have crashed under each task.
        upkeeps: Machines of all calls to begin an upkeep; each call is
            carried out, but not answered.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        executors: int = 2,
        capacity: dict[str, int] | None = None,
        zones: collections.abc.Sequence[str] = ('z1',),
        options: settings.ControlPlatformSettings = OPTIONS,
    ) -> None:
        self._options = options
        self.rng = random.Random(seed)
        self.observer = fake_executor.Observer()
        self.executors = [
            Executor(
                f'i-{number + 1}',
                f'host-{number + 1}:1',
                self.observer,
                self.rng,
                capacity=capacity,
                zone=zones[number % len(zones)],
            )
            for number in range(executors)
        ]
        self.leader: Member | None = None
        self.fate: collections.abc.Callable[[Executor, str], Fate] = (
            lambda *_: Fate.ANSWERED
        )
        self.late_s = LATE_S
        self.late_orders_outlive = False
        self.crashes: collections.Counter[str] = collections.Counter()
        self.upkeeps: list[str] = []
        self._leadership: work_leadership.WorkLeadership | None = None
        self._sequence = 0
        self._tasks: list[curio.Task] = []

    @property
    def state(self) -> state_module.WorkState:
        """The replicated state, as the leader has it."""
        return self.leader.state

    @property
    def _api(self) -> work_api.WorkApi:
        return work_api.WorkApi(
            self.leader,
            self.state,
            self._leadership,
            pool=None,
            spread=report_spread.ReportSpread(
                self.leader, self.state, LEADER_REPORTS
            ),
        )

    def executor_at(self, address: str) -> Executor | None:
        """Returns the executor at an address."""
        for executor in self.executors:
            if executor.address == address:
                return executor
        return None

    async def spawn(
        self, function: collections.abc.Callable[..., typing.Any], *args
    ) -> None:
        """Starts a task that ends with the group."""
        self._tasks.append(await curio.spawn(function, *args, daemon=True))

    async def open(self) -> None:
        """Starts all executors, records them and elects the first leader."""
        for executor in self.executors:
            await executor.open()
        await self.elect(
            builders.state(*(executor.record for executor in self.executors))
        )

    async def close(self) -> None:
        """Ends all tasks."""
        for executor in self.executors:
            await executor.crash()
        for task in self._tasks:
            await task.cancel()

    async def elect(self, state: state_module.WorkState | None = None) -> None:
        """Elects another leader, which starts from a snapshot.

        Args:
            state: The replicated state; None for that of the last leader.
        """
        term = 1
        if state is None:
            data = codec.encode(self.state.snapshot())
            state = state_module.WorkState()
            state.restore(codec.decode(ttypes.WorkSnapshot, data))
            term = self.leader.term + 1
            await self.leader.step_down()
        member = self.leader = Member(f'c{term}', term, state)

        async def propose(command: intent.Command) -> typing.Any:
            return await self._propose(member, command.work)

        self._leadership = leadership = work_leadership.WorkLeadership(
            member,
            state,
            _PlatformClient(member, self),
            self._options,
            propose,
            metrics.Metrics(),
        )
        await self.spawn(leadership.run)

    async def _propose(
        self, member: Member, command: ttypes.WorkCommand
    ) -> typing.Any:
        await member.wait_awake()
        if not member.ready:
            raise replication_errors.NotLeaderError('', '')
        await curio.sleep(COMMIT_DURATION_S)
        if member is not self.leader:
            raise replication_errors.UnknownOutcomeError('deposed')
        result = member.state.apply(command, clock.now_ms())
        await member.wait_awake()
        return result

    async def lapse(self, duration_s: float) -> None:
        """Lets the leader's lease lapse within its term.

        Args:
            duration_s: Time until the lease holds again.
        """
        member = self.leader
        member.lease = False
        await curio.sleep(duration_s)
        member.lease = True

    async def fail_hand_over(self, duration_s: float) -> None:
        """Lets a hand-over of the leadership fail: the leader leads on.

        Args:
            duration_s: Time until the leader gives up the hand-over.
        """
        member = self.leader
        member.ready = False
        await curio.sleep(duration_s)
        member.ready = member.is_leader

    async def restart(self, executor: Executor, down_s: float) -> None:
        """Crashes an executor, which starts again under its id.

        Args:
            executor: The executor.
            down_s: Time until it starts again.
        """
        for task in executor.running:
            self.crashes[task] += 1
        await executor.crash()
        await curio.sleep(down_s)
        if executor.up:
            # Another restart has overtaken this one.
            return
        await executor.open_again()
        await curio.sleep(REGISTRATION_DELAY_S)
        if executor.up:
            self.record(executor.record)

    def record(self, worker: ttypes.WorkerRecord) -> None:
        """Records a worker, as after its report."""
        self.state.apply(ttypes.WorkCommand(workers=[worker]), clock.now_ms())

    def evacuate(self, zone: str, *, end: bool = False) -> None:
        """Accepts an order to evacuate a zone, or to end it."""
        order = ttypes.EvacuationCommand(
            zone=zone, requester='operator', end=end
        )
        self.state.apply(ttypes.WorkCommand(evacuation=order), clock.now_ms())
        if end:
            self.observer.evacuated_s.pop(zone, None)
        else:
            self.observer.evacuated_s.setdefault(zone, time.monotonic())

    def start_wave(self, machines: list[str]) -> None:
        """Starts a wave of upkeep, one machine at a time.

        Args:
            machines: The machines, in the order of the wave.
        """
        wave = ttypes.Wave(
            number=1,
            machines=machines,
            duration_s=60,
            at_once=1,
            accepted_ms=clock.now_ms(),
            begun=[],
            begun_ms=[],
            state=ttypes.WaveState.RUNNING,
        )
        self.state.apply(ttypes.WorkCommand(wave=wave), clock.now_ms())

    async def notify_departure(self, executor: Executor) -> None:
        """Passes on a notice that an executor leaves; it may be a late one.

        Args:
            executor: The executor.
        """
        await self._api.leave(executor.name, 0)

    async def report(self, executor: Executor, *, clock_ms: int) -> None:
        """Sends a report of an executor.

        Args:
            executor: The executor.
            clock_ms: Clock in the report.
        """
        self._sequence += 1
        report = ttypes.WorkerReport(
            worker=executor.record,
            sequence=self._sequence,
            clock_ms=clock_ms,
            remaining_ms=0,
            cold_remaining_ms=executor.cold_remaining_ms,
        )
        await self._api.report(report, findings.Findings())

    def submit(
        self,
        job_id: str,
        *,
        count: int = 1,
        accelerators: int = 1,
        work_ms: int = 1000,
        queue: str = 'usual',
        **values: typing.Any,
    ) -> None:
        """Accepts a job of equal tasks.

        Args:
            job_id: Id of the job.
            count: Number of tasks.
            accelerators: Accelerators of a task.
            work_ms: Run time of a task.
            queue: Name of the queue.
            **values: Further fields of the step.
        """
        step = builders.step(
            count=count,
            accelerators=accelerators,
            estimated_ms=work_ms,
            memory_mb=0,
            **({'cpu_milli': 0} | values),
        )
        job = builders.job(job_id, step)
        job.spec = json.dumps({'ms': work_ms, 'need': {'gpu': accelerators}})
        answer = builders.submit(
            self.state, job, name=queue, now_ms=clock.now_ms()
        )
        if answer.verdict != ttypes.JobVerdict.DONE:
            raise ValueError(answer.detail)

    def cancel(self, job_id: str, *, queue: str = 'usual') -> None:
        """Cancels a job.

        Args:
            job_id: Id of the job.
            queue: Name of its queue.
        """
        command = ttypes.CancelCommand(
            host=builders.HOST,
            path=f'/{queue}/{job_id}',
            key=builders.customer_key('growers'),
        )
        self.state.apply(ttypes.WorkCommand(cancel=command), clock.now_ms())

    def job_states(self) -> collections.Counter[str]:
        """Returns the number of jobs in each state."""
        return collections.Counter(
            ttypes.JobState._VALUES_TO_NAMES[record.state].lower()
            for record in self.state.jobs.values()
        )


Scenario = typing.Callable[[Group], 'collections.abc.Awaitable[None]']


def run(scenario: Scenario, **options: typing.Any) -> None:
    """Runs a scenario with a group in virtual time.

    Args:
        scenario: Receives the group, which has a leader.
        **options: Arguments of the group.
    """

    async def main() -> None:
        group = Group(**options)
        await group.open()
        try:
            await scenario(group)
        finally:
            await group.close()

    virtual.run(main)
