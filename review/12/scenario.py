"""A guaranteed job never begins beside tasks that last with `mayMiss`."""

import asyncio
import pathlib
import time

import harness

LASTING = 'b' * 16
URGENT = '5c0e7a21d94b36f8'
TASK = {'cpu': 1000, 'memMb': 1000, 'gpu': 1}
GPUS = 32
MAY_MISS = 8
URGENT_TASKS = 4
RECLAIM_S = 2.9
OTHER_KEY = '3hh2b9wu3fexd9dnn2ct'


class Begun:
    """Tasks that have started on an executor, with the time."""

    def __init__(self):
        self.tasks = {}

    def started(self, executor, run):
        self.tasks.setdefault(run.task, time.monotonic())


async def scenario(system):
    config = harness.make_config()
    # The other customer has no guarantee.
    config['tenants'].append(
        {'name': 'rofi31', 'apiKeys': [OTHER_KEY], 'priority': 2}
    )
    if not await system.start(config):
        raise harness.Unable('the system did not start')
    lasting = {**TASK, 'count': GPUS, 'longRunning': True}
    if harness.TROUBLE:
        lasting['mayMiss'] = MAY_MISS
    if not await system.submit(
        'patient',
        LASTING,
        [lasting],
        spec={'lasts': True, 'stop': 100},
        key=OTHER_KEY,
    ):
        raise harness.Unable('the job that lasts was not accepted')
    if not await system.wait(
        lambda: sum(len(e.runs) for e in system.executors) == GPUS,
        15,
        'all executors full',
    ):
        raise harness.Unable('the job that lasts did not start')
    await asyncio.sleep(4)
    begun = Begun()
    system.observers.append(begun)
    tasks = [f'{URGENT}.0.0.{index}' for index in range(URGENT_TASKS)]
    if not await system.submit(
        'urgent', URGENT, [{**TASK, 'count': URGENT_TASKS}], spec={'ms': 1000}
    ):
        raise harness.Unable('the guaranteed job was not accepted')
    accepted_at = time.monotonic()
    await asyncio.sleep(15)
    limit = accepted_at + RECLAIM_S
    late = [t for t in tasks if begun.tasks.get(t, limit + 1) > limit]
    never = [t for t in tasks if t not in begun.tasks]
    if late:
        system.break_rule(
            f'RECLAIM: {len(late)} of {URGENT_TASKS} tasks of {URGENT} have'
            f' not begun {RECLAIM_S} s after its acknowledgement,'
            f' {len(never)} not after 15 s'
        )
    await system.call('GET', f'/urgent/{URGENT}')


harness.run_case(pathlib.Path(__file__).parent, scenario, executors=4)
