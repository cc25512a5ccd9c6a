"""Asks the policy service which workers may run a step."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.workload import advice
from banyantrack.workload import layout
from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import state as state_module

# Added to twice the service's declared time for an answer.
ANSWER_MARGIN_S = 1.0
# A ticket is not used during this last part of its validity, so that the
# start reaches its worker in time.
TICKET_MARGIN_S = 0.5
# Delay after a refusal or a missing answer.
RETRY_DELAY_MS = 200
_LOG = logging.getLogger(__name__)


class Advisor:
    """Answers of the policy service during one leadership term.

    Args:
        state: The replicated state.
        platform_client: Calls the service.
        request_round: Called after each call, to plan with its answer.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        platform_client: worker_client.PlatformClient,
        request_round: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._state = state
        self._platform_client = platform_client
        self._request_round = request_round
        self._approvals: dict[layout.GroupKey, advice.Approvals] = {}
        self._pending: set[layout.GroupKey] = set()
        self._retry_at_ms: dict[layout.GroupKey, float] = {}
        # The service accepts one call at a time from each host.
        self._lock = curio.Lock()

    @property
    def approvals(
        self,
    ) -> collections.abc.Mapping[layout.GroupKey, advice.Approvals]:
        """Approvals that have not expired, by group."""
        now_s = clock.steady_s()
        for group, approvals in list(self._approvals.items()):
            if group.job_id not in self._state.active:
                del self._approvals[group]
            else:
                approvals.expire(now_s)
        return self._approvals

    async def ask(self, group: layout.GroupKey, workers: list[str]) -> None:
        """Asks which of the given workers may run the step of a group.

        Does nothing while a call for the group is pending, or during the
        delay after one that was refused or not answered.

        Args:
            group: The group.
            workers: Ids of the workers to ask about.
        """
        if (
            group in self._pending
            or self._retry_at_ms.get(group, 0) > clock.now_ms()
        ):
            return
        self._pending.add(group)
        await curio.spawn(self._ask, group, workers, daemon=True)

    async def _ask(self, group: layout.GroupKey, workers: list[str]) -> None:
        try:
            async with self._lock:
                await self._call_service(group, workers)
        finally:
            self._pending.discard(group)
        await self._request_round()

    async def _call_service(
        self, group: layout.GroupKey, workers: list[str]
    ) -> None:
        record = self._state.active.get(group.job_id)
        if record is None or record.queue.advice is None:
            return
        policy = record.queue.advice
        workers_asked = [
            self._state.workers[worker_id]
            for worker_id in workers
            if worker_id in self._state.workers
        ]
        asked_s = clock.steady_s()
        answer_ms = policy.decision_ms + policy.per_worker_ms * len(
            workers_asked
        )
        try:
            tickets = await self._platform_client.advise(
                group,
                [worker.worker_id for worker in workers_asked],
                timeout_s=2 * answer_ms / 1000 + ANSWER_MARGIN_S,
            )
        except worker_client.NoAnswerError as error:
            logs.event(
                _LOG, 'advice_unanswered', level=logging.WARNING, error=error
            )
            tickets = None
        if tickets is None:
            self._retry_at_ms[group] = clock.now_ms() + RETRY_DELAY_MS
            return
        approvals = self._approvals.setdefault(group, advice.Approvals())
        expires_s = asked_s + policy.validity_ms / 1000 - TICKET_MARGIN_S
        approvals.add(workers_asked, tickets, expires_s)
        logs.event(
            _LOG,
            'advice',
            job=group.job_id,
            step=group.step,
            asked=len(workers_asked),
            approved=len(tickets),
        )
