"""Measures the service of jobs under load on simulated workers.

Compares versions of the planner without running daemons; the same seeds give
the same figures. The last line of output is one JSON object.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import multiprocessing
import statistics

from banyantrack.testing import job_decisions
from banyantrack.testing import job_model
from banyantrack.workload import durations

# Multiples of the usual load of a site.
LOAD_FACTORS = (1.0, 2.0, 3.0)
# Simulated seconds with arrivals.
ARRIVALS_S = 40.0


def _simulate(case: tuple[str, str, float, int, str]) -> job_model.Verdict:
    site, decision, load_factor, seed, forecasts = case
    simulation = job_model.Simulation(
        job_model.SITES[site],
        seed,
        load=load_factor,
        length_s=ARRIVALS_S,
        forecasts=forecasts,
        decision=decision,
    )
    return simulation.run()


def _mean_figures(verdicts: list[job_model.Verdict]) -> dict[str, object]:
    rows = [dataclasses.asdict(verdict) for verdict in verdicts]
    means: dict[str, object] = {}
    for key in rows[0]:
        if key == 'in_time':
            queues = {queue for row in rows for queue in row[key]}
            means[key] = {
                queue: round(
                    statistics.fmean(
                        row[key][queue] for row in rows if queue in row[key]
                    ),
                    3,
                )
                for queue in sorted(queues)
            }
        else:
            means[key] = round(statistics.fmean(r[key] for r in rows), 4)
    return means


def main(arguments: list[str] | None = None) -> None:
    """Runs the simulations and prints the mean figures of each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    parser.add_argument(
        '--sites', nargs='+', default=['exchange', 'franchise']
    )
    parser.add_argument(
        '--contended',
        nargs='*',
        default=['contended-small'],
        help='sites on which all decisions are compared above capacity',
    )
    parser.add_argument(
        '--decisions', nargs='+', default=list(job_decisions.DECISIONS)
    )
    parser.add_argument('--seeds', type=int, default=12)
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument(
        '--forecasts', choices=list(durations.MODELS), default='off'
    )
    options = parser.parse_args(arguments)
    seeds = 4 if options.quick else options.seeds
    compared = [
        (site, 'least-loss', load_factor)
        for site in options.sites
        for load_factor in LOAD_FACTORS
    ]
    compared += [
        (site, decision, job_model.CONTENDED_LOAD)
        for site in options.contended
        for decision in options.decisions
    ]
    cases = [
        (*case, seed, options.forecasts)
        for case in compared
        for seed in range(seeds)
    ]
    with multiprocessing.Pool(options.jobs) as pool:
        verdicts = pool.map(_simulate, cases, chunksize=1)
    result = {}
    for site, decision, load_factor in compared:
        selected = [
            verdict
            for case, verdict in zip(cases, verdicts, strict=True)
            if case[:3] == (site, decision, load_factor)
        ]
        label = f'{site} x{load_factor}'
        if site in options.contended:
            label = f'{site} {decision}'
        result[label] = _mean_figures(selected)
    for label, figures in result.items():
        print(label, figures)
    print(json.dumps(result))


if __name__ == '__main__':
    main()
