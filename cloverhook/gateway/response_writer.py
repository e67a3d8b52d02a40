"""Writes the responses of one connection of a caller.

Layer: transport.
"""

import asyncio
import socket
import struct
from http import HTTPStatus

from cloverhook.errors import ErrorKind
from cloverhook.gateway.call_headers import HeaderList
from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.final_answer import error_answer
from cloverhook.gateway.large_responses import WAITING_LIMIT_BYTES, write_in_parts

__all__ = ["ResponseWriter"]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS_STATUSES = frozenset((204, 304))


class ResponseWriter:
    """Writes whole responses, one after the other, to the transport of a connection."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._can_write = asyncio.Event()
        self._can_write.set()

    def pause(self) -> None:
        """Make the sender of a response wait until the transport can take more."""
        self._can_write.clear()

    def resume(self) -> None:
        """Let the sender of a response continue."""
        self._can_write.set()

    async def wait_until_writable(self) -> None:
        """Wait while the caller has not received enough of what was written."""
        await self._can_write.wait()

    async def write(self, method: bytes, answer: CallerAnswer, keep_alive: bool) -> None:
        """Write a response; the rest of its body is read from the endpoint as it is written."""
        try:
            await self._write(method, answer, keep_alive)
        finally:
            if answer.remaining_body is not None:
                await answer.remaining_body.aclose()

    async def _write(self, method: bytes, answer: CallerAnswer, keep_alive: bool) -> None:
        bodiless = method == b"HEAD" or answer.status in BODILESS_STATUSES
        length = answer.content_length
        if length is None and answer.remaining_body is None:
            length = len(answer.body)
        chunked = length is None and not bodiless
        lines = _status_lines(answer.status, answer.headers)
        if answer.status != HTTPStatus.NO_CONTENT:
            if chunked:
                lines.append(b"transfer-encoding: chunked\r\n")
            elif length is not None:
                lines.append(b"content-length: %d\r\n" % length)
        if not keep_alive:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        if bodiless:
            self._transport.write(b"".join(lines))
            return
        lines.append(_chunk(answer.body) if chunked else answer.body)
        data = b"".join(lines)
        if answer.remaining_body is None and len(data) <= WAITING_LIMIT_BYTES:
            self._transport.write(data)
            return
        await write_in_parts(self._transport, self._can_write, data)
        if answer.remaining_body is None:
            return
        async for part in answer.remaining_body:
            part = _chunk(part) if chunked else part
            await write_in_parts(self._transport, self._can_write, part)
        if chunked:
            self._transport.write(b"0\r\n\r\n")

    def write_continue(self) -> None:
        """Write the interim response to a request with `Expect: 100-continue`."""
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def write_rejection(self, kind: ErrorKind) -> None:
        """Write the response to a request that could not be read."""
        answer = error_answer(kind)
        lines = _status_lines(answer.status, answer.headers)
        lines.append(b"content-length: %d\r\nconnection: close\r\n\r\n" % len(answer.body))
        lines.append(answer.body)
        self._transport.write(b"".join(lines))

    def reset(self) -> None:
        """Reset the connection, so that a partial response isn't taken for a complete one."""
        if self._transport.is_closing():
            return
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()


def _status_lines(status: int, headers: HeaderList) -> list[bytes]:
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, PHRASES.get(status, b""))]
    for name, value in headers:
        lines += (name, b": ", value, b"\r\n")
    return lines


def _chunk(part: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(part), part) if part else b""
