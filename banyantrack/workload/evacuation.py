"""Which runs leave a worker that is about to end.

Answers workers that are taken away at short notice: a run that cannot end
in time starts again elsewhere at once, rather than after the worker's lease.
"""

from __future__ import annotations

# A run that saves its progress goes on until this long before the end.
SAVE_MS = 1000.0
# Workers that drain mostly stay for longer than they promise.
LINGER_MS = 2000.0


def must_leave(
    *, left_ms: float, stays_ms: float, checkpointable: bool
) -> bool:
    """Whether a run is to be stopped, so that it starts again elsewhere.

    Args:
        left_ms: How much longer it is expected to run.
        stays_ms: How much longer its worker has promised to stay.
        checkpointable: Whether it saves its progress when it is stopped.
    """
    if left_ms <= stays_ms:
        return False
    if checkpointable:
        return stays_ms <= SAVE_MS
    return left_ms > stays_ms + LINGER_MS
