"""Counters, gauges and histograms in the Prometheus text format."""

from __future__ import annotations

import typing

from hdrh import histogram

if typing.TYPE_CHECKING:
    import collections.abc

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Counter:
    """A monotonically increasing count."""

    __slots__ = ('_value',)

    def __init__(self) -> None:
        self._value = 0

    @property
    def value(self) -> int:
        """The current count."""
        return self._value

    def add(self, amount: int = 1) -> None:
        """Adds to the count."""
        self._value += amount


class Histogram:
    """Distribution of durations in microseconds."""

    __slots__ = ('_histogram', '_sum_us')

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )
        self._sum_us = 0

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return self._histogram.get_total_count()

    @property
    def sum_us(self) -> int:
        """Sum of the recorded durations in microseconds."""
        return self._sum_us

    def record(self, seconds: float) -> None:
        """Records a duration.

        Args:
            seconds: The duration, clipped to `MIN_DURATION_US` and
                `MAX_DURATION_US`.
        """
        value_us = min(
            max(int(seconds * 1e6), MIN_DURATION_US), MAX_DURATION_US
        )
        self._sum_us += value_us
        self._histogram.record_value(value_us)

    def quantile(self, percent: float) -> int:
        """Returns a quantile in microseconds.

        Args:
            percent: From 0 to 100.
        """
        return self._histogram.get_value_at_percentile(percent)


class Metrics:
    """All metrics of one process, created on first use."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, str], Counter] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}
        self._gauges: dict[str, collections.abc.Callable[[], float]] = {}

    def counter(self, name: str, **labels: str) -> Counter:
        """Returns the counter of a name and labels."""
        key = (name, _label_text(labels))
        found = self._counters.get(key)
        if found is None:
            found = self._counters[key] = Counter()
        return found

    def histogram(self, name: str, **labels: str) -> Histogram:
        """Returns the histogram of a name and labels."""
        key = (name, _label_text(labels))
        found = self._histograms.get(key)
        if found is None:
            found = self._histograms[key] = Histogram()
        return found

    def gauge(
        self, name: str, read: collections.abc.Callable[[], float]
    ) -> None:
        """Registers a gauge; `read` is called at each rendering."""
        self._gauges[name] = read

    def render(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), counter in sorted(self._counters.items()):
            lines.append(f'{name}{_in_braces(labels)} {counter.value}')
        for name, read in sorted(self._gauges.items()):
            lines.append(f'{name} {read():g}')
        for (name, labels), found in sorted(self._histograms.items()):
            lines.extend(_histogram_lines(name, labels, found))
        return '\n'.join(lines) + '\n'


def _label_text(labels: dict[str, str]) -> str:
    if not labels:
        return ''
    return ','.join(
        f'{key}="{_escape(value)}"' for key, value in sorted(labels.items())
    )


def _escape(value: str) -> str:
    return value.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')


def _in_braces(labels: str) -> str:
    return f'{{{labels}}}' if labels else ''


def _histogram_lines(
    name: str, labels: str, found: Histogram
) -> collections.abc.Iterator[str]:
    for percent in PERCENTILES:
        quantile = f'quantile="{percent / 100:g}"'
        text = ','.join(filter(None, (labels, quantile)))
        yield f'{name}{_in_braces(text)} {found.quantile(percent)}'
    yield f'{name}_count{_in_braces(labels)} {found.count}'
    yield f'{name}_sum{_in_braces(labels)} {found.sum_us}'
