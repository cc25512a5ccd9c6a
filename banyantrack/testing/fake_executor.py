"""Stand-in for the platform's executors, after its documentation.

An executor checks leases and fencing tokens, lists its runs and their ends,
and may carry out orders late without an answer. It answers no more than the
documentation promises: its incarnation is only in its announcements and in
its lists of runs. All executors of a test share an observer that records
violations of guarantees. The spec of a job is JSON that defines how its tasks
behave: `ms` (run time), `fail` (share of runs that fail), `gang` (number of
members), `need` (resources of a task) and `crash` (indexes of the tasks that
crash each executor that starts them).
"""

from __future__ import annotations

import collections
import dataclasses
import inspect
import json
import random
import time
import typing

import curio

from banyantrack.platform import wire
from banyantrack.transport import http_client
from banyantrack.transport import http_server

if typing.TYPE_CHECKING:
    import collections.abc

TICK_INTERVAL_S = 0.01
ANNOUNCE_INTERVAL_S = 0.3
ANNOUNCE_TIMEOUT_S = 1.0
# Time from the order to stop until the run has ended.
STOP_DURATION_S = 0.05
# Longest wait of a gang's member for the others; then it ends as `alone`.
GANG_WAIT_S = 1.5
# Leases that end later than this from now are shortened.
MAX_LEASE_MS = 6000
CHECKPOINT_INTERVAL_MS = 100
# Time from the start of a task that crashes its executor until the crash.
CRASH_DELAY_S = 0.01
# Time from a crash under a task until the executor is back.
CRASH_DOWN_S = 1.0
# A task under which so many executors have crashed may be given up.
CRASHES_TO_GIVE_UP = 2
# A task under which so many executors have crashed may still be started
# `STARTS_AFTER_CRASHES` times.
CRASH_LIMIT = 3
STARTS_AFTER_CRASHES = 2
# Most ends that it lists in one answer.
ENDS_PER_LIST = 500
# Time after the acknowledgement of an evacuation from which no task starts in
# the zone.
EVACUATION_GRACE_S = 5.0
# Time after which starts must respect a capacity that has shrunk.
SHRINK_GRACE_S = 1.5


@dataclasses.dataclass(slots=True)
class Run:
    """A run on an executor.

    Attributes:
        task: Name of its task.
        run: Its number.
        resources: Reserved amounts by kind of resource.
        work_ms: Run time that the task needs.
        fails: Whether it fails at its end.
        gang: Number of members of its gang; 0 for no gang.
        crashes: Whether it crashes its executor.
        done_ms: Run time so far, including that of its checkpoint.
        arrived_s: Monotonic time of its start, in seconds.
        stop_at_s: Monotonic time at which it stops; None without an order.
    """

    task: str
    run: int
    resources: dict[str, int]
    work_ms: float
    fails: bool
    gang: int
    crashes: bool
    done_ms: float
    arrived_s: float
    stop_at_s: float | None = None

    @property
    def group(self) -> str:
        """Task name without its index: the step and the occurrence."""
        return self.task.rpartition('.')[0]


class Observer:
    """Records runs of all executors of a test and violated guarantees.

    Attributes:
        broken: Descriptions of the violations.
        starts: Task and run of each start.
        alone: Tasks of gang members that waited too long for the others.
        done: Tasks whose successful end was acknowledged.
        live: Executor and run of the live runs of each task.
        present: Live members of each run of a gang.
        ended: How the first member of each run of a gang ended.
        failures: Runs of each task that have failed by themselves.
        crashes: Executors that each task has crashed.
        crash_victims: Tasks that were alive on an executor when another task
            crashed it, one entry a run.
        evacuated_s: Monotonic time of the acknowledgement of each evacuation
            in force, by zone; set and cleared by the test.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.starts: list[tuple[str, int]] = []
        self.alone: list[str] = []
        self.done: set[str] = set()
        self.live: dict[str, set[tuple[str, int]]] = {}
        self.present: dict[tuple[str, int], set[str]] = {}
        self.ended: dict[tuple[str, int], str] = {}
        self.failures: collections.Counter[str] = collections.Counter()
        self.crashes: collections.Counter[str] = collections.Counter()
        self.crash_victims: list[str] = []
        self.evacuated_s: dict[str, float] = {}
        self._starts_after_crashes: collections.Counter[str] = (
            collections.Counter()
        )
        self._starts_at_end: dict[tuple[str, int], int] = {}

    def started(self, executor: str, run: Run, zone: str = '') -> None:
        """Records a start."""
        since_s = time.monotonic() - self.evacuated_s.get(zone, float('inf'))
        if since_s > EVACUATION_GRACE_S:
            self.broken.append(
                f'{run.task} starts on {executor} in {zone}, evacuated for'
                f' {since_s:.3f} s'
            )
        live = self.live.setdefault(run.task, set())
        if live:
            self.broken.append(f'{run.task} twice: {live} and {executor}')
        if run.task in self.done:
            self.broken.append(f'{run.task} starts after it was done')
        if self.crashes[run.task] >= CRASH_LIMIT:
            self._starts_after_crashes[run.task] += 1
            if self._starts_after_crashes[run.task] > STARTS_AFTER_CRASHES:
                self.broken.append(
                    f'{run.task} starts again after it has crashed'
                    f' {self.crashes[run.task]} executors'
                )
        live.add((executor, run.run))
        self.starts.append((run.task, run.run))
        if run.gang:
            self.present.setdefault((run.group, run.run), set()).add(run.task)

    def crashed(self, task: str, others: list[str]) -> None:
        """Records that a task has crashed its executor.

        Args:
            task: Name of the task.
            others: Names of the other tasks on the executor.
        """
        self.crashes[task] += 1
        self.crash_victims += others

    def finished(self, executor: str, run: Run, how: str) -> None:
        """Records an end.

        Args:
            executor: Name of the executor.
            run: The run.
            how: Kind of the end, such as `done` or `stopped`.
        """
        self.live.get(run.task, set()).discard((executor, run.run))
        if how == 'done':
            self._starts_at_end[run.task, run.run] = len(self.starts)
        if how == 'failed':
            self.failures[run.task] += 1
        if how == 'alone':
            self.alone.append(run.task)
        if run.gang:
            self.present.get((run.group, run.run), set()).discard(run.task)
            self.ended.setdefault((run.group, run.run), how)

    def may_have_failed(self, job: str, attempts: int) -> bool:
        """Whether a job may be shown as failed.

        Args:
            job: Its id.
            attempts: Failed runs after which a task is given up.
        """
        groups: collections.Counter[str] = collections.Counter()
        for task, failures in self.failures.items():
            groups[task.rpartition('.')[0]] += failures
        return any(
            count >= attempts and group.startswith(f'{job}.')
            for group, count in groups.items()
        ) or any(
            count >= CRASHES_TO_GIVE_UP and task.startswith(f'{job}.')
            for task, count in self.crashes.items()
        )

    def acknowledged(self, task: str, run: int) -> None:
        """Records that control acknowledged a successful end.

        Only then must the task not start again: an end that was not
        acknowledged may be lost with its executor.
        """
        self.done.add(task)
        first_later_start = self._starts_at_end[task, run]
        if any(other == task for other, _ in self.starts[first_later_start:]):
            self.broken.append(f'{task} started after run {run} was done')


class FakeExecutor:
    """One executor.

    Args:
        name: Its id.
        address: `IP:PORT`.
        pool: Service that it belongs to.
        control: Addresses of control members.
        observer: Shared by all executors.
        rng: Source of failures and late orders.
        late: Share of orders that get no answer and are carried out late,
            from 0 to 1.
        capacity: Amounts by kind of resource.
        rack: Its rack.
        zone: Its availability zone.

    Attributes:
        advertised: Address that it announces.
        zone: Availability zone that it announces.
        cold_remaining_ms: Time until it is warm, as it announces.
        state: State that it announces.
        unhealthy: Share of calls that it answers with 503 and does not carry
            out, from 0 to 1.
        cut_off: Whether it runs on, but exchanges nothing with control.
        announce_delay_s: Time from the start of its process until it first
            announces itself.
        usage: Reported tail response time in ms of serving tasks, and
            processors in use in thousandths of others, by task; 1000 without
            an entry.
        paces: Last requested pace of each task, in percent.
        tickets: Ticket of the latest start of each task.
    """

    def __init__(
        self,
        name: str,
        address: str,
        pool: str,
        control: collections.abc.Sequence[str],
        observer: Observer,
        *,
        rng: random.Random,
        late: float = 0.0,
        capacity: dict[str, int] | None = None,
        rack: str = 'r1',
        zone: str = 'z1',
    ) -> None:
        self.name = name
        self.zone = zone
        self.cold_remaining_ms = 0
        self.address = address
        self.advertised = address
        self.late = late
        self.state = 'ready'
        self.unhealthy = 0.0
        self.cut_off = False
        self.announce_delay_s = 0.0
        self.usage: dict[str, int] = {}
        self.paces: dict[str, int] = {}
        self.tickets: dict[str, str] = {}
        self._pool = pool
        self._control = list(control)
        self._observer = observer
        self._rng = rng
        self._capacity = capacity or {'cpu': 64_000, 'memMb': 1000, 'gpu': 8}
        # Earlier capacities, with the time until which starts may use them.
        self._earlier_capacities: list[tuple[float, dict[str, int]]] = []
        self._rack = rack
        self._crash_tasks: list[curio.Task] = []
        self._reset()

    def _reset(self) -> None:
        """Sets the state of a process that has just started."""
        self._incarnation = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._sequence = 0
        self._highest_token = 0
        self._lease_end_ms = 0.0
        self._runs: dict[str, Run] = {}
        self._highest_run: dict[str, int] = {}
        self._ends: list[list[typing.Any]] = []
        self._end_count = 0
        # Ends before this number were not acknowledged before a lease lapsed.
        # Their tasks may run again, for good.
        self._first_binding_end = 1
        self._server: http_server.HttpServer | None = None
        self._tasks: list[curio.Task] = []

    @property
    def clock_ms(self) -> int:
        """Its clock: milliseconds since its start."""
        return int((time.monotonic() - self._started_s) * 1000)

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self._server is not None

    @property
    def running(self) -> list[str]:
        """Names of the tasks that run."""
        return list(self._runs)

    def resize(self, **capacity: int) -> None:
        """Changes its capacity while it runs; running tasks continue."""
        until_s = time.monotonic() + SHRINK_GRACE_S
        self._earlier_capacities.append((until_s, self._capacity))
        self._capacity = self._capacity | capacity

    async def open(self) -> None:
        """Starts its server and the loops that run tasks and announce it."""
        self._server = http_server.HttpServer(self.address, self._serve)
        await self._server.start()
        for loop in (self._work_loop, self._announce_loop):
            self._tasks.append(await curio.spawn(loop, daemon=True))

    async def restart(self) -> None:
        """Crashes, then starts again under the same id and address."""
        await self.crash()
        self._reset()
        await self.open()

    async def crash(self) -> None:
        """Ends all tasks and stops without a notice to control."""
        server, self._server = self._server, None
        if server is None:
            return
        for task in self._tasks:
            await task.cancel()
        # Orders of this incarnation are no longer carried out.
        self._incarnation = 0
        for run in list(self._runs.values()):
            self._end(run, 'crashed')
        await server.close()

    async def _crash_under(self, run: Run) -> None:
        """Crashes this executor soon after a start, then starts it again."""
        await curio.sleep(CRASH_DELAY_S)
        if self._runs.get(run.task) is not run:
            return
        others = [name for name in self._runs if name != run.task]
        self._observer.crashed(run.task, others)
        await self.crash()
        await curio.sleep(CRASH_DOWN_S)
        self._reset()
        await self.open()

    async def close(self) -> None:
        """Stops and releases its address."""
        for task in (*self._crash_tasks, *self._tasks):
            await task.cancel()
        if self._server is not None:
            await self._server.close()

    async def _announce_loop(self) -> None:
        await curio.sleep(self.announce_delay_s)
        attempt = 0
        while True:
            await self._wait_connected()
            self._sequence += 1
            body = wire.encode(
                {
                    'service': self._pool,
                    'address': self.advertised,
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': 8,
                    'state': self.state,
                    'coldRemainingMs': self.cold_remaining_ms,
                    'capacity': self._capacity,
                    'labels': ['a', self._rack],
                    'machine': f'm-{self.name}',
                    'clockMs': self.clock_ms,
                    'sequence': self._sequence,
                    'born': self._incarnation,
                }
            )
            client = http_client.HttpClient(
                self._control[attempt % len(self._control)]
            )
            try:
                answer = await client.request(
                    'PUT',
                    f'/v1/instances/{self.name}',
                    body=body,
                    timeout_s=ANNOUNCE_TIMEOUT_S,
                )
                if answer.status >= 300:
                    attempt += 1
            except http_client.HttpError:
                attempt += 1
            finally:
                await client.close()
            await curio.sleep(ANNOUNCE_INTERVAL_S)

    # Orders.

    async def _wait_connected(self) -> None:
        while self.cut_off:
            await curio.sleep(TICK_INTERVAL_S)

    async def _serve(self, request: http_server.Request) -> None:
        body = json.loads(await request.read_body(65536) or b'{}')
        if not self._incarnation or self.cut_off:
            await self._wait_connected()
            await request.connection.close()
            return
        if request.header(b'expect-instance') != self.name:
            await request.respond(421, wire.JSON_TYPE, b'{}')
            return
        if self.unhealthy and self._rng.random() < self.unhealthy:
            await request.respond(503, wire.JSON_TYPE, b'{}')
            return
        if self.late and self._rng.random() < self.late:
            delay_s = self._rng.uniform(0.5, 2.0)
            await curio.spawn(
                self._carry_out_late,
                request.target,
                body,
                delay_s,
                daemon=True,
            )
            await request.connection.close()
            return
        incarnation = self._incarnation
        status, values = await self.carry_out(request.target, body)
        await self._wait_connected()
        if self._incarnation != incarnation:
            # The process has ended before its answer left.
            await request.connection.close()
            return
        await request.respond(status, wire.JSON_TYPE, wire.encode(values))

    async def carry_out(
        self, target: str, body: dict
    ) -> tuple[int, dict[str, typing.Any]]:
        """Carries out an order; returns status and body of the answer."""
        incarnation = self._incarnation
        status, values = await self._carry_out(target, body)
        values['clockMs'] = self.clock_ms
        if target == '/v1/hold' and status == 200:
            values['born'] = incarnation
        return status, values

    async def _carry_out_late(
        self, target: str, body: dict, delay_s: float
    ) -> None:
        incarnation = self._incarnation
        await curio.sleep(delay_s)
        # An order that a process has not carried out ends with the process.
        # Nobody could stop the next one from doing so while it is cut off.
        if self._incarnation == incarnation:
            await self._carry_out(target, body)

    async def _carry_out(
        self, target: str, body: dict
    ) -> tuple[int, dict[str, typing.Any]]:
        token = body.get('fencingToken', 0)
        if token < self._highest_token:
            return 409, {'reason': 'fence'}
        self._highest_token = token
        if 'expiresMs' in body:
            limit_ms = self.clock_ms + MAX_LEASE_MS
            self._lease_end_ms = max(
                self._lease_end_ms, min(body['expiresMs'], limit_ms)
            )
        if target == '/v1/run-start':
            answer = self._start(body)
            run = self._runs.get(body['task'])
            if run is not None and run.crashes:
                self._crash_tasks.append(
                    await curio.spawn(self._crash_under, run, daemon=True)
                )
            return answer
        if target == '/v1/run-stop':
            return self._stop(body)
        if target == '/v1/pace':
            self.paces[body['task']] = body['percent']
            return 200, {}
        if target == '/v1/hold':
            return await self._hold(body)
        return 400, {}

    def _start(self, body: dict) -> tuple[int, dict[str, typing.Any]]:
        task, number = body['task'], body['runId']
        current = self._runs.get(task)
        if current is not None and current.run == number:
            return 200, {}
        if number <= self._highest_run.get(task, 0):
            return 409, {'reason': 'old'}
        if self._lease_end_ms <= self.clock_ms:
            return 409, {'reason': 'late'}
        spec = json.loads(body['spec'])
        saved_ms = int(body.get('checkpoint') or '0')
        run = Run(
            task=task,
            run=number,
            resources=spec.get('need', {'gpu': 1}),
            work_ms=spec['ms'],
            fails=self._rng.random() < spec.get('fail', 0.0),
            gang=spec.get('gang', 0),
            crashes=int(task.rpartition('.')[2]) in spec.get('crash', ()),
            done_ms=saved_ms,
            arrived_s=time.monotonic(),
        )
        self._highest_run[task] = number
        self.tickets[task] = body.get('ticket', '')
        self._runs[task] = run
        self._observe_start(run)
        for kind, limit in self._enforced_capacity().items():
            used = sum(r.resources.get(kind, 0) for r in self._runs.values())
            if used > limit:
                self._observer.broken.append(
                    f'{self.name}: {used} {kind} of {limit}'
                )
        return 200, {}

    def _observe_start(self, run: Run) -> None:
        # Observers that were written before zones could be evacuated do not
        # take the zone.
        started = self._observer.started
        if 'zone' in inspect.signature(started).parameters:
            started(self.name, run, self.zone)
        else:
            started(self.name, run)

    def _enforced_capacity(self) -> dict[str, int]:
        """Returns the capacity that a start must not exceed now."""
        now_s = time.monotonic()
        usable = [self._capacity]
        usable += [
            c for until_s, c in self._earlier_capacities if now_s < until_s
        ]
        return {
            kind: max(amounts[kind] for amounts in usable)
            for kind in self._capacity
        }

    def _stop(self, body: dict) -> tuple[int, dict[str, typing.Any]]:
        task, number = body['task'], body['runId']
        self._highest_run[task] = max(self._highest_run.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.run == number and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + STOP_DURATION_S
        return 200, {}

    async def _hold(self, body: dict) -> tuple[int, dict[str, typing.Any]]:
        acknowledged = body.get('lastSeen', 0)
        for number, task, run, how, _ in self._ends:
            if (
                self._first_binding_end <= number <= acknowledged
                and how == 'done'
            ):
                self._observer.acknowledged(task, run)
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        deadline_s = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self._ends and time.monotonic() < deadline_s:
            await curio.sleep(TICK_INTERVAL_S)
        running = [
            [
                run.task,
                run.run,
                self._checkpoint(run),
                self._progress_percent(run),
                self.usage.get(run.task, 1000),
            ]
            for run in self._runs.values()
        ]
        return 200, {
            'running': running,
            'finished': self._ends[:ENDS_PER_LIST],
        }

    # Work.

    async def _work_loop(self) -> None:
        last_s = time.monotonic()
        while True:
            await curio.sleep(TICK_INTERVAL_S)
            now_s = time.monotonic()
            if self._lease_end_ms <= self.clock_ms:
                self._first_binding_end = self._end_count + 1
            for run in list(self._runs.values()):
                how = self._advance(run, now_s, (now_s - last_s) * 1000)
                if how is not None:
                    self._end(run, how)
            last_s = now_s

    def _advance(
        self, run: Run, now_s: float, elapsed_ms: float
    ) -> str | None:
        """Advances a run; returns how it ended, or None while it runs."""
        if self._lease_end_ms <= self.clock_ms:
            return 'lapsed'
        if run.stop_at_s is not None:
            return 'stopped' if now_s >= run.stop_at_s else None
        if run.gang:
            ended = self._observer.ended.get((run.group, run.run))
            if ended is not None:
                return 'done' if ended == 'done' else 'broken'
            present = self._observer.present[(run.group, run.run)]
            if len(present) < run.gang:
                waited_s = now_s - run.arrived_s
                return 'alone' if waited_s > GANG_WAIT_S else None
        run.done_ms += elapsed_ms
        if run.done_ms < run.work_ms:
            return None
        return 'failed' if run.fails else 'done'

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._end_count += 1
        self._ends.append(
            [self._end_count, run.task, run.run, how, self._checkpoint(run)]
        )
        self._observer.finished(self.name, run, how)

    def _checkpoint(self, run: Run) -> str:
        saved_ms = int(
            run.done_ms // CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS
        )
        return str(saved_ms) if saved_ms else ''

    def _progress_percent(self, run: Run) -> int:
        return min(int(100 * run.done_ms / run.work_ms), 100)
