"""The endpoints that have asked for a time without requests.

Layer: state.  An endpoint that rejects a request with status 503 may add `Retry-After`: it wants no
requests from this VM for so long.  This VM keeps to that, and uses the endpoint again at once when
the time is over.  What an endpoint has asked of another VM is a sign that it is in trouble, but not
addressed to this one, which uses the endpoint as a last resort meanwhile.

>>> backoffs = Backoffs()
>>> backoffs.record("i-1@7", until_ms=3_000.0)
True
>>> backoffs.remaining_ms("i-1@7", now_ms=1_000.0), backoffs.remaining_ms("i-1@8", now_ms=1_000.0)
(2000.0, 0.0)
"""

from collections.abc import Iterator

__all__ = ["Backoffs"]

BACKOFFS_LIMIT = 4_096


class Backoffs:
    """The ends of the times without requests, by incarnation; times are monotonic."""

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}
        self._peers_until_ms: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether any endpoint has asked this VM or another one for such a time."""
        return bool(self._until_ms) or bool(self._peers_until_ms)

    @property
    def own_count(self) -> int:
        """The number of endpoints that have asked this VM for a time without requests."""
        return len(self._until_ms)

    def incarnations(self) -> Iterator[str]:
        """Iterate over the endpoints that have asked this VM or another one."""
        return iter(self._until_ms | self._peers_until_ms)

    def record(self, incarnation: str, until_ms: float) -> bool:
        """Record that an endpoint has asked this VM to back off; return if it had not before.

        An earlier request for a longer time stays in force.
        """
        return _record(self._until_ms, incarnation, until_ms)

    def record_for_peer(self, incarnation: str, until_ms: float) -> bool:
        """Record the same for another VM; return if nothing was known of it before."""
        return _record(self._peers_until_ms, incarnation, until_ms)

    def remaining_ms(self, incarnation: str, now_ms: float) -> float:
        """Return for how long this VM may send an endpoint no requests."""
        return max(0.0, self._until_ms.get(incarnation, now_ms) - now_ms)

    def remaining_for_peers_ms(self, incarnation: str, now_ms: float) -> float:
        """Return for how long other VMs may send an endpoint no requests, as far as is known."""
        return max(0.0, self._peers_until_ms.get(incarnation, now_ms) - now_ms)

    def remaining_for_any_ms(self, incarnation: str, now_ms: float) -> float:
        """Return for how long an endpoint wants no requests of this VM or of another one."""
        own_ms = self.remaining_ms(incarnation, now_ms)
        return max(own_ms, self.remaining_for_peers_ms(incarnation, now_ms))

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """End the times that are over; return the incarnations that had asked this VM."""
        _remove_expired(self._peers_until_ms, now_ms)
        return _remove_expired(self._until_ms, now_ms)


def _record(ends_ms: dict[str, float], incarnation: str, until_ms: float) -> bool:
    known_ms = ends_ms.get(incarnation)
    if known_ms is None and len(ends_ms) >= BACKOFFS_LIMIT:
        del ends_ms[next(iter(ends_ms))]
    ends_ms[incarnation] = until_ms if known_ms is None else max(until_ms, known_ms)
    return known_ms is None


def _remove_expired(ends_ms: dict[str, float], now_ms: float) -> tuple[str, ...]:
    expired = tuple(name for name, until_ms in ends_ms.items() if until_ms <= now_ms)
    for incarnation in expired:
        del ends_ms[incarnation]
    return expired
