"""Checks of a soak run on what backend servers say of themselves in their answers.

An incarnation is given by a backend server's name and the time of its birth.  A gateway process is
given by its name, how often it was started and how often it was paused: one that has started or was
paused since then need not know what it knew before.
"""

import math
from dataclasses import dataclass

from cloverhook.clock import monotonic_ms
from features.stalls import StallMonitor

__all__ = ["NoticeChecks"]

DRAIN_MS = 2_000.0
BACKOFF_GRACE_MS = 500.0
"""Requests that are under way may still arrive this long after a rejection."""
ARRIVALS_IN_BACKOFF = 2


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a gateway process has sent to a backend server.

    `backoff_ms` is set if the backend server rejects it and wants no requests for that time.
    """

    incarnation: tuple[str, int]
    process: tuple[str, int, int]
    caller_sent_ms: float
    at_ms: float
    backoff_ms: float = 0.0


class NoticeChecks:
    """Records arrivals at backend servers and the answers that callers got."""

    def __init__(self):
        self.stalls = StallMonitor()
        self._leaving = {}
        self._arrivals = []
        self._passed_on_ms = {}

    def record_arrival(self, incarnation, process, caller_sent_ms, backoff_ms):
        """Record a request that reaches a backend server."""
        at_ms = monotonic_ms()
        self._arrivals.append(Arrival(incarnation, process, caller_sent_ms, at_ms, backoff_ms))

    def record_leaving(self, incarnation):
        """Record that a backend server, by its name and birth, says from now on that it leaves."""
        name, _ = incarnation
        self._leaving[name.encode()] = incarnation, monotonic_ms()

    def record_answer(self, body, process, caller_sent_ms):
        """Record a successful answer that a caller got; its body names the backend server."""
        incarnation, since_ms = self._leaving.get(body, (None, math.inf))
        if caller_sent_ms >= since_ms:
            self._passed_on_ms.setdefault((incarnation, process), monotonic_ms())

    def violations(self):
        """Yield a description of each broken promise."""
        for item in self._arrivals:
            passed_on_ms = self._passed_on_ms.get((item.incarnation, item.process))
            if passed_on_ms is not None and item.caller_sent_ms > passed_on_ms + DRAIN_MS:
                late_ms = item.caller_sent_ms - passed_on_ms
                yield f"{item.process} used {item.incarnation} {late_ms:.0f} ms after its notice"
        for rejected in self._arrivals:
            if rejected.backoff_ms:
                count = sum(self._is_in_backoff(item, rejected) for item in self._arrivals)
                if count > ARRIVALS_IN_BACKOFF:
                    yield (
                        f"{rejected.process} sent {count} requests to {rejected.incarnation}, which"
                        f" wanted none for {rejected.backoff_ms:g} ms"
                    )

    def _is_in_backoff(self, item, rejected):
        if (item.incarnation, item.process) != (rejected.incarnation, rejected.process):
            return False
        after_ms = item.at_ms - rejected.at_ms
        after_ms -= self.stalls.lost_ms(rejected.at_ms, item.at_ms)
        return after_ms > BACKOFF_GRACE_MS and item.at_ms < rejected.at_ms + rejected.backoff_ms
