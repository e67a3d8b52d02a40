"""Remembers which requests were recently answered well, by keys of their content.

Layer: state.  Memory is fixed: there are two tables, used in rotation, in each of which a key has
one slot and may replace another key there. A frequent request is added again each time, so it is
found; a rare one may be missing.

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
"""A key is kept for one to two of these periods, and not for longer: a change since then may have
made the request fatal to an endpoint."""


class ServedRequests:
    """Keys that were added recently; times are on the monotonic clock."""

    __slots__ = ("_before", "_now", "_turn_ms")

    def __init__(self) -> None:
        self._now, self._before = _empty(), _empty()
        self._turn_ms = 0.0

    def add(self, key: int, now_ms: float) -> None:
        """Add a key, which must not be 0."""
        self._take_turns(now_ms)
        self._now[key % PLACES] = key

    def has(self, key: int, now_ms: float) -> bool:
        """Return whether a key was added recently."""
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
