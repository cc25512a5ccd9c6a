"""Stand-in of the platform's executors, written from its pages.

An executor keeps leases and fencing tokens, lists runs and ends, and may
carry orders out late without an answer. All executors of a test share an
observer, which notes what must never happen. A job's spec is JSON and says
how its tasks behave: `ms`, `fail` (share of runs that fail), `gang` (number
of members).
"""

from __future__ import annotations

import dataclasses
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

TICK_S = 0.01
BEAT_S = 0.3
BEAT_TIMEOUT_S = 1.0
STOP_S = 0.05
GANG_WAIT_S = 1.5
MOST_LEASE_MS = 6000
CHECKPOINT_MS = 100


@dataclasses.dataclass(slots=True)
class Run:
    """A run on an executor."""

    task: str
    run: int
    need: dict[str, int]
    work_ms: float
    fails: bool
    gang: int
    done_ms: float
    arrived_s: float
    stop_at_s: float | None = None

    @property
    def group(self) -> str:
        """Name of the step and occurrence."""
        return self.task.rpartition('.')[0]


class Observer:
    """Notes what must never happen, over all executors of a test.

    Attributes:
        broken: What happened that must not.
        starts: Task and run of each start.
        done: Tasks that have ended well, as somebody has noted.
        present: Live members of each gang's run.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.starts: list[tuple[str, int]] = []
        self.alone: list[str] = []
        self.done: set[str] = set()
        self.live: dict[str, set[tuple[str, int]]] = {}
        self.present: dict[tuple[str, int], set[str]] = {}
        self.ended: dict[tuple[str, int], str] = {}
        self._starts_at_end: dict[tuple[str, int], int] = {}

    def started(self, executor: str, run: Run) -> None:
        """Notes a start."""
        live = self.live.setdefault(run.task, set())
        if live:
            self.broken.append(f'{run.task} twice: {live} and {executor}')
        if run.task in self.done:
            self.broken.append(f'{run.task} starts after it was done')
        live.add((executor, run.run))
        self.starts.append((run.task, run.run))
        if run.gang:
            self.present.setdefault((run.group, run.run), set()).add(run.task)

    def finished(self, executor: str, run: Run, how: str) -> None:
        """Notes an end."""
        self.live.get(run.task, set()).discard((executor, run.run))
        if how == 'done':
            self._starts_at_end[run.task, run.run] = len(self.starts)
        if how == 'alone':
            self.alone.append(run.task)
        if run.gang:
            self.present.get((run.group, run.run), set()).discard(run.task)
            self.ended.setdefault((run.group, run.run), how)

    def noted(self, task: str, run: int) -> None:
        """Notes that a good end was taken note of.

        An end that nobody noted binds nobody: its executor may be gone.
        """
        self.done.add(task)
        since = self._starts_at_end[task, run]
        if any(other == task for other, _ in self.starts[since:]):
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
        late: Share of orders that get no answer and are carried out late.
        capacity: What it has.
        rack: Its rack.
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
    ) -> None:
        self.name = name
        self.address = address
        # Where it tells others to reach it.
        self.advertised = address
        self.late = late
        self.state = 'ready'
        # Usage or tail that is told of tasks, and paces that were asked for.
        self.usage: dict[str, int] = {}
        self.paces: dict[str, int] = {}
        # Ticket that the latest start of each task carried.
        self.tickets: dict[str, str] = {}
        self._pool = pool
        self._control = list(control)
        self._observer = observer
        self._rng = rng
        self._capacity = capacity or {'cpu': 64_000, 'memMb': 1000, 'gpu': 8}
        self._rack = rack
        self._begin_life()

    def _begin_life(self) -> None:
        """Forgets everything, as a process that starts does."""
        self._born = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._sequence = 0
        self._token = 0
        self._lease_ms = 0.0
        self._runs: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list[typing.Any]] = []
        self._numbers = 0
        self._server: http_server.HttpServer | None = None
        self._tasks: list[curio.Task] = []

    @property
    def clock_ms(self) -> int:
        """Its clock."""
        return int((time.monotonic() - self._started_s) * 1000)

    @property
    def running(self) -> list[str]:
        """Tasks that run."""
        return list(self._runs)

    async def open(self) -> None:
        """Starts to serve, to work and to report."""
        self._server = http_server.HttpServer(self.address, self._serve)
        await self._server.start()
        for work in (self._work_loop, self._beat_loop):
            self._tasks.append(await curio.spawn(work, daemon=True))

    async def restart(self) -> None:
        """Crashes and starts again under the same id and address."""
        await self.crash()
        self._begin_life()
        await self.open()

    async def crash(self) -> None:
        """Ends at once, with all that it runs."""
        for task in self._tasks:
            await task.cancel()
        for run in list(self._runs.values()):
            self._end(run, 'crashed')
        await self._server.close()
        # Orders that are still to be carried out end with this life.
        self._born = 0

    async def close(self) -> None:
        """Ends and gives its address back."""
        for task in self._tasks:
            await task.cancel()
        if self._server is not None:
            await self._server.close()

    async def _beat_loop(self) -> None:
        turn = 0
        while True:
            self._sequence += 1
            body = wire.encode(
                {
                    'service': self._pool,
                    'address': self.advertised,
                    'zone': 'z1',
                    'version': 'v1',
                    'slots': 8,
                    'state': self.state,
                    'coldRemainingMs': 0,
                    'capacity': self._capacity,
                    'labels': ['a', self._rack],
                    'machine': f'm-{self.name}',
                    'clockMs': self.clock_ms,
                    'sequence': self._sequence,
                    'born': self._born,
                }
            )
            client = http_client.HttpClient(
                self._control[turn % len(self._control)]
            )
            try:
                answer = await client.request(
                    'PUT',
                    f'/v1/instances/{self.name}',
                    body=body,
                    timeout_s=BEAT_TIMEOUT_S,
                )
                if answer.status >= 300:
                    turn += 1
            except http_client.HttpError:
                turn += 1
            finally:
                await client.close()
            await curio.sleep(BEAT_S)

    # Orders.

    async def _serve(self, request: http_server.Request) -> None:
        body = json.loads(await request.read_body(65536) or b'{}')
        if request.header(b'expect-instance') != self.name:
            await request.respond(421, wire.JSON_TYPE, b'{}')
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
        status, values = await self._carry_out(request.target, body)
        values['clockMs'] = self.clock_ms
        values['born'] = self._born
        await request.respond(status, wire.JSON_TYPE, wire.encode(values))

    async def _carry_out_late(
        self, target: str, body: dict, delay_s: float
    ) -> None:
        life = self._born
        await curio.sleep(delay_s)
        # What a process has taken in and not carried out ends with it.
        if self._born == life:
            await self._carry_out(target, body)

    async def _carry_out(
        self, target: str, body: dict
    ) -> tuple[int, dict[str, typing.Any]]:
        token = body.get('fencingToken', 0)
        if token < self._token:
            return 409, {'reason': 'fence'}
        self._token = token
        if 'expiresMs' in body:
            most = self.clock_ms + MOST_LEASE_MS
            self._lease_ms = max(self._lease_ms, min(body['expiresMs'], most))
        if target == '/v1/run-start':
            return self._start(body)
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
        known = self._runs.get(task)
        if known is not None and known.run == number:
            return 200, {}
        if number <= self._highest.get(task, 0):
            return 409, {'reason': 'old'}
        if self._lease_ms <= self.clock_ms:
            return 409, {'reason': 'late'}
        spec = json.loads(body['spec'])
        saved_ms = int(body.get('checkpoint') or '0')
        run = Run(
            task=task,
            run=number,
            need=spec.get('need', {'gpu': 1}),
            work_ms=spec['ms'],
            fails=self._rng.random() < spec.get('fail', 0.0),
            gang=spec.get('gang', 0),
            done_ms=saved_ms,
            arrived_s=time.monotonic(),
        )
        self._highest[task] = number
        self.tickets[task] = body.get('ticket', '')
        self._runs[task] = run
        self._observer.started(self.name, run)
        for kind, limit in self._capacity.items():
            used = sum(r.need.get(kind, 0) for r in self._runs.values())
            if used > limit:
                self._observer.broken.append(
                    f'{self.name}: {used} {kind} of {limit}'
                )
        return 200, {}

    def _stop(self, body: dict) -> tuple[int, dict[str, typing.Any]]:
        task, number = body['task'], body['runId']
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.run == number and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + STOP_S
        return 200, {}

    async def _hold(self, body: dict) -> tuple[int, dict[str, typing.Any]]:
        noted = body.get('lastSeen', 0)
        for number, task, run, how, _ in self._ends:
            if number <= noted and how == 'done':
                self._observer.noted(task, run)
        self._ends = [end for end in self._ends if end[0] > noted]
        until_s = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self._ends and time.monotonic() < until_s:
            await curio.sleep(TICK_S)
        running = [
            [
                run.task,
                run.run,
                self._saved(run),
                self._percent(run),
                self.usage.get(run.task, 1000),
            ]
            for run in self._runs.values()
        ]
        return 200, {'running': running, 'finished': list(self._ends)}

    # Work.

    async def _work_loop(self) -> None:
        last_s = time.monotonic()
        while True:
            await curio.sleep(TICK_S)
            now_s = time.monotonic()
            for run in list(self._runs.values()):
                how = self._work(run, now_s, (now_s - last_s) * 1000)
                if how is not None:
                    self._end(run, how)
            last_s = now_s

    def _work(self, run: Run, now_s: float, passed_ms: float) -> str | None:
        """Lets a run go on; returns how it ended, or None."""
        if self._lease_ms <= self.clock_ms:
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
        run.done_ms += passed_ms
        if run.done_ms < run.work_ms:
            return None
        return 'failed' if run.fails else 'done'

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._numbers += 1
        self._ends.append(
            [self._numbers, run.task, run.run, how, self._saved(run)]
        )
        self._observer.finished(self.name, run, how)

    def _saved(self, run: Run) -> str:
        saved_ms = int(run.done_ms // CHECKPOINT_MS * CHECKPOINT_MS)
        return str(saved_ms) if saved_ms else ''

    def _percent(self, run: Run) -> int:
        return min(int(100 * run.done_ms / run.work_ms), 100)
