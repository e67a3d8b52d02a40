"""What an endpoint states about itself in the head of a response.

Layer: protocol.  The statements concern the endpoint, not the request that the response answers.

>>> EndpointNotice.from_headers([(b"cloverhook-leaving", b"1")], CallHeaders()).leaving
True
"""

from dataclasses import dataclass

from cloverhook.gateway.call_headers import CallHeaders, HeaderList

__all__ = ["EndpointNotice", "InvalidHeader"]

LEAVING_VALUE = b"1"
LOGGED_VALUE_BYTES = 40


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

    `leaving` says that the endpoint accepts no new requests because it is about to stop.  Headers
    in `invalid` were ignored.
    """

    leaving: bool = False
    invalid: tuple[InvalidHeader, ...] = ()

    @classmethod
    def from_headers(cls, headers: HeaderList, names: CallHeaders) -> "EndpointNotice":
        """Read the statements from the headers of a response."""
        leaving = False
        invalid = []
        for name, value in headers:
            if name not in names.leaving:
                continue
            if value == LEAVING_VALUE:
                leaving = True
            else:
                invalid.append(InvalidHeader.from_bytes(name, value))
        return cls(leaving, tuple(invalid))
