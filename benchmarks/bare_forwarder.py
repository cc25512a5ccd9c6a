"""Forwards requests without any policy, as a baseline of processor time.

Sends each request to the next backend in turn over a persistent connection
and returns the response. Its processor time is the minimum cost of curio and
h11; `benchmarks.dispatch` compares that of an entry with it.
"""

from __future__ import annotations

import argparse
import collections
import itertools
import socket

import curio
from curio import io
import h11

READ_BYTES = 65536


async def _next_event(connection: h11.Connection, sock: io.Socket) -> object:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await sock.recv(READ_BYTES))


async def _read_message(
    connection: h11.Connection, sock: io.Socket
) -> tuple[object, bytes]:
    head = await _next_event(connection, sock)
    body = b''
    while isinstance(head, (h11.Request, h11.Response)):
        event = await _next_event(connection, sock)
        if not isinstance(event, h11.Data):
            break
        body += event.data
    return head, body


def _serialize_message(
    connection: h11.Connection, head: object, body: bytes
) -> bytes:
    data = connection.send(head)
    if body:
        data += connection.send(h11.Data(data=body))
    return data + connection.send(h11.EndOfMessage())


class Forwarder:
    """Forwards requests to backends in turn.

    Args:
        backends: Host and port of each backend.
    """

    def __init__(self, backends: list[tuple[str, int]]) -> None:
        self._backends = itertools.cycle(backends)
        self._idle_connections: dict[
            tuple[str, int], list[tuple[io.Socket, h11.Connection]]
        ] = collections.defaultdict(list)

    async def serve(self, client: io.Socket, address: object) -> None:
        """Serves one connection of a client."""
        connection = h11.Connection(h11.SERVER)
        async with client:
            while True:
                head, body = await _read_message(connection, client)
                if not isinstance(head, h11.Request):
                    return
                response, response_body = await self._forward(head, body)
                response = h11.Response(
                    status_code=response.status_code, headers=response.headers
                )
                await client.sendall(
                    _serialize_message(connection, response, response_body)
                )
                if connection.our_state is not h11.DONE:
                    return
                connection.start_next_cycle()

    async def _forward(
        self, head: h11.Request, body: bytes
    ) -> tuple[h11.Response, bytes]:
        address = next(self._backends)
        if self._idle_connections[address]:
            sock, connection = self._idle_connections[address].pop()
        else:
            sock = await curio.open_connection(*address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=head.method, target=head.target, headers=head.headers
        )
        await sock.sendall(_serialize_message(connection, request, body))
        response, response_body = await _read_message(connection, sock)
        connection.start_next_cycle()
        self._idle_connections[address].append((sock, connection))
        return response, response_body


def main() -> None:
    """Forwards requests until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--backend', action='append', required=True)
    options = parser.parse_args()
    backends = []
    for address in options.backend:
        host, port = address.split(':')
        backends.append((host, int(port)))
    forwarder = Forwarder(backends)
    curio.run(curio.tcp_server, '127.0.0.1', options.port, forwarder.serve)


if __name__ == '__main__':
    main()
