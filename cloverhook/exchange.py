"""One caller's request on its way through this daemon, and its attempts at backend servers.

Layer: transport.  A request's body is taken from its caller once.  While it is small it is kept,
so that another attempt can send it again.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from cloverhook import headers as h
from cloverhook.dispatch import Target
from cloverhook.errors import ErrorKind, Outcome, RequestError, UpstreamError
from cloverhook.observed_app import Observation
from cloverhook.upstream import AnswerHead, RequestHead, UpstreamConnection, UpstreamPool

__all__ = [
    "AnswerCapture",
    "CapturedAnswer",
    "Exchange",
    "Receive",
    "RefusedError",
    "RequestBody",
    "Send",
]

REJECTION_STATUS = 503
MIN_FAILURE_STATUS = 500

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class RefusedError(Exception):
    """The backend server refused the request before it did any work.

    `leaving` is whether it said that it takes no new work at all.
    """

    def __init__(self, leaving: bool) -> None:
        super().__init__("the backend server refused the request")
        self.leaving = leaving


class RequestBody:
    """The body of a caller's request; its first `limit_bytes` are kept."""

    def __init__(self, receive: Receive, limit_bytes: int) -> None:
        self._receive = receive
        self._limit_bytes = limit_bytes
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self.ended = False
        self.repeatable = True

    async def begin(self) -> bytes:
        """Return what is at hand for a new attempt; wait where that is nothing."""
        if self._kept or self.ended:
            return b"".join(self._kept)
        return await self._receive_part()

    async def rest(self) -> AsyncIterator[bytes]:
        """Yield what the caller still has to send."""
        while not self.ended:
            yield await self._receive_part()

    async def _receive_part(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise RequestError(ErrorKind.CALLER_GONE)
        part: bytes = message["body"]
        self.ended = not message["more_body"]
        self._keep(part)
        return part

    def _keep(self, part: bytes) -> None:
        self._kept_bytes += len(part)
        if self._kept_bytes > self._limit_bytes:
            self.repeatable = False
            self._kept.clear()
        elif part:
            self._kept.append(part)


@dataclass(frozen=True, slots=True)
class CapturedAnswer:
    """A whole answer as its caller got it."""

    status: int
    headers: h.Headers
    body: bytes


class AnswerCapture:
    """Keeps a copy of an answer on its way to the caller; `answer` is None for a large one."""

    def __init__(self, limit_bytes: int) -> None:
        self._remaining_bytes = limit_bytes
        self._status = 0
        self._headers: h.Headers = []
        self._parts: list[bytes] = []
        self.answer: CapturedAnswer | None = None
        self.whole = False

    def begin(self, status: int, headers: h.Headers) -> None:
        """Take the head of the answer."""
        self._status = status
        self._headers = [pair for pair in headers if pair[0] != b"connection"]

    def add(self, part: bytes, more: bool) -> None:
        """Take a part of the body; without `more` the answer is whole."""
        self._remaining_bytes -= len(part)
        if self._remaining_bytes >= 0:
            self._parts.append(part)
        self.whole = not more
        if self.whole and self._remaining_bytes >= 0:
            self.answer = CapturedAnswer(self._status, self._headers, b"".join(self._parts))

    @property
    def ran(self) -> bool:
        """Whether the whole answer says that its request ran."""
        return self.whole and h.outcome_of(self._headers) is Outcome.RAN


@dataclass(slots=True)
class Exchange:
    """A request with what is known of its attempts.

    `sent` says whether a byte of the attempt under way may have left this process, and
    `maybe_ran` whether an earlier attempt may have run.  `told_attempt` is which attempt of the
    layer above the request is: with more than 1, that layer retries, and this one does not.
    """

    request_id: str
    target: Target
    path: str
    head: RequestHead
    deadline_ms: float
    idempotent: bool
    body: RequestBody | None
    send: Send
    seen: Observation
    told_attempt: int = 1
    attempts: int = 0
    sent: bool = False
    maybe_ran: bool = False
    bad_answer: bool = False
    answer_started: bool = False
    capture: "AnswerCapture | None" = None

    @property
    def repeatable(self) -> bool:
        """Whether another attempt could send the same request and its answer would be the first."""
        return not self.answer_started and (self.body is None or self.body.repeatable)

    async def attempt(
        self, address: str, pool: UpstreamPool, now_ms: Callable[[], float], closing: bool
    ) -> AnswerHead:
        """Send the request to an endpoint and its answer to the caller.

        Raises `UpstreamError` when the exchange with the backend server fails, `RefusedError`
        when it refuses the request, and `RequestError` when the request's body fails.
        """
        self.sent = False
        connection = await pool.acquire(address, self.idempotent)
        started_ms = now_ms()
        try:
            answer = await self._send_request(connection, now_ms)
            if _is_rejection(answer):
                raise RefusedError(h.is_leaving(answer.headers))
            await self._send_answer(answer, connection, closing)
        except RefusedError:
            raise
        except (UpstreamError, asyncio.CancelledError):
            if connection.silent:
                pool.close_idle_since(address, started_ms)
            connection.close()
            raise
        except BaseException:
            connection.close()
            raise
        finally:
            pool.release(address, connection)
        return answer

    async def _send_request(
        self, connection: UpstreamConnection, now_ms: Callable[[], float]
    ) -> AnswerHead:
        first = b"" if self.body is None else await self.body.begin()
        rest = None if self.body is None or self.body.ended else self.body.rest()
        remaining_ms = self.deadline_ms - now_ms()
        if remaining_ms <= 0:
            raise TimeoutError
        head = self._head(remaining_ms)
        if connection.usable:
            self.sent = True
        return await connection.send(head, first, rest)

    def _head(self, remaining_ms: float) -> RequestHead:
        headers = [
            *self.head.headers,
            (h.REQUEST_ID, self.request_id.encode()),
            (h.DEADLINE, str(max(1, int(remaining_ms))).encode()),
        ]
        self.attempts += 1
        attempt = max(self.attempts, self.told_attempt)
        if attempt > 1:
            headers.append((h.ATTEMPT, str(attempt).encode()))
        head = self.head
        return RequestHead(head.method, head.target, headers, head.has_body, head.chunked)

    async def _send_answer(
        self, answer: AnswerHead, connection: UpstreamConnection, closing: bool
    ) -> None:
        headers = h.end_to_end(answer.headers)
        headers.append((h.REQUEST_ID, self.request_id.encode()))
        headers.append((h.OUTCOME, _outcome(answer).value.encode()))
        if closing:
            headers.append((b"connection", b"close"))
        self.answer_started = True
        if self.capture is not None:
            self.capture.begin(answer.status, headers)
        start = {"type": "http.response.start", "status": answer.status, "headers": headers}
        await self.send(start)
        more = True
        if not connection.has_answer_bytes:
            await self.send({"type": "http.response.body", "body": b"", "more_body": True})
        while more:
            part, more = await connection.read()
            if self.capture is not None:
                self.capture.add(part, more)
            await self.send({"type": "http.response.body", "body": part, "more_body": more})


def _outcome(answer: AnswerHead) -> Outcome:
    """Return what an answer shows of its request: a failure may stand for a gateway's guess."""
    if answer.status < MIN_FAILURE_STATUS:
        return Outcome.RAN
    told = h.outcome_of(answer.headers)
    return Outcome.RAN if told is Outcome.RAN else Outcome.UNKNOWN


def _is_rejection(answer: AnswerHead) -> bool:
    """Return whether this backend server itself refused the request before any work.

    An answer with an error kind comes from a daemon further down a chain of calls, which a backend
    server passed on: it says nothing of the backend server's own work.
    """
    refused = answer.status == REJECTION_STATUS and h.outcome_of(answer.headers) is Outcome.NOT_RUN
    return refused and h.find(answer.headers, h.ERROR) is None
