"""Starts the daemons on loopback, and stand-ins that follow the pages.

The daemons run as separate processes, with the commands of the deploy file
and the keys of its templates. Executors, the platform's machines service, the
operator and clients are small stand-ins on asyncio. All of them write what
they send, answer and run to one record.
"""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
# The whole script ends within this time.
TIME_LIMIT_S = 110.0
HARD_LIMIT_S = 116.0

# Bounds of sites/colx-banyan.toml, as the platform renders them.
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_MS = 400
GANG_MS = 3000
NOTICE_MS = 4500
MAINTENANCE_S = 2.0
ATTEMPTS = 4

POOL = 'hiring-line'
HOST = 'nony24.example'
KEY = 'd4a3hwrr6x73d3zji9n7'


def make_config(version=1):
    """Returns a configuration with queues of priority 0, 1 and 2."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{name}',
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
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'kaje80',
                'apiKeys': [KEY],
                'priority': 1,
                'guaranteed': {'gpu': 8},
            }
        ],
    }


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = (folder / 'record.txt').open('w')
        self._began = time.monotonic()

    def __call__(self, who, what, **values):
        fields = ' '.join(f'{key}={value}' for key, value in values.items())
        line = f'{time.monotonic() - self._began:8.3f} {who} {what} {fields}'
        self._file.write(line.rstrip() + '\n')
        self._file.flush()


async def read_message(reader):
    """Reads an HTTP/1.1 message; returns its first line, headers, body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return first, headers, body


def make_message(first, headers, body):
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def request(
    address, method, path, body=None, *, headers=None, timeout_s=4.0
):
    """Sends one request; returns status, headers and decoded body.

    The status is 0 if there is no complete answer.
    """
    host, _, port = address.rpartition(':')
    data = b'' if body is None else json.dumps(body).encode()
    fields = {
        'host': address,
        'content-type': 'application/json',
        **(headers or {}),
    }

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            first = f'{method} {path} HTTP/1.1'
            writer.write(make_message(first, fields, data))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    try:
        first, found, answer = await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, EOFError):
        return 0, {}, {}
    try:
        values = json.loads(answer or b'{}')
    except ValueError:
        values = {}
    return int(first.split(' ')[1]), found, values


class Server:
    """HTTP/1.1 server with persistent connections.

    Args:
        address: `IP:PORT`.
        handle: Coroutine function of method, path, headers and decoded body;
            returns status and values, or None to close without an answer.
    """

    def __init__(self, address, handle):
        self._address = address
        self._handle = handle
        self._server = None
        self._writers = set()

    async def open(self):
        host, _, port = self._address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    async def close(self):
        """Stops listening and resets all connections, as a crash does."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(' ')
                values = json.loads(body or b'{}')
                answer = await self._handle(method, path, headers, values)
                if answer is None:
                    break
                status, fields = answer
                data = json.dumps(fields).encode()
                writer.write(
                    make_message(
                        f'HTTP/1.1 {status} X',
                        {'content-type': 'application/json'},
                        data,
                    )
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Run:
    """One run on an executor."""

    def __init__(self, task, number, spec, saved_ms):
        self.task = task
        self.number = number
        self.lasts = spec.get('lasts', False)
        self.gpus = spec.get('gpus', 0)
        self.work_ms = spec.get('ms', 1000)
        self.startup_ms = spec.get('startup', 300)
        self.stop_ms = spec.get('stop', 50)
        self.done_ms = saved_ms
        self.stop_at = None

    @property
    def percent(self):
        total_ms = self.startup_ms if self.lasts else self.work_ms
        return min(int(100 * self.done_ms / max(total_ms, 1)), 100)


class Executor:
    """One executor, after PROTOCOL.md; its state is that of one life.

    The spec of a job is JSON: `ms` (work), `lasts` (whether the tasks last),
    `startup` (ms until such a task is at work), `stop` (ms that a stop
    takes, at most `STOP_MS`) and `gpus` (what a task uses, for checks).
    """

    def __init__(self, system, number, address, gpus=8):
        self.system = system
        self.name = f'i-{number:08x}'
        self.machine = f'm-{number:05x}'
        self.address = address
        self.capacity = {'cpu': 64000, 'memMb': 262144, 'gpu': gpus}
        self.rack = f'r1-{number % 2}'
        self.listeners = []
        self.up = False
        # Answered calls for the list of its runs.
        self.holds = 0
        self.dark = False
        # Whether it runs on, but exchanges nothing with control.
        self.cut_off = False
        # Called with each order to start; returns whether it stays without
        # an answer.
        self.on_start = None
        self._server = None
        self._tasks = []
        self._reset()

    def _reset(self):
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._sequence = 0
        self._token = 0
        self._lease_ms = 0
        self.runs = {}
        self._highest = {}
        self._ends = []
        self._end_count = 0

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._began) * 1000)

    async def start(self):
        """Starts a life of the executor."""
        self._reset()
        self.up = True
        self._server = Server(self.address, self._handle)
        await self._server.open()
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._announce()),
        ]
        self.system.record(self.name, 'up', born=self.born)

    def fail(self, run):
        """Ends a run by its own fault."""
        self._end(run, 'failed')

    async def crash(self):
        """Ends this life without a notice."""
        if not self.up:
            return
        self.up = False
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self._end(run, 'crashed')
        await self._server.close()
        self.system.record(self.name, 'down')

    async def go_dark(self):
        """Ends this life; its host answers nothing any more."""
        self.dark = True
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self._end(run, 'crashed')
        self.system.record(self.name, 'dark')

    async def _announce(self):
        position = 0
        receiver = ''
        born = self.born
        while self.up and not self.dark and self.born == born:
            self._sequence += 1
            body = {
                'service': POOL,
                'address': self.address,
                'zone': 'yakima-vly',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldRemainingMs': 0,
                'capacity': self.capacity,
                'labels': ['a', self.rack],
                'machine': self.machine,
                'clockMs': self.clock_ms,
                'sequence': self._sequence,
                'born': self.born,
            }
            for _ in range(2 * len(self.system.seeds)):
                while self.cut_off:
                    await asyncio.sleep(0.005)
                if not self.up or self.born != born:
                    return
                address = (
                    receiver
                    or self.system.seeds[position % len(self.system.seeds)]
                )
                status, headers, answer = await request(
                    address,
                    'PUT',
                    f'/v1/instances/{self.name}',
                    body,
                    timeout_s=1.0,
                )
                if status == 307:
                    location = headers['location'].removeprefix('http://')
                    receiver = location.partition('/')[0]
                    continue
                if 200 <= status < 300:
                    receiver = answer.get('heartbeatAddr') or address
                    break
                receiver = ''
                position += 1
                await asyncio.sleep(0.05)
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, method, path, headers, body):
        if self.dark:
            # Until the caller gives up or the script ends.
            await asyncio.sleep(2 * TIME_LIMIT_S)
        if self.cut_off:
            # The caller gives up meanwhile, so that nothing of it arrives.
            while self.cut_off:
                await asyncio.sleep(0.005)
            return None
        expected = headers.get('expect-instance', self.name)
        if expected != self.name:
            return 421, {}
        born = self.born
        if path == '/v1/run-start' and self.on_start and self.on_start(body):
            self.system.record(
                self.name,
                'start-left-unanswered',
                task=body['task'],
                run=body['runId'],
            )
            return None
        status, values = await self._carry_out(path, body)
        if not self.up or self.born != born or self.cut_off:
            return None
        values['clockMs'] = self.clock_ms
        if path == '/v1/hold':
            values['born'] = self.born
        return status, values

    def carry_out_late(self, body):
        """Carries out an order to start that was left unanswered."""
        token = body.get('fencingToken', 0)
        if token < self._token:
            answer = 409, {'reason': 'fence'}
        else:
            self._token = token
            answer = self._start_run(body)
        self.system.record(
            self.name,
            'late-start',
            task=body['task'],
            run=body['runId'],
            status=answer[0],
            **answer[1],
        )

    async def _carry_out(self, path, body):
        if path == '/health':
            return 200, {}
        token = body.get('fencingToken', 0)
        if token < self._token:
            return 409, {'reason': 'fence'}
        self._token = token
        if path == '/v1/hold':
            return await self._hold(body)
        if path == '/v1/run-start':
            return self._start_run(body)
        if path == '/v1/run-stop':
            return self._stop_run(body)
        return 200, {}

    def _extend(self, body):
        if 'expiresMs' in body:
            limit = self.clock_ms + MAX_HOLD_MS
            self._lease_ms = max(self._lease_ms, min(body['expiresMs'], limit))

    async def _hold(self, body):
        self._extend(body)
        seen = body.get('lastSeen', 0)
        for end in self._ends:
            if end[0] <= seen:
                self.system.noted(self, end)
        self._ends = [end for end in self._ends if end[0] > seen]
        until = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self._ends and time.monotonic() < until:
            await asyncio.sleep(0.005)
        self.holds += 1
        return 200, {
            'running': [
                [run.task, run.number, '', run.percent, 1000]
                for run in self.runs.values()
            ],
            'finished': self._ends[:500],
        }

    def _start_run(self, body):
        task, number = body['task'], body['runId']
        if body['expiresMs'] <= self.clock_ms:
            return 409, {'reason': 'late'}
        self._extend(body)
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {}
        if number <= self._highest.get(task, 0):
            return 409, {'reason': 'old'}
        self._highest[task] = number
        run = Run(task, number, json.loads(body['spec']), 0)
        self.runs[task] = run
        self.system.started(self, run)
        return 200, {}

    def _stop_run(self, body):
        task, number = body['task'], body['runId']
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stop_at is None:
            run.stop_at = time.monotonic() + run.stop_ms / 1000
            self.system.stop_ordered(self, run)
        return 200, {}

    async def _work(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            passed_ms, last = (now - last) * 1000, now
            for run in list(self.runs.values()):
                run.done_ms += passed_ms
                if self._lease_ms <= self.clock_ms:
                    self._end(run, 'lapsed')
                elif run.stop_at is not None:
                    if now >= run.stop_at:
                        self._end(run, 'stopped')
                elif not run.lasts and run.done_ms >= run.work_ms:
                    self._end(run, 'done')

    def _end(self, run, how):
        del self.runs[run.task]
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.number, how, ''])
        self.system.ended(self, run, how)


class Machines:
    """The platform's machines service.

    Attributes:
        unavailable: Whether calls are answered with 503 and not carried out.
        answer_delay_s: Time from carrying a call out to its answer.
    """

    def __init__(self, system, address):
        self.system = system
        self.address = address
        self.unavailable = False
        self.answer_delay_s = 0.0
        self.on_upkeep = None
        self._tokens = collections.Counter()
        self._done = set()
        self.down = set()
        self.waves = {}
        self._server = Server(address, self._handle)

    async def open(self):
        await self._server.open()

    async def close(self):
        await self._server.close()

    async def _handle(self, method, path, headers, body):
        if path != '/v1/machine-upkeep':
            return 404, {}
        machine, wave = body['machine'], body['wave']
        token = int(headers.get('fencing-token', 0))
        answer = await self._begin(machine, wave, token)
        self.system.record(
            'platform',
            'machine-upkeep',
            machine=machine,
            wave=wave,
            token=token,
            status=answer[0],
            **answer[1],
        )
        if answer[0] == 200 and self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        return answer

    async def _begin(self, machine, wave, token):
        if self.unavailable:
            return 503, {}
        executor = self.system.by_machine.get(machine)
        if executor is None:
            return 400, {}
        if token < self._tokens[machine]:
            return 409, {'reason': 'fence'}
        self._tokens[machine] = token
        if (machine, wave) in self._done:
            return 200, {}
        if machine not in self.waves.get(wave, ()):
            return 409, {'reason': 'wave'}
        if not executor.up:
            return 409, {'reason': 'busy'}
        self._done.add((machine, wave))
        self.system.upkeep_began(executor, wave)
        self.down.add(machine)
        asyncio.create_task(self._perform(executor))
        if self.on_upkeep is not None:
            self.on_upkeep(machine)
        return 200, {}

    async def _perform(self, executor):
        await executor.crash()
        await asyncio.sleep(MAINTENANCE_S)
        self.down.discard(executor.machine)
        await executor.start()


class Daemon:
    """One process of the project."""

    def __init__(self, system, name, module, command, settings):
        self.name = name
        self.settings = settings
        self._system = system
        self._config = system.folder / f'{name}.yaml'
        self._config.write_text(json.dumps(settings))
        self.log = system.folder / f'{name}.log'
        self._command = ['python3', '-m', module, *command]
        self._command += ['--config', str(self._config)]
        self._process = None

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('a') as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._system.record(self.name, 'process-started')

    def send(self, number):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self._system.record(
                self.name, 'signal', number=signal.Signals(number).name
            )

    def end(self):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    @property
    def exit_code(self):
        return self._process.poll() if self._process else None

    def text(self):
        return self.log.read_text(errors='replace')


class System:
    """Three control members, one entry, executors and the platform.

    Args:
        folder: Folder of the case, for its record.
        executors: Number of executors.
    """

    def __init__(self, folder, *, executors, control=3):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='banyan-case-'))
        # Sockets that hold the ports while the script runs.
        self._held = []
        ports = self._free_ports(7 + executors)
        rpc, http, platform, front, readiness, advice, cloud = ports[:7]
        pid = os.getpid()
        net = f'127.{1 + pid // 250 % 250}.{pid % 250}'
        hosts = [f'{net}.{11 + number}' for number in range(control)]
        self.seeds = [f'{host}:{platform}' for host in hosts]
        digest = hashlib.sha256(b'token').hexdigest()
        tokens = [{'name': 'operator', 'sha256': digest, 'role': 'operator'}]
        self.control = [
            Daemon(
                self,
                f'c{number + 1}',
                'banyantrack.cli.control',
                ['run'],
                {
                    'name': f'c{number + 1}',
                    'zone': 'yakima-vly',
                    'rpc_address': f'{host}:{rpc}',
                    'http_address': f'{host}:{http}',
                    'data_folder': str(self.folder / f'c{number + 1}'),
                    'platform': {
                        'address': f'{host}:{platform}',
                        'seeds': self.seeds,
                        'first_start': True,
                        'tolerated_losses': control // 2,
                        'lease_ms': MAX_HOLD_MS,
                        'stop_ms': STOP_MS,
                        'gang_ms': GANG_MS,
                        'remote_factor': 3,
                        'advice_address': f'{net}.51:{advice}',
                        'machines_address': f'{net}.51:{cloud}',
                        'status_s': 120,
                        'upkeep_s': MAINTENANCE_S,
                        'interference_ms': 4000,
                        'zones': ['yakima-vly'],
                        'speed_spread_min': 1.5,
                        'run_time_forecasts': 'learned',
                    },
                    'limits': {'memory_mb': 296, 'descriptors': 4096},
                    'tokens': tokens,
                },
            )
            for number, host in enumerate(hosts)
        ]
        self.entry_address = f'{net}.31:{front}'
        self.readiness_address = f'{net}.31:{readiness}'
        self.entry = Daemon(
            self,
            'e1',
            'banyantrack.cli.entry',
            [],
            {
                'name': 'e1',
                'zone': 'yakima-vly',
                'http_address': f'{net}.31:{http}',
                'rpc_address': f'{net}.31:{rpc}',
                'platform': {
                    'address': self.entry_address,
                    'readiness_address': self.readiness_address,
                    'seeds': self.seeds,
                    'control_rpc_port': rpc,
                },
                'limits': {'memory_mb': 300, 'descriptors': 4100},
                'tokens': tokens,
            },
        )
        self.executors = [
            Executor(self, number + 1, f'{net}.41:{port}')
            for number, port in enumerate(ports[7:])
        ]
        self.by_machine = {e.machine: e for e in self.executors}
        self.machines = Machines(self, f'{net}.51:{cloud}')
        self.broken = []
        self.observers = []

    def _free_ports(self, count):
        for _ in range(count):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(('127.0.0.1', 0))
            self._held.append(sock)
        return [sock.getsockname()[1] for sock in self._held]

    @property
    def daemons(self):
        return [*self.control, self.entry]

    # What executors tell.

    def _tell(self, event, *args):
        for observer in self.observers:
            getattr(observer, event, lambda *_: None)(*args)

    def started(self, executor, run):
        self.record(
            executor.name, 'run-started', task=run.task, run=run.number
        )
        self._tell('started', executor, run)

    def stop_ordered(self, executor, run):
        self.record(
            executor.name,
            'run-stop-ordered',
            task=run.task,
            run=run.number,
            percent=run.percent,
        )
        self._tell('stop_ordered', executor, run)

    def ended(self, executor, run, how):
        self.record(
            executor.name, 'run-ended', task=run.task, run=run.number, how=how
        )
        self._tell('ended', executor, run, how)

    def noted(self, executor, end):
        self._tell('noted', executor, end)

    def upkeep_began(self, executor, wave):
        self._tell('upkeep_began', executor, wave)

    def break_rule(self, text):
        self.record('check', 'BROKEN', text=text)
        self.broken.append(text)

    # Calls.

    async def start(self, config=None):
        """Starts everything; returns whether the system is ready."""
        for daemon in self.daemons:
            daemon.start()
        await self.machines.open()
        if await self.operator('PUT', '/v1/config', config or make_config()):
            for executor in self.executors:
                await executor.start()
            for _ in range(200):
                status, _, _ = await request(
                    self.readiness_address, 'GET', '/v1/readiness'
                )
                if status == 200 and self._all_joined():
                    return True
                await asyncio.sleep(0.1)
        return False

    def _all_joined(self):
        text = ''.join(daemon.text() for daemon in self.control)
        reported = sum(
            f'worker={e.name}' in text and 'worker_recorded' in text
            for e in self.executors
        )
        admitted = text.count('event=member_admitted')
        return (
            reported == len(self.executors)
            and admitted >= len(self.control) - 1
        )

    async def operator(self, method, path, body=None, *, tries=100):
        """Sends an operator's order until it is accepted or refused.

        Returns:
            The decoded answer to the accepted order, or None.
        """
        address = ''
        for attempt in range(tries):
            target = address or self.seeds[attempt % len(self.seeds)]
            status, headers, values = await request(
                target, method, path, body, timeout_s=1.0
            )
            if status == 307:
                location = headers['location'].removeprefix('http://')
                address = location.partition('/')[0]
                continue
            address = ''
            if status not in (0, 503):
                self.record('operator', f'{method} {path}', status=status)
                if 200 <= status < 300:
                    return values or {'ok': True}
                return None
            await asyncio.sleep(0.1)
        return None

    async def call(self, method, path, body=None, *, key=KEY, timeout_s=3.5):
        """Sends one call of a client; returns status and values."""
        status, _, values = await request(
            self.entry_address,
            method,
            path,
            body,
            headers={'host': HOST, 'authorization': f'Token {key}'},
            timeout_s=timeout_s,
        )
        self.record('client', f'{method} {path}', status=status, **values)
        return status, values

    async def submit(self, queue, job, steps, *, spec, key=KEY, **values):
        """Submits a job until it is accepted or refused for good."""
        body = {'spec': json.dumps(spec), 'steps': steps, **values}
        for _ in range(40):
            status, _ = await self.call(
                'POST', f'/{queue}/{job}', body, key=key
            )
            if 200 <= status < 300:
                return True
            if status in (400, 401, 404):
                return False
            await asyncio.sleep(0.2)
        return False

    def find_run(self, task):
        """Returns the executor and the run of a task, or None."""
        for executor in self.executors:
            run = executor.runs.get(task)
            if executor.up and run is not None:
                return executor, run
        return None

    async def wait(self, condition, timeout_s, what):
        """Waits until a condition holds; returns whether it did."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if condition():
                return True
            await asyncio.sleep(0.01)
        self.record('check', 'gave-up', waiting_for=repr(what))
        return False

    async def close(self):
        for daemon in self.daemons:
            daemon.end()
        for executor in self.executors:
            await executor.crash()
        await self.machines.close()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Unable(Exception):
    """The case could not be run."""


def run_case(folder, scenario, **options):
    """Runs a scenario; ends the process with the code of the outcome."""

    errors = []

    def note_error(loop, context):
        errors.append(context.get('exception') or context['message'])

    async def main():
        asyncio.get_running_loop().set_exception_handler(note_error)
        system = System(pathlib.Path(folder).resolve(), **options)

        def stop_now():
            system.record('check', 'cannot-run', error='stopped')
            for daemon in system.daemons:
                daemon.end()
            os._exit(CANNOT_RUN)

        loop = asyncio.get_running_loop()
        loop.call_later(HARD_LIMIT_S, stop_now)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop_now)
        try:
            await asyncio.wait_for(scenario(system), TIME_LIMIT_S)
        except (Unable, asyncio.TimeoutError) as error:
            system.record('check', 'cannot-run', error=repr(error))
            return CANNOT_RUN
        finally:
            await system.close()
        if errors:
            # A fault of a stand-in, so that the run shows nothing.
            system.record('check', 'cannot-run', error=repr(errors[0]))
            return CANNOT_RUN
        outcome = BROKEN if system.broken else HELD
        system.record(
            'check',
            'outcome',
            trouble=int(TROUBLE),
            broken=len(system.broken),
            exit=outcome,
        )
        return outcome

    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(main())
    print(f'exit {code}', flush=True)
    # All processes have ended; tasks of stand-ins need not be waited for.
    os._exit(code)
