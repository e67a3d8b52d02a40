"""The callers' listener: an ASGI application that forwards requests to backend servers.

Layer: transport.  One request takes this way: its host name gives the brand and the service, the
dispatcher gives an endpoint, the request goes there, and the answer comes back as it arrives.  The
listener is plain ASGI since falcon does not show an application that its caller has gone; see
`docs/DESIGN.md`.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from absl import logging

from cloverhook import headers as h
from cloverhook.dispatch import Dispatcher, Target
from cloverhook.errors import ErrorKind, Outcome, RequestError, UpstreamError, answer_for
from cloverhook.routing import Arrival, AttemptEnded, AttemptResult
from cloverhook.settings import DaemonSettings
from cloverhook.timeline import TimeLine
from cloverhook.upstream import AnswerHead, RequestHead, UpstreamPool

__all__ = ["ADDRESSES_PATH", "CallerApp"]

ADDRESSES_PATH = "/.well-known/cloverhook/addresses"
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"))

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Addresses = Callable[[Target], dict[str, Any]]


@dataclass(slots=True)
class _Exchange:
    """A caller's request on its way through this daemon."""

    request_id: str
    target: Target
    head: RequestHead
    deadline_ms: float
    idempotent: bool
    receive: Receive
    send: Send
    answer_started: bool = False
    body_taken: bool = False


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
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._pool = pool
        self._time_line = time_line
        self._clock_ms = clock_ms
        self._addresses = addresses
        self.leaving = False

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        request_id = h.request_id_of(scope["headers"])
        try:
            await self._serve(scope, receive, send, request_id)
        except RequestError as error:
            await self._send_error(send, error, request_id)
        except UpstreamError as error:
            logging.info("callers: request %s was cut: %s.", request_id, error)
            raise
        except Exception:
            logging.exception("callers: request %s met a fault of ours.", request_id)
            raise

    async def _serve(
        self, scope: dict[str, Any], receive: Receive, send: Send, request_id: str
    ) -> None:
        target = self._dispatcher.target_for(h.find(scope["headers"], b"host") or b"")
        if scope["path"] == ADDRESSES_PATH:
            await self._send_json(send, self._addresses(target))
            return
        exchange = self._open(scope, receive, send, request_id, target)
        await self._forward(exchange, scope["path"])

    def _open(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        request_id: str,
        target: Target,
    ) -> _Exchange:
        received: h.Headers = scope["headers"]
        timeout_ms = h.timeout_ms_of(received, target.policy.timeout_ms)
        length = h.find(received, b"content-length")
        chunked = h.find(received, b"transfer-encoding") is not None
        if length is not None and int(length) > self._settings.body_limit_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        target_bytes = scope["raw_path"]
        if scope["query_string"]:
            target_bytes += b"?" + scope["query_string"]
        head = RequestHead(
            scope["method"].encode(),
            target_bytes,
            h.end_to_end(received),
            has_body=chunked or length not in (None, b"0"),
            chunked=chunked,
        )
        return _Exchange(
            request_id,
            target,
            head,
            self._clock_ms() + timeout_ms,
            scope["method"] in IDEMPOTENT_METHODS,
            receive,
            send,
        )

    async def _forward(self, exchange: _Exchange, path: str) -> None:
        arrival = Arrival(
            exchange.request_id,
            exchange.target.service.priority_of(path),
            exchange.deadline_ms,
            exchange.idempotent,
        )
        address = await self._dispatcher.admit(exchange.target, arrival, self._clock_ms())
        while True:
            ended = await self._attempt(exchange, address)
            if ended is None:
                return
            address = await self._dispatcher.retry(exchange.target, ended, self._clock_ms())

    async def _attempt(self, exchange: _Exchange, address: str) -> AttemptEnded | None:
        """Make one attempt; return its end when another one is wanted, else None."""
        started_ms = self._clock_ms()
        self._note("attempt", exchange, address)
        result = AttemptResult.CANCELLED
        load: int | None = None
        try:
            async with asyncio.timeout((exchange.deadline_ms - started_ms) / 1000):
                head = await self._exchange(exchange, address)
                load = h.load_of(head.headers)
                result = AttemptResult.FAILED if head.status >= 500 else AttemptResult.ANSWERED
        except UpstreamError as error:
            result = AttemptResult.CUT if error.sent else AttemptResult.NOT_SENT
        except TimeoutError:
            result = AttemptResult.TIMED_OUT
        except _RefusedError:
            result = AttemptResult.REFUSED
        finally:
            latency_ms = self._clock_ms() - started_ms
            again = self._wants_again(exchange, result)
            ended = AttemptEnded(
                exchange.request_id, address, result, latency_ms, load, again=again
            )
            self._note(result.value, exchange, address)
            if not again:
                self._dispatcher.ended(exchange.target, ended, self._clock_ms())
        if again:
            return ended
        if result is AttemptResult.TIMED_OUT and not exchange.answer_started:
            raise RequestError(ErrorKind.DEADLINE_IN_RUN)
        if result is AttemptResult.CUT and not exchange.answer_started:
            raise RequestError(ErrorKind.CONNECTION_CUT)
        if result not in (AttemptResult.ANSWERED, AttemptResult.FAILED):
            raise UpstreamError("the answer was cut after its head had gone out", sent=True)
        return None

    def _wants_again(self, exchange: _Exchange, result: AttemptResult) -> bool:
        if exchange.answer_started or exchange.body_taken:
            return False
        return result in (AttemptResult.REFUSED, AttemptResult.NOT_SENT, AttemptResult.CUT)

    async def _exchange(self, exchange: _Exchange, address: str) -> AnswerHead:
        connection = await self._pool.acquire(address)
        try:
            head = self._head_for(exchange)
            body = self._body(exchange) if exchange.head.has_body else None
            answer = await connection.send(head, body)
            if h.outcome_of(answer.headers) is Outcome.NOT_RUN and answer.status == 503:
                raise _RefusedError
            await self._answer(exchange, answer, connection.read())
            return answer
        except BaseException:
            connection.close()
            raise
        finally:
            self._pool.release(address, connection)

    def _head_for(self, exchange: _Exchange) -> RequestHead:
        remaining_ms = max(1, int(exchange.deadline_ms - self._clock_ms()))
        own = (h.REQUEST_ID, h.DEADLINE)
        sent = [pair for pair in exchange.head.headers if pair[0] not in own]
        sent.append((h.REQUEST_ID, exchange.request_id.encode()))
        sent.append((h.DEADLINE, str(remaining_ms).encode()))
        head = exchange.head
        return RequestHead(head.method, head.target, sent, head.has_body, head.chunked)

    async def _body(self, exchange: _Exchange) -> AsyncIterator[bytes]:
        taken_bytes = 0
        more = True
        while more:
            message = await exchange.receive()
            if message["type"] == "http.disconnect":
                raise UpstreamError("the caller has gone", sent=True)
            exchange.body_taken = True
            taken_bytes += len(message["body"])
            if taken_bytes > self._settings.body_limit_bytes:
                raise RequestError(ErrorKind.BODY_TOO_LARGE_IN_RUN)
            yield message["body"]
            more = message["more_body"]

    async def _answer(
        self, exchange: _Exchange, head: AnswerHead, body: AsyncIterator[bytes]
    ) -> None:
        sent = h.end_to_end(head.headers)
        sent.append((h.REQUEST_ID, exchange.request_id.encode()))
        sent.append((h.OUTCOME, Outcome.RAN.value.encode()))
        if self.leaving:
            sent.append((b"connection", b"close"))
        exchange.answer_started = True
        await exchange.send({"type": "http.response.start", "status": head.status, "headers": sent})
        async for chunk in body:
            await exchange.send({"type": "http.response.body", "body": chunk, "more_body": True})
        await exchange.send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _send_error(self, send: Send, error: RequestError, request_id: str) -> None:
        answer = answer_for(error.kind)
        sent = [
            (h.REQUEST_ID, request_id.encode()),
            (h.OUTCOME, answer.outcome.value.encode()),
            (h.ERROR, error.kind.value.encode()),
        ]
        if answer.retry_after:
            seconds = max(1, round(error.retry_after_ms / 1000))
            sent.append((b"retry-after", str(seconds).encode()))
        if self.leaving:
            sent.append((b"connection", b"close"))
        body = {"error": error.kind.value, "outcome": answer.outcome.value, "detail": str(error)}
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

    def _note(self, name: str, exchange: _Exchange, address: str) -> None:
        self._time_line.add(self._clock_ms(), name, request_id=exchange.request_id, address=address)


class _RefusedError(Exception):
    """The backend server refused the request before it did any work."""
