"""Daemon processes on loopback for the demo, soak tests and benchmarks."""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time
import typing

import curio
import yaml

from banyantrack.transport import http_client

if typing.TYPE_CHECKING:
    import collections.abc

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


# Sockets that reserve the ports of `reserve_ports` until this process ends.
_RESERVATIONS: list[socket.socket] = []


def reserve_ports(count: int) -> list[int]:
    """Reserves TCP ports on 127.0.0.1 until this process ends.

    A socket that is bound to a port, but does not listen, keeps the kernel
    from handing the port out to other programs. Daemons can bind it all the
    same, since both sides set SO_REUSEADDR.
    """
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', 0))
        sockets.append(sock)
    _RESERVATIONS.extend(sockets)
    return [sock.getsockname()[1] for sock in sockets]


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return ticks / os.sysconf('SC_CLK_TCK')


def loopback_bytes() -> int:
    """Returns the bytes received on the loopback interface since boot."""
    for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
        if line.strip().startswith('lo:'):
            return int(line.split()[1])
    return 0


class Process:
    """One daemon that runs as a separate process.

    Args:
        name: Its name.
        module: Python module to run.
        folder: Folder of its settings file and log.
        settings: Its settings.
    """

    def __init__(
        self,
        name: str,
        module: str,
        folder: pathlib.Path,
        settings: dict[str, typing.Any],
    ) -> None:
        self.name = name
        self.settings = settings
        self._module = module
        self._config = folder / f'{name}.yaml'
        self._log = folder / f'{name}.log'
        self._process: subprocess.Popen | None = None
        settings.setdefault('logging', {})['file'] = str(self._log)
        self.write()

    @property
    def log(self) -> pathlib.Path:
        """Path of its log file."""
        return self._log

    @property
    def http_address(self) -> str:
        """Its HTTP address as `IP:PORT`."""
        return self.settings['http_address']

    @property
    def rpc_address(self) -> str:
        """Its RPC address as `IP:PORT`."""
        return self.settings['rpc_address']

    @property
    def pid(self) -> int:
        """Id of the last process; 0 before the first start."""
        return self._process.pid if self._process else 0

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while it runs or before the first start.

        Negative if a signal ended the process.
        """
        return self._process.poll() if self._process else None

    def write(self) -> None:
        """Writes the settings file, which the next start reads."""
        self._config.write_text(yaml.safe_dump(self.settings))

    def bootstrap(self) -> None:
        """Runs the `bootstrap` command and waits until it ends."""
        self._run_once('bootstrap')

    def start(self) -> None:
        """Starts the process."""
        command = [sys.executable, '-m', self._module]
        command += ['--config', str(self._config)]
        with self._log.open('a') as log:
            self._process = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its end."""
        if self.running:
            self._process.kill()
            self._process.wait()

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a graceful stop with SIGTERM."""
        if self.running:
            self._process.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits until the process ends; returns its exit code.

        Raises:
            subprocess.TimeoutExpired: If it does not end in time.
        """
        return self._process.wait(timeout_s)

    def wipe(self) -> None:
        """Removes its data folder."""
        shutil.rmtree(self.settings['data_folder'], ignore_errors=True)

    def cpu_s(self) -> float:
        """Returns the processor time that it has used, in seconds."""
        return cpu_s(self.pid)

    def rss_mb(self) -> float:
        """Returns its resident memory in MiB."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0.0

    def _run_once(self, *arguments: str) -> None:
        command = [sys.executable, '-m', self._module, *arguments]
        command += ['--config', str(self._config)]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)


class System:
    """Control members and entries on loopback.

    Args:
        folder: Folder of settings, logs and data.
        control: Number of control members.
        entries: Number of entries.
        control_settings: Settings of all control members that are added to
            the generated ones or replace them.
        entry_settings: The same for entries.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        control: int = 3,
        entries: int = 6,
        control_settings: dict[str, typing.Any] | None = None,
        entry_settings: dict[str, typing.Any] | None = None,
    ) -> None:
        ports = reserve_ports(2 * (control + entries))
        addresses = [f'127.0.0.1:{port}' for port in ports]
        members = [
            {'name': f'c{number + 1}', 'address': addresses[2 * number]}
            for number in range(control)
        ]
        self.control = [
            Process(
                member['name'],
                'banyantrack.cli.control',
                folder,
                {
                    'name': member['name'],
                    'zone': 'abc'[number % 3],
                    'rpc_address': member['address'],
                    'http_address': addresses[2 * number + 1],
                    'data_folder': str(folder / member['name']),
                    'members': members,
                    **json.loads(json.dumps(control_settings or {})),
                },
            )
            for number, member in enumerate(members)
        ]
        entry_addresses = addresses[2 * control :]
        self.entries = [
            Process(
                f'e{number + 1}',
                'banyantrack.cli.entry',
                folder,
                {
                    'name': f'e{number + 1}',
                    'zone': 'abc'[number % 3],
                    'rpc_address': entry_addresses[2 * number],
                    'http_address': entry_addresses[2 * number + 1],
                    'control': [m['address'] for m in members],
                    **json.loads(json.dumps(entry_settings or {})),
                },
            )
            for number in range(entries)
        ]

    @property
    def processes(self) -> list[Process]:
        """All daemon processes, running or not."""
        return [*self.control, *self.entries]

    @property
    def control_http(self) -> list[str]:
        """HTTP addresses of control members."""
        return [process.http_address for process in self.control]

    @property
    def entry_http(self) -> list[str]:
        """HTTP addresses of entries."""
        return [process.http_address for process in self.entries]

    async def start(self) -> None:
        """Starts all daemons and waits until they are ready.

        Raises:
            TimeoutError: If they are not ready in time.
        """
        self.control[0].bootstrap()
        for process in self.processes:
            process.start()
        await self.wait_voters(len(self.control))
        await self.wait_entries()

    async def wait_voters(self, count: int) -> None:
        """Waits until the control group has enough reachable voters.

        Args:
            count: Least number of reachable voters. No change of the
                membership may be in progress.
        """

        async def has_voters() -> bool:
            members = await self.get('/v1/members')
            if members is None or members['changing']:
                return False
            reachable = [
                m
                for m in members['members']
                if m['reachable'] and m['role'] != 'learner'
            ]
            return len(reachable) >= count

        await wait_for(has_voters, 'voters')

    async def wait_entries(self) -> None:
        """Waits until each running entry has its configuration."""

        async def ready() -> bool:
            for process in self.entries:
                if not process.running:
                    continue
                answer = await send_request(
                    process.http_address, 'GET', '/healthz'
                )
                if answer is None or answer.status != 200:
                    return False
            return True

        await wait_for(ready, 'entries')

    async def get(self, target: str) -> typing.Any:
        """Returns a document of the operator API.

        Args:
            target: Request target.

        Returns:
            The decoded JSON; None unless a member answered with status 200.
        """
        answer = await self.operate('GET', target)
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)

    async def operate(
        self,
        method: str,
        target: str,
        document: object = None,
        headers: collections.abc.Sequence[tuple[str, str]] = (),
    ) -> http_client.Answer | None:
        """Sends a request of the operator API to the leader.

        Args:
            method: HTTP method.
            target: Request target.
            document: Body to be encoded as JSON; no body if None.
            headers: Headers as names and values.

        Returns:
            The answer; None if no member led or answered.
        """
        body = b'' if document is None else json.dumps(document).encode()
        for address in self.control_http:
            answer = await send_request(address, method, target, body, headers)
            if answer is not None and answer.status == 307:
                location = answer.header('location') or ''
                leader = location.split('/')[2]
                answer = await send_request(
                    leader, method, target, body, headers
                )
            if answer is not None and answer.status not in (307, 503):
                return answer
        return None

    async def apply(self, documents: list[dict[str, typing.Any]]) -> int:
        """Applies objects through the operator API; returns the revision.

        Raises:
            RuntimeError: If they are rejected, or nobody answered.
        """
        for _ in range(50):
            answer = await self.operate('POST', '/v1/apply', documents)
            if answer is not None:
                break
            await curio.sleep(0.1)
        if answer is None or answer.status != 200:
            raise RuntimeError(answer.body if answer else 'no answer')
        return json.loads(answer.body)['revision']

    async def leader(self) -> Process | None:
        """Returns the process of the leader; None without a leader."""
        status = await self.get('/v1/status')
        if status is None:
            return None
        return next(p for p in self.control if p.name == status['leader'])

    def stop(self) -> None:
        """Stops all daemons that were started.

        Processes that still run after STOP_TIMEOUT_S are killed.
        """
        for process in self.processes:
            if process.running:
                process.resume()
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes:
            if process.pid:
                try:
                    process.wait(max(deadline - time.monotonic(), 0.1))
                except subprocess.TimeoutExpired:
                    process.kill()


async def send_request(
    address: str,
    method: str,
    target: str,
    body: bytes = b'',
    headers: collections.abc.Sequence[tuple[str, str]] = (),
    *,
    timeout_s: float = 5.0,
) -> http_client.Answer | None:
    """Sends one request on a new connection; None without an answer."""
    client = http_client.HttpClient(address)
    try:
        return await client.request(
            method, target, headers=headers, body=body, timeout_s=timeout_s
        )
    except http_client.HttpError:
        return None
    finally:
        await client.close()


async def wait_for(
    condition: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
    what: str,
    *,
    timeout_s: float = READY_TIMEOUT_S,
) -> float:
    """Polls a condition until it holds.

    Args:
        condition: The condition.
        what: Name of the condition, for the error message.
        timeout_s: Longest wait.

    Returns:
        Seconds until it held.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    started_at = time.monotonic()
    while not await condition():
        if time.monotonic() - started_at > timeout_s:
            raise TimeoutError(f'{what}: not reached within {timeout_s} s')
        await curio.sleep(0.05)
    return time.monotonic() - started_at
