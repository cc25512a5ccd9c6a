"""Tests of log lines, their limit and their output."""

from __future__ import annotations

import io
import logging
import os

import hypothesis
from hypothesis import strategies
import testtools

from banyantrack.core import logs


class TestPairs(testtools.TestCase):
    """Rendered pairs parse to the same values."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.from_regex(r'[A-Za-z0-9_.-]{1,10}', fullmatch=True),
            strategies.text(),
            min_size=1,
        )
    )
    def test_text_parses_back(self, pairs: dict[str, str]) -> None:
        line = logs.render_pairs(pairs)
        self.assertNotIn('\n', line)
        self.assertEqual(pairs, logs.parse_line(line))

    def test_truncated_line_is_rejected(self) -> None:
        line = logs.render_pairs({'a': 'x y', 'b': 'z z'})
        self.assertRaises(logs.LineError, logs.parse_line, line[:-1])

    def test_scalars_are_unquoted(self) -> None:
        line = logs.render_pairs({'a': True, 'b': 1.5, 'c': 'x'})
        self.assertEqual('a=true b=1.5 c=x', line)


class TestFormatter(testtools.TestCase):
    """One event makes one line."""

    def _line(self, **values: object) -> dict[str, str]:
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(logs.PairFormatter())
        logger = logging.Logger('banyantrack.test', logging.INFO)
        logger.addHandler(handler)
        logs.event(logger, 'thing_done', **values)
        return logs.parse_line(stream.getvalue())

    def test_event_has_common_keys(self) -> None:
        line = self._line(count=3)
        self.assertEqual('thing_done', line['event'])
        self.assertEqual('INFO', line['level'])
        self.assertEqual('3', line['count'])

    def test_value_does_not_hide_common_key(self) -> None:
        line = self._line(event='other', name='x', time='y')
        self.assertEqual('thing_done', line['event'])
        self.assertEqual('other', line['event_'])
        self.assertEqual('x', line['name'])

    def test_line_breaks_stay_in_the_line(self) -> None:
        self.assertEqual('a\nb', self._line(text='a\nb')['text'])


class TestLineLimiter(testtools.TestCase):
    """Lines per second are limited by event and level."""

    def test_lines_over_the_limit_are_counted(self) -> None:
        limiter = logs.LineLimiter()
        admitted = [
            limiter.admit('call', logging.INFO, 100.0) for _ in range(500)
        ]
        self.assertEqual(logs.MAX_LINES_PER_S, sum(admitted))
        self.assertEqual({}, limiter.pop_suppressed(100.5))
        self.assertTrue(limiter.admit('call', logging.INFO, 101.0))
        self.assertEqual(
            {'call': 500 - logs.MAX_LINES_PER_S}, limiter.pop_suppressed(102.0)
        )

    def test_failures_have_a_separate_limit(self) -> None:
        limiter = logs.LineLimiter()
        for _ in range(500):
            limiter.admit('call', logging.INFO, 100.0)
        self.assertTrue(limiter.admit('call', logging.WARNING, 100.0))


class TestOutputHandler(testtools.TestCase):
    """A reader that stops reading never blocks the writer."""

    def setUp(self) -> None:
        super().setUp()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.handler = logs.OutputHandler(writer)
        self.handler.setFormatter(logs.PairFormatter())

    def emit(self, number: int) -> None:
        record = logging.LogRecord(
            'test', logging.INFO, '', 0, f'event{number}', None, None
        )
        self.handler.emit(record)

    def test_stalled_reader_does_not_block(self) -> None:
        # Exceeds the capacity of the pipe and the buffer; a blocking write
        # would never return.
        for number in range(20_000):
            self.emit(number)
        self.assertTrue(self.handler.dropped)

    def test_lines_are_whole_after_a_stall(self) -> None:
        for number in range(20_000):
            self.emit(number)
        text = b''
        while b'lines_dropped' not in text:
            text += os.read(self.reader, 65536)
            self.handler.flush()
        for line in text.decode().splitlines():
            logs.parse_line(line)
