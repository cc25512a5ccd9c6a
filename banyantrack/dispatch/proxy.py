"""Serves callers' requests: claims, slots, attempts, hedges and answers."""

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
# A hedge is sent once an answer takes longer than this multiple of the high
# quantile of the route's run times.
HEDGE_DELAY_FACTOR = 1.0
MIN_HEDGE_DELAY_S = 0.02
# Interval at which callers of requests in flight are checked for disconnects.
CALLER_CHECK_INTERVAL_S = 0.2
# Attempts broken off by a backend after which a request is not sent again: it
# may crash each backend that runs it. Nor is it hedged after the first one.
MAX_BROKEN_OFF = 2
_LOG = logging.getLogger(__name__)
_BODYLESS_STATUSES = frozenset((204, 304))
_OWN_RESPONSE_HEADERS = frozenset(
    (b'banyan-request-id', b'banyan-outcome', b'connection')
)


class AttemptsFailedError(Exception):
    """All allowed attempts failed.

    Attributes:
        outcome: Outcome to report to the caller: not run or unknown.
        timed_out: Whether the deadline passed.
    """

    def __init__(
        self, message: str, outcome: Outcome, *, timed_out: bool
    ) -> None:
        super().__init__(message)
        self.outcome = outcome
        self.timed_out = timed_out


class _AnsweredAttempt:
    """An attempt and the answer that is forwarded to the caller."""

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
        entry: Prefix of generated request ids, unique to this incarnation of
            the entry.
    """

    def __init__(
        self,
        dispatcher: dispatcher_module.Dispatcher,
        pool: pools.ConnectionPool,
        claims: claims_module.ClaimClient,
        metrics: metrics_module.Metrics,
        *,
        entry: str,
    ) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._claims = claims
        self._metrics = metrics
        self._request_id_prefix = entry
        self._request_numbers = itertools.count(1)
        self._budget = budget_module.RetryBudget(
            dispatcher.settings.retry_budget
        )
        self._route_metrics_cache: dict[
            tuple[str, Outcome],
            tuple[metrics_module.Counter, metrics_module.Histogram],
        ] = {}
        self._in_flight: dict[
            requests_module.CallerRequest,
            tuple[http_server.Request, list[attempts.Attempt]],
        ] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests with an open attempt."""
        return len(self._in_flight)

    async def serve(
        self, incoming: http_server.Request, route: requests_module.Route
    ) -> None:
        """Serves one request that matched a route."""
        number = next(self._request_numbers)
        generated_id = f'{self._request_id_prefix}-{number:x}'
        caller_request_id = incoming.header(b'banyan-request-id')
        try:
            request = requests_module.CallerRequest(
                route,
                incoming,
                ids.RequestId(caller_request_id or generated_id),
                generated_id,
            )
        except findings.FindingsError as error:
            body = problems.body(400, 'headers', found=error.findings)
            await self._send_not_run(
                incoming, 400, body, caller_request_id or generated_id
            )
            return
        outcome, status, cause = await self._serve(request, incoming)
        self._record_request(request, outcome, status, cause)

    async def check_callers(self) -> None:
        """Aborts idempotent requests whose caller has disconnected."""
        for request, (incoming, open_attempts) in list(
            self._in_flight.items()
        ):
            if not request.idempotent or request.caller_disconnected:
                continue
            if incoming.connection.peer_disconnected():
                request.caller_disconnected = True
                for attempt in open_attempts:
                    attempt.interrupt()

    # Request handling.

    async def _serve(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> tuple[Outcome, int, str]:
        """Sends the answer; returns its outcome, status code and cause."""
        try:
            await self._read_body_start(request, incoming)
        except http.BodyTooLargeError as error:
            body = problems.body(413, str(error))
            await self._send_not_run(incoming, 413, body, request.request_id)
            return Outcome.NOT_RUN, 413, 'body-too-large'
        claimed = not request.idempotent and bool(request.key)
        if claimed:
            reply = await self._claim(request, incoming)
            if reply is not None:
                return reply
        try:
            answered = await self._run_with_retries(request, incoming)
        except dispatcher_module.RefusedError as error:
            if claimed:
                await self._claims.release(request)
            await self._send_refusal(request, incoming, error)
            return Outcome.NOT_RUN, 503, error.cause.value
        except AttemptsFailedError as error:
            if claimed:
                await self._settle_failed_claim(request, error)
            return await self._send_failure(request, incoming, error)
        except attempts.CallerError as error:
            # The backend may have acted on the part that it received.
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
                await self._record_answer(request, answered.answer)
            return await self._send_answer(request, incoming, answered)
        finally:
            await self._close_attempt(request, answered.attempt)

    async def _read_body_start(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> None:
        """Reads the body before a slot is acquired.

        Of a body larger than `replay_bytes`, only the start is read.

        Raises:
            http.BodyTooLargeError: If Content-Length exceeds
                `body_limit_bytes`.
            http.ClosedError: If the caller closed before the end.
        """
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
            step = http.READ_BYTES
            if length is not None:
                step = min(step, int(length) - len(body))
            await incoming.hold(len(body) + step)
            event = await incoming.next_event()
            if isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                request.body = bytes(body)
                await incoming.hold(len(body))
                incoming.end_reading()
                return
            else:
                raise http.ClosedError(
                    'the caller closed before the end of the body'
                )
        request.body = bytes(body)
        request.body_complete = False
        incoming.end_reading()

    # Claims.

    async def _claim(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> tuple[Outcome, int, str] | None:
        """Claims a request.

        Returns:
            None if the claim was granted, else outcome, status code and
            cause of the answer that was sent instead.
        """
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
                text = (
                    'the request ran; its answer was too large to be recorded'
                )
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
                    'the claim table is full of recent claims',
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
        headers = self._response_headers(request, Outcome.DONE)
        if result.content_type:
            headers.append((b'content-type', result.content_type.encode()))
        headers.append((b'idempotency-replayed', b'true'))
        await incoming.respond(result.status, headers, result.body)
        return Outcome.DONE, result.status, 'recorded'

    async def _record_answer(
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

    async def _settle_failed_claim(
        self,
        request: requests_module.CallerRequest,
        error: AttemptsFailedError,
    ) -> None:
        if error.outcome is Outcome.NOT_RUN:
            await self._claims.release(request)
        else:
            await self._claims.record_unknown(request)

    # Attempts.

    async def _run_with_retries(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
    ) -> _AnsweredAttempt:
        """Tries backends until one answers or no retry is allowed.

        Raises:
            RefusedError: If no slot was available and no attempt can have
                run.
            AttemptsFailedError: If the attempts failed.
        """
        self._budget.record_first_attempt()
        maybe_ran = False
        while True:
            try:
                target = await self._dispatcher.acquire(request)
            except dispatcher_module.RefusedError as error:
                if maybe_ran:
                    raise AttemptsFailedError(
                        str(error), Outcome.UNKNOWN, timed_out=True
                    ) from error
                raise
            request.attempts += 1
            attempt = attempts.Attempt(request, incoming, target, self._pool)
            try:
                return await self._run_attempt(request, incoming, attempt)
            except attempts.AttemptError as error:
                await self._close_attempt(request, attempt)
                maybe_ran |= error.execution is attempts.Execution.MAYBE
                _count_broken_off(request, error)
                if error.execution is not attempts.Execution.NOT_RUN:
                    target.record_failure()
                if error.timed_out:
                    # Without timed-out runs, the run time statistics would
                    # cover only fast requests.
                    self._dispatcher.record_unfinished_run(
                        request, error.run_s
                    )
                logs.event(
                    _LOG,
                    'attempt_failed',
                    request=request.request_id,
                    backend=target.backend.backend_id,
                    ran=error.execution.value,
                    broken_off=request.broken_off,
                    error=error,
                )
                if not self._may_retry(request, error):
                    outcome = Outcome.NOT_RUN
                    if maybe_ran:
                        outcome = Outcome.UNKNOWN
                    raise AttemptsFailedError(
                        str(error), outcome, timed_out=error.timed_out
                    ) from error
            except BaseException:
                await self._close_attempt(request, attempt)
                raise

    def _may_retry(
        self,
        request: requests_module.CallerRequest,
        error: attempts.AttemptError,
    ) -> bool:
        if request.caller_disconnected or request.remaining_s <= 0:
            return False
        if not request.body_complete:
            # The body was not kept, so it cannot be sent again.
            return False
        if (
            error.execution is attempts.Execution.MAYBE
            and not request.idempotent
        ):
            return False
        if request.broken_off >= MAX_BROKEN_OFF:
            self._metrics.counter('banyan_requests_given_up').add()
            return False
        return self._budget.try_spend()

    async def _run_attempt(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        attempt: attempts.Attempt,
    ) -> _AnsweredAttempt:
        """Runs one attempt, with a hedge if the request is safe to repeat."""
        open_attempts = [attempt]
        self._in_flight[request] = (incoming, open_attempts)
        try:
            await attempt.send()
            hedge_delay_s = self._hedge_delay_s(request)
            if hedge_delay_s is None:
                return _AnsweredAttempt(attempt, await attempt.receive())
            try:
                answer = await attempt.receive(timeout_s=hedge_delay_s)
            except curio.TaskTimeout:
                return await self._run_with_hedge(
                    request, incoming, open_attempts
                )
            return _AnsweredAttempt(attempt, answer)
        finally:
            del self._in_flight[request]

    def _hedge_delay_s(
        self, request: requests_module.CallerRequest
    ) -> float | None:
        if not request.idempotent or not request.body_complete:
            return None
        if request.lane is not states.ServiceClass.QUICK:
            return None
        times = self._dispatcher.run_times(request.route)
        if not times.has_enough_samples:
            return None
        return max(
            HEDGE_DELAY_FACTOR * times.high_quantile_s, MIN_HEDGE_DELAY_S
        )

    async def _run_with_hedge(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        open_attempts: list[attempts.Attempt],
    ) -> _AnsweredAttempt:
        """Waits for the first answer, with a second attempt if allowed."""
        first = open_attempts[0]
        target = None
        if self._budget.available and not request.broken_off:
            target = self._dispatcher.try_acquire(request, first.target)
        if target is None:
            return _AnsweredAttempt(first, await first.receive())
        self._budget.try_spend()
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
        answered: _AnsweredAttempt | None = None
        try:
            for _ in tasks:
                attempt, result = await results.get()
                if isinstance(result, attempts.Answer):
                    answered = _AnsweredAttempt(attempt, result)
                    return answered
                if failure is not None:
                    # The failure that is raised is counted by the caller.
                    raised = _less_certain(failure, result)
                    _count_broken_off(
                        request, result if raised is failure else failure
                    )
                    raise raised
                failure = result
            raise failure
        finally:
            for task in tasks:
                await task.cancel()
            if answered is None or answered.attempt is not second:
                await self._close_attempt(request, second)
            elif answered.attempt is not first:
                first.target.record_failure()
                await self._close_attempt(request, first)

    async def _close_attempt(
        self,
        request: requests_module.CallerRequest,
        attempt: attempts.Attempt,
    ) -> None:
        await attempt.abort()
        await self._dispatcher.release(request, attempt.target)

    # Answers.

    def _response_headers(
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
        answered: _AnsweredAttempt,
    ) -> tuple[Outcome, int, str]:
        answer = answered.answer
        status = answer.status
        headers = [
            (key, value)
            for key, value in http.end_to_end(answer.headers)
            if key not in _OWN_RESPONSE_HEADERS
        ]
        headers += self._response_headers(request, Outcome.DONE)
        if answer.complete:
            await answered.attempt.finish()
            self._dispatcher.record_run(
                request, answered.attempt.target, answer.run_s
            )
            if incoming.method != 'HEAD' and status not in _BODYLESS_STATUSES:
                headers = [h for h in headers if h[0] != b'content-length']
                await incoming.respond(status, headers, answer.body)
            else:
                await incoming.start_response(status, headers)
                await incoming.end_response()
            return Outcome.DONE, status, ''
        return await self._stream(request, incoming, answered, status, headers)

    async def _stream(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        answered: _AnsweredAttempt,
        status: int,
        headers: http.Headers,
    ) -> tuple[Outcome, int, str]:
        """Streams a large answer to the caller.

        If the backend fails midway, the caller's connection is closed without
        the end of the message, so that the caller detects the truncation.
        """
        await incoming.start_response(status, headers)
        await incoming.send_data(answered.answer.body)
        try:
            while (data := await answered.attempt.next_data()) is not None:
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
        await answered.attempt.finish()
        self._dispatcher.record_run(
            request, answered.attempt.target, answered.answer.run_s
        )
        return Outcome.DONE, status, ''

    async def _send_refusal(
        self,
        request: requests_module.CallerRequest,
        incoming: http_server.Request,
        error: dispatcher_module.RefusedError,
    ) -> None:
        headers = self._response_headers(request, Outcome.NOT_RUN)
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
        error: AttemptsFailedError,
    ) -> tuple[Outcome, int, str]:
        if request.caller_disconnected:
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
        headers = self._response_headers(request, outcome)
        headers.append((b'content-type', problems.CONTENT_TYPE.encode()))
        if status == 503:
            headers.append((b'retry-after', b'1'))
        body = problems.body(status, detail, cause=cause)
        await incoming.respond(status, headers, body)
        return outcome, status, cause

    async def _send_not_run(
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

    def _route_metrics(
        self, route: str, outcome: Outcome
    ) -> tuple[metrics_module.Counter, metrics_module.Histogram]:
        """Returns the cached metrics of a route and outcome."""
        found = self._route_metrics_cache.get((route, outcome))
        if found is None:
            found = (
                self._metrics.counter(
                    'banyan_requests', route=route, outcome=outcome.value
                ),
                self._metrics.histogram('banyan_request_us', route=route),
            )
            self._route_metrics_cache[(route, outcome)] = found
        return found

    def _record_request(
        self,
        request: requests_module.CallerRequest,
        outcome: Outcome,
        status: int,
        cause: str,
    ) -> None:
        now_s = time.monotonic()
        route = request.route.name
        counter, histogram = self._route_metrics(route, outcome)
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
        # The first attempt may be stuck on a dead pooled connection, so the
        # hedge uses a new one.
        await attempt.send(new_connection=True)
        result: object = await attempt.receive()
    except attempts.AttemptError as error:
        result = error
    await results.put((attempt, result))


def _count_broken_off(
    request: requests_module.CallerRequest, error: attempts.AttemptError
) -> None:
    """Counts an attempt whose backend ended it instead of answering."""
    if error.execution is attempts.Execution.MAYBE and not error.timed_out:
        request.broken_off += 1


def _less_certain(
    previous: attempts.AttemptError | None, error: attempts.AttemptError
) -> attempts.AttemptError:
    """Returns the error that leaves more doubt whether the request ran."""
    if previous is None or error.execution is attempts.Execution.MAYBE:
        return error
    return previous
