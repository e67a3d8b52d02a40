"""The callers' listener: an ASGI application that forwards requests to backend servers.

Layer: transport.  The host name of a request determines the brand and the service; the dispatcher
chooses an endpoint, the request is sent there, and the answer is streamed back as it arrives.  When
a caller disconnects, the task that serves its request is cancelled (see `caller_protocol`).
"""

import asyncio
import json
import uuid
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from absl import logging

from cloverhook import headers as h
from cloverhook.admission import Admission
from cloverhook.at_most_once import AtMostOnceRunner
from cloverhook.clock import wall_ms
from cloverhook.dispatch import Dispatcher, Target
from cloverhook.endpoint_reports import EndpointReport, reports_in
from cloverhook.errors import (
    ConnectError,
    ErrorKind,
    Outcome,
    RequestError,
    UpstreamError,
    answer_for,
)
from cloverhook.exchange import Exchange, Receive, RejectedError, RequestBody, Send
from cloverhook.observed_app import Observation
from cloverhook.proxied import proxied_by
from cloverhook.proxying import Proxying
from cloverhook.reach import Reach
from cloverhook.routing_events import Arrival, AttemptEnded, AttemptResult
from cloverhook.settings import DaemonSettings
from cloverhook.timeline import EventName, TimeLine
from cloverhook.upstream import AnswerHead, RequestHead, UpstreamPool

__all__ = ["ADDRESSES_PATH", "CallerApp"]

ADDRESSES_PATH = "/.well-known/cloverhook/addresses"
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"))
NOT_RUN_RESULTS = frozenset((AttemptResult.REFUSED, AttemptResult.NOT_SENT))
DEFAULT_RETRY_AFTER_MS = 1_000
WARNING_INTERVAL_S = 1
"""A backend server may repeat an invalid header with each answer."""

Addresses = Callable[[Target, str, str], dict[str, Any]]


class CallerApp:
    """The ASGI application for callers."""

    def __init__(
        self,
        settings: DaemonSettings,
        dispatcher: Dispatcher,
        pool: UpstreamPool,
        time_line: TimeLine,
        clock_ms: Callable[[], float],
        addresses: Addresses,
        at_most_once: AtMostOnceRunner,
        peer_key: bytes,
        proxying: Proxying,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._pool = pool
        self._time_line = time_line
        self._clock_ms = clock_ms
        self._addresses = addresses
        self._at_most_once = at_most_once
        self._admission = Admission(settings.requests_limit)
        self._in_progress: set[str] = set()
        self._peer_key = peer_key
        self._proxying = proxying
        self._reach: dict[str, Reach] = {}
        self._checks: set[asyncio.Task[None]] = set()
        self.draining = False

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        observation = Observation.from_scope(scope)
        observation.request_id = request_id = self._assign_id(scope["headers"])
        self._note(EventName.REQUEST_ARRIVED, request_id, detail=scope["method"])
        try:
            await self._serve(scope, receive, send, observation)
        except UpstreamError as error:
            logging.info("callers: the answer to request %s broke off: %s.", request_id, error)
            raise
        except asyncio.CancelledError:
            observation.kind = ErrorKind.CALLER_GONE
            raise
        except Exception as error:
            logging.exception("callers: request %s failed with an internal error.", request_id)
            raise RequestError(ErrorKind.INTERNAL) from error
        finally:
            self._in_progress.discard(request_id)

    def _assign_id(self, caller_headers: h.Headers) -> str:
        """Return the request's identifier, made unique among the requests in progress here.

        An identifier that another request in progress already has gets a random suffix.
        """
        request_id = h.request_id_of(caller_headers)
        if request_id in self._in_progress:
            request_id = f"{request_id}~{uuid.uuid4().hex}"
        self._in_progress.add(request_id)
        return request_id

    async def _serve(
        self, scope: dict[str, Any], receive: Receive, send: Send, observation: Observation
    ) -> None:
        exchange = None
        try:
            target = self._dispatcher.target_for(h.find(scope["headers"], b"host") or b"")
            observation.brand, observation.service = target.brand, target.service.name
            if scope["path"] == ADDRESSES_PATH:
                await self._send_addresses(scope, send, target)
                return
            exchange = self._open_exchange(scope, receive, send, observation, target)
            await self._serve_within_share(exchange, h.find(scope["headers"], h.IDEMPOTENCY_KEY))
        except RequestError as error:
            if exchange is not None and exchange.answer_started:
                raise UpstreamError(
                    f"failed after the answer's head was sent: {error}", sent=True
                ) from error
            await self._send_error(send, error, observation, exchange)

    async def _send_addresses(self, scope: dict[str, Any], send: Send, target: Target) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        data_center = query.get("data_center", [""])[0]
        unreachable = query.get("unreachable", [""])[0]
        close = [(b"connection", b"close")] if self.draining else None
        document = self._addresses(target, data_center, unreachable)
        await self._send_json(send, document, extra=close)

    def _open_exchange(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        observation: Observation,
        target: Target,
    ) -> Exchange:
        caller_headers: h.Headers = scope["headers"]
        timeout_ms = h.timeout_ms_of(caller_headers, target.policy.timeout_ms)
        if timeout_ms <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_RUN)
        length = h.find(caller_headers, b"content-length")
        chunked = h.find(caller_headers, b"transfer-encoding") is not None
        has_body = chunked or length not in (None, b"0")
        caller_id = (h.find(caller_headers, h.REQUEST_ID) or b"").decode("latin-1")
        head = RequestHead(
            scope["method"].encode(),
            scope["target"],
            h.end_to_end(caller_headers),
            has_body,
            chunked,
        )
        return Exchange(
            observation.request_id,
            target,
            scope["path"],
            head,
            self._clock_ms() + timeout_ms,
            scope["method"] in IDEMPOTENT_METHODS,
            RequestBody(receive, self._settings.kept_body_bytes) if has_body else None,
            send,
            observation,
            h.attempt_of(caller_headers),
            proxied_by(self._peer_key, caller_headers, caller_id),
        )

    async def _serve_within_share(self, exchange: Exchange, key: bytes | None) -> None:
        """Serve a request within its brand's share of this daemon's request limit.

        Raises `RequestError` with `OVERLOADED` when the share is in use.  Only a request that has
        an idempotency key and a method that is not idempotent goes through the at-most-once check,
        on the daemon that its caller has sent it to.
        """
        brand = exchange.target.brand
        if not self._admission.try_enter(brand):
            raise RequestError(ErrorKind.OVERLOADED, "the brand's share of this VM is in use")
        try:
            if key is None or exchange.idempotent or exchange.proxied_for:
                await self._forward(exchange)
            else:
                await self._at_most_once.run(exchange, key, self._forward)
        finally:
            self._admission.leave(brand)

    async def _forward(self, exchange: Exchange) -> None:
        """Send a request to an endpoint, or by way of another daemon if this one reaches none."""
        reach = self._reach.setdefault(exchange.target.key, Reach())
        self._check_if_due(reach)
        if reach.is_lost and await self._pass_on(exchange):
            return
        try:
            await self._forward_to_endpoint(exchange, reach)
        except RequestError as error:
            if error.kind is not ErrorKind.NO_BACKEND_SERVER or not await self._pass_on(exchange):
                raise

    def _check_if_due(self, reach: Reach) -> None:
        address = reach.due_check(self._clock_ms())
        if address is not None:
            task = asyncio.get_running_loop().create_task(self._check(reach, address))
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    async def _check(self, reach: Reach, address: str) -> None:
        """Record whether a connection to an endpoint can be opened."""
        try:
            connection = await self._pool.acquire(address, idempotent=False)
        except UpstreamError:
            reach.record_failure(address, self._clock_ms())
        else:
            self._pool.release(address, connection)
            reach.record_contact()

    async def _pass_on(self, exchange: Exchange) -> bool:
        if not self._proxying.may_pass_on(exchange):
            return False
        return await self._proxying.pass_on(exchange, self.draining)

    async def _forward_to_endpoint(self, exchange: Exchange, reach: Reach) -> None:
        arrival = Arrival(
            exchange.request_id,
            exchange.target.service.priority_of(exchange.path),
            exchange.deadline_ms,
            exchange.idempotent,
            exchange.caller_attempt,
        )
        address = await self._dispatcher.admit(exchange.target, arrival, self._clock_ms())
        while True:
            ended = await self._attempt(exchange, address, reach)
            if ended is None:
                return
            address = await self._dispatcher.retry(exchange.target, ended, self._clock_ms())

    async def _attempt(self, exchange: Exchange, address: str, reach: Reach) -> AttemptEnded | None:
        """Make one attempt; return how it ended if the request should be retried, else None."""
        started_ms = self._clock_ms()
        self._note(EventName.ATTEMPT_STARTED, exchange.request_id, address)
        result = AttemptResult.CANCELLED
        load: int | None = None
        is_server_draining = False
        backoff_ms = 0.0
        failure: Exception | None = None
        try:
            async with asyncio.timeout((exchange.deadline_ms - started_ms) / 1000):
                answer = await exchange.attempt(
                    address,
                    self._pool,
                    self._clock_ms,
                    closing=self.draining,
                    on_head=lambda head: self._record_head(exchange.target, address, head, reach),
                )
            load, is_server_draining = h.load_of(answer.headers), h.is_draining(answer.headers)
            result = AttemptResult.FAILED if answer.status >= 500 else AttemptResult.ANSWERED
        except UpstreamError as error:
            if isinstance(error, ConnectError):
                reach.record_failure(address, self._clock_ms())
            failure = error
            exchange.bad_answer = error.bad_answer
            result = AttemptResult.CUT if error.sent else AttemptResult.NOT_SENT
        except TimeoutError as error:
            failure = error
            result = AttemptResult.TIMED_OUT if exchange.sent else AttemptResult.NOT_SENT
        except RejectedError as error:
            failure, is_server_draining = error, error.server_draining
            backoff_ms = error.backoff_ms
            result = AttemptResult.REFUSED
        finally:
            exchange.maybe_ran |= exchange.sent and result not in NOT_RUN_RESULTS
            will_retry = failure is not None and self._may_retry(exchange, result)
            latency_ms = self._clock_ms() - started_ms
            ended = AttemptEnded(
                exchange.request_id,
                address,
                result,
                latency_ms,
                load,
                will_retry,
                is_server_draining,
                backoff_ms,
            )
            exchange.observation.record_attempt(latency_ms)
            self._note_attempt(ended)
            if not will_retry:
                self._dispatcher.record_attempt_end(exchange.target, ended, self._clock_ms())
        if will_retry:
            return ended
        if failure is not None:
            raise self._final_error(exchange, result) from failure
        return None

    def _record_head(self, target: Target, address: str, head: AnswerHead, reach: Reach) -> None:
        reach.record_contact()
        for report in reports_in(head.status, head.headers):
            self._dispatcher.record_report(target, address, report, self._clock_ms())
            if report is EndpointReport.INVALID:
                text = "listener: %s sent an invalid %s or Retry-After, which is ignored."
                name = h.LEAVING.decode()
                logging.log_every_n_seconds(
                    logging.WARNING, text, WARNING_INTERVAL_S, address, name
                )

    def _may_retry(self, exchange: Exchange, result: AttemptResult) -> bool:
        """Return whether another attempt is allowed.

        A request that is not idempotent must run at most once, so it is retried only after an
        attempt that is certain not to have run.
        """
        if not exchange.retryable or self._clock_ms() >= exchange.deadline_ms:
            return False
        if result in NOT_RUN_RESULTS:
            return True
        return result is AttemptResult.CUT and exchange.idempotent

    def _final_error(self, exchange: Exchange, result: AttemptResult) -> RequestError:
        if result is AttemptResult.TIMED_OUT:
            return RequestError(ErrorKind.DEADLINE_IN_RUN)
        if result is AttemptResult.CUT:
            return RequestError(ErrorKind.CONNECTION_CUT)
        if self._clock_ms() >= exchange.deadline_ms:
            return RequestError(ErrorKind.DEADLINE_BEFORE_RUN)
        if result is AttemptResult.REFUSED:
            return RequestError(ErrorKind.REFUSED, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
        return RequestError(ErrorKind.NO_BACKEND_SERVER, retry_after_ms=DEFAULT_RETRY_AFTER_MS)

    async def _send_error(
        self, send: Send, error: RequestError, observation: Observation, exchange: Exchange | None
    ) -> None:
        kind = error.kind
        if exchange is not None and exchange.bad_answer and kind is ErrorKind.CONNECTION_CUT:
            kind = ErrorKind.BAD_ANSWER
        observation.kind = kind
        answer = answer_for(kind)
        outcome = answer.outcome
        if exchange is not None and exchange.maybe_ran and outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        headers = [
            (h.REQUEST_ID, observation.request_id.encode()),
            (h.OUTCOME, outcome.value.encode()),
            (h.ERROR, kind.value.encode()),
        ]
        if answer.retry_after:
            headers += _retry_after(error.retry_after_ms or DEFAULT_RETRY_AFTER_MS)
        if self.draining:
            headers.append((b"connection", b"close"))
        body = {"error": kind.value, "outcome": outcome.value, "detail": str(error)}
        await self._send_json(send, body, answer.status, headers)

    async def _send_json(
        self,
        send: Send,
        document: dict[str, Any],
        status: int = 200,
        extra: h.Headers | None = None,
    ) -> None:
        data = json.dumps(document).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(data)).encode()),
            *(extra or ()),
        ]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": data, "more_body": False})

    def _note_attempt(self, ended: AttemptEnded) -> None:
        answered = ended.result is AttemptResult.ANSWERED
        name = EventName.ATTEMPT_ENDED if answered else EventName.ATTEMPT_FAILED
        detail = ended.result.value
        if ended.backoff_ms:
            detail += f", wants no requests for {ended.backoff_ms:g} ms"
        self._note(name, ended.request_id, ended.address, detail)

    def _note(self, name: EventName, request_id: str, address: str = "", detail: str = "") -> None:
        self._time_line.add(wall_ms(), name, request_id=request_id, address=address, detail=detail)


def _retry_after(retry_after_ms: float) -> h.Headers:
    """Return the headers for the time until a retry: in whole seconds, and exactly."""
    seconds = max(1, -(-int(retry_after_ms) // 1_000))
    return [
        (b"retry-after", str(seconds).encode()),
        (h.RETRY_AFTER_MS, str(int(retry_after_ms)).encode()),
    ]
