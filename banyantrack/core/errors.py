"""Base class of the errors that this package raises."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc


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


def _raise(error: InvariantError) -> None:
    raise error


_on_invariant: collections.abc.Callable[[InvariantError], None] = _raise


def set_invariant_hook(
    hook: collections.abc.Callable[[InvariantError], None],
) -> None:
    """Sets what happens when an invariant breaks in a connection's task.

    Args:
        hook: Called with the error; a daemon ends the process there.
    """
    global _on_invariant
    _on_invariant = hook


def invariant_broken(error: InvariantError) -> None:
    """Reports a broken invariant from a task that nobody waits for."""
    _on_invariant(error)
