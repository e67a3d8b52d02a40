"""The clocks of a daemon, and the detection of process pauses.

Layer: state.  Durations are measured with the monotonic clock; the wall clock is used only for the
time line and the claim log.
"""

import time

__all__ = ["PauseDetector", "monotonic_ms", "wall_ms"]

PAUSE_THRESHOLD_MS = 1_500


def monotonic_ms() -> float:
    """Return milliseconds on a clock that never goes back.

    It counts the time for which the machine was suspended too: what was known before is older then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def wall_ms() -> float:
    """Return milliseconds since the epoch."""
    return time.time() * 1000


class PauseDetector:
    """Detects that the process did not run for a while.

    `observe` must be called often, and before anything that arrived during a pause is used.
    """

    def __init__(self, now_ms: float, pause_ms: float = PAUSE_THRESHOLD_MS) -> None:
        self._last_ms = now_ms
        self._pause_ms = pause_ms

    def observe(self, now_ms: float) -> bool:
        """Record the time and return whether the process has just resumed after a pause."""
        paused_ms, self._last_ms = now_ms - self._last_ms, now_ms
        return paused_ms > self._pause_ms
