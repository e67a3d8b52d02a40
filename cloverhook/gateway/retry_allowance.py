"""This VM's share of the repeats that all VMs together may send to a service.

Layer: coordination.  In any window of `window_ms`, the fleet may send `ratio` of the service's
requests once more, and `extra` besides.  Each VM counts only its own requests and takes an equal
part of the extra, so no message is needed, and a VM that comes or goes leaves the sum in bounds.

>>> allowance = RetryBudget(ratio=0.5, extra=4, window_ms=1_000)
>>> [allowance.try_take("s", 0.0, vms=2) for _ in range(2)]
[True, False]
"""

from collections import deque

__all__ = ["RetryBudget"]

SAFETY = 0.7
"""The part of the allowance that is used: VMs may disagree for a moment on how many they are."""
RATE_FLOOR_MS = 1_000.0
"""A rate is never taken over less time: the first few requests say little."""


class _ServiceWindow:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()


class RetryBudget:
    """Counts requests and repeats of each service over a sliding window."""

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._windows: dict[str, _ServiceWindow] = {}

    def count_request(self, service: str, now_ms: float) -> None:
        """Count a request of a caller."""
        self._window(service, now_ms).requests.append(now_ms)

    def try_take(self, service: str, now_ms: float, vms: int) -> bool:
        """Count a repeat and return True, or return False when none is left."""
        window = self._window(service, now_ms)
        earned = self._ratio * len(window.requests) + self._extra / max(1, vms)
        if len(window.repeats) + 1 > SAFETY * earned:
            return False
        window.repeats.append(now_ms)
        return True

    def requests_per_s(self, service: str, now_ms: float) -> float:
        """Return how many requests of callers came in a second, over the time that is kept."""
        requests = self._window(service, now_ms).requests
        if not requests:
            return 0.0
        return 1000 * len(requests) / max(now_ms - requests[0], RATE_FLOOR_MS)

    def total_requests_per_s(self, now_ms: float) -> float:
        """Return the same for all services together."""
        return sum(self.requests_per_s(service, now_ms) for service in tuple(self._windows))

    def _window(self, service: str, now_ms: float) -> _ServiceWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _ServiceWindow()
        for times in (window.requests, window.repeats):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
        return window
