"""Tests of work sessions across lapses of the lease and changes of leader."""

from __future__ import annotations

import collections.abc
from unittest import mock

import curio
import testtools

from banyantrack.daemons import work_session
from banyantrack.generated.workload import ttypes
from banyantrack.platform import workers
from banyantrack.testing import fake_executor
from banyantrack.testing import work_builders as builders
from banyantrack.testing import work_simulation as simulation

HOLD = '/v1/hold'
START = '/v1/run-start'
STOP = '/v1/run-stop'
Fate = simulation.Fate


def _fate_of(
    order: str, fates: list[Fate]
) -> collections.abc.Callable[[simulation.Executor, str], Fate]:
    """Returns a `Group.fate` for the next calls of one kind of order.

    Args:
        order: Path of the order.
        fates: Fates of the next calls, the last one first; taken out one by
            one. All other calls are answered.
    """

    def fate(_: simulation.Executor, path: str) -> Fate:
        return fates.pop() if path == order and fates else Fate.ANSWERED

    return fate


class TestPauses(testtools.TestCase):
    """A start without an answer outlives pauses of the leader."""

    def check_pause(self, name: str, duration_s: float) -> None:
        """Lets a leader pause after a start whose answer is missing.

        Args:
            name: Method of the group that makes the pause.
            duration_s: Its duration.
        """

        async def scenario(group: simulation.Group) -> None:
            fates = [Fate.LATE]

            def fate(_: simulation.Executor, path: str) -> Fate:
                if path == START and fates:
                    return fates.pop()
                return Fate.ANSWERED

            group.fate = fate
            await curio.sleep(0.5)
            group.submit('a', accelerators=8, work_ms=15_000)
            await curio.sleep(0.1)
            self.assertEqual([], fates)
            await getattr(group, name)(duration_s)
            group.submit('b', accelerators=8, queue='urgent')
            await curio.sleep(50)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 2}, group.job_states())

        simulation.run(scenario, executors=3)

    def test_lease_that_lapses(self) -> None:
        # Guards against a task that runs twice: a session that is opened
        # anew in the same term takes its unanswered starts for never begun,
        # since its first list of runs fences only starts of earlier terms.
        for duration_s in (0.01, 0.05, 0.3, 2.0):
            self.check_pause('lapse', duration_s)

    def test_hand_over_that_fails(self) -> None:
        # The same, where the leader was not ready during a hand-over.
        for duration_s in (0.05, 0.5, 2.0):
            self.check_pause('fail_hand_over', duration_s)


class TestAttempts(testtools.TestCase):
    """A start whose answer is lost is repeated only while that helps."""

    def test_run_that_the_worker_lists(self) -> None:
        # Guards against work that is thrown away: after three attempts
        # without an answer the run was stopped, though it had been listed.
        async def scenario(group: simulation.Group) -> None:
            group.fate = lambda _, path: (
                Fate.ANSWER_LOST if path == START else Fate.ANSWERED
            )
            group.submit('a', work_ms=5000)
            await curio.sleep(10)
            self.assertEqual([('a.0.0.0', 1)], group.observer.starts)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_attempt_that_reaches_the_next_incarnation(self) -> None:
        # Guards against a worker above its capacity: a listed run was started
        # again on the worker's next incarnation, where it did not count.
        async def scenario(group: simulation.Group) -> None:
            (executor,) = group.executors
            lost = [Fate.ANSWER_LOST]

            def fate(_: simulation.Executor, path: str) -> Fate:
                return lost.pop() if lost and path == START else Fate.ANSWERED

            group.fate = fate
            for job in 'abc':
                group.submit(job, accelerators=8, work_ms=5000)
            # The list after the timeout of the start has shown the run.
            await curio.sleep(workers.ORDER_TIMEOUT_S + 0.05)
            await group.restart(executor, 0.2)
            await curio.sleep(30)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 3}, group.job_states())

        simulation.run(scenario, executors=1)


class TestManyEnds(testtools.TestCase):
    """An executor lists a limited number of ends at a time."""

    def check_ends(self, *, new_leader: bool) -> None:
        """Lets more tasks end in one silence than a list can hold."""

        async def scenario(group: simulation.Group) -> None:
            group.submit(
                'a', count=700, accelerators=0, cpu_milli=50, work_ms=5000
            )
            while len(group.observer.starts) < 700:
                await curio.sleep(0.1)
            # Control is gone while they end, for less than a lease.
            group.fate = lambda *_: Fate.REFUSED
            await curio.sleep(5.0)
            if new_leader:
                await group.elect()
            group.fate = lambda *_: Fate.ANSWERED
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual(700, len(group.observer.starts))
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario, executors=1)

    def test_ends_at_a_new_leader(self) -> None:
        # Guards against tasks that run again after they were done: a leader
        # took runs beyond the limit of the list for never begun.
        self.check_ends(new_leader=True)

    def test_ends_at_the_same_leader(self) -> None:
        # The same, for runs that this leader has seen alive before.
        self.check_ends(new_leader=False)


class TestUnexpectedErrors(testtools.TestCase):
    """A session that fails ends with its term."""

    def test_round_that_raises(self) -> None:
        # Guards against processes that end by themselves, one leader after
        # the other, and against two sessions with one fencing token.
        async def scenario(group: simulation.Group) -> None:
            group.submit('a', work_ms=3000)
            await curio.sleep(0.5)
            member = group.leader

            async def fail(*_: object) -> None:
                raise ValueError('odd')

            with mock.patch.object(work_session.WorkSession, '_round', fail):
                await curio.sleep(1.0)
            self.assertFalse(member.is_leader)
            await group.elect()
            await curio.sleep(10)
            self.assertEqual([('a.0.0.0', 1)], group.observer.starts)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)


class TestClocks(testtools.TestCase):
    """Only an executor's own answers tell the time on its clock."""

    def test_report_with_a_clock_that_is_ahead(self) -> None:
        # Guards against a task that runs twice: the lease of a silent
        # executor counted as over, by the clock in an entry of another
        # writer.
        async def scenario(group: simulation.Group) -> None:
            group.submit('a', accelerators=8, work_ms=10_000)
            await curio.sleep(1.0)
            (runner,) = [e for e in group.executors if e.running]
            await group.report(runner, clock_ms=2**62)
            group.fate = lambda executor, _: (
                Fate.REFUSED if executor is runner else Fate.ANSWERED
            )
            await curio.sleep(3.0)
            group.fate = lambda *_: Fate.ANSWERED
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual([('a.0.0.0', 1)], group.observer.starts)

        simulation.run(scenario)


class TestInheritedLeases(testtools.TestCase):
    """A previous leader's lease counts until the worker's answer."""

    def test_cut_after_the_first_list(self) -> None:
        # Guards against a task that runs twice: with no renewal of its own
        # sent yet, the leader took the lease of its predecessor for over.
        async def scenario(group: simulation.Group) -> None:
            group.submit('a', accelerators=8, work_ms=12_000)
            await curio.sleep(1.0)
            (runner,) = [e for e in group.executors if e.running]
            holds: list[str] = []

            def fate(executor: simulation.Executor, path: str) -> Fate:
                if executor is not runner:
                    return Fate.ANSWERED
                holds.append(path)
                return Fate.ANSWERED if len(holds) == 1 else Fate.REFUSED

            group.fate = fate
            await group.elect()
            await curio.sleep(3.0)
            group.fate = lambda *_: Fate.ANSWERED
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual([('a.0.0.0', 1)], group.observer.starts)

        simulation.run(scenario)


class TestAcknowledgements(testtools.TestCase):
    """An end is acknowledged only to the incarnation that has listed it."""

    def test_renewal_that_reaches_the_next_incarnation(self) -> None:
        # Guards against a task that runs again after it was done: a renewal
        # for the earlier incarnation acknowledged an end that the next one,
        # which numbers its ends anew, had not listed yet.
        async def scenario(group: simulation.Group) -> None:
            (executor,) = group.executors
            group.submit('a', count=3, work_ms=200)
            # The leader follows it through the crash.
            group.submit('b', work_ms=2000)
            await curio.sleep(1.0)
            late: list[Fate] = []
            group.late_s = (3.0, 3.0)

            def fate(_: simulation.Executor, path: str) -> Fate:
                return late[0] if late and path == HOLD else Fate.ANSWERED

            group.fate = fate
            await executor.crash()
            await curio.sleep(0.5)
            await executor.open_again()
            # The leader does not know yet that the next incarnation runs.
            late.append(Fate.LATE)
            await curio.sleep(0.3)
            late.clear()
            group.record(executor.record)
            await curio.sleep(0.3)
            self.assertEqual(['b.0.0.0'], executor.running)
            # Its end is not listed until late renewals are carried out, for
            # less than a lease.
            late.append(Fate.REFUSED)
            await curio.sleep(4.5)
            await group.elect()
            late.clear()
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 2}, group.job_states())

        simulation.run(scenario, executors=1)

    def test_end_that_is_listed_again(self) -> None:
        # Guards against durations that are learned from one run many times,
        # and get longer each time.
        async def scenario(group: simulation.Group) -> None:
            holds: list[str] = []

            def fate(executor: simulation.Executor, path: str) -> Fate:
                if path != HOLD or not executor.has_ends:
                    return Fate.ANSWERED
                holds.append(path)
                # The connection breaks after each list of the end.
                return Fate.REFUSED if len(holds) % 2 else Fate.ANSWERED

            with mock.patch.object(
                work_session.WorkSession, '_handle_end', autospec=True
            ) as handle_end:
                group.fate = fate
                group.submit('a', work_ms=500)
                group.submit('b', work_ms=9000)
                await curio.sleep(4)
            self.assertEqual(1, handle_end.call_count)

        simulation.run(scenario, executors=1)


class TestLateStarts(testtools.TestCase):
    """A start without an answer outlives the lease of its worker."""

    def test_start_that_comes_after_the_lease(self) -> None:
        # Guards against a task that runs twice: its run had been recorded as
        # lost with the lease, and the lease was renewed before the start of
        # that run was carried out.
        async def scenario(group: simulation.Group) -> None:
            group.late_s = (9.0, 9.0)
            called: list[simulation.Executor] = []

            def fate(executor: simulation.Executor, path: str) -> Fate:
                if path == START and not called:
                    called.append(executor)
                    return Fate.LATE
                return Fate.REFUSED if executor in called else Fate.ANSWERED

            group.fate = fate
            group.submit('a', accelerators=8, work_ms=10_000)
            await curio.sleep(8.0)
            # The task runs on the other executor.
            self.assertEqual([('a.0.0.0', 2)], group.observer.starts)
            group.fate = lambda *_: Fate.ANSWERED
            # Work for which the lease is renewed.
            group.submit('b', accelerators=8, work_ms=5000)
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 2}, group.job_states())

        simulation.run(scenario)


class TestMisroutedStarts(testtools.TestCase):
    """A start may be carried out by the next incarnation of its worker."""

    async def misroute(self, group: simulation.Group, work_ms: int) -> None:
        """Starts a task on an executor whose restart is not known yet.

        The start gets no answer, and is carried out after the restart, before
        any other call reaches the next incarnation.
        """
        executor, spare = group.executors
        await self.lose_start(group, work_ms, late_s=0.05)
        self.cut_off(group, executor)
        await curio.sleep(0.05)
        self.assertEqual(['a.0.0.0'], executor.running)
        group.fate = lambda *_: Fate.ANSWERED
        group.record(spare.record)

    async def lose_start(
        self, group: simulation.Group, work_ms: int, *, late_s: float
    ) -> None:
        """Starts a task on an executor, without an answer, and restarts it.

        Args:
            group: The group; its second executor gets no work.
            work_ms: Run time of the task.
            late_s: Time until the start is carried out.
        """
        executor, spare = group.executors
        self.occupy(group, spare)
        # The clock of the next incarnation is far behind this one's.
        await curio.sleep(20)
        fates = [Fate.LATE]
        group.late_s = (late_s, late_s)
        group.late_orders_outlive = True
        group.fate = _fate_of(START, fates)
        group.submit('a', accelerators=8, work_ms=work_ms)
        while fates:
            await curio.sleep(0.001)
        await executor.crash()
        await executor.open_again()

    def cut_off(
        self, group: simulation.Group, executor: simulation.Executor
    ) -> None:
        """Lets no call reach an executor."""
        group.fate = lambda called, _: (
            Fate.REFUSED if called is executor else Fate.ANSWERED
        )

    def occupy(
        self, group: simulation.Group, spare: simulation.Executor
    ) -> None:
        """Lets an executor get no work until it is recorded again."""
        group.record(
            builders.worker(
                spare.name,
                incarnation=spare.incarnation,
                address=spare.address,
                accelerators=0,
            )
        )

    def test_start_for_an_incarnation_that_has_ended(self) -> None:
        # Guards against a task that runs twice: the answer to a start names
        # no incarnation, so one by the next incarnation counted as that of
        # the recorded one, and the run was lost with the latter.
        async def scenario(group: simulation.Group) -> None:
            executor, spare = group.executors
            self.occupy(group, spare)
            await curio.sleep(0.1)
            await executor.crash()
            await executor.open_again()
            group.submit('a', accelerators=8, work_ms=5000)
            await curio.sleep(0.03)
            group.record(spare.record)
            group.record(executor.record)
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_start_is_placed_anew_at_once(self) -> None:
        # Guards against a task that waits for the report of an incarnation
        # to which nothing was sent.
        async def scenario(group: simulation.Group) -> None:
            executor, spare = group.executors
            self.occupy(group, spare)
            await curio.sleep(0.1)
            await executor.crash()
            await executor.open_again()
            group.submit('a', accelerators=8, work_ms=500)
            await curio.sleep(0.03)
            group.record(spare.record)
            await curio.sleep(1.5)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_attempt_that_outlives_its_run(self) -> None:
        # Guards against a task that runs again after it was done: an attempt
        # that was not answered, before the one that was, is carried out by
        # the next incarnation.
        async def scenario(group: simulation.Group) -> None:
            executor = group.executors[0]
            fates = [Fate.LATE]
            group.late_s = (4.0, 4.0)
            group.late_orders_outlive = True
            group.fate = _fate_of(START, fates)
            group.submit('a', accelerators=8, work_ms=500)
            await curio.sleep(2.0)
            self.assertEqual({'completed': 1}, group.job_states())
            await group.restart(executor, down_s=0.5)
            await curio.sleep(10)
            self.assertEqual([], group.observer.broken)
            self.assertEqual([('a.0.0.0', 1)], group.observer.starts)

        simulation.run(scenario, executors=1)

    def test_renewals_for_an_incarnation_that_has_ended(self) -> None:
        # Guards against a run whose lease is renewed although it counts as
        # lost: the next incarnation carried out renewals for the former one,
        # and its clock, which starts anew, granted them in full.
        async def scenario(group: simulation.Group) -> None:
            await self.misroute(group, work_ms=60_000)
            executor, spare = group.executors
            self.occupy(group, spare)
            # Calls reach the next incarnation, which has not reported yet.
            await curio.sleep(3.0)
            self.cut_off(group, executor)
            await curio.sleep(3.5)
            self.assertEqual([], executor.running)

        simulation.run(scenario)

    def test_next_incarnation_that_is_cut_off(self) -> None:
        # Guards against a task that runs twice: it was started anew when the
        # lease of the former incarnation had lapsed, while the next one, which
        # had not reported yet, was cut off and carried out the first start.
        async def scenario(group: simulation.Group) -> None:
            executor, spare = group.executors
            await self.lose_start(group, work_ms=12_000, late_s=4.0)
            await curio.sleep(1.5)
            self.cut_off(group, executor)
            group.record(spare.record)
            await curio.sleep(60)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_next_incarnation_that_answers_before_it_reports(self) -> None:
        # Guards against a task that waits for the report of an incarnation
        # that has already answered a call for the former one.
        async def scenario(group: simulation.Group) -> None:
            await self.misroute(group, work_ms=60_000)
            await curio.sleep(1.0)
            self.assertEqual(2, len(group.observer.starts))
            self.assertEqual([], group.observer.broken)

        simulation.run(scenario)

    def test_next_incarnation_gets_no_work_before_it_reports(self) -> None:
        # Guards against an executor above its capacity, or without the label
        # that a task requires: the next one may be of another kind.
        async def scenario(group: simulation.Group) -> None:
            executor, spare = group.executors
            self.occupy(group, spare)
            await curio.sleep(0.1)
            await executor.crash()
            await executor.open_again()
            group.submit('a', accelerators=8, work_ms=500)
            await curio.sleep(3.0)
            self.assertEqual([], group.observer.starts)
            group.record(executor.record)
            await curio.sleep(1.5)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_run_of_an_earlier_leader(self) -> None:
        # Guards against a task that runs twice: the next leader, which knows
        # nothing of an unanswered start, recorded its run as lost as soon as
        # the next incarnation had reported.
        async def scenario(group: simulation.Group) -> None:
            await self.misroute(group, work_ms=5000)
            await group.elect()
            await curio.sleep(0.05)
            group.record(group.executors[0].record)
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_run_that_the_next_leader_finds(self) -> None:
        # Guards against a task that runs twice: the next leader recorded the
        # run as lost with the incarnation that it was meant for.
        async def scenario(group: simulation.Group) -> None:
            await self.misroute(group, work_ms=5000)
            group.record(group.executors[0].record)
            await group.elect()
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_run_whose_executor_is_silent(self) -> None:
        # Guards against a task that waits for ever for its former executor.
        async def scenario(group: simulation.Group) -> None:
            await self.misroute(group, work_ms=5000)
            silent = group.executors[0]
            group.fate = lambda executor, _: (
                Fate.REFUSED if executor is silent else Fate.ANSWERED
            )
            group.record(silent.record)
            await group.elect()
            await curio.sleep(20)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_run_that_is_done_before_it_is_stopped(self) -> None:
        # Guards against a task that runs again after it was done: its end was
        # acknowledged to the next incarnation, but not recorded.
        async def scenario(group: simulation.Group) -> None:
            await self.misroute(group, work_ms=50)
            await curio.sleep(0.1)
            self.assertEqual([], group.executors[0].running)
            group.record(group.executors[0].record)
            await curio.sleep(10)
            self.assertEqual([], group.observer.broken)
            self.assertEqual([('a.0.0.0', 1)], group.observer.starts)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)


class TestRefusals(testtools.TestCase):
    """An order that an unhealthy executor refuses has not been carried out."""

    def test_stop_of_an_unanswered_start(self) -> None:
        # Guards against a task that runs twice: a refused stop counted as
        # one that had fenced the run, whose start was carried out later.
        async def scenario(group: simulation.Group) -> None:
            called: list[simulation.Executor] = []
            group.late_s = (5.0, 5.0)

            def fate(executor: simulation.Executor, path: str) -> Fate:
                if path == START and not called:
                    called.append(executor)
                    return Fate.LATE
                if path != HOLD and executor in called:
                    return Fate.UNHEALTHY
                return Fate.ANSWERED

            group.fate = fate
            group.submit('a', accelerators=8, work_ms=20_000)
            await curio.sleep(1.5)
            group.fate = lambda *_: Fate.ANSWERED
            await curio.sleep(30)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_stop_of_a_cancelled_job(self) -> None:
        # Guards against a cancelled task that runs on: its lease is renewed
        # with that of the others, and the stop was not sent again.
        async def scenario(group: simulation.Group) -> None:
            (executor,) = group.executors
            group.submit('a', work_ms=60_000)
            group.submit('b', work_ms=60_000)
            await curio.sleep(1.0)
            fates = [Fate.UNHEALTHY] * 3
            group.fate = _fate_of(STOP, fates)
            group.cancel('a')
            await curio.sleep(1.5)
            self.assertEqual([], fates)
            self.assertEqual(['b.0.0.0'], executor.running)

        simulation.run(scenario, executors=1)

    def test_start_that_is_answered_with_an_error(self) -> None:
        # Guards against a task that runs twice: an answer with an undefined
        # status counted as a refusal, though its start was carried out.
        async def scenario(group: simulation.Group) -> None:
            fates = [Fate.ERROR] * 3
            group.fate = _fate_of(START, fates)
            group.submit('a', accelerators=8, work_ms=5000)
            await curio.sleep(15)
            self.assertEqual([], group.observer.broken)
            self.assertEqual({'completed': 1}, group.job_states())

        simulation.run(scenario)

    def test_stop_for_an_urgent_job(self) -> None:
        # Guards against an urgent job that waits until a run, whose stop was
        # refused, ends by itself.
        async def scenario(group: simulation.Group) -> None:
            group.submit('a', accelerators=8, work_ms=60_000, queue='patient')
            await curio.sleep(1.0)
            fates = [Fate.UNHEALTHY]
            group.fate = _fate_of(STOP, fates)
            group.submit('b', accelerators=8, queue='urgent')
            await curio.sleep(1.0)
            self.assertEqual([], fates)
            self.assertEqual(['b.0.0.0'], group.executors[0].running)

        simulation.run(scenario, executors=1)


class TestUpkeep(testtools.TestCase):
    """An upkeep whose call is not answered counts as begun."""

    def test_lease_that_lapses(self) -> None:
        # Guards against more machines in upkeep than the wave allows: a
        # session that was opened anew knew of no call under way.
        async def scenario(group: simulation.Group) -> None:
            # The machine that comes first in the wave is busy.
            group.submit('a', accelerators=8, work_ms=1000)
            await curio.sleep(0.1)
            (busy,) = [e for e in group.executors if e.running]
            machines = sorted(
                (executor.record.machine for executor in group.executors),
                key=busy.record.machine.__ne__,
            )
            group.start_wave(machines)
            await curio.sleep(0.3)
            self.assertEqual({machines[1]}, set(group.upkeeps))
            await curio.sleep(1.5)
            # Longer than the delay between two calls.
            await group.lapse(0.7)
            await curio.sleep(2.0)
            self.assertEqual({machines[1]}, set(group.upkeeps))

        simulation.run(scenario)


class TestRandomPauses(testtools.TestCase):
    """Pauses of all kinds and lengths, beside orders without an answer.

    Attributes:
        fates: What becomes of the orders that are not just answered.
        late_orders_outlive: See `Group`.
    """

    fates = (Fate.LATE, Fate.LATE, Fate.ANSWER_LOST)
    late_orders_outlive = True

    def play(self, seed: int) -> list[str]:
        """Plays one seed; returns violated guarantees."""
        broken: list[str] = []
        # What becomes of all orders to the executors that are cut off.
        self._cut: dict[str, Fate] = {}

        async def scenario(group: simulation.Group) -> None:
            rng = group.rng
            group.late_orders_outlive = self.late_orders_outlive
            late = rng.uniform(0.05, 0.5)

            def fate(executor: simulation.Executor, _: str) -> Fate:
                if executor.name in self._cut:
                    return self._cut[executor.name]
                if rng.random() >= late:
                    return Fate.ANSWERED
                return rng.choice(self.fates)

            group.fate = fate
            for number in range(40):
                group.submit(
                    f'{number:016x}',
                    count=rng.randint(1, 3),
                    accelerators=rng.choice([1, 4, 8]),
                    work_ms=rng.randint(200, 8000),
                    queue=rng.choice(['urgent', 'usual', 'patient']),
                )
                await curio.sleep(rng.expovariate(2.0))
                await self._disturb(group)
            group.fate = lambda *_: Fate.ANSWERED
            await curio.sleep(240)
            # A task under which two executors have crashed may be given up.
            may_fail = {
                task.partition('.')[0]
                for task, crashes in group.crashes.items()
                if crashes >= fake_executor.CRASHES_TO_GIVE_UP
            }
            for job_id, record in group.state.jobs.items():
                given_up = record.state == ttypes.JobState.FAILED
                if record.state != ttypes.JobState.COMPLETED and not (
                    given_up and job_id in may_fail
                ):
                    broken.append(f'{job_id} is in state {record.state}')
            broken.extend(group.observer.broken)

        simulation.run(scenario, seed=seed, executors=4)
        return broken

    async def _disturb(self, group: simulation.Group) -> None:
        """Lets the leader pause or change, or an executor start again."""
        rng = group.rng
        kind = rng.random()
        # Most pauses are about as long as a leader's lease lasts.
        pause_s = rng.choice([0.02, 0.1, 0.5, 2.0]) * rng.uniform(0.5, 2.0)
        if kind < 0.25:
            await group.lapse(pause_s)
        elif kind < 0.4:
            await group.fail_hand_over(pause_s)
        elif kind < 0.55:
            leader = group.leader
            await group.spawn(leader.freeze, pause_s)
            if rng.random() < 0.5:
                await group.lapse(pause_s + 0.05)
            else:
                await group.elect()
        elif kind < 0.7:
            await group.elect()
        elif kind < 0.8:
            await group.spawn(self._cut_off, group, rng.uniform(0.1, 9.0))
        elif kind < 0.85:
            await group.notify_departure(rng.choice(group.executors))
        elif kind < 0.95:
            executor = rng.choice(group.executors)
            await group.restart(executor, rng.uniform(0.0, 3.0))

    async def _cut_off(
        self, group: simulation.Group, duration_s: float
    ) -> None:
        """Cuts off an executor; a long cut outlasts its lease."""
        name = group.rng.choice(group.executors).name
        self._cut[name] = group.rng.choice([Fate.REFUSED, Fate.LATE])
        await curio.sleep(duration_s)
        self._cut.pop(name, None)

    def test_seeds(self) -> None:
        broken = {
            seed: found for seed in range(1, 7) if (found := self.play(seed))
        }
        self.assertEqual({}, broken)


class TestRandomLives(TestRandomPauses):
    """Executors that start again, unnoticed at first, and refuse orders.

    Late orders end with their process here: nobody could stop one that is
    carried out before anybody knows of the next incarnation.
    """

    fates = (Fate.LATE, Fate.ANSWER_LOST, Fate.UNHEALTHY, Fate.ERROR)
    late_orders_outlive = False

    async def _disturb(self, group: simulation.Group) -> None:
        if group.rng.random() < 0.5:
            await super()._disturb(group)
        else:
            await group.spawn(self._restart_unnoticed, group)

    async def _restart_unnoticed(self, group: simulation.Group) -> None:
        """Restarts an executor whose first report comes late.

        It may be cut off before that report, or soon after it.
        """
        rng = group.rng
        executor = rng.choice(group.executors)
        if not executor.up:
            return
        for task in executor.running:
            group.crashes[task] += 1
        await executor.crash()
        await curio.sleep(rng.choice([0.0, 0.2, 0.6]))
        if executor.up:
            return
        await executor.open_again()
        incarnation = executor.incarnation
        report_s, cut_s = rng.uniform(0.0, 3.0), rng.uniform(0.0, 6.0)
        await curio.sleep(min(report_s, cut_s))
        if report_s < cut_s and executor.incarnation == incarnation:
            group.record(executor.record)
            await curio.sleep(cut_s - report_s)
        self._cut[executor.name] = Fate.REFUSED
        await curio.sleep(rng.uniform(0.5, 9.0))
        self._cut.pop(executor.name, None)
        if executor.up:
            group.record(executor.record)
