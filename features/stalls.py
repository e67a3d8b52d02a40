"""The times in which other processes kept the test's own process from running.

A gateway that is tested in the test's process cannot answer in such a time.  Time in which the
process itself computes is no stall: it counts against the gateway.
"""

import asyncio
import time
from dataclasses import dataclass

from cloverhook.clock import monotonic_ms

__all__ = ["StallMonitor"]

CHECK_MS = 5.0
STALL_MIN_MS = 10.0


@dataclass(frozen=True, slots=True)
class Stall:
    """A time between two checks of which the process has not run for `lost_ms`."""

    start_ms: float
    end_ms: float
    lost_ms: float


class StallMonitor:
    """Records the stalls of this process while it runs."""

    def __init__(self):
        self._stalls = []
        self._task = None

    def start(self):
        """Begin to record, on the running event loop."""
        self._task = asyncio.create_task(self._check())

    def stop(self):
        """Stop recording."""
        self._task.cancel()

    def lost_ms(self, start_ms, end_ms):
        """Return the most that stalls can have delayed something that took from start to end."""
        return sum(
            min(item.lost_ms, item.end_ms - start_ms, end_ms - item.start_ms)
            for item in self._stalls
            if item.end_ms > start_ms and item.start_ms < end_ms
        )

    async def _check(self):
        while True:
            start_ms, start_cpu_s = monotonic_ms(), time.process_time()
            await asyncio.sleep(CHECK_MS / 1000)
            end_ms, computed_ms = monotonic_ms(), 1000 * (time.process_time() - start_cpu_s)
            lost_ms = end_ms - start_ms - CHECK_MS - computed_ms
            if lost_ms >= STALL_MIN_MS:
                self._stalls.append(Stall(start_ms, end_ms, lost_ms))
