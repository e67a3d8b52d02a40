"""A lean HTTP/1.1 server for the stand-ins: httptools on a plain asyncio protocol.

It shares its machine with the load, so a request costs no task and no copy of its body.  One
connection serves one request at a time; requests that are sent ahead wait.
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
    """A whole request; `body_bytes` is the length of its body, which is not kept."""

    connection: "ServerConnection"
    method: str
    path: str
    headers: dict[bytes, bytes]
    body_bytes: int = 0
    on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send the answer, unless the caller has gone."""
        self.connection.respond(self, status, headers, body)

    def header_text(self, name: bytes) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name, b"").decode("latin-1")


Handler = Callable[[IncomingRequest], None]


class ServerConnection(asyncio.Protocol):
    """One caller's connection."""

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
        """Keep the transport, or close it at once when the server has no room."""
        self._transport = transport
        if not self._server.try_add(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        self._server.remove(self)
        current, self._current = self._current, None
        if current is not None and current.on_disconnect is not None:
            current.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse; a request that can't be parsed closes the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reset_connection()

    def on_message_begin(self) -> None:
        """Start another request (called by the parser)."""
        self._url, self._headers, self._body_bytes = b"", {}, 0

    def on_url(self, url: bytes) -> None:
        """Take the target (called by the parser)."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header (called by the parser)."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Count the body (called by the parser)."""
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Hand the request on (called by the parser)."""
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
        """Send an answer to the request in flight and go on with the next one."""
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
    """A listening address; `handler` gets each request and answers it now or later."""

    handler: Handler
    connection_limit: int = 1_000_000
    address: str = ""
    refused_connections: int = 0
    connections: set[ServerConnection] = field(default_factory=set)
    _listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on `ip:port`; port 0 takes any free one."""
        host, _, port = address.rpartition(":")
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), host, int(port), backlog=BACKLOG
        )
        self.address = "{}:{}".format(*self._listener.sockets[0].getsockname())

    def try_add(self, connection: ServerConnection) -> bool:
        """Return whether there is room for another connection."""
        if len(self.connections) >= self.connection_limit:
            self.refused_connections += 1
            return False
        self.connections.add(connection)
        return True

    def remove(self, connection: ServerConnection) -> None:
        """Take note that a connection has gone."""
        self.connections.discard(connection)

    def close(self) -> None:
        """Stop to listen and cut all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self.connections):
            connection.reset_connection()
