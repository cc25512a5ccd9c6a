"""Tests of the utilities in `banyantrack.core`."""

from __future__ import annotations

import time
from unittest import mock

import testtools

from banyantrack.core import clock
from banyantrack.core import codec
from banyantrack.core import findings
from banyantrack.core import metrics
from banyantrack.core import registry
from banyantrack.core import signals
from banyantrack.core import timers
from banyantrack.generated.intent import ttypes as intent
from banyantrack.testing import builders
from banyantrack.testing import virtual

import curio  # isort: skip


class TestRegistry(testtools.TestCase):
    """Names map to the registered objects."""

    def test_unknown_name_lists_valid_ones(self) -> None:
        things: registry.Registry[int] = registry.Registry('thing')
        things.register('b')(1)
        things.register('a')(2)
        error = self.assertRaises(registry.UnknownNameError, things.get, 'c')
        self.assertEqual("got thing 'c'; valid are: a, b", str(error))

    def test_name_is_registered_once(self) -> None:
        things: registry.Registry[int] = registry.Registry('thing')
        things.register('a')(1)
        self.assertRaises(ValueError, things.register, 'a')


class TestFindings(testtools.TestCase):
    """All findings are raised in one error."""

    def test_group_holds_all(self) -> None:
        found = findings.Findings()
        found.add('f:1:2', 'first')
        found.add('f:3:4', 'second')
        error = self.assertRaises(
            findings.FindingsError, found.raise_any, 'input'
        )
        self.assertEqual(2, len(error.exceptions))
        self.assertEqual('f:3:4: second', str(error.findings[1]))

    def test_nothing_found_raises_nothing(self) -> None:
        findings.Findings().raise_any('input')


class TestCodec(testtools.TestCase):
    """Encoded structs decode to the same; other data is rejected."""

    def test_round_trip(self) -> None:
        job = builders.job(members=16)
        data = codec.encode(job)
        self.assertEqual(job, codec.decode(intent.StoredObject, data))

    def test_truncated_data_is_rejected(self) -> None:
        data = codec.encode(builders.job())
        for size in range(len(data) - 1):
            self.assertRaises(
                codec.DecodeError,
                codec.decode,
                intent.StoredObject,
                data[:size],
            )


class TestMetrics(testtools.TestCase):
    """Metrics are rendered as text."""

    def test_rendering(self) -> None:
        process_metrics = metrics.Metrics()
        process_metrics.counter('requests', route='a"b').add(2)
        process_metrics.gauge('depth', lambda: 3)
        process_metrics.histogram('run_us').record(0.001)
        lines = process_metrics.render().splitlines()
        self.assertIn('requests{route="a\\"b"} 2', lines)
        self.assertIn('depth 3', lines)
        self.assertIn('run_us_count 1', lines)

    def test_histogram_clips(self) -> None:
        durations = metrics.Histogram()
        durations.record(0.0)
        durations.record(1e9)
        self.assertEqual(2, durations.count)


class TestTimers(testtools.TestCase):
    """Callbacks are called when they are due."""

    def test_order_period_and_cancel(self) -> None:
        calls: list[tuple[str, float]] = []

        async def run() -> None:
            import time

            start = time.monotonic()
            service = timers.TimerService()
            task = await curio.spawn(service.run)

            async def record_call(name: str) -> None:
                calls.append((name, round(time.monotonic() - start, 2)))

            await service.after(0.5, lambda: record_call('late'))
            await service.after(0.1, lambda: record_call('early'))
            again = await service.every(0.2, lambda: record_call('again'))
            await curio.sleep(0.45)
            again.cancel()
            await curio.sleep(0.5)
            await task.cancel()

        virtual.run(run)
        self.assertEqual(
            [('early', 0.1), ('again', 0.2), ('again', 0.4), ('late', 0.5)],
            calls,
        )


class TestSignal(testtools.TestCase):
    """A notification wakes the tasks that are waiting."""

    def test_wait_for(self) -> None:
        async def run() -> list[bool]:
            signal = signals.Signal()
            waiter = await curio.spawn(signal.wait_for, 1.0)
            await curio.sleep(0.1)
            await signal.notify()
            return [await waiter.join(), await signal.wait_for(0.1)]

        self.assertEqual([True, False], virtual.run(run))


class TestWallClock(testtools.TestCase):
    """Steps are ignored until they persist; slewing is followed."""

    def setUp(self) -> None:
        super().setUp()
        self.steady_s = 100.0
        self.time_s = 1000.0
        for patched in (
            mock.patch.object(clock, 'steady_s', lambda: self.steady_s),
            mock.patch.object(time, 'time', lambda: self.time_s),
        ):
            patched.start()
            self.addCleanup(patched.stop)
        self.wall_clock = clock.WallClock()

    def advance(self, seconds: float, *, step_s: float = 0.0) -> float:
        self.steady_s += seconds
        self.time_s += seconds + step_s
        return self.wall_clock.now_s()

    def test_step_and_back_is_ignored(self) -> None:
        self.assertEqual(1010.0, self.advance(10, step_s=2.4))
        self.assertEqual(1020.0, self.advance(10))
        self.assertEqual(1030.0, self.advance(10, step_s=-2.4))

    def test_slewing_is_followed(self) -> None:
        self.assertEqual(1010.05, self.advance(10, step_s=0.05))

    def test_persistent_step_is_followed(self) -> None:
        self.advance(10, step_s=-5)
        self.assertEqual(
            1000 + 81 - 5, self.advance(clock.STEP_CONFIRMATION_S + 11)
        )
