"""Runs waves of machine upkeep through calls to the platform."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.generated.workload import ttypes
from banyantrack.workload import waves
from banyantrack.workload import worker_client

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import capacity
    from banyantrack.workload import layout
    from banyantrack.workload import state as state_module

# Delay between calls to begin the upkeep of one machine.
RETRY_DELAY_S = 0.5
_LOG = logging.getLogger(__name__)


class Owner(typing.Protocol):
    """Interface of the leader that upkeep uses."""

    @property
    def token(self) -> int:
        """Fencing token."""

    @property
    def name(self) -> str:
        """Name of this member."""

    def leads(self) -> bool:
        """Whether no other leader can have been elected."""

    def lasts(self) -> bool:
        """Whether the leader may send orders now or later."""

    async def on_fenced(self, subject: str) -> None:
        """Called when a higher fencing token has been seen.

        Args:
            subject: Worker or machine that has seen it.
        """

    async def propose(self, command: ttypes.WorkCommand) -> bool:
        """Proposes a command; returns whether it is committed."""

    async def request_round(self) -> None:
        """Requests a planning round."""


class Upkeep:
    """Advances the waves in progress, during one leadership term.

    Args:
        state: The replicated state.
        platform_client: Calls the platform.
        owner: The leader.
        upkeep_s: Usual duration of the upkeep of one machine.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        platform_client: worker_client.PlatformClient,
        owner: Owner,
        *,
        upkeep_s: float,
    ) -> None:
        self._state = state
        self._platform_client = platform_client
        self._owner = owner
        self._upkeep_s = upkeep_s
        self._pending_machines: set[str] = set()

    async def round(
        self,
        fleet: capacity.Fleet,
        unready_members: collections.abc.Callable[[layout.GroupKey], int],
    ) -> list[capacity.RunAllocation]:
        """Plans all waves and begins the upkeep of emptied machines.

        Args:
            fleet: Workers; those on machines that are being emptied are made
                unusable.
            unready_members: Returns how many tasks of a group are unplaced
                or not ready.

        Returns:
            Runs to stop, so that they move to other machines.
        """
        if not self._state.waves:
            return []
        plan = waves.plan_waves(
            self._state,
            fleet,
            begin_pending=self._pending_machines,
            count_absent=unready_members,
            now_ms=clock.now_ms(),
            upkeep_ms=self._upkeep_s * 1000,
        )
        for worker in fleet:
            if worker.record.worker_id in plan.cordoned:
                worker.usable = False
        for wave, machine in plan.begin:
            self._pending_machines.add(machine)
            await curio.spawn(self._begin, wave, machine, daemon=True)
        for wave in plan.completed:
            begun = [ttypes.WaveBegun(number=wave, machine='')]
            await self._owner.propose(ttypes.WorkCommand(begun=begun))
            logs.event(_LOG, 'wave_completed', wave=wave)
        return plan.stops

    async def _begin(self, wave: int, machine: str) -> None:
        try:
            # A call without an answer may have begun the upkeep, so the
            # machine stays pending while the leader's lease has lapsed.
            while self._owner.lasts():
                if self._owner.leads() and await self._begin_once(
                    wave, machine
                ):
                    return
                await curio.sleep(RETRY_DELAY_S)
        finally:
            self._pending_machines.discard(machine)
            await self._owner.request_round()

    async def _begin_once(self, wave: int, machine: str) -> bool:
        """Makes one call; returns whether no further call is needed."""
        try:
            reason = await self._platform_client.begin_upkeep(
                machine,
                wave,
                holder=self._owner.name,
                token=self._owner.token,
            )
        except worker_client.NoAnswerError as error:
            logs.event(
                _LOG,
                'upkeep_unanswered',
                level=logging.WARNING,
                machine=machine,
                error=error,
            )
            return False
        logs.event(
            _LOG, 'upkeep', machine=machine, wave=wave, outcome=reason.value
        )
        if reason is worker_client.OrderOutcome.FENCED:
            await self._owner.on_fenced(machine)
            return True
        if reason not in (
            worker_client.OrderOutcome.DONE,
            worker_client.OrderOutcome.INVALID,
        ):
            return False
        # INVALID: the platform has no such machine, so it counts as begun.
        begun = [ttypes.WaveBegun(number=wave, machine=machine)]
        return await self._owner.propose(ttypes.WorkCommand(begun=begun))
