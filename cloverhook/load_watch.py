"""Watches the load of this process: how late its event loop runs and how much of a core it uses.

Layer: coordination.  The daemon's own limit takes both each time; the peers are told the load in
tenths of a core, and only when it has changed by more than a little.
"""

import asyncio
import time
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.own_limit import LoadShedder

__all__ = ["LoadMonitor"]

LOOK_EVERY_MS = 50.0
TELL_EVERY_MS = 1_000.0
TELL_FROM_TENTHS = 2


class LoadMonitor:
    """The load of this process; `on_busy` takes tenths of a core when the peers should know.

    `on_look` takes when each look was due, to tell how late it is.
    """

    def __init__(
        self,
        limit: LoadShedder,
        on_busy: Callable[[int], None],
        on_look: Callable[[float], None] = lambda due_ms: None,
    ) -> None:
        self._limit = limit
        self._on_busy = on_busy
        self._on_look = on_look
        self._told_tenths = 0
        self._told_ms = 0.0

    async def run(self) -> None:
        """Watch until the task is cancelled."""
        while True:
            started_ms, used_s = monotonic_ms(), time.process_time()
            await asyncio.sleep(LOOK_EVERY_MS / 1000)
            self._on_look(started_ms + LOOK_EVERY_MS)
            now_ms = monotonic_ms()
            took_ms = now_ms - started_ms
            busy = (time.process_time() - used_s) * 1000 / took_ms
            self._limit.observe(took_ms - LOOK_EVERY_MS, busy)
            self.report_if_changed(now_ms)

    def report_if_changed(self, now_ms: float) -> None:
        """Tell the peers if the load differs enough from what they know."""
        tenths = round(10 * min(1.0, self._limit.busy))
        differs = abs(tenths - self._told_tenths) >= TELL_FROM_TENTHS
        if differs and now_ms - self._told_ms >= TELL_EVERY_MS:
            self._told_tenths, self._told_ms = tenths, now_ms
            self._on_busy(tenths)
