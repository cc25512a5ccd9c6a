"""A client cancels a job that an entry has not passed on yet.

The entry to which the client hands its job in is frozen for some seconds. The
client gives up, cancels the job at another entry, and is told that there is
no such job. With TROUBLE=0 no entry is frozen.
"""

from __future__ import annotations

import json
import os
import signal
import sys

import curio

from banyantrack.testing import platform_system
from banyantrack.transport import http_client
from lib2 import harness

JOB = 'a' * 16
STEP = {'count': 2, 'cpu': 1000, 'memMb': 10, 'gpu': 1, 'estimatedMs': 20000}
FREEZE_S = 6.0
# Half of the objective of the least urgent route, 3 s.
PATIENCE_S = 1.5
WATCH_S = 4.0


async def submit(address: str, record: harness.Record) -> None:
    """Hands the job in, and leaves if there is no answer in time."""
    body = {'spec': json.dumps({'ms': 20_000}), 'steps': [STEP]}
    client = http_client.HttpClient(address)
    record.note(f'client sends POST /patient/{JOB} to {address}')
    try:
        answer = await client.request(
            'POST',
            f'/patient/{JOB}',
            headers=[
                ('authorization', f'Token {platform_system.KEY}'),
                ('deadline-ms', '3000'),
            ],
            body=json.dumps(body).encode(),
            timeout_s=PATIENCE_S,
            host=platform_system.HOST,
        )
        record.note(f'it is answered {answer.status}')
    except http_client.HttpError as error:
        record.note(f'client leaves: {error}')
    finally:
        await client.close()


async def scenario(folder, record: harness.Record) -> None:
    system = harness.make_system(folder, executors=2, entries=2)
    async with system.running(harness.default_config()):
        await curio.sleep(harness.CONTACT_S)
        frozen, other = system.entries
        thawed_s = record.now_s + FREEZE_S
        if harness.TROUBLE:
            os.kill(frozen.pid, signal.SIGSTOP)
            record.note(f'{frozen.name} is frozen')
        try:
            await submit(frozen.settings['platform']['address'], record)
            status, values = await system.call(
                'DELETE',
                f'/patient/{JOB}',
                address=other.settings['platform']['address'],
            )
            cancelled_s = record.now_s
            record.note(
                f'client sends DELETE /patient/{JOB} to {other.name}:'
                f' {status} {values}'
            )
            if status not in (200, 410):
                raise RuntimeError(f'the cancelling was answered {status}')
            before = len(system.observer.starts)
            await curio.sleep(thawed_s - record.now_s)
        finally:
            if harness.TROUBLE:
                os.kill(frozen.pid, signal.SIGCONT)
                record.note(f'{frozen.name} wakes again')
        while record.now_s < thawed_s + WATCH_S:
            starts = system.observer.starts[before:]
            late_s = record.now_s - cancelled_s
            if starts and late_s > harness.CANCEL_S:
                record.breaks(
                    f'{starts} were started about {late_s:.1f} s after the'
                    ' cancelling was acknowledged'
                )
                break
            await curio.sleep(0.02)
        status, values = await system.call(
            'GET',
            f'/patient/{JOB}',
            address=other.settings['platform']['address'],
        )
        record.note(f'client asks for {JOB}: {status} {values}')


if __name__ == '__main__':
    sys.exit(harness.run(__file__, scenario))
