"""Tests of reports of workers to members that do not lead."""

from __future__ import annotations

import copy
import dataclasses

import curio
import testtools

from banyantrack.core import clock
from banyantrack.core import findings
from banyantrack.daemons import report_spread
from banyantrack.daemons import work_api
from banyantrack.generated.replication import ttypes as replication
from banyantrack.generated.workload import ttypes
from banyantrack.replication import errors
from banyantrack.testing import work_builders as builders
from banyantrack.transport import http_client
from banyantrack.transport import idle_connections
from banyantrack.transport import rpc

MEMBERS = [
    replication.Member(
        member_id=str(number), name=f'c{number}', address=f'127.0.0.1:{number}'
    )
    for number in range(1, 6)
]


@dataclasses.dataclass
class _FakePeer:
    """Peer of a leader.

    Attributes:
        reachable: Whether it answers.
    """

    reachable: bool = True


class _FakeReplica:
    """A member.

    Args:
        leads: Whether it is the leader; otherwise the second member is.

    Attributes:
        election_timer_reset_at: Steady time of the leader's last message.
        peers: Peers by id.
    """

    membership = replication.Membership(
        voters=MEMBERS, outgoing=[], learners=[]
    )

    def __init__(self, *, leads: bool) -> None:
        self.member = MEMBERS[0]
        self.is_leader = self.ready = leads
        self.leader = MEMBERS[0] if leads else MEMBERS[1]
        self.election_timer_reset_at = clock.steady_s()
        self.peers = {member.member_id: _FakePeer() for member in MEMBERS}

    def peer(self, member_id: str) -> _FakePeer | None:
        return self.peers.get(member_id)

    def not_leader_error(self) -> errors.NotLeaderError:
        return errors.NotLeaderError(self.leader.address, '')


class _FakeLeadership:
    """Leadership of another member."""

    session = None

    async def propose(self, *_: object) -> None:
        raise AssertionError('only the leader proposes')


class _FakePool:
    """Counts forwarded reports; the leader cannot be reached."""

    def __init__(self) -> None:
        self.calls = 0

    async def call(self, *_, **__) -> None:
        self.calls += 1
        raise rpc.TransportError('cut', sent=False)


class TestReportSpread(testtools.TestCase):
    """What a member answers by itself is in the replicated record."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = builders.worker('w1')
        self.state = builders.state(self.worker, builders.worker('w2'))
        self.pool = _FakePool()

    def spread(
        self, replica: _FakeReplica, *, limit: int = 1
    ) -> report_spread.ReportSpread:
        return report_spread.ReportSpread(replica, self.state, limit)

    def is_answered(
        self, replica: _FakeReplica, *, limit: int = 1, **values: object
    ) -> bool:
        """Reports worker `w1`; returns whether the member acknowledges it."""
        api = work_api.WorkApi(
            replica,
            self.state,
            _FakeLeadership(),
            self.pool,
            self.spread(replica, limit=limit),
        )
        worker = copy.copy(self.worker)
        for name, value in values.items():
            setattr(worker, name, value)
        report = ttypes.WorkerReport(
            worker=worker, sequence=9, clock_ms=0, remaining_ms=0
        )
        try:
            curio.run(api.report, report, findings.Findings())
        except errors.NotLeaderError:
            return False
        return True

    def test_small_fleet_reports_to_the_leader(self) -> None:
        for leads in (True, False):
            replica = _FakeReplica(leads=leads)
            spread = self.spread(replica, limit=2)
            self.assertEqual(replica.leader.address, spread.receiver('w1'))

    def test_large_fleet_is_spread_over_the_reachable_members(self) -> None:
        replica = _FakeReplica(leads=True)
        replica.peers['3'].reachable = False
        spread = self.spread(replica)
        receivers = {spread.receiver(f'w{n}') for n in range(200)}
        self.assertEqual(
            {MEMBERS[n].address for n in (1, 3, 4)},
            receivers,
            'neither the leader nor a silent member takes reports',
        )

    def test_leader_alone_takes_the_reports(self) -> None:
        replica = _FakeReplica(leads=True)
        replica.peers.clear()
        self.assertEqual(
            replica.member.address, self.spread(replica).receiver('w1')
        )

    def test_worker_stays_with_the_member_it_has_reached(self) -> None:
        replica = _FakeReplica(leads=False)
        self.assertEqual(
            replica.member.address, self.spread(replica).receiver('w1')
        )

    def test_known_report_is_answered_without_the_leader(self) -> None:
        self.assertTrue(self.is_answered(_FakeReplica(leads=False)))
        self.assertEqual(0, self.pool.calls)

    def test_report_of_a_small_fleet_is_forwarded(self) -> None:
        self.assertFalse(self.is_answered(_FakeReplica(leads=False), limit=2))
        self.assertEqual(1, self.pool.calls)

    def test_each_change_is_forwarded(self) -> None:
        """Acknowledging one would hide it from the leader."""
        for values in (
            {'state': ttypes.WorkerState.DRAINING},
            {'accelerators': 4},
            {'incarnation': 2},
            {'address': '127.0.0.1:2'},
            {'zone': 'z2'},
            {'labels': ['b', 'r1']},
            {'worker_id': 'w3'},
        ):
            replica = _FakeReplica(leads=False)
            self.assertFalse(self.is_answered(replica, **values), values)

    def test_draining_worker_is_forwarded_again(self) -> None:
        """The leader learns from each report how long the worker stays."""
        self.worker.state = ttypes.WorkerState.DRAINING
        self.assertFalse(self.is_answered(_FakeReplica(leads=False)))

    def test_cold_worker_is_forwarded(self) -> None:
        """Only the leader keeps until when a worker is cold."""
        report = self._report()
        spread = self.spread(_FakeReplica(leads=False))
        self.assertTrue(spread.is_known(report))
        report.cold_remaining_ms = 500
        self.assertFalse(spread.is_known(report))

    def test_member_that_the_leader_does_not_contact_answers_nothing(
        self,
    ) -> None:
        """It may lack the entry that has changed the worker."""
        replica = _FakeReplica(leads=False)
        replica.election_timer_reset_at -= report_spread.MAX_LEADER_SILENCE_S
        self.assertFalse(self.is_answered(replica))
        replica = _FakeReplica(leads=False)
        replica.leader = None
        self.assertFalse(self.spread(replica).is_known(self._report()))

    def _report(self) -> ttypes.WorkerReport:
        return ttypes.WorkerReport(
            worker=copy.copy(self.worker),
            sequence=9,
            clock_ms=0,
            remaining_ms=0,
        )


class _FakeClient(http_client.HttpClient):
    """Client whose connection is only counted."""

    def __init__(self) -> None:
        super().__init__('127.0.0.1:1')
        self.closed = 0

    async def close(self) -> None:
        self.closed += 1


class TestIdleConnections(testtools.TestCase):
    """Connections for orders never use up the descriptors."""

    def test_longest_idle_connection_is_closed(self) -> None:
        idle = idle_connections.IdleConnections(2)
        clients = [_FakeClient() for _ in range(3)]
        for client in (clients[0], clients[1], clients[0], clients[2]):
            curio.run(idle.note_used, client)
        self.assertEqual([0, 1, 0], [client.closed for client in clients])
        self.assertEqual(2, len(idle))

    def test_connection_in_use_is_not_closed(self) -> None:
        idle = idle_connections.IdleConnections(1)
        clients = [_FakeClient() for _ in range(3)]
        clients[0]._in_use = True
        for client in clients:
            curio.run(idle.note_used, client)
        self.assertEqual([0, 1, 1], [client.closed for client in clients])

    def test_reserved_connections_leave_fewer_for_orders(self) -> None:
        """Renewals and orders together stay within the descriptors."""
        least = idle_connections.MIN_CONNECTIONS
        idle = idle_connections.IdleConnections(least + 2)
        for _ in range(100):
            idle.reserve()
        clients = [_FakeClient() for _ in range(least + 1)]
        for client in clients:
            curio.run(idle.note_used, client)
        self.assertEqual(1, clients[0].closed)
        idle.release()
        self.assertEqual(least, len(idle))

    def test_closed_client_is_forgotten(self) -> None:
        idle = idle_connections.IdleConnections(1)
        client = _FakeClient()
        curio.run(idle.note_used, client)
        idle.forget(client)
        self.assertEqual(0, len(idle))
