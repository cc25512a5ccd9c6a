"""Placement: decision time at full size, and quality against baselines.

The last line is one JSON object. Ratios compare runs on the same seeds in
this process; the baselines are first-fit in order of submission, with and
without backfill.
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
OURS = scheduler_module.Policies()
FIFO = scheduler_module.Policies(
    score='first-fit',
    victims='newest',
    queue='fifo',
    backfill=False,
    consolidate=False,
)
BACKFILL = scheduler_module.Policies(
    score='first-fit',
    victims='newest',
    queue='fifo',
    backfill=True,
    consolidate=False,
)
CUSTOMERS = (('a', 4), ('b', 2), ('c', 1), ('d', 1))
WORKERS_TODAY = 24
MEMORY_MB = {'exchange': 262_144, 'franchise': 131_072}
LOAD = 0.95
LARGE = 16
# Means of what the workload draws.
MEAN_ACCELERATORS = 4.95
MEAN_RUN_MS = 1_070_000
FULL_WORKERS = 6100
FULL_ACCELERATORS = 7300
FULL_TASKS = 90_000


def _customers(target: fake_placement.FakePlacement) -> None:
    target.apply(
        *(builders.customer(name, weight=w) for name, w in CUSTOMERS),
        *(
            builders.guarantee(
                f'{name}-share',
                customer=name,
                accelerators=16,
                count=weight,
                adjacency='rack',
            )
            for name, weight in CUSTOMERS
        ),
    )


def _workload(
    seed: int, hours: float
) -> list[tuple[int, str, dict[str, typing.Any], int]]:
    """Returns arrivals: time, name, fields and real run time."""
    rng = random.Random(seed)
    accelerators = WORKERS_TODAY * 8
    found = []
    at_ms = 0.0
    number = 0
    mean_work = MEAN_ACCELERATORS * MEAN_RUN_MS
    rate = LOAD * accelerators / mean_work
    while at_ms < hours * 3_600_000:
        # Demand swings: bursts of small jobs and of large ones.
        swing = 1.6 if int(at_ms / 1_800_000) % 2 else 0.4
        at_ms += rng.expovariate(rate * swing)
        members, each, adjacency = fake_placement.draw_job_shape(rng)
        run_ms = min(rng.lognormvariate(0, 1.3) * 390_000, 12_000_000)
        if rng.random() < 0.02:
            run_ms *= 10
        declared_ms = run_ms * rng.choice((0.3, 0.7, 1.0, 1.5, 3.0, 6.0))
        number += 1
        name = rng.choices('abcd', (4, 2, 1, 1))[0]
        fields = {
            'customer': name,
            'members': members,
            'accelerators': each,
            'adjacency': adjacency,
            'run_time_ms': int(declared_ms),
            'checkpointable': True,
            'restartable': True,
        }
        found.append((int(at_ms), f'j{number}', fields, int(run_ms)))
    return found


def _run(
    policies: scheduler_module.Policies, seed: int, hours: float, user: str
) -> fake_placement.FakePlacement:
    target = fake_placement.FakePlacement(policies=policies)
    fake_placement.add_fleet(
        target, workers=WORKERS_TODAY, memory_mb=MEMORY_MB[user]
    )
    _customers(target)
    start_ms = target.now_ms
    last_ms = 0
    for at_ms, name, fields, run_ms in _workload(seed, hours):
        last_ms = start_ms + at_ms
        target.at(last_ms, _submitter(target, name, fields, run_ms))
    fake_placement.MAX_ROUND_INTERVAL_MS = 15_000
    for at_ms in range(start_ms, last_ms, 60_000):
        target.at(at_ms, target.record_fragmentation)
    target.run_until(last_ms)
    end_ms = last_ms
    while any(r.finished_ms is None for r in target.records.values()):
        end_ms += 3_600_000
        target.run_until(end_ms)
        if end_ms > last_ms + 400 * 3_600_000:
            break
    return target


def _submitter(
    target: fake_placement.FakePlacement,
    name: str,
    fields: dict[str, typing.Any],
    run_ms: int,
) -> collections.abc.Callable[[], None]:
    return lambda: target.submit(builders.job(name, **fields), run_ms=run_ms)


def _completion(records: collections.abc.Iterable[Record]) -> list[float]:
    return [
        float(r.finished_ms - r.submitted_ms)
        for r in records
        if r.finished_ms is not None
    ]


def _large_wait(records: collections.abc.Iterable[Record]) -> float:
    waits = [
        float(r.started_ms - r.submitted_ms)
        for r in records
        if r.accelerators >= LARGE and r.started_ms is not None
    ]
    return statistics.mean(waits) if waits else 0.0


def _fragmentation(target: fake_placement.FakePlacement) -> float:
    """Returns free accelerators that no adjacent gang can use, on average.

    A gang of 8 is adjacent on a worker, one of 16 in a rack.
    """
    return statistics.mean(
        found[1] + found[2] for found in target.fragmentation
    )


def measure_quality(hours: float, seeds: int) -> dict[str, float]:
    """Compares our policies with the baselines at both users' sizes."""
    sums: dict[str, dict[str, float]] = {}
    violations = partial = unfinished = 0
    for user in MEMORY_MB:
        for seed in range(1, seeds + 1):
            for name, policies in (
                ('ours', OURS),
                ('fifo', FIFO),
                ('backfill', BACKFILL),
            ):
                target = _run(policies, seed, hours, user)
                times = _completion(target.records.values())
                found = sums.setdefault(name, {})
                for key, value in (
                    ('mean', statistics.mean(times)),
                    ('p95', load.percentile(times, 0.95)),
                    ('large', _large_wait(target.records.values())),
                    ('fragmentation', _fragmentation(target)),
                ):
                    found[key] = found.get(key, 0.0) + value
                if name == 'ours':
                    violations += target.violations
                    partial += target.partial_gangs
                    unfinished += len(target.records) - len(times)
    print({n: {k: round(v, 3) for k, v in s.items()} for n, s in sums.items()})
    result: dict[str, float] = {}
    for base in ('fifo', 'backfill'):
        mark = '' if base == 'fifo' else '_to_backfill'
        for key, name in (
            ('mean', 'mean_completion_ratio'),
            ('p95', 'p95_completion_ratio'),
            ('large', 'large_gang_wait_ratio'),
            ('fragmentation', 'fragmentation_ratio'),
        ):
            ratio = sums['ours'][key] / max(sums[base][key], 1e-9)
            result[name + mark] = round(ratio, 3)
    return result | {
        'guarantee_violations': violations,
        'partial_gangs': partial,
        'unfinished': unfinished,
    }


def measure_urgent() -> float:
    """Returns the longest wait of urgent work among borrowers."""
    longest = 0.0
    for seed in range(5):
        fake_placement.MAX_ROUND_INTERVAL_MS = 500
        rng = random.Random(seed)
        target = fake_placement.FakePlacement()
        fake_placement.add_fleet(target, workers=WORKERS_TODAY)
        _customers(target)
        for number in range(60):
            target.submit(
                builders.job(
                    f'fill{number}',
                    customer=rng.choice('bcd'),
                    members=rng.choice((4, 8)),
                    checkpointable=True,
                ),
                run_ms=3_600_000,
            )
        target.run_until(target.now_ms + 10_000)
        for number in range(6):
            target.submit(
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
            target.run_until(target.now_ms + 8000)
        for name, record in target.records.items():
            if name.startswith('urgent'):
                started_ms = record.started_ms or target.now_ms + 60_000
                waited_s = (started_ms - record.submitted_ms) / 1000
                longest = max(longest, waited_s)
    return longest


def rss_mb() -> float:
    """Returns the resident memory of this process."""
    for line in pathlib.Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def build_full(workers: int) -> fake_placement.FakePlacement:
    """Returns a fleet of some size, filled in proportion to full size."""
    scale = workers / FULL_WORKERS
    target = fake_placement.FakePlacement(check=False)
    carriers = max(int(FULL_ACCELERATORS * scale / 8), 2)
    fake_placement.add_fleet(
        target, workers=carriers, accelerators=8, processors=128
    )
    target.register(
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
            for number in range(max(workers - carriers, 0))
        )
    )
    teams = max(int(200 * scale), 2)
    target.apply(*(builders.customer(f't{n}') for n in range(teams)))
    half = max(int(carriers * 8 * 0.5 / teams / 8), 1)
    target.apply(
        *(
            builders.guarantee(
                f'g{n}', customer=f't{n}', accelerators=8, count=half
            )
            for n in range(teams)
        )
    )
    _fill(target, teams, carriers, int(FULL_TASKS * scale))
    return target


def _fill(
    target: fake_placement.FakePlacement,
    teams: int,
    carriers: int,
    tasks: int,
) -> None:
    """Places borrowed work directly, since only its presence matters."""
    rng = random.Random(3)
    workers = len(target.state.of_kind(7))
    number = 0
    accelerators = int(carriers * 8 * 0.6)
    next_worker = 0
    while tasks > 0:
        members = rng.choice((4, 8, 16, 32))
        each = 1 if accelerators > 0 else 0
        accelerators -= members
        tasks -= members
        span = carriers if each else workers
        chosen = [(next_worker + n // 4) % span for n in range(members)]
        next_worker = (next_worker + members // 4) % span
        target.place_directly(
            builders.job(
                f'fill{number}',
                customer=f't{rng.randrange(teams)}',
                members=members,
                accelerators=each,
                processors=1,
                memory_mb=512,
                checkpointable=True,
                run_time_ms=36_000_000,
            ),
            chosen,
        )
        number += 1


def time_decisions(
    target: fake_placement.FakePlacement, members: int, count: int
) -> list[float]:
    """Returns seconds of rounds that each place one gang."""
    found = []
    teams = len(target.state.of_kind(1))
    for number in range(count):
        name = f'gang{members}-{number}'
        target.submit(
            builders.job(
                name,
                customer=f't{number % teams}',
                members=members,
                processors=1,
                memory_mb=256,
                restartable=True,
                adjacency='zone' if number % 2 else 'any',
            ),
            run_ms=1000,
        )
        target.round()
        found.append(target.decide_s[-1])
        target.run_until(target.now_ms + 3000)
    return found


def measure_full(count: int) -> dict[str, float]:
    """Measures decisions at full size."""
    gc.collect()
    before_mb = rss_mb()
    target = build_full(FULL_WORKERS)
    target.round()
    takeover_ms = target.decide_s[-1] * 1000
    gc.collect()
    state_mb = rss_mb() - before_mb
    placed = sum(
        len(a.workers) for a in target.scheduler.ledger.allotments.values()
    )
    times = time_decisions(target, 256, count)
    started_at = time.perf_counter()
    for _ in range(10):
        target.scheduler.ledger.witness.check()
    check_ms = (time.perf_counter() - started_at) * 100
    small = time_decisions(target, 1, count)
    return {
        'tasks_placed': placed,
        'takeover_ms': round(takeover_ms, 1),
        'gang256_decision_ms_p50': round(statistics.median(times) * 1000, 2),
        'gang256_decision_ms_p99': round(max(times) * 1000, 2),
        'decisions_per_s': round(1 / statistics.mean(small), 1),
        'state_mb': round(state_mb, 1),
        'witness_check_ms': round(check_ms, 2),
    }


def measure_curve() -> dict[str, float]:
    """Returns milliseconds of a decision by number of workers."""
    curve = {}
    for workers in (24, 240, 1200):
        target = build_full(workers)
        times = time_decisions(target, 8, 10)
        curve[str(workers)] = round(statistics.median(times) * 1000, 3)
    return curve


def main() -> None:
    """Prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    options = parser.parse_args()
    figures: dict[str, typing.Any] = measure_full(20 if options.quick else 60)
    curve = measure_curve()
    curve[str(FULL_WORKERS)] = figures['gang256_decision_ms_p50']
    figures['decision_ms_by_workers'] = curve
    figures['urgent_start_s_max'] = measure_urgent()
    hours, seeds = (8, 1) if options.quick else (24, 3)
    figures |= measure_quality(hours, seeds)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
