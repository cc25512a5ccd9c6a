"""Measures decision time at full size, and quality against baselines.

Ratios compare simulations with the same seeds in this process; the baselines
are first-fit in order of submission, with and without backfill. The last line
of output is one JSON object.
"""

from __future__ import annotations

import argparse
import gc
import json
import pathlib
import random
import statistics
import time
import typing

from banyantrack.placement import scheduler as scheduler_module
from banyantrack.testing import builders
from banyantrack.testing import fake_placement
from banyantrack.testing import load

if typing.TYPE_CHECKING:
    import collections.abc

Record = fake_placement.JobRecord
DEFAULT_POLICIES = scheduler_module.Policies()
FIFO_POLICIES = scheduler_module.Policies(
    score='first-fit',
    victims='newest',
    queue='fifo',
    backfill=False,
    consolidate=False,
)
BACKFILL_POLICIES = scheduler_module.Policies(
    score='first-fit',
    victims='newest',
    queue='fifo',
    backfill=True,
    consolidate=False,
)
# Name and weight; the weight is also the number of guaranteed shapes.
CUSTOMER_WEIGHTS = (('a', 4), ('b', 2), ('c', 1), ('d', 1))
# Workers of each deployment at its current size, with 8 accelerators each.
CURRENT_WORKERS = 24
# Memory of a worker by deployment.
WORKER_MEMORY_MB = {'exchange': 262_144, 'franchise': 131_072}
# Mean demand as a share of all accelerators.
OFFERED_LOAD = 0.95
# Gangs of this size or larger count as large.
LARGE_GANG_ACCELERATORS = 16
# Means of the distributions that `_make_workload` draws from.
MEAN_JOB_ACCELERATORS = 4.95
MEAN_JOB_RUN_MS = 1_070_000
# Full size: the largest cluster that is measured.
FULL_WORKERS = 6100
FULL_ACCELERATORS = 7300
FULL_TASKS = 90_000


def _apply_customers(simulation: fake_placement.FakePlacement) -> None:
    simulation.apply(
        *(builders.customer(name, weight=w) for name, w in CUSTOMER_WEIGHTS),
        *(
            builders.guarantee(
                f'{name}-share',
                customer=name,
                accelerators=16,
                count=weight,
                adjacency='rack',
            )
            for name, weight in CUSTOMER_WEIGHTS
        ),
    )


def _make_workload(
    seed: int, hours: float
) -> list[tuple[int, str, dict[str, typing.Any], int]]:
    """Returns arrivals: time in ms, name, fields and real run time in ms."""
    rng = random.Random(seed)
    accelerators = CURRENT_WORKERS * 8
    arrivals = []
    at_ms = 0.0
    number = 0
    mean_job_work = MEAN_JOB_ACCELERATORS * MEAN_JOB_RUN_MS
    rate = OFFERED_LOAD * accelerators / mean_job_work
    while at_ms < hours * 3_600_000:
        # The arrival rate alternates every half hour: a lull, then a burst.
        rate_factor = 1.6 if int(at_ms / 1_800_000) % 2 else 0.4
        at_ms += rng.expovariate(rate * rate_factor)
        members, accelerators_each, adjacency = fake_placement.draw_job_shape(
            rng
        )
        run_ms = min(rng.lognormvariate(0, 1.3) * 390_000, 12_000_000)
        if rng.random() < 0.02:
            run_ms *= 10
        declared_ms = run_ms * rng.choice((0.3, 0.7, 1.0, 1.5, 3.0, 6.0))
        number += 1
        customer = rng.choices('abcd', (4, 2, 1, 1))[0]
        fields = {
            'customer': customer,
            'members': members,
            'accelerators': accelerators_each,
            'adjacency': adjacency,
            'run_time_ms': int(declared_ms),
            'checkpointable': True,
            'restartable': True,
        }
        arrivals.append((int(at_ms), f'j{number}', fields, int(run_ms)))
    return arrivals


def _simulate(
    policies: scheduler_module.Policies,
    seed: int,
    hours: float,
    deployment: str,
) -> fake_placement.FakePlacement:
    simulation = fake_placement.FakePlacement(policies=policies)
    fake_placement.add_fleet(
        simulation,
        workers=CURRENT_WORKERS,
        memory_mb=WORKER_MEMORY_MB[deployment],
    )
    _apply_customers(simulation)
    start_ms = simulation.now_ms
    last_ms = 0
    for at_ms, name, fields, run_ms in _make_workload(seed, hours):
        last_ms = start_ms + at_ms
        simulation.at(
            last_ms, _make_submission(simulation, name, fields, run_ms)
        )
    fake_placement.MAX_ROUND_INTERVAL_MS = 15_000
    for at_ms in range(start_ms, last_ms, 60_000):
        simulation.at(at_ms, simulation.record_fragmentation)
    simulation.run_until(last_ms)
    end_ms = last_ms
    while any(r.finished_ms is None for r in simulation.records.values()):
        end_ms += 3_600_000
        simulation.run_until(end_ms)
        if end_ms > last_ms + 400 * 3_600_000:
            break
    return simulation


def _make_submission(
    simulation: fake_placement.FakePlacement,
    name: str,
    fields: dict[str, typing.Any],
    run_ms: int,
) -> collections.abc.Callable[[], None]:
    return lambda: simulation.submit(
        builders.job(name, **fields), run_ms=run_ms
    )


def _completion_times_ms(
    records: collections.abc.Iterable[Record],
) -> list[float]:
    return [
        float(r.finished_ms - r.submitted_ms)
        for r in records
        if r.finished_ms is not None
    ]


def _mean_large_gang_wait_ms(
    records: collections.abc.Iterable[Record],
) -> float:
    waits = [
        float(r.started_ms - r.submitted_ms)
        for r in records
        if r.accelerators >= LARGE_GANG_ACCELERATORS
        and r.started_ms is not None
    ]
    return statistics.mean(waits) if waits else 0.0


def _mean_fragmentation(simulation: fake_placement.FakePlacement) -> float:
    """Returns the mean number of free accelerators unusable by gangs.

    Sums those that no gang of 8 on one worker can use and those that no gang
    of 16 in one rack can use.
    """
    return statistics.mean(
        sample[1] + sample[2] for sample in simulation.fragmentation
    )


def measure_quality(hours: float, seeds: int) -> dict[str, float]:
    """Compares the default policies with the baselines on both deployments."""
    totals: dict[str, dict[str, float]] = {}
    violations = partial_gang_count = unfinished = 0
    for deployment in WORKER_MEMORY_MB:
        for seed in range(1, seeds + 1):
            for name, policies in (
                ('ours', DEFAULT_POLICIES),
                ('fifo', FIFO_POLICIES),
                ('backfill', BACKFILL_POLICIES),
            ):
                simulation = _simulate(policies, seed, hours, deployment)
                times = _completion_times_ms(simulation.records.values())
                metrics = totals.setdefault(name, {})
                for key, value in (
                    ('mean', statistics.mean(times)),
                    ('p95', load.percentile(times, 0.95)),
                    (
                        'large',
                        _mean_large_gang_wait_ms(simulation.records.values()),
                    ),
                    ('fragmentation', _mean_fragmentation(simulation)),
                ):
                    metrics[key] = metrics.get(key, 0.0) + value
                if name == 'ours':
                    violations += simulation.violations
                    partial_gang_count += simulation.partial_gangs
                    unfinished += len(simulation.records) - len(times)
    print(
        {n: {k: round(v, 3) for k, v in s.items()} for n, s in totals.items()}
    )
    result: dict[str, float] = {}
    for baseline in ('fifo', 'backfill'):
        suffix = '' if baseline == 'fifo' else '_to_backfill'
        for key, name in (
            ('mean', 'mean_completion_ratio'),
            ('p95', 'p95_completion_ratio'),
            ('large', 'large_gang_wait_ratio'),
            ('fragmentation', 'fragmentation_ratio'),
        ):
            ratio = totals['ours'][key] / max(totals[baseline][key], 1e-9)
            result[name + suffix] = round(ratio, 3)
    return result | {
        'guarantee_violations': violations,
        'partial_gangs': partial_gang_count,
        'unfinished': unfinished,
    }


def measure_urgent() -> float:
    """Returns the longest wait in seconds of an urgent job.

    Jobs of the other customers use and borrow the whole cluster. A job that
    has not started waits at least 60 s.
    """
    longest = 0.0
    for seed in range(5):
        fake_placement.MAX_ROUND_INTERVAL_MS = 500
        rng = random.Random(seed)
        simulation = fake_placement.FakePlacement()
        fake_placement.add_fleet(simulation, workers=CURRENT_WORKERS)
        _apply_customers(simulation)
        for number in range(60):
            simulation.submit(
                builders.job(
                    f'fill{number}',
                    customer=rng.choice('bcd'),
                    members=rng.choice((4, 8)),
                    checkpointable=True,
                ),
                run_ms=3_600_000,
            )
        simulation.run_until(simulation.now_ms + 10_000)
        for number in range(6):
            simulation.submit(
                builders.job(
                    f'urgent{number}',
                    customer='a',
                    members=8,
                    adjacency='rack',
                    urgent=True,
                    checkpointable=True,
                ),
                run_ms=60_000,
            )
            simulation.run_until(simulation.now_ms + 8000)
        for name, record in simulation.records.items():
            if name.startswith('urgent'):
                started_ms = record.started_ms or simulation.now_ms + 60_000
                waited_s = (started_ms - record.submitted_ms) / 1000
                longest = max(longest, waited_s)
    return longest


def rss_mb() -> float:
    """Returns the resident memory of this process in MiB."""
    for line in pathlib.Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def build_full(workers: int) -> fake_placement.FakePlacement:
    """Returns a cluster of `workers` with load in proportion to full size."""
    scale = workers / FULL_WORKERS
    simulation = fake_placement.FakePlacement(check=False)
    accelerator_workers = max(int(FULL_ACCELERATORS * scale / 8), 2)
    fake_placement.add_fleet(
        simulation, workers=accelerator_workers, accelerators=8, processors=128
    )
    simulation.register(
        *(
            builders.stored(
                'workers',
                f'p{number}',
                zone=f'z{number % 8}',
                rack=f'p{number // 16}',
                accelerators=0,
                processors=64,
                memory_mb=262_144,
                own_labels={},
            )
            for number in range(max(workers - accelerator_workers, 0))
        )
    )
    customer_count = max(int(200 * scale), 2)
    simulation.apply(
        *(builders.customer(f't{n}') for n in range(customer_count))
    )
    guarantee_shapes = max(
        int(accelerator_workers * 8 * 0.5 / customer_count / 8), 1
    )
    simulation.apply(
        *(
            builders.guarantee(
                f'g{n}',
                customer=f't{n}',
                accelerators=8,
                count=guarantee_shapes,
            )
            for n in range(customer_count)
        )
    )
    _place_borrowing_jobs(
        simulation,
        customer_count,
        accelerator_workers,
        int(FULL_TASKS * scale),
    )
    return simulation


def _place_borrowing_jobs(
    simulation: fake_placement.FakePlacement,
    customer_count: int,
    accelerator_workers: int,
    tasks: int,
) -> None:
    """Places borrowing jobs without decisions of the scheduler.

    Only the presence of the jobs matters to the measurements.
    """
    rng = random.Random(3)
    workers = len(simulation.state.of_kind(7))
    number = 0
    remaining_accelerators = int(accelerator_workers * 8 * 0.6)
    next_worker = 0
    while tasks > 0:
        members = rng.choice((4, 8, 16, 32))
        accelerators_each = 1 if remaining_accelerators > 0 else 0
        remaining_accelerators -= members
        tasks -= members
        worker_count = accelerator_workers if accelerators_each else workers
        chosen = [
            (next_worker + n // 4) % worker_count for n in range(members)
        ]
        next_worker = (next_worker + members // 4) % worker_count
        simulation.place_directly(
            builders.job(
                f'fill{number}',
                customer=f't{rng.randrange(customer_count)}',
                members=members,
                accelerators=accelerators_each,
                processors=1,
                memory_mb=512,
                checkpointable=True,
                run_time_ms=36_000_000,
            ),
            chosen,
        )
        number += 1


def time_decisions(
    simulation: fake_placement.FakePlacement, members: int, count: int
) -> list[float]:
    """Returns the seconds of each round that places one gang.

    Args:
        simulation: Cluster that the gangs are submitted to.
        members: Members of a gang.
        count: Number of gangs.
    """
    durations_s = []
    customer_count = len(simulation.state.of_kind(1))
    for number in range(count):
        name = f'gang{members}-{number}'
        simulation.submit(
            builders.job(
                name,
                customer=f't{number % customer_count}',
                members=members,
                processors=1,
                memory_mb=256,
                restartable=True,
                adjacency='zone' if number % 2 else 'any',
            ),
            run_ms=1000,
        )
        simulation.round()
        durations_s.append(simulation.decide_s[-1])
        simulation.run_until(simulation.now_ms + 3000)
    return durations_s


def measure_full(count: int) -> dict[str, float]:
    """Measures decision times and memory at full size."""
    gc.collect()
    before_mb = rss_mb()
    simulation = build_full(FULL_WORKERS)
    simulation.round()
    takeover_ms = simulation.decide_s[-1] * 1000
    gc.collect()
    state_mb = rss_mb() - before_mb
    placed_tasks = sum(
        len(a.workers) for a in simulation.scheduler.ledger.allotments.values()
    )
    times = time_decisions(simulation, 256, count)
    started_at = time.perf_counter()
    for _ in range(10):
        simulation.scheduler.ledger.witness.check()
    check_ms = (time.perf_counter() - started_at) * 100
    single_member_times = time_decisions(simulation, 1, count)
    return {
        'tasks_placed': placed_tasks,
        'takeover_ms': round(takeover_ms, 1),
        'gang256_decision_ms_p50': round(statistics.median(times) * 1000, 2),
        'gang256_decision_ms_p99': round(max(times) * 1000, 2),
        'decisions_per_s': round(1 / statistics.mean(single_member_times), 1),
        'state_mb': round(state_mb, 1),
        'witness_check_ms': round(check_ms, 2),
    }


def measure_scaling() -> dict[str, float]:
    """Returns the median milliseconds of a decision by number of workers."""
    decision_ms_by_workers = {}
    for workers in (24, 240, 1200):
        simulation = build_full(workers)
        times = time_decisions(simulation, 8, 10)
        decision_ms_by_workers[str(workers)] = round(
            statistics.median(times) * 1000, 3
        )
    return decision_ms_by_workers


def main() -> None:
    """Runs all measurements and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    options = parser.parse_args()
    figures: dict[str, typing.Any] = measure_full(20 if options.quick else 60)
    decision_ms_by_workers = measure_scaling()
    decision_ms_by_workers[str(FULL_WORKERS)] = figures[
        'gang256_decision_ms_p50'
    ]
    figures['decision_ms_by_workers'] = decision_ms_by_workers
    figures['urgent_start_s_max'] = measure_urgent()
    hours, seeds = (8, 1) if options.quick else (24, 3)
    figures |= measure_quality(hours, seeds)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
