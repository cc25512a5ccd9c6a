"""Tests of the dispatcher's queues, lanes, routes and statistics."""

from __future__ import annotations

import time

import curio
import testtools

from banyantrack.core import documents
from banyantrack.core import states
from banyantrack.dispatch import budget
from banyantrack.dispatch import dispatcher
from banyantrack.dispatch import queueing
from banyantrack.dispatch import requests
from banyantrack.dispatch import statistics
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.membership import backends
from banyantrack.membership import config
from banyantrack.testing import builders
from banyantrack.testing import virtual


class _FakeHttpRequest:
    headers: list[tuple[bytes, bytes]] = []
    method = 'GET'


def request(
    customer: str = 'a', *, deadline_s: float = 10.0
) -> requests.CallerRequest:
    """Returns a request of a customer, due in `deadline_s` seconds."""
    stored = builders.route('q', prefix='/q')
    route = requests.make_route('q', stored.route)
    made = requests.CallerRequest(route, _FakeHttpRequest(), 'r', 'c')
    made.customer = customer
    made.deadline = time.monotonic() + deadline_s
    return made


class TestQueue(testtools.TestCase):
    """Requests are ordered by deadline per customer, fair among customers."""

    def _queue(self, **weights: float) -> queueing.LaneQueue:
        return queueing.LaneQueue(lambda name: weights.get(name, 1.0))

    def _order(self, queue: queueing.LaneQueue, count: int) -> str:
        popped = (queue.pop(lambda waiter: True) for _ in range(count))
        return ''.join(waiter.request.customer for waiter in popped)

    def test_earliest_deadline_first(self) -> None:
        async def run() -> list[float]:
            queue = self._queue()
            for deadline_s in (5.0, 1.0, 3.0):
                made = request(deadline_s=deadline_s)
                queue.push(queueing.Waiter(made))
            found = [queue.pop(lambda waiter: True) for _ in range(3)]
            return [round(w.request.remaining_s) for w in found]

        self.assertEqual([1, 3, 5], curio.run(run))

    def test_customers_are_served_by_weight(self) -> None:
        queue = self._queue(a=3.0, b=1.0)
        for customer in 'ab':
            for _ in range(40):
                queue.push(queueing.Waiter(request(customer)))
        order = self._order(queue, 24)
        self.assertEqual(18, order.count('a'))

    def test_idle_customer_accrues_no_credit(self) -> None:
        queue = self._queue()
        for _ in range(40):
            queue.push(queueing.Waiter(request('a')))
        self._order(queue, 20)
        for _ in range(20):
            queue.push(queueing.Waiter(request('b')))
        order = self._order(queue, 10)
        self.assertIn(order.count('b'), (5, 6))

    def test_discarded_request_is_skipped(self) -> None:
        queue = self._queue()
        waiters = [queueing.Waiter(request()) for _ in range(2)]
        for waiter in waiters:
            queue.push(waiter)
        queue.discard(waiters[0])
        self.assertEqual(1, len(queue))
        self.assertIs(waiters[1], queue.pop(lambda waiter: True))
        self.assertIsNone(queue.pop(lambda waiter: True))


class TestEvacuatedZones(testtools.TestCase):
    """Backends in evacuated zones are used only if there are no others."""

    def test_candidates(self) -> None:
        table = backends.BackendTable(lapse_s=1.0)
        current = config.Config()
        current.replace(1, [builders.route('seats')])
        chosen = dispatcher.Dispatcher(
            documents.model('settings').make('DispatchSettings'),
            table,
            current,
            name='e',
            zone='a',
        )

        def announce(zone: str, state: int) -> None:
            table.announce(
                cluster.Announcement(
                    backend_id=f'b-{zone}',
                    incarnation=1,
                    address='127.0.0.1:1',
                    zone=zone,
                    labels={},
                    slots=8,
                    state=state,
                )
            )

        def candidates() -> set[str]:
            chosen.refresh()
            return {
                target.backend.zone for target in chosen._candidates['seats']
            }

        for zone in 'ab':
            announce(zone, cluster.BackendState.SERVING)
        self.assertEqual({'a', 'b'}, candidates())
        self.assertTrue(current.set_evacuated_zones(frozenset('a')))
        self.assertEqual({'b'}, candidates())
        announce('b', cluster.BackendState.LEAVING)
        self.assertEqual({'a'}, candidates())
        self.assertTrue(current.set_evacuated_zones(frozenset()))
        self.assertFalse(current.set_evacuated_zones(frozenset()))
        announce('c', cluster.BackendState.SERVING)
        self.assertEqual({'a', 'c'}, candidates())


class TestLanes(testtools.TestCase):
    """Lanes follow run times, and quick work has reserved slots."""

    def setUp(self) -> None:
        super().setUp()
        self.config = config.Config()
        self.config.replace(
            1,
            [
                builders.route('fast', prefix='/fast'),
                builders.route('slow', prefix='/slow'),
            ],
        )
        self.table = backends.BackendTable(lapse_s=1.0)
        self.table.announce(
            cluster.Announcement(
                backend_id='b',
                incarnation=1,
                address='127.0.0.1:1',
                zone='a',
                labels={},
                slots=8,
                state=cluster.BackendState.SERVING,
            )
        )
        self.dispatcher = dispatcher.Dispatcher(
            documents.model('settings').make('DispatchSettings'),
            self.table,
            self.config,
            name='e',
            zone='a',
        )
        self.dispatcher.refresh()

    def _request(self, prefix: str) -> requests.CallerRequest:
        route = self.dispatcher.routes.find(prefix)
        return requests.CallerRequest(route, _FakeHttpRequest(), 'r', 'c')

    def test_slow_route_declared_quick_is_long(self) -> None:
        (target,) = self.dispatcher._targets.values()
        for number in range(400):
            path, run_s = ('/slow', 2.0) if number % 8 == 0 else ('/fast', 0.1)
            self.dispatcher.record_run(self._request(path), target, run_s)
        lanes = [
            self.dispatcher.lane(self._request(path))
            for path in ('/fast', '/slow')
        ]
        self.assertEqual(
            [states.ServiceClass.QUICK, states.ServiceClass.LONG], lanes
        )

    def test_request_with_incomplete_body_is_long(self) -> None:
        made = self._request('/fast')
        made.body_complete = False
        self.assertIs(states.ServiceClass.LONG, self.dispatcher.lane(made))

    def test_long_work_cannot_use_all_slots(self) -> None:
        (target,) = self.dispatcher._targets.values()
        long = states.ServiceClass.LONG
        reserved = 0
        while target.free_slots(long) > 0:
            target.reserve_slots(long, 1)
            reserved += 1
        self.assertIn(reserved, (6, 7))
        self.assertGreater(target.free_slots(states.ServiceClass.QUICK), 0)

    def test_operator_label_removes_backend_from_route(self) -> None:
        labels = builders.labels('backend-labels', 'b', down='true')
        labels.revision = 2
        self.config.apply_changes(1, 2, [labels])

        async def acquire() -> dispatcher.Cause:
            try:
                await self.dispatcher.acquire(self._request('/fast'))
            except dispatcher.RefusedError as error:
                return error.cause
            return dispatcher.Cause.STOPPING

        self.assertIs(dispatcher.Cause.NO_BACKEND, curio.run(acquire))


class TestRoutes(testtools.TestCase):
    """The longest prefix that ends at a path segment is used."""

    def test_find(self) -> None:
        table = requests.RouteTable(
            requests.make_route(name, builders.route(name, prefix=p).route)
            for name, p in (('a', '/a'), ('ab', '/a/b'), ('root', '/'))
        )
        found = {
            path: table.find(path).name
            for path in ('/a', '/a/b/c', '/a/bc', '/ab', '/a?x=1')
        }
        self.assertEqual(
            {
                '/a': 'a',
                '/a/b/c': 'ab',
                '/a/bc': 'a',
                '/ab': 'root',
                '/a?x=1': 'a',
            },
            found,
        )


class TestStatistics(testtools.TestCase):
    """Statistics follow the recorded events."""

    def test_run_times(self) -> None:
        found = statistics.RunTimes()
        for number in range(2000):
            found.add(1.0 if number % 20 == 0 else 0.1)
        self.assertAlmostEqual(0.1, found.median_s, delta=0.02)
        self.assertGreater(found.high_quantile_s, 0.1)
        self.assertTrue(found.has_enough_samples)

    def test_rate_decays(self) -> None:
        async def run() -> list[float]:
            rate = statistics.DecayingRate(1.0)
            for _ in range(100):
                rate.add()
                await curio.sleep(0.1)
            steady = rate.value
            await curio.sleep(5.0)
            return [steady, rate.value]

        steady, decayed = virtual.run(run)
        self.assertAlmostEqual(10.0, steady, delta=1.0)
        self.assertLess(decayed, 0.1)

    def test_budget(self) -> None:
        found = budget.RetryBudget(0.5)
        spent = sum(found.try_spend() for _ in range(100))
        self.assertEqual(10, spent)
        for _ in range(2):
            found.record_first_attempt()
        self.assertTrue(found.try_spend())
        self.assertFalse(found.try_spend())
