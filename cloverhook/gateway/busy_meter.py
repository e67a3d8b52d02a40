"""How much of a core this process uses.

Layer: state.

>>> seconds = iter((0.0, 0.5, 0.6))
>>> meter = BusyMeter(0.0, lambda: next(seconds))
>>> meter.share(1_000.0), meter.share(1_200.0)
(0.5, 0.5)
"""

import time
from collections.abc import Callable

__all__ = ["BusyMeter"]

SPAN_MS = 1_000.0
"""A share is taken over at least this time: beats come more often, and say the same meanwhile."""


class BusyMeter:
    """The share of a core that was used in the last whole span."""

    def __init__(self, now_ms: float, used_s: Callable[[], float] = time.process_time) -> None:
        """Start to measure; `used_s` returns the processor time that was used, in seconds."""
        self._used_s = used_s
        self._since_ms, self._since_used_s = now_ms, used_s()
        self._share = 0.0

    def share(self, now_ms: float) -> float:
        """Return the share; 1.0 is a whole core."""
        passed_ms = now_ms - self._since_ms
        if passed_ms >= SPAN_MS:
            used_s = self._used_s()
            self._share = (used_s - self._since_used_s) * 1_000 / passed_ms
            self._since_ms, self._since_used_s = now_ms, used_s
        return self._share
