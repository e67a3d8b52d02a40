"""Determines how many home VMs a service has.

Layer: coordination, free of input and output.  A service gets another home before one process
saturates, and loses one after a long period of low load.

Each VM reports its load to its peers, and every VM computes the number of homes from these reports
by the same rule, so no coordinator is needed.  While VMs disagree, they direct some callers to
different VMs; nothing else goes wrong.  Because homes are chosen in rendezvous order, adding or
removing one moves few callers.
"""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["HomeCount", "HomeDemand"]

GROW_AT = 0.6
SHRINK_AT = 0.35
GROW_AFTER_MS = 1_000.0
SHRINK_AFTER_MS = 30_000.0


@dataclass(slots=True)
class HomeCount:
    """The number of homes of one service, adjusted with hysteresis to the load of a home."""

    count: int
    high_since_ms: float | None = None
    low_since_ms: float | None = None

    def observe(self, busy: float, minimum: int, now_ms: float) -> int:
        """Record the load, 0 to 1, of a home's process and return the number of homes required.

        `minimum` is the least number of homes.
        """
        self.count = max(self.count, minimum)
        after_shrinking = busy * self.count / max(1, self.count - 1)
        high = busy > GROW_AT
        low = self.count > minimum and after_shrinking < SHRINK_AT
        self.high_since_ms = (self.high_since_ms or now_ms) if high else None
        self.low_since_ms = (self.low_since_ms or now_ms) if low else None
        if high and now_ms - self.high_since_ms >= GROW_AFTER_MS:
            self.count += 1
            self.high_since_ms = None
        if low and now_ms - self.low_since_ms >= SHRINK_AFTER_MS:
            self.count -= 1
            self.low_since_ms = None
        return self.count


class HomeDemand:
    """The number of homes of every service, from the load that its homes report to their peers."""

    def __init__(self) -> None:
        self._counts: dict[str, HomeCount] = {}

    @property
    def active(self) -> bool:
        """Whether any service has, or is about to get, more homes than its minimum."""
        return bool(self._counts)

    def update(
        self, minimums: Mapping[str, int], busy: Mapping[str, float], maximum: int, now_ms: float
    ) -> dict[str, int]:
        """Return the number of homes of each service, at most `maximum`.

        `minimums` gives the least number of homes of each service, and `busy` the load, 0 to 1, of
        the busiest of its homes.
        """
        for key in set(self._counts) - set(minimums):
            del self._counts[key]
        return {
            key: min(maximum, self._count(key, minimums[key], busy.get(key, 0.0), now_ms))
            or minimums[key]
            for key in minimums
        }

    def _count(self, key: str, minimum: int, busy: float, now_ms: float) -> int:
        if key not in self._counts and busy <= GROW_AT:
            return minimum
        count = self._counts.setdefault(key, HomeCount(minimum))
        required = count.observe(busy, minimum, now_ms)
        if required == minimum and count.high_since_ms is None:
            del self._counts[key]
        return required
