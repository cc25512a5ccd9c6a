"""More than 500 ends at one executor while control is down for a while."""

from __future__ import annotations

import pathlib
import sys
import time

import curio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from common import harness  # noqa: E402

JOB = '5c0e7a21d94b36f8'
TASKS = 700
TASK_MS = 5000
CAPACITY = {'cpu': 64000, 'memMb': 262144, 'gpu': 8}
NEED = {'cpu': 50, 'memMb': 100}
# All control members are killed so long before the first task ends, and are
# back after `DOWN_S`.
KILL_BEFORE_S = 0.1
DOWN_S = 2.0


async def scenario(folder: pathlib.Path, record: harness.Record) -> list[str]:
    """Runs the case; returns what broke the rule."""
    deployment = harness.Deployment(
        folder, record, executors=[{'capacity': CAPACITY}]
    )
    observer = deployment.observer
    async with deployment.running():
        body = harness.job(
            {'count': TASKS, **NEED, 'estimatedMs': TASK_MS},
            ms=TASK_MS,
            need=NEED,
        )

        async def first_started() -> bool:
            return bool(observer.starts)

        async def all_started() -> bool:
            return len(observer.starts) >= TASKS

        async def completed() -> bool:
            path = f'/usual/{JOB}'
            _, values = await deployment.call('GET', path, quiet=True)
            await curio.sleep(0.2)
            return values.get('state') == 'completed'

        status, _ = await deployment.call('POST', f'/usual/{JOB}', body)
        if status != 200:
            raise RuntimeError(f'job: {status}')
        await deployment.wait_for(first_started, 'first start', 10)
        kill_at_s = time.monotonic() + TASK_MS / 1000 - KILL_BEFORE_S
        await deployment.wait_for(all_started, 'starts', 30)
        await curio.sleep(kill_at_s - time.monotonic())
        if harness.TROUBLE:
            record.note('SIGKILL of all control members')
            for process in deployment.control:
                process.kill()
            await curio.sleep(DOWN_S)
            record.note('all control members start again')
            for process in deployment.control:
                process.start()
        await deployment.wait_for(completed, 'completed', 60)
        record.note('the job is shown as completed')
        await curio.sleep(2)
        deployment.note_events('leader_elected', 'work_started')
    return observer.twice


harness.main(pathlib.Path(__file__).resolve().parent, scenario)
