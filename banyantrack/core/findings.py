"""Findings about input, collected with their place."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import errors

if typing.TYPE_CHECKING:
    import collections.abc


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One thing wrong with some input.

    Attributes:
        place: Where it is, such as `file:line:column`.
        message: What was got and what is valid.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f'{self.place}: {self.message}'


class FindingError(errors.BanyanError):
    """One finding as an error, so that an exception group can hold it.

    Attributes:
        finding: The finding.
    """

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class FindingsError(ExceptionGroup):
    """All findings about one input together."""

    @classmethod
    def of(
        cls, message: str, found: collections.abc.Iterable[Finding]
    ) -> FindingsError:
        """Returns an error that holds all findings.

        Args:
            message: What was checked.
            found: The findings; at least one.
        """
        return cls(message, [FindingError(finding) for finding in found])

    def derive(self, excs: typing.Sequence[Exception]) -> FindingsError:
        """Returns a group of the same type, as exception groups require."""
        return FindingsError(self.message, excs)

    @property
    def findings(self) -> list[Finding]:
        """The findings in the order in which they were found."""
        return [error.finding for error in self.exceptions]


class Findings:
    """Collects findings."""

    def __init__(self) -> None:
        self._found: list[Finding] = []

    @property
    def found(self) -> list[Finding]:
        """What was added so far."""
        return list(self._found)

    def add(self, place: str, message: str) -> None:
        """Adds a finding.

        Args:
            place: Where it is.
            message: What was got and what is valid.
        """
        self._found.append(Finding(place, message))

    def raise_any(self, message: str) -> None:
        """Raises all findings together, if there are any.

        Args:
            message: What was checked.

        Raises:
            FindingsError: If anything was added.
        """
        if self._found:
            raise FindingsError.of(message, self._found)
