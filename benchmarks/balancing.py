"""Balancers compared in virtual time: two of 24 backends are degraded.

One entry's real dispatcher decides; a backend runs at most its slots at
once and is slowed by a factor. The last line is one JSON object.
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

BACKENDS = 24
SLOTS = 8
MEAN_S = 0.3
SLOW_FACTOR = 4.0
SLOW = ('b0', 'b1')
LOADS = (0.5, 0.8)
SECONDS = 20.0
DEADLINE_MS = 3000
NAMES = ('least-expected-wait', 'superlinear', 'least-in-flight', 'random')


class _Head:
    """What the dispatcher looks at of an HTTP request."""

    headers: list[tuple[bytes, bytes]] = []
    method = 'GET'


class Run:
    """One balancer at one load."""

    def __init__(self, name: str, share: float, *, slotless: bool) -> None:
        model = documents.model('settings')
        settings = model.make('DispatchSettings', balancer=name)
        self._config = config_module.Config()
        route = builders.route('q', prefix='/q', deadline_ms=DEADLINE_MS)
        self._config.replace(1, [route])
        self._backends = backends_module.BackendTable(lapse_s=1e9)
        for number in range(BACKENDS):
            self._backends.announce(
                cluster.Announcement(
                    backend_id=f'b{number}',
                    incarnation=1,
                    address='',
                    zone='a',
                    labels={},
                    slots=SLOTS,
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
        self._share = share
        self._rng = random.Random(5)
        self._places = {
            b.backend_id: curio.Semaphore(SLOTS) for b in self._backends
        }
        self.latencies: list[float] = []
        self.refused = 0

    async def run(self) -> None:
        """Makes requests for a time."""
        rate = self._share * BACKENDS * SLOTS / MEAN_S
        end = time.monotonic() + SECONDS
        tasks = []
        while time.monotonic() < end:
            await curio.sleep(self._rng.expovariate(rate))
            tasks.append(await curio.spawn(self._request))
        for task in tasks:
            await task.join()

    async def _request(self) -> None:
        (route,) = self._dispatcher.routes
        request = requests_module.CallerRequest(route, _Head(), 'r', 'c')
        work_s = self._rng.gammavariate(4, MEAN_S / 4)
        try:
            target = await self._dispatcher.acquire(request)
        except dispatcher_module.RefusedError:
            self.refused += 1
            return
        backend_id = target.backend.backend_id
        started_at = time.monotonic()
        async with self._places[backend_id]:
            slow = SLOW_FACTOR if backend_id in SLOW else 1.0
            await curio.sleep(work_s * slow)
        self._dispatcher.record_run(
            request, target, time.monotonic() - started_at
        )
        await self._dispatcher.release(request, target)
        self.latencies.append(time.monotonic() - request.received_at)

    def prepare(self) -> None:
        """Takes over routes and backends."""
        self._dispatcher.refresh()


def measure(name: str, share: float) -> dict[str, float]:
    """Returns what one balancer gives at one load."""
    slotless = name in balancing.SLOTLESS

    async def main() -> Run:
        run = Run(name, share, slotless=slotless)
        run.prepare()
        await run.run()
        return run

    run = virtual.run(main)
    total = len(run.latencies) + run.refused
    late = sum(s * 1000 > DEADLINE_MS for s in run.latencies)
    return {
        'mean_ms': round(sum(run.latencies) / len(run.latencies) * 1000, 1),
        'p99_ms': round(load.percentile(run.latencies, 0.99) * 1000, 1),
        'late_share': round(late / total, 5),
        'refused_share': round(run.refused / total, 5),
    }


def main() -> None:
    """Prints the figures."""
    figures = {
        f'{name} at {share}': measure(name, share)
        for share in LOADS
        for name in NAMES
    }
    for name, found in figures.items():
        print(name, found)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
