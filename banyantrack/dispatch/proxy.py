"""Takes a caller's request through claim, slot, attempts and answer."""

from __future__ import annotations

import itertools
import logging
import time
import typing

import curio
import h11

from banyantrack.core import findings
from banyantrack.core import ids
from banyantrack.core import logs
from banyantrack.core import states
from banyantrack.dispatch import attempts
from banyantrack.dispatch import budget as budget_module
from banyantrack.dispatch import claims as claims_module
from banyantrack.dispatch import dispatcher as dispatcher_module
from banyantrack.dispatch import pools
from banyantrack.dispatch import requests as requests_module
from banyantrack.generated.intent import ttypes as intent
from banyantrack.transport import http
from banyantrack.transport import problems

if typing.TYPE_CHECKING:
    from banyantrack.core import metrics as metrics_module
    from banyantrack.transport import http_server

Outcome = states.Outcome
ClaimVerdict = intent.ClaimVerdict
# A hedge starts when an answer takes this many times the high quantile of
# the route's run times.
HEDGE_FACTOR = 1.0
SHORTEST_HEDGE_S = 0.02
# Callers in flight are looked at this often for whether they left.
CALLER_CHECK_S = 0.2
_LOG = logging.getLogger(__name__)
_BODILESS = frozenset((204, 304))
_RESPONSE_OWN = frozenset(
    (b'banyan-request-id', b'banyan-outcome', b'connection')
)


class FailedError(Exception):
    """All attempts failed.

    Attributes:
        outcome: What is known of the request.
        timed_out: Whether time ran out.
    """

    def __init__(
        self, message: str, outcome: Outcome, *, timed_out: bool
    ) -> None:
        super().__init__(message)
        self.outcome = outcome
        self.timed_out = timed_out


class _Won:
    """The attempt whose answer is passed on, and the answer."""

    __slots__ = ('attempt', 'answer')

    def __init__(
        self, attempt: attempts.Attempt, answer: attempts.Answer
    ) -> None:
        self.attempt = attempt
        self.answer = answer


class Proxy:
    """Serves callers' requests at one entry.

    Args:
        dispatcher: Slots and queues.
        pool: Connections to backends.
        claims: Claims of non-idempotent requests.
        metrics: Metrics of the process.
        entry: Name of this entry, unique with its start.
    """

    def __init__(
        self,
        dispatcher: dispatcher_module.Dispatcher,
        pool: pools.Pool,
        claims: claims_module.Claims,
        metrics: metrics_module.Metrics,
        *,
        entry: str,
    ) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._claims = claims
        self._metrics = metrics
        self._entry = entry
        self._ids = itertools.count(1)
        self._budget = budget_module.RetryBudget(
            dispatcher.settings.retry_budget
        )
        self._known_meters: dict[
            tuple[str, Outcome],
            tuple[metrics_module.Counter, metrics_module.Histogram],
        ] = {}
        self._in_flight: dict[
            requests_module.CallerRequest,
            tuple[http_server.Request, list[attempts.Attempt]],
        ] = {}

    @property
    def in_flight(self) -> int:
        """Requests at backends."""
        return len(self._in_flight)

    async def serve(
        self, incoming: http_server.Request, route: requests_module.Route
    ) -> None:
        """Serves one request of a route."""
        number = next(self._ids)
        own_id = f'{self._entry}-{number:x}'
        given = incoming.header(b'banyan-request-id')
        try:
            request = requests_module.CallerRequest(
                route, incoming, ids.RequestId(given or own_id), own_id
            )
        except findings.FindingsError as error:
            body = problems.body(400, 'headers', found=error.findings)
            await self._refuse(incoming, 400, body, given or own_id)
            return
        outcome, status, cause = await self._serve(request, incoming)
        self._note(request, outcome, status, cause)

    async def check_callers(self) -> None:
        """Ends idempotent work whose caller has left."""
        for request, (incoming, open_attempts) in list(
            self._in_flight.items()
        ):
            if not request.idempotent or request.caller_gone:
                continue
            if incoming.connection.peer_left():
                request.caller_gone = True
                for attempt in open_attempts:
                    attempt.interrupt()

    # One request.

    async def _serve(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> tuple[Outcome, int, str]:
        """Returns outcome, status and cause, after the answer was sent."""
        try:
            await self._read_start(request, incoming)
        except http.BodyTooLargeError as error:
            body = problems.body(413, str(error))
            await self._refuse(incoming, 413, body, request.request_id)
            return Outcome.NOT_RUN, 413, 'body-too-large'
        claimed = not request.idempotent and bool(request.key)
        if claimed:
            told = await self._claim(request, incoming)
            if told is not None:
                return told
        try:
            won = await self._attempt(request, incoming)
        except dispatcher_module.RefusedError as error:
            if claimed:
                await self._claims.release(request)
            await self._send_refusal(request, incoming, error)
            return Outcome.NOT_RUN, 503, error.cause.value
        except FailedError as error:
            if claimed:
                await self._settle_failed(request, error)
            return await self._send_failure(request, incoming, error)
        except attempts.CallerError as error:
            # What the backend made of the start of it is not known.
            if claimed:
                await self._claims.record_unknown(request)
            logs.event(
                _LOG,
                'request_cut',
                request=request.request_id,
                error=error,
            )
            await incoming.connection.close()
            return Outcome.UNKNOWN, 499, 'caller-cut'
        try:
            if claimed:
                await self._record(request, won.answer)
            return await self._send_answer(request, incoming, won)
        finally:
            await self._close(request, won.attempt)

    async def _read_start(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> None:
        """Reads the body, or the start of a large one, before any slot."""
        settings = self._dispatcher.settings
        length = http.header(incoming.headers, b'content-length')
        if length is not None and int(length) > settings.body_limit_bytes:
            raise http.BodyTooLargeError(
                f'got {int(length)} bytes; valid are at most'
                f' {settings.body_limit_bytes}'
            )
        if not incoming.has_body:
            await incoming.next_event()
            return
        body = bytearray()
        while len(body) <= settings.replay_bytes:
            event = await incoming.next_event()
            if isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                request.body = bytes(body)
                return
            else:
                raise http.ClosedError('the request broke off')
        request.body = bytes(body)
        request.body_complete = False

    # Claims.

    async def _claim(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> tuple[Outcome, int, str] | None:
        """Claims a request; returns what its caller was told if not."""
        try:
            result = await self._claims.claim(request, incoming)
        except claims_module.ClaimUnavailableError as error:
            return await self._send_problem(
                request, incoming, 503, str(error), Outcome.NOT_RUN, 'control'
            )
        match result.verdict:
            case ClaimVerdict.GRANTED:
                return None
            case ClaimVerdict.RECORDED if result.status:
                return await self._send_recorded(request, incoming, result)
            case ClaimVerdict.RECORDED:
                text = 'it ran; its answer was too large to be kept'
                outcome = Outcome.DONE
            case ClaimVerdict.IN_PROGRESS:
                text = 'a request with this key is in progress'
                outcome = Outcome.UNKNOWN
            case ClaimVerdict.UNKNOWN:
                text = 'the outcome of a request with this key is unknown'
                outcome = Outcome.UNKNOWN
            case ClaimVerdict.MISMATCH:
                return await self._send_problem(
                    request,
                    incoming,
                    422,
                    'this Idempotency-Key was used for another request',
                    Outcome.NOT_RUN,
                    'key-mismatch',
                )
            case _:
                return await self._send_problem(
                    request,
                    incoming,
                    503,
                    'the table of claims is full of recent ones',
                    Outcome.NOT_RUN,
                    'claims-full',
                )
        return await self._send_problem(
            request, incoming, 409, text, outcome, 'claimed'
        )

    async def _send_recorded(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        result: intent.ClaimResult,
    ) -> tuple[Outcome, int, str]:
        headers = self._headers(request, Outcome.DONE)
        if result.content_type:
            headers.append((b'content-type', result.content_type.encode()))
        headers.append((b'idempotency-replayed', b'true'))
        await incoming.respond(result.status, headers, result.body)
        return Outcome.DONE, result.status, 'recorded'

    async def _record(
        self,
        request: requests_module.CallerRequest,
        answer: attempts.Answer,
    ) -> None:
        content_type = http.header(answer.headers, b'content-type')
        status = answer.status if answer.complete else 0
        await self._claims.record(
            request,
            status=status,
            content_type=(content_type or b'').decode('latin-1'),
            body=answer.body,
        )

    async def _settle_failed(
        self, request: requests_module.CallerRequest, error: FailedError
    ) -> None:
        if error.outcome is Outcome.NOT_RUN:
            await self._claims.release(request)
        else:
            await self._claims.record_unknown(request)

    # Attempts.

    async def _attempt(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> _Won:
        """Tries backends until one answers or no more is allowed.

        Raises:
            RefusedError: If it certainly did not run.
            FailedError: If the attempts failed.
        """
        self._budget.note_first()
        maybe_ran = False
        while True:
            try:
                target = await self._dispatcher.acquire(request)
            except dispatcher_module.RefusedError as error:
                if maybe_ran:
                    raise FailedError(
                        str(error), Outcome.UNKNOWN, timed_out=True
                    ) from error
                raise
            request.attempts += 1
            attempt = attempts.Attempt(request, incoming, target, self._pool)
            try:
                return await self._run(request, incoming, attempt)
            except attempts.AttemptError as error:
                await self._close(request, attempt)
                maybe_ran |= error.ran is attempts.Ran.MAYBE
                if error.ran is not attempts.Ran.NOT_RUN:
                    target.note_failure()
                if error.timed_out:
                    # Without it, run times would be those of the fast only.
                    self._dispatcher.note_unfinished(request, error.run_s)
                logs.event(
                    _LOG,
                    'attempt_failed',
                    request=request.request_id,
                    backend=target.backend.backend_id,
                    ran=error.ran.value,
                    error=error,
                )
                if not self._may_retry(request, error):
                    outcome = Outcome.NOT_RUN
                    if maybe_ran:
                        outcome = Outcome.UNKNOWN
                    raise FailedError(
                        str(error), outcome, timed_out=error.timed_out
                    ) from error
            except BaseException:
                await self._close(request, attempt)
                raise

    def _may_retry(
        self,
        request: requests_module.CallerRequest,
        error: attempts.AttemptError,
    ) -> bool:
        if request.caller_gone or request.left_s <= 0:
            return False
        if not request.body_complete:
            # A part of the body went with the attempt.
            return False
        if error.ran is attempts.Ran.MAYBE and not request.idempotent:
            return False
        return self._budget.take()

    async def _run(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        attempt: attempts.Attempt,
    ) -> _Won:
        """Runs one attempt, with a hedge where that is safe."""
        open_attempts = [attempt]
        self._in_flight[request] = (incoming, open_attempts)
        try:
            await attempt.send()
            hedge_s = self._hedge_after_s(request)
            if hedge_s is None:
                return _Won(attempt, await attempt.receive())
            try:
                answer = await attempt.receive(timeout_s=hedge_s)
            except curio.TaskTimeout:
                return await self._hedge(request, incoming, open_attempts)
            return _Won(attempt, answer)
        finally:
            del self._in_flight[request]

    def _hedge_after_s(
        self, request: requests_module.CallerRequest
    ) -> float | None:
        if not request.idempotent or not request.body_complete:
            return None
        if request.lane is not states.ServiceClass.QUICK:
            return None
        times = self._dispatcher.run_times(request.route)
        if not times.trusted:
            return None
        return max(HEDGE_FACTOR * times.high_s, SHORTEST_HEDGE_S)

    async def _hedge(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        open_attempts: list[attempts.Attempt],
    ) -> _Won:
        """Asks a second backend too; the first whole answer counts."""
        first = open_attempts[0]
        target = None
        if self._budget.available:
            target = self._dispatcher.try_acquire(request, first.target)
        if target is None:
            return _Won(first, await first.receive())
        self._budget.take()
        self._metrics.counter('banyan_hedges').add()
        second = attempts.Attempt(request, incoming, target, self._pool)
        open_attempts.append(second)
        results = curio.Queue()
        tasks = [
            await curio.spawn(_receive_into, first, results, daemon=True),
            await curio.spawn(
                _send_and_receive_into, second, results, daemon=True
            ),
        ]
        failure: attempts.AttemptError | None = None
        won: _Won | None = None
        try:
            for _ in tasks:
                attempt, result = await results.get()
                if isinstance(result, attempts.Answer):
                    won = _Won(attempt, result)
                    return won
                failure = _worse(failure, result)
            raise failure
        finally:
            for task in tasks:
                await task.cancel()
            if won is None or won.attempt is not second:
                await self._close(request, second)
            elif won.attempt is not first:
                first.target.note_failure()
                await self._close(request, first)

    async def _close(
        self,
        request: requests_module.CallerRequest,
        attempt: attempts.Attempt,
    ) -> None:
        await attempt.abort()
        await self._dispatcher.release(request, attempt.target)

    # Answers.

    def _headers(
        self, request: requests_module.CallerRequest, outcome: Outcome
    ) -> http.Headers:
        return [
            (b'banyan-request-id', request.request_id.encode('latin-1')),
            (b'banyan-outcome', outcome.value.encode()),
        ]

    async def _send_answer(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        won: _Won,
    ) -> tuple[Outcome, int, str]:
        answer = won.answer
        status = answer.status
        headers = [
            (key, value)
            for key, value in http.end_to_end(answer.headers)
            if key not in _RESPONSE_OWN
        ]
        headers += self._headers(request, Outcome.DONE)
        if answer.complete:
            await won.attempt.finish()
            self._dispatcher.note_run(
                request, won.attempt.target, answer.run_s
            )
            if incoming.method != 'HEAD' and status not in _BODILESS:
                headers = [h for h in headers if h[0] != b'content-length']
                await incoming.respond(status, headers, answer.body)
            else:
                await incoming.start_response(status, headers)
                await incoming.end_response()
            return Outcome.DONE, status, ''
        return await self._stream(request, incoming, won, status, headers)

    async def _stream(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        won: _Won,
        status: int,
        headers: http.Headers,
    ) -> tuple[Outcome, int, str]:
        """Passes a large answer on as it comes.

        If it breaks off the caller's connection is closed without its end,
        so that a part is never taken for the whole.
        """
        await incoming.start_response(status, headers)
        await incoming.send_data(won.answer.body)
        try:
            while (data := await won.attempt.next_data()) is not None:
                await incoming.send_data(data)
        except attempts.AttemptError as error:
            logs.event(
                _LOG,
                'answer_cut',
                level=logging.WARNING,
                request=request.request_id,
                error=error,
            )
            await incoming.connection.close()
            return Outcome.UNKNOWN, status, 'cut'
        await incoming.end_response()
        await won.attempt.finish()
        self._dispatcher.note_run(
            request, won.attempt.target, won.answer.run_s
        )
        return Outcome.DONE, status, ''

    async def _send_refusal(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        error: dispatcher_module.RefusedError,
    ) -> None:
        headers = self._headers(request, Outcome.NOT_RUN)
        headers += [
            (b'content-type', problems.CONTENT_TYPE.encode()),
            (b'retry-after', str(error.retry_after_s).encode()),
        ]
        body = problems.body(503, str(error), cause=error.cause.value)
        await incoming.respond(503, headers, body)

    async def _send_failure(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        error: FailedError,
    ) -> tuple[Outcome, int, str]:
        if request.caller_gone:
            await incoming.connection.close()
            return error.outcome, 499, 'caller-gone'
        if error.outcome is Outcome.NOT_RUN and not error.timed_out:
            status = 503
        else:
            status = 504 if error.timed_out else 502
        return await self._send_problem(
            request, incoming, status, str(error), error.outcome, 'attempts'
        )

    async def _send_problem(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        status: int,
        detail: str,
        outcome: Outcome,
        cause: str,
    ) -> tuple[Outcome, int, str]:
        headers = self._headers(request, outcome)
        headers.append((b'content-type', problems.CONTENT_TYPE.encode()))
        if status == 503:
            headers.append((b'retry-after', b'1'))
        body = problems.body(status, detail, cause=cause)
        await incoming.respond(status, headers, body)
        return outcome, status, cause

    async def _refuse(
        self,
        incoming: http_server.Request,
        status: int,
        body: bytes,
        request_id: str,
    ) -> None:
        headers = [
            (b'content-type', problems.CONTENT_TYPE.encode()),
            (b'banyan-request-id', request_id.encode('latin-1')),
            (b'banyan-outcome', Outcome.NOT_RUN.value.encode()),
        ]
        await incoming.respond(status, headers, body)

    def _meters(
        self, route: str, outcome: Outcome
    ) -> tuple[metrics_module.Counter, metrics_module.Histogram]:
        """Returns the metrics of a route, looked up once."""
        found = self._known_meters.get((route, outcome))
        if found is None:
            found = (
                self._metrics.counter(
                    'banyan_requests', route=route, outcome=outcome.value
                ),
                self._metrics.histogram('banyan_request_us', route=route),
            )
            self._known_meters[(route, outcome)] = found
        return found

    def _note(
        self,
        request: requests_module.CallerRequest,
        outcome: Outcome,
        status: int,
        cause: str,
    ) -> None:
        now_s = time.monotonic()
        route = request.route.name
        counter, histogram = self._meters(route, outcome)
        counter.add()
        histogram.record(now_s - request.received_at)
        if _LOG.isEnabledFor(logging.INFO):
            logs.event(
                _LOG,
                'request',
                request=request.request_id,
                route=route,
                customer=request.customer,
                lane=request.lane.value,
                outcome=outcome.value,
                status=status,
                cause=cause,
                attempts=request.attempts,
                duration_ms=round((now_s - request.received_at) * 1000, 3),
                late=now_s > request.deadline,
            )


async def _receive_into(
    attempt: attempts.Attempt, results: curio.Queue
) -> None:
    try:
        result: object = await attempt.receive()
    except attempts.AttemptError as error:
        result = error
    await results.put((attempt, result))


async def _send_and_receive_into(
    attempt: attempts.Attempt, results: curio.Queue
) -> None:
    try:
        # A silent connection is found out by a fresh one.
        await attempt.send(fresh=True)
        result: object = await attempt.receive()
    except attempts.AttemptError as error:
        result = error
    await results.put((attempt, result))


def _worse(
    known: attempts.AttemptError | None, error: attempts.AttemptError
) -> attempts.AttemptError:
    """Returns the failure that leaves more open."""
    if known is None or error.ran is attempts.Ran.MAYBE:
        return error
    return known
