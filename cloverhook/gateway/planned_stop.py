"""The planned stop of a gateway: until when callers are accepted, and which requests may begin.

Layer: coordination.  Callers keep the address of a gateway for some time after its stop has begun,
so it goes on to serve them.  The end of the stop breaks off what is still in progress, and a caller
whose request is broken off doesn't know whether it has run.  A request begins only if it will have
ended by then, whatever its endpoint does: if its deadline comes before the end.  Others are
rejected at once, and their callers turn to another gateway.

>>> stop = PlannedStop()
>>> stop.allows(deadline_ms=9_000.0)
True
>>> stop.begin(now_ms=1_000.0, stop_ms=6_000.0)
>>> stop.end_ms, stop.accepts_until_ms
(6200.0, 4300.0)
>>> stop.allows(deadline_ms=6_000.0), stop.allows(deadline_ms=9_000.0)
(True, False)
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


class PlannedStop:
    """When a planned stop ends; before it has begun, all times are infinite."""

    def __init__(self) -> None:
        self.accepts_until_ms = math.inf
        """When the listener for callers closes."""
        self.end_ms = math.inf
        """When the requests in progress are broken off."""

    def begin(self, now_ms: float, stop_ms: float) -> None:
        """Begin the stop, which takes `stop_ms` in all."""
        self.accepts_until_ms = now_ms + ACCEPT_FRACTION * stop_ms
        self.end_ms = now_ms + stop_ms - EXIT_RESERVE_MS

    def allows(self, deadline_ms: float) -> bool:
        """Return whether a request with this deadline may begin, or be sent once more."""
        return deadline_ms + RESPONSE_MARGIN_MS <= self.end_ms
