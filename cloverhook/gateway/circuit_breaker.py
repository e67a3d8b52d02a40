"""Circuit breaker that suspends an endpoint whose requests fail.

Layer: state.  An endpoint that reports itself healthy may still fail every request; it then looks
idle and attracts ever more of them. Another one may report itself unhealthy and answer requests
well. So neither the endpoint's own report nor the answer to a probe counts here, only the outcome
of requests: two failed requests without a successful one between them suspend the endpoint.
Failures are reported to the other VMs, so that not every VM has to discover the faulty endpoint by
itself. After the suspension the circuit breaker is half-open: the endpoint gets one request at a
time until one is answered successfully. At first it gets only requests that can be retried; if none
comes, or none is allowed there, it gets others too, as nothing else would end this state. A failure
in this state suspends the endpoint for twice as long.

>>> breaker = CircuitBreaker()
>>> breaker.record_failure(0.0, began_ms=-5.0), breaker.record_failure(10.0, began_ms=5.0)
(False, True)
>>> breaker.is_suspended(500.0), breaker.is_suspended(1_500.0), breaker.is_half_open(1_500.0)
(True, False, True)
"""

from collections import deque

__all__ = ["RECENT_ANSWER_MS", "CircuitBreaker", "FailureReportFilter"]

FAILURES = 2
"""A single failure may be caused by the connection."""
FAILURE_WINDOW_MS = 1_500.0
"""Failures further apart than this don't count as consecutive."""
RECENT_ANSWER_MS = 3_000.0
"""If the reporting VM or this VM has had an answer from the endpoint within this time, a failure
reported by another VM raises the count to one at most. Answers are not reported between VMs, so
without this rule an endpoint that loses a few answers would look dead."""
FIRST_SUSPENSION_MS = 1_000.0
MAX_SUSPENSION_MS = 8_000.0
"""The longest suspension. An endpoint that has recovered is used again within this time."""
TRIAL_DELAY_MS = 500.0
"""How long a half-open endpoint waits for a request that can be retried."""
FAILURE_EXPIRY_MS = 10_000.0
"""After this time a failure no longer counts against an endpoint, even if it has answered nothing
since. A suspension that starts this long after the end of the previous one is short again."""
REPORT_WINDOW_MS = 2_000.0
REPORTED_SHARE_LIMIT = 0.3
REPORTED_COUNT_LIMIT = 4
"""A VM that reports more endpoints within `REPORT_WINDOW_MS` than this number, and more than
`REPORTED_SHARE_LIMIT` of all endpoints, is assumed to have a problem of its own."""


class CircuitBreaker:
    """The circuit breaker of one incarnation of an endpoint; times are on the monotonic clock."""

    __slots__ = (
        "_failures",
        "_half_open",
        "_last_answer_ms",
        "_last_failure_ms",
        "_suspended_until_ms",
        "_suspensions",
    )

    def __init__(self) -> None:
        self._failures = 0
        self._last_failure_ms = self._last_answer_ms = -FAILURE_EXPIRY_MS
        self._suspensions = 0
        self._suspended_until_ms = -FAILURE_EXPIRY_MS
        self._half_open = False

    @property
    def needs_check(self) -> bool:
        """Whether a failure or a half-open state has to be considered; false for most endpoints."""
        return self._failures > 0 or self._half_open

    def record_failure(self, now_ms: float, began_ms: float) -> bool:
        """Record a request of this VM that failed; return whether that suspends the endpoint.

        Requests that were already in flight when another one failed, as in a crash, count together
        with that one.
        """
        if began_ms < self._last_failure_ms:
            return False
        if now_ms - self._last_failure_ms > FAILURE_WINDOW_MS:
            self._failures = 0
        self._failures += 1
        self._last_failure_ms = now_ms
        if self._half_open or self._failures >= FAILURES:
            self._suspend(now_ms)
            return True
        return False

    def record_peer_failure(self, now_ms: float, began_ms: float, peer_answered: bool) -> bool:
        """Record a failure that another VM reports; return whether that suspends the endpoint.

        `peer_answered` tells whether the endpoint had answered that VM recently.
        """
        if not peer_answered and not self.answered_since(now_ms - RECENT_ANSWER_MS):
            return self.record_failure(now_ms, began_ms)
        if not self._failures and began_ms >= self._last_failure_ms:
            self._failures, self._last_failure_ms = 1, now_ms
        return False

    def answered_since(self, since_ms: float) -> bool:
        """Return whether the endpoint has answered a request successfully since `since_ms`."""
        return self._last_answer_ms >= since_ms

    def record_answer(self, now_ms: float) -> None:
        """Record a successful answer.

        An answer that arrives during a suspension belongs to a request that was sent before it, so
        it doesn't end the suspension.
        """
        self._last_answer_ms = now_ms
        if not self.is_suspended(now_ms):
            self._failures = 0
            self._half_open = False

    def is_suspended(self, now_ms: float) -> bool:
        """Return whether the endpoint should get no requests now."""
        return now_ms < self._suspended_until_ms

    def is_half_open(self, now_ms: float) -> bool:
        """Return whether the suspension is over and the endpoint has answered nothing since."""
        return self._half_open and now_ms >= self._suspended_until_ms

    def is_trial_overdue(self, now_ms: float) -> bool:
        """Return whether the endpoint has been half-open long enough for a trial by any request."""
        return self._half_open and now_ms >= self._suspended_until_ms + TRIAL_DELAY_MS

    def has_unresolved_failure(self, now_ms: float) -> bool:
        """Return whether there is a recent failure that no answer to this VM has followed."""
        return self._failures > 0 and now_ms - self._last_failure_ms <= FAILURE_EXPIRY_MS

    def _suspend(self, now_ms: float) -> None:
        if now_ms - self._suspended_until_ms > FAILURE_EXPIRY_MS:
            self._suspensions = 0
        length_ms = min(FIRST_SUSPENSION_MS * 2**self._suspensions, MAX_SUSPENSION_MS)
        self._suspensions += 1
        self._failures = 0
        self._half_open = True
        self._suspended_until_ms = now_ms + length_ms


class FailureReportFilter:
    """The failures that each VM has reported, to tell a faulty endpoint from a faulty VM.

    >>> reports = FailureReportFilter()
    >>> [reports.accept("vm-1", f"i-{n}", 10, 0.0) for n in range(6)]
    [True, True, True, True, False, False]
    """

    def __init__(self) -> None:
        self._reports: dict[str, deque[tuple[float, str]]] = {}

    def accept(self, vm: str, incarnation: str, endpoints: int, now_ms: float) -> bool:
        """Record a VM's report that an endpoint has failed; return whether the report counts."""
        reports = self._reports.setdefault(vm, deque())
        reports.append((now_ms, incarnation))
        while reports[0][0] < now_ms - REPORT_WINDOW_MS:
            reports.popleft()
        reported = len({name for _, name in reports})
        return reported <= max(REPORTED_COUNT_LIMIT, REPORTED_SHARE_LIMIT * endpoints)

    def forget(self, now_ms: float) -> None:
        """Drop the VMs that have reported nothing recently."""
        for vm, reports in tuple(self._reports.items()):
            if reports[-1][0] < now_ms - REPORT_WINDOW_MS:
                del self._reports[vm]
