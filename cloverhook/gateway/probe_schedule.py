"""Decides which backend servers this VM probes, and when.

Layer: coordination.  The backend servers of a data centre form a few groups, and each group has an
order of the VMs of that data centre.  The first VM in the order probes the group, and its load
reports reach all the others, which therefore also notice when they stop.  The next VM in the order
takes over once no report has arrived for a while, and stops when the first one is back.  No VM has
to be notified, and two VMs that probe the same group for a moment cost only a few probes.

Probes are paid for, and a load report is useful only to a request that is dispatched by it.  So the
more requests an endpoint gets, the more often it is probed.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.members import Members
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.rendezvous_hash import rendezvous_rank, rendezvous_weight
from cloverhook.gateway.server_load import LoadTable

__all__ = ["GROUP_SIZE", "STARTUP_DELAY_MS", "ProbeSchedule"]

GROUP_SIZE = 24
"""The load reports of a group share one datagram, and a small VM can probe the group beside its
requests."""
TAKEOVER_MS = 350.0
"""The time of two of the slowest probes in a row: without a load report for this long, the VM that
sends them is dead, paused or isolated."""
PROBES_PER_REQUEST = 3.0
"""The slowdown of an endpoint changes several times a second, so a request should find a report at
most a third of the time between requests old.  Probes are paid for, so there are no more."""
MIN_PROBES_PER_S = 6.0
"""An endpoint with hardly any requests is still probed often enough to notice that it gets slow."""
LARGE_MAX_PROBES_PER_S = 10.0
"""In a large data centre each load report goes to all load subscribers, and there are many
endpoints."""
VM_MAX_PROBES_PER_S = 150.0
"""The number of probes that a small VM can send beside its other work.  Where there are more
endpoints than the probing VMs of a data centre can probe as often as wanted, all endpoints are
probed less often: a saturated VM answers no request in time."""
PROBED_MS = 1_000.0
"""An endpoint without a load report for this long is probed even by a VM that did not reach it."""
TAKEOVER_INTERVALS = 2.2
"""Two missed probes show that the VM that sends them is gone, however rare they are."""
SLACK_MS = 5.0
"""A probe that is due within this time is sent now, together with the others."""
STARTUP_DELAY_MS = 2_000.0
"""A VM that has just started knows no other VM and would probe every endpoint.  It therefore waits
first, for long enough to learn of the other VMs after a loss of all power.  At a later start
callers are waiting, so it probes one group meanwhile."""
ORDER_MS = 250.0
"""The orders are computed again after this time; they change only when VMs come or go."""


class ProbeSchedule:
    """The schedule of the backend servers that this VM probes."""

    def __init__(
        self,
        own_vm: str,
        members: Members,
        registry: Registry,
        load_table: LoadTable,
        max_per_s: float,
        requests_per_s: Callable[[str, float], float],
        startup_until_ms: float = 0.0,
        startup_probe_limit: int = 0,
        evacuated: Callable[[], frozenset[str]] = frozenset,
        is_link_down: Callable[[str], bool] = lambda incarnation: False,
        without_link: Callable[[BackendServer, float], set[str]] = lambda server, now_ms: set(),
    ) -> None:
        """Set up the schedule.

        `requests_per_s` returns how many requests of a service this VM gets per second at a time.
        Before `startup_until_ms`, at most `startup_probe_limit` backend servers are probed.  The
        endpoints of the `evacuated` data centres get no requests, so they are not probed either.
        `is_link_down` returns whether this VM does not reach an incarnation, and `without_link`
        which other VMs don't reach an endpoint: the next VM in the order probes it.
        """
        self._is_link_down = is_link_down
        self._without_link = without_link
        self._startup_until_ms = startup_until_ms
        self._startup_probe_limit = startup_probe_limit
        self._own_vm = own_vm
        self._evacuated = evacuated
        self._max_per_s = max_per_s
        self._requests_per_s = requests_per_s
        self._intervals_ms: dict[str, float] = {}
        self._next_ms: dict[str, float] = {}
        self._members = members
        self._registry = registry
        self._load_table = load_table
        self._ranked: list[tuple[BackendServer, int]] = []
        self._own: list[BackendServer] = []
        self._order_due_ms = 0.0
        self._takeover_check_ms = 0.0

    def due(self, now_ms: float) -> list[BackendServer]:
        """Return the backend servers to probe now; to be called often."""
        if not self._max_per_s:
            return []
        if now_ms >= self._order_due_ms:
            self._order_due_ms = now_ms + ORDER_MS
            self._ranked = []
            if self._members.is_cut_off(now_ms):
                self._rank_while_isolated()
                self._set_intervals(now_ms)
            elif self._members.is_load_subscriber(now_ms):
                self._rank_servers(now_ms)
                self._set_intervals(now_ms)
            if now_ms < self._startup_until_ms:
                self._order_due_ms = min(self._order_due_ms, self._startup_until_ms)
                servers = [server for server, _ in self._ranked]
                self._ranked = self._own_selection(servers, self._startup_probe_limit)
            self._own = [server for server, rank in self._ranked if rank == 0]
            self._takeover_check_ms = now_ms
        found = [server for server in self._own if self._is_planned(server, now_ms)]
        found += self._to_take_over(now_ms)
        for server in found:
            interval_ms = self._intervals_ms.get(server.service, ORDER_MS)
            planned_ms = self._next_ms.get(server.incarnation, now_ms)
            self._next_ms[server.incarnation] = max(planned_ms, now_ms - interval_ms) + interval_ms
        return found

    def forget(self, incarnation: str) -> None:
        """Drop the schedule of a backend server that is gone."""
        self._next_ms.pop(incarnation, None)

    def _is_planned(self, server: BackendServer, now_ms: float) -> bool:
        if now_ms < self._next_ms.get(server.incarnation, 0.0) - SLACK_MS:
            return False
        return not (self._is_link_down(server.incarnation) and self._is_probed(server, now_ms))

    def _is_probed(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether another VM probes an endpoint, as its recent load reports show."""
        load = self._load_table.get_or_create(server.incarnation)
        return load.since_last_probe_ms(now_ms) < PROBED_MS

    def _to_take_over(self, now_ms: float) -> list[BackendServer]:
        """Return the backend servers that another VM should probe, but that no VM has probed.

        The search is repeated when the first of them could be due, not at each tick, because it
        would be most of the cost of the ticks.
        """
        if now_ms < self._takeover_check_ms:
            return []
        found, soonest_ms = [], ORDER_MS
        for server, rank in self._ranked:
            if rank == 0 or self._is_link_down(server.incarnation):
                continue
            since_probe_ms = self._load_table.get_or_create(server.incarnation).since_last_probe_ms(
                now_ms
            )
            interval_ms = self._intervals_ms.get(server.service, 0.0)
            left_ms = rank * max(TAKEOVER_MS, TAKEOVER_INTERVALS * interval_ms) - since_probe_ms
            soonest_ms = min(soonest_ms, left_ms)
            if left_ms <= 0 and self._is_planned(server, now_ms):
                found.append(server)
        self._takeover_check_ms = now_ms + soonest_ms
        return found

    def _set_intervals(self, now_ms: float) -> None:
        """Set how often the endpoints of each service are probed.

        Callers choose VMs at random, so the other VMs whose addresses they get receive about as
        many requests as this one.
        """
        max_per_s = self._max_per_s
        vms = 1 + sum(1 for item in self._members.alive(now_ms) if item.ready)
        if self._members.in_large_data_center():
            max_per_s = min(max_per_s, LARGE_MAX_PROBES_PER_S)
            data_centers = 1 + len(self._members.remote_members(now_ms))
            vms = min(vms, data_centers * len(self._members.serving_vms(now_ms)))
        affordable_per_s = self._affordable_per_s(now_ms)
        for service in {server.service for server in self._registry.servers()}:
            endpoints = len(self._registry.of_service(service))
            requests_per_s = self._requests_per_s(service, now_ms) * vms / endpoints
            wanted_per_s = max(PROBES_PER_REQUEST * requests_per_s, MIN_PROBES_PER_S)
            self._intervals_ms[service] = 1000 / min(wanted_per_s, max_per_s, affordable_per_s)

    def _affordable_per_s(self, now_ms: float) -> float:
        """Return how often each endpoint can be probed without too much work for a VM.

        The data centre with the most endpoints decides, so that all VMs come to the same result.
        """
        endpoints = Counter(server.data_center for server in self._in_use())
        if not endpoints:
            return VM_MAX_PROBES_PER_S
        members = self._members
        probing_vms = len(members.load_subscribers(now_ms)) - len(members.serving_vms(now_ms))
        if not members.in_large_data_center() or probing_vms <= 0:
            alive = 1 + sum(1 for item in members.alive(now_ms) if item.ready)
            probing_vms = max(1, alive // (1 + len(members.remote_members(now_ms))))
        return VM_MAX_PROBES_PER_S * probing_vms / max(endpoints.values())

    def _rank_servers(self, now_ms: float) -> None:
        """Compute this VM's rank in the order for each backend server that it may probe."""
        by_data_center: dict[str, list[BackendServer]] = {}
        for server in self._in_use():
            by_data_center.setdefault(server.data_center, []).append(server)
        for data_center, servers in by_data_center.items():
            ranks = self._group_ranks(data_center, -(-len(servers) // GROUP_SIZE), now_ms)
            if ranks[0] is None:
                continue
            reduced: dict[frozenset[str], list[int | None]] = {}
            for server in servers:
                group = rendezvous_weight("group", server.incarnation) % len(ranks)
                without = frozenset(self._without_link(server, now_ms))
                if without and without not in reduced:
                    reduced[without] = self._group_ranks(data_center, len(ranks), now_ms, without)
                rank = reduced[without][group] if without else ranks[group]
                if rank is not None:
                    self._ranked.append((server, rank))

    def _in_use(self) -> list[BackendServer]:
        """Return the backend servers that may get requests: their data centre is not evacuated."""
        evacuated = self._evacuated()
        return [item for item in self._registry.servers() if item.data_center not in evacuated]

    def _rank_while_isolated(self) -> None:
        """Probe a group for this VM alone while it is isolated, if it has requests.

        A serving VM is late in the order of each group: while isolated, it would have to wait for
        load reports, and would dispatch requests without them.
        """
        if self._load_table.has_requests():
            self._ranked = self._own_selection(self._in_use(), GROUP_SIZE)

    def _own_selection(
        self, servers: Iterable[BackendServer], count: int
    ) -> list[tuple[BackendServer, int]]:
        """Return a few backend servers for this VM alone to probe, local ones first.

        Each VM gets different ones.
        """

        def order(server: BackendServer) -> tuple[bool, int]:
            is_remote = server.data_center != self._members.data_center
            return is_remote, rendezvous_weight(self._own_vm, server.incarnation)

        return [(server, 0) for server in sorted(servers, key=order)[:count]]

    def _group_ranks(
        self,
        data_center: str,
        groups: int,
        now_ms: float,
        without: frozenset[str] = frozenset(),
    ) -> list[int | None]:
        """Return this VM's rank in the order of each group, or None where it has none.

        The VMs in `without` are left out of the order.
        """
        vms = self._members.data_center_vms(data_center, now_ms)
        vms = [vm for vm in vms if vm not in without]
        if self._members.in_large_data_center():
            return self._large_group_ranks(data_center, vms, groups, now_ms, without)
        if not vms:
            alive = self._members.alive(now_ms)
            vms = [item.vm for item in alive if item.ready and item.vm not in without]
            vms.append(self._own_vm)
        if self._own_vm not in vms:
            return [None] * groups
        return [self._group_rank(f"{data_center}/{group}", vms) for group in range(groups)]

    def _large_group_ranks(
        self,
        data_center: str,
        vms: list[str],
        groups: int,
        now_ms: float,
        without: frozenset[str],
    ) -> list[int | None]:
        """Return the same for a large data centre.

        Only a part of its VMs receives the load reports, and so notices their absence.  The standby
        VMs rank before the serving VMs.  A data centre that has no VM is probed by one of the other
        data centres, and by the next one once that has failed as a whole.
        """
        subscribers = self._members.load_subscribers(now_ms)
        subscribers = [vm for vm in subscribers if vm not in without]
        if vms and self._own_vm not in vms:
            return [None] * groups
        before = 0 if vms else len(subscribers) * self._data_centers_before(data_center, now_ms)
        serving = [vm for vm in self._members.serving_vms(now_ms) if vm not in without]
        standby = [vm for vm in subscribers if vm not in serving]
        peers = standby if self._own_vm in standby else serving
        before += 0 if peers is standby else len(standby)
        return [
            before + self._group_rank(f"{data_center}/{group}", peers) for group in range(groups)
        ]

    def _data_centers_before(self, data_center: str, now_ms: float) -> int:
        """Return how many data centres rank before the own one in probing one that has no VM."""
        others = self._members.remote_members(now_ms)
        return rendezvous_rank(data_center, self._members.data_center, others)

    def _group_rank(self, key: str, vms: Sequence[str]) -> int:
        return rendezvous_rank(key, self._own_vm, vms)
