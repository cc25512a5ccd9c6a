"""Slots, load and run time statistics of a backend at this entry."""

from __future__ import annotations

import math
import time
import typing

from banyantrack.core import states
from banyantrack.dispatch import statistics

if typing.TYPE_CHECKING:
    from banyantrack.membership import backends as backends_module

# Time constant with which the weight of a failed attempt decays.
FAILURE_DECAY_S = 5.0
QUICK = states.ServiceClass.QUICK
LONG = states.ServiceClass.LONG


class Target:
    """A backend with the state that this entry keeps about it.

    Args:
        backend: The backend.
    """

    __slots__ = (
        'backend',
        'in_flight',
        'long_in_flight',
        'peer_in_flight',
        'peer_long_in_flight',
        'peer_load_at',
        'owned_slots',
        'owned_quick_only_slots',
        'run_times',
        'lapsed',
        '_failures',
        '_failures_updated_at',
    )

    def __init__(self, backend: backends_module.Backend) -> None:
        self.backend = backend
        # Slots in use by requests of this entry.
        self.in_flight = 0
        self.long_in_flight = 0
        # Slots in use by other entries, from their last gossip messages.
        self.peer_in_flight = 0
        self.peer_long_in_flight = 0
        self.peer_load_at = 0.0
        # Slots assigned to this entry in the division among entries; the
        # quick-only ones are included.
        self.owned_slots = 0
        self.owned_quick_only_slots = 0
        self.run_times = statistics.RunTimes()
        # Whether the last announcement of the backend is too old.
        self.lapsed = False
        self._failures = 0.0
        self._failures_updated_at = 0.0

    @property
    def failures(self) -> float:
        """Number of failed attempts, decayed over `FAILURE_DECAY_S`."""
        if not self._failures:
            return 0.0
        elapsed_s = time.monotonic() - self._failures_updated_at
        return self._failures * math.exp(-elapsed_s / FAILURE_DECAY_S)

    def record_failure(self) -> None:
        """Records a failed attempt."""
        self._failures = self.failures + 1.0
        self._failures_updated_at = time.monotonic()

    def record_success(self, run_s: float) -> None:
        """Records a complete answer with its run time in seconds."""
        self.run_times.add(run_s)
        if self._failures:
            self._failures = self.failures / 2

    def free_slots(self, lane: states.ServiceClass) -> int:
        """Returns how many more slots this entry may use; may be negative.

        Args:
            lane: Lane of the request.
        """
        slots = self.backend.slots
        free = self.owned_slots - self.in_flight
        if lane is LONG:
            long_slots = self.owned_slots - self.owned_quick_only_slots
            free = min(free, long_slots - self.long_in_flight)
        # Long requests of other entries keep their slots until they end, even
        # if the slots were reassigned to this entry.
        occupied = self.in_flight + self.peer_long_in_flight
        return min(free, slots - occupied)

    def reserve_slots(self, lane: states.ServiceClass, slots: int) -> None:
        """Reserves slots for a request."""
        self.in_flight += slots
        if lane is LONG:
            self.long_in_flight += slots

    def release_slots(self, lane: states.ServiceClass, slots: int) -> None:
        """Releases the slots of a request."""
        self.in_flight -= slots
        if lane is LONG:
            self.long_in_flight -= slots
