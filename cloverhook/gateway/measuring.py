"""Decides which backend servers this VM measures.

Layer: coordination.  The backend servers of a data centre form a few groups, and each group has an
order of the VMs of that data centre.  The first one measures the group; its figures reach all
others, and so do their absence: the next in the order steps in once no figure has come for a while,
and stops when the first one is back.  Nobody has to be told, and two that measure for a moment cost
a few probes.

Probes are paid for, and a figure is worth something only to a request that is placed by it.  So an
endpoint is measured the more often, the more requests it gets.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.load import LoadTable
from cloverhook.gateway.members import Members
from cloverhook.gateway.ranking import rendezvous_rank, rendezvous_weight
from cloverhook.gateway.registry import Registry

__all__ = ["GROUP_SIZE", "STARTUP_DELAY_MS", "ProbeSchedule"]

GROUP_SIZE = 24
"""The figures of a group share one datagram, and a small VM can measure it beside its requests."""
STEP_IN_MS = 350.0
"""Two of the slowest probes in a row without a figure: their sender is dead, paused or cut off."""
PROBES_PER_REQUEST = 3.0
"""An endpoint's pace changes several times a second: a request should find a figure that is at most
a third of the time between requests old, and probes are paid for."""
FEWEST_PROBES_PER_S = 6.0
"""An endpoint that hardly anybody calls is measured often enough to know when it turns slow."""
CROWD_MOST_PROBES_PER_S = 10.0
"""Each figure goes to all informed VMs of a crowded data centre, and there are many endpoints."""
VM_MOST_PROBES_PER_S = 150.0
"""A small VM can send so many beside what else it does.  Where there are more endpoints than the
measuring VMs of a data centre can ask as often as wanted, all are asked less often: a VM that is
saturated answers nobody in time."""
STEP_IN_INTERVALS = 2.2
"""Two probes that are missed show that their sender is gone, however seldom they are."""
SLACK_MS = 5.0
"""A probe that is due within this time goes out now, with the others."""
STARTUP_DELAY_MS = 2_000.0
"""A VM that has just started knows nobody and would measure everything: it listens first, for long
enough to meet the others after a loss of all power.  At a later start callers are waiting, so it
measures a group."""
ORDER_MS = 250.0
"""The orders are worked out anew after this time; they change only with the VMs."""


class ProbeSchedule:
    """The backend servers that are due for a probe by this VM."""

    def __init__(
        self,
        own_vm: str,
        members: Members,
        registry: Registry,
        board: LoadTable,
        most_per_s: float,
        requests_per_s: Callable[[str, float], float],
        startup_until_ms: float = 0.0,
        startup_probe_limit: int = 0,
        evacuated: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """`requests_per_s` says how many requests of a service this VM gets at a time.

        Before `startup_until_ms` so many backend servers are measured as `startup_probe_limit`
        says.  The endpoints of `evacuated` data centres get nothing, so no probe either.
        """
        self._startup_until_ms = startup_until_ms
        self._startup_probe_limit = startup_probe_limit
        self._own_vm = own_vm
        self._evacuated = evacuated
        self._most_per_s = most_per_s
        self._requests_per_s = requests_per_s
        self._intervals_ms: dict[str, float] = {}
        self._next_ms: dict[str, float] = {}
        self._members = members
        self._registry = registry
        self._board = board
        self._ranked: list[tuple[BackendServer, int]] = []
        self._own: list[BackendServer] = []
        self._order_due_ms = 0.0
        self._step_in_due_ms = 0.0

    def due(self, now_ms: float) -> list[BackendServer]:
        """Return the backend servers to probe now; to be asked often."""
        if not self._most_per_s:
            return []
        if now_ms >= self._order_due_ms:
            self._order_due_ms = now_ms + ORDER_MS
            self._ranked = []
            if self._members.is_cut_off(now_ms):
                self._rank_for_itself()
                self._set_intervals(now_ms)
            elif self._members.is_load_subscriber(now_ms):
                self._order(now_ms)
                self._set_intervals(now_ms)
            if now_ms < self._startup_until_ms:
                self._order_due_ms = min(self._order_due_ms, self._startup_until_ms)
                servers = [server for server, _ in self._ranked]
                self._ranked = self._first_ones(servers, self._startup_probe_limit)
            self._own = [server for server, rank in self._ranked if rank == 0]
            self._step_in_due_ms = now_ms
        found = [server for server in self._own if self._is_planned(server, now_ms)]
        found += self._to_step_in(now_ms)
        for server in found:
            interval_ms = self._intervals_ms.get(server.service, ORDER_MS)
            planned_ms = self._next_ms.get(server.incarnation, now_ms)
            self._next_ms[server.incarnation] = max(planned_ms, now_ms - interval_ms) + interval_ms
        return found

    def forget(self, incarnation: str) -> None:
        """Drop the plan for a backend server that is gone."""
        self._next_ms.pop(incarnation, None)

    def _is_planned(self, server: BackendServer, now_ms: float) -> bool:
        return now_ms >= self._next_ms.get(server.incarnation, 0.0) - SLACK_MS

    def _to_step_in(self, now_ms: float) -> list[BackendServer]:
        """Return the backend servers that another VM should measure and no VM has.

        The walk is repeated when the first of them could be due, not at each tick: it would be most
        of what the ticks cost.
        """
        if now_ms < self._step_in_due_ms:
            return []
        found, soonest_ms = [], ORDER_MS
        for server, rank in self._ranked:
            if rank == 0:
                continue
            unmeasured_ms = self._board.get_or_create(server.incarnation).since_last_probe_ms(
                now_ms
            )
            interval_ms = self._intervals_ms.get(server.service, 0.0)
            left_ms = rank * max(STEP_IN_MS, STEP_IN_INTERVALS * interval_ms) - unmeasured_ms
            soonest_ms = min(soonest_ms, left_ms)
            if left_ms <= 0 and self._is_planned(server, now_ms):
                found.append(server)
        self._step_in_due_ms = now_ms + soonest_ms
        return found

    def _set_intervals(self, now_ms: float) -> None:
        """Set how often the endpoints of each service are measured.

        Callers choose VMs at random, so the others that they are sent to get about as many requests
        as this one.
        """
        most_per_s = self._most_per_s
        vms = 1 + sum(1 for item in self._members.alive(now_ms) if item.ready)
        if self._members.in_large_data_center():
            most_per_s = min(most_per_s, CROWD_MOST_PROBES_PER_S)
            data_centers = 1 + len(self._members.remote_members(now_ms))
            vms = min(vms, data_centers * len(self._members.serving_vms(now_ms)))
        bearable_per_s = self._bearable_per_s(now_ms)
        for service in {server.service for server in self._registry.servers()}:
            endpoints = len(self._registry.of_service(service))
            requests_per_s = self._requests_per_s(service, now_ms) * vms / endpoints
            wanted_per_s = max(PROBES_PER_REQUEST * requests_per_s, FEWEST_PROBES_PER_S)
            self._intervals_ms[service] = 1000 / min(wanted_per_s, most_per_s, bearable_per_s)

    def _bearable_per_s(self, now_ms: float) -> float:
        """Return how often each endpoint can be probed without too much work for a VM.

        The data centre with most endpoints decides, so that all VMs come to the same.
        """
        endpoints = Counter(server.data_center for server in self._in_use())
        if not endpoints:
            return VM_MOST_PROBES_PER_S
        members = self._members
        measurers = len(members.load_subscribers(now_ms)) - len(members.serving_vms(now_ms))
        if not members.in_large_data_center() or measurers <= 0:
            alive = 1 + sum(1 for item in members.alive(now_ms) if item.ready)
            measurers = max(1, alive // (1 + len(members.remote_members(now_ms))))
        return VM_MOST_PROBES_PER_S * measurers / max(endpoints.values())

    def _order(self, now_ms: float) -> None:
        """Work out this VM's place in the order for each backend server that it may measure."""
        sites: dict[str, list[BackendServer]] = {}
        for server in self._in_use():
            sites.setdefault(server.data_center, []).append(server)
        for data_center, servers in sites.items():
            places = self._places(data_center, -(-len(servers) // GROUP_SIZE), now_ms)
            if places[0] is None:
                continue
            for server in servers:
                rank = places[rendezvous_weight("group", server.incarnation) % len(places)]
                if rank is not None:
                    self._ranked.append((server, rank))

    def _in_use(self) -> list[BackendServer]:
        """Return the backend servers that may get requests, by their data centre."""
        left = self._evacuated()
        return [item for item in self._registry.servers() if item.data_center not in left]

    def _rank_for_itself(self) -> None:
        """Measure a group for this VM alone, if it has requests, while it hears no other VM.

        A VM that callers are sent to is late in the order of each group: cut off, it would have to
        wait for figures, and place requests blindly.
        """
        if self._board.has_requests():
            self._ranked = self._first_ones(self._in_use(), GROUP_SIZE)

    def _first_ones(
        self, servers: Iterable[BackendServer], count: int
    ) -> list[tuple[BackendServer, int]]:
        """Return a few backend servers for this VM alone, others at each VM, near ones first."""

        def order(server: BackendServer) -> tuple[bool, int]:
            is_far = server.data_center != self._members.data_center
            return is_far, rendezvous_weight(self._own_vm, server.incarnation)

        return [(server, 0) for server in sorted(servers, key=order)[:count]]

    def _places(self, data_center: str, groups: int, now_ms: float) -> list[int | None]:
        """Return this VM's place in the order of each group, or None where it has none."""
        vms = self._members.data_center_vms(data_center, now_ms)
        if self._members.in_large_data_center():
            return self._crowd_places(data_center, vms, groups, now_ms)
        if not vms:
            alive = self._members.alive(now_ms)
            vms = [item.vm for item in alive if item.ready] + [self._own_vm]
        if self._own_vm not in vms:
            return [None] * groups
        return [self._place(f"{data_center}/{group}", vms) for group in range(groups)]

    def _crowd_places(
        self, data_center: str, vms: list[str], groups: int, now_ms: float
    ) -> list[int | None]:
        """Return the same where only a part of the VMs is told the figures, and so their absence.

        Those that would serve callers next go before those that do.  Where a data centre has no
        VM, one of the others measures it, and the next one once that has failed as a whole.
        """
        informed = self._members.load_subscribers(now_ms)
        if vms and self._own_vm not in vms:
            return [None] * groups
        before = 0 if vms else len(informed) * self._sites_before(data_center, now_ms)
        serving = self._members.serving_vms(now_ms)
        spare = [vm for vm in informed if vm not in serving]
        peers = spare if self._own_vm in spare else serving
        before += 0 if peers is spare else len(spare)
        return [before + self._place(f"{data_center}/{group}", peers) for group in range(groups)]

    def _sites_before(self, data_center: str, now_ms: float) -> int:
        """Return how many data centres go before the own one in measuring an empty one."""
        others = self._members.remote_members(now_ms)
        return rendezvous_rank(data_center, self._members.data_center, others)

    def _place(self, key: str, vms: Sequence[str]) -> int:
        return rendezvous_rank(key, self._own_vm, vms)
