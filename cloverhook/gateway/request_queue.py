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

The queue takes requests and times and returns decisions; it does no input or output.
"""

from bisect import insort
from collections.abc import Collection
from dataclasses import dataclass, field
from math import log2

from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import CapacityRequirement, Choice

__all__ = ["Decision", "QueuedRequest", "RequestQueue"]

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


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a backend server; times are on the monotonic clock."""

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
    number: int = field(default=0)

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
        latest_ms = self.in_time_until_ms - WORK_MARGIN * self.work_ms
        deferred_ms = self.arrived_ms + DEFERRAL_SHARE * self.objective_ms
        return latest_ms if self.is_top_priority else min(latest_ms, deferred_ms)

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


class RequestQueue:
    """The queued requests of all services."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._queues: dict[str, list[QueuedRequest]] = {}
        self._count = 0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def services(self) -> tuple[str, ...]:
        """Return the services that have queued requests."""
        return tuple(self._queues)

    def add(self, request: QueuedRequest) -> None:
        """Insert a request, ordered by priority and then by arrival."""
        self._count += 1
        request.number = self._count
        queue = self._queues.setdefault(request.service, [])
        insort(queue, request, key=lambda item: (item.priority, item.number))

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, for instance one whose caller has disconnected."""
        queue = self._queues.get(request.service)
        if queue is not None and request in queue:
            queue.remove(request)
            if not queue:
                del self._queues[request.service]

    def next(self, service: str, now_ms: float) -> Decision | None:
        """Return the next request of a service to leave the queue now, or None.

        A decision takes effect only once its request is counted as in flight, so each one has to be
        carried out before the next one is requested.
        """
        cache: ChoiceCache = {}
        for request in self._queues.get(service, ())[:SCAN_LIMIT]:
            decision = self._decide(request, now_ms, cache)
            if decision is not None:
                self.remove(request)
                return decision
        return None

    def _best_choice(
        self,
        request: QueuedRequest,
        now_ms: float,
        required_capacity: CapacityRequirement,
        cache: ChoiceCache,
    ) -> Choice | None:
        """Return the best endpoint for a request; `cache` keeps the choices of one scan."""
        work_step = int(WORK_STEPS_PER_DOUBLING * log2(max(1.0, request.work_ms)))
        key = (
            required_capacity,
            work_step,
            request.retryable,
            tuple(request.tried_incarnations),
            request.regions,
        )
        if key not in cache:
            arguments = request.service, request.work_ms, now_ms, request.tried_incarnations
            cache[key] = self._balancer.choose(
                *arguments, required_capacity, request.retryable, request.regions
            )
        return cache[key]

    def _decide(self, request: QueuedRequest, now_ms: float, cache: ChoiceCache) -> Decision | None:
        """Return the decision on a request, or None if it should wait."""
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
        return None if request.may_wait_late(now_ms) else Decision(request, None)

    def _is_unavailable(self, request: QueuedRequest, now_ms: float) -> bool:
        """Return whether no endpoint will take the request for as long as it could wait."""
        eligibility = self._balancer.eligibility
        queued_ahead = 0
        if eligibility.rate_limits:
            queued_ahead = self._queues[request.service].index(request)
        left_ms = max(0.0, request.latest_start_ms - now_ms)
        reason = eligibility.why_unavailable(
            request.service, now_ms, left_ms, queued_ahead, request.regions
        )
        return reason is not None

    def _no_other_in_time(self, request: QueuedRequest, now_ms: float) -> bool:
        """Return whether no other queued request of the service can still be in time."""
        others = (item for item in self._queues[request.service] if item is not request)
        return not any(item.can_be_in_time(now_ms) for item in others)
