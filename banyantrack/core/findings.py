"""Problems found in input, collected with their location."""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.core import errors

if typing.TYPE_CHECKING:
    import collections.abc


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One problem in an input.

    Attributes:
        place: Location, such as `file:line:column`.
        message: The value found and what is valid.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f'{self.place}: {self.message}'


class FindingError(errors.BanyanError):
    """A finding as an exception, as an exception group requires.

    Attributes:
        finding: The finding.
    """

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class FindingsError(ExceptionGroup):
    """All findings of one input."""

    @classmethod
    def of(
        cls, message: str, found: collections.abc.Iterable[Finding]
    ) -> FindingsError:
        """Returns an error that contains all findings.

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
        """The findings in the order in which they were added."""
        return [error.finding for error in self.exceptions]


class Findings:
    """Collects findings."""

    def __init__(self) -> None:
        self._found: list[Finding] = []

    @property
    def found(self) -> list[Finding]:
        """The findings added so far."""
        return list(self._found)

    def add(self, place: str, message: str) -> None:
        """Adds a finding.

        Args:
            place: Location, such as `file:line:column`.
            message: The value found and what is valid.
        """
        self._found.append(Finding(place, message))

    def raise_any(self, message: str) -> None:
        """Raises one error with all findings, if there are any.

        Args:
            message: What was checked.

        Raises:
            FindingsError: If there are findings.
        """
        if self._found:
            raise FindingsError.of(message, self._found)
