"""The endpoints of a service at one VM: those it owns, those with free slots, those on probation.

Layer: coordination.  The healthy endpoints that this VM owns are in one pool, and the slow ones in
a second one, which is used only while waiting would take longer than a slow endpoint does.
Endpoints on probation get trial requests when these are due.
"""

import heapq
import math
from collections.abc import Iterable, Sequence

from cloverhook.endpoint_stats import (
    DRAINING_EVIDENCE,
    FAILING_AT,
    EndpointStats,
    ProbationReason,
)
from cloverhook.fleet import Endpoint
from cloverhook.latency_model import LatencyModel
from cloverhook.routing_events import AttemptEnded, AttemptResult, ProbeEnded
from cloverhook.slot_pool import SlotPool

__all__ = ["EndpointTable"]

MAX_FAILING_SHARE = 1 / 3
"""At most this share of the owned endpoints, or one, is on probation for failures at a time."""


class EndpointTable:
    """Holds the state of all endpoints of one service and chooses among those this VM owns."""

    def __init__(self) -> None:
        self.model = LatencyModel()
        self._stats: dict[str, EndpointStats] = {}
        self._owned: frozenset[str] = frozenset()
        self._pool = SlotPool()
        self._slow = SlotPool()
        self._trials: list[tuple[float, str]] = []
        self._backoffs: list[tuple[float, str]] = []
        self.total_slots = 0

    @property
    def slots(self) -> int:
        """The number of slots of the usable owned endpoints, including slow ones."""
        return self._pool.slots + self._slow.slots

    @property
    def owned_count(self) -> int:
        """The number of endpoints that this VM owns."""
        return len(self._owned)

    def owns(self, address: str) -> bool:
        """Return whether this VM owns an endpoint."""
        return address in self._owned

    def configured_endpoints(self) -> list[Endpoint]:
        """Return the endpoints to which the configuration allows new requests."""
        return [stats.endpoint for stats in self._stats.values() if stats.configured]

    def get(self, address: str) -> EndpointStats | None:
        """Return the state of an endpoint, or None if there is none with this address."""
        return self._stats.get(address)

    def configure(self, endpoints: Sequence[Endpoint]) -> None:
        """Set the configured endpoints.

        A removed endpoint is kept until its requests have ended.
        """
        proven = not self._stats
        configured = {endpoint.address: endpoint for endpoint in endpoints}
        for address, stats in tuple(self._stats.items()):
            stats.removed = address not in configured
            if stats.removed and not stats.used:
                del self._stats[address]
        for address, endpoint in configured.items():
            if address in self._stats:
                self._stats[address].endpoint = endpoint
                self._stats[address].limit = min(self._stats[address].limit, endpoint.slots)
            else:
                self._stats[address] = EndpointStats.from_endpoint(endpoint, proven)

    def set_owned(self, addresses: Iterable[str], data_center: str, now_ms: float) -> None:
        """Set the endpoints that this VM owns, and the VM's data centre."""
        self._owned = frozenset(addresses)
        self.total_slots = sum(endpoint.slots for endpoint in self.configured_endpoints())
        self._pool = SlotPool(data_center)
        self._slow = SlotPool(data_center)
        self._trials = []
        for address in self._owned:
            self._place_in_pool(self._stats[address], now_ms)

    def owned(self) -> list[EndpointStats]:
        """Return the state of the endpoints that this VM owns."""
        return [self._stats[address] for address in self._owned if address in self._stats]

    def choose(
        self, now_ms: float, wait_ms: float, avoid: str = "", may_wait_for_peer: bool = True
    ) -> EndpointStats | None:
        """Return the owned endpoint for a request, or None if the request should wait.

        `wait_ms` is how long the request would wait otherwise.  If no healthy endpoint is left, a
        slow one is used unless `may_wait_for_peer` is set: another VM may have a slot for it.
        """
        trial = self._due_trial(now_ms)
        if trial is not None:
            return trial
        while (stats := self._pool.best(avoid)) is not None:
            if not stats.looks_slow(self.model, now_ms):
                return stats
            self._start_probation(stats, ProbationReason.SLOW, now_ms)
        must_use_slow = not self._pool.slots and not may_wait_for_peer
        if must_use_slow or wait_ms + self.model.mean_ms > self.model.slow_mean_ms:
            return self._slow.best(avoid)
        return None

    def find_lendable(self) -> EndpointStats | None:
        """Return a healthy owned endpoint with a free slot to lend, or None."""
        return self._pool.best()

    def accepting(self, now_ms: float) -> list[str]:
        """Return the addresses of all endpoints, owned or not, that accept new requests."""
        return [address for address, stats in self._stats.items() if stats.accepts(now_ms)]

    def least_used(self, addresses: Sequence[str]) -> str:
        """Return the address, of those given, with the fewest requests of this VM in flight.

        Endpoints that are draining or on probation come last.
        """
        return min(addresses, key=lambda address: self._usage_rank(self._stats[address]))

    def record_start(self, request_id: str, address: str, now_ms: float) -> None:
        """Record the start of a request."""
        stats = self._stats[address]
        stats.record_start(request_id, now_ms)
        self.update(stats, now_ms)

    def record_end(self, event: AttemptEnded, now_ms: float) -> None:
        """Record the end of a request and the resulting evidence about its endpoint."""
        stats = self._stats.get(event.address)
        if stats is None:
            return
        if event.backoff_ms:
            self._record_backoff(stats, event, now_ms)
            self._remove_if_unused(stats)
            return
        stats.record_end(event.request_id, event.result, event.latency_ms, self.model)
        if event.result is AttemptResult.ANSWERED:
            self.model.observe(event.latency_ms)
            stats.last_evidence_ms = now_ms
            stats.raise_limit()
        if event.load is not None:
            stats.record_load(event.load, now_ms)
        if event.server_draining:
            self._record_draining(stats, now_ms)
        self._update_probation(stats, event.result, now_ms)
        self.update(stats, now_ms)
        self._remove_if_unused(stats)

    def record_draining(self, address: str, now_ms: float) -> None:
        """Record that a backend server has reported in an answer that it is draining."""
        stats = self._stats.get(address)
        if stats is not None:
            self._record_draining(stats, now_ms)

    def _record_backoff(self, stats: EndpointStats, event: AttemptEnded, now_ms: float) -> None:
        stats.record_rejection(event.request_id, now_ms + event.backoff_ms)
        if event.server_draining:
            stats.drain_reported_ms, stats.draining = now_ms, True
        heapq.heappush(self._backoffs, (stats.backoff_until_ms, event.address))
        self._place_in_pool(stats, now_ms)

    def end_backoffs(self, now_ms: float) -> None:
        """Use the endpoints again whose time without requests is over."""
        while self._backoffs and self._backoffs[0][0] <= now_ms:
            _, address = heapq.heappop(self._backoffs)
            stats = self._stats.get(address)
            if stats is not None and not stats.backs_off(now_ms):
                self._place_in_pool(stats, now_ms)

    def next_backoff_end_ms(self) -> float:
        """Return when the next time without requests ends; infinite if there is none."""
        return self._backoffs[0][0] if self._backoffs else math.inf

    def first_backoff_end_ms(self, now_ms: float) -> float | None:
        """Return when the first endpoint takes requests again, if all of them want none now.

        Endpoints that are draining don't count.  Returns None if one takes requests, or none will.
        """
        if not self._backoffs:
            return None
        first_ms: float | None = None
        for stats in self._stats.values():
            if not stats.takes_work:
                continue
            if not stats.backs_off(now_ms):
                return None
            end_ms = stats.backoff_until_ms
            first_ms = end_ms if first_ms is None else min(first_ms, end_ms)
        return first_ms

    def lend(self, stats: EndpointStats, now_ms: float) -> None:
        """Record that a slot is lent to another VM."""
        stats.lent += 1
        self.update(stats, now_ms)

    def release_lent(self, address: str, evidence: float, now_ms: float) -> None:
        """Record that a lent slot is free again.

        `evidence` is the borrower's evidence of trouble at the endpoint.
        """
        stats = self._stats.get(address)
        if stats is None:
            return
        stats.lent = max(0, stats.lent - 1)
        if evidence >= DRAINING_EVIDENCE:
            stats.refused = True  # The next health probe shows whether it is draining.
        else:
            stats.record_peer_evidence(evidence)
        self.update(stats, now_ms)

    def record_probe(self, stats: EndpointStats, event: ProbeEnded, now_ms: float) -> None:
        """Record the result of a probe."""
        if event.load is not None:
            stats.last_evidence_ms = now_ms
            stats.record_load(event.load, now_ms)
            self.update(stats, now_ms)
        if event.draining is not None:
            self._set_draining(stats, event.draining, now_ms)

    def update(self, stats: EndpointStats, now_ms: float) -> None:
        """Update the pools after a change of an endpoint's state."""
        self._pool.update(stats, now_ms)
        self._slow.update(stats, now_ms)

    def _remove_if_unused(self, stats: EndpointStats) -> None:
        if stats.removed and not stats.used:
            del self._stats[stats.endpoint.address]

    def _record_draining(self, stats: EndpointStats, now_ms: float) -> None:
        stats.drain_reported_ms = now_ms
        self._set_draining(stats, True, now_ms)

    def _set_draining(self, stats: EndpointStats, draining: bool, now_ms: float) -> None:
        """Record whether a backend server has reported that it accepts no new requests."""
        if stats.draining != draining:
            stats.draining = draining
            self._place_in_pool(stats, now_ms)

    def _update_probation(self, stats: EndpointStats, result: AttemptResult, now_ms: float) -> None:
        if stats.probation_reason:
            if stats.can_end_probation():
                stats.end_probation()
                self._place_in_pool(stats, now_ms)
        elif result is AttemptResult.NOT_SENT:
            self._start_probation(stats, ProbationReason.UNREACHABLE, now_ms)
        elif stats.failures >= FAILING_AT:
            self._start_probation(stats, ProbationReason.FAILING, now_ms)
        elif stats.looks_slow(self.model, now_ms):
            self._start_probation(stats, ProbationReason.SLOW, now_ms)

    def _start_probation(
        self, stats: EndpointStats, reason: ProbationReason, now_ms: float
    ) -> None:
        if reason == ProbationReason.FAILING and not self._may_mark_failing():
            return
        stats.start_probation(reason, now_ms)
        if stats.endpoint.address in self._owned:
            self._place_in_pool(stats, now_ms)
        if reason == ProbationReason.SLOW and not self._pool.slots:
            self.model.relearn()

    def _may_mark_failing(self) -> bool:
        if len(self.configured_endpoints()) == 1:
            return False
        failing = sum(stats.probation_reason == ProbationReason.FAILING for stats in self.owned())
        return failing + 1 <= max(1, len(self._owned) * MAX_FAILING_SHARE)

    def _place_in_pool(self, stats: EndpointStats, now_ms: float) -> None:
        address = stats.endpoint.address
        self._pool.remove(address)
        self._slow.remove(address)
        if address not in self._owned or not stats.takes_work or stats.backs_off(now_ms):
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
            stats = self._stats.get(address)
            if stats is None or not stats.probation_reason or address not in self._owned:
                continue
            if stats.trial_due(now_ms) and stats.free_slots(now_ms) > 0:
                heapq.heappush(self._trials, (now_ms + stats.trial_ms, address))
                return stats
            heapq.heappush(self._trials, (max(stats.next_trial_ms, now_ms + 5.0), address))
        return None

    def _usage_rank(self, stats: EndpointStats) -> tuple[bool, int]:
        return (stats.draining or bool(stats.probation_reason), stats.used)
