"""Serves the requests that other gateways pass on to this one.

Layer: transport.  Each connection carries one request.  The gateway that passes it on closes the
connection when its caller has gone, which cancels the work here.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import cbor2

from cloverhook.errors import ErrorKind
from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.final_answer import error_answer
from cloverhook.gateway.frames import write_frame
from cloverhook.gateway.proxied_request import ProxiedAnswer, ProxiedRequest
from cloverhook.socket_options import UPSTREAM_LIVENESS

__all__ = ["ProxyServer", "ServedRequest"]

IN_FLIGHT_LIMIT = 64
"""The most requests served for other gateways at a time.  Each has a slot of an endpoint or waits
for one, and the callers of this gateway need some of its processor time and memory too."""


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """The answer to a request, how many endpoints may have run it, and an error kind or ""."""

    answer: CallerAnswer
    executions: int
    cause: str

    @classmethod
    def rejected(cls, kind: ErrorKind) -> "ServedRequest":
        """Return the rejection of a request that has not run."""
        return cls(error_answer(kind), 0, kind.value)


class ProxyServer:
    """The requests of other gateways in progress; `accepting` ends with a planned stop."""

    def __init__(self, serve: Callable[[ProxiedRequest], Awaitable[ServedRequest]]) -> None:
        self._serve = serve
        self.in_flight = 0
        self.accepting = True

    async def serve(
        self, values: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the request on a connection.  Raises `MessageError` if it is not valid."""
        request = ProxiedRequest.from_values(values)
        UPSTREAM_LIVENESS.apply(writer.get_extra_info("socket"))
        accepted = self.accepting and self.in_flight < IN_FLIGHT_LIMIT
        work = asyncio.ensure_future(self._answer(request, writer, accepted))
        closed = asyncio.ensure_future(reader.read(1))
        self.in_flight += accepted
        try:
            await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                work.result()
        finally:
            self.in_flight -= accepted
            for task in (work, closed):
                task.cancel()
            await asyncio.wait((work, closed))

    async def _answer(
        self, request: ProxiedRequest, writer: asyncio.StreamWriter, accepted: bool
    ) -> None:
        if accepted:
            served = await self._serve(request)
        else:
            kind = ErrorKind.OVERLOADED if self.accepting else ErrorKind.STOPPING
            served = ServedRequest.rejected(kind)
        answer = served.answer
        more = answer.remaining_body is not None
        head = ProxiedAnswer(
            answer.status,
            answer.headers,
            served.cause,
            served.executions,
            answer.content_length,
            more,
            answer.body,
        )
        write_frame(writer, head.encode())
        if more:
            async for part in answer.remaining_body:
                if part:
                    write_frame(writer, cbor2.dumps(part))
                    await writer.drain()
            write_frame(writer, cbor2.dumps(b""))
        await writer.drain()
