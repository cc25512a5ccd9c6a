"""Finds the members of the control group, starting from seed addresses.

The seeds in the settings may be outdated, and the settings file may change
without a signal. Addresses that a led group reports come before the seeds.
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

MEMBERS_TIMEOUT_S = 0.5
# Interval of requests for the list of members, and so the time after which a
# replaced member is found.
REFRESH_INTERVAL_S = 1.0
_LOG = logging.getLogger(__name__)


class Locator:
    """Keeps the addresses of the control members up to date.

    Args:
        seeds: RPC addresses from the settings.
        pool: Connections to the members.
        reload: Returns the seeds in the current settings.
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
        """All possible addresses of members, reported members first."""
        return list(dict.fromkeys((*self._members, *self._seeds)))

    def __iter__(self) -> collections.abc.Iterator[str]:
        return iter(self.addresses)

    async def run(self) -> None:
        """Refreshes members and seeds until cancelled."""
        request_count = 0
        while True:
            candidates = self.addresses
            if candidates:
                await self._request_members(
                    candidates[request_count % len(candidates)]
                )
                request_count += 1
            self._read_seeds()
            await curio.sleep(REFRESH_INTERVAL_S)

    async def _request_members(self, address: str) -> None:
        try:
            reply = await self._pool.call(
                address,
                ttypes.MembersRequest(sender=self._sender),
                timeout_s=MEMBERS_TIMEOUT_S,
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
    """Returns the seeds with their ports replaced by the RPC port.

    Args:
        seeds: Addresses of the members with any port.
        port: RPC port of all members.
    """
    return [f'{addresses_module.parse(s).host}:{port}' for s in seeds]


def seed_reader(
    path: pathlib.Path | None,
    load: collections.abc.Callable[[pathlib.Path], typing.Any],
    port: int,
    fallback: list[str],
) -> collections.abc.Callable[[], list[str]]:
    """Returns a function that reads the seeds from a settings file.

    The function loads the file only if its modification time changed.

    Args:
        path: The settings file; None if there is none.
        load: Loads settings that have a `platform` section.
        port: RPC port of all members.
        fallback: Seeds to return if `path` is None.
    """
    cached_modified: list[float] = [0.0]
    cached_seeds: list[list[str]] = [fallback]

    def read() -> list[str]:
        if path is None:
            return fallback
        modified = path.stat().st_mtime
        if modified != cached_modified[0]:
            cached_seeds[0] = rpc_addresses(load(path).platform.seeds, port)
            cached_modified[0] = modified
        return cached_seeds[0]

    return read
