"""When each of many parts next needs the clock, so that those with nothing pending cost nothing.

Layer: coordination.  `WakeTimes` is free of input and output; `LoopTimer` is the one timer that a
set of parts keeps on the event loop.

>>> times = WakeTimes()
>>> times.want("booking", 30.0)
>>> times.want("roster", None)
>>> times.next_ms(), times.due(30.0), times.next_ms()
(30.0, ['booking'], None)
"""

import asyncio
import heapq
from collections.abc import Callable

__all__ = ["LoopTimer", "WakeTimes"]


class WakeTimes:
    """The earliest time that each part, by its key, has asked for."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []
        self._requested: dict[str, float] = {}

    def want(self, key: str, wake_ms: float | None) -> None:
        """Take when a part needs the clock; a time that it asked for before stands if earlier."""
        if wake_ms is None:
            return
        known_ms = self._requested.get(key)
        if known_ms is None or wake_ms < known_ms:
            self._requested[key] = wake_ms
            heapq.heappush(self._heap, (wake_ms, key))

    def drop(self, key: str) -> None:
        """Forget a part."""
        self._requested.pop(key, None)

    def next_ms(self) -> float | None:
        """Return the earliest time that is wanted."""
        while self._heap:
            wake_ms, key = self._heap[0]
            if self._requested.get(key) == wake_ms:
                return wake_ms
            heapq.heappop(self._heap)
        return None

    def due(self, now_ms: float) -> list[str]:
        """Take out and return the parts whose time has come, in its order."""
        found: list[str] = []
        while (wake_ms := self.next_ms()) is not None and wake_ms <= now_ms:
            _, key = heapq.heappop(self._heap)
            del self._requested[key]
            found.append(key)
        return found


class LoopTimer:
    """One timer of the running event loop, which calls back at the earliest time asked for."""

    def __init__(self, clock_ms: Callable[[], float], callback: Callable[[], None]) -> None:
        self._clock_ms = clock_ms
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._wake_ms = 0.0

    def by(self, wake_ms: float | None) -> None:
        """Call back at a time, unless an earlier call back stands."""
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
        """Call back no more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        self._callback()
