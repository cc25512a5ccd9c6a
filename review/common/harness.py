"""Runs a small deployment on loopback for the cases of the review.

The daemons are separate processes, started with the commands of
`deploy/system.toml`. Executors, clients, the operator and the platform's
machines service are stand-ins in the process of the case. `record.txt`
receives what was sent, answered and run.
"""

from __future__ import annotations

import collections.abc
import contextlib
import hashlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback
import typing

import curio
import yaml

from banyantrack.platform import wire
from banyantrack.testing import fake_executor
from banyantrack.testing import system
from banyantrack.transport import http_client

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# The case ends after this time, whatever it has reached.
CASE_LIMIT_S = 110.0
POOL = 'line'
HOST = 'jobs.example'
KEY = 'growers-key'
# Values of the settings file of a small deployment.
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_TIMEOUT_MS = 400
MAINTENANCE_S = 2.0
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
# An executor lists so many ends at a time.
ENDS_AT_A_TIME = 500


def default_config(
    version: int = 1, attempts: int = 4
) -> dict[str, typing.Any]:
    """Returns a configuration with one service and three queues."""
    return {
        'version': version,
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
                'attempts': attempts,
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
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': 'growers', 'apiKeys': [KEY], 'guaranteed': {'gpu': 8}}
        ],
    }


class Record:
    """Writes `record.txt`; times are seconds since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = (folder / 'record.txt').open('w')

    @property
    def now_s(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f'{self.now_s:8.3f} {text}\n')
        self._file.flush()


class Observer(fake_executor.Observer):
    """Records starts and ends, and those that break a rule."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.twice: list[str] = []
        self.start_times_s: dict[str, list[float]] = {}

    def started(self, executor: str, run: fake_executor.Run) -> None:
        """Records a start; see the base class."""
        live = set(self.live.get(run.task, ()))
        self.record.note(f'{executor}: started {run.task} run {run.run}')
        times_s = self.start_times_s.setdefault(run.task, [])
        times_s.append(self.record.now_s)
        if live:
            self.twice.append(f'{run.task} runs on {live} and {executor}')
            self.record.note(f'TWICE: {self.twice[-1]} run {run.run}')
        if run.task in self.done:
            self.twice.append(f'{run.task} started after it was done')
            self.record.note(f'TWICE: {self.twice[-1]}')
        super().started(executor, run)

    def finished(
        self, executor: str, run: fake_executor.Run, how: str
    ) -> None:
        """Records an end; see the base class."""
        self.record.note(f'{executor}: ended {run.task} run {run.run} {how}')
        super().finished(executor, run, how)

    def acknowledged(self, task: str, run: int) -> None:
        """Records that a successful end was taken note of."""
        first_later = self._starts_at_end[task, run]
        if any(other == task for other, _ in self.starts[first_later:]):
            self.twice.append(
                f'{task} started after its run {run} had ended done'
            )
            self.record.note(f'TWICE: {self.twice[-1]}')
        super().acknowledged(task, run)


class Executor(fake_executor.FakeExecutor):
    """An executor as on the platform's pages.

    It also lists ends 500 at a time and announces a planned end.
    """

    def __init__(
        self,
        name: str,
        address: str,
        control: collections.abc.Sequence[str],
        observer: Observer,
        later: bool = False,
        **options: typing.Any,
    ) -> None:
        super().__init__(
            name,
            address,
            POOL,
            control,
            observer,
            rng=random.Random(1),
            **options,
        )
        self.record = observer.record
        self.later = later

    async def _hold(self, body: dict) -> tuple[int, dict[str, typing.Any]]:
        status, values = await super()._hold(body)
        values['finished'] = values['finished'][:ENDS_AT_A_TIME]
        return status, values

    async def leave(self, addresses: collections.abc.Sequence[str]) -> None:
        """Sends DELETE until a daemon answers, then ends.

        Args:
            addresses: Daemons in the order in which they are called.
        """
        for address in addresses:
            client = http_client.HttpClient(address)
            path = f'/v1/instances/{self.name}'
            self.record.note(f'{self.name}: DELETE {path} to {address}')
            try:
                answer = await client.request(
                    'DELETE', path, timeout_s=fake_executor.ANNOUNCE_TIMEOUT_S
                )
            except http_client.HttpError as error:
                self.record.note(f'{self.name}: no answer: {error}')
                continue
            finally:
                await client.close()
            self.record.note(f'{self.name}: answer {answer.status}')
            if answer.status < 300:
                break
        await self.crash()


class Process:
    """One daemon.

    Args:
        name: Its name.
        words: Words of its command after `python3`, without the settings.
        folder: Folder of its settings file and its output.
        settings: Its settings.
    """

    def __init__(
        self,
        name: str,
        words: list[str],
        folder: pathlib.Path,
        settings: dict[str, typing.Any],
    ) -> None:
        self.name = name
        self.settings = settings
        self.log = folder / f'{name}.log'
        self._words = words
        self._config = folder / f'{name}.yaml'
        self._process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def start(self) -> None:
        """Starts the process."""
        self._config.write_text(yaml.safe_dump(self.settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = 'target/deps'
        with self.log.open('a') as log:
            self._process = subprocess.Popen(
                ['python3', *self._words, '--config', str(self._config)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.running:
            os.kill(self._process.pid, number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.running:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()


class Deployment:
    """Control members, entries and executors.

    Args:
        folder: Temporary folder.
        record: The record.
        control: Number of control members.
        entries: Number of entries.
        executors: Keyword arguments of each executor.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        *,
        control: int = 5,
        entries: int = 2,
        executors: collections.abc.Sequence[dict[str, typing.Any]] = (),
        executor_type: type[Executor] = Executor,
    ) -> None:
        self.record = record
        ports = system.reserve_ports(6 + len(executors))
        rpc, http, control_port, entry_port, ready_port, platform = ports[:6]
        subnet = f'127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}'
        hosts = [f'{subnet}.{11 + number}' for number in range(control)]
        self.control_addresses = [f'{host}:{control_port}' for host in hosts]
        self.machines_address = f'{subnet}.51:{platform}'
        tokens = [
            {
                'name': 'operator',
                'sha256': hashlib.sha256(b'token').hexdigest(),
                'role': 'operator',
            }
        ]
        seeds = self.control_addresses[:3]
        self.control = [
            Process(
                f'core-{number + 1}',
                ['-m', 'banyantrack.cli.control', 'run'],
                folder,
                {
                    'name': f'core-{number + 1}',
                    'zone': 'z1',
                    'rpc_address': f'{host}:{rpc}',
                    'http_address': f'{host}:{http}',
                    'data_folder': str(folder / f'core-{number + 1}'),
                    'tokens': tokens,
                    'platform': {
                        'address': f'{host}:{control_port}',
                        'seeds': seeds,
                        'first_start': True,
                        'tolerated_losses': control // 2,
                        'lease_ms': MAX_HOLD_MS,
                        'stop_ms': STOP_TIMEOUT_MS,
                        'gang_ms': 3000,
                        'remote_factor': 3,
                        'machines_address': self.machines_address,
                        'status_s': 120,
                        'upkeep_s': MAINTENANCE_S,
                        'interference_ms': 4000,
                    },
                },
            )
            for number, host in enumerate(hosts)
        ]
        self.entry_addresses = [
            f'{subnet}.{31 + number}:{entry_port}' for number in range(entries)
        ]
        self.ready_addresses = [
            f'{subnet}.{31 + number}:{ready_port}' for number in range(entries)
        ]
        self.entries = [
            Process(
                f'edge-{number + 1}',
                ['-m', 'banyantrack.cli.entry'],
                folder,
                {
                    'name': f'edge-{number + 1}',
                    'zone': 'z1',
                    'http_address': f'{subnet}.{31 + number}:{http}',
                    'rpc_address': f'{subnet}.{31 + number}:{rpc}',
                    'tokens': tokens,
                    'platform': {
                        'address': self.entry_addresses[number],
                        'readiness_address': self.ready_addresses[number],
                        'seeds': seeds,
                        'control_rpc_port': rpc,
                    },
                },
            )
            for number in range(entries)
        ]
        self.observer = Observer(record)
        self.executors = [
            executor_type(
                f'i-{number + 1}',
                f'{subnet}.41:{ports[6 + number]}',
                self.control_addresses,
                self.observer,
                rack=f'r1-{number + 1}',
                **options,
            )
            for number, options in enumerate(executors)
        ]

    @property
    def processes(self) -> list[Process]:
        """All daemons."""
        return [*self.control, *self.entries]

    @contextlib.asynccontextmanager
    async def running(
        self, config: dict[str, typing.Any] | None = None
    ) -> collections.abc.AsyncIterator[Deployment]:
        """Runs everything, from the first configuration to readiness."""
        try:
            for process in self.processes:
                process.start()
            await self.put_config(config or default_config())
            for executor in self.executors:
                if not executor.later:
                    await executor.open()
            await self.wait_for(self._has_all_members, 'all voters', 30)
            await self.wait_for(self._is_ready, 'readiness', 30)
            self.record.note('the deployment is ready')
            yield self
        finally:
            self.end()
            for executor in self.executors:
                await executor.close()

    def end(self) -> None:
        """Ends all daemons."""
        for process in self.processes:
            process.send(signal.SIGCONT)
            process.kill()

    async def wait_for(
        self,
        holds: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
        what: str,
        limit_s: float,
    ) -> None:
        """Waits until something holds; raises `TimeoutError` else."""
        until_s = time.monotonic() + limit_s
        while not await holds():
            if time.monotonic() > until_s:
                raise TimeoutError(what)
            await curio.sleep(0.02)

    def log_text(self) -> str:
        """Returns the output of all daemons."""
        return ''.join(
            process.log.read_text()
            for process in self.processes
            if process.log.exists()
        )

    def note_events(self, *names: str) -> None:
        """Copies log lines of some events of control into the record."""
        for process in self.control:
            for line in process.log.read_text().splitlines():
                if any(f' event={name} ' in line for name in names):
                    self.record.note(f'log of {process.name}: {line}')

    def leader(self) -> Process:
        """Returns the control member that was elected last."""

        def last_term(process: Process) -> int:
            text = process.log.read_text() if process.log.exists() else ''
            terms = re.findall(r'event=leader_elected term=(\d+)', text)
            return max(map(int, terms), default=0)

        return max(self.control, key=last_term)

    def address_of(self, process: Process) -> str:
        """Returns the `controlPlane` address of a control member."""
        return process.settings['platform']['address']

    async def _has_all_members(self) -> bool:
        admitted = self.log_text().count('event=member_admitted')
        return admitted >= len(self.control) - 1

    async def _is_ready(self) -> bool:
        for address in self.ready_addresses:
            status, _ = await self.request('GET', address, '/v1/readiness')
            if status != 200:
                return False
        return True

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: typing.Any = None,
        *,
        headers: typing.Sequence[tuple[str, str]] = (),
        host: str = '',
        timeout_s: float = 4.0,
    ) -> tuple[int, dict[str, typing.Any]]:
        """Sends one request; returns 0 and {} without an answer.

        Follows redirects twice.
        """
        for _ in range(3):
            client = http_client.HttpClient(address)
            try:
                answer = await client.request(
                    method,
                    path,
                    headers=headers,
                    body=b'' if body is None else wire.encode(body),
                    timeout_s=timeout_s,
                    host=host,
                )
            except http_client.HttpError:
                return 0, {}
            finally:
                await client.close()
            if answer.status != 307:
                break
            location = answer.header('location').removeprefix('http://')
            address, _, path = location.partition('/')
            path = f'/{path}'
        try:
            return answer.status, json.loads(answer.body or b'{}')
        except ValueError:
            return answer.status, {}

    async def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        *,
        entry: int = 0,
        deadline_ms: int = 3000,
        quiet: bool = False,
    ) -> tuple[int, dict[str, typing.Any]]:
        """Sends a client's call to an entry, once."""
        if not quiet:
            self.record.note(f'client: {method} {path} to edge-{entry + 1}')
        status, values = await self.request(
            method,
            self.entry_addresses[entry],
            path,
            body,
            headers=[
                ('authorization', f'Token {KEY}'),
                ('deadline-ms', str(deadline_ms)),
            ],
            host=HOST,
            timeout_s=deadline_ms / 1000,
        )
        if not quiet:
            self.record.note(
                f'client: {method} {path} at edge-{entry + 1}:'
                f' {status or "no answer"} {values}'
            )
        return status, values

    async def operator(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        *,
        limit_s: float = 30.0,
    ) -> tuple[int, dict[str, typing.Any], str]:
        """Sends an operator's call until a daemon answers it.

        Returns:
            Status, body and the address called; 0 if the time is over.
        """
        until_s = time.monotonic() + limit_s
        attempt = 0
        while time.monotonic() < until_s:
            address = self.control_addresses[
                attempt % len(self.control_addresses)
            ]
            attempt += 1
            status, values = await self.request(
                method, address, path, body, timeout_s=1.0
            )
            if status not in (0, 307, 408, 429) and status < 500:
                self.record.note(f'operator: {method} {path}: {status}')
                return status, values, address
            await curio.sleep(0.05)
        self.record.note(f'operator: {method} {path}: no clear answer')
        return 0, {}, ''

    async def put_config(self, config: dict[str, typing.Any]) -> str:
        """Sends a configuration until it is acknowledged."""
        status, _, address = await self.operator('PUT', '/v1/config', config)
        if status != 200:
            raise TimeoutError(f'configuration: {status}')
        return address


def job(
    *steps: dict[str, typing.Any], ms: float, **values: typing.Any
) -> dict[str, typing.Any]:
    """Returns the body of a job whose tasks run for a time."""
    behaviour = {'ms': ms, 'need': {'gpu': 0}, **values}
    return {'spec': json.dumps(behaviour), 'steps': list(steps)}


def main(
    case: pathlib.Path,
    scenario: collections.abc.Callable[
        [pathlib.Path, Record], collections.abc.Awaitable[list[str]]
    ],
) -> typing.NoReturn:
    """Runs a case and exits with 0, 1 or 2.

    Args:
        case: Folder of the case.
        scenario: Returns descriptions of broken rules.
    """
    record = Record(case)
    record.note(f'TROUBLE={int(TROUBLE)}')
    code = NOT_RUN
    folder = pathlib.Path(tempfile.mkdtemp(prefix='banyantrack-review-'))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:

        async def limited() -> list[str]:
            async with curio.timeout_after(CASE_LIMIT_S):
                return await scenario(folder, record)

        broken = curio.run(limited)
        for text in broken:
            record.note(f'BROKEN: {text}')
            print(f'broken: {text}')
        code = BROKEN if broken else HELD
        if not broken:
            print('held')
    except (Exception, curio.TaskTimeout):
        record.note('the case could not run')
        traceback.print_exc()
    finally:
        if os.environ.get('KEEP'):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.note(f'exit {code}')
    sys.exit(code)
