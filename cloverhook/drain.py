"""How long a daemon continues to serve during a planned shutdown.

Layer: coordination, free of input and output.  Callers use an address answer until its lifetime
ends.  A daemon whose address is no longer in new answers therefore serves until the last answer
that contains it has expired, plus a margin for the time until all peers know of the shutdown.  A
setting limits the total.

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
    """A planned shutdown since `started_ms`; new requests are accepted until `ends_ms`."""

    started_ms: float
    ends_ms: float

    @classmethod
    def from_lifetimes(
        cls, now_ms: float, lifetimes_ms: Iterable[float], limit_ms: float
    ) -> "DrainPlan":
        """Return the plan for the lifetimes of the answers; it lasts at most `limit_ms`."""
        needed_ms = max(lifetimes_ms, default=0.0) + MARGIN_MS
        return cls(now_ms, now_ms + min(limit_ms, needed_ms))

    def remaining_ms(self, now_ms: float) -> float:
        """Return how much longer new requests are accepted."""
        return max(0.0, self.ends_ms - now_ms)
