"""How many requests of each brand a daemon takes at once.

Layer: coordination, and free of input and output.  A brand below its share is always taken, so a
flood of one brand costs no other its share.  A brand above its share is taken only while the daemon
as a whole is below its limit.  The shares are equal parts of the limit among the brands that have
requests in progress; all brands together never have more than twice the limit.

>>> admission = Admission(limit=2)
>>> [admission.try_enter("saltbush") for _ in range(3)]
[True, True, False]
>>> admission.try_enter("brathwaite")
True
"""

__all__ = ["Admission"]


class Admission:
    """The requests in progress of each brand in one daemon."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._total = 0
        self._in_progress: dict[str, int] = {}

    def try_enter(self, brand: str) -> bool:
        """Count a request in and return True, or return False when it has to be refused."""
        own = self._in_progress.get(brand, 0)
        brands = len(self._in_progress) + (own == 0)
        if self._total >= self._limit and own >= max(1, self._limit // brands):
            return False
        self._in_progress[brand] = own + 1
        self._total += 1
        return True

    def leave(self, brand: str) -> None:
        """Count a request out."""
        self._total -= 1
        left = self._in_progress[brand] - 1
        if left:
            self._in_progress[brand] = left
        else:
            del self._in_progress[brand]
