"""Decides for one service in one daemon which request is sent to which endpoint, and when.

Layer: coordination, and free of input and output: `ServiceRouter.handle` takes a typed event and
the current time, and returns typed actions.  The time and the random source are passed in, so a
benchmark, a test and the daemon all drive the same code.

>>> import random
>>> from cloverhook.fleet import Endpoint, Policy, Priority
>>> from cloverhook.routing_events import Arrival, EndpointsChanged
>>> router = ServiceRouter(random.Random(1))
>>> router.handle(EndpointsChanged((Endpoint("10.0.0.1:80", "papine", slots=1),), Policy()), 0.0)
()
>>> router.handle(Arrival("r1", Priority.HIGH, deadline_ms=100.0, idempotent=True), 0.0)
(Start(request_id='r1', address='10.0.0.1:80'),)
"""

import math
import random
from collections.abc import Iterable
from functools import singledispatchmethod

from cloverhook.endpoint_stats import DRAINING_EVIDENCE, EndpointState
from cloverhook.endpoint_table import EndpointTable
from cloverhook.errors import ErrorKind
from cloverhook.fleet import Endpoint, Policy
from cloverhook.lending import PeerSlotRequest
from cloverhook.messages import SlotGrant, SlotRequest, SlotReturn
from cloverhook.ownership import assign_owners
from cloverhook.probe_schedule import ProbeSchedule, ProbeSpacing, probe_budget_share
from cloverhook.request_queue import PendingRequest, RequestQueue
from cloverhook.retry_after import RetryAfterTimes
from cloverhook.retry_budget import RetryBudget
from cloverhook.routing_events import (
    FINAL_KINDS,
    NOT_RUN_RESULTS,
    Action,
    Arrival,
    AttemptEnded,
    AttemptResult,
    CallerDisconnected,
    DrainReported,
    EndpointsChanged,
    Event,
    GroupShareChanged,
    HomesChanged,
    PeerMessageReceived,
    ProbeEnded,
    Reject,
    SendMessage,
    Start,
    Tick,
)
from cloverhook.slot_exchange import IDLE_LOAN_MS, SlotExchange
from cloverhook.token_bucket import TokenBucket

__all__ = ["PEER_BYTES_PER_S", "ServiceRouter"]

MAX_ATTEMPTS = 3
PEER_BYTES_PER_S = 15_000
"""Limits the messages about lending that all services of a daemon send together."""
UNOWNED_CHOICES = 2
PEER_WAIT_MS = 10.0
"""A request that has waited longer uses a slow endpoint rather than wait for a peer's slot."""
QUEUE_TICK_MS = 10.0
MIN_TICK_MS = 1.0


class ServiceRouter:
    """Makes the routing decisions for one service.

    `service` is its name in messages to other VMs.  `peer_bytes` limits the rate of the bytes of
    these messages, and `turns` spaces out its probes.  The routers of a daemon may share both.
    """

    def __init__(
        self,
        source: random.Random,
        service: str = "",
        peer_bytes: TokenBucket | None = None,
        turns: ProbeSpacing | None = None,
    ) -> None:
        self._random = source
        self._policy = Policy()
        self._table = EndpointTable()
        own_bytes = TokenBucket(PEER_BYTES_PER_S, PEER_BYTES_PER_S)
        self._slot_exchange = SlotExchange(service, peer_bytes or own_bytes)
        self._queue = RequestQueue()
        self._open_requests: dict[str, PendingRequest] = {}
        self._retry_budget = RetryBudget()
        self._retry_after = RetryAfterTimes(source)
        self._probe_schedule = ProbeSchedule(turns)
        self._homes = HomesChanged("", ())
        self._group_share = 1.0
        self._endpoints: list[Endpoint] = []

    def owns(self, address: str) -> bool:
        """Return whether this VM owns an endpoint."""
        return self._table.owns(address)

    def state_of(self, address: str, now_ms: float) -> EndpointState:
        """Return how this VM sees an endpoint; one that is unknown counts as well."""
        stats = self._table.get(address)
        return EndpointState.WELL if stats is None else stats.state(now_ms)

    @singledispatchmethod
    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Process an event and return the resulting actions; `now_ms` is the current time."""
        raise TypeError(f"unsupported event type: {event!r}")

    @handle.register
    def _(self, event: Arrival, now_ms: float) -> tuple[Action, ...]:
        request = PendingRequest(event, now_ms)
        self._open_requests[event.request_id] = request
        if event.attempt == 1:
            self._retry_budget.count_request(self._policy.retry_ratio)
        return tuple(self._place(request, now_ms))

    @handle.register
    def _(self, event: AttemptEnded, now_ms: float) -> tuple[Action, ...]:
        self._table.record_end(event, now_ms)
        if event.result is not AttemptResult.ANSWERED or event.server_draining:
            self._probe_schedule.schedule_check()
        actions = self._release_loan(event, now_ms)
        if event.wants_retry:
            actions.extend(self._retry(event, now_ms))
        else:
            self._open_requests.pop(event.request_id, None)
        actions.extend(self._assign_slots(now_ms))
        return tuple(actions)

    @handle.register
    def _(self, event: DrainReported, now_ms: float) -> tuple[Action, ...]:
        self._table.record_draining(event.address, now_ms)
        self._probe_schedule.schedule_check()
        return ()

    @handle.register
    def _(self, event: CallerDisconnected, now_ms: float) -> tuple[Action, ...]:
        request = self._open_requests.pop(event.request_id, None)
        if request is not None:
            self._queue.remove(request)
        return ()

    @handle.register
    def _(self, event: EndpointsChanged, now_ms: float) -> tuple[Action, ...]:
        self._policy = event.policy
        self._table.configure(event.endpoints)
        self._update_ownership(now_ms)
        if not self._endpoints:
            return tuple(self._reject_all_queued(ErrorKind.NO_BACKEND_SERVER, now_ms))
        return tuple(self._assign_slots(now_ms))

    @handle.register
    def _(self, event: HomesChanged, now_ms: float) -> tuple[Action, ...]:
        self._homes = event
        self._update_ownership(now_ms)
        return tuple(self._assign_slots(now_ms))

    @handle.register
    def _(self, event: GroupShareChanged, now_ms: float) -> tuple[Action, ...]:
        self._group_share = event.share
        self._update_probe_budget(now_ms)
        return ()

    @handle.register
    def _(self, event: PeerMessageReceived, now_ms: float) -> tuple[Action, ...]:
        if self._slot_exchange.record_message(event.vm, now_ms):
            self._update_ownership(now_ms)
        match event.message:
            case SlotRequest():
                return tuple(self._handle_slot_request(event.vm, event.message, now_ms))
            case SlotGrant():
                return tuple(self._handle_grant(event.vm, event.message, now_ms))
            case SlotReturn(_, addresses, failure_evidence):
                for address, evidence in zip(addresses, failure_evidence, strict=False):
                    if self._slot_exchange.lent.record_return(event.vm, address):
                        self._table.release_lent(address, evidence, now_ms)
                return tuple(self._assign_slots(now_ms))
        return ()

    @handle.register
    def _(self, event: ProbeEnded, now_ms: float) -> tuple[Action, ...]:
        self._probe_schedule.probe_ended(event.address, event.latency_ms, now_ms)
        stats = self._table.get(event.address)
        if stats is not None:
            self._table.record_probe(stats, event, now_ms)
        return tuple(self._assign_slots(now_ms))

    @handle.register
    def _(self, event: Tick, now_ms: float) -> tuple[Action, ...]:
        if self._slot_exchange.detect_unresponsive(now_ms):
            self._update_ownership(now_ms)
        self._table.end_backoffs(now_ms)
        actions: list[Action] = []
        for request in self._queue.pop_overdue(now_ms, self._open_requests):
            actions.append(self._reject_expired(request, now_ms))
        for address in self._slot_exchange.lent.pop_expired(now_ms):
            self._table.release_lent(address, 0, now_ms)
        all_back_off = self._table.first_backoff_end_ms(now_ms) is not None
        if len(self._queue) and self._no_endpoint_works() and not all_back_off:
            actions.extend(self._reject_all_queued(ErrorKind.NO_BACKEND_SERVER, now_ms))
        actions.extend(self._assign_slots(now_ms))
        actions.extend(self._probe_schedule.due_probes(self._table.owned, now_ms))
        return tuple(actions)

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Return when the router next needs a `Tick`, or None if it needs none before an event."""
        waiting = len(self._queue) > 0
        wake_ms = min(
            self._probe_schedule.next_check_ms, self._slot_exchange.next_wake_ms(now_ms, waiting)
        )
        if waiting:
            wake_ms = min(wake_ms, self._queue.next_expiry_ms(), now_ms + QUEUE_TICK_MS)
        wake_ms = min(wake_ms, self._table.next_backoff_end_ms())
        return None if wake_ms == math.inf else max(wake_ms, now_ms + MIN_TICK_MS)

    def _update_ownership(self, now_ms: float) -> None:
        """Recompute which endpoints this VM owns.

        Homes that don't answer are left out, and the slots lent to them are reclaimed.  If no home
        remains, this VM treats all endpoints as its own.
        """
        self._endpoints = self._table.configured_endpoints()
        own = self._homes.own_vm
        peers = [vm for vm in self._homes.homes if vm != own]
        self._slot_exchange.set_owners(peers)
        unresponsive = self._slot_exchange.unresponsive_owners()
        for vm in unresponsive:
            for address in self._slot_exchange.lent.reclaim_all(vm):
                self._table.release_lent(address, 0, now_ms)
        homes = [vm for vm in self._homes.homes if vm not in unresponsive]
        if homes:
            owner_of = assign_owners(self._endpoints, homes, self._homes.data_centers)
            owned = [address for address, vm in owner_of.items() if vm == own]
        else:
            owned = [endpoint.address for endpoint in self._endpoints]
        self._table.set_owned(owned, self._homes.data_centers.get(own, ""), now_ms)
        self._update_probe_budget(now_ms)
        self._probe_schedule.schedule_check()

    def _update_probe_budget(self, now_ms: float) -> None:
        owned, total = self._table.owned_count, len(self._endpoints)
        share = self._group_share * probe_budget_share(owned, total, self._homes)
        self._probe_schedule.budget.set_share(self._policy.measuring_ms_per_s * share, now_ms)

    def _place(self, request: PendingRequest, now_ms: float, avoid: str = "") -> list[Action]:
        request_id = request.arrival.request_id
        self._table.end_backoffs(now_ms)
        backoff_end_ms = self._table.first_backoff_end_ms(now_ms)
        if backoff_end_ms is not None:
            return self._await_backoff_end(request, backoff_end_ms, now_ms)
        if not self._endpoints or self._no_endpoint_works():
            stats = self._table.choose(now_ms, 0.0) if self._endpoints else None
            if stats is None:
                return [self._reject(request, ErrorKind.NO_BACKEND_SERVER, 0.0)]
            return [self._start(request, stats.endpoint.address, now_ms)]
        if not len(self._queue):
            address = self._find_slot(request_id, now_ms, avoid)
            if address is not None:
                return [self._start(request, address, now_ms)]
        wait_ms = self._wait_ms(self._queue.count_ahead(request.arrival.priority))
        if now_ms + wait_ms + self._table.model.mean_ms / 2 > request.arrival.deadline_ms:
            return [self._reject(request, ErrorKind.OVERLOADED, wait_ms)]
        give_up_ms = min(
            request.arrival.deadline_ms, request.arrived_ms + self._policy.wait_limit_ms
        )
        self._queue.add(request, give_up_ms)
        return [*self._assign_slots(now_ms), *self._shed(now_ms)]

    def _await_backoff_end(
        self, request: PendingRequest, end_ms: float, now_ms: float
    ) -> list[Action]:
        """Queue a request until the first endpoint takes requests again, or reject it at once."""
        give_up_ms = min(
            request.arrival.deadline_ms, request.arrived_ms + self._policy.wait_limit_ms
        )
        if end_ms + self._table.model.mean_ms / 2 > give_up_ms:
            return [self._reject(request, ErrorKind.BACKING_OFF, 0.0, end_ms - now_ms)]
        self._queue.add(request, give_up_ms)
        return []

    def _find_slot(self, request_id: str, now_ms: float, avoid: str = "") -> str | None:
        wait_ms = self._wait_ms(len(self._queue))
        stats = self._table.choose(now_ms, wait_ms, avoid, self._may_wait_for_peer(now_ms))
        if stats is not None:
            return stats.endpoint.address
        address = self._slot_exchange.borrowed.use_idle(request_id)
        if (
            address is None
            and not self._table.owned_count
            and not self._slot_exchange.can_send_request(now_ms)
        ):
            return self._choose_unowned(avoid, now_ms)
        return address

    def _may_wait_for_peer(self, now_ms: float) -> bool:
        """Return whether a peer may still lend a slot to the first queued request in time."""
        first = self._queue.first()
        waited_ms = 0.0 if first is None else now_ms - first.arrived_ms
        return waited_ms < PEER_WAIT_MS and self._slot_exchange.has_responsive_peer()

    def _choose_unowned(self, avoid: str, now_ms: float) -> str | None:
        """Return the endpoint with the fewest of this VM's requests among a few random ones.

        A VM that owns no endpoints uses this when its byte budget for slot requests is used up.
        """
        addresses = [address for address in self._table.accepting(now_ms) if address != avoid]
        if not addresses:
            return None
        candidates = self._random.sample(addresses, min(UNOWNED_CHOICES, len(addresses)))
        return self._table.least_used(candidates)

    def _start(self, request: PendingRequest, address: str, now_ms: float) -> Start:
        request.attempts += 1
        self._retry_after.record_admission()
        self._table.record_start(request.arrival.request_id, address, now_ms)
        return Start(request.arrival.request_id, address)

    def _assign_slots(self, now_ms: float) -> list[Action]:
        """Assign free slots to queued requests and to slot requests of other VMs, in order."""
        actions: list[Action] = []
        grants: dict[str, list[str]] = {}
        can_lend = True
        while True:
            slot_request = self._slot_exchange.best_request(now_ms) if can_lend else None
            if slot_request is not None and self._slot_exchange.precedes_own_queue(
                slot_request, self._queue, now_ms
            ):
                can_lend = self._grant_slot(slot_request, grants, now_ms)
                continue
            request = self._queue.first()
            if request is None:
                break
            address = self._find_slot(request.arrival.request_id, now_ms)
            if address is None:
                break
            self._queue.remove(request)
            actions.append(self._start(request, address, now_ms))
        for vm, addresses in grants.items():
            actions.append(self._slot_exchange.grant_slots(vm, addresses, True, now_ms))
        if not len(self._queue):
            idle = self._slot_exchange.borrowed.pop_idle_since(now_ms - IDLE_LOAN_MS)
            actions.extend(self._slot_exchange.return_slots(idle, {}, now_ms))
        actions.extend(self._update_slot_requests(now_ms))
        return actions

    def _grant_slot(
        self, slot_request: PeerSlotRequest, grants: dict[str, list[str]], now_ms: float
    ) -> bool:
        stats = self._table.find_lendable()
        if stats is None or not self._slot_exchange.can_send_grant(now_ms):
            return False
        slot_request.granted += 1
        address = stats.endpoint.address
        self._table.lend(stats, now_ms)
        self._slot_exchange.lent.add(slot_request.vm, address, now_ms)
        grants.setdefault(slot_request.vm, []).append(address)
        return True

    def _update_slot_requests(self, now_ms: float) -> list[Action]:
        if not len(self._queue):
            return list(self._slot_exchange.withdraw_requests(now_ms))
        wait_ms = self._own_wait_ms(len(self._queue))
        messages = self._slot_exchange.request_slots(self._queue, wait_ms, now_ms)
        return list(messages)

    def _handle_slot_request(self, vm: str, message: SlotRequest, now_ms: float) -> list[Action]:
        self._slot_exchange.record_request(vm, message, now_ms)
        actions = self._assign_slots(now_ms)
        answered = any(isinstance(item, SendMessage) and item.vm == vm for item in actions)
        if message.waiting and not answered:
            actions.append(
                self._slot_exchange.grant_slots(vm, (), self._owns_working_endpoint(), now_ms)
            )
        return actions

    def _handle_grant(self, vm: str, message: SlotGrant, now_ms: float) -> list[Action]:
        accepting = self._table.accepting(now_ms)
        usable = tuple(item for item in message.addresses if item in accepting)
        unusable = [(item, vm) for item in message.addresses if item not in accepting]
        self._slot_exchange.record_grant(vm, message, usable, now_ms)
        return [*self._return_unusable(unusable, now_ms), *self._assign_slots(now_ms)]

    def _return_unusable(
        self, slots: Iterable[tuple[str, str]], now_ms: float
    ) -> Iterable[SendMessage]:
        """Return slots of endpoints that this VM doesn't know or may not use.

        Each slot is an address and its owner, which then probes the health of a draining endpoint.
        """
        returned = tuple(slots)
        evidence = {
            address: DRAINING_EVIDENCE
            for address, _ in returned
            if self._has_reported_draining(address, now_ms)
        }
        return self._slot_exchange.return_slots(returned, evidence, now_ms)

    def _has_reported_draining(self, address: str, now_ms: float) -> bool:
        stats = self._table.get(address)
        return stats is not None and stats.has_reported_draining(now_ms)

    def _release_loan(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        loan = self._slot_exchange.borrowed.release(event.request_id)
        if loan is None:
            return []
        owner, ends_ms = loan
        must_return = self._slot_exchange.should_return(owner, self._queue, now_ms)
        succeeded = event.result is AttemptResult.ANSWERED
        stats = self._table.get(event.address)
        may_keep = stats is None or stats.accepts(now_ms)
        if succeeded and now_ms < ends_ms and not must_return and may_keep:
            self._slot_exchange.borrowed.add_idle(event.address, owner, ends_ms, now_ms)
            return []
        evidence = int(max(stats.slowness, stats.failures)) if stats is not None else 0
        if self._has_reported_draining(event.address, now_ms):
            evidence = DRAINING_EVIDENCE
        slot = ((event.address, owner),)
        return list(self._slot_exchange.return_slots(slot, {event.address: evidence}, now_ms))

    def _retry(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        request = self._open_requests.get(event.request_id)
        if request is None:
            return []
        may_run_again = event.result in NOT_RUN_RESULTS or request.arrival.idempotent
        allowed = request.attempts < MAX_ATTEMPTS and request.arrival.attempt == 1
        if may_run_again and allowed and self._retry_budget.try_take():
            return self._place(request, now_ms, event.address)
        return [self._reject(request, FINAL_KINDS.get(event.result, ErrorKind.CONNECTION_CUT), 0.0)]

    def _shed(self, now_ms: float) -> list[Action]:
        """Reject requests at once while the expected wait for the whole queue exceeds its limit.

        The newest requests of the lowest priority are rejected first.
        """
        actions: list[Action] = []
        while len(self._queue) and self._wait_ms(len(self._queue)) > self._policy.wait_limit_ms:
            request = self._queue.shed_candidate()
            self._queue.remove(request)
            actions.append(self._reject(request, ErrorKind.OVERLOADED, self._policy.wait_limit_ms))
        return actions

    def _reject_expired(self, request: PendingRequest, now_ms: float) -> Reject:
        if now_ms >= request.arrival.deadline_ms:
            return self._reject(request, ErrorKind.DEADLINE_BEFORE_RUN, 0.0)
        return self._reject(request, ErrorKind.OVERLOADED, self._policy.wait_limit_ms)

    def _reject_all_queued(self, kind: ErrorKind, now_ms: float) -> Iterable[Reject]:
        while (request := self._queue.first()) is not None:
            self._queue.remove(request)
            yield self._reject(request, kind, 0.0)

    def _reject(
        self, request: PendingRequest, kind: ErrorKind, wait_ms: float, unavailable_ms: float = 0.0
    ) -> Reject:
        """Reject a request; until `unavailable_ms` have passed, it would be rejected again."""
        del self._open_requests[request.arrival.request_id]
        after_ms = unavailable_ms + self._retry_after.record_rejection(wait_ms)
        return Reject(request.arrival.request_id, kind, after_ms)

    def _own_wait_ms(self, count: int) -> float:
        slots = self._table.slots + self._slot_exchange.borrowed.count
        if not slots:
            return float("inf")
        return count * self._table.model.mean_ms / slots

    def _wait_ms(self, count: int) -> float:
        slots = self._table.slots + self._slot_exchange.borrowed.count
        if not self._table.owned_count:
            slots = self._table.total_slots
        return count * self._table.model.mean_ms / max(1, slots)

    def _owns_working_endpoint(self) -> bool:
        return self._table.slots > 0

    def _no_endpoint_works(self) -> bool:
        if self._owns_working_endpoint() or self._slot_exchange.borrowed.count:
            return False
        return not self._slot_exchange.has_working_peer()
