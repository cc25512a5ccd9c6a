"""The platform, as far as it watches the daemons."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import pathlib
import typing

import curio

if typing.TYPE_CHECKING:
    from banyantrack.testing import system as system_module
    from lib2 import harness

# Delay until a process that has ended is started again.
RESTART_S = 0.5
INTERVAL_S = 0.05


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MiB; 0 if it has ended."""
    try:
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


class Supervisor:
    """Kills processes over their memory, and restarts those that have ended.

    Args:
        processes: The daemons; their settings hold their memory.
        record: The record.

    Attributes:
        ends: Ends of each process.
        peak_mb: Largest memory that was seen of each process.
    """

    def __init__(
        self,
        processes: collections.abc.Iterable[system_module.Process],
        record: harness.Record,
    ) -> None:
        self._processes = list(processes)
        self._record = record
        self.ends: collections.Counter[str] = collections.Counter()
        self.peak_mb: collections.Counter[str] = collections.Counter()

    @contextlib.asynccontextmanager
    async def watching(self) -> collections.abc.AsyncIterator[None]:
        """Watches all processes; starts none once the block has ended."""
        tasks = [
            await curio.spawn(self._watch, process, daemon=True)
            for process in self._processes
        ]
        try:
            yield
        finally:
            for task in tasks:
                await task.cancel()

    async def _watch(self, process: system_module.Process) -> None:
        limit_mb = process.settings['limits']['memory_mb']
        name = process.name
        while True:
            await curio.sleep(INTERVAL_S)
            used_mb = resident_mb(process.pid)
            self.peak_mb[name] = max(self.peak_mb[name], round(used_mb))
            if process.running and used_mb > limit_mb:
                self._record.note(
                    f'{name} uses {used_mb:.0f} MB of {limit_mb}: killed'
                )
                process.kill()
            if not process.running:
                self.ends[name] += 1
                self._record.note(f'{name} has ended with {process.exit_code}')
                await curio.sleep(RESTART_S)
                process.start()
