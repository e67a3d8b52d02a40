"""The endpoints of a service as one VM sees them: those it owns, those with room, those in doubt.

Layer: coordination.  The healthy endpoints that this VM owns lie in one pool, slow ones in a second
that is used only while waiting would take longer than being slow.  Endpoints on probation get
trial requests when those fall due.
"""

import heapq
from collections.abc import Iterable, Sequence

from cloverhook.endpoint_stats import FAILING_AT, EndpointStats, ProbationReason
from cloverhook.fleet import Endpoint
from cloverhook.latency_model import LatencyModel
from cloverhook.routing_events import AttemptEnded, AttemptResult, ProbeEnded
from cloverhook.slot_pool import SlotPool

__all__ = ["EndpointTable"]

FAILING_SHARE = 1 / 3


class EndpointTable:
    """All endpoints of one service."""

    def __init__(self) -> None:
        self.model = LatencyModel()
        self._all: dict[str, EndpointStats] = {}
        self._owned: frozenset[str] = frozenset()
        self._pool = SlotPool()
        self._slow = SlotPool()
        self._trials: list[tuple[float, str]] = []
        self.total_slots = 0

    @property
    def slots(self) -> int:
        """The slots of the owned endpoints that can be used, slow ones among them."""
        return self._pool.slots + self._slow.slots

    @property
    def owned_count(self) -> int:
        """How many endpoints this VM owns."""
        return len(self._owned)

    def owns(self, address: str) -> bool:
        """Return whether this VM owns an endpoint."""
        return address in self._owned

    def configured_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that are configured and may take work."""
        return [stats.endpoint for stats in self._all.values() if stats.configured]

    def get(self, address: str) -> EndpointStats | None:
        """Return what is known of an endpoint."""
        return self._all.get(address)

    def configure(self, endpoints: Sequence[Endpoint]) -> None:
        """Take the endpoints in force; those that are gone stay until their requests have ended."""
        proven = not self._all
        fresh = {endpoint.address: endpoint for endpoint in endpoints}
        for address, stats in tuple(self._all.items()):
            stats.removed = address not in fresh
            if stats.removed and not stats.used:
                del self._all[address]
        for address, endpoint in fresh.items():
            if address in self._all:
                self._all[address].endpoint = endpoint
                self._all[address].limit = min(self._all[address].limit, endpoint.slots)
            else:
                self._all[address] = EndpointStats.from_endpoint(endpoint, proven)

    def set_owned(self, addresses: Iterable[str], data_center: str, now_ms: float) -> None:
        """Take the endpoints that this VM owns now."""
        self._owned = frozenset(addresses)
        self.total_slots = sum(endpoint.slots for endpoint in self.configured_endpoints())
        self._pool = SlotPool(data_center)
        self._slow = SlotPool(data_center)
        self._trials = []
        for address in self._owned:
            self._sort_in(self._all[address], now_ms)

    def owned(self) -> list[EndpointStats]:
        """Return the endpoints that this VM owns."""
        return [self._all[address] for address in self._owned if address in self._all]

    def choose(
        self, now_ms: float, wait_ms: float, avoid: str = "", may_wait_for_peer: bool = True
    ) -> EndpointStats | None:
        """Return the owned endpoint for a request that would else wait `wait_ms`, or None.

        With no healthy endpoint left, a slow one is used unless the request is patient: another VM
        may have a slot for it.
        """
        trial = self._due_trial(now_ms)
        if trial is not None:
            return trial
        while (stats := self._pool.best(avoid)) is not None:
            if not stats.looks_slow(self.model, now_ms):
                return stats
            self._suspect(stats, ProbationReason.SLOW, now_ms)
        impatient = not self._pool.slots and not may_wait_for_peer
        if impatient or wait_ms + self.model.mean_ms > self.model.slow_mean_ms:
            return self._slow.best(avoid)
        return None

    def find_lendable(self) -> EndpointStats | None:
        """Return a healthy owned endpoint with a slot to lend, or None."""
        return self._pool.best()

    def least_used(self, addresses: Sequence[str]) -> str:
        """Return which of these endpoints has the fewest requests of this VM's in flight."""
        return min(addresses, key=lambda address: self._load_of(self._all[address]))

    def record_start(self, request_id: str, address: str, now_ms: float) -> None:
        """Count a request that starts."""
        stats = self._all[address]
        stats.record_start(request_id, now_ms)
        self.update(stats, now_ms)

    def record_end(self, event: AttemptEnded, now_ms: float) -> None:
        """Take the end of a request and what it says of its endpoint."""
        stats = self._all.get(event.address)
        if stats is None:
            return
        stats.record_end(event.request_id, event.result, event.latency_ms, self.model)
        if event.result is AttemptResult.ANSWERED:
            self.model.observe(event.latency_ms)
            stats.last_evidence_ms = now_ms
            stats.raise_limit()
        if event.load is not None:
            stats.record_load(event.load, now_ms)
        if event.server_draining:
            self._take_draining(stats, True, now_ms)
        self._judge(stats, event.result, now_ms)
        self.update(stats, now_ms)
        if stats.removed and not stats.used:
            del self._all[event.address]

    def lend(self, stats: EndpointStats, now_ms: float) -> None:
        """Count a slot that another VM uses from now on."""
        stats.lent += 1
        self.update(stats, now_ms)

    def release_lent(self, address: str, suspicion: float, now_ms: float) -> None:
        """Count a lent slot as free again."""
        stats = self._all.get(address)
        if stats is None:
            return
        stats.lent = max(0, stats.lent - 1)
        stats.record_peer_evidence(suspicion)
        self.update(stats, now_ms)

    def record_probe(self, stats: EndpointStats, event: ProbeEnded, now_ms: float) -> None:
        """Take what a probe has told."""
        if event.load is not None:
            stats.last_evidence_ms = now_ms
            stats.record_load(event.load, now_ms)
            self.update(stats, now_ms)
        if event.draining is not None:
            self._take_draining(stats, event.draining, now_ms)

    def update(self, stats: EndpointStats, now_ms: float) -> None:
        """Put an endpoint where it belongs after a change."""
        self._pool.update(stats, now_ms)
        self._slow.update(stats, now_ms)

    def _take_draining(self, stats: EndpointStats, draining: bool, now_ms: float) -> None:
        """Take a backend server's word that it takes no new work, or that it does again."""
        if stats.draining != draining:
            stats.draining = draining
            self._sort_in(stats, now_ms)

    def _judge(self, stats: EndpointStats, result: AttemptResult, now_ms: float) -> None:
        if stats.probation_reason:
            if stats.can_end_probation():
                stats.end_probation()
                self._sort_in(stats, now_ms)
        elif result is AttemptResult.NOT_SENT:
            self._suspect(stats, ProbationReason.UNREACHABLE, now_ms)
        elif stats.failures >= FAILING_AT:
            self._suspect(stats, ProbationReason.FAILING, now_ms)
        elif stats.looks_slow(self.model, now_ms):
            self._suspect(stats, ProbationReason.SLOW, now_ms)

    def _suspect(self, stats: EndpointStats, trouble: ProbationReason, now_ms: float) -> None:
        if trouble == ProbationReason.FAILING and not self._may_eject():
            return
        stats.start_probation(trouble, now_ms)
        if stats.endpoint.address in self._owned:
            self._sort_in(stats, now_ms)
        if trouble == ProbationReason.SLOW and not self._pool.slots:
            self.model.relearn()

    def _may_eject(self) -> bool:
        if len(self.configured_endpoints()) == 1:
            return False
        failing = sum(stats.probation_reason == ProbationReason.FAILING for stats in self.owned())
        return failing + 1 <= max(1, len(self._owned) * FAILING_SHARE)

    def _sort_in(self, stats: EndpointStats, now_ms: float) -> None:
        address = stats.endpoint.address
        self._pool.remove(address)
        self._slow.remove(address)
        if address not in self._owned or not stats.takes_work:
            return
        if stats.probation_reason:
            heapq.heappush(self._trials, (stats.next_trial_ms, address))
        if stats.probation_reason == ProbationReason.SLOW:
            self._slow.add(stats, now_ms)
        elif not stats.probation_reason:
            self._pool.add(stats, now_ms)

    def _due_trial(self, now_ms: float) -> EndpointStats | None:
        while self._trials and self._trials[0][0] <= now_ms:
            _, address = heapq.heappop(self._trials)
            stats = self._all.get(address)
            if stats is None or not stats.probation_reason or address not in self._owned:
                continue
            if stats.trial_due(now_ms) and stats.free_slots(now_ms) > 0:
                heapq.heappush(self._trials, (now_ms + stats.trial_ms, address))
                return stats
            heapq.heappush(self._trials, (max(stats.next_trial_ms, now_ms + 5.0), address))
        return None

    def _load_of(self, stats: EndpointStats) -> tuple[bool, int]:
        return (stats.draining or bool(stats.probation_reason), stats.used)
