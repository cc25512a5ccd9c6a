"""Registries of named behaviour, filled by decorators."""

from __future__ import annotations

import collections.abc
import typing

from banyantrack.core import errors

T = typing.TypeVar('T')


class UnknownNameError(errors.BanyanError, LookupError):
    """Nothing is registered under a name."""


class Registry(typing.Generic[T]):
    """Maps names to implementations.

    Args:
        subject: What is registered, for messages.
    """

    def __init__(self, subject: str) -> None:
        self._subject = subject
        self._entries: dict[str, T] = {}

    def __iter__(self) -> collections.abc.Iterator[str]:
        return iter(sorted(self._entries))

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Returns a decorator that registers what it decorates.

        Args:
            name: The name; must be free.

        Raises:
            ValueError: If the name is taken.
        """
        if name in self._entries:
            raise ValueError(f'{self._subject} {name!r} is registered twice')

        def decorate(entry: T) -> T:
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Returns what is registered under a name.

        Args:
            name: The name.

        Raises:
            UnknownNameError: If nothing is.
        """
        try:
            return self._entries[name]
        except KeyError:
            valid = ', '.join(self)
            raise UnknownNameError(
                f'got {self._subject} {name!r}; valid are: {valid}'
            ) from None
