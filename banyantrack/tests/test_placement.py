"""Tests of placement: witness, packing, reclaim, queue, attribution."""

from __future__ import annotations

import random
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from banyantrack.core import errors
from banyantrack.core import states
from banyantrack.generated.intent import ttypes as intent
from banyantrack.intent import objects
from banyantrack.placement import attribution as attribution_module
from banyantrack.placement import fleet as fleet_module
from banyantrack.placement import packing
from banyantrack.placement import scheduler
from banyantrack.placement import witness as witness_module
from banyantrack.testing import builders
from banyantrack.testing import fake_placement

Phase = intent.JobPhase
Allotment = intent.AllotmentState
Reason = intent.StopReason


def make(workers: int = 16, **options: typing.Any):
    """Returns a placement of three customers, two with a guarantee."""
    placement = fake_placement.FakePlacement(**options)
    fake_placement.add_fleet(placement, workers=workers)
    placement.apply(
        builders.customer('a'),
        builders.customer('b', quota_accelerators=100),
        builders.customer('c'),
        builders.guarantee('ga', customer='a', accelerators=16, count=2),
        builders.guarantee('gb', customer='b', accelerators=8, count=2),
    )
    placement.round()
    return placement


class TestWitness(testtools.TestCase):
    """Every guaranteed shape has accelerators of its own."""

    def _entitlement(self, name: str, **fields: typing.Any):
        values = {
            'guarantee': name,
            'shape': 8,
            'remaining': 16,
            'adjacency': states.Adjacency.RACK,
            'selector': '',
        }
        return witness_module.Entitlement(**(values | fields))

    def _fleet(self, workers: int) -> fleet_module.Fleet:
        fleet = fleet_module.Fleet()
        for number in range(workers):
            worker = intent.Worker(
                zone='z',
                rack=f'r{number // 4}',
                accelerators=8,
                processors=8,
                memory_mb=8,
            )
            fleet.put(number, f'w{number}', worker, {})
        return fleet

    def test_shapes_are_disjoint(self) -> None:
        witness = witness_module.Witness(self._fleet(4))
        for name in ('g1', 'g2'):
            witness.set_entitlement(self._entitlement(name))
        self.assertTrue(witness.repair())
        witness.check()
        self.assertEqual({}, witness.infeasible_shapes)

    def test_label_change_moves_the_witness(self) -> None:
        workers = self._fleet(4)
        witness = witness_module.Witness(workers)
        witness.set_entitlement(self._entitlement('g', selector='!down'))
        witness.repair()
        (used, *_) = witness.shapes('g')[0].by_worker
        workers.set_labels(used, {'down': 'true'})
        self.assertTrue(witness.repair())
        witness.check()
        self.assertNotIn(used, witness.shapes('g')[0].by_worker)

    def test_infeasible_shape_is_counted(self) -> None:
        workers = self._fleet(1)
        witness = witness_module.Witness(workers)
        witness.set_entitlement(self._entitlement('g'))
        self.assertFalse(witness.repair())
        self.assertEqual({'g': 1}, witness.infeasible_shapes)

    def test_change_that_breaks_a_shape_is_not_allowed(self) -> None:
        witness = witness_module.Witness(self._fleet(2))
        witness.set_entitlement(self._entitlement('g'))
        witness.repair()
        self.assertFalse(witness.allows(witness_module.Change({0: 1}, None)))
        witness.check()

    def test_invalid_witness_is_detected(self) -> None:
        witness = witness_module.Witness(self._fleet(2))
        witness.set_entitlement(self._entitlement('g'))
        witness.repair()
        witness.charge({0: 1})
        self.assertRaises(errors.InvariantError, witness.check)


class TestPacking(testtools.TestCase):
    """Gangs are placed close together and keep whole workers free."""

    def _workers(self, *names: str) -> set[str]:
        return set(names)

    def test_gang_is_placed_in_one_rack(self) -> None:
        placement = make()
        placement.submit(
            builders.job('j', customer='a', members=32, adjacency='rack'),
            run_ms=1000,
        )
        placement.round()
        status = placement.state.jobs.get('j')
        racks = {
            int(name[1:]) // 8 for name in placement.state.worker_names(status)
        }
        self.assertEqual(1, len(racks))
        self.assertEqual(4, len(set(placement.state.worker_names(status))))

    def test_small_gangs_share_a_worker(self) -> None:
        placement = make()
        for number in range(8):
            placement.submit(
                builders.job(f'j{number}', customer='a'), run_ms=1000
            )
        placement.round()
        used = {
            name
            for number in range(8)
            for name in placement.state.worker_names(
                placement.state.jobs.get(f'j{number}')
            )
        }
        self.assertEqual(1, len(used))

    def test_scores_are_registered(self) -> None:
        self.assertEqual(['adjacent', 'first-fit'], list(packing.SCORES))


class TestReclaim(testtools.TestCase):
    """Borrowed work is reclaimed in time."""

    def _full(self) -> fake_placement.FakePlacement:
        placement = make()
        for number in range(32):
            placement.submit(
                builders.job(
                    f'fill{number}',
                    customer='c',
                    members=4,
                    checkpointable=True,
                ),
                run_ms=10_000_000,
            )
        placement.run_until(placement.now_ms + 5000)
        self.assertEqual(0, placement.scheduler.ledger.fleet.total_free)
        return placement

    def test_guaranteed_work_starts_on_full_hardware(self) -> None:
        placement = self._full()
        placement.submit(
            builders.job('mine', customer='a', members=16, adjacency='rack'),
            run_ms=1000,
        )
        submitted_ms = placement.now_ms
        placement.run_until(placement.now_ms + 6000)
        record = placement.records['mine']
        self.assertIsNotNone(record.started_ms)
        self.assertLessEqual(record.started_ms - submitted_ms, 5100)

    def test_reclaimed_work_resumes(self) -> None:
        placement = self._full()
        placement.submit(
            builders.job('mine', customer='a', members=16, adjacency='rack'),
            run_ms=1000,
        )
        placement.run_until(placement.now_ms + 30_000)
        reclaimed = [s for s in placement.state.jobs if s.reclaims]
        self.assertTrue(reclaimed)
        for status in reclaimed:
            self.assertLessEqual(status.reclaims, 2, status)
            self.assertGreater(status.progress_ms, 0)

    def test_work_that_cannot_stop_may_not_borrow(self) -> None:
        placement = make()
        placement.submit(
            builders.job('j', customer='a', members=40), run_ms=1000
        )
        placement.round()
        reason = placement.scheduler.reason('j')
        self.assertIn('neither checkpointable nor restartable', reason)
        self.assertIn('32 left', reason)


class TestQueue(testtools.TestCase):
    """Every waiting job has a reason, and large gangs do not starve."""

    def test_infeasible_job_has_a_reason(self) -> None:
        placement = make()
        placement.submit(
            builders.job('j', customer='a', accelerators=16), run_ms=1000
        )
        placement.round()
        self.assertIn('can not run', placement.scheduler.reason('j'))

    def test_selector_without_a_match_has_a_reason(self) -> None:
        placement = make()
        placement.submit(
            builders.job('j', customer='a', selector='gpu=x'), run_ms=1000
        )
        placement.round()
        self.assertIn(
            "'gpu=x' matches 0 of 16", placement.scheduler.reason('j')
        )

    def test_quota_has_a_reason(self) -> None:
        placement = make()
        for number in range(3):
            placement.submit(
                builders.job(
                    f'j{number}', customer='b', members=40, restartable=True
                ),
                run_ms=100_000,
            )
        placement.run_until(placement.now_ms + 2000)
        waiting = [
            s.job for s in placement.state.jobs if s.phase == Phase.WAITING
        ]
        self.assertEqual(1, len(waiting))
        self.assertIn('uses 80 of 100', placement.scheduler.reason(waiting[0]))

    def test_large_gang_starts_among_small_work(self) -> None:
        placement = make(workers=8)
        rng = random.Random(1)
        for number in range(300):
            placement.at(
                placement.now_ms + number * 400,
                lambda number=number: placement.submit(
                    builders.job(
                        f's{number}',
                        customer='c',
                        members=2,
                        run_time_ms=12_000,
                        restartable=True,
                    ),
                    run_ms=rng.randrange(8000, 16_000),
                ),
            )
        placement.at(
            placement.now_ms + 10_000,
            lambda: placement.submit(
                builders.job(
                    'large',
                    customer='b',
                    members=56,
                    adjacency='rack',
                    run_time_ms=20_000,
                    restartable=True,
                ),
                run_ms=20_000,
            ),
        )
        placement.run_until(placement.now_ms + 110_000)
        self.assertIsNotNone(placement.records['large'].started_ms)

    def test_waiting_job_fails_at_its_deadline(self) -> None:
        placement = make()
        placement.submit(
            builders.job('j', customer='a', accelerators=16, deadline_ms=3000),
            run_ms=1000,
        )
        placement.run_until(placement.now_ms + 6000)
        self.assertEqual(Phase.FAILED, placement.state.jobs.get('j').phase)

    def test_wave_of_cancellations(self) -> None:
        placement = make()
        targets = [
            builders.job(f'j{n}', customer='a', restartable=True)
            for n in range(2000)
        ]
        placement.apply(*targets)
        placement.round()
        kind = objects.KIND_BY_PLURAL['jobs']
        placement.apply(*(objects.tombstone(kind, t.name) for t in targets))
        placement.round()
        self.assertEqual({}, placement.scheduler.ledger.waiting)


class TestAttribution(testtools.TestCase):
    """Failures are attributed to workers or to jobs."""

    def test_worker_that_fails_everything(self) -> None:
        attribution = attribution_module.Attribution()
        results = [attribution.record_failure(f'j{n}', 7) for n in range(3)]
        self.assertEqual([False, False, True], results)
        self.assertEqual([7], attribution.avoided())

    def test_job_that_fails_everywhere(self) -> None:
        attribution = attribution_module.Attribution()
        for worker in range(6):
            self.assertFalse(attribution.record_failure('bad', worker))
        self.assertEqual([], attribution.avoided())

    def test_success_clears(self) -> None:
        attribution = attribution_module.Attribution()
        for number in range(3):
            attribution.record_failure(f'j{number}', 7)
        self.assertEqual([7], attribution.record_success('good', {7}))
        self.assertEqual([], attribution.avoided())


class PlacementMachine(stateful.RuleBasedStateMachine):
    """Random events violate no guarantee and leave no gang partly placed."""

    def __init__(self) -> None:
        super().__init__()
        self.placement = make(workers=12)
        self.number = 0

    @stateful.rule(
        members=strategies.sampled_from((1, 2, 4, 8, 16)),
        each=strategies.sampled_from((0, 1, 2, 8)),
        customer=strategies.sampled_from('ab'),
        adjacency=strategies.sampled_from(('any', 'rack', 'worker', 'zone')),
        stoppable=strategies.booleans(),
        urgent=strategies.booleans(),
        declared_ms=strategies.sampled_from((1, 5000, 10_000_000)),
        run_ms=strategies.sampled_from((100, 5000, 60_000)),
    )
    def submit(
        self,
        members: int,
        each: int,
        customer: str,
        adjacency: str,
        stoppable: bool,
        urgent: bool,
        declared_ms: int,
        run_ms: int,
    ) -> None:
        self.number += 1
        self.placement.submit(
            builders.job(
                f'j{self.number}',
                customer=customer,
                members=members,
                accelerators=each,
                adjacency=adjacency,
                checkpointable=stoppable,
                urgent=urgent,
                run_time_ms=declared_ms,
            ),
            run_ms=run_ms,
        )

    @stateful.rule(seconds=strategies.integers(1, 20))
    def wait(self, seconds: int) -> None:
        self.placement.run_until(self.placement.now_ms + seconds * 1000)

    @stateful.rule(
        worker=strategies.integers(0, 11), down=strategies.booleans()
    )
    def label(self, worker: int, down: bool) -> None:
        values = {'down': 'true'} if down else {}
        self.placement.apply(
            builders.labels('worker-labels', f'w{worker}', **values)
        )
        self.placement.round()

    @stateful.rule(choice=strategies.integers(1, 60))
    def cancel(self, choice: int) -> None:
        if choice <= self.number:
            self.placement.cancel(f'j{choice}')

    @stateful.rule(
        choice=strategies.integers(1, 60),
        reason=strategies.sampled_from(
            (Reason.MEMBER_FAILED, Reason.LEASE_LAPSED)
        ),
    )
    def fail(self, choice: int, reason: int) -> None:
        self.placement.fail(f'j{choice}', reason)

    @stateful.rule()
    def change_leader(self) -> None:
        self.placement.change_leader()
        self.placement.round()

    @stateful.rule(count=strategies.integers(0, 3))
    def change_guarantee(self, count: int) -> None:
        kind = objects.KIND_BY_PLURAL['guarantees']
        if count == 0:
            self.placement.apply(objects.tombstone(kind, 'gb'))
            return
        target = builders.guarantee(
            'gb', customer='b', accelerators=8, count=count
        )
        if not self.placement.scheduler.check_guarantees([target]):
            self.placement.apply(target)

    @stateful.invariant()
    def gangs_are_complete(self) -> None:
        assert self.placement.partial_gangs == 0

    @stateful.invariant()
    def guarantees_hold_while_labels_allow(self) -> None:
        ledger = self.placement.scheduler.ledger
        ledger.sync()
        ledger.witness.check()
        excluded = len(ledger.fleet) - sum(ledger.fleet.eligible(''))
        if not excluded:
            assert not self.placement.scheduler.infeasible_shapes()

    @stateful.invariant()
    def free_capacity_matches_allotments(self) -> None:
        ledger = self.placement.scheduler.ledger
        used = [0] * len(ledger.fleet)
        for allotment in ledger.allotments.values():
            for worker, count in allotment.by_worker().items():
                used[worker] += count
        free = ledger.fleet.free_accelerators
        for worker, count in enumerate(used):
            assert free[worker] == ledger.fleet.accelerators[worker] - count
            assert free[worker] >= 0


TestPlacementMachine = PlacementMachine.TestCase
TestPlacementMachine.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestPolicies(testtools.TestCase):
    """Policies are selected by name."""

    def test_unknown_policy_lists_valid_ones(self) -> None:
        policies = scheduler.Policies(queue='none')
        error = self.assertRaises(
            LookupError, fake_placement.FakePlacement, policies=policies
        )
        self.assertIn('aged-shortest, fifo', str(error))
