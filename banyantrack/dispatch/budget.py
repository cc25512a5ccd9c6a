"""Token bucket that limits retries and hedges."""

from __future__ import annotations

# Capacity of the bucket: retries and hedges allowed at once after a quiet
# period.
BURST = 10.0


class RetryBudget:
    """Limits retries and hedges to a share of first attempts.

    Args:
        share: Tokens added for each first attempt; a retry or hedge costs
            one token. 0 allows neither.
    """

    __slots__ = ('_share', '_tokens')

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = BURST if share > 0 else 0.0

    @property
    def available(self) -> bool:
        """Whether a retry or hedge is allowed now."""
        return self._tokens >= 1.0

    def record_first_attempt(self) -> None:
        """Adds the share of a first attempt to the budget."""
        self._tokens = min(self._tokens + self._share, BURST)

    def try_spend(self) -> bool:
        """Spends a token on a retry or hedge; returns whether one was left."""
        if not self.available:
            return False
        self._tokens -= 1.0
        return True
