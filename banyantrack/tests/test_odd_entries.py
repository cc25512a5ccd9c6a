"""Tests of entries of another writer among those of the executors."""

from __future__ import annotations

import json
import time
import typing

import curio
import testtools

from banyantrack.core import findings
from banyantrack.core import untrusted
from banyantrack.dispatch import requests
from banyantrack.membership import announcements
from banyantrack.testing import platform_system
from banyantrack.tests import test_platform
from banyantrack.transport import http_client

SMALL = test_platform.SMALL
HUGE = 10**30
DEEP = '[' * 100_000
VALID = {
    'service': platform_system.POOL,
    'address': '127.0.0.1:9',
    'zone': 'z1',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldRemainingMs': 0,
    'capacity': {'cpu': 64_000, 'memMb': 1000, 'gpu': 8},
    'labels': ['a', 'r1'],
    'machine': 'm-odd',
    'clockMs': 1000,
    'sequence': 1,
    'born': 1_700_000_000_000,
}


def _with(**values: typing.Any) -> bytes:
    return json.dumps(VALID | values).encode()


def _deep(field: str) -> bytes:
    """Returns an entry with a deeply nested value in a field."""
    body = json.dumps(VALID | {field: '@'})
    return body.replace('"@"', DEEP + ']' * len(DEEP)).encode()


# Entries that name no executor to use, each with the reason.
REFUSED = {
    'no JSON': b'{"service":',
    'no UTF-8': b'\xff\xfe{}',
    'no object': b'[]',
    'a list that does not end': DEEP.encode(),
    'a deeply nested label': _deep('labels'),
    'a deeply nested field that is not used': _deep('other'),
    'a number with many digits': _with().replace(
        b'1700000000000', b'9' * 10_000
    ),
    'an infinite number': _with().replace(b'1700000000000', b'1e999'),
    'no number': _with().replace(b'1700000000000', b'NaN'),
    'a born that is too large': _with(born=HUGE),
    'a negative born': _with(born=-1),
    'a sequence that is too large': _with(sequence=HUGE),
    'a clock that is too large': _with(clockMs=HUGE),
    'a capacity that is too large': _with(
        capacity={'cpu': HUGE, 'memMb': 1, 'gpu': 1}
    ),
    'a capacity of another type': _with(capacity=[1, 2, 3]),
    'a port out of range': _with(address='127.0.0.1:70000'),
    'port zero': _with(address='127.0.0.1:0'),
    'a negative port': _with(address='127.0.0.1:-1'),
    'a port with an underscore': _with(address='127.0.0.1:1_0'),
    'a port with many digits': _with(address='127.0.0.1:' + '9' * 10_000),
    'no port': _with(address='127.0.0.1'),
    'a name as its host': _with(address='localhost:80'),
    'no single host': _with(address='0.0.0.0:80'),
    'half a surrogate pair': _with(zone='\ud800'),
    'half a surrogate pair in a label': _with(labels=['\udfff']),
    'half a surrogate pair in its machine': _with(machine='\ud800'),
    'a label of another type': _with(labels=[1]),
    'many labels': _with(labels=['x'] * 100_000),
    'a long machine': _with(machine='m' * 100_000),
    'slots of another type': _with(slots='8'),
    'a version of another type': _with(version=3),
    'a cold time of another type': _with(coldRemainingMs='none'),
    'a state that is not named': _with(state='sleeping'),
    'a service that is not named': _with(service='other'),
}


class TestOddEntries(test_platform.PlatformTest):
    """An entry that names no executor changes nothing; the others hold."""

    def test_control_goes_on(self) -> None:
        # Guards against members that end, or stop following executors, when
        # they read an odd entry.
        async def scenario(system: platform_system.PlatformSystem) -> None:
            running = 'a' * 16
            self.assertEqual(
                200,
                await system.submit(
                    'usual', running, SMALL, behaviour={'ms': 4000}
                ),
            )
            await system.wait_state('usual', running, 'running')
            owner = next(e.name for e in system.executors if e.running)
            accepted = []
            for reason, body in REFUSED.items():
                for number, address in enumerate(system.seeds):
                    for name in (f'odd-{number}', owner):
                        status, _ = await system.call(
                            'PUT',
                            f'/v1/instances/{name}',
                            body,
                            address=address,
                        )
                        if not 400 <= status < 500:
                            accepted.append((reason, status))
            self.assertEqual([], accepted)
            for number in range(8):
                job = f'{number:016x}'
                await system.submit('usual', job, SMALL)
                await system.wait_state('usual', job, 'completed')
            await system.wait_state('usual', running, 'completed')
            self.assertNotIn('Task Crash', system.log_text())
            for process in system.processes:
                self.assertTrue(process.running)

        self.run_with(scenario)

    def test_targets_that_cannot_be_read(self) -> None:
        # Guards against connections whose task ends with a traceback.
        async def scenario(system: platform_system.PlatformSystem) -> None:
            digits = '9' * 5000
            addresses = [*system.seeds, system.entry_address]
            for address in addresses:
                for target in ('//[', '//[/v1/instances/x'):
                    client = http_client.HttpClient(address)
                    answer = await client.request('GET', target)
                    await client.close()
                    self.assertEqual(400, answer.status)
            for address in system.seeds:
                status, _ = await system.call(
                    'GET', f'/v1/wave-get/{digits}', address=address
                )
                self.assertEqual(404, status)
            self.assertNotIn('Task Crash', system.log_text())

        self.run_with(scenario)

    def test_well_formed_entry_that_nobody_answers(self) -> None:
        # It may be an executor behind a cut, so it is recorded; the others
        # are used.
        async def scenario(system: platform_system.PlatformSystem) -> None:
            status, _ = await system.call(
                'PUT',
                '/v1/instances/odd',
                _with(born=int(time.time() * 1000)),
                address=system.seeds[0],
            )
            self.assertEqual(200, status)
            await curio.sleep(0.5)
            for number in range(4):
                job = f'{number:016x}'
                await system.submit('usual', job, SMALL)
                await system.wait_state('usual', job, 'completed')
            self.assertNotIn('Task Crash', system.log_text())

        self.run_with(scenario)


class TestOwnInterface(testtools.TestCase):
    """What backends and operators send is refused or can be passed on."""

    ANNOUNCEMENT: typing.ClassVar = {
        'id': 'b1',
        'incarnation': 1,
        'address': '127.0.0.1:9',
        'zone': 'z1',
        'labels': {'a': 'b'},
        'slots': 8,
    }

    def check_refused(self, **values: typing.Any) -> None:
        body = json.dumps(self.ANNOUNCEMENT | values).encode()
        self.assertRaises(findings.FindingsError, announcements.parse, body)

    def test_odd_announcements(self) -> None:
        # Guards against an entry that stops following its backends.
        announcements.parse(json.dumps(self.ANNOUNCEMENT).encode())
        self.check_refused(address='127.0.0.1:' + '9' * 5000)
        self.check_refused(address='127.0.0.1:70000')
        self.check_refused(id='\ud800')
        self.check_refused(labels={'a': '\ud800'})
        self.check_refused(labels={'\ud800': 'a'})
        self.check_refused(labels={'a': 1})
        self.check_refused(incarnation=HUGE)
        self.check_refused(slots=HUGE)

    def test_numbers_with_many_digits(self) -> None:
        digits = '9' * 5000
        for text in (digits, '-1', '+1', '1_0', ' 1', '\u0661', '', '1.0'):
            self.assertIsNone(untrusted.parse_decimal(text))
        self.assertEqual(12, untrusted.parse_decimal('12'))
        self.assertIsNone(untrusted.parse_decimal('12', high=11))
        headers = {b'banyan-deadline-ms': digits.encode()}
        self.assertRaises(
            findings.FindingsError, requests._deadline_ms, headers, 1000
        )
