"""Queue of the requests that wait in the VM until a backend server has a free slot for them.

Layer: coordination.  A request that is queued at a backend server can no longer go to another one,
and one request more than a server handles well slows down all its work. So requests wait here,
those of highest priority first, for as long as they can still meet their latency objective. An
endpoint's last free slot is left unused until a request would be late without it: at low load
another server becomes free by then, and in overload all slots are in use. A request that can no
longer be in time is served late if that delays no request that still can be, and is rejected at
once otherwise. A request that is not of top priority and finds no free slot is deferred soon, that
is, rejected to be retried later: a caller that retries finds another server free, while a request
that keeps waiting in overload also makes those behind it late.

A request of a route with a long timeout waits instead (`QueuedRequest.waits_late`): a late answer
is worth more than a rejection, as callers retry only once or twice.  Once it can't be in time any
more, it waits apart from the others and gets the slots that are left over.  It is rejected when it
can't be answered before its deadline, and at once if the work ahead of it takes longer than that at
the rate at which this VM gets slots.  Requests of one priority are ordered by the fair shares of
their accounts (`fair_share`).

The queue takes requests and times and returns decisions; it does no input or output.
"""

from bisect import insort
from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf, log2

from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import CapacityRequirement, Choice
from cloverhook.gateway.fair_share import FairShare
from cloverhook.gateway.server_load import SLOW_FACTOR
from cloverhook.gateway.service_rate import ServiceRate
from cloverhook.gateway.slot_claims import SlotClaims

__all__ = ["Decision", "QueuedRequest", "RequestQueue", "waits_late"]

OBJECTIVE_SHARE = 0.85
"""The share of the latency objective that a gateway may use. The rest is left for the round trip
between the caller and the gateway."""
WORK_MARGIN = 1.2
"""A request waits for a slot only as long as work that takes this many times its estimate would
still be in time."""
DEFERRAL_SHARE = 0.04
"""A request that is not of the top priority of its service waits for at most this share of its
latency objective. After a longer wait it would start too late to be in time, and would take a slot
from a request that still can be."""
LAST_SLACK = 0.2
"""The last free slot of an endpoint, whose use slows down other work, is taken only when the time
to spare is down to this share of the request's work, so that waiting longer would make the request
late. Taken at once, it would slow down others for nothing; never taken, it would be idle in
overload."""
TRIAL_INTERVAL_MS = 500.0
"""If no request of a kind has started for this long, one may although it is expected to be late."""
LATE_SHARE = 0.5
"""A late request is started only if it is expected to use at most this share of the time left until
its deadline."""
LATE_WAIT_SHARE = 0.5
"""A request of top priority that can't be in time waits for a late start for at most this share of
the time from its arrival to its deadline, and starts only if no request that can be in time is
waiting."""
SCAN_LIMIT = 16
"""How many queued requests of a service are considered at each change."""
WORK_STEPS_PER_DOUBLING = 8
"""Queued requests whose work is within a 12th of each other share one choice of endpoint per
scan."""


LATE_WAIT_TIMEOUT_FACTOR = 4.0
"""Requests wait beyond their objective where the timeout is at least this many times as long."""
LATE_SCAN_LIMIT = 4
"""How many late requests of a service are considered at each change."""
FIRST_PLACE, USUAL_PLACE, LAST_PLACE = range(3)
"""Requests of a starved kind come first, those of an account over its fair share last."""
Order = tuple[int, int, float, int]
"""Place, priority, recent work of the account in relation to its weight, and arrival."""
CLAIM_ATTEMPTS = 3
"""How many endpoints are tried for a waiting request before the next check."""
UNAVAILABLE_LIMIT_MS = 3_000.0
"""The longest wait that `Retry-After` asks for because of the queue.  A retry looks like a new
request that can be in time, but it can't for its caller: with 500 ms, retries took so many slots
that a tenth fewer requests were in time in a burst of 2.2."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a backend server; times are on the monotonic clock.

    `kind` is the name of its route.  `account` is None where there are no accounts, and "" if the
    request needs none.  The fair share of an account is proportional to its `weight`.

    `too_late` is set if a request is rejected because it can't be answered before its deadline.
    `work_ahead_ms` is then the queued work that came before it, and `unavailable_ms` how long that
    takes.
    """

    service: str
    priority: int
    work_ms: float
    arrived_ms: float
    objective_ms: float
    deadline_ms: float
    tried_incarnations: Collection[str] = ()
    is_top_priority: bool = True
    retryable: bool = True
    regions: tuple[str, ...] = ()
    kind: str = ""
    account: str | None = None
    weight: float = 1.0
    over_share_is_last: bool = False
    waits_late: bool = False
    too_late: bool = False
    unavailable_ms: float = 0.0
    work_ahead_ms: float = 0.0
    number: int = field(default=0)
    order: Order = field(default=(USUAL_PLACE, 0, 0.0, 0))
    added_ms: float = field(default=0.0)

    @property
    def in_time_until_ms(self) -> float:
        """The time after which an answer misses the latency objective."""
        return self.arrived_ms + OBJECTIVE_SHARE * self.objective_ms

    def can_be_in_time(self, now_ms: float) -> bool:
        """Return whether the request would still be in time with a slot that became free now."""
        return now_ms + WORK_MARGIN * self.work_ms <= self.in_time_until_ms

    @property
    def latest_start_ms(self) -> float:
        """The time after which a free slot comes too late for this request and goes to others."""
        if self.waits_late:
            return self.last_start_ms
        latest_ms = self.in_time_until_ms - WORK_MARGIN * self.work_ms
        deferred_ms = self.arrived_ms + DEFERRAL_SHARE * self.objective_ms
        return latest_ms if self.is_top_priority else min(latest_ms, deferred_ms)

    @property
    def late_from_ms(self) -> float:
        """The time from which the request can't be in time any more."""
        return self.in_time_until_ms - WORK_MARGIN * self.work_ms

    @property
    def last_start_ms(self) -> float:
        """The time after which the request can't be answered before its deadline."""
        return self.deadline_ms - WORK_MARGIN * self.work_ms

    def may_wait_late(self, now_ms: float) -> bool:
        """Return whether a request of top priority that is already late should keep waiting."""
        if not self.is_top_priority:
            return False
        wait_until_ms = self.arrived_ms + LATE_WAIT_SHARE * (self.deadline_ms - self.arrived_ms)
        return now_ms < min(wait_until_ms, self.deadline_ms - WORK_MARGIN * self.work_ms)

    def should_be_deferred(self, now_ms: float) -> bool:
        """Return whether a request without a free slot should be told to retry later."""
        return (
            not self.is_top_priority
            and now_ms >= self.arrived_ms + DEFERRAL_SHARE * self.objective_ms
        )


@dataclass(frozen=True, slots=True)
class Decision:
    """A request leaves the queue: it starts at `choice`, or is rejected if that is None."""

    request: QueuedRequest
    choice: Choice | None


ChoiceCache = dict[
    tuple[CapacityRequirement, int, bool, tuple[str, ...], tuple[str, ...]], Choice | None
]
"""The choices made in one scan, by capacity required, work, whether the request can be retried,
endpoints tried and regions."""


def _order(request: QueuedRequest) -> Order:
    return request.order


def waits_late(timeout_ms: float, objective_ms: float) -> bool:
    """Return whether requests of a route wait for a slot beyond their objective."""
    return timeout_ms >= LATE_WAIT_TIMEOUT_FACTOR * objective_ms


class _Backlog:
    """The requests of one service that may wait beyond their objective.

    `late` has those that can't be in time any more, in the order of the queue.
    """

    __slots__ = ("_changes", "late", "rate", "work_ms")

    def __init__(self) -> None:
        self.late: list[QueuedRequest] = []
        self.rate = ServiceRate()
        self.work_ms = 0.0
        self._changes: list[tuple[float, int, QueuedRequest]] = []

    def schedule(self, at_ms: float, request: QueuedRequest) -> None:
        """Have the request returned by `due` from `at_ms` on."""
        heappush(self._changes, (at_ms, request.number, request))

    def due(self, now_ms: float) -> QueuedRequest | None:
        """Return and forget a scheduled request whose time has come, or None."""
        if not self._changes or self._changes[0][0] > now_ms:
            return None
        return heappop(self._changes)[2]


class RequestQueue:
    """The queued requests of all services."""

    def __init__(self, balancer: Balancer, claims: SlotClaims | None = None) -> None:
        """`claims` limits the free slots that waiting requests use; without, they use any."""
        self._balancer = balancer
        self._claims = claims
        self._queues: dict[str, list[QueuedRequest]] = {}
        self._trials_due_ms: dict[str, float] = {}
        self._backlogs: dict[str, _Backlog] = {}
        self._fair_share = FairShare()
        self._count = 0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values()) + sum(
            len(backlog.late) for backlog in self._backlogs.values()
        )

    def services(self) -> tuple[str, ...]:
        """Return the services that have queued requests."""
        late = (name for name, item in self._backlogs.items() if item.late)
        return tuple(dict.fromkeys((*self._queues, *late)))

    def add(self, request: QueuedRequest, now_ms: float = 0.0) -> None:
        """Insert a request, ordered by priority, fair share and arrival."""
        self._count += 1
        request.number = self._count
        request.order = self._order_of(request, now_ms)
        queue = self._queues.setdefault(request.service, [])
        if request.waits_late:
            backlog = self._backlogs.setdefault(request.service, _Backlog())
            request.added_ms = now_ms
            request.too_late = self._certainly_too_late(request, backlog, now_ms, False)
            backlog.schedule(-inf if request.too_late else request.late_from_ms, request)
            backlog.work_ms += request.work_ms
            backlog.rate.advance(now_ms, bool(queue or backlog.late))
        insort(queue, request, key=_order)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, for instance one whose caller has disconnected."""
        self._take_out(request)

    def next(self, service: str, now_ms: float) -> Decision | None:
        """Return the next request of a service to leave the queue now, or None.

        A decision takes effect only once its request is counted as in flight, so each one has to be
        carried out before the next one is requested.
        """
        backlog = self._backlogs.get(service)
        decision = None if backlog is None else self._next_change(service, backlog, now_ms)
        if decision is None:
            cache: ChoiceCache = {}
            decision = self._next_in_time(service, now_ms, cache)
            if decision is None and backlog is not None and backlog.late:
                decision = self._next_late(service, backlog, now_ms, cache)
        if decision is not None:
            self._carry_out(decision, backlog, now_ms)
        return decision

    def _next_in_time(self, service: str, now_ms: float, cache: ChoiceCache) -> Decision | None:
        for request in self._queues.get(service, ())[:SCAN_LIMIT]:
            decide = self._decide_waiting if request.waits_late else self._decide
            decision = decide(request, now_ms, cache)
            if decision is not None:
                return decision
        return None

    def _next_late(
        self, service: str, backlog: _Backlog, now_ms: float, cache: ChoiceCache
    ) -> Decision | None:
        """Return a late request that may start, or None.

        No request that can be in time may be waiting, and a slow endpoint isn't used: it would keep
        a slot in use that may soon serve several requests in time.
        """
        if service in self._queues:
            return None
        for request in backlog.late[:LATE_SCAN_LIMIT]:
            choice = self._claimable(request, now_ms, CapacityRequirement.FREE_SLOT, cache)
            if choice is None:
                if self._is_unavailable(request, now_ms):
                    return Decision(request, None)
            elif (
                choice.slowdown < SLOW_FACTOR and choice.expected_ms <= request.deadline_ms - now_ms
            ):
                return Decision(request, choice)
        return None

    def _next_change(self, service: str, backlog: _Backlog, now_ms: float) -> Decision | None:
        """Move requests that can't be in time any more; return one that has to be rejected."""
        while (request := backlog.due(now_ms)) is not None:
            if request in backlog.late:
                request.too_late = True
                return Decision(request, None)
            queue = self._queues.get(service)
            if queue is None or request not in queue:
                continue  # It has left the queue.
            request.too_late = request.too_late or self._certainly_too_late(
                request, backlog, now_ms, True
            )
            if request.too_late:
                return Decision(request, None)
            queue.remove(request)
            if not queue:
                del self._queues[service]
            insort(backlog.late, request, key=_order)
            backlog.schedule(request.last_start_ms, request)
        return None

    def _carry_out(self, decision: Decision, backlog: _Backlog | None, now_ms: float) -> None:
        """Record a decision and take its request out of the queue."""
        request = decision.request
        self._take_out(request)
        self._record_shares(request, decision.choice is not None, now_ms)
        if backlog is None or not request.waits_late:
            return
        waiting = bool(backlog.late or request.service in self._queues)
        if request.too_late:
            request.work_ahead_ms = self._backlog_of(request, backlog)
            wait_ms = backlog.rate.wait_ms(request.work_ahead_ms) or 0.0
            request.unavailable_ms = min(wait_ms, UNAVAILABLE_LIMIT_MS)
        elif decision.choice is not None and (waiting or request.added_ms < now_ms):
            if self._claims is not None:
                self._claims.record_start(decision.choice.server.incarnation, now_ms)
            backlog.rate.record_start(request.work_ms, now_ms, waiting)
        backlog.rate.advance(now_ms, waiting)

    def _record_shares(self, request: QueuedRequest, served: bool, now_ms: float) -> None:
        service, shares = request.service, self._fair_share
        if served and request.account is not None:
            shares.record_start(service, request.account, request.weight, request.work_ms, now_ms)
        if request.waits_late and request.order[0] <= USUAL_PLACE:
            # What an account over its share is denied doesn't show that a kind is starved.
            shares.record_outcome(service, request.kind, served, now_ms)

    def _take_out(self, request: QueuedRequest) -> None:
        """Take a request out of its queue."""
        backlog = self._backlogs.get(request.service)
        queue = self._queues.get(request.service)
        if queue is not None and request in queue:
            queue.remove(request)
            if not queue:
                del self._queues[request.service]
        elif backlog is not None and request in backlog.late:
            backlog.late.remove(request)
        else:
            return
        if backlog is not None and request.waits_late:
            backlog.work_ms -= request.work_ms

    def _order_of(self, request: QueuedRequest, now_ms: float) -> Order:
        """Return the place of a request in the queue."""
        service, account, shares = request.service, request.account, self._fair_share
        recent_work_ms, over_share = 0.0, False
        if account is not None:
            recent_work_ms = shares.recent_work(service, account, now_ms)
            over_share = request.over_share_is_last and shares.is_over_share(
                service, account, now_ms
            )
        starved = request.waits_late and shares.is_starved(service, request.kind, now_ms)
        place = USUAL_PLACE
        if over_share or starved:
            place = LAST_PLACE if over_share else FIRST_PLACE
        return (place, request.priority, recent_work_ms, request.number)

    def _work_ahead(self, request: QueuedRequest, backlog: _Backlog, is_late: bool) -> float:
        """Return the queued work that comes before a request.

        Before one that is late come all that can be in time.
        """
        order, queue = request.order, self._queues.get(request.service, ())
        work_ms = sum(item.work_ms for item in queue if is_late or item.order < order)
        if is_late:
            work_ms += sum(item.work_ms for item in backlog.late if item.order < order)
        return work_ms

    def _backlog_of(self, request: QueuedRequest, backlog: _Backlog) -> float:
        """Return the queued work of the same or a higher priority."""
        queue = self._queues.get(request.service, ())
        place = request.order[:2]
        return sum(item.work_ms for item in (*queue, *backlog.late) if item.order[:2] <= place)

    def _certainly_too_late(
        self, request: QueuedRequest, backlog: _Backlog, now_ms: float, is_late: bool
    ) -> bool:
        """Return whether the work ahead of a request takes longer than it can wait."""
        left_ms = request.last_start_ms - now_ms
        wait_ms = backlog.rate.wait_ms(backlog.work_ms)
        if wait_ms is None or wait_ms <= left_ms:
            return False
        wait_ms = backlog.rate.wait_ms(self._work_ahead(request, backlog, is_late))
        return wait_ms is not None and wait_ms > left_ms

    def _claimable(
        self,
        request: QueuedRequest,
        now_ms: float,
        required_capacity: CapacityRequirement,
        cache: ChoiceCache,
    ) -> Choice | None:
        """Return the best endpoint of which a request that may wait gets a slot, or None."""
        claims = self._claims
        if claims is None or request.added_ms >= now_ms:
            return self._best_choice(request, now_ms, required_capacity, cache)
        for _ in range(CLAIM_ATTEMPTS):
            left_alone = claims.left_alone(now_ms)
            choice = self._best_choice(request, now_ms, required_capacity, cache, left_alone)
            if choice is None or claims.try_claim(choice, now_ms):
                return choice
        return None

    def _best_choice(
        self,
        request: QueuedRequest,
        now_ms: float,
        required_capacity: CapacityRequirement,
        cache: ChoiceCache,
        left_alone: tuple[str, ...] = (),
    ) -> Choice | None:
        """Return the best endpoint for a request; `cache` keeps the choices of one scan."""
        work_step = int(WORK_STEPS_PER_DOUBLING * log2(max(1.0, request.work_ms)))
        key = (
            required_capacity,
            work_step,
            request.retryable,
            (*request.tried_incarnations, *left_alone),
            request.regions,
        )
        if key not in cache:
            tried = (*request.tried_incarnations, *left_alone)
            arguments = request.service, request.work_ms, now_ms, tried
            cache[key] = self._balancer.choose(
                *arguments, required_capacity, request.retryable, request.regions
            )
        return cache[key]

    def _decide(self, request: QueuedRequest, now_ms: float, cache: ChoiceCache) -> Decision | None:
        """Return the decision on a request, or None if it should wait."""
        decision = self._decide_by_estimate(request, now_ms, cache)
        if decision is not None and decision.choice is not None:
            self._trials_due_ms[request.kind] = now_ms + TRIAL_INTERVAL_MS
        return decision

    def _decide_by_estimate(
        self, request: QueuedRequest, now_ms: float, cache: ChoiceCache
    ) -> Decision | None:
        left_ms = request.in_time_until_ms - now_ms
        without_slowdown = self._best_choice(
            request, now_ms, CapacityRequirement.NO_SLOWDOWN, cache
        )
        if without_slowdown is not None and without_slowdown.expected_ms <= left_ms:
            return Decision(request, without_slowdown)
        last_slot = self._best_choice(request, now_ms, CapacityRequirement.FREE_SLOT, cache)
        if last_slot is not None and last_slot.expected_ms <= left_ms:
            slack_ms = left_ms - last_slot.expected_ms
            return (
                Decision(request, last_slot) if slack_ms <= LAST_SLACK * request.work_ms else None
            )
        if last_slot is None and self._is_unavailable(request, now_ms):
            return Decision(request, None)  # Waiting can't help.
        if request.can_be_in_time(now_ms):
            return Decision(request, None) if request.should_be_deferred(now_ms) else None
        late_ms = LATE_SHARE * (request.deadline_ms - now_ms)
        if (
            last_slot is not None
            and last_slot.expected_ms <= late_ms
            and self._no_other_in_time(request, now_ms)
        ):
            return Decision(request, last_slot)
        if request.may_wait_late(now_ms):
            return None
        may_try = last_slot is not None and self._may_try(request, last_slot, now_ms)
        return Decision(request, last_slot if may_try else None)

    def _may_try(self, request: QueuedRequest, choice: Choice, now_ms: float) -> bool:
        """Return whether a request that seems too late may start at an idle endpoint, as a trial.

        Only answers correct the estimate of the work.  If no request of a kind has started for some
        time, an estimate that is too long would keep all of them from starting for good.
        """
        if choice.load or choice.slowdown >= SLOW_FACTOR:
            return False
        return now_ms >= self._trials_due_ms.get(request.kind, 0.0)

    def _decide_waiting(
        self, request: QueuedRequest, now_ms: float, cache: ChoiceCache
    ) -> Decision | None:
        """Return the decision on a request that can be in time and otherwise waits for a slot."""
        left_ms = request.in_time_until_ms - now_ms
        any_slot = self._claimable(request, now_ms, CapacityRequirement.FREE_SLOT, cache)
        if any_slot is None:
            return Decision(request, None) if self._is_unavailable(request, now_ms) else None
        best = self._claimable(request, now_ms, CapacityRequirement.NO_SLOWDOWN, cache)
        if best is not None and best.expected_ms <= left_ms:
            return Decision(request, best)
        slack_ms = left_ms - any_slot.expected_ms
        if 0.0 <= slack_ms <= LAST_SLACK * request.work_ms:
            return Decision(request, any_slot)
        return None

    def _is_unavailable(self, request: QueuedRequest, now_ms: float) -> bool:
        """Return whether no endpoint will take the request for as long as it could wait."""
        eligibility = self._balancer.eligibility
        queued_ahead = 0
        if eligibility.rate_limits:
            queue = self._queues.get(request.service, [])
            queued_ahead = queue.index(request) if request in queue else len(queue)
        left_ms = max(0.0, request.latest_start_ms - now_ms)
        reason = eligibility.why_unavailable(
            request.service, now_ms, left_ms, queued_ahead, request.regions
        )
        return reason is not None

    def _no_other_in_time(self, request: QueuedRequest, now_ms: float) -> bool:
        """Return whether no other queued request of the service can still be in time."""
        others = (item for item in self._queues[request.service] if item is not request)
        return not any(item.can_be_in_time(now_ms) for item in others)
