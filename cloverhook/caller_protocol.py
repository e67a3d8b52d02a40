"""HTTP/1.1 towards callers: limits, rejections and one answer to each request, in order.

Layer: transport.  This is uvicorn's httptools protocol with stricter validation of requests; the
module `request_cycle` handles each request and its answer.  A request that the parser rejects is
answered only after all earlier requests have been answered.  When a caller disconnects, the task of
its request is cancelled.
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

from cloverhook.errors import ErrorKind
from cloverhook.request_cycle import RequestCycle, error_answer
from cloverhook.socket_options import CALLER_LIVENESS

__all__ = ["CallerProtocol", "RequestLimits"]

FRAMING_ALLOWANCE_BYTES = 65_536
FRAMING_RATIO = 16
HEADER_FRAMING_BYTES = 4
LINGER_MS = 2_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SCHEMES = ("http", "https")
VERSIONS = ("1.0", "1.1")


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size and the speed of a request.

    `body_timeout_ms` limits the time between two parts of a body, and `header_timeout_ms` the time
    from the first byte of a head to its last.
    """

    header_bytes: int = 32_768
    header_count: int = 100
    url_bytes: int = 8_192
    body_bytes: int = 1_073_741_824
    header_timeout_ms: float = 10_000
    body_timeout_ms: float = 30_000


class _ParsingStoppedError(Exception):
    """Stops the parser; the protocol has stored the error kind before."""


class CallerProtocol(HttpToolsProtocol):
    """One caller's connection."""

    limits = RequestLimits()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Initialise the connection; one without any request is closed like an idle one."""
        super().connection_made(transport)
        # asyncio sets TCP_NODELAY only on sockets created with an explicit protocol number.
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        CALLER_LIVENESS.apply(sock)
        self._task: asyncio.Task[None] | None = None
        self._running_cycle: RequestCycle | None = None
        self._rejection: ErrorKind | None = None
        self._ignoring_input = False
        self._in_head = False
        self._head_bytes = 0
        self._body_framing_bytes = 0
        self._head_timer: TimerHandle | None = None
        self._linger_timer: TimerHandle | None = None
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request, because its caller has disconnected."""
        running_cycle = self._running_cycle
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        for timer in (self._head_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()
        self.pipeline.clear()
        if running_cycle is not None and not running_cycle.response_complete:
            running_cycle.disconnected = True
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes; after a rejection or upgrade, input is ignored."""
        if self._ignoring_input:
            return
        self._unset_keepalive_if_required()
        earlier = self.cycle
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._ignoring_input = True
        except httptools.HttpParserError:
            self._reject(self._rejection or ErrorKind.BAD_REQUEST)
        else:
            if earlier is self.cycle and earlier is not None and earlier.more_body:
                self._check_framing(len(data))
        self._update_head_timer(bool(data))

    @property
    def body_timeout_ms(self) -> float:
        """The longest time between two parts of a body."""
        return self.limits.body_timeout_ms

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0
        self._body_framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target."""
        super().on_url(url)
        if len(self.url) > self.limits.url_bytes:
            self._stop_parsing(ErrorKind.HEADERS_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers, the headers after the body, are dropped."""
        self._head_bytes += len(name) + len(value) + HEADER_FRAMING_BYTES
        if self._head_bytes > self.limits.header_bytes:
            self._stop_parsing(ErrorKind.HEADERS_TOO_LARGE)
        if not self._in_head:
            return
        super().on_header(name, value)
        if len(self.headers) > self.limits.header_count:
            self._stop_parsing(ErrorKind.HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Validate the head and start the request, or queue it behind an earlier one."""
        self._in_head = False
        version = self.parser.get_http_version()
        upgrade = self.parser.should_upgrade()
        self.scope["method"] = self.parser.get_method().decode("ascii")
        self.scope["http_version"] = version
        self._check_head(version, upgrade)
        self._set_target()
        keep_alive = version == "1.1" and self.parser.should_keep_alive() and not upgrade
        earlier, self.cycle = self.cycle, RequestCycle(self, self.scope, keep_alive)
        if earlier is None or earlier.response_complete:
            self._start_asgi_task(self.cycle, self.app)
        else:
            self.flow.pause_reading()
            self.pipeline.appendleft((self.cycle, self.app))

    def on_body(self, body: bytes) -> None:
        """Add a part of a request's body; dropped once the request is answered or failed."""
        cycle = self.cycle
        self._body_framing_bytes -= len(body) * FRAMING_RATIO
        if cycle.response_complete or cycle.failure is not None:
            return
        cycle.body_bytes += len(body)
        if cycle.body_bytes > self.limits.body_bytes:
            self._stop_parsing(ErrorKind.BODY_TOO_LARGE_IN_RUN)
        cycle.body += body
        if len(cycle.body) > HIGH_WATER_LIMIT:
            self.flow.pause_reading()
        cycle.message_event.set()

    def on_message_complete(self) -> None:
        """Mark the body of a request as complete."""
        self.cycle.more_body = False
        self.cycle.message_event.set()

    # Callbacks of a request cycle.

    def on_response_complete(self) -> None:
        """Start the next request, or send the rejection that waits until all answers are sent."""
        self._running_cycle = None
        if self.transport.is_closing() or self._linger_timer is not None:
            return
        super().on_response_complete()
        if self._rejection is not None and self._running_cycle is None:
            self._write_rejection()

    def close_after_answer(self, drain: bool) -> None:
        """Close the connection once the answer is sent.

        With `drain`, only the sending side is closed at first, so that the caller can read the
        answer: a connection that is closed with unread input is reset, and the reset may overtake
        the answer.
        """
        if not drain:
            self.transport.close()
            return
        self._ignoring_input = True
        self.flow.resume_reading()
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self._linger_timer = self.loop.call_later(LINGER_MS / 1000, self.transport.abort)

    def reset_connection(self) -> None:
        """Reset the connection, so that no caller takes an incomplete answer for a complete one."""
        if self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def _start_asgi_task(self, cycle: RequestCycle, app: Any) -> None:
        self._running_cycle = cycle
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
                    self._stop_parsing(ErrorKind.BAD_REQUEST)
            elif name == b"content-length":
                if upgrade and value != b"0":
                    self._stop_parsing(ErrorKind.BAD_REQUEST)
                if int(value) > self.limits.body_bytes:
                    self._stop_parsing(ErrorKind.BODY_TOO_LARGE)
        if version not in VERSIONS or hosts != 1:
            self._stop_parsing(ErrorKind.BAD_REQUEST)

    def _set_target(self) -> None:
        target = self.url
        if not target.startswith(b"/"):
            target = self._origin_form(target)
        if b"#" in target:
            self._stop_parsing(ErrorKind.BAD_REQUEST)
        path, _, query = target.partition(b"?")
        text = path.decode("ascii")
        self.scope["path"] = urllib.parse.unquote(text) if "%" in text else text
        self.scope["raw_path"] = path
        self.scope["query_string"] = query
        self.scope["target"] = target

    def _origin_form(self, target: bytes) -> bytes:
        """Return the origin form of an absolute target, whose host overrides the Host header."""
        scheme, separator, rest = target.partition(b"://")
        authority, slash, path = rest.partition(b"/")
        authority, mark, query = authority.partition(b"?")
        is_known_scheme = scheme.lower().decode("ascii", "replace") in SCHEMES
        if not (is_known_scheme and separator and authority) or b"@" in authority:
            self._stop_parsing(ErrorKind.BAD_REQUEST)
        for index, (name, _) in enumerate(self.headers):
            if name == b"host":
                self.headers[index] = (name, authority)
        return b"/" + (mark + query if mark else b"") + (slash + path)[1:]

    def _stop_parsing(self, kind: ErrorKind) -> None:
        self._rejection = kind
        raise _ParsingStoppedError(kind.value)

    def _check_framing(self, received_bytes: int) -> None:
        """Reject a body whose chunk sizes and extensions are far larger than its content."""
        self._body_framing_bytes += received_bytes
        if self._body_framing_bytes > FRAMING_ALLOWANCE_BYTES:
            self._reject(ErrorKind.BAD_REQUEST)

    def _reject(self, kind: ErrorKind) -> None:
        """Ignore all further input, and send an error after the answers to earlier requests.

        When the body of the current request is incomplete, that request fails with the error.
        """
        self._ignoring_input = True
        cycle = self.cycle
        if not self._in_head and cycle is not None and cycle.more_body:
            if kind is ErrorKind.BAD_REQUEST:
                kind = ErrorKind.BAD_REQUEST_IN_RUN
            self._rejection = None
            cycle.fail(kind)
            return
        self._rejection = kind
        if self._running_cycle is None and not self.pipeline:
            self._write_rejection()

    def _write_rejection(self) -> None:
        status, headers, body = error_answer(self._rejection)
        lines = [STATUS_LINE[status]]
        for name, value in (*headers, (b"connection", b"close")):
            lines += (name, b": ", value, b"\r\n")
        self._rejection = None
        self._unset_keepalive_if_required()
        self.transport.write(b"".join((*lines, b"\r\n", body)))
        self.close_after_answer(drain=True)

    def _update_head_timer(self, received: bool) -> None:
        awaiting_head = received and self._in_head and not self._ignoring_input
        if awaiting_head and self._head_timer is None:
            delay_s = self.limits.header_timeout_ms / 1000
            self._head_timer = self.loop.call_later(delay_s, self._head_timed_out)
        elif not awaiting_head and self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_timed_out(self) -> None:
        self._head_timer = None
        if not self._ignoring_input:
            self._reject(ErrorKind.HEADERS_TIMED_OUT)
