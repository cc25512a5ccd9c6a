"""Asks the policy service which workers may run a step."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.workload import advice
from banyantrack.workload import layout
from banyantrack.workload import port

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import state as state_module

# Besides twice the time that the service says it takes for an answer.
ANSWER_MARGIN_S = 1.0
# A start must reach its worker this long before its ticket ends.
TICKET_MARGIN_S = 0.5
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
        self._approvals: dict[layout.GroupKey, advice.Approvals] = {}
        self._asking: set[layout.GroupKey] = set()
        self._retry_at_ms: dict[layout.GroupKey, float] = {}
        # The service takes one call at a time from each host.
        self._lock = curio.Lock()

    @property
    def approvals(
        self,
    ) -> collections.abc.Mapping[layout.GroupKey, advice.Approvals]:
        """What holds now of what the service said, by group."""
        now_s = clock.steady_s()
        for group, approvals in list(self._approvals.items()):
            if group.job_id not in self._state.active:
                del self._approvals[group]
            else:
                approvals.expire(now_s)
        return self._approvals

    async def ask(self, group: layout.GroupKey, workers: list[str]) -> None:
        """Asks for a group, unless that is under way or was in vain."""
        if (
            group in self._asking
            or self._retry_at_ms.get(group, 0) > clock.now_ms()
        ):
            return
        self._asking.add(group)
        await curio.spawn(self._ask, group, workers, daemon=True)

    async def _ask(self, group: layout.GroupKey, workers: list[str]) -> None:
        try:
            async with self._lock:
                await self._ask_once(group, workers)
        finally:
            self._asking.discard(group)
        await self._changed()

    async def _ask_once(
        self, group: layout.GroupKey, workers: list[str]
    ) -> None:
        record = self._state.active.get(group.job_id)
        if record is None or record.queue.advice is None:
            return
        rules = record.queue.advice
        asked = [
            self._state.workers[worker_id]
            for worker_id in workers
            if worker_id in self._state.workers
        ]
        asked_s = clock.steady_s()
        takes_ms = rules.decision_ms + rules.per_worker_ms * len(asked)
        try:
            tickets = await self._ports.advise(
                group,
                [worker.worker_id for worker in asked],
                timeout_s=2 * takes_ms / 1000 + ANSWER_MARGIN_S,
            )
        except port.NoAnswerError as error:
            logs.event(
                _LOG, 'advice_unanswered', level=logging.WARNING, error=error
            )
            tickets = None
        if tickets is None:
            self._retry_at_ms[group] = clock.now_ms() + RETRY_MS
            return
        approvals = self._approvals.setdefault(group, advice.Approvals())
        expires_s = asked_s + rules.validity_ms / 1000 - TICKET_MARGIN_S
        approvals.add(asked, tickets, expires_s)
        logs.event(
            _LOG,
            'advice',
            job=group.job_id,
            step=group.step,
            asked=len(asked),
            approved=len(tickets),
        )
