"""A retry budget, which prevents retries from amplifying an outage.

Layer: coordination.  Each new request adds `ratio` of a retry to the budget and each retry uses a
whole one, so over any period the retries are at most `ratio` of the requests plus a small reserve.
A request that is itself a retry by the calling layer adds nothing and is not retried here, so in a
chain of calls only the layer next to the failure retries.

>>> budget = RetryBudget()
>>> [budget.try_take() for _ in range(4)]
[True, True, True, False]
"""

__all__ = ["RetryBudget"]

RESERVE = 3.0
CAPACITY = 20.0


class RetryBudget:
    """Counts the retries that recent requests allow."""

    def __init__(self) -> None:
        self._available = RESERVE

    def count_request(self, ratio: float) -> None:
        """Add `ratio` of a retry for a new request."""
        self._available = min(CAPACITY, self._available + ratio)

    def try_take(self) -> bool:
        """Use one retry and return True, or return False if the budget allows none."""
        if self._available < 1:
            return False
        self._available -= 1
        return True
