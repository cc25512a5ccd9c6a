"""Finds the members of the control group from a few addresses.

The addresses in the settings may be old, and the settings file may change
without a signal. What members say of the group goes before it.
"""

from __future__ import annotations

import logging
import pathlib
import typing

import curio

from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.generated.workload import ttypes
from banyantrack.transport import addresses as addresses_module
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    import collections.abc

ASK_TIMEOUT_S = 0.5
# Between two looks for members; a replaced member is found after it.
REFRESH_S = 1.0
_LOG = logging.getLogger(__name__)


class Locator:
    """Addresses of control members.

    Args:
        seeds: RPC addresses from the settings.
        pool: Connections.
        reload: Returns the seeds that the settings name now.
        sender: Name of this process.
    """

    def __init__(
        self,
        seeds: collections.abc.Iterable[str],
        pool: rpc.RpcPool,
        *,
        reload: collections.abc.Callable[[], list[str]],
        sender: str,
    ) -> None:
        self._seeds = list(seeds)
        self._pool = pool
        self._reload = reload
        self._sender = sender
        self._members: list[str] = []

    @property
    def addresses(self) -> list[str]:
        """All addresses that may be a member's, known members first."""
        return list(dict.fromkeys((*self._members, *self._seeds)))

    def __iter__(self) -> collections.abc.Iterator[str]:
        return iter(self.addresses)

    async def run(self) -> None:
        """Keeps the addresses fresh until cancelled."""
        turn = 0
        while True:
            known = self.addresses
            if known:
                await self._ask(known[turn % len(known)])
                turn += 1
            self._read_seeds()
            await curio.sleep(REFRESH_S)

    async def _ask(self, address: str) -> None:
        try:
            reply = await self._pool.call(
                address,
                ttypes.MembersRequest(sender=self._sender),
                timeout_s=ASK_TIMEOUT_S,
            )
        except (rpc.TransportError, rpc.CallError):
            return
        if reply.addresses and reply.led:
            if sorted(reply.addresses) != sorted(self._members):
                logs.event(
                    _LOG,
                    'members_changed',
                    asked=address,
                    members=','.join(reply.addresses),
                )
            self._members = list(reply.addresses)

    def _read_seeds(self) -> None:
        try:
            seeds = self._reload()
        except (errors.BanyanError, OSError, ExceptionGroup) as error:
            logs.event(
                _LOG, 'seeds_unreadable', level=logging.WARNING, error=error
            )
            return
        if seeds != self._seeds:
            logs.event(_LOG, 'seeds_changed', seeds=','.join(seeds))
            self._seeds = seeds


def rpc_addresses(seeds: list[str], port: int) -> list[str]:
    """Returns RPC addresses of members whose other addresses are known.

    Args:
        seeds: Addresses of another interface of the members.
        port: RPC port, the same at all members.
    """
    return [f'{addresses_module.parse(s).host}:{port}' for s in seeds]


def reader(
    path: pathlib.Path | None,
    load: collections.abc.Callable[[pathlib.Path], typing.Any],
    port: int,
    fallback: list[str],
) -> collections.abc.Callable[[], list[str]]:
    """Returns a function that reads the seeds from a settings file.

    Args:
        path: The file; None if there is none.
        load: Loads settings with a `platform` part.
        port: RPC port of members.
        fallback: Seeds while there is no file.
    """
    changed_at: list[float] = [0.0]
    last: list[list[str]] = [fallback]

    def read() -> list[str]:
        if path is None:
            return fallback
        modified = path.stat().st_mtime
        if modified != changed_at[0]:
            last[0] = rpc_addresses(load(path).platform.seeds, port)
            changed_at[0] = modified
        return last[0]

    return read
