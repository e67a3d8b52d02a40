"""A caller's request while this daemon forwards it, and its attempts at backend servers.

Layer: transport.  A request's body is read from its caller once.  While it is small it is kept in
memory, so that another attempt can send it again.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from cloverhook import headers as h
from cloverhook.dispatch import Target
from cloverhook.endpoint_reports import is_rejection
from cloverhook.errors import ErrorKind, Outcome, RequestError, UpstreamError
from cloverhook.observed_app import Observation
from cloverhook.upstream import AnswerHead, RequestHead, UpstreamConnection, UpstreamPool

__all__ = [
    "AnswerCapture",
    "CapturedAnswer",
    "Exchange",
    "Receive",
    "RejectedError",
    "RequestBody",
    "Send",
]

MIN_FAILURE_STATUS = 500

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class RejectedError(Exception):
    """The backend server rejected the request before it did any work.

    `server_draining` is whether the backend server reported that it accepts no new requests at all.
    It wants none of this VM for `backoff_ms`.
    """

    def __init__(self, leaving: bool, backoff_ms: float = 0.0) -> None:
        super().__init__("the backend server rejected the request")
        self.server_draining = leaving
        self.backoff_ms = backoff_ms


class RequestBody:
    """The body of a caller's request, which is kept while it has at most `limit_bytes`."""

    def __init__(self, receive: Receive, limit_bytes: int) -> None:
        self._receive = receive
        self._limit_bytes = limit_bytes
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self.ended = False
        self.can_resend = True

    async def initial_part(self) -> bytes:
        """Return the start of the body for a new attempt.

        This is all that has been kept, or else the next part, for which it waits.
        """
        if self._kept or self.ended:
            return b"".join(self._kept)
        return await self._receive_part()

    async def remaining_parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body that the caller has not sent yet."""
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
            self.can_resend = False
            self._kept.clear()
        elif part:
            self._kept.append(part)


@dataclass(frozen=True, slots=True)
class CapturedAnswer:
    """A complete answer as it was sent to its caller."""

    status: int
    headers: h.Headers
    body: bytes


class AnswerCapture:
    """Keeps a copy of an answer while it is sent to the caller.

    `answer` is None until the answer is complete, and stays None when its body is larger than the
    limit.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._remaining_bytes = limit_bytes
        self._status = 0
        self._headers: h.Headers = []
        self._parts: list[bytes] = []
        self.answer: CapturedAnswer | None = None
        self.complete = False

    def record_head(self, status: int, headers: h.Headers) -> None:
        """Record the head of the answer."""
        self._status = status
        self._headers = [pair for pair in headers if pair[0] != b"connection"]

    def add_body_part(self, part: bytes, more: bool) -> None:
        """Record a part of the body; without `more` the answer is complete."""
        self._remaining_bytes -= len(part)
        if self._remaining_bytes >= 0:
            self._parts.append(part)
        self.complete = not more
        if self.complete and self._remaining_bytes >= 0:
            self.answer = CapturedAnswer(self._status, self._headers, b"".join(self._parts))

    @property
    def ran(self) -> bool:
        """Whether the answer is complete and reports that its request ran."""
        return self.complete and h.outcome_of(self._headers) is Outcome.RAN


@dataclass(slots=True)
class Exchange:
    """A request and the state of its attempts.

    `sent` is whether a byte of the current attempt may have left this process, and `maybe_ran`
    whether an earlier attempt may have run.  `caller_attempt` is the number of the attempt that
    this request is for the layer above: when it is more than 1, that layer retries, and this one
    does not.
    """

    request_id: str
    target: Target
    path: str
    head: RequestHead
    deadline_ms: float
    idempotent: bool
    body: RequestBody | None
    send: Send
    observation: Observation
    caller_attempt: int = 1
    proxied_for: str = ""
    """The daemon that has passed the request on to this one; "" for a caller's request."""
    proxy_header: tuple[bytes, bytes] | None = None
    """Set while the current attempt is by way of another daemon."""
    attempts: int = 0
    sent: bool = False
    maybe_ran: bool = False
    bad_answer: bool = False
    answer_started: bool = False
    capture: "AnswerCapture | None" = None

    @property
    def retryable(self) -> bool:
        """Whether another attempt can send the same request.

        It can while no part of an answer has been sent to the caller and the body is still kept.
        """
        return not self.answer_started and (self.body is None or self.body.can_resend)

    async def attempt(
        self,
        address: str,
        pool: UpstreamPool,
        now_ms: Callable[[], float],
        closing: bool,
        on_head: Callable[[AnswerHead], None] = lambda head: None,
    ) -> AnswerHead:
        """Send the request to an endpoint and its answer to the caller.

        `on_head` is called with the head of the answer, which may be long before its end.
        Raises `UpstreamError` when the exchange with the backend server fails, `RejectedError`
        when the backend server rejects the request, and `RequestError` when the request's body
        can't be read.
        """
        self.sent = False
        connection = await pool.acquire(address, self.idempotent)
        started_ms = now_ms()
        try:
            answer = await self._send_request(connection, now_ms)
            on_head(answer)
            if self.proxy_header is not None and h.outcome_of(answer.headers) is Outcome.NOT_RUN:
                raise RejectedError(leaving=False)
            if is_rejection(answer.status, answer.headers):
                raise RejectedError(
                    h.is_draining(answer.headers), h.backoff_ms_of(answer.headers) or 0.0
                )
            await self._send_answer(answer, connection, closing)
        except RejectedError:
            raise
        except (UpstreamError, asyncio.CancelledError):
            if connection.is_unanswered:
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
        initial_body = b"" if self.body is None else await self.body.initial_part()
        remaining_body = (
            None if self.body is None or self.body.ended else self.body.remaining_parts()
        )
        remaining_ms = self.deadline_ms - now_ms()
        if remaining_ms <= 0:
            raise TimeoutError
        head = self._build_head(remaining_ms)
        if connection.usable:
            self.sent = True
        return await connection.send(head, initial_body, remaining_body)

    def _build_head(self, remaining_ms: float) -> RequestHead:
        headers = [
            *self.head.headers,
            (h.REQUEST_ID, self.request_id.encode()),
            (h.DEADLINE, str(max(1, int(remaining_ms))).encode()),
        ]
        self.attempts += 1
        attempt = max(self.attempts, self.caller_attempt)
        if self.proxy_header is not None:
            headers.append(self.proxy_header)
            attempt = self.caller_attempt
        if attempt > 1:
            headers.append((h.ATTEMPT, str(attempt).encode()))
        head = self.head
        return RequestHead(head.method, head.target, headers, head.has_body, head.chunked)

    def _outcome(self, answer: AnswerHead) -> Outcome:
        reported = h.outcome_of(answer.headers)
        if self.proxy_header is not None and reported is not None:
            return reported
        return _outcome(answer)

    async def _send_answer(
        self, answer: AnswerHead, connection: UpstreamConnection, closing: bool
    ) -> None:
        headers = h.end_to_end(answer.headers)
        headers.append((h.REQUEST_ID, self.request_id.encode()))
        headers.append((h.OUTCOME, self._outcome(answer).value.encode()))
        if self.proxy_header is not None:
            headers += [pair for pair in answer.headers if pair[0] == h.ERROR]
        if closing:
            headers.append((b"connection", b"close"))
        self.answer_started = True
        if self.capture is not None:
            self.capture.record_head(answer.status, headers)
        start = {"type": "http.response.start", "status": answer.status, "headers": headers}
        await self.send(start)
        more = True
        if not connection.has_answer_bytes:
            await self.send({"type": "http.response.body", "body": b"", "more_body": True})
        while more:
            part, more = await connection.read()
            if self.capture is not None:
                self.capture.add_body_part(part, more)
            await self.send({"type": "http.response.body", "body": part, "more_body": more})


def _outcome(answer: AnswerHead) -> Outcome:
    """Return the outcome of a request according to its answer.

    A failure counts as `RAN` only if the answer says so: the status may come from a gateway that
    does not know whether the request ran.
    """
    if answer.status < MIN_FAILURE_STATUS:
        return Outcome.RAN
    reported = h.outcome_of(answer.headers)
    return Outcome.RAN if reported is Outcome.RAN else Outcome.UNKNOWN
