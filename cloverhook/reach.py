"""Whether this VM reaches any endpoint of a service.

Layer: coordination.  Connections that fail to endpoint after endpoint, with none that works in
between, show that this VM has lost its links, and not that one endpoint has ended.  A request is
then sent by way of another VM at once.  While requests come, a connection is tried from time to
time, which shows when the links work again.

>>> reach = Reach()
>>> reach.record_failure("10.0.0.1:80", 0.0), reach.record_failure("10.0.0.2:80", 5.0)
(None, None)
>>> reach.is_lost, reach.due_check(10.0), reach.due_check(600.0) is None, reach.due_check(601.0)
(True, None, False, None)
"""

__all__ = ["Reach"]

LOST_AFTER = 2
"""Connections to this many endpoints that fail in a row show that the links are lost."""
CHECK_INTERVAL_MS = 500.0


class Reach:
    """The links of this VM to the endpoints of one service; times are on the monotonic clock."""

    def __init__(self) -> None:
        self._failed: dict[str, None] = {}
        self._next_check_ms = 0.0

    def record_failure(self, address: str, now_ms: float) -> None:
        """Record that no connection to an endpoint could be opened."""
        if not self.is_lost:
            self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        self._failed.pop(address, None)
        self._failed[address] = None

    def record_contact(self) -> None:
        """Record that an endpoint has answered."""
        self._failed.clear()

    @property
    def is_lost(self) -> bool:
        """Whether this VM has lost its links, as far as it knows."""
        return len(self._failed) >= LOST_AFTER

    def due_check(self, now_ms: float) -> str | None:
        """Return the endpoint to which a connection should be tried now, or None."""
        if not self.is_lost or now_ms < self._next_check_ms:
            return None
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        return next(iter(self._failed))
