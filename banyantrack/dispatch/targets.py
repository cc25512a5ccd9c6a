"""Backends as targets: slots, load and what attempts have shown."""

from __future__ import annotations

import math
import time
import typing

from banyantrack.core import states
from banyantrack.dispatch import statistics

if typing.TYPE_CHECKING:
    from banyantrack.membership import backends as backends_module

# A failed attempt lowers the preference of a backend for about this time.
FAILURE_MEMORY_S = 5.0
QUICK = states.ServiceClass.QUICK
LONG = states.ServiceClass.LONG


class Target:
    """One backend as this entry uses it.

    Args:
        backend: The backend.
    """

    __slots__ = (
        'backend',
        'in_flight',
        'long_in_flight',
        'others',
        'others_long',
        'others_at',
        'owned',
        'owned_quick_only',
        'run_times',
        'lapsed',
        '_failures',
        '_failed_at',
    )

    def __init__(self, backend: backends_module.Backend) -> None:
        self.backend = backend
        # Slots in use by this entry: exact.
        self.in_flight = 0
        self.long_in_flight = 0
        # Slots in use by other entries, as they said some time ago.
        self.others = 0
        self.others_long = 0
        self.others_at = 0.0
        # Slots that this entry has in the division among entries.
        self.owned = 0
        self.owned_quick_only = 0
        self.run_times = statistics.RunTimes()
        # Whether the backend has not announced itself for a while.
        self.lapsed = False
        self._failures = 0.0
        self._failed_at = 0.0

    @property
    def failures(self) -> float:
        """Failed attempts of late, fading."""
        if not self._failures:
            return 0.0
        elapsed_s = time.monotonic() - self._failed_at
        return self._failures * math.exp(-elapsed_s / FAILURE_MEMORY_S)

    def note_failure(self) -> None:
        """Notes a failed attempt."""
        self._failures = self.failures + 1.0
        self._failed_at = time.monotonic()

    def note_success(self, run_s: float) -> None:
        """Notes a whole answer."""
        self.run_times.add(run_s)
        if self._failures:
            self._failures = self.failures / 2

    def free(self, lane: states.ServiceClass) -> int:
        """Returns how many slots this entry may still use.

        Args:
            lane: Lane of the request.
        """
        slots = self.backend.slots
        free = self.owned - self.in_flight
        if lane is LONG:
            longable = self.owned - self.owned_quick_only
            free = min(free, longable - self.long_in_flight)
        # Long work of others stays where it is when slots change hands.
        held = self.in_flight + self.others_long
        return min(free, slots - held)

    def take(self, lane: states.ServiceClass, slots: int) -> None:
        """Takes slots for a request."""
        self.in_flight += slots
        if lane is LONG:
            self.long_in_flight += slots

    def give_back(self, lane: states.ServiceClass, slots: int) -> None:
        """Frees the slots of a request."""
        self.in_flight -= slots
        if lane is LONG:
            self.long_in_flight -= slots
