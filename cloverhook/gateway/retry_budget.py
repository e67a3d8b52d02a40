"""This VM's share of the fleet-wide retry budget of each service.

Layer: coordination.  In any window of `window_ms`, all VMs together may send as many retries to a
service as `ratio` times the service's requests, plus `extra`.  Each VM counts only its own requests
and takes an equal part of the extra.  The VMs therefore need not exchange messages, and the total
stays within its bound when a VM joins or leaves.

>>> budget = RetryBudget(ratio=0.5, extra=4, window_ms=1_000)
>>> [budget.try_take("s", 0.0, vms=2) for _ in range(2)]
[True, False]
"""

from collections import deque

__all__ = ["RetryBudget"]

SAFETY_FACTOR = 0.7
"""The part of the budget that is used; the rest is a margin for moments when the VMs disagree on
their number."""
RATE_PERIOD_MIN_MS = 1_000.0
"""The shortest time over which a rate is computed: the first few requests say little about it."""


class _ServiceWindow:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()


class RetryBudget:
    """Counts the requests and the retries of each service in a sliding window."""

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._windows: dict[str, _ServiceWindow] = {}

    def count_request(self, service: str, now_ms: float) -> None:
        """Count a request received from a caller."""
        self._window(service, now_ms).requests.append(now_ms)

    def uncount_request(self, service: str, now_ms: float) -> None:
        """Uncount a request that another VM sends, and counts, in place of this one."""
        requests = self._window(service, now_ms).requests
        if requests:
            requests.pop()

    def try_take(self, service: str, now_ms: float, vms: int) -> bool:
        """Count a retry and return True, or return False if the budget is exhausted."""
        window = self._window(service, now_ms)
        budget = self._ratio * len(window.requests) + self._extra / max(1, vms)
        if len(window.retries) + 1 > SAFETY_FACTOR * budget:
            return False
        window.retries.append(now_ms)
        return True

    def requests_per_s(self, service: str, now_ms: float) -> float:
        """Return the rate of callers' requests to a service since the oldest one in the window."""
        requests = self._window(service, now_ms).requests
        if not requests:
            return 0.0
        return 1000 * len(requests) / max(now_ms - requests[0], RATE_PERIOD_MIN_MS)

    def total_requests_per_s(self, now_ms: float) -> float:
        """Return the rate of callers' requests to all services together."""
        return sum(self.requests_per_s(service, now_ms) for service in tuple(self._windows))

    def _window(self, service: str, now_ms: float) -> _ServiceWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _ServiceWindow()
        for times in (window.requests, window.retries):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
        return window
