"""The headers in which callers, gateways and backend servers exchange data about a request.

Layer: protocol.  `CallHeaders` holds the header names in use, in lower case; the adapter for a
platform supplies the names of that platform.
"""

import re
from dataclasses import dataclass

from cloverhook.gateway.server_load import LoadReport
from cloverhook.hop_by_hop import ALWAYS_FORWARDED, HOP_BY_HOP, find

__all__ = [
    "CallHeaders",
    "HeaderList",
    "end_to_end_headers",
    "find",
    "parse_cold_ms",
    "parse_load",
    "parse_rate_limit",
]

HeaderList = list[tuple[bytes, bytes]]

NEVER_FORWARDED = HOP_BY_HOP | {b"content-length"}
"""Headers that are never forwarded; each connection frames the body itself, so its length is set
again."""
PERCENT = 100.0
RATE_LIMIT = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
COLD_LIMIT_MS = 86_400_000
"""One day; a larger value can't be the time for which an endpoint stays cold, and is ignored."""


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """The header names of a request and its response.

    `receipt` marks a response that a backend server made itself; `not_run` marks a response by
    which it states that the request did not run there.  `load` holds the number of requests
    running, requests waiting, slots and, if it is known, the slowdown, with the usual work time as
    100 percent.  `cold_ms` is the time for which an endpoint stays cold.  The first header present
    of `rate_limits` is the number of requests a second that the endpoint accepts from all gateways
    together.  A header of `leaving` with the value 1 says that the endpoint is about to stop.
    `authorization` holds a caller's key behind the word `key_scheme`; `account` tells an endpoint
    the name of the caller's account.
    """

    request_id: bytes = b"x-request-id"
    timeout_ms: bytes = b"cloverhook-timeout-ms"
    incarnation_wanted: bytes = b"cloverhook-incarnation-wanted"
    incarnation: bytes = b"cloverhook-incarnation"
    receipt: bytes = b"cloverhook-receipt"
    load: bytes = b"cloverhook-load"
    not_run: bytes = b"cloverhook-not-run"
    cold_ms: bytes = b"cloverhook-cold-ms"
    rate_limits: tuple[bytes, ...] = (b"cloverhook-rate-limit",)
    leaving: tuple[bytes, ...] = (b"cloverhook-leaving",)
    authorization: bytes = b"authorization"
    key_scheme: bytes = b"token"
    account: bytes = b"cloverhook-account"

    def set_by_gateway(self) -> frozenset[bytes]:
        """Return the headers that only gateways and backend servers set.

        A gateway doesn't forward them from a caller to a backend server.
        """
        return frozenset(
            (
                self.request_id,
                self.timeout_ms,
                self.incarnation_wanted,
                self.incarnation,
                self.receipt,
                self.load,
                self.not_run,
            )
        )

    def internal(self) -> frozenset[bytes]:
        """Return the headers that are used only between the gateway and a backend server."""
        return frozenset((self.load, self.not_run, self.incarnation))


def end_to_end_headers(headers: HeaderList, left_out: frozenset[bytes]) -> HeaderList:
    """Return the end-to-end headers, without those in `left_out`.

    Hop-by-hop headers concern one connection only; a `Connection` header may name more of them.
    """
    named: set[bytes] = set()
    kept: HeaderList = []
    for pair in headers:
        if pair[0] == b"connection":
            named.update(token.strip().lower() for token in pair[1].split(b","))
        elif pair[0] not in NEVER_FORWARDED and pair[0] not in left_out:
            kept.append(pair)
    named -= ALWAYS_FORWARDED
    return [pair for pair in kept if pair[0] not in named] if named else kept


def parse_cold_ms(value: bytes | None) -> float:
    """Parse how long an endpoint stays cold; return 0 if the value is absent or invalid."""
    if value is None or not value.isdigit() or int(value) > COLD_LIMIT_MS:
        return 0.0
    return float(value)


def parse_rate_limit(headers: HeaderList, names: CallHeaders) -> float | None:
    """Parse the rate limit in a response's headers; return None if it is absent or invalid."""
    values = (find(headers, name) for name in names.rate_limits)
    value = next((item for item in values if item is not None), None)
    if value is None or RATE_LIMIT.fullmatch(value) is None:
        return None
    return float(value)


def parse_load(value: bytes | None) -> LoadReport | None:
    """Parse the load report in a header value; return None if it is absent or invalid."""
    if value is None:
        return None
    try:
        numbers = [int(item) for item in value.split(b",")]
    except ValueError:
        return None
    if len(numbers) < 2 or min(numbers) < 0:
        return None
    slowdown = numbers[3] / PERCENT if len(numbers) > 3 and numbers[3] else 1.0
    return LoadReport(numbers[0], numbers[1], slowdown)
