"""One request on a caller's connection and the answer to it.

Layer: transport.  This implements the server side of ASGI for one request.  The head of an answer
is sent together with the first part of its body.  When an answer breaks off, its connection is
reset.
"""

import asyncio
from typing import Any, Protocol

from absl import logging
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from cloverhook import headers as h
from cloverhook.errors import CloverhookError, ErrorKind, RequestError, answer_for

__all__ = ["CallerConnection", "RequestCycle", "error_answer"]

BODILESS_STATUSES = frozenset((204, 304))
LAST_CHUNK = b"0\r\n\r\n"


class CallerConnection(Protocol):
    """The part of a caller's connection that a `RequestCycle` uses."""

    transport: asyncio.Transport
    flow: FlowControl
    loop: asyncio.AbstractEventLoop
    expect_100_continue: bool

    @property
    def body_timeout_ms(self) -> float:
        """The longest time between two parts of a body."""

    def on_response_complete(self) -> None:
        """Continue after a complete answer."""

    def close_after_answer(self, drain: bool) -> None:
        """Close the connection once the answer is sent."""

    def reset_connection(self) -> None:
        """Reset the connection."""


class RequestCycle:
    """One request and its answer: the server side of ASGI."""

    def __init__(
        self, connection: CallerConnection, scope: dict[str, Any], keep_alive: bool
    ) -> None:
        self._connection = connection
        self._transport = connection.transport
        self._flow = connection.flow
        self._scope = scope
        self._head = b""
        self._chunked = False
        self._has_no_body = False
        self._remaining_bytes: int | None = None
        self.keep_alive = keep_alive
        self.waiting_for_continue = connection.expect_100_continue
        self.message_event = asyncio.Event()
        self.body = bytearray()
        self.more_body = True
        self.body_bytes = 0
        self.failure: ErrorKind | None = None
        self.disconnected = False
        self.response_started = False
        self.response_complete = False

    async def run(self, app: Any) -> None:
        """Run the application.

        When it fails after the head of its answer, the connection is reset.
        """
        try:
            await app(self._scope, self.receive, self.send)
        except CloverhookError:
            await self._send_internal_error()
        except Exception:
            logging.exception("listener: a request failed with an internal error.")
            await self._send_internal_error()
        finally:
            if not self.response_complete:
                self._connection.reset_connection()

    async def receive(self) -> dict[str, Any]:
        """Return the next part of the body.  Raises `RequestError` when the body has failed."""
        if self.waiting_for_continue and not self._transport.is_closing():
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.waiting_for_continue = False
        while not (self.body or self.failure or self.disconnected or self.response_complete):
            if not self.more_body and self.message_event.is_set():
                break
            await self._wait_for_body()
        if self.failure is not None:
            raise RequestError(self.failure)
        if self.disconnected or self.response_complete:
            return {"type": "http.disconnect"}
        self.message_event.clear()
        body, self.body = bytes(self.body), bytearray()
        return {"type": "http.request", "body": body, "more_body": self.more_body}

    async def send(self, message: dict[str, Any]) -> None:
        """Send the head or a part of the body of the answer.

        The head is held back and sent together with the first part of the body.
        """
        if self._flow.write_paused and not self.disconnected:
            await self._flow.drain()
        if self.disconnected:
            return
        if not self.response_started:
            self.response_started = True
            self._build_head(message["status"], message["headers"])
            return
        if self.response_complete or message["type"] != "http.response.body":
            raise RuntimeError("the application sent more than one answer to a request")
        more = message.get("more_body", False)
        data = self._encode_body_part(message.get("body", b""), more)
        head, self._head = self._head, b""
        if head or data:
            self._transport.write(head + data)
        if not more:
            self._complete()

    def fail(self, kind: ErrorKind) -> None:
        """Make the request's body fail with an error kind; the first one stays."""
        self.failure = self.failure or kind
        self.keep_alive = False
        self.message_event.set()

    async def _wait_for_body(self) -> None:
        self._flow.resume_reading()
        self.message_event.clear()
        if not self.more_body:
            await self.message_event.wait()
            return
        delay_s = self._connection.body_timeout_ms / 1000
        timer = self._connection.loop.call_later(delay_s, self.fail, ErrorKind.BODY_TIMED_OUT)
        try:
            await self.message_event.wait()
        finally:
            timer.cancel()

    async def _send_internal_error(self) -> None:
        if not self.response_started:
            status, headers, body = error_answer(ErrorKind.INTERNAL)
            await self.send({"type": "http.response.start", "status": status, "headers": headers})
            await self.send({"type": "http.response.body", "body": body})

    def _build_head(self, status: int, headers: h.Headers) -> None:
        lines = [STATUS_LINE[status]]
        closes = False
        if self.more_body or self.waiting_for_continue:
            self.keep_alive = False
        self._has_no_body = self._scope["method"] == "HEAD" or status in BODILESS_STATUSES
        for name, value in headers:
            if name == b"content-length":
                if status == 204:
                    continue
                self._remaining_bytes = int(value)
            elif name == b"connection" and value.lower() == b"close":
                self.keep_alive = False
                closes = True
            lines += (name, b": ", value, b"\r\n")
        if not self._has_no_body and self._remaining_bytes is None:
            if self._scope["http_version"] == "1.1":
                self._chunked = True
                lines.append(b"transfer-encoding: chunked\r\n")
            else:
                self.keep_alive = False
        if not self.keep_alive and not closes:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        self._head = b"".join(lines)

    def _encode_body_part(self, body: bytes, more: bool) -> bytes:
        if self._has_no_body:
            return b""
        if self._chunked:
            chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            return chunk if more else chunk + LAST_CHUNK
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(body)
            if self._remaining_bytes < 0 or (self._remaining_bytes and not more):
                raise RuntimeError("the answer's body does not match its content length")
        return body

    def _complete(self) -> None:
        self.response_complete = True
        self.message_event.set()
        if not self.keep_alive:
            self._connection.close_after_answer(drain=self.more_body)
        self._connection.on_response_complete()


def error_answer(kind: ErrorKind) -> tuple[int, h.Headers, bytes]:
    """Return the status, headers and body of an error answer from the listener itself."""
    answer = answer_for(kind)
    body = kind.value.encode()
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", str(len(body)).encode()),
        (h.OUTCOME, answer.outcome.value.encode()),
        (h.ERROR, kind.value.encode()),
    ]
    return answer.status, headers, body
