"""When a refused request may come back: later the more is refused, and spread at random.

Layer: coordination.
"""

import random

__all__ = ["RetryAfterTimes"]

BASE_MS = 500.0
MAX_MS = 15_000.0
RATE = 0.02
GROWTH = 8.0
SPREAD = 0.5


class RetryAfterTimes:
    """Gives refused requests their time to come back."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._refused = 0.0

    def record_admission(self) -> None:
        """Count a request that was not refused."""
        self._refused -= RATE * self._refused

    def record_rejection(self, wait_ms: float) -> float:
        """Return the milliseconds after which a request refused now may come back."""
        self._refused += RATE * (1.0 - self._refused)
        after_ms = (BASE_MS + wait_ms) * (1.0 + GROWTH * self._refused)
        jitter = self._random.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        return min(MAX_MS, after_ms) * jitter
