"""Budget of retries and hedges."""

from __future__ import annotations

# Attempts that may be made at once after a quiet time.
BURST = 10.0


class RetryBudget:
    """Retries and hedges as a share of first attempts.

    Args:
        share: Further attempts for each first one.
    """

    __slots__ = ('_share', '_tokens')

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = BURST if share > 0 else 0.0

    @property
    def available(self) -> bool:
        """Whether a further attempt may be made now."""
        return self._tokens >= 1.0

    def note_first(self) -> None:
        """Notes a first attempt."""
        self._tokens = min(self._tokens + self._share, BURST)

    def take(self) -> bool:
        """Takes a further attempt; returns whether there is one."""
        if not self.available:
            return False
        self._tokens -= 1.0
        return True
