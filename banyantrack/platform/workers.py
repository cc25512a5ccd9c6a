"""Orders to executors and calls to the platform's services."""

from __future__ import annotations

import typing

from banyantrack.core import findings
from banyantrack.generated.workload import ttypes
from banyantrack.platform import wire
from banyantrack.transport import http_client
from banyantrack.workload import layout
from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    from banyantrack.generated.settings import ttypes as settings

# An order takes a round trip; what takes this long has lost its answer.
ORDER_TIMEOUT_S = 0.4
MACHINE_TIMEOUT_S = 2.0
OrderOutcome = worker_client.OrderOutcome
CONFLICTS = {
    'fence': OrderOutcome.FENCED,
    'old': OrderOutcome.OLD_RUN,
    'late': OrderOutcome.LATE,
    'room': OrderOutcome.NO_CAPACITY,
    'ticket': OrderOutcome.BAD_TICKET,
    # A machine that is not up, or is leaving.
    'busy': OrderOutcome.UNHEALTHY,
    'wave': OrderOutcome.INVALID,
}
ENDS = {
    'done': ttypes.EndKind.DONE,
    'failed': ttypes.EndKind.FAILED,
    'stopped': ttypes.EndKind.STOPPED,
    'lapsed': ttypes.EndKind.LAPSED,
    'broken': ttypes.EndKind.BROKEN,
    'alone': ttypes.EndKind.ALONE,
}


def task_name(key: layout.TaskId) -> str:
    """Returns the name of a task: ID.K.STEP.INDEX."""
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'


def parse_task_name(name: object) -> layout.TaskId | None:
    """Returns the task that a name stands for; None if it is no name."""
    if not isinstance(name, str):
        return None
    parts = name.split('.')
    if len(parts) != 4 or not all(p.isdecimal() for p in parts[1:]):
        return None
    return layout.TaskId(parts[0], *map(int, parts[1:]))


def _reason(
    answer: http_client.Answer, body: wire.Fields | None
) -> OrderOutcome:
    if 200 <= answer.status < 300:
        return OrderOutcome.DONE
    if answer.status == 409 and body is not None:
        return CONFLICTS.get(body.text('reason'), OrderOutcome.INVALID)
    if answer.status == 421:
        return OrderOutcome.REPLACED
    if answer.status in (429, 503):
        return OrderOutcome.UNHEALTHY
    return OrderOutcome.INVALID


class HttpWorkerClient(worker_client.WorkerClient):
    """Orders to one executor over HTTP.

    Args:
        worker: The worker.
    """

    def __init__(self, worker: ttypes.WorkerRecord) -> None:
        self._worker = worker
        self._orders = http_client.HttpClient(worker.address)
        # A call that waits for an end must not keep orders waiting.
        self._holds = http_client.HttpClient(worker.address)

    async def start(
        self,
        start: ttypes.RunStart,
        spec: str,
        *,
        token: int,
        lease_end_ms: int,
    ) -> worker_client.OrderReply:
        """Starts a run; see `WorkerClient`."""
        values: dict[str, object] = {
            'task': task_name(layout.task_id(start.task)),
            'runId': start.run,
            'spec': spec,
            'expiresMs': lease_end_ms,
            'fencingToken': token,
        }
        if start.checkpoint:
            values['checkpoint'] = start.checkpoint
        if start.ticket:
            values['ticket'] = start.ticket
        return await self._order('/v1/run-start', values)

    async def stop(
        self, key: layout.TaskId, run: int, *, token: int
    ) -> worker_client.OrderReply:
        """Stops a run; see `WorkerClient`."""
        values = {
            'task': task_name(key),
            'runId': run,
            'fencingToken': token,
        }
        return await self._order('/v1/run-stop', values)

    async def pace(
        self, key: layout.TaskId, run: int, percent: int, *, token: int
    ) -> worker_client.OrderReply:
        """Changes the pace of a run; see `WorkerClient`."""
        values = {
            'task': task_name(key),
            'runId': run,
            'percent': percent,
            'fencingToken': token,
        }
        return await self._order('/v1/pace', values)

    async def renew_lease(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> worker_client.LeaseReply:
        """Renews the lease; see `WorkerClient`."""
        values = {'fencingToken': token, 'lastSeen': acknowledged}
        if lease_end_ms is not None:
            values['expiresMs'] = lease_end_ms
        if wait_ms:
            values['waitMs'] = wait_ms
        timeout_s = ORDER_TIMEOUT_S + wait_ms / 1000
        answer = await self._call(
            self._holds, '/v1/hold', values, timeout_s=timeout_s
        )
        body = self._body(answer)
        reason = self._checked(answer, body)
        clock_ms = _clock(body)
        if reason is not OrderOutcome.DONE or body is None:
            return worker_client.LeaseReply(reason, clock_ms)
        return worker_client.LeaseReply(
            reason,
            clock_ms,
            tuple(_running(body)),
            tuple(_ended(body)),
        )

    async def close(self) -> None:
        """Ends all connections."""
        await self._orders.close()
        await self._holds.close()

    async def _order(
        self, path: str, values: dict[str, object]
    ) -> worker_client.OrderReply:
        answer = await self._call(
            self._orders, path, values, timeout_s=ORDER_TIMEOUT_S
        )
        body = self._body(answer)
        return worker_client.OrderReply(
            self._checked(answer, body), _clock(body)
        )

    async def _call(
        self,
        client: http_client.HttpClient,
        path: str,
        values: dict[str, object],
        *,
        timeout_s: float,
    ) -> http_client.Answer:
        return await _post(
            client,
            path,
            values,
            timeout_s=timeout_s,
            headers=[('expect-instance', self._worker.worker_id)],
        )

    def _body(self, answer: http_client.Answer) -> wire.Fields | None:
        if not answer.body:
            return None
        found = findings.Findings()
        fields = wire.parse(answer.body, found)
        return None if found.found else fields

    def _checked(
        self, answer: http_client.Answer, body: wire.Fields | None
    ) -> OrderOutcome:
        """Returns the outcome, if it is one of the right incarnation."""
        # An answer of 421 names the life of whoever has the address now.
        if answer.status != 421 and body is not None and 'born' in body:
            born = body.integer('born')
            if self._worker.incarnation and born != self._worker.incarnation:
                return OrderOutcome.OTHER_INCARNATION
        return _reason(answer, body)


def _clock(body: wire.Fields | None) -> int | None:
    if body is None or 'clockMs' not in body:
        return None
    return body.integer('clockMs')


def _running(body: wire.Fields) -> typing.Iterator[worker_client.RunningTask]:
    for row in body.rows('running', 4):
        key = parse_task_name(row[0])
        if key is None or not _is_whole(row[1]):
            continue
        # The fifth entry is missing where nothing is shared.
        usage = row[4] if len(row) > 4 else None
        yield worker_client.RunningTask(
            key=key,
            run=row[1],
            checkpoint=row[2] if isinstance(row[2], str) else '',
            percent=row[3] if _is_whole(row[3]) else 0,
            usage=usage if _is_whole(usage) else None,
        )


def _ended(body: wire.Fields) -> typing.Iterator[worker_client.EndedTask]:
    for row in body.rows('finished', 5):
        key = parse_task_name(row[1])
        kind = ENDS.get(row[3]) if isinstance(row[3], str) else None
        if key is None or kind is None:
            continue
        if not _is_whole(row[0]) or not _is_whole(row[2]):
            continue
        yield worker_client.EndedTask(
            number=row[0],
            key=key,
            run=row[2],
            kind=kind,
            checkpoint=row[4] if isinstance(row[4], str) else '',
        )


def _is_whole(value: object) -> bool:
    # A truth value counts as a whole number in Python.
    return type(value) is int


async def _post(
    client: http_client.HttpClient,
    path: str,
    values: object,
    *,
    timeout_s: float,
    headers: typing.Sequence[tuple[str, str]] = (),
) -> http_client.Answer:
    try:
        return await client.request(
            'POST',
            path,
            headers=[('content-type', 'application/json'), *headers],
            body=wire.encode(values),
            timeout_s=timeout_s,
        )
    except http_client.HttpError as error:
        raise worker_client.NoAnswerError(
            str(error), sent=error.sent
        ) from error


class HttpPlatformClient(worker_client.PlatformClient):
    """Clients of executors, and the platform's services.

    Args:
        options: Settings of the platform.
    """

    def __init__(self, options: settings.ControlPlatformSettings) -> None:
        self._advice = None
        if options.advice_address:
            self._advice = http_client.HttpClient(options.advice_address)
        self._machines = options.machines_address

    def open(self, worker: ttypes.WorkerRecord) -> worker_client.WorkerClient:
        """Returns a client of one incarnation of a worker."""
        return HttpWorkerClient(worker)

    async def advise(
        self, group: layout.GroupKey, workers: list[str], *, timeout_s: float
    ) -> dict[str, str] | None:
        """Asks the policy service; see `PlatformClient`."""
        if self._advice is None:
            raise worker_client.NoAnswerError('no policy service is set')
        step = f'{group.job_id}.{group.occurrence}.{group.step}'
        answer = await _post(
            self._advice,
            '/v1/advise',
            {'step': step, 'workers': workers},
            timeout_s=timeout_s,
        )
        if answer.status != 200:
            return None
        found = findings.Findings()
        fields = wire.parse(answer.body, found)
        if fields is None:
            raise worker_client.NoAnswerError('advice: not readable')
        return {
            row[0]: row[1]
            for row in fields.rows('approved', 2)
            if isinstance(row[0], str) and isinstance(row[1], str)
        }

    async def begin_upkeep(
        self, machine: str, wave: int, *, holder: str, token: int
    ) -> worker_client.OrderOutcome:
        """Begins the upkeep of a machine; see `PlatformClient`."""
        client = http_client.HttpClient(self._machines)
        try:
            answer = await _post(
                client,
                '/v1/machine-upkeep',
                {'machine': machine, 'wave': wave},
                timeout_s=MACHINE_TIMEOUT_S,
                headers=[
                    ('lease-holder', holder),
                    ('fencing-token', str(token)),
                ],
            )
        finally:
            await client.close()
        found = findings.Findings()
        fields = wire.parse(answer.body, found) if answer.body else None
        return _reason(answer, fields)
