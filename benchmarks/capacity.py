"""Slopes of the daemons' costs, each from at least three sizes.

The last line is one JSON object: for each slope its value per unit, the
value at size zero, the sizes and the error of the straight line (root mean
square, as a share of the largest value).
"""

from __future__ import annotations

import argparse
import array
import collections.abc
import gc
import json
import pathlib
import tempfile
import time
import tracemalloc
import typing

import curio

from banyantrack.core import codec
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import state as state_module
from banyantrack.membership import backends as backends_module
from banyantrack.placement import gangs
from banyantrack.testing import builders
from banyantrack.testing import fake_placement
from banyantrack.testing import fake_worker
from banyantrack.testing import system as system_module

if typing.TYPE_CHECKING:
    Point = tuple[float, float]


def fit(points: collections.abc.Sequence[Point]) -> dict[str, typing.Any]:
    """Returns the straight line through some points, with its error."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    error = sum((y - start - slope * x) ** 2 for x, y in points) / count
    largest = max(abs(y) for _, y in points) or 1.0
    return {
        'slope': float(f'{slope:.4g}'),
        'at_zero': float(f'{start:.4g}'),
        'sizes': [x for x, _ in points],
        'error_share': round(error**0.5 / largest, 3),
    }


def _grown_kb(make: collections.abc.Callable[[], object]) -> float:
    """Returns the memory that what is made holds.

    Resident memory would also tell of what the allocator kept from before.
    """
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    grown = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del kept
    return grown


def _workers(first: int, count: int) -> list[intent.StoredObject]:
    return [
        builders.stored(
            'workers',
            f'worker-{number}',
            zone=f'z{number % 8}',
            rack=f'r{number // 16}',
            accelerators=1,
            processors=64,
            memory_mb=262_144,
            own_labels={},
        )
        for number in range(first, first + count)
    ]


def _state(workers: int, jobs: int, tasks: int) -> state_module.IntentState:
    """Returns a state with workers, and jobs that have tasks."""
    state = state_module.IntentState()
    command = intent.Command(now_ms=1, workers=_workers(0, workers))
    state.apply(1, codec.encode(command))
    state.apply(2, builders.apply_command(builders.customer('a')))
    for number in range(jobs):
        target = builders.job(f'job-{number}', customer='a', members=tasks)
        state.apply(2 * number + 3, builders.apply_command(target))
        place = intent.PlaceCommand(
            job=target.name,
            workers=array.array('H', [0] * tasks).tobytes(),
            guarantee='',
            job_revision=state.jobs.get(target.name).revision,
        )
        command = intent.Command(now_ms=1, place=[place])
        state.apply(2 * number + 4, codec.encode(command))
    return state


def measure_state() -> dict[str, typing.Any]:
    """Measures memory and snapshot size by workers, jobs and tasks."""
    worker_points, job_points, task_points, snapshot = [], [], [], []
    for size in (1000, 2000, 4000):
        worker_points.append(
            (size, _grown_kb(lambda size=size: _state(size, 0, 0)))
        )
        job_points.append(
            (size, _grown_kb(lambda size=size: _state(1, size, 1)))
        )
        state = _state(1, size // 4, 16)
        snapshot.append((size // 4 * 16, len(state.snapshot()) / 1024))
        task_points.append(
            (size * 16, _grown_kb(lambda size=size: _state(1, size, 16)))
        )
    return {
        'state_kb_by_worker': fit(worker_points),
        'state_kb_by_job': fit(job_points),
        'state_kb_by_task_in_gangs_of_16': fit(task_points),
        'snapshot_kb_by_task_in_gangs_of_16': fit(snapshot),
    }


def measure_reports() -> dict[str, typing.Any]:
    """Measures control's processor time and bytes by worker reports."""
    return curio.run(_measure_reports)


async def _measure_reports() -> dict[str, typing.Any]:
    cpu, traffic, memory = [], [], []
    for workers in (8, 24, 48):
        with tempfile.TemporaryDirectory() as folder:
            system = system_module.System(
                pathlib.Path(folder), control=1, entries=0
            )
            try:
                await system.start()
                rate, used, sent, rss = await _report_load(system, workers)
            finally:
                system.stop()
        cpu.append((rate, used))
        traffic.append((rate, sent))
        memory.append((workers, rss))
    return {
        'leader_cpu_ms_by_report': fit(cpu),
        'leader_bytes_by_report': fit(traffic),
        'leader_rss_kb_by_open_report': fit(memory),
    }


async def _report_load(
    system: system_module.System, workers: int
) -> tuple[float, float, float, float]:
    fleet = fake_worker.make_fleet(workers, system.control_http, wait_ms=200)
    tasks = [await curio.spawn(worker.run) for worker in fleet]
    await curio.sleep(1.0)
    leader = system.control[0]
    seconds = 3.0
    reports = sum(worker.reports for worker in fleet)
    used = leader.cpu_s()
    sent = system_module.loopback_bytes()
    await curio.sleep(seconds)
    reports = sum(worker.reports for worker in fleet) - reports
    used = leader.cpu_s() - used
    sent = system_module.loopback_bytes() - sent
    rss = leader.rss_mb() * 1024
    for task in tasks:
        await task.cancel()
    return reports / seconds, used / seconds * 1000, sent / seconds, rss


def measure_changes() -> dict[str, typing.Any]:
    """Measures follower and leader time and bytes by change."""
    return curio.run(_measure_changes)


async def _measure_changes() -> dict[str, typing.Any]:
    leader_cpu, follower_cpu, entry_cpu, entry_bytes = [], [], [], []
    with tempfile.TemporaryDirectory() as folder:
        system = system_module.System(
            pathlib.Path(folder), control=3, entries=3
        )
        try:
            await system.start()
            leader = await system.leader()
            follower = next(p for p in system.control if p is not leader)
            for rate in (5, 15, 30):
                watched = (leader, follower, system.entries[0])
                used = [p.cpu_s() for p in watched]
                sent = system_module.loopback_bytes()
                seconds = await _change_load(system, rate)
                used = [
                    (p.cpu_s() - u) / seconds * 1000
                    for p, u in zip(watched, used, strict=True)
                ]
                leader_cpu.append((rate, used[0]))
                follower_cpu.append((rate, used[1]))
                entry_cpu.append((rate, used[2]))
                sent = (system_module.loopback_bytes() - sent) / seconds
                entry_bytes.append((rate, sent / len(system.processes)))
        finally:
            system.stop()
    return {
        'leader_cpu_ms_by_change': fit(leader_cpu),
        'follower_cpu_ms_by_change': fit(follower_cpu),
        'entry_cpu_ms_by_change': fit(entry_cpu),
        'bytes_by_change_mean_daemon': fit(entry_bytes),
    }


async def _change_load(system: system_module.System, rate: int) -> float:
    started_at = time.monotonic()
    for number in range(rate * 3):
        due_s = started_at + number / rate - time.monotonic()
        await curio.sleep(max(due_s, 0))
        await system.apply(
            [
                {
                    'kind': 'route',
                    'name': f'r{number % 20}',
                    'prefix': f'/r{rate}-{number}',
                }
            ]
        )
    return time.monotonic() - started_at


def measure_entry() -> dict[str, typing.Any]:
    """Measures an entry's memory by backend."""
    points = []
    for size in (500, 1000, 2000):
        points.append(
            (size, _grown_kb(lambda size=size: _backend_table(size)))
        )
    return {'entry_kb_by_backend': fit(points)}


def _backend_table(size: int) -> backends_module.BackendTable:
    table = backends_module.BackendTable(lapse_s=15.0)
    for number in range(size):
        table.announce(
            cluster.Announcement(
                backend_id=f'backend-{number}',
                incarnation=1,
                address=f'10.0.{number >> 8}.{number & 255}:80',
                zone='a',
                labels={'pool': 'x'},
                slots=8,
                state=cluster.BackendState.SERVING,
            )
        )
    return table


def measure_tracker() -> dict[str, typing.Any]:
    """Measures the leader's soft state and round time by worker."""
    memory, rounds = [], []
    for size in (1000, 2000, 4000):
        made = fake_placement.FakePlacement(check=False)
        made.register(*_workers(0, size))

        def fill(made=made, size=size) -> object:
            made.round()
            tracker = gangs.GangTracker(
                made.state.jobs.get,
                made.scheduler.ledger.allotments,
                made.state.worker_name,
                lease_s=90.0,
                grace_s=1.5,
            )
            for worker in range(size):
                tracker.record_report(worker, 1, 1, ())
                tracker.extend_lease(worker, time.monotonic() + 90)
            return tracker

        memory.append((size, _grown_kb(fill)))
        started_at = time.perf_counter()
        for _ in range(20):
            made.round()
        rounds.append((size, (time.perf_counter() - started_at) * 50))
    return {
        'leader_soft_kb_by_worker': fit(memory),
        'idle_round_ms_by_worker': fit(rounds),
    }


def main() -> None:
    """Prints the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    parser.parse_args()
    slopes = measure_state()
    slopes |= measure_tracker()
    slopes |= measure_entry()
    slopes |= measure_reports()
    slopes |= measure_changes()
    for name, slope in slopes.items():
        print(f'{name}: {slope}')
    print(json.dumps(slopes))


if __name__ == '__main__':
    main()
