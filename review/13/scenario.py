"""A customer keeps more than its guarantee from another one's."""

import asyncio
import pathlib
import time

import harness

FIRST = 'b' * 16
SECOND = '5c0e7a21d94b36f8'
TASK = {'cpu': 1000, 'memMb': 1000, 'gpu': 1}
GUARANTEED = 16
SECOND_TASKS = 8
RECLAIM_S = 2.9
FIRST_KEY = '3hh2b9wu3fexd9dnn2ct'


class Begun:
    """Tasks that have started on an executor, with the time."""

    def __init__(self):
        self.tasks = {}

    def started(self, executor, run):
        self.tasks.setdefault(run.task, time.monotonic())


async def scenario(system):
    config = harness.make_config()
    # Half of the 32 GPUs is guaranteed to each of two customers.
    config['tenants'][0]['guaranteed'] = {'gpu': GUARANTEED}
    config['tenants'].append(
        {
            'name': 'rofi31',
            'apiKeys': [FIRST_KEY],
            'priority': 1,
            'guaranteed': {'gpu': GUARANTEED},
        }
    )
    if not await system.start(config):
        raise harness.Unable('the system did not start')
    half = {**TASK, 'count': GUARANTEED}
    # Two steps that run at the same time; one step without the trouble.
    steps = [half, half] if harness.TROUBLE else [half]
    if not await system.submit(
        'urgent',
        FIRST,
        steps,
        spec={'ms': 60_000, 'stop': 100},
        key=FIRST_KEY,
    ):
        raise harness.Unable('the first job was refused')
    if not await system.wait(
        lambda: (
            sum(len(e.runs) for e in system.executors)
            == GUARANTEED * len(steps)
        ),
        15,
        'the first job runs',
    ):
        raise harness.Unable('the first job did not start')
    await asyncio.sleep(2)
    begun = Begun()
    system.observers.append(begun)
    tasks = [f'{SECOND}.0.0.{index}' for index in range(SECOND_TASKS)]
    if not await system.submit(
        'urgent', SECOND, [{**TASK, 'count': SECOND_TASKS}], spec={'ms': 1000}
    ):
        raise harness.Unable('the second job was refused')
    accepted_at = time.monotonic()
    await asyncio.sleep(15)
    limit = accepted_at + RECLAIM_S
    late = [t for t in tasks if begun.tasks.get(t, limit + 1) > limit]
    never = [t for t in tasks if t not in begun.tasks]
    if late:
        system.break_rule(
            f'RECLAIM: {len(late)} of {SECOND_TASKS} tasks of {SECOND} have'
            f' not begun {RECLAIM_S} s after its acknowledgement,'
            f' {len(never)} not after 15 s'
        )
    await system.call('GET', f'/urgent/{SECOND}')


harness.run_case(pathlib.Path(__file__).parent, scenario, executors=4)
