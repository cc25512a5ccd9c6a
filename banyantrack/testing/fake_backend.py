"""Backends for tests, the demo and benchmarks.

A backend runs a request in one of its slots for the time in the `X-Work-Ms`
header and answers with the token in `X-Check`. The `X-Fake` header requests
a failure. Each run is recorded; randomised tests compare these records with
the answers that callers received.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import enum
import json
import pathlib
import random
import sys
import time
import typing

import curio
import h11

from banyantrack.testing import system
from banyantrack.transport import http
from banyantrack.transport import http_client
from banyantrack.transport import http_server

if typing.TYPE_CHECKING:
    import collections.abc

ANNOUNCE_INTERVAL_S = 2.0
BODY_LIMIT_BYTES = 1 << 30


class Fake(enum.Enum):
    """Failures that a caller can request.

    SILENT never answers, LATE answers after `X-Late-Ms`, CROSSED sends the
    answer to another request, TRUNCATED half of its own. RESET_BEFORE and
    RESET_AFTER reset the connection before or after the run. EARLY answers
    before the body is read, NOT_RUN rejects the request with status 503.
    """

    NONE = ''
    SILENT = 'silent'
    LATE = 'late'
    CROSSED = 'crossed'
    TRUNCATED = 'truncated'
    RESET_BEFORE = 'reset-before'
    RESET_AFTER = 'reset-after'
    EARLY = 'early'
    NOT_RUN = 'not-run'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request.

    Attributes:
        check: Token of the request.
        backend: Id of the backend.
        started_at: Wall clock time in seconds since the epoch.
    """

    check: str
    backend: str
    started_at: float


class FakeBackend:
    """One backend.

    Args:
        backend_id: Its id.
        address: `IP:PORT` to listen on.
        entries: HTTP addresses of entries to announce to.
        zone: Its zone.
        slots: Number of requests that it runs at once.
        labels: Its labels.
        straggler_share: Share of requests that take 20 times as long, from 0
            to 1.
        rng: Source of randomness.

    Attributes:
        runs: All runs in order of their start.
        leaving_at: Wall clock time at which it announced that it leaves;
            None before.
        arrivals_after_leaving: Wall clock times of later requests.
        most_at_once: Largest number of requests that ran at once.
        log: File to which each run is written; None for none.
    """

    def __init__(
        self,
        backend_id: str,
        address: str,
        entries: collections.abc.Sequence[str] = (),
        *,
        zone: str = 'a',
        slots: int = 8,
        labels: dict[str, str] | None = None,
        straggler_share: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self.backend_id = backend_id
        self.address = address
        self.entries = list(entries)
        self.runs: list[Run] = []
        self.leaving_at: float | None = None
        self.arrivals_after_leaving: list[float] = []
        self.most_at_once = 0
        self.log: typing.TextIO | None = None
        self._zone = zone
        self._slots = slots
        self._labels = labels or {}
        self._straggler_share = straggler_share
        self._rng = rng or random.Random()
        self._semaphore = curio.Semaphore(slots)
        self._running = 0
        self._incarnation = int(time.time() * 1000)
        self._server: http_server.HttpServer | None = None
        self._announcer: curio.Task | None = None
        self._next_entry = self._rng.randrange(1 << 16)

    @property
    def running(self) -> int:
        """Number of requests that run now."""
        return self._running

    async def start(self) -> None:
        """Starts to listen and to announce itself."""
        self._server = http_server.HttpServer(self.address, self._serve)
        await self._server.start()
        if self.entries:
            self._announcer = await curio.spawn(self._announce_loop)

    async def leave(self) -> None:
        """Announces that it leaves, to one entry only."""
        self.leaving_at = time.time()
        await self.announce()

    async def close(self) -> None:
        """Stops."""
        if self._announcer is not None:
            await self._announcer.cancel()
        await self._server.close()

    async def announce(self) -> None:
        """Announces its state to the first entry in turn that answers."""
        state = 'serving' if self.leaving_at is None else 'leaving'
        body = json.dumps(
            {
                'id': self.backend_id,
                'incarnation': self._incarnation,
                'address': self.address,
                'zone': self._zone,
                'labels': self._labels,
                'slots': self._slots,
                'state': state,
            }
        ).encode()
        for _ in self.entries:
            self._next_entry += 1
            address = self.entries[self._next_entry % len(self.entries)]
            client = http_client.HttpClient(address)
            try:
                await client.request(
                    'POST', '/v1/backends/announce', body=body, timeout_s=1.0
                )
                return
            except http_client.HttpError:
                continue
            finally:
                await client.close()

    async def _announce_loop(self) -> None:
        while True:
            await self.announce()
            await curio.sleep(ANNOUNCE_INTERVAL_S)

    async def _serve(self, request: http_server.Request) -> None:
        fake = Fake(request.header(b'x-fake') or '')
        if self.leaving_at is not None:
            self.arrivals_after_leaving.append(time.time())
        if fake is Fake.RESET_BEFORE:
            request.connection.reset()
            await request.connection.close()
            return
        if fake is Fake.NOT_RUN:
            await request.read_body(BODY_LIMIT_BYTES)
            await request.respond(503, [(b'banyan-outcome', b'not-run')])
            return
        if fake is Fake.EARLY:
            await self._answer(request, fake, 0)
            return
        received = await self._read(request)
        async with self._semaphore:
            await self._run(request)
        await self._answer(request, fake, received)

    async def _read(self, request: http_server.Request) -> int:
        """Reads the body without keeping it; returns its size."""
        size = 0
        while True:
            event = await request.next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return size
            else:
                raise http.ClosedError(
                    'the request ended before its body was complete'
                )

    async def _run(self, request: http_server.Request) -> None:
        check = request.header(b'x-check') or ''
        run = Run(check, self.backend_id, time.time())
        self.runs.append(run)
        if self.log is not None:
            self.log.write(f'{check} {self.backend_id} {run.started_at}\n')
            self.log.flush()
        self._running += 1
        self.most_at_once = max(self.most_at_once, self._running)
        work_s = float(request.header(b'x-work-ms') or 0) / 1000
        if self._rng.random() < self._straggler_share:
            work_s *= 20
        try:
            await curio.sleep(work_s)
        finally:
            self._running -= 1

    async def _answer(
        self, request: http_server.Request, fake: Fake, received: int
    ) -> None:
        check = request.header(b'x-check') or ''
        size = int(request.header(b'x-answer-bytes') or 0)
        body = answer_body(check, received, size)
        headers = [(b'content-type', b'text/plain')]
        answer_id = request.header(b'banyan-request-id') or ''
        match fake:
            case Fake.SILENT:
                await curio.sleep(3600)
            case Fake.LATE:
                await curio.sleep(
                    float(request.header(b'x-late-ms') or 1000) / 1000
                )
            case Fake.CROSSED:
                answer_id = 'another-request'
                body = answer_body('another', received, size)
            case Fake.RESET_AFTER:
                request.connection.reset()
                await request.connection.close()
                return
        headers.append((b'banyan-request-id', answer_id.encode()))
        if fake is Fake.TRUNCATED:
            length = str(len(body)).encode()
            headers.append((b'content-length', length))
            await request.start_response(200, headers)
            await request.send_data(body[: len(body) // 2])
            await request.connection.close()
            return
        await request.respond(200, headers, body)


async def start_many(
    count: int, entries: collections.abc.Sequence[str]
) -> list[FakeBackend]:
    """Starts backends, which are assigned to three zones in turn.

    Args:
        count: Number of backends.
        entries: HTTP addresses of entries to announce to.
    """
    backends = []
    for number, port in enumerate(system.reserve_ports(count)):
        backend = FakeBackend(
            f'b{number}',
            f'127.0.0.1:{port}',
            entries,
            zone='abc'[number % 3],
            rng=random.Random(number),
        )
        await backend.start()
        backends.append(backend)
    return backends


def answer_body(check: str, received: int, size: int) -> bytes:
    """Returns the body of the correct answer to a request.

    Args:
        check: Token of the request.
        received: Bytes of its body that were read.
        size: Least size of the answer in bytes.
    """
    line = f'{check} {received}\n'.encode()
    return line * max(1, -(-size // len(line)))


def run_counts(
    backends: collections.abc.Iterable[FakeBackend],
) -> collections.Counter[str]:
    """Returns the number of runs of each request by its token."""
    return collections.Counter(
        run.check for backend in backends for run in backend.runs
    )


async def _main(options: argparse.Namespace) -> None:
    log = options.log.open('a') if options.log else None
    backends = []
    for number in range(options.count):
        address = f'127.0.0.1:{options.port + number}'
        if options.listen:
            address = options.listen[number]
        backend = FakeBackend(
            f'{options.prefix}{number}',
            address,
            options.entry,
            zone='abc'[number % 3],
            slots=options.slots,
            straggler_share=options.straggler_share,
            rng=random.Random(options.seed + number),
        )
        backend.log = log
        await backend.start()
        backends.append(backend)
    print(f'{len(backends)} backends', flush=True)
    await _run_commands(backends)


async def _run_commands(backends: list[FakeBackend]) -> None:
    """Reads commands such as `leave b3` from standard input."""
    by_id = {backend.backend_id: backend for backend in backends}
    async with curio.file.AsyncFile(sys.stdin) as commands:
        async for line in commands:
            match line.split():
                case ['leave', backend_id]:
                    await by_id[backend_id].leave()
                case ['report']:
                    print(json.dumps(_report(backends)), flush=True)
                case ['stop']:
                    return


def _report(backends: list[FakeBackend]) -> dict[str, object]:
    counts = run_counts(backends)
    delays_s = [
        max(b.arrivals_after_leaving, default=b.leaving_at) - b.leaving_at
        for b in backends
        if b.leaving_at is not None
    ]
    return {
        'runs': sum(counts.values()),
        'distinct': len(counts),
        'leaving_new_work_s_max': max(delays_s, default=0.0),
        'most_at_once': max(b.most_at_once for b in backends),
    }


def main() -> None:
    """Runs backends until standard input ends or has the line `stop`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--port', type=int, default=9000)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--prefix', default='b')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--straggler-share', type=float, default=0.0)
    parser.add_argument('--entry', action='append', default=[])
    parser.add_argument('--listen', action='append', default=[])
    parser.add_argument('--log', type=pathlib.Path)
    curio.run(_main, parser.parse_args())


if __name__ == '__main__':
    main()
