"""A lightweight HTTP/1.1 client for load generation: httptools on asyncio, and a connection pool.

The load generator must not be the bottleneck, so a call costs one future and no task.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

import httptools

__all__ = ["CallError", "ClientConnection", "ClientPool", "HttpAnswer"]

CONNECT_TIMEOUT_S = 3


class CallError(Exception):
    """A call that got no complete answer.  `sent` is False when no byte of it was sent."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


@dataclass(slots=True)
class HttpAnswer:
    """An answer, with the last value of each header."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""

    def header_text(self, name: bytes) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name, b"").decode("latin-1")


class ClientConnection(asyncio.Protocol):
    """One connection, which carries one call at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[HttpAnswer] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._answer = HttpAnswer()
        self.closed = False
        self.unexpected_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in flight, if there is one."""
        self.closed = True
        if self._future is not None and not self._future.done():
            self._future.set_exception(CallError(f"connection lost: {exc!r}", sent=True))

    def data_received(self, data: bytes) -> None:
        """Parse the answer; bytes that arrive without a call in flight close the connection."""
        if self._future is None or self._future.done():
            self.unexpected_bytes += len(data)
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._future.set_exception(CallError(f"invalid answer: {error!r}", sent=True))
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (called by the parser)."""
        self._answer.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by the parser)."""
        self._answer.body += body

    def on_message_complete(self) -> None:
        """Complete the call with its answer (called by the parser)."""
        self._answer.status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.close()
        if not self._future.done():
            self._future.set_result(self._answer)

    def send(self, request: bytes) -> asyncio.Future[HttpAnswer]:
        """Send a complete request; the returned future gets the answer or a `CallError`."""
        self._future = asyncio.get_running_loop().create_future()
        if self.closed or self._transport.is_closing():
            self.closed = True
            self._future.set_exception(CallError("connection closed before use", sent=False))
            return self._future
        self._answer = HttpAnswer()
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(request)
        return self._future

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        self._transport.abort()


class ClientPool:
    """A pool of idle connections, by address."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[ClientConnection]] = {}
        self.connections_made = 0

    async def call(self, address: str, request: bytes, timeout_s: float) -> HttpAnswer:
        """Make one call.  Raises `CallError`."""
        connection = self._take_idle(address) or await self._connect(address)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await connection.send(request)
        except TimeoutError as error:
            connection.close()
            raise CallError("no answer in time", sent=True) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        if not connection.closed:
            self._idle.setdefault(address, deque()).append(connection)
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _take_idle(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        return None

    async def _connect(self, address: str) -> ClientConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(ClientConnection, host, int(port))
        except (OSError, TimeoutError) as error:
            raise CallError(f"no connection: {error!r}", sent=False) from error
        self.connections_made += 1
        return connection
