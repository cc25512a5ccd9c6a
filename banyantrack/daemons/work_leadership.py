"""Runs the scheduling of task jobs whenever this member is the leader."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.daemons import work_session
from banyantrack.generated.intent import ttypes as intent
from banyantrack.generated.workload import ttypes

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.core import metrics as metrics_module
    from banyantrack.generated.settings import ttypes as settings
    from banyantrack.replication import replica as replica_module
    from banyantrack.workload import state as state_module
    from banyantrack.workload import worker_client

# Longest time between two checks whether this member leads.
LEADER_CHECK_INTERVAL_S = 0.1
# Delay after an unexpected error before this member steps down, which bounds
# the rate of elections if other leaders meet the same error.
FAILURE_DELAY_S = 0.2
_LOG = logging.getLogger(__name__)


class WorkLeadership:
    """Runs a work session whenever this member leads.

    Args:
        replica: The member.
        state: The replicated state.
        platform_client: Creates clients of workers.
        options: Settings of the platform.
        propose: Proposes a command of the intent state.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        state: state_module.WorkState,
        platform_client: worker_client.PlatformClient,
        options: settings.ControlPlatformSettings,
        propose: collections.abc.Callable[
            [intent.Command], collections.abc.Awaitable[typing.Any]
        ],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._replica = replica
        self._state = state
        self._platform_client = platform_client
        self._options = options
        self._propose_intent = propose
        self._metrics = metrics
        self._session: work_session.WorkSession | None = None

    @property
    def session(self) -> work_session.WorkSession | None:
        """The session; None unless this member leads."""
        return self._session

    async def propose(self, command: ttypes.WorkCommand) -> typing.Any:
        """Proposes a command and returns its result.

        Raises:
            ReplicationError: If it is not committed.
        """
        return await self._propose_intent(
            intent.Command(now_ms=clock.now_ms(), work=command)
        )

    async def run(self) -> None:
        """Runs one session in each term that this member leads.

        It runs until cancelled.
        """
        while True:
            if not (self._replica.ready and self._replica.lease_holds()):
                await self._replica.wait_next_applied(LEADER_CHECK_INTERVAL_S)
                continue
            self._session = session = work_session.WorkSession(
                self._replica,
                self._state,
                self._platform_client,
                self._options,
                self.propose,
                self._metrics,
            )
            try:
                await session.run()
            except errors.InvariantError:
                raise
            except Exception as error:
                logs.unexpected_error(
                    _LOG, 'work_failed', error, term=session.token
                )
                await curio.sleep(FAILURE_DELAY_S)
            finally:
                self._session = None
            # A later session must not share the fencing token of this one.
            if self._replica.term == session.token:
                await self._replica.step_down()
