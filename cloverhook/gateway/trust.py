"""Whether an endpoint can be trusted with requests, by what became of those that it got.

Layer: state.  An endpoint may say that it is well and fail all it gets, and it then looks idle and
draws ever more; or it may say that it is ill and answer well.  So neither its own word nor the
answer to a probe counts here, only requests: two that failed without one between that was answered
well suspend the endpoint.  Failures are told to the other VMs, so that it is not found out by each
of them.  After its time it is on trial: one request at a time that can be repeated, until one is
answered well; a failure then suspends it for twice as long.

>>> trust = CircuitBreaker()
>>> trust.record_failure(0.0, began_ms=-5.0), trust.record_failure(10.0, began_ms=5.0)
(False, True)
>>> trust.is_suspended(500.0), trust.is_suspended(1_500.0), trust.is_half_open(1_500.0)
(True, False, True)
"""

from collections import deque

__all__ = ["RECENT_ANSWER_MS", "FailureReportFilter", "CircuitBreaker"]

FAILURES = 2
"""A single failure may be a connection's fault."""
FAILURES_MS = 1_500.0
"""Two failures further apart are no row."""
RECENT_ANSWER_MS = 3_000.0
"""A failure that is told counts as no more than one where its sender or this VM has had an answer
within this time: answers are not told, and an endpoint that loses a few answers would look dead."""
SUSPEND_MS = 1_000.0
SUSPEND_MOST_MS = 8_000.0
"""An endpoint that is mended is used again within this time."""
PARDON_MS = 10_000.0
"""After this time a failure is no longer held against an endpoint that has answered nothing since,
and after as long without a suspension the next one is a short one again."""
ACCUSE_MS = 2_000.0
ACCUSE_SHARE = 0.3
ACCUSE_FEWEST = 4
"""A VM that sees more endpoints fail within that time than this share of all, and than this number,
is taken to be in trouble itself."""


class CircuitBreaker:
    """What requests have shown of one incarnation; times are on the monotonic clock."""

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
    def needs_check(self) -> bool:
        """Whether there is anything to ask further: most endpoints have failed nobody lately."""
        return self._failures > 0 or self._on_trial

    def record_failure(self, now_ms: float, began_ms: float) -> bool:
        """Take a failure that was met here; return whether it suspends.

        Requests that were under way when another one failed, as in a crash, count with that one.
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

    def record_peer_failure(self, now_ms: float, began_ms: float, peer_answered: bool) -> bool:
        """Take a failure that another VM met; return whether it suspends.

        `peer_answered` says that the endpoint had answered that VM lately.
        """
        if not peer_answered and not self.answered_since(now_ms - RECENT_ANSWER_MS):
            return self.record_failure(now_ms, began_ms)
        if not self._failures and began_ms >= self._failed_ms:
            self._failures, self._failed_ms = 1, now_ms
        return False

    def answered_since(self, since_ms: float) -> bool:
        """Return whether a request was answered well there since a time."""
        return self._answered_ms >= since_ms

    def record_answer(self, now_ms: float) -> None:
        """Take an answer; one that comes during a suspension was asked for before it."""
        self._answered_ms = now_ms
        if not self.is_suspended(now_ms):
            self._failures = 0
            self._on_trial = False

    def is_suspended(self, now_ms: float) -> bool:
        """Return whether no request should go there now."""
        return now_ms < self._until_ms

    def is_half_open(self, now_ms: float) -> bool:
        """Return whether it was suspended, may be tried again and has answered nothing since."""
        return self._on_trial and now_ms >= self._until_ms

    def has_unresolved_failure(self, now_ms: float) -> bool:
        """Return whether a failure has not been followed by an answer here."""
        return self._failures > 0 and now_ms - self._failed_ms <= PARDON_MS

    def _suspend(self, now_ms: float) -> None:
        if now_ms - self._until_ms > PARDON_MS:
            self._suspensions = 0
        length_ms = min(SUSPEND_MS * 2**self._suspensions, SUSPEND_MOST_MS)
        self._suspensions += 1
        self._failures = 0
        self._on_trial = True
        self._until_ms = now_ms + length_ms


class FailureReportFilter:
    """The failures that each VM has told of, to tell an endpoint's trouble from a VM's own.

    >>> heard = FailureReportFilter()
    >>> [heard.accept("vm-1", f"i-{n}", 10, 0.0) for n in range(6)]
    [True, True, True, True, False, False]
    """

    def __init__(self) -> None:
        self._told: dict[str, deque[tuple[float, str]]] = {}

    def accept(self, vm: str, incarnation: str, endpoints: int, now_ms: float) -> bool:
        """Take a VM's word that an endpoint has failed; return whether that counts."""
        told = self._told.setdefault(vm, deque())
        told.append((now_ms, incarnation))
        while told[0][0] < now_ms - ACCUSE_MS:
            told.popleft()
        accused = len({name for _, name in told})
        return accused <= max(ACCUSE_FEWEST, ACCUSE_SHARE * endpoints)

    def forget(self, now_ms: float) -> None:
        """Drop the VMs that have told nothing lately."""
        for vm, told in tuple(self._told.items()):
            if told[-1][0] < now_ms - ACCUSE_MS:
                del self._told[vm]
