"""A schedule of wake-up times for many parts, so that parts with nothing pending cost nothing.

Layer: coordination.  `WakeTimes` is free of input and output; `LoopTimer` is the single event loop
timer that a set of parts shares.

>>> times = WakeTimes()
>>> times.request("booking", 30.0)
>>> times.request("roster", None)
>>> times.earliest_ms(), times.pop_due(30.0), times.earliest_ms()
(30.0, ['booking'], None)
"""

import asyncio
import heapq
from collections.abc import Callable

__all__ = ["LoopTimer", "WakeTimes"]


class WakeTimes:
    """The earliest wake-up time that each part has requested, by the part's key."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []
        self._requested: dict[str, float] = {}

    def request(self, key: str, wake_ms: float | None) -> None:
        """Request a wake-up of a part; an earlier time that it has already requested stays."""
        if wake_ms is None:
            return
        requested_ms = self._requested.get(key)
        if requested_ms is None or wake_ms < requested_ms:
            self._requested[key] = wake_ms
            heapq.heappush(self._heap, (wake_ms, key))

    def drop(self, key: str) -> None:
        """Remove the request of a part."""
        self._requested.pop(key, None)

    def earliest_ms(self) -> float | None:
        """Return the earliest requested time, or None."""
        while self._heap:
            wake_ms, key = self._heap[0]
            if self._requested.get(key) == wake_ms:
                return wake_ms
            heapq.heappop(self._heap)
        return None

    def pop_due(self, now_ms: float) -> list[str]:
        """Remove and return the parts whose time has come, in order of their times."""
        found: list[str] = []
        while (wake_ms := self.earliest_ms()) is not None and wake_ms <= now_ms:
            _, key = heapq.heappop(self._heap)
            del self._requested[key]
            found.append(key)
        return found


class LoopTimer:
    """One timer of the running event loop, which calls back at the earliest requested time."""

    def __init__(self, clock_ms: Callable[[], float], callback: Callable[[], None]) -> None:
        self._clock_ms = clock_ms
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._wake_ms = 0.0

    def call_by(self, wake_ms: float | None) -> None:
        """Schedule the callback for a time, unless it is already scheduled for an earlier one."""
        if wake_ms is None:
            return
        if self._handle is not None:
            if self._wake_ms <= wake_ms:
                return
            self._handle.cancel()
        self._wake_ms = wake_ms
        delay_s = max(0.0, wake_ms - self._clock_ms()) / 1000
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._fire)

    def cancel(self) -> None:
        """Cancel the scheduled callback."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        self._callback()
