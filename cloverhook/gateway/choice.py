"""The choice of a backend server for a request, and the estimates learned from past choices.

Layer: coordination.
"""

import math
from dataclasses import dataclass
from enum import Enum

from cloverhook.gateway.backend_server import BackendServer

__all__ = ["CapacityRequirement", "Choice", "WorkEstimates", "nearly_full"]

NEARLY_FULL_SHARE = 0.8
"""Some backend servers slow down once this share of their slots is in use."""
INITIAL_NEARLY_FULL_SLOWDOWN = 1.2
NEARLY_FULL_SMOOTHING = 0.05
MAX_NEARLY_FULL_SLOWDOWN = 5.0
DEGRADING_SLOWDOWN = 1.35
"""If work takes this many times as long, using the last slots gains less than it costs the other
requests."""
WORK_SMOOTHING = 0.1
OUTLIER_FACTOR = 2.0
"""Where outliers are limited, a latency counts as at most this many times the estimate."""
INITIAL_WORK_SHARE = 0.4
"""Until a route has been measured, its work is estimated as this share of its latency objective."""


class CapacityRequirement(Enum):
    """How much free capacity an endpoint must have to be chosen."""

    NONE = "any"
    FREE_SLOT = "slot"
    NO_SLOWDOWN = "unharmed"

    def limit(self, slots: int, degrades_when_full: bool) -> float:
        """Return the number of requests at which an endpoint lacks this capacity.

        `NO_SLOWDOWN` leaves the last slots free if their use slows down the other work.
        """
        if self is CapacityRequirement.NONE:
            return math.inf
        if self is CapacityRequirement.NO_SLOWDOWN and degrades_when_full:
            return max(1, int(NEARLY_FULL_SHARE * slots))
        return slots


@dataclass(frozen=True, slots=True)
class Choice:
    """The backend server chosen, the expected duration, and what the choice was based on."""

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
    """How long the work of each route takes, and how services perform when nearly full."""

    def __init__(self) -> None:
        self._work_ms: dict[str, float] = {}
        self._nearly_full_slowdown: dict[str, float] = {}

    def work_ms(self, route: str, objective_ms: float) -> float:
        """Return the estimated work of a route at an endpoint that runs at its usual speed."""
        return self._work_ms.get(route, objective_ms * INITIAL_WORK_SHARE)

    def nearly_full_slowdown(self, service: str) -> float:
        """Return how many times as long work takes at an endpoint that is nearly full."""
        return self._nearly_full_slowdown.get(service, INITIAL_NEARLY_FULL_SLOWDOWN)

    def record_latency(
        self,
        route: str,
        objective_ms: float,
        latency_ms: float,
        choice: Choice,
        limits_outliers: bool = False,
    ) -> None:
        """Update the estimates with the latency of a request that found a free slot.

        With `limits_outliers`, a single latency can't raise the estimate by much.  Otherwise a few
        requests that met an endpoint just before it became slow could raise it so far that no
        request of the route seems to be in time; then none is started that could correct it.
        """
        nominal_ms = latency_ms / max(choice.slowdown, 0.1)
        before_ms = self.work_ms(route, objective_ms)
        if not nearly_full(choice.load, choice.server.slots):
            limit_ms = OUTLIER_FACTOR * before_ms if limits_outliers else math.inf
            change_ms = min(nominal_ms, limit_ms) - before_ms
            self._work_ms[route] = before_ms + WORK_SMOOTHING * change_ms
            return
        service = choice.server.service
        before = self.nearly_full_slowdown(service)
        ratio = min(nominal_ms / max(before_ms, 1.0), MAX_NEARLY_FULL_SLOWDOWN)
        self._nearly_full_slowdown[service] = before + NEARLY_FULL_SMOOTHING * (ratio - before)

    def degrades_when_full(self, service: str) -> bool:
        """Return whether a service's endpoints get less done when their last slots are in use."""
        return self.nearly_full_slowdown(service) >= DEGRADING_SLOWDOWN


def nearly_full(busy: float, slots: int) -> bool:
    """Return whether one more request would make an endpoint nearly full."""
    return busy + 1 > NEARLY_FULL_SHARE * slots
