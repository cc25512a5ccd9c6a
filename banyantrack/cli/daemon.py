"""Functions shared by the command lines of both daemons."""

from __future__ import annotations

import argparse
import collections.abc
import contextlib
import logging
import os
import pathlib
import signal
import socket
import sys
import types
import typing

import curio
from curio import io

from banyantrack.core import errors
from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.core import states

Exit = states.ExitCode
_LOG = logging.getLogger(__name__)


class Daemon(typing.Protocol):
    """A daemon that `run` can start."""

    async def run(self, stop: curio.Event) -> None:
        """Runs until the event is set."""


def add_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options of both daemons."""
    parser.add_argument(
        '--config',
        type=pathlib.Path,
        required=True,
        metavar='FILE',
        help='settings in YAML',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='report everything wrong with the settings and start nothing',
    )


def load(
    load_settings: collections.abc.Callable[[pathlib.Path], typing.Any],
    path: pathlib.Path,
) -> typing.Any:
    """Loads settings; on findings, prints all of them and exits.

    Args:
        load_settings: Loads the settings of one daemon.
        path: The settings file.
    """
    try:
        return load_settings(path)
    except findings.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise SystemExit(Exit.BAD_INPUT) from None


def run(create: collections.abc.Callable[[], Daemon]) -> int:
    """Runs a daemon until SIGTERM or SIGINT.

    Args:
        create: Creates the daemon; called in the event loop.

    Returns:
        The exit code.
    """
    errors.set_invariant_hook(_exit_on_invariant_error)
    exit_codes: list[Exit] = []
    try:
        curio.run(_run, create, exit_codes)
    except AssertionError as error:
        # Raised by the event loop if a task started another one while all
        # were being cancelled. The daemon has ended before.
        if not exit_codes:
            raise
        logs.event(
            _LOG, 'shutdown_incomplete', level=logging.WARNING, error=error
        )
    return exit_codes[0]


async def _run(
    create: collections.abc.Callable[[], Daemon], exit_codes: list[Exit]
) -> None:
    """Runs a daemon and appends its exit code."""
    try:
        await _run_until_stopped(create)
    except (errors.BanyanError, OSError, ExceptionGroup) as error:
        logs.event(
            _LOG,
            'failed',
            level=logging.CRITICAL,
            type=type(error).__name__,
            error=error,
        )
        exit_codes.append(Exit.REFUSED)
    else:
        exit_codes.append(Exit.DONE)


def _exit_on_invariant_error(error: errors.InvariantError) -> None:
    """Exits the process at once, since its state may be corrupt."""
    logs.event(_LOG, 'invariant_broken', level=logging.CRITICAL, error=error)
    logging.shutdown()
    os._exit(Exit.REFUSED)


async def _run_until_stopped(
    create: collections.abc.Callable[[], Daemon],
) -> None:
    stop = curio.Event()
    daemon = create()
    watcher = await curio.spawn(_watch_signals, stop, daemon=True)
    try:
        await daemon.run(stop)
    finally:
        await watcher.cancel()


async def _watch_signals(stop: curio.Event) -> None:
    """Sets an event on SIGTERM and SIGINT; SIGHUP is only logged."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)

    def notify(number: int, frame: types.FrameType | None) -> None:
        with contextlib.suppress(BlockingIOError):
            sender.send(bytes((number,)))

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, notify)
    async with io.Socket(receiver) as signals:
        while received := await signals.recv(1):
            if received[0] == signal.SIGHUP:
                # Components that support a reload poll the settings file.
                logs.event(_LOG, 'reload_requested')
            else:
                await stop.set()
