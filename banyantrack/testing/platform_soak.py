"""Randomised soak of real daemons on the platform's interface.

Daemons run as processes; they are killed, paused, stopped, wiped and told
to reload by signals, in series that overlap. Executors are reached through
proxies that delay, reset, silence and half cut their connections. What
callers, executors and the operator see is checked against the promises.
"""

from __future__ import annotations

import argparse
import collections
import copy
import dataclasses
import enum
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

import curio

from banyantrack.testing import fault_proxy
from banyantrack.testing import platform_system
from banyantrack.testing import system

FAULT_PAUSE_S = (0.3, 1.5)
JOB_PAUSE_S = (0.05, 0.3)
CONFIG_PAUSE_S = 1.0
SUPERVISE_S = 0.1
SETTLE_S = 60.0
CONTROL = 5
EXECUTORS = 6
# Disks that may be lost at once are two of five.
MOST_DOWN = 2
FINISHED = ('completed', 'failed', 'cancelled')


class Fault(enum.Enum):
    """What the schedule does."""

    KILL_CONTROL = 'kill-control'
    PAUSE_CONTROL = 'pause-control'
    STOP_CONTROL = 'stop-control'
    WIPE_CONTROL = 'wipe-control'
    KILL_ENTRY = 'kill-entry'
    RELOAD = 'reload'
    LINK = 'link'
    RESET_LINKS = 'reset-links'
    RESTART_EXECUTOR = 'restart-executor'


@dataclasses.dataclass(slots=True)
class Handed:
    """A job that was handed in.

    Attributes:
        queue: Its queue.
        statuses: Answers to its submissions; 0 for none.
        cancelled: Whether its cancelling was acknowledged.
    """

    queue: str
    statuses: list[int] = dataclasses.field(default_factory=list)
    cancelled: bool = False

    @property
    def accepted(self) -> bool:
        """Whether any submission was acknowledged."""
        return 200 in self.statuses


class Soak:
    """One run.

    Args:
        seed: Seed of everything that is drawn.
        seconds: Length of the time with faults.
        folder: Where everything lies.
    """

    def __init__(
        self, seed: int, seconds: float, folder: pathlib.Path
    ) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._made = platform_system.PlatformSystem(
            folder,
            control=CONTROL,
            executors=EXECUTORS,
            seed=seed,
            late=0.03,
        )
        self._proxies = self._make_proxies()
        self._jobs: dict[str, Handed] = {}
        self._acknowledged = 1
        self._configs = {1: platform_system.DEFAULT_CONFIG}
        self._down: set[str] = set()
        self._over = False
        self.faults: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []

    @property
    def logs(self) -> str:
        """What the daemons have logged."""
        return self._made.log_text()

    async def run(self) -> dict[str, typing.Any]:
        """Runs the whole schedule and returns the verdict."""
        for proxy in self._proxies:
            await proxy.start()
        try:
            await self._play()
        finally:
            for proxy in self._proxies:
                await proxy.close()
        self.broken += self._made.observer.broken
        self._check_refused()
        return {
            'jobs': len(self._jobs),
            'accepted': sum(h.accepted for h in self._jobs.values()),
            'configurations': self._acknowledged,
            'starts': len(self._made.observer.starts),
            'alone': len(self._made.observer.alone),
            'faults': dict(self.faults),
            'broken': self.broken,
        }

    async def _play(self) -> None:
        async with self._made.running():
            for process in self._made.control:
                process.settings['platform']['first_start'] = False
                process.write()
            tasks = [
                await curio.spawn(work)
                for work in (self._submit, self._configure)
            ]
            supervisor = await curio.spawn(self._supervise, daemon=True)
            await self._inject()
            self._over = True
            await self._heal()
            for task in tasks:
                await task.join()
            await self._settle()
            await supervisor.cancel()

    def _make_proxies(self) -> list[fault_proxy.FaultProxy]:
        proxies = []
        for executor in self._made.executors:
            port = system.free_ports(1)[0]
            host = fault_proxy.host_of(executor.address)
            proxy = fault_proxy.FaultProxy(
                f'{host}:{port}', executor.address, rng=self._rng
            )
            executor.advertised = proxy.address
            proxies.append(proxy)
        return proxies

    # Load.

    async def _submit(self) -> None:
        while not self._over:
            await curio.sleep(self._rng.uniform(*JOB_PAUSE_S))
            await curio.spawn(self._one_job, daemon=True)

    async def _one_job(self) -> None:
        job_id = f'{self._rng.getrandbits(64):016x}'
        queue = self._rng.choice(('urgent', 'usual', 'patient'))
        handed = self._jobs[job_id] = Handed(queue)
        need = self._rng.choice((1, 2, 4, 8))
        count = self._rng.randint(1, 3)
        behaviour: dict[str, typing.Any] = {
            'ms': self._rng.randint(100, 1500),
            'fail': 0.1,
            'need': {'gpu': need},
        }
        step = {
            'count': count,
            'gpu': need,
            'estimatedMs': 800,
            'checkpointable': True,
        }
        if self._rng.random() < 0.3:
            step['gang'] = True
            behaviour['gang'] = count
        steps = [step]
        if self._rng.random() < 0.3:
            after = {**step, 'dependsOn': [0]}
            steps.append(after)
        for _ in range(3):
            status = await self._made.submit(
                queue, job_id, *copy.deepcopy(steps), behaviour=behaviour
            )
            handed.statuses.append(status)
            if status == 200 and self._rng.random() < 0.8:
                break
        if handed.accepted and self._rng.random() < 0.1:
            status, _ = await self._made.call('DELETE', f'/{queue}/{job_id}')
            handed.cancelled = status == 200
            if status == 410:
                self.broken.append(f'{job_id}: cancelled, but not known')

    async def _configure(self) -> None:
        version = 1
        while not self._over:
            await curio.sleep(CONFIG_PAUSE_S)
            version += self._rng.randint(1, 3)
            change = copy.deepcopy(platform_system.DEFAULT_CONFIG)
            change['version'] = version
            change['routes'][2]['timeoutMs'] = 2000 + version
            self._configs[version] = change
            if await self._made.put_config(change) == 200:
                self._acknowledged = version
            held = self._acknowledged
            status, seen = await self._made.operator('GET', '/v1/config')
            if status == 200 and seen['version'] < held:
                self.broken.append(
                    f'read version {seen["version"]} after {held}'
                )

    # Faults.

    async def _inject(self) -> None:
        ends_s = time.monotonic() + self._seconds
        while time.monotonic() < ends_s:
            await curio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
            fault = self._rng.choice(list(Fault))
            self.faults[fault.value] += 1
            await curio.spawn(self._fault, fault, daemon=True)

    async def _fault(self, fault: Fault) -> None:
        if fault is Fault.LINK:
            proxy = self._rng.choice(self._proxies)
            proxy.mode = self._rng.choice(list(fault_proxy.Mode))
            await curio.sleep(self._rng.uniform(0.5, 4.0))
            proxy.mode = fault_proxy.Mode.PASS
        elif fault is Fault.RESET_LINKS:
            for proxy in self._proxies:
                await proxy.reset_all()
        elif fault is Fault.RESTART_EXECUTOR:
            await self._rng.choice(self._made.executors).restart()
        elif fault is Fault.RELOAD:
            for process in self._made.processes:
                if process.running:
                    os.kill(process.pid, signal.SIGHUP)
        elif fault is Fault.KILL_ENTRY:
            self._made.entry.kill()
            self._made.entry.start()
        else:
            await self._fault_control(fault)

    async def _supervise(self) -> None:
        """Starts processes again that ended by themselves."""
        while True:
            await curio.sleep(SUPERVISE_S)
            for process in self._made.processes:
                if process.running or process.name in self._down:
                    continue
                # The interpreter itself cannot take a request to reload.
                if process.exit_code != -signal.SIGHUP:
                    self.broken.append(
                        f'{process.name}: ended by itself with'
                        f' {process.exit_code}'
                    )
                self.faults['own-end'] += 1
                process.start()

    async def _fault_control(self, fault: Fault) -> None:
        process = self._rng.choice(self._made.control)
        if len(self._down) >= MOST_DOWN or process.name in self._down:
            return
        # A wiped member is lost until another one has its place.
        if fault is Fault.WIPE_CONTROL and self._down:
            return
        self._down.add(process.name)
        pause_s = self._rng.uniform(0.2, 3.0)
        if fault is Fault.PAUSE_CONTROL:
            process.pause()
            await curio.sleep(pause_s)
            process.resume()
        else:
            if fault is Fault.STOP_CONTROL:
                process.terminate()
                await curio.sleep(pause_s)
            process.kill()
            if fault is Fault.WIPE_CONTROL:
                process.wipe()
            await curio.sleep(pause_s)
            process.start()
        await curio.sleep(8.0 if fault is Fault.WIPE_CONTROL else 1.0)
        self._down.discard(process.name)

    async def _heal(self) -> None:
        for proxy in self._proxies:
            proxy.mode = fault_proxy.Mode.PASS
        while self._down:
            await curio.sleep(0.1)

    # Verdict.

    async def _settle(self) -> None:
        until_s = time.monotonic() + SETTLE_S
        left = {j: h for j, h in self._jobs.items() if h.accepted}
        while left and time.monotonic() < until_s:
            for job_id, handed in list(left.items()):
                status, values = await self._made.call(
                    'GET', f'/{handed.queue}/{job_id}'
                )
                if status == 410:
                    self.broken.append(f'{job_id}: accepted and lost')
                    del left[job_id]
                elif values.get('state') in FINISHED:
                    if handed.cancelled and values['state'] == 'failed':
                        self.broken.append(f'{job_id}: failed once cancelled')
                    del left[job_id]
                elif handed.cancelled and values:
                    self.broken.append(f'{job_id}: cancelled and {values}')
            await curio.sleep(0.2)
        for job_id in left:
            self.broken.append(f'{job_id}: not finished')
        status, seen = await self._made.operator('GET', '/v1/config')
        if status != 200 or seen['version'] < self._acknowledged:
            self.broken.append(f'{self._acknowledged} acknowledged; {seen}')
        elif seen != self._configs[seen['version']]:
            self.broken.append(f'version {seen["version"]} has other content')

    def _check_refused(self) -> None:
        started = {t.partition('.')[0] for t, _ in self._made.observer.starts}
        for job_id, handed in self._jobs.items():
            refused = all(
                s in (400, 401, 404, 429, 503) for s in handed.statuses
            )
            if handed.statuses and refused and job_id in started:
                self.broken.append(f'{job_id}: refused, but it ran')


def run(seed: int, seconds: float) -> tuple[dict[str, typing.Any], str]:
    """Runs one seed; returns the verdict and the daemons' logs."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, pathlib.Path(folder))
        verdict = curio.run(soak.run)
        return verdict, soak.logs


def main(arguments: list[str] | None = None) -> int:
    """Runs seeds one after the other; prints a verdict for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--keep', type=pathlib.Path, help='folder for logs')
    options = parser.parse_args(arguments)
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        verdict, logs = run(seed, options.seconds)
        print(json.dumps({'seed': seed, **verdict}), flush=True)
        failed += bool(verdict['broken'])
        if verdict['broken'] and options.keep is not None:
            (options.keep / f'soak-{seed}.log').write_text(logs)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
