"""Computes how long the caller of a rejected request should wait before it retries.

Layer: coordination.  The delay grows with the share of rejected requests, and is randomised so
that retries are spread out.
"""

import random

__all__ = ["RetryAfterTimes"]

BASE_MS = 500.0
MAX_MS = 15_000.0
SMOOTHING = 0.02
MAX_EXTRA_FACTOR = 8.0
JITTER = 0.5


class RetryAfterTimes:
    """Tracks the share of rejected requests and computes retry delays from it."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._rejected_share = 0.0

    def record_admission(self) -> None:
        """Count a request that was not rejected."""
        self._rejected_share -= SMOOTHING * self._rejected_share

    def record_rejection(self, wait_ms: float) -> float:
        """Count a rejected request and return the milliseconds after which it may be retried.

        `wait_ms` is the expected wait at this VM; it is added to the base delay.
        """
        self._rejected_share += SMOOTHING * (1.0 - self._rejected_share)
        after_ms = (BASE_MS + wait_ms) * (1.0 + MAX_EXTRA_FACTOR * self._rejected_share)
        jitter = self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
        return min(MAX_MS, after_ms) * jitter
