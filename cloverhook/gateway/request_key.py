"""Hash keys by which requests with the same content are recognised.

Layer: protocol.  A request gets a new identifier each time its caller sends it, so only its content
shows that it is a repetition.  The headers are left out of the content: identifiers, deadlines and
tokens differ each time.

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
    """The hash of a request's content, and the hash of its content together with its caller.

    `content` is the same for all callers; `of_caller` differs between callers.
    """

    content: int
    of_caller: int

    @classmethod
    def of(cls, request: CallerRequest) -> "RequestKeys":
        """Return the keys of a request."""
        head = b"%b %b %b\n" % (request.method, request.host.encode("latin-1"), request.target)
        digest = xxhash.xxh3_64(head)
        for part in request.body_parts:
            digest.update(part)
        content = digest.intdigest()
        return cls(content, xxhash.xxh3_64_intdigest(request.caller.encode(), seed=content))
