"""Client of the control group for claims of non-idempotent requests."""

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
SETTLE_TIMEOUT_S = 2.0
SETTLE_RETRIES = 30
SETTLE_RETRY_DELAY_S = 0.5
_LOG = logging.getLogger(__name__)


class ClaimUnavailableError(errors.BanyanError):
    """The control group did not answer a claim; the request was not run."""


class ClaimClient:
    """Makes, settles and releases the claims of one entry.

    Args:
        control: Client of the control group.
        answer_limit: Largest answer body that is recorded, in bytes.
    """

    def __init__(
        self, control: config_module.ControlClient, *, answer_limit: int
    ) -> None:
        self._control = control
        self._answer_limit_bytes = answer_limit

    async def claim(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> intent.ClaimResult:
        """Claims a request.

        The claimant id is unique to this request, so a claim whose reply was
        lost is safe to repeat.

        Raises:
            ClaimUnavailableError: If the control group did not answer before
                the deadline.
        """
        command = intent.ClaimCommand(
            key=_scoped_key(request),
            digest=_digest(request, incoming),
            claimant=request.claimant,
            deadline_ms=max(int(request.remaining_s * 1000), 1),
        )
        last_error: Exception | None = None
        while request.remaining_s > 0:
            try:
                reply = await self._call(
                    intent.Command(now_ms=0, claim=command),
                    min(CLAIM_TIMEOUT_S, max(request.remaining_s, 0.001)),
                )
                return reply.claim
            except (rpc.TransportError, rpc.CallError) as error:
                last_error = error
                if request.remaining_s < CLAIM_TIMEOUT_S:
                    break
                await curio.sleep(0.02)
        # The claim may have been granted. Unless it is released, resends are
        # refused as in progress.
        await curio.spawn(self.release, request, daemon=True)
        raise ClaimUnavailableError(f'control did not answer: {last_error}')

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
            Whether the answer is recorded; if not, the record is retried in
            the background.
        """
        if len(body) > self._answer_limit_bytes:
            # A record without the answer still shows that the request ran.
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
        """Records that a claimed request may or may not have run."""
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
        """Releases a claim whose request certainly did not run."""
        command = intent.ClaimReleaseCommand(
            key=_scoped_key(request), claimant=request.claimant
        )
        await self._settle(intent.Command(now_ms=0, claim_release=command))

    async def _settle(self, command: intent.Command) -> bool:
        try:
            await self._call(command, SETTLE_TIMEOUT_S)
            return True
        except (rpc.TransportError, rpc.CallError):
            await curio.spawn(self._retry_settle, command, daemon=True)
            return False

    async def _retry_settle(self, command: intent.Command) -> None:
        for _ in range(SETTLE_RETRIES):
            await curio.sleep(SETTLE_RETRY_DELAY_S)
            try:
                await self._call(command, SETTLE_TIMEOUT_S)
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
    """Returns the claim key: unique per customer, shared by all routes."""
    return f'{request.customer}/{request.key}'


def _digest(
    request: requests_module.CallerRequest, incoming: http_server.Request
) -> str:
    digest = hashlib.sha256()
    digest.update(f'{incoming.method} {incoming.target}\0'.encode())
    digest.update(request.body)
    return digest.hexdigest()
