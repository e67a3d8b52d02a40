"""Rules for headers that apply to any HTTP intermediary.

Layer: state.  Names are in lower case.
"""

from collections.abc import Iterable

__all__ = ["ALWAYS_FORWARDED", "HOP_BY_HOP", "find"]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
"""Headers that concern one connection only (RFC 9110, 7.6.1)."""
ALWAYS_FORWARDED = frozenset((b"content-length", b"host"))
"""Headers that a `Connection` header can't remove: without them a request has another meaning."""


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None
