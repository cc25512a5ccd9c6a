"""Asks the policy service which workers may run a step."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.generated.workload import ttypes
from banyantrack.workload import layout
from banyantrack.workload import planner
from banyantrack.workload import port

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import state as state_module

# The service takes at most this many workers in a call.
MOST_WORKERS = 100
# Asked again after a refusal or no answer.
RETRY_MS = 200
_LOG = logging.getLogger(__name__)


class Advisor:
    """What the policy service has said, during one time of leadership.

    Args:
        state: The replicated state.
        ports: Calls the service.
        changed: Called when there is news.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        ports: port.Ports,
        changed: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        self._state = state
        self._ports = ports
        self._changed = changed
        self._approvals: dict[layout.GroupKey, planner.Approvals] = {}
        self._asking: set[layout.GroupKey] = set()
        self._retry_at_ms: dict[layout.GroupKey, float] = {}
        # The service takes one call at a time from each host.
        self._lock = curio.Lock()

    @property
    def approvals(
        self,
    ) -> collections.abc.Mapping[layout.GroupKey, planner.Approvals]:
        """Workers that may run a step, by group."""
        return self._approvals

    async def ask(self, group: layout.GroupKey) -> None:
        """Asks for a group, unless that is under way or was in vain."""
        if (
            group in self._asking
            or self._retry_at_ms.get(group, 0) > clock.now_ms()
        ):
            return
        self._asking.add(group)
        await curio.spawn(self._ask, group, daemon=True)

    async def _ask(self, group: layout.GroupKey) -> None:
        try:
            async with self._lock:
                await self._ask_once(group)
        finally:
            self._asking.discard(group)
        await self._changed()

    async def _ask_once(self, group: layout.GroupKey) -> None:
        record = self._state.active.get(group.job_id)
        if record is None or record.queue.advice is None:
            return
        workers = [
            worker.worker_id
            for worker in self._state.workers.values()
            if worker.pool == record.queue.pool
            and worker.state == ttypes.WorkerState.READY
        ]
        asked_ms = clock.now_ms()
        try:
            tickets = await self._ports.advise(group, workers[:MOST_WORKERS])
        except port.NoAnswerError as error:
            logs.event(
                _LOG, 'advice_unanswered', level=logging.WARNING, error=error
            )
            tickets = None
        if tickets is None:
            self._retry_at_ms[group] = clock.now_ms() + RETRY_MS
            return
        self._approvals[group] = planner.Approvals(
            tickets, asked_ms + record.queue.advice.validity_ms
        )
        logs.event(
            _LOG,
            'advice',
            job=group.job_id,
            step=group.step,
            asked=len(workers),
            approved=len(tickets),
        )
