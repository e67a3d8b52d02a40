"""A token bucket, which enforces a rate limit by construction.

Layer: state.

>>> bucket = TokenBucket(rate_per_s=10, capacity=2)
>>> [bucket.try_take(1, now_ms) for now_ms in (0.0, 0.0, 0.0, 100.0)]
[True, True, False, True]
"""

import math

__all__ = ["TokenBucket"]


class TokenBucket:
    """Holds up to `capacity` tokens, is refilled at `rate_per_s` and starts full."""

    def __init__(self, rate_per_s: float, capacity: float) -> None:
        self._rate_per_ms = rate_per_s / 1000
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_ms: float | None = None

    def set_rate(self, rate_per_s: float, capacity: float, now_ms: float) -> None:
        """Change the rate and the capacity.  Tokens above the new capacity are discarded."""
        self._refill(now_ms)
        self._rate_per_ms = rate_per_s / 1000
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def try_take(self, cost: float, now_ms: float) -> bool:
        """Take `cost` tokens and return True, or take none and return False if there are fewer."""
        self._refill(now_ms)
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def charge(self, cost: float, now_ms: float) -> None:
        """Take `cost` tokens for work that can't be skipped; the balance may become negative."""
        self._refill(now_ms)
        self._tokens -= cost

    def has(self, now_ms: float, reserve: float = 0.0) -> bool:
        """Return whether more tokens than this share of the capacity are left."""
        self._refill(now_ms)
        return self._tokens > reserve * self._capacity

    def ready_ms(self, cost: float, now_ms: float) -> float:
        """Return when `try_take` can next succeed; infinite if the bucket never holds the cost."""
        self._refill(now_ms)
        if self._tokens >= cost:
            return now_ms
        if self._capacity < cost or self._rate_per_ms <= 0:
            return math.inf
        return now_ms + (cost - self._tokens) / self._rate_per_ms

    def add(self, tokens: float) -> None:
        """Add tokens up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def _refill(self, now_ms: float) -> None:
        if self._refilled_ms is not None and now_ms > self._refilled_ms:
            self.add((now_ms - self._refilled_ms) * self._rate_per_ms)
        self._refilled_ms = now_ms if self._refilled_ms is None else max(now_ms, self._refilled_ms)
