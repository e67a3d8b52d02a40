"""Requests that wait in the VM until a backend server has room for them.

Layer: coordination.  A request that is queued at a backend server is lost to every other one, and
one server more than is good for it makes all its work slow; so requests wait here, the most
important first, for as long as they can still meet their objective.  After that one is sent where
it is served late without keeping others from being in time, or refused at once.

The line takes waiters and times and returns decisions; it does no input or output.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from cloverhook.gateway.balancer import Balancer, Choice

__all__ = ["Decision", "Waiter", "WaitingLine"]

AIM_SHARE = 0.85
"""The part of the objective that a gateway may use; the rest is the way to the caller and back."""
WORK_MARGIN = 1.2
"""Work is taken for this much longer than its estimate when the last moment to start is set."""
PATIENCE_SHARE = 0.125
"""However short its time, a request waits for this share of its objective at least."""
LATE_SHARE = 0.8
"""A late request is started only if it is expected to use at most this part of the time it has."""
LOOKS_LIMIT = 16
"""How many waiting requests are weighed at a change: each weighs every endpoint."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that wants a backend server; times are on the monotonic clock."""

    service: str
    priority: int
    work_ms: float
    arrived_ms: float
    aim_ms: float
    deadline_ms: float
    tried: Collection[str] = ()
    urgent: bool = True
    number: int = field(default=0)

    @property
    def in_aim_until_ms(self) -> float:
        """When an answer would be too late for the objective."""
        return self.arrived_ms + AIM_SHARE * self.aim_ms

    @property
    def patient_until_ms(self) -> float:
        """When waiting for a place in time ends."""
        if not self.urgent:
            return self.arrived_ms + PATIENCE_SHARE * self.aim_ms
        last_start_ms = self.in_aim_until_ms - WORK_MARGIN * self.work_ms
        return max(last_start_ms, self.arrived_ms + PATIENCE_SHARE * self.aim_ms)


@dataclass(frozen=True, slots=True)
class Decision:
    """A waiter leaves the line: it starts at `choice`, or is refused where that is None."""

    waiter: Waiter
    choice: Choice | None


class WaitingLine:
    """The waiting requests of all services."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._lines: dict[str, list[Waiter]] = {}
        self._count = 0

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines.values())

    def services(self) -> tuple[str, ...]:
        """Return the services that requests wait for."""
        return tuple(self._lines)

    def add(self, waiter: Waiter) -> None:
        """Put a request into its place: by priority, then by time."""
        self._count += 1
        waiter.number = self._count
        line = self._lines.setdefault(waiter.service, [])
        line.append(waiter)
        line.sort(key=lambda item: (item.priority, item.number))

    def remove(self, waiter: Waiter) -> None:
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
        for waiter in self._lines.get(service, ())[:LOOKS_LIMIT]:
            decision = self._decide(waiter, now_ms)
            if decision is not None:
                self.remove(waiter)
                return decision
        return None

    def _may_wait(self, waiter: Waiter) -> bool:
        """Return whether a request may wait: of those that can be put off, one at a time does."""
        return waiter.urgent or self._lines[waiter.service][0] is waiter

    def _decide(self, waiter: Waiter, now_ms: float) -> Decision | None:
        choose = self._balancer.choose
        roomy = choose(waiter.service, waiter.work_ms, now_ms, waiter.tried, with_room=True)
        if roomy is not None and now_ms + roomy.expected_ms <= waiter.in_aim_until_ms:
            return Decision(waiter, roomy)
        if now_ms < waiter.patient_until_ms and self._may_wait(waiter):
            return None
        left_ms = LATE_SHARE * (waiter.deadline_ms - now_ms)
        if roomy is not None and roomy.expected_ms <= left_ms:
            return Decision(waiter, roomy)
        if not waiter.urgent:
            return Decision(waiter, None)
        full = choose(waiter.service, waiter.work_ms, now_ms, waiter.tried)
        if full is not None and full.expected_ms <= left_ms and full.load < 2 * full.server.slots:
            return Decision(waiter, full)
        return Decision(waiter, None)
