"""Worker agents for tests, the demo and benchmarks.

An agent ends its tasks when its lease expires and ignores orders of earlier
epochs. It checks that no gang runs under two epochs at once and that held
tasks never exceed its accelerators. The parameters of a gang define its
behaviour: `run_ms`, `fail` (share of runs that fail) and `memory_mb`.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import json
import random
import sys
import time
import typing

import curio

from banyantrack.core import errors
from banyantrack.placement import gangs
from banyantrack.transport import http_client

if typing.TYPE_CHECKING:
    import collections.abc

RETRY_S = 0.1
REPORT_TIMEOUT_S = 3.0
TaskState = gangs.TaskState


@dataclasses.dataclass(slots=True)
class FakeTask:
    """Members of one gang on a worker.

    Attributes:
        job: Name of the job.
        epoch: Epoch of the allotment.
        accelerators: Accelerators of these members together.
        run_s: Remaining run time at the start, in seconds.
        fails: Whether the run fails.
        memory_mb: Reported memory use.
        state: State of the task.
        initial_progress_ms: Run time of earlier runs.
        saved_ms: Progress of the last checkpoint.
        started_at: Monotonic time of the start, in seconds.
    """

    job: str
    epoch: int
    accelerators: int
    run_s: float
    fails: bool
    memory_mb: int
    state: TaskState
    initial_progress_ms: int
    saved_ms: int
    started_at: float = 0.0

    def progress_ms(self) -> int:
        """Returns the run time over all runs, in ms."""
        if self.state is TaskState.HELD:
            return self.initial_progress_ms
        ran_s = min(time.monotonic() - self.started_at, self.run_s)
        return self.initial_progress_ms + int(ran_s * 1000)


class GangObserver:
    """Records runs of all agents and checks that epochs do not overlap.

    Attributes:
        starts: Worker, job and epoch of each start.
        running: Workers with running members by job and epoch.
    """

    def __init__(self) -> None:
        self.starts: list[tuple[str, str, int]] = []
        self.running: dict[str, dict[int, set[str]]] = collections.defaultdict(
            lambda: collections.defaultdict(set)
        )

    def started(self, worker: str, job: str, epoch: int) -> None:
        """Records that members of a gang run on a worker.

        Raises:
            errors.InvariantError: If the gang runs under another epoch.
        """
        epochs = self.running[job]
        others = [e for e, workers in epochs.items() if e != epoch and workers]
        errors.check_invariant(
            not others,
            'gang %s starts under epoch %d while %s runs',
            job,
            epoch,
            others,
        )
        epochs[epoch].add(worker)
        self.starts.append((worker, job, epoch))

    def ended(self, worker: str, job: str, epoch: int) -> None:
        """Records that members of a gang no longer run on a worker."""
        self.running[job][epoch].discard(worker)

    def runs(self, job: str) -> int:
        """Returns the number of epochs under which a gang has run."""
        return len({epoch for _, name, epoch in self.starts if name == job})


class FakeWorker:
    """One worker agent.

    Args:
        name: Its name.
        control: HTTP addresses of control members.
        zone: Its zone.
        rack: Its rack.
        accelerators: Its accelerators.
        processors: Its processors.
        memory_mb: Its memory.
        labels: Its own labels.
        observer: Shared by all agents that run members of the same gangs.
        fails_all_tasks: Whether all tasks that it starts fail.
        wait_ms: Longest time that control may delay an answer to a report
            without orders.
        rng: Source of randomness.

    Attributes:
        tasks: Tasks by job name.
        completed: Names of the jobs whose tasks were done.
        reports: Number of answered reports.
    """

    def __init__(
        self,
        name: str,
        control: collections.abc.Sequence[str],
        *,
        zone: str = 'a',
        rack: str = 'r0',
        accelerators: int = 8,
        processors: int = 64,
        memory_mb: int = 262144,
        labels: dict[str, str] | None = None,
        observer: GangObserver | None = None,
        fails_all_tasks: bool = False,
        wait_ms: int = 1000,
        rng: random.Random | None = None,
    ) -> None:
        self.name = name
        self.tasks: dict[str, FakeTask] = {}
        self.completed: list[str] = []
        self.reports = 0
        self._control = list(control)
        self._zone = zone
        self._rack = rack
        self._accelerators = accelerators
        self._processors = processors
        self._memory_mb = memory_mb
        self._labels = labels or {}
        self._observer = observer or GangObserver()
        self.fails_all_tasks = fails_all_tasks
        self._wait_ms = wait_ms
        self._rng = rng or random.Random()
        self._incarnation = int(time.time() * 1000)
        self._sequence = 0
        self._lease_end_s = 0.0
        self._ended_epochs: dict[str, int] = {}
        self._address = self._rng.choice(self._control)
        self._client: http_client.HttpClient | None = None
        # Task states in the last report that control answered.
        self._reported: dict[str, TaskState] = {}

    async def run(self) -> None:
        """Reports and carries out orders until cancelled."""
        end_loop = await curio.spawn(self._end_tasks, daemon=True)
        try:
            while True:
                await self._report()
        finally:
            await end_loop.cancel()
            if self._client is not None:
                await self._client.close()
            for job in list(self.tasks):
                self._end_task(job)

    def restart(self) -> None:
        """Ends all tasks and begins a new incarnation."""
        for job in list(self.tasks):
            self._end_task(job)
        self._incarnation = max(self._incarnation + 1, int(time.time() * 1000))
        self._sequence = 0
        self._ended_epochs.clear()

    async def _report(self) -> None:
        self._sequence += 1
        sent_at = time.monotonic()
        wait_ms = 0 if self._has_unreported_states() else self._wait_ms
        states = {job: task.state for job, task in self.tasks.items()}
        body = json.dumps(self._message(wait_ms)).encode()
        if self._client is None:
            self._client = http_client.HttpClient(self._address)
        try:
            answer = await self._client.request(
                'POST',
                f'/v1/workers/{self.name}/report',
                body=body,
                timeout_s=REPORT_TIMEOUT_S + wait_ms / 1000,
            )
        except http_client.HttpError:
            await self._switch_control(self._rng.choice(self._control))
            return
        if answer.status == 307:
            location = answer.header('location') or ''
            await self._switch_control(location.split('/')[2], pause_s=0.0)
            return
        if answer.status != 200:
            await self._switch_control(self._rng.choice(self._control))
            return
        self.reports += 1
        self._reported = states
        self._apply_commands(json.loads(answer.body), sent_at)

    async def _switch_control(
        self, address: str, *, pause_s: float = RETRY_S
    ) -> None:
        if self._client is not None:
            await self._client.close()
        self._client = None
        self._address = address
        await curio.sleep(pause_s)

    def _has_unreported_states(self) -> bool:
        """Whether a task changed its state since the last answered report."""
        states = {job: task.state for job, task in self.tasks.items()}
        return states != self._reported

    def _message(self, wait_ms: int) -> dict[str, object]:
        return {
            'incarnation': self._incarnation,
            'sequence': self._sequence,
            'zone': self._zone,
            'rack': self._rack,
            'capacity': {
                'accelerators': self._accelerators,
                'processors': self._processors,
                'memory_mb': self._memory_mb,
            },
            'labels': self._labels,
            'tasks': [
                {
                    'job': task.job,
                    'epoch': task.epoch,
                    'state': task.state.value,
                    'progress_ms': task.progress_ms(),
                    'saved_ms': task.saved_ms,
                    'memory_mb': task.memory_mb,
                }
                for task in self.tasks.values()
            ],
            'wait_ms': min(wait_ms, self._next_end_ms()),
        }

    def _next_end_ms(self) -> int:
        """Returns the time until the next task ends, in ms.

        The answer to a report must not be delayed beyond it.
        """
        remaining_s = [
            task.run_s - (time.monotonic() - task.started_at)
            for task in self.tasks.values()
            if task.state is TaskState.RUNNING
        ]
        return max(int(min(remaining_s, default=60.0) * 1000) + 5, 0)

    def _apply_commands(self, answer: dict, sent_at: float) -> None:
        lease_s = answer['lease_ms'] / 1000
        self._lease_end_s = max(self._lease_end_s, sent_at + lease_s)
        for command in answer['commands']:
            self._apply_command(command)

    def _apply_command(self, command: dict) -> None:
        job, epoch = command['job'], command['epoch']
        task = self.tasks.get(job)
        match gangs.Action(command['action']):
            case gangs.Action.HOLD:
                self._hold(command)
            case gangs.Action.START:
                if task is not None and task.epoch == epoch:
                    self._start(task)
            case gangs.Action.CHECKPOINT:
                if task is not None and task.epoch == epoch:
                    task.saved_ms = task.progress_ms()
                    task.state = TaskState.CHECKPOINTED
                    self._observer.ended(self.name, job, epoch)
            case gangs.Action.STOP:
                if task is not None and task.epoch == epoch:
                    self._end_task(job)

    def _hold(self, command: dict) -> None:
        job, epoch = command['job'], command['epoch']
        if epoch <= self._ended_epochs.get(job, 0):
            return
        current = self.tasks.get(job)
        if current is not None:
            if current.epoch >= epoch:
                return
            self._end_task(job)
        parameters = command['parameters']
        requested = command['members'] * command['accelerators']
        held = sum(task.accelerators for task in self.tasks.values())
        errors.check_invariant(
            held + requested <= self._accelerators,
            'worker %s holds %d accelerators; the order requests %d',
            self.name,
            held,
            requested,
        )
        run_s = float(parameters.get('run_ms', 1000)) / 1000
        run_s = max(run_s - command['progress_ms'] / 1000, 0.0)
        fails = self.fails_all_tasks or (
            self._rng.random() < float(parameters.get('fail', 0))
        )
        if fails:
            run_s = 0.0
        self.tasks[job] = FakeTask(
            job=job,
            epoch=epoch,
            accelerators=requested,
            run_s=run_s,
            fails=fails,
            memory_mb=int(parameters.get('memory_mb', 0)),
            state=TaskState.HELD,
            initial_progress_ms=command['progress_ms'],
            saved_ms=command['progress_ms'],
        )

    def _start(self, task: FakeTask) -> None:
        if task.state is not TaskState.HELD:
            return
        task.state = TaskState.RUNNING
        task.started_at = time.monotonic()
        self._observer.started(self.name, task.job, task.epoch)

    def _end_task(self, job: str) -> None:
        task = self.tasks.pop(job)
        self._ended_epochs[job] = max(
            self._ended_epochs.get(job, 0), task.epoch
        )
        self._observer.ended(self.name, job, task.epoch)
        if task.state is TaskState.DONE:
            self.completed.append(job)

    async def _end_tasks(self) -> None:
        """Ends completed tasks, and all tasks when the lease expires."""
        while True:
            await curio.sleep(0.02)
            now_s = time.monotonic()
            if now_s > self._lease_end_s:
                for job in list(self.tasks):
                    self._end_task(job)
            for task in self.tasks.values():
                if task.state is not TaskState.RUNNING:
                    continue
                if task.fails or now_s - task.started_at >= task.run_s:
                    self._observer.ended(self.name, task.job, task.epoch)
                    task.state = TaskState.DONE
                    if task.fails:
                        task.state = TaskState.FAILED


def make_fleet(
    count: int,
    control: collections.abc.Sequence[str],
    *,
    per_rack: int = 8,
    observer: GangObserver | None = None,
    seed: int = 1,
    **options: typing.Any,
) -> list[FakeWorker]:
    """Returns workers in racks; racks are assigned to three zones in turn.

    Args:
        count: Number of workers.
        control: HTTP addresses of control members.
        per_rack: Workers in a rack.
        observer: Shared by all of them; each has its own if None.
        seed: Seed of the first worker; the others add their number.
        **options: Further arguments of FakeWorker.
    """
    return [
        FakeWorker(
            f'w{number}',
            control,
            zone='abc'[number // per_rack % 3],
            rack=f'r{number // per_rack}',
            observer=observer,
            rng=random.Random(seed + number),
            **options,
        )
        for number in range(count)
    ]


async def _main(options: argparse.Namespace) -> None:
    observer = GangObserver()
    fleet = make_fleet(
        options.count,
        options.control,
        per_rack=options.per_rack,
        observer=observer,
        seed=options.seed,
        accelerators=options.accelerators,
    )
    tasks = [await curio.spawn(worker.run) for worker in fleet]
    print(f'{len(fleet)} workers', flush=True)
    by_name = {worker.name: worker for worker in fleet}
    async with curio.file.AsyncFile(sys.stdin) as commands:
        async for line in commands:
            match line.split():
                case ['restart', name]:
                    by_name[name].restart()
                case ['report']:
                    runs = collections.Counter(
                        (job, epoch) for _, job, epoch in observer.starts
                    )
                    print(json.dumps({'gang_runs': len(runs)}), flush=True)
                case ['stop']:
                    break
    for task in tasks:
        await task.cancel()


def main() -> None:
    """Runs agents until standard input ends or has the line `stop`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--per-rack', type=int, default=8)
    parser.add_argument('--accelerators', type=int, default=8)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--control', action='append', default=[])
    curio.run(_main, parser.parse_args())


if __name__ == '__main__':
    main()
