"""Small deployment on loopback for the scripts of the second review.

The daemons are started with the commands of `deploy/system.toml`. Their
settings follow `deploy/control.tmpl` and `deploy/entry.tmpl`, with the bounds
of the small deployments. Executors, clients and the operator are stand-ins.
"""

from __future__ import annotations

import collections.abc
import copy
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import typing

import curio

from banyantrack.testing import platform_system
from banyantrack.testing import system as system_module

# Bounds of the small deployments, as the settings file holds them.
MAX_HOLD_MS = 6000
STOP_TIMEOUT_MS = 400
CONTACT_S = 3.0
CANCEL_S = 3.0
VISIBLE_S = 3.0
RECOVERY_S = 12.0
FINISH_S = 14.0
CORE_MEMORY_MB = 296
EDGE_MEMORY_MB = 300
DESCRIPTORS = 4096
# A script ends after this time in any case; the limit is 120 s.
SCRIPT_TIMEOUT_S = 112.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


# Deployments of this script, for the record.
_systems: list[System] = []


class Daemon(system_module.Process):
    """A daemon that is started as the deploy file says."""

    def start(self) -> None:
        """Starts the process."""
        command = [sys.executable, '-m', self._module]
        if self._module == 'banyantrack.cli.control':
            command.append('run')
        command += ['--config', str(self._config)]
        with self._log.open('a') as log:
            self._process = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )


class System(platform_system.PlatformSystem):
    """A deployment that may have several entries."""

    _further_entries: tuple[Daemon, ...] = ()

    @property
    def entries(self) -> list[system_module.Process]:
        """All entries."""
        return [self.entry, *self._further_entries]

    @property
    def processes(self) -> list[system_module.Process]:
        """All daemon processes, running or not."""
        return [*self.control, *self.entries]

    def add_entries(self, folder: pathlib.Path, count: int) -> None:
        """Adds entries like the first, each with an address of its own.

        Args:
            folder: Folder of settings and logs.
            count: Number of entries afterwards.
        """
        further = []
        for number in range(2, count + 1):
            settings = copy.deepcopy(self.entry.settings)
            settings['name'] = f'e{number}'
            del settings['logging']
            for section in (settings, settings['platform']):
                for name, value in section.items():
                    if name.endswith('address'):
                        # The first entry has the address x.x.x.31.
                        section[name] = value.replace(
                            '.31:', f'.{30 + number}:'
                        )
            further.append(
                Daemon(f'e{number}', 'banyantrack.cli.entry', folder, settings)
            )
        self._further_entries = tuple(further)


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started_s = time.monotonic()
        self.broken: list[str] = []
        self.note(f'trouble: {TROUBLE}')

    @property
    def now_s(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f'{self.now_s:8.3f} {text}\n')
        self._file.flush()

    def breaks(self, text: str) -> None:
        """Writes that the rule is broken."""
        self.broken.append(text)
        self.note(f'BROKEN: {text}')


def make_system(
    folder: pathlib.Path,
    *,
    executors: int,
    control: int = 5,
    entries: int = 1,
) -> System:
    """Returns a deployment that is not started yet.

    Args:
        folder: Folder of settings, logs and data.
        executors: Number of executors.
        control: Number of control members.
        entries: Number of entries.
    """
    system_module.Process = Daemon
    system = System(folder, control=control, executors=executors)
    _systems.append(system)
    for member in system.control:
        member.settings['platform'].update(
            lease_ms=MAX_HOLD_MS,
            stop_ms=STOP_TIMEOUT_MS,
            gang_ms=3000,
            remote_factor=3,
            status_s=120,
            upkeep_s=2,
            interference_ms=4000,
            speed_spread_min=1.5,
            run_time_forecasts='learned',
        )
        member.settings['limits'] = {
            'memory_mb': CORE_MEMORY_MB,
            'descriptors': DESCRIPTORS,
        }
    system.entry.settings['limits'] = {
        'memory_mb': EDGE_MEMORY_MB,
        'descriptors': DESCRIPTORS,
    }
    system.add_entries(folder, entries)
    for process in system.processes:
        process.write()
    return system


def default_config() -> dict[str, typing.Any]:
    """Returns a configuration with one service and three routes."""
    config = copy.deepcopy(platform_system.DEFAULT_CONFIG)
    config['limits'] = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 262144,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }
    return config


def _note_ends(record: Record) -> None:
    """Writes which daemons have ended by themselves, and their last lines."""
    for system in _systems:
        for process in system.processes:
            # The script ends all daemons with SIGKILL.
            if process.exit_code in (None, -signal.SIGKILL):
                continue
            record.note(f'{process.name} has ended: {process.exit_code}')
            for line in process.log.read_text().splitlines()[-20:]:
                record.note(f'  {line[:300]}')


def run(
    case: str,
    scenario: collections.abc.Callable[
        [pathlib.Path, Record], collections.abc.Awaitable[None]
    ],
) -> int:
    """Runs a scenario in a temporary folder.

    Args:
        case: Path of the scenario; the record is written beside it.
        scenario: Gets the folder and the record.

    Returns:
        The exit code.
    """
    record = Record(pathlib.Path(case).resolve().parent)
    folder = pathlib.Path(tempfile.mkdtemp(prefix='banyan-review-'))

    async def main() -> None:
        async with curio.timeout_after(SCRIPT_TIMEOUT_S):
            await scenario(folder, record)

    try:
        curio.run(main)
    except Exception as error:
        # A rule that was seen to break stays broken if the rest fails.
        record.note(f'ended by {type(error).__name__}: {error}')
        if not record.broken:
            print(f'not run: {type(error).__name__}: {error}')
            return NOT_RUN
    finally:
        _note_ends(record)
        if 'KEEP_LOGS' in os.environ:
            kept = pathlib.Path(os.environ['KEEP_LOGS'])
            kept.mkdir(parents=True, exist_ok=True)
            for log in folder.glob('*.log'):
                shutil.copy(log, kept)
        shutil.rmtree(folder, ignore_errors=True)
    for text in record.broken:
        print(f'broken: {text}')
    if not record.broken:
        print('held')
    return BROKEN if record.broken else HELD
