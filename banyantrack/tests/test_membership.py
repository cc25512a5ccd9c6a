"""Tests of what entries know of backends, peers and configuration."""

from __future__ import annotations

import time
import typing

import hypothesis
from hypothesis import strategies
import testtools

from banyantrack.core import findings
from banyantrack.dispatch import shares
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.membership import announcements
from banyantrack.membership import backends
from banyantrack.membership import config
from banyantrack.membership import gossip
from banyantrack.testing import builders

SERVING = cluster.BackendState.SERVING
LEAVING = cluster.BackendState.LEAVING


def announcement(
    *, incarnation: int = 1, state: int = SERVING, slots: int = 8
) -> cluster.Announcement:
    """Returns an announcement of one backend."""
    return cluster.Announcement(
        backend_id='b1',
        incarnation=incarnation,
        address='127.0.0.1:9',
        zone='a',
        labels={},
        slots=slots,
        state=state,
    )


class TestBackends(testtools.TestCase):
    """Leaving sticks within an incarnation."""

    def setUp(self) -> None:
        super().setUp()
        self.table = backends.BackendTable(lapse_s=1.0)
        self.table.announce(announcement())

    def _leaving(self) -> bool:
        return self.table.get('b1').leaving

    def test_late_announcement_brings_nothing_back(self) -> None:
        self.table.announce(announcement(state=LEAVING))
        self.assertFalse(self.table.announce(announcement()))
        self.assertFalse(self.table.announce(announcement(incarnation=0)))
        self.assertTrue(self._leaving())

    def test_next_incarnation_serves(self) -> None:
        self.table.announce(announcement(state=LEAVING))
        self.assertTrue(self.table.announce(announcement(incarnation=2)))
        self.assertFalse(self._leaving())

    def test_older_news_changes_nothing(self) -> None:
        self.table.announce(announcement(slots=4))
        self.table.announce(announcement(slots=16), age_s=5.0)
        self.assertEqual(4, self.table.get('b1').slots)

    def test_lapsed_is_kept(self) -> None:
        table = backends.BackendTable(lapse_s=1.0)
        table.announce(announcement(), age_s=5.0)
        self.assertTrue(table.lapsed(table.get('b1')))
        self.assertEqual([], table.forget_old())

    def test_operators_labels_go_first(self) -> None:
        self.table.set_operator_labels({'b1': {'down': 'true'}})
        self.assertEqual({'down': 'true'}, self.table.get('b1').labels)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3), strategies.booleans()
            ),
            max_size=12,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_order_does_not_matter(self, told: list, rng: typing.Any) -> None:
        found = set()
        for _ in range(3):
            table = backends.BackendTable(lapse_s=1.0)
            rng.shuffle(told)
            for incarnation, leaves in told:
                state = LEAVING if leaves else SERVING
                table.announce(
                    announcement(incarnation=incarnation, state=state)
                )
            known = table.get('b1')
            found.add(
                known and (known.announcement.incarnation, known.leaving)
            )
        self.assertEqual(1, len(found))


class TestAnnouncements(testtools.TestCase):
    """Announcements are checked as a whole."""

    def test_all_findings(self) -> None:
        error = self.assertRaises(
            findings.FindingsError,
            announcements.parse,
            b'{"id": "", "slots": 0, "address": "x", "state": "gone"}',
        )
        places = {found.place for found in error.findings}
        self.assertEqual(
            {'id', 'zone', 'address', 'incarnation', 'slots', 'state'}, places
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes(self, body: bytes) -> None:
        self.assertRaises(findings.FindingsError, announcements.parse, body)


class TestConfig(testtools.TestCase):
    """The revision only goes up, and peers never give the start."""

    def _route(self, revision: int, name: str = 'r'):
        stored = builders.route(name, prefix=f'/{name}')
        stored.revision = revision
        return stored

    def test_peers_do_not_give_the_start(self) -> None:
        found = config.Config()
        self.assertFalse(found.change(0, 5, [self._route(5)]))
        self.assertFalse(found.started)

    def test_never_back(self) -> None:
        found = config.Config()
        found.replace(5, [self._route(5)])
        self.assertFalse(found.replace(4, []))
        self.assertFalse(found.change(3, 4, []))
        self.assertEqual(5, found.revision)

    def test_gap_is_refused(self) -> None:
        found = config.Config()
        found.replace(5, [])
        self.assertFalse(found.change(6, 8, [self._route(8)]))
        self.assertTrue(found.change(5, 8, [self._route(8)]))
        self.assertEqual(8, found.revision)

    def test_overlap_applies_only_what_is_new(self) -> None:
        found = config.Config()
        found.replace(5, [self._route(5, 'new')])
        old = self._route(3, 'old')
        found.change(2, 7, [old, self._route(7, 'newer')])
        names = sorted(o.name for o in found.of_kind(old.kind))
        self.assertEqual(['new', 'newer'], names)

    def test_changes_for_peers(self) -> None:
        found = config.Config(keep=2)
        found.replace(1, [])
        for revision in range(2, 6):
            found.change(revision - 1, revision, [self._route(revision)])
        self.assertIsNone(found.changes_after(1))
        self.assertEqual(1, len(found.changes_after(4)[1]))


class _Contact:
    def __init__(self, age_s: float) -> None:
        self.contact_at = time.monotonic() - age_s


class TestIsolation(testtools.TestCase):
    """An entry refuses only when others may know more than it does."""

    def _gossip(
        self, *, control_age_s: float, heard: int, silent: int
    ) -> gossip.Gossip:
        made = gossip.Gossip(
            'e0',
            '127.0.0.1:1',
            [],
            config=config.Config(),
            backends=backends.BackendTable(lapse_s=1.0),
            loads=None,
            control=_Contact(control_age_s),
            pool=None,
            period_s=0.25,
        )
        for number in range(heard + silent):
            address = f'127.0.0.1:{number + 2}'
            made.add_peer(address)
            peer = made._peers[address]
            peer.name = f'e{number + 1}'
            if number < heard:
                peer.heard_at = time.monotonic()
        return made

    def _cut_off(self, **options: typing.Any) -> bool:
        return self._gossip(**options).cut_off(6.0)

    def test_alone_without_anyone(self) -> None:
        self.assertTrue(self._cut_off(control_age_s=9, heard=0, silent=5))

    def test_with_control(self) -> None:
        self.assertFalse(self._cut_off(control_age_s=1, heard=0, silent=5))

    def test_control_lost_but_most_entries_heard(self) -> None:
        self.assertFalse(self._cut_off(control_age_s=9, heard=5, silent=0))
        self.assertFalse(self._cut_off(control_age_s=9, heard=3, silent=2))

    def test_smaller_part(self) -> None:
        self.assertTrue(self._cut_off(control_age_s=9, heard=1, silent=4))

    def test_only_entry(self) -> None:
        self.assertFalse(self._cut_off(control_age_s=9, heard=0, silent=0))

    def test_peer_that_hears_control(self) -> None:
        made = self._gossip(control_age_s=9, heard=1, silent=4)
        made.present[0].control_contact_at = time.monotonic()
        self.assertFalse(made.cut_off(6.0))


class TestShares(testtools.TestCase):
    """Slots are divided without overlap or rest."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 100), min_size=1, max_size=9)
    )
    def test_each_slot_has_one_owner(self, demands: list[float]) -> None:
        told = [
            shares.Demand(f'e{number}', demand)
            for number, demand in enumerate(demands)
        ]
        for backend in ('b1', 'b2', 'b3'):
            owned = [
                slot
                for demand in told
                for slot in shares.Division(
                    told, demand.name
                ).owned_slot_indices(backend, 8)
            ]
            self.assertEqual(list(range(8)), sorted(owned))

    def test_share_follows_demand(self) -> None:
        told = [shares.Demand('e1', 90.0), shares.Demand('e2', 10.0)]
        owned = sum(
            len(shares.Division(told, 'e1').owned_slot_indices(f'b{n}', 8))
            for n in range(24)
        )
        self.assertGreater(owned, 0.7 * 192)
        self.assertLess(owned, 0.95 * 192)
