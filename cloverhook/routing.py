"""Which endpoint gets which request, and when: the decisions for one service in one daemon.

Layer: coordination, and free of input and output: `ServiceRouter.handle` takes a typed event and
the time, and returns typed actions.  The clock and the random source are passed in, so a
benchmark, a test and the daemon all drive the same object.

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
from cloverhook.lending import PeerSlotRequest
from cloverhook.measuring import ProbeSchedule, ProbeSpacing, probe_budget_share
from cloverhook.messages import SlotGrant, SlotRequest, SlotReturn
from cloverhook.ownership import assign_owners
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
    EndpointsChanged,
    Event,
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
from cloverhook.waiting import PendingRequest, RequestQueue

__all__ = ["PEER_BYTES_PER_S", "ServiceRouter"]

MAX_ATTEMPTS = 3
PEER_BYTES_PER_S = 15_000
DIRECT_CHOICES = 2
PATIENCE_MS = 10.0
WAITING_TICK_MS = 10.0
SHORTEST_TICK_MS = 1.0


class ServiceRouter:
    """The decisions for one service.

    `service` is its name in messages to other VMs; `peer_bytes` bounds the bytes of those messages
    and `turns` spaces its probes; both may be shared by the routers of a daemon.
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
        self._exchange = SlotExchange(service, peer_bytes or own_bytes)
        self._line = RequestQueue()
        self._requests: dict[str, PendingRequest] = {}
        self._retries = RetryBudget()
        self._returns = RetryAfterTimes(source)
        self._prober = ProbeSchedule(turns)
        self._homes = HomesChanged("", ())
        self._present: list[Endpoint] = []

    def owns(self, address: str) -> bool:
        """Return whether this VM owns an endpoint."""
        return self._table.owns(address)

    def probation_reason_of(self, address: str) -> int:
        """Return what is wrong with an endpoint, as `endpoint_stats.ProbationReason` numbers it."""
        stats = self._table.get(address)
        return 0 if stats is None else int(stats.probation_reason)

    @singledispatchmethod
    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Take an event at a time in milliseconds and return the actions it calls for."""
        raise TypeError(f"not an event: {event!r}")

    @handle.register
    def _(self, event: Arrival, now_ms: float) -> tuple[Action, ...]:
        request = PendingRequest(event, now_ms)
        self._requests[event.request_id] = request
        if event.attempt == 1:
            self._retries.count_request(self._policy.retry_ratio)
        return tuple(self._place(request, now_ms))

    @handle.register
    def _(self, event: AttemptEnded, now_ms: float) -> tuple[Action, ...]:
        self._table.record_end(event, now_ms)
        if event.result is not AttemptResult.ANSWERED or event.server_draining:
            self._prober.schedule_check()
        actions = self._release_loan(event, now_ms)
        if event.wants_retry:
            actions.extend(self._retry(event, now_ms))
        else:
            self._requests.pop(event.request_id, None)
        actions.extend(self._share_out(now_ms))
        return tuple(actions)

    @handle.register
    def _(self, event: CallerDisconnected, now_ms: float) -> tuple[Action, ...]:
        request = self._requests.pop(event.request_id, None)
        if request is not None:
            self._line.remove(request)
        return ()

    @handle.register
    def _(self, event: EndpointsChanged, now_ms: float) -> tuple[Action, ...]:
        self._policy = event.policy
        self._table.configure(event.endpoints)
        self._divide(now_ms)
        if not self._present:
            return tuple(self._refuse_all_waiting(ErrorKind.NO_BACKEND_SERVER, now_ms))
        return tuple(self._share_out(now_ms))

    @handle.register
    def _(self, event: HomesChanged, now_ms: float) -> tuple[Action, ...]:
        self._homes = event
        self._divide(now_ms)
        return tuple(self._share_out(now_ms))

    @handle.register
    def _(self, event: PeerMessageReceived, now_ms: float) -> tuple[Action, ...]:
        if self._exchange.record_message(event.vm, now_ms):
            self._divide(now_ms)
        match event.message:
            case SlotRequest():
                return tuple(self._answer_ask(event.vm, event.message, now_ms))
            case SlotGrant():
                return tuple(self._take_grant(event.vm, event.message, now_ms))
            case SlotReturn(_, addresses, suspicion):
                for address, evidence in zip(addresses, suspicion, strict=False):
                    if self._exchange.lent.record_return(event.vm, address):
                        self._table.release_lent(address, evidence, now_ms)
                return tuple(self._share_out(now_ms))
        return ()

    @handle.register
    def _(self, event: ProbeEnded, now_ms: float) -> tuple[Action, ...]:
        self._prober.probe_ended(event.address, event.latency_ms, now_ms)
        stats = self._table.get(event.address)
        if stats is not None:
            self._table.record_probe(stats, event, now_ms)
        return tuple(self._share_out(now_ms))

    @handle.register
    def _(self, event: Tick, now_ms: float) -> tuple[Action, ...]:
        if self._exchange.detect_unresponsive(now_ms):
            self._divide(now_ms)
        actions: list[Action] = []
        for request in self._line.pop_overdue(now_ms, self._requests):
            actions.append(self._refuse_overdue(request, now_ms))
        for address in self._exchange.lent.pop_expired(now_ms):
            self._table.release_lent(address, 0, now_ms)
        if len(self._line) and self._nothing_works():
            actions.extend(self._refuse_all_waiting(ErrorKind.NO_BACKEND_SERVER, now_ms))
        actions.extend(self._share_out(now_ms))
        actions.extend(self._prober.due_probes(self._table.owned, now_ms))
        return tuple(actions)

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Return when the router next needs a `Tick`, or None while only events matter to it."""
        waiting = len(self._line) > 0
        wake_ms = min(self._prober.next_check_ms, self._exchange.next_wake_ms(now_ms, waiting))
        if waiting:
            wake_ms = min(wake_ms, self._line.next_expiry_ms(), now_ms + WAITING_TICK_MS)
        return None if wake_ms == math.inf else max(wake_ms, now_ms + SHORTEST_TICK_MS)

    def _divide(self, now_ms: float) -> None:
        """Work out which endpoints this VM owns, as far as the other homes can be reached."""
        self._present = self._table.configured_endpoints()
        own = self._homes.own_vm
        others = [vm for vm in self._homes.homes if vm != own]
        self._exchange.set_owners(others)
        silent = self._exchange.unresponsive_owners()
        for vm in silent:
            for address in self._exchange.lent.reclaim_all(vm):
                self._table.release_lent(address, 0, now_ms)
        homes = [vm for vm in self._homes.homes if vm not in silent]
        if homes:
            owner_of = assign_owners(self._present, homes, self._homes.data_centers)
            mine = [address for address, vm in owner_of.items() if vm == own]
        else:
            mine = [endpoint.address for endpoint in self._present]
        self._table.set_owned(mine, self._homes.data_centers.get(own, ""), now_ms)
        share = probe_budget_share(len(mine), len(self._present), self._homes)
        self._prober.budget.set_share(self._policy.measuring_ms_per_s * share, now_ms)
        self._prober.schedule_check()

    def _place(self, request: PendingRequest, now_ms: float, avoid: str = "") -> list[Action]:
        request_id = request.arrival.request_id
        if not self._present or self._nothing_works():
            stats = self._table.choose(now_ms, 0.0) if self._present else None
            if stats is None:
                return [self._refuse(request, ErrorKind.NO_BACKEND_SERVER, 0.0)]
            return [self._start(request, stats.endpoint.address, now_ms)]
        if not len(self._line):
            address = self._slot_for(request_id, now_ms, avoid)
            if address is not None:
                return [self._start(request, address, now_ms)]
        wait_ms = self._wait_ms(self._line.count_ahead(request.arrival.priority))
        if now_ms + wait_ms + self._table.model.mean_ms / 2 > request.arrival.deadline_ms:
            return [self._refuse(request, ErrorKind.OVERLOADED, wait_ms)]
        give_up_ms = min(
            request.arrival.deadline_ms, request.arrived_ms + self._policy.wait_limit_ms
        )
        self._line.add(request, give_up_ms)
        return [*self._share_out(now_ms), *self._shed(now_ms)]

    def _slot_for(self, request_id: str, now_ms: float, avoid: str = "") -> str | None:
        wait_ms = self._wait_ms(len(self._line))
        stats = self._table.choose(now_ms, wait_ms, avoid, self._patient(now_ms))
        if stats is not None:
            return stats.endpoint.address
        address = self._exchange.borrowed.use_idle(request_id)
        if (
            address is None
            and not self._table.owned_count
            and not self._exchange.can_send_request(now_ms)
        ):
            return self._direct(avoid)
        return address

    def _patient(self, now_ms: float) -> bool:
        """Return whether another VM may still answer an ask for the first waiting request."""
        first = self._line.first()
        waited_ms = 0.0 if first is None else now_ms - first.arrived_ms
        return waited_ms < PATIENCE_MS and self._exchange.has_responsive_peer()

    def _direct(self, avoid: str) -> str | None:
        """Choose without an owner: of a few endpoints the one with least of this VM's requests.

        This is what a VM that owns nothing does when it may not send asks any more.
        """
        addresses = [endpoint.address for endpoint in self._present if endpoint.address != avoid]
        if not addresses:
            return None
        few = self._random.sample(addresses, min(DIRECT_CHOICES, len(addresses)))
        return self._table.least_used(few)

    def _start(self, request: PendingRequest, address: str, now_ms: float) -> Start:
        request.attempts += 1
        self._returns.record_admission()
        self._table.record_start(request.arrival.request_id, address, now_ms)
        return Start(request.arrival.request_id, address)

    def _share_out(self, now_ms: float) -> list[Action]:
        """Give free slots to the waiting requests and to other VMs' asks, in their order."""
        actions: list[Action] = []
        grants: dict[str, list[str]] = {}
        lending = True
        while True:
            ask = self._exchange.best_request(now_ms) if lending else None
            if ask is not None and self._exchange.precedes_own_queue(ask, self._line, now_ms):
                lending = self._grant_one(ask, grants, now_ms)
                continue
            request = self._line.first()
            if request is None:
                break
            address = self._slot_for(request.arrival.request_id, now_ms)
            if address is None:
                break
            self._line.remove(request)
            actions.append(self._start(request, address, now_ms))
        for vm, addresses in grants.items():
            actions.append(self._exchange.grant_slots(vm, addresses, True, now_ms))
        if not len(self._line):
            idle = self._exchange.borrowed.pop_idle_since(now_ms - IDLE_LOAN_MS)
            actions.extend(self._exchange.return_slots(idle, {}, now_ms))
        actions.extend(self._ask_or_withdraw(now_ms))
        return actions

    def _grant_one(self, ask: PeerSlotRequest, grants: dict[str, list[str]], now_ms: float) -> bool:
        stats = self._table.find_lendable()
        if stats is None or not self._exchange.can_send_grant(now_ms):
            return False
        ask.granted += 1
        address = stats.endpoint.address
        self._table.lend(stats, now_ms)
        self._exchange.lent.add(ask.vm, address, now_ms)
        grants.setdefault(ask.vm, []).append(address)
        return True

    def _ask_or_withdraw(self, now_ms: float) -> list[Action]:
        if not len(self._line):
            return list(self._exchange.withdraw_requests(now_ms))
        wait_ms = self._own_wait_ms(len(self._line))
        tells = self._exchange.request_slots(self._line, wait_ms, now_ms)
        return list(tells)

    def _answer_ask(self, vm: str, message: SlotRequest, now_ms: float) -> list[Action]:
        self._exchange.record_request(vm, message, now_ms)
        actions = self._share_out(now_ms)
        answered = any(isinstance(item, SendMessage) and item.vm == vm for item in actions)
        if message.waiting and not answered:
            actions.append(self._exchange.grant_slots(vm, (), self._owns_working(), now_ms))
        return actions

    def _take_grant(self, vm: str, message: SlotGrant, now_ms: float) -> list[Action]:
        known = tuple(item for item in message.addresses if self._table.get(item) is not None)
        unknown = [(item, vm) for item in message.addresses if item not in known]
        self._exchange.record_grant(vm, message, known, now_ms)
        return [*self._exchange.return_slots(unknown, {}, now_ms), *self._share_out(now_ms)]

    def _release_loan(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        loan = self._exchange.borrowed.release(event.request_id)
        if loan is None:
            return []
        owner, ends_ms = loan
        wanted_back = self._exchange.should_return(owner, self._line, now_ms)
        good = event.result is AttemptResult.ANSWERED
        if good and now_ms < ends_ms and not wanted_back:
            self._exchange.borrowed.add_idle(event.address, owner, ends_ms, now_ms)
            return []
        stats = self._table.get(event.address)
        evidence = int(max(stats.slowness, stats.failures)) if stats is not None else 0
        slot = ((event.address, owner),)
        return list(self._exchange.return_slots(slot, {event.address: evidence}, now_ms))

    def _retry(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        request = self._requests.get(event.request_id)
        if request is None:
            return []
        may_run_again = event.result in NOT_RUN_RESULTS or request.arrival.idempotent
        allowed = request.attempts < MAX_ATTEMPTS and request.arrival.attempt == 1
        if may_run_again and allowed and self._retries.try_take():
            return self._place(request, now_ms, event.address)
        return [self._refuse(request, FINAL_KINDS.get(event.result, ErrorKind.CONNECTION_CUT), 0.0)]

    def _shed(self, now_ms: float) -> list[Action]:
        """Refuse the least important requests at once while the line is too long."""
        actions: list[Action] = []
        while len(self._line) and self._wait_ms(len(self._line)) > self._policy.wait_limit_ms:
            request = self._line.shed_candidate()
            self._line.remove(request)
            actions.append(self._refuse(request, ErrorKind.OVERLOADED, self._policy.wait_limit_ms))
        return actions

    def _refuse_overdue(self, request: PendingRequest, now_ms: float) -> Reject:
        if now_ms >= request.arrival.deadline_ms:
            return self._refuse(request, ErrorKind.DEADLINE_BEFORE_RUN, 0.0)
        return self._refuse(request, ErrorKind.OVERLOADED, self._policy.wait_limit_ms)

    def _refuse_all_waiting(self, kind: ErrorKind, now_ms: float) -> Iterable[Reject]:
        while (request := self._line.first()) is not None:
            self._line.remove(request)
            yield self._refuse(request, kind, 0.0)

    def _refuse(self, request: PendingRequest, kind: ErrorKind, wait_ms: float) -> Reject:
        del self._requests[request.arrival.request_id]
        return Reject(request.arrival.request_id, kind, self._returns.record_rejection(wait_ms))

    def _own_wait_ms(self, count: int) -> float:
        slots = self._table.slots + self._exchange.borrowed.count
        if not slots:
            return float("inf")
        return count * self._table.model.mean_ms / slots

    def _wait_ms(self, count: int) -> float:
        slots = self._table.slots + self._exchange.borrowed.count
        if not self._table.owned_count:
            slots = self._table.total_slots
        return count * self._table.model.mean_ms / max(1, slots)

    def _owns_working(self) -> bool:
        return self._table.slots > 0

    def _nothing_works(self) -> bool:
        if self._owns_working() or self._exchange.borrowed.count:
            return False
        return not self._exchange.has_working_peer()
