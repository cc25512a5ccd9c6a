"""Tests of the proxy against backends that fail in specified ways."""

from __future__ import annotations

import collections.abc
import random
import typing

import curio
import testtools

from banyantrack.testing import fake_backend
from banyantrack.testing import in_process
from banyantrack.testing import load
from banyantrack.testing import virtual
from banyantrack.transport import http_client
from banyantrack.transport import rpc

Fake = fake_backend.Fake
Spec = load.Spec
Verdict = load.Verdict


class ProxyTest(testtools.TestCase):
    """Base class that runs tests with in-process entries and backends."""

    def run_with(
        self,
        scenario: collections.abc.Callable[
            [in_process.Setup], collections.abc.Awaitable[typing.Any]
        ],
        *,
        virtual_time: bool = False,
        **options: typing.Any,
    ) -> typing.Any:
        """Runs `scenario` on a new `in_process.setup(**options)`.

        In virtual time, work takes its time whatever else the machine does.
        """

        async def run() -> typing.Any:
            async with in_process.setup(**options) as made:
                return await scenario(made)

        return virtual.run(run) if virtual_time else curio.run(run)

    def send(self, *specs: Spec, **options: typing.Any) -> list[load.Result]:
        """Sends requests one after another; returns their results.

        `self.counts` holds how often each request ran.
        """

        async def scenario(made: in_process.Setup) -> list[load.Result]:
            results = [await made.client.request(spec) for spec in specs]
            self.counts = [made.runs(result.check) for result in results]
            return results

        return self.run_with(scenario, **options)


class TestAnswers(ProxyTest):
    """Each caller gets the complete answer to its own request."""

    def test_complete_answer(self) -> None:
        (result,) = self.send(Spec('/quick', answer_bytes=1000))
        self.assertEqual(Verdict.GOOD, result.verdict)
        self.assertEqual('done', result.outcome)

    def test_large_answer_and_body_are_streamed(self) -> None:
        (result,) = self.send(
            Spec('/quick', method='PUT', body=b'x' * 3_000_000,
                 answer_bytes=3_000_000)
        )  # fmt: skip
        self.assertEqual(Verdict.GOOD, result.verdict)

    def test_head_has_no_body(self) -> None:
        async def scenario(made: in_process.Setup) -> http_client.Answer:
            client = http_client.HttpClient(made.entry.address)
            answer = await client.request('HEAD', '/quick')
            await client.close()
            return answer

        answer = self.run_with(scenario)
        self.assertEqual((200, b''), (answer.status, answer.body))

    def test_answer_to_another_request_is_rejected(self) -> None:
        results = self.send(
            Spec('/quick', fake=Fake.CROSSED),
            Spec('/quick'),
            Spec('/quick'),
        )
        self.assertNotIn(Verdict.CROSSED, [r.verdict for r in results])
        self.assertEqual('unknown', results[0].outcome)
        self.assertEqual(Verdict.GOOD, results[2].verdict)

    def test_late_answer_is_not_sent_to_another_request(self) -> None:
        async def scenario(made: in_process.Setup) -> list[load.Result]:
            late = await made.client.request(
                Spec('/quick', fake=Fake.LATE, deadline_ms=200)
            )
            rest = []
            for _ in range(6):
                await curio.sleep(0.2)
                rest.append(await made.client.request(Spec('/quick')))
            return [late, *rest]

        results = self.run_with(scenario, backends=1)
        self.assertEqual(504, results[0].status)
        self.assertEqual('unknown', results[0].outcome)
        self.assertEqual({Verdict.GOOD}, {r.verdict for r in results[1:]})

    def test_truncated_answer_is_never_good(self) -> None:
        results = self.send(
            Spec('/quick', fake=Fake.TRUNCATED, answer_bytes=5000),
            Spec('/quick', fake=Fake.TRUNCATED, answer_bytes=500_000),
            Spec('/quick', method='POST', fake=Fake.TRUNCATED,
                 answer_bytes=5000),
        )  # fmt: skip
        self.assertEqual({False}, {r.verdict is Verdict.GOOD for r in results})
        self.assertNotIn(Verdict.CROSSED, [r.verdict for r in results])


class TestRetries(ProxyTest):
    """Only requests that are safe to repeat are retried."""

    def test_non_idempotent_runs_once(self) -> None:
        results = self.send(
            Spec('/quick', method='POST', fake=Fake.RESET_AFTER)
        )
        self.assertEqual([1], self.counts)
        self.assertEqual(502, results[0].status)
        self.assertEqual('unknown', results[0].outcome)

    def test_reset_before_reading_has_unknown_outcome(self) -> None:
        (result,) = self.send(
            Spec('/quick', method='POST', fake=Fake.RESET_BEFORE)
        )
        self.assertEqual('unknown', result.outcome)

    def test_idempotent_is_retried(self) -> None:
        self.send(Spec('/quick', fake=Fake.RESET_AFTER))
        self.assertGreater(self.counts[0], 1)

    def test_request_that_crashes_backend_after_backend(self) -> None:
        (result,) = self.send(
            Spec('/quick', fake=Fake.RESET_AFTER, deadline_ms=3000),
            backends=6,
            settings={'retry_budget': 1.0},
        )
        self.assertEqual((502, 'unknown'), (result.status, result.outcome))
        self.assertEqual([2], self.counts)

    def test_refused_connection_is_not_run(self) -> None:
        async def scenario(made: in_process.Setup) -> load.Result:
            for backend in made.backends:
                await backend.close()
            return await made.client.request(Spec('/quick', method='POST'))

        result = self.run_with(scenario, backends=1)
        self.assertEqual((503, 'not-run'), (result.status, result.outcome))

    def test_refused_connection_is_retried_at_another_backend(self) -> None:
        async def scenario(made: in_process.Setup) -> list[load.Result]:
            await made.backends[0].close()
            return [
                await made.client.request(Spec('/quick', method='POST'))
                for _ in range(6)
            ]

        results = self.run_with(scenario)
        self.assertEqual({Verdict.GOOD}, {r.verdict for r in results})

    def test_not_run_by_every_backend_is_reported_as_not_run(self) -> None:
        (result,) = self.send(Spec('/quick', method='POST', fake=Fake.NOT_RUN))
        self.assertEqual((503, 'not-run'), (result.status, result.outcome))
        self.assertEqual([0], self.counts)

    def test_retries_have_a_budget(self) -> None:
        results = self.send(
            *(Spec('/quick', fake=Fake.RESET_AFTER) for _ in range(40)),
            settings={'retry_budget': 0.1},
        )
        self.assertEqual(40, len(results))
        self.assertLess(sum(self.counts), 40 + 10 + 5)

    def test_early_answer_stops_the_upload(self) -> None:
        (result,) = self.send(
            Spec('/quick', method='PUT', body=b'x' * 4_000_000,
                 fake=Fake.EARLY, deadline_ms=3000)
        )  # fmt: skip
        self.assertIn(result.status, (0, 200, 502))
        self.assertNotEqual(Verdict.CROSSED, result.verdict)


class TestSilence(ProxyTest):
    """Requests survive pooled connections that silently drop data."""

    def _request_after_silence(self, method: str) -> list[load.Result]:
        async def scenario(made: in_process.Setup) -> list[load.Result]:
            for _ in range(25):
                await made.client.request(Spec('/quick', work_ms=2))
            forwarder = await _SilentForwarder.insert(made)
            for _ in range(30):
                await made.client.request(Spec('/quick', work_ms=2))
            forwarder.silent = True
            results = [
                await made.client.request(
                    Spec('/quick', method=method, deadline_ms=1500)
                )
                for _ in range(6)
            ]
            await forwarder.close()
            return results

        return self.run_with(
            scenario, backends=2, settings={'retry_budget': 1.0}
        )

    def test_idempotent_succeeds_over_new_connections(self) -> None:
        results = self._request_after_silence('GET')
        self.assertEqual({Verdict.GOOD}, {r.verdict for r in results})


class _SilentForwarder:
    """TCP forwarder in front of a backend, like a NAT that lost its table.

    Once `silent` is set, connections opened before drop all data without
    closing; connections opened afterwards work.
    """

    def __init__(self, backend: fake_backend.FakeBackend) -> None:
        self.silent = False
        self._backend = backend.address
        self._tasks: list[curio.Task] = []
        self._socket: typing.Any = None

    @classmethod
    async def insert(cls, made: in_process.Setup) -> _SilentForwarder:
        """Redirects new connections to the first backend through one."""
        from banyantrack.testing import system
        from banyantrack.transport import listener

        backend = made.backends[0]
        forwarder = cls(backend)
        (port,) = system.reserve_ports(1)
        address = f'127.0.0.1:{port}'
        forwarder._socket = listener.Listener(address, forwarder._serve)
        await forwarder._socket.start()
        for entry in made.entries:
            known = entry.backends.get(backend.backend_id)
            known.announcement.address = address
        return forwarder

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        await self._socket.close()
        for task in self._tasks:
            await task.cancel()

    async def _serve(self, client: typing.Any) -> None:
        opened_while_silent = self.silent
        backend = await rpc.connect(self._backend, timeout_s=1.0)
        back = await curio.spawn(
            self._forward, backend, client, opened_while_silent, daemon=True
        )
        self._tasks.append(back)
        await self._forward(client, backend, opened_while_silent)

    async def _forward(
        self, source: typing.Any, target: typing.Any, opened_while_silent: bool
    ) -> None:
        while data := await source.recv(65536):
            if not self.silent or opened_while_silent:
                await target.sendall(data)


class TestClaims(ProxyTest):
    """A claimed request runs at most once across all entries."""

    def _post(self, key: str, **fields: typing.Any) -> Spec:
        return Spec('/quick', method='POST', key=key, **fields)

    def test_resend_gets_the_recorded_answer(self) -> None:
        results = self.send(self._post('k'), self._post('k'), entries=2)
        self.assertEqual([1, 0], self.counts)
        self.assertEqual([200, 200], [r.status for r in results])

    def test_concurrent_requests_with_one_key_run_once(self) -> None:
        async def scenario(made: in_process.Setup) -> tuple[int, list[int]]:
            specs = [self._post('k', work_ms=200) for _ in range(6)]
            tasks = [
                await curio.spawn(made.client.request, spec) for spec in specs
            ]
            results = [await task.join() for task in tasks]
            total = sum(made.runs(r.check) for r in results)
            return total, sorted(r.status for r in results)

        total, statuses = self.run_with(scenario, entries=3)
        self.assertEqual(1, total)
        self.assertEqual([200, 409, 409, 409, 409, 409], statuses)

    def test_same_key_and_request_id_run_once(self) -> None:
        async def scenario(made: in_process.Setup) -> int:
            async def post(entry: in_process.Entry) -> None:
                client = http_client.HttpClient(entry.address)
                await client.request(
                    'POST',
                    '/quick',
                    headers=[
                        ('idempotency-key', 'k'),
                        ('banyan-request-id', 'same'),
                        ('x-check', 'c'),
                        ('x-work-ms', '100'),
                    ],
                )
                await client.close()

            tasks = [await curio.spawn(post, entry) for entry in made.entries]
            for task in tasks:
                await task.join()
            return made.runs('c')

        self.assertEqual(1, self.run_with(scenario, entries=3))

    def test_unknown_outcome_is_recorded(self) -> None:
        results = self.send(
            self._post('k', fake=Fake.RESET_AFTER), self._post('k')
        )
        self.assertEqual([502, 409], [r.status for r in results])
        self.assertEqual([1, 0], self.counts)

    def test_not_run_releases_the_key(self) -> None:
        results = self.send(
            self._post('k', fake=Fake.NOT_RUN), self._post('k')
        )
        self.assertEqual([503, 200], [r.status for r in results])

    def test_same_key_with_another_body_is_refused(self) -> None:
        results = self.send(
            self._post('k', body=b'a'), self._post('k', body=b'b')
        )
        self.assertEqual([200, 422], [r.status for r in results])

    def test_unreachable_control_means_not_run(self) -> None:
        async def scenario(made: in_process.Setup) -> tuple[load.Result, int]:
            made.control.reachable = False
            result = await made.client.request(
                self._post('k', deadline_ms=500)
            )
            return result, made.runs(result.check)

        result, runs = self.run_with(scenario)
        self.assertEqual((503, 'not-run'), (result.status, result.outcome))
        self.assertEqual(0, runs)

    def test_claim_is_repeated_after_lost_reply(self) -> None:
        async def scenario(made: in_process.Setup) -> tuple[load.Result, int]:
            made.control.lose_replies = 1
            result = await made.client.request(self._post('k'))
            return result, made.runs(result.check)

        result, runs = self.run_with(scenario)
        self.assertEqual((200, 1), (result.status, runs))


class TestAdmission(ProxyTest):
    """Requests that cannot finish in time are refused without running."""

    def test_full_backends_refuse_early(self) -> None:
        async def scenario(made: in_process.Setup) -> list[load.Result]:
            tasks = [
                await curio.spawn(
                    made.client.request,
                    Spec('/quick', work_ms=300, deadline_ms=700),
                )
                for _ in range(60)
            ]
            return [await task.join() for task in tasks]

        results = self.run_with(scenario, virtual_time=True, backends=1)
        counts = load.count(results)
        # The backend has eight slots, so two rounds end before the deadline.
        self.assertEqual(16, counts[Verdict.GOOD])
        self.assertEqual(0, counts[Verdict.LOST])
        self.assertEqual(44, counts[Verdict.NOT_RUN])

    def test_long_work_leaves_slots_for_quick(self) -> None:
        async def scenario(made: in_process.Setup) -> load.Result:
            tasks = [
                await curio.spawn(
                    made.client.request,
                    Spec('/long', work_ms=1500, deadline_ms=9000),
                )
                for _ in range(12)
            ]
            await curio.sleep(0.3)
            quick = await made.client.request(Spec('/quick', work_ms=10))
            for task in tasks:
                await task.join()
            return quick

        quick = self.run_with(scenario, backends=1)
        self.assertEqual(Verdict.GOOD, quick.verdict)
        self.assertLess(quick.latency_s, 1.0)

    def test_slow_upload_holds_no_slot(self) -> None:
        async def scenario(made: in_process.Setup) -> int:
            host, port = made.entry.address.split(':')
            sock = await curio.open_connection(host, int(port))
            await sock.sendall(
                b'PUT /quick HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n'
            )
            await curio.sleep(0.1)
            in_flight = made.entry.dispatcher.in_flight
            await sock.close()
            return in_flight

        self.assertEqual(0, self.run_with(scenario))

    def test_disconnected_caller_releases_its_slot(self) -> None:
        async def scenario(made: in_process.Setup) -> list[int]:
            host, port = made.entry.address.split(':')
            sock = await curio.open_connection(host, int(port))
            await sock.sendall(
                b'GET /quick HTTP/1.1\r\nhost: x\r\nx-work-ms: 60000\r\n\r\n'
            )
            await curio.sleep(0.2)
            before = made.entry.dispatcher.in_flight
            await sock.close()
            await curio.sleep(0.1)
            await made.entry.proxy.check_callers()
            await curio.sleep(0.2)
            return [before, made.entry.dispatcher.in_flight]

        self.assertEqual([1, 0], self.run_with(scenario))

    def test_invalid_header_is_refused_by_name(self) -> None:
        async def scenario(made: in_process.Setup) -> http_client.Answer:
            client = http_client.HttpClient(made.entry.address)
            answer = await client.request(
                'GET', '/quick', headers=[('banyan-deadline-ms', 'soon')]
            )
            await client.close()
            return answer

        answer = self.run_with(scenario)
        self.assertEqual(400, answer.status)
        self.assertIn(b'Banyan-Deadline-Ms', answer.body)
        self.assertEqual('not-run', answer.header('banyan-outcome'))


class TestRandom(ProxyTest):
    """Reported outcomes agree with the backends' logs under any failure."""

    def test_mixed_failures(self) -> None:
        async def scenario(made: in_process.Setup) -> None:
            rng = random.Random(42)
            specs = [_random_spec(rng, number) for number in range(300)]
            tasks = []
            for spec in specs:
                tasks.append(await curio.spawn(made.client.request, spec))
                await curio.sleep(rng.uniform(0, 0.01))
            results = [await task.join() for task in tasks]
            by_key: dict[str, int] = {}
            for result in results:
                runs = made.runs(result.check)
                if result.verdict is Verdict.NOT_RUN:
                    self.assertEqual(0, runs, result)
                if result.spec.method == 'POST':
                    self.assertLessEqual(runs, 1, result)
                if result.spec.key:
                    key = result.spec.key
                    by_key[key] = by_key.get(key, 0) + runs
                self.assertNotEqual(Verdict.CROSSED, result.verdict, result)
            self.assertLessEqual(max(by_key.values()), 1)
            self.assertGreater(load.count(results)[Verdict.GOOD], 50)

        self.run_with(scenario, entries=3, backends=3)


def _random_spec(rng: random.Random, number: int) -> Spec:
    fakes = [Fake.NONE] * 9 + list(Fake)
    method = rng.choice(('GET', 'POST', 'PUT'))
    key = ''
    if method == 'POST' and rng.random() < 0.6:
        key = f'k{rng.randrange(20)}'
    return Spec(
        rng.choice(('/quick', '/long')),
        method=method,
        key=key,
        work_ms=rng.uniform(0, 30),
        deadline_ms=rng.choice((300, 1000)),
        fake=rng.choice(fakes),
        answer_bytes=rng.choice((0, 500, 100_000)),
        body=b'' if method == 'GET' or key else b'x' * rng.choice((0, 900)),
    )
