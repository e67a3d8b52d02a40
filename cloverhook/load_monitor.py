"""Measures the load of this process: its event loop lag and the share of a core that it uses.

Layer: coordination.  The `LoadShedder` gets both values at each check.  The peers get the load in
tenths of a core, only when it has changed by at least `REPORT_THRESHOLD_TENTHS` and at most once in
`REPORT_INTERVAL_MS`.
"""

import asyncio
import time
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.load_shedder import LoadShedder

__all__ = ["LoadMonitor"]

CHECK_INTERVAL_MS = 50.0
REPORT_INTERVAL_MS = 1_000.0
REPORT_THRESHOLD_TENTHS = 2


class LoadMonitor:
    """Measures the load of this process.

    `on_load_change` is called with the load in tenths of a core when the peers should get it.
    `on_check` is called with the time at which each check was due, so that the lag can be recorded.
    """

    def __init__(
        self,
        load_shedder: LoadShedder,
        on_load_change: Callable[[int], None],
        on_check: Callable[[float], None] = lambda due_ms: None,
    ) -> None:
        self._load_shedder = load_shedder
        self._on_load_change = on_load_change
        self._on_check = on_check
        self._reported_tenths = 0
        self._reported_ms = 0.0

    async def run(self) -> None:
        """Measure until the task is cancelled."""
        while True:
            started_ms, used_s = monotonic_ms(), time.process_time()
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            self._on_check(started_ms + CHECK_INTERVAL_MS)
            now_ms = monotonic_ms()
            took_ms = now_ms - started_ms
            busy = (time.process_time() - used_s) * 1000 / took_ms
            self._load_shedder.observe(took_ms - CHECK_INTERVAL_MS, busy)
            self.report_if_changed(now_ms)

    def report_if_changed(self, now_ms: float) -> None:
        """Report the load to the peers if it differs enough from the last report."""
        tenths = round(10 * min(1.0, self._load_shedder.busy))
        differs = abs(tenths - self._reported_tenths) >= REPORT_THRESHOLD_TENTHS
        if differs and now_ms - self._reported_ms >= REPORT_INTERVAL_MS:
            self._reported_tenths, self._reported_ms = tenths, now_ms
            self._on_load_change(tenths)
