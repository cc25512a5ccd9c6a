"""Demo of the whole system on loopback, in under a minute.

Runs three control members, six entries, 24 backends and 24 workers, which is
the size of the Exchange's deployment. Applies a configuration, sends
requests while the leader is killed, and checks the results.
"""

from __future__ import annotations

import argparse
import collections
import contextlib
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import typing

import curio
import yaml

from banyantrack.testing import fake_backend
from banyantrack.testing import fake_worker
from banyantrack.testing import load
from banyantrack.testing import system as system_module

if typing.TYPE_CHECKING:
    import collections.abc

BACKENDS = 24
WORKERS = 24
CUSTOMERS = {'growers': 4, 'contractors': 2, 'pickers': 1, 'reviews': 1}
# Time with requests.
LOAD_S = 12.0
# Arrivals a second; QUICK_PER_S at the peaks of the load.
QUICK_PER_S = 120.0
LONG_PER_S = 6.0
# Times of events since the first request.
LEADER_KILL_AT_S = 4.0
LABEL_AT_S = 6.0
DRAIN_AT_S = 8.0
# Limit of the time until all entries apply the last revision.
IN_FORCE_LIMIT_S = 6.0
# Least share of good answers.
MIN_GOOD_SHARE = 0.99

INTENT = [
    *(
        {'kind': 'customer', 'name': name, 'weight': weight}
        for name, weight in CUSTOMERS.items()
    ),
    *(
        {
            'kind': 'guarantee',
            'name': f'{name}-share',
            'customer': name,
            'accelerators': 8 if weight < 4 else 16,
            'count': weight,
            'adjacency': 'rack',
        }
        for name, weight in CUSTOMERS.items()
    ),
    {
        'kind': 'route',
        'name': 'roster',
        'prefix': '/roster',
        'deadline_ms': 2000,
    },
    {
        'kind': 'route',
        'name': 'recount',
        'prefix': '/recount',
        'service_class': 'long',
        'deadline_ms': 20000,
    },
    {
        'kind': 'job',
        'name': 'matching',
        'customer': 'growers',
        'members': 16,
        'adjacency': 'rack',
        'parameters': {'run_ms': '4000'},
    },
    *(
        {
            'kind': 'job',
            'name': f'fill-{number}',
            'customer': 'pickers',
            'members': 8,
            'checkpointable': True,
            'parameters': {'run_ms': '6000'},
        }
        for number in range(20)
    ),
]


class Checks:
    """Prints the results of checks and collects those that failed."""

    def __init__(self) -> None:
        self._failed: list[str] = []

    @property
    def failed(self) -> list[str]:
        """Texts of the failed checks."""
        return list(self._failed)

    def check(self, holds: bool, text: str) -> None:
        """Prints the result of a check and records a failure.

        Args:
            holds: Whether the check passed.
            text: Its text.
        """
        print(f'  {"ok  " if holds else "FAIL"} {text}', flush=True)
        if not holds:
            self._failed.append(text)


def banyan(
    entries: collections.abc.Sequence[str], *arguments: str
) -> subprocess.CompletedProcess[str]:
    """Runs a command of the operator's command line.

    Args:
        entries: HTTP addresses of entries, used as servers.
        *arguments: Arguments of the command.
    """
    command = [sys.executable, '-m', 'banyantrack.cli.operator', *arguments]
    environment = os.environ | {'BANYAN_SERVER': ','.join(entries)}
    return subprocess.run(
        command, env=environment, capture_output=True, text=True, check=False
    )


def _print_step(text: str) -> None:
    print(f'== {text}', flush=True)


class Demo:
    """One run of the demo.

    Args:
        folder: Folder of settings, logs and data.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._checks = Checks()
        self._system = system_module.System(folder)
        self._observer = fake_worker.GangObserver()
        self._backends: list[fake_backend.FakeBackend] = []
        self._workers: list[fake_worker.FakeWorker] = []
        self._tasks: list[curio.Task] = []
        self._client = load.LoadClient(self._system.entry_http)

    async def run(self) -> bool:
        """Runs the demo; returns whether all checks passed."""
        started_at = time.monotonic()
        try:
            await self._start()
            await self._apply()
            await self._send_load()
            await self._check_results()
            print('\n' + self._banyan('status').stdout)
        finally:
            await self._stop()
        still_running = [p.name for p in self._system.processes if p.running]
        self._checks.check(
            not still_running, f'nothing left running: {still_running}'
        )
        seconds = time.monotonic() - started_at
        print(f'\n{seconds:.0f} s; {len(self._checks.failed)} checks failed')
        return not self._checks.failed

    def _banyan(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return banyan(self._system.entry_http, *arguments)

    async def _start(self) -> None:
        _print_step('3 control members, 6 entries')
        await self._system.start()
        _print_step(f'{BACKENDS} backends of 8 slots, {WORKERS} workers of 8')
        self._backends = await fake_backend.start_many(
            BACKENDS, self._system.entry_http
        )
        self._workers = fake_worker.make_fleet(
            WORKERS, self._system.control_http, observer=self._observer
        )
        for worker in self._workers:
            self._tasks.append(await curio.spawn(worker.run))

        async def all_known() -> bool:
            status = await self._system.get('/v1/status')
            return bool(status) and status['workers']['known'] == WORKERS

        await system_module.wait_for(all_known, 'workers')

    async def _apply(self) -> None:
        _print_step('banyan apply: 4 customers, guarantees, routes and jobs')
        file = self._folder / 'intent.yaml'
        file.write_text(yaml.safe_dump_all(INTENT))
        applied = await curio.run_in_thread(
            self._banyan, 'apply', '-f', str(file)
        )
        revision = applied.stdout.split()[-1] if applied.stdout else '0'
        self._checks.check(
            applied.returncode == 0,
            f'applied as revision {revision}{applied.stderr}',
        )
        rolled = await curio.run_in_thread(
            self._banyan, 'rollout', '--wait', revision
        )
        self._checks.check(
            rolled.returncode == 0, f'revision {revision} in force everywhere'
        )

    async def _send_load(self) -> None:
        _print_step(f'{LOAD_S:.0f} s of rush; the leader is killed on the way')
        streams = [
            load.Stream(_quick_rate, _quick),
            load.Stream(lambda at_s: LONG_PER_S, _long),
        ]
        load_task = await curio.spawn(
            self._drive, streams, random.Random(7), daemon=False
        )
        started_at = time.monotonic()
        for at_s, act in (
            (LEADER_KILL_AT_S, self._kill_leader),
            (LABEL_AT_S, self._label_down),
            (DRAIN_AT_S, self._announce_leaving),
        ):
            await curio.sleep(max(started_at + at_s - time.monotonic(), 0))
            await act()
        await load_task.join()

    async def _drive(
        self, streams: list[load.Stream], rng: random.Random
    ) -> None:
        await load.drive(self._client, streams, seconds=LOAD_S, rng=rng)

    async def _kill_leader(self) -> None:
        leader = await self._system.leader()
        killed_at = time.monotonic()
        leader.kill()

        async def elected() -> bool:
            status = await self._system.get('/v1/status')
            return bool(status) and status['leader'] != leader.name

        seconds = await system_module.wait_for(elected, 'leader')
        _print_step(
            f'leader {leader.name} killed; another leads in {seconds:.2f} s'
        )
        leader.start()
        self._killed_at = killed_at

    async def _label_down(self) -> None:
        for of, name in (('worker', 'w23'), ('backend', 'b23')):
            done = await curio.run_in_thread(
                self._banyan, 'label', of, name, 'down=true'
            )
            _print_step(f'banyan label {of} {name} down=true')
            self._checks.check(done.returncode == 0, done.stdout.strip())
        self._labelled_at = time.time()

    async def _announce_leaving(self) -> None:
        _print_step('backend b0 announces that it leaves')
        await self._backends[0].leave()

    async def _check_results(self) -> None:
        _print_step('what happened')
        self._check_requests()
        self._check_backends()
        await self._check_jobs()
        await self._check_rollout()

    def _check_requests(self) -> None:
        by_path = collections.defaultdict(list)
        for result in self._client.results:
            by_path[result.spec.path].append(result)
        for path, results in sorted(by_path.items()):
            counts = load.count(results)
            good = [
                r.latency_s for r in results if r.verdict is load.Verdict.GOOD
            ]
            summary = ', '.join(f'{v.value} {n}' for v, n in counts.items())
            p50, p99 = (
                load.percentile(good, share) * 1000 for share in (0.5, 0.99)
            )
            print(
                f'  {path:9} {len(results):5} answers: {summary};'
                f' p50 {p50:.0f} ms, p99 {p99:.0f} ms'
            )
            share = len(good) / len(results)
            self._checks.check(
                share >= MIN_GOOD_SHARE,
                f'{path}: {share:.4f} good (at least {MIN_GOOD_SHARE})',
            )
        counts = load.count(self._client.results)
        self._checks.check(
            not counts[load.Verdict.CROSSED], 'no answer cut or crossed'
        )

    def _check_backends(self) -> None:
        runs = fake_backend.run_counts(self._backends)
        refused = {
            result.check
            for result in self._client.results
            if result.verdict is load.Verdict.NOT_RUN
        }
        violations = [check for check in refused if runs[check]]
        self._checks.check(not violations, 'each "not run" is true')
        drained = self._backends[0]
        last = max(drained.arrivals_after_leaving, default=0.0)
        after_s = max(last - drained.leaving_at, 0.0)
        self._checks.check(
            after_s <= 2.0,
            f'the leaving backend got its last request after {after_s:.2f} s',
        )
        down = [
            run.started_at - self._labelled_at
            for run in self._backends[23].runs
        ]
        after_s = max(max(down, default=0.0), 0.0)
        self._checks.check(
            after_s <= 2.0,
            f'the backend labelled down got its last after {after_s:.2f} s',
        )

    async def _check_jobs(self) -> None:
        async def all_completed() -> bool:
            listed = await self._system.get('/v1/jobs')
            return bool(listed) and all(
                job['status']['phase'] == 'completed'
                for job in listed['items']
            )

        with contextlib.suppress(TimeoutError):
            await system_module.wait_for(all_completed, 'jobs', timeout_s=20.0)
        listed = await self._system.get('/v1/jobs')
        phases = collections.Counter(
            job['status']['phase'] for job in listed['items']
        )
        summary = ', '.join(f'{n} {phase}' for phase, n in phases.items())
        self._checks.check(set(phases) == {'completed'}, f'jobs: {summary}')
        gang = {w for w, job, _ in self._observer.starts if job == 'matching'}
        racks = {int(name[1:]) // 8 for name in gang}
        self._checks.check(
            len(racks) == 1 and self._observer.runs('matching') >= 1,
            f'the gang of 16 ran on workers {sorted(gang)} of one rack',
        )

    async def _check_rollout(self) -> None:
        document = await self._system.get('/v1/rollout')

        async def is_in_force() -> bool:
            rollout = await self._system.get('/v1/rollout')
            return (
                bool(rollout)
                and len(rollout['entries']) == 6
                and all(
                    entry['revision'] >= document['revision']
                    for entry in rollout['entries']
                )
            )

        seconds = await system_module.wait_for(is_in_force, 'rollout')
        self._checks.check(
            seconds <= IN_FORCE_LIMIT_S,
            f'revision {document["revision"]} in force at all 6 entries',
        )

    async def _stop(self) -> None:
        for task in self._tasks:
            await task.cancel()
        for backend in self._backends:
            await backend.close()
        await self._client.close()
        self._system.stop()


def _quick_rate(at_s: float) -> float:
    """Returns arrivals a second: a peak of 2 s in every 6 s.

    Between the peaks, the rate is a quarter of QUICK_PER_S.
    """
    return QUICK_PER_S * (1.0 if int(at_s / 2) % 3 == 1 else 0.25)


def _quick(rng: random.Random) -> load.Spec:
    work_ms = rng.expovariate(1 / 60)
    if rng.random() < 0.01:
        work_ms = 1000
    return load.Spec(
        '/roster',
        work_ms=min(work_ms, 1000),
        deadline_ms=2000,
        customer=rng.choice(list(CUSTOMERS)),
    )


def _long(rng: random.Random) -> load.Spec:
    return load.Spec(
        '/recount',
        work_ms=rng.uniform(1000, 3000),
        deadline_ms=20_000,
        customer='reviews',
    )


def main() -> int:
    """Runs the demo; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--folder', type=pathlib.Path, help='keep logs and data here'
    )
    options = parser.parse_args()
    with contextlib.ExitStack() as stack:
        folder = options.folder
        if folder is None:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
        folder.mkdir(parents=True, exist_ok=True)
        all_passed = curio.run(Demo(folder).run)
    return 0 if all_passed else 1


if __name__ == '__main__':
    sys.exit(main())
