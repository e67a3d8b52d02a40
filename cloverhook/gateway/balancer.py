"""Chooses the backend server for a request.

Layer: coordination.  Each candidate gets an expected time: the work at its present pace and the
wait for a free slot.  For the choice, surcharges are added for another data centre, for slots in
use and for recent failures.  The least one wins; a little chance keeps VMs that see the same
figures from all choosing the same.

Not all endpoints of a large service are weighed: some with room are drawn from the own data centre,
and some from the others unless one is found that a crossing could hardly better.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.candidates import Candidates
from cloverhook.gateway.choice import CapacityRequirement, Choice, WorkEstimates, nearly_full
from cloverhook.gateway.cold_limit import ColdLimit
from cloverhook.gateway.load import LoadTable, ServerLoad
from cloverhook.gateway.rate_limits import RateLimits
from cloverhook.gateway.registry import Registry

__all__ = ["Balancer"]

CROSSING_MS = 3.0
"""The way to another data centre and back, about what the deployments state."""
CROSSING_SHARE = 0.25
"""A crossing pays when it saves this share of the work: bytes between data centres are priced."""
COLD_PACE = 2.0
"""A backend server works about half as fast for some seconds after its start."""
CROWD_SHARE = 0.15
"""Each slot in use makes an endpoint a little less welcome: some slow down when nearly full."""
CHANCE = 0.1
NEAR_DRAWN = 24
"""So many of the own data centre are weighed: where two in five are slow at any time, one of these
is at its usual pace with near certainty, and the VMs don't all choose the same."""
FAR_DRAWN = 16
"""So many of the others are weighed: they are asked for where the own ones have little room."""
CONNECT_SHARE = 0.07
"""A new connection costs its endpoint some time, and a price; less than a busier one is worth."""
FAILURE_WEIGHT = 8.0
REFUSAL_WEIGHT = 1.0
"""A request that is turned away costs little time, but a repeat, and few of those are allowed."""
DOUBT_WEIGHT = 6.0
"""So much worse others must be before a request that can't be repeated goes where one failed."""
PANIC_SHARE = 0.7
"""With more of a service's endpoints suspended than this, all are used as if none were: it is more
likely that the way there fails than that so few are left."""
PANIC_MS = 200.0
"""That share is worked out anew after this time."""
HELD_WEIGHT = 4.0
"""An entry that has vanished from the store may still serve, but others go first."""


@dataclass(frozen=True, slots=True)
class _Usable:
    """The endpoints of a service that requests may go to, and what they were worked out from."""

    servers: tuple[BackendServer, ...]
    evacuated: frozenset[str]
    near: Candidates
    far: Candidates


class _Look:
    """One choice under way: what is wanted, and the best endpoint so far."""

    __slots__ = (
        "_limits",
        "best",
        "best_expected_ms",
        "best_rank",
        "drawn",
        "found",
        "harmed",
        "nearly_full_slowdown",
        "now_ms",
        "required_capacity",
        "retryable",
        "service",
        "tried_incarnations",
        "work_ms",
    )

    def __init__(
        self,
        service: str,
        work_ms: float,
        now_ms: float,
        tried_incarnations: Collection[str],
        required_capacity: CapacityRequirement,
        retryable: bool,
        estimates: WorkEstimates,
    ) -> None:
        self.service, self.work_ms, self.now_ms = service, work_ms, now_ms
        self.tried_incarnations, self.required_capacity, self.retryable = (
            tried_incarnations,
            required_capacity,
            retryable,
        )
        self.nearly_full_slowdown = estimates.nearly_full_slowdown(service)
        self.harmed = estimates.degrades_when_full(service)
        self._limits: dict[int, float] = {}
        self.best: BackendServer | None = None
        self.best_expected_ms = self.best_rank = 0.0
        self.drawn = self.found = 0

    def limit(self, slots: int) -> float:
        """Return the number of requests from which on an endpoint has no room."""
        limit = self._limits.get(slots)
        if limit is None:
            limit = self._limits[slots] = self.required_capacity.limit(slots, self.harmed)
        return limit


class Balancer:
    """Chooses among the registered backend servers of a service."""

    def __init__(
        self,
        registry: Registry,
        board: LoadTable,
        estimates: WorkEstimates,
        data_center: str,
        source: random.Random,
        has_connection: Callable[[str], bool] = lambda incarnation: True,
        evacuated: Callable[[], frozenset[str]] = frozenset,
        cold_limit: ColdLimit | None = None,
        region_of: Callable[[str], str | None] = lambda data_center: None,
        rate_limits: RateLimits | None = None,
    ) -> None:
        """`has_connection` says whether a request to an incarnation needs no new connection.

        Nothing is sent to the `evacuated` data centres, `cold_limit` bounds what cold endpoints
        get, and `rate_limits` what those get that name a limit.  `region_of` tells the region of a
        data centre, where it is known.
        """
        self._evacuated = evacuated
        self._cold_limit = cold_limit
        self._region_of = region_of
        self._rate_limits = rate_limits
        self._has_connection = has_connection
        self._estimates = estimates
        self._registry = registry
        self._board = board
        self._data_center = data_center
        self._source = source
        self._random = source.random
        self._panic: dict[str, tuple[float, bool]] = {}
        self._candidates: dict[tuple[str, CapacityRequirement, tuple[str, ...]], _Usable] = {}

    def choose(
        self,
        service: str,
        work_ms: float,
        now_ms: float,
        tried_incarnations: Collection[str] = (),
        required_capacity: CapacityRequirement = CapacityRequirement.NONE,
        retryable: bool = True,
        regions: tuple[str, ...] = (),
    ) -> Choice | None:
        """Return the best backend server found that has not been tried and has room, or None.

        One that can't be reached has no room: it would use up a request's attempts while others
        are full, and a slot there comes free in time for most.
        A request that is not `retryable` goes nowhere on trial, one with `regions` only there.
        """
        look = _Look(
            service,
            work_ms,
            now_ms,
            tried_incarnations,
            required_capacity,
            retryable,
            self._estimates,
        )
        near, far = self._candidates_of(service, required_capacity, regions)
        self._weigh(look, near, NEAR_DRAWN)
        few_near = near.total <= NEAR_DRAWN
        if look.best is None or few_near or look.best_rank > work_ms * (1.0 + CROSSING_SHARE):
            self._weigh(look, far, FAR_DRAWN)
        if look.best is None:
            return None
        load = self._board.get_or_create(look.best.incarnation)
        endpoints = near.total + far.total
        return Choice(
            look.best,
            look.best_expected_ms,
            load.load(now_ms),
            load.slowdown(now_ms),
            load.age_ms(now_ms),
            round((len(near) + len(far)) * look.found / look.drawn),
            endpoints,
        )

    def _candidates_of(
        self, service: str, room: CapacityRequirement, regions: tuple[str, ...]
    ) -> tuple[Candidates, Candidates]:
        """Return those of the own data centre and the others; each room has its own."""
        servers, left = self._registry.of_service(service), self._evacuated()
        known = self._candidates.get((service, room, regions))
        if known is not None and known.servers is servers and known.evacuated == left:
            return known.near, known.far
        usable = [item for item in servers if not item.draining and item.data_center not in left]
        if regions:
            usable = [item for item in usable if self._region_of(item.data_center) in regions]
        near = tuple(item for item in usable if item.data_center == self._data_center)
        far = tuple(item for item in usable if item.data_center != self._data_center)
        known = _Usable(
            servers, left, Candidates(near, self._source), Candidates(far, self._source)
        )
        self._candidates[service, room, regions] = known
        return known.near, known.far

    def may_receive(self, server: BackendServer) -> bool:
        """Return whether a request that was placed at a backend server may still be sent there."""
        return server.data_center not in self._evacuated()

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has endpoints, but in evacuated data centres only."""
        left = self._evacuated()
        if not left:
            return False
        serving = (item for item in self._registry.of_service(service) if not item.draining)
        places = (item.data_center in left for item in serving)
        return next(places, False) and all(places)

    def _weigh(self, look: "_Look", candidates: Candidates, count: int) -> None:
        """Draw some candidates and keep the best one."""
        now_ms, work_ms, board = look.now_ms, look.work_ms, self._board
        for server in candidates.sample(count, now_ms):
            look.drawn += 1
            load = board.get_or_create(server.incarnation)
            busy = load.load(now_ms)
            if busy >= look.limit(server.slots) or load.unreachable(now_ms):
                candidates.set_aside(load, now_ms)
                continue
            if server.incarnation in look.tried_incarnations or not self._limit_allows(
                server, now_ms
            ):
                continue
            if load.circuit_breaker.needs_check and not self._may_get(look, load):
                continue
            pace = load.slowdown(now_ms)
            if self._is_cold(server, load, now_ms):
                if not self._cold_may_get(server, now_ms):
                    continue
                pace *= COLD_PACE
            look.found += 1
            expected_ms = self._expected_ms(server, pace, busy, work_ms, look.nearly_full_slowdown)
            rank = self._rank(server, load, busy, expected_ms, work_ms, now_ms)
            if not look.retryable and load.circuit_breaker.has_unresolved_failure(now_ms):
                rank *= DOUBT_WEIGHT
            if look.best is None or rank < look.best_rank:
                look.best, look.best_expected_ms, look.best_rank = server, expected_ms, rank

    def record_placement(self, server: BackendServer, now_ms: float) -> None:
        """Count a request that goes to a backend server, against its limit if that is cold."""
        load = self._board.get_or_create(server.incarnation)
        if self._cold_limit is not None and self._is_cold(server, load, now_ms):
            self._cold_limit.record_sent(server, now_ms)

        if self._rate_limits is not None:
            self._rate_limits.record_sent(server, now_ms)

    def _limit_allows(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether an endpoint has no limit, or this VM's part of it is not used up."""
        limits = self._rate_limits
        if not limits or server.incarnation not in limits:
            return True
        return limits.may_send(server, now_ms)

    def has_rate_limits(self) -> bool:
        """Return whether any endpoint has named a limit."""
        return bool(self._rate_limits)

    def is_rate_limited(
        self, service: str, now_ms: float, within_ms: float, queued_ahead: int = 0
    ) -> bool:
        """Return whether limits leave no place within a time, with `queued_ahead` others first.

        That is so where all endpoints have named a limit, and what they take from this VM is less.
        """
        limits = self._rate_limits
        if not limits:
            return False
        left = self._evacuated()
        places = 0.0
        for server in self._registry.of_service(service):
            if server.draining or server.data_center in left:
                continue
            if server.incarnation not in limits:
                return False
            places += limits.available_within(server, now_ms, within_ms)
        return places <= queued_ahead

    def _is_cold(self, server: BackendServer, load: ServerLoad, now_ms: float) -> bool:
        """Return whether an endpoint is cold by its entry or by its newest probe."""
        return server.warm_at_ms > now_ms or load.is_cold(now_ms)

    def _cold_may_get(self, server: BackendServer, now_ms: float) -> bool:
        limit = self._cold_limit
        return limit is None or limit.may_send(server, now_ms)

    def _may_get(self, look: "_Look", load: ServerLoad) -> bool:
        """Return whether an endpoint that has failed requests may get this one."""
        trust, now_ms = load.circuit_breaker, look.now_ms
        if trust.is_half_open(now_ms):
            allowed = look.retryable and not load.in_flight
        else:
            allowed = not trust.is_suspended(now_ms)
        return allowed or self._panics(look.service, now_ms)

    def _panics(self, service: str, now_ms: float) -> bool:
        """Return whether so many endpoints of a service are suspended that none should be."""
        due_ms, panics = self._panic.get(service, (0.0, False))
        if now_ms < due_ms:
            return panics
        servers = self._registry.of_service(service)
        loads = (self._board.get_or_create(server.incarnation) for server in servers)
        suspended = sum(1 for load in loads if load.circuit_breaker.is_suspended(now_ms))
        panics = suspended > PANIC_SHARE * len(servers)
        self._panic[service] = now_ms + PANIC_MS, panics
        return panics

    def _expected_ms(
        self,
        server: BackendServer,
        pace: float,
        busy: float,
        work_ms: float,
        nearly_full_slowdown: float,
    ) -> float:
        """Return how long a request is expected to take at a backend server of this pace."""
        slots = server.slots
        expected_ms = work_ms * pace
        if busy >= slots:
            expected_ms *= 1.0 + (busy + 1 - slots) / slots
        if nearly_full(busy, slots):
            expected_ms += work_ms * pace * (nearly_full_slowdown - 1.0)
        if server.data_center != self._data_center:
            expected_ms += CROSSING_MS
        return expected_ms

    def _rank(
        self,
        server: BackendServer,
        load: ServerLoad,
        busy: float,
        expected_ms: float,
        work_ms: float,
        now_ms: float,
    ) -> float:
        """Return what speaks against a backend server, as a time; the least is chosen."""
        rank = expected_ms + work_ms * CROWD_SHARE * busy / server.slots
        failures = load.failure_share(now_ms)
        if failures:
            rank *= 1.0 + FAILURE_WEIGHT * failures
        refusals = load.refusal_share(now_ms)
        if refusals:
            rank *= 1.0 + REFUSAL_WEIGHT * refusals
        if self._registry.in_grace_period(server):
            rank *= HELD_WEIGHT
        if server.data_center != self._data_center:
            rank += CROSSING_SHARE * work_ms
        if not self._has_connection(server.incarnation):
            rank += CONNECT_SHARE * work_ms
        return rank * (1.0 + CHANCE * self._random())
