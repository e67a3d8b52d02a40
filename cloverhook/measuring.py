"""The measuring budget: how much of an owner's time goes into probes.

Layer: coordination.  The budget of a service holds for all VMs together.  Each owner spends a
share by the endpoints that it owns, and only half of that: while two VMs' views differ, an
endpoint may have two owners for a moment, and the sum still stays within the budget.  A probe that
takes longer than it should is paid for by later ones, so the bound holds over a few seconds.
"""

import math
from collections.abc import Callable, Iterable

from cloverhook.endpoint_stats import EndpointStats
from cloverhook.token_bucket import TokenBucket

__all__ = ["CONNECTION_COST_MS", "PROBE_COST_MS", "MeasuringBudget", "Prober"]

PROBE_COST_MS = 6.0
CONNECTION_COST_MS = 1.0
PROBE_WITH_CONNECTION_MS = PROBE_COST_MS + CONNECTION_COST_MS
SAFETY = 0.5
STALE_EVIDENCE_MS = 5_000.0
LOOK_EVERY_MS = 250.0


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


class Prober:
    """Finds the owned endpoints that nothing has been heard of for long, within the budget."""

    def __init__(self) -> None:
        self.budget = MeasuringBudget()
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
            elif stats.used or not self.budget.take_probe(now_ms):
                next_stale_ms = min(next_stale_ms, self.budget.next_probe_ms(now_ms))
            else:
                stats.evidence_ms = now_ms
                self._under_way.add(address)
                due.append(address)
        self.next_look_ms = max(next_stale_ms, now_ms + LOOK_EVERY_MS)
        return due
