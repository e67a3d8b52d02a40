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

from cloverhook.endpoint_table import EndpointTable
from cloverhook.errors import ErrorKind
from cloverhook.fleet import Endpoint, Policy
from cloverhook.lending import Ask
from cloverhook.measuring import Prober, ProbeTurns, budget_share
from cloverhook.messages import SlotAsk, SlotGrant, SlotReturn
from cloverhook.ownership import owners
from cloverhook.retry_after import ReturnTimes
from cloverhook.retry_budget import RetryBudget
from cloverhook.routing_events import (
    FINAL_KINDS,
    NOT_RUN_RESULTS,
    Action,
    Arrival,
    AttemptEnded,
    AttemptResult,
    CallerGone,
    EndpointsChanged,
    Event,
    HomesChanged,
    PeerSaid,
    ProbeEnded,
    Refuse,
    Start,
    Tell,
    Tick,
)
from cloverhook.slot_exchange import IDLE_LOAN_MS, SlotExchange
from cloverhook.token_bucket import TokenBucket
from cloverhook.waiting import Request, WaitingLine

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
        turns: ProbeTurns | None = None,
    ) -> None:
        self._random = source
        self._policy = Policy()
        self._table = EndpointTable()
        own_bytes = TokenBucket(PEER_BYTES_PER_S, PEER_BYTES_PER_S)
        self._slot_exchange = SlotExchange(service, peer_bytes or own_bytes)
        self._queue = WaitingLine()
        self._open_requests: dict[str, Request] = {}
        self._retry_budget = RetryBudget()
        self._retry_after = ReturnTimes(source)
        self._probe_schedule = Prober(turns)
        self._homes = HomesChanged("", ())
        self._endpoints: list[Endpoint] = []

    def owns(self, address: str) -> bool:
        """Return whether this VM owns an endpoint."""
        return self._table.owns(address)

    def trouble_of(self, address: str) -> int:
        """Return why an endpoint is on probation, as a number of `endpoint_stats.Trouble`."""
        stats = self._table.get(address)
        return 0 if stats is None else int(stats.trouble)

    @singledispatchmethod
    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Process an event and return the resulting actions; `now_ms` is the current time."""
        raise TypeError(f"unsupported event type: {event!r}")

    @handle.register
    def _(self, event: Arrival, now_ms: float) -> tuple[Action, ...]:
        request = Request(event, now_ms)
        self._open_requests[event.request_id] = request
        if event.attempt == 1:
            self._retry_budget.earn(self._policy.retry_ratio)
        return tuple(self._place(request, now_ms))

    @handle.register
    def _(self, event: AttemptEnded, now_ms: float) -> tuple[Action, ...]:
        self._table.end(event, now_ms)
        if event.result is not AttemptResult.ANSWERED or event.leaving:
            self._probe_schedule.look_again()
        actions = self._release_loan(event, now_ms)
        if event.again:
            actions.extend(self._retry(event, now_ms))
        else:
            self._open_requests.pop(event.request_id, None)
        actions.extend(self._assign_slots(now_ms))
        return tuple(actions)

    @handle.register
    def _(self, event: CallerGone, now_ms: float) -> tuple[Action, ...]:
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
    def _(self, event: PeerSaid, now_ms: float) -> tuple[Action, ...]:
        if self._slot_exchange.heard(event.vm, now_ms):
            self._update_ownership(now_ms)
        match event.message:
            case SlotAsk():
                return tuple(self._handle_slot_request(event.vm, event.message, now_ms))
            case SlotGrant():
                return tuple(self._handle_grant(event.vm, event.message, now_ms))
            case SlotReturn(_, addresses, suspicion):
                for address, evidence in zip(addresses, suspicion, strict=False):
                    if self._slot_exchange.lent.back(event.vm, address):
                        self._table.take_back(address, evidence, now_ms)
                return tuple(self._assign_slots(now_ms))
        return ()

    @handle.register
    def _(self, event: ProbeEnded, now_ms: float) -> tuple[Action, ...]:
        self._probe_schedule.ended(event.address, event.latency_ms, now_ms)
        stats = self._table.get(event.address)
        if stats is not None:
            self._table.take_probe(stats, event, now_ms)
        return tuple(self._assign_slots(now_ms))

    @handle.register
    def _(self, event: Tick, now_ms: float) -> tuple[Action, ...]:
        if self._slot_exchange.find_silent(now_ms):
            self._update_ownership(now_ms)
        actions: list[Action] = []
        for request in self._queue.overdue(now_ms, self._open_requests):
            actions.append(self._reject_expired(request, now_ms))
        for address in self._slot_exchange.lent.lapsed(now_ms):
            self._table.take_back(address, 0, now_ms)
        if len(self._queue) and self._no_endpoint_works():
            actions.extend(self._reject_all_queued(ErrorKind.NO_BACKEND_SERVER, now_ms))
        actions.extend(self._assign_slots(now_ms))
        actions.extend(self._probe_schedule.due(self._table.owned, now_ms))
        return tuple(actions)

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Return when the router next needs a `Tick`, or None if it needs none before an event."""
        waiting = len(self._queue) > 0
        wake_ms = min(
            self._probe_schedule.next_look_ms, self._slot_exchange.next_wake_ms(now_ms, waiting)
        )
        if waiting:
            wake_ms = min(wake_ms, self._queue.next_end_ms(), now_ms + QUEUE_TICK_MS)
        return None if wake_ms == math.inf else max(wake_ms, now_ms + MIN_TICK_MS)

    def _update_ownership(self, now_ms: float) -> None:
        """Recompute which endpoints this VM owns.

        Homes that don't answer are left out, and the slots lent to them are reclaimed.  If no home
        remains, this VM treats all endpoints as its own.
        """
        self._endpoints = self._table.present()
        own = self._homes.own_vm
        peers = [vm for vm in self._homes.homes if vm != own]
        self._slot_exchange.set_owners(peers)
        unresponsive = self._slot_exchange.silent()
        for vm in unresponsive:
            for address in self._slot_exchange.lent.take_all_back(vm):
                self._table.take_back(address, 0, now_ms)
        homes = [vm for vm in self._homes.homes if vm not in unresponsive]
        if homes:
            owner_of = owners(self._endpoints, homes, self._homes.data_centers)
            owned = [address for address, vm in owner_of.items() if vm == own]
        else:
            owned = [endpoint.address for endpoint in self._endpoints]
        self._table.own(owned, self._homes.data_centers.get(own, ""), now_ms)
        share = budget_share(len(owned), len(self._endpoints), self._homes)
        self._probe_schedule.budget.set_share(self._policy.measuring_ms_per_s * share, now_ms)
        self._probe_schedule.look_again()

    def _place(self, request: Request, now_ms: float, avoid: str = "") -> list[Action]:
        request_id = request.arrival.request_id
        if not self._endpoints or self._no_endpoint_works():
            stats = self._table.choose(now_ms, 0.0) if self._endpoints else None
            if stats is None:
                return [self._reject(request, ErrorKind.NO_BACKEND_SERVER, 0.0)]
            return [self._start(request, stats.endpoint.address, now_ms)]
        if not len(self._queue):
            address = self._find_slot(request_id, now_ms, avoid)
            if address is not None:
                return [self._start(request, address, now_ms)]
        wait_ms = self._wait_ms(self._queue.ahead_of(request.arrival.priority))
        if now_ms + wait_ms + self._table.model.mean_ms / 2 > request.arrival.deadline_ms:
            return [self._reject(request, ErrorKind.OVERLOADED, wait_ms)]
        give_up_ms = min(
            request.arrival.deadline_ms, request.arrived_ms + self._policy.wait_limit_ms
        )
        self._queue.add(request, give_up_ms)
        return [*self._assign_slots(now_ms), *self._shed(now_ms)]

    def _find_slot(self, request_id: str, now_ms: float, avoid: str = "") -> str | None:
        wait_ms = self._wait_ms(len(self._queue))
        stats = self._table.choose(now_ms, wait_ms, avoid, self._may_wait_for_peer(now_ms))
        if stats is not None:
            return stats.endpoint.address
        address = self._slot_exchange.borrowed.take(request_id)
        if (
            address is None
            and not self._table.owned_count
            and not self._slot_exchange.may_ask(now_ms)
        ):
            return self._choose_unowned(avoid)
        return address

    def _may_wait_for_peer(self, now_ms: float) -> bool:
        """Return whether a peer may still lend a slot to the first queued request in time."""
        first = self._queue.first()
        waited_ms = 0.0 if first is None else now_ms - first.arrived_ms
        return waited_ms < PEER_WAIT_MS and self._slot_exchange.has_peers()

    def _choose_unowned(self, avoid: str) -> str | None:
        """Return the endpoint with the fewest of this VM's requests among a few random ones.

        A VM that owns no endpoints uses this when its byte budget for slot requests is used up.
        """
        addresses = [endpoint.address for endpoint in self._endpoints if endpoint.address != avoid]
        if not addresses:
            return None
        candidates = self._random.sample(addresses, min(UNOWNED_CHOICES, len(addresses)))
        return self._table.any_unowned(candidates)

    def _start(self, request: Request, address: str, now_ms: float) -> Start:
        request.attempts += 1
        self._retry_after.admitted()
        self._table.begin(request.arrival.request_id, address, now_ms)
        return Start(request.arrival.request_id, address)

    def _assign_slots(self, now_ms: float) -> list[Action]:
        """Assign free slots to queued requests and to slot requests of other VMs, in order."""
        actions: list[Action] = []
        grants: dict[str, list[str]] = {}
        can_lend = True
        while True:
            slot_request = self._slot_exchange.best_ask(now_ms) if can_lend else None
            if slot_request is not None and self._slot_exchange.goes_first(
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
            actions.append(self._slot_exchange.grant(vm, addresses, True, now_ms))
        if not len(self._queue):
            idle = self._slot_exchange.borrowed.idle_since(now_ms - IDLE_LOAN_MS)
            actions.extend(self._slot_exchange.give_back(idle, {}, now_ms))
        actions.extend(self._update_slot_requests(now_ms))
        return actions

    def _grant_slot(self, slot_request: Ask, grants: dict[str, list[str]], now_ms: float) -> bool:
        stats = self._table.spare()
        if stats is None or not self._slot_exchange.may_grant(now_ms):
            return False
        slot_request.granted += 1
        address = stats.endpoint.address
        self._table.lend(stats, now_ms)
        self._slot_exchange.lent.add(slot_request.vm, address, now_ms)
        grants.setdefault(slot_request.vm, []).append(address)
        return True

    def _update_slot_requests(self, now_ms: float) -> list[Action]:
        if not len(self._queue):
            return list(self._slot_exchange.withdraw(now_ms))
        wait_ms = self._own_wait_ms(len(self._queue))
        messages = self._slot_exchange.asks(self._queue, wait_ms, now_ms)
        return list(messages)

    def _handle_slot_request(self, vm: str, message: SlotAsk, now_ms: float) -> list[Action]:
        self._slot_exchange.take_ask(vm, message, now_ms)
        actions = self._assign_slots(now_ms)
        answered = any(isinstance(item, Tell) and item.vm == vm for item in actions)
        if message.waiting and not answered:
            actions.append(self._slot_exchange.grant(vm, (), self._owns_working_endpoint(), now_ms))
        return actions

    def _handle_grant(self, vm: str, message: SlotGrant, now_ms: float) -> list[Action]:
        known = tuple(item for item in message.addresses if self._table.get(item) is not None)
        unknown = [(item, vm) for item in message.addresses if item not in known]
        self._slot_exchange.take_grant(vm, message, known, now_ms)
        return [*self._slot_exchange.give_back(unknown, {}, now_ms), *self._assign_slots(now_ms)]

    def _release_loan(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        loan = self._slot_exchange.borrowed.release(event.request_id)
        if loan is None:
            return []
        owner, ends_ms = loan
        should_return = self._slot_exchange.wants_back(owner, self._queue, now_ms)
        succeeded = event.result is AttemptResult.ANSWERED
        if succeeded and now_ms < ends_ms and not should_return:
            self._slot_exchange.borrowed.put(event.address, owner, ends_ms, now_ms)
            return []
        stats = self._table.get(event.address)
        evidence = int(max(stats.slowness, stats.failures)) if stats is not None else 0
        slot = ((event.address, owner),)
        return list(self._slot_exchange.give_back(slot, {event.address: evidence}, now_ms))

    def _retry(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        request = self._open_requests.get(event.request_id)
        if request is None:
            return []
        may_run_again = event.result in NOT_RUN_RESULTS or request.arrival.idempotent
        allowed = request.attempts < MAX_ATTEMPTS and request.arrival.attempt == 1
        if may_run_again and allowed and self._retry_budget.take():
            return self._place(request, now_ms, event.address)
        return [self._reject(request, FINAL_KINDS.get(event.result, ErrorKind.CONNECTION_CUT), 0.0)]

    def _shed(self, now_ms: float) -> list[Action]:
        """Reject requests at once while the expected wait for the whole queue exceeds its limit.

        The newest requests of the lowest priority are rejected first.
        """
        actions: list[Action] = []
        while len(self._queue) and self._wait_ms(len(self._queue)) > self._policy.wait_limit_ms:
            request = self._queue.least()
            self._queue.remove(request)
            actions.append(self._reject(request, ErrorKind.OVERLOADED, self._policy.wait_limit_ms))
        return actions

    def _reject_expired(self, request: Request, now_ms: float) -> Refuse:
        if now_ms >= request.arrival.deadline_ms:
            return self._reject(request, ErrorKind.DEADLINE_BEFORE_RUN, 0.0)
        return self._reject(request, ErrorKind.OVERLOADED, self._policy.wait_limit_ms)

    def _reject_all_queued(self, kind: ErrorKind, now_ms: float) -> Iterable[Refuse]:
        while (request := self._queue.first()) is not None:
            self._queue.remove(request)
            yield self._reject(request, kind, 0.0)

    def _reject(self, request: Request, kind: ErrorKind, wait_ms: float) -> Refuse:
        del self._open_requests[request.arrival.request_id]
        return Refuse(request.arrival.request_id, kind, self._retry_after.refused(wait_ms))

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
        return not self._slot_exchange.peers_working()
