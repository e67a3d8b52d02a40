"""The choice of a backend server for a request, and what is learned from how choices turn out.

Layer: coordination.
"""

import math
from dataclasses import dataclass
from enum import Enum

from cloverhook.gateway.backend_server import BackendServer

__all__ = ["Choice", "CapacityRequirement", "WorkEstimates", "nearly_full"]

NEARLY_FULL = 0.8
"""Some backend servers slow down once this part of their slots is in use."""
CROWDING_GUESS = 1.2
CROWDING_STEP = 0.05
CROWDING_LIMIT = 5.0
CROWDING_HARMS = 1.35
"""With work this many times as long, the last slots yield less than they cost the others."""
WORK_STEP = 0.1
WORK_GUESS_SHARE = 0.4
"""Before a route has been measured, its work is taken for this share of its objective."""


class CapacityRequirement(Enum):
    """How much room an endpoint must have to be chosen."""

    NONE = "any"
    FREE_SLOT = "slot"
    NO_SLOWDOWN = "unharmed"

    def limit(self, slots: int, degrades_when_full: bool) -> float:
        """Return the number of requests from which on an endpoint has no such room.

        `NO_SLOWDOWN` leaves the last slots free where they make the other work slow.
        """
        if self is CapacityRequirement.NONE:
            return math.inf
        if self is CapacityRequirement.NO_SLOWDOWN and degrades_when_full:
            return max(1, int(NEARLY_FULL * slots))
        return slots


@dataclass(frozen=True, slots=True)
class Choice:
    """The backend server chosen, what was expected of it, and what the choice rested on."""

    server: BackendServer
    expected_ms: float
    load: float
    slowdown: float
    load_report_age_ms: float
    candidates: int
    endpoints: int = 1

    @property
    def available_share(self) -> float:
        """The share of the service's endpoints that could have been chosen."""
        return self.candidates / self.endpoints


class WorkEstimates:
    """How long the work of each route takes, and how services bear being nearly full."""

    def __init__(self) -> None:
        self._work_ms: dict[str, float] = {}
        self._crowding: dict[str, float] = {}

    def work_ms(self, route: str, objective_ms: float) -> float:
        """Return the estimate for a route at an endpoint that runs at its usual pace."""
        return self._work_ms.get(route, objective_ms * WORK_GUESS_SHARE)

    def nearly_full_slowdown(self, service: str) -> float:
        """Return how many times as long work takes at an endpoint that is nearly full."""
        return self._crowding.get(service, CROWDING_GUESS)

    def record_latency(
        self, route: str, objective_ms: float, latency_ms: float, choice: Choice
    ) -> None:
        """Take the latency of a request that found a free slot."""
        usual_ms = latency_ms / max(choice.slowdown, 0.1)
        before_ms = self.work_ms(route, objective_ms)
        if not nearly_full(choice.load, choice.server.slots):
            self._work_ms[route] = before_ms + WORK_STEP * (usual_ms - before_ms)
            return
        service = choice.server.service
        before = self.nearly_full_slowdown(service)
        ratio = min(usual_ms / max(before_ms, 1.0), CROWDING_LIMIT)
        self._crowding[service] = before + CROWDING_STEP * (ratio - before)

    def degrades_when_full(self, service: str) -> bool:
        """Return whether a service's endpoints yield less with their last slots in use."""
        return self.nearly_full_slowdown(service) >= CROWDING_HARMS


def nearly_full(busy: float, slots: int) -> bool:
    """Return whether one more request would make an endpoint nearly full."""
    return busy + 1 > NEARLY_FULL * slots
