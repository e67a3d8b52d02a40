"""Divides what an account may send among its requests of different priorities.

Layer: coordination.  Designed for an account that sends several times its limit for some seconds:
its more important requests are admitted first.  Half of what is admitted is divided equally, so
that no kind of request is shut out.

>>> mix = PriorityMix()
>>> for number in range(100):
...     mix.record_arrival(0 if number % 4 == 0 else 1, 10.0 * number)
>>> round(mix.probability(0, 0.4), 2), round(mix.probability(1, 0.4), 2)
(1.0, 0.2)
"""

from math import exp

__all__ = ["PriorityMix"]

AVERAGE_MS = 2_000.0
"""The shares of the priorities are averaged over about this time."""
EQUAL_SHARE = 0.5
"""The part of the admitted requests that is divided equally.  It keeps each kind of request at half
of the mean or more, as is required of the kinds of a service."""
LAST_PRIORITY = 15
"""Priorities from this one on are treated as one, which bounds the memory."""


class PriorityMix:
    """The recent requests of one account by priority, 0 the most important; times are monotonic."""

    __slots__ = ("_arrivals", "_at_ms")

    def __init__(self) -> None:
        self._arrivals: dict[int, float] = {}
        self._at_ms = 0.0

    def record_arrival(self, priority: int, now_ms: float) -> None:
        """Count a request, whether it is admitted or not."""
        decay = exp(min(0.0, self._at_ms - now_ms) / AVERAGE_MS)
        self._at_ms = now_ms
        for known in self._arrivals:
            self._arrivals[known] *= decay
        priority = min(priority, LAST_PRIORITY)
        self._arrivals[priority] = self._arrivals.get(priority, 0.0) + 1.0

    def probability(self, priority: int, overall: float) -> float:
        """Return the probability of admission for a priority, given that of all requests."""
        priority = min(priority, LAST_PRIORITY)
        equal = EQUAL_SHARE * overall
        total = sum(self._arrivals.values())
        own = self._arrivals.get(priority, 0.0)
        if not own or overall >= 1.0:
            return overall
        before = sum(count for known, count in self._arrivals.items() if known < priority)
        # The other half fills up what the equal part has left of each priority, in their order.
        left = (overall - equal) * total - (1.0 - equal) * before
        return equal + min(1.0 - equal, max(0.0, left / own))
