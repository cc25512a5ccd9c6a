"""Tests of the log lines collected for a request or job."""

from __future__ import annotations

import pathlib
import tempfile

import testtools

from banyantrack.report import explain

STAMP = '2026-01-01T00:00:{:06.3f}+00:00'
JOB = 'a' * 16


def line(second: float, event: str, **pairs: object) -> str:
    found = {'level': 'INFO', 'logger': 'x', 'event': event, **pairs}
    rest = ' '.join(f'{key}={value}' for key, value in found.items())
    return f'time={STAMP.format(second)} {rest}'


class TestExplain(testtools.TestCase):
    def explain(self, wanted: str, **texts: list[str]) -> explain.Timeline:
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, lines in texts.items():
                path = pathlib.Path(folder) / name
                path.write_text('\n'.join(lines))
                paths.append(path)
            return explain.explain(wanted, paths)

    def test_request_includes_the_runs_of_its_job(self) -> None:
        timeline = self.explain(
            'e1-1',
            entry=[line(1, 'call', request='e1-1', path=f'/usual/{JOB}')],
            control=[
                line(9, 'run_ended', task=f'{JOB}.0.0.0', kind='failed'),
                line(2, 'run_started', task=f'{JOB}.0.0.0', worker='w1'),
                line(3, 'run_started', task=f'{"b" * 16}.0.0.0'),
            ],
        )
        self.assertEqual(
            ['call', 'run_started', 'run_ended'],
            [found.pairs['event'] for found in timeline.lines],
        )
        self.assertEqual('failed', timeline.first_failure.pairs['kind'])

    def test_events_of_its_worker_are_included(self) -> None:
        timeline = self.explain(
            JOB,
            control=[
                line(1, 'run_started', task=f'{JOB}.0.0.0', worker='w1'),
                line(2, 'worker_silent', worker='w1'),
                line(3, 'worker_silent', worker='w2'),
                line(4, 'run_ended', task=f'{JOB}.0.0.0', kind='lost'),
            ],
        )
        self.assertEqual(
            'worker_silent', timeline.first_failure.pairs['event']
        )
        self.assertEqual(3, len(timeline.lines))

    def test_gaps_are_reported(self) -> None:
        timeline = self.explain(
            JOB,
            control=[
                line(1, 'call', path=JOB),
                line(2, 'lines_dropped', lines=7),
                line(3, 'call', path='"cut'),
            ],
        )
        self.assertEqual(2, len(timeline.gaps))
        missing = explain.explain(JOB, [pathlib.Path('not-there')])
        self.assertIn('cannot be read', missing.gaps[0])
        self.assertIn('no line names', explain.render(JOB, missing))

    def test_source_of_collected_lines_is_the_process(self) -> None:
        prefixed = '  1.5 core-1 ' + line(1, 'call', path=JOB)
        timeline = self.explain(JOB, collected=[prefixed])
        self.assertEqual('collected core-1', timeline.lines[0].source)
