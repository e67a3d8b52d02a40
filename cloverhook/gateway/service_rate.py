"""The rate at which work of a service's queue is started, measured while requests wait.

Layer: coordination.  Slots are shared by all VMs, so how many of them become free for this VM can't
be computed from the endpoints alone.  While requests wait, each slot that this VM gets is used at
once; so the work that it starts then is what it can start.

>>> rate = ServiceRate()
>>> for now_ms in range(0, 1_000, 10):
...     rate.record_start(20.0, float(now_ms), True)
>>> round(rate.wait_ms(400.0), -1)
200.0
"""

__all__ = ["ServiceRate"]

HALF_LIFE_MS = 1_500.0
"""Work and time count half after this time: long enough to hold the ends of several requests."""
EVIDENCE_MIN_MS = 300.0
"""With less time than this during which requests waited, no rate is known."""


class ServiceRate:
    """The rate of one service; times are monotonic."""

    def __init__(self) -> None:
        self._work_ms = 0.0
        self._waited_ms = 0.0
        self._at_ms = 0.0
        self._waiting = False

    def advance(self, now_ms: float, waiting: bool) -> None:
        """Record whether requests wait from now on."""
        passed_ms = now_ms - self._at_ms
        if self._waiting and passed_ms > 0.0:
            decay = 0.5 ** (passed_ms / HALF_LIFE_MS)
            self._work_ms *= decay
            self._waited_ms = self._waited_ms * decay + passed_ms
        self._at_ms = now_ms
        self._waiting = waiting

    def record_start(self, work_ms: float, now_ms: float, waiting: bool) -> None:
        """Record that the work of a request was started after a wait or while others waited."""
        self.advance(now_ms, waiting)
        self._work_ms += work_ms

    def wait_ms(self, work_ms: float) -> float | None:
        """Return how long it takes to start some work; None if the rate isn't known."""
        if self._waited_ms < EVIDENCE_MIN_MS:
            return None
        return work_ms * self._waited_ms / max(self._work_ms, 1.0)
