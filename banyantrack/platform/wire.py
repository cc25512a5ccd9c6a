"""Reads JSON bodies whose fields are left out when they are empty."""

from __future__ import annotations

import json
import typing

from banyantrack.core import findings

JSON_TYPE = [(b'content-type', b'application/json')]
# Numbers of the wire fit into eight bytes.
NUMBER_LIMIT = 2**63 - 1


class Fields:
    """Fields of one JSON object.

    Args:
        place: Where the object stands, for findings.
        values: The object.
        found: Receives what is wrong with fields that are read.
    """

    def __init__(
        self, place: str, values: object, found: findings.Findings
    ) -> None:
        self._place = place
        self._found = found
        self._values: dict[str, object] = {}
        if isinstance(values, dict):
            self._values = values
        else:
            found.add(place or 'body', f'got {_name(values)}; valid is object')

    def __contains__(self, name: str) -> bool:
        return self._values.get(name) is not None

    def text(self, name: str, *, required: bool = False) -> str:
        """Returns a text, empty if it is left out."""
        value = self._get(name, str, required)
        return '' if value is None else value

    def integer(
        self,
        name: str,
        *,
        required: bool = False,
        low: int = 0,
        high: int = NUMBER_LIMIT,
    ) -> int:
        """Returns a whole number, 0 if it is left out."""
        value = self._get(name, int, required)
        if value is None:
            return 0
        if not low <= value <= high:
            self._add(name, f'got {value}; valid are {low} to {high}')
            return 0
        return value

    def number(self, name: str) -> float:
        """Returns a number, 0 if it is left out."""
        value = self._values.get(name)
        if isinstance(value, int) and not isinstance(value, bool):
            if abs(value) <= NUMBER_LIMIT:
                return float(value)
        elif isinstance(value, float):
            return value
        elif value is None:
            return 0.0
        self._add(name, f'got {_name(value)}; valid is number')
        return 0.0

    def flag(self, name: str) -> bool:
        """Returns a truth value, false if it is left out."""
        return bool(self._get(name, bool, False))

    def texts(self, name: str, *, required: bool = False) -> list[str]:
        """Returns a list of texts, empty if it is left out."""
        values = self._get(name, list, required) or []
        if not all(isinstance(value, str) for value in values):
            self._add(name, 'valid is a list of texts')
            return []
        return values

    def integers(self, name: str) -> list[int]:
        """Returns a list of whole numbers, empty if it is left out."""
        values = self._get(name, list, False) or []
        if not all(type(value) is int for value in values):
            self._add(name, 'valid is a list of whole numbers')
            return []
        return values

    def object(self, name: str) -> Fields:
        """Returns the fields of an object that must be there."""
        return Fields(
            f'{self._place}{name}.', self._values.get(name), self._found
        )

    def objects(self, name: str, *, required: bool = True) -> list[Fields]:
        """Returns the fields of each object of a list."""
        values = self._get(name, list, required) or []
        return [
            Fields(f'{self._place}{name}[{index}].', value, self._found)
            for index, value in enumerate(values)
        ]

    def rows(self, name: str, size: int) -> list[list[typing.Any]]:
        """Returns the rows of a list that have at least some entries."""
        values = self._get(name, list, False) or []
        return [
            row for row in values if isinstance(row, list) and len(row) >= size
        ]

    def _get(self, name: str, kind: type, required: bool) -> typing.Any:
        value = self._values.get(name)
        if value is None:
            if required:
                self._add(name, 'is missing')
            return None
        # A truth value counts as a whole number in Python.
        if type(value) is not kind:
            self._add(name, f'got {_name(value)}; valid is {kind.__name__}')
            return None
        return value

    def _add(self, name: str, message: str) -> None:
        self._found.add(f'{self._place}{name}', message)


def parse(body: bytes, found: findings.Findings) -> Fields | None:
    """Returns the fields of a body, or None if it cannot be read."""
    try:
        values = json.loads(body)
    except (ValueError, RecursionError) as error:
        found.add('body', f'is no JSON: {error}')
        return None
    return Fields('', values, found)


def encode(values: object) -> bytes:
    """Returns a body."""
    return json.dumps(values, separators=(',', ':')).encode()


def _name(value: object) -> str:
    return 'nothing' if value is None else type(value).__name__
