"""The headers by which callers, gateways and backend servers tell each other about a request.

Layer: protocol.  `CallHeaders` holds the names in use, in lower case; the adapter of a platform
brings that platform's own.
"""

import re
from dataclasses import dataclass

from cloverhook.gateway.load import LoadReport
from cloverhook.hop_by_hop import ALWAYS_FORWARDED, HOP_BY_HOP, find

__all__ = [
    "CallHeaders",
    "HeaderList",
    "parse_cold_ms",
    "find",
    "parse_load",
    "end_to_end_headers",
    "parse_rate_limit",
]

HeaderList = list[tuple[bytes, bytes]]

NEVER_PASSED_ON = HOP_BY_HOP | {b"content-length"}
"""A body is framed anew on each connection."""
PERCENT = 100.0
RATE_LIMIT = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
COLD_MOST_MS = 86_400_000
"""A day: what says more is no time that an endpoint stays cold."""


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """The names of the headers of a call.

    `receipt` marks an answer that a backend server made, `not_run` one by which it says that the
    request did not run there.  `load` carries requests running, requests waiting, slots and, where
    it is known, the pace in percent of usual.  `cold_ms` says for how long an endpoint stays cold,
    and the first one there is of `rate_limits` how many requests a second it takes from all
    gateways together.
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

    def set_by_gateway(self) -> frozenset[bytes]:
        """Return the names that a gateway sets itself on the way to a backend server."""
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
        """Return the names that are between gateway and backend server alone."""
        return frozenset((self.load, self.not_run, self.incarnation))


def end_to_end_headers(headers: HeaderList, left_out: frozenset[bytes]) -> HeaderList:
    """Return the headers that concern more than one connection, less those left out."""
    named: set[bytes] = set()
    kept: HeaderList = []
    for pair in headers:
        if pair[0] == b"connection":
            named.update(token.strip().lower() for token in pair[1].split(b","))
        elif pair[0] not in NEVER_PASSED_ON and pair[0] not in left_out:
            kept.append(pair)
    named -= ALWAYS_FORWARDED
    return [pair for pair in kept if pair[0] not in named] if named else kept


def parse_cold_ms(value: bytes | None) -> float:
    """Return for how long an endpoint stays cold by a header, 0 where that says nothing sound."""
    if value is None or not value.isdigit() or int(value) > COLD_MOST_MS:
        return 0.0
    return float(value)


def parse_rate_limit(headers: HeaderList, names: CallHeaders) -> float | None:
    """Return the requests a second that an answer names, or None where it names nothing sound."""
    found = (find(headers, name) for name in names.rate_limits)
    value = next((item for item in found if item is not None), None)
    if value is None or RATE_LIMIT.fullmatch(value) is None:
        return None
    return float(value)


def parse_load(value: bytes | None) -> LoadReport | None:
    """Return the load figure of a header, or None where there is none that can be read."""
    if value is None:
        return None
    try:
        figures = [int(item) for item in value.split(b",")]
    except ValueError:
        return None
    if len(figures) < 2 or min(figures) < 0:
        return None
    pace = figures[3] / PERCENT if len(figures) > 3 and figures[3] else 1.0
    return LoadReport(figures[0], figures[1], pace)
