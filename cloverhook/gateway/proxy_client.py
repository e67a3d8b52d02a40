"""Sends a request to a proxy, another gateway, and receives the answer.

Layer: transport.  Each request has a connection of its own.  One that was kept open could have been
lost without a sign, and closing it cancels the work on the request at the proxy.
"""

import asyncio
from collections.abc import AsyncGenerator
from typing import Self

from cloverhook.errors import ConnectError, MessageError, UpstreamError
from cloverhook.gateway.frames import read_frame, write_frame
from cloverhook.gateway.proxied_request import ProxiedAnswer, ProxiedRequest, decode_part
from cloverhook.gateway.timeouts import within
from cloverhook.socket_options import UPSTREAM_LIVENESS

__all__ = ["ProxyExchange"]

CONNECT_TIMEOUT_MS = 120.0
"""Many times the network latency between data centres."""
STREAM_ERRORS = (OSError, asyncio.IncompleteReadError, MessageError)


class ProxyExchange:
    """A connection to a proxy for one request; `close` cancels the work on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> Self:
        """Connect to the proxy at an address.  Raises `ConnectError`."""
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await within(
                CONNECT_TIMEOUT_MS, asyncio.open_connection(host, int(port))
            )
        except (OSError, TimeoutError) as error:
            reason = f"could not connect to the gateway at {address}: {error!r}"
            raise ConnectError(reason, isinstance(error, ConnectionRefusedError)) from error
        UPSTREAM_LIVENESS.apply(writer.get_extra_info("socket"))
        return cls(reader, writer)

    async def send(self, fleet_tag: bytes, request: ProxiedRequest) -> ProxiedAnswer:
        """Send the request and return the answer.

        Raises `UpstreamError`, with `sent` True: the proxy may have sent the request on.
        """
        try:
            write_frame(self._writer, fleet_tag + request.encode())
            await self._writer.drain()
            return ProxiedAnswer.decode(await read_frame(self._reader))
        except STREAM_ERRORS as error:
            raise UpstreamError(f"the gateway gave no answer: {error!r}", sent=True) from error

    async def remaining_body(self) -> AsyncGenerator[bytes, None]:
        """Yield the parts of a body that follow the answer, and close the connection.

        Raises `UpstreamError` if the body breaks off.
        """
        try:
            yield b""  # From here on, `aclose` closes the connection.
            while part := decode_part(await read_frame(self._reader)):
                yield part
        except STREAM_ERRORS as error:
            raise UpstreamError(f"the answer broke off: {error!r}", sent=True) from error
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()
