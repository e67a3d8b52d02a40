"""A lightweight HTTP/1.1 server for the stand-ins: httptools on a plain asyncio protocol.

It runs on the same computer as the load generator, so a request costs no task and no copy of its
body.  One connection serves one request at a time; pipelined requests are queued.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

__all__ = ["Handler", "HttpServer", "IncomingRequest", "ServerConnection"]

BACKLOG = 2_048
REASON_PHRASES = {200: b"OK", 404: b"Not Found", 500: b"Internal Server Error", 503: b"Unavailable"}


@dataclass(eq=False, slots=True)
class IncomingRequest:
    """A complete request.

    `body_bytes` is the length of its body, which is not kept.  `on_disconnect` is called when the
    connection is lost before the answer.
    """

    connection: "ServerConnection"
    method: str
    path: str
    headers: dict[bytes, bytes]
    body_bytes: int = 0
    on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send the answer, unless the connection has been lost."""
        self.connection.respond(self, status, headers, body)

    def header_text(self, name: bytes) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name, b"").decode("latin-1")


Handler = Callable[[IncomingRequest], None]


class ServerConnection(asyncio.Protocol):
    """A connection from a caller."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body_bytes = 0
        self._pipelined: deque[IncomingRequest] = deque()
        self._current: IncomingRequest | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, or close it at once when the connection limit is reached."""
        self._transport = transport
        if not self._server.try_add(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and notify the request in flight, which its server may cancel."""
        self._server.remove(self)
        current, self._current = self._current, None
        if current is not None and current.on_disconnect is not None:
            current.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse requests; an invalid request closes the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reset_connection()

    def on_message_begin(self) -> None:
        """Start a new request (called by the parser)."""
        self._url, self._headers, self._body_bytes = b"", {}, 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (called by the parser)."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (called by the parser)."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the body (called by the parser)."""
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Queue the request, and handle it if none is in flight (called by the parser)."""
        method = self._parser.get_method().decode()
        path = self._url.decode("latin-1")
        self._pipelined.append(IncomingRequest(self, method, path, self._headers, self._body_bytes))
        self._handle_next()

    def respond(
        self,
        request: IncomingRequest,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Answer the request in flight and handle the next one.

        An answer to any other request is dropped.
        """
        if request is not self._current:
            return
        self._current = None
        parts = [b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b"Answer"))]
        parts += [b"%b: %b\r\n" % pair for pair in headers]
        parts.append(b"content-length: %d\r\n\r\n" % len(body))
        if request.method != "HEAD":
            parts.append(body)
        self._transport.write(b"".join(parts))
        self._handle_next()

    def reset_connection(self) -> None:
        """Close the connection without an answer."""
        self._transport.abort()

    def _handle_next(self) -> None:
        if self._current is None and self._pipelined:
            self._current = self._pipelined.popleft()
            self._server.handler(self._current)


@dataclass(slots=True)
class HttpServer:
    """A listening address.  `handler` receives each request and answers it at once or later."""

    handler: Handler
    connection_limit: int = 1_000_000
    address: str = ""
    refused_connections: int = 0
    connections: set[ServerConnection] = field(default_factory=set)
    _listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on `ip:port`; port 0 selects any free port."""
        host, _, port = address.rpartition(":")
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), host, int(port), backlog=BACKLOG
        )
        self.address = "{}:{}".format(*self._listener.sockets[0].getsockname())

    def try_add(self, connection: ServerConnection) -> bool:
        """Register a connection; return False when the connection limit is reached."""
        if len(self.connections) >= self.connection_limit:
            self.refused_connections += 1
            return False
        self.connections.add(connection)
        return True

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection that has been lost."""
        self.connections.discard(connection)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self.connections):
            connection.reset_connection()
