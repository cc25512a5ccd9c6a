"""Clients without a valid key send jobs with many empty steps.

Each body has the size that the configuration permits. The platform is played
by a supervisor: it kills a process that uses more memory than its settings
say, and starts each one again that has ended. With TROUBLE=0 the clients send
as many bodies with one step.
"""

from __future__ import annotations

import collections
import json
import sys

import curio

from banyantrack.testing import platform_system
from banyantrack.transport import http_client
from lib2 import harness
from lib2 import supervisor as supervisor_module

BODY_BYTES = 262_144
CLIENTS = 24
CROWD_S = 75.0
# A rule allows a process to end twice in a day.
ENDS = 3


def make_body() -> bytes:
    """Returns a body of the permitted size."""
    if not harness.TROUBLE:
        return json.dumps({'spec': '', 'steps': [{}]}).encode()
    head, tail = b'{"spec":"","steps":[', b']}'
    count = (BODY_BYTES - len(head) - len(tail) + 1) // 3
    return head + b','.join([b'{}'] * count) + tail


async def send_bodies(
    address: str, number: int, until_s: float, record, seen
) -> None:
    """Sends bodies from one client, one after the other."""
    body = make_body()
    sent = 0
    while record.now_s < until_s:
        sent += 1
        client = http_client.HttpClient(address)
        try:
            answer = await client.request(
                'POST',
                f'/usual/{number:08x}{sent:08x}',
                headers=[('authorization', 'Token nobody-has-this-key')],
                body=body,
                timeout_s=4.0,
                host=platform_system.HOST,
            )
            seen[answer.status] += 1
        except http_client.HttpError:
            seen['no answer'] += 1
        finally:
            await client.close()
        await curio.sleep(0.2)


async def send_all(system, record: harness.Record) -> None:
    """Runs the clients of both entries."""
    addresses = [
        entry.settings['platform']['address'] for entry in system.entries
    ]
    seen: collections.Counter = collections.Counter()
    until_s = record.now_s + CROWD_S
    record.note(f'{CLIENTS} clients send to each of {addresses}')
    async with curio.TaskGroup() as tasks:
        for address in addresses:
            for number in range(CLIENTS):
                await tasks.spawn(
                    send_bodies, address, number, until_s, record, seen
                )
    record.note(f'answers: {dict(seen)}')


async def scenario(folder, record: harness.Record) -> None:
    system = harness.make_system(folder, executors=2, entries=2)
    async with system.running(harness.default_config()):
        supervisor = supervisor_module.Supervisor(system.processes, record)
        async with supervisor.watching():
            await send_all(system, record)
        record.note(f'peak memory in MB: {dict(supervisor.peak_mb)}')
        record.note(f'ends of processes: {dict(supervisor.ends)}')
        often = [
            name for name, ends in supervisor.ends.items() if ends >= ENDS
        ]
        if len(often) >= max(2, len(system.processes) / 10):
            record.breaks(f'{often} ended three times or more')


if __name__ == '__main__':
    sys.exit(harness.run(__file__, scenario))
