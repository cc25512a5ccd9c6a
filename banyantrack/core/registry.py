"""Registries of named implementations, filled by decorators."""

from __future__ import annotations

import collections.abc
import typing

from banyantrack.core import errors

T = typing.TypeVar('T')


class UnknownNameError(errors.BanyanError, LookupError):
    """No implementation is registered under a name."""


class Registry(typing.Generic[T]):
    """Maps names to implementations.

    Args:
        subject: Kind of the registered items, for error messages.
    """

    def __init__(self, subject: str) -> None:
        self._subject = subject
        self._entries: dict[str, T] = {}

    def __iter__(self) -> collections.abc.Iterator[str]:
        return iter(sorted(self._entries))

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Returns a decorator that registers the decorated object.

        Args:
            name: A name that is not registered yet.

        Raises:
            ValueError: If the name is already registered.
        """
        if name in self._entries:
            raise ValueError(f'{self._subject} {name!r} is registered twice')

        def decorate(entry: T) -> T:
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Returns the object registered under a name.

        Args:
            name: The registered name.

        Raises:
            UnknownNameError: If the name is not registered.
        """
        try:
            return self._entries[name]
        except KeyError:
            valid = ', '.join(self)
            raise UnknownNameError(
                f'got {self._subject} {name!r}; valid are: {valid}'
            ) from None
