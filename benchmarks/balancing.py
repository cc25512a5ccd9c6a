"""Compares balancers in virtual time while two of 24 backends are degraded.

The dispatcher of one entry sends requests to simulated backends. The last
line of output is one JSON object.
"""

from __future__ import annotations

import json
import random
import time

import curio

from banyantrack.core import documents
from banyantrack.dispatch import balancing
from banyantrack.dispatch import dispatcher as dispatcher_module
from banyantrack.dispatch import requests as requests_module
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.membership import backends as backends_module
from banyantrack.membership import config as config_module
from banyantrack.testing import builders
from banyantrack.testing import load
from banyantrack.testing import virtual

BACKEND_COUNT = 24
SLOTS_PER_BACKEND = 8
MEAN_WORK_S = 0.3
# Run time at a degraded backend, as a multiple of the run time elsewhere.
DEGRADED_RUN_TIME_FACTOR = 4.0
DEGRADED_BACKENDS = ('b0', 'b1')
# Arrival rates, as shares of the capacity without degraded backends.
OFFERED_LOADS = (0.5, 0.8)
# Virtual seconds with arrivals.
ARRIVALS_S = 20.0
DEADLINE_MS = 3000
BALANCERS = ('least-expected-wait', 'superlinear', 'least-in-flight', 'random')


class _RequestHead:
    """Attributes of an HTTP request that the dispatcher reads."""

    headers: list[tuple[bytes, bytes]] = []
    method = 'GET'


class Simulation:
    """Simulates one balancer at one load.

    Args:
        name: Name of the balancer.
        offered_load: Arrival rate as a share of the capacity.
        slotless: Whether the balancer ignores slots.

    Attributes:
        latencies: Latency of each answered request in seconds.
        refused: Number of refused requests.
    """

    def __init__(
        self, name: str, offered_load: float, *, slotless: bool
    ) -> None:
        model = documents.model('settings')
        settings = model.make('DispatchSettings', balancer=name)
        self._config = config_module.Config()
        route = builders.route('q', prefix='/q', deadline_ms=DEADLINE_MS)
        self._config.replace(1, [route])
        self._backends = backends_module.BackendTable(lapse_s=1e9)
        for number in range(BACKEND_COUNT):
            self._backends.announce(
                cluster.Announcement(
                    backend_id=f'b{number}',
                    incarnation=1,
                    address='',
                    zone='a',
                    labels={},
                    slots=SLOTS_PER_BACKEND,
                    state=cluster.BackendState.SERVING,
                )
            )
        self._dispatcher = dispatcher_module.Dispatcher(
            settings,
            self._backends,
            self._config,
            name='e',
            zone='a',
            rng=random.Random(1),
        )
        self._dispatcher._slotless = slotless
        self._offered_load = offered_load
        self._rng = random.Random(5)
        self._slots_by_backend = {
            b.backend_id: curio.Semaphore(SLOTS_PER_BACKEND)
            for b in self._backends
        }
        self.latencies: list[float] = []
        self.refused = 0

    async def run(self) -> None:
        """Makes requests for `ARRIVALS_S` and waits for their answers."""
        rate = (
            self._offered_load
            * BACKEND_COUNT
            * SLOTS_PER_BACKEND
            / MEAN_WORK_S
        )
        end = time.monotonic() + ARRIVALS_S
        tasks = []
        while time.monotonic() < end:
            await curio.sleep(self._rng.expovariate(rate))
            tasks.append(await curio.spawn(self._request))
        for task in tasks:
            await task.join()

    async def _request(self) -> None:
        (route,) = self._dispatcher.routes
        request = requests_module.CallerRequest(
            route, _RequestHead(), 'r', 'c'
        )
        work_s = self._rng.gammavariate(4, MEAN_WORK_S / 4)
        try:
            target = await self._dispatcher.acquire(request)
        except dispatcher_module.RefusedError:
            self.refused += 1
            return
        backend_id = target.backend.backend_id
        started_at = time.monotonic()
        async with self._slots_by_backend[backend_id]:
            factor = (
                DEGRADED_RUN_TIME_FACTOR
                if backend_id in DEGRADED_BACKENDS
                else 1.0
            )
            await curio.sleep(work_s * factor)
        self._dispatcher.record_run(
            request, target, time.monotonic() - started_at
        )
        await self._dispatcher.release(request, target)
        self.latencies.append(time.monotonic() - request.received_at)

    def prepare(self) -> None:
        """Applies the routes and backends to the dispatcher."""
        self._dispatcher.refresh()


def measure(name: str, offered_load: float) -> dict[str, float]:
    """Returns latencies and refusals of one balancer at one load."""
    slotless = name in balancing.SLOTLESS

    async def main() -> Simulation:
        simulation = Simulation(name, offered_load, slotless=slotless)
        simulation.prepare()
        await simulation.run()
        return simulation

    simulation = virtual.run(main)
    request_count = len(simulation.latencies) + simulation.refused
    late_count = sum(s * 1000 > DEADLINE_MS for s in simulation.latencies)
    return {
        'mean_ms': round(
            sum(simulation.latencies) / len(simulation.latencies) * 1000, 1
        ),
        'p99_ms': round(load.percentile(simulation.latencies, 0.99) * 1000, 1),
        'late_share': round(late_count / request_count, 5),
        'refused_share': round(simulation.refused / request_count, 5),
    }


def main() -> None:
    """Prints the figures of each balancer at each load."""
    figures = {
        f'{name} at {offered_load}': measure(name, offered_load)
        for offered_load in OFFERED_LOADS
        for name in BALANCERS
    }
    for name, row in figures.items():
        print(name, row)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
