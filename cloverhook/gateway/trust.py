"""Circuit breaker that suspends an endpoint whose requests fail.

Layer: state.  An endpoint that reports itself healthy may still fail every request; it then looks
idle and attracts ever more of them. Another one may report itself unhealthy and answer well. So
neither the endpoint's own report nor the answer to a probe counts here, only the outcome of
requests: two failed requests without a successful one between them suspend the endpoint. Failures
are reported to the other VMs, so that not every VM has to discover the faulty endpoint by itself.
After the suspension the circuit breaker is half-open: the endpoint gets one request at a time, and
only requests that can be retried, until one is answered well. A failure in this state suspends the
endpoint for twice as long.

>>> trust = Trust()
>>> trust.failed(0.0, began_ms=-5.0), trust.failed(10.0, began_ms=5.0)
(False, True)
>>> trust.is_suspended(500.0), trust.is_suspended(1_500.0), trust.is_on_trial(1_500.0)
(True, False, True)
"""

from collections import deque

__all__ = ["ANSWERED_MS", "Accusations", "Trust"]

FAILURES = 2
"""A single failure may be caused by the connection."""
FAILURES_MS = 1_500.0
"""Failures further apart than this don't count as consecutive."""
ANSWERED_MS = 3_000.0
"""If the reporting VM or this VM has had an answer from the endpoint within this time, a failure
reported by another VM raises the count to one at most. Answers are not reported between VMs, so
without this rule an endpoint that loses a few answers would look dead."""
SUSPEND_MS = 1_000.0
SUSPEND_MOST_MS = 8_000.0
"""The longest suspension. An endpoint that has recovered is used again within this time."""
PARDON_MS = 10_000.0
"""After this time a failure no longer counts against an endpoint, even if it has answered nothing
since. A suspension that starts this long after the end of the previous one is short again."""
ACCUSE_MS = 2_000.0
ACCUSE_SHARE = 0.3
ACCUSE_FEWEST = 4
"""A VM that sees more endpoints fail within the time above than this number, and than the share
above of all endpoints, is assumed to have a problem of its own."""


class Trust:
    """The circuit breaker of one incarnation of an endpoint; times are on the monotonic clock."""

    __slots__ = (
        "_answered_ms",
        "_failed_ms",
        "_failures",
        "_on_trial",
        "_suspensions",
        "_until_ms",
    )

    def __init__(self) -> None:
        self._failures = 0
        self._failed_ms = self._answered_ms = -PARDON_MS
        self._suspensions = 0
        self._until_ms = -PARDON_MS
        self._on_trial = False

    @property
    def in_question(self) -> bool:
        """Whether a failure or a half-open state has to be considered; false for most endpoints."""
        return self._failures > 0 or self._on_trial

    def failed(self, now_ms: float, began_ms: float) -> bool:
        """Record a request of this VM that failed; return whether that suspends the endpoint.

        Requests that were already in flight when another one failed, as in a crash, count together
        with that one.
        """
        if began_ms < self._failed_ms:
            return False
        if now_ms - self._failed_ms > FAILURES_MS:
            self._failures = 0
        self._failures += 1
        self._failed_ms = now_ms
        if self._on_trial or self._failures >= FAILURES:
            self._suspend(now_ms)
            return True
        return False

    def peer_failed(self, now_ms: float, began_ms: float, peer_answered: bool) -> bool:
        """Record a failure that another VM reports; return whether that suspends the endpoint.

        `peer_answered` tells whether the endpoint had answered that VM recently.
        """
        if not peer_answered and not self.answered_since(now_ms - ANSWERED_MS):
            return self.failed(now_ms, began_ms)
        if not self._failures and began_ms >= self._failed_ms:
            self._failures, self._failed_ms = 1, now_ms
        return False

    def answered_since(self, since_ms: float) -> bool:
        """Return whether the endpoint has answered a request well at or after a time."""
        return self._answered_ms >= since_ms

    def answered(self, now_ms: float) -> None:
        """Record a successful answer.

        An answer that arrives during a suspension belongs to a request that was sent before it, so
        it doesn't end the suspension.
        """
        self._answered_ms = now_ms
        if not self.is_suspended(now_ms):
            self._failures = 0
            self._on_trial = False

    def is_suspended(self, now_ms: float) -> bool:
        """Return whether the endpoint should get no requests now."""
        return now_ms < self._until_ms

    def is_on_trial(self, now_ms: float) -> bool:
        """Return whether the suspension is over and the endpoint has answered nothing since."""
        return self._on_trial and now_ms >= self._until_ms

    def is_doubted(self, now_ms: float) -> bool:
        """Return whether there is a recent failure that no answer to this VM has followed."""
        return self._failures > 0 and now_ms - self._failed_ms <= PARDON_MS

    def _suspend(self, now_ms: float) -> None:
        if now_ms - self._until_ms > PARDON_MS:
            self._suspensions = 0
        length_ms = min(SUSPEND_MS * 2**self._suspensions, SUSPEND_MOST_MS)
        self._suspensions += 1
        self._failures = 0
        self._on_trial = True
        self._until_ms = now_ms + length_ms


class Accusations:
    """The failures that each VM has reported, to tell a faulty endpoint from a faulty VM.

    >>> reports = Accusations()
    >>> [reports.believed("vm-1", f"i-{n}", 10, 0.0) for n in range(6)]
    [True, True, True, True, False, False]
    """

    def __init__(self) -> None:
        self._told: dict[str, deque[tuple[float, str]]] = {}

    def believed(self, vm: str, incarnation: str, endpoints: int, now_ms: float) -> bool:
        """Record a VM's report that an endpoint has failed; return whether the report counts."""
        told = self._told.setdefault(vm, deque())
        told.append((now_ms, incarnation))
        while told[0][0] < now_ms - ACCUSE_MS:
            told.popleft()
        accused = len({name for _, name in told})
        return accused <= max(ACCUSE_FEWEST, ACCUSE_SHARE * endpoints)

    def forget(self, now_ms: float) -> None:
        """Drop the VMs that have reported nothing recently."""
        for vm, told in tuple(self._told.items()):
            if told[-1][0] < now_ms - ACCUSE_MS:
                del self._told[vm]
