"""Daemon processes with the platform's interface, and fake executors.

Each control member has its own loopback IP, since the platform assigns the
same ports on all hosts.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import pathlib
import random
import re
import time
import typing

import curio

from banyantrack.testing import fake_executor
from banyantrack.testing import system
from banyantrack.transport import http_client

if typing.TYPE_CHECKING:
    import collections.abc

POOL = 'line'
HOST = 'jobs.example'
KEY = 'growers-key'
CALL_TIMEOUT_S = 4.0
# Failed runs after which a task is given up.
ATTEMPTS = 5
DEFAULT_CONFIG: dict[str, typing.Any] = {
    'version': 1,
    'routes': [
        {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'type': 'unsafe',
            'timeoutMs': 3000,
            'latencySloMs': 1000,
            'priority': priority,
            'service': POOL,
            'attempts': ATTEMPTS,
            'stretch': 3.0,
            'public': False,
        }
        for priority, name in enumerate(('urgent', 'usual', 'patient'))
    ],
    'services': [
        {
            'name': POOL,
            'healthPath': '/health',
            'maxConns': 64,
            'protocol': 'h1',
            'tls': False,
            'rejectsOverload': False,
            'spare': False,
        }
    ],
    'limits': {},
    'tenants': [
        {'name': 'growers', 'apiKeys': [KEY], 'guaranteed': {'gpu': 8}}
    ],
}


class PlatformSystem:
    """Control members, one entry and executors.

    Args:
        folder: Folder of settings, logs and data.
        control: Number of control members.
        executors: Number of executors.
        seed: Seed of failures and late orders.
        late: Share of orders that executors carry out late, from 0 to 1.
        zones: Availability zones of the executors, in turn.
        replication: Settings of the replicated log.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        control: int = 3,
        executors: int = 4,
        seed: int = 1,
        late: float = 0.0,
        zones: collections.abc.Sequence[str] = ('z1',),
        replication: dict[str, typing.Any] | None = None,
    ) -> None:
        ports = system.reserve_ports(7 + executors)
        (
            rpc_port,
            http_port,
            platform_port,
            entry_port,
            readiness_port,
            policy_port,
            machines_port,
        ) = ports[:7]
        # The subnet depends on the process id, so that tests in parallel
        # processes use different addresses.
        subnet = f'127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}'
        hosts = [f'{subnet}.{11 + number}' for number in range(control)]
        self.seeds = [f'{host}:{platform_port}' for host in hosts]
        digest = hashlib.sha256(b'token').hexdigest()
        tokens = [{'name': 't', 'sha256': digest, 'role': 'operator'}]
        self.control = [
            system.Process(
                f'c{number + 1}',
                'banyantrack.cli.control',
                folder,
                {
                    'name': f'c{number + 1}',
                    'zone': 'z1',
                    'rpc_address': f'{host}:{rpc_port}',
                    'http_address': f'{host}:{http_port}',
                    'data_folder': str(folder / f'c{number + 1}'),
                    'tokens': tokens,
                    'replication': replication or {},
                    'platform': {
                        'address': f'{host}:{platform_port}',
                        'seeds': self.seeds,
                        'first_start': True,
                        'tolerated_losses': control // 2,
                        'advice_address': f'{subnet}.51:{policy_port}',
                        'machines_address': f'{subnet}.51:{machines_port}',
                        'upkeep_s': 0.5,
                        'zones': list(zones),
                    },
                },
            )
            for number, host in enumerate(hosts)
        ]
        self.entry = system.Process(
            'e1',
            'banyantrack.cli.entry',
            folder,
            {
                'name': 'e1',
                'zone': 'z1',
                'rpc_address': f'{subnet}.31:{rpc_port}',
                'http_address': f'{subnet}.31:{http_port}',
                'tokens': tokens,
                'platform': {
                    'address': f'{subnet}.31:{entry_port}',
                    'readiness_address': f'{subnet}.31:{readiness_port}',
                    'seeds': self.seeds,
                    'control_rpc_port': rpc_port,
                },
            },
        )
        self.entry_address = f'{subnet}.31:{entry_port}'
        self.readiness_address = f'{subnet}.31:{readiness_port}'
        self.observer = fake_executor.Observer()
        self.policy_address = f'{subnet}.51:{policy_port}'
        self.machines_address = f'{subnet}.51:{machines_port}'
        self.rng = random.Random(seed)
        self.executors = [
            fake_executor.FakeExecutor(
                f'i-{number}',
                f'{subnet}.41:{port}',
                POOL,
                self.seeds,
                self.observer,
                rng=self.rng,
                late=late,
                rack=f'r{1 + number % 2}',
                zone=zones[number % len(zones)],
            )
            for number, port in enumerate(ports[7:])
        ]

    @property
    def processes(self) -> list[system.Process]:
        """All daemon processes, running or not."""
        return [*self.control, self.entry]

    @contextlib.asynccontextmanager
    async def running(
        self, config: dict[str, typing.Any] | None = None
    ) -> collections.abc.AsyncIterator[PlatformSystem]:
        """Runs the daemons and executors with a configuration applied.

        Args:
            config: The configuration document; DEFAULT_CONFIG if None.
        """
        try:
            for process in self.processes:
                process.start()
            await self.put_config(config or DEFAULT_CONFIG)
            for executor in self.executors:
                await executor.open()
            await system.wait_for(self._has_all_members, 'all voters')
            await system.wait_for(self._is_ready, 'readiness')
            yield self
        finally:
            for process in self.processes:
                process.kill()
            for executor in self.executors:
                await executor.close()

    def leader(self) -> system.Process:
        """Returns the control member that was elected last."""
        return max(self.control, key=_last_term_led)

    def log_text(self) -> str:
        """Returns the logs of all daemons, one after the other."""
        return ''.join(p.log.read_text() for p in self.processes)

    async def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        *,
        key: str = KEY,
        address: str = '',
        host: str = HOST,
    ) -> tuple[int, dict[str, typing.Any]]:
        """Sends one call and follows redirects to the leader.

        Args:
            method: HTTP method.
            path: Request target.
            body: Body; encoded as JSON unless it is bytes; none if None.
            key: API key; no authorization header if empty.
            address: Where it is sent; the entry if empty.
            host: Value of the `Host` header.

        Returns:
            Status code and decoded answer; 0 and {} without an answer.
        """
        client = http_client.HttpClient(address or self.entry_address)
        headers = [('authorization', f'Token {key}')] if key else []
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        try:
            answer = await client.request(
                method,
                path,
                headers=headers,
                body=b'' if body is None else data,
                timeout_s=CALL_TIMEOUT_S,
                host=host,
            )
        except http_client.HttpError:
            return 0, {}
        finally:
            await client.close()
        if answer.status == 307:
            location = answer.header('location').removeprefix('http://')
            address, _, target = location.partition('/')
            return await self.call(
                method, f'/{target}', body, key=key, address=address
            )
        return answer.status, json.loads(answer.body or b'{}')

    async def operator(
        self, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Sends an operator's call; tries other members on failure.

        Raises:
            TimeoutError: If no member gave a final answer.
        """
        for attempt in range(60):
            address = self.seeds[attempt % len(self.seeds)]
            status, values = await self.call(
                method, path, body, address=address
            )
            if status not in (0, 503):
                return status, values
            await curio.sleep(0.2)
        raise TimeoutError(f'{method} {path}: no final answer')

    async def evacuate(self, zone: str, *, end: bool = False) -> int:
        """Orders or ends an evacuation; returns the status code."""
        method = 'DELETE' if end else 'POST'
        if end:
            self.observer.evacuated_s.pop(zone, None)
        status, _ = await self.operator(method, f'/v1/evacuations/{zone}')
        if status == 200 and not end:
            self.observer.evacuated_s.setdefault(zone, time.monotonic())
        return status

    async def put_config(self, config: typing.Any) -> int:
        """Sends a configuration; returns the status code."""
        return (await self.operator('PUT', '/v1/config', config))[0]

    async def submit(
        self, queue: str, job_id: str, *steps: dict, **values: typing.Any
    ) -> int:
        """Submits a job; returns the status code.

        Args:
            queue: Name of its queue.
            job_id: Its id.
            *steps: Its steps as JSON objects.
            **values: Other members of the body; `behaviour` is the spec
                that fake executors read.
        """
        spec = json.dumps(values.pop('behaviour', {'ms': 150}))
        body = {'spec': spec, 'steps': list(steps), **values}
        return (await self.call('POST', f'/{queue}/{job_id}', body))[0]

    async def state(self, queue: str, job_id: str) -> str:
        """Returns the state of a job; empty without an answer."""
        _, values = await self.call('GET', f'/{queue}/{job_id}')
        return values.get('state', '')

    async def wait_state(
        self, queue: str, job_id: str, state: str, *, timeout_s: float = 20
    ) -> None:
        """Waits until a job has a state."""

        async def reached() -> bool:
            return await self.state(queue, job_id) == state

        await system.wait_for(
            reached, f'{job_id} {state}', timeout_s=timeout_s
        )

    async def _has_all_members(self) -> bool:
        # The member that formed the group is not logged as admitted.
        admitted = self.log_text().count('event=member_admitted')
        return admitted >= len(self.control) - 1

    async def _is_ready(self) -> bool:
        status, _ = await self.call(
            'GET', '/v1/readiness', address=self.readiness_address
        )
        return status == 200


def _last_term_led(process: system.Process) -> int:
    """Returns the last term that a member was elected in; 0 if none."""
    terms = re.findall(
        r'event=leader_elected term=(\d+)', process.log.read_text()
    )
    return max(map(int, terms), default=0)
