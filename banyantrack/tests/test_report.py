"""Tests of the service-level burn report."""

from __future__ import annotations

import contextlib
import gzip
import io
import pathlib
import shutil
import tempfile

import testtools

from banyantrack.cli import report as report_cli
from banyantrack.core import documents
from banyantrack.core import logs
from banyantrack.report import burn
from banyantrack.report import logs_reader


def line(second: int, **values: object) -> str:
    """Returns the log line of one request."""
    pairs = {
        'time': f'2026-12-04T10:{second // 60:02d}:{second % 60:02d}+00:00',
        'level': 'INFO',
        'logger': 'x',
        'event': 'request',
        'route': 'roster',
        'customer': 'a',
        'outcome': 'done',
        'late': False,
        'duration_ms': 5.0,
    }
    return logs.render_pairs(pairs | values) + '\n'


class ReportTest(testtools.TestCase):
    """Base of tests with a folder for logs."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.log = self.folder / 'e1.log'


class TestReading(ReportTest):
    """Rotated, truncated and missing logs are read; gaps are reported."""

    def test_rotated_parts_in_order(self) -> None:
        with gzip.open(f'{self.log}.2.gz', 'wt') as file:
            file.write(line(1))
        (self.folder / 'e1.log.1').write_text(line(2))
        self.log.write_text(line(3))
        reading = logs_reader.read([self.log])
        self.assertEqual(3, len(reading.events))
        self.assertEqual([], reading.gaps)

    def test_gaps(self) -> None:
        self.log.write_text(line(1) + line(300) + line(301)[:40])
        missing = self.folder / 'e2.log'
        reading = logs_reader.read([self.log, missing])
        self.assertEqual(2, len(reading.events))
        gaps_text = '\n'.join(reading.gaps)
        self.assertIn('nothing for 299 s', gaps_text)
        self.assertIn('1 lines are not readable', gaps_text)
        self.assertIn('e2.log: missing', gaps_text)

    def test_truncated_archive(self) -> None:
        whole = gzip.compress(''.join(map(line, range(50))).encode())
        (self.folder / 'e1.log.1.gz').write_bytes(whole[:-20])
        reading = logs_reader.read([self.log])
        self.assertIn('cut', reading.gaps[-1])


class TestBurn(ReportTest):
    """The budget counts requests that were late, refused or unknown."""

    def _measure(self, **fields: object) -> burn.Burn:
        self.log.write_text(
            ''.join(line(second) for second in range(95))
            + line(95, outcome='unknown')
            + line(96, outcome='not-run', cause='too-late')
            + line(97, late=True, customer='b')
            + line(98, route='other', outcome='unknown')
            + line(99)
        )
        reading = logs_reader.read([self.log])
        values = {'name': 'o', 'route': 'roster', 'target': 0.9}
        objective = documents.model('settings').make(
            'Objective', **(values | fields)
        )
        return burn.measure(objective, reading.events, reading.events[-1].at)

    def test_causes_and_customers(self) -> None:
        found = self._measure()
        self.assertEqual((99, 3), (found.total, found.bad))
        self.assertEqual(
            {'unknown': 1, 'refused: too-late': 1, 'late': 1},
            dict(found.causes),
        )
        self.assertEqual({'a': 2, 'b': 1}, dict(found.customers))

    def test_budget_and_rate(self) -> None:
        found = self._measure()
        used = 3 / 99 / 0.1
        self.assertAlmostEqual(1 - used, found.budget_left)
        self.assertAlmostEqual(used, found.rates[3600.0])

    def test_customer(self) -> None:
        self.assertEqual(1, self._measure(customer='b').total)

    def test_series_holds_all_requests(self) -> None:
        found = self._measure()
        self.assertEqual(99, sum(total for total, _ in found.series))


class TestCommand(ReportTest):
    """The command prints a table and the gaps in the logs."""

    def _run(self, *arguments: str) -> tuple[int, str]:
        out = io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
        ):
            code = report_cli.main([str(self.log), *arguments])
        return code, out.getvalue()

    def test_text(self) -> None:
        self.log.write_text(line(1) + line(2, outcome='unknown'))
        code, text = self._run()
        self.assertEqual(0, code)
        self.assertIn('roster', text)
        self.assertIn('unknown 1', text)

    def test_bad_objectives(self) -> None:
        self.log.write_text(line(1))
        file = self.folder / 'o.yaml'
        file.write_text('objectives: [{name: x, target: 2.0}]\n')
        code, text = self._run('--objectives', str(file))
        self.assertEqual(2, code)
        self.assertIn(f'{file}:1:32', text)
