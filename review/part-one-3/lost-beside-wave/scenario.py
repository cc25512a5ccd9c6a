"""A wave stops a task while the other one's executor is lost for good."""

import pathlib

import asyncio

import checks
import harness

JOB = '5c0e7a21d94b36f8'
STEP = f'{JOB}.0.0'
# From the loss of the executor to the wave; over noticeMs, under the time
# after which the lease of the executor has lapsed.
WAVE_AFTER_S = harness.NOTICE_MS / 1000 + 0.2


async def scenario(system):
    if not await system.start():
        raise harness.Unable('the system did not start')
    availability = checks.Availability(system, STEP, 2, may_miss=1)
    lasting = {
        'count': 2,
        'cpu': 1000,
        'memMb': 1000,
        'gpu': 1,
        'longRunning': True,
        'mayMiss': 1,
        'antiAffinity': 1,
    }
    if not await system.submit('usual', JOB, [lasting], spec={'lasts': True}):
        raise harness.Unable('the job was not accepted')
    if not await system.wait(
        lambda: availability.all_at_work, 15, 'both tasks at work'
    ):
        raise harness.Unable('the tasks did not start')
    one, _ = system.find_run(f'{STEP}.0')
    two, _ = system.find_run(f'{STEP}.1')
    await asyncio.sleep(3)
    if harness.TROUBLE:
        await two.crash()
    await asyncio.sleep(WAVE_AFTER_S)
    wave = {
        'wave': 1,
        'machines': [one.machine],
        'durationS': 20,
        'maximum': 1,
    }
    system.machines.waves[1] = wave['machines']
    if not await system.operator('POST', '/v1/wave-start', wave):
        raise harness.Unable('the wave was not accepted')
    await asyncio.sleep(12)


harness.run_case(pathlib.Path(__file__).parent, scenario, executors=8)
