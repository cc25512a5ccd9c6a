"""Tests of what is refused, dropped and closed when clients use too much."""

from __future__ import annotations

import collections.abc
import random
import socket
import struct
import typing

import curio
import testtools

from banyantrack.core import metrics as metrics_module
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.settings import ttypes as settings_types
from banyantrack.testing import system
from banyantrack.transport import budget
from banyantrack.transport import descriptors
from banyantrack.transport import http
from banyantrack.transport import http_client
from banyantrack.transport import http_server
from banyantrack.transport import rpc

KIB = 1024
MIB = 1024 * KIB
# The smallest hosts of the platform.
ENTRY_MEMORY_MB = 160
ENTRY_DESCRIPTORS = 1638
CONTROL_MEMORY_MB = 296
CONTROL_DESCRIPTORS = 4096


class _Client:
    """Requests of one address."""

    def __init__(self, limits: budget.ByteBudget, source: str) -> None:
        self.holding = budget.Holding(limits, source, self._note_drop)
        self.holding.set_unfinished(True)
        self.dropped = False

    def _note_drop(self) -> None:
        self.dropped = True

    def read(self, size: int) -> bool:
        """Reads a body of a size; returns whether it was refused."""
        try:
            self.holding.resize(size)
        except budget.BudgetError:
            return True
        return False


class TestByteBudget(testtools.TestCase):
    """The bytes held stay under the limit; what is dropped comes first."""

    def test_oldest_unfinished_request_is_dropped(self) -> None:
        limits = budget.ByteBudget(MIB)
        clients = [_Client(limits, f'10.0.0.{n}') for n in range(4)]
        for client in clients:
            self.assertFalse(client.read(400 * KIB))
        self.assertEqual(
            [True, True, False, False], [c.dropped for c in clients]
        )
        self.assertEqual(800 * KIB, limits.held_bytes)

    def test_finished_request_is_not_dropped(self) -> None:
        """A request that is being executed must keep its answer."""
        limits = budget.ByteBudget(MIB)
        first, second = _Client(limits, 'a'), _Client(limits, 'b')
        first.read(900 * KIB)
        first.holding.set_unfinished(False)
        self.assertTrue(second.read(900 * KIB))
        self.assertFalse(first.dropped)
        first.holding.release()
        self.assertFalse(second.read(900 * KIB))

    def test_small_requests_outlive_large_ones(self) -> None:
        """A slow ordinary job was dropped for the crowd after it."""
        limits = budget.ByteBudget(MIB)
        ordinary = _Client(limits, 'a')
        ordinary.read(8 * KIB)
        for number in range(50):
            _Client(limits, f'10.0.0.{number}').read(500 * KIB)
        self.assertFalse(ordinary.dropped)

    def test_one_source_drops_its_own_requests(self) -> None:
        limits = budget.ByteBudget(MIB, 0.5)
        other = _Client(limits, 'b')
        other.read(400 * KIB)
        clients = [_Client(limits, 'a') for _ in range(5)]
        for client in clients:
            client.read(200 * KIB)
        self.assertFalse(other.dropped)
        self.assertEqual(3, sum(client.dropped for client in clients))

    def test_request_over_the_budget_drops_all_and_is_refused(self) -> None:
        limits = budget.ByteBudget(MIB)
        client = _Client(limits, 'a')
        self.assertTrue(client.read(2 * MIB))
        self.assertEqual(0, limits.held_bytes)
        self.assertEqual(0, limits.sources)

    def test_dropped_request_cannot_reserve_again(self) -> None:
        limits = budget.ByteBudget(MIB)
        client = _Client(limits, 'a')
        client.read(KIB)
        client.holding.drop()
        self.assertTrue(client.read(2 * KIB))
        client.holding.release()
        client.holding.release()
        self.assertEqual(0, limits.held_bytes)

    def test_random_clients_return_all_bytes(self) -> None:
        """Bytes that a path does not return shrink the budget for good."""
        for seed in range(50):
            rng = random.Random(seed)
            limits = budget.ByteBudget(MIB, 0.6)
            clients: list[_Client] = []
            for _ in range(300):
                action = rng.randrange(4)
                if action == 0 or not clients:
                    source = f'10.0.0.{rng.randrange(5)}'
                    clients.append(_Client(limits, source))
                client = rng.choice(clients)
                if action == 1:
                    client.read(rng.randrange(300 * KIB))
                elif action == 2:
                    client.holding.set_unfinished(rng.random() < 0.5)
                elif action == 3:
                    client.holding.release()
                    clients.remove(client)
                self.assertLessEqual(limits.held_bytes, MIB)
            for client in clients:
                client.holding.release()
            self.assertEqual((0, 0), (limits.held_bytes, limits.sources))


class TestSmallestHosts(testtools.TestCase):
    """The load that the module states: ordinary clients beside a crowd."""

    def test_ordinary_jobs_beside_stalling_clients(self) -> None:
        clients_bytes, _ = budget.buffered_limits(0, ENTRY_MEMORY_MB)
        limits = budget.ByteBudget(clients_bytes, 0.75)
        rng = random.Random(1)
        served = 0
        open_jobs: list[_Client] = []
        for number in range(3000):
            stalling = _Client(limits, f'10.1.0.{number % 250}')
            stalling.read(budget.BODY_FACTOR * rng.randrange(KIB, MIB))
            job = _Client(limits, f'10.2.0.{number % 250}')
            refused = job.read(
                budget.REQUEST_OVERHEAD_BYTES + budget.BODY_FACTOR * 8 * KIB
            )
            self.assertFalse(refused)
            open_jobs.append(job)
            if len(open_jobs) > 100:
                finished = open_jobs.pop(0)
                served += not finished.dropped
                finished.holding.release()
        self.assertEqual(2900, served)

    def test_largest_requests_fit(self) -> None:
        for memory_mb, body_bytes in (
            (ENTRY_MEMORY_MB, 262_144),
            (CONTROL_MEMORY_MB, 4 * MIB),
            (CONTROL_MEMORY_MB, 8 * MIB),
            (0, 8 * MIB),
        ):
            clients, members = budget.buffered_limits(0, memory_mb)
            limits = budget.ByteBudget(clients, 0.75)
            size = (
                budget.REQUEST_OVERHEAD_BYTES + budget.BODY_FACTOR * body_bytes
            )
            self.assertFalse(_Client(limits, 'a').read(size), memory_mb)
            self.assertGreater(members, rpc.FRAME_LIMIT_BYTES)

    def test_buffers_and_connections_fit_in_the_memory(self) -> None:
        for memory_mb, count in (
            (ENTRY_MEMORY_MB, ENTRY_DESCRIPTORS),
            (CONTROL_MEMORY_MB, CONTROL_DESCRIPTORS),
        ):
            clients, members = budget.buffered_limits(0, memory_mb)
            limits = budget.connection_limits(count, 200, memory_mb)
            connections = limits.clients * budget.CONNECTION_BYTES
            idle_process = 32 * MIB
            self.assertLess(
                clients + members + connections + idle_process,
                memory_mb * MIB,
            )

    def test_descriptors(self) -> None:
        entry = budget.connection_limits(
            ENTRY_DESCRIPTORS, 200, ENTRY_MEMORY_MB
        )
        self.assertGreaterEqual(entry.clients, 700)
        control = budget.connection_limits(
            CONTROL_DESCRIPTORS, 200, CONTROL_MEMORY_MB
        )
        # 1,500 workers that report, 300 entries.
        self.assertGreaterEqual(control.clients, 1500)
        self.assertGreaterEqual(control.members, 350)
        for limits, count in (
            (entry, ENTRY_DESCRIPTORS),
            (control, CONTROL_DESCRIPTORS),
        ):
            used = (
                limits.clients
                + limits.members
                + limits.operators
                + limits.probes
            )
            self.assertLess(used, count - 200)

    def test_few_descriptors(self) -> None:
        limits = budget.connection_limits(20, 200, 0)
        self.assertEqual(budget.MIN_CONNECTIONS, limits.clients)


class TestSocketLimit(testtools.TestCase):
    def test_sockets_leave_descriptors_for_files(self) -> None:
        limit = descriptors.SocketLimit()
        with socket.socket() as sock:
            self.assertTrue(limit.allows(sock))
            limit.set(sock.fileno() + 20, 10)
            self.assertTrue(limit.allows(sock, member=True))
            self.assertFalse(limit.allows(sock))
            limit.set(sock.fileno() + 10, 10)
            self.assertFalse(limit.allows(sock, member=True))


Scenario = collections.abc.Callable[[str], collections.abc.Awaitable[None]]


class ServerTest(testtools.TestCase):
    """Runs a server with limits."""

    def setUp(self) -> None:
        super().setUp()
        self.metrics = metrics_module.Metrics()
        self.limits = budget.Limits(
            clients=budget.ByteBudget(
                MIB, refusals=budget.Refusals(self.metrics)
            ),
            members=budget.ByteBudget(MIB),
            refusals=budget.Refusals(self.metrics),
            connections=budget.ConnectionLimits(4, 4, 4, 4),
            head_timeout_s=0.3,
            body_timeout_s=0.3,
            send_timeout_s=0.3,
            unchecked_chunks=8,
        )
        self.served: list[str] = []

    def refused(self, refusal: budget.Refusal) -> int:
        """Returns how many refusals of a kind were counted."""
        return self.metrics.counter(
            'banyan_refused', reason=refusal.value
        ).value

    def run_http(self, scenario: Scenario) -> None:
        """Runs a scenario against an HTTP server."""

        async def serve(request: http_server.Request) -> None:
            try:
                body = await request.read_body(600 * KIB)
            except http.BodyTooLargeError as error:
                await request.respond(413, [], str(error).encode())
                return
            self.served.append(request.path)
            size = int(request.header(b'x-size') or len(body))
            await request.respond(200, [], b'x' * size)

        async def run() -> None:
            (port,) = system.reserve_ports(1)
            address = f'127.0.0.1:{port}'
            server = http_server.HttpServer(
                address, serve, limit=4, limits=self.limits
            )
            await server.start()
            await scenario(address)
            await self.check_answered(address)
            await server.close()
            self.assertEqual(0, self.limits.clients.held_bytes)

        curio.run(run)

    async def check_answered(self, address: str) -> None:
        """Checks that an ordinary request is answered."""
        client = http_client.HttpClient(address)
        answer = await client.request('POST', '/ordinary', body=b'x' * 900)
        self.assertEqual(200, answer.status)
        await client.close()

    async def read_all(self, sock: typing.Any) -> bytes:
        """Reads until the peer closes the connection."""
        data = b''
        try:
            async with curio.timeout_after(10):
                while part := await sock.recv(65536):
                    data += part
        except ConnectionError:
            pass
        await sock.close()
        return data


def _head(*headers: str) -> bytes:
    lines = ['POST /untrusted HTTP/1.1', 'host: x', *headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


class TestHttp(ServerTest):
    """Limits of the HTTP server."""

    def test_declared_length_is_refused_without_the_body(self) -> None:
        """A body was read up to the limit although it declared more."""

        async def scenario(address: str) -> None:
            sock = await rpc.connect(address, timeout_s=1)
            await sock.sendall(_head('content-length: 99999999'))
            self.assertIn(b' 413 ', await self.read_all(sock))

        self.run_http(scenario)
        self.assertEqual(1, self.refused(budget.Refusal.LENGTH))
        self.assertEqual(['/ordinary'], self.served)

    def test_steady_trickle_of_a_body_ends(self) -> None:
        """Each byte started the timeout anew."""

        async def scenario(address: str) -> None:
            sock = await rpc.connect(address, timeout_s=1)
            await sock.sendall(_head('content-length: 1000'))
            reader = await curio.spawn(self.read_all, sock)
            await self.trickle(sock, reader)
            self.assertIn(b' 408 ', await reader.join())

        self.run_http(scenario)
        self.assertEqual(1, self.refused(budget.Refusal.DEADLINE))

    def test_steady_trickle_of_a_head_ends(self) -> None:
        """A head had 300 s for each byte."""

        async def scenario(address: str) -> None:
            sock = await rpc.connect(address, timeout_s=1)
            await sock.sendall(b'POST / HTTP/1.1\r\nx: ')
            reader = await curio.spawn(self.read_all, sock)
            await self.trickle(sock, reader)
            self.assertEqual(b'', await reader.join())

        self.run_http(scenario)
        self.assertEqual(1, self.refused(budget.Refusal.DEADLINE))

    async def trickle(self, sock: typing.Any, reader: curio.Task) -> None:
        """Sends single bytes until the connection is closed."""
        for _ in range(200):
            if reader.terminated:
                return
            try:
                await sock.sendall(b'a')
            except OSError:
                return
            await curio.sleep(0.05)
        self.fail('the connection stays open')

    def test_idle_connection_is_not_under_the_deadline_of_heads(self) -> None:
        async def scenario(address: str) -> None:
            client = http_client.HttpClient(address)
            await client.request('POST', '/first')
            await curio.sleep(0.6)
            self.assertTrue(client.is_open)
            await client.request('POST', '/second', only_if_open=True)
            await client.close()

        self.run_http(scenario)
        self.assertEqual(['/first', '/second', '/ordinary'], self.served)

    def test_small_chunks_are_refused(self) -> None:
        async def scenario(address: str) -> None:
            sock = await rpc.connect(address, timeout_s=1)
            await sock.sendall(_head('transfer-encoding: chunked'))
            await sock.sendall(b'1\r\nx\r\n' * 20)
            self.assertIn(b' 400 ', await self.read_all(sock))

        self.run_http(scenario)
        self.assertEqual(1, self.refused(budget.Refusal.CHUNKS))

    def test_chunks_of_reasonable_size_are_accepted(self) -> None:
        async def scenario(address: str) -> None:
            sock = await rpc.connect(address, timeout_s=1)
            await sock.sendall(
                _head('transfer-encoding: chunked', 'connection: close')
            )
            await sock.sendall(
                (b'80\r\n' + b'x' * 128 + b'\r\n') * 50 + b'0\r\n\r\n'
            )
            self.assertIn(b' 200 ', await self.read_all(sock))

        self.run_http(scenario)

    def test_dropped_request_is_answered_and_never_runs(self) -> None:
        """A 503 says that the request has not run."""

        async def scenario(address: str) -> None:
            self.limits.body_timeout_s = 20.0
            readers = []
            for _ in range(3):
                sock = await rpc.connect(address, timeout_s=1)
                await sock.sendall(_head('content-length: 300000'))
                await sock.sendall(b'x' * 299_999)
                readers.append(await curio.spawn(self.read_all, sock))
                await curio.sleep(0.2)
            answer = await readers[0].join()
            self.assertIn(b' 503 ', answer)
            self.assertIn(b'banyan-outcome: not-run', answer.lower())
            for reader in readers[1:]:
                await reader.cancel()

        self.run_http(scenario)
        self.assertEqual(['/ordinary'], self.served)

    def test_idle_connection_gives_way_to_a_new_one(self) -> None:
        """Idle connections kept others in the backlog."""

        async def scenario(address: str) -> None:
            socks = [await rpc.connect(address, timeout_s=1) for _ in range(9)]
            await self.check_answered(address)
            for sock in socks:
                await sock.close()

        self.run_http(scenario)
        self.assertGreater(self.refused(budget.Refusal.CONNECTIONS), 0)

    def test_small_unfinished_body_gives_way_to_a_new_one(self) -> None:
        """Small bodies that stall never reach the limit of bytes."""

        async def scenario(address: str) -> None:
            self.limits.body_timeout_s = 20.0
            socks = []
            for _ in range(9):
                sock = await rpc.connect(address, timeout_s=1)
                await sock.sendall(_head('content-length: 9') + b'x')
                socks.append(sock)
            await self.check_answered(address)
            for sock in socks:
                await sock.close()

        self.run_http(scenario)
        self.assertGreater(self.refused(budget.Refusal.CONNECTIONS), 0)

    def test_response_that_is_not_read(self) -> None:
        """A response was held for as long as its client stayed."""

        async def scenario(address: str) -> None:
            sock = await rpc.connect(address, timeout_s=1)
            request = _head('content-length: 0', 'x-size: 500000')
            await sock.sendall(request * 40)
            for _ in range(200):
                if self.refused(budget.Refusal.NOT_READING):
                    break
                await curio.sleep(0.05)
            await sock.close()

        self.run_http(scenario)
        self.assertEqual(1, self.refused(budget.Refusal.NOT_READING))

    def test_refusals_are_logged(self) -> None:
        async def scenario(address: str) -> None:
            sock = await rpc.connect(address, timeout_s=1)
            await sock.sendall(_head('content-length: 99999999'))
            await self.read_all(sock)

        with self.assertLogs('banyantrack.transport.budget') as logged:
            self.run_http(scenario)
        self.assertIn('client_refused', ' '.join(logged.output))


class TestRpc(ServerTest):
    """Limits of the RPC server."""

    def run_rpc(self, scenario: Scenario) -> None:
        """Runs a scenario against an RPC server; a call works afterwards."""

        async def gossip(
            request: cluster.GossipRequest,
        ) -> cluster.GossipReply:
            return cluster.GossipReply(entry=request.entry)

        async def run() -> None:
            (port,) = system.reserve_ports(1)
            address = f'127.0.0.1:{port}'
            server = rpc.RpcServer(address, limits=self.limits)
            server.handle(cluster.GossipRequest, gossip, concurrent=True)
            await server.start()
            await scenario(address)
            await self.check_call(address)
            await server.close()
            self.assertEqual(0, self.limits.members.held_bytes)

        curio.run(run)

    async def check_call(self, address: str) -> None:
        """Checks that an ordinary call is answered."""
        client = rpc.RpcClient(address)
        reply = await client.call(
            cluster.GossipRequest(entry='ok'), timeout_s=5
        )
        self.assertEqual('ok', reply.entry)
        await client.close()

    def test_oldest_unfinished_frame_is_dropped(self) -> None:
        async def scenario(address: str) -> None:
            self.limits.body_timeout_s = 20.0
            socks = []
            for _ in range(3):
                sock = await rpc.connect(address, timeout_s=1)
                await sock.sendall(struct.pack('>I', MIB) + bytes(600 * KIB))
                socks.append(sock)
            self.assertEqual(b'', await self.read_all(socks[0]))
            self.assertLessEqual(self.limits.members.held_bytes, MIB)
            for sock in socks[1:]:
                await sock.close()

        self.run_rpc(scenario)

    def test_frame_that_trickles_ends(self) -> None:
        async def scenario(address: str) -> None:
            sock = await rpc.connect(address, timeout_s=1)
            await sock.sendall(struct.pack('>I', 1000) + b'x')
            self.assertEqual(b'', await self.read_all(sock))

        self.run_rpc(scenario)
        self.assertEqual(1, self.refused(budget.Refusal.DEADLINE))

    def test_idle_connection_stays_open(self) -> None:
        """Members and entries call at long intervals."""

        async def scenario(address: str) -> None:
            client = rpc.RpcClient(address)
            for _ in range(2):
                await client.call(
                    cluster.GossipRequest(entry='ok'), timeout_s=5
                )
                await curio.sleep(0.6)
            await client.close()

        self.run_rpc(scenario)
        self.assertEqual(0, self.refused(budget.Refusal.DEADLINE))

    def test_active_peer_outlives_idle_connections(self) -> None:
        """A crowd of idle connections ended those of members."""

        async def scenario(address: str) -> None:
            client = rpc.RpcClient(address)
            await client.call(cluster.GossipRequest(entry='ok'), timeout_s=5)
            for _ in range(12):
                sock = await rpc.connect(address, timeout_s=1)
                await curio.sleep(0.02)
                await client.call(
                    cluster.GossipRequest(entry='ok'), timeout_s=5
                )
                self.addCleanup(sock._socket.close)
            await client.close()

        self.run_rpc(scenario)
        self.assertGreater(self.refused(budget.Refusal.CONNECTIONS), 0)


class TestSettings(testtools.TestCase):
    def test_limits_of_settings(self) -> None:
        metrics = metrics_module.Metrics()
        self.addCleanup(descriptors.LIMIT.set, 10**9, 0)
        limits = budget.make_limits(
            settings_types.LimitSettings(
                memory_mb=ENTRY_MEMORY_MB,
                descriptors=ENTRY_DESCRIPTORS,
                file_descriptors=200,
                buffered_bytes=0,
                source_share=0.75,
                head_timeout_ms=1500,
                body_timeout_ms=2500,
                send_timeout_ms=3500,
                idle_timeout_ms=4500,
                unchecked_chunks=5,
                mean_chunk_bytes=6,
            ),
            metrics,
        )
        self.assertEqual(
            (1.5, 2.5, 3.5, 4.5, 5, 6),
            (
                limits.head_timeout_s,
                limits.body_timeout_s,
                limits.send_timeout_s,
                limits.idle_timeout_s,
                limits.unchecked_chunks,
                limits.mean_chunk_bytes,
            ),
        )
        self.assertIn('banyan_held_bytes 0', metrics.render())
