"""A guaranteed job finds no whole executor beside scattered small tasks."""

import asyncio
import pathlib
import time

import harness

IDLE_USER = 'c' * 16
SMALL = 'b' * 16
WHOLE = '5c0e7a21d94b36f8'
TASK = {'cpu': 1000, 'memMb': 1000, 'gpu': 1}
EXECUTORS = 4
RECLAIM_S = 2.9
SMALL_KEY = '3hh2b9wu3fexd9dnn2ct'
IDLE_KEY = 'w8t5k2x9q4n7r3m6j1h0'


class Begun:
    """Tasks that have started on an executor, with the time."""

    def __init__(self):
        self.tasks = {}

    def started(self, executor, run):
        self.tasks.setdefault(run.task, time.monotonic())


def runs(system):
    """Returns the number of running tasks."""
    return sum(len(executor.runs) for executor in system.executors)


async def scenario(system):
    config = harness.make_config()
    # Guaranteed are 8 and 4 of 32 GPUs; the third customer has none.
    config['tenants'] += [
        {
            'name': 'rofi31',
            'apiKeys': [SMALL_KEY],
            'priority': 1,
            'guaranteed': {'gpu': EXECUTORS},
        },
        {'name': 'zulo09', 'apiKeys': [IDLE_KEY], 'priority': 2},
    ]
    if not await system.start(config):
        raise harness.Unable('the system did not start')
    # It uses all that is idle but one GPU of each executor.
    others = {**TASK, 'count': 7 * EXECUTORS, 'antiAffinity': 7}
    if not await system.submit(
        'patient',
        IDLE_USER,
        [others],
        spec={'ms': 100_000, 'stop': 100},
        key=IDLE_KEY,
    ):
        raise harness.Unable('the job of the third customer was refused')
    if not await system.wait(
        lambda: runs(system) == 7 * EXECUTORS, 15, 'seven tasks on each'
    ):
        raise harness.Unable('the job of the third customer did not start')
    await asyncio.sleep(2)
    begun = Begun()
    system.observers.append(begun)
    if harness.TROUBLE:
        small = {**TASK, 'count': EXECUTORS}
        if not await system.submit(
            'urgent',
            SMALL,
            [small],
            spec={'ms': 60_000, 'stop': 100},
            key=SMALL_KEY,
        ):
            raise harness.Unable('the small job was refused')
        if not await system.wait(
            lambda: runs(system) == 8 * EXECUTORS, 15, 'the small tasks run'
        ):
            raise harness.Unable('the small job did not start')
    await asyncio.sleep(2)
    whole = {**TASK, 'gpu': 8, 'count': 1}
    if not await system.submit('urgent', WHOLE, [whole], spec={'ms': 1000}):
        raise harness.Unable('the guaranteed job was refused')
    accepted_at = time.monotonic()
    await asyncio.sleep(20)
    at = begun.tasks.get(f'{WHOLE}.0.0.0')
    if at is None or at - accepted_at > RECLAIM_S:
        after = 'not in 20 s' if at is None else f'{at - accepted_at:.1f} s'
        system.break_rule(
            f'RECLAIM: the task of {WHOLE} has not begun {RECLAIM_S} s after'
            f' its acknowledgement ({after})'
        )
    await system.call('GET', f'/urgent/{WHOLE}')


harness.run_case(pathlib.Path(__file__).parent, scenario, executors=EXECUTORS)
