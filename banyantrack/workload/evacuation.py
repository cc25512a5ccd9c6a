"""Decides which runs to move off a worker that is about to leave.

When a worker is withdrawn at short notice, a run that cannot end in time is
restarted elsewhere at once and not only after the worker's lease expires.
"""

from __future__ import annotations

# Checkpointable runs are stopped this long before the worker leaves.
CHECKPOINT_MARGIN_MS = 1000.0
# Draining workers mostly stay longer than announced, so a run that saves no
# progress is only stopped if it would overrun the announced time by more.
DRAIN_OVERRUN_MS = 2000.0


def must_evacuate(
    *, remaining_ms: float, worker_remaining_ms: float, checkpointable: bool
) -> bool:
    """Whether to stop a run so that it is restarted elsewhere.

    Args:
        remaining_ms: Expected remaining time of the run, in milliseconds.
        worker_remaining_ms: Time until its worker leaves as announced, in
            milliseconds.
        checkpointable: Whether the run saves its progress when stopped.
    """
    if remaining_ms <= worker_remaining_ms:
        return False
    if checkpointable:
        return worker_remaining_ms <= CHECKPOINT_MARGIN_MS
    return remaining_ms > worker_remaining_ms + DRAIN_OVERRUN_MS
