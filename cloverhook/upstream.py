"""Connections to backend servers: one HTTP/1.1 exchange at a time, and a pool for each endpoint.

Layer: transport.  At-most-once needs to know whether a byte of a request has left this process,
and an answer may only go to the request that asked for it.  So a connection is used again only
after a whole exchange, and bytes that arrive while no exchange is open close it.
`docs/DESIGN.md` says why this is built on httptools and not on aiohttp.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import httptools

from cloverhook.errors import UpstreamError
from cloverhook.headers import Headers

__all__ = ["AnswerHead", "RequestHead", "UpstreamConnection", "UpstreamPool"]

BUFFER_LIMIT_BYTES = 256 * 1024
CONNECT_TIMEOUT_MS = 1_000
IDLE_LIMIT_MS = 3_000


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request: method, target and headers.  `chunked` says how its body is framed."""

    method: bytes
    target: bytes
    headers: Headers
    has_body: bool = False
    chunked: bool = False

    def to_bytes(self) -> bytes:
        """Return the head as it goes over the wire."""
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
    """One connection to a backend server."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._exchange: _Exchange | None = None
        self._last: _Exchange | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.closed = False
        self.idle_since_ms = 0.0

    @property
    def usable(self) -> bool:
        """Whether a new exchange may start on this connection."""
        return not self.closed and self._exchange is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End the open exchange, if there is one."""
        self.closed = True
        self._can_write.set()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_eof()

    def pause_writing(self) -> None:
        """Make the sender of a request's body wait."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let the sender of a request's body go on."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Feed the open exchange; close the connection when there is none."""
        if self._exchange is None:
            self.close()
            return
        self._exchange.feed(data)

    def close(self) -> None:
        """Close the connection at once; an open exchange ends as cut."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    async def send(self, head: RequestHead, body: AsyncIterator[bytes] | None) -> AnswerHead:
        """Send a request and return the head of its answer.

        Raises `UpstreamError`, whose `sent` says whether a byte may have left.
        """
        if not self.usable or self._transport is None or self._transport.is_closing():
            raise UpstreamError("the connection was closed before use", sent=False)
        self._exchange = exchange = _Exchange(self, head.method == b"HEAD")
        self._transport.write(head.to_bytes())
        if body is None:
            return await exchange.head
        sender = self._loop.create_task(self._send_body(body, head.chunked))
        try:
            await asyncio.wait({sender, exchange.head}, return_when=asyncio.FIRST_COMPLETED)
            if sender.done():
                sender.result()
            return await exchange.head
        finally:
            exchange.sender = sender
            if not exchange.head.done():
                sender.cancel()

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer.  Raises `UpstreamError` when it is cut."""
        exchange = self._exchange or self._last
        while True:
            chunk = await exchange.next_chunk()
            if chunk is None:
                return
            yield chunk

    def stop_sending(self) -> None:
        """Stop sending the body of a request whose answer is not wanted or is whole already."""
        exchange = self._exchange or self._last
        if exchange is not None and exchange.sender is not None:
            exchange.sender.cancel()

    async def _send_body(self, body: AsyncIterator[bytes], chunked: bool) -> None:
        async for chunk in body:
            if not chunk:
                continue
            if self.closed:
                return
            self._transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk)
            await self._can_write.wait()
        if chunked and not self.closed:
            self._transport.write(b"0\r\n\r\n")

    def _finish(self, exchange: "_Exchange", reusable: bool) -> None:
        self._last = exchange
        self._exchange = None
        body_sent = exchange.sender is None or exchange.sender.done()
        if not (reusable and body_sent):
            self.close()
        self.idle_since_ms = self._loop.time() * 1000

    def _pause_reading(self) -> None:
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if not self.closed:
            self._transport.resume_reading()


class _Exchange:
    """One request and its answer; the parser calls its `on_` methods."""

    def __init__(self, connection: UpstreamConnection, head_only: bool) -> None:
        self._connection = connection
        self._head_only = head_only
        self._parser = httptools.HttpResponseParser(self)
        self._answer: AnswerHead | None = None
        self._headers: Headers = []
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._paused = False
        self._wakeup: asyncio.Future[None] | None = None
        self._error: UpstreamError | None = None
        self._until_close = False
        self.complete = False
        self.sender: asyncio.Task[None] | None = None
        self.head: asyncio.Future[AnswerHead] = connection._loop.create_future()

    def feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the answer can't be read: {error!r}")
            self._connection.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            self._headers = []
            return
        self._answer = AnswerHead(status, self._headers)
        self._until_close = self._ends_at_close(status)
        if not self.head.done():
            self.head.set_result(self._answer)

    def on_body(self, body: bytes) -> None:
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > BUFFER_LIMIT_BYTES and not self._paused:
            self._paused = True
            self._connection._pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        if self._answer is None:
            return
        self._complete(reusable=self._parser.should_keep_alive() and not self._head_only)

    def on_eof(self) -> None:
        if self.complete:
            return
        if self._until_close and self._answer is not None:
            self.complete = True
            self._wake()
            return
        self._fail("the connection was cut")

    async def next_chunk(self) -> bytes | None:
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self.complete or self._head_only:
                self._end_head_only()
                return None
            self._wakeup = self._connection._loop.create_future()
            await self._wakeup
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._paused and self._buffered_bytes < BUFFER_LIMIT_BYTES / 2:
            self._paused = False
            self._connection._resume_reading()
        return chunk

    def _ends_at_close(self, status: int) -> bool:
        if self._head_only or status in (204, 304):
            return False
        names = {name for name, _ in self._headers}
        return b"content-length" not in names and b"transfer-encoding" not in names

    def _end_head_only(self) -> None:
        if self._head_only and not self.complete:
            self._complete(reusable=False)

    def _complete(self, reusable: bool) -> None:
        if self.complete:
            return
        self.complete = True
        self._connection._finish(self, reusable)
        self._wake()

    def _fail(self, reason: str) -> None:
        self._error = UpstreamError(reason, sent=True)
        if not self.head.done():
            self.head.set_exception(self._error)
            self.head.exception()
        self._wake()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


class UpstreamPool:
    """Idle connections to backend servers, by address."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[UpstreamConnection]] = {}

    async def acquire(self, address: str) -> UpstreamConnection:
        """Return a connection that no other exchange uses.

        Raises `UpstreamError` with `sent` False when none can be made.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.usable:
                continue
            if loop.time() * 1000 - connection.idle_since_ms < IDLE_LIMIT_MS:
                return connection
            connection.close()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                _, connection = await loop.create_connection(UpstreamConnection, host, int(port))
        except (OSError, TimeoutError) as error:
            raise UpstreamError(f"no connection to {address}: {error!r}", sent=False) from error
        return connection

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Give a connection back; it is kept only if its exchange was whole."""
        connection.stop_sending()
        if connection.usable:
            self._idle.setdefault(address, deque()).append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
