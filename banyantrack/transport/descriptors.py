"""Keeps descriptors free for files when sockets have taken all others.

The system hands out the lowest free descriptor, so a socket whose number
reaches a limit shows that as many descriptors are open. The limits are kept in
the memory of the process, from its settings and RLIMIT_NOFILE at its start.
"""

from __future__ import annotations

import errno
import os
import socket

# Descriptors that only connections to members may take beside those of files:
# a group has at most seven, with two connections to each.
MEMBER_DESCRIPTORS = 16


class SocketLimit:
    """Highest descriptors that sockets may have."""

    def __init__(self) -> None:
        self._members: int | None = None

    def set(self, descriptors: int, file_descriptors: int) -> None:
        """Sets the limit.

        Args:
            descriptors: Descriptors of the process.
            file_descriptors: Descriptors that are kept free for files.
        """
        reserved = min(file_descriptors, descriptors // 2)
        self._members = descriptors - reserved

    def allows(self, sock: socket.socket, *, member: bool = False) -> bool:
        """Whether a new socket leaves enough descriptors free.

        Args:
            sock: The socket.
            member: Whether it connects to a member.
        """
        if self._members is None:
            return True
        margin = 0 if member else MEMBER_DESCRIPTORS
        return sock.fileno() < self._members - margin

    def check(self, sock: socket.socket, *, member: bool = False) -> None:
        """Closes a new socket that takes a descriptor kept free.

        Args:
            sock: The socket.
            member: Whether it connects to a member.

        Raises:
            OSError: EMFILE, as if the system had refused the socket.
        """
        if not self.allows(sock, member=member):
            sock.close()
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


# One for the process, as descriptors are.
LIMIT = SocketLimit()
