"""Control member's API for task jobs, configurations and worker reports."""

from __future__ import annotations

import copy
import enum
import logging
import typing

from banyantrack.core import clock
from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.daemons import evacuation_orders
from banyantrack.daemons import report_spread
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.workload import ttypes
from banyantrack.replication import errors as replication_errors
from banyantrack.replication import quorum
from banyantrack.transport import rpc
from banyantrack.workload import state as state_module
from banyantrack.workload import validation

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.daemons import work_leadership
    from banyantrack.replication import replica as replica_module

# Time for a quorum to confirm that this member still leads.
BARRIER_TIMEOUT_S = 1.0
# Time for the leader to answer a report that this member forwards.
FORWARD_TIMEOUT_S = 0.8
_LOG = logging.getLogger(__name__)
Verdict = ttypes.JobVerdict


class ConfigVerdict(enum.Enum):
    """Outcome of an operator's change of the configuration."""

    ACCEPTED = 'accepted'
    INVALID = 'invalid'


class WorkApi:
    """API of a control member for entries, operators and workers.

    Any member accepts worker reports and forwards them to the leader. Calls
    about jobs and changes by operators are answered by the leader only.

    Args:
        replica: The member.
        state: The replicated state.
        leadership: Scheduling of task jobs while this member leads.
        pool: Connections to other members.
        spread: Decides which member a worker reports to.
        zones: Availability zones that can be evacuated; empty for any.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.WorkState,
        leadership: work_leadership.WorkLeadership,
        pool: rpc.RpcPool,
        spread: report_spread.ReportSpread,
        *,
        zones: collections.abc.Sequence[str] = (),
    ) -> None:
        self._replica = replica
        self._state = state
        self._leadership = leadership
        self._pool = pool
        self._spread = spread
        self._evacuations = evacuation_orders.EvacuationOrders(
            replica, state, leadership.propose, zones=zones
        )
        # Incarnation and sequence of the last report, by worker id.
        self._last_reports: dict[str, tuple[int, int]] = {}

    @property
    def replica(self) -> replica_module.Replica:
        """The member."""
        return self._replica

    @property
    def evacuations(self) -> evacuation_orders.EvacuationOrders:
        """Orders to evacuate availability zones."""
        return self._evacuations

    # Customers' calls, from entries.

    async def job_call(self, call: ttypes.JobCall) -> ttypes.JobAnswer:
        """Answers a customer's call; see `rpc.RpcServer.handle`."""
        try:
            answer = await self._job_call(call)
        except replication_errors.NotLeaderError as error:
            raise rpc.CallError(
                cluster.ErrorCode.NOT_LEADER,
                str(error),
                leader_address=error.leader_address,
            ) from error
        except replication_errors.UnknownOutcomeError as error:
            raise rpc.CallError(
                cluster.ErrorCode.UNKNOWN_OUTCOME, str(error)
            ) from error
        except replication_errors.ReplicationError as error:
            raise rpc.CallError(
                cluster.ErrorCode.NOT_APPLIED, str(error)
            ) from error
        logs.event(
            _LOG,
            'job_call',
            request=call.request_id,
            operation=ttypes.JobOperation._VALUES_TO_NAMES[call.operation],
            path=call.path,
            verdict=Verdict._VALUES_TO_NAMES[answer.verdict],
            state=ttypes.JobState._VALUES_TO_NAMES.get(answer.state),
            config=self._config_version(),
            term=self._replica.term,
            detail=answer.detail or None,
        )
        return answer

    async def _job_call(self, call: ttypes.JobCall) -> ttypes.JobAnswer:
        if not self._replica.ready:
            raise self._replica.not_leader_error()
        if call.operation == ttypes.JobOperation.SUBMIT:
            command = ttypes.WorkCommand(
                submit=ttypes.SubmitCommand(
                    job=call.job,
                    host=call.host,
                    path=call.path,
                    key=call.key,
                )
            )
            known = call.job.job_id in self._state.jobs
            answer = await self._propose_change(command)
            if not known and answer.verdict == Verdict.DONE:
                self._log_accepted(call.job.job_id)
            return answer
        if call.operation == ttypes.JobOperation.CANCEL:
            command = ttypes.WorkCommand(
                cancel=ttypes.CancelCommand(
                    host=call.host, path=call.path, key=call.key
                )
            )
            return await self._propose_change(command)
        await self._ensure_current_state()
        routed = self._state.route(call.host, call.path, call.key)
        if isinstance(routed, ttypes.JobAnswer):
            return routed
        if call.operation == ttypes.JobOperation.COUNT:
            return _make_answer(
                Verdict.DONE, pending=self._pending_jobs(routed.queue.name)
            )
        record = self._state.jobs.get(routed.rest)
        if record is None:
            return _make_answer(Verdict.NO_JOB)
        return _make_answer(Verdict.DONE, state=record.state)

    def _log_accepted(self, job_id: str) -> None:
        record = self._state.jobs.get(job_id)
        if record is None:
            return
        for number, step in enumerate(record.job.steps):
            logs.event(
                _LOG,
                'job_accepted',
                job=job_id,
                step=number,
                queue=record.queue.name,
                priority=record.queue.priority,
                customer=record.customer,
                tasks=step.count,
                accelerators=step.accelerators,
                cpu_milli=step.cpu_milli,
                estimated_ms=step.estimated_ms,
                gang=step.gang,
                same_rack=step.same_rack or None,
                data_rack=step.data_rack or None,
                label=step.required_label or None,
                checkpointable=step.checkpointable or None,
                long_running=step.long_running or None,
                repeat_count=record.job.repeat_count or None,
            )

    async def _propose_change(
        self, command: ttypes.WorkCommand
    ) -> ttypes.JobAnswer:
        answer = await self._leadership.propose(command)
        session = self._leadership.session
        if session is not None:
            await session.request_round()
        return answer

    async def _ensure_current_state(self) -> None:
        """Waits until the local state is at least as new as the call."""
        if not self._replica.lease_holds():
            await self._replica.read_barrier(timeout_s=BARRIER_TIMEOUT_S)

    def _pending_jobs(self, queue: str) -> int:
        return sum(
            record.queue.name == queue
            and record.state == ttypes.JobState.QUEUED
            for record in self._state.active.values()
        )

    def _config_version(self) -> int | None:
        config = self._state.config
        return None if config is None else config.version

    # Operators.

    async def put_config(
        self, config: ttypes.WorkConfig, found: findings.Findings
    ) -> ConfigVerdict:
        """Puts a configuration in force, if it is valid and newer.

        Args:
            config: The configuration.
            found: Receives a finding for each error in it.

        Raises:
            ReplicationError: If it is not committed.
        """
        validation.check_config(config, found)
        if found.found:
            return ConfigVerdict.INVALID
        if not self._replica.ready:
            raise self._replica.not_leader_error()
        await self._leadership.propose(ttypes.WorkCommand(config=config))
        logs.event(
            _LOG,
            'config_acknowledged',
            version=config.version,
            in_force=self._config_version(),
            queues=len(config.queues),
        )
        session = self._leadership.session
        if session is not None:
            await session.request_round()
        return ConfigVerdict.ACCEPTED

    async def read_config(self) -> ttypes.WorkConfig | None:
        """Returns the newest configuration, or None.

        Raises:
            ReplicationError: If this member is not confirmed as the leader.
        """
        await self._replica.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        return self._state.config

    async def start_wave(self, wave: ttypes.Wave) -> None:
        """Starts a wave of upkeep; idempotent for the same wave number.

        Raises:
            ReplicationError: If it is not committed.
        """
        if not self._replica.ready:
            raise self._replica.not_leader_error()
        wave.accepted_ms = clock.now_ms()
        await self._leadership.propose(ttypes.WorkCommand(wave=wave))
        session = self._leadership.session
        if session is not None:
            await session.request_round()
        logs.event(
            _LOG,
            'wave_accepted',
            wave=wave.number,
            machines=len(wave.machines),
            at_once=wave.at_once,
        )

    async def read_wave(self, number: int) -> ttypes.Wave | None:
        """Returns a wave, or None.

        Raises:
            ReplicationError: If this member is not confirmed as the leader.
        """
        await self._replica.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        return self._state.waves.get(number)

    # Workers.

    async def report(
        self, report: ttypes.WorkerReport, found: findings.Findings
    ) -> None:
        """Records a worker's report, at the leader.

        Args:
            report: The report.
            found: Receives a finding if the worker's pool is not configured.

        Raises:
            ReplicationError: If no leader accepted it.
        """
        config = self._state.config
        pool = report.worker.pool
        if config is not None and pool not in {p.name for p in config.pools}:
            found.add('pool', f'got {pool!r}, which is not configured')
            return
        if self._spread.is_known(report):
            return
        await self._forward_report(
            ttypes.ReportRequest(
                report=report, leaving_worker_id='', leaving_incarnation=0
            )
        )

    def report_receiver(self, worker_id: str) -> str:
        """Returns the RPC address of the member for a worker's reports.

        It is empty if none is known.
        """
        return self._spread.receiver(worker_id)

    async def leave(self, worker_id: str, incarnation: int) -> None:
        """Passes on to the leader that a worker ends.

        Args:
            worker_id: The worker.
            incarnation: Its incarnation; 0 if it is not named.

        Raises:
            ReplicationError: If no leader accepted it.
        """
        await self._forward_report(
            ttypes.ReportRequest(
                leaving_worker_id=worker_id, leaving_incarnation=incarnation
            )
        )

    async def _forward_report(self, request: ttypes.ReportRequest) -> None:
        if self._replica.ready:
            await self._apply_report(request)
            return
        error = self._replica.not_leader_error()
        if not error.leader_address:
            raise error
        try:
            reply = await self._pool.call(
                error.leader_address, request, timeout_s=FORWARD_TIMEOUT_S
            )
        except (rpc.TransportError, rpc.CallError) as failure:
            raise error from failure
        if not reply.accepted:
            raise error

    async def receive_report(
        self, request: ttypes.ReportRequest
    ) -> ttypes.ReportReply:
        """Answers a member that forwards a report."""
        if not self._replica.ready:
            return ttypes.ReportReply(accepted=False)
        try:
            await self._apply_report(request)
        except replication_errors.ReplicationError:
            return ttypes.ReportReply(accepted=False)
        return ttypes.ReportReply(accepted=True)

    async def _apply_report(self, request: ttypes.ReportRequest) -> None:
        if request.report is None:
            await self._apply_departure(request)
            return
        report = request.report
        worker = report.worker
        position = (worker.incarnation, report.sequence)
        if position <= self._last_reports.get(worker.worker_id, (0, -1)):
            return
        known = self._state.workers.get(worker.worker_id)
        if known is not None and position <= _position(known):
            return
        if self._state.has_left(worker.worker_id, worker.incarnation):
            return
        self._last_reports[worker.worker_id] = position
        if known is not None and known.incarnation == worker.incarnation:
            if known.state == ttypes.WorkerState.DRAINING:
                worker.state = ttypes.WorkerState.DRAINING
            # Only changes are recorded, with the sequence of their report.
            worker.sequence = known.sequence
        if known != worker:
            worker.sequence = report.sequence
            try:
                await self._record_worker(worker)
            except replication_errors.ReplicationError:
                self._last_reports.pop(worker.worker_id, None)
                raise
        session = self._leadership.session
        if session is not None:
            session.note_report(report)

    async def _apply_departure(self, request: ttypes.ReportRequest) -> None:
        known = self._state.workers.get(request.leaving_worker_id)
        if known is None:
            return
        if not request.leaving_incarnation:
            # It may be a late notice of an earlier incarnation.
            session = self._leadership.session
            if session is None:
                raise self._replica.not_leader_error()
            await session.note_departure(known)
        elif request.leaving_incarnation == known.incarnation:
            gone = copy.copy(known)
            gone.state = ttypes.WorkerState.GONE
            gone.has_left = True
            await self._record_worker(gone)

    async def _record_worker(self, worker: ttypes.WorkerRecord) -> None:
        await self._leadership.propose(ttypes.WorkCommand(workers=[worker]))
        logs.event(
            _LOG,
            'worker_recorded',
            worker=worker.worker_id,
            incarnation=worker.incarnation,
            address=worker.address,
            state=ttypes.WorkerState._VALUES_TO_NAMES[worker.state].lower(),
        )
        session = self._leadership.session
        if session is not None:
            await session.request_round()

    async def members(
        self, request: ttypes.MembersRequest
    ) -> ttypes.MembersReply:
        """Answers a request for the addresses of all members."""
        return ttypes.MembersReply(
            addresses=[
                member.address
                for member in quorum.all_members(self._replica.membership)
            ],
            empty=self._replica.storage.is_empty,
            led=self._replica.leader is not None,
        )


def _position(worker: ttypes.WorkerRecord) -> tuple[int, int]:
    """Returns the incarnation and sequence of a recorded report."""
    sequence = -1 if worker.sequence is None else worker.sequence
    return worker.incarnation, sequence


def _make_answer(
    verdict: int, *, state: int = 0, pending: int = 0
) -> ttypes.JobAnswer:
    return ttypes.JobAnswer(
        verdict=verdict,
        state=state,
        pending=pending,
        retry_after_s=0,
        detail='',
    )
