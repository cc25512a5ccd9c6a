"""Schedules task jobs during one leadership term.

A session plans placement rounds, sends orders to workers and follows their
runs. Its own state ends with the leadership: the next leader starts from the
replicated state and from what workers answer.

Invariant: all orders that carry a fencing token come from one session, which
lasts as long as the member leads in that term. A worker refuses orders with a
lower token than it has seen, so the first list of runs that a worker answers
shows each run that an earlier session may have started. It does not settle
unanswered starts of the same token; only their session knows of these.
"""

from __future__ import annotations

import copy
import dataclasses
import functools
import logging
import time
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.core import signals
from banyantrack.daemons import advisor
from banyantrack.daemons import departures
from banyantrack.daemons import run_forecasts
from banyantrack.daemons import upkeep
from banyantrack.daemons import worker_link
from banyantrack.generated.workload import ttypes
from banyantrack.replication import errors as replication_errors
from banyantrack.workload import availability
from banyantrack.workload import capacity
from banyantrack.workload import crashes
from banyantrack.workload import dry_run
from banyantrack.workload import durations as durations_module
from banyantrack.workload import evacuation
from banyantrack.workload import layout
from banyantrack.workload import moves
from banyantrack.workload import pacing
from banyantrack.workload import planner as planner_module
from banyantrack.workload import preemption
from banyantrack.workload import progress
from banyantrack.workload import run_times
from banyantrack.workload import speeds as speeds_module
from banyantrack.workload import state as state_module
from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.core import metrics as metrics_module
    from banyantrack.generated.settings import ttypes as settings
    from banyantrack.replication import replica as replica_module

PROPOSE_TIMEOUT_S = 3.0
# Longest wait between rounds without a change. It also bounds how late a
# deadline that no change announces is noticed.
IDLE_ROUND_INTERVAL_S = 0.1
# Interval between checks whether a lease that has lapsed holds again.
LEASE_CHECK_INTERVAL_S = 0.02
# Pause after each round, so that changes which arrive together are planned in
# one round.
ROUND_PAUSE_S = 0.01
# Least pause after a round, as a share of the time that it took to plan. In a
# large fleet, rounds would otherwise leave no time to renew leases.
ROUND_PAUSE_SHARE = 0.5
# Started members of a gang wait `gang_ms` for the others. A gang whose
# members are not all confirmed within this share of that time is stopped.
GANG_START_SHARE = 0.4
# Delay before a group is placed again after one of its runs never began or
# waited in vain for the rest of its gang.
RETRY_DELAY_MS = 250.0
# A failure or silence lowers the preference of a worker for this long.
PENALTY_WINDOW_S = 20.0
# Pace at which tasks start, in percent of full speed.
FULL_PACE_PERCENT = 100
# Penalty of a worker that has become slow, in failed runs.
SLOW_PENALTY = 3.0
# Penalty of a machine that was silent recently, in failed runs.
SILENT_PENALTY = 1.0
# Penalty of a cold worker, in failed runs: it is used after all warm ones.
COLD_PENALTY = 1000.0
# Losses of workers are kept for this long after their first sign; their runs
# have been recorded as lost long before.
LOSS_RETENTION_S = 60.0
# Kinds of ends that workers do not list.
_UNLISTED_ENDS = frozenset((ttypes.EndKind.NEVER, ttypes.EndKind.LOST))
_LOG = logging.getLogger(__name__)
_Propose = typing.Callable[
    [ttypes.WorkCommand], 'collections.abc.Awaitable[typing.Any]'
]


@dataclasses.dataclass(slots=True)
class _MisroutedRun:
    """A run that a later incarnation of its worker may carry out.

    Attributes:
        worker_id: The worker.
        incarnation: The later incarnation.
        stop_sent: Whether that incarnation was ordered to stop the run.
    """

    worker_id: str
    incarnation: int
    stop_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _GangStart:
    """A gang's run that not all members have confirmed.

    Attributes:
        run: Number of the run.
        started_s: Steady time at which its starts were recorded.
    """

    run: int
    started_s: float


def _run_name(run: layout.RunId) -> str:
    return '.'.join(map(str, run.task)) + f'/{run.run}'


def _machine_id(worker: ttypes.WorkerRecord) -> str:
    """Returns the machine of a worker, or its worker id if it has none.

    A restarted worker may have another worker id on the same machine.
    """
    return worker.machine or worker.worker_id


class WorkSession:
    """Schedules task jobs while this member leads in one term.

    Args:
        replica: The member, which is the leader.
        state: The replicated state.
        platform_client: Creates clients of workers.
        options: Settings of the platform.
        propose: Proposes a command; raises `ReplicationError` on failure.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.WorkState,
        platform_client: worker_client.PlatformClient,
        options: settings.ControlPlatformSettings,
        propose: _Propose,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._replica = replica
        self._state = state
        self._platform_client = platform_client
        self._options = options
        self._propose_command = propose
        self._metrics = metrics
        self._term = replica.term
        self._links: dict[str, worker_link.WorkerLink] = {}
        self._durations = durations_module.MODELS.get(
            options.run_time_forecasts or 'off'
        )()
        self._forecasts: run_forecasts.RunForecasts | None = None
        if isinstance(self._durations, run_times.RunTimes):
            self._forecasts = run_forecasts.RunForecasts(
                state,
                self._durations,
                metrics,
                remote_factor=options.remote_factor,
                lease_ms=options.lease_ms or 0,
                stop_ms=options.stop_ms,
                speed=self._worker_speed,
            )
        self._planner = planner_module.Planner(
            state,
            self._durations,
            remote_factor=options.remote_factor,
            stop_ms=options.stop_ms,
        )
        self._speeds = speeds_module.WorkerSpeeds(
            options.speed_spread_min or 0.0
        )
        metrics.gauge('banyan_worker_speed_spread', self._speeds.spread)
        metrics.gauge('banyan_worker_speeds_known', lambda: self._speeds.known)
        self._pacer = pacing.Pacer()
        self._sent_percent: dict[layout.RunId, int] = {}
        self._progress = progress.ProgressWatch()
        self._round_signal = signals.Signal()
        self._round_requested = True
        # Time that the last round took to plan, in seconds.
        self._planning_s = 0.0
        self._retry_at_ms: dict[layout.GroupKey, float] = {}
        self._advisor = advisor.Advisor(
            state, platform_client, self.request_round
        )
        self._upkeep = upkeep.Upkeep(
            state, platform_client, self, upkeep_s=options.upkeep_s
        )
        self._departures = departures.DepartureWatch(
            platform_client,
            self,
            lambda worker_id: self._state.workers.get(worker_id),
        )
        self._misrouted: dict[layout.RunId, _MisroutedRun] = {}
        # Losses of workers whose link is closed, by worker and incarnation.
        self._losses: dict[tuple[str, int], crashes.Loss] = {}
        self._gang_starts: dict[layout.GroupKey, _GangStart] = {}
        # Steady times of failed runs, by worker id.
        self._failure_times_s: dict[str, list[float]] = {}
        # Steady time of the last silence, by machine.
        self._silent_at_s: dict[str, float] = {}
        # Steady time until which a draining worker stays, by worker id.
        self._leaves_at_s: dict[str, float] = {}
        # Steady time until which a worker is cold, by worker id. Learned from
        # reports only, so a new leader knows it after the next report.
        self._cold_until_s: dict[str, float] = {}
        self._progress_percent: dict[layout.TaskId, int] = {}
        self._checkpoints: dict[layout.TaskId, str] = {}
        self._last_waiting: dict[layout.GroupKey, planner_module.Waiting] = {}
        self._refused_preemptions: set[layout.GroupKey] = set()
        self._ended = False

    # Interface of links, of upkeep and of departures: `worker_link.Owner`,
    # `upkeep.Owner`, `departures.Owner`.

    @property
    def name(self) -> str:
        """Name of this member."""
        return self._replica.member.name

    @property
    def token(self) -> int:
        """Fencing token: the term, which no two leaders share."""
        return self._term

    @property
    def worker_count(self) -> int:
        """Number of workers that this session has links to."""
        return len(self._links)

    def leads(self) -> bool:
        """Whether no other leader can have been elected.

        It may be false for a while and true again, when the lease lapses or a
        hand-over of the leadership fails.
        """
        return (
            self.lasts()
            and self._replica.ready
            and self._replica.lease_holds()
        )

    def lasts(self) -> bool:
        """Whether this session may send orders now or later."""
        return (
            not self._ended
            and self._replica.is_leader
            and self._replica.term == self._term
        )

    async def record_ends(self, ends: list[ttypes.RunEnd]) -> bool:
        """Records ends of runs; returns whether they are committed."""
        for end in ends:
            self._attribute_end(end)
        before = {
            (end.worker_id, layout.task_id(end.task)): self._state.task(
                layout.task_id(end.task)
            )
            for end in ends
        }
        started = {
            key: (task.run, task.started_ms) if task else (0, 0)
            for key, task in before.items()
        }
        for end in ends:
            if end.kind == ttypes.EndKind.LOST:
                self._add_crash(end)
        if not await self.propose(ttypes.WorkCommand(ends=ends)):
            return False
        now_ms = clock.now_ms()
        for end in ends:
            key = layout.task_id(end.task)
            self._log_crash(end, key)
            run, started_ms = started[(end.worker_id, key)]
            self._handle_end(end, key, run, now_ms - started_ms)
        return True

    def _attribute_end(self, end: ttypes.RunEnd) -> None:
        """Names the recorded incarnation in the end of a misrouted run.

        A run number is sent to one worker only, so the run that its next
        incarnation has listed is the recorded one.
        """
        task = self._state.task(layout.task_id(end.task))
        if (
            task is not None
            and (task.run, task.worker_id) == (end.run, end.worker_id)
            and end.kind not in _UNLISTED_ENDS
        ):
            end.incarnation = task.incarnation

    async def on_fenced(self, subject: str) -> None:
        """Steps down, since a higher fencing token has been seen.

        Args:
            subject: Worker or machine that has seen it.
        """
        logs.event(
            _LOG,
            'fenced',
            level=logging.WARNING,
            subject=subject,
            token=self._term,
        )
        self._ended = True
        await self._replica.step_down()

    async def on_replaced(self, worker: ttypes.WorkerRecord) -> None:
        """Records a worker as gone, since another one has its address."""
        known = self._state.workers.get(worker.worker_id)
        if known is None or known.incarnation != worker.incarnation:
            return
        logs.event(
            _LOG,
            'worker_replaced',
            level=logging.WARNING,
            worker=worker.worker_id,
            address=worker.address,
        )
        await self._record_gone(known)

    async def on_superseded(
        self, worker: ttypes.WorkerRecord, incarnation: int
    ) -> None:
        """Records a later incarnation of a worker, before its first report.

        It gets no work until it has reported its capacity and labels, but is
        ordered to stop what the earlier one was ordered to start.

        Args:
            worker: The record of the earlier incarnation.
            incarnation: The incarnation that has answered in its place.
        """
        known = self._state.workers.get(worker.worker_id)
        if (
            known is None
            or known.incarnation != worker.incarnation
            or known.incarnation >= incarnation
        ):
            return
        logs.event(
            _LOG,
            'worker_superseded',
            level=logging.WARNING,
            worker=worker.worker_id,
            incarnation=incarnation,
            earlier=worker.incarnation,
        )
        self._metrics.counter('banyan_workers_superseded').add()
        successor = copy.copy(known)
        successor.incarnation = incarnation
        successor.state = ttypes.WorkerState.READY
        successor.cpu_milli = successor.memory_mb = 0
        successor.accelerators = 0
        successor.labels = []
        # Any report of it is newer.
        successor.sequence = None
        await self.propose(ttypes.WorkCommand(workers=[successor]))
        await self.request_round()

    async def on_left(self, worker: ttypes.WorkerRecord) -> None:
        """Records a worker as gone, since it has left and has ended."""
        logs.event(
            _LOG,
            'worker_left',
            worker=worker.worker_id,
            incarnation=worker.incarnation,
        )
        await self._record_gone(worker, has_left=True)

    async def note_departure(self, worker: ttypes.WorkerRecord) -> None:
        """Finds out whether a worker has ended, as a notice says.

        Args:
            worker: The current record of the worker.
        """
        await self._departures.note(worker)

    async def _record_gone(
        self, worker: ttypes.WorkerRecord, *, has_left: bool | None = None
    ) -> None:
        gone = copy.copy(worker)
        gone.state = ttypes.WorkerState.GONE
        gone.has_left = has_left
        await self.propose(ttypes.WorkCommand(workers=[gone]))
        await self.request_round()

    def on_lapsed(self, worker: ttypes.WorkerRecord) -> None:
        """Keeps the loss of a worker whose lease has lapsed."""
        link = self._links.get(worker.worker_id)
        if link is not None and link.record is worker:
            self._keep_loss(self._assess_loss(link))

    def on_silent(self, worker: ttypes.WorkerRecord) -> None:
        """Lowers the preference of a worker that has stopped answering."""
        self._silent_at_s[_machine_id(worker)] = clock.steady_s()

    async def request_round(self) -> None:
        """Requests a planning round."""
        self._round_requested = True
        await self._round_signal.notify()

    def live_runs(
        self, worker_id: str, incarnation: int
    ) -> list[tuple[layout.TaskId, ttypes.TaskRecord]]:
        """Returns the runs that may be alive on a worker."""
        return self._state.live_runs(worker_id, incarnation)

    def job_spec(self, job_id: str) -> str | None:
        """Returns the task specification of a job, or None."""
        record = self._state.jobs.get(job_id)
        return None if record is None else record.job.spec

    def is_current(self, start: ttypes.RunStart) -> bool:
        """Whether a start is still that of the task's current run."""
        record = self._state.jobs.get(start.task.job_id)
        if record is None or record.state in state_module.FINISHED:
            return False
        task = self._state.task(layout.task_id(start.task))
        return (
            task is not None
            and task.run == start.run
            and task.worker_id == start.worker_id
            and not task.done
            and self._fits(start.worker_id)
            and not self._is_evacuated(start)
        )

    def _is_evacuated(self, start: ttypes.RunStart) -> bool:
        """Whether a start may reach an evacuated zone.

        The latest report of a worker says which zone it is in. Without the
        record of the incarnation that the start is for, the zone is unknown.
        """
        in_force = self._state.evacuations.in_force
        if not in_force:
            return False
        worker = self._state.workers.get(start.worker_id)
        zone = None
        if worker is not None and worker.incarnation == start.incarnation:
            zone = worker.zone
            if zone not in in_force:
                return False
        logs.event(
            _LOG,
            'start_withheld',
            job=start.task.job_id,
            run=start.run,
            worker=start.worker_id,
            zone=zone,
        )
        self._metrics.counter('banyan_starts_withheld').add()
        return True

    def _fits(self, worker_id: str) -> bool:
        """Whether the runs of a worker fit into it; its room may shrink."""
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return True
        return capacity.fits(
            worker,
            (
                self._state.jobs[key.job_id].job.steps[key.step]
                for key, _ in self._state.live_runs(
                    worker_id, worker.incarnation
                )
            ),
        )

    def on_progress(
        self, worker_id: str, lease_reply: worker_client.LeaseReply
    ) -> None:
        """Records the progress, checkpoints and usage of a worker's runs."""
        now_s = clock.steady_s()
        self._progress.observe(
            worker_id,
            {
                layout.RunId(running.key, running.run): running.percent
                for running in lease_reply.running
            },
            now_s,
        )
        if self._speeds.enabled:
            self._observe_speed(worker_id, lease_reply, now_s)
        worst = 0.0
        for running in lease_reply.running:
            self._progress_percent[running.key] = running.percent
            if running.checkpoint:
                self._checkpoints[running.key] = running.checkpoint
            record = self._state.jobs.get(running.key.job_id)
            if record is not None and self._forecasts is not None:
                self._forecasts.on_progress(
                    record,
                    layout.RunId(running.key, running.run),
                    running.percent,
                    clock.now_ms(),
                )
            if record is None or running.usage is None:
                continue
            step = record.job.steps[running.key.step]
            if step.target_ms > 0:
                worst = max(worst, running.usage / step.target_ms)
        if self._pacer.observe(worker_id, worst, now_s):
            # The next round sends the pace.
            self._round_requested = True
            logs.event(
                _LOG,
                'pace_changed',
                worker=worker_id,
                percent=self._pacer.percent(worker_id),
                worst_share=worst,
            )

    def _observe_speed(
        self,
        worker_id: str,
        lease_reply: worker_client.LeaseReply,
        now_s: float,
    ) -> None:
        """Learns the speed of a worker from the progress of its runs."""
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return
        runs = []
        for running in lease_reply.running:
            record = self._state.jobs.get(running.key.job_id)
            if record is None:
                continue
            step = record.job.steps[running.key.step]
            # The percent of these tells readiness or a pace that is set here,
            # or depends on the distance from the data.
            if step.long_running or step.fills or step.data_rack:
                continue
            runs.append(
                speeds_module.RunSample(
                    layout.RunId(running.key, running.run),
                    gang=step.gang,
                    percent=running.percent,
                    expected_ms=self._durations.expected_ms(record, step),
                    began_s=functools.partial(
                        self._began_s, worker_id, running
                    ),
                )
            )
        self._speeds.observe(
            _machine_id(worker),
            speeds_module.samples(runs),
            now_s,
            incarnation=worker.incarnation,
        )

    def _began_s(
        self, worker_id: str, running: worker_client.RunningTask
    ) -> float | None:
        """Returns the steady time at which a run began to work.

        It is None if the run began from a checkpoint, or if the start of any
        member of its gang is not confirmed.
        """
        key = running.key
        record = self._state.jobs[key.job_id]
        members = [(worker_id, key)]
        if record.job.steps[key.step].gang:
            tasks = layout.group_tasks(record, key.occurrence, key.step)
            members = [
                (task.worker_id, layout.TaskId(*key.group, index))
                for index, task in enumerate(tasks)
            ]
        began_s = float('-inf')
        for member_worker_id, member in members:
            link = self._links.get(member_worker_id)
            task = self._state.task(member)
            if link is None or task is None or task.checkpoint:
                return None
            started_s = link.started_at_s(member, running.run)
            if started_s is None or started_s == float('-inf'):
                return None
            began_s = max(began_s, started_s)
        return began_s

    def _update_speeds(self) -> None:
        if not self._speeds.enabled:
            return
        if self._speeds.update(clock.steady_s()):
            logs.event(
                _LOG,
                'speeds_used' if self._speeds.in_use else 'speeds_unused',
                spread=round(self._speeds.spread(), 2),
                spread_min=self._options.speed_spread_min,
                known=self._speeds.known,
            )
        if not self._speeds.in_use:
            return
        for host, speed, deviation in self._speeds.changes():
            logs.event(
                _LOG,
                'worker_speed',
                host=host,
                speed=round(speed, 2),
                deviation=round(deviation, 2),
            )

    def _speed_bounds(
        self, worker: ttypes.WorkerRecord
    ) -> tuple[float, float]:
        speed, sure_speed = self._speeds.bounds(_machine_id(worker))
        if self._progress.is_slow(worker.worker_id, clock.steady_s()):
            # It has become slow lately, which the estimate does not show yet.
            speed *= progress.SLOW_RATE_SHARE
            sure_speed *= progress.SLOW_RATE_SHARE
        return speed, sure_speed

    def _worker_speed(self, worker_id: str) -> float:
        """Returns the speed of a worker; 1.0 unless speeds are used."""
        worker = self._state.workers.get(worker_id)
        if not self._speeds.in_use or worker is None:
            return 1.0
        return self._speeds.speed(_machine_id(worker))

    def _speed_factor(self, end: ttypes.RunEnd, step: ttypes.Step) -> float:
        """Returns the factor from a run time to that at speed 1.0."""
        worker = self._state.workers.get(end.worker_id)
        if not self._speeds.in_use or worker is None:
            return 1.0
        host = _machine_id(worker)
        if step.gang:
            group = layout.task_id(end.task).group
            return self._speeds.gang_speed(group, host)
        return self._speeds.speed(host)

    # Main loop.

    async def run(self) -> None:
        """Runs planning rounds until the leadership ends."""
        logs.event(_LOG, 'work_started', term=self._term)
        self._inherit_misrouted_runs()
        try:
            while self.lasts():
                if not self.leads():
                    await curio.sleep(LEASE_CHECK_INTERVAL_S)
                    continue
                self._round_requested = False
                if self._forecasts is not None:
                    self._forecasts.restore()
                await self._follow_workers()
                await self._round()
                await curio.sleep(
                    max(ROUND_PAUSE_S, ROUND_PAUSE_SHARE * self._planning_s)
                )
                if not self._round_requested:
                    await self._round_signal.wait_for(IDLE_ROUND_INTERVAL_S)
        finally:
            self._ended = True
            for link in self._links.values():
                await link.close()
            logs.event(_LOG, 'work_ended', term=self._term)

    def note_report(self, report: ttypes.WorkerReport) -> None:
        """Notes when a worker that drains leaves, and until when it is cold.

        The clock in a report is not used: reports may come from another
        writer, and a clock that is ahead would end leases too soon here.
        """
        if report.worker.state == ttypes.WorkerState.DRAINING:
            self._leaves_at_s[report.worker.worker_id] = (
                clock.steady_s() + report.remaining_ms / 1000
            )
        if report.cold_remaining_ms:
            self._cold_until_s[report.worker.worker_id] = (
                clock.steady_s() + report.cold_remaining_ms / 1000
            )
        else:
            self._cold_until_s.pop(report.worker.worker_id, None)

    async def _follow_workers(self) -> None:
        """Opens and closes links as workers change; records lost runs."""
        open_starts_s: dict[str, dict[layout.RunId, float]] = {}
        for worker_id, link in list(self._links.items()):
            worker = self._state.workers.get(worker_id)
            if (
                worker is not None
                and worker.incarnation == link.record.incarnation
                and worker.address == link.record.address
            ):
                continue
            self._note_loss(link)
            self._note_misrouted_runs(link)
            self._leaves_at_s.pop(worker_id, None)
            self._cold_until_s.pop(worker_id, None)
            await link.close()
            del self._links[worker_id]
            if worker is not None and worker.address == link.record.address:
                open_starts_s[worker_id] = link.open_starts_s
        for worker in list(self._state.workers.values()):
            if worker.worker_id in self._links:
                continue
            link = worker_link.WorkerLink(
                worker,
                self._platform_client.open(worker),
                self,
                lease_ms=self._options.lease_ms,
                open_starts_s=open_starts_s.get(worker.worker_id, {}),
            )
            self._links[worker.worker_id] = link
            await link.open()
        await self._fence_misrouted_runs()
        lost = [
            ttypes.RunEnd(
                task=layout.task_key(key),
                run=task.run,
                worker_id=task.worker_id,
                incarnation=task.incarnation,
                kind=ttypes.EndKind.LOST,
                checkpoint=self._checkpoints.get(key, ''),
            )
            for key, _, task in self._state.all_live_runs()
            if self._incarnation_ended(task)
            and layout.RunId(key, task.run) not in self._misrouted
        ]
        if lost:
            await self.record_ends(lost)

    def _note_loss(self, link: worker_link.WorkerLink) -> None:
        """Keeps the loss of a worker whose link is about to be closed."""
        now_s = clock.steady_s()
        for lost_id, loss in list(self._losses.items()):
            if loss.since_s < now_s - LOSS_RETENTION_S:
                del self._losses[lost_id]
        record = link.record
        current = self._state.workers.get(record.worker_id)
        if current is not None and current.incarnation == record.incarnation:
            # The worker has another address now, and is not lost.
            return
        self._keep_loss(self._assess_loss(link))

    def _keep_loss(self, loss: crashes.Loss) -> None:
        worker = loss.worker
        self._losses[worker.worker_id, worker.incarnation] = loss
        runs = self._state.live_runs(worker.worker_id, worker.incarnation)
        logs.event(
            _LOG,
            'worker_lost',
            worker=worker.worker_id,
            machine=worker.machine or None,
            address=worker.address,
            cause=loss.cause.value,
            since_s=clock.steady_s() - loss.since_s,
            runs=len(runs),
            suspects=','.join(
                _run_name(run)
                for run, role in loss.roles.items()
                if role != ttypes.CrashRole.BESIDE
            )
            or None,
        )
        self._metrics.counter(
            'banyan_workers_lost', cause=loss.cause.value
        ).add()

    def _assess_loss(self, link: worker_link.WorkerLink) -> crashes.Loss:
        """Returns the loss of a worker, from what its link has observed."""
        record = link.record
        contact_loss = link.contact_loss
        replaced = self._is_replaced(record)
        cause = crashes.loss_cause(
            contact_loss,
            replaced=replaced,
            announced=record.state == ttypes.WorkerState.DRAINING
            or record.worker_id in self._leaves_at_s,
        )
        since_s = (
            clock.steady_s() if contact_loss is None else contact_loss.since_s
        )
        if cause not in (crashes.LossCause.CRASH, crashes.LossCause.RESTART):
            return crashes.Loss(record, cause, since_s)
        observed = cause is crashes.LossCause.CRASH and link.was_reached
        roles = crashes.crash_roles(
            self._ages_s(link, since_s),
            observed=observed,
            replaced=replaced,
            common_cause=observed and self._has_common_cause(record, since_s),
        )
        return crashes.Loss(record, cause, since_s, roles)

    def _ages_s(
        self, link: worker_link.WorkerLink, at_s: float
    ) -> dict[layout.RunId, float | None]:
        """Returns the time since the start of each run of a worker.

        It is None if the start was not confirmed. Runs whose start was not
        sent are left out.

        Args:
            link: Link to the worker.
            at_s: Steady time at which the ages are taken.
        """
        record = link.record
        now_s, now_ms = clock.steady_s(), clock.now_ms()
        ages_s: dict[layout.RunId, float | None] = {}
        for key, task in self._state.live_runs(
            record.worker_id, record.incarnation
        ):
            if link.was_reached:
                if not link.may_have_begun(key, task.run):
                    continue
                started_s = self._started_at_s(link, key, task.run)
            else:
                started_s = now_s - (now_ms - task.started_ms) / 1000
            ages_s[layout.RunId(key, task.run)] = (
                None if started_s is None else max(at_s - started_s, 0.0)
            )
        return ages_s

    def _started_at_s(
        self, link: worker_link.WorkerLink, key: layout.TaskId, run: int
    ) -> float | None:
        """Returns the steady time at which a run, or its gang, started.

        It is None if the start is not confirmed: the order may have been
        carried out at any time.
        """
        started_s = link.started_at_s(key, run)
        record = self._state.jobs.get(key.job_id)
        if started_s is None or record is None:
            return None
        if not record.job.steps[key.step].gang:
            return started_s
        # A gang begins to work when its last member has started.
        members = layout.group_tasks(record, key.occurrence, key.step)
        for index, member in enumerate(members):
            other = self._links.get(member.worker_id)
            if other is None or not other.was_reached:
                continue
            member_s = other.started_at_s(
                layout.TaskId(*key.group, index), run
            )
            if member_s is not None:
                started_s = max(started_s, member_s)
        return started_s

    def _has_common_cause(
        self, crashed: ttypes.WorkerRecord, since_s: float
    ) -> bool:
        """Whether a worker without suspects crashed at the same time."""

        def is_same_moment(other_s: float) -> bool:
            return abs(other_s - since_s) <= crashes.COMMON_CAUSE_S

        for loss in self._losses.values():
            if (
                loss.cause is crashes.LossCause.CRASH
                and is_same_moment(loss.since_s)
                and not loss.has_suspects
            ):
                return True
        for link in self._links.values():
            contact_loss = link.contact_loss
            if (
                link.record.worker_id == crashed.worker_id
                or contact_loss is None
                or not link.was_reached
                or not contact_loss.process_ended
                or not is_same_moment(contact_loss.since_s)
            ):
                continue
            ages_s = self._ages_s(link, contact_loss.since_s)
            if not any(map(crashes.is_recent, ages_s.values())):
                return True
        return False

    def _add_crash(self, end: ttypes.RunEnd) -> None:
        """Adds the role of a lost run in the crash of its worker."""
        key = layout.task_id(end.task)
        loss = self._losses.get((end.worker_id, end.incarnation))
        task = self._state.task(key)
        role = loss and loss.roles.get(layout.RunId(key, end.run))
        if not role or task is None:
            return
        end.crash_role = role
        end.crashed_machine = loss.host
        end.give_up = crashes.must_give_up(task, role, loss.host)

    def _log_crash(self, end: ttypes.RunEnd, key: layout.TaskId) -> None:
        """Logs that a run is a suspect in a crash, and if its job ends."""
        if end.crash_role in (None, ttypes.CrashRole.BESIDE):
            return
        role = ttypes.CrashRole._VALUES_TO_NAMES[end.crash_role].lower()
        task = self._state.task(key)
        logs.event(
            _LOG,
            'crash_suspected',
            level=logging.WARNING,
            task='.'.join(map(str, key)),
            run=end.run,
            worker=end.worker_id,
            machine=end.crashed_machine,
            role=role,
            crashes=crashes.crash_count(task) if task else None,
            give_up=end.give_up,
        )
        self._metrics.counter('banyan_crash_suspects', role=role).add()
        if end.give_up:
            self._metrics.counter('banyan_jobs_given_up').add()

    def _is_replaced(self, lost: ttypes.WorkerRecord) -> bool:
        """Whether another process runs at a worker's address or machine."""
        return any(
            (worker.worker_id, worker.incarnation)
            != (lost.worker_id, lost.incarnation)
            and (
                worker.worker_id == lost.worker_id
                or worker.address == lost.address
                or worker.machine == lost.machine != ''
            )
            for worker in self._state.workers.values()
        )

    def _incarnation_ended(self, task: ttypes.TaskRecord) -> bool:
        """Whether the incarnation that a run was sent to has ended."""
        worker = self._state.workers.get(task.worker_id)
        return worker is None or worker.incarnation != task.incarnation

    def _inherit_misrouted_runs(self) -> None:
        """Notes runs that an earlier leader may have misrouted.

        It may have started them on the recorded incarnation of their worker
        before it knew of that incarnation.
        """
        for key, _, task in self._state.all_live_runs():
            worker = self._state.workers.get(task.worker_id)
            if worker is None or worker.incarnation == task.incarnation:
                continue
            self._misrouted[layout.RunId(key, task.run)] = _MisroutedRun(
                worker.worker_id, worker.incarnation
            )

    def _note_misrouted_runs(self, link: worker_link.WorkerLink) -> None:
        """Records runs that a later incarnation may carry out."""
        worker_id = link.record.worker_id
        worker = self._state.workers.get(worker_id)
        if worker is None or worker.address != link.record.address:
            return
        for key, task in self._state.live_runs(
            worker_id, link.record.incarnation
        ):
            if link.may_start_on_next(key, task.run):
                run_id = layout.RunId(key, task.run)
                self._misrouted[run_id] = _MisroutedRun(
                    worker_id, worker.incarnation
                )

    async def _fence_misrouted_runs(self) -> None:
        """Stops misrouted runs; until then their tasks do not run again."""
        for run_id, misrouted in list(self._misrouted.items()):
            link = self._links.get(misrouted.worker_id)
            if link is None:
                # The later incarnation has ended as well.
                del self._misrouted[run_id]
                continue
            if link.record.incarnation != misrouted.incarnation:
                # Starts without an answer may be carried out by yet another.
                misrouted.incarnation = link.record.incarnation
                misrouted.stop_sent = False
            if not misrouted.stop_sent:
                misrouted.stop_sent = True
                await link.stop(*run_id)
            elif run_id not in link.stopping or link.give_up(run_id):
                del self._misrouted[run_id]

    # Rounds.

    def _is_usable(self, worker: ttypes.WorkerRecord) -> bool:
        link = self._links.get(worker.worker_id)
        return (
            link is not None
            and link.usable
            and not self._departures.is_watched(worker)
        )

    def _answered_recently(self, worker: ttypes.WorkerRecord) -> bool:
        link = self._links.get(worker.worker_id)
        return link is not None and link.answered_recently

    def _penalty(self, worker: ttypes.WorkerRecord) -> float:
        now_s = clock.steady_s()
        failed = self._failure_times_s.get(worker.worker_id, ())
        penalty = float(
            sum(at_s > now_s - PENALTY_WINDOW_S for at_s in failed)
        )
        silent_s = self._silent_at_s.get(_machine_id(worker))
        if silent_s is not None and silent_s > now_s - PENALTY_WINDOW_S:
            penalty += SILENT_PENALTY
        if self._progress.is_slow(worker.worker_id, now_s):
            penalty += SLOW_PENALTY
        if self._is_cold(worker, now_s):
            penalty += COLD_PENALTY
        return penalty

    def _is_cold(self, worker: ttypes.WorkerRecord, now_s: float) -> bool:
        """Whether a worker of a zone that was evacuated is not warm yet."""
        return (
            self._cold_until_s.get(worker.worker_id, 0.0) > now_s
            and worker.zone in self._state.evacuations.ended
        )

    def _remaining_ms(self, run: capacity.RunAllocation) -> float | None:
        remaining_ms = self._progress.remaining_ms(
            run.task.worker_id,
            layout.RunId(run.key, run.task.run),
            clock.steady_s(),
        )
        if remaining_ms is None and self._forecasts is not None:
            return self._forecasts.remaining_ms(run, clock.now_ms())
        return remaining_ms

    def _stopping(self) -> set[layout.RunId]:
        found: set[layout.RunId] = set()
        for link in self._links.values():
            found |= link.stopping
        return found

    def _make_fleet(
        self, state: state_module.WorkState, stopping: set[layout.RunId]
    ) -> capacity.Fleet:
        return capacity.Fleet(
            state,
            stopping=stopping,
            usable=self._is_usable,
            penalty=self._penalty,
            answered_recently=self._answered_recently,
            remaining_ms=self._remaining_ms,
            speed=self._speed_bounds if self._speeds.in_use else None,
        )

    def dry_run(
        self, job: ttypes.TaskJob, queue: ttypes.Queue, customer: str
    ) -> dict[str, object]:
        """Returns where a job would be placed now; changes nothing.

        Args:
            job: The job, with an id that no job has.
            queue: Its queue.
            customer: Its customer.
        """
        now_ms = clock.now_ms()
        stopping = self._stopping()
        return dry_run.explain(
            self._state,
            state_module.new_record(job, queue, customer, now_ms),
            self._planner,
            self._durations,
            lambda state: self._make_fleet(state, stopping),
            now_ms=now_ms,
            blocked=self._retry_at_ms,
            stopping=stopping,
            approvals=self._advisor.approvals,
        )

    async def _round(self) -> None:
        started_s = time.monotonic()
        await self._stop_unwanted()
        await self._send_missing_starts()
        await self._send_paces()
        stopping = self._stopping()
        self._update_speeds()
        fleet = self._make_fleet(self._state, stopping)
        await self._evacuate(fleet)
        for run in await self._upkeep.round(fleet, self._unready_members):
            await self._stop(
                run.key, run.task.run, run.task.worker_id, 'upkeep'
            )
        plan = self._planner.plan(
            fleet,
            now_ms=clock.now_ms(),
            blocked=self._retry_at_ms,
            stopping=stopping,
            approvals=self._advisor.approvals,
        )
        self._log_waiting(plan.waiting)
        await self._move_out_of_zones(fleet, stopping)
        self._log_decisions(plan.decisions)
        for group, workers in plan.advice_wanted.items():
            await self._advisor.ask(group, workers)
        for worker_id in plan.checks:
            await self._links[worker_id].check()
        for stop in plan.stops:
            await self._stop(stop.key, stop.run, stop.worker_id, stop.reason)
        self._planning_s = time.monotonic() - started_s
        self._metrics.histogram('banyan_work_round_us').record(
            self._planning_s
        )
        if plan.starts:
            await self._start(plan.starts)

    async def _move_out_of_zones(
        self,
        fleet: capacity.Fleet,
        stopping: collections.abc.Container[layout.RunId],
    ) -> None:
        """Stops runs in zones whose evacuation has lasted for the grace.

        Args:
            fleet: Workers, with the capacity that the round has left free.
            stopping: Runs that are being stopped.
        """
        in_force = self._state.evacuations.in_force
        grace_ms = self._options.evacuation_grace_ms
        if not in_force or not grace_ms:
            return
        now_ms = clock.now_ms()
        zones = {
            zone
            for zone, evacuation in in_force.items()
            if now_ms - evacuation.accepted_ms >= grace_ms
        }
        for run in moves.select_moves(
            fleet,
            zones,
            stopping=stopping,
            count_absent=self._unready_members,
        ):
            await self._stop(
                run.key, run.task.run, run.task.worker_id, 'zone evacuated'
            )
            self._metrics.counter('banyan_runs_moved').add()

    async def _evacuate(self, fleet: capacity.Fleet) -> None:
        """Stops runs that cannot end before their worker leaves."""
        now_s = clock.steady_s()
        now_ms = clock.now_ms()
        for worker_id, at_s in list(self._leaves_at_s.items()):
            worker = fleet.get(worker_id)
            for run in worker.runs if worker is not None else ():
                expected_ms = self._durations.expected_ms(run.record, run.step)
                expected_ms /= run.speed
                if not evacuation.must_evacuate(
                    remaining_ms=availability.remaining_ms(
                        run, expected_ms, now_ms
                    ),
                    worker_remaining_ms=(at_s - now_s) * 1000,
                    checkpointable=run.step.checkpointable,
                ):
                    continue
                for member in preemption.with_gang(run):
                    await self._stop(
                        member.key,
                        member.task.run,
                        member.task.worker_id,
                        f'{worker_id} leaves',
                    )

    def _log_waiting(
        self, waiting: dict[layout.GroupKey, planner_module.Waiting]
    ) -> None:
        for group, current in waiting.items():
            previous = self._last_waiting.get(group)
            if previous is not None and previous.cause is current.cause:
                continue
            logs.event(
                _LOG,
                'tasks_wait',
                job=group.job_id,
                occurrence=group.occurrence,
                step=group.step,
                cause=current.cause.value,
                members=current.members,
                accelerators=current.step.accelerators,
                workers=current.workers,
                guaranteed=current.guaranteed,
                label=current.step.required_label or None,
                data_rack=current.step.data_rack or None,
                same_rack=current.step.same_rack or None,
            )
        self._last_waiting = waiting

    def _log_decisions(
        self, decisions: dict[layout.GroupKey, preemption.Decision]
    ) -> None:
        """Logs decisions to stop runs, and refusals when they begin."""
        for group, decision in decisions.items():
            outcome = 'stop' if decision.adopted else 'wait'
            if not decision.adopted and group in self._refused_preemptions:
                continue
            logs.event(
                _LOG,
                'preemption_decided',
                job=group.job_id,
                occurrence=group.occurrence,
                step=group.step,
                outcome=outcome,
                gain=round(decision.gain, 3),
                loss=round(decision.loss, 3),
                stops=decision.stops,
                waited_ms=round(decision.waited_ms),
                guaranteed=decision.guaranteed,
            )
            self._metrics.counter('banyan_preemptions', outcome=outcome).add()
            if decision.adopted:
                self._metrics.counter('banyan_preempted_runs').add(
                    decision.stops
                )
                self._metrics.counter('banyan_preemption_loss_milli').add(
                    round(1000 * decision.loss)
                )
        self._refused_preemptions = {
            group
            for group, decision in decisions.items()
            if not decision.adopted
        }

    async def _start(self, starts: list[ttypes.RunStart]) -> None:
        now_s = clock.steady_s()
        summary = None
        if self._forecasts is not None:
            # Sent along with starts, so that it needs no commit of its own.
            summary = self._forecasts.changed_summary(now_s)
        command = ttypes.WorkCommand(starts=starts, run_times=summary)
        if not await self.propose(command):
            return
        if self._forecasts is not None:
            self._forecasts.note_replicated(summary)
        now_s = clock.steady_s()
        for start in starts:
            key = layout.task_id(start.task)
            record = self._state.jobs.get(key.job_id)
            if record is not None and record.job.steps[key.step].gang:
                self._gang_starts[key.group] = _GangStart(start.run, now_s)
            forecast = {}
            if record is not None and self._forecasts is not None:
                forecast = self._forecasts.placed(record, key)
            logs.event(
                _LOG,
                'run_placed',
                task='.'.join(map(str, key)),
                run=start.run,
                worker=start.worker_id,
                speed=self._logged_speed(start.worker_id),
                **forecast,
            )
            link = self._links.get(start.worker_id)
            if link is not None:
                await link.start(start)
        self._metrics.counter('banyan_runs_placed').add(len(starts))

    def _logged_speed(self, worker_id: str) -> float | None:
        worker = self._state.workers.get(worker_id)
        if not self._speeds.in_use or worker is None:
            return None
        return round(self._speeds.speed(_machine_id(worker)), 2)

    async def _send_paces(self) -> None:
        """Sends the pace of filling tasks to workers where it changed."""
        alive: set[layout.RunId] = set()
        for key, record, task in self._state.all_live_runs():
            link = self._links.get(task.worker_id)
            if not record.job.steps[key.step].fills or link is None:
                continue
            run_id = layout.RunId(key, task.run)
            alive.add(run_id)
            percent = self._pacer.percent(task.worker_id)
            if not link.is_confirmed(key, task.run):
                continue
            if self._sent_percent.get(run_id, FULL_PACE_PERCENT) != percent:
                self._sent_percent[run_id] = percent
                await link.pace(key, task.run, percent)
        for run_id in self._sent_percent.keys() - alive:
            del self._sent_percent[run_id]

    async def _send_missing_starts(self) -> None:
        """Sends starts that were committed after their proposal timed out."""
        for key, record, task in self._state.all_live_runs():
            link = self._links.get(task.worker_id)
            if (
                record.state in state_module.FINISHED
                or link is None
                or link.is_tracked(key, task.run)
            ):
                continue
            await link.start(
                ttypes.RunStart(
                    task=layout.task_key(key),
                    run=task.run,
                    worker_id=task.worker_id,
                    incarnation=task.incarnation,
                    checkpoint=task.checkpoint,
                    ticket=task.ticket,
                )
            )

    async def _stop(
        self, key: layout.TaskId, run: int, worker_id: str, reason: str
    ) -> None:
        link = self._links.get(worker_id)
        if link is None or layout.RunId(key, run) in link.stopping:
            return
        task = self._state.task(key)
        if task is None or (task.run, task.worker_id) != (run, worker_id):
            # The run has ended since the round was planned.
            return
        logs.event(
            _LOG,
            'run_stopping',
            task='.'.join(map(str, key)),
            run=run,
            worker=worker_id,
            reason=reason,
        )
        self._metrics.counter('banyan_runs_stopped').add()
        await link.stop(key, run)

    async def _stop_unwanted(self) -> None:
        """Stops runs of finished jobs and of incomplete gangs."""
        now_s = clock.steady_s()
        limit_s = GANG_START_SHARE * self._options.gang_ms / 1000
        for key, record, task in self._state.all_live_runs():
            if record.state == ttypes.JobState.COMPLETED:
                # Runs of it that are still listed as alive end by themselves.
                continue
            if record.state in state_module.FINISHED:
                await self._stop(key, task.run, task.worker_id, 'job finished')
            elif self._is_incomplete(record, key, task, now_s, limit_s):
                await self._stop(
                    key, task.run, task.worker_id, 'gang not whole'
                )
        for group in list(self._gang_starts):
            record = self._state.active.get(group.job_id)
            if record is None:
                del self._gang_starts[group]

    def _is_incomplete(
        self,
        record: ttypes.JobRecord,
        key: layout.TaskId,
        task: ttypes.TaskRecord,
        now_s: float,
        limit_s: float,
    ) -> bool:
        if not record.job.steps[key.step].gang or task.done:
            return False
        members = layout.group_tasks(record, key.occurrence, key.step)
        if any(
            member.run != task.run or not member.worker_id
            for member in members
        ):
            return True
        gang_start = self._gang_starts.get(key.group)
        if (
            gang_start is None
            or gang_start.run != task.run
            or now_s - gang_start.started_s < limit_s
        ):
            return False
        for index, member in enumerate(members):
            link = self._links.get(member.worker_id)
            member_key = layout.TaskId(*key.group, index)
            if link is None or not link.is_confirmed(
                member_key, gang_start.run
            ):
                return True
        del self._gang_starts[key.group]
        return False

    def _handle_end(
        self,
        end: ttypes.RunEnd,
        key: layout.TaskId,
        run: int,
        ran_ms: float,
    ) -> None:
        kind = ttypes.EndKind._VALUES_TO_NAMES[end.kind].lower()
        record = self._state.jobs.get(key.job_id)
        forecast = {}
        if (
            self._forecasts is not None
            and record is not None
            and run == end.run
        ):
            forecast = self._forecasts.ended(
                record, key, end, ran_ms, clock.now_ms()
            )
        logs.event(
            _LOG,
            'run_ended',
            task='.'.join(map(str, key)),
            run=end.run,
            worker=end.worker_id,
            kind=kind,
            ran_ms=ran_ms if run == end.run else None,
            **forecast,
        )
        self._metrics.counter('banyan_runs_ended', kind=kind).add()
        self._progress_percent.pop(key, None)
        self._checkpoints.pop(key, None)
        if record is None or run != end.run:
            return
        step = record.job.steps[key.step]
        if end.kind == ttypes.EndKind.DONE:
            self._forget_failures(
                end.worker_id, clock.steady_s() - ran_ms / 1000
            )
            if not end.checkpoint and self._forecasts is None:
                ran_ms *= self._speed_factor(end, step)
                self._durations.observe(record, step, ran_ms)
        elif end.kind == ttypes.EndKind.FAILED:
            self._failure_times_s.setdefault(end.worker_id, []).append(
                clock.steady_s()
            )
        elif end.kind in (ttypes.EndKind.NEVER, ttypes.EndKind.ALONE):
            self._retry_at_ms[key.group] = clock.now_ms() + RETRY_DELAY_MS

    def _forget_failures(self, worker_id: str, since_s: float) -> None:
        """Drops a worker's failures before the start of a successful run.

        Args:
            worker_id: The worker.
            since_s: Steady time at which the successful run started.
        """
        later = [
            at_s
            for at_s in self._failure_times_s.pop(worker_id, ())
            if at_s > since_s
        ]
        if later:
            self._failure_times_s[worker_id] = later

    def _unready_members(self, group: layout.GroupKey) -> int:
        """Returns how many tasks of a group are unplaced or not ready.

        A long-running task is ready once its progress is 100 percent.
        """
        record = self._state.active.get(group.job_id)
        if record is None:
            return 0
        tasks = layout.group_tasks(record, group.occurrence, group.step)
        return sum(
            not task.worker_id
            or self._progress_percent.get(layout.TaskId(*group, index), 0)
            < 100
            for index, task in enumerate(tasks)
        )

    async def propose(self, command: ttypes.WorkCommand) -> bool:
        """Proposes a command; returns whether it is committed."""
        try:
            await self._propose_command(command)
        except replication_errors.ReplicationError as error:
            logs.event(
                _LOG,
                'work_unconfirmed',
                level=logging.WARNING,
                error=error,
            )
            return False
        return True
