"""The planned stop of a gateway: until when callers are accepted, and which requests may begin.

Layer: coordination.  Callers keep the address of a gateway for some time after its stop has begun,
so it goes on to serve them.  The end of the stop breaks off what is still in progress, and a caller
whose request is broken off doesn't know whether it has run.  A request therefore begins only if its
deadline comes before the end: then it will have ended, whatever its endpoint does.  In the first
part of the stop, an idempotent request also begins if it is expected to end long before; a caller
can send it again.  Others are rejected at once, and their callers turn to another gateway.

>>> stop = PlannedStop()
>>> stop.allows(now_ms=1_000.0, deadline_ms=9_000.0)
True
>>> stop.begin(now_ms=1_000.0, stop_ms=6_000.0)
>>> stop.end_ms, stop.accepts_until_ms
(6200.0, 4300.0)
>>> stop.allows(1_500.0, deadline_ms=6_000.0), stop.allows(1_500.0, deadline_ms=9_000.0)
(True, False)
>>> stop.allows(1_500.0, deadline_ms=9_000.0, expected_ms=300.0)
True
"""

import math

__all__ = ["PlannedStop"]

ACCEPT_FRACTION = 0.55
"""The fraction of a planned stop during which callers that still use an older directory response
are accepted."""
EXIT_RESERVE_MS = 800.0
"""Requests that still run this long before the end of a planned stop are broken off: a slow VM
needs this time to exit."""
RESPONSE_MARGIN_MS = 100.0
"""The time to write the response to a request that ends at its deadline."""
ESTIMATE_FRACTION = 0.4
ESTIMATE_LIMIT_MS = 3_000.0
"""Requests begin on an estimate within the smaller of these two times from the start of a stop:
later, too little time is left for those that take much longer than expected."""
ESTIMATE_FACTOR = 1.5
"""How many times the expected duration of a request must fit into the time that is left."""


class PlannedStop:
    """When a planned stop ends; before it has begun, all times are infinite."""

    def __init__(self) -> None:
        self.accepts_until_ms = math.inf
        """When the listener for callers closes."""
        self.end_ms = math.inf
        """When the requests in progress are broken off."""
        self._estimates_until_ms = math.inf

    def begin(self, now_ms: float, stop_ms: float) -> None:
        """Begin the stop, which takes `stop_ms` in all."""
        self.accepts_until_ms = now_ms + ACCEPT_FRACTION * stop_ms
        self.end_ms = now_ms + stop_ms - EXIT_RESERVE_MS
        self._estimates_until_ms = now_ms + min(ESTIMATE_FRACTION * stop_ms, ESTIMATE_LIMIT_MS)

    def allows(self, now_ms: float, deadline_ms: float, expected_ms: float = math.inf) -> bool:
        """Return whether a request may begin, or be sent once more.

        `expected_ms` is how long it usually takes; it is left out for requests that may run once.
        """
        if deadline_ms + RESPONSE_MARGIN_MS <= self.end_ms:
            return True
        if now_ms > self._estimates_until_ms:
            return False
        return now_ms + ESTIMATE_FACTOR * expected_ms <= self.end_ms
