"""Measures the replicated log and the delivery of configuration.

Fail-over and commits are measured on a group in this process, with the delay
between two zones added to each message; restart is measured on stored files.
Configuration in force and idle cost are measured on real daemons on loopback.
The last line of output is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import statistics
import tempfile
import time
import typing

import curio

from banyantrack.core import codec
from banyantrack.generated.replication import ttypes as replication
from banyantrack.intent import state as state_module
from banyantrack.replication import api
from banyantrack.replication import replica as replica_module
from banyantrack.replication import rpc_handlers
from banyantrack.replication import storage as storage_module
from banyantrack.testing import builders
from banyantrack.testing import load
from banyantrack.testing import system as system_module
from banyantrack.transport import http_client
from banyantrack.transport import rpc

# One-way delay between two zones of the `exchange` deployment.
ZONE_DELAY_S = 0.0015
WRITERS = 64
# Longest time without a leader before the measurement is given up.
FAILOVER_LIMIT_S = 15.0


class DelayedPool:
    """Pool that delays each request and each reply by `ZONE_DELAY_S`."""

    def __init__(self) -> None:
        self._pool = rpc.RpcPool()

    async def call(
        self, address: str, request: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Makes one call; see `rpc.RpcPool.call`."""
        await curio.sleep(ZONE_DELAY_S)
        reply = await self._pool.call(address, request, timeout_s=timeout_s)
        await curio.sleep(ZONE_DELAY_S)
        return reply


class Member:
    """A group member in this process, with real sockets and files.

    Args:
        name: Name of the member.
        address: RPC address that it listens on.
        folder: Data folder.
        contacts: RPC addresses of all members.
        options: Options of the replica.

    Attributes:
        replica: The replica; None while the member is stopped.
    """

    def __init__(
        self,
        name: str,
        address: str,
        folder: pathlib.Path,
        contacts: list[str],
        options: api.Options,
    ) -> None:
        self._arguments = (name, address, folder, contacts, options)
        self.replica: replica_module.Replica | None = None
        self._server: rpc.RpcServer | None = None
        self._task: curio.Task | None = None
        self._storage: storage_module.Storage | None = None

    async def start(self, *, bootstrap: bool = False) -> None:
        """Starts the member with the data in its folder."""
        name, address, folder, contacts, options = self._arguments
        self._storage = storage_module.Storage(folder, name)
        member = replication.Member(
            member_id='', name=name, address=address, service_address=''
        )
        self.replica = replica_module.Replica(
            member,
            self._storage,
            state_module.IntentState(),
            DelayedPool(),
            options=options,
            contacts=contacts,
        )
        if bootstrap:
            await self.replica.bootstrap()
        self._server = rpc.RpcServer(address)
        rpc_handlers.register(self._server, self.replica)
        await self._server.start()
        self._task = await curio.spawn(self.replica.run)

    async def stop(self) -> None:
        """Stops the member without handing over leadership."""
        replica, self.replica = self.replica, None
        if replica is None:
            return
        await self._task.cancel()
        await self._server.close()
        self._storage.close()


async def _make_group(
    folder: pathlib.Path, *, group_commit: bool
) -> list[Member]:
    addresses = [f'127.0.0.1:{p}' for p in system_module.reserve_ports(3)]
    names = ('m1', 'm2', 'm3')
    options = api.Options(
        auto_admit=frozenset(names), group_commit=group_commit
    )
    members = [
        Member(name, address, folder / name, addresses, options)
        for name, address in zip(names, addresses, strict=True)
    ]
    for number, member in enumerate(members):
        await member.start(bootstrap=number == 0)

    async def complete() -> bool:
        leader = _leader(members)
        if leader is None:
            return False
        replica = leader.replica
        # Until the membership is committed, the others may need this leader
        # for a majority.
        return (
            len(replica.membership.voters) == 3
            and not replica.membership.outgoing
            and replica.membership_index <= replica.commit_index
        )

    await system_module.wait_for(complete, 'group')
    return members


def _leader(members: list[Member]) -> Member | None:
    ready = [m for m in members if m.replica and m.replica.ready]
    return max(ready, key=lambda m: m.replica.term, default=None)


def _make_payload(number: int) -> bytes:
    target = builders.labels('worker-labels', f'w{number % 500}', op='x')
    return builders.apply_command(target)


async def measure_failover(
    folder: pathlib.Path, kills: int
) -> dict[str, float]:
    """Measures the time from stopping the leader to the next commit."""
    members = await _make_group(folder, group_commit=True)
    times = []
    for number in range(kills):
        old_leader = _leader(members)
        await old_leader.stop()
        started_at = time.monotonic()
        while (leader := _leader(members)) is None:
            if time.monotonic() - started_at > FAILOVER_LIMIT_S:
                raise TimeoutError(
                    f'no leader within {FAILOVER_LIMIT_S} s of stop {number}'
                )
            await curio.sleep(0.005)
        await leader.replica.propose(_make_payload(number), timeout_s=5)
        times.append(time.monotonic() - started_at)
        await old_leader.start()
        index = leader.replica.commit_index
        await old_leader.replica.wait_applied(index, timeout_s=5)
    for member in members:
        await member.stop()
    return {
        'failover_ms_p50': round(statistics.median(times) * 1000),
        'failover_ms_max': round(max(times) * 1000),
        'leader_kills': kills,
    }


async def measure_commits(
    folder: pathlib.Path, *, group_commit: bool, seconds: float
) -> float:
    """Returns commits a second of `WRITERS` concurrent writers."""
    members = await _make_group(folder, group_commit=group_commit)
    leader = _leader(members)
    commits = [0] * WRITERS
    stop_at = time.monotonic() + seconds

    async def write(writer: int) -> None:
        while time.monotonic() < stop_at:
            await leader.replica.propose(_make_payload(writer), timeout_s=10)
            commits[writer] += 1

    started_at = time.monotonic()
    tasks = [await curio.spawn(write, writer) for writer in range(WRITERS)]
    for task in tasks:
        await task.join()
    seconds = time.monotonic() - started_at
    for member in members:
        await member.stop()
    return sum(commits) / seconds


def measure_restart(folder: pathlib.Path, changes: int) -> dict[str, float]:
    """Writes changes and snapshots, then measures a restart from them."""
    options = api.Options()
    storage = storage_module.Storage(folder, 'm1')
    state_machine = state_module.IntentState()
    storage.save_state(1, '')
    log_bytes = 0
    batch_first = 1
    while batch_first <= changes:
        batch_last = min(batch_first + 499, changes)
        entries = [
            builders.log_entry(index, payload=_make_payload(index))
            for index in range(batch_first, batch_last + 1)
        ]
        storage.log.append(entries)
        batch = replication.LogBatch(entries=entries)
        log_bytes += len(codec.encode(batch))
        for entry in entries:
            state_machine.apply(entry.index, entry.payload)
        if batch_last % options.snapshot_entries == 0 and batch_last < changes:
            _save_snapshot(storage, state_machine, batch_last, options)
        batch_first = batch_last + 1
    storage.log.sync()
    storage.close()
    started_at = time.perf_counter()
    storage = storage_module.Storage(folder, 'm1')
    state_machine = state_module.IntentState()
    replica = replica_module.Replica(
        builders.member('m1'),
        storage,
        state_machine,
        rpc.RpcPool(),
        options=options,
    )
    for index in range(replica.applied_index + 1, storage.log.last_index + 1):
        entry = storage.log.entry(index)
        state_machine.apply(entry.index, entry.payload)
    seconds = time.perf_counter() - started_at
    folder_bytes = sum(path.stat().st_size for path in folder.iterdir())
    storage.close()
    return {
        'restart_ms_after_100k': round(seconds * 1000),
        'log_bytes_per_change': round(log_bytes / changes, 1),
        'folder_kb_after_100k': round(folder_bytes / 1024),
    }


def _save_snapshot(
    storage: storage_module.Storage,
    state_machine: state_module.IntentState,
    index: int,
    options: api.Options,
) -> None:
    data = state_machine.snapshot()
    header = replication.SnapshotHeader(
        index=index,
        term=1,
        membership=replication.Membership(voters=[], outgoing=[], learners=[]),
        size=len(data),
        version=1,
    )
    storage.save_snapshot(storage_module.Snapshot(header, data))
    storage.adopt_snapshot(header, index - options.snapshot_entries // 2)


async def measure_system(
    folder: pathlib.Path, changes: int
) -> dict[str, float]:
    """Measures delays until changes are in force, and idle daemons."""
    system = system_module.System(folder, control=3, entries=6)
    try:
        await system.start()
        times = []
        for number in range(changes):
            times.append(await _time_in_force(system, number))
        times_across_kill = [await _time_across_kill(system) for _ in range(2)]
        idle = await _measure_idle(system)
    finally:
        system.stop()
    return {
        'in_force_ms_p99': round(load.percentile(times, 0.99) * 1000, 1),
        'in_force_across_kill_ms_max': round(max(times_across_kill) * 1000),
        **idle,
    }


async def _time_in_force(system: system_module.System, number: int) -> float:
    """Returns seconds from accepting a change until all entries have it."""
    revision = await system.apply(
        [{'kind': 'route', 'name': 'r', 'prefix': f'/r{number}'}]
    )
    return await _wait_revision(system, revision)


async def _wait_revision(system: system_module.System, revision: int) -> float:
    started_at = time.monotonic()
    clients = [http_client.HttpClient(a) for a in system.entry_http]
    try:
        for client in clients:
            while True:
                answer = await client.request('GET', '/healthz')
                if json.loads(answer.body)['revision'] >= revision:
                    break
                await curio.sleep(0.005)
    finally:
        for client in clients:
            await client.close()
    return time.monotonic() - started_at


async def _time_across_kill(system: system_module.System) -> float:
    """Returns seconds until entries have a change despite a leader kill.

    The leader is killed as soon as it has accepted the change.
    """
    leader = await system.leader()
    revision = await system.apply(
        [
            {
                'kind': 'route',
                'name': 'k',
                'prefix': f'/k{random.randrange(1 << 30)}',
            }
        ]
    )
    leader.kill()
    seconds = await _wait_revision(system, revision)
    leader.start()
    await system.wait_voters(3)
    return seconds


async def _measure_idle(system: system_module.System) -> dict[str, float]:
    """Measures processor time, traffic and memory of idle daemons."""
    await curio.sleep(1.0)
    seconds = 4.0
    leader = await system.leader()
    cpu_before_s = {p.name: p.cpu_s() for p in system.processes}
    bytes_before = system_module.loopback_bytes()
    await curio.sleep(seconds)
    total_bytes = system_module.loopback_bytes() - bytes_before
    cpu_percent = {
        p.name: (p.cpu_s() - cpu_before_s[p.name]) / seconds * 100
        for p in system.processes
    }
    control_cpu_percent = [cpu_percent[p.name] for p in system.control]
    entry_cpu_percent = [cpu_percent[p.name] for p in system.entries]
    return {
        'idle_cpu_percent': round(
            max(control_cpu_percent + entry_cpu_percent), 2
        ),
        'idle_cpu_percent_leader': round(cpu_percent[leader.name], 2),
        'idle_cpu_percent_entry': round(max(entry_cpu_percent), 2),
        'idle_bytes_per_s': round(
            total_bytes / seconds / len(system.processes)
        ),
        'rss_mb': round(max(p.rss_mb() for p in system.control), 1),
        'rss_mb_entry': round(max(p.rss_mb() for p in system.entries), 1),
    }


def main() -> None:
    """Runs all measurements and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    options = parser.parse_args()
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        figures |= measure_restart(folder / 'restart', 100_000)
        seconds = 1.5 if options.quick else 10.0
        for key, with_group_commit in (
            ('commits_per_s', True),
            ('commits_per_s_without_group_commit', False),
        ):
            rate = curio.run(
                lambda with_group_commit=with_group_commit, key=key: (
                    measure_commits(
                        folder / key,
                        group_commit=with_group_commit,
                        seconds=seconds,
                    )
                )
            )
            figures[key] = round(rate, 1)
        figures['group_commit_ratio'] = round(
            figures['commits_per_s']
            / figures['commits_per_s_without_group_commit'],
            2,
        )
        kills = 20 if options.quick else 60
        figures |= curio.run(
            lambda: measure_failover(folder / 'failover', kills)
        )
        system_folder = folder / 'system'
        system_folder.mkdir()
        changes = 30 if options.quick else 200
        figures |= curio.run(lambda: measure_system(system_folder, changes))
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
