"""Remote procedure calls between daemons, as framed thrift structs.

A frame is a length of four bytes in network byte order, followed by a `Frame`
struct. Replies are matched to the calls of a connection by call id, so a late
reply is never returned to another call.
"""

from __future__ import annotations

import collections.abc
import errno
import itertools
import logging
import socket
import struct
import time
import typing

import curio
from curio import io

from banyantrack.core import codec
from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.generated.cluster import constants
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.transport import addresses
from banyantrack.transport import budget
from banyantrack.transport import descriptors
from banyantrack.transport import listener
from banyantrack.transport import messages
from banyantrack.transport import parts

FRAME_LIMIT_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
# The kernel closes a connection whose sent data stays unacknowledged for this
# time (TCP_USER_TIMEOUT).
UNACKNOWLEDGED_TIMEOUT_MS = 3000
# Calls of one connection that are handled at once; further ones are not read.
CALLS_PER_CONNECTION = 512
# What a call in progress takes besides its payload: its task and its request.
CALL_OVERHEAD_BYTES = 8 * 1024
# Frames of a connection after which other tasks run.
FRAMES_PER_SLICE = 32
READ_BYTES = 64 * 1024
SWEEP_INTERVAL_S = 1.0
_LENGTH = struct.Struct('>I')
_LOG = logging.getLogger(__name__)

Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]


class TransportError(errors.BanyanError):
    """A call received no reply.

    Attributes:
        sent: Whether the peer may have received any byte of the request.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class CallError(errors.BanyanError):
    """The peer answered a call with an error.

    Attributes:
        code: `cluster.ErrorCode` of the error.
        leader_address: RPC address of the leader; empty if unknown.
    """

    def __init__(
        self,
        code: int,
        message: str,
        *,
        leader_address: str = '',
    ) -> None:
        super().__init__(message)
        self.code = code
        self.leader_address = leader_address


class FrameError(errors.BanyanError):
    """Received data is not a valid frame of this protocol."""


class FrameStream:
    """Reads and writes frames on one socket.

    Args:
        sock: A connected socket.
        limits: Limits of the process for frames that are received; no limit
            besides FRAME_LIMIT_BYTES if None.

    Attributes:
        sending_since_s: Monotonic time at which the write in progress began;
            None if there is none.
    """

    def __init__(
        self, sock: io.Socket, limits: budget.Limits | None = None
    ) -> None:
        self._socket = sock
        self._limits = limits
        self._holding: budget.Holding | None = None
        if limits is not None:
            self._holding = budget.Holding(
                limits.members, sock.getpeername()[0], self.shut_down
            )
        self._frames = 0
        self._deadline_s: float | None = None
        self.sending_since_s: float | None = None
        self._buffer = bytearray()
        # The frame that is being received, if it is a large one.
        self._parts = parts.PartBuffer()
        self._write_lock = curio.Lock()
        self._write_incomplete = False

    @property
    def source(self) -> str:
        """Address of the peer, without its port."""
        return self._holding.source if self._holding is not None else ''

    async def read(self) -> cluster.Frame | None:
        """Returns the next frame, or None at the end of the stream.

        Raises:
            FrameError: If the data is not a valid frame, took too long, or
                the memory for frames is short.
            OSError: If the connection fails.
        """
        self._frames += 1
        if self._frames % FRAMES_PER_SLICE == 0:
            # Reading waits for nothing while data is there.
            await curio.sleep(0)
        self._deadline_s = None
        try:
            return await self._read_frame()
        except budget.BudgetError as error:
            raise FrameError(str(error)) from error
        finally:
            if self._holding is not None:
                self._holding.release()

    async def _read_frame(self) -> cluster.Frame | None:
        head = await self._read_exactly(_LENGTH.size)
        if head is None:
            return None
        (length,) = _LENGTH.unpack(head)
        if length > FRAME_LIMIT_BYTES:
            raise FrameError(
                f'frame has {length} bytes; the limit is {FRAME_LIMIT_BYTES}'
            )
        if self._limits is not None:
            self._deadline_s = time.monotonic() + self._limits.body_timeout_s
        data = await self._read_exactly(length)
        if data is None:
            raise FrameError('connection closed within a frame')
        try:
            frame = codec.decode(cluster.Frame, data)
        except codec.DecodeError as error:
            raise FrameError(str(error)) from error
        if frame.version != constants.PROTOCOL_VERSION:
            raise FrameError(
                f'unsupported protocol version {frame.version};'
                f' expected {constants.PROTOCOL_VERSION}'
            )
        return frame

    async def write(self, frame: cluster.Frame) -> None:
        """Writes a frame.

        Raises:
            OSError: If the connection fails.
        """
        data = codec.encode(frame)
        async with self._write_lock:
            if self._write_incomplete:
                # A task was cancelled after it had sent a part of its frame.
                raise ConnectionError('an earlier frame was sent incompletely')
            self._write_incomplete = True
            self.sending_since_s = time.monotonic()
            try:
                await self._socket.sendall(_LENGTH.pack(len(data)) + data)
            finally:
                self.sending_since_s = None
            self._write_incomplete = False

    async def close(self) -> None:
        """Closes the socket."""
        await self._socket.close()

    def discard_input(self) -> None:
        """Frees received data without waiting for the garbage collector."""
        self._buffer.clear()
        self._parts.clear()

    def shut_down(self) -> None:
        """Shuts down both directions, which wakes tasks that wait for data."""
        try:
            with self._socket.blocking() as raw:
                raw.setblocking(False)
                raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    async def _read_large(self, size: int) -> bytes:
        """Returns the next bytes, which are more than one read.

        Raises:
            FrameError: If the connection is closed before.
            BudgetError: If they cannot be reserved.
        """
        collected = self._parts
        collected.clear()
        collected.append(bytes(self._buffer))
        self._buffer.clear()
        while len(collected) < size:
            await self._hold(min(size, len(collected) + READ_BYTES))
            data = await self._receive(size - len(collected))
            if not data:
                raise FrameError('connection closed within a frame')
            collected.append(data)
        data = collected.join()
        collected.clear()
        return data

    async def _read_exactly(self, size: int) -> bytes | None:
        if size > READ_BYTES and len(self._buffer) < size:
            return await self._read_large(size)
        while len(self._buffer) < size:
            await self._hold(min(size, len(self._buffer) + READ_BYTES))
            data = await self._receive(READ_BYTES)
            if not data:
                if self._buffer:
                    raise FrameError('connection closed within a frame')
                return None
            self._buffer += data
        with memoryview(self._buffer) as view:
            data = bytes(view[:size])
        del self._buffer[:size]
        return data

    async def _hold(self, size: int) -> None:
        """Reserves memory for a part of a frame before it is read.

        Raises:
            BudgetError: If it cannot be reserved.
        """
        if self._holding is None:
            return
        if self._buffer or self._deadline_s is not None:
            # A connection that waits for a frame is not an unfinished one.
            self._holding.set_unfinished(True)
        if self._holding.resize(max(size, self._holding.held_bytes)):
            await curio.sleep(0)

    async def _receive(self, size: int) -> bytes:
        size = min(size, READ_BYTES)
        if self._limits is None or not (
            self._buffer or self._deadline_s is not None
        ):
            data = await self._socket.recv(size)
        else:
            if self._deadline_s is None:
                self._deadline_s = (
                    time.monotonic() + self._limits.body_timeout_s
                )
            left_s = max(self._deadline_s - time.monotonic(), 0)
            try:
                async with curio.timeout_after(left_s):
                    data = await self._socket.recv(size)
            except curio.TaskTimeout:
                self._limits.refusals.add(
                    budget.Refusal.DEADLINE, source=self.source
                )
                raise FrameError('a frame took too long') from None
        return data


def _make_frame(
    kind: messages.MessageKind, call_id: int, reply: bool, body: object
) -> cluster.Frame:
    return cluster.Frame(
        version=constants.PROTOCOL_VERSION,
        kind=int(kind),
        call_id=call_id,
        reply=reply,
        payload=codec.encode(body),
    )


class RpcServer:
    """Serves calls on one address.

    Calls on one connection are handled one after another, except those whose
    handler is registered as concurrent.

    Args:
        address: `IP:PORT` to listen on.
        limits: Limits of the process; default ones of its own if None.
    """

    def __init__(
        self, address: str, *, limits: budget.Limits | None = None
    ) -> None:
        self._handlers: dict[int, tuple[Handler, bool]] = {}
        self._limits = limits or budget.Limits()
        self._listener = listener.Listener(
            address,
            self._serve,
            limit=self._limits.connections.members,
            make_room=self._end_oldest,
            member=True,
        )
        # Open connections and their number of calls in progress, those that
        # have waited longest for a frame first.
        self._streams: dict[FrameStream, int] = {}
        self._sweeper: curio.Task | None = None

    def handle(
        self, request: type, handler: Handler, *, concurrent: bool = False
    ) -> None:
        """Registers the handler of a request type.

        Args:
            request: Struct type of the request.
            handler: Returns the reply; raises `CallError` to return an error.
            concurrent: Whether each call is handled in a separate task.
        """
        kind = int(messages.BY_REQUEST[request].kind)
        self._handlers[kind] = (handler, concurrent)

    async def start(self) -> None:
        """Starts accepting connections."""
        await self._listener.start()
        self._sweeper = await curio.spawn(self._sweep, daemon=True)

    async def close(self) -> None:
        """Stops accepting and closes all connections."""
        await self._listener.close()
        if self._sweeper is not None:
            await self._sweeper.cancel()

    async def _sweep(self) -> None:
        """Ends connections whose peers do not read their replies."""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            before_s = time.monotonic() - self._limits.send_timeout_s
            for stream in list(self._streams):
                since_s = stream.sending_since_s
                if since_s is not None and since_s < before_s:
                    self._limits.refusals.add(
                        budget.Refusal.NOT_READING, source=stream.source
                    )
                    stream.shut_down()

    def _end_oldest(self) -> bool:
        """Ends the connection that has waited longest for a frame.

        Returns:
            Whether there was one without a call in progress.
        """
        for stream, calls in self._streams.items():
            if calls == 0:
                self._limits.refusals.add(
                    budget.Refusal.CONNECTIONS, source=stream.source
                )
                del self._streams[stream]
                stream.shut_down()
                return True
        return False

    async def _serve(self, client: io.Socket) -> None:
        stream = FrameStream(client, self._limits)
        slots = curio.Semaphore(CALLS_PER_CONNECTION)
        self._streams[stream] = 0
        try:
            while (frame := await stream.read()) is not None:
                # The last one to have sent a frame is ended last.
                if stream in self._streams:
                    self._streams[stream] = self._streams.pop(stream)
                await slots.acquire()
                self._count_call(stream, 1)
                await self._dispatch(stream, frame, slots)
        except FrameError as error:
            logs.event(_LOG, 'bad_frame', level=logging.WARNING, error=error)
        finally:
            self._streams.pop(stream, None)
            stream.discard_input()

    def _count_call(self, stream: FrameStream, change: int) -> None:
        if stream in self._streams:
            self._streams[stream] += change

    async def _dispatch(
        self,
        stream: FrameStream,
        frame: cluster.Frame,
        slots: curio.Semaphore,
    ) -> None:
        """Handles a call; its slot is free when it has been answered."""
        if frame.reply or frame.kind not in self._handlers:
            raise FrameError(f'unexpected message kind {frame.kind}')
        handler, concurrent = self._handlers[frame.kind]
        if concurrent:
            await curio.spawn(
                self._answer_concurrently,
                stream,
                frame,
                handler,
                slots,
                daemon=True,
            )
            return
        try:
            await self._answer(stream, frame, handler)
        finally:
            self._count_call(stream, -1)
            await slots.release()

    async def _answer_concurrently(
        self,
        stream: FrameStream,
        frame: cluster.Frame,
        handler: Handler,
        slots: curio.Semaphore,
    ) -> None:
        holding = budget.Holding(
            self._limits.members, stream.source, stream.shut_down
        )
        try:
            holding.resize(CALL_OVERHEAD_BYTES + len(frame.payload))
            await self._answer(stream, frame, handler)
        except budget.BudgetError as error:
            # The caller sees a broken connection and tries again.
            self._limits.refusals.add(error.refusal, source=stream.source)
            stream.shut_down()
        except (OSError, FrameError) as error:
            logs.event(_LOG, 'reply_lost', level=logging.DEBUG, error=error)
        except errors.InvariantError as error:
            errors.report_invariant_error(error)
        finally:
            holding.release()
            self._count_call(stream, -1)
            await slots.release()

    async def _answer(
        self, stream: FrameStream, frame: cluster.Frame, handler: Handler
    ) -> None:
        call = messages.BY_KIND[frame.kind]
        try:
            request = codec.decode(call.request, frame.payload)
            reply = await handler(request)
            kind = call.kind
        except codec.DecodeError as error:
            raise FrameError(str(error)) from error
        except CallError as error:
            kind = messages.MessageKind.ERROR
            reply = cluster.ErrorReply(
                code=error.code,
                message=str(error),
                leader_address=error.leader_address,
            )
        await stream.write(_make_frame(kind, frame.call_id, True, reply))


class _PendingCall:
    """A call that waits for its reply.

    Attributes:
        event: Set when the reply is received or the connection is closed.
        frame: The reply; None if the connection was closed before it.
    """

    __slots__ = ('event', 'frame')

    def __init__(self) -> None:
        self.event = curio.Event()
        self.frame: cluster.Frame | None = None


class RpcClient:
    """Calls one peer over one connection, opened on demand.

    A call that times out closes the connection, since a device between the two
    ends may have dropped it without notice; the next call opens a new one.

    Args:
        address: `IP:PORT` of the peer.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._stream: FrameStream | None = None
        self._reader: curio.Task | None = None
        self._pending: dict[int, _PendingCall] = {}
        self._call_ids = itertools.count(1)
        self._connect_lock = curio.Lock()

    @property
    def address(self) -> str:
        """Address of the peer."""
        return self._address

    async def call(
        self, request: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Makes one call.

        Args:
            request: Request struct.
            timeout_s: Seconds until the call is aborted.

        Returns:
            The reply struct.

        Raises:
            TransportError: If no reply was received.
            CallError: If the peer replied with an error.
        """
        call = messages.BY_REQUEST[type(request)]
        sent = False
        pending = _PendingCall()
        call_id = next(self._call_ids)
        try:
            async with curio.timeout_after(timeout_s):
                stream = await self._ensure_connected()
                self._pending[call_id] = pending
                sent = True
                await stream.write(
                    _make_frame(call.kind, call_id, False, request)
                )
                await pending.event.wait()
        except curio.TaskTimeout:
            await self.close()
            raise TransportError(
                f'{self._address}: no reply within {timeout_s:.3f} s',
                sent=sent,
            ) from None
        except OSError as error:
            await self.close()
            raise TransportError(
                f'{self._address}: {error}', sent=sent
            ) from error
        finally:
            self._pending.pop(call_id, None)
        if pending.frame is None:
            raise TransportError(
                f'{self._address}: connection closed', sent=True
            )
        return self._decode_reply(call, pending.frame)

    async def close(self) -> None:
        """Closes the connection; pending calls fail."""
        stream, self._stream = self._stream, None
        reader, self._reader = self._reader, None
        if reader is not None:
            # The event loop must not wait for a connection that is closed.
            await reader.cancel()
        if stream is not None:
            await stream.close()
        await self._fail_pending()

    def _decode_reply(
        self, call: messages.CallType, frame: cluster.Frame
    ) -> typing.Any:
        try:
            if frame.kind == messages.MessageKind.ERROR:
                error = codec.decode(cluster.ErrorReply, frame.payload)
                raise CallError(
                    error.code,
                    error.message,
                    leader_address=error.leader_address,
                )
            if frame.kind != call.kind:
                raise TransportError(
                    f'{self._address}: unexpected reply kind {frame.kind}',
                    sent=True,
                )
            return codec.decode(call.reply, frame.payload)
        except codec.DecodeError as error:
            raise TransportError(
                f'{self._address}: {error}', sent=True
            ) from error

    async def _ensure_connected(self) -> FrameStream:
        async with self._connect_lock:
            if self._stream is None:
                sock = await connect(
                    self._address, timeout_s=CONNECT_TIMEOUT_S, member=True
                )
                self._stream = FrameStream(sock)
                self._reader = await curio.spawn(
                    self._read_replies, self._stream, daemon=True
                )
            return self._stream

    async def _read_replies(self, stream: FrameStream) -> None:
        try:
            while (frame := await stream.read()) is not None:
                pending = self._pending.pop(frame.call_id, None)
                if pending is not None:
                    pending.frame = frame
                    await pending.event.set()
        except (OSError, FrameError) as error:
            logs.event(
                _LOG,
                'peer_connection_lost',
                level=logging.DEBUG,
                peer=self._address,
                error=error,
            )
        if self._stream is stream:
            self._stream = None
            self._reader = None
            await stream.close()
            await self._fail_pending()

    async def _fail_pending(self) -> None:
        pending = list(self._pending.values())
        self._pending.clear()
        for call in pending:
            await call.event.set()


async def connect(
    address: str, *, timeout_s: float, member: bool = False
) -> io.Socket:
    """Opens a TCP connection.

    Args:
        address: `IP:PORT`.
        timeout_s: Seconds until the attempt is aborted.
        member: Whether it may use the descriptors kept for members.

    Raises:
        OSError: If the connection fails; `TimeoutError` after `timeout_s`.
    """
    try:
        parsed = addresses.parse(address)
    except ValueError as error:
        raise OSError(errno.EINVAL, f'{address!r}: {error}') from error
    raw = socket.socket(parsed.family, socket.SOCK_STREAM)
    descriptors.LIMIT.check(raw, member=member)
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    )
    sock = io.Socket(raw)
    try:
        async with curio.timeout_after(timeout_s):
            await sock.connect(parsed)
    except curio.TaskTimeout:
        await sock.close()
        raise TimeoutError(
            f'{address}: no connection within {timeout_s:.3f} s'
        ) from None
    except BaseException:
        await sock.close()
        raise
    return sock


class RpcPool:
    """RPC clients of several peers, one per address."""

    def __init__(self) -> None:
        self._clients: dict[str, RpcClient] = {}

    async def call(
        self, address: str, request: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Makes one call to an address; see `RpcClient.call`."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address)
        return await client.call(request, timeout_s=timeout_s)

    async def close(self) -> None:
        """Closes all connections."""
        for client in list(self._clients.values()):
            await client.close()
