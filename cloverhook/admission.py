"""Limits how many requests of each brand a daemon handles concurrently.

Layer: coordination, and free of input and output.  A request of a brand below its share is always
admitted, so a flood of requests of one brand can't take the share of another.  A request of a brand
at or above its share is admitted only while the daemon as a whole is below its limit.  The limit is
divided equally among the brands that have requests in progress.  All brands together never have
more than twice the limit in progress.

>>> admission = Admission(limit=2)
>>> [admission.try_enter("saltbush") for _ in range(3)]
[True, True, False]
>>> admission.try_enter("brathwaite")
True
"""

__all__ = ["Admission"]


class Admission:
    """Counts the requests in progress of each brand in one daemon."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._total = 0
        self._in_progress: dict[str, int] = {}

    def try_enter(self, brand: str) -> bool:
        """Count a new request and return True, or return False if it must be rejected."""
        own = self._in_progress.get(brand, 0)
        brands = len(self._in_progress) + (own == 0)
        if self._total >= self._limit and own >= max(1, self._limit // brands):
            return False
        self._in_progress[brand] = own + 1
        self._total += 1
        return True

    def leave(self, brand: str) -> None:
        """Count the end of an admitted request."""
        self._total -= 1
        remaining = self._in_progress[brand] - 1
        if remaining:
            self._in_progress[brand] = remaining
        else:
            del self._in_progress[brand]
