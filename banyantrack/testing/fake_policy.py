"""Stand-in for the platform's policy service, after its documentation.

It handles one call at a time; the duration of a call grows with its number
of workers.
"""

from __future__ import annotations

import json
import typing

import curio

from banyantrack.platform import wire
from banyantrack.transport import http_server

if typing.TYPE_CHECKING:
    import collections.abc

DECISION_DURATION_S = 0.02
DURATION_PER_WORKER_S = 0.005


class FakePolicy:
    """A policy service that approves the same workers for every step.

    Args:
        address: `IP:PORT` to listen on.
        approved: Names of the approved workers.

    Attributes:
        calls: Step and workers of each call.
    """

    def __init__(
        self, address: str, approved: collections.abc.Container[str]
    ) -> None:
        self.address = address
        self.calls: list[tuple[str, list[str]]] = []
        self._approved = approved
        self._lock = curio.Lock()
        self._server = http_server.HttpServer(address, self._serve)

    @staticmethod
    def ticket(step: str, worker: str) -> str:
        """Returns the ticket of a step on a worker."""
        return f'{step}@{worker}'

    async def open(self) -> None:
        """Starts to serve."""
        await self._server.start()

    async def close(self) -> None:
        """Stops."""
        await self._server.close()

    async def _serve(self, request: http_server.Request) -> None:
        body = json.loads(await request.read_body(65536))
        step, workers = body['step'], body['workers']
        async with self._lock:
            await curio.sleep(
                DECISION_DURATION_S + DURATION_PER_WORKER_S * len(workers)
            )
        self.calls.append((step, workers))
        rows = [
            [worker, self.ticket(step, worker)]
            for worker in workers
            if worker in self._approved
        ]
        await request.respond(
            200, wire.JSON_TYPE, wire.encode({'approved': rows})
        )
