"""Keys by which two requests with the same content are known to be the same.

Layer: protocol.  Each sending of a request has an identifier of its own, so only its content shows
that it has come before.  Headers are left out: identifiers, deadlines and tokens differ each time.

>>> first = CallerRequest(b"GET", b"/a", "/a", "shop.example", [], b"", False, 0.0, "10.0.0.1")
>>> other = CallerRequest(b"GET", b"/a", "/a", "shop.example", [], b"", False, 5.0, "10.0.0.2")
>>> RequestKeys.of(first).content == RequestKeys.of(other).content
True
>>> RequestKeys.of(first).of_caller == RequestKeys.of(other).of_caller
False
"""

from typing import NamedTuple

import xxhash

from cloverhook.gateway.calls import CallerRequest

__all__ = ["RequestKeys"]


class RequestKeys(NamedTuple):
    """The key of a request's content, whoever sends it, and that of the same from its caller."""

    content: int
    of_caller: int

    @classmethod
    def of(cls, request: CallerRequest) -> "RequestKeys":
        """Return the keys of a request."""
        head = b"%b %b %b\n" % (request.method, request.host.encode("latin-1"), request.target)
        content = xxhash.xxh3_64_intdigest(head + request.body)
        return cls(content, xxhash.xxh3_64_intdigest(request.caller.encode(), seed=content))
