"""What an endpoint states about itself in the head of a response.

Layer: protocol.  The statements concern the endpoint, not the request that the response answers.

>>> EndpointNotice.from_response(200, [(b"cloverhook-leaving", b"1")], CallHeaders()).leaving
True
>>> EndpointNotice.from_response(503, [(b"retry-after", b"2.5")], CallHeaders()).backoff_ms
2500.0
"""

from dataclasses import dataclass

from cloverhook.gateway.call_headers import CallHeaders, HeaderList
from cloverhook.retry_after_header import RETRY_AFTER, parse_retry_after_ms

__all__ = ["EndpointNotice", "InvalidHeader"]

LEAVING_VALUE = b"1"
LOGGED_VALUE_BYTES = 40
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class InvalidHeader:
    """A header whose value isn't valid, for the log; a long value is cut short."""

    name: str
    value: str

    @classmethod
    def from_bytes(cls, name: bytes, value: bytes) -> "InvalidHeader":
        """Build it from a header as received."""
        return cls(name.decode("latin-1"), value[:LOGGED_VALUE_BYTES].decode("latin-1"))


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """The statements in the head of one response.

    `leaving` says that the endpoint accepts no new requests because it is about to stop.
    `backoff_ms` is the time for which an endpoint that has rejected the request wants no further
    ones; it is 0 if it asks for none.  Headers in `invalid` were ignored.
    """

    leaving: bool = False
    backoff_ms: float = 0.0
    invalid: tuple[InvalidHeader, ...] = ()

    @classmethod
    def from_response(
        cls, status: int, headers: HeaderList, names: CallHeaders
    ) -> "EndpointNotice":
        """Read the statements from the head of a response."""
        leaving = False
        backoff_ms = 0.0
        invalid = []
        for name, value in headers:
            if name in names.leaving:
                leaving |= value == LEAVING_VALUE
                is_valid = value == LEAVING_VALUE
            elif name == RETRY_AFTER and status == SERVICE_UNAVAILABLE:
                found_ms = parse_retry_after_ms(value)
                backoff_ms = max(backoff_ms, found_ms or 0.0)
                is_valid = found_ms is not None
            else:
                continue
            if not is_valid:
                invalid.append(InvalidHeader.from_bytes(name, value))
        return cls(leaving, backoff_ms, tuple(invalid))
