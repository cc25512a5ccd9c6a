"""Carries out waves of upkeep through the platform's calls."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.generated.workload import ttypes
from banyantrack.workload import port
from banyantrack.workload import waves

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.workload import layout
    from banyantrack.workload import room
    from banyantrack.workload import state as state_module

# A call about a machine is made again after this long.
RETRY_S = 0.5
_LOG = logging.getLogger(__name__)


class Owner(typing.Protocol):
    """What upkeep needs of the leader."""

    @property
    def token(self) -> int:
        """Fencing token."""

    @property
    def name(self) -> str:
        """Name of this member."""

    def leads(self) -> bool:
        """Whether no other leader can have been elected."""

    async def fenced(self, subject: str) -> None:
        """Notes that a higher token is known somewhere."""

    async def propose(self, command: ttypes.WorkCommand) -> bool:
        """Proposes a command; returns whether it is agreed."""

    async def changed(self) -> None:
        """Starts a round of planning soon."""


class Upkeep:
    """Waves that go on, during one time of leadership.

    Args:
        state: The replicated state.
        ports: Calls the platform.
        owner: The leader.
        upkeep_s: Time that an upkeep takes.
    """

    def __init__(
        self,
        state: state_module.WorkState,
        ports: port.Ports,
        owner: Owner,
        *,
        upkeep_s: float,
    ) -> None:
        self._state = state
        self._ports = ports
        self._owner = owner
        self._upkeep_s = upkeep_s
        self._calling: set[str] = set()

    async def round(
        self,
        fleet: room.Fleet,
        away: collections.abc.Callable[[layout.GroupKey], int],
    ) -> list[room.LiveRun]:
        """Goes on with all waves.

        Args:
            fleet: Workers; those that are emptied become unusable.
            away: Tasks of a group that are not at work.

        Returns:
            Runs that have to move.
        """
        if not self._state.waves:
            return []
        plan = waves.plan_waves(
            self._state,
            fleet,
            calling=self._calling,
            away=away,
            now_ms=clock.now_ms(),
            upkeep_ms=self._upkeep_s * 1000,
        )
        for worker in fleet:
            if worker.record.worker_id in plan.emptying:
                worker.usable = False
        for wave, machine in plan.begin:
            self._calling.add(machine)
            await curio.spawn(self._begin, wave, machine, daemon=True)
        for wave in plan.completed:
            begun = [ttypes.WaveBegun(number=wave, machine='')]
            await self._owner.propose(ttypes.WorkCommand(begun=begun))
            logs.event(_LOG, 'wave_completed', wave=wave)
        return plan.stops

    async def _begin(self, wave: int, machine: str) -> None:
        try:
            while self._owner.leads():
                if await self._begin_once(wave, machine):
                    return
                await curio.sleep(RETRY_S)
        finally:
            self._calling.discard(machine)
            await self._owner.changed()

    async def _begin_once(self, wave: int, machine: str) -> bool:
        """Makes one call; returns whether no other is needed."""
        try:
            reason = await self._ports.begin_upkeep(
                machine,
                wave,
                holder=self._owner.name,
                token=self._owner.token,
            )
        except port.NoAnswerError as error:
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
        if reason is port.Reason.FENCED:
            await self._owner.fenced(machine)
            return True
        if reason not in (port.Reason.DONE, port.Reason.INVALID):
            return False
        # A machine that the platform does not know has nothing to wait for.
        begun = [ttypes.WaveBegun(number=wave, machine=machine)]
        return await self._owner.propose(ttypes.WorkCommand(begun=begun))
