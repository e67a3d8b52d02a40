"""The measuring budget: how much of an owner's time goes into probes.

Layer: coordination.  The budget of a service holds for all VMs together.  Each owner spends a
share by the endpoints that it owns, and only half of that: while two VMs' views differ, an
endpoint may have two owners for a moment, and the sum still stays within the budget.
"""

from cloverhook.token_bucket import TokenBucket

__all__ = ["CONNECTION_COST_MS", "PROBE_COST_MS", "MeasuringBudget"]

PROBE_COST_MS = 6.0
CONNECTION_COST_MS = 1.0
SAFETY = 0.5


class MeasuringBudget:
    """What one VM may spend on measuring one service."""

    def __init__(self) -> None:
        self._bucket = TokenBucket(0.0, 0.0)
        self.spent_ms = 0.0

    def set_share(self, budget_ms_per_s: float, owned: int, total: int, now_ms: float) -> None:
        """Take the service's budget and the share of its endpoints that this VM owns."""
        share = budget_ms_per_s * SAFETY * owned / max(1, total)
        self._bucket.set_rate(share, max(share, 0.0), now_ms)

    def take_probe(self, now_ms: float) -> bool:
        """Return whether a probe, with the connection it may need, is within the budget."""
        cost_ms = PROBE_COST_MS + CONNECTION_COST_MS
        if not self._bucket.take(cost_ms, now_ms):
            return False
        self.spent_ms += cost_ms
        return True
