"""Tests of why workers are lost."""

from __future__ import annotations

import testtools

from banyantrack.workload import crashes
from banyantrack.workload import worker_client

Cause = crashes.LossCause
Silence = worker_client.Silence


def _contact_loss(*silences: Silence) -> crashes.ContactLoss:
    return crashes.ContactLoss(10.0, set(silences))


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

    def test_connection_reset_between_live_processes(self) -> None:
        self.assertIs(Cause.SILENCE, self.cause(Silence.CLOSED))

    def test_worker_that_announced_that_it_leaves(self) -> None:
        self.assertIs(
            Cause.LEFT,
            self.cause(Silence.REFUSED, replaced=True, announced=True),
        )

    def test_restart_that_no_leader_observed(self) -> None:
        self.assertIs(Cause.RESTART, self.cause(replaced=True))
