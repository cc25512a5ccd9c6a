"""Decodes JSON bodies in which empty fields may be omitted."""

from __future__ import annotations

import json
import math
import typing

from banyantrack.core import findings
from banyantrack.core import untrusted

JSON_TYPE = [(b'content-type', b'application/json')]
# Numbers are stored as signed 64-bit integers, if not as 32-bit ones.
# A decoded empty list takes 64 bytes for 3 of its text. A report of 4 MiB
# reaches this number only with less than 5 bytes for each value.
MAX_VALUES = 1_000_000
MAX_INT64 = 2**63 - 1
MAX_INT32 = 2**31 - 1
# Largest valid number of characters of a text without a limit of its own.
MAX_TEXT = 1_000_000


class Fields:
    """Typed access to the fields of one JSON object.

    A value of the wrong type adds a finding and reads as an omitted field.

    Args:
        place: Path of the object within the body, as a prefix for findings;
            empty for the body itself.
        values: The decoded object.
        found: Receives findings about the fields that are read.
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
            found.add(
                place or 'body', f'got {_type_name(values)}; valid is object'
            )

    def __contains__(self, name: str) -> bool:
        return self._values.get(name) is not None

    def text(
        self, name: str, *, required: bool = False, limit: int = MAX_TEXT
    ) -> str:
        """Returns a string; empty if the field is omitted or not valid.

        Args:
            name: Name of the field.
            required: Whether an omitted field adds a finding.
            limit: Largest valid number of characters.
        """
        value = self._get(name, str, required)
        if value is None:
            return ''
        if not untrusted.is_encodable(value):
            self._add(name, 'is not valid Unicode')
            return ''
        if len(value) > limit:
            self._add(name, f'got {len(value)} characters; valid are {limit}')
            return ''
        return value

    def integer(
        self,
        name: str,
        *,
        required: bool = False,
        low: int = 0,
        high: int = MAX_INT64,
    ) -> int:
        """Returns an integer; 0 if the field is omitted or out of range.

        Args:
            name: Name of the field.
            required: Whether an omitted field adds a finding.
            low: Smallest valid value.
            high: Largest valid value.
        """
        value = self._get(name, int, required)
        if value is None:
            return 0
        if not low <= value <= high:
            self._add(name, f'got {value}; valid are {low} to {high}')
            return 0
        return value

    def number(self, name: str) -> float:
        """Returns a number; 0 if the field is omitted."""
        value = self._values.get(name)
        if isinstance(value, int) and not isinstance(value, bool):
            if abs(value) <= MAX_INT64:
                return float(value)
        elif isinstance(value, float) and math.isfinite(value):
            return value
        elif value is None:
            return 0.0
        self._add(name, f'got {_type_name(value)}; valid is number')
        return 0.0

    def flag(self, name: str) -> bool:
        """Returns a boolean; false if the field is omitted."""
        return bool(self._get(name, bool, False))

    def texts(self, name: str, *, required: bool = False) -> list[str]:
        """Returns a list of strings; empty if the field is omitted."""
        values = self._get(name, list, required) or []
        if not all(
            isinstance(value, str) and untrusted.is_encodable(value)
            for value in values
        ):
            self._add(name, 'valid is a list of strings')
            return []
        return values

    def integers(self, name: str) -> list[int]:
        """Returns a list of 32-bit integers; empty if it is omitted."""
        values = self._get(name, list, False) or []
        if not all(is_integer(value, high=MAX_INT32) for value in values):
            self._add(name, f'valid are integers of 0 to {MAX_INT32}')
            return []
        return values

    def object(self, name: str) -> Fields:
        """Returns the fields of a required object."""
        return Fields(
            f'{self._place}{name}.', self._values.get(name), self._found
        )

    def objects(self, name: str, *, required: bool = True) -> list[Fields]:
        """Returns the fields of each object in a list."""
        values = self._get(name, list, required) or []
        return [
            Fields(f'{self._place}{name}[{index}].', value, self._found)
            for index, value in enumerate(values)
        ]

    def rows(self, name: str, size: int) -> list[list[typing.Any]]:
        """Returns the items of a list that are lists of at least `size` items.

        Other items are skipped without a finding.
        """
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
        # `bool` is a subclass of `int`.
        if type(value) is not kind:
            self._add(
                name, f'got {_type_name(value)}; valid is {kind.__name__}'
            )
            return None
        return value

    def _add(self, name: str, message: str) -> None:
        self._found.add(f'{self._place}{name}', message)


def parse(body: bytes, found: findings.Findings) -> Fields | None:
    """Returns the fields of a JSON body; None if it is not valid JSON."""
    values_at_most = sum(body.count(mark) for mark in (b',', b'[', b'{'))
    if values_at_most > MAX_VALUES:
        found.add(
            'body', f'got over {MAX_VALUES} values; valid are at most that'
        )
        return None
    try:
        values = json.loads(body)
    except (ValueError, RecursionError) as error:
        found.add('body', f'is not valid JSON: {error}')
        return None
    return Fields('', values, found)


def encode(values: object) -> bytes:
    """Returns a value as a compact JSON body."""
    return json.dumps(values, separators=(',', ':')).encode()


def is_integer(value: object, *, high: int = MAX_INT64) -> bool:
    """Whether a decoded value is an integer from 0 to a highest one."""
    # `bool` is a subclass of `int`.
    return type(value) is int and 0 <= value <= high


def is_text(value: object) -> bool:
    """Whether a decoded value is a string that can be stored."""
    return isinstance(value, str) and untrusted.is_encodable(value)


def _type_name(value: object) -> str:
    return 'nothing' if value is None else type(value).__name__
