"""The probe budget (`Policy.measuring_ms_per_s`) and the schedule of the probes.

Layer: coordination.  The budget limits the time spent on probes of a service, and applies to all
VMs together.  Each owner gets a share in proportion to the endpoints that it owns, and uses only
half of it: while two VMs disagree, an endpoint may briefly have two owners, and the sum still stays
within the budget.  VMs that don't reach the others use only their group's share of the fleet, as
each group takes all endpoints for its own.  A probe that takes longer than its estimated cost is
charged against later ones, so the limit holds over a few seconds.

A daemon's own time is limited too: its routers share one rate limit for load probes.  With
thousands of idle endpoints each of these is then probed less often; endpoints that serve requests
report their state without a probe.
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
BUDGET_SAFETY_FACTOR = 0.5
EVIDENCE_LIFETIME_MS = 5_000.0
CHECK_EVERY_MS = 250.0
PROBES_PER_S = 8
HEALTH_EVERY_MS = 1_000.0
TURN_LIFETIME_MS = 1_000.0


class ProbeBudget:
    """The time that one VM may spend on probes of one service."""

    def __init__(self) -> None:
        self._bucket = TokenBucket(0.0, 0.0)
        self.spent_ms = 0.0

    def set_share(self, share_ms_per_s: float, now_ms: float) -> None:
        """Set this VM's share of the service's budget."""
        cost_ms = PROBE_COST_MS + CONNECTION_COST_MS
        capacity_ms = max(share_ms_per_s, cost_ms) if share_ms_per_s else 0.0
        self._bucket.set_rate(share_ms_per_s, capacity_ms, now_ms)

    def try_take_probe(self, now_ms: float) -> bool:
        """Charge a probe, with the connection it may need, if it is within the budget.

        Returns whether it is.
        """
        if not self._bucket.try_take(PROBE_WITH_CONNECTION_MS, now_ms):
            return False
        self.spent_ms += PROBE_WITH_CONNECTION_MS
        return True

    def charge_overrun(self, latency_ms: float, now_ms: float) -> None:
        """Charge the time that a probe took beyond its estimated cost, which delays later ones."""
        overrun_ms = max(0.0, latency_ms - PROBE_COST_MS - CONNECTION_COST_MS)
        self._bucket.charge(overrun_ms, now_ms)
        self.spent_ms += overrun_ms

    def next_probe_ms(self, now_ms: float) -> float:
        """Return when the budget next allows a probe."""
        return self._bucket.ready_ms(PROBE_WITH_CONNECTION_MS, now_ms)


class ProbeSpacing:
    """Spaces out the probes of a daemon, in the order of their bookings.

    >>> turns = ProbeSpacing(probes_per_s=10)
    >>> turns.book(0.0), turns.book(0.0), turns.book(500.0)
    (0.0, 100.0, 500.0)
    """

    def __init__(self, probes_per_s: float = PROBES_PER_S) -> None:
        self._spacing_ms = 1_000.0 / probes_per_s
        self._next_ms = -math.inf

    def book(self, now_ms: float) -> float:
        """Book the next free turn and return its time."""
        turn_ms = max(now_ms, self._next_ms)
        self._next_ms = turn_ms + self._spacing_ms
        return turn_ms


class ProbeSchedule:
    """Selects the owned endpoints to probe, within the budget.

    Endpoints without recent evidence get a load probe.  Endpoints that have rejected a request,
    which may mean load shedding or a drain, and endpoints known to be draining get a health probe.

    `turns` limits the load probes per second of all routers that share it.
    """

    def __init__(self, turns: ProbeSpacing | None = None) -> None:
        self.budget = ProbeBudget()
        self._turns = turns or ProbeSpacing()
        self._turn_ms = -math.inf
        self._probing: set[str] = set()
        self.next_check_ms = 0.0
        self._checked_ms = -math.inf

    def schedule_check(self) -> None:
        """Schedule a check soon, after a change of the owned endpoints or of one's state."""
        self.next_check_ms = min(self.next_check_ms, self._checked_ms + CHECK_EVERY_MS)

    def probe_ended(self, address: str, latency_ms: float, now_ms: float) -> None:
        """Record the end of a probe and the time that it took."""
        self._probing.discard(address)
        self.budget.charge_overrun(latency_ms, now_ms)
        self.schedule_check()

    def due_probes(
        self, owned: Callable[[], Iterable[EndpointStats]], now_ms: float
    ) -> list[Probe]:
        """Return the probes to start now.

        Health probes go first, because they end requests that would only be rejected.
        """
        if now_ms < self.next_check_ms:
            return []
        self._checked_ms = now_ms
        idle = [stats for stats in owned() if self._has_no_probe(stats)]
        due: list[Probe] = []
        for stats in idle:
            if _health_due(stats, now_ms) and self.budget.try_take_probe(now_ms):
                due.append(self._start_probe(stats, True, now_ms))
        for stats in idle:
            if (
                self._has_no_probe(stats)
                and _load_due(stats, now_ms)
                and self._try_take_turn(now_ms)
            ):
                due.append(self._start_probe(stats, False, now_ms))
        due_times_ms = [self._next_due_ms(stats) for stats in idle if self._has_no_probe(stats)]
        self.next_check_ms = max(
            min(due_times_ms, default=math.inf),
            self.budget.next_probe_ms(now_ms),
            now_ms + CHECK_EVERY_MS,
        )
        return due

    def _has_no_probe(self, stats: EndpointStats) -> bool:
        return stats.endpoint.address not in self._probing

    def _next_due_ms(self, stats: EndpointStats) -> float:
        """Return when an endpoint next needs a probe; load probes wait for their turn."""
        health_ms = stats.health_probed_ms + HEALTH_EVERY_MS
        if stats.draining:
            return health_ms
        load_ms = max(stats.last_evidence_ms + EVIDENCE_LIFETIME_MS, self._turn_ms)
        return min(health_ms, load_ms) if stats.refused else load_ms

    def _try_take_turn(self, now_ms: float) -> bool:
        """Return whether the budget allows a probe and the booked turn has come; if so, charge it.

        Without a valid booking, a turn is booked.  A booking expires `TURN_LIFETIME_MS` after its
        time.
        """
        if self.budget.next_probe_ms(now_ms) > now_ms:
            return False
        if self._turn_ms + TURN_LIFETIME_MS < now_ms:
            self._turn_ms = self._turns.book(now_ms)
        if now_ms < self._turn_ms:
            return False
        self._turn_ms = -math.inf
        return self.budget.try_take_probe(now_ms)

    def _start_probe(self, stats: EndpointStats, health: bool, now_ms: float) -> Probe:
        if health:
            stats.health_probed_ms = now_ms
            stats.refused = False
        else:
            stats.last_evidence_ms = now_ms
        self._probing.add(stats.endpoint.address)
        return Probe(stats.endpoint.address, health)


def probe_budget_share(owned: int, total: int, homes: HomesChanged) -> float:
    """Return the share of a service's budget for a VM that owns `owned` of its `total` endpoints.

    A VM that is not a home gets none.  A home that treats the endpoints of unreachable homes as its
    own does not get their share of the budget too.
    """
    if homes.own_vm not in homes.homes or not total:
        return 0.0
    return BUDGET_SAFETY_FACTOR * min(owned / total, LOCAL_SHARE_FACTOR / len(homes.homes))


def _health_due(stats: EndpointStats, now_ms: float) -> bool:
    is_needed = stats.refused or stats.draining
    return is_needed and now_ms - stats.health_probed_ms >= HEALTH_EVERY_MS


def _load_due(stats: EndpointStats, now_ms: float) -> bool:
    fresh = now_ms - stats.last_evidence_ms < EVIDENCE_LIFETIME_MS
    return not (fresh or stats.used or stats.draining or _health_due(stats, now_ms))
