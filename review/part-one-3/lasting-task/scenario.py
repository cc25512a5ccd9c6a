"""A task that lasts is not restarted while urgent jobs keep coming."""

import asyncio
import json
import pathlib
import time

import harness

LASTING = '5c0e7a21d94b36f8'
TASK = f'{LASTING}.0.0.0'
WHOLE = {'cpu': 1000, 'memMb': 1000, 'gpu': 8}
SMALL = {'cpu': 1000, 'memMb': 1000, 'gpu': 1}
FULL = 20
URGENT_INTERVAL_S = 0.29
URGENT_MS = 750
# From the last run of a task that lasts until it is owed, and the time for
# which it may then have nothing running.
OWED_AFTER_S = 6.0
IDLE_S = 3.0
WATCHED_S = 25.0


async def send_urgent(system):
    """Submits an urgent job of one whole executor again and again."""
    calls = set()
    number = 0
    while True:
        number += 1
        body = {
            'spec': json.dumps({'ms': URGENT_MS, 'gpus': 8}),
            'steps': [{**WHOLE, 'count': 1, 'estimatedMs': URGENT_MS}],
        }
        path = f'/urgent/{0xD000 + number:016x}'
        calls.add(asyncio.create_task(system.call('POST', path, body)))
        await asyncio.sleep(URGENT_INTERVAL_S)


async def scenario(system):
    config = harness.make_config()
    config['tenants'][0]['guaranteed']['gpu'] = 32
    if not await system.start(config):
        raise harness.Unable('the system did not start')
    await system.submit(
        'usual',
        'b' * 16,
        [{**WHOLE, 'count': FULL}],
        spec={'ms': 100_000, 'gpus': 8},
    )
    if not await system.wait(
        lambda: sum(bool(e.runs) for e in system.executors) == FULL,
        15,
        'full executors',
    ):
        raise harness.Unable('the other job did not start')
    lasting = {**SMALL, 'count': 1, 'longRunning': True}
    await system.submit(
        'patient', LASTING, [lasting], spec={'lasts': True, 'gpus': 1}
    )
    if not await system.wait(lambda: system.find_run(TASK), 10, TASK):
        raise harness.Unable('the task did not start')
    urgent = None
    if harness.TROUBLE:
        urgent = asyncio.create_task(send_urgent(system))
    await asyncio.sleep(6)
    # Tasks that last may fail at any time.
    executor, run = system.find_run(TASK)
    executor.fail(run)
    failed_at = time.monotonic()
    idle_since = None
    longest_s = 0.0
    least_free = None
    while time.monotonic() - failed_at < WATCHED_S:
        now = time.monotonic()
        free = sum(
            e.capacity['gpu'] - sum(r.gpus for r in e.runs.values())
            for e in system.executors
        )
        if (
            now - failed_at < OWED_AFTER_S
            or system.find_run(TASK)
            or free < 2 * SMALL['gpu']
        ):
            idle_since = None
        else:
            if idle_since is None:
                idle_since, least_free = now, free
            least_free = min(least_free, free)
            longest_s = max(longest_s, now - idle_since)
        await asyncio.sleep(0.01)
    if longest_s >= IDLE_S:
        system.break_rule(
            f'LOST: nothing of {TASK} has run for {longest_s:.1f} s, from'
            f' {OWED_AFTER_S} s after its last run on, with at least'
            f' {least_free} GPUs free all the while'
        )
    if urgent is not None:
        urgent.cancel()
        await system.wait(lambda: system.find_run(TASK), 10, TASK)


harness.run_case(pathlib.Path(__file__).parent, scenario, executors=24)
