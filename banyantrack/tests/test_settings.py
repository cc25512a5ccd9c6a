"""Tests of settings files and of validation by the schema."""

from __future__ import annotations

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import testtools

from banyantrack.core import documents
from banyantrack.core import findings
from banyantrack.core import schema_digest
from banyantrack.core import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
VALID_CONTROL = """
name: c1
zone: a
rpc_address: 127.0.0.1:7101
http_address: 127.0.0.1:7201
data_folder: /var/lib/banyantrack
members: [{name: c1, address: "127.0.0.1:7101"}]
"""


class _SettingsTest(testtools.TestCase):
    def _write(self, text: str) -> pathlib.Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'settings.yaml'
        path.write_text(text)
        return path

    def _findings(self, text: str) -> list[str]:
        path = self._write(text)
        error = self.assertRaises(
            findings.FindingsError, settings.load_control, path
        )
        return [
            str(found).removeprefix(f'{path}:') for found in error.findings
        ]


class TestControlSettings(_SettingsTest):
    """A valid file gives a struct with defaults."""

    def test_defaults(self) -> None:
        loaded = settings.load_control(self._write(VALID_CONTROL))
        self.assertEqual('c1', loaded.name)
        self.assertEqual('!down', loaded.placement.default_selector)
        self.assertTrue(loaded.replication.group_commit)
        self.assertEqual(0, loaded.limits.memory_mb)
        self.assertEqual(200, loaded.limits.file_descriptors)

    def test_zones_as_the_template_fills_them(self) -> None:
        # Guards against a member that does not start because of the comma
        # after the last zone, or because the platform has no zones.
        line = next(
            line
            for line in (ROOT / 'deploy' / 'control.tmpl')
            .read_text()
            .split('\n')
            if line.startswith('  zones:')
        )
        start, _, rest = line.partition('{{#zones}}')
        each, _, end = rest.partition('{{/zones}}')
        for zones in ([], ['Z.1'], ['a', 'b-2', 'c' * 253]):
            filled = ''.join(each.replace('{{@}}', zone) for zone in zones)
            text = f"""{VALID_CONTROL}
platform:
  address: 127.0.0.1:7301
  seeds: []
{start}{filled}{end}
"""
            loaded = settings.load_control(self._write(text))
            self.assertEqual(zones, loaded.platform.zones)

    def test_examples_are_valid(self) -> None:
        settings.load_control(ROOT / 'examples' / 'control.yaml')
        settings.load_entry(ROOT / 'examples' / 'entry.yaml')


class TestFindings(_SettingsTest):
    """Every finding is reported, with its location."""

    def test_all_findings_together(self) -> None:
        found = self._findings(
            'name: C 1\n'
            'zone: a\n'
            'zone: b\n'
            'rpc_address: localhost:1\n'
            'http_address: 127.0.0.1:70000\n'
            'members: []\n'
            'placement: {lease_ms: soon, report_wait_ms: 5}\n'
            'foo: 1\n'
        )
        places = [text.split(': ')[0] for text in found]
        self.assertEqual(
            ['3:1', '8:1', '1:7', '4:14', '5:15', '1:1', '6:10', '7:23',
             '7:45'],
            places,
        )  # fmt: skip

    def test_limits_out_of_range(self) -> None:
        found = self._findings(
            VALID_CONTROL
            + 'limits: {memory_mb: -1, source_share: 2, idle_timeout_ms: 0}\n'
        )
        self.assertEqual(3, len(found), found)

    def test_invalid_yaml_has_a_location(self) -> None:
        found = self._findings('name: [a\nb: c\n')
        self.assertTrue(found[0].startswith('2:2: not valid YAML'), found)

    def test_missing_file(self) -> None:
        path = pathlib.Path('/nonexistent/settings.yaml')
        self.assertRaises(findings.FindingsError, settings.load_control, path)

    def test_off_loopback_needs_tokens(self) -> None:
        text = VALID_CONTROL.replace(
            'http_address: 127.0.0.1', 'http_address: 192.0.2.1'
        )
        found = self._findings(text)
        self.assertIn('off loopback', found[0])

    def test_heartbeat_longer_than_election(self) -> None:
        text = VALID_CONTROL + 'replication: {heartbeat_ms: 400}\n'
        self.assertIn('at most half', self._findings(text)[0])

    def test_deep_nesting_is_rejected(self) -> None:
        found = self._findings('name: ' + '[' * 60 + ']' * 60)
        self.assertIn('nested deeper', found[0])


class TestFuzz(testtools.TestCase):
    """Any text gives findings or a struct, and no exception."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.one_of(
            strategies.text(max_size=60),
            strategies.text(alphabet='{}[]:,-&*!|>\n ab1"\'#', max_size=60),
        )
    )
    def test_any_text(self, text: str) -> None:
        found = findings.Findings()
        reader = documents.Reader('f', documents.model('intent'), found)
        for node in reader.compose(text):
            reader.struct(node, 'Job')


class TestGenerated(testtools.TestCase):
    """The committed code is generated from the current schema."""

    def test_digest(self) -> None:
        folder = ROOT / 'banyantrack' / 'generated'
        committed = (folder / 'SCHEMA_DIGEST').read_text().strip()
        current = schema_digest.digest_of_schema(ROOT / 'schema')
        self.assertEqual(committed, current, 'run: make generate')
