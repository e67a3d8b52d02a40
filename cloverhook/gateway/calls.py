"""A caller's request and the response to it, as the listener and its handlers exchange them.

Layer: protocol.
"""

from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, replace

from cloverhook.gateway.call_headers import HeaderList

__all__ = ["CallerAnswer", "CallerRequest", "Handler"]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request; header names are in lower case and `host` has no port.

    `caller` is the IP address from which the request came.  A large body is in several parts:
    `remaining_body` has those that follow `body`.
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
    remaining_body: tuple[bytes, ...] = ()

    @property
    def body_parts(self) -> tuple[bytes, ...]:
        """The parts of the body, in order."""
        return (self.body, *self.remaining_body)

    @property
    def body_bytes(self) -> int:
        """The size of the body."""
        return sum(map(len, self.body_parts))

    def without_body(self) -> "CallerRequest":
        """Return the request without its body, which isn't needed any more."""
        return replace(self, body=b"", remaining_body=()) if self.has_body else self


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """A response; `remaining_body` yields the part of the body that follows `body`.

    If `content_length` is None, the body's length is that of `body`, or unknown if there is a
    `remaining_body`.  `remaining_body.aclose()` releases the connection that it reads from; its
    producer has started it with `anext`, as that has no effect on a generator that hasn't started.
    """

    status: int
    headers: HeaderList
    body: bytes = b""
    remaining_body: AsyncGenerator[bytes, None] | None = None
    content_length: int | None = None


Handler = Callable[[CallerRequest], Awaitable[CallerAnswer]]
