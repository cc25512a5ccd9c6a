"""Virtual time for curio: sleeping costs nothing and runs repeat exactly."""

from __future__ import annotations

import collections.abc
import contextlib
import selectors
import time
import typing
from unittest import mock

import curio

from banyantrack.core import clock as clock_module

START_S = 1_000.0
# Each turn of the event loop takes some time, as it does in reality.
TURN_S = 1e-6
# A run with more turns of the event loop is taken to be stuck.
MAX_TURNS = 3_000_000


class VirtualClock:
    """Time that passes only while all tasks sleep."""

    def __init__(self) -> None:
        self._now_s = START_S

    def monotonic(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self._now_s += seconds


class _Day:
    """Time of day of a virtual clock."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock

    def now_s(self) -> float:
        return self._clock.monotonic()

    def pass_time(self, seconds: float) -> None:
        self._clock.advance(seconds)


class _VirtualSelector(selectors.DefaultSelector):
    """Advances a clock instead of waiting."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock
        self._turns = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self._turns += 1
        if self._turns > MAX_TURNS:
            raise RuntimeError(f'no end after {MAX_TURNS} turns')
        ready = super().select(0)
        if timeout is None and not ready:
            raise RuntimeError('all tasks wait for each other')
        self._clock.advance(TURN_S if ready else max(timeout, TURN_S))
        return ready


@contextlib.contextmanager
def _patched(clock: VirtualClock) -> collections.abc.Iterator[None]:
    with (
        mock.patch.object(time, 'monotonic', clock.monotonic),
        mock.patch.object(time, 'time', clock.monotonic),
        mock.patch.object(clock_module, 'steady_s', clock.monotonic),
        mock.patch.object(clock_module, '_wall_clock', _Day(clock)),
    ):
        yield


def run(
    main: collections.abc.Callable[..., typing.Any], *args: object
) -> typing.Any:
    """Runs a coroutine function to its end in virtual time.

    Args:
        main: The coroutine function.
        *args: Its arguments.

    Returns:
        What it returned.
    """
    clock = VirtualClock()
    with _patched(clock):
        kernel = curio.Kernel(selector=_VirtualSelector(clock))
        try:
            return kernel.run(main, *args)
        finally:
            kernel.run(shutdown=True)


def pass_time(seconds: float) -> None:
    """Lets time pass in place, as a call that blocks on a disk does.

    Args:
        seconds: How much; no task runs meanwhile.
    """
    # Patched together with the clocks of a run.
    clock_module._wall_clock.pass_time(seconds)


async def run_blocking(
    function: collections.abc.Callable[..., typing.Any], *args: object
) -> typing.Any:
    """Runs a blocking function in place, since threads have real time."""
    await curio.sleep(0)
    return function(*args)
