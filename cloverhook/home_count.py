"""How many home VMs a service has: more before one process saturates, fewer after a long calm.

Layer: coordination, free of input and output.  Each home works out from its own load how many homes
the service should have and tells the others.  All take the largest number that was told lately, so
nobody has to decide for the rest; rendezvous order makes a home more or less move few callers.
"""

from dataclasses import dataclass

__all__ = ["HomeCount", "HomeCounts"]

GROW_AT = 0.6
SHRINK_AT = 0.35
GROW_AFTER_MS = 1_000.0
SHRINK_AFTER_MS = 30_000.0
SAID_LIFETIME_MS = 10_000.0


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


class HomeCounts:
    """What all homes of a service have said they want."""

    def __init__(self) -> None:
        self._said: dict[str, tuple[int, float]] = {}

    def said(self, vm: str, count: int, now_ms: float) -> None:
        """Take a home's number."""
        self._said[vm] = (count, now_ms)

    def in_force(self, least: int, now_ms: float) -> int:
        """Return the number of homes: the largest that was said lately, and at least `least`."""
        lately = [
            count for count, at_ms in self._said.values() if now_ms - at_ms < SAID_LIFETIME_MS
        ]
        return max([least, *lately])
