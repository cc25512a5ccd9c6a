"""Tests of evacuations of availability zones."""

from __future__ import annotations

import copy
import time

import curio
import testtools

from banyantrack.core import codec
from banyantrack.core import findings
from banyantrack.core import metrics
from banyantrack.daemons import work_api
from banyantrack.daemons import work_session
from banyantrack.generated.intent import ttypes as intent
from banyantrack.generated.settings import ttypes as settings
from banyantrack.generated.workload import ttypes
from banyantrack.platform import reports
from banyantrack.platform import wire
from banyantrack.replication import errors as replication_errors
from banyantrack.testing import builders as intent_builders
from banyantrack.testing import fake_placement
from banyantrack.testing import virtual
from banyantrack.testing import work_builders as builders
from banyantrack.testing import work_simulation as simulation
from banyantrack.workload import evacuations
from banyantrack.workload import guarantees
from banyantrack.workload import layout
from banyantrack.workload import moves
from banyantrack.workload import state as state_module

NOW_MS = builders.NOW_MS
Fate = simulation.Fate
Verdict = evacuations.Verdict
START = '/v1/run-start'


def order(
    state: state_module.WorkState,
    zone: str,
    *,
    end: bool = False,
    now_ms: int = NOW_MS,
    requester: str = 'operator',
) -> Verdict:
    """Applies an order to a state and returns its outcome."""
    command = ttypes.EvacuationCommand(zone=zone, requester=requester, end=end)
    return state.apply(ttypes.WorkCommand(evacuation=command), now_ms)


def restored(
    state: state_module.WorkState, snapshot: ttypes.WorkSnapshot
) -> state_module.WorkState:
    """Returns a state after it has installed an encoded snapshot."""
    data = codec.encode(snapshot)
    state.restore(codec.decode(ttypes.WorkSnapshot, data))
    return state


class TestState(testtools.TestCase):
    """Orders are idempotent and outlast snapshots."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state()

    def in_force(self) -> dict[str, int]:
        """Returns the times of acceptance by zone."""
        return {
            zone: evacuation.accepted_ms
            for zone, evacuation in self.state.evacuations.in_force.items()
        }

    def test_begin_that_is_repeated(self) -> None:
        # Guards against a retry that moves the time of acceptance, from which
        # the grace of runs counts.
        self.assertIs(Verdict.DONE, order(self.state, 'z1'))
        self.assertIs(
            Verdict.DONE, order(self.state, 'z1', now_ms=NOW_MS + 900)
        )
        self.assertEqual({'z1': NOW_MS}, self.in_force())

    def test_end_before_begin(self) -> None:
        # Guards against an early end that cancels the begin after it.
        self.assertIs(Verdict.DONE, order(self.state, 'z1', end=True))
        self.assertEqual({}, self.in_force())
        order(self.state, 'z1')
        self.assertEqual({'z1': NOW_MS}, self.in_force())

    def test_end_and_second_begin(self) -> None:
        order(self.state, 'z1')
        for _ in range(2):
            self.assertIs(Verdict.DONE, order(self.state, 'z1', end=True))
        self.assertEqual({}, self.in_force())
        self.assertIn('z1', self.state.evacuations.ended)
        order(self.state, 'z1', now_ms=NOW_MS + 900)
        self.assertEqual({'z1': NOW_MS + 900}, self.in_force())
        self.assertEqual({}, dict(self.state.evacuations.ended))

    def test_more_zones_than_are_stored(self) -> None:
        # Guards against an accepted order that is refused when repeated.
        limit = evacuations.EVACUATIONS_LIMIT
        for number in range(limit):
            order(self.state, f'z{number}')
        self.assertIs(Verdict.FULL, order(self.state, 'more'))
        self.assertIs(Verdict.DONE, order(self.state, 'z0'))
        self.assertEqual(limit, len(self.in_force()))
        order(self.state, 'z0', end=True)
        self.assertIs(Verdict.DONE, order(self.state, 'more'))

    def test_ended_evacuations_are_kept_up_to_a_limit(self) -> None:
        for number in range(evacuations.EVACUATIONS_LIMIT + 1):
            order(self.state, f'z{number}')
            order(self.state, f'z{number}', end=True)
        self.assertNotIn('z0', self.state.evacuations.ended)
        self.assertIn('z1', self.state.evacuations.ended)

    def test_snapshot(self) -> None:
        # Guards against a member that knows nothing of an order because the
        # snapshot it started from lacks it.
        order(self.state, 'z1', requester='ana')
        order(self.state, 'z2')
        order(self.state, 'z2', end=True, now_ms=NOW_MS + 5)
        snapshot = self.state.snapshot()
        self.state = restored(state_module.WorkState(), snapshot)
        self.assertEqual({'z1': NOW_MS}, self.in_force())
        self.assertEqual(
            'ana', self.state.evacuations.in_force['z1'].requester
        )
        self.assertEqual(
            NOW_MS + 5, self.state.evacuations.ended['z2'].ended_ms
        )

    def test_end_in_a_snapshot_reaches_a_member_that_was_behind(self) -> None:
        order(self.state, 'z1')
        ahead = restored(state_module.WorkState(), self.state.snapshot())
        order(ahead, 'z1', end=True)
        restored(self.state, ahead.snapshot())
        self.assertEqual({}, self.in_force())

    def test_snapshot_of_a_previous_build(self) -> None:
        # Guards against an evacuation that a member forgets because a leader
        # of the previous build sends it a snapshot.
        order(self.state, 'z1')
        snapshot = self.state.snapshot()
        snapshot.evacuations = None
        restored(self.state, snapshot)
        self.assertEqual({'z1': NOW_MS}, self.in_force())

    def test_log_of_a_previous_build(self) -> None:
        # Its commands and snapshots have no field for evacuations.
        command = codec.encode(
            ttypes.WorkCommand(workers=[builders.worker('w1')])
        )
        self.assertIsNone(
            self.state.apply(codec.decode(ttypes.WorkCommand, command), NOW_MS)
        )
        snapshot = self.state.snapshot()
        snapshot.evacuations = None
        self.state = restored(state_module.WorkState(), snapshot)
        self.assertIn('w1', self.state.workers)
        self.assertEqual({}, self.in_force())


class _FakeReplica:
    """Member that leads, unless it is told otherwise."""

    is_leader = True
    term = 3

    def __init__(self) -> None:
        self.ready = True

    def lease_holds(self) -> bool:
        return True

    def not_leader_error(self) -> replication_errors.NotLeaderError:
        return replication_errors.NotLeaderError('', '')


class TestStartsInAnEvacuatedZone(testtools.TestCase):
    """No start is sent to a worker of an evacuated zone."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state(
            builders.worker('w1'), builders.worker('w2', zone='z2')
        )
        self.session = work_session.WorkSession(
            _FakeReplica(),
            self.state,
            None,
            settings.ControlPlatformSettings(
                remote_factor=3.0, stop_ms=200, upkeep_s=2.0
            ),
            None,
            metrics.Metrics(),
        )

    def recorded_start(self, **values: object) -> ttypes.RunStart:
        """Records a start on `w1`; values replace fields of the worker."""
        builders.submit(self.state, builders.job('a'))
        start = ttypes.RunStart(
            task=ttypes.TaskKey(job_id='a', occurrence=0, step=0, index=0),
            run=1,
            worker_id='w1',
            incarnation=1,
            checkpoint='',
            ticket='',
        )
        self.state.apply(ttypes.WorkCommand(starts=[start]), NOW_MS)
        self.assertTrue(self.session.is_current(start))
        if values:
            self.record(builders.worker('w1', **values))
        return start

    def record(self, worker: ttypes.WorkerRecord) -> None:
        self.state.apply(ttypes.WorkCommand(workers=[worker]), NOW_MS)

    def test_start_recorded_before_the_order(self) -> None:
        start = self.recorded_start()
        order(self.state, 'z2')
        self.assertTrue(self.session.is_current(start))
        order(self.state, 'z1')
        self.assertFalse(self.session.is_current(start))
        order(self.state, 'z1', end=True)
        self.assertTrue(self.session.is_current(start))

    def test_zone_that_becomes_known_late(self) -> None:
        start = self.recorded_start(zone='')
        order(self.state, 'z1')
        self.assertTrue(self.session.is_current(start))
        self.record(builders.worker('w1', zone='z1'))
        self.assertFalse(self.session.is_current(start))

    def test_worker_of_which_no_record_is_left(self) -> None:
        # Guards against a start that reaches an evacuated zone while the
        # record of its worker is being replaced.
        start = self.recorded_start(zone='z2', incarnation=2)
        order(self.state, 'z1')
        self.assertFalse(self.session.is_current(start))
        gone = builders.worker(
            'w1', incarnation=2, state=ttypes.WorkerState.GONE
        )
        self.record(gone)
        self.assertFalse(self.session.is_current(start))


class _FakeLeadership:
    """Applies commands to the state at once."""

    session = None

    def __init__(self, state: state_module.WorkState) -> None:
        self._state = state

    async def propose(self, command: ttypes.WorkCommand) -> object:
        return self._state.apply(command, NOW_MS)


class TestPlanner(testtools.TestCase):
    """The planner uses only workers outside of evacuated zones."""

    def test_tasks_wait_or_go_elsewhere(self) -> None:
        state = builders.state(
            builders.worker('w1'), builders.worker('w2', zone='z2')
        )
        order(state, 'z1')
        builders.submit(state, builders.job('a', builders.step(count=9)))
        planned = builders.plan(state)
        self.assertEqual(
            ['w2'] * 8, [start.worker_id for start in planned.starts]
        )
        order(state, 'z1', end=True)
        self.assertEqual(9, len(builders.plan(state).starts))

    def test_urgent_tasks_stop_nothing_in_the_zone(self) -> None:
        # Guards against runs that are stopped for tasks that may not start
        # in their place.
        state = builders.state(builders.worker('w1'))
        work = builders.step(count=8, checkpointable=True)
        builders.submit(state, builders.job('a', work), name='patient')
        builders.start(state, builders.plan(state))
        urgent = builders.job('b', builders.step(count=8))
        builders.submit(state, urgent, name='urgent')
        now_ms = NOW_MS + 2000
        self.assertTrue(builders.plan(state, now_ms=now_ms).stops)
        order(state, 'z1')
        self.assertEqual([], builders.plan(state, now_ms=now_ms).stops)

    def test_evacuated_zone_does_not_make_a_pool_idle(self) -> None:
        # Guards against a busy pool that keeps nothing free for urgent jobs
        # because the workers of the zone are idle.
        state = builders.state(
            builders.worker('w1'), builders.worker('w2', zone='z2')
        )
        builders.submit(state, builders.job('a', builders.step(count=6)))
        order(state, 'z1')
        builders.start(state, builders.plan(state))
        self.assertFalse(builders.fleet(state).is_mostly_idle('line'))
        order(state, 'z1', end=True)
        self.assertTrue(builders.fleet(state).is_mostly_idle('line'))


class TestApi(testtools.TestCase):
    """Orders for zones that do not exist are refused, ends never."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state(builders.worker('w1', zone='hall 4'))
        self.replica = _FakeReplica()

    def begin(self, zone: str, *, zones: tuple[str, ...] = ()) -> bool:
        """Orders an evacuation; returns whether it is accepted."""
        found = findings.Findings()
        api = work_api.WorkApi(
            self.replica,
            self.state,
            _FakeLeadership(self.state),
            None,
            None,
            zones=zones,
        )
        verdict = curio.run(api.evacuations.begin, zone, 'operator', found)
        self.assertEqual(verdict is None, bool(found.found))
        return verdict is Verdict.DONE

    def test_any_name_without_the_setting(self) -> None:
        for zone in ('z', 'Zone-1.a_b:c', 'z' * 253, 'hall 4'):
            self.assertTrue(self.begin(zone), zone)
        for zone in ('', 'z' * 254, 'a b', 'a/b', 'a\n', '\u00e4'):
            self.assertFalse(self.begin(zone), zone)

    def test_zones_of_the_setting_and_of_workers(self) -> None:
        zones = ('z1', 'z2')
        self.assertTrue(self.begin('z1', zones=zones))
        self.assertTrue(self.begin('hall 4', zones=zones))
        self.assertFalse(self.begin('z3', zones=zones))

    def test_accepted_order_is_not_refused_later(self) -> None:
        # Guards against a retry that is refused because the last worker of
        # the zone has left since.
        zones = ('z1',)
        self.assertTrue(self.begin('hall 4', zones=zones))
        gone = builders.worker('w1', state=ttypes.WorkerState.GONE)
        self.state.apply(ttypes.WorkCommand(workers=[gone]), NOW_MS)
        self.assertTrue(self.begin('hall 4', zones=zones))
        order(self.state, 'hall 4', end=True)
        self.assertFalse(self.begin('hall 4', zones=zones))

    def test_answer_that_is_lost_with_the_leader(self) -> None:
        # Guards against a retry that counts as a second order: the leader
        # was lost after it had recorded the first one.
        class Lost(_FakeLeadership):
            async def propose(self, command: ttypes.WorkCommand) -> object:
                await super().propose(command)
                raise replication_errors.UnknownOutcomeError('lost')

        lost = work_api.WorkApi(
            self.replica, self.state, Lost(self.state), None, None
        )
        found = findings.Findings()
        self.assertRaises(
            replication_errors.UnknownOutcomeError,
            curio.run,
            lost.evacuations.begin,
            'z1',
            'operator',
            found,
        )
        before = self.state.snapshot()
        self.state = restored(state_module.WorkState(), before)
        self.assertTrue(self.begin('z1'))
        self.assertEqual(before.evacuations, self.state.snapshot().evacuations)

    def test_member_that_cannot_commit(self) -> None:
        # Guards against a call that waits at a deposed leader for as long as
        # the operator tries at all.
        class Stuck(_FakeLeadership):
            async def propose(self, command: ttypes.WorkCommand) -> object:
                await curio.sleep(60)

        async def main() -> float:
            api = work_api.WorkApi(
                self.replica, self.state, Stuck(self.state), None, None
            )
            started_s = time.monotonic()
            try:
                await api.evacuations.end('z1', 'operator')
            except replication_errors.UnknownOutcomeError:
                return time.monotonic() - started_s
            return 0.0

        waited_s = virtual.run(main)
        self.assertTrue(1.0 < waited_s < 3.0, waited_s)

    def test_member_that_does_not_lead(self) -> None:
        # Its state may be old, so it must not judge the zone either.
        self.replica.ready = False
        self.assertRaises(
            replication_errors.NotLeaderError,
            self.begin,
            'z3',
            zones=('z1',),
        )


class TestMoves(testtools.TestCase):
    """Runs are moved a tenth at a time, and only to capacity elsewhere."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state(
            *(builders.worker(f'w{number}') for number in range(4))
        )

    def run_job(self, name: str, *steps: ttypes.Step) -> None:
        """Starts a job in zone `z1`, the only one with workers so far."""
        builders.submit(self.state, builders.job(name, *steps))
        planned = builders.plan(self.state)
        self.assertEqual(sum(s.count for s in steps), len(planned.starts))
        builders.start(self.state, planned)

    def add_workers(self, count: int, **values: object) -> None:
        """Adds workers in zone `z2`."""
        added = [
            builders.worker(f'other{number}', zone='z2', **values)
            for number in range(count)
        ]
        self.state.apply(ttypes.WorkCommand(workers=added), NOW_MS)

    def moved(
        self, *, stopping: set[layout.RunId] = frozenset(), absent: int = 0
    ) -> list[layout.RunId]:
        """Returns the runs that are moved out of `z1`."""
        if 'z1' not in self.state.evacuations.in_force:
            order(self.state, 'z1')
        fleet = builders.fleet(self.state, stopping=stopping)
        return [
            layout.RunId(run.key, run.task.run)
            for run in moves.select_moves(
                fleet,
                {'z1'},
                stopping=stopping,
                count_absent=lambda _: absent,
            )
        ]

    def moved_jobs(self, **values: object) -> list[str]:
        return [run.task.job_id for run in self.moved(**values)]

    def test_tenth_of_the_runs_that_save_progress_first(self) -> None:
        self.add_workers(4, accelerators=0)
        self.run_job('a', builders.step(count=16))
        self.run_job('b', builders.step(count=14, checkpointable=True))
        self.assertEqual([], self.moved())
        self.add_workers(4)
        moved = self.moved()
        self.assertEqual(['b'] * 3, [run.task.job_id for run in moved])
        # Those that are being stopped count as well.
        self.assertEqual(['b'], self.moved_jobs(stopping=set(moved[:2])))
        self.assertEqual([], self.moved(stopping=set(moved)))

    def test_capacity_elsewhere_bounds_the_moves(self) -> None:
        # Guards against runs that are stopped and then wait.
        self.add_workers(1, accelerators=0)
        self.run_job('a', builders.step(count=30))
        self.add_workers(1, accelerators=2)
        moved = self.moved()
        self.assertEqual(2, len(moved))
        # A run that is being stopped has not taken its new capacity yet.
        self.assertEqual(1, len(self.moved(stopping=set(moved[:1]))))

    def test_gang_moves_as_a_whole(self) -> None:
        # Guards against a gang that is broken because its other members had
        # no capacity elsewhere, or do not count towards the limit.
        gang = builders.step(count=3, accelerators=8, gang=True)
        self.add_workers(2, accelerators=0)
        self.run_job('a', gang)
        self.add_workers(2)
        self.assertEqual([], self.moved())
        self.add_workers(3)
        self.assertEqual(['a'] * 3, self.moved_jobs())

    def test_tasks_with_allowed_absences(self) -> None:
        # Guards against more tasks away at once than their step allows.
        step = builders.step(
            count=30, long_running=True, may_miss=2, checkpointable=True
        )
        self.add_workers(1, accelerators=0)
        self.run_job('a', step)
        self.add_workers(4)
        self.assertEqual(2, len(self.moved()))
        self.assertEqual(1, len(self.moved(absent=1)))
        self.assertEqual([], self.moved(absent=2))
        (first, _) = self.moved()
        self.assertEqual(1, len(self.moved(stopping={first})))

    def test_label_and_limit_of_a_worker(self) -> None:
        self.add_workers(2, accelerators=0, labels=['b', 'r1'])
        self.run_job(
            'a', builders.step(required_label='a', checkpointable=True)
        )
        self.add_workers(2, labels=['b', 'r1'])
        self.assertEqual([], self.moved())
        self.add_workers(1)
        self.assertEqual(['a'], self.moved_jobs())

    def test_limit_counts_the_tasks_that_are_elsewhere(self) -> None:
        # Guards against a task that is stopped although each other worker
        # runs as many tasks of its step as the step allows.
        self.add_workers(1)
        self.run_job(
            'a',
            builders.step(count=5, max_per_worker=1, checkpointable=True),
        )
        self.assertEqual([], self.moved())
        self.add_workers(2)
        self.assertEqual(['a'], self.moved_jobs())

    def test_half_busy_zone_of_the_design_load(self) -> None:
        # Guards against rounds in which runs are stopped that find no
        # capacity, and against a zone that does not empty: a tenth of the
        # fleet of the design load, half busy, a third of it evacuated.
        self.state = builders.state()
        for zone in (1, 2, 3):
            workers = [
                builders.worker(f'z{zone}-{number}', zone=f'z{zone}')
                for number in range(200)
            ]
            self.state.apply(ttypes.WorkCommand(workers=workers), NOW_MS)
        starts = []
        for number in range(300):
            # In all zones, as all workers are used evenly.
            worker_id = f'z{number % 3 + 1}-{number // 3}'
            step = builders.step(
                count=8, checkpointable=number % 20 < 9, gang=number % 2 == 0
            )
            job = f'j{number}'
            builders.submit(self.state, builders.job(job, step))
            starts += [
                ttypes.RunStart(
                    task=layout.task_key(layout.TaskId(job, 0, 0, index)),
                    run=1,
                    worker_id=worker_id,
                    incarnation=1,
                    checkpoint='',
                    ticket='',
                )
                for index in range(8)
            ]
        self.state.apply(ttypes.WorkCommand(starts=starts), NOW_MS)
        order(self.state, 'z1')
        rounds = 0
        while self.runs_in_zone('z1'):
            before = self.runs_in_zone('z1')
            moved = self.moved()
            limit = max(before // 10, 8)
            self.assertTrue(1 <= len(moved) <= limit, (len(moved), before))
            self.restart(moved)
            rounds += 1
        # At the tenth that may move at once, and by gangs of 8 at the end.
        self.assertLess(rounds, 60)

    def runs_in_zone(self, zone: str) -> int:
        return sum(
            self.state.workers[run.task.worker_id].zone == zone
            for run in self.state.all_live_runs()
        )

    def restart(self, runs: list[layout.RunId]) -> None:
        """Ends runs and places their tasks, all of which must find room."""
        ends = []
        for key, run in runs:
            task = self.state.task(key)
            ends.append(
                ttypes.RunEnd(
                    task=layout.task_key(key),
                    run=run,
                    worker_id=task.worker_id,
                    incarnation=1,
                    kind=ttypes.EndKind.STOPPED,
                    checkpoint='',
                )
            )
        self.state.apply(ttypes.WorkCommand(ends=ends), NOW_MS)
        planned = builders.plan(self.state)
        self.assertEqual(len(runs), len(planned.starts))
        builders.start(self.state, planned)

    def test_runs_end_in_a_zone_without_a_grace(self) -> None:
        async def scenario(group: simulation.Group) -> None:
            group.submit('a', count=2, accelerators=8, work_ms=20_000)
            await curio.sleep(0.5)
            group.evacuate('z1')
            await curio.sleep(30)
            self.assertEqual(2, len(group.observer.starts))
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario, zones=('z1', 'z2'))

    def test_runs_are_moved_after_the_grace(self) -> None:
        # Guards against a zone that never empties.
        async def scenario(group: simulation.Group) -> None:
            for job_id in 'ab':
                group.submit(
                    job_id,
                    count=2,
                    accelerators=2,
                    work_ms=60_000,
                    max_per_worker=1,
                    checkpointable=job_id == 'a',
                )
            await curio.sleep(0.5)
            inside = group.executors[0]
            self.assertEqual(2, len(inside.running))
            group.evacuate('z1')
            await curio.sleep(2.5)
            self.assertEqual(2, len(inside.running))
            await curio.sleep(0.7)
            self.assertEqual([], inside.running)
            self.assertEqual([], group.observer.broken)

        options = copy.copy(simulation.OPTIONS)
        options.evacuation_grace_ms = 3000
        simulation.run(
            scenario, executors=3, zones=('z1', 'z2', 'z3'), options=options
        )


class TestColdWorkers(testtools.TestCase):
    """After the end of an evacuation, cold workers are used last."""

    def test_order_of_use(self) -> None:
        async def scenario(group: simulation.Group) -> None:
            cold, warm = group.executors
            for ended in (False, True):
                if ended:
                    group.evacuate('z1')
                    group.evacuate('z1', end=True)
                cold.cold_remaining_ms = 4000
                await group.report(cold, clock_ms=0)
                # It fits best on the cold worker, which runs a task already.
                job = f'{ended}'
                group.submit(job, accelerators=1, work_ms=100)
                await curio.sleep(0.5)
                self.assertEqual(2 + ended, len(group.observer.starts))
                self.assertEqual(ended, job in self.jobs_on(group, warm))
            await curio.sleep(4.0)
            group.submit('c', accelerators=1, work_ms=100)
            await curio.sleep(0.5)
            self.assertIn('c', self.jobs_on(group, cold))

        async def prepare(group: simulation.Group) -> None:
            group.submit('filling', accelerators=4, work_ms=60_000)
            await curio.sleep(0.5)
            if not group.executors[0].running:
                group.executors.reverse()
            cold = group.executors[0]
            self.assertTrue(cold.running)
            for executor, zone in zip(
                group.executors, ('z1', 'z2'), strict=True
            ):
                executor.zone = zone
                group.record(executor.record)
            await scenario(group)

        simulation.run(prepare)

    def jobs_on(
        self, group: simulation.Group, executor: simulation.Executor
    ) -> set[str]:
        """Returns the jobs of which an executor has started tasks."""
        return {task.partition('.')[0] for task in executor.tickets}

    def test_report(self) -> None:
        body = {
            'service': 'line',
            'address': '10.0.0.1:80',
            'zone': 'z1',
            'state': 'ready',
            'capacity': {'cpu': 1000, 'memMb': 1000, 'gpu': 8},
            'sequence': 4,
            'coldRemainingMs': 900,
        }
        found = findings.Findings()
        report = reports.parse_report('i-1', wire.encode(body), found)
        self.assertEqual(900, report.cold_remaining_ms)


class TestGuarantees(testtools.TestCase):
    """Guarantees that need an evacuated zone are named."""

    def test_customers(self) -> None:
        # Both guarantees together need 32 accelerators.
        state = builders.state(
            *(builders.worker(f'a{n}') for n in range(2)),
            *(builders.worker(f'b{n}', zone='z2') for n in range(2)),
            *(builders.worker(f'c{n}', zone='z3') for n in range(2)),
        )
        self.assertEqual([], guarantees.unproven_customers(state))
        order(state, 'z1')
        self.assertEqual([], guarantees.unproven_customers(state))
        order(state, 'z2')
        self.assertEqual(
            ['growers', 'pickers'], guarantees.unproven_customers(state)
        )
        order(state, 'z1', end=True)
        self.assertEqual([], guarantees.unproven_customers(state))


class TestNativePlacement(testtools.TestCase):
    """Gangs on workers that report are not placed in an evacuated zone."""

    def setUp(self) -> None:
        super().setUp()
        self.placement = fake_placement.FakePlacement()
        # Zones `z0` to `z2`, 64 accelerators each.
        fake_placement.add_fleet(self.placement, workers=24)
        self.placement.apply(
            intent_builders.customer('a'),
            intent_builders.guarantee(
                'g', customer='a', accelerators=64, count=2
            ),
        )
        self.placement.round()

    def order(self, zone: str, *, end: bool = False) -> None:
        """Applies an order and runs a round."""
        order(self.placement.state.work, zone, end=end)
        self.placement.round()

    def submit(self, name: str, members: int) -> None:
        """Submits a checkpointable job and lets it start."""
        self.placement.submit(
            intent_builders.job(
                name, customer='a', members=members, checkpointable=True
            ),
            run_ms=1_000_000,
        )
        self.placement.run_until(self.placement.now_ms + 2000)

    def zones(self, name: str) -> set[str]:
        """Returns the zones that a job is placed in."""
        state = self.placement.state
        return {
            state.get(intent.ObjectKind.WORKER, worker).worker.zone
            for worker in state.worker_names(state.jobs.get(name))
        }

    def test_nothing_starts_and_running_gangs_stay(self) -> None:
        # Guards against gangs that are stopped in the zone as if labels had
        # excluded its workers.
        self.submit('first', 150)
        self.assertEqual({'z0', 'z1', 'z2'}, self.zones('first'))
        self.order('z1')
        self.submit('second', 30)
        status = self.placement.state.jobs.get('first')
        self.assertEqual(intent.AllotmentState.RUNNING, status.allotment)
        second = self.placement.state.jobs.get('second')
        if second.phase == intent.JobPhase.PLACED:
            self.assertNotIn('z1', self.zones('second'))

    def test_zone_is_used_again_after_the_end(self) -> None:
        self.order('z1')
        # The next leader starts with the replicated state.
        self.placement.change_leader()
        self.submit('part', 128)
        self.assertEqual({'z0', 'z2'}, self.zones('part'))
        self.submit('more', 8)
        status = self.placement.state.jobs.get('more')
        self.assertEqual(intent.JobPhase.WAITING, status.phase)
        self.order('z1', end=True)
        self.placement.run_until(self.placement.now_ms + 2000)
        self.assertEqual({'z1'}, self.zones('more'))

    def test_gang_that_has_not_started_yet(self) -> None:
        # Guards against a gang that was placed before the order and starts
        # seconds after it.
        self.placement.submit(
            intent_builders.job(
                'late', customer='a', members=192, restartable=True
            ),
            run_ms=1000,
        )
        self.placement.round()
        status = self.placement.state.jobs.get('late')
        self.assertEqual(intent.AllotmentState.HOLDING, status.allotment)
        self.order('z1')
        status = self.placement.state.jobs.get('late')
        self.assertEqual(intent.AllotmentState.STOPPING, status.allotment)

    def test_worker_that_registers_later(self) -> None:
        self.order('z9')
        self.placement.register(
            intent_builders.stored(
                'workers',
                'late',
                zone='z9',
                rack='r9',
                accelerators=8,
                processors=64,
                memory_mb=262_144,
                own_labels={'kind': 'x'},
            )
        )
        self.submit('job', 1)
        self.placement.submit(
            intent_builders.job(
                'wants', customer='a', selector='kind=x', restartable=True
            ),
            run_ms=1000,
        )
        self.placement.run_until(self.placement.now_ms + 2000)
        status = self.placement.state.jobs.get('wants')
        self.assertEqual(intent.JobPhase.WAITING, status.phase)

    def test_guarantee_that_needs_the_zone(self) -> None:
        # The zones that are left hold both shapes, then only one.
        self.assertEqual({}, self.placement.scheduler.infeasible_shapes())
        self.order('z1')
        self.assertEqual({}, self.placement.scheduler.infeasible_shapes())
        self.order('z2')
        self.assertEqual(
            {'g': 1}, self.placement.scheduler.infeasible_shapes()
        )
        self.order('z1', end=True)
        self.assertEqual({}, self.placement.scheduler.infeasible_shapes())


class TestLeaders(testtools.TestCase):
    """Whoever leads enforces an order that was recorded."""

    def test_start_that_is_recorded_but_not_sent(self) -> None:
        # Guards against a start that the next leader repeats although the
        # zone of its worker has been evacuated since it was recorded.
        async def scenario(group: simulation.Group) -> None:
            inside, outside = group.executors
            await curio.sleep(1)
            group.submit('a')
            builders.start(group.state, builders.plan(group.state))
            (run,) = group.state.all_live_runs()
            evacuated, other = (
                (inside, outside)
                if run.task.worker_id == inside.name
                else (outside, inside)
            )
            group.evacuate(evacuated.zone)
            await group.elect()
            await curio.sleep(5)
            self.assertEqual([('a.0.0.0', 2)], group.observer.starts)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario, zones=('z1', 'z2'))

    def test_gang_of_which_one_member_is_withheld(self) -> None:
        # Guards against a gang that waits for a member whose start was
        # withheld, and against one that never starts again.
        async def scenario(group: simulation.Group) -> None:
            await curio.sleep(1)
            group.submit('a', count=2, accelerators=8, gang=True)
            builders.start(group.state, builders.plan(group.state))
            group.evacuate('z1')
            await group.elect()
            await curio.sleep(5)
            self.assertNotIn(('a.0.0.0', 2), group.observer.starts)
            self.assertEqual([], group.state.all_live_runs())
            group.evacuate('z1', end=True)
            await curio.sleep(10)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario, zones=('z1', 'z2'))

    def test_start_without_an_answer(self) -> None:
        # Guards against a start that was sent before the order, got no answer
        # and is carried out long after it: a stop must be carried out first.
        async def scenario(group: simulation.Group) -> None:
            group.late_s = (6.0, 6.0)
            group.fate = lambda executor, path: (
                Fate.LATE
                if path == START and executor.zone == 'z1'
                else Fate.ANSWERED
            )
            group.submit('a', count=2, accelerators=8, work_ms=3000)
            await curio.sleep(0.1)
            group.evacuate('z1')
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario, zones=('z1', 'z2'))


class TestRandomEvacuations(testtools.TestCase):
    """Evacuations beside late orders, cuts and changes of the leader."""

    def play(self, seed: int) -> list[str]:
        """Plays one seed; returns violated guarantees."""
        broken: list[str] = []

        async def scenario(group: simulation.Group) -> None:
            rng = group.rng
            late = rng.uniform(0.05, 0.3)
            group.fate = lambda *_: (
                rng.choice([Fate.LATE, Fate.ANSWER_LOST])
                if rng.random() < late
                else Fate.ANSWERED
            )
            for number in range(30):
                gang = rng.random() < 0.3
                group.submit(
                    f'{number:016x}',
                    count=rng.randint(1, 3),
                    accelerators=rng.choice([1, 4, 8]),
                    work_ms=rng.randint(200, 4000),
                    queue=rng.choice(['urgent', 'usual', 'patient']),
                    gang=gang,
                )
                await curio.sleep(rng.expovariate(2.0))
                kind = rng.random()
                if kind < 0.2:
                    group.evacuate(rng.choice(['z1', 'z2']))
                elif kind < 0.4:
                    for zone in list(group.observer.evacuated_s):
                        group.evacuate(zone, end=True)
                elif kind < 0.6:
                    await group.elect()
                elif kind < 0.7:
                    await group.lapse(rng.uniform(0.1, 2.0))
                elif kind < 0.8:
                    await group.restart(
                        rng.choice(group.executors), rng.uniform(0.0, 2.0)
                    )
            group.fate = lambda *_: Fate.ANSWERED
            for zone in list(group.observer.evacuated_s):
                group.evacuate(zone, end=True)
            await curio.sleep(120)
            if group.job_states() != {'completed': 30}:
                broken.append(str(group.job_states()))
            broken.extend(group.observer.broken)

        simulation.run(scenario, seed=seed, executors=4, zones=('z1', 'z2'))
        return broken

    def test_seeds(self) -> None:
        broken = {
            seed: found for seed in range(1, 7) if (found := self.play(seed))
        }
        self.assertEqual({}, broken)
