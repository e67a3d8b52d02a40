"""A token bucket: a rate that is enforced by construction.

Layer: state.

>>> bucket = TokenBucket(rate_per_s=10, capacity=2)
>>> [bucket.try_take(1, now_ms) for now_ms in (0.0, 0.0, 0.0, 100.0)]
[True, True, False, True]
"""

import math

__all__ = ["TokenBucket"]


class TokenBucket:
    """Holds up to `capacity` tokens, refilled at `rate_per_s`; it starts full."""

    def __init__(self, rate_per_s: float, capacity: float) -> None:
        self._rate_per_ms = rate_per_s / 1000
        self._capacity = capacity
        self._tokens = capacity
        self._filled_ms: float | None = None

    def set_rate(self, rate_per_s: float, capacity: float, now_ms: float) -> None:
        """Change rate and capacity; tokens above the new capacity are lost."""
        self._fill(now_ms)
        self._rate_per_ms = rate_per_s / 1000
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def try_take(self, cost: float, now_ms: float) -> bool:
        """Take tokens and return True, or leave the bucket as it is and return False."""
        self._fill(now_ms)
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def charge(self, cost: float, now_ms: float) -> None:
        """Take tokens for what has to be done anyway; the bucket may go below 0."""
        self._fill(now_ms)
        self._tokens -= cost

    def has(self, now_ms: float, reserve: float = 0.0) -> bool:
        """Return whether more than this share of the capacity is left."""
        self._fill(now_ms)
        return self._tokens > reserve * self._capacity

    def ready_ms(self, cost: float, now_ms: float) -> float:
        """Return when `try_take` can next succeed; infinite for a cost that is never held."""
        self._fill(now_ms)
        if self._tokens >= cost:
            return now_ms
        if self._capacity < cost or self._rate_per_ms <= 0:
            return math.inf
        return now_ms + (cost - self._tokens) / self._rate_per_ms

    def add(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def _fill(self, now_ms: float) -> None:
        if self._filled_ms is not None and now_ms > self._filled_ms:
            self.add((now_ms - self._filled_ms) * self._rate_per_ms)
        self._filled_ms = now_ms if self._filled_ms is None else max(now_ms, self._filled_ms)
