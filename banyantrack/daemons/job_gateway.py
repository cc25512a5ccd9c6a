"""Passes customers' calls on to the leader, and says what is true of them.

A call that no leader took may be answered "not taken". One that a leader
may have taken is asked again, since each job has an id of its own, until
an answer comes or its deadline passes.
"""

from __future__ import annotations

import dataclasses
import itertools
import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.workload import ttypes
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.core import metrics as metrics_module
    from banyantrack.membership import locator as locator_module

RETRY_S = 0.05
# One try; elections take less, so a silent leader is left early.
TRY_TIMEOUT_S = 0.7
# Kept back from the deadline for the way of the answer.
ANSWER_MARGIN_S = 0.15
# Without a leader for this long, an entry asks to be left out of rotation.
UNREADY_S = 2.5
PROBE_S = 0.5
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What is known of a call.

    Attributes:
        answer: The leader's answer; None if there is none.
        not_taken: Without an answer, whether the call certainly was not
            taken and never will be.
        detail: Why there is no answer.
    """

    answer: ttypes.JobAnswer | None
    not_taken: bool = False
    detail: str = ''


class JobGateway:
    """Calls the leader for customers.

    Args:
        locator: Addresses of control members.
        pool: Connections.
        metrics: Metrics of the process.
        name: Name of this entry.
    """

    def __init__(
        self,
        locator: locator_module.Locator,
        pool: rpc.RpcPool,
        metrics: metrics_module.Metrics,
        *,
        name: str,
    ) -> None:
        self._locator = locator
        self._pool = pool
        self._metrics = metrics
        self._name = name
        self._ids = itertools.count(1)
        self._prefix = f'{name}-{clock.now_ms():x}'
        self._leader = ''
        self._turn = 0
        self._led_by = ''
        self._led_at_s = float('-inf')
        self._configured = False
        self._stopping = False
        metrics.gauge('banyan_ready', lambda: float(self.serving))
        metrics.gauge(
            'banyan_leader_age_s', lambda: clock.steady_s() - self._led_at_s
        )

    @property
    def serving(self) -> bool:
        """Whether new callers are served here."""
        if self._stopping or not self._configured:
            return False
        return clock.steady_s() - self._led_at_s < UNREADY_S

    def stop(self) -> None:
        """Asks to be left out of rotation."""
        self._stopping = True

    async def run(self) -> None:
        """Keeps in touch with the leader until cancelled."""
        was = None
        while True:
            if clock.steady_s() - self._led_at_s > PROBE_S:
                call = ttypes.JobCall(
                    operation=ttypes.JobOperation.COUNT,
                    request_id='',
                    host='',
                    path='/',
                    key='',
                )
                await self.call(call, 2 * TRY_TIMEOUT_S)
            if self.serving != was:
                was = self.serving
                logs.event(
                    _LOG,
                    'readiness',
                    ready=was,
                    leader=self._leader,
                    leader_age_s=clock.steady_s() - self._led_at_s,
                )
            await curio.sleep(PROBE_S)

    async def call(self, call: ttypes.JobCall, deadline_s: float) -> Outcome:
        """Answers one call.

        Args:
            call: The call; its request id is set here if it is empty.
            deadline_s: Seconds that the caller waits.
        """
        started_s = clock.steady_s()
        until_s = started_s + max(deadline_s - ANSWER_MARGIN_S, 0.05)
        probe = not call.host
        call.request_id = (
            call.request_id or f'{self._prefix}-{next(self._ids)}'
        )
        outcome, tries = await self._try_until(call, until_s)
        took_s = clock.steady_s() - started_s
        if probe:
            return outcome
        self._metrics.histogram('banyan_call_us').record(took_s)
        verdict = None
        if outcome.answer is not None:
            verdict = ttypes.JobVerdict._VALUES_TO_NAMES[
                outcome.answer.verdict
            ]
        self._metrics.counter(
            'banyan_calls', verdict=(verdict or 'none').lower()
        ).add()
        logs.event(
            _LOG,
            'call',
            request=call.request_id,
            operation=ttypes.JobOperation._VALUES_TO_NAMES[call.operation],
            path=call.path,
            verdict=verdict,
            not_taken=outcome.not_taken or None,
            leader=self._leader,
            tries=tries,
            took_ms=took_s * 1000,
            detail=outcome.detail or None,
        )
        return outcome

    async def _try_until(
        self, call: ttypes.JobCall, until_s: float
    ) -> tuple[Outcome, int]:
        # A change that may have been taken once is never said to be not.
        may_be_taken = False
        detail = 'no leader is known'
        tries = 0
        changes = call.operation in (
            ttypes.JobOperation.SUBMIT,
            ttypes.JobOperation.CANCEL,
        )
        while (left_s := until_s - clock.steady_s()) > 0:
            address = self._leader or self._candidate()
            if not address:
                await curio.sleep(RETRY_S)
                continue
            tries += 1
            try:
                answer = await self._pool.call(
                    address, call, timeout_s=min(left_s, TRY_TIMEOUT_S)
                )
            except rpc.CallError as error:
                detail = str(error)
                self._leader = ''
                if error.code == cluster.ErrorCode.NOT_LEADER:
                    self._leader = error.leader_address
                    if self._leader == address:
                        self._leader = ''
                elif error.code == cluster.ErrorCode.UNKNOWN_OUTCOME:
                    may_be_taken = True
                await curio.sleep(RETRY_S)
                continue
            except rpc.TransportError as error:
                detail = str(error)
                self._leader = ''
                may_be_taken = may_be_taken or (error.sent and changes)
                await curio.sleep(RETRY_S / 2)
                continue
            if address != self._led_by:
                logs.event(
                    _LOG,
                    'leader_found',
                    leader=address,
                    before=self._led_by or None,
                    silent_s=(
                        clock.steady_s() - self._led_at_s
                        if self._led_by
                        else None
                    ),
                )
                self._led_by = address
            self._leader = address
            self._led_at_s = clock.steady_s()
            self._configured = answer.verdict != ttypes.JobVerdict.NO_CONFIG
            if may_be_taken and answer.verdict in (
                ttypes.JobVerdict.NO_CONFIG,
                ttypes.JobVerdict.NOT_ACCEPTED,
            ):
                detail = 'may be taken by a former leader'
                return Outcome(None, False, detail), tries
            return Outcome(answer), tries
        return Outcome(None, not may_be_taken, detail), tries

    def _candidate(self) -> str:
        known = self._locator.addresses
        if not known:
            return ''
        self._turn += 1
        return known[self._turn % len(known)]
