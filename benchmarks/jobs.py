"""What callers get of jobs under load, on a model of workers.

Compares versions of the planner in seconds: the same seeded days give the
same figures. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import multiprocessing
import statistics

from banyantrack.testing import job_model

LOADS = (1.0, 2.0, 3.0)
LENGTH_S = 40.0


def _play(case: tuple[str, float, int]) -> job_model.Verdict:
    name, load, seed = case
    simulation = job_model.Simulation(
        job_model.SITES[name], seed, load=load, length_s=LENGTH_S
    )
    return simulation.run()


def _mean(verdicts: list[job_model.Verdict]) -> dict[str, object]:
    rows = [dataclasses.asdict(verdict) for verdict in verdicts]
    out: dict[str, object] = {}
    for key in rows[0]:
        if key == 'in_time':
            names = {name for row in rows for name in row[key]}
            out[key] = {
                name: round(
                    statistics.fmean(
                        row[key][name] for row in rows if name in row[key]
                    ),
                    3,
                )
                for name in sorted(names)
            }
        else:
            out[key] = round(statistics.fmean(r[key] for r in rows), 4)
    return out


def main(arguments: list[str] | None = None) -> None:
    """Plays the days and prints their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    parser.add_argument(
        '--sites', nargs='+', default=['exchange', 'franchise']
    )
    parser.add_argument('--seeds', type=int, default=12)
    parser.add_argument('--jobs', type=int, default=3)
    options = parser.parse_args(arguments)
    seeds = 4 if options.quick else options.seeds
    cases = [
        (name, load, seed)
        for name in options.sites
        for load in LOADS
        for seed in range(seeds)
    ]
    with multiprocessing.Pool(options.jobs) as pool:
        verdicts = pool.map(_play, cases, chunksize=1)
    result = {}
    for name in options.sites:
        for load in LOADS:
            of = [
                verdict
                for case, verdict in zip(cases, verdicts, strict=True)
                if case[:2] == (name, load)
            ]
            result[f'{name} x{load}'] = _mean(of)
    for label, figures in result.items():
        print(label, figures)
    print(json.dumps(result))


if __name__ == '__main__':
    main()
