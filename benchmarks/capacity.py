"""Measures how the costs of the daemons grow with size.

Fits a straight line to measurements at three or more sizes. The last line of
output is one JSON object: for each cost the slope (cost per unit of size),
the value at size zero, the sizes and the error of the line (root mean square,
as a share of the largest value).
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


def fit_line(points: collections.abc.Sequence[Point]) -> dict[str, typing.Any]:
    """Fits a straight line to points by least squares.

    Args:
        points: Size and cost of each measurement; at least two sizes.

    Returns:
        Slope, value at zero, sizes, and error as a share of the largest
        value.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points)
        / squared_deviations
    )
    intercept = mean_y - slope * mean_x
    mean_square_error = (
        sum((y - intercept - slope * x) ** 2 for x, y in points) / count
    )
    largest = max(abs(y) for _, y in points) or 1.0
    return {
        'slope': float(f'{slope:.4g}'),
        'at_zero': float(f'{intercept:.4g}'),
        'sizes': [x for x, _ in points],
        'error_share': round(mean_square_error**0.5 / largest, 3),
    }


def _allocated_kb(build: collections.abc.Callable[[], object]) -> float:
    """Returns the KiB allocated by the object that `build` returns.

    Resident memory is unsuitable: it includes memory that the allocator
    retained from earlier measurements.
    """
    gc.collect()
    tracemalloc.start()
    retained = build()
    gc.collect()
    allocated_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del retained
    return allocated_kb


def _make_workers(first: int, count: int) -> list[intent.StoredObject]:
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


def _make_state(
    workers: int, jobs: int, tasks: int
) -> state_module.IntentState:
    """Returns a state with workers, and placed jobs with `tasks` each."""
    state = state_module.IntentState()
    command = intent.Command(now_ms=1, workers=_make_workers(0, workers))
    state.apply(1, codec.encode(command))
    state.apply(2, builders.apply_command(builders.customer('a')))
    for number in range(jobs):
        target = builders.job(f'job-{number}', customer='a', members=tasks)
        state.apply(2 * number + 3, builders.apply_command(target))
        placement = intent.PlaceCommand(
            job=target.name,
            workers=array.array('H', [0] * tasks).tobytes(),
            guarantee='',
            job_revision=state.jobs.get(target.name).revision,
        )
        command = intent.Command(now_ms=1, place=[placement])
        state.apply(2 * number + 4, codec.encode(command))
    return state


def measure_state() -> dict[str, typing.Any]:
    """Measures memory by workers, jobs and tasks, and snapshots by tasks."""
    worker_points, job_points, task_points, snapshot_points = [], [], [], []
    for size in (1000, 2000, 4000):
        worker_points.append(
            (size, _allocated_kb(lambda size=size: _make_state(size, 0, 0)))
        )
        job_points.append(
            (size, _allocated_kb(lambda size=size: _make_state(1, size, 1)))
        )
        state = _make_state(1, size // 4, 16)
        snapshot_points.append((size // 4 * 16, len(state.snapshot()) / 1024))
        task_points.append(
            (
                size * 16,
                _allocated_kb(lambda size=size: _make_state(1, size, 16)),
            )
        )
    return {
        'state_kb_by_worker': fit_line(worker_points),
        'state_kb_by_job': fit_line(job_points),
        'state_kb_by_task_in_gangs_of_16': fit_line(task_points),
        'snapshot_kb_by_task_in_gangs_of_16': fit_line(snapshot_points),
    }


def measure_reports() -> dict[str, typing.Any]:
    """Measures processor time, traffic and memory of worker reports."""
    return curio.run(_measure_reports)


async def _measure_reports() -> dict[str, typing.Any]:
    cpu_points, traffic_points, memory_points = [], [], []
    for workers in (8, 24, 48):
        with tempfile.TemporaryDirectory() as folder:
            system = system_module.System(
                pathlib.Path(folder), control=1, entries=0
            )
            try:
                await system.start()
                rate, cpu_ms, traffic, rss_kb = await _measure_report_load(
                    system, workers
                )
            finally:
                system.stop()
        cpu_points.append((rate, cpu_ms))
        traffic_points.append((rate, traffic))
        memory_points.append((workers, rss_kb))
    return {
        'leader_cpu_ms_by_report': fit_line(cpu_points),
        'leader_bytes_by_report': fit_line(traffic_points),
        'leader_rss_kb_by_open_report': fit_line(memory_points),
    }


async def _measure_report_load(
    system: system_module.System, workers: int
) -> tuple[float, float, float, float]:
    """Returns the load that the reports of a number of workers cause.

    Returns:
        Reports a second, processor time of the leader in ms a second, bytes
        a second on loopback, and resident memory of the leader in KiB.
    """
    fleet = fake_worker.make_fleet(workers, system.control_http, wait_ms=200)
    tasks = [await curio.spawn(worker.run) for worker in fleet]
    await curio.sleep(1.0)
    leader = system.control[0]
    seconds = 3.0
    reports = sum(worker.reports for worker in fleet)
    used_s = leader.cpu_s()
    traffic = system_module.loopback_bytes()
    await curio.sleep(seconds)
    reports = sum(worker.reports for worker in fleet) - reports
    used_s = leader.cpu_s() - used_s
    traffic = system_module.loopback_bytes() - traffic
    rss_kb = leader.rss_mb() * 1024
    for task in tasks:
        await task.cancel()
    return (
        reports / seconds,
        used_s / seconds * 1000,
        traffic / seconds,
        rss_kb,
    )


def measure_changes() -> dict[str, typing.Any]:
    """Measures processor time of the daemons and traffic by change."""
    return curio.run(_measure_changes)


async def _measure_changes() -> dict[str, typing.Any]:
    leader_points, follower_points, entry_points, byte_points = [], [], [], []
    with tempfile.TemporaryDirectory() as folder:
        system = system_module.System(
            pathlib.Path(folder), control=3, entries=3
        )
        try:
            await system.start()
            leader = await system.leader()
            follower = next(p for p in system.control if p is not leader)
            for rate in (5, 15, 30):
                daemons = (leader, follower, system.entries[0])
                cpu = [p.cpu_s() for p in daemons]
                traffic = system_module.loopback_bytes()
                seconds = await _apply_changes(system, rate)
                cpu = [
                    (p.cpu_s() - u) / seconds * 1000
                    for p, u in zip(daemons, cpu, strict=True)
                ]
                leader_points.append((rate, cpu[0]))
                follower_points.append((rate, cpu[1]))
                entry_points.append((rate, cpu[2]))
                traffic = (system_module.loopback_bytes() - traffic) / seconds
                byte_points.append((rate, traffic / len(system.processes)))
        finally:
            system.stop()
    return {
        'leader_cpu_ms_by_change': fit_line(leader_points),
        'follower_cpu_ms_by_change': fit_line(follower_points),
        'entry_cpu_ms_by_change': fit_line(entry_points),
        'bytes_by_change_mean_daemon': fit_line(byte_points),
    }


async def _apply_changes(system: system_module.System, rate: int) -> float:
    """Applies `rate` changes a second for 3 s; returns the elapsed seconds."""
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
    """Measures the memory of an entry by backend."""
    points = []
    for size in (500, 1000, 2000):
        points.append(
            (size, _allocated_kb(lambda size=size: _make_backend_table(size)))
        )
    return {'entry_kb_by_backend': fit_line(points)}


def _make_backend_table(size: int) -> backends_module.BackendTable:
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
    """Measures the leader's soft state and idle round time by worker."""
    memory_points, round_points = [], []
    for size in (1000, 2000, 4000):
        simulation = fake_placement.FakePlacement(check=False)
        simulation.register(*_make_workers(0, size))

        def build_tracker(simulation=simulation, size=size) -> object:
            simulation.round()
            tracker = gangs.GangTracker(
                simulation.state.jobs.get,
                simulation.scheduler.ledger.allotments,
                simulation.state.worker_name,
                lease_s=90.0,
                grace_s=1.5,
            )
            for worker in range(size):
                tracker.record_report(worker, 1, 1, ())
                tracker.extend_lease(worker, time.monotonic() + 90)
            return tracker

        memory_points.append((size, _allocated_kb(build_tracker)))
        started_at = time.perf_counter()
        for _ in range(20):
            simulation.round()
        round_points.append((size, (time.perf_counter() - started_at) * 50))
    return {
        'leader_soft_kb_by_worker': fit_line(memory_points),
        'idle_round_ms_by_worker': fit_line(round_points),
    }


def main() -> None:
    """Prints the fitted lines."""
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
