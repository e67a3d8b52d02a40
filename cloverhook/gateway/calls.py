"""A caller's request and the answer to it, between the listener and what serves it.

Layer: protocol.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from cloverhook.gateway.call_headers import HeaderList

__all__ = ["CallerAnswer", "CallerRequest", "Handler"]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request; header names are in lower case and `host` has no port.

    `caller` is the IP address that the request came from.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    headers: HeaderList
    body: bytes
    has_body: bool
    arrived_ms: float
    caller: str = ""


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """An answer; `remaining_body` yields what follows `body`.

    With `content_length` None the length is that of `body`, or unknown where there is a rest.
    """

    status: int
    headers: HeaderList
    body: bytes = b""
    remaining_body: AsyncIterator[bytes] | None = None
    content_length: int | None = None


Handler = Callable[[CallerRequest], Awaitable[CallerAnswer]]
