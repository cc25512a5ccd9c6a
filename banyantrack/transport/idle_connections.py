"""Limits how many idle connections of a group of clients stay open.

Load: a leader sends orders to more workers than it has file descriptors for.
Connections are kept open because opening one takes a round trip, but only
the most recently used ones are worth a descriptor.
"""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from banyantrack.transport import http_client

# Open connections that are allowed however many are reserved; orders to a few
# workers often follow each other.
MIN_CONNECTIONS = 64


class IdleConnections:
    """Closes the connections that have been idle for longest.

    Args:
        limit: Largest number of open connections, reserved ones included;
            those in use may exceed it.
    """

    def __init__(self, limit: int) -> None:
        self._total_limit = limit
        self._reserved = 0
        # In the order of their last use.
        self._clients: collections.OrderedDict[
            http_client.HttpClient, None
        ] = collections.OrderedDict()

    @property
    def _limit(self) -> int:
        least = min(MIN_CONNECTIONS, self._total_limit)
        return max(self._total_limit - self._reserved, least)

    def __len__(self) -> int:
        return len(self._clients)

    def reserve(self) -> None:
        """Counts a connection that stays open and is closed by its owner."""
        self._reserved += 1

    def release(self) -> None:
        """Ends the count of a reserved connection."""
        self._reserved -= 1

    async def note_used(self, client: http_client.HttpClient) -> None:
        """Notes a request of a client, and closes idle connections.

        Args:
            client: The client; its request has ended.
        """
        self._clients[client] = None
        self._clients.move_to_end(client)
        if len(self._clients) <= self._limit:
            return
        for other in list(self._clients):
            if len(self._clients) <= self._limit:
                return
            if not other.in_use:
                del self._clients[other]
                await other.close()

    def forget(self, client: http_client.HttpClient) -> None:
        """Drops a client whose connection is closed."""
        self._clients.pop(client, None)
