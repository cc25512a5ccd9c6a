"""Base class of the errors that this package raises."""

from __future__ import annotations


class BanyanError(Exception):
    """Base of all errors of this package."""


class InvariantError(BanyanError):
    """A property that must always hold does not; the process must end."""


def check_invariant(holds: bool, message: str, *values: object) -> None:
    """Raises if a property that must always hold does not.

    Args:
        holds: Whether the property holds.
        message: Text with `%`-placeholders for `values`.
        *values: What was found.

    Raises:
        InvariantError: If `holds` is false.
    """
    if not holds:
        raise InvariantError(message % values)
