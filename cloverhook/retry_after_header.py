"""The `Retry-After` header by which a backend server that rejects a request asks for relief.

Layer: protocol.

>>> parse_retry_after_ms(b"2.5"), parse_retry_after_ms(b"soon")
(2500.0, None)
"""

import re

__all__ = ["BACKOFF_LIMIT_MS", "RETRY_AFTER", "parse_retry_after_ms"]

RETRY_AFTER = b"retry-after"
SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
MS_PER_S = 1_000.0
BACKOFF_LIMIT_MS = 3_600_000.0
"""One hour.  A longer time can't be meant: a backend server that needs it leaves the service."""


def parse_retry_after_ms(value: bytes) -> float | None:
    """Parse a time in seconds; return None if it is invalid or longer than `BACKOFF_LIMIT_MS`."""
    if SECONDS.fullmatch(value) is None:
        return None
    backoff_ms = float(value) * MS_PER_S
    return backoff_ms if backoff_ms <= BACKOFF_LIMIT_MS else None
