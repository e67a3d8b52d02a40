"""Grace periods of entries that have vanished from the store but stay in use for a while.

Layer: state.  An entry may vanish although its endpoint is alive: it expires while the store is
unavailable, or half of a service's entries expire at once, and they are back within two seconds.
A single entry that vanishes most likely belongs to an endpoint that has left, and gets a shorter
grace period.

An endpoint that has left must get no work after the drain time.  How long ago it left isn't known,
but not before the moment as of which its entry was last known to be listed.  So no grace period
lasts longer than the drain time from that moment, however late and from whom a VM learns of it.
Only while the store is unavailable does a moment too long ago show nothing.

>>> periods = GracePeriods(drain_ms=2_000.0)
>>> periods.start("i-1", "orders", 9, now_ms=0.0, listed_ms=-100.0, store_was_unavailable=False)
False
>>> "i-1" in periods, periods.expired(1_499.0), periods.expired(1_500.0)
(True, [], ['i-1'])
>>> periods.start("i-2", "orders", 9, now_ms=0.0, listed_ms=-900.0, store_was_unavailable=False)
False
>>> periods.expired(899.0), periods.expired(900.0)
([], ['i-2'])
"""

import math
from collections.abc import Iterable

__all__ = ["OUTAGE_SHARE", "GracePeriods"]

GRACE_SHARE = 0.75
"""The grace period as a share of the drain time, after which a vanished entry must get no work."""
HOLD_MARGIN_MS = 200.0
"""A grace period ends this long before the drain time: requests that are on their way have to
arrive in time."""
OUTAGE_GRACE_MS = 2_400.0
"""The grace period when the store was unavailable: such entries are back within 2 s."""
OUTAGE_SHARE = 1.1
"""A VM that can reach the store knows its state to be current within the drain time.  If that was
longer ago, by this share of it, the store was unavailable."""
MASS_EXPIRY_SHARE = 0.5
MASS_EXPIRY_WINDOW_MS = 1_000.0


class GracePeriods:
    """The names of vanished entries and the end of each grace period; times are monotonic."""

    def __init__(self, drain_ms: float) -> None:
        self._drain_ms = drain_ms
        self._until_ms: dict[str, float] = {}
        self._limits: dict[str, tuple[float, float]] = {}
        self._vanished_ms: dict[str, list[float]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._until_ms

    def start(
        self,
        name: str,
        service: str,
        service_size: int,
        now_ms: float,
        listed_ms: float | None,
        store_was_unavailable: bool,
    ) -> bool:
        """Start the grace period of an entry whose service has `service_size` entries.

        `listed_ms` is the latest time as of which the entry is known to have been listed.  Returns
        whether it has more likely expired because of the store than left.
        """
        is_outage = store_was_unavailable or self._is_outage(now_ms, listed_ms)
        limit_ms = self._limit_ms(now_ms, None if is_outage else listed_ms)
        expired = self._is_mass_expiry(service, service_size, now_ms) or is_outage
        self._limits[name] = now_ms, limit_ms
        self._until_ms[name] = (
            limit_ms if expired else min(now_ms + GRACE_SHARE * self._drain_ms, limit_ms)
        )
        return expired

    def _limit_ms(self, now_ms: float, listed_ms: float | None) -> float:
        """Return the time after which an entry that has vanished must be out of use."""
        if listed_ms is None or self._is_outage(now_ms, listed_ms):
            return now_ms + OUTAGE_GRACE_MS
        return listed_ms + self._drain_ms - HOLD_MARGIN_MS

    def _is_outage(self, now_ms: float, listed_ms: float | None) -> bool:
        """Return whether an entry was last known to be listed so long ago that the store failed."""
        return listed_ms is not None and now_ms - listed_ms > OUTAGE_SHARE * self._drain_ms

    def extend(self, names: Iterable[str], now_ms: float) -> None:
        """Extend the grace periods of entries that vanished together with one that expires now.

        They then last as long as they may.
        """
        for name in names:
            since_ms, limit_ms = self._limits.get(name, (-math.inf, 0.0))
            if now_ms - since_ms <= MASS_EXPIRY_WINDOW_MS:
                self._until_ms[name] = limit_ms

    def adopt(self, name: str, left_ms: float, now_ms: float, listed_ms: float | None) -> None:
        """Start a grace period with the time left that a peer reports, unless there is one.

        `listed_ms` is described at `start`.
        """
        until_ms = min(now_ms + left_ms, self._limit_ms(now_ms, listed_ms))
        self._until_ms.setdefault(name, until_ms)

    def end(self, name: str) -> bool:
        """End the grace period of an entry; return whether there was one."""
        self._limits.pop(name, None)
        return self._until_ms.pop(name, None) is not None

    def remaining_ms(self, name: str, now_ms: float) -> float:
        """Return the time left of an entry's grace period."""
        return max(0.0, self._until_ms[name] - now_ms)

    def expired(self, now_ms: float) -> list[str]:
        """Return the names whose grace period is over."""
        return [name for name, until_ms in self._until_ms.items() if until_ms <= now_ms]

    def _is_mass_expiry(self, service: str, service_size: int, now_ms: float) -> bool:
        """Return whether so many entries vanish at once that the store is the likelier cause."""
        times = [
            at for at in self._vanished_ms.get(service, ()) if at > now_ms - MASS_EXPIRY_WINDOW_MS
        ]
        times.append(now_ms)
        self._vanished_ms[service] = times
        return len(times) > 1 and len(times) >= MASS_EXPIRY_SHARE * service_size
