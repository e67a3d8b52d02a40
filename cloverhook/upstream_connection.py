"""A connection to a backend server: one HTTP/1.1 exchange at a time.

Layer: transport.  At-most-once delivery depends on whether a byte of a request has left this
process, and an answer must only go to the request that it belongs to.  For this reason a connection
is reused only after a complete exchange, and it is closed when bytes arrive while no exchange is
open.  A peer may send bytes that never become an answer: the parser keeps an incomplete header, so
what is not body is counted as it arrives.  `docs/DESIGN.md` explains why this is built on httptools
and not on aiohttp.
"""

import asyncio
import select
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import httptools

from cloverhook.errors import UpstreamError
from cloverhook.headers import Headers
from cloverhook.socket_options import UPSTREAM_LIVENESS, Liveness

__all__ = ["HEADER_LIMIT_BYTES", "AnswerHead", "RequestHead", "UpstreamConnection"]

BODILESS_STATUSES = frozenset((204, 304))
BUFFER_LIMIT_BYTES = 256 * 1024
END_OF_HEAD = b"\r\n\r\n"
HEADER_FRAMING_BYTES = 4
HEADER_LIMIT_BYTES = 32_768
LAST_CHUNK = b"0\r\n\r\n"
STATUS_LINE_BYTES = 1_024
"""The size that the status lines may have beside the headers, with those of interim answers."""
FRAMING_BYTES_PER_PART = 32
"""The size of the framing of each part of a body: a chunk's size has 16 digits at most."""
SKIPPED_BODY_LIMIT_BYTES = 1_048_576
"""The size of the bodies of answers to earlier requests that are read past."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request: method, target and headers.

    `chunked` is whether the body uses chunked transfer coding.
    """

    method: bytes
    target: bytes
    headers: Headers
    has_body: bool = False
    chunked: bool = False

    def to_bytes(self) -> bytes:
        """Return the head in its wire format."""
        lines = [self.method, b" ", self.target, b" HTTP/1.1\r\n"]
        for name, value in self.headers:
            lines += [name, b": ", value, b"\r\n"]
        if self.chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)


@dataclass(slots=True)
class AnswerHead:
    """The head of an answer."""

    status: int
    headers: Headers = field(default_factory=list)


class UpstreamConnection(asyncio.Protocol):
    """One connection to a backend server; `on_closed` is called once, when it becomes unusable.

    `idle_since_ms` is when it became idle after its last complete exchange, on the loop's clock.
    """

    def __init__(
        self,
        header_limit_bytes: int = HEADER_LIMIT_BYTES,
        on_closed: Callable[[], None] | None = None,
        liveness: Liveness = UPSTREAM_LIVENESS,
    ) -> None:
        self._liveness = liveness
        self._loop = asyncio.get_running_loop()
        self._header_limit_bytes = header_limit_bytes
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._exchange: _Exchange | None = None
        self._open = False
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._poll = select.poll()
        self.closed = False
        self.idle_since_ms = 0.0

    @property
    def usable(self) -> bool:
        """Whether a new exchange may start on this connection."""
        return not self.closed and not self._open

    @property
    def has_input(self) -> bool:
        """Whether bytes or the end of the connection are ready to be read."""
        return bool(self._poll.poll(0))

    @property
    def has_answer_bytes(self) -> bool:
        """Whether `read` would return at once."""
        return self._exchange.readable

    @property
    def is_unanswered(self) -> bool:
        """Whether no byte of an answer to the latest request has been received."""
        return self._exchange is not None and not self._exchange.has_received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket's liveness options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        self._liveness.apply(sock)
        self._poll.register(sock.fileno(), select.POLLIN)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the open exchange, if there is one."""
        self._mark_closed()
        self._can_write.set()
        if self._open:
            self._open = False
            self._exchange.on_eof(whole=exc is None)

    def pause_writing(self) -> None:
        """Suspend sending the request's body."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Resume sending the request's body."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Pass the bytes to the open exchange; close the connection when there is none."""
        if self._open:
            self._exchange.feed(data)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection at once; an open exchange fails as interrupted."""
        self._mark_closed()
        if self._transport is not None:
            self._transport.abort()

    async def send(
        self,
        head: RequestHead,
        initial_body: bytes = b"",
        remaining_body: AsyncIterator[bytes] | None = None,
        matches_request: Callable[[AnswerHead], bool] | None = None,
    ) -> AnswerHead:
        """Send a request and return the head of its answer.

        `initial_body` is the part of the body that is available, and `remaining_body` yields the
        parts to come.  An answer for which `matches_request` returns False belongs to an earlier
        request and is skipped.  Raises `UpstreamError`, whose `sent` says whether a byte may have
        left this process.
        """
        if not self.usable or self._transport is None or self._transport.is_closing():
            raise UpstreamError("the connection was closed before the request", sent=False)
        exchange = _Exchange(
            self, head.method == b"HEAD", self._header_limit_bytes, matches_request
        )
        self._exchange = exchange
        self._open = True
        body = _encode_body_part(
            initial_body, head.chunked, last=remaining_body is None and head.has_body
        )
        self._transport.write(head.to_bytes() + body)
        if remaining_body is not None:
            exchange.sender = self._loop.create_task(self._send_rest(remaining_body, head.chunked))
            exchange.sender.add_done_callback(exchange.on_sender_done)
        return await exchange.head

    async def read(self) -> tuple[bytes, bool]:
        """Return the next part of the answer's body, and whether more follows.

        Raises `UpstreamError` when the answer is incomplete or invalid.
        """
        return await self._exchange.next_part()

    def stop_sending(self) -> None:
        """Stop sending a request's body; its answer is not needed or is complete already."""
        sender = self._exchange.sender if self._exchange is not None else None
        if sender is not None:
            sender.cancel()

    async def _send_rest(self, rest: AsyncIterator[bytes], chunked: bool) -> None:
        async for part in rest:
            await self._can_write.wait()
            if self.closed:
                return
            if part:
                self._transport.write(_encode_body_part(part, chunked))
        if chunked and not self.closed:
            self._transport.write(LAST_CHUNK)

    def _mark_closed(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self._on_closed is not None:
            self._on_closed()

    def _finish(self, exchange: "_Exchange", reusable: bool) -> None:
        self._open = False
        body_sent = exchange.sender is None or exchange.sender.done()
        if not (reusable and body_sent):
            self.close()

    def _pause_reading(self) -> None:
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if not self.closed:
            self._transport.resume_reading()


class _Exchange:
    """One request and its answer; the parser calls the methods `on_...`."""

    def __init__(
        self,
        connection: UpstreamConnection,
        head_only: bool,
        header_limit_bytes: int,
        is_own: Callable[[AnswerHead], bool] | None = None,
    ) -> None:
        self._connection = connection
        self._head_only = head_only
        self._matches_request = is_own
        self._skipping = False
        self._header_bytes_left = header_limit_bytes
        self._framing_limit_bytes = header_limit_bytes + STATUS_LINE_BYTES
        self._framing_bytes = 0
        self._skipped_body_bytes = 0
        self._expected_bytes = 0
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._answer: AnswerHead | None = None
        self._headers: Headers = []
        self._parts: list[bytes] = []
        self._buffered_bytes = 0
        self._paused = False
        self._wakeup: asyncio.Future[None] | None = None
        self._error: BaseException | None = None
        self._body_until_close = False
        self._complete = False
        self._has_extra_data = False
        self.has_received = False
        self.sender: asyncio.Task[None] | None = None
        self.head: asyncio.Future[AnswerHead] = connection._loop.create_future()

    @property
    def readable(self) -> bool:
        return bool(self._parts) or self._complete or self._error is not None

    def feed(self, data: bytes) -> None:
        self.has_received = True
        self._expected_bytes = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._has_extra_data = True
            if not self._complete and not (self._head_only and self._answer is not None):
                self._fail(UpstreamError(f"the answer is not valid HTTP: {error!r}", True, True))
        if self._head_only and self._answer is not None and not self._complete:
            self._end(reusable=data.endswith(END_OF_HEAD) and self._parser.should_keep_alive())
        self._check_framing_size(len(data))
        if self._has_extra_data:
            self._connection.close()
        if self._complete:
            self._drop_parser()

    def _check_framing_size(self, received_bytes: int) -> None:
        """Fail if more has been received that is not body than an answer may have."""
        excess_bytes = received_bytes - self._expected_bytes
        self._framing_bytes = max(0, self._framing_bytes + excess_bytes)
        if self._framing_bytes > self._framing_limit_bytes and not self._complete:
            self._has_extra_data = True
            self._fail(UpstreamError("the answer's head or framing exceeds its limit", True, True))

    def on_message_begin(self) -> None:
        if self._answer is not None:
            self._has_extra_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._answer is not None:
            return
        self._header_bytes_left -= len(name) + len(value) + HEADER_FRAMING_BYTES
        if self._header_bytes_left < 0:
            raise ValueError("the head of the answer exceeds the header limit")
        self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        if self._answer is not None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._headers = []
            return
        self._check_framing()
        answer = AnswerHead(status, self._headers)
        if self._matches_request is not None and not self._matches_request(answer):
            self._skipping = True
            self._headers = []
            return
        self._answer = answer
        self._body_until_close = self._ends_at_close(status)
        if not self.head.done():
            self.head.set_result(self._answer)

    def on_body(self, body: bytes) -> None:
        self._expected_bytes += len(body) + FRAMING_BYTES_PER_PART
        if self._skipping:
            self._skipped_body_bytes += len(body)
            if self._skipped_body_bytes > SKIPPED_BODY_LIMIT_BYTES:
                raise ValueError("the answer to another request exceeds the limit")
            return
        if self._complete or self._head_only or self._has_extra_data:
            self._has_extra_data = True
            return
        self._parts.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > BUFFER_LIMIT_BYTES and not self._paused:
            self._paused = True
            self._connection._pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        self._skipping = False
        if self._answer is not None and not self._head_only:
            self._end(reusable=self._parser.should_keep_alive())

    def on_eof(self, whole: bool) -> None:
        self._drop_parser()
        if self._complete:
            return
        if whole and self._body_until_close and self._answer is not None:
            self._complete = True
            self._wake()
            return
        self._fail(UpstreamError("the connection was lost before the answer's end", sent=True))

    def on_sender_done(self, sender: asyncio.Task[None]) -> None:
        if sender.cancelled():
            return
        error = sender.exception()
        if error is not None and not self._complete:
            self._fail(error)
            self._connection.close()

    async def next_part(self) -> tuple[bytes, bool]:
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self._complete:
                return b"", False
            self._wakeup = self._connection._loop.create_future()
            await self._wakeup
        part = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        if self._paused:
            self._paused = False
            self._connection._resume_reading()
        return part, not self._complete

    def _drop_parser(self) -> None:
        """Release the parser, which refers to this object.

        Without the reference cycle, both are freed without a run of the garbage collector.
        """
        self._parser = None

    def _check_framing(self) -> None:
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if not codings:
            return
        if self._parser.get_http_version() != "1.1" or codings[0].lower() != b"chunked":
            raise ValueError("the answer has a transfer coding other than HTTP/1.1 chunked")

    def _ends_at_close(self, status: int) -> bool:
        if self._head_only or status in BODILESS_STATUSES:
            return False
        names = {name for name, _ in self._headers}
        return b"content-length" not in names and b"transfer-encoding" not in names

    def _end(self, reusable: bool) -> None:
        if self._complete:
            return
        self._complete = True
        self._connection._finish(self, reusable)
        self._wake()

    def _fail(self, error: BaseException) -> None:
        if self._error is None:
            self._error = error
        if not self.head.done():
            self.head.set_exception(self._error)
            self.head.exception()
        self._wake()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


def _encode_body_part(part: bytes, chunked: bool, last: bool = False) -> bytes:
    if not chunked:
        return part
    chunk = b"%x\r\n%b\r\n" % (len(part), part) if part else b""
    return chunk + LAST_CHUNK if last else chunk
