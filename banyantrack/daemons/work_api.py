"""Calls about jobs of tasks, configurations and workers' reports."""

from __future__ import annotations

import copy
import enum
import logging
import typing

from banyantrack.core import clock
from banyantrack.core import findings
from banyantrack.core import logs
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.workload import ttypes
from banyantrack.replication import errors as replication_errors
from banyantrack.replication import quorum
from banyantrack.transport import rpc
from banyantrack.workload import state as state_module
from banyantrack.workload import validation

if typing.TYPE_CHECKING:
    from banyantrack.daemons import work_leadership
    from banyantrack.replication import replica as replica_module

# Time in which a quorum confirms that this member still leads.
BARRIER_TIMEOUT_S = 1.0
# Time for the leader to answer a report that another member passed on.
FORWARD_TIMEOUT_S = 0.8
_LOG = logging.getLogger(__name__)
Verdict = ttypes.JobVerdict


class ConfigVerdict(enum.Enum):
    """Outcome of an operator's change of the configuration."""

    ACCEPTED = 'accepted'
    INVALID = 'invalid'


class WorkApi:
    """Answers at any member; what only the leader knows, it answers.

    Args:
        replica: The member.
        state: The replicated state.
        lead: What the leader does.
        pool: Connections to other members.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.WorkState,
        lead: work_leadership.WorkLeadership,
        pool: rpc.RpcPool,
    ) -> None:
        self._replica = replica
        self._state = state
        self._lead = lead
        self._pool = pool
        self._sequences: dict[str, tuple[int, int]] = {}

    @property
    def replica(self) -> replica_module.Replica:
        """The member."""
        return self._replica

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
            config=self._version(),
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
            answer = await self._change(command)
            if not known and answer.verdict == Verdict.DONE:
                self._log_accepted(call.job.job_id)
            return answer
        if call.operation == ttypes.JobOperation.CANCEL:
            command = ttypes.WorkCommand(
                cancel=ttypes.CancelCommand(
                    host=call.host, path=call.path, key=call.key
                )
            )
            return await self._change(command)
        await self._confirm()
        routed = self._state.route(call.host, call.path, call.key)
        if isinstance(routed, ttypes.JobAnswer):
            return routed
        if call.operation == ttypes.JobOperation.COUNT:
            return _answer(
                Verdict.DONE, pending=self._pending(routed.queue.name)
            )
        record = self._state.jobs.get(routed.rest)
        if record is None:
            return _answer(Verdict.NO_JOB)
        return _answer(Verdict.DONE, state=record.state)

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

    async def _change(self, command: ttypes.WorkCommand) -> ttypes.JobAnswer:
        answer = await self._lead.propose(command)
        session = self._lead.session
        if session is not None:
            await session.changed()
        return answer

    async def _confirm(self) -> None:
        """Makes sure that the state here is as new as the call."""
        if not self._replica.lease_holds():
            await self._replica.read_barrier(timeout_s=BARRIER_TIMEOUT_S)

    def _pending(self, queue: str) -> int:
        return sum(
            record.queue.name == queue
            and record.state == ttypes.JobState.QUEUED
            for record in self._state.active.values()
        )

    def _version(self) -> int | None:
        config = self._state.config
        return None if config is None else config.version

    # Operators.

    async def put_config(
        self, config: ttypes.WorkConfig, found: findings.Findings
    ) -> ConfigVerdict:
        """Puts a configuration in force, if it is valid and newer.

        Args:
            config: The configuration.
            found: Receives everything wrong with it.

        Raises:
            ReplicationError: If it is not agreed.
        """
        validation.check_config(config, found)
        if found.found:
            return ConfigVerdict.INVALID
        if not self._replica.ready:
            raise self._replica.not_leader_error()
        await self._lead.propose(ttypes.WorkCommand(config=config))
        logs.event(
            _LOG,
            'config_acknowledged',
            version=config.version,
            in_force=self._version(),
            queues=len(config.queues),
        )
        session = self._lead.session
        if session is not None:
            await session.changed()
        return ConfigVerdict.ACCEPTED

    async def read_config(self) -> ttypes.WorkConfig | None:
        """Returns the newest configuration.

        Raises:
            ReplicationError: If this member cannot be sure.
        """
        await self._replica.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        return self._state.config

    async def start_wave(self, wave: ttypes.Wave) -> None:
        """Starts a wave of upkeep; a repeat changes nothing.

        Raises:
            ReplicationError: If it is not agreed.
        """
        if not self._replica.ready:
            raise self._replica.not_leader_error()
        wave.accepted_ms = clock.now_ms()
        await self._lead.propose(ttypes.WorkCommand(wave=wave))
        session = self._lead.session
        if session is not None:
            await session.changed()
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
            ReplicationError: If this member cannot be sure.
        """
        await self._replica.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        return self._state.waves.get(number)

    # Workers.

    async def report(
        self, report: ttypes.WorkerReport, found: findings.Findings
    ) -> None:
        """Takes in what a worker says of itself.

        Args:
            report: The report.
            found: Receives a finding if it names no worker of ours.

        Raises:
            ReplicationError: If no leader took it.
        """
        config = self._state.config
        pool = report.worker.pool
        if config is not None and pool not in {p.name for p in config.pools}:
            found.add('pool', f'got {pool!r}, which is not configured')
            return
        await self._pass_on(
            ttypes.ReportRequest(
                report=report, leaving_worker_id='', leaving_incarnation=0
            )
        )

    async def leave(self, worker_id: str, incarnation: int) -> None:
        """Takes in that a worker has ended.

        Args:
            worker_id: The worker.
            incarnation: Its incarnation; 0 if it did not say.

        Raises:
            ReplicationError: If no leader took it.
        """
        await self._pass_on(
            ttypes.ReportRequest(
                leaving_worker_id=worker_id, leaving_incarnation=incarnation
            )
        )

    async def _pass_on(self, request: ttypes.ReportRequest) -> None:
        if self._replica.ready:
            await self._take_report(request)
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
        """Answers a member that passes a report on."""
        if not self._replica.ready:
            return ttypes.ReportReply(accepted=False)
        try:
            await self._take_report(request)
        except replication_errors.ReplicationError:
            return ttypes.ReportReply(accepted=False)
        return ttypes.ReportReply(accepted=True)

    async def _take_report(self, request: ttypes.ReportRequest) -> None:
        if request.report is None:
            known = self._state.workers.get(request.leaving_worker_id)
            if known is None or (
                request.leaving_incarnation
                and request.leaving_incarnation != known.incarnation
            ):
                return
            gone = copy.copy(known)
            gone.state = ttypes.WorkerState.GONE
            await self._record_worker(gone)
            return
        report = request.report
        worker = report.worker
        order = (worker.incarnation, report.sequence)
        if order <= self._sequences.get(worker.worker_id, (0, -1)):
            return
        self._sequences[worker.worker_id] = order
        known = self._state.workers.get(worker.worker_id)
        if known is not None and known.incarnation > worker.incarnation:
            return
        if known is not None and known.incarnation == worker.incarnation:
            if known.state == ttypes.WorkerState.DRAINING:
                worker.state = ttypes.WorkerState.DRAINING
        if known != worker:
            try:
                await self._record_worker(worker)
            except replication_errors.ReplicationError:
                self._sequences.pop(worker.worker_id, None)
                raise
        session = self._lead.session
        if session is not None:
            session.note_report(report)

    async def _record_worker(self, worker: ttypes.WorkerRecord) -> None:
        await self._lead.propose(ttypes.WorkCommand(workers=[worker]))
        logs.event(
            _LOG,
            'worker_recorded',
            worker=worker.worker_id,
            incarnation=worker.incarnation,
            address=worker.address,
            state=ttypes.WorkerState._VALUES_TO_NAMES[worker.state].lower(),
        )
        session = self._lead.session
        if session is not None:
            await session.changed()

    async def members(
        self, request: ttypes.MembersRequest
    ) -> ttypes.MembersReply:
        """Answers whoever looks for the members of the group."""
        return ttypes.MembersReply(
            addresses=[
                member.address
                for member in quorum.all_members(self._replica.membership)
            ],
            empty=self._replica.storage.is_empty,
            led=self._replica.leader is not None,
        )


def _answer(
    verdict: int, *, state: int = 0, pending: int = 0
) -> ttypes.JobAnswer:
    return ttypes.JobAnswer(
        verdict=verdict,
        state=state,
        pending=pending,
        retry_after_s=0,
        detail='',
    )
