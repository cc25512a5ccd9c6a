"""Base class of this package's errors, and checks of invariants."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc


class BanyanError(Exception):
    """Base of all errors of this package."""


class InvariantError(BanyanError):
    """An internal invariant does not hold; the process must exit."""


def check_invariant(holds: bool, message: str, *values: object) -> None:
    """Raises if an invariant does not hold.

    Args:
        holds: Whether the invariant holds.
        message: Text with `%`-placeholders for `values`.
        *values: Values for the placeholders.

    Raises:
        InvariantError: If `holds` is false.
    """
    if not holds:
        raise InvariantError(message % values)


def _raise_error(error: InvariantError) -> None:
    raise error


_invariant_hook: collections.abc.Callable[[InvariantError], None] = (
    _raise_error
)


def set_invariant_hook(
    hook: collections.abc.Callable[[InvariantError], None],
) -> None:
    """Sets the handler of invariant errors in tasks of connections.

    Args:
        hook: Called with the error; that of a daemon exits the process.
            The default raises the error.
    """
    global _invariant_hook
    _invariant_hook = hook


def report_invariant_error(error: InvariantError) -> None:
    """Passes an error to the hook; for tasks that no other task joins."""
    _invariant_hook(error)
