"""Chooses the backend server for a request.

Layer: coordination.  Each candidate gets an expected duration: the work at its present speed plus
the wait for a free slot. To compare candidates, surcharges are added for another data centre, for
slots in use and for recent failures. The candidate with the lowest cost wins. A small random factor
keeps VMs that have the same load reports from all choosing the same endpoint.

Not all endpoints of a large service are compared. Some that have room are sampled from the local
data centre, and some from the other ones unless a local one is found that another data centre could
hardly improve on.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.candidates import Candidates
from cloverhook.gateway.choice import Choice, Room, WorkEstimates, nearly_full
from cloverhook.gateway.cold_limit import ColdLimit
from cloverhook.gateway.load import LoadBoard, ServerLoad
from cloverhook.gateway.rate_limits import RateLimits
from cloverhook.gateway.registry import Registry

__all__ = ["Balancer"]

CROSSING_MS = 3.0
"""The round trip to another data centre, about as long as the deployments state it."""
CROSSING_SHARE = 0.25
"""Another data centre is worth using if that saves this share of the work, because traffic between
data centres is charged for."""
COLD_PACE = 2.0
"""A backend server works about half as fast for some seconds after its start."""
CROWD_SHARE = 0.15
"""Each slot in use makes an endpoint a little less preferred, because some endpoints slow down when
they are nearly full."""
CHANCE = 0.1
NEAR_DRAWN = 24
"""How many endpoints of the local data centre are compared. Where two in five are slow at any time,
at least one of these runs at its usual speed with near certainty, and the VMs don't all choose the
same one."""
FAR_DRAWN = 16
"""How many endpoints of the other data centres are compared. They are considered when the local
ones have little room."""
CONNECT_SHARE = 0.07
"""A new connection takes some time of its endpoint and is charged for, but that is less than the
advantage of an endpoint that is less busy."""
FAILURE_WEIGHT = 8.0
REFUSAL_WEIGHT = 1.0
"""A refused request costs little time, but it costs a retry, and few retries are allowed."""
DOUBT_WEIGHT = 6.0
"""How many times as bad the other endpoints must be before a request that can't be retried goes to
one that has failed recently."""
PANIC_SHARE = 0.7
"""If more than this share of a service's endpoints is suspended, all are used as if none were: a
network failure on the way there is more likely than so few working endpoints."""
PANIC_MS = 200.0
"""The share of suspended endpoints is recalculated after this time."""
HELD_WEIGHT = 4.0
"""An endpoint whose entry has vanished from the store may still serve, but others are preferred."""


@dataclass(frozen=True, slots=True)
class _Usable:
    """The endpoints of a service that may get requests, and the inputs they were computed from."""

    servers: tuple[BackendServer, ...]
    evacuated: frozenset[str]
    near: Candidates
    far: Candidates


class _Look:
    """The state of one selection: what is required, and the best endpoint so far."""

    __slots__ = (
        "_limits",
        "best",
        "best_expected_ms",
        "best_rank",
        "crowding",
        "drawn",
        "found",
        "harmed",
        "now_ms",
        "repeatable",
        "room",
        "service",
        "tried",
        "work_ms",
    )

    def __init__(
        self,
        service: str,
        work_ms: float,
        now_ms: float,
        tried: Collection[str],
        room: Room,
        repeatable: bool,
        estimates: WorkEstimates,
    ) -> None:
        self.service, self.work_ms, self.now_ms = service, work_ms, now_ms
        self.tried, self.room, self.repeatable = tried, room, repeatable
        self.crowding = estimates.crowding(service)
        self.harmed = estimates.harmed_when_full(service)
        self._limits: dict[int, float] = {}
        self.best: BackendServer | None = None
        self.best_expected_ms = self.best_rank = 0.0
        self.drawn = self.found = 0

    def limit(self, slots: int) -> float:
        """Return the number of requests from which on an endpoint has no room."""
        limit = self._limits.get(slots)
        if limit is None:
            limit = self._limits[slots] = self.room.limit(slots, self.harmed)
        return limit


class Balancer:
    """Chooses among the registered backend servers of a service."""

    def __init__(
        self,
        registry: Registry,
        board: LoadBoard,
        estimates: WorkEstimates,
        data_center: str,
        source: random.Random,
        has_connection: Callable[[str], bool] = lambda incarnation: True,
        evacuated: Callable[[], frozenset[str]] = frozenset,
        cold_limit: ColdLimit | None = None,
        region_of: Callable[[str], str | None] = lambda data_center: None,
        rate_limits: RateLimits | None = None,
    ) -> None:
        """`has_connection` tells whether a request to an incarnation needs no new connection.

        Nothing is sent to the `evacuated` data centres. `cold_limit` bounds the requests to cold
        endpoints, and `rate_limits` those to endpoints that advertise a rate limit. `region_of`
        returns the region of a data centre, or None if it is unknown.
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
        self._candidates: dict[tuple[str, Room, tuple[str, ...]], _Usable] = {}

    def choose(
        self,
        service: str,
        work_ms: float,
        now_ms: float,
        tried: Collection[str] = (),
        room: Room = Room.ANY,
        repeatable: bool = True,
        regions: tuple[str, ...] = (),
    ) -> Choice | None:
        """Return the best backend server found that has not been tried and has room, or None.

        An endpoint that can't be reached counts as having no room: it would use up a request's
        attempts while the others are full, and for most requests a slot becomes free in time. A
        request that is not `repeatable` never goes to an endpoint whose circuit breaker is
        half-open, and one with `regions` goes only to data centres in these.
        """
        look = _Look(service, work_ms, now_ms, tried, room, repeatable, self._estimates)
        near, far = self._candidates_of(service, room, regions)
        self._weigh(look, near, NEAR_DRAWN)
        few_near = near.total <= NEAR_DRAWN
        if look.best is None or few_near or look.best_rank > work_ms * (1.0 + CROSSING_SHARE):
            self._weigh(look, far, FAR_DRAWN)
        if look.best is None:
            return None
        load = self._board.of(look.best.incarnation)
        endpoints = near.total + far.total
        return Choice(
            look.best,
            look.best_expected_ms,
            load.load(now_ms),
            load.pace(now_ms),
            load.age_ms(now_ms),
            round((len(near) + len(far)) * look.found / look.drawn),
            endpoints,
        )

    def _candidates_of(
        self, service: str, room: Room, regions: tuple[str, ...]
    ) -> tuple[Candidates, Candidates]:
        """Return the candidates of the local and of the other data centres, kept for each room."""
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

    def may_get(self, server: BackendServer) -> bool:
        """Return whether a request placed at a backend server may still be sent there."""
        return server.data_center not in self._evacuated()

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has endpoints, but only in evacuated data centres."""
        left = self._evacuated()
        if not left:
            return False
        serving = (item for item in self._registry.of_service(service) if not item.draining)
        places = (item.data_center in left for item in serving)
        return next(places, False) and all(places)

    def _weigh(self, look: "_Look", candidates: Candidates, count: int) -> None:
        """Sample some candidates and keep the best one."""
        now_ms, work_ms, board = look.now_ms, look.work_ms, self._board
        for server in candidates.draw(count, now_ms):
            look.drawn += 1
            load = board.of(server.incarnation)
            busy = load.load(now_ms)
            if busy >= look.limit(server.slots) or load.unreachable(now_ms):
                candidates.set_aside(load, now_ms)
                continue
            if server.incarnation in look.tried or not self._limit_allows(server, now_ms):
                continue
            if load.trust.in_question and not self._may_get(look, load):
                continue
            pace = load.pace(now_ms)
            if self._is_cold(server, load, now_ms):
                if not self._cold_may_get(server, now_ms):
                    continue
                pace *= COLD_PACE
            look.found += 1
            expected_ms = self._expected_ms(server, pace, busy, work_ms, look.crowding)
            rank = self._rank(server, load, busy, expected_ms, work_ms, now_ms)
            if not look.repeatable and load.trust.is_doubted(now_ms):
                rank *= DOUBT_WEIGHT
            if look.best is None or rank < look.best_rank:
                look.best, look.best_expected_ms, look.best_rank = server, expected_ms, rank

    def placed(self, server: BackendServer, now_ms: float) -> None:
        """Count a placed request against the backend server's cold limit and rate limit, if any."""
        load = self._board.of(server.incarnation)
        if self._cold_limit is not None and self._is_cold(server, load, now_ms):
            self._cold_limit.sent(server, now_ms)

        if self._rate_limits is not None:
            self._rate_limits.sent(server, now_ms)

    def _limit_allows(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether an endpoint has no rate limit, or this VM's share of it is not used up."""
        limits = self._rate_limits
        if not limits or server.incarnation not in limits:
            return True
        return limits.may_send(server, now_ms)

    def knows_rate_limits(self) -> bool:
        """Return whether any endpoint has advertised a rate limit."""
        return bool(self._rate_limits)

    def is_rate_limited(self, service: str, now_ms: float, time_ms: float, before: int = 0) -> bool:
        """Return whether rate limits leave no room for a request within `time_ms`.

        `before` requests are served first. None is left if all usable endpoints have advertised a
        limit, and these requests use up what the endpoints accept from this VM in that time.
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
            places += limits.places_within(server, now_ms, time_ms)
        return places <= before

    def _is_cold(self, server: BackendServer, load: ServerLoad, now_ms: float) -> bool:
        """Return whether an endpoint is cold according to its entry or its latest probe."""
        return server.warm_at_ms > now_ms or load.is_cold(now_ms)

    def _cold_may_get(self, server: BackendServer, now_ms: float) -> bool:
        limit = self._cold_limit
        return limit is None or limit.may_send(server, now_ms)

    def _may_get(self, look: "_Look", load: ServerLoad) -> bool:
        """Return whether an endpoint that has failed requests may get this one."""
        trust, now_ms = load.trust, look.now_ms
        if trust.is_on_trial(now_ms):
            allowed = look.repeatable and not load.in_flight
        else:
            allowed = not trust.is_suspended(now_ms)
        return allowed or self._panics(look.service, now_ms)

    def _panics(self, service: str, now_ms: float) -> bool:
        """Return whether so many endpoints of a service are suspended that all are used anyway."""
        due_ms, panics = self._panic.get(service, (0.0, False))
        if now_ms < due_ms:
            return panics
        servers = self._registry.of_service(service)
        loads = (self._board.of(server.incarnation) for server in servers)
        suspended = sum(1 for load in loads if load.trust.is_suspended(now_ms))
        panics = suspended > PANIC_SHARE * len(servers)
        self._panic[service] = now_ms + PANIC_MS, panics
        return panics

    def _expected_ms(
        self, server: BackendServer, pace: float, busy: float, work_ms: float, crowding: float
    ) -> float:
        """Return how long a request is expected to take at a backend server with this slowdown."""
        slots = server.slots
        expected_ms = work_ms * pace
        if busy >= slots:
            expected_ms *= 1.0 + (busy + 1 - slots) / slots
        if nearly_full(busy, slots):
            expected_ms += work_ms * pace * (crowding - 1.0)
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
        """Return the cost of choosing a backend server, as a time; the lowest cost wins."""
        rank = expected_ms + work_ms * CROWD_SHARE * busy / server.slots
        failures = load.failure_share(now_ms)
        if failures:
            rank *= 1.0 + FAILURE_WEIGHT * failures
        refusals = load.refusal_share(now_ms)
        if refusals:
            rank *= 1.0 + REFUSAL_WEIGHT * refusals
        if self._registry.held(server):
            rank *= HELD_WEIGHT
        if server.data_center != self._data_center:
            rank += CROSSING_SHARE * work_ms
        if not self._has_connection(server.incarnation):
            rank += CONNECT_SHARE * work_ms
        return rank * (1.0 + CHANCE * self._random())
