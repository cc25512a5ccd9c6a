"""A forwarder without any policy: the least that curio and h11 cost.

It passes each request to the next backend in turn over a kept connection
and the answer back. Processor time of an entry is compared with its.
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


async def _event(state: h11.Connection, sock: io.Socket) -> object:
    while True:
        event = state.next_event()
        if event is not h11.NEED_DATA:
            return event
        state.receive_data(await sock.recv(READ_BYTES))


async def _message(
    state: h11.Connection, sock: io.Socket
) -> tuple[object, bytes]:
    head = await _event(state, sock)
    body = b''
    while isinstance(head, (h11.Request, h11.Response)):
        event = await _event(state, sock)
        if not isinstance(event, h11.Data):
            break
        body += event.data
    return head, body


def _bytes(state: h11.Connection, head: object, body: bytes) -> bytes:
    data = state.send(head)
    if body:
        data += state.send(h11.Data(data=body))
    return data + state.send(h11.EndOfMessage())


class Forwarder:
    """Forwards to backends in turn."""

    def __init__(self, backends: list[tuple[str, int]]) -> None:
        self._backends = itertools.cycle(backends)
        self._idle: dict[
            tuple[str, int], list[tuple[io.Socket, h11.Connection]]
        ] = collections.defaultdict(list)

    async def serve(self, client: io.Socket, address: object) -> None:
        """Serves one connection."""
        state = h11.Connection(h11.SERVER)
        async with client:
            while True:
                head, body = await _message(state, client)
                if not isinstance(head, h11.Request):
                    return
                answer, content = await self._forward(head, body)
                answer = h11.Response(
                    status_code=answer.status_code, headers=answer.headers
                )
                await client.sendall(_bytes(state, answer, content))
                if state.our_state is not h11.DONE:
                    return
                state.start_next_cycle()

    async def _forward(
        self, head: h11.Request, body: bytes
    ) -> tuple[h11.Response, bytes]:
        address = next(self._backends)
        if self._idle[address]:
            sock, state = self._idle[address].pop()
        else:
            sock = await curio.open_connection(*address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            state = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=head.method, target=head.target, headers=head.headers
        )
        await sock.sendall(_bytes(state, request, body))
        answer, content = await _message(state, sock)
        state.start_next_cycle()
        self._idle[address].append((sock, state))
        return answer, content


def main() -> None:
    """Forwards until it is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--backend', action='append', required=True)
    options = parser.parse_args()
    backends = []
    for text in options.backend:
        host, port = text.split(':')
        backends.append((host, int(port)))
    forwarder = Forwarder(backends)
    curio.run(curio.tcp_server, '127.0.0.1', options.port, forwarder.serve)


if __name__ == '__main__':
    main()
