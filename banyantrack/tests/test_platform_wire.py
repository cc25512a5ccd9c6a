"""Tests that decoding of the platform's bodies accepts any bytes."""

from __future__ import annotations

import json

import hypothesis
from hypothesis import strategies
import testtools

from banyantrack.core import codec
from banyantrack.core import findings
from banyantrack.generated.workload import ttypes
from banyantrack.platform import config
from banyantrack.platform import jobs
from banyantrack.platform import reports
from banyantrack.platform import wire
from banyantrack.platform import workers
from banyantrack.testing import platform_system
from banyantrack.workload import layout

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([2**31, 2**63, -(2**31), 10**400, '\ud800'])
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=12,
)
REPORT = {
    'service': 'line',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'state': 'ready',
    'capacity': {'cpu': 1000, 'memMb': 1000, 'gpu': 8},
    'labels': ['a', 'r1'],
    'clockMs': 5,
    'sequence': 4,
    'born': 7,
}
JOB = {
    'spec': 'x',
    'steps': [{'count': 2, 'gpu': 1}, {'count': 1, 'dependsOn': [0]}],
}


def with_one_field_changed(valid: dict) -> strategies.SearchStrategy[bytes]:
    """Returns bodies in which one field has a random value."""
    return strategies.builds(
        lambda key, value: json.dumps(valid | {key: value}).encode(),
        strategies.sampled_from(sorted(valid)),
        VALUES,
    )


def bodies(valid: dict) -> strategies.SearchStrategy[bytes]:
    """Returns random bytes, bodies with one field changed, and cut bodies."""
    return (
        strategies.binary(max_size=40)
        | with_one_field_changed(valid)
        | strategies.integers(0, len(json.dumps(valid))).map(
            lambda end: json.dumps(valid)[:end].encode()
        )
    )


class TestFuzz(testtools.TestCase):
    """A body is either decoded or has findings; nothing is raised.

    What is decoded can be passed on and stored.
    """

    def check(self, decoded: object, found: findings.Findings) -> None:
        self.assertEqual(decoded is None, bool(found.found))
        if decoded is not None:
            codec.encode(decoded)

    @hypothesis.given(bodies(platform_system.DEFAULT_CONFIG))
    def test_configuration(self, body: bytes) -> None:
        found = findings.Findings()
        decoded = config.parse_config(body, found)
        self.check(decoded, found)

    def test_values_that_take_much_more_memory_than_their_text(self) -> None:
        """8 MiB of empty lists took 204 MB once decoded."""
        body = b'[' + b'[],' * (wire.MAX_VALUES // 2) + b'[]]'
        found = findings.Findings()
        self.assertIsNone(wire.parse(body, found))
        self.assertIn('values', str(found.found[0]))

    @hypothesis.given(bodies(JOB))
    def test_job(self, body: bytes) -> None:
        found = findings.Findings()
        decoded = jobs.parse_job('/usual/' + 'a' * 16, body, found)
        self.check(decoded, found)

    @hypothesis.given(bodies(REPORT))
    def test_report(self, body: bytes) -> None:
        found = findings.Findings()
        decoded = reports.parse_report('i-1', body, found)
        self.check(decoded, found)

    @hypothesis.given(bodies({'wave': 1, 'machines': ['m'], 'maximum': 1}))
    def test_wave(self, body: bytes) -> None:
        found = findings.Findings()
        decoded = config.parse_wave(body, found)
        self.check(decoded, found)

    @hypothesis.given(VALUES, VALUES)
    def test_random_lists_of_runs(
        self, running: object, finished: object
    ) -> None:
        found = findings.Findings()
        body = json.dumps({'running': running, 'finished': finished})
        fields = wire.parse(body.encode(), found)
        for run in workers._running_tasks(fields):
            self.assertIsInstance(run.key, layout.TaskId)
        for ended in workers._ended_tasks(fields):
            self.assertIsInstance(ended.number, int)

    def encode_runs(self, fields: wire.Fields) -> None:
        """Encodes ends of all runs that a list holds."""
        for run in workers._running_tasks(fields):
            self.encode_end(run.key, run.run, run.checkpoint)
        for ended in workers._ended_tasks(fields):
            self.encode_end(ended.key, ended.run, ended.checkpoint)

    def encode_end(
        self, key: layout.TaskId, run: int, checkpoint: str
    ) -> None:
        end = ttypes.RunEnd(
            task=layout.task_key(key),
            run=run,
            worker_id='w1',
            incarnation=1,
            kind=ttypes.EndKind.DONE,
            checkpoint=checkpoint,
        )
        codec.encode(end)

    @hypothesis.given(VALUES)
    def test_rows_with_one_random_item(self, value: object) -> None:
        self.check_rows(value)

    def check_rows(self, value: object) -> None:
        """Decodes rows in which one item has a value."""
        found = findings.Findings()
        row = ['a.0.0.0', 1, 'done', 'done', '']
        for index in range(len(row)):
            rows = [row[:index] + [value] + row[index + 1 :]]
            body = json.dumps({'running': rows, 'finished': rows})
            fields = wire.parse(body.encode(), found)
            self.encode_runs(fields)

    def test_rows_with_one_odd_item(self) -> None:
        # Guards against a link that ends when it records the end of a run.
        for value in (10**30, -1, '\ud800', 1e300, True, '9' * 5000, None):
            self.check_rows(value)
        for place in ('9' * 5000, '-1', '1_0', '\u0663', str(2**31), ''):
            self.check_rows(f'a.0.0.{place}')


class TestDecoding(testtools.TestCase):
    def test_task_names(self) -> None:
        key = layout.TaskId('5c0e7a21d94b36f8', 0, 1, 17)
        name = workers.task_name(key)
        self.assertEqual('5c0e7a21d94b36f8.0.1.17', name)
        self.assertEqual(key, workers.parse_task_name(name))
        for invalid in (None, 3, '', 'a.b.c.d', 'a.0.0', 'a.0.0.0.0'):
            self.assertIsNone(workers.parse_task_name(invalid))

    def test_omitted_fields_have_defaults(self) -> None:
        found = findings.Findings()
        body = b'{"steps":[{"gpu":2}]}'
        job = jobs.parse_job('/q/' + 'a' * 16, body, found)
        step = job.steps[0]
        self.assertEqual(
            (1, 2, False), (step.count, step.accelerators, step.gang)
        )

    def test_key_in_authorization_header(self) -> None:
        self.assertEqual('k', jobs.parse_key('Token k'))
        self.assertEqual('', jobs.parse_key('Bearer k'))
        self.assertEqual('', jobs.parse_key(None))

    def test_body_with_the_state_of_a_job(self) -> None:
        answer = ttypes.JobAnswer(
            verdict=ttypes.JobVerdict.DONE, state=ttypes.JobState.QUEUED
        )
        operation = ttypes.JobOperation.READ
        self.assertEqual(
            {'state': 'queued'}, jobs.answer_body(operation, answer)
        )
