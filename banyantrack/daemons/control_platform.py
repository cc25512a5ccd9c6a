"""Platform interface of a control member: group formation, workers, jobs."""

from __future__ import annotations

import logging
import typing

import curio

from banyantrack.core import clock
from banyantrack.core import logs
from banyantrack.daemons import dry_run_api
from banyantrack.daemons import report_spread
from banyantrack.daemons import work_api
from banyantrack.daemons import work_leadership
from banyantrack.generated.workload import ttypes
from banyantrack.membership import locator
from banyantrack.platform import control_server
from banyantrack.platform import workers
from banyantrack.transport import addresses
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    import collections.abc

    from banyantrack.core import metrics as metrics_module
    from banyantrack.generated.intent import ttypes as intent
    from banyantrack.generated.settings import ttypes as settings_types
    from banyantrack.replication import replica as replica_module
    from banyantrack.transport import budget
    from banyantrack.workload import state as state_module

FORM_RETRY_DELAY_S = 0.2
FORM_TIMEOUT_S = 0.5
# After this long, a majority of the seeds is enough to form a group.
FORM_MAJORITY_WAIT_S = 5.0
_LOG = logging.getLogger(__name__)


class ControlPlatform:
    """Serves the platform's interface at one control member.

    Args:
        settings: Checked settings with a `platform` part.
        replica: The member.
        state: The replicated state of jobs.
        propose: Proposes a command of the intent state.
        pool: Connections to other members.
        metrics: Metrics of the process.
        limits: Limits of the process.
    """

    def __init__(
        self,
        settings: settings_types.ControlSettings,
        replica: replica_module.Replica,
        state: state_module.WorkState,
        propose: collections.abc.Callable[
            [intent.Command], collections.abc.Awaitable[typing.Any]
        ],
        pool: rpc.RpcPool,
        metrics: metrics_module.Metrics,
        limits: budget.Limits,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._state = state
        self._pool = pool
        options = settings.platform
        self._leadership = work_leadership.WorkLeadership(
            replica,
            state,
            workers.HttpPlatformClient(options),
            options,
            propose,
            metrics,
        )
        self._api = work_api.WorkApi(
            replica,
            state,
            self._leadership,
            pool,
            report_spread.ReportSpread(replica, state, options.leader_reports),
            zones=options.zones,
        )
        self._server = control_server.ControlServer(
            options.address, self._api, limits
        )

    def register(self, server: rpc.RpcServer) -> None:
        """Registers the RPC handlers for entries and other members."""
        server.handle(ttypes.JobCall, self._api.job_call, concurrent=True)
        server.handle(
            ttypes.ReportRequest, self._api.receive_report, concurrent=True
        )
        server.handle(
            ttypes.MembersRequest, self._api.members, concurrent=True
        )

    def dry_run(self, body: bytes) -> dict[str, object]:
        """Answers where a job would be placed now; changes nothing.

        Args:
            body: As for `dry_run_api.explain`.

        Raises:
            FindingsError: If the request is not valid.
            NotLeaderError: If this member does not lead.
        """
        session = self._leadership.session
        if session is None:
            raise self._replica.not_leader_error()
        return dry_run_api.explain(session, self._state, body)

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.start()
        async with curio.TaskGroup(wait=any) as tasks:
            leadership_task = await tasks.spawn(self._leadership.run)
            if self._settings.platform.first_start:
                await self._form_group()
        if isinstance(leadership_task.exception, Exception):
            raise leadership_task.exception

    async def stop(self) -> None:
        """Stops accepting calls; those in progress continue."""
        await self._server.stop_accepting()

    async def close(self) -> None:
        """Ends all connections."""
        await self._server.close()

    async def _form_group(self) -> None:
        """Makes this member the first voter if it has the lowest seed address.

        It waits until the other seeds have answered that their storage is
        empty as well. All other members ask to be admitted.
        """
        settings = self._settings
        port = addresses.parse(settings.rpc_address).port
        seeds = locator.rpc_addresses(settings.platform.seeds, port)
        if not seeds or settings.rpc_address != min(seeds):
            return
        others = [seed for seed in seeds if seed != settings.rpc_address]
        started_s = clock.steady_s()
        empty: set[str] = set()
        while self._replica.storage.is_empty:
            for seed in others:
                reply = await self._ask_members(seed)
                if reply is None:
                    continue
                if not reply.empty:
                    logs.event(_LOG, 'group_exists', seed=seed)
                    return
                empty.add(seed)
            waited_s = clock.steady_s() - started_s
            majority = 2 * (len(empty) + 1) > len(seeds)
            if len(empty) == len(others) or (
                majority and waited_s > FORM_MAJORITY_WAIT_S
            ):
                await self._replica.bootstrap()
                logs.event(_LOG, 'group_formed', seeds=','.join(seeds))
                return
            await curio.sleep(FORM_RETRY_DELAY_S)

    async def _ask_members(self, seed: str) -> ttypes.MembersReply | None:
        try:
            return await self._pool.call(
                seed,
                ttypes.MembersRequest(sender=self._settings.name),
                timeout_s=FORM_TIMEOUT_S,
            )
        except (rpc.TransportError, rpc.CallError):
            return None
