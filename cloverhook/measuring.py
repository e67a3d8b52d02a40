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
from cloverhook.ownership import LOCAL_SHARE_FACTOR
from cloverhook.routing_events import HomesChanged, Probe
from cloverhook.token_bucket import TokenBucket

__all__ = [
    "CONNECTION_COST_MS",
    "PROBES_PER_S",
    "PROBE_COST_MS",
    "ProbeBudget",
    "ProbeSchedule",
    "ProbeSpacing",
    "probe_budget_share",
]

PROBE_COST_MS = 6.0
CONNECTION_COST_MS = 1.0
PROBE_WITH_CONNECTION_MS = PROBE_COST_MS + CONNECTION_COST_MS
SAFETY = 0.5
EVIDENCE_LIFETIME_MS = 5_000.0
CHECK_EVERY_MS = 250.0
PROBES_PER_S = 8
HEALTH_EVERY_MS = 1_000.0
TURN_LIFETIME_MS = 1_000.0


class ProbeBudget:
    """What one VM may spend on measuring one service."""

    def __init__(self) -> None:
        self._bucket = TokenBucket(0.0, 0.0)
        self.spent_ms = 0.0

    def set_share(self, share_ms_per_s: float, now_ms: float) -> None:
        """Take this VM's share of the service's budget."""
        cost_ms = PROBE_COST_MS + CONNECTION_COST_MS
        capacity_ms = max(share_ms_per_s, cost_ms) if share_ms_per_s else 0.0
        self._bucket.set_rate(share_ms_per_s, capacity_ms, now_ms)

    def try_take_probe(self, now_ms: float) -> bool:
        """Return whether a probe, with the connection it may need, is within the budget."""
        if not self._bucket.try_take(PROBE_WITH_CONNECTION_MS, now_ms):
            return False
        self.spent_ms += PROBE_WITH_CONNECTION_MS
        return True

    def charge_overrun(self, latency_ms: float, now_ms: float) -> None:
        """Take the time that a probe took; what is more than its cost is paid off later."""
        more_ms = max(0.0, latency_ms - PROBE_COST_MS - CONNECTION_COST_MS)
        self._bucket.charge(more_ms, now_ms)
        self.spent_ms += more_ms

    def next_probe_ms(self, now_ms: float) -> float:
        """Return when a probe is next within the budget."""
        return self._bucket.ready_ms(PROBE_WITH_CONNECTION_MS, now_ms)


class ProbeSpacing:
    """Spaces the probes of a daemon: whoever books first has the first turn.

    >>> turns = ProbeSpacing(probes_per_s=10)
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


class ProbeSchedule:
    """Finds the owned endpoints to probe, within the budget.

    The load is asked for where nothing has been heard for long, the health where a request was
    refused, which may be shedding or a drain, and where a drain is known.

    `turns` bounds the probes a second, for all routers that share it.
    """

    def __init__(self, turns: ProbeSpacing | None = None) -> None:
        self.budget = ProbeBudget()
        self._turns = turns or ProbeSpacing()
        self._turn_ms = -math.inf
        self._under_way: set[str] = set()
        self.next_check_ms = 0.0
        self._looked_ms = -math.inf

    def schedule_check(self) -> None:
        """Look soon: other endpoints are owned, or something has been heard of one."""
        self.next_check_ms = min(self.next_check_ms, self._looked_ms + CHECK_EVERY_MS)

    def probe_ended(self, address: str, latency_ms: float, now_ms: float) -> None:
        """Take the end of a probe and the time that it took."""
        self._under_way.discard(address)
        self.budget.charge_overrun(latency_ms, now_ms)
        self.schedule_check()

    def due_probes(
        self, owned: Callable[[], Iterable[EndpointStats]], now_ms: float
    ) -> list[Probe]:
        """Return the probes to make now; those of health, which end needless requests, go first."""
        if now_ms < self.next_check_ms:
            return []
        self._looked_ms = now_ms
        idle = [stats for stats in owned() if self._idle(stats)]
        due: list[Probe] = []
        for stats in idle:
            if _health_due(stats, now_ms) and self.budget.try_take_probe(now_ms):
                due.append(self._begin(stats, True, now_ms))
        for stats in idle:
            if self._idle(stats) and _load_due(stats, now_ms) and self._take_turn(now_ms):
                due.append(self._begin(stats, False, now_ms))
        wanted_ms = [self._next_due_ms(stats) for stats in idle if self._idle(stats)]
        self.next_check_ms = max(
            min(wanted_ms, default=math.inf),
            self.budget.next_probe_ms(now_ms),
            now_ms + CHECK_EVERY_MS,
        )
        return due

    def _idle(self, stats: EndpointStats) -> bool:
        return stats.endpoint.address not in self._under_way

    def _next_due_ms(self, stats: EndpointStats) -> float:
        """Return when an endpoint next needs a probe; the load is asked for in turn only."""
        health_ms = stats.health_probed_ms + HEALTH_EVERY_MS
        if stats.draining:
            return health_ms
        load_ms = max(stats.last_evidence_ms + EVIDENCE_LIFETIME_MS, self._turn_ms)
        return min(health_ms, load_ms) if stats.refused else load_ms

    def _take_turn(self, now_ms: float) -> bool:
        """Return whether a probe is paid for and its turn has come; else keep or book a turn."""
        if self.budget.next_probe_ms(now_ms) > now_ms:
            return False
        if self._turn_ms + TURN_LIFETIME_MS < now_ms:
            self._turn_ms = self._turns.book(now_ms)
        if now_ms < self._turn_ms:
            return False
        self._turn_ms = -math.inf
        return self.budget.try_take_probe(now_ms)

    def _begin(self, stats: EndpointStats, health: bool, now_ms: float) -> Probe:
        if health:
            stats.health_probed_ms = now_ms
            stats.refused = False
        else:
            stats.last_evidence_ms = now_ms
        self._under_way.add(stats.endpoint.address)
        return Probe(stats.endpoint.address, health)


def probe_budget_share(owned: int, total: int, homes: HomesChanged) -> float:
    """Return the share of a service's budget for a VM that owns some of all its endpoints.

    Only a home spends any, and one that has lost sight of the others not their part too.
    """
    if homes.own_vm not in homes.homes or not total:
        return 0.0
    return SAFETY * min(owned / total, LOCAL_SHARE_FACTOR / len(homes.homes))


def _health_due(stats: EndpointStats, now_ms: float) -> bool:
    asked = stats.refused or stats.draining
    return asked and now_ms - stats.health_probed_ms >= HEALTH_EVERY_MS


def _load_due(stats: EndpointStats, now_ms: float) -> bool:
    fresh = now_ms - stats.last_evidence_ms < EVIDENCE_LIFETIME_MS
    return not (fresh or stats.used or stats.draining or _health_due(stats, now_ms))
