"""Watches the load of this process: how late its event loop runs and how much of a core it uses.

Layer: coordination.  The daemon's own limit takes both each time; the peers are told the load in
tenths of a core, and only when it has changed by more than a little.
"""

import asyncio
import time
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.own_limit import OwnLimit

__all__ = ["LoadWatch"]

CHECK_INTERVAL_MS = 50.0
REPORT_INTERVAL_MS = 1_000.0
REPORT_THRESHOLD_TENTHS = 2


class LoadWatch:
    """The load of this process; `on_busy` takes tenths of a core when the peers should know.

    `on_look` takes when each look was due, to tell how late it is.
    """

    def __init__(
        self,
        limit: OwnLimit,
        on_load_change: Callable[[int], None],
        on_check: Callable[[float], None] = lambda due_ms: None,
    ) -> None:
        self._limit = limit
        self._on_load_change = on_load_change
        self._on_check = on_check
        self._reported_tenths = 0
        self._reported_ms = 0.0

    async def run(self) -> None:
        """Watch until the task is cancelled."""
        while True:
            started_ms, used_s = monotonic_ms(), time.process_time()
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            self._on_check(started_ms + CHECK_INTERVAL_MS)
            now_ms = monotonic_ms()
            took_ms = now_ms - started_ms
            busy = (time.process_time() - used_s) * 1000 / took_ms
            self._limit.observe(took_ms - CHECK_INTERVAL_MS, busy)
            self.look(now_ms)

    def look(self, now_ms: float) -> None:
        """Tell the peers if the load differs enough from what they know."""
        tenths = round(10 * min(1.0, self._limit.busy))
        differs = abs(tenths - self._reported_tenths) >= REPORT_THRESHOLD_TENTHS
        if differs and now_ms - self._reported_ms >= REPORT_INTERVAL_MS:
            self._reported_tenths, self._reported_ms = tenths, now_ms
            self._on_load_change(tenths)
