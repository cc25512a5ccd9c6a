"""Accepts TCP connections and runs one task for each."""

from __future__ import annotations

import collections.abc
import errno
import logging
import socket
import time

import curio
from curio import io

from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.transport import addresses
from banyantrack.transport import descriptors

BACKLOG = 1024
# Delay after a transient accept error, such as running out of file descriptors
# or buffers.
ACCEPT_RETRY_DELAY_S = 0.1
# At most one line about a limit is logged in this time.
LIMIT_LOG_INTERVAL_S = 1.0
_TRANSIENT_ERRNOS = {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
}
_LOG = logging.getLogger(__name__)

ConnectionHandler = collections.abc.Callable[
    [io.Socket], collections.abc.Awaitable[None]
]
MakeRoom = collections.abc.Callable[[], bool]


def open_listener(address: str) -> io.Socket:
    """Opens a listening, non-blocking TCP socket.

    Args:
        address: `IP:PORT`.

    Raises:
        OSError: If the address cannot be bound.
    """
    parsed = addresses.parse(address)
    raw = socket.socket(parsed.family, socket.SOCK_STREAM)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind(parsed)
        raw.listen(BACKLOG)
        raw.setblocking(False)
    except OSError:
        raw.close()
        raise
    return io.Socket(raw)


class Listener:
    """Runs one task for each accepted connection.

    Args:
        address: `IP:PORT` to listen on.
        handler: Serves one connection; the socket is closed when it returns.
        limit: Maximum number of concurrent connections; further ones wait in
            the backlog.
        make_room: Ends one connection for a new one; returns whether it
            found one. None if connections are never ended for others.
        member: Whether connections may use the descriptors kept for members.
    """

    def __init__(
        self,
        address: str,
        handler: ConnectionHandler,
        *,
        limit: int = 10_000,
        make_room: MakeRoom | None = None,
        member: bool = False,
    ) -> None:
        self._member = member
        self._make_room = make_room
        self._limit_logged_at_s = float('-inf')
        self._address = address
        self._handler = handler
        self._limit = limit
        self._socket = open_listener(address)
        self._tasks: set[curio.Task] = set()
        self._below_limit = curio.Event()
        self._accept_task: curio.Task | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    async def start(self) -> None:
        """Starts accepting connections."""
        self._accept_task = await curio.spawn(self._accept, daemon=True)

    async def stop_accepting(self) -> None:
        """Stops accepting connections; open connections continue."""
        if self._accept_task is not None:
            await self._accept_task.cancel()
            self._accept_task = None
        await self._socket.close()

    async def close(self) -> None:
        """Stops accepting and closes all connections."""
        await self.stop_accepting()
        for task in list(self._tasks):
            await task.cancel(blocking=False)
        for task in list(self._tasks):
            await task.wait()

    async def _accept(self) -> None:
        while True:
            await self._wait_below_limit()
            try:
                client, _ = await self._socket.accept()
                with client.blocking() as raw:
                    raw.setblocking(False)
                    descriptors.LIMIT.check(raw, member=self._member)
            except OSError as error:
                if error.errno not in _TRANSIENT_ERRNOS:
                    raise
                self._log_limit('accept_failed', error=error)
                if self._make_room is not None:
                    self._make_room()
                await curio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            # Counted here, since the task runs only after further accepts.
            task = await curio.spawn(self._serve, client, daemon=True)
            self._tasks.add(task)

    async def _wait_below_limit(self) -> None:
        while len(self._tasks) >= self._limit:
            self._below_limit.clear()
            ended = self._make_room is not None and self._make_room()
            self._log_limit(
                'connection_limit', connections=len(self._tasks), ended=ended
            )
            # A connection may become idle, and may then be ended, without
            # any other being closed.
            async with curio.ignore_after(ACCEPT_RETRY_DELAY_S):
                await self._below_limit.wait()

    def _log_limit(self, name: str, **values: object) -> None:
        now_s = time.monotonic()
        if now_s - self._limit_logged_at_s < LIMIT_LOG_INTERVAL_S:
            return
        self._limit_logged_at_s = now_s
        logs.event(
            _LOG,
            name,
            level=logging.WARNING,
            address=self._address,
            limit=self._limit,
            **values,
        )

    async def _serve(self, client: io.Socket) -> None:
        task = await curio.current_task()
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._handler(client)
        except OSError as error:
            logs.event(
                _LOG, 'connection_lost', level=logging.DEBUG, error=error
            )
        except errors.InvariantError as error:
            errors.report_invariant_error(error)
        finally:
            self._tasks.discard(task)
            await client.close()
            await self._below_limit.set()
