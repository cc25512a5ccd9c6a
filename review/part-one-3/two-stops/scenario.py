"""A wave stops a second task of a step while the first is being stopped."""

import pathlib

import asyncio

import checks
import harness

JOB = '5c0e7a21d94b36f8'
STEP = f'{JOB}.0.0'
TASK = {'cpu': 1000, 'memMb': 1000, 'gpu': 1}


async def scenario(system):
    # Two executors at first; the others are added later.
    first_two, others = system.executors[:2], system.executors[2:]
    system.executors = first_two
    if not await system.start():
        raise harness.Unable('the system did not start')
    availability = checks.Availability(system, STEP, 2, may_miss=1)
    lasting = {
        **TASK,
        'count': 2,
        'longRunning': True,
        'mayMiss': 1,
        'antiAffinity': 1,
    }
    if not await system.submit(
        'usual', JOB, [lasting], spec={'lasts': True, 'stop': 400}
    ):
        raise harness.Unable('the job was not accepted')
    if not await system.wait(
        lambda: availability.all_at_work, 15, 'both tasks at work'
    ):
        raise harness.Unable('the tasks did not start')
    one, _ = system.find_run(f'{STEP}.0')
    two, _ = system.find_run(f'{STEP}.1')
    # Further work: one task beside the first, two beside the second, which
    # stop sooner.
    fillers = [
        ('a' * 15 + '1', one, 400),
        ('a' * 15 + '2', two, 20),
        ('a' * 15 + '3', two, 20),
    ]
    for job, executor, stop_ms in fillers:
        step = {**TASK, 'count': 1, 'requiredLabel': executor.rack}
        await system.submit(
            'patient', job, [step], spec={'ms': 90_000, 'stop': stop_ms}
        )
        if not await system.wait(
            lambda job=job: system.find_run(f'{job}.0.0.0') is not None,
            10,
            f'{job} runs',
        ):
            raise harness.Unable('a task did not start')
    system.executors = [*first_two, *others]
    for executor in others:
        await executor.start()
    await asyncio.sleep(3)
    wave = {
        'wave': 1,
        'machines': [one.machine, two.machine],
        'durationS': 20,
        'maximum': 2,
    }
    system.machines.waves[1] = wave['machines']
    if harness.TROUBLE:
        if not await system.operator('POST', '/v1/wave-start', wave):
            raise harness.Unable('the wave was not accepted')
    await asyncio.sleep(12)


harness.run_case(pathlib.Path(__file__).parent, scenario, executors=4)
