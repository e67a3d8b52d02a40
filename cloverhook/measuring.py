"""The measuring budget: how much of an owner's time goes into probes.

Layer: coordination.  The budget of a service holds for all VMs together.  Each owner spends a
share by the endpoints that it owns, and only half of that: while two VMs' views differ, an
endpoint may have two owners for a moment, and the sum still stays within the budget.  A probe that
takes longer than it should is paid for by later ones, so the bound holds over a few seconds.
"""

from collections.abc import Callable, Iterable

from cloverhook.endpoint_stats import EndpointStats
from cloverhook.token_bucket import TokenBucket

__all__ = ["CONNECTION_COST_MS", "PROBE_COST_MS", "MeasuringBudget", "Prober"]

PROBE_COST_MS = 6.0
CONNECTION_COST_MS = 1.0
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
        cost_ms = PROBE_COST_MS + CONNECTION_COST_MS
        if not self._bucket.take(cost_ms, now_ms):
            return False
        self.spent_ms += cost_ms
        return True

    def settle(self, latency_ms: float, now_ms: float) -> None:
        """Take the time that a probe took; what is more than its cost is paid off later."""
        more_ms = max(0.0, latency_ms - PROBE_COST_MS - CONNECTION_COST_MS)
        self._bucket.charge(more_ms, now_ms)
        self.spent_ms += more_ms


class Prober:
    """Finds the owned endpoints that nothing has been heard of for long, within the budget."""

    def __init__(self) -> None:
        self.budget = MeasuringBudget()
        self._under_way: set[str] = set()
        self._next_look_ms = 0.0

    def ended(self, address: str, latency_ms: float, now_ms: float) -> None:
        """Take the end of a probe and the time that it took."""
        self._under_way.discard(address)
        self.budget.settle(latency_ms, now_ms)

    def due(self, owned: Callable[[], Iterable[EndpointStats]], now_ms: float) -> list[str]:
        """Return the addresses to probe now."""
        if now_ms < self._next_look_ms:
            return []
        self._next_look_ms = now_ms + LOOK_EVERY_MS
        due: list[str] = []
        for stats in owned():
            address = stats.endpoint.address
            fresh = now_ms - stats.evidence_ms < STALE_EVIDENCE_MS
            if fresh or stats.used or address in self._under_way:
                continue
            if not self.budget.take_probe(now_ms):
                break
            stats.evidence_ms = now_ms
            self._under_way.add(address)
            due.append(address)
        return due
