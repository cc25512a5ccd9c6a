"""A frozen control member passes on a DELETE of an executor's earlier life.

The executor ends as planned. Its DELETE gets no answer from a frozen member,
so it is sent to the next one, which answers. The executor starts again under
its id and gets work. Then the frozen member wakes.
"""

from __future__ import annotations

import pathlib
import signal
import sys

import curio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from common import harness  # noqa: E402

JOB = '5c0e7a21d94b36f8'
TASK_MS = 9000
FREEZE_S = 4.0
# The executor serves on so long after its state `draining` was acknowledged.
DRAIN_S = 3.0
RESTART_S = 0.5


async def scenario(folder: pathlib.Path, record: harness.Record) -> list[str]:
    """Runs the case; returns what broke the rule."""
    deployment = harness.Deployment(
        folder, record, executors=[{}, {}, {'later': True}]
    )
    observer = deployment.observer
    async with deployment.running():
        leader = deployment.leader()
        follower = next(p for p in deployment.control if p is not leader)
        executor, _, spare = deployment.executors
        # The planned end of the executor, and its next life under its id.
        executor.state = 'draining'
        record.note(f'{executor.name}: draining')
        await curio.sleep(DRAIN_S)
        if harness.TROUBLE:
            record.note(f'{follower.name}: SIGSTOP')
            frozen_s = record.now_s
            follower.send(signal.SIGSTOP)
        await executor.leave(
            [deployment.address_of(follower), deployment.address_of(leader)]
        )
        record.note(f'{executor.name}: ended')
        await curio.sleep(RESTART_S)
        executor.state = 'ready'
        executor._reset()
        await executor.open()
        record.note(f'{executor.name}: started again')
        await curio.sleep(0.7)
        step = {'count': 2, 'gpu': 8, 'memMb': 100, 'estimatedMs': TASK_MS}
        body = harness.job(step, ms=TASK_MS, need={'gpu': 8})
        await deployment.call('POST', f'/usual/{JOB}', body)

        async def both_started() -> bool:
            return len(observer.starts) >= 2

        await deployment.wait_for(both_started, 'starts', 10)
        await spare.open()
        record.note(f'{spare.name}: started')
        if harness.TROUBLE:
            await curio.sleep(frozen_s + FREEZE_S - record.now_s)
            follower.send(signal.SIGCONT)
            record.note(f'{follower.name}: SIGCONT')
        await curio.sleep(12)
        deployment.note_events('worker_recorded')
        await deployment.call('GET', f'/usual/{JOB}')
    return observer.twice


harness.main(pathlib.Path(__file__).resolve().parent, scenario)
