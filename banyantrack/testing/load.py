"""Load on entries, with a check of each answer."""

from __future__ import annotations

import argparse
import collections
import dataclasses
import enum
import itertools
import json
import random
import time
import typing

import curio

from banyantrack.testing import fake_backend
from banyantrack.transport import http_client

if typing.TYPE_CHECKING:
    import collections.abc

# Time beyond the deadline of a request after which the client stops waiting.
CLIENT_MARGIN_S = 1.0


class Verdict(enum.Enum):
    """Result of a request as its caller observes it.

    GOOD and LATE are correct answers within and after the deadline. CROSSED
    is a success with a wrong body that is not a replay of a recorded answer.
    NOT_RUN and UNKNOWN are errors with this outcome, REFUSED is any other
    error. LOST has no answer.
    """

    GOOD = 'good'
    LATE = 'late'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    LOST = 'lost'
    CROSSED = 'crossed'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """One request to make.

    Attributes:
        path: Its path.
        work_ms: Time that it runs at the backend.
        deadline_ms: Time from its start to its deadline.
        method: Its method.
        customer: Its customer; empty for none.
        key: Idempotency key; empty for none.
        fake: Failure that it requests from the backend.
        answer_bytes: Least size of the answer.
        body: Its body.
    """

    path: str
    work_ms: float = 0.0
    deadline_ms: int = 10_000
    method: str = 'GET'
    customer: str = ''
    key: str = ''
    fake: fake_backend.Fake = fake_backend.Fake.NONE
    answer_bytes: int = 0
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class Result:
    """Result of a request.

    Attributes:
        spec: The request.
        check: Its token.
        verdict: Classification of the answer.
        status: Status code; 0 without an answer.
        latency_s: Seconds until the answer.
        started_at: Monotonic time of its start, in seconds.
        entry: HTTP address of the entry.
        outcome: Value of the `Banyan-Outcome` header; empty without one.
    """

    spec: Spec
    check: str
    verdict: Verdict
    status: int
    latency_s: float
    started_at: float
    entry: str
    outcome: str = ''


class LoadClient:
    """Sends requests to entries and keeps their results.

    Args:
        entries: HTTP addresses.
        prefix: Prefix of tokens that makes them unique among clients.
    """

    def __init__(
        self, entries: collections.abc.Sequence[str], prefix: str = 'c'
    ) -> None:
        self.entries = list(entries)
        self.results: list[Result] = []
        self._prefix = prefix
        self._token_numbers = itertools.count()
        self._idle_clients: dict[str, list[http_client.HttpClient]] = (
            collections.defaultdict(list)
        )

    async def request(self, spec: Spec, entry: str | None = None) -> Result:
        """Sends one request.

        Args:
            spec: The request.
            entry: HTTP address of the entry; the next one in turn if None.
        """
        number = next(self._token_numbers)
        if entry is None:
            entry = self.entries[number % len(self.entries)]
        check = f'{self._prefix}{number}'
        idle_clients = self._idle_clients[entry]
        client = (
            idle_clients.pop()
            if idle_clients
            else http_client.HttpClient(entry)
        )
        started_at = time.monotonic()
        try:
            answer = await client.request(
                spec.method,
                spec.path,
                headers=_headers(spec, check),
                body=spec.body,
                timeout_s=spec.deadline_ms / 1000 + CLIENT_MARGIN_S,
            )
        except http_client.HttpError:
            answer = None
        latency_s = time.monotonic() - started_at
        idle_clients.append(client)
        result = Result(
            spec=spec,
            check=check,
            verdict=_classify(spec, check, answer, latency_s),
            status=answer.status if answer else 0,
            latency_s=latency_s,
            started_at=started_at,
            entry=entry,
            outcome=(answer.header('banyan-outcome') or '') if answer else '',
        )
        self.results.append(result)
        return result

    async def close(self) -> None:
        """Closes all connections."""
        for clients in self._idle_clients.values():
            for client in clients:
                await client.close()


def _headers(spec: Spec, check: str) -> list[tuple[str, str]]:
    headers = [
        ('x-check', check),
        ('x-work-ms', f'{spec.work_ms:.3f}'),
        ('banyan-deadline-ms', str(spec.deadline_ms)),
    ]
    if spec.customer:
        headers.append(('banyan-customer', spec.customer))
    if spec.key:
        headers.append(('idempotency-key', spec.key))
    if spec.fake is not fake_backend.Fake.NONE:
        headers.append(('x-fake', spec.fake.value))
    if spec.answer_bytes:
        headers.append(('x-answer-bytes', str(spec.answer_bytes)))
    return headers


def _classify(
    spec: Spec,
    check: str,
    answer: http_client.Answer | None,
    latency_s: float,
) -> Verdict:
    if answer is None:
        return Verdict.LOST
    outcome = answer.header('banyan-outcome')
    if answer.status == 200:
        # An early answer is sent before the backend reads the body.
        early = spec.fake is fake_backend.Fake.EARLY
        received = 0 if early else len(spec.body)
        expected = fake_backend.answer_body(check, received, spec.answer_bytes)
        replayed = answer.header('idempotency-replayed') == 'true'
        if answer.body != expected and not replayed:
            return Verdict.CROSSED
        if latency_s * 1000 > spec.deadline_ms:
            return Verdict.LATE
        return Verdict.GOOD
    if outcome == 'not-run':
        return Verdict.NOT_RUN
    if outcome == 'unknown':
        return Verdict.UNKNOWN
    return Verdict.REFUSED


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests whose arrivals do not depend on answers (open loop).

    Attributes:
        rate: Returns the mean arrivals a second, given the seconds since the
            start.
        make: Returns the next request.
    """

    rate: collections.abc.Callable[[float], float]
    make: collections.abc.Callable[[random.Random], Spec]


async def drive(
    client: LoadClient,
    streams: collections.abc.Sequence[Stream],
    *,
    seconds: float,
    rng: random.Random,
) -> list[Result]:
    """Sends the requests of streams and waits for all results.

    Args:
        client: The client.
        streams: The streams.
        seconds: Time with arrivals.
        rng: Source of arrival times and requests.

    Returns:
        Results of these requests in order of completion.
    """
    before = len(client.results)
    async with curio.TaskGroup() as group:
        for stream in streams:
            await group.spawn(
                _drive_stream,
                client,
                stream,
                seconds,
                random.Random(rng.random()),
            )
    return client.results[before:]


async def _drive_stream(
    client: LoadClient, stream: Stream, seconds: float, rng: random.Random
) -> None:
    started_at = time.monotonic()
    at_s = 0.0
    tasks = []
    while True:
        at_s += rng.expovariate(max(stream.rate(at_s), 1e-6))
        if at_s > seconds:
            break
        delay_s = started_at + at_s - time.monotonic()
        if delay_s > 0:
            await curio.sleep(delay_s)
        tasks.append(await curio.spawn(client.request, stream.make(rng)))
    for task in tasks:
        await task.join()


def percentile(values: collections.abc.Iterable[float], share: float) -> float:
    """Returns a quantile of values; 0 if there are none.

    Args:
        values: The values.
        share: The quantile, from 0 to 1.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def count(
    results: collections.abc.Iterable[Result],
) -> collections.Counter[Verdict]:
    """Returns the number of results by verdict."""
    return collections.Counter(result.verdict for result in results)


async def _main(options: argparse.Namespace) -> None:
    client = LoadClient(options.entry, prefix=f'{options.prefix}-')
    stream = Stream(
        rate=lambda at_s: options.rate,
        make=lambda rng: Spec(
            path=options.path,
            work_ms=rng.expovariate(1 / options.work_ms),
            deadline_ms=options.deadline_ms,
        ),
    )
    results = await drive(
        client,
        [stream],
        seconds=options.seconds,
        rng=random.Random(options.seed),
    )
    await client.close()
    good = [r.latency_s for r in results if r.verdict is Verdict.GOOD]
    print(
        json.dumps(
            {
                'requests': len(results),
                'verdicts': {v.value: n for v, n in count(results).items()},
                'p50_ms': percentile(good, 0.5) * 1000,
                'p99_ms': percentile(good, 0.99) * 1000,
            }
        )
    )


def main() -> None:
    """Sends requests for a time and prints a summary of their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entry', action='append', required=True)
    parser.add_argument('--path', default='/')
    parser.add_argument('--rate', type=float, default=50.0)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--work-ms', type=float, default=50.0)
    parser.add_argument('--deadline-ms', type=int, default=2000)
    parser.add_argument('--prefix', default='c')
    parser.add_argument('--seed', type=int, default=1)
    curio.run(_main, parser.parse_args())


if __name__ == '__main__':
    main()
