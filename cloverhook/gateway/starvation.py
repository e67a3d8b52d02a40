"""Finds the client accounts that are served far less than the others.

Layer: coordination.  An account is starved at this VM if the served share of its requests is below
half of the share of all accounts together.  Designed for 77 accounts with sizes by a Zipf
distribution (exponent 1.2) and 40 requests a second at a VM; `features/account_metrics.feature`
replays that load.

>>> starvation = Starvation()
>>> for number in range(40):
...     starvation.record_end("mill", True, 0.0)
...     starvation.record_end("farm", number % 4 == 0, 0.0)
>>> [(item.account, item.is_starved, item.requests, item.served) for item in starvation.check(0.0)]
[('farm', True, 40, 10)]
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["ServedShare", "Starvation"]

WINDOW_MS = 10_000.0
BUCKET_MS = 1_000.0
MIN_REQUESTS = 20
"""With fewer requests in the window, chance alone takes an account below half too often: of 20
requests with a served share of 0.6, five or fewer are served in 1 of 600 windows."""
STARVED_RATIO = 0.5
MIN_INTERVAL_MS = 5_000.0
"""The shortest time between two reports of one account."""


@dataclass(frozen=True, slots=True)
class ServedShare:
    """A change of an account's state, with the figures of the window that decided it."""

    account: str
    is_starved: bool
    requests: int
    served: int
    share_of_all: float


@dataclass(slots=True)
class _Counts:
    requests: int = 0
    served: int = 0

    def add(self, requests: int, served: int) -> None:
        self.requests += requests
        self.served += served


class Starvation:
    """The requests of the last seconds by account; times are monotonic."""

    def __init__(self) -> None:
        self._buckets: deque[tuple[float, dict[str, _Counts]]] = deque()
        self._starved: set[str] = set()
        self._reported_ms: dict[str, float] = {}

    def record_end(self, account: str, served: bool, now_ms: float) -> None:
        """Record a request that has ended."""
        if not self._buckets or now_ms >= self._buckets[-1][0] + BUCKET_MS:
            self._buckets.append((now_ms, {}))
            self._drop_old(now_ms)
        self._buckets[-1][1].setdefault(account, _Counts()).add(1, served)

    def check(self, now_ms: float) -> list[ServedShare]:
        """Return the accounts that have become starved, or are not starved any more.

        A starved account is served again when its share says so, or when it sends no requests.
        """
        self._drop_old(now_ms)
        if not self._buckets and not self._starved:
            return []
        totals: dict[str, _Counts] = {}
        for _, counts in self._buckets:
            for account, count in counts.items():
                totals.setdefault(account, _Counts()).add(count.requests, count.served)
        requests = sum(item.requests for item in totals.values())
        served = sum(item.served for item in totals.values())
        share_of_all = served / requests if requests else 1.0
        changes = []
        for account in sorted(totals.keys() | self._starved):
            count = totals.get(account, _Counts())
            if 0 < count.requests < MIN_REQUESTS:
                continue
            is_starved = count.served < STARVED_RATIO * share_of_all * count.requests
            if is_starved == (account in self._starved) or self._was_reported(account, now_ms):
                continue
            self._reported_ms[account] = now_ms
            (self._starved.add if is_starved else self._starved.discard)(account)
            changes.append(
                ServedShare(account, is_starved, count.requests, count.served, share_of_all)
            )
        return changes

    def _was_reported(self, account: str, now_ms: float) -> bool:
        return now_ms - self._reported_ms.get(account, -MIN_INTERVAL_MS) < MIN_INTERVAL_MS

    def _drop_old(self, now_ms: float) -> None:
        while self._buckets and self._buckets[0][0] <= now_ms - WINDOW_MS:
            self._buckets.popleft()
        for account, at_ms in tuple(self._reported_ms.items()):
            if now_ms - at_ms >= MIN_INTERVAL_MS:
                del self._reported_ms[account]
