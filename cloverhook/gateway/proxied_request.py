"""What gateways exchange when one sends a request to an endpoint for another.

Layer: protocol.  A gateway that reaches no endpoint of a service passes requests on to one that
does, the proxy.  The frames on their connection are CBOR: a `ProxiedRequest` one way, and the other
way a `ProxiedAnswer`, followed by the parts of a body that it doesn't hold completely, of which the
last one is empty.

>>> answer = ProxiedAnswer(200, [(b"x", b"1")], "", 1, None, False, b"hello")
>>> ProxiedAnswer.decode(answer.encode()) == answer
True
"""

from dataclasses import dataclass, fields
from typing import Any, Self

import cbor2

from cloverhook.errors import ErrorKind, MessageError
from cloverhook.gateway.call_headers import HeaderList

__all__ = ["PROXIED_KEY", "ProxiedAnswer", "ProxiedRequest", "decode_part"]

PROXIED_KEY = "proxied"
"""The key of the frame that holds a request; frames of other kinds have other keys."""
TIME_LIMIT_MS = 86_400_000.0
COUNT_LIMIT = 1_000
CAUSES = frozenset(("", *(kind.value for kind in ErrorKind)))


@dataclass(frozen=True, slots=True)
class ProxiedRequest:
    """A caller's request that the gateway `vm` passes on.

    `elapsed_ms` is the time since it arrived there.  `attempts` is how many endpoints may still run
    it.  It is meant for `service`, by the sender's configuration of the version `config_version`.
    If that has client accounts, `key_digest` is the digest of the caller's key, which the headers
    don't contain.  It is left out where it is empty: older gateways don't know it.
    """

    vm: str
    method: bytes
    target: bytes
    host: str
    headers: HeaderList
    body: bytes
    has_body: bool
    caller: str
    service: str
    elapsed_ms: float
    attempts: int
    config_version: int
    key_digest: bytes = b""

    def encode(self) -> bytes:
        """Return the frame."""
        values = _values(self)
        return cbor2.dumps({PROXIED_KEY: values if self.key_digest else values[:-1]})

    @classmethod
    def from_values(cls, values: Any) -> Self:
        """Build a request from the values of a frame.  Raises `MessageError`."""
        if isinstance(values, list) and len(values) == len(fields(cls)) - 1:
            values = [*values, b""]
        request = _from_values(cls, values)
        texts = (request.vm, request.host, request.caller, request.service)
        data = (request.method, request.target, request.body, request.key_digest)
        are_valid = (
            all(isinstance(item, str) for item in texts)
            and all(isinstance(item, bytes) for item in data)
            and request.target.startswith(b"/")
            and isinstance(request.has_body, bool)
            and _is_number(request.elapsed_ms, TIME_LIMIT_MS)
            and type(request.attempts) is int
            and 0 < request.attempts <= COUNT_LIMIT
            and type(request.config_version) is int
        )
        if not are_valid:
            raise MessageError("proxied request with an invalid field")
        return request


@dataclass(frozen=True, slots=True)
class ProxiedAnswer:
    """The answer of an endpoint, or of the proxy itself; then `cause` is the error kind.

    `executions` is how many endpoints may have run the request.  If `more` is true, further parts
    of the body follow; `content_length` is that of the whole body, if it is known.
    """

    status: int
    headers: HeaderList
    cause: str
    executions: int
    content_length: int | None
    more: bool
    body: bytes

    def encode(self) -> bytes:
        """Return the frame."""
        return cbor2.dumps(_values(self))

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Decode a frame.  Raises `MessageError`."""
        try:
            answer = _from_values(cls, cbor2.loads(data))
        except (cbor2.CBORError, RecursionError) as error:
            raise MessageError(f"not a proxied answer: {error!r}") from error
        length = answer.content_length
        are_valid = (
            type(answer.status) is int
            and 200 <= answer.status < 600
            and isinstance(answer.cause, str)
            and answer.cause in CAUSES
            and type(answer.executions) is int
            and 0 <= answer.executions <= COUNT_LIMIT
            and (length is None or (type(length) is int and length >= 0))
            and isinstance(answer.more, bool)
            and isinstance(answer.body, bytes)
        )
        if not are_valid:
            raise MessageError("proxied answer with an invalid field")
        return answer


def decode_part(data: bytes) -> bytes:
    """Decode a frame with a part of a body; the last one is empty.  Raises `MessageError`."""
    try:
        part = cbor2.loads(data)
    except (cbor2.CBORError, RecursionError) as error:
        raise MessageError(f"not a part of a body: {error!r}") from error
    if not isinstance(part, bytes):
        raise MessageError("a part of a body that is no bytes")
    return part


def _values(item: Any) -> list[Any]:
    return [getattr(item, name.name) for name in fields(item)]


def _from_values(message_type: type, values: Any) -> Any:
    if not isinstance(values, list) or len(values) != len(fields(message_type)):
        raise MessageError(f"{message_type.__name__} with the wrong number of fields")
    by_name = {item.name: value for item, value in zip(fields(message_type), values, strict=True)}
    by_name["headers"] = _headers(by_name["headers"])
    try:
        return message_type(**by_name)
    except TypeError as error:
        raise MessageError(f"{message_type.__name__}: {error}") from error


def _headers(rows: Any) -> HeaderList:
    if not isinstance(rows, list) or not all(_is_header(row) for row in rows):
        raise MessageError("invalid headers")
    return [(name, value) for name, value in rows]


def _is_header(row: Any) -> bool:
    is_pair = isinstance(row, list) and len(row) == 2
    if not is_pair or not all(isinstance(item, bytes) for item in row):
        return False
    return not any(byte in item for item in row for byte in (b"\r", b"\n", b"\0"))


def _is_number(value: Any, limit: float) -> bool:
    return type(value) in (int, float) and 0 <= value <= limit
