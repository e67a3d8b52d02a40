"""Chooses the backend server for a request.

Layer: coordination.  Each candidate gets an expected time: the work at its present pace, the wait
for a free slot, and a surcharge for another data centre, for recent failures and for a cold start.
The least one wins; a little chance keeps VMs that see the same figures from all choosing the same.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass

from cloverhook.gateway.load import LoadBoard
from cloverhook.gateway.registry import BackendServer, Registry

__all__ = ["Balancer", "Choice", "WorkEstimates"]

CROSSING_MS = 3.0
"""The way to another data centre and back, about what the deployments state."""
CROSSING_SHARE = 0.25
"""A crossing pays when it saves this share of the work: bytes between data centres are priced."""
COLD_PACE = 2.0
"""A backend server works about half as fast for some seconds after its start."""
CROWD_SHARE = 0.15
"""Each slot in use makes an endpoint a little less welcome: some slow down when nearly full."""
NEARLY_FULL = 0.8
NEARLY_FULL_SHARE = 0.4
"""Some backend servers work up to 1.7 times as long once this part of their slots is in use."""
CHANCE = 0.1
FAILURE_WEIGHT = 8.0
UNREACHABLE_WEIGHT = 50.0
HELD_WEIGHT = 4.0
"""An entry that has vanished from the store may still serve, but others go first."""
WORK_STEP = 0.1
WORK_GUESS_SHARE = 0.4
"""Before a route has been measured, its work is taken for this share of its objective."""


class WorkEstimates:
    """How long the work of each route takes at an endpoint that runs at its usual pace."""

    def __init__(self) -> None:
        self._work_ms: dict[str, float] = {}

    def work_ms(self, route: str, aim_ms: float) -> float:
        """Return the estimate for a route."""
        return self._work_ms.get(route, aim_ms * WORK_GUESS_SHARE)

    def measured(self, route: str, aim_ms: float, latency_ms: float, pace: float) -> None:
        """Take the latency of a request that found a free slot."""
        before = self.work_ms(route, aim_ms)
        self._work_ms[route] = before + WORK_STEP * (latency_ms / max(pace, 0.1) - before)


@dataclass(frozen=True, slots=True)
class Choice:
    """The backend server chosen, what was expected of it, and what the choice rested on."""

    server: BackendServer
    cost_ms: float
    load: float
    pace: float
    figure_age_ms: float
    candidates: int


class Balancer:
    """Chooses among the registered backend servers of a service."""

    def __init__(
        self, registry: Registry, board: LoadBoard, data_center: str, source: random.Random
    ) -> None:
        self._registry = registry
        self._board = board
        self._data_center = data_center
        self._random = source.random

    def choose(
        self, service: str, work_ms: float, now_ms: float, tried: Collection[str] = ()
    ) -> Choice | None:
        """Return the best backend server that has not been tried, or None when there is none."""
        best: BackendServer | None = None
        best_cost = best_ranked = 0.0
        candidates = 0
        for server in self._registry.of_service(service):
            if server.draining or server.incarnation in tried:
                continue
            candidates += 1
            cost_ms = self._cost_ms(server, work_ms, now_ms)
            ranked = cost_ms * (1.0 + CHANCE * self._random())
            if best is None or ranked < best_ranked:
                best, best_cost, best_ranked = server, cost_ms, ranked
        if best is None:
            return None
        load = self._board.of(best.incarnation)
        return Choice(
            best,
            best_cost,
            load.load(now_ms),
            load.pace(now_ms),
            load.age_ms(now_ms),
            candidates,
        )

    def _cost_ms(self, server: BackendServer, work_ms: float, now_ms: float) -> float:
        load = self._board.of(server.incarnation)
        pace = load.pace(now_ms)
        if server.warm_at_ms > now_ms:
            pace *= COLD_PACE
        busy = load.load(now_ms)
        waiting = max(0.0, busy + 1 - server.slots)
        cost_ms = work_ms * pace * (1.0 + waiting / server.slots)
        cost_ms += work_ms * CROWD_SHARE * busy / server.slots
        if busy + 1 > NEARLY_FULL * server.slots:
            cost_ms += work_ms * pace * NEARLY_FULL_SHARE
        failures = load.failure_share(now_ms)
        if failures:
            cost_ms *= 1.0 + FAILURE_WEIGHT * failures
        if load.unreachable(now_ms):
            cost_ms *= UNREACHABLE_WEIGHT
        if self._registry.held(server.incarnation):
            cost_ms *= HELD_WEIGHT
        if server.data_center != self._data_center:
            cost_ms += CROSSING_MS + CROSSING_SHARE * work_ms
        return cost_ms
