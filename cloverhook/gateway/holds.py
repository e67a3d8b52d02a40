"""Entries that have vanished from the store and stay in use for a while.

Layer: state.  An entry may vanish though its endpoint lives: it lapses while the store is away, or
half of a service's entries do at once, and they are back within two seconds.  A single one that
vanishes has most likely left, and is held for less.

>>> holds = GracePeriods(drain_ms=2_000.0)
>>> holds.start("i-1", "orders", service_size=9, now_ms=0.0, store_was_unavailable=False)
False
>>> "i-1" in holds, holds.expired(1_499.0), holds.expired(1_500.0)
(True, [], ['i-1'])
"""

from collections.abc import Iterable

__all__ = ["GracePeriods"]

HOLD_SHARE = 0.75
"""The part of the time until it must get no more work for which a vanished entry stays in use."""
LAPSE_HOLD_MS = 2_400.0
"""The same when half of a service vanishes at once, or the store was away: they are back in 2 s."""
LAPSE_SHARE = 0.5
LAPSE_WINDOW_MS = 1_000.0


class GracePeriods:
    """The names of vanished entries, and until when each is held; times are monotonic."""

    def __init__(self, drain_ms: float) -> None:
        self._hold_ms = HOLD_SHARE * drain_ms
        self._until_ms: dict[str, float] = {}
        self._since_ms: dict[str, float] = {}
        self._vanished_ms: dict[str, list[float]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._until_ms

    def start(
        self, name: str, service: str, service_size: int, now_ms: float, store_was_unavailable: bool
    ) -> bool:
        """Hold an entry of a service with so many; return whether it rather has lapsed."""
        lapse = self._is_lapse(service, service_size, now_ms) or store_was_unavailable
        self._until_ms[name] = now_ms + (LAPSE_HOLD_MS if lapse else self._hold_ms)
        self._since_ms[name] = now_ms
        return lapse

    def extend(self, names: Iterable[str], now_ms: float) -> None:
        """Hold those that have vanished together with one that lapses now as long as that one."""
        for name in names:
            since_ms = self._since_ms.get(name)
            if since_ms is not None and now_ms - since_ms <= LAPSE_WINDOW_MS:
                self._until_ms[name] = now_ms + LAPSE_HOLD_MS

    def adopt(self, name: str, left_ms: float, now_ms: float) -> None:
        """Hold an entry as a peer does, unless it is held already."""
        self._until_ms.setdefault(name, now_ms + left_ms)

    def end(self, name: str) -> bool:
        """Hold an entry no more; return whether it was held."""
        self._since_ms.pop(name, None)
        return self._until_ms.pop(name, None) is not None

    def remaining_ms(self, name: str, now_ms: float) -> float:
        """Return for how long an entry is held."""
        return max(0.0, self._until_ms[name] - now_ms)

    def expired(self, now_ms: float) -> list[str]:
        """Return the names whose time has passed."""
        return [name for name, until_ms in self._until_ms.items() if until_ms <= now_ms]

    def _is_lapse(self, service: str, of_service: int, now_ms: float) -> bool:
        """Return whether so many entries vanish at once that the store is the likelier cause."""
        times = [at for at in self._vanished_ms.get(service, ()) if at > now_ms - LAPSE_WINDOW_MS]
        times.append(now_ms)
        self._vanished_ms[service] = times
        return len(times) > 1 and len(times) >= LAPSE_SHARE * of_service
