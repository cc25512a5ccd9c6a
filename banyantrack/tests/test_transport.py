"""Tests of HTTP and RPC connections.

Invalid input may end its own connection, but never the daemon.
"""

from __future__ import annotations

import collections.abc
import struct
import typing
from unittest import mock

import curio
import h11
import hypothesis
from hypothesis import strategies
import testtools

from banyantrack.core import codec
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.testing import system
from banyantrack.transport import http
from banyantrack.transport import http_client
from banyantrack.transport import http_server
from banyantrack.transport import rpc

FUZZ = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def free_address() -> str:
    """Returns a free loopback address."""
    (port,) = system.reserve_ports(1)
    return f'127.0.0.1:{port}'


async def _echo(request: http_server.Request) -> None:
    body = await request.read_body(100_000)
    await request.respond(200, [], body)


class HttpTest(testtools.TestCase):
    """Base class with an HTTP server that echoes request bodies."""

    def exchange(self, *parts: bytes, half_close: bool = False) -> bytes:
        """Sends raw bytes and returns the raw response.

        Asserts that the server responds to a valid request afterwards.

        Args:
            *parts: Data, sent with one write each.
            half_close: Whether to shut down the sending side after it.
        """

        async def run() -> bytes:
            address = free_address()
            server = http_server.HttpServer(
                address, _echo, caller_timeout_s=0.3
            )
            await server.start()
            sock = await rpc.connect(address, timeout_s=1.0)
            answer = b''
            try:
                for part in parts:
                    await sock.sendall(part)
                if half_close:
                    await sock.shutdown(1)
                async with curio.ignore_after(0.6):
                    while data := await sock.recv(65536):
                        answer += data
            except OSError:
                pass
            await sock.close()
            client = http_client.HttpClient(address)
            second = await client.request('POST', '/', body=b'x')
            self.assertEqual(b'x', second.body)
            await client.close()
            await server.close()
            return answer

        return curio.run(run)


class TestBadHttp(HttpTest):
    """Malformed requests are answered with an error status."""

    def test_invalid_request_line(self) -> None:
        self.assertIn(b' 400 ', self.exchange(b'GARBAGE\r\n\r\n'))

    def test_large_head_in_one_piece(self) -> None:
        head = b'GET / HTTP/1.1\r\nhost: x\r\nx: ' + b'a' * 40_000
        self.assertIn(b' 431 ', self.exchange(head + b'\r\n\r\n'))

    def test_endless_head(self) -> None:
        head = b'GET / HTTP/1.1\r\nhost: x\r\nx: '
        answer = self.exchange(head, *(b'a' * 8000 for _ in range(6)))
        self.assertIn(b' 431 ', answer)

    def test_truncated_request(self) -> None:
        head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab'
        self.assertEqual(b'', self.exchange(head, half_close=True))

    def test_stalled_request_times_out(self) -> None:
        head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab'
        self.assertIn(b' 408 ', self.exchange(head))

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        one = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\n%d'
        answer = self.exchange(one % 1 + one % 2)
        self.assertTrue(answer.endswith(b'\r\n\r\n2'), answer)
        self.assertEqual(2, answer.count(b' 200 '))

    def test_expect_continue(self) -> None:
        head = (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n'
            b'expect: 100-continue\r\n\r\n'
        )
        self.assertIn(b' 100 ', self.exchange(head, b'y'))

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes(self, data: bytes) -> None:
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(data)
        try:
            while not isinstance(
                connection.next_event(),
                (h11.ConnectionClosed, type(h11.NEED_DATA)),
            ):
                pass
        except h11.RemoteProtocolError:
            pass


class TestStop(testtools.TestCase):
    """A stopping server closes only connections whose response said so."""

    def test_response_started_before_stop_keeps_connection_open(self) -> None:
        async def run() -> list[int]:
            address = free_address()
            resume = curio.Event()

            async def slow(request: http_server.Request) -> None:
                await request.read_body(100)
                if not resume.is_set():
                    await request.start_response(
                        200, [(b'content-length', b'1')]
                    )
                    await resume.wait()
                    await request.send_data(b'x')
                    await request.end_response()
                else:
                    await request.respond(200, [], b'y')

            server = http_server.HttpServer(address, slow)
            await server.start()
            client = http_client.HttpClient(address)
            first = await curio.spawn(client.request, 'GET', '/')
            await curio.sleep(0.1)
            server.start_closing()
            await resume.set()
            answers = [await first.join()]
            answers.append(await client.request('GET', '/'))
            await client.close()
            await server.close()
            self.assertEqual('close', answers[1].header('connection'))
            return [answer.status for answer in answers]

        self.assertEqual([200, 200], curio.run(run))


class TestOpenConnections(testtools.TestCase):
    """A request may be bound to the process that answered the one before."""

    def test_no_request_reaches_another_process(self) -> None:
        async def run() -> None:
            address = free_address()
            served: list[str] = []

            async def serve(request: http_server.Request) -> None:
                served.append(request.path)
                await request.respond(200, [])

            server = http_server.HttpServer(address, serve)
            await server.start()
            client = http_client.HttpClient(address)
            self.assertFalse(client.is_open)
            await self.check_refused(client)
            await client.request('GET', '/first')
            self.assertTrue(client.is_open)
            await client.request('GET', '/second', only_if_open=True)
            await server.close()
            server = http_server.HttpServer(address, serve)
            await server.start()
            await self.check_refused(client)
            self.assertEqual(['/first', '/second'], served)
            await server.close()

        curio.run(run)

    async def check_refused(self, client: http_client.HttpClient) -> None:
        """Checks that a request fails with nothing sent."""
        try:
            await client.request('GET', '/other', only_if_open=True)
        except http_client.HttpError as error:
            self.assertFalse(error.sent)
            self.assertIs(http_client.NoResponse.CLOSED, error.cause)
        else:
            self.fail('the request was sent')


class TestHeaders(testtools.TestCase):
    """Headers that concern one connection are not forwarded."""

    def test_end_to_end(self) -> None:
        headers = [
            (b'connection', b'x-own, keep-alive'),
            (b'x-own', b'1'),
            (b'te', b'trailers'),
            (b'accept', b'*/*'),
        ]
        self.assertEqual([(b'accept', b'*/*')], http.end_to_end(headers))


class RpcTest(testtools.TestCase):
    """Base class with an RPC server that replies to gossip requests."""

    def run_with(
        self,
        scenario: collections.abc.Callable[
            [str], collections.abc.Awaitable[typing.Any]
        ],
    ) -> typing.Any:
        """Runs a scenario with the address of a running server."""

        async def gossip(
            request: cluster.GossipRequest,
        ) -> cluster.GossipReply:
            if request.entry == 'refuse':
                raise rpc.CallError(cluster.ErrorCode.UNAVAILABLE, 'no')
            if request.entry == 'slow':
                await curio.sleep(0.3)
            return cluster.GossipReply(revision=7, entry=request.entry)

        async def run() -> typing.Any:
            address = free_address()
            server = rpc.RpcServer(address)
            server.handle(cluster.GossipRequest, gossip, concurrent=True)
            await server.start()
            result = await scenario(address)
            await server.close()
            return result

        return curio.run(run)


class TestRpc(RpcTest):
    """Each reply is returned to the call that it belongs to."""

    def test_out_of_order_replies_are_matched_to_their_calls(self) -> None:
        async def scenario(address: str) -> list[str]:
            pool = rpc.RpcPool()

            async def call(name: str) -> str:
                request = cluster.GossipRequest(entry=name)
                return (await pool.call(address, request, timeout_s=1)).entry

            tasks = [await curio.spawn(call, n) for n in ('slow', 'a', 'b')]
            names = [await task.join() for task in tasks]
            await pool.close()
            return names

        self.assertEqual(['slow', 'a', 'b'], self.run_with(scenario))

    def test_error_reply(self) -> None:
        async def scenario(address: str) -> int:
            client = rpc.RpcClient(address)
            try:
                await client.call(
                    cluster.GossipRequest(entry='refuse'), timeout_s=1
                )
            except rpc.CallError as error:
                return error.code
            finally:
                await client.close()
            return 0

        self.assertEqual(
            cluster.ErrorCode.UNAVAILABLE, self.run_with(scenario)
        )

    def test_late_reply_is_not_returned_to_the_next_call(self) -> None:
        async def scenario(address: str) -> str:
            client = rpc.RpcClient(address)
            try:
                await client.call(
                    cluster.GossipRequest(entry='slow'), timeout_s=0.05
                )
            except rpc.TransportError as error:
                self.assertTrue(error.sent)
            reply = await client.call(
                cluster.GossipRequest(entry='next'), timeout_s=1
            )
            await client.close()
            return reply.entry

        self.assertEqual('next', self.run_with(scenario))

    def test_no_task_reads_from_a_connection_that_is_closed(self) -> None:
        # Guards against a process that ends by itself: the event loop fails
        # when the descriptor of such a connection is used again.
        async def scenario(address: str) -> list[bool]:
            client = rpc.RpcClient(address)
            await client.call(cluster.GossipRequest(entry='a'), timeout_s=1)
            reader, stream = client._reader, client._stream
            ended = []

            async def close() -> None:
                ended.append(reader.terminated)
                await rpc.FrameStream.close(stream)

            with mock.patch.object(stream, 'close', close):
                await client.close()
            return ended

        self.assertEqual([True], self.run_with(scenario))

    def test_refused_connection_is_reported_as_not_sent(self) -> None:
        async def run() -> bool:
            client = rpc.RpcClient(free_address())
            try:
                await client.call(cluster.GossipRequest(), timeout_s=1)
            except rpc.TransportError as error:
                return error.sent
            return True

        self.assertFalse(curio.run(run))


class TestBadFrames(RpcTest):
    """An invalid frame closes its own connection only."""

    def _send(self, *frames: bytes) -> None:
        async def scenario(address: str) -> None:
            for frame in frames:
                sock = await rpc.connect(address, timeout_s=1.0)
                try:
                    await sock.sendall(frame)
                    await sock.shutdown(1)
                    async with curio.ignore_after(0.5):
                        self.assertEqual(b'', await sock.recv(100))
                except OSError:
                    pass
                await sock.close()
            client = rpc.RpcClient(address)
            reply = await client.call(
                cluster.GossipRequest(entry='ok'), timeout_s=1
            )
            self.assertEqual('ok', reply.entry)
            await client.close()

        self.run_with(scenario)

    def _frame(self, **fields: typing.Any) -> bytes:
        values = {
            'version': 1,
            'kind': 20,
            'call_id': 1,
            'reply': False,
            'payload': b'',
        }
        data = codec.encode(cluster.Frame(**(values | fields)))
        return struct.pack('>I', len(data)) + data

    def test_invalid_frames(self) -> None:
        self._send(
            b'\xff\xff\xff\xff',
            b'\0\0\0\5ab',
            b'\0\0\0\3abc',
            self._frame(version=99),
            self._frame(kind=77),
            self._frame(payload=b'\x19\xff\xff'),
            self._frame(reply=True),
        )

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=100))
    def test_random_payload_is_decoded_or_rejected(self, data: bytes) -> None:
        for struct_type in (cluster.Frame, cluster.GossipRequest):
            try:
                codec.decode(struct_type, data)
            except codec.DecodeError:
                pass
