"""Claims of non-idempotent requests at the control group."""

from __future__ import annotations

import hashlib
import logging
import typing

import curio

from banyantrack.core import errors
from banyantrack.core import logs
from banyantrack.generated.cluster import ttypes as cluster
from banyantrack.generated.intent import ttypes as intent
from banyantrack.transport import rpc

if typing.TYPE_CHECKING:
    from banyantrack.dispatch import requests as requests_module
    from banyantrack.membership import config as config_module
    from banyantrack.transport import http_server

CLAIM_TIMEOUT_S = 1.0
RECORD_TIMEOUT_S = 2.0
RECORD_TRIES = 30
RECORD_PAUSE_S = 0.5
_LOG = logging.getLogger(__name__)


class ClaimUnavailableError(errors.BanyanError):
    """The request could not be claimed, so it was not run."""


class Claims:
    """Claims and records of one entry.

    Args:
        control: The control group.
        answer_limit: Largest answer that is recorded.
    """

    def __init__(
        self, control: config_module.ControlClient, *, answer_limit: int
    ) -> None:
        self._control = control
        self._answer_limit = answer_limit

    async def claim(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> intent.ClaimResult:
        """Claims a request.

        The claimant is this very request, so a claim whose answer was lost
        can be made again.

        Raises:
            ClaimUnavailableError: If it cannot be claimed.
        """
        command = intent.ClaimCommand(
            key=_scoped_key(request),
            digest=_digest(request, incoming),
            claimant=request.claimant,
            deadline_ms=max(int(request.left_s * 1000), 1),
        )
        last: Exception | None = None
        while request.left_s > 0:
            try:
                reply = await self._call(
                    intent.Command(now_ms=0, claim=command),
                    min(CLAIM_TIMEOUT_S, max(request.left_s, 0.001)),
                )
                return reply.claim
            except (rpc.TransportError, rpc.CallError) as error:
                last = error
                if request.left_s < CLAIM_TIMEOUT_S:
                    break
                await curio.sleep(0.02)
        # A claim that may stand is freed, or later arrivals would be told
        # that the request is in progress.
        await curio.spawn(self.release, request, daemon=True)
        raise ClaimUnavailableError(f'control did not answer: {last}')

    async def record(
        self,
        request: requests_module.CallerRequest,
        *,
        status: int,
        content_type: str,
        body: bytes,
    ) -> bool:
        """Records the answer to a claimed request.

        Returns:
            Whether it is recorded now; if not it is tried on.
        """
        if len(body) > self._answer_limit:
            # That it ran must be known even where the answer is too large.
            status, content_type, body = 0, '', b''
        command = intent.ClaimResultCommand(
            key=_scoped_key(request),
            state=intent.ClaimState.DONE,
            status=status,
            content_type=content_type,
            body=body,
            claimant=request.claimant,
        )
        return await self._settle(
            intent.Command(now_ms=0, claim_result=command)
        )

    async def record_unknown(
        self, request: requests_module.CallerRequest
    ) -> None:
        """Records that nobody knows whether a claimed request ran."""
        command = intent.ClaimResultCommand(
            key=_scoped_key(request),
            state=intent.ClaimState.UNKNOWN,
            status=0,
            content_type='',
            body=b'',
            claimant=request.claimant,
        )
        await self._settle(intent.Command(now_ms=0, claim_result=command))

    async def release(self, request: requests_module.CallerRequest) -> None:
        """Frees a claim whose request certainly did not run."""
        command = intent.ClaimReleaseCommand(
            key=_scoped_key(request), claimant=request.claimant
        )
        await self._settle(intent.Command(now_ms=0, claim_release=command))

    async def _settle(self, command: intent.Command) -> bool:
        try:
            await self._call(command, RECORD_TIMEOUT_S)
            return True
        except (rpc.TransportError, rpc.CallError):
            await curio.spawn(self._settle_later, command, daemon=True)
            return False

    async def _settle_later(self, command: intent.Command) -> None:
        for _ in range(RECORD_TRIES):
            await curio.sleep(RECORD_PAUSE_S)
            try:
                await self._call(command, RECORD_TIMEOUT_S)
                return
            except (rpc.TransportError, rpc.CallError):
                continue
        logs.event(_LOG, 'claim_not_settled', level=logging.WARNING)

    async def _call(
        self, command: intent.Command, timeout_s: float
    ) -> cluster.CommandReply:
        return await self._control.call(
            cluster.CommandRequest(command=command), timeout_s=timeout_s
        )


def _scoped_key(request: requests_module.CallerRequest) -> str:
    """Keys of different customers never meet; those of routes do."""
    return f'{request.customer}/{request.key}'


def _digest(
    request: requests_module.CallerRequest, incoming: http_server.Request
) -> str:
    digest = hashlib.sha256()
    digest.update(f'{incoming.method} {incoming.target}\0'.encode())
    digest.update(request.body)
    return digest.hexdigest()
