"""Virtual time for curio: sleeping takes no real time, runs are repeatable."""

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
# Virtual duration of each iteration of the event loop, which takes time in
# reality too.
ITERATION_S = 1e-6
# A run with more iterations of the event loop is considered stuck.
MAX_ITERATIONS = 3_000_000


class VirtualClock:
    """Clock that a virtual selector advances."""

    def __init__(self) -> None:
        self._now_s = START_S

    def monotonic(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self._now_s += seconds


class _VirtualWallClock:
    """Replacement of the wall clock in `core.clock`."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock

    def now_s(self) -> float:
        return self._clock.monotonic()

    def advance_time(self, seconds: float) -> None:
        self._clock.advance(seconds)


class _VirtualSelector(selectors.DefaultSelector):
    """Selector that advances a clock instead of waiting."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock
        self._iterations = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self._iterations += 1
        if self._iterations > MAX_ITERATIONS:
            raise RuntimeError(
                f'not finished after {MAX_ITERATIONS} iterations'
            )
        ready = super().select(0)
        if timeout is None and not ready:
            raise RuntimeError('deadlock: all tasks are waiting')
        self._clock.advance(
            ITERATION_S if ready else max(timeout, ITERATION_S)
        )
        return ready


@contextlib.contextmanager
def _patched(clock: VirtualClock) -> collections.abc.Iterator[None]:
    with (
        mock.patch.object(time, 'monotonic', clock.monotonic),
        mock.patch.object(time, 'time', clock.monotonic),
        mock.patch.object(clock_module, 'steady_s', clock.monotonic),
        mock.patch.object(
            clock_module, '_wall_clock', _VirtualWallClock(clock)
        ),
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
        The result of the function.
    """
    clock = VirtualClock()
    with _patched(clock):
        kernel = curio.Kernel(selector=_VirtualSelector(clock))
        try:
            return kernel.run(main, *args)
        finally:
            kernel.run(shutdown=True)


def advance_time(seconds: float) -> None:
    """Advances the time of the current run, as a blocking call does.

    No task runs meanwhile.

    Args:
        seconds: Duration of the simulated call.
    """
    # `run` replaces _wall_clock by an object with this method.
    clock_module._wall_clock.advance_time(seconds)


async def run_blocking(
    function: collections.abc.Callable[..., typing.Any], *args: object
) -> typing.Any:
    """Runs a blocking function in the event loop.

    Threads are not used, since they would run in real time.
    """
    await curio.sleep(0)
    return function(*args)
