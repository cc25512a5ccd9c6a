"""Tests of the link to one worker, with a client in this process."""

from __future__ import annotations

import collections.abc
import typing

import curio
import testtools

from banyantrack.core import clock
from banyantrack.daemons import worker_link
from banyantrack.generated.workload import ttypes
from banyantrack.testing import virtual
from banyantrack.testing import work_builders as builders
from banyantrack.workload import layout
from banyantrack.workload import state as state_module
from banyantrack.workload import worker_client

# Time after which an order without an answer is given up.
ORDER_TIMEOUT_S = 0.2


class _FakeClient(worker_client.WorkerClient):
    """Client of a worker that answers at once, unless it is silent.

    Attributes:
        silent: Whether the worker answers nothing.
        error: Raised by each call, unless it is None.
        stopped: Runs whose stop was ordered.
        paces: Paces that the worker has carried out, each with its run.
        refusals: Outcomes of the next orders and checks, which the worker
            does not carry out.
        running: Runs that the worker lists.
        checks: Number of checks.
        answered_ms: The worker's clock in its last answer.
        lease_end_ms: Latest end of the lease that the worker was asked for,
            on its clock.
        waiting: Number of calls that wait for their answer.
        waiting_at_close: The same when the client was closed.
    """

    def __init__(self) -> None:
        self.silent = False
        self.error: Exception | None = None
        self.stopped: list[tuple[layout.TaskId, int]] = []
        self.paces: list[tuple[layout.TaskId, int, int]] = []
        self.refusals: list[worker_client.OrderOutcome] = []
        self.running: list[worker_client.RunningTask] = []
        self.checks = 0
        self.answered_ms = 0
        self.lease_end_ms = 0
        self.waiting = 0
        self.waiting_at_close: int | None = None

    @property
    def clock_ms(self) -> int:
        """The worker's clock, in milliseconds."""
        return int(clock.steady_s() * 1000)

    async def _answer(self, wait_ms: int = 0) -> None:
        self.waiting += 1
        try:
            if self.error is not None:
                raise self.error
            if self.silent:
                await curio.sleep(ORDER_TIMEOUT_S + wait_ms / 1000)
                raise worker_client.NoAnswerError('no reply', sent=True)
            await curio.sleep(wait_ms / 1000)
        finally:
            self.waiting -= 1
        self.answered_ms = self.clock_ms

    async def _order(self) -> worker_client.OrderReply:
        await self._answer()
        outcome = worker_client.OrderOutcome.DONE
        if self.refusals:
            outcome = self.refusals.pop()
        return worker_client.OrderReply(outcome, self.clock_ms)

    async def start(self, *_: object, **__: object) -> typing.Any:
        """Starts a run; see `WorkerClient`."""
        return await self._order()

    async def stop(
        self, key: layout.TaskId, run: int, **_: object
    ) -> typing.Any:
        """Stops a run; see `WorkerClient`."""
        order_reply = await self._order()
        self.stopped.append((key, run))
        return order_reply

    async def pace(
        self, key: layout.TaskId, run: int, percent: int, **_: object
    ) -> typing.Any:
        """Changes the pace of a run; see `WorkerClient`."""
        order_reply = await self._order()
        if order_reply.reason is worker_client.OrderOutcome.DONE:
            self.paces.append((key, run, percent))
        return order_reply

    async def check(self, **_: object) -> typing.Any:
        """Asks whether the worker answers; see `WorkerClient`."""
        self.checks += 1
        return await self._order()

    async def renew_lease(
        self, *, lease_end_ms: int | None, wait_ms: int, **_: object
    ) -> worker_client.LeaseReply:
        """Renews the lease; see `WorkerClient`."""
        # A renewal may be carried out although its answer is lost.
        self.lease_end_ms = max(self.lease_end_ms, lease_end_ms or 0)
        await self._answer(wait_ms)
        return worker_client.LeaseReply(
            worker_client.OrderOutcome.DONE,
            self.clock_ms,
            running=tuple(self.running),
        )

    async def close(self) -> None:
        """Closes nothing; notes the calls that still wait."""
        self.waiting_at_close = self.waiting


class _FakeOwner:
    """Leader that keeps the runs of one worker.

    Attributes:
        rounds: Number of planning rounds that were requested.
        runs: Runs that have not ended.
        ends: Ends that were recorded, each with its steady time in seconds.
    """

    token = 1
    worker_count = 1

    def __init__(self) -> None:
        self.rounds = 0
        self.runs: list[tuple[layout.TaskId, ttypes.TaskRecord]] = []
        self.ends: list[tuple[float, ttypes.RunEnd]] = []

    def leads(self) -> bool:
        return True

    def live_runs(self, *_: object) -> list[typing.Any]:
        return self.runs

    def job_spec(self, _: str) -> str:
        return ''

    def is_current(self, _: ttypes.RunStart) -> bool:
        return True

    def on_progress(self, *_: object) -> None:
        pass

    def on_silent(self, _: ttypes.WorkerRecord) -> None:
        pass

    def on_lapsed(self, _: ttypes.WorkerRecord) -> None:
        pass

    async def record_ends(self, ends: list[ttypes.RunEnd]) -> bool:
        self.ends += [(clock.steady_s(), end) for end in ends]
        self.runs = []
        return True

    async def request_round(self) -> None:
        self.rounds += 1


def _start(index: int = 0) -> ttypes.RunStart:
    return ttypes.RunStart(
        task=ttypes.TaskKey(
            job_id='a' * 16, occurrence=0, step=0, index=index
        ),
        run=1,
        worker_id='w1',
        incarnation=1,
        checkpoint='',
        ticket='',
    )


Scenario = collections.abc.Callable[
    [worker_link.WorkerLink, _FakeClient, _FakeOwner],
    collections.abc.Awaitable[None],
]


class LinkTest(testtools.TestCase):
    """Base class that runs a link in virtual time."""

    def run_link(self, scenario: Scenario) -> None:
        async def main() -> None:
            client, owner = _FakeClient(), _FakeOwner()
            link = worker_link.WorkerLink(
                builders.worker('w1'), client, owner, lease_ms=6000
            )
            await link.open()
            await curio.sleep(0.01)
            try:
                await scenario(link, client, owner)
            finally:
                await link.close()

        virtual.run(main)

    def run_task(self, client: _FakeClient, owner: _FakeOwner) -> None:
        """Lets one task run on the worker."""
        key = layout.TaskId('a' * 16, 0, 0, 0)
        owner.runs = [(key, state_module._new_task())]
        owner.runs[0][1].run = 1
        client.running = [worker_client.RunningTask(key, 1, '', 10, None)]


class TestSilence(LinkTest):
    """A silent worker's runs are given up only once they cannot be alive."""

    def test_runs_end_after_the_lease(self) -> None:
        async def scenario(
            link: worker_link.WorkerLink,
            client: _FakeClient,
            owner: _FakeOwner,
        ) -> None:
            self.run_task(client, owner)
            await curio.sleep(3.0)
            client.silent = True
            await curio.sleep(20.0)
            ((ended_s, end),) = owner.ends
            self.assertEqual(ttypes.EndKind.LOST, end.kind)
            # The worker's clock may be 2 % slow since it was read last.
            passed_ms = ended_s * 1000 - client.answered_ms
            self.assertLess(
                client.lease_end_ms, client.answered_ms + 0.98 * passed_ms
            )

        self.run_link(scenario)

    def test_runs_of_a_worker_that_answers_again_go_on(self) -> None:
        async def scenario(
            link: worker_link.WorkerLink,
            client: _FakeClient,
            owner: _FakeOwner,
        ) -> None:
            self.run_task(client, owner)
            await curio.sleep(3.0)
            client.silent = True
            await curio.sleep(4.5)
            client.silent = False
            await curio.sleep(20.0)
            self.assertEqual([], owner.ends)
            self.assertTrue(link.usable)

        self.run_link(scenario)


class TestClose(LinkTest):
    """A connection is closed by the task that waits for it, or after it."""

    def test_no_call_waits_when_the_client_is_closed(self) -> None:
        # Guards against a process that ends by itself: the event loop fails
        # when the descriptor of such a connection is used again.
        async def scenario(
            link: worker_link.WorkerLink,
            client: _FakeClient,
            owner: _FakeOwner,
        ) -> None:
            self.run_task(client, owner)
            await link.wake()
            await curio.sleep(0.1)
            self.assertEqual(1, client.waiting)
            await link.close()
            self.assertEqual(0, client.waiting_at_close)

        self.run_link(scenario)


class TestStarts(LinkTest):
    """Only a run whose start was sent may have begun."""

    def test_start_that_waits_for_the_answer_to_another_one(self) -> None:
        async def scenario(
            link: worker_link.WorkerLink, client: _FakeClient, _: _FakeOwner
        ) -> None:
            client.silent = True
            starts = [_start(index) for index in range(2)]
            for start in starts:
                await link.start(start)
            await curio.sleep(ORDER_TIMEOUT_S / 2)
            self.assertEqual(
                [True, False],
                [
                    link.may_have_begun(layout.task_id(start.task), start.run)
                    for start in starts
                ],
            )

        self.run_link(scenario)


class TestUnrecordedRuns(LinkTest):
    """A run that is not recorded uses capacity until it has stopped."""

    def test_worker_is_unusable_until_the_run_has_stopped(self) -> None:
        # Guards against a worker above its capacity: such a run takes no part
        # in the planner's sums.
        async def scenario(
            link: worker_link.WorkerLink, client: _FakeClient, _: _FakeOwner
        ) -> None:
            key = layout.TaskId('a' * 16, 0, 0, 0)
            client.running = [worker_client.RunningTask(key, 1, '', 10, None)]
            # An idle worker has listed its runs within this time.
            hold_s = worker_link.HOLD_WAIT_MS / 1000
            await curio.sleep(worker_link.IDLE_HOLD_INTERVAL_S + hold_s + 0.1)
            self.assertFalse(link.usable)
            client.running = []
            await curio.sleep(hold_s + 0.5)
            self.assertTrue(link.usable)

        self.run_link(scenario)


class TestUnexpectedErrors(LinkTest):
    """A link goes on after an error that no code handles."""

    def test_renewals_and_orders_go_on(self) -> None:
        # Guards against a worker that is followed no more, silently.
        async def scenario(
            link: worker_link.WorkerLink,
            client: _FakeClient,
            owner: _FakeOwner,
        ) -> None:
            self.run_task(client, owner)
            client.error = ValueError('odd')
            key = layout.TaskId('a' * 16, 0, 0, 0)
            await link.stop(key, 1)
            await curio.sleep(2.0)
            client.error = None
            renewed_ms = client.lease_end_ms
            await curio.sleep(10.0)
            self.assertLess(renewed_ms, client.lease_end_ms)
            self.assertEqual([(key, 1)], client.stopped)

        self.run_link(scenario)

    def test_start_that_has_failed_is_settled(self) -> None:
        async def scenario(
            link: worker_link.WorkerLink,
            client: _FakeClient,
            owner: _FakeOwner,
        ) -> None:
            start = _start()
            key = layout.task_id(start.task)
            owner.runs = [(key, state_module._new_task())]
            owner.runs[0][1].run = start.run
            await curio.sleep(0.1)
            client.error = ValueError('odd')
            await link.start(start)
            await curio.sleep(0.1)
            client.error = None
            await curio.sleep(5.0)
            self.assertEqual([(key, start.run)], client.stopped)
            ((_, end),) = owner.ends
            self.assertEqual(ttypes.EndKind.NEVER, end.kind)

        self.run_link(scenario)


class TestRefusals(LinkTest):
    """An order that a worker refuses has not been carried out."""

    def test_pace(self) -> None:
        # Guards against a task that works beside others at a pace that was
        # refused, for as long as it runs.
        async def scenario(
            link: worker_link.WorkerLink,
            client: _FakeClient,
            owner: _FakeOwner,
        ) -> None:
            self.run_task(client, owner)
            key = layout.TaskId('a' * 16, 0, 0, 0)
            client.refusals = [worker_client.OrderOutcome.UNHEALTHY] * 2
            await link.pace(key, 1, 20)
            await curio.sleep(1.0)
            self.assertEqual([(key, 1, 20)], client.paces)

        self.run_link(scenario)

    def test_pace_that_has_changed(self) -> None:
        # A pace that is sent again must not undo a later one.
        async def scenario(
            link: worker_link.WorkerLink,
            client: _FakeClient,
            owner: _FakeOwner,
        ) -> None:
            self.run_task(client, owner)
            key = layout.TaskId('a' * 16, 0, 0, 0)
            client.refusals = [worker_client.OrderOutcome.UNHEALTHY]
            await link.pace(key, 1, 20)
            await link.pace(key, 1, 80)
            await curio.sleep(1.0)
            self.assertEqual((key, 1, 80), client.paces[-1])

        self.run_link(scenario)

    def test_check(self) -> None:
        # Guards against a gang that is started on a worker which has refused
        # the check before it.
        async def scenario(
            link: worker_link.WorkerLink, client: _FakeClient, _: _FakeOwner
        ) -> None:
            await curio.sleep(1.0)
            client.refusals = [worker_client.OrderOutcome.UNHEALTHY]
            await link.check()
            await curio.sleep(0.01)
            self.assertFalse(link.usable)

        self.run_link(scenario)


class TestChecks(LinkTest):
    """A silent worker is found out before a gang waits for it."""

    def test_idle_worker_is_not_known_to_answer(self) -> None:
        async def scenario(
            link: worker_link.WorkerLink, client: _FakeClient, _: _FakeOwner
        ) -> None:
            self.assertTrue(link.answered_recently)
            await curio.sleep(1.0)
            self.assertTrue(link.usable)
            self.assertFalse(link.answered_recently)
            await link.check()
            await curio.sleep(0.01)
            self.assertTrue(link.answered_recently)
            self.assertEqual(1, client.checks)

        self.run_link(scenario)

    def test_silent_worker_is_unusable_until_it_answers(self) -> None:
        async def scenario(
            link: worker_link.WorkerLink,
            client: _FakeClient,
            owner: _FakeOwner,
        ) -> None:
            await curio.sleep(1.0)
            client.silent = True
            before = owner.rounds
            await link.check()
            await curio.sleep(ORDER_TIMEOUT_S + 0.01)
            self.assertFalse(link.usable)
            # The unit that asked for the check is planned again.
            self.assertLess(before, owner.rounds)
            client.silent = False
            await curio.sleep(1.0)
            self.assertTrue(link.usable)

        self.run_link(scenario)

    def test_several_units_share_a_check(self) -> None:
        async def scenario(
            link: worker_link.WorkerLink, client: _FakeClient, _: _FakeOwner
        ) -> None:
            await curio.sleep(1.0)
            for _ in range(3):
                await link.check()
            await curio.sleep(0.01)
            self.assertEqual(1, client.checks)

        self.run_link(scenario)

    def test_unanswered_start_makes_a_worker_unusable(self) -> None:
        async def scenario(
            link: worker_link.WorkerLink, client: _FakeClient, _: _FakeOwner
        ) -> None:
            client.silent = True
            await link.start(_start())
            await curio.sleep(ORDER_TIMEOUT_S + 0.01)
            self.assertFalse(link.usable)

        self.run_link(scenario)
