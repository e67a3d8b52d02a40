"""Which requests have been answered well a short time ago, by the keys of their content.

Layer: state.  Memory is fixed: two tables that take turns, in which a key has one place and may
push another one out.  A request that comes often is put back each time, so it is found; one that
comes seldom may be missing.

>>> served = ServedRequests()
>>> served.add(7, 0.0)
>>> served.has(7, 9_000.0), served.has(8, 9_000.0), served.has(7, 20_000.0)
(True, False, False)
"""

from array import array

__all__ = ["ServedRequests"]

PLACES = 8_192
KEY_BYTES = 8
TURN_MS = 10_000.0
"""A key is kept for one to two of these.  What has changed since may have made a request fatal."""


class ServedRequests:
    """Keys that were added lately; times are on the monotonic clock."""

    __slots__ = ("_before", "_now", "_turn_ms")

    def __init__(self) -> None:
        self._now, self._before = _empty(), _empty()
        self._turn_ms = 0.0

    def add(self, key: int, now_ms: float) -> None:
        """Keep a key, which must not be 0."""
        self._take_turns(now_ms)
        self._now[key % PLACES] = key

    def has(self, key: int, now_ms: float) -> bool:
        """Return whether a key was added lately."""
        self._take_turns(now_ms)
        place = key % PLACES
        return key in (self._now[place], self._before[place])

    def _take_turns(self, now_ms: float) -> None:
        if now_ms - self._turn_ms < TURN_MS:
            return
        recent = now_ms - self._turn_ms < 2 * TURN_MS
        self._before = self._now if recent else _empty()
        self._now = _empty()
        self._turn_ms = now_ms


def _empty() -> array:
    return array("Q", bytes(KEY_BYTES * PLACES))
