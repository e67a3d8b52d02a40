"""Requests that wait in the VM until a backend server has room for them.

Layer: coordination.  A request that is queued at a backend server is lost to every other one, and
one request more than is good for a server makes all its work slow; so requests wait here, the most
important first, for as long as they can still meet their objective.  A last slot is left free until
a request would be late without it: at low load another server is free by then, in overload all
slots are in use.  Who can't be in time any more is served late where that keeps nobody waiting who
can be, or refused at once, as is soon who may be put off: a caller that returns finds another
server free, one that waits in overload makes those behind it late as well.

The line takes waiters and times and returns decisions; it does no input or output.
"""

from bisect import insort
from collections.abc import Collection
from dataclasses import dataclass, field
from math import log2

from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import CapacityRequirement, Choice

__all__ = ["Decision", "QueuedRequest", "RequestQueue"]

AIM_SHARE = 0.85
"""The part of the objective that a gateway may use; the rest is the way to the caller and back."""
WORK_MARGIN = 1.2
"""A request waits for a slot only while its work, taken for this much longer, would be in time."""
PUT_OFF_SHARE = 0.04
"""One that is not among the most important of its service waits for this share of its objective at
most: who waits long begins too late to be in time, and takes a slot from one that still could."""
LAST_SLACK = 0.2
"""A last slot, which makes other work slow, is taken when waiting longer would make the request
late: taken at once it slows others down for nothing, never taken it is idle in overload."""
LATE_SHARE = 0.5
"""A late request is started only if it is expected to use at most this part of the time it has."""
LATE_WAIT_SHARE = 0.5
"""An important request that can't be in time waits for a late start for half of its time at most,
and begins only where nobody waits who can be."""
LOOKS_LIMIT = 16
"""How many waiting requests are weighed at a change."""
WORK_STEPS = 8
"""Waiting requests whose work is within a 12th of each other weigh the endpoints once at a look."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that wants a backend server; times are on the monotonic clock."""

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
    def in_aim_until_ms(self) -> float:
        """When an answer would be too late for the objective."""
        return self.arrived_ms + AIM_SHARE * self.objective_ms

    def can_be_in_time(self, now_ms: float) -> bool:
        """Return whether a slot that came free now would still serve it."""
        return now_ms + WORK_MARGIN * self.work_ms <= self.in_aim_until_ms

    @property
    def start_until_ms(self) -> float:
        """When a slot would come too late for this request, as others would get it."""
        latest_ms = self.in_aim_until_ms - WORK_MARGIN * self.work_ms
        put_off_ms = self.arrived_ms + PUT_OFF_SHARE * self.objective_ms
        return latest_ms if self.is_top_priority else min(latest_ms, put_off_ms)

    def may_be_late(self, now_ms: float) -> bool:
        """Return whether an important request that is late already should wait on for a slot."""
        if not self.is_top_priority:
            return False
        wait_until_ms = self.arrived_ms + LATE_WAIT_SHARE * (self.deadline_ms - self.arrived_ms)
        return now_ms < min(wait_until_ms, self.deadline_ms - WORK_MARGIN * self.work_ms)

    def is_put_off(self, now_ms: float) -> bool:
        """Return whether a request that finds no free slot should come back later instead."""
        return (
            not self.is_top_priority
            and now_ms >= self.arrived_ms + PUT_OFF_SHARE * self.objective_ms
        )


@dataclass(frozen=True, slots=True)
class Decision:
    """A waiter leaves the line: it starts at `choice`, or is refused where that is None."""

    waiter: QueuedRequest
    choice: Choice | None


Found = dict[tuple[CapacityRequirement, int, bool, tuple[str, ...], tuple[str, ...]], Choice | None]
"""The choices of one look, by room, work, whether it can be repeated, endpoints tried, regions."""


class RequestQueue:
    """The waiting requests of all services."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._lines: dict[str, list[QueuedRequest]] = {}
        self._count = 0

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines.values())

    def services(self) -> tuple[str, ...]:
        """Return the services that requests wait for."""
        return tuple(self._lines)

    def add(self, waiter: QueuedRequest) -> None:
        """Put a request into its place: by priority, then by time."""
        self._count += 1
        waiter.number = self._count
        line = self._lines.setdefault(waiter.service, [])
        insort(line, waiter, key=lambda item: (item.priority, item.number))

    def remove(self, waiter: QueuedRequest) -> None:
        """Take out a request whose caller has gone."""
        line = self._lines.get(waiter.service)
        if line is not None and waiter in line:
            line.remove(waiter)
            if not line:
                del self._lines[waiter.service]

    def next(self, service: str, now_ms: float) -> Decision | None:
        """Return the next request of a service to leave the line, if one should leave now.

        A decision counts only once its request is in flight, so each has to be acted on before
        the next one is asked for.
        """
        found: Found = {}
        for waiter in self._lines.get(service, ())[:LOOKS_LIMIT]:
            decision = self._decide(waiter, now_ms, found)
            if decision is not None:
                self.remove(waiter)
                return decision
        return None

    def _best(
        self, waiter: QueuedRequest, now_ms: float, room: CapacityRequirement, found: Found
    ) -> Choice | None:
        """Return the best endpoint for a waiter; `found` keeps those of one look."""
        work_step = int(WORK_STEPS * log2(max(1.0, waiter.work_ms)))
        key = room, work_step, waiter.retryable, tuple(waiter.tried_incarnations), waiter.regions
        if key not in found:
            request = waiter.service, waiter.work_ms, now_ms, waiter.tried_incarnations
            found[key] = self._balancer.choose(*request, room, waiter.retryable, waiter.regions)
        return found[key]

    def _decide(self, waiter: QueuedRequest, now_ms: float, found: Found) -> Decision | None:
        """Return what becomes of a request now, or None while it waits."""
        left_ms = waiter.in_aim_until_ms - now_ms
        unharmed = self._best(waiter, now_ms, CapacityRequirement.NO_SLOWDOWN, found)
        if unharmed is not None and unharmed.expected_ms <= left_ms:
            return Decision(waiter, unharmed)
        last = self._best(waiter, now_ms, CapacityRequirement.FREE_SLOT, found)
        if last is not None and last.expected_ms <= left_ms:
            slack_ms = left_ms - last.expected_ms
            return Decision(waiter, last) if slack_ms <= LAST_SLACK * waiter.work_ms else None
        if last is None and self._balancer.is_evacuated(waiter.service):
            return Decision(waiter, None)  # Waiting can't help: evacuations last for minutes.
        if last is None and self._is_rate_limited(waiter, now_ms):
            return Decision(waiter, None)
        if waiter.can_be_in_time(now_ms):
            return Decision(waiter, None) if waiter.is_put_off(now_ms) else None
        late_ms = LATE_SHARE * (waiter.deadline_ms - now_ms)
        if last is not None and last.expected_ms <= late_ms and self._keeps_nobody(waiter, now_ms):
            return Decision(waiter, last)
        return None if waiter.may_be_late(now_ms) else Decision(waiter, None)

    def _is_rate_limited(self, waiter: QueuedRequest, now_ms: float) -> bool:
        """Return whether limits of endpoints leave no place that a request could wait for."""
        if not self._balancer.has_rate_limits():
            return False
        before = self._lines[waiter.service].index(waiter)
        left_ms = max(0.0, waiter.start_until_ms - now_ms)
        return self._balancer.is_rate_limited(waiter.service, now_ms, left_ms, before)

    def _keeps_nobody(self, waiter: QueuedRequest, now_ms: float) -> bool:
        """Return whether nobody who can still be in time waits for the slot."""
        others = (item for item in self._lines[waiter.service] if item is not waiter)
        return not any(item.can_be_in_time(now_ms) for item in others)
