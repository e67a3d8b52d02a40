"""HTTP/1.1 towards callers: limits, refusals and one answer to each request, in order.

Layer: transport.  This is uvicorn's httptools protocol with a stricter reading of requests and
its own request cycle.  What a parser refuses is answered only after every earlier request has
had its answer; a caller that goes away cancels the task of its request.
"""

import asyncio
import contextlib
import socket
import struct
import urllib.parse
from asyncio.events import TimerHandle
from dataclasses import dataclass
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from cloverhook import headers as h
from cloverhook.errors import ErrorKind, RequestError, answer_for

__all__ = ["CallerProtocol", "Limits"]

BODILESS_STATUSES = frozenset((204, 304))
FRAMING_ALLOWANCE_BYTES = 65_536
FRAMING_RATIO = 16
HEADER_FRAMING_BYTES = 4
LAST_CHUNK = b"0\r\n\r\n"
LINGER_MS = 2_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SCHEMES = ("http", "https")
VERSIONS = ("1.0", "1.1")


@dataclass(frozen=True, slots=True)
class Limits:
    """How large and how slow a request may be.

    `body_timeout_ms` bounds the time between two parts of a body, and `header_timeout_ms` the
    time from the first byte of a head to its last.
    """

    header_bytes: int = 32_768
    header_count: int = 100
    url_bytes: int = 8_192
    body_bytes: int = 1_073_741_824
    header_timeout_ms: float = 10_000
    body_timeout_ms: float = 30_000


class _MalformedError(Exception):
    """Stops the parser; the protocol has noted the error kind."""


class _Cycle:
    """One request and its answer, as an ASGI server's side of the conversation."""

    def __init__(self, protocol: "CallerProtocol", scope: dict[str, Any], keep_alive: bool) -> None:
        self._protocol = protocol
        self._transport = protocol.transport
        self._flow = protocol.flow
        self._scope = scope
        self._head = b""
        self._chunked = False
        self._bodiless = False
        self._remaining_bytes: int | None = None
        self.keep_alive = keep_alive
        self.waiting_for_continue = protocol.expect_100_continue
        self.message_event = asyncio.Event()
        self.body = bytearray()
        self.more_body = True
        self.body_bytes = 0
        self.failure: ErrorKind | None = None
        self.disconnected = False
        self.response_started = False
        self.response_complete = False

    async def run(self, app: Any) -> None:
        """Run the application; a failure after the head of its answer breaks the connection."""
        try:
            await app(self._scope, self.receive, self.send)
        except Exception:
            await self._give_up()
        finally:
            if not self.response_complete:
                self._protocol.break_off()

    async def receive(self) -> dict[str, Any]:
        """Return the next part of the body.  Raises `RequestError` when there can be none."""
        if self.waiting_for_continue and not self._transport.is_closing():
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.waiting_for_continue = False
        while not (self.body or self.failure or self.disconnected or self.response_complete):
            if not self.more_body and self.message_event.is_set():
                break
            await self._wait()
        if self.failure is not None:
            raise RequestError(self.failure)
        if self.disconnected or self.response_complete:
            return {"type": "http.disconnect"}
        self.message_event.clear()
        body, self.body = bytes(self.body), bytearray()
        return {"type": "http.request", "body": body, "more_body": self.more_body}

    async def send(self, message: dict[str, Any]) -> None:
        """Send the head of the answer, or a part of its body; the head goes with the first part."""
        if self._flow.write_paused and not self.disconnected:
            await self._flow.drain()
        if self.disconnected:
            return
        if not self.response_started:
            self.response_started = True
            self._start(message["status"], message["headers"])
            return
        if self.response_complete or message["type"] != "http.response.body":
            raise RuntimeError("only one answer to one request")
        more = message.get("more_body", False)
        data = self._framed(message.get("body", b""), more)
        head, self._head = self._head, b""
        if head or data:
            self._transport.write(head + data)
        if not more:
            self._complete()

    def fail(self, kind: ErrorKind) -> None:
        """End the request's body with an error."""
        self.failure = self.failure or kind
        self.keep_alive = False
        self.message_event.set()

    async def _wait(self) -> None:
        self._flow.resume_reading()
        self.message_event.clear()
        if not self.more_body:
            await self.message_event.wait()
            return
        delay_s = self._protocol.limits.body_timeout_ms / 1000
        timer = self._protocol.loop.call_later(delay_s, self.fail, ErrorKind.BODY_TIMED_OUT)
        try:
            await self.message_event.wait()
        finally:
            timer.cancel()

    async def _give_up(self) -> None:
        if not self.response_started:
            status, headers, body = _error_answer(ErrorKind.INTERNAL)
            await self.send({"type": "http.response.start", "status": status, "headers": headers})
            await self.send({"type": "http.response.body", "body": body})

    def _start(self, status: int, headers: h.Headers) -> None:
        lines = [STATUS_LINE[status]]
        closes = False
        if self.more_body or self.waiting_for_continue:
            self.keep_alive = False
        self._bodiless = self._scope["method"] == "HEAD" or status in BODILESS_STATUSES
        for name, value in headers:
            if name == b"content-length":
                if status == 204:
                    continue
                self._remaining_bytes = int(value)
            elif name == b"connection" and value.lower() == b"close":
                self.keep_alive = False
                closes = True
            lines += (name, b": ", value, b"\r\n")
        if not self._bodiless and self._remaining_bytes is None:
            if self._scope["http_version"] == "1.1":
                self._chunked = True
                lines.append(b"transfer-encoding: chunked\r\n")
            else:
                self.keep_alive = False
        if not self.keep_alive and not closes:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        self._head = b"".join(lines)

    def _framed(self, body: bytes, more: bool) -> bytes:
        if self._bodiless:
            return b""
        if self._chunked:
            chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            return chunk if more else chunk + LAST_CHUNK
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(body)
            if self._remaining_bytes < 0 or (self._remaining_bytes and not more):
                raise RuntimeError("the answer's body does not have its length")
        return body

    def _complete(self) -> None:
        self.response_complete = True
        self.message_event.set()
        if not self.keep_alive:
            self._protocol.close_after_answer(drain=self.more_body)
        self._protocol.on_response_complete()


class CallerProtocol(HttpToolsProtocol):
    """One caller's connection."""

    limits = Limits()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection; one that stays silent is closed like an idle one."""
        super().connection_made(transport)
        # asyncio sets this itself only on sockets that were made with an explicit protocol number.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task: asyncio.Task[None] | None = None
        self._running: _Cycle | None = None
        self._refusal: ErrorKind | None = None
        self._deaf = False
        self._in_head = False
        self._head_bytes = 0
        self._body_framing_bytes = 0
        self._head_timer: TimerHandle | None = None
        self._linger_timer: TimerHandle | None = None
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that runs: its caller has gone."""
        running = self._running
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        for timer in (self._head_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()
        self.pipeline.clear()
        if running is not None and not running.response_complete:
            running.disconnected = True
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse what has come; after a refusal nothing is read any more."""
        if self._deaf:
            return
        self._unset_keepalive_if_required()
        earlier = self.cycle
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._deaf = True
        except httptools.HttpParserError:
            self._refuse(self._refusal or ErrorKind.BAD_REQUEST)
        else:
            if earlier is self.cycle and earlier is not None and earlier.more_body:
                self._check_framing(len(data))
        self._watch_head(bool(data))

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start a request."""
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0
        self._body_framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        super().on_url(url)
        if len(self.url) > self.limits.url_bytes:
            self._stop(ErrorKind.HEADERS_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; those after the body (trailers) are dropped."""
        self._head_bytes += len(name) + len(value) + HEADER_FRAMING_BYTES
        if self._head_bytes > self.limits.header_bytes:
            self._stop(ErrorKind.HEADERS_TOO_LARGE)
        if not self._in_head:
            return
        super().on_header(name, value)
        if len(self.headers) > self.limits.header_count:
            self._stop(ErrorKind.HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Check the head and start the request, or queue it behind an earlier one."""
        self._in_head = False
        version = self.parser.get_http_version()
        upgrade = self.parser.should_upgrade()
        self.scope["method"] = self.parser.get_method().decode("ascii")
        self.scope["http_version"] = version
        self._check_head(version, upgrade)
        self._set_target()
        keep_alive = version == "1.1" and self.parser.should_keep_alive() and not upgrade
        earlier, self.cycle = self.cycle, _Cycle(self, self.scope, keep_alive)
        if earlier is None or earlier.response_complete:
            self._start_asgi_task(self.cycle, self.app)
        else:
            self.flow.pause_reading()
            self.pipeline.appendleft((self.cycle, self.app))

    def on_body(self, body: bytes) -> None:
        """Take a part of a request's body."""
        cycle = self.cycle
        self._body_framing_bytes -= len(body) * FRAMING_RATIO
        if cycle.response_complete or cycle.failure is not None:
            return
        cycle.body_bytes += len(body)
        if cycle.body_bytes > self.limits.body_bytes:
            self._stop(ErrorKind.BODY_TOO_LARGE_IN_RUN)
        cycle.body += body
        if len(cycle.body) > HIGH_WATER_LIMIT:
            self.flow.pause_reading()
        cycle.message_event.set()

    def on_message_complete(self) -> None:
        """End the body of a request."""
        self.cycle.more_body = False
        self.cycle.message_event.set()

    # What a cycle calls.

    def on_response_complete(self) -> None:
        """Go on with the next request, or with the refusal that waits behind the answers."""
        self._running = None
        if self.transport.is_closing() or self._linger_timer is not None:
            return
        super().on_response_complete()
        if self._refusal is not None and self._running is None:
            self._write_refusal()

    def close_after_answer(self, drain: bool) -> None:
        """Close once the answer is out; with `drain`, let the caller read it before the end.

        A connection that is closed with unread input is reset, and the reset may overtake the
        answer.
        """
        if not drain:
            self.transport.close()
            return
        self._deaf = True
        self.flow.resume_reading()
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self._linger_timer = self.loop.call_later(LINGER_MS / 1000, self.transport.abort)

    def break_off(self) -> None:
        """Reset the connection, so that no caller takes a part of an answer for the whole."""
        if self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def _start_asgi_task(self, cycle: _Cycle, app: Any) -> None:
        self._running = cycle
        self._task = self.loop.create_task(cycle.run(app))
        self.tasks.add(self._task)
        self._task.add_done_callback(self.tasks.discard)

    def _check_head(self, version: str, upgrade: bool) -> None:
        hosts = 0
        for name, value in self.headers:
            if name == b"host":
                hosts += 1
            elif name == b"transfer-encoding":
                if version != "1.1" or upgrade or value.lower() != b"chunked":
                    self._stop(ErrorKind.BAD_REQUEST)
            elif name == b"content-length":
                if upgrade and value != b"0":
                    self._stop(ErrorKind.BAD_REQUEST)
                if int(value) > self.limits.body_bytes:
                    self._stop(ErrorKind.BODY_TOO_LARGE)
        if version not in VERSIONS or hosts != 1:
            self._stop(ErrorKind.BAD_REQUEST)

    def _set_target(self) -> None:
        target = self.url
        if not target.startswith(b"/"):
            target = self._origin_form(target)
        if b"#" in target:
            self._stop(ErrorKind.BAD_REQUEST)
        path, _, query = target.partition(b"?")
        text = path.decode("ascii")
        self.scope["path"] = urllib.parse.unquote(text) if "%" in text else text
        self.scope["raw_path"] = path
        self.scope["query_string"] = query
        self.scope["target"] = target

    def _origin_form(self, target: bytes) -> bytes:
        """Return the path of an absolute target, whose host goes before the Host header."""
        scheme, separator, rest = target.partition(b"://")
        authority, slash, path = rest.partition(b"/")
        authority, mark, query = authority.partition(b"?")
        known = scheme.lower().decode("ascii", "replace") in SCHEMES
        if not (known and separator and authority) or b"@" in authority:
            self._stop(ErrorKind.BAD_REQUEST)
        for index, (name, _) in enumerate(self.headers):
            if name == b"host":
                self.headers[index] = (name, authority)
        return b"/" + (mark + query if mark else b"") + (slash + path)[1:]

    def _stop(self, kind: ErrorKind) -> None:
        self._refusal = kind
        raise _MalformedError(kind.value)

    def _check_framing(self, received_bytes: int) -> None:
        """Refuse a body whose chunk sizes and extensions weigh far more than its content."""
        self._body_framing_bytes += received_bytes
        if self._body_framing_bytes > FRAMING_ALLOWANCE_BYTES:
            self._refuse(ErrorKind.BAD_REQUEST)

    def _refuse(self, kind: ErrorKind) -> None:
        """Read no more, and answer with an error after the requests that came before."""
        self._deaf = True
        cycle = self.cycle
        if not self._in_head and cycle is not None and cycle.more_body:
            if kind is ErrorKind.BAD_REQUEST:
                kind = ErrorKind.BAD_REQUEST_IN_RUN
            self._refusal = None
            cycle.fail(kind)
            return
        self._refusal = kind
        if self._running is None and not self.pipeline:
            self._write_refusal()

    def _write_refusal(self) -> None:
        status, headers, body = _error_answer(self._refusal)
        lines = [STATUS_LINE[status]]
        for name, value in (*headers, (b"connection", b"close")):
            lines += (name, b": ", value, b"\r\n")
        self._refusal = None
        self._unset_keepalive_if_required()
        self.transport.write(b"".join((*lines, b"\r\n", body)))
        self.close_after_answer(drain=True)

    def _watch_head(self, received: bool) -> None:
        waiting = received and self._in_head and not self._deaf
        if waiting and self._head_timer is None:
            delay_s = self.limits.header_timeout_ms / 1000
            self._head_timer = self.loop.call_later(delay_s, self._head_timed_out)
        elif not waiting and self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_timed_out(self) -> None:
        self._head_timer = None
        if not self._deaf:
            self._refuse(ErrorKind.HEADERS_TIMED_OUT)


def _error_answer(kind: ErrorKind) -> tuple[int, h.Headers, bytes]:
    answer = answer_for(kind)
    body = kind.value.encode()
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", str(len(body)).encode()),
        (h.OUTCOME, answer.outcome.value.encode()),
        (h.ERROR, kind.value.encode()),
    ]
    return answer.status, headers, body
