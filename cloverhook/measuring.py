"""The measuring budget: how much of an owner's time goes into probes.

Layer: coordination.  The budget of a service holds for all VMs together.  Each owner spends a
share by the endpoints that it owns, and only half of that: while two VMs' views differ, an
endpoint may have two owners for a moment, and the sum still stays within the budget.  A probe that
takes longer than it should is paid for by later ones, so the bound holds over a few seconds.
"""

from collections.abc import Callable, Iterable

from cloverhook.endpoint_stats import EndpointStats
from cloverhook.ownership import REMOTE_TOLERANCE
from cloverhook.routing_events import HomesChanged, Probe
from cloverhook.token_bucket import TokenBucket

__all__ = ["CONNECTION_COST_MS", "PROBE_COST_MS", "MeasuringBudget", "Prober", "budget_share"]

PROBE_COST_MS = 6.0
CONNECTION_COST_MS = 1.0
SAFETY = 0.5
STALE_EVIDENCE_MS = 5_000.0
LOOK_EVERY_MS = 250.0
HEALTH_EVERY_MS = 1_000.0


class MeasuringBudget:
    """What one VM may spend on measuring one service."""

    def __init__(self) -> None:
        self._bucket = TokenBucket(0.0, 0.0)
        self.spent_ms = 0.0

    def set_share(self, share_ms_per_s: float, now_ms: float) -> None:
        """Take this VM's share of the service's budget."""
        cost_ms = PROBE_COST_MS + CONNECTION_COST_MS
        capacity_ms = max(share_ms_per_s, cost_ms) if share_ms_per_s else 0.0
        self._bucket.set_rate(share_ms_per_s, capacity_ms, now_ms)

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
    """Finds the owned endpoints to probe, within the budget.

    The load is asked for where nothing has been heard for long, the health where a request was
    refused, which may be shedding or a drain, and where a drain is known.
    """

    def __init__(self) -> None:
        self.budget = MeasuringBudget()
        self._under_way: set[str] = set()
        self._next_look_ms = 0.0

    def ended(self, address: str, latency_ms: float, now_ms: float) -> None:
        """Take the end of a probe and the time that it took."""
        self._under_way.discard(address)
        self.budget.settle(latency_ms, now_ms)

    def due(self, owned: Callable[[], Iterable[EndpointStats]], now_ms: float) -> list[Probe]:
        """Return the probes to make now; those of health, which end needless requests, go first."""
        if now_ms < self._next_look_ms:
            return []
        self._next_look_ms = now_ms + LOOK_EVERY_MS
        idle = [stats for stats in owned() if stats.endpoint.address not in self._under_way]
        wanted = [(stats, True) for stats in idle if _health_due(stats, now_ms)]
        wanted += [(stats, False) for stats in idle if _load_due(stats, now_ms)]
        due: list[Probe] = []
        for stats, health in wanted:
            if not self.budget.take_probe(now_ms):
                break
            due.append(self._begin(stats, health, now_ms))
        return due

    def _begin(self, stats: EndpointStats, health: bool, now_ms: float) -> Probe:
        if health:
            stats.health_ms = now_ms
            stats.refused = False
        else:
            stats.evidence_ms = now_ms
        self._under_way.add(stats.endpoint.address)
        return Probe(stats.endpoint.address, health)


def budget_share(owned: int, total: int, homes: HomesChanged) -> float:
    """Return the share of a service's budget for a VM that owns some of all its endpoints.

    Only a home spends any, and one that has lost sight of the others not their part too.
    """
    if homes.own_vm not in homes.homes or not total:
        return 0.0
    return SAFETY * min(owned / total, REMOTE_TOLERANCE / len(homes.homes))


def _health_due(stats: EndpointStats, now_ms: float) -> bool:
    asked = stats.refused or stats.draining
    return asked and now_ms - stats.health_ms >= HEALTH_EVERY_MS


def _load_due(stats: EndpointStats, now_ms: float) -> bool:
    fresh = now_ms - stats.evidence_ms < STALE_EVIDENCE_MS
    return not (fresh or stats.used or stats.draining or _health_due(stats, now_ms))
