"""The callers' listener: an ASGI application that forwards requests to backend servers.

Layer: transport.  One request takes this way: its host name gives the brand and the service, the
dispatcher gives an endpoint, the request goes there, and the answer comes back as it arrives.  A
caller that goes away cancels the task that serves its request (see `caller_protocol`).
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
from cloverhook.errors import ErrorKind, Outcome, RequestError, UpstreamError, answer_for
from cloverhook.exchange import Exchange, Receive, RejectedError, RequestBody, Send
from cloverhook.observed_app import Observation
from cloverhook.routing_events import Arrival, AttemptEnded, AttemptResult
from cloverhook.settings import DaemonSettings
from cloverhook.timeline import EventName, TimeLine
from cloverhook.upstream import RequestHead, UpstreamPool

__all__ = ["ADDRESSES_PATH", "CallerApp"]

ADDRESSES_PATH = "/.well-known/cloverhook/addresses"
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"))
NOT_RUN_RESULTS = frozenset((AttemptResult.REFUSED, AttemptResult.NOT_SENT))
DEFAULT_RETRY_AFTER_MS = 1_000

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
        once: AtMostOnceRunner,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._pool = pool
        self._time_line = time_line
        self._clock_ms = clock_ms
        self._addresses = addresses
        self._once = once
        self._admission = Admission(settings.requests_limit)
        self._in_progress: set[str] = set()
        self.draining = False

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        seen = Observation.from_scope(scope)
        seen.request_id = request_id = self._take_id(scope["headers"])
        self._note(EventName.REQUEST_ARRIVED, request_id, detail=scope["method"])
        try:
            await self._serve(scope, receive, send, seen)
        except UpstreamError as error:
            logging.info("callers: request %s was cut: %s.", request_id, error)
            raise
        except asyncio.CancelledError:
            seen.kind = ErrorKind.CALLER_GONE
            raise
        except Exception as error:
            logging.exception("callers: request %s met a fault of ours.", request_id)
            raise RequestError(ErrorKind.INTERNAL) from error
        finally:
            self._in_progress.discard(request_id)

    def _take_id(self, received: h.Headers) -> str:
        """Return the request's identifier, made unique among the requests in progress here."""
        request_id = h.request_id_of(received)
        if request_id in self._in_progress:
            request_id = f"{request_id}~{uuid.uuid4().hex}"
        self._in_progress.add(request_id)
        return request_id

    async def _serve(
        self, scope: dict[str, Any], receive: Receive, send: Send, seen: Observation
    ) -> None:
        exchange = None
        try:
            target = self._dispatcher.target_for(h.find(scope["headers"], b"host") or b"")
            seen.brand, seen.service = target.brand, target.service.name
            if scope["path"] == ADDRESSES_PATH:
                await self._send_addresses(scope, send, target)
                return
            exchange = self._open(scope, receive, send, seen, target)
            await self._take(exchange, h.find(scope["headers"], h.IDEMPOTENCY_KEY))
        except RequestError as error:
            if exchange is not None and exchange.answer_started:
                raise UpstreamError(f"after the answer's head: {error}", sent=True) from error
            await self._send_error(send, error, seen, exchange)

    async def _send_addresses(self, scope: dict[str, Any], send: Send, target: Target) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        data_center = query.get("data_center", [""])[0]
        unreachable = query.get("unreachable", [""])[0]
        close = [(b"connection", b"close")] if self.draining else None
        document = self._addresses(target, data_center, unreachable)
        await self._send_json(send, document, extra=close)

    def _open(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        seen: Observation,
        target: Target,
    ) -> Exchange:
        received: h.Headers = scope["headers"]
        timeout_ms = h.timeout_ms_of(received, target.policy.timeout_ms)
        if timeout_ms <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_RUN)
        length = h.find(received, b"content-length")
        chunked = h.find(received, b"transfer-encoding") is not None
        has_body = chunked or length not in (None, b"0")
        head = RequestHead(
            scope["method"].encode(), scope["target"], h.end_to_end(received), has_body, chunked
        )
        return Exchange(
            seen.request_id,
            target,
            scope["path"],
            head,
            self._clock_ms() + timeout_ms,
            scope["method"] in IDEMPOTENT_METHODS,
            RequestBody(receive, self._settings.kept_body_bytes) if has_body else None,
            send,
            seen,
            h.attempt_of(received),
        )

    async def _take(self, exchange: Exchange, key: bytes | None) -> None:
        """Serve a request within its brand's share of this daemon."""
        brand = exchange.target.brand
        if not self._admission.try_enter(brand):
            raise RequestError(ErrorKind.OVERLOADED, "the brand's share of this VM is in use")
        try:
            if key is None or exchange.idempotent:
                await self._forward(exchange)
            else:
                await self._once.run(exchange, key, self._forward)
        finally:
            self._admission.leave(brand)

    async def _forward(self, exchange: Exchange) -> None:
        arrival = Arrival(
            exchange.request_id,
            exchange.target.service.priority_of(exchange.path),
            exchange.deadline_ms,
            exchange.idempotent,
            exchange.caller_attempt,
        )
        address = await self._dispatcher.admit(exchange.target, arrival, self._clock_ms())
        while True:
            ended = await self._attempt(exchange, address)
            if ended is None:
                return
            address = await self._dispatcher.retry(exchange.target, ended, self._clock_ms())

    async def _attempt(self, exchange: Exchange, address: str) -> AttemptEnded | None:
        """Make one attempt; return its end when another one is wanted, else None."""
        started_ms = self._clock_ms()
        self._note(EventName.ATTEMPT_STARTED, exchange.request_id, address)
        result = AttemptResult.CANCELLED
        load: int | None = None
        leaving = False
        failure: Exception | None = None
        try:
            async with asyncio.timeout((exchange.deadline_ms - started_ms) / 1000):
                head = await exchange.attempt(
                    address, self._pool, self._clock_ms, closing=self.draining
                )
            load, leaving = h.load_of(head.headers), h.is_draining(head.headers)
            result = AttemptResult.FAILED if head.status >= 500 else AttemptResult.ANSWERED
        except UpstreamError as error:
            failure = error
            exchange.bad_answer = error.bad_answer
            result = AttemptResult.CUT if error.sent else AttemptResult.NOT_SENT
        except TimeoutError as error:
            failure = error
            result = AttemptResult.TIMED_OUT if exchange.sent else AttemptResult.NOT_SENT
        except RejectedError as error:
            failure, leaving = error, error.server_draining
            result = AttemptResult.REFUSED
        finally:
            exchange.maybe_ran |= exchange.sent and result not in NOT_RUN_RESULTS
            again = failure is not None and self._may_repeat(exchange, result)
            latency_ms = self._clock_ms() - started_ms
            ended = AttemptEnded(
                exchange.request_id, address, result, latency_ms, load, again, leaving
            )
            exchange.observation.record_attempt(latency_ms)
            self._note_attempt(ended)
            if not again:
                self._dispatcher.record_attempt_end(exchange.target, ended, self._clock_ms())
        if again:
            return ended
        if failure is not None:
            raise self._final_error(exchange, result) from failure
        return None

    def _may_repeat(self, exchange: Exchange, result: AttemptResult) -> bool:
        """Return whether another attempt is allowed: non-idempotent requests run at most once."""
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
        self, send: Send, error: RequestError, seen: Observation, exchange: Exchange | None
    ) -> None:
        kind = error.kind
        if exchange is not None and exchange.bad_answer and kind is ErrorKind.CONNECTION_CUT:
            kind = ErrorKind.BAD_ANSWER
        seen.kind = kind
        answer = answer_for(kind)
        outcome = answer.outcome
        if exchange is not None and exchange.maybe_ran and outcome is Outcome.NOT_RUN:
            outcome = Outcome.UNKNOWN
        sent = [
            (h.REQUEST_ID, seen.request_id.encode()),
            (h.OUTCOME, outcome.value.encode()),
            (h.ERROR, kind.value.encode()),
        ]
        if answer.retry_after:
            sent += _retry_after(error.retry_after_ms or DEFAULT_RETRY_AFTER_MS)
        if self.draining:
            sent.append((b"connection", b"close"))
        body = {"error": kind.value, "outcome": outcome.value, "detail": str(error)}
        await self._send_json(send, body, answer.status, sent)

    async def _send_json(
        self,
        send: Send,
        document: dict[str, Any],
        status: int = 200,
        extra: h.Headers | None = None,
    ) -> None:
        data = json.dumps(document).encode()
        sent = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(data)).encode()),
            *(extra or ()),
        ]
        await send({"type": "http.response.start", "status": status, "headers": sent})
        await send({"type": "http.response.body", "body": data, "more_body": False})

    def _note_attempt(self, ended: AttemptEnded) -> None:
        answered = ended.result is AttemptResult.ANSWERED
        name = EventName.ATTEMPT_ENDED if answered else EventName.ATTEMPT_FAILED
        self._note(name, ended.request_id, ended.address, ended.result.value)

    def _note(self, name: EventName, request_id: str, address: str = "", detail: str = "") -> None:
        self._time_line.add(wall_ms(), name, request_id=request_id, address=address, detail=detail)


def _retry_after(retry_after_ms: float) -> h.Headers:
    """Return the time to come back, in whole seconds and exactly."""
    seconds = max(1, -(-int(retry_after_ms) // 1_000))
    return [
        (b"retry-after", str(seconds).encode()),
        (h.RETRY_AFTER_MS, str(int(retry_after_ms)).encode()),
    ]
