"""Reads the requests of one connection of a caller, within the configured limits.

Layer: transport.  The parser keeps a header until it is complete, and skips other framing.  What is
not body is therefore counted as it arrives, beside the limit on complete headers.
"""

from collections.abc import Callable

import httptools

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind
from cloverhook.gateway.body_buffer import BodyBuffer
from cloverhook.gateway.call_headers import HeaderList
from cloverhook.gateway.calls import CallerRequest
from cloverhook.gateway.routes import IngressLimits

__all__ = ["RequestReader", "RequestRejectedError"]

HEADER_FRAMING_BYTES = 4
HEAD_END = b"\r\n\r\n"
REQUEST_LINE_BYTES = 2_048
"""The size that a request's first line may have beside the headers, with the framing of the request
before it that is parsed with it."""
FRAMING_BYTES_PER_PART = 32
"""The size of the framing of each part of a body: a chunk's size has 16 digits at most."""
CHUNKED_PIECE_BYTES = 1_024
"""A chunked body is parsed in pieces of this size, because its end isn't known in advance: the
requests behind it must not all be parsed at once."""


class RequestRejectedError(Exception):
    """A request that can't be read or that exceeds a limit; `kind` is the reason."""

    def __init__(self, kind: ErrorKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


class RequestReader:
    """Parses the bytes of a connection; calls back for each start, complete head and request."""

    def __init__(
        self,
        caller: str,
        limits: Callable[[], IngressLimits],
        on_start: Callable[[], None],
        on_head: Callable[[], None],
        on_request: Callable[[CallerRequest, bool], None],
    ) -> None:
        """`on_request` also gets whether the connection stays open after the response."""
        self._caller = caller
        self._limits = limits
        self._on_start = on_start
        self._on_head = on_head
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._rejection: ErrorKind | None = None
        self._ended = False
        self._offers_upgrade = False
        self._expected_bytes = 0
        self.in_message = False
        self.has_dropped_input = False
        self._reset_message()

    @property
    def partial_body_bytes(self) -> int:
        """The size of the part that has arrived of the body of an incomplete request."""
        return len(self._body) if self.in_message else 0

    @property
    def needed_body_bytes(self) -> int:
        """The size that the body will have after what is parsed next; 0 outside of a body.

        If the length is known, that is the whole body.
        """
        if not (self.in_message and self._head_complete and self._has_body):
            return 0
        if self._content_length is not None:
            return self._content_length
        return len(self._body) + CHUNKED_PIECE_BYTES

    @property
    def most_body_bytes(self) -> int:
        """The size that the body may reach."""
        if self._content_length is not None:
            return self._content_length
        return self._limits().body_bytes + CHUNKED_PIECE_BYTES

    def feed(self, data: bytes, may_continue: Callable[[], bool]) -> bytes:
        """Parse bytes for as long as `may_continue` allows it; return those that are left.

        They are parsed in pieces that hold the end of one request each, or of two where a head ends
        in the piece in which a chunked body does.  What follows a request after which the
        connection closes is dropped.  Raises `RequestRejectedError`.
        """
        position = 0
        while position < len(data) and not self._ended:
            if not may_continue():
                return data[position:]
            end = self._piece_end(data, position)
            self._feed_piece(data if end - position == len(data) else data[position:end])
            position = end
        self.has_dropped_input = self.has_dropped_input or position < len(data)
        return b""

    def close(self) -> None:
        """Drop the references that lead back to this reader and to its connection."""
        self._parser = self._on_start = self._on_head = self._on_request = None

    def _piece_end(self, data: bytes, position: int) -> int:
        if self.in_message and self._head_complete:
            if self._content_length is not None:
                size_bytes = self._content_length - len(self._body)
                return min(len(data), position + max(1, size_bytes))
            found = data.find(HEAD_END, position, position + CHUNKED_PIECE_BYTES)
            if found < 0:
                return min(len(data), position + CHUNKED_PIECE_BYTES)
            return found + len(HEAD_END)
        found = data.find(HEAD_END, position)
        return len(data) if found < 0 else found + len(HEAD_END)

    def _feed_piece(self, piece: bytes) -> None:
        self._expected_bytes = 0
        try:
            self._parser.feed_data(piece)
            self._count_framing_bytes(len(piece) - self._expected_bytes)
        except httptools.HttpParserUpgrade as error:
            (end,) = error.args
            if not self._ended:
                self._parse_without_upgrade(piece[end:])
        except httptools.HttpParserError as error:
            if not self._ended:
                raise RequestRejectedError(self._rejection or ErrorKind.BAD_REQUEST) from error

    def _parse_without_upgrade(self, rest: bytes) -> None:
        """Parse a request that offers an upgrade again, without the offer.

        The parser ends such a request at the end of its head and takes the body for the protocol
        that was offered.  A server that doesn't accept the offer reads the body.
        """
        method, version = self._parser.get_method(), self._parser.get_http_version()
        lines = [b"%b %b HTTP/%b" % (method, self._url, version.encode())]
        lines += (b"%b: %b" % pair for pair in self._headers if pair[0] != b"upgrade")
        self._parser = httptools.HttpRequestParser(self)
        self._offers_upgrade = True
        self._feed_piece(b"\r\n".join(lines) + HEAD_END + rest)

    # Methods that the parser calls.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_message()
        self.in_message = True
        self._on_start()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which follow the body, are dropped."""
        self._count_header_bytes(len(name) + len(value) + HEADER_FRAMING_BYTES)
        if not self._head_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the request head.

        A request is rejected unless it has exactly one host, at most one way to tell where its body
        ends, no transfer coding but chunked, and version 1.0 or 1.1 of HTTP.
        """
        self._head_complete = True
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        hosts = sum(1 for name, _ in self._headers if name == b"host")
        chunked = bool(codings)
        if hosts != 1 or len(lengths) > 1 or (chunked and lengths) or not self._url:
            self._abort_parsing(ErrorKind.BAD_REQUEST)
        if chunked and (len(codings) > 1 or codings[0].lower() != b"chunked"):
            self._abort_parsing(ErrorKind.BAD_REQUEST)
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._abort_parsing(ErrorKind.BAD_REQUEST)
        self._has_body = chunked or bool(lengths)
        if lengths:
            self._content_length = int(lengths[0])  # The parser has checked that it is a number.
            if self._content_length > self._limits().body_bytes:
                self._abort_parsing(ErrorKind.BODY_TOO_LARGE)
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True
        if not self._parser.should_upgrade():
            self._on_head()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, up to the size limit."""
        self._expected_bytes += len(body) + FRAMING_BYTES_PER_PART
        if len(self._body) + len(body) > self._limits().body_bytes:
            self._abort_parsing(ErrorKind.BODY_TOO_LARGE)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the complete request, unless it has to be parsed without its upgrade first."""
        if self._parser.should_upgrade():
            if self._parser.get_method() == b"CONNECT":
                self._abort_parsing(ErrorKind.BAD_REQUEST)
            return
        self.in_message = False
        target = self._url
        if not target.startswith(b"/"):
            self._abort_parsing(ErrorKind.BAD_REQUEST)
        host = next(value for name, value in self._headers if name == b"host")
        path = target.partition(b"?")[0].decode("latin-1")
        first, *rest = self._body.take() or (b"",)
        request = CallerRequest(
            self._parser.get_method(),
            target,
            path,
            host.partition(b":")[0].decode("latin-1").lower(),
            self._headers,
            first,
            self._has_body,
            monotonic_ms(),
            self._caller,
            tuple(rest),
        )
        # A caller that expects the upgrade may send anything behind its request.
        keep_alive = self._parser.should_keep_alive() and not self._offers_upgrade
        self._ended = not keep_alive
        self._on_request(request, keep_alive)

    # Limits.

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: HeaderList = []
        self._body = BodyBuffer()
        self._header_bytes = 0
        self._framing_bytes = 0
        self._content_length: int | None = None
        self._has_body = False
        self._head_complete = False
        self.expects_continue = False

    def _count_header_bytes(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self._limits().header_bytes:
            self._abort_parsing(ErrorKind.HEADERS_TOO_LARGE)

    def _count_framing_bytes(self, size_bytes: int) -> None:
        self._framing_bytes = max(0, self._framing_bytes + size_bytes)
        limit_bytes = self._limits().header_bytes + REQUEST_LINE_BYTES
        if self._framing_bytes > limit_bytes and not self._ended:
            self._abort_parsing(ErrorKind.HEADERS_TOO_LARGE)

    def _abort_parsing(self, kind: ErrorKind) -> None:
        self._rejection = kind
        raise RequestRejectedError(kind)
