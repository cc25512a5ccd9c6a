"""Forwards customers' calls to the leader and reports their outcome.

A call is reported as not taken only if no leader can have accepted it. A
call that a leader may have accepted is repeated until it is answered or its
deadline passes. Repeating is safe, since each job has an id of its own.
"""

from __future__ import annotations

import collections
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

RETRY_DELAY_S = 0.05
# Timeout of the first attempt at a member. Elections take less, so a silent
# leader has been replaced by the next attempt. Each further attempt of a call
# at the same member may take twice as long as the one before, since a member
# that still leads is slow rather than lost.
ATTEMPT_TIMEOUT_S = 0.7
# Part of the caller's timeout that is reserved for sending the answer.
ANSWER_MARGIN_S = 0.15
# An entry without an answer of a leader for this long reports that it is not
# ready, so that the platform takes it out of rotation.
MAX_LEADER_AGE_S = 2.5
# An entry without an answer of a leader for this long probes the leader.
PROBE_INTERVAL_S = 0.5
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a call.

    Attributes:
        answer: The leader's answer; None if there is none.
        not_taken: Without an answer, whether it is certain that no leader
            has accepted the call or will accept it later.
        detail: Why there is no answer.
    """

    answer: ttypes.JobAnswer | None
    not_taken: bool = False
    detail: str = ''


class JobGateway:
    """Forwards customers' calls to the leader.

    Args:
        locator: Addresses of control members.
        pool: Connections to control members.
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
        # Address for the next attempt; empty if no leader is known.
        self._leader = ''
        self._next_candidate = 0
        # Address of the leader that answered last, and the steady time of it.
        self._last_leader = ''
        self._last_answer_s = float('-inf')
        self._configured = False
        self._stopping = False
        metrics.gauge('banyan_ready', lambda: float(self.serving))
        metrics.gauge(
            'banyan_leader_age_s',
            lambda: clock.steady_s() - self._last_answer_s,
        )

    @property
    def serving(self) -> bool:
        """Whether this entry is ready for new callers."""
        if self._stopping or not self._configured:
            return False
        return clock.steady_s() - self._last_answer_s < MAX_LEADER_AGE_S

    def stop(self) -> None:
        """Reports from now on that this entry is not ready."""
        self._stopping = True

    async def run(self) -> None:
        """Probes the leader and logs changes of readiness until cancelled."""
        was_serving = None
        while True:
            if clock.steady_s() - self._last_answer_s > PROBE_INTERVAL_S:
                call = ttypes.JobCall(
                    operation=ttypes.JobOperation.COUNT,
                    request_id='',
                    host='',
                    path='/',
                    key='',
                )
                await self.call(call, 2 * ATTEMPT_TIMEOUT_S)
            if self.serving != was_serving:
                was_serving = self.serving
                logs.event(
                    _LOG,
                    'readiness',
                    ready=was_serving,
                    leader=self._leader,
                    leader_age_s=clock.steady_s() - self._last_answer_s,
                )
            await curio.sleep(PROBE_INTERVAL_S)

    async def call(self, call: ttypes.JobCall, timeout_s: float) -> Outcome:
        """Forwards one call.

        Args:
            call: The call; its request id is set here if it is empty. A
                call without a host is a probe and is not counted or logged.
            timeout_s: Seconds that the caller waits for the answer.
        """
        started_s = clock.steady_s()
        deadline_s = started_s + max(timeout_s - ANSWER_MARGIN_S, 0.05)
        probe = not call.host
        call.request_id = (
            call.request_id or f'{self._prefix}-{next(self._ids)}'
        )
        outcome, attempts = await self._call_leader(call, deadline_s)
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
            tries=attempts,
            took_ms=took_s * 1000,
            detail=outcome.detail or None,
        )
        return outcome

    async def _call_leader(
        self, call: ttypes.JobCall, deadline_s: float
    ) -> tuple[Outcome, int]:
        # Stays true once a leader may have accepted the change, so that the
        # call is not reported as not taken afterwards.
        may_be_accepted = False
        detail = 'no leader is known'
        attempts = 0
        timeouts: collections.Counter[str] = collections.Counter()
        is_change = call.operation in (
            ttypes.JobOperation.SUBMIT,
            ttypes.JobOperation.CANCEL,
        )
        while (left_s := deadline_s - clock.steady_s()) > 0:
            address = self._leader or self._candidate()
            if not address:
                await curio.sleep(RETRY_DELAY_S)
                continue
            attempts += 1
            attempt_s = ATTEMPT_TIMEOUT_S * 2 ** timeouts[address]
            try:
                answer = await self._pool.call(
                    address, call, timeout_s=min(left_s, attempt_s)
                )
            except rpc.CallError as error:
                detail = str(error)
                self._leader = ''
                if error.code == cluster.ErrorCode.NOT_LEADER:
                    self._leader = error.leader_address
                    if self._leader == address:
                        self._leader = ''
                elif error.code == cluster.ErrorCode.UNKNOWN_OUTCOME:
                    may_be_accepted = True
                await curio.sleep(RETRY_DELAY_S)
                continue
            except rpc.TransportError as error:
                detail = str(error)
                self._leader = ''
                timeouts[address] += error.sent
                may_be_accepted = may_be_accepted or (error.sent and is_change)
                await curio.sleep(RETRY_DELAY_S / 2)
                continue
            if address != self._last_leader:
                logs.event(
                    _LOG,
                    'leader_found',
                    leader=address,
                    before=self._last_leader or None,
                    silent_s=(
                        clock.steady_s() - self._last_answer_s
                        if self._last_leader
                        else None
                    ),
                )
                self._last_leader = address
            self._leader = address
            self._last_answer_s = clock.steady_s()
            self._configured = answer.verdict != ttypes.JobVerdict.NO_CONFIG
            if may_be_accepted and answer.verdict in (
                ttypes.JobVerdict.NO_CONFIG,
                ttypes.JobVerdict.NOT_ACCEPTED,
            ):
                detail = 'a previous leader may have accepted the call'
                return Outcome(None, False, detail), attempts
            return Outcome(answer), attempts
        return Outcome(None, not may_be_accepted, detail), attempts

    def _candidate(self) -> str:
        known = self._locator.addresses
        if not known:
            return ''
        self._next_candidate += 1
        return known[self._next_candidate % len(known)]
