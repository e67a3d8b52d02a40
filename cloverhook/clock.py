"""The clocks of a daemon, and how it notices that it was paused.

Layer: state.  Durations are taken from the monotonic clock; the wall clock serves the time line
alone.
"""

import time

__all__ = ["PauseWatch", "monotonic_ms", "wall_ms"]

PAUSE_THRESHOLD_MS = 1_500


def monotonic_ms() -> float:
    """Return milliseconds on a clock that never goes back."""
    return time.monotonic() * 1000


def wall_ms() -> float:
    """Return milliseconds since the epoch."""
    return time.time() * 1000


class PauseWatch:
    """Notices that the process did not run for a while.

    `observe` has to be called often, and before anything that arrived in the meantime is used.
    """

    def __init__(self, now_ms: float, pause_ms: float = PAUSE_THRESHOLD_MS) -> None:
        self._last_ms = now_ms
        self._pause_ms = pause_ms

    def observe(self, now_ms: float) -> bool:
        """Take the time and return whether the process has just woken from a pause."""
        paused_ms, self._last_ms = now_ms - self._last_ms, now_ms
        return paused_ms > self._pause_ms
