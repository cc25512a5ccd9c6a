"""Forecasts of the runs that the leader has placed.

Decides nothing. Its state belongs to a session, and a run that an earlier
leader has started is added when it is first asked about.
"""

from __future__ import annotations

import dataclasses
import typing

from banyantrack.generated.workload import ttypes
from banyantrack.workload import capacity
from banyantrack.workload import layout

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.core import metrics as metrics_module
    from banyantrack.workload import run_times
    from banyantrack.workload import state as state_module

# Ends of runs that lasted for at least a known time.
_STOPPED = frozenset((ttypes.EndKind.STOPPED, ttypes.EndKind.BROKEN))
# Ends that are recorded only once the lease of the worker has run out.
_LAPSED = frozenset((ttypes.EndKind.LAPSED, ttypes.EndKind.LOST))
P90 = 0.9
# Progress is reported in whole percents, and is used from this value on.
MIN_PROGRESS_PERCENT = 10
# Shortest time between two replicated summaries.
SUMMARY_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _PlacedRun:
    """A run, with what its time depends on.

    Attributes:
        run: Number of the run.
        workers: Ids of its worker, or of those of its whole gang.
        remote_factor: Factor on the run time away from the preferred workers.
        resumed: Whether it continues from a checkpoint.
        expected_ms: Forecast of the run time there: the median.
        p90_ms: Time that 90 % of such runs stay within.
    """

    run: int
    workers: tuple[str, ...]
    remote_factor: float
    resumed: bool
    expected_ms: float
    p90_ms: float


class RunForecasts:
    """Forecasts of placed runs, and what their ends teach.

    Args:
        state: The replicated state.
        model: Forecasts by job and step.
        metrics: Metrics of the process.
        remote_factor: Run time away from the preferred workers over the run
            time on them.
        lease_ms: Longest lease of a worker, in milliseconds.
        stop_ms: Longest time that a worker takes to stop a run, in
            milliseconds.
        speed: Returns the speed of a worker by its id; 1.0 is usual.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        model: run_times.RunTimes,
        metrics: metrics_module.Metrics,
        *,
        remote_factor: float,
        lease_ms: float,
        stop_ms: float,
        speed: collections.abc.Callable[[str], float] = lambda _: 1.0,
    ) -> None:
        self._state = state
        self._model = model
        self._metrics = metrics
        self._remote_factor = remote_factor
        self._lease_ms = lease_ms
        self._stop_ms = stop_ms
        self._speed = speed
        self._placed: dict[layout.TaskId, _PlacedRun] = {}
        self._restored = False
        self._summary_at_s = float('-inf')

    def restore(self) -> None:
        """Starts from the replicated summary; done once."""
        if not self._restored:
            self._restored = True
            self._model.restore(self._state.run_times)

    def changed_summary(self, now_s: float) -> ttypes.RunTimeSummary | None:
        """Returns what to replicate now; None if that can wait.

        Args:
            now_s: Steady time, in seconds.
        """
        if now_s < self._summary_at_s + SUMMARY_INTERVAL_S:
            return None
        summary = self._model.snapshot(only_changed=True)
        if not summary.entries:
            return None
        self._summary_at_s = now_s
        return summary

    def note_replicated(self, summary: ttypes.RunTimeSummary | None) -> None:
        """Notes that a summary was committed."""
        if summary is not None:
            self._model.mark_published(summary)

    def placed(
        self, record: ttypes.JobRecord, key: layout.TaskId
    ) -> dict[str, object]:
        """Notes a run whose start is recorded; returns its pairs for logs."""
        run = self._note(record, key)
        if run is None:
            return {}
        return {'expected_ms': run.expected_ms, 'p90_ms': run.p90_ms}

    def on_progress(
        self,
        record: ttypes.JobRecord,
        run_id: layout.RunId,
        percent: int,
        now_ms: float,
    ) -> None:
        """Learns from the progress of a run for the tasks of its job.

        Args:
            record: The record of the job.
            run_id: The run.
            percent: Its progress since its start.
            now_ms: Time of day, in milliseconds since 1970.
        """
        key = run_id.task
        task = layout.find_task(record, key)
        if task is None or task.run != run_id.run or task.checkpoint:
            return
        step = record.job.steps[key.step]
        if (
            not MIN_PROGRESS_PERCENT <= percent < 100
            or step.count < 2
            or step.gang
            or step.long_running
            or step.fills
            or layout.occurrences(record.job) > 1
        ):
            return
        placed = self._placed.get(key)
        if placed is None or placed.run != task.run:
            placed = self._note(record, key)
            if placed is None:
                return
        ran_ms = max(now_ms - task.started_ms, 1.0)
        total_ms = ran_ms * 100 / percent / self._slowness(placed)
        self._model.observe_progress(record, step, key.index, total_ms, now_ms)

    def remaining_ms(
        self, run: capacity.RunAllocation, now_ms: float
    ) -> float | None:
        """Returns the expected remaining time of a run in milliseconds.

        None for a long-running task, for one that is slowed down in favor of
        others and for a resumed run, which has only a part of its work left.
        """
        if run.step.long_running or run.step.fills or run.task.checkpoint:
            return None
        placed = self._placed.get(run.key)
        if placed is None or placed.run != run.task.run:
            placed = self._note(run.record, run.key)
            if placed is None:
                return None
        slowness = self._slowness(placed)
        forecast = self._model.forecast(run.record, run.step)
        ran_ms = max(now_ms - run.task.started_ms, 0.0)
        return slowness * self._model.remaining_ms(forecast, ran_ms / slowness)

    def ended(
        self,
        record: ttypes.JobRecord,
        key: layout.TaskId,
        end: ttypes.RunEnd,
        ran_ms: float,
        now_ms: float,
    ) -> dict[str, object]:
        """Learns from a run that has ended; returns its pairs for logs.

        Args:
            record: The record of the job.
            key: The task.
            end: The end of its current run.
            ran_ms: Time from its recorded start to its end, in milliseconds.
            now_ms: Time of day, in milliseconds since 1970.
        """
        placed = self._placed.pop(key, None)
        step = record.job.steps[key.step]
        if (
            placed is None
            or placed.run != end.run
            or step.long_running
            or step.fills
        ):
            return {}
        speed = 1 / self._slowness(placed)
        self._model.observe_progress(record, step, key.index, None, now_ms)
        if end.kind == ttypes.EndKind.DONE:
            self._model.observe(
                record, step, ran_ms, speed, placed.resumed, now_ms
            )
            if not placed.resumed:
                self._metrics.histogram(
                    'banyan_run_time_ratio_permille', queue=record.queue.name
                ).record(ran_ms / placed.expected_ms / 1000)
        elif end.kind in _STOPPED or end.kind in _LAPSED:
            margin_ms = (
                self._lease_ms if end.kind in _LAPSED else self._stop_ms
            )
            self._model.observe(
                record,
                step,
                ran_ms - margin_ms,
                speed,
                censored=True,
                now_ms=now_ms,
            )
        return {'expected_ms': placed.expected_ms, 'p90_ms': placed.p90_ms}

    def _note(
        self, record: ttypes.JobRecord, key: layout.TaskId
    ) -> _PlacedRun | None:
        task = layout.find_task(record, key)
        if task is None or not task.worker_id:
            return None
        step = record.job.steps[key.step]
        members = [task]
        if step.gang:
            members = layout.group_tasks(record, key.occurrence, key.step)
        workers = tuple({member.worker_id: None for member in members})
        factor = 1.0
        if self._is_remote(step, workers):
            factor = self._remote_factor
        placed = _PlacedRun(
            task.run, workers, factor, bool(task.checkpoint), 0.0, 0.0
        )
        slowness = self._slowness(placed)
        forecast = self._model.forecast(record, step)
        placed = dataclasses.replace(
            placed,
            expected_ms=slowness * forecast.median_ms,
            p90_ms=slowness * forecast.quantile_ms(P90),
        )
        self._placed[key] = placed
        return placed

    def _is_remote(
        self, step: ttypes.Step, workers: collections.abc.Iterable[str]
    ) -> bool:
        """Whether a run is away from its data, or its gang spans racks."""
        if not step.data_rack and not (step.gang and step.same_rack):
            return False
        racks = {
            capacity.rack_of(self._state.workers[worker_id])
            for worker_id in workers
            if worker_id in self._state.workers
        }
        if step.data_rack and racks - {step.data_rack}:
            return True
        return step.gang and step.same_rack and len(racks) > 1

    def _slowness(self, placed: _PlacedRun) -> float:
        """Returns the run time there over that on usual preferred workers."""
        slowest = min(map(self._speed, placed.workers))
        return placed.remote_factor / max(slowest, 1e-3)
