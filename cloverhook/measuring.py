"""The measuring budget: how much of an owner's time goes into probes.

Layer: coordination.  The budget of a service holds for all VMs together.  Each owner spends a
share by the endpoints that it owns, and only half of that: while two VMs' views differ, an
endpoint may have two owners for a moment, and the sum still stays within the budget.  A probe that
takes longer than it should is paid for by later ones, so the bound holds over a few seconds.

A daemon's own time is bounded too: its routers take turns at probing.  With thousands of idle
endpoints each is then probed less often; those with requests tell their state without a probe.
"""

import math
from collections.abc import Callable, Iterable

from cloverhook.endpoint_stats import EndpointStats
from cloverhook.token_bucket import TokenBucket

__all__ = [
    "CONNECTION_COST_MS",
    "PROBES_PER_S",
    "PROBE_COST_MS",
    "MeasuringBudget",
    "ProbeTurns",
    "Prober",
]

PROBE_COST_MS = 6.0
CONNECTION_COST_MS = 1.0
PROBE_WITH_CONNECTION_MS = PROBE_COST_MS + CONNECTION_COST_MS
SAFETY = 0.5
STALE_EVIDENCE_MS = 5_000.0
LOOK_EVERY_MS = 250.0
PROBES_PER_S = 8
TURN_LIFETIME_MS = 1_000.0


class MeasuringBudget:
    """What one VM may spend on measuring one service."""

    def __init__(self) -> None:
        self._bucket = TokenBucket(0.0, 0.0)
        self.spent_ms = 0.0

    def set_share(self, budget_ms_per_s: float, owned: float, total: int, now_ms: float) -> None:
        """Take the service's budget and the share of its endpoints that this VM owns."""
        share = budget_ms_per_s * SAFETY * owned / max(1, total)
        cost_ms = PROBE_COST_MS + CONNECTION_COST_MS
        self._bucket.set_rate(share, max(share, cost_ms) if share else 0.0, now_ms)

    def take_probe(self, now_ms: float) -> bool:
        """Return whether a probe, with the connection it may need, is within the budget."""
        if not self._bucket.take(PROBE_WITH_CONNECTION_MS, now_ms):
            return False
        self.spent_ms += PROBE_WITH_CONNECTION_MS
        return True

    def settle(self, latency_ms: float, now_ms: float) -> None:
        """Take the time that a probe took; what is more than its cost is paid off later."""
        more_ms = max(0.0, latency_ms - PROBE_COST_MS - CONNECTION_COST_MS)
        self._bucket.charge(more_ms, now_ms)
        self.spent_ms += more_ms

    def next_probe_ms(self, now_ms: float) -> float:
        """Return when a probe is next within the budget."""
        return self._bucket.ready_ms(PROBE_WITH_CONNECTION_MS, now_ms)


class ProbeTurns:
    """Spaces the probes of a daemon: whoever books first has the first turn.

    >>> turns = ProbeTurns(probes_per_s=10)
    >>> turns.book(0.0), turns.book(0.0), turns.book(500.0)
    (0.0, 100.0, 500.0)
    """

    def __init__(self, probes_per_s: float = PROBES_PER_S) -> None:
        self._spacing_ms = 1_000.0 / probes_per_s
        self._next_ms = -math.inf

    def book(self, now_ms: float) -> float:
        """Return the time of the next free turn."""
        turn_ms = max(now_ms, self._next_ms)
        self._next_ms = turn_ms + self._spacing_ms
        return turn_ms


class Prober:
    """Finds the owned endpoints that nothing has been heard of for long, within the budget.

    `turns` bounds the probes a second, for all routers that share it.
    """

    def __init__(self, turns: ProbeTurns | None = None) -> None:
        self.budget = MeasuringBudget()
        self._turns = turns or ProbeTurns()
        self._turn_ms = -math.inf
        self._under_way: set[str] = set()
        self.next_look_ms = 0.0

    def look_again(self) -> None:
        """Look soon: other endpoints are owned, or something has been heard of one."""
        self.next_look_ms = 0.0

    def ended(self, address: str, latency_ms: float, now_ms: float) -> None:
        """Take the end of a probe and the time that it took."""
        self._under_way.discard(address)
        self.budget.settle(latency_ms, now_ms)
        self.look_again()

    def due(self, owned: Callable[[], Iterable[EndpointStats]], now_ms: float) -> list[str]:
        """Return the addresses to probe now."""
        if now_ms < self.next_look_ms:
            return []
        due: list[str] = []
        next_stale_ms = math.inf
        for stats in owned():
            address = stats.endpoint.address
            if address in self._under_way:
                continue
            if now_ms - stats.evidence_ms < STALE_EVIDENCE_MS:
                next_stale_ms = min(next_stale_ms, stats.evidence_ms + STALE_EVIDENCE_MS)
            elif stats.used or self.budget.next_probe_ms(now_ms) > now_ms:
                next_stale_ms = min(next_stale_ms, self.budget.next_probe_ms(now_ms))
            elif not self._take_turn(now_ms):
                next_stale_ms = min(next_stale_ms, self._turn_ms)
                break
            else:
                self.budget.take_probe(now_ms)
                stats.evidence_ms = now_ms
                self._under_way.add(address)
                due.append(address)
        self.next_look_ms = max(next_stale_ms, now_ms + LOOK_EVERY_MS)
        return due

    def _take_turn(self, now_ms: float) -> bool:
        """Return whether this router's turn has come; else keep the turn booked, or book one."""
        if self._turn_ms + TURN_LIFETIME_MS < now_ms:
            self._turn_ms = self._turns.book(now_ms)
        if now_ms < self._turn_ms:
            return False
        self._turn_ms = -math.inf
        return True
