"""Grace periods of entries that have vanished from the store but stay in use for a while.

Layer: state.  An entry may vanish although its endpoint is alive: it expires while the store is
unavailable, or half of a service's entries expire at once, and they are back within two seconds.
A single entry that vanishes most likely belongs to an endpoint that has left, and gets a shorter
grace period.

>>> periods = GracePeriods(drain_ms=2_000.0)
>>> periods.start("i-1", "orders", service_size=9, now_ms=0.0, store_was_unavailable=False)
False
>>> "i-1" in periods, periods.expired(1_499.0), periods.expired(1_500.0)
(True, [], ['i-1'])
"""

from collections.abc import Iterable

__all__ = ["GracePeriods"]

GRACE_SHARE = 0.75
"""The grace period as a share of the drain time, after which a vanished entry must get no work."""
MASS_EXPIRY_GRACE_MS = 2_400.0
"""The grace period when half of a service vanishes at once, or the store was unavailable: such
entries are back within 2 s."""
MASS_EXPIRY_SHARE = 0.5
MASS_EXPIRY_WINDOW_MS = 1_000.0


class GracePeriods:
    """The names of vanished entries and the end of each grace period; times are monotonic."""

    def __init__(self, drain_ms: float) -> None:
        self._grace_ms = GRACE_SHARE * drain_ms
        self._until_ms: dict[str, float] = {}
        self._since_ms: dict[str, float] = {}
        self._vanished_ms: dict[str, list[float]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._until_ms

    def start(
        self, name: str, service: str, service_size: int, now_ms: float, store_was_unavailable: bool
    ) -> bool:
        """Start the grace period of an entry whose service has `service_size` entries.

        Returns whether the entry has more likely expired because of the store than left.
        """
        expired = self._is_mass_expiry(service, service_size, now_ms) or store_was_unavailable
        self._until_ms[name] = now_ms + (MASS_EXPIRY_GRACE_MS if expired else self._grace_ms)
        self._since_ms[name] = now_ms
        return expired

    def extend(self, names: Iterable[str], now_ms: float) -> None:
        """Extend the grace periods of entries that vanished together with one that expires now.

        They then last as long as the grace period of that one.
        """
        for name in names:
            since_ms = self._since_ms.get(name)
            if since_ms is not None and now_ms - since_ms <= MASS_EXPIRY_WINDOW_MS:
                self._until_ms[name] = now_ms + MASS_EXPIRY_GRACE_MS

    def adopt(self, name: str, left_ms: float, now_ms: float) -> None:
        """Start a grace period with the time left that a peer reports, unless there is one."""
        self._until_ms.setdefault(name, now_ms + left_ms)

    def end(self, name: str) -> bool:
        """End the grace period of an entry; return whether there was one."""
        self._since_ms.pop(name, None)
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
