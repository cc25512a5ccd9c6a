"""Finds out whether workers that are said to have left have ended.

A worker that ends as planned sends a notice, which names its id but no
incarnation. A member that stood still may pass the notice on seconds later,
when the worker runs again under the same id. So a notice alone ends nothing:
the leader asks the worker itself.
"""

from __future__ import annotations

import enum
import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.generated.workload import ttypes
from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    import collections.abc

# A worker ends as soon as its notice is acknowledged. One that answers for
# longer after the last notice has not sent it in this incarnation.
WATCH_DURATION_S = 2.0
CHECK_INTERVAL_S = 0.05
_LOG = logging.getLogger(__name__)


class Owner(typing.Protocol):
    """Interface of the leader that receives the notices."""

    @property
    def token(self) -> int:
        """Fencing token."""

    def lasts(self) -> bool:
        """Whether the leader may send orders now or later."""

    def leads(self) -> bool:
        """Whether no other leader can have been elected."""

    async def on_left(self, worker: ttypes.WorkerRecord) -> None:
        """Called when a worker that was said to have left has ended."""


class Finding(enum.Enum):
    """What one check has shown about an incarnation of a worker."""

    ENDED = 'ended'
    RUNS = 'runs'
    UNKNOWN = 'unknown'


class DepartureWatch:
    """Checks workers after a notice, during one leadership term.

    Invariant: an incarnation is recorded as left only if another worker
    answers at its address, or if it has announced its end (`DRAINING`) and
    nothing listens at its address. Refused connections alone prove nothing,
    since a cut may refuse them, too; the lease then bounds the runs of the
    worker. A later incarnation of it may have got orders for this one, so its
    report is waited for.

    Args:
        platform_client: Creates clients of workers.
        owner: The leader.
        find_worker: Returns the current record of a worker, or None.
    """

    def __init__(
        self,
        platform_client: worker_client.PlatformClient,
        owner: Owner,
        find_worker: collections.abc.Callable[
            [str], ttypes.WorkerRecord | None
        ],
    ) -> None:
        self._platform_client = platform_client
        self._owner = owner
        self._find_worker = find_worker
        # Steady time until which a worker is watched, by id and incarnation.
        self._until_s: dict[tuple[str, int], float] = {}

    def is_watched(self, worker: ttypes.WorkerRecord) -> bool:
        """Whether a worker may be about to end; it gets no new runs."""
        return (worker.worker_id, worker.incarnation) in self._until_s

    async def note(self, worker: ttypes.WorkerRecord) -> None:
        """Watches a worker after a notice that it leaves.

        Args:
            worker: The current record of the worker.
        """
        key = (worker.worker_id, worker.incarnation)
        watched = key in self._until_s
        self._until_s[key] = clock.steady_s() + WATCH_DURATION_S
        if not watched:
            await curio.spawn(self._watch, worker, daemon=True)

    async def _watch(self, worker: ttypes.WorkerRecord) -> None:
        key = (worker.worker_id, worker.incarnation)
        client = self._platform_client.open(worker)
        finding = Finding.UNKNOWN
        try:
            while (
                self._owner.lasts() and clock.steady_s() < self._until_s[key]
            ):
                current = self._find_worker(worker.worker_id)
                if current is None or current.incarnation != key[1]:
                    return
                finding = await self._check(client, current)
                if finding is Finding.ENDED:
                    await self._owner.on_left(current)
                    return
                await curio.sleep(CHECK_INTERVAL_S)
            logs.event(
                _LOG,
                'departure_refuted'
                if finding is Finding.RUNS
                else 'departure_unconfirmed',
                level=logging.WARNING,
                worker=worker.worker_id,
                incarnation=worker.incarnation,
            )
        finally:
            del self._until_s[key]
            await client.close()

    async def _check(
        self,
        client: worker_client.WorkerClient,
        worker: ttypes.WorkerRecord,
    ) -> Finding:
        if not self._owner.leads():
            return Finding.UNKNOWN
        try:
            reply = await client.check(token=self._owner.token, acknowledged=0)
        except worker_client.NoAnswerError as error:
            refused = error.silence is worker_client.Silence.REFUSED
            draining = worker.state == ttypes.WorkerState.DRAINING
            return Finding.ENDED if refused and draining else Finding.UNKNOWN
        if reply.reason is worker_client.OrderOutcome.REPLACED:
            return Finding.ENDED
        if reply.reason is worker_client.OrderOutcome.OTHER_INCARNATION:
            return Finding.UNKNOWN
        return Finding.RUNS
