"""Stand-in for the platform's machines service, after its documentation.

Upkeep of a machine ends all its runs at once; its executor starts again
after a delay as a new incarnation. Each machine has its own fencing token.
"""

from __future__ import annotations

import json
import typing

import curio

from banyantrack.platform import wire
from banyantrack.transport import http_server

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.testing import fake_executor

UPKEEP_DURATION_S = 0.5


class FakeMachines:
    """Performs upkeep of the machines of the given executors.

    Args:
        address: `IP:PORT` to listen on.
        executors: One for each machine; the name of the machine is `m-` and
            the name of its executor.

    Attributes:
        errors: Number of the next calls that it answers with 500 and does not
            carry out.
        upkeep_order: Machines in the order of their upkeep.
        max_in_upkeep: Largest number of machines in upkeep at once.
        cut: Tasks that an upkeep has ended.
    """

    def __init__(
        self,
        address: str,
        executors: collections.abc.Iterable[fake_executor.FakeExecutor],
    ) -> None:
        self.address = address
        self.errors = 0
        self.upkeep_order: list[str] = []
        self.max_in_upkeep = 0
        self.cut: list[str] = []
        self._down: set[str] = set()
        self._highest_tokens: dict[str, int] = {}
        self._executors = {f'm-{e.name}': e for e in executors}
        self._server = http_server.HttpServer(address, self._serve)

    async def open(self) -> None:
        """Starts to serve."""
        await self._server.start()

    async def close(self) -> None:
        """Stops."""
        await self._server.close()

    async def _serve(self, request: http_server.Request) -> None:
        body = json.loads(await request.read_body(65536))
        machine = body['machine']
        if self.errors:
            self.errors -= 1
            await request.respond(500, wire.JSON_TYPE, b'{}')
            return
        token = int(request.header(b'fencing-token') or 0)
        if machine not in self._executors:
            await request.respond(400, wire.JSON_TYPE, b'{}')
            return
        if token < self._highest_tokens.get(machine, 0):
            reason = {'reason': 'fence'}
            await request.respond(409, wire.JSON_TYPE, wire.encode(reason))
            return
        self._highest_tokens[machine] = token
        if machine not in self.upkeep_order:
            self.upkeep_order.append(machine)
            await curio.spawn(self._perform_upkeep, machine, daemon=True)
        await request.respond(200, wire.JSON_TYPE, b'{}')

    async def _perform_upkeep(self, machine: str) -> None:
        self._down.add(machine)
        self.max_in_upkeep = max(self.max_in_upkeep, len(self._down))
        executor = self._executors[machine]
        self.cut += executor.running
        await executor.crash()
        await curio.sleep(UPKEEP_DURATION_S)
        await executor.restart()
        self._down.discard(machine)
