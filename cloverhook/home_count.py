"""How many home VMs a service has: more before one process saturates, fewer after a long calm.

Layer: coordination, free of input and output.  Each VM tells its peers how busy it is; from that
all work out the same number of homes by the same rule, so nobody has to decide for the rest.
VMs that differ for a moment send some callers elsewhere, no more.  Rendezvous order makes a home
more or less move few callers.
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
    """What one home wants, by how busy its process is."""

    count: int
    high_since_ms: float | None = None
    low_since_ms: float | None = None

    def observe(self, busy: float, least: int, now_ms: float) -> int:
        """Take this process's load, 0 to 1, and return the number of homes it wants."""
        self.count = max(self.count, least)
        after_shrinking = busy * self.count / max(1, self.count - 1)
        high = busy > GROW_AT
        low = self.count > least and after_shrinking < SHRINK_AT
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
    """How many homes every service has, by the load that its homes tell their peers."""

    def __init__(self) -> None:
        self._counts: dict[str, HomeCount] = {}

    @property
    def active(self) -> bool:
        """Whether any service has, or is about to have, more homes than its least number."""
        return bool(self._counts)

    def update(
        self, least: Mapping[str, int], busy: Mapping[str, float], most: int, now_ms: float
    ) -> dict[str, int]:
        """Return the number of homes of each service, at most `most`.

        `least` gives each service's least number, and `busy` the load, 0 to 1, of the busiest of
        its homes.
        """
        for key in set(self._counts) - set(least):
            del self._counts[key]
        return {
            key: min(most, self._count(key, least[key], busy.get(key, 0.0), now_ms)) or least[key]
            for key in least
        }

    def _count(self, key: str, least: int, busy: float, now_ms: float) -> int:
        if key not in self._counts and busy <= GROW_AT:
            return least
        count = self._counts.setdefault(key, HomeCount(least))
        wanted = count.observe(busy, least, now_ms)
        if wanted == least and count.high_since_ms is None:
            del self._counts[key]
        return wanted
