"""Chooses the backend server for a request.

Layer: coordination.  Each candidate gets an expected duration: the work at its present speed plus
the wait for a free slot. To compare candidates, surcharges are added for a remote data centre, for
slots in use and for recent failures. The candidate with the lowest cost wins. A small random factor
keeps VMs that have the same load reports from all choosing the same endpoint.

Not all endpoints of a large service are compared. Some that have room are sampled from the local
data centre, and some from the remote ones unless a local endpoint is found that a remote one could
hardly improve on.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import NamedTuple

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.candidates import RETURN_MS, Candidates
from cloverhook.gateway.choice import CapacityRequirement, Choice, WorkEstimates, nearly_full
from cloverhook.gateway.cold_limit import ColdLimit
from cloverhook.gateway.eligibility import Eligibility
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.server_load import LoadTable, ServerLoad

__all__ = ["Balancer"]

CROSS_DATA_CENTER_MS = 3.0
"""The round trip to a remote data centre, about as long as the deployments state it."""
CROSS_DATA_CENTER_SHARE = 0.25
"""Using a remote data centre pays if it saves this share of the work, because traffic between data
centres is charged for."""
COLD_SLOWDOWN = 2.0
"""A backend server works about half as fast for some seconds after its start."""
BUSY_SHARE = 0.15
"""Each slot in use makes an endpoint a little less preferred, because some endpoints slow down when
they are nearly full."""
JITTER = 0.1
LOCAL_SAMPLE_SIZE = 24
"""How many endpoints of the local data centre are compared. Where two in five are slow at any time,
at least one of these runs at its usual speed with near certainty, and the VMs don't all choose the
same one."""
REMOTE_SAMPLE_SIZE = 16
"""How many endpoints of remote data centres are compared. They are considered when the local ones
have little room."""
NEW_CONNECTION_SHARE = 0.07
"""A new connection takes some time of its endpoint and is charged for, but that is less than the
advantage of an endpoint that is less busy."""
FAILURE_WEIGHT = 8.0
REFUSAL_WEIGHT = 1.0
"""A rejected request costs little time, but it costs a retry, and few retries are allowed."""
UNRESOLVED_FAILURE_WEIGHT = 6.0
"""How many times as bad the other endpoints must be before a request that can't be retried goes to
one that has failed recently."""
PANIC_SHARE = 0.7
"""If more than this share of a service's endpoints is suspended, all are used as if none were: a
network failure on the way there is more likely than so few working endpoints."""
PANIC_CHECK_MS = 200.0
"""The share of suspended endpoints is recalculated after this time."""
GRACE_PERIOD_WEIGHT = 4.0
"""An endpoint whose entry has vanished from the store may still serve, but others are preferred."""


@dataclass(frozen=True, slots=True)
class _UsableEndpoints:
    """The endpoints of a service that may get requests, and the inputs they were computed from."""

    servers: tuple[BackendServer, ...]
    evacuated: frozenset[str]
    local: Candidates
    remote: Candidates


class _RankedEndpoint(NamedTuple):
    """An endpoint with the cost of choosing it and the expected duration there."""

    cost: float
    expected_ms: float
    server: BackendServer


class _Selection:
    """The state of one selection: what is required, and the best endpoints so far.

    `last_resort` is the best of those that may be used only where no other one has capacity.
    """

    __slots__ = (
        "_limits",
        "best",
        "last_resort",
        "last_slots_degrade",
        "nearly_full_slowdown",
        "now_ms",
        "required",
        "retryable",
        "sampled",
        "service",
        "tried",
        "usable",
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
        self.tried, self.required, self.retryable = (
            tried_incarnations,
            required_capacity,
            retryable,
        )
        self.nearly_full_slowdown = estimates.nearly_full_slowdown(service)
        self.last_slots_degrade = estimates.degrades_when_full(service)
        self._limits: dict[int, float] = {}
        self.best: _RankedEndpoint | None = None
        self.last_resort: _RankedEndpoint | None = None
        self.sampled = self.usable = 0

    def limit(self, slots: int) -> float:
        """Return the number of requests at which an endpoint lacks the required capacity."""
        limit = self._limits.get(slots)
        if limit is None:
            limit = self._limits[slots] = self.required.limit(slots, self.last_slots_degrade)
        return limit

    def consider(self, endpoint: _RankedEndpoint, is_last_resort: bool) -> None:
        """Keep an endpoint if it costs less than the best one of its kind so far."""
        if is_last_resort:
            if self.last_resort is None or endpoint.cost < self.last_resort.cost:
                self.last_resort = endpoint
        elif self.best is None or endpoint.cost < self.best.cost:
            self.best = endpoint


class Balancer:
    """Chooses among the registered backend servers of a service."""

    def __init__(
        self,
        registry: Registry,
        load_table: LoadTable,
        estimates: WorkEstimates,
        data_center: str,
        source: random.Random,
        has_connection: Callable[[str], bool] = lambda incarnation: True,
        cold_limit: ColdLimit | None = None,
        eligibility: Eligibility | None = None,
    ) -> None:
        """`has_connection` tells whether a request to an incarnation needs no new connection.

        `cold_limit` bounds the requests to cold endpoints.  Endpoints that `eligibility` excludes
        are never chosen.
        """
        self._cold_limit = cold_limit
        self.eligibility = eligibility or Eligibility(registry)
        self._has_connection = has_connection
        self._estimates = estimates
        self._registry = registry
        self._load_table = load_table
        self._data_center = data_center
        self._source = source
        self._random = source.random
        self._panic_checks: dict[str, tuple[float, bool]] = {}
        self._candidates: dict[
            tuple[str, CapacityRequirement, tuple[str, ...]], _UsableEndpoints
        ] = {}

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

        An endpoint that can't be reached is treated as full: it would use up a request's attempts
        while the others are full, and at those a slot becomes free in time for most requests. A
        request that is not `retryable` never goes to an endpoint whose circuit breaker is
        half-open, and one with `regions` goes only to data centres in these.
        """
        selection = _Selection(
            service,
            work_ms,
            now_ms,
            tried_incarnations,
            required_capacity,
            retryable,
            self._estimates,
        )
        local, remote = self._candidates_of(service, required_capacity, regions)
        self._compare_sample(selection, local, LOCAL_SAMPLE_SIZE)
        few_local = local.total <= LOCAL_SAMPLE_SIZE
        if (
            selection.best is None
            or few_local
            or selection.best.cost > work_ms * (1.0 + CROSS_DATA_CENTER_SHARE)
        ):
            self._compare_sample(selection, remote, REMOTE_SAMPLE_SIZE)
        best = selection.best or selection.last_resort
        if best is None:
            return None
        load = self._load_table.get_or_create(best.server.incarnation)
        endpoints = local.total + remote.total
        return Choice(
            best.server,
            best.expected_ms,
            load.load(now_ms),
            load.slowdown(now_ms),
            load.age_ms(now_ms),
            round((len(local) + len(remote)) * selection.usable / selection.sampled),
            endpoints,
        )

    def _candidates_of(
        self, service: str, required_capacity: CapacityRequirement, regions: tuple[str, ...]
    ) -> tuple[Candidates, Candidates]:
        """Return the local and the remote candidates; each capacity requirement has its own."""
        servers, excluded = self._registry.of_service(service), self.eligibility.evacuated()
        known = self._candidates.get((service, required_capacity, regions))
        if known is not None and known.servers is servers and known.evacuated == excluded:
            return known.local, known.remote
        usable = self.eligibility.usable(service, regions)
        local = tuple(item for item in usable if item.data_center == self._data_center)
        remote = tuple(item for item in usable if item.data_center != self._data_center)
        known = _UsableEndpoints(
            servers, excluded, Candidates(local, self._source), Candidates(remote, self._source)
        )
        self._candidates[service, required_capacity, regions] = known
        return known.local, known.remote

    def _compare_sample(self, selection: "_Selection", candidates: Candidates, count: int) -> None:
        """Sample some candidates and keep the best one."""
        now_ms, work_ms, load_table = selection.now_ms, selection.work_ms, self._load_table
        eligibility = self.eligibility
        has_notices = eligibility.has_notices
        for server in candidates.sample(count, now_ms):
            selection.sampled += 1
            load = load_table.get_or_create(server.incarnation)
            busy = load.load(now_ms)
            if busy >= selection.limit(server.slots) or load.unreachable(now_ms):
                candidates.set_aside(load, now_ms)
                continue
            if has_notices and eligibility.excludes(server, now_ms):
                left_ms = eligibility.backoff_left_ms(server, now_ms)
                candidates.set_aside(load, now_ms, min(left_ms or RETURN_MS, RETURN_MS))
                continue
            if server.incarnation in selection.tried:
                continue
            if not eligibility.rate_limit_allows(server, now_ms):
                continue
            is_last_resort = load.is_doubted(now_ms) or (
                has_notices and eligibility.is_last_resort(server, now_ms)
            )
            # A request that can't be retried tries a half-open endpoint only if no other has room.
            is_last_resort = is_last_resort or (
                not selection.retryable and load.circuit_breaker.is_half_open(now_ms)
            )
            if is_last_resort and selection.required is CapacityRequirement.NO_SLOWDOWN:
                continue
            if load.circuit_breaker.needs_check and not self._breaker_allows(selection, load):
                continue
            effective_slowdown = load.slowdown(now_ms)
            if self._is_cold(server, load, now_ms):
                if not self._cold_limit_allows(server, now_ms):
                    continue
                effective_slowdown *= COLD_SLOWDOWN
            selection.usable += not is_last_resort
            expected_ms = self._expected_ms(
                server, effective_slowdown, busy, work_ms, selection.nearly_full_slowdown
            )
            cost = self._cost(server, load, busy, expected_ms, work_ms, now_ms)
            if not selection.retryable and load.circuit_breaker.has_unresolved_failure(now_ms):
                cost *= UNRESOLVED_FAILURE_WEIGHT
            selection.consider(_RankedEndpoint(cost, expected_ms, server), is_last_resort)

    def record_placement(self, server: BackendServer, now_ms: float) -> None:
        """Count a placed request against the backend server's cold limit and rate limit, if any."""
        load = self._load_table.get_or_create(server.incarnation)
        if self._cold_limit is not None and self._is_cold(server, load, now_ms):
            self._cold_limit.record_sent(server, now_ms)
        if self.eligibility.rate_limits is not None:
            self.eligibility.rate_limits.record_sent(server, now_ms)

    def _is_cold(self, server: BackendServer, load: ServerLoad, now_ms: float) -> bool:
        """Return whether an endpoint is cold according to its entry or its latest probe."""
        return server.warm_at_ms > now_ms or load.is_cold(now_ms)

    def _cold_limit_allows(self, server: BackendServer, now_ms: float) -> bool:
        limit = self._cold_limit
        return limit is None or limit.may_send(server, now_ms)

    def _breaker_allows(self, selection: "_Selection", load: ServerLoad) -> bool:
        """Return whether an endpoint that has failed requests may get this one."""
        breaker, now_ms = load.circuit_breaker, selection.now_ms
        if breaker.is_half_open(now_ms):
            allowed = selection.retryable or breaker.is_trial_overdue(now_ms)
            allowed = allowed and not load.in_flight
        else:
            allowed = not breaker.is_suspended(now_ms)
        return allowed or self._in_panic(selection.service, now_ms)

    def _in_panic(self, service: str, now_ms: float) -> bool:
        """Return whether so many endpoints of a service are suspended that all are used anyway."""
        due_ms, in_panic = self._panic_checks.get(service, (0.0, False))
        if now_ms < due_ms:
            return in_panic
        servers = self._registry.of_service(service)
        loads = (self._load_table.get_or_create(server.incarnation) for server in servers)
        suspended = sum(1 for load in loads if load.circuit_breaker.is_suspended(now_ms))
        in_panic = suspended > PANIC_SHARE * len(servers)
        self._panic_checks[service] = now_ms + PANIC_CHECK_MS, in_panic
        return in_panic

    def _expected_ms(
        self,
        server: BackendServer,
        slowdown: float,
        busy: float,
        work_ms: float,
        nearly_full_slowdown: float,
    ) -> float:
        """Return how long a request is expected to take at a backend server with this slowdown."""
        slots = server.slots
        expected_ms = work_ms * slowdown
        if busy >= slots:
            expected_ms *= 1.0 + (busy + 1 - slots) / slots
        if nearly_full(busy, slots):
            expected_ms += work_ms * slowdown * (nearly_full_slowdown - 1.0)
        if server.data_center != self._data_center:
            expected_ms += CROSS_DATA_CENTER_MS
        return expected_ms

    def _cost(
        self,
        server: BackendServer,
        load: ServerLoad,
        busy: float,
        expected_ms: float,
        work_ms: float,
        now_ms: float,
    ) -> float:
        """Return the cost of choosing a backend server, as a time; the lowest cost wins."""
        cost = expected_ms + work_ms * BUSY_SHARE * busy / server.slots
        failures = load.failure_share(now_ms)
        if failures:
            cost *= 1.0 + FAILURE_WEIGHT * failures
        refusals = load.refusal_share(now_ms)
        if refusals:
            cost *= 1.0 + REFUSAL_WEIGHT * refusals
        if self._registry.in_grace_period(server):
            cost *= GRACE_PERIOD_WEIGHT
        if server.data_center != self._data_center:
            cost += CROSS_DATA_CENTER_SHARE * work_ms
        if not self._has_connection(server.incarnation):
            cost += NEW_CONNECTION_SHARE * work_ms
        return cost * (1.0 + JITTER * self._random())
