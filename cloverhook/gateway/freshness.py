"""As of when a VM has everything that was written to a feed of the store.

Layer: state.  A VM that reads a feed has everything that was written before it sent the call.  Any
other VM that has as much is current as of the same moment, whichever way the state has reached it.
The report of a reader may arrive before the state itself: it counts once the state is here.

>>> freshness = Freshness()
>>> freshness.confirm((4,), as_of_ms=100.0, known=(3,))
>>> freshness.age_ms(150.0)
inf
>>> freshness.advance(known=(4,))
>>> freshness.age_ms(150.0)
50.0
"""

import math
from collections import deque
from collections.abc import Iterable

__all__ = ["Freshness", "Lag"]

PENDING_LIMIT = 32
"""How many reports may wait for their state; a VM that lags further asks the store itself."""

Versions = tuple[int, ...]


class Freshness:
    """The latest moment as of which a VM is known to have a feed completely.

    Times are monotonic.  Versions are those of the feed's parts, always in the same order.
    The last gap, a longer time without a confirmation than `gap_ms`, was from `lost_ms` to
    `regained_ms`.  `source` names who has confirmed that moment: the store, or a VM.
    """

    def __init__(self, gap_ms: float = math.inf) -> None:
        self.as_of_ms: float | None = None
        self.source = ""
        self.lost_ms = self.regained_ms = -math.inf
        self._gap_ms = gap_ms
        self._pending: deque[tuple[Versions, float, str]] = deque(maxlen=PENDING_LIMIT)

    def age_ms(self, now_ms: float) -> float:
        """Return how old the state may be; infinite where that isn't known."""
        return math.inf if self.as_of_ms is None else now_ms - self.as_of_ms

    def confirm(
        self, versions: Versions, as_of_ms: float, known: Versions, source: str = ""
    ) -> None:
        """Record that nothing newer than `versions` was written before a time.

        `known` holds the versions that this VM has.
        """
        if self.as_of_ms is not None and as_of_ms <= self.as_of_ms:
            return
        if not _covers(known, versions):
            self._pending.append((versions, as_of_ms, source))
            return
        if self.as_of_ms is not None and as_of_ms - self.as_of_ms > self._gap_ms:
            self.lost_ms, self.regained_ms = self.as_of_ms, as_of_ms
        self.as_of_ms, self.source = as_of_ms, source

    def regained_after_outage_ms(self, pauses: Iterable[tuple[float, float]]) -> float:
        """Return when the last gap ended, or minus infinity if `pauses` of the process explain it.

        That is so if the rest of the gap is no longer than `gap_ms`.
        """
        if self.regained_ms == -math.inf:
            return -math.inf
        paused_ms = sum(
            max(0.0, min(ended_ms, self.regained_ms) - max(began_ms, self.lost_ms))
            for began_ms, ended_ms in pauses
        )
        gap_ms = self.regained_ms - self.lost_ms - paused_ms
        return self.regained_ms if gap_ms > self._gap_ms else -math.inf

    def advance(self, known: Versions) -> None:
        """Apply the reports that have waited for the versions that this VM has now."""
        for pending in tuple(self._pending):
            versions, as_of_ms, source = pending
            if _covers(known, versions):
                self.confirm(versions, as_of_ms, known, source)
                self._pending.remove(pending)


class Lag:
    """For how long this VM has known that there are newer versions than it has.

    >>> lag = Lag()
    >>> lag.record((5,), known=(4,), now_ms=100.0)
    >>> lag.behind_ms(known=(4,), now_ms=130.0), lag.behind_ms(known=(5,), now_ms=130.0)
    (30.0, 0.0)
    """

    def __init__(self) -> None:
        self._wanted: Versions | None = None
        self._since_ms = 0.0

    def record(self, versions: Versions, known: Versions, now_ms: float) -> None:
        """Record the versions that another VM has, and those that this VM has now."""
        if _covers(known, versions):
            return
        if self._wanted is None or _covers(known, self._wanted):
            self._wanted, self._since_ms = versions, now_ms
        else:
            self._wanted = tuple(map(max, self._wanted, versions))

    def behind_ms(self, known: Versions, now_ms: float) -> float:
        """Return for how long this VM has lacked something; 0 if it lacks nothing."""
        if self._wanted is None or _covers(known, self._wanted):
            return 0.0
        return now_ms - self._since_ms


def _covers(known: Versions, versions: Versions) -> bool:
    return all(has >= wanted for has, wanted in zip(known, versions, strict=True))
