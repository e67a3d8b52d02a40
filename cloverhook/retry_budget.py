"""The budget that keeps retries from amplifying an outage.

Layer: coordination.  Each new request earns `ratio` of a retry and each retry spends a whole one,
so over any stretch of time retries are at most `ratio` of the calls plus a small reserve.  A
request that is itself a retry of the layer above earns nothing and gets no retry here, so in a
chain of calls only the layer next to the failure retries.

>>> budget = RetryBudget()
>>> [budget.try_take() for _ in range(4)]
[True, True, True, False]
"""

__all__ = ["RetryBudget"]

RESERVE = 3.0
CAPACITY = 20.0


class RetryBudget:
    """Counts the retries that recent calls have earned."""

    def __init__(self) -> None:
        self._earned = RESERVE

    def count_request(self, ratio: float) -> None:
        """Count a new request."""
        self._earned = min(CAPACITY, self._earned + ratio)

    def try_take(self) -> bool:
        """Spend a retry and return True, or return False when none is left."""
        if self._earned < 1:
            return False
        self._earned -= 1
        return True
