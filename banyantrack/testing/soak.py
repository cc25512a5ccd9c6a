"""Soak test of daemon processes under a seeded schedule of faults.

Callers, backends, workers and operators record what they observe. At the
end of a run, these records are checked against the guarantees of the
system; the result of each check is printed with its number of trials.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import enum
import json
import pathlib
import random
import sys
import tempfile
import time
import typing

import curio

from banyantrack.testing import fake_backend
from banyantrack.testing import fake_worker
from banyantrack.testing import load
from banyantrack.testing import system as system_module

if typing.TYPE_CHECKING:
    import collections.abc

BACKENDS = 24
WORKERS = 24
QUICK_PER_S = 60.0
LONG_PER_S = 2.0
CLAIMED_PER_S = 8.0
# Range of the delay between two steps of the schedule.
FAULT_PAUSE_S = (1.0, 3.0)
# Limit of the time from acceptance of a change until all entries apply it.
IN_FORCE_LIMIT_S = 6.0
# Limit of the time from the announcement that a backend leaves until the
# last request to it.
LEAVING_LIMIT_S = 2.0
# Longest wait for the end of all jobs after the last fault.
SETTLE_S = 40.0


class Fault(enum.Enum):
    """Faults and operations of the schedule."""

    KILL_CONTROL = 'kill-control'
    PAUSE_CONTROL = 'pause-control'
    WIPE_CONTROL = 'wipe-control'
    WIPE_THEN_KILL = 'wipe-then-kill'
    STOP_CONTROL = 'stop-control'
    KILL_ENTRY = 'kill-entry'
    PAUSE_ENTRY = 'pause-entry'
    STOP_ENTRY = 'stop-entry'
    LEAVE_BACKEND = 'leave-backend'
    RESTART_WORKER = 'restart-worker'
    SILENCE_WORKER = 'silence-worker'
    BAD_WORKER = 'bad-worker'
    LABEL_BACKEND = 'label-backend'
    LABEL_WORKER = 'label-worker'
    RACING_OPERATORS = 'racing-operators'
    WAVE_OF_JOBS = 'wave-of-jobs'
    WAVE_OF_CANCELLATIONS = 'wave-of-cancellations'
    CHANGE_SETTINGS = 'change-settings'


@dataclasses.dataclass(slots=True)
class CheckResult:
    """Result of checking one guarantee of the system.

    Attributes:
        name: The guarantee.
        tried: Number of trials.
        broken: Descriptions of the violations.
    """

    name: str
    tried: int = 0
    broken: list[str] = dataclasses.field(default_factory=list)


INTENT: list[dict[str, typing.Any]] = [
    *({'kind': 'customer', 'name': name} for name in 'abcd'),
    *(
        {
            'kind': 'guarantee',
            'name': f'{name}-share',
            'customer': name,
            'accelerators': 16,
            'adjacency': 'rack',
        }
        for name in 'abcd'
    ),
    {'kind': 'route', 'name': 'quick', 'prefix': '/quick', 'customer': 'a'},
    {
        'kind': 'route',
        'name': 'long',
        'prefix': '/long',
        'service_class': 'long',
        'deadline_ms': 20_000,
        'customer': 'b',
    },
]


class Soak:
    """One run of the soak test.

    Args:
        folder: Folder of settings, logs and data.
        seconds: Length of the phase with faults and traffic.
        seed: Seed of the schedule and the traffic.
    """

    def __init__(
        self, folder: pathlib.Path, seconds: float, seed: int
    ) -> None:
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._system = system_module.System(folder)
        self._observer = fake_worker.GangObserver()
        self._backends: list[fake_backend.FakeBackend] = []
        self._left_backends: list[fake_backend.FakeBackend] = []
        self._workers: list[fake_worker.FakeWorker] = []
        self._worker_tasks: dict[str, curio.Task] = {}
        self._client = load.LoadClient(self._system.entry_http)
        self._accepted_routes: dict[str, tuple[int, str]] = {}
        self._in_force_delays_s: list[float] = []
        self._race_statuses: list[list[int]] = []
        self._unfinished_jobs: list[str] = []
        self._fault_counts: collections.Counter[str] = collections.Counter()
        # Shuffled faults; each is injected once before any is repeated.
        self._upcoming_faults: list[Fault] = []
        self._job_count = 0
        self._change_count = 0

    async def run(self) -> list[CheckResult]:
        """Runs the test; returns the results of all checks."""
        try:
            await self._start()
            traffic = await curio.spawn(self._traffic, daemon=False)
            stop_at = time.monotonic() + self._seconds
            while time.monotonic() < stop_at:
                await self._run_step()
                await curio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
            await traffic.join()
            await self._settle()
            return await self._check_all()
        finally:
            for task in self._worker_tasks.values():
                await task.cancel()
            for backend in [*self._backends, *self._left_backends]:
                await backend.close()
            await self._client.close()
            self._system.stop()

    async def _start(self) -> None:
        await self._system.start()
        self._backends = await fake_backend.start_many(
            BACKENDS, self._system.entry_http
        )
        self._workers = fake_worker.make_fleet(
            WORKERS, self._system.control_http, observer=self._observer
        )
        for worker in self._workers:
            await self._run_worker(worker)

        async def all_known() -> bool:
            status = await self._system.get('/v1/status')
            return bool(status) and status['workers']['known'] == WORKERS

        await system_module.wait_for(all_known, 'workers')
        await self._system.apply(INTENT)
        await curio.sleep(1.0)

    async def _run_worker(self, worker: fake_worker.FakeWorker) -> None:
        task = await curio.spawn(worker.run)
        self._worker_tasks[worker.name] = task

    async def _traffic(self) -> None:
        streams = [
            load.Stream(lambda at_s: QUICK_PER_S, _quick),
            load.Stream(lambda at_s: LONG_PER_S, _long),
            load.Stream(lambda at_s: CLAIMED_PER_S, _claimed),
        ]
        await load.drive(
            self._client,
            streams,
            seconds=self._seconds,
            rng=random.Random(self._rng.random()),
        )

    # Faults.

    async def _run_step(self) -> None:
        """Injects one or two faults, then makes a change and submits jobs."""
        for _ in range(self._rng.choice((1, 1, 2))):
            if not self._upcoming_faults:
                self._upcoming_faults = self._rng.sample(
                    list(Fault), len(Fault)
                )
            fault = self._upcoming_faults.pop()
            self._fault_counts[fault.value] += 1
            await self._inject(fault)
        await self._change()
        await self._submit(2)

    async def _inject(self, fault: Fault) -> None:
        match fault:
            case Fault.KILL_CONTROL:
                await self._kill(self._rng.choice(self._system.control))
            case Fault.PAUSE_CONTROL:
                await self._pause(self._rng.choice(self._system.control))
            case Fault.WIPE_CONTROL:
                await self._wipe(self._rng.choice(self._system.control))
            case Fault.WIPE_THEN_KILL:
                wiped = self._rng.choice(self._system.control)
                if await self._wipe(wiped):
                    others = [p for p in self._system.control if p != wiped]
                    await self._kill(self._rng.choice(others))
            case Fault.STOP_CONTROL:
                await self._restart_gracefully(
                    self._rng.choice(self._system.control)
                )
            case Fault.KILL_ENTRY:
                await self._kill(self._rng.choice(self._system.entries))
            case Fault.PAUSE_ENTRY:
                await self._pause(self._rng.choice(self._system.entries))
            case Fault.STOP_ENTRY:
                await self._stop_entry()
            case Fault.LEAVE_BACKEND:
                await self._leave_backend()
            case _:
                await self._inject_outside(fault)

    async def _inject_outside(self, fault: Fault) -> None:
        """Injects faults of workers, and operations of operators."""
        worker = self._rng.choice(self._workers)
        match fault:
            case Fault.RESTART_WORKER:
                worker.restart()
            case Fault.SILENCE_WORKER:
                await self._worker_tasks[worker.name].cancel()
                worker.restart()
                await self._run_worker(worker)
            case Fault.BAD_WORKER:
                worker.fails_all_tasks = not worker.fails_all_tasks
            case Fault.LABEL_BACKEND:
                backend = self._rng.choice(self._backends)
                await self._label('backends', backend.backend_id)
            case Fault.LABEL_WORKER:
                await self._label('workers', worker.name)
            case Fault.RACING_OPERATORS:
                await self._race()
            case Fault.WAVE_OF_JOBS:
                await self._submit(self._rng.randint(5, 30))
            case Fault.WAVE_OF_CANCELLATIONS:
                await self._cancel()
            case Fault.CHANGE_SETTINGS:
                await self._apply(
                    {
                        'kind': 'route',
                        'name': 'quick',
                        'prefix': '/quick',
                        'customer': 'a',
                        'queue_limit': self._rng.randint(100, 300),
                    }
                )

    async def _tolerates_loss(self) -> bool:
        """Whether all three members are reachable voters.

        Only then can the group tolerate the loss of one.
        """
        document = await self._system.get('/v1/members')
        if document is None or document['changing']:
            return False
        voters = [m for m in document['members'] if m['role'] != 'learner']
        return len(document['members']) == len(voters) == 3 and all(
            m['reachable'] for m in voters
        )

    async def _kill(self, process: system_module.Process) -> None:
        if (
            process in self._system.control
            and not await self._tolerates_loss()
        ):
            return
        process.kill()
        await curio.sleep(self._rng.uniform(0.1, 1.5))
        process.start()

    async def _pause(self, process: system_module.Process) -> None:
        if (
            process in self._system.control
            and not await self._tolerates_loss()
        ):
            return
        process.pause()
        await curio.sleep(self._rng.uniform(0.3, 2.5))
        process.resume()

    async def _wipe(self, process: system_module.Process) -> bool:
        """Deletes a member's data and waits until the member votes again.

        Returns:
            Whether the data was deleted and the member votes again.
        """
        if not await self._tolerates_loss():
            return False
        process.kill()
        process.wipe()
        process.start()
        for _ in range(100):
            await curio.sleep(0.1)
            if await self._tolerates_loss():
                return True
        return False

    async def _restart_gracefully(
        self, process: system_module.Process
    ) -> None:
        if not await self._tolerates_loss():
            return
        process.terminate()
        await curio.run_in_thread(process.wait)
        process.start()

    async def _stop_entry(self) -> None:
        """Stops an entry gracefully and starts it again.

        The client stops using the entry 0.3 s after the signal, as a load
        balancer that notices the stop with a delay.
        """
        entry = self._rng.choice(self._system.entries)
        if not entry.running or len(self._client.entries) < 5:
            return
        entry.terminate()
        await curio.sleep(0.3)
        self._client.entries.remove(entry.http_address)
        await curio.run_in_thread(entry.wait)
        entry.start()
        await self._system.wait_entries()
        self._client.entries.append(entry.http_address)

    async def _leave_backend(self) -> None:
        if len(self._backends) < BACKENDS - 6:
            return
        backend = self._rng.choice(self._backends)
        self._backends.remove(backend)
        self._left_backends.append(backend)
        await backend.leave()

    # Operators.

    async def _apply(self, document: dict[str, typing.Any]) -> int | None:
        key = f'soak-{self._rng.getrandbits(64):x}'
        for _ in range(40):
            answer = await self._system.operate(
                'POST',
                '/v1/apply',
                [document],
                headers=[('idempotency-key', key)],
            )
            if answer is not None and answer.status == 200:
                return json.loads(answer.body)['revision']
            if answer is not None and answer.status in (412, 422):
                return None
            await curio.sleep(0.25)
        return None

    async def _change(self) -> None:
        """Changes a route; the change must last and be in force in time."""
        self._change_count += 1
        name = f'x{self._change_count % 20}'
        prefix = f'/x{self._change_count}'
        revision = await self._apply(
            {'kind': 'route', 'name': name, 'prefix': prefix}
        )
        if revision is not None:
            self._accepted_routes[name] = (revision, prefix)
            accepted_at = time.monotonic()
            await curio.spawn(
                self._watch_in_force, revision, accepted_at, daemon=True
            )

    async def _watch_in_force(self, revision: int, accepted_at: float) -> None:
        running = {p.name: p.pid for p in self._system.entries if p.running}
        for process in self._system.entries:
            while True:
                if running.get(process.name) != process.pid:
                    # It was restarted and loads a configuration that is newer.
                    break
                answer = await system_module.send_request(
                    process.http_address, 'GET', '/healthz', timeout_s=4.0
                )
                if answer is not None and (
                    json.loads(answer.body)['revision'] >= revision
                ):
                    break
                if time.monotonic() - accepted_at > 3 * IN_FORCE_LIMIT_S:
                    break
                await curio.sleep(0.05)
        self._in_force_delays_s.append(time.monotonic() - accepted_at)

    async def _label(self, of: str, name: str) -> None:
        labels = {'down': 'true'} if self._rng.random() < 0.5 else {}
        await self._system.operate(
            'PUT', f'/v1/labels/{of}/{name}', {'labels': labels}
        )

    async def _race(self) -> None:
        """Changes one object three times at once from the same revision."""
        name = f'race{len(self._race_statuses)}'
        revision = await self._apply({'kind': 'customer', 'name': name})
        if revision is None:
            return
        statuses: list[int] = []

        async def change(weight: int) -> None:
            answer = await self._system.operate(
                'PUT',
                f'/v1/customers/{name}',
                {'weight': weight},
                headers=[
                    ('if-match', f'"{revision}"'),
                    ('idempotency-key', f'{name}-{weight}'),
                ],
            )
            statuses.append(answer.status if answer else 0)

        tasks = [await curio.spawn(change, weight) for weight in (2, 3, 4)]
        for task in tasks:
            await task.join()
        self._race_statuses.append(statuses)

    async def _submit(self, count: int) -> None:
        documents = []
        for _ in range(count):
            self._job_count += 1
            documents.append(
                {
                    'kind': 'job',
                    'name': f'j{self._job_count}',
                    'customer': self._rng.choice('abcd'),
                    'members': self._rng.choice((1, 2, 4, 8, 16)),
                    'adjacency': self._rng.choice(('any', 'rack')),
                    'checkpointable': True,
                    'urgent': self._rng.random() < 0.1,
                    'run_time_ms': self._rng.choice((500, 3000, 60_000)),
                    'parameters': {
                        'run_ms': str(self._rng.choice((500, 1500, 3000)))
                    },
                }
            )
        await self._system.operate('POST', '/v1/apply', documents)

    async def _cancel(self) -> None:
        names = [
            f'jobs/j{number}'
            for number in range(1, self._job_count + 1)
            if self._rng.random() < 0.3
        ]
        if names:
            await self._system.operate('DELETE', '/v1/apply', names)

    # Checks.

    async def _settle(self) -> None:
        for process in self._system.processes:
            if not process.running:
                process.start()
        for worker in self._workers:
            worker.fails_all_tasks = False
            await self._system.operate(
                'PUT', f'/v1/labels/workers/{worker.name}', {'labels': {}}
            )

        async def all_ended() -> bool:
            listed = await self._system.get('/v1/jobs')
            return bool(listed) and all(
                job['status']['phase'] in ('completed', 'failed', 'cancelled')
                for job in listed['items']
            )

        try:
            await system_module.wait_for(all_ended, 'jobs', timeout_s=SETTLE_S)
        except TimeoutError:
            listed = await self._system.get('/v1/jobs') or {'items': []}
            stuck = [
                f'{job["name"]}: {job["status"]}'
                for job in listed['items']
                if job['status']['phase'] in ('waiting', 'placed')
            ]
            self._unfinished_jobs.extend(stuck[:3])

    async def _check_all(self) -> list[CheckResult]:
        return [
            await self._check_guarantees(),
            self._check_gangs(),
            self._check_answers(),
            self._check_not_run(),
            self._check_at_most_once(),
            self._check_leaving(),
            self._check_stops(),
            await self._check_config(),
            self._check_races(),
            self._check_daemons(),
        ]

    async def _check_guarantees(self) -> CheckResult:
        outcome = CheckResult(
            'guaranteed shapes can be reclaimed', self._job_count
        )
        status = await self._system.get('/v1/status') or {}
        for name, count in status.get('infeasible_guarantees', {}).items():
            outcome.broken.append(f'{name} lacks {count} shapes at the end')
        outcome.broken.extend(self._unfinished_jobs)
        return outcome

    def _check_gangs(self) -> CheckResult:
        outcome = CheckResult('no gang runs in part or twice')
        outcome.tried = len({(j, e) for _, j, e in self._observer.starts})
        for name, task in self._worker_tasks.items():
            if task.terminated and isinstance(task.exception, Exception):
                outcome.broken.append(f'{name}: {task.exception}')
        for job, epochs in self._observer.running.items():
            running_epochs = [e for e, workers in epochs.items() if workers]
            if running_epochs:
                outcome.broken.append(
                    f'{job} still runs under {running_epochs}'
                )
        return outcome

    def _check_answers(self) -> CheckResult:
        results = self._client.results
        outcome = CheckResult('each caller gets the whole own answer')
        outcome.tried = len(results)
        outcome.broken = [
            f'{r.check} at {r.entry}'
            for r in results
            if r.verdict is load.Verdict.CROSSED
        ]
        return outcome

    def _all_backends(self) -> list[fake_backend.FakeBackend]:
        return [*self._backends, *self._left_backends]

    def _check_not_run(self) -> CheckResult:
        runs = fake_backend.run_counts(self._all_backends())
        refused = [
            r
            for r in self._client.results
            if r.verdict is load.Verdict.NOT_RUN
        ]
        outcome = CheckResult('"not run" is true', len(refused))
        outcome.broken = [r.check for r in refused if runs[r.check]]
        return outcome

    def _check_at_most_once(self) -> CheckResult:
        runs = fake_backend.run_counts(self._all_backends())
        by_key: dict[str, int] = collections.Counter()
        once = [r for r in self._client.results if r.spec.method == 'POST']
        for result in once:
            by_key[result.spec.key or result.check] += runs[result.check]
        outcome = CheckResult('non-idempotent runs at most once', len(once))
        outcome.broken = [
            f'{key} ran {count} times'
            for key, count in by_key.items()
            if count > 1
        ]
        return outcome

    def _check_leaving(self) -> CheckResult:
        outcome = CheckResult('a leaving backend gets no new work')
        for backend in self._left_backends:
            outcome.tried += 1
            last = max(backend.arrivals_after_leaving, default=0.0)
            after_s = last - (backend.leaving_at or last)
            if after_s > LEAVING_LIMIT_S:
                outcome.broken.append(
                    f'{backend.backend_id} after {after_s:.1f} s'
                )
        return outcome

    def _check_stops(self) -> CheckResult:
        outcome = CheckResult(
            'a planned stop cuts nothing', self._fault_counts['stop-entry']
        )
        for process in self._system.entries:
            for line in process.log.read_text().splitlines():
                if 'event=stop_cut' in line:
                    outcome.broken.append(line)
        return outcome

    async def _check_config(self) -> CheckResult:
        outcome = CheckResult('accepted configuration is in force and stays')
        outcome.tried = len(self._accepted_routes) + len(
            self._in_force_delays_s
        )
        late = [s for s in self._in_force_delays_s if s > IN_FORCE_LIMIT_S]
        if late:
            outcome.broken.append(f'in force after {max(late):.1f} s')
        listed = await self._system.get('/v1/routes') or {'items': []}
        found = {
            route['name']: (route['revision'], route['prefix'])
            for route in listed['items']
        }
        for name, accepted in self._accepted_routes.items():
            if found.get(name) != accepted:
                outcome.broken.append(
                    f'{name}: accepted {accepted}, found {found.get(name)}'
                )
        return outcome

    def _check_races(self) -> CheckResult:
        outcome = CheckResult(
            'equal revisions have one winner', len(self._race_statuses)
        )
        for statuses in self._race_statuses:
            if statuses.count(200) > 1:
                outcome.broken.append(str(statuses))
        return outcome

    def _check_daemons(self) -> CheckResult:
        outcome = CheckResult('invariants hold inside the daemons')
        outcome.tried = sum(self._fault_counts.values())
        for process in self._system.processes:
            for line in process.log.read_text().splitlines():
                if 'InvariantError' in line or 'event=failed' in line:
                    outcome.broken.append(f'{process.name}: {line[:300]}')
        return outcome

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of injections by fault."""
        return self._fault_counts


def _quick(rng: random.Random) -> load.Spec:
    return load.Spec(
        '/quick',
        work_ms=rng.expovariate(1 / 40),
        deadline_ms=3000,
        method='POST' if rng.random() < 0.2 else 'GET',
    )


def _long(rng: random.Random) -> load.Spec:
    return load.Spec(
        '/long', work_ms=rng.uniform(500, 2500), deadline_ms=20_000
    )


def _claimed(rng: random.Random) -> load.Spec:
    return load.Spec(
        '/quick',
        work_ms=rng.expovariate(1 / 40),
        deadline_ms=3000,
        method='POST',
        key=f'k{rng.randrange(400)}',
    )


def main() -> int:
    """Runs the test and prints the verdict; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--folder', type=pathlib.Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = options.folder or pathlib.Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(folder, options.seconds, options.seed)
        outcomes = curio.run(soak.run)
    print(f'seed {options.seed}, {options.seconds:.0f} s of faults')
    summary = ', '.join(f'{k} {n}' for k, n in sorted(soak.counts.items()))
    print(f'tried: {summary}')
    for outcome in outcomes:
        state = 'BROKEN' if outcome.broken else 'held'
        print(f'{state:7} {outcome.name}: {outcome.tried} tried')
        for line in outcome.broken[:5]:
            print(f'          {line}')
    broken = any(outcome.broken for outcome in outcomes)
    print('verdict:', 'broken' if broken else 'held')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
