"""Tests of label selectors."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import testtools

from banyantrack.core import selectors


class TestMatching(testtools.TestCase):
    """A selector matches if all its terms do."""

    def _matches(self, text: str, **labels: str) -> bool:
        return selectors.parse(text).matches(labels)

    def test_set_based_terms(self) -> None:
        text = 'gpu=a100,rack in (r1,r2),!down'
        self.assertTrue(self._matches(text, gpu='a100', rack='r2'))
        self.assertFalse(self._matches(text, gpu='a100', rack='r3'))
        self.assertFalse(
            self._matches(text, gpu='a100', rack='r1', down='true')
        )

    def test_absent_label_is_not_in_and_not_equal(self) -> None:
        self.assertTrue(self._matches('a!=b'))
        self.assertTrue(self._matches('a notin (b)'))
        self.assertFalse(self._matches('a in (b)'))

    def test_empty_matches_everything(self) -> None:
        self.assertTrue(self._matches('', anything='x'))


class TestErrors(testtools.TestCase):
    """Syntax errors have a column."""

    def _column(self, text: str) -> int:
        error = self.assertRaises(
            selectors.SelectorError, selectors.parse, text
        )
        return error.column

    def test_columns(self) -> None:
        self.assertEqual(3, self._column('a='))
        self.assertEqual(3, self._column('a,,b'))
        self.assertEqual(8, self._column('a in (b'))
        self.assertEqual(3, self._column('a b'))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.text(max_size=40))
    def test_any_text_parses_or_is_rejected(self, text: str) -> None:
        try:
            selectors.parse(text)
        except selectors.SelectorError as error:
            self.assertTrue(1 <= error.column <= len(text) + 1)
