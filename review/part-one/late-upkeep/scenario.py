"""A killed leader's call to begin an upkeep is carried out late."""

from __future__ import annotations

import json
import time

import curio
import harness

from banyantrack.platform import wire
from banyantrack.transport import http_server

# The pages have such calls carried out 2 to 12 s later.
LATE_S = 2.2
MAXIMUM = 1
TASK_MS = 20_000


class Machines:
    """The platform's service for machines, with fences for each machine."""

    def __init__(self, deployment: harness.Deployment) -> None:
        self._record = deployment.record
        self._executors = {f'm-{e.name}': e for e in deployment.executors}
        self._highest: dict[str, int] = {}
        self._begun: set[str] = set()
        self.down: set[str] = set()
        self.late = False
        # Machines whose call was left without an answer.
        self.unanswered: list[str] = []
        self.broken = ''
        self._server = http_server.HttpServer(
            deployment.cloud_address, self._serve
        )

    async def open(self) -> None:
        """Starts to serve."""
        await self._server.start()

    async def close(self) -> None:
        """Stops."""
        await self._server.close()

    async def _serve(self, request: http_server.Request) -> None:
        body = json.loads(await request.read_body(65536) or b'{}')
        machine = body.get('machine', '')
        holder = request.header(b'lease-holder')
        token = int(request.header(b'fencing-token') or 0)
        if request.path != '/v1/machine-upkeep':
            await request.respond(400, wire.JSON_TYPE, b'{}')
            return
        if self.late:
            self._record.add(
                f'machines: upkeep of {machine} by {holder} token {token}:'
                f' no answer, carried out {LATE_S} s later'
            )
            self.unanswered.append(machine)
            await curio.sleep(LATE_S)
            await self._carry_out(machine, holder, token)
            await request.connection.close()
            return
        status, reason = await self._carry_out(machine, holder, token)
        values = {'reason': reason} if reason else {}
        await request.respond(status, wire.JSON_TYPE, wire.encode(values))

    async def _carry_out(
        self, machine: str, holder: str, token: int
    ) -> tuple[int, str]:
        status, reason = self._check(machine, token)
        self._record.add(
            f'machines: upkeep of {machine} by {holder} token {token}:'
            f' {status} {reason}'
        )
        if status == 200 and machine not in self._begun:
            if len(self.down) >= MAXIMUM:
                self.broken = (
                    f'the upkeep of {machine} begins while {self.down} is'
                    f' down; the maximum is {MAXIMUM}'
                )
                self._record.add(self.broken)
            self._begun.add(machine)
            self.down.add(machine)
            await curio.spawn(self._perform, machine, daemon=True)
        return status, reason

    def _check(self, machine: str, token: int) -> tuple[int, str]:
        if machine not in self._executors:
            return 400, ''
        if token < self._highest.get(machine, 0):
            return 409, 'fence'
        self._highest[machine] = token
        if machine in self._begun:
            return 200, ''
        if not self._executors[machine].up:
            return 409, 'busy'
        return 200, ''

    async def _perform(self, machine: str) -> None:
        executor = self._executors[machine]
        await executor.crash()
        await curio.sleep(harness.BOUNDS['maintenanceS'])
        executor.reset()
        await executor.open()
        self.down.discard(machine)
        self._record.add(f'machines: {machine} is back')


async def scenario(deployment: harness.Deployment) -> str:
    """Returns what broke the rule; empty if it held."""
    record = deployment.record
    for number, executor in enumerate(deployment.executors):
        executor.set_rack(f'r1-{number + 1}')
    machines = Machines(deployment)
    await machines.open()
    try:
        await deployment.start_all()
        first, second = deployment.executors[:2]
        machines.late = harness.TROUBLE
        status, _, _ = await deployment.operator(
            'POST',
            '/v1/wave-start',
            {
                'wave': 1,
                'machines': [f'm-{first.name}', f'm-{second.name}'],
                'durationS': 30,
                'maximum': MAXIMUM,
            },
        )
        if status != 200:
            raise harness.NotRunError(f'wave: {status}')
        if harness.TROUBLE:

            async def called() -> bool:
                return bool(machines.unanswered)

            await harness.wait_for(called, 5, 'a call to begin an upkeep')
        path = '/usual/00c0ffee00c0ffee'
        status = await deployment.submit(
            path,
            harness.make_step(requiredLabel='r1-1'),
            spec={'ms': TASK_MS},
        )
        if status != 200:
            raise harness.NotRunError(f'{path}: {status}')
        await curio.sleep(0.3)
        if harness.TROUBLE:
            leader = await deployment.find_leader()
            if leader is None:
                raise harness.NotRunError('no leader')
            leader.kill()
            record.add(f'{leader.name} is killed')
            machines.late = False
        deadline_s = time.monotonic() + 25
        while time.monotonic() < deadline_s and not machines.broken:
            status, values, _ = await deployment.operator(
                'GET', '/v1/wave-get/1', limit_s=5
            )
            if values.get('state') == 'completed':
                break
            await curio.sleep(1.0)
        return machines.broken
    finally:
        await machines.close()


harness.main(scenario, entries=1, executors=4)
