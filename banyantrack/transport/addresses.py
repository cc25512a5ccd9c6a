"""Addresses of the form `IP:PORT`."""

from __future__ import annotations

import socket
import typing

from banyantrack.core import untrusted


MAX_PORT = 2**16 - 1


class Address(typing.NamedTuple):
    """Host and port, in the form that socket functions accept."""

    host: str
    port: int

    @property
    def family(self) -> socket.AddressFamily:
        """Address family of the host."""
        return socket.AF_INET6 if ':' in self.host else socket.AF_INET


def parse(text: str) -> Address:
    """Parses `IP:PORT`.

    Args:
        text: The address; an IPv6 address is written in brackets.

    Raises:
        ValueError: If the port is missing or is not a valid number.
    """
    host, _, port_text = text.rpartition(':')
    port = untrusted.parse_decimal(port_text, high=MAX_PORT)
    if port is None:
        raise ValueError(f'valid is IP:PORT with a port up to {MAX_PORT}')
    return Address(host.strip('[]'), port)
