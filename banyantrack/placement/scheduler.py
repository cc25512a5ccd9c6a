"""Scheduling rounds: which waiting jobs start, where, and what they reclaim.

Each round sorts the waiting jobs, starts those that fit and reclaims borrowed
work for those that a guarantee covers or that are urgent. Smaller jobs may be
backfilled around a large one as long as they do not delay its start.
"""

from __future__ import annotations

import array
import collections
import dataclasses
import time
import typing

from banyantrack.core import findings
from banyantrack.generated.intent import ttypes as intent
from banyantrack.placement import allotments
from banyantrack.placement import attribution
from banyantrack.placement import consolidation
from banyantrack.placement import feasibility
from banyantrack.placement import forecasts
from banyantrack.placement import packing
from banyantrack.placement import queues
from banyantrack.placement import reasons
from banyantrack.placement import reclaim
from banyantrack.placement import victims as victims_module
from banyantrack.placement import witness as witness_module

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.intent import state as state_module

Event = intent.JobEvent
Phase = intent.JobPhase
Reason = intent.StopReason

# Jobs considered in one round after the HEAD_JOBS; the rest waits for a later
# round.
JOBS_PER_ROUND = 256
# Interval between checks of the deadlines of all jobs.
DEADLINE_CHECK_INTERVAL_MS = 1000
# Jobs started in one round. Bounds the size of the command to replicate.
STARTS_PER_ROUND = 64
# Base delay before a failed job is retried. It doubles with each failed
# attempt, up to MAX_BACKOFF_MS. A failed hold that is not counted as an
# attempt is retried after the base delay.
BACKOFF_MS = 1000
MAX_BACKOFF_MS = 60_000
# Delay before reclaimed work may borrow again. Without it, the work could
# return to the capacity that was just reclaimed.
RECLAIM_BACKOFF_MS = 2000
# A reclaim reservation expires if its workers are not free by then.
RESERVATION_TIMEOUT_S = 30.0
# A round ends after this time; the next one resumes at the same position.
ROUND_TIME_LIMIT_S = 0.03
# Interval between attempts to consolidate small gangs.
CONSOLIDATION_INTERVAL_S = 20.0
# Interval between sorts of a queue of more than SHORT_QUEUE_JOBS; a shorter
# one is sorted in every round.
SORT_INTERVAL_S = 0.5
SHORT_QUEUE_JOBS = 200
# Jobs at the head of the queue that every round considers.
HEAD_JOBS = 8
# Age at which the forecast behind a head reservation is computed again.
HEAD_RESERVATION_REFRESH_S = 2.0
# Gangs of at least this size get a head reservation, so that backfilled work
# does not starve them.
LARGE_GANG_ACCELERATORS = 8


@dataclasses.dataclass(slots=True)
class Decisions:
    """Decisions of one round.

    Attributes:
        placements: Gangs that start, with their workers.
        events: Gangs that have to stop, and waiting jobs whose deadline
            has passed.
    """

    placements: list[intent.PlaceCommand]
    events: list[intent.JobEventCommand]

    def __bool__(self) -> bool:
        return bool(self.placements or self.events)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policies:
    """Policies of the scheduler.

    Attributes:
        score: Name in `packing.SCORES`; chooses the workers of a gang.
        victims: Name in `victims.COSTS`; the cost of reclaiming a gang.
        queue: Name in `queues.ORDERS`; the order of waiting jobs.
        backfill: Whether jobs may start before an earlier job that does
            not fit.
        consolidate: Whether small gangs are moved to empty a worker.
    """

    score: str = 'adjacent'
    victims: str = 'least-loss'
    queue: str = 'aged-shortest'
    backfill: bool = True
    consolidate: bool = True


@dataclasses.dataclass(slots=True)
class _ReclaimReservation:
    """Workers reserved for a job while the work on them is reclaimed.

    Attributes:
        workers: Worker number of each member.
        gang: Request of the job's gang.
        guarantee: Guarantee that the job is charged to; empty if none.
        victims: Names of the jobs that are stopped.
        created_at: Monotonic time in seconds.
    """

    workers: list[int]
    gang: packing.GangRequest
    guarantee: str
    victims: tuple[str, ...]
    created_at: float


@dataclasses.dataclass(slots=True)
class _HeadReservation:
    """Expected start of a large job that backfilled work may not delay.

    Attributes:
        name: Name of the job.
        start: Workers and delay of the expected start.
        created_at: Monotonic time in seconds.
    """

    name: str
    start: forecasts.Start
    created_at: float


class Scheduler:
    """Makes the placement decisions of the leader.

    Args:
        state: The replicated state.
        progress: Reported progress of running jobs.
        policies: Policies of the scheduler.
        default_selector: Label selector that every worker has to match.
    """

    def __init__(
        self,
        state: state_module.IntentState,
        progress: forecasts.Progress,
        *,
        policies: Policies = Policies(),
        default_selector: str = '!down',
    ) -> None:
        self._state = state
        self._progress = progress
        self._policies = policies
        self._ledger = allotments.Ledger(state, default_selector)
        self._forecasts = forecasts.Forecasts(self._ledger, progress)
        self._attribution = attribution.Attribution()
        self._choose_workers = packing.SCORES.get(policies.score)
        self._queue_key = queues.ORDERS.get(policies.queue)
        self._victim_cost = victims_module.COSTS.get(policies.victims)
        self._reservations: dict[str, _ReclaimReservation] = {}
        self._reasons: dict[str, str] = {}
        self._head_reservation: _HeadReservation | None = None
        self._deadlines_checked_ms = 0
        self._checked_label_generation = -1
        self._infeasible_generation = -1
        self._unplaceable: set[tuple[object, ...]] = set()
        self._unplaceable_generation = (-1, -1)
        self._resume_position = 0
        self._consolidated_at = float('-inf')
        self._queue_order: list[str] = []
        self._ordered_at = float('-inf')
        self._infeasible_reasons: dict[packing.GangRequest, str] = {}

    @property
    def ledger(self) -> allotments.Ledger:
        """Allotments and the capacity that they use."""
        return self._ledger

    @property
    def attribution(self) -> attribution.Attribution:
        """Failures, counted by job and worker."""
        return self._attribution

    def infeasible_shapes(self) -> dict[str, int]:
        """Returns the number of shapes without a witness, by guarantee."""
        return self._ledger.witness.infeasible_shapes

    def reason(self, job: str) -> str:
        """Returns why a job waits."""
        return self._reasons.get(job, 'waits for the next placement round')

    def record_completion(self, name: str, observed_ms: int) -> None:
        """Updates run time estimates and avoided workers with a success.

        Args:
            name: Name of the job that ran to completion.
            observed_ms: Its total run time.
        """
        job = self._ledger.job(name)
        allotment = self._ledger.allotments.get(name)
        if job is not None:
            self._forecasts.observe(job, observed_ms)
        if allotment is not None:
            workers = set(allotment.workers)
            for worker in self._attribution.record_success(name, workers):
                self._ledger.fleet.set_avoided(worker, False)

    def record_failure(self, name: str, worker: int) -> None:
        """Updates the avoided workers with a member that failed.

        Args:
            name: Name of the job.
            worker: Number of the worker that ran the member.
        """
        if self._attribution.record_failure(name, worker):
            self._ledger.fleet.set_avoided(worker, True)

    def check_guarantees(
        self, changed: collections.abc.Iterable[intent.StoredObject]
    ) -> list[findings.Finding]:
        """Returns findings for changed guarantees that are infeasible.

        Args:
            changed: Objects of a change that is not applied yet.
        """
        return feasibility.check_guarantees(self._ledger, changed)

    def decide(self, now_ms: int) -> Decisions:
        """Runs one round on the current state.

        The caller proposes the result and calls again after it is applied.

        Args:
            now_ms: Current time, in milliseconds since 1970.
        """
        self._forecasts.set_time(now_ms)
        self._ledger.sync()
        for worker in self._attribution.expire():
            self._ledger.fleet.set_avoided(worker, False)
        decisions = Decisions([], [])
        if now_ms - self._deadlines_checked_ms >= DEADLINE_CHECK_INTERVAL_MS:
            self._deadlines_checked_ms = now_ms
            self._enforce_deadlines(decisions, now_ms)
        labels = self._ledger.fleet.label_generation
        if labels != self._checked_label_generation:
            self._checked_label_generation = labels
            self._stop_excluded(decisions)
        self._drop_stale_reservations()
        self._start_waiting(decisions, now_ms)
        if self._policies.consolidate and not decisions:
            self._consolidate(decisions)
        return decisions

    # Jobs that have to stop.

    def _enforce_deadlines(self, decisions: Decisions, now_ms: int) -> None:
        for name in list(self._ledger.waiting) + list(self._ledger.allotments):
            job = self._ledger.job(name)
            status = self._state.jobs.get(name)
            if job is None or not job.deadline_ms or status is None:
                continue
            if now_ms < status.submitted_ms + job.deadline_ms:
                continue
            if status.phase == Phase.WAITING:
                self._ledger.waiting.pop(name, None)
                self._add_event(decisions, status, Event.GIVEN_UP)
            elif status.allotment != intent.AllotmentState.STOPPING:
                self._add_event(decisions, status, Event.STOPPING)

    def _add_event(
        self,
        decisions: Decisions,
        status: intent.JobStatus,
        event: int,
        reason: int = Reason.DEADLINE,
    ) -> None:
        decisions.events.append(
            intent.JobEventCommand(
                job=status.job,
                epoch=status.epoch,
                event=event,
                reason=reason,
                progress_ms=0,
                failed_worker='',
            )
        )

    def _stop_excluded(self, decisions: Decisions) -> None:
        """Stops gangs on workers that their selector no longer matches.

        A running gang that cannot write a checkpoint stays: labels keep new
        work off a worker, but running work must not lose its progress. In an
        evacuated zone, all running gangs stay.
        """
        fleet = self._ledger.fleet
        for name, allotment in self._ledger.allotments.items():
            eligible = fleet.eligible(allotment.gang.selector)
            if all(eligible[worker] for worker in allotment.workers):
                continue
            job = self._ledger.job(name)
            status = self._state.jobs.get(name)
            if job is None or status.epoch != allotment.epoch:
                continue
            if status.allotment == intent.AllotmentState.STOPPING:
                continue
            excluded = not all(
                fleet.matches_labels(allotment.gang.selector, worker)
                for worker in allotment.workers
            )
            if (job.checkpointable and excluded) or status.allotment == (
                intent.AllotmentState.HOLDING
            ):
                self._add_event(
                    decisions, status, Event.STOPPING, Reason.LABELS
                )

    def _consolidate(self, decisions: Decisions) -> None:
        """Stops the gangs of one worker so that they restart on others.

        Skipped while a small gang waits, since it could use the fragments.
        """
        now_s = time.monotonic()
        if now_s - self._consolidated_at < CONSOLIDATION_INTERVAL_S:
            return
        if self._reservations or not self._only_large_gangs_wait():
            return
        self._consolidated_at = now_s
        moved = consolidation.plan(
            self._ledger.fleet, self._ledger.allotments, self._movable
        )
        for name in moved:
            status = self._state.jobs.get(name)
            self._add_event(
                decisions, status, Event.STOPPING, Reason.CONSOLIDATE
            )

    def _only_large_gangs_wait(self) -> bool:
        if len(self._ledger.waiting) > HEAD_JOBS:
            return False
        return all(
            allotments.gang_of(self._ledger.job(name)).accelerators
            >= LARGE_GANG_ACCELERATORS
            for name in self._ledger.waiting
        )

    def _movable(self, name: str, allotment: allotments.Allotment) -> bool:
        job = self._ledger.job(name)
        status = self._state.jobs.get(name)
        if job is None or not job.checkpointable or job.urgent:
            return False
        if status.allotment != intent.AllotmentState.RUNNING:
            return False
        progress_ms = self._progress.progress_ms(name)
        left_ms = self._forecasts.remaining_ms(job, progress_ms)
        return (
            left_ms >= consolidation.MIN_REMAINING_MS
            and self._progress.unsaved_ms(name) >= consolidation.MIN_UNSAVED_MS
        )

    def _drop_stale_reservations(self) -> None:
        now_s = time.monotonic()
        for name, reservation in list(self._reservations.items()):
            if (
                name not in self._ledger.waiting
                or now_s - reservation.created_at > RESERVATION_TIMEOUT_S
            ):
                del self._reservations[name]

    # Waiting jobs.

    def _start_waiting(self, decisions: Decisions, now_ms: int) -> None:
        order = self._current_order(now_ms)
        if not order:
            self._head_reservation = None
            return
        self._clear_unplaceable()
        head_reserved = False
        started_at = time.perf_counter()
        for position, name in self._round_jobs(order):
            if len(decisions.placements) >= STARTS_PER_ROUND:
                break
            started = self._try_start(decisions, name, now_ms)
            if not started and not self._policies.backfill:
                # Without backfill, no job may start before the first one.
                break
            if not started and not head_reserved:
                head_reserved = self._reserve_for_head(name)
            if time.perf_counter() - started_at > ROUND_TIME_LIMIT_S:
                self._resume_position = position + 1
                break
        else:
            self._resume_position = 0
        if not head_reserved:
            self._head_reservation = None
        self._prune_reasons()

    def _round_jobs(
        self, order: list[str]
    ) -> collections.abc.Iterator[tuple[int, str]]:
        """Yields positions and jobs: the head, then a window of the rest.

        The window begins where the last round ran out of time.
        """
        head = min(HEAD_JOBS, len(order))
        yield from enumerate(order[:head])
        first = max(self._resume_position, head)
        if first >= len(order):
            first = head
        last = min(first + JOBS_PER_ROUND, len(order))
        yield from enumerate(order[first:last], first)

    def _clear_unplaceable(self) -> None:
        """Clears the requests that did not fit, if capacity has changed."""
        now = (self._ledger.fleet.generation, len(self._reservations))
        if now != self._unplaceable_generation:
            self._unplaceable_generation = now
            self._unplaceable.clear()

    def _prune_reasons(self) -> None:
        if len(self._reasons) > 2 * len(self._ledger.waiting) + 64:
            self._reasons = {
                name: text
                for name, text in self._reasons.items()
                if name in self._ledger.waiting
            }

    def _current_order(self, now_ms: int) -> list[str]:
        now_s = time.monotonic()
        waiting = self._ledger.waiting
        short = len(waiting) <= SHORT_QUEUE_JOBS
        if short or now_s - self._ordered_at >= SORT_INTERVAL_S:
            self._ordered_at = now_s
            self._queue_order = self._sort_waiting(now_ms)
        else:
            queued = [n for n in self._queue_order if n in waiting]
            if len(queued) < len(waiting):
                added = waiting.keys() - set(queued)
                # New urgent jobs go first until the next sort; other new
                # jobs are added by it.
                queued = (
                    sorted(n for n in added if self._ledger.job(n).urgent)
                    + queued
                )
            self._queue_order = queued
        return self._queue_order

    def _sort_waiting(self, now_ms: int) -> list[str]:
        keyed = []
        shares: dict[str, float] = {}
        covered: dict[tuple[str, int], bool] = {}
        total = max(self._ledger.fleet.total_accelerators, 1)
        for name, status in self._ledger.waiting.items():
            job = self._ledger.job(name)
            customer = job.customer
            if customer not in shares:
                used = self._ledger.used_by_customer[customer]
                shares[customer] = used / total / self._ledger.weight(customer)
            requested = job.members * job.accelerators
            key = (customer, requested)
            if key not in covered:
                covered[key] = bool(
                    self._covering_guarantee(customer, requested)
                )
            keyed.append(
                (
                    self._queue_key(
                        queues.WaitingJob(
                            name=name,
                            urgent=job.urgent,
                            entitled=covered[key],
                            waited_ms=now_ms - status.submitted_ms,
                            remaining_ms=self._forecasts.remaining_ms(
                                job, status.progress_ms
                            ),
                            accelerators=requested,
                            share=shares[customer],
                            submitted_ms=status.submitted_ms,
                        )
                    ),
                    name,
                )
            )
        keyed.sort()
        return [name for _, name in keyed]

    def _covering_guarantee(self, customer: str, accelerators: int) -> str:
        """Returns a guarantee of a customer that covers accelerators, or ''.

        Work without accelerators is charged to no guarantee.
        """
        if not accelerators:
            return ''
        for name in self._ledger.guarantees_of(customer):
            if self._ledger.entitlement_after(name, accelerators) is not None:
                return name
        return ''

    def _try_start(
        self,
        decisions: Decisions,
        name: str,
        now_ms: int,
    ) -> bool:
        """Starts a job if possible; returns whether it was started.

        Otherwise notes the reason and reclaims work if the job may do so.
        """
        status = self._ledger.waiting[name]
        job = self._ledger.job(name)
        left_ms = self._backoff_remaining_ms(status, now_ms)
        if left_ms > 0:
            self._reasons[name] = reasons.backoff(left_ms, status.attempts)
            return False
        gang = allotments.gang_of(job)
        guarantee = self._covering_guarantee(job.customer, gang.accelerators)
        signature = (gang, guarantee, job.urgent, job.customer)
        if signature in self._unplaceable and name not in self._reservations:
            self._reasons.setdefault(
                name, reasons.no_capacity(self._ledger.fleet, gang, {})
            )
            return False
        problem = self._blocked_reason(job, gang, guarantee)
        if problem:
            self._reasons[name] = self._infeasible_reason(gang) or problem
            return False
        workers = self._find_workers(name, job, gang, guarantee)
        if workers is not None:
            self._start(decisions, name, job, guarantee, workers)
            return True
        if guarantee or job.urgent:
            self._reclaim(decisions, name, job, gang, guarantee, now_ms)
        self._unplaceable.add(signature)
        return False

    def _backoff_remaining_ms(
        self, status: intent.JobStatus, now_ms: int
    ) -> float:
        if status.reason == Reason.RECLAIM:
            retry_delay_ms = RECLAIM_BACKOFF_MS
        elif status.attempts:
            retry_delay_ms = min(BACKOFF_MS << status.attempts, MAX_BACKOFF_MS)
        elif status.reason == Reason.HOLD_FAILED:
            retry_delay_ms = BACKOFF_MS
        else:
            return 0
        return status.phase_since_ms + retry_delay_ms - now_ms

    def _blocked_reason(
        self, job: intent.Job, gang: packing.GangRequest, guarantee: str
    ) -> str:
        requested = gang.accelerators
        used = self._ledger.used_by_customer[job.customer]
        quota = self._ledger.quota(job.customer)
        if quota and used + requested > quota:
            return reasons.quota(job.customer, used, requested, quota)
        if guarantee or job.checkpointable or job.restartable:
            return ''
        left = sum(
            entitlement.remaining
            for name in self._ledger.guarantees_of(job.customer)
            if (entitlement := self._ledger.entitlement_after(name, 0))
        )
        return reasons.may_not_borrow(job.customer, requested, left)

    def _find_workers(
        self,
        name: str,
        job: intent.Job,
        gang: packing.GangRequest,
        guarantee: str,
    ) -> list[int] | None:
        """Returns free workers for a gang; records the reason if None."""
        fleet = self._ledger.fleet
        reservation = self._reservations.get(name)
        if reservation is not None:
            return self._find_reserved(name, reservation)
        capacity = self._available_capacity(gang, name, job)
        workers = self._choose_workers(
            fleet,
            gang,
            capacity,
            self._forecasts.forecast(self._remaining_ms(name, job)),
        )
        if workers is None:
            infeasible = self._infeasible_reason(gang)
            text = infeasible or reasons.no_capacity(fleet, gang, capacity)
            if (
                not infeasible
                and self._head_reservation
                and self._head_reservation.name != name
            ):
                at_s = self._head_reservation.start.delay_ms / 1000
                if packing.fits(
                    fleet, gang, packing.free_capacity(fleet, gang)
                ):
                    text = reasons.reserved_for(
                        self._head_reservation.name, at_s
                    )
            self._reasons[name] = text
            return None
        if guarantee and not self._witness_allows(gang, guarantee, workers):
            workers = self._find_on_witness(
                name, job, gang, guarantee, capacity
            )
            if workers is None:
                self._reasons[name] = reasons.guarantees(gang.accelerators)
        return workers

    def _infeasible_reason(self, gang: packing.GangRequest) -> str:
        """Returns why a gang would not fit on empty workers, or ''."""
        generation = self._ledger.fleet.label_generation
        if generation != self._infeasible_generation:
            self._infeasible_generation = generation
            self._infeasible_reasons.clear()
        if gang not in self._infeasible_reasons:
            self._infeasible_reasons[gang] = reasons.infeasible(
                self._ledger.fleet, gang
            )
        return self._infeasible_reasons[gang]

    def _find_reserved(
        self, name: str, reservation: _ReclaimReservation
    ) -> list[int] | None:
        """Returns the reserved workers once all of them are free.

        The reservation is dropped then, even if labels or the witness no
        longer allow the workers.
        """
        fleet = self._ledger.fleet
        gang = reservation.gang
        for worker, count in collections.Counter(reservation.workers).items():
            if fleet.members_that_fit(worker, gang.need) < count:
                return None
        del self._reservations[name]
        eligible = fleet.eligible(gang.selector)
        allowed = all(eligible[worker] for worker in reservation.workers)
        if allowed and reservation.guarantee:
            allowed = self._witness_allows(
                gang, reservation.guarantee, reservation.workers
            )
        return reservation.workers if allowed else None

    def _remaining_ms(self, name: str, job: intent.Job) -> float:
        status = self._ledger.waiting[name]
        return self._forecasts.remaining_ms(job, status.progress_ms)

    def _available_capacity(
        self, gang: packing.GangRequest, name: str, job: intent.Job
    ) -> packing.Capacity:
        """Returns the free capacity that is not reserved for other jobs.

        A job that ends before the reserved start of the head job may use
        that job's workers, and so may an urgent one.
        """
        capacity = packing.free_capacity(self._ledger.fleet, gang)
        for other, reservation in self._reservations.items():
            if other != name:
                for worker in reservation.workers:
                    capacity.pop(worker, None)
        head = self._head_reservation
        if head is not None and head.name != name and not job.urgent:
            if self._remaining_ms(name, job) > head.start.delay_ms:
                for worker in head.start.workers:
                    capacity.pop(worker, None)
        return capacity

    def _witness_allows(
        self, gang: packing.GangRequest, guarantee: str, workers: list[int]
    ) -> bool:
        change = witness_module.Change(
            allotments.accelerators_by_worker(workers, gang),
            self._ledger.entitlement_after(guarantee, gang.accelerators),
        )
        return self._ledger.witness.allows(change)

    def _witness_capacity(
        self, gang: packing.GangRequest, guarantee: str
    ) -> packing.Capacity:
        """Returns members that fit on the witness of a guarantee, by worker.

        Counts accelerators whether or not borrowed work uses them.
        """
        by_worker: dict[int, int] = collections.Counter()
        for shape in self._ledger.witness.shapes(guarantee):
            by_worker.update(shape.by_worker)
        per_member = max(gang.need.accelerators, 1)
        return {
            worker: count // per_member
            for worker, count in by_worker.items()
            if count >= per_member
        }

    def _find_on_witness(
        self,
        name: str,
        job: intent.Job,
        gang: packing.GangRequest,
        guarantee: str,
        capacity: packing.Capacity,
    ) -> list[int] | None:
        """Returns free workers within the guarantee's own witness."""
        within_witness = {
            worker: min(fit, capacity[worker])
            for worker, fit in self._witness_capacity(gang, guarantee).items()
            if worker in capacity
        }
        workers = self._choose_workers(
            self._ledger.fleet,
            gang,
            within_witness,
            self._forecasts.forecast(self._remaining_ms(name, job)),
        )
        if workers and self._witness_allows(gang, guarantee, workers):
            return workers
        return None

    def _start(
        self,
        decisions: Decisions,
        name: str,
        job: intent.Job,
        guarantee: str,
        workers: list[int],
    ) -> None:
        status = self._ledger.waiting[name]
        numbers = array.array('H', workers)
        self._forecasts.note_start(workers, self._remaining_ms(name, job))
        decisions.placements.append(
            intent.PlaceCommand(
                job=name,
                workers=numbers.tobytes(),
                guarantee=guarantee,
                job_revision=status.revision,
            )
        )
        self._ledger.grant(
            name, allotments.Allotment(0, numbers, job, guarantee)
        )
        self._reasons.pop(name, None)
        if guarantee:
            self._ledger.witness.repair()
            self._ledger.witness.check()

    # Reservation for a large job at the head of the queue.

    def _reserve_for_head(self, name: str) -> bool:
        """Reserves the expected start of a large job that lacks capacity.

        Returns:
            Whether the job has the reservation.
        """
        if not self._reasons.get(name, '').startswith('waits for capacity'):
            return False
        if name in self._reservations:
            return False
        gang = allotments.gang_of(self._ledger.job(name))
        if gang.accelerators < LARGE_GANG_ACCELERATORS:
            return False
        now_s = time.monotonic()
        head = self._head_reservation
        if (
            head is not None
            and head.name == name
            and now_s - head.created_at < HEAD_RESERVATION_REFRESH_S
        ):
            return True
        start = self._forecasts.earliest_start(gang)
        self._head_reservation = start and _HeadReservation(name, start, now_s)
        return self._head_reservation is not None

    # Reclaiming borrowed work.
    def _reclaim(
        self,
        decisions: Decisions,
        name: str,
        job: intent.Job,
        gang: packing.GangRequest,
        guarantee: str,
        now_ms: int,
    ) -> None:
        """Stops borrowed work and reserves its workers for a job."""
        if name in self._reservations:
            reservation = self._reservations[name]
            self._set_reclaiming_reason(name, reservation.victims)
            return
        plan = self._plan_reclaim(gang, guarantee, job.urgent)
        if plan is None:
            return
        self._reservations[name] = _ReclaimReservation(
            workers=plan.workers,
            gang=gang,
            guarantee=guarantee,
            victims=plan.victims,
            created_at=time.monotonic(),
        )
        for victim in plan.victims:
            status = self._state.jobs.get(victim)
            self._add_event(decisions, status, Event.STOPPING, Reason.RECLAIM)
        self._set_reclaiming_reason(name, plan.victims)

    def _set_reclaiming_reason(
        self, name: str, victims: tuple[str, ...]
    ) -> None:
        accelerators = sum(
            self._ledger.allotments[victim].gang.accelerators
            for victim in victims
            if victim in self._ledger.allotments
        )
        self._reasons[name] = reasons.reclaiming(len(victims), accelerators)

    def _plan_reclaim(
        self, gang: packing.GangRequest, guarantee: str, urgent: bool
    ) -> reclaim.Plan | None:
        planner = reclaim.Planner(
            self._ledger.fleet, self._reclaim_candidates(urgent)
        )
        excluded = {
            worker
            for reservation in self._reservations.values()
            for worker in reservation.workers
        }
        plan = planner.plan(gang, excluded=excluded)
        if not guarantee:
            return plan
        if plan and self._witness_allows(gang, guarantee, plan.workers):
            return plan
        plan = planner.plan(
            gang,
            max_members=self._witness_capacity(gang, guarantee),
            excluded=excluded,
        )
        if plan and self._witness_allows(gang, guarantee, plan.workers):
            return plan
        return None

    def _reclaim_candidates(
        self, urgent: bool
    ) -> collections.abc.Iterator[reclaim.Reclaimable]:
        """Yields the borrowed gangs that may be reclaimed.

        Urgent work may be reclaimed for a guarantee, but not for an urgent
        job.
        """
        total = max(self._ledger.fleet.total_accelerators, 1)
        for name, allotment in self._ledger.allotments.items():
            if not allotment.borrowed or not allotment.epoch:
                continue
            if urgent and allotment.urgent:
                continue
            status = self._state.jobs.get(name)
            used = self._ledger.used_by_customer[allotment.customer]
            if status.allotment == intent.AllotmentState.STOPPING:
                # Already stopping, so reclaiming it costs nothing.
                yield reclaim.Reclaimable(name, allotment, 0.0)
                continue
            yield reclaim.make_reclaimable(
                name,
                allotment,
                cost=self._victim_cost,
                lost_ms=self._progress.unsaved_ms(name),
                reclaims=status.reclaims,
                over_share=used
                / total
                / self._ledger.weight(allotment.customer),
                started_ms=status.started_ms,
            )
