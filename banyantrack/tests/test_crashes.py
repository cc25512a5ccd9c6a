"""Tests of why workers are lost, and of suspects in crashes."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import testtools

from banyantrack.core import codec
from banyantrack.generated.workload import ttypes
from banyantrack.testing import work_builders as builders
from banyantrack.workload import crashes
from banyantrack.workload import layout
from banyantrack.workload import state as state_module
from banyantrack.workload import worker_client

Role = ttypes.CrashRole
Cause = crashes.LossCause
Silence = worker_client.Silence


def _contact_loss(
    *silences: Silence, interval_s: float = 0.15
) -> crashes.ContactLoss:
    contact_loss = crashes.ContactLoss(10.0)
    for number, silence in enumerate(silences):
        contact_loss.note(silence, 10.0 + number * interval_s)
    return contact_loss


def _run(job_id: str, index: int = 0) -> layout.RunId:
    return layout.RunId(layout.TaskId(job_id, 0, 0, index), 1)


class TestLossCause(testtools.TestCase):
    """Only a process that ended on a reachable host has crashed."""

    def cause(
        self,
        *silences: Silence,
        replaced: bool = False,
        announced: bool = False,
    ) -> Cause:
        return crashes.loss_cause(
            _contact_loss(*silences) if silences else None,
            replaced=replaced,
            announced=announced,
        )

    def test_process_ended_and_another_one_runs(self) -> None:
        self.assertIs(Cause.CRASH, self.cause(Silence.CLOSED, replaced=True))

    def test_process_ended_and_its_port_is_closed(self) -> None:
        self.assertIs(Cause.CRASH, self.cause(Silence.CLOSED, Silence.REFUSED))

    def test_host_cut_off_or_without_power(self) -> None:
        self.assertIs(
            Cause.SILENCE, self.cause(Silence.TIMEOUT, replaced=True)
        )

    def test_crash_behind_a_cut(self) -> None:
        self.assertIs(
            Cause.SILENCE,
            self.cause(Silence.CLOSED, Silence.TIMEOUT, replaced=True),
        )

    def test_crash_on_links_that_lose_packets(self) -> None:
        self.assertIs(
            Cause.CRASH,
            self.cause(Silence.CLOSED, Silence.TIMEOUT, Silence.REFUSED),
        )

    def test_crash_behind_a_cut_that_ends_before_the_restart(self) -> None:
        contact_loss = _contact_loss(
            Silence.CLOSED,
            Silence.TIMEOUT,
            Silence.REFUSED,
            interval_s=1.0,
        )
        self.assertIs(
            Cause.SILENCE,
            crashes.loss_cause(contact_loss, replaced=True, announced=False),
        )

    def test_connection_reset_between_live_processes(self) -> None:
        self.assertIs(Cause.SILENCE, self.cause(Silence.CLOSED))

    def test_worker_that_announced_that_it_leaves(self) -> None:
        self.assertIs(
            Cause.LEFT,
            self.cause(Silence.REFUSED, replaced=True, announced=True),
        )

    def test_restart_that_no_leader_observed(self) -> None:
        self.assertIs(Cause.RESTART, self.cause(replaced=True))


class TestCrashRoles(testtools.TestCase):
    """Suspects are the runs after whose start the worker crashed."""

    def roles(
        self,
        ages_s: dict[layout.RunId, float],
        *,
        observed: bool = True,
        replaced: bool = True,
        common_cause: bool = False,
    ) -> list[Role]:
        found = crashes.crash_roles(
            ages_s,
            observed=observed,
            replaced=replaced,
            common_cause=common_cause,
        )
        return [found[run] for run in ages_s]

    def test_neighbours_that_have_run_for_long_are_not_suspects(self) -> None:
        ages_s = {_run('a'): 0.01, _run('b'): 3.0, _run('c'): 60.0}
        self.assertEqual(
            [Role.SOLE_SUSPECT, Role.BESIDE, Role.BESIDE], self.roles(ages_s)
        )

    def test_run_that_lasted_a_while_is_no_proof(self) -> None:
        self.assertEqual([Role.SUSPECT], self.roles({_run('a'): 0.8}))

    def test_two_jobs_that_started_together(self) -> None:
        ages_s = {_run('a'): 0.01, _run('b'): 0.02}
        self.assertEqual([Role.SUSPECT, Role.SUSPECT], self.roles(ages_s))

    def test_tasks_of_one_job_share_its_fate(self) -> None:
        ages_s = {_run('a', 0): 0.01, _run('a', 1): 0.02}
        self.assertEqual([Role.SOLE_SUSPECT] * 2, self.roles(ages_s))

    def test_hosts_that_crash_together_without_a_suspect(self) -> None:
        self.assertEqual(
            [Role.BESIDE], self.roles({_run('a'): 0.01}, common_cause=True)
        )

    def test_crash_that_no_leader_observed_is_never_proof(self) -> None:
        ages_s = {_run('a'): 3.0, _run('b'): 4.5}
        self.assertEqual(
            [Role.SUSPECT, Role.BESIDE], self.roles(ages_s, observed=False)
        )

    def test_restart_long_after_the_last_start(self) -> None:
        self.assertEqual(
            [Role.BESIDE], self.roles({_run('a'): 9.0}, observed=False)
        )

    @hypothesis.given(
        strategies.dictionaries(
            strategies.builds(
                _run, strategies.sampled_from('abc'), strategies.integers(0, 4)
            ),
            strategies.floats(0, 100),
        ),
        strategies.booleans(),
        strategies.booleans(),
        strategies.booleans(),
    )
    def test_each_run_has_a_role_and_proof_names_one_job(
        self,
        ages_s: dict[layout.RunId, float],
        observed: bool,
        replaced: bool,
        common_cause: bool,
    ) -> None:
        roles = crashes.crash_roles(
            ages_s,
            observed=observed,
            replaced=replaced,
            common_cause=common_cause,
        )
        self.assertEqual(ages_s.keys(), roles.keys())
        sole = {r for r, role in roles.items() if role == Role.SOLE_SUSPECT}
        self.assertLessEqual(len({run.task.job_id for run in sole}), 1)
        if sole:
            self.assertTrue(observed and replaced and not common_cause)
            self.assertNotIn(Role.SUSPECT, roles.values())


class TestGivingUp(testtools.TestCase):
    """A job ends only after crashes that nothing else explains."""

    def gives_up(
        self, role: Role, host: str, *earlier: str, sole: bool = True
    ) -> bool:
        found = [builders.suspect_crash(h, sole=sole) for h in earlier]
        task = ttypes.TaskRecord(suspect_crashes=found or None)
        return crashes.must_give_up(task, role, host)

    def test_first_crash(self) -> None:
        self.assertFalse(self.gives_up(Role.SOLE_SUSPECT, 'm1'))

    def test_second_host_with_no_other_suspect(self) -> None:
        self.assertTrue(self.gives_up(Role.SOLE_SUSPECT, 'm2', 'm1'))

    def test_second_host_after_a_crash_with_other_suspects(self) -> None:
        self.assertFalse(
            self.gives_up(Role.SOLE_SUSPECT, 'm2', 'm1', sole=False)
        )
        self.assertTrue(
            self.gives_up(Role.SOLE_SUSPECT, 'm3', 'm1', 'm2', sole=False)
        )

    def test_second_crash_of_one_host(self) -> None:
        self.assertFalse(self.gives_up(Role.SOLE_SUSPECT, 'm1', 'm1'))

    def test_second_crash_with_other_suspects(self) -> None:
        self.assertFalse(self.gives_up(Role.SUSPECT, 'm2', 'm1'))

    def test_third_crash_with_other_suspects(self) -> None:
        self.assertFalse(self.gives_up(Role.SUSPECT, 'm3', 'm1', 'm2'))

    def test_third_crash_of_one_host_with_no_other_suspect(self) -> None:
        self.assertTrue(self.gives_up(Role.SOLE_SUSPECT, 'm1', 'm1', 'm1'))

    def test_fourth_crash(self) -> None:
        self.assertTrue(self.gives_up(Role.SUSPECT, 'm4', 'm1', 'm2', 'm3'))

    def test_neighbour_of_any_number_of_crashes(self) -> None:
        self.assertFalse(self.gives_up(Role.BESIDE, 'm4', 'm1', 'm2', 'm3'))


class TestMemory(testtools.TestCase):
    """What is known of a task is part of the replicated state."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state(
            builders.worker('w1'), builders.worker('w2')
        )
        builders.submit(self.state, builders.job('a'))
        self.key = layout.TaskId('a', 0, 0, 0)

    def crash(self, host: str, *, give_up: bool = False) -> None:
        """Starts the task; its worker crashes, and it is the suspect."""
        (start,) = builders.start(self.state, builders.plan(self.state))
        builders.end(
            self.state,
            start,
            ttypes.EndKind.LOST,
            crash_role=Role.SOLE_SUSPECT,
            crashed_machine=host,
            give_up=give_up,
        )

    def hosts(self, task: ttypes.TaskRecord) -> list[str]:
        """Returns the hosts that crashed with a task as a suspect."""
        return [crash.host for crash in task.suspect_crashes]

    def test_crashes_outlive_a_snapshot(self) -> None:
        self.crash('m-w1')
        data = codec.encode(self.state.snapshot())
        restored = state_module.WorkState()
        restored.restore(codec.decode(ttypes.WorkSnapshot, data))
        self.assertEqual(['m-w1'], self.hosts(restored.task(self.key)))

    def test_job_that_is_given_up_has_failed(self) -> None:
        self.crash('m-w1')
        self.crash('m-w2', give_up=True)
        self.assertEqual(ttypes.JobState.FAILED, self.state.jobs['a'].state)
        self.assertFalse(self.state.active)

    def test_cause_that_is_proved_clears_the_other_suspects(self) -> None:
        builders.submit(self.state, builders.job('b'))
        planned = builders.plan(self.state).starts
        self.state.apply(ttypes.WorkCommand(starts=planned), builders.NOW_MS)
        for start in planned:
            builders.end(
                self.state,
                start,
                ttypes.EndKind.LOST,
                crash_role=Role.SUSPECT,
                crashed_machine='m-w1',
            )
        innocent = self.state.task(layout.TaskId('b', 0, 0, 0))
        self.assertEqual(['m-w1'], self.hosts(innocent))
        (guilty, _) = builders.start(self.state, builders.plan(self.state))
        self.assertEqual('a', guilty.task.job_id)
        builders.end(
            self.state,
            guilty,
            ttypes.EndKind.LOST,
            crash_role=Role.SOLE_SUSPECT,
            crashed_machine='m-w2',
            give_up=True,
        )
        self.assertFalse(crashes.is_suspect(innocent))

    def test_other_crashes_of_a_cleared_suspect_still_count(self) -> None:
        key = layout.TaskId('b', 0, 0, 0)
        builders.submit(self.state, builders.job('b'))
        shared = builders.suspect_crash('m-w1', sole=False)
        other = builders.suspect_crash('m-w1', incarnation=4)
        self.state.task(key).suspect_crashes = [shared, other]
        self.state.task(self.key).suspect_crashes = [shared]
        (start, _) = builders.start(self.state, builders.plan(self.state))
        builders.end(
            self.state,
            start,
            ttypes.EndKind.LOST,
            crash_role=Role.SOLE_SUSPECT,
            crashed_machine='m-w2',
            give_up=True,
        )
        self.assertEqual([other], self.state.task(key).suspect_crashes)

    def test_run_that_lasts_clears_its_task(self) -> None:
        self.crash('m-w1')
        (start,) = builders.start(self.state, builders.plan(self.state))
        builders.end(
            self.state,
            start,
            ttypes.EndKind.STOPPED,
            now_ms=builders.NOW_MS + state_module.CLEARED_AFTER_MS,
        )
        self.assertFalse(crashes.is_suspect(self.state.task(self.key)))

    def test_run_that_ends_soon_clears_nothing(self) -> None:
        self.crash('m-w1')
        (start,) = builders.start(self.state, builders.plan(self.state))
        builders.end(self.state, start, ttypes.EndKind.STOPPED)
        self.assertTrue(crashes.is_suspect(self.state.task(self.key)))

    def test_snapshot_of_an_earlier_build_takes_nothing_away(self) -> None:
        self.crash('m-w1')
        snapshot = self.state.snapshot()
        data = codec.encode(builders.without_crashes(snapshot))
        self.state.restore(codec.decode(ttypes.WorkSnapshot, data))
        self.assertEqual(['m-w1'], self.hosts(self.state.task(self.key)))

    def test_snapshot_of_this_build_decides(self) -> None:
        cleared = codec.encode(self.state.snapshot())
        self.crash('m-w1')
        self.state.restore(codec.decode(ttypes.WorkSnapshot, cleared))
        self.assertFalse(crashes.is_suspect(self.state.task(self.key)))

    def test_records_of_an_earlier_build(self) -> None:
        # An earlier build writes none of the optional fields.
        data = codec.encode(self.state.snapshot())
        restored = state_module.WorkState()
        restored.restore(codec.decode(ttypes.WorkSnapshot, data))
        self.assertFalse(crashes.is_suspect(restored.task(self.key)))
        (start,) = builders.start(restored, builders.plan(restored))
        builders.end(restored, start, ttypes.EndKind.LOST)
        self.assertFalse(crashes.is_suspect(restored.task(self.key)))


class TestIsolation(testtools.TestCase):
    """Suspects run where a crash costs little and proves something."""

    def setUp(self) -> None:
        super().setUp()
        self.state = builders.state(
            *(builders.worker(f'w{number}') for number in range(4))
        )

    def suspect(
        self,
        job_id: str,
        *hosts: str,
        step: ttypes.Step | None = None,
        last_start_ms: int = 0,
    ) -> None:
        """Submits a job whose first task crashed hosts.

        Args:
            job_id: Its id.
            *hosts: The hosts.
            step: Its step; by default one of one task.
            last_start_ms: Time of the last start of the task.
        """
        steps = () if step is None else (step,)
        builders.submit(self.state, builders.job(job_id, *steps))
        task = self.state.task(layout.TaskId(job_id, 0, 0, 0))
        task.suspect_crashes = [builders.suspect_crash(host) for host in hosts]
        task.started_ms = last_start_ms

    def busy_pool_and_suspect(self, *, last_start_ms: int) -> None:
        """Leaves room for four tasks and submits one that crashed two hosts.

        Args:
            last_start_ms: Time of its last start.
        """
        builders.submit(self.state, builders.job('b', builders.step(count=28)))
        self.start()
        self.suspect('a', 'm-none', 'm-other', last_start_ms=last_start_ms)

    def start(
        self, now_ms: int = builders.NOW_MS
    ) -> dict[tuple[str, int], str]:
        """Runs a round; returns workers by job and index of the task."""
        planned = builders.plan(self.state, now_ms=now_ms)
        self.state.apply(ttypes.WorkCommand(starts=planned.starts), now_ms)
        return {
            (start.task.job_id, start.task.index): start.worker_id
            for start in planned.starts
        }

    def test_suspect_runs_on_another_host(self) -> None:
        self.suspect('a', 'm-w0')
        self.assertNotEqual('w0', self.start()['a', 0])

    def test_suspect_runs_beside_as_little_work_as_possible(self) -> None:
        builders.submit(self.state, builders.job('b', builders.step(count=20)))
        busy = set(self.start().values())
        self.suspect('a', 'm-none')
        later_ms = builders.NOW_MS + 10_000
        self.assertNotIn(self.start(later_ms)['a', 0], busy)

    def test_no_other_job_starts_beside_a_suspect_on_probation(self) -> None:
        self.suspect('a', 'm-w0')
        worker = self.start()['a', 0]
        builders.submit(
            self.state,
            builders.job('b', builders.step(count=32)),
            name='urgent',
        )
        soon = self.start(builders.NOW_MS + 500)
        self.assertTrue(soon)
        self.assertNotIn(worker, soon.values())
        later = self.start(builders.NOW_MS + 2000)
        self.assertIn(worker, later.values())

    def test_suspect_leaves_its_data_rather_than_crash_a_host_twice(
        self,
    ) -> None:
        for number, rack in enumerate(('r1', 'r2', 'r2', 'r2')):
            worker = builders.worker(f'w{number}', labels=['a', rack])
            self.state.apply(
                ttypes.WorkCommand(workers=[worker]), builders.NOW_MS
            )
        self.suspect('a', 'm-w0', step=builders.step(data_rack='r1'))
        self.assertNotEqual('w0', self.start()['a', 0])

    def test_suspect_runs_on_a_crashed_host_if_there_is_no_other(
        self,
    ) -> None:
        self.state = builders.state(builders.worker('w0'))
        self.suspect('a', 'm-w0')
        self.assertEqual('w0', self.start()['a', 0])

    def test_other_tasks_of_the_step_start_as_usual(self) -> None:
        self.suspect('a', 'm-w0', step=builders.step(count=4))
        placed = self.start()
        self.assertEqual({('a', index) for index in range(4)}, set(placed))

    def test_suspects_and_others_share_the_limit_of_a_worker(self) -> None:
        self.state = builders.state(builders.worker('w0'))
        self.suspect(
            'a', 'm-none', step=builders.step(count=4, max_per_worker=2)
        )
        self.assertEqual(2, len(self.start()))

    def test_whole_gang_starts_with_its_suspect_alone(self) -> None:
        gang = builders.step(count=3, accelerators=8, gang=True)
        builders.submit(self.state, builders.job('b'))
        self.suspect('a', 'm-w3', step=gang)
        placed = self.start(builders.NOW_MS + 1)
        self.assertEqual(3, sum(job == 'a' for job, _ in placed))
        others = {w for (job, _), w in placed.items() if job == 'b'}
        self.assertNotIn(placed['a', 0], others | {'w3'})

    def test_suspects_of_two_jobs_run_on_two_hosts(self) -> None:
        self.suspect('a', 'm-w0')
        self.suspect('b', 'm-w0')
        placed = self.start()
        self.assertEqual(2, len(set(placed.values())))

    def test_many_suspects_leave_room_for_an_urgent_gang(self) -> None:
        self.state = builders.state(
            *(builders.worker(f'w{number}') for number in range(8))
        )
        for name in 'abcdef':
            self.suspect(name, 'm-none')
        self.assertEqual(6, len(self.start()))
        gang = builders.step(count=5, accelerators=8, gang=True)
        builders.submit(self.state, builders.job('g', gang), name='urgent')
        self.assertEqual(5, len(self.start(builders.NOW_MS + 500)))

    def test_task_that_crashed_two_hosts_runs_apart_in_any_case(self) -> None:
        for name in 'abc':
            self.suspect(name, 'm-none')
        self.suspect('d', 'm-none', 'm-other')
        worker = self.start()['d', 0]
        builders.submit(self.state, builders.job('e', builders.step(count=32)))
        soon = self.start(builders.NOW_MS + 500)
        self.assertTrue(soon)
        self.assertNotIn(worker, soon.values())

    def test_task_that_crashed_two_hosts_waits_for_a_quiet_worker(
        self,
    ) -> None:
        self.busy_pool_and_suspect(last_start_ms=builders.NOW_MS - 4000)
        builders.submit(self.state, builders.job('c', builders.step(count=4)))
        # The only worker with room is kept for it, and is not quiet yet.
        self.assertEqual({}, self.start(builders.NOW_MS + 100))
        self.assertIn(('a', 0), self.start(builders.NOW_MS + 1600))

    def test_urgent_job_starts_on_a_worker_that_a_suspect_waits_for(
        self,
    ) -> None:
        self.busy_pool_and_suspect(last_start_ms=builders.NOW_MS - 4000)
        builders.submit(self.state, builders.job('c'), name='urgent')
        self.assertEqual({('c', 0)}, set(self.start(builders.NOW_MS + 100)))

    def test_task_that_crashed_two_hosts_does_not_wait_for_ever(self) -> None:
        self.busy_pool_and_suspect(last_start_ms=builders.NOW_MS - 11_000)
        self.assertIn(('a', 0), self.start(builders.NOW_MS + 100))

    def test_suspect_starts_although_every_host_is_in_use(self) -> None:
        builders.submit(self.state, builders.job('b', builders.step(count=28)))
        self.start()
        self.suspect('a', 'm-none')
        self.assertIn(('a', 0), self.start(builders.NOW_MS + 100))
