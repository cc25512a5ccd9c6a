"""Label selectors with set-based terms, as in container orchestrators.

Terms are separated by commas and must all match: `key`, `!key`, `key=value`,
`key!=value`, `key in (a,b)`, `key notin (a,b)`.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import functools
import re

from banyantrack.core import errors

Labels = collections.abc.Mapping[str, str]

_TOKEN = re.compile(
    r'\s*(?:(?P<word>[A-Za-z0-9_./-]+)|(?P<sign>==|!=|[!=(),]))'
)
_SPACE = re.compile(r'\s*')


class Operator(enum.Enum):
    """How a term compares a label."""

    EXISTS = 'exists'
    ABSENT = 'absent'
    IN = 'in'
    NOT_IN = 'notin'


class SelectorError(errors.BanyanError, ValueError):
    """A selector has invalid syntax.

    Attributes:
        column: Column of the error, counted from 1.
    """

    def __init__(self, column: int, message: str) -> None:
        super().__init__(f'column {column}: {message}')
        self.column = column


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """One condition on one label."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Labels) -> bool:
        """Whether labels satisfy the condition."""
        value = labels.get(self.key)
        match self.operator:
            case Operator.EXISTS:
                return value is not None
            case Operator.ABSENT:
                return value is None
            case Operator.IN:
                return value is not None and value in self.values
            case Operator.NOT_IN:
                return value is None or value not in self.values


@dataclasses.dataclass(frozen=True, slots=True)
class Selector:
    """A conjunction of terms; without terms it matches all labels."""

    terms: tuple[Term, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Whether labels satisfy all terms."""
        return all(term.matches(labels) for term in self.terms)

    def __and__(self, other: Selector) -> Selector:
        return Selector(self.terms + other.terms)


class _Parser:
    """Recursive-descent parser of one selector."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0

    def parse(self) -> Selector:
        if self._at_end():
            return Selector()
        terms = [self._term()]
        while not self._at_end():
            self._expect(',')
            terms.append(self._term())
        return Selector(tuple(terms))

    def _term(self) -> Term:
        if self._accept('!'):
            return Term(self._word('a label key'), Operator.ABSENT)
        key = self._word('a label key or "!"')
        if self._accept('!='):
            return Term(key, Operator.NOT_IN, self._value())
        if self._accept('==') or self._accept('='):
            return Term(key, Operator.IN, self._value())
        if self._accept('in'):
            return Term(key, Operator.IN, self._values())
        if self._accept('notin'):
            return Term(key, Operator.NOT_IN, self._values())
        return Term(key, Operator.EXISTS)

    def _value(self) -> frozenset[str]:
        return frozenset((self._word('a label value'),))

    def _values(self) -> frozenset[str]:
        self._expect('(')
        values = [self._word('a label value')]
        while self._accept(','):
            values.append(self._word('a label value'))
        self._expect(')')
        return frozenset(values)

    def _at_end(self) -> bool:
        rest = _SPACE.match(self._text, self._position)
        return rest.end() == len(self._text)

    def _accept(self, token: str) -> bool:
        match = _TOKEN.match(self._text, self._position)
        if match is None or match.group().strip() != token:
            return False
        self._position = match.end()
        return True

    def _expect(self, token: str) -> None:
        if not self._accept(token):
            self._fail(f'"{token}"')

    def _word(self, expected: str) -> str:
        match = _TOKEN.match(self._text, self._position)
        if match is None or match['word'] is None:
            self._fail(expected)
        self._position = match.end()
        return match['word']

    def _fail(self, expected: str) -> None:
        start = _SPACE.match(self._text, self._position).end()
        got = self._text[start : start + 1]
        got = f'"{got}"' if got else 'the end'
        raise SelectorError(start + 1, f'got {got}; valid is {expected}')


@functools.lru_cache(maxsize=1024)
def parse(text: str) -> Selector:
    """Parses a selector.

    Args:
        text: The selector; empty text matches all labels.

    Raises:
        SelectorError: If the syntax is invalid.
    """
    return _Parser(text).parse()
