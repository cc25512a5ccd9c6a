"""Randomised soak test of daemons on the platform's interface.

Daemons run as processes that are killed, suspended, stopped, reloaded by
signals and started without their data, in overlapping sequences. Executors
are reached through proxies that delay, reset or block connections in one or
both directions. Some tasks crash the executors that start them, and executors
shrink and grow, refuse calls, or start again unnoticed at first and are cut
off. Crowds of clients stall within their requests. The
observations of callers, executors and the operator are checked against the
guarantees of the system.
"""

from __future__ import annotations

import argparse
import collections
import copy
import dataclasses
import enum
import functools
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

from banyantrack.testing import fake_executor
from banyantrack.testing import fault_proxy
from banyantrack.testing import platform_system
from banyantrack.testing import system
from banyantrack.testing import untrusted_clients

# Ranges of the delays between faults and between submissions.
FAULT_PAUSE_S = (0.3, 1.5)
JOB_PAUSE_S = (0.05, 0.3)
CONFIG_INTERVAL_S = 1.0
SUPERVISE_INTERVAL_S = 0.1
# Longest wait for the end of all accepted jobs after the last fault.
SETTLE_S = 60.0
CONTROL_MEMBERS = 5
EXECUTOR_COUNT = 6
# Share of the jobs with a task that crashes each executor that starts it.
CRASHING_SHARE = 0.03
ACCELERATORS = 8
ZONES = ('z1', 'z2', 'z3')
# An evacuation takes effect 5 s after its acknowledgement.
EVACUATION_S = (4.0, 9.0)
# Ranges of the delays between executors that refuse calls or start again
# unnoticed, and of the times that they do so.
DISTURB_PAUSE_S = (0.5, 2.5)
UNHEALTHY_S = (0.3, 2.0)
ANNOUNCE_DELAY_S = (0.0, 3.0)
CUT_OFF_S = (0.5, 9.0)
# Clients of a crowd, and the largest body that each stops sending before its
# end.
CROWD_CLIENTS = 20
CROWD_BODY_BYTES = 1024 * 1024
CROWD_TARGET = '/v1/instances/i-99'
# A group of five tolerates the loss of two members.
MAX_DOWN_MEMBERS = 2
FINISHED_STATES = ('completed', 'failed', 'cancelled')


class Fault(enum.Enum):
    """Faults of the schedule."""

    KILL_CONTROL = 'kill-control'
    PAUSE_CONTROL = 'pause-control'
    STOP_CONTROL = 'stop-control'
    WIPE_CONTROL = 'wipe-control'
    KILL_ENTRY = 'kill-entry'
    RELOAD = 'reload'
    LINK = 'link'
    RESET_LINKS = 'reset-links'
    RESTART_EXECUTOR = 'restart-executor'
    RESIZE_EXECUTOR = 'resize-executor'
    EVACUATE = 'evacuate'


@dataclasses.dataclass(slots=True)
class SubmittedJob:
    """A job that was submitted.

    Attributes:
        queue: Its queue.
        statuses: Status code of each submission; 0 without an answer.
        cancelled: Whether its cancellation was acknowledged.
    """

    queue: str
    statuses: list[int] = dataclasses.field(default_factory=list)
    cancelled: bool = False

    @property
    def accepted(self) -> bool:
        """Whether any submission was acknowledged."""
        return 200 in self.statuses


class Soak:
    """One run of the soak test.

    Args:
        seed: Seed of faults, jobs and delays.
        seconds: Length of the phase with faults.
        folder: Folder of settings, logs and data.
    """

    def __init__(
        self, seed: int, seconds: float, folder: pathlib.Path
    ) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._system = platform_system.PlatformSystem(
            folder,
            control=CONTROL_MEMBERS,
            executors=EXECUTOR_COUNT,
            seed=seed,
            late=0.03,
            zones=ZONES,
        )
        self._proxies = self._make_proxies()
        self._jobs: dict[str, SubmittedJob] = {}
        self._acknowledged_version = 1
        self._configs = {1: platform_system.DEFAULT_CONFIG}
        self._down_members: set[str] = set()
        self._evacuating = False
        self._faults_over = False
        self.faults: collections.Counter[str] = collections.Counter()
        self.crowds = 0
        # Restarts without notice under each task.
        self._restarts_under: collections.Counter[str] = collections.Counter()
        self.disturbed: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []

    @property
    def logs(self) -> str:
        """Logs of all daemons, one after the other."""
        return self._system.log_text()

    async def run(self) -> dict[str, typing.Any]:
        """Runs the test; returns the verdict as members of a JSON object."""
        for proxy in self._proxies:
            await proxy.start()
        try:
            await self._run_phases()
        finally:
            for proxy in self._proxies:
                await proxy.close()
        self.broken += self._system.observer.broken
        self._check_rejected()
        return {
            'jobs': len(self._jobs),
            'accepted': sum(job.accepted for job in self._jobs.values()),
            'configurations': self._acknowledged_version,
            'starts': len(self._system.observer.starts),
            'alone': len(self._system.observer.alone),
            'crashes': dict(self._system.observer.crashes),
            'faults': dict(self.faults),
            'crowds': self.crowds,
            'disturbed': dict(self.disturbed),
            'broken': self.broken,
        }

    async def _run_phases(self) -> None:
        async with self._system.running():
            for process in self._system.control:
                process.settings['platform']['first_start'] = False
                process.write()
            tasks = [
                await curio.spawn(loop)
                for loop in (self._submit_jobs, self._change_configs)
            ]
            supervisor = await curio.spawn(self._supervise, daemon=True)
            tasks.append(await curio.spawn(self._hold_crowds))
            tasks.append(await curio.spawn(self._disturb_executors))
            await self._inject_faults()
            self._faults_over = True
            await self._end_faults()
            for task in tasks:
                await task.join()
            await self._check_results()
            await supervisor.cancel()

    def _make_proxies(self) -> list[fault_proxy.FaultProxy]:
        proxies = []
        for executor in self._system.executors:
            port = system.reserve_ports(1)[0]
            host = fault_proxy.host_of(executor.address)
            proxy = fault_proxy.FaultProxy(
                f'{host}:{port}', executor.address, rng=self._rng
            )
            executor.advertised = proxy.address
            proxies.append(proxy)
        return proxies

    # Load.

    async def _submit_jobs(self) -> None:
        while not self._faults_over:
            await curio.sleep(self._rng.uniform(*JOB_PAUSE_S))
            await curio.spawn(self._submit_job, daemon=True)

    async def _submit_job(self) -> None:
        job_id = f'{self._rng.getrandbits(64):016x}'
        queue = self._rng.choice(('urgent', 'usual', 'patient'))
        submitted = self._jobs[job_id] = SubmittedJob(queue)
        accelerators = self._rng.choice((1, 2, 4, ACCELERATORS))
        count = self._rng.randint(1, 3)
        behaviour: dict[str, typing.Any] = {
            'ms': self._rng.randint(100, 1500),
            'fail': 0.1,
            'need': {'gpu': accelerators},
        }
        step = {
            'count': count,
            'gpu': accelerators,
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
        if self._rng.random() < CRASHING_SHARE:
            behaviour['crash'] = [0]
        for _ in range(3):
            status = await self._system.submit(
                queue, job_id, *copy.deepcopy(steps), behaviour=behaviour
            )
            submitted.statuses.append(status)
            if status == 200 and self._rng.random() < 0.8:
                break
        if submitted.accepted and self._rng.random() < 0.1:
            status, _ = await self._system.call('DELETE', f'/{queue}/{job_id}')
            submitted.cancelled = status == 200
            if status == 410:
                self.broken.append(f'{job_id}: cancelled, but not known')

    async def _change_configs(self) -> None:
        version = 1
        while not self._faults_over:
            await curio.sleep(CONFIG_INTERVAL_S)
            version += self._rng.randint(1, 3)
            config = copy.deepcopy(platform_system.DEFAULT_CONFIG)
            config['version'] = version
            config['routes'][2]['timeoutMs'] = 2000 + version
            self._configs[version] = config
            if await self._system.put_config(config) == 200:
                self._acknowledged_version = version
            acknowledged = self._acknowledged_version
            status, document = await self._system.operator('GET', '/v1/config')
            if status == 200 and document['version'] < acknowledged:
                self.broken.append(
                    f'read version {document["version"]} after {acknowledged}'
                )

    # Faults.

    async def _inject_faults(self) -> None:
        end_s = time.monotonic() + self._seconds
        while time.monotonic() < end_s:
            await curio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
            fault = self._rng.choice(list(Fault))
            self.faults[fault.value] += 1
            await curio.spawn(self._inject_fault, fault, daemon=True)

    async def _inject_fault(self, fault: Fault) -> None:
        if fault is Fault.LINK:
            proxy = self._rng.choice(self._proxies)
            proxy.mode = self._rng.choice(list(fault_proxy.Mode))
            await curio.sleep(self._rng.uniform(0.5, 4.0))
            proxy.mode = fault_proxy.Mode.PASS
        elif fault is Fault.RESET_LINKS:
            for proxy in self._proxies:
                await proxy.reset_all()
        elif fault is Fault.RESTART_EXECUTOR:
            executor = self._rng.choice(self._system.executors)
            # One that a task has crashed starts again by itself.
            if executor.up:
                await executor.restart()
        elif fault is Fault.RESIZE_EXECUTOR:
            executor = self._rng.choice(self._system.executors)
            executor.resize(gpu=self._rng.randrange(ACCELERATORS))
            await curio.sleep(self._rng.uniform(0.5, 6.0))
            executor.resize(gpu=ACCELERATORS)
        elif fault is Fault.EVACUATE:
            await self._evacuate()
        elif fault is Fault.RELOAD:
            for process in self._system.processes:
                if process.running:
                    os.kill(process.pid, signal.SIGHUP)
        elif fault is Fault.KILL_ENTRY:
            self._system.entry.kill()
            self._system.entry.start()
        else:
            await self._inject_control_fault(fault)

    async def _evacuate(self) -> None:
        """Evacuates a zone for some seconds, one at a time."""
        if self._evacuating:
            return
        self._evacuating = True
        zone = self._rng.choice(ZONES)
        try:
            for end in (False, True):
                status = await self._system.evacuate(zone, end=end)
                if status != 200:
                    self.broken.append(f'evacuation of {zone}: {status}')
                if not end:
                    await curio.sleep(self._rng.uniform(*EVACUATION_S))
        except TimeoutError as error:
            self.broken.append(str(error))
        finally:
            self._evacuating = False

    async def _disturb_executors(self) -> None:
        """Lets executors refuse calls, or start again unnoticed.

        Not part of the schedule of faults, so that earlier seeds keep theirs.
        """
        rng = random.Random(self._seed + 1)
        tasks = []
        while not self._faults_over:
            await curio.sleep(rng.uniform(*DISTURB_PAUSE_S))
            executor = rng.choice(self._system.executors)
            disturb = rng.choice((self._refuse_calls, self._restart_unnoticed))
            self.disturbed[disturb.__name__.strip('_')] += 1
            tasks.append(await curio.spawn(disturb, executor, rng))
        for task in tasks:
            await task.join()

    async def _refuse_calls(
        self, executor: fake_executor.FakeExecutor, rng: random.Random
    ) -> None:
        executor.unhealthy = rng.uniform(0.2, 1.0)
        await curio.sleep(rng.uniform(*UNHEALTHY_S))
        executor.unhealthy = 0.0

    async def _restart_unnoticed(
        self, executor: fake_executor.FakeExecutor, rng: random.Random
    ) -> None:
        """Restarts an executor that takes calls before its first report.

        It may be cut off before that report, or soon after it.
        """
        if not executor.up or executor.announce_delay_s:
            return
        executor.announce_delay_s = rng.uniform(*ANNOUNCE_DELAY_S)
        self._restarts_under.update(executor.running)
        await executor.restart()
        await curio.sleep(rng.uniform(*ANNOUNCE_DELAY_S))
        executor.cut_off = True
        await curio.sleep(rng.uniform(*CUT_OFF_S))
        executor.cut_off = False
        executor.announce_delay_s = 0.0

    async def _hold_crowds(self) -> None:
        """Holds one crowd of stalling clients after the other.

        Not part of the schedule of faults, so that earlier seeds keep theirs.
        """
        rng = random.Random(self._seed)
        while not self._faults_over:
            body_bytes = rng.randint(2, CROWD_BODY_BYTES)
            crowd = untrusted_clients.Crowd(
                rng.choice([self._system.entry_address, *self._system.seeds]),
                CROWD_CLIENTS,
                functools.partial(
                    untrusted_clients.sized_body,
                    'PUT',
                    CROWD_TARGET,
                    declared=body_bytes,
                    sent=body_bytes - 1,
                ),
            )
            self.crowds += 1
            await crowd.send()
            await curio.sleep(rng.uniform(0.5, 2.0))
            await crowd.close()

    async def _supervise(self) -> None:
        """Restarts daemons that ended without a fault of the schedule."""
        while True:
            await curio.sleep(SUPERVISE_INTERVAL_S)
            for process in self._system.processes:
                if process.running or process.name in self._down_members:
                    continue
                # SIGHUP ends a process that has not installed its handler yet.
                if process.exit_code != -signal.SIGHUP:
                    self.broken.append(
                        f'{process.name}: ended by itself with'
                        f' {process.exit_code}'
                    )
                self.faults['own-end'] += 1
                process.start()

    async def _inject_control_fault(self, fault: Fault) -> None:
        process = self._rng.choice(self._system.control)
        if (
            len(self._down_members) >= MAX_DOWN_MEMBERS
            or process.name in self._down_members
        ):
            return
        # A wiped member counts as lost until a new member replaces it.
        if fault is Fault.WIPE_CONTROL and self._down_members:
            return
        self._down_members.add(process.name)
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
        self._down_members.discard(process.name)

    async def _end_faults(self) -> None:
        for proxy in self._proxies:
            proxy.mode = fault_proxy.Mode.PASS
        while self._down_members or self._evacuating:
            await curio.sleep(0.1)

    # Checks.

    async def _check_results(self) -> None:
        deadline_s = time.monotonic() + SETTLE_S
        unfinished = {
            key: job for key, job in self._jobs.items() if job.accepted
        }
        while unfinished and time.monotonic() < deadline_s:
            for job_id, submitted in list(unfinished.items()):
                status, values = await self._system.call(
                    'GET', f'/{submitted.queue}/{job_id}'
                )
                if status == 410:
                    self.broken.append(f'{job_id}: accepted and lost')
                    del unfinished[job_id]
                elif values.get('state') in FINISHED_STATES:
                    if values['state'] == 'failed':
                        self._check_failed(job_id, submitted)
                    del unfinished[job_id]
                elif submitted.cancelled and 'state' in values:
                    self.broken.append(f'{job_id}: cancelled and {values}')
            await curio.sleep(0.2)
        for job_id in unfinished:
            self.broken.append(f'{job_id}: not finished')
        status, document = await self._system.operator('GET', '/v1/config')
        if status != 200 or document['version'] < self._acknowledged_version:
            self.broken.append(
                f'{self._acknowledged_version} acknowledged; {document}'
            )
        elif document != self._configs[document['version']]:
            self.broken.append(
                f'version {document["version"]} has other content'
            )

    def _check_failed(self, job_id: str, submitted: SubmittedJob) -> None:
        if submitted.cancelled:
            self.broken.append(f'{job_id}: failed once cancelled')
        observer = self._system.observer
        # A task may be given up once two executors have crashed under it.
        may_be_given_up = any(
            count + observer.crashes[task] >= fake_executor.CRASHES_TO_GIVE_UP
            and task.startswith(f'{job_id}.')
            for task, count in self._restarts_under.items()
        )
        if not may_be_given_up and not observer.may_have_failed(
            job_id, platform_system.ATTEMPTS
        ):
            self.broken.append(f'{job_id}: given up without cause')

    def _check_rejected(self) -> None:
        started = {
            t.partition('.')[0] for t, _ in self._system.observer.starts
        }
        for job_id, submitted in self._jobs.items():
            rejected = all(
                s in (400, 401, 404, 429, 503) for s in submitted.statuses
            )
            if submitted.statuses and rejected and job_id in started:
                self.broken.append(f'{job_id}: refused, but it ran')


def run(seed: int, seconds: float) -> tuple[dict[str, typing.Any], str]:
    """Runs one seed.

    Args:
        seed: The seed.
        seconds: Length of the phase with faults.

    Returns:
        The verdict and the logs of the daemons.
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, pathlib.Path(folder))
        verdict = curio.run(soak.run)
        return verdict, soak.logs


def main(arguments: list[str] | None = None) -> int:
    """Runs one seed after the other and prints the verdict of each."""
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
