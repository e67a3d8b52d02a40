"""The HTTP headers that cloverhook reads, adds and removes.

Layer: protocol.  Headers are lists of pairs of bytes with lower-case names, so repeated headers
and their order are preserved.
"""

import os
import re
from collections.abc import Iterable

from cloverhook.errors import ErrorKind, Outcome, RequestError
from cloverhook.hop_by_hop import ALWAYS_FORWARDED, HOP_BY_HOP, find
from cloverhook.retry_after_header import RETRY_AFTER, parse_retry_after_ms

__all__ = [
    "ATTEMPT",
    "DEADLINE",
    "ERROR",
    "IDEMPOTENCY_KEY",
    "LEAVING",
    "LOAD",
    "OUTCOME",
    "PROXIED",
    "REPLAYED",
    "REQUEST_ID",
    "RETRY_AFTER_MS",
    "Headers",
    "attempt_of",
    "backoff_ms_of",
    "end_to_end",
    "find",
    "is_draining",
    "load_of",
    "outcome_of",
    "request_id_of",
    "timeout_ms_of",
]

Headers = list[tuple[bytes, bytes]]

REQUEST_ID = b"x-request-id"
DEADLINE = b"cloverhook-timeout-ms"
OUTCOME = b"cloverhook-outcome"
ERROR = b"cloverhook-error"
RETRY_AFTER_MS = b"cloverhook-retry-after-ms"
LOAD = b"cloverhook-load"
LEAVING = b"cloverhook-leaving"
ATTEMPT = b"cloverhook-attempt"
IDEMPOTENCY_KEY = b"idempotency-key"
REPLAYED = b"cloverhook-replayed"
PROXIED = b"cloverhook-proxied"

CONTROL_PREFIX = b"cloverhook-"
NEVER_FORWARDED = HOP_BY_HOP | {REQUEST_ID}
VALID_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")
MAX_TIMEOUT_DIGITS = 9
REQUEST_ID_BYTES = 16
OUTCOMES = {outcome.value.encode(): outcome for outcome in Outcome}


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that are forwarded to the other side.

    Left out are hop-by-hop headers, those that `Connection` names, and cloverhook's own headers,
    which each side gets only from this daemon.  `Connection` can't remove the headers that frame
    and address a message.
    """
    connection_names: set[bytes] = set()
    kept: Headers = []
    for pair in headers:
        name = pair[0]
        if name == b"connection":
            connection_names.update(token.strip().lower() for token in pair[1].split(b","))
        elif name not in NEVER_FORWARDED and not name.startswith(CONTROL_PREFIX):
            kept.append(pair)
    connection_names -= ALWAYS_FORWARDED
    return [pair for pair in kept if pair[0] not in connection_names] if connection_names else kept


def request_id_of(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the caller's request identifier, or a new one if there is no single valid one."""
    values = [value for key, value in headers if key == REQUEST_ID]
    if len(values) == 1 and VALID_REQUEST_ID.fullmatch(values[0]):
        return values[0].decode("ascii")
    return os.urandom(REQUEST_ID_BYTES).hex()


def timeout_ms_of(headers: Iterable[tuple[bytes, bytes]], default_ms: float) -> float:
    """Return the caller's timeout in milliseconds, at most `default_ms`.

    Raises `RequestError` if the header is not a whole number.
    """
    value = find(headers, DEADLINE)
    if value is None:
        return default_ms
    if not value.isdigit() or len(value) > MAX_TIMEOUT_DIGITS:
        raise RequestError(ErrorKind.BAD_REQUEST, "the timeout header is not a whole number")
    return min(float(value), default_ms)


def attempt_of(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the number of the attempt that this request is for the layer above.

    It is 1 for a first attempt or without the header, and 2 for any later attempt.
    """
    value = find(headers, ATTEMPT)
    return 2 if value is not None and value not in (b"", b"0", b"1") else 1


def is_draining(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a backend server reports in its answer that it is draining."""
    return find(headers, LEAVING) == b"1"


def backoff_ms_of(headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Return for how long a backend server that rejects a request wants no further ones.

    Returns 0 without the header, and None if its value is invalid.
    """
    value = find(headers, RETRY_AFTER)
    return 0.0 if value is None else parse_retry_after_ms(value)


def load_of(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the number of requests in flight that a backend server reports, or None."""
    value = find(headers, LOAD)
    return int(value) if value is not None and value.isdigit() else None


def outcome_of(headers: Iterable[tuple[bytes, bytes]]) -> Outcome | None:
    """Return the outcome that a backend server reports for a request, or None."""
    value = find(headers, OUTCOME)
    return OUTCOMES.get(value) if value is not None else None
