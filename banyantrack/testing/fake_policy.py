"""Stand-in of the platform's policy service, written from its pages.

It handles one call at a time and takes time for each worker that is named.
"""

from __future__ import annotations

import json
import typing

import curio

from banyantrack.platform import wire
from banyantrack.transport import http_server

if typing.TYPE_CHECKING:
    import collections.abc

DECISION_S = 0.02
PER_WORKER_S = 0.005


class FakePolicy:
    """A policy service that approves some workers.

    Args:
        address: `IP:PORT`.
        approved: Workers that may run every step.
    """

    def __init__(
        self, address: str, approved: collections.abc.Container[str]
    ) -> None:
        self.address = address
        # Steps and workers of each call.
        self.calls: list[tuple[str, list[str]]] = []
        self._approved = approved
        self._busy = curio.Lock()
        self._server = http_server.HttpServer(address, self._serve)

    @staticmethod
    def ticket(step: str, worker: str) -> str:
        """Returns the ticket of a step on a worker."""
        return f'{step}@{worker}'

    async def open(self) -> None:
        """Starts to serve."""
        await self._server.start()

    async def close(self) -> None:
        """Ends."""
        await self._server.close()

    async def _serve(self, request: http_server.Request) -> None:
        body = json.loads(await request.read_body(65536))
        step, workers = body['step'], body['workers']
        async with self._busy:
            await curio.sleep(DECISION_S + PER_WORKER_S * len(workers))
        self.calls.append((step, workers))
        rows = [
            [worker, self.ticket(step, worker)]
            for worker in workers
            if worker in self._approved
        ]
        await request.respond(
            200, wire.JSON_TYPE, wire.encode({'approved': rows})
        )
