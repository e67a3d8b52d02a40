"""The endpoints that say in their responses that they are about to stop.

Layer: state.  An endpoint also reports that it is draining in its entry in the store, but the store
may be unavailable for long, and an entry that is read again may be older than the response.  So a
notice is kept apart from the registry, by incarnation: neither a restored entry nor the state of a
peer revokes it, and another incarnation of the endpoint starts without one.

>>> notices = DrainNotices(drain_ms=2_000.0)
>>> notices.record("i-1@7", first_ms=0.0, last_ms=0.0)
True
>>> "i-1@7" in notices, "i-1@8" in notices
(True, False)
>>> notices.excludes("i-1@7", now_ms=999.0), notices.excludes("i-1@7", now_ms=1_000.0)
(False, True)
"""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["DrainNotice", "DrainNotices"]

LAST_RESORT_SHARE = 0.5
"""For this share of the drain time an endpoint that has given notice is used where no other one has
capacity.  The rest is left for these requests to be answered before it stops."""
NOTICE_EXPIRY_MS = 600_000.0
"""A notice that has not been repeated for this long has ended.  No endpoint takes longer to stop,
and responses to probes repeat the notice for as long as the endpoint runs."""
NOTICES_LIMIT = 4_096


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """When an endpoint first and last said that it is about to stop."""

    first_ms: float
    last_ms: float


class DrainNotices:
    """The notices in force, by incarnation; times are monotonic."""

    def __init__(self, drain_ms: float) -> None:
        """`drain_ms` is how long an endpoint goes on serving after it has given notice."""
        self._last_resort_ms = LAST_RESORT_SHARE * drain_ms
        self._notices: dict[str, DrainNotice] = {}

    def __len__(self) -> int:
        return len(self._notices)

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._notices

    def __iter__(self) -> Iterator[str]:
        return iter(self._notices)

    def get(self, incarnation: str) -> DrainNotice | None:
        """Return the notice of an endpoint, or None if there is none."""
        return self._notices.get(incarnation)

    def is_last_resort(self, incarnation: str, now_ms: float) -> bool:
        """Return whether an endpoint has given notice so recently that it may still be used."""
        notice = self._notices.get(incarnation)
        return notice is not None and now_ms < notice.first_ms + self._last_resort_ms

    def excludes(self, incarnation: str, now_ms: float) -> bool:
        """Return whether an endpoint has given notice and must get no more requests."""
        notice = self._notices.get(incarnation)
        return notice is not None and now_ms >= notice.first_ms + self._last_resort_ms

    def record(self, incarnation: str, first_ms: float, last_ms: float) -> bool:
        """Record that an endpoint has given notice from `first_ms` to `last_ms`; return if new."""
        known = self._notices.get(incarnation)
        if known is not None:
            first_ms, last_ms = min(first_ms, known.first_ms), max(last_ms, known.last_ms)
        elif len(self._notices) >= NOTICES_LIMIT:
            del self._notices[next(iter(self._notices))]
        self._notices[incarnation] = DrainNotice(first_ms, last_ms)
        return known is None

    def revoke(self, incarnation: str, sent_ms: float) -> bool:
        """Record a response without a notice to a request sent at `sent_ms`.

        Returns whether that revokes a notice.  A response to a request that was sent before the
        endpoint gave notice doesn't.
        """
        known = self._notices.get(incarnation)
        if known is None or sent_ms <= known.last_ms:
            return False
        del self._notices[incarnation]
        return True

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """End the notices that have not been repeated for long; return their incarnations."""
        expired = tuple(
            name
            for name, notice in self._notices.items()
            if now_ms - notice.last_ms > NOTICE_EXPIRY_MS
        )
        for incarnation in expired:
            del self._notices[incarnation]
        return expired
