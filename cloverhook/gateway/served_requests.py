"""Remembers which requests recently succeeded, by keys of their content.

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

TABLE_SIZE = 8_192
KEY_BYTES = 8
ROTATION_MS = 10_000.0
"""A key is kept for one to two of these periods, and not for longer: a change since then may have
made the request fatal to an endpoint."""


class ServedRequests:
    """Keys that were added recently; times are on the monotonic clock."""

    __slots__ = ("_current", "_previous", "_rotated_ms")

    def __init__(self) -> None:
        self._current, self._previous = _empty(), _empty()
        self._rotated_ms = 0.0

    def add(self, key: int, now_ms: float) -> None:
        """Add a key, which must not be 0."""
        self._rotate(now_ms)
        self._current[key % TABLE_SIZE] = key

    def has(self, key: int, now_ms: float) -> bool:
        """Return whether a key was added recently."""
        self._rotate(now_ms)
        slot = key % TABLE_SIZE
        return key in (self._current[slot], self._previous[slot])

    def _rotate(self, now_ms: float) -> None:
        if now_ms - self._rotated_ms < ROTATION_MS:
            return
        recent = now_ms - self._rotated_ms < 2 * ROTATION_MS
        self._previous = self._current if recent else _empty()
        self._current = _empty()
        self._rotated_ms = now_ms


def _empty() -> array:
    return array("Q", bytes(KEY_BYTES * TABLE_SIZE))
