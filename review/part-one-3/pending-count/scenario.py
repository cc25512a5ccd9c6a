"""Jobs that never began are left out of the count of pending jobs."""

import asyncio
import pathlib
import time

import harness

WHOLE = {'cpu': 1000, 'memMb': 1000, 'gpu': 8}
SMALL = {'cpu': 1000, 'memMb': 1000, 'gpu': 1}
JOBS = [f'{0xC000 + number:016x}' for number in range(8)]
# visible_ms + 2 s.
COUNTED_AFTER_S = 5.0


class Begun:
    """Jobs of which a task has started on an executor."""

    def __init__(self):
        self.jobs = set()

    def started(self, executor, run):
        self.jobs.add(run.task.partition('.')[0])


async def scenario(system):
    # All executors but the last are full.
    full, last = system.executors[:-1], system.executors[-1]
    system.executors = full
    if not await system.start():
        raise harness.Unable('the system did not start')
    await system.submit(
        'usual', 'b' * 16, [{**WHOLE, 'count': len(full)}], spec={'ms': 90_000}
    )
    if not await system.wait(
        lambda: all(executor.runs for executor in full), 15, 'full executors'
    ):
        raise harness.Unable('the other job did not start')
    system.executors = [*full, last]
    await last.start()
    await asyncio.sleep(4)
    # Right after a look at the executor, the next one is 2 s away.
    looks = last.holds
    if not await system.wait(lambda: last.holds > looks, 10, 'a look'):
        raise harness.Unable('the executor is not looked at')
    await asyncio.sleep(0.05)
    begun = Begun()
    system.observers.append(begun)
    if harness.TROUBLE:
        await last.go_dark()
    accepted = await asyncio.gather(
        *(
            system.submit(
                'patient', job, [{**SMALL, 'count': 1}], spec={'ms': 500}
            )
            for job in JOBS
        )
    )
    if not all(accepted):
        raise harness.Unable('a job was not accepted')
    accepted_at = time.monotonic()
    while time.monotonic() - accepted_at < 2 * COUNTED_AFTER_S:
        status, values = await system.call('GET', '/patient/')
        waiting = [job for job in JOBS if job not in begun.jobs]
        age_s = time.monotonic() - accepted_at
        pending = values.get('pending', 0)
        if (
            status == 200
            and age_s > COUNTED_AFTER_S
            and 2 * pending < len(waiting)
        ):
            system.break_rule(
                f'MIXED: pending is {pending}, while {len(waiting)} jobs that'
                f' were accepted {age_s:.1f} s ago have not begun'
            )
        await asyncio.sleep(0.5)
    for job in JOBS[:2]:
        await system.call('GET', f'/patient/{job}')


harness.run_case(pathlib.Path(__file__).parent, scenario, executors=8)
