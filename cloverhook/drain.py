"""How long a daemon serves on in a planned stop.

Layer: coordination, free of input and output.  Callers keep an answer for its lifetime, so a
daemon that has left the answers serves until the last of them has run out, and a margin for the
time that the news takes; a setting bounds the whole.

>>> plan = DrainPlan.from_lifetimes(0.0, (5_000,), limit_ms=20_000)
>>> plan.remaining_ms(1_000.0)
5000.0
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["DrainPlan"]

MARGIN_MS = 1_000


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """A planned stop that began at `started_ms` and serves until `ends_ms`."""

    started_ms: float
    ends_ms: float

    @classmethod
    def from_lifetimes(
        cls, now_ms: float, lifetimes_ms: Iterable[float], limit_ms: float
    ) -> "DrainPlan":
        """Return the plan for the answers' lifetimes, bounded by a setting."""
        needed_ms = max(lifetimes_ms, default=0.0) + MARGIN_MS
        return cls(now_ms, now_ms + min(limit_ms, needed_ms))

    def remaining_ms(self, now_ms: float) -> float:
        """Return how much longer new requests are taken."""
        return max(0.0, self.ends_ms - now_ms)
