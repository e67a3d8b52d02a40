"""Replays load on the gateway's own decisions: no sockets, no clock, the same each time.

Some VMs, each with its own `RequestQueue`, `Balancer` and `LoadTable`, serve two kinds of request
on endpoints with few slots, whose pace changes many times a second and whose last slot makes all
their work slow.  Figures of probes and counts in flight reach the VMs late, as between real
gateways.

`python -m bench.gateway_replay` prints a table of deployments and loads; see `docs/LOAD.md`.

>>> outcome = play(Deployment(vms=2, endpoints=4), Load(requests_per_s=10.0), seed=1)
>>> outcome.in_aim > 0.9
True
"""

import functools
import heapq
import itertools
import random
import sys
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.gateway_loads import Deployment, Kind, Load, Outcome
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import CapacityRequirement, Choice, WorkEstimates
from cloverhook.gateway.circuit_breaker import RECENT_ANSWER_MS, CircuitBreaker
from cloverhook.gateway.final_answer import RETRY_AFTER_RANGE_MS
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue
from cloverhook.gateway.server_load import LoadReport, LoadTable

__all__ = ["Deployment", "Kind", "Load", "Outcome", "play"]

SERVICE = "alerts"
DATA_CENTER = "here"
TICK_MS = 50.0
NEWS_MS = 3.0
"""From a change to the moment at which a neighbour has counted it: gathering, and the way."""
WAY_MS = 1.0
"""From the caller to a gateway, and from there to an endpoint."""
SPREAD = 0.3
"""Of the logarithm of the work of one request."""
LATE_CREDIT = 0.1
WINDOW_MS = 2_000.0
WORST_WINDOWS = 2
SHED_SHARE = 0.55
"""An endpoint that sheds turns this part of what it gets away."""
REPEAT_SHARE = 0.2
SENDS = 4
ATTEMPTS = 2
"""A request that can be repeated is sent to so many endpoints at most."""


@dataclass(slots=True, eq=False)
class _Request:
    kind: Kind
    first_ms: float
    until_ms: float
    tries: int = 0
    result: str = ""
    tried: list[str] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Work:
    request: _Request
    vm: "_Vm"
    choice: Choice
    until_ms: float
    begun_ms: float = 0.0
    over: bool = False
    running: bool = False


@dataclass(slots=True)
class _Endpoint:
    server: BackendServer
    slowdown: float = 1.0
    running: list[_Work] = field(default_factory=list)
    queued: list[_Work] = field(default_factory=list)
    lies: bool = False
    sheds: bool = False
    down: bool = False

    def load_report(self) -> LoadReport:
        return LoadReport(len(self.running), len(self.queued), self.slowdown, not self.down)


class _Vm:
    def __init__(self, name: str, registry: Registry, source: random.Random) -> None:
        self.name = name
        self.load_table = LoadTable()
        self.estimates = WorkEstimates()
        balancer = Balancer(registry, self.load_table, self.estimates, DATA_CENTER, source)
        self.line = RequestQueue(balancer)
        self.cut_off = False
        self.requests: dict[QueuedRequest, _Request] = {}
        self.arrivals = self.repeats = 0

    def may_repeat(self) -> bool:
        """Return whether another repeat stays within what is allowed of this VM's requests."""
        return self.repeats + 1 <= REPEAT_SHARE * self.arrivals


class _Replay:
    def __init__(self, deployment: Deployment, load: Load, seed: int) -> None:
        self.deployment, self.load = deployment, load
        self.source = random.Random(seed)
        self.now_ms = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        registry = Registry()
        self.endpoints: dict[str, _Endpoint] = {}
        for number in range(deployment.endpoints):
            server = BackendServer(
                f"i-{number}", SERVICE, f"10.0.0.{number}:1", DATA_CENTER, deployment.slots
            )
            registry.apply(ServerRecord(server.name, number, server), 0.0, False)
            lies = number < deployment.lying_share * deployment.endpoints
            sheds = number < deployment.shedding_share * deployment.endpoints
            down = number < deployment.down_share * deployment.endpoints
            self.endpoints[server.incarnation] = _Endpoint(
                server, 1.0, lies=lies, sheds=sheds, down=down
            )
        self.vms = [_Vm(f"vm-{x}", registry, self.source) for x in range(deployment.vms)]
        self.requests: list[_Request] = []
        self.rejected = 0
        self.arrivals = 0

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def run(self) -> Outcome:
        self._sample_slowdowns()
        self._probe()
        self._tick()
        if self.deployment.cut_off:
            self.at(self.deployment.cut_from_ms, self._cut_off)
        self._next_arrival()
        while self._events and self.now_ms < self.load.length_ms + 3_000.0:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return self._outcome()

    # The load.

    def _next_arrival(self) -> None:
        load = self.load
        rate_per_s = load.requests_per_s
        if load.burst_from_ms <= self.now_ms < load.burst_to_ms:
            rate_per_s *= load.burst
        at_ms = self.now_ms + self.source.expovariate(rate_per_s) * 1_000
        if at_ms < load.length_ms:
            self.at(at_ms, self._arrival)

    def _arrival(self) -> None:
        self._next_arrival()
        kind = self.source.choices(self.load.kinds, [item.share for item in self.load.kinds])[0]
        request = _Request(kind, self.now_ms, self.now_ms + kind.deadline_ms)
        self.requests.append(request)
        self._offer(request)

    def _offer(self, request: _Request) -> None:
        vm = self.source.choice(self.vms)
        vm.arrivals += 1
        request.tries += 1
        kind = request.kind
        queued = QueuedRequest(
            SERVICE,
            kind.priority,
            vm.estimates.work_ms(kind.name, kind.objective_ms),
            self.now_ms + WAY_MS,
            kind.objective_ms,
            min(self.now_ms + kind.timeout_ms, request.until_ms),
            is_top_priority=kind.priority <= min(item.priority for item in self.load.kinds),
            retryable=kind.idempotent,
        )
        vm.requests[queued] = request
        self.at(self.now_ms + WAY_MS, lambda: (vm.line.add(queued), self._admit_ready(vm)))

    def _admit_ready(self, vm: _Vm) -> None:
        while (decision := vm.line.next(SERVICE, self.now_ms)) is not None:
            offered = vm.requests.pop(decision.request)
            if decision.choice is None:
                self._reject(offered, vm)
            else:
                self._start(offered, vm, decision.choice, decision.request.deadline_ms)

    def _reject(self, request: _Request, vm: _Vm) -> None:
        back_ms = self.source.uniform(*RETRY_AFTER_RANGE_MS)
        left_ms = request.until_ms - self.now_ms
        if request.tries > 1 or back_ms > left_ms / 3:
            request.result = "refused"
        else:
            self.at(self.now_ms + back_ms + 2 * WAY_MS, lambda: self._offer(request))

    # The endpoints.

    def _start(self, request: _Request, vm: _Vm, choice: Choice, until_ms: float) -> None:
        self._count(vm, choice, 1)
        work = _Work(request, vm, choice, until_ms, self.now_ms)
        self.at(self.now_ms + WAY_MS, lambda: self._at_endpoint(work))
        self.at(until_ms, lambda: self._give_up(work))

    def _count(self, vm: _Vm, choice: Choice, change: int) -> None:
        name = choice.server.incarnation
        load = vm.load_table.get_or_create(name)
        load.in_flight += change
        count = load.in_flight
        self.at(self.now_ms + NEWS_MS, lambda: self._receive_count(vm, name, count))

    def _receive_count(self, vm: _Vm, name: str, count: int) -> None:
        for other in self.vms:
            if other is not vm and not (vm.cut_off or other.cut_off):
                other.load_table.get_or_create(name).set_peer_in_flight(vm.name, count, self.now_ms)
                self._admit_ready(other)

    def _at_endpoint(self, work: _Work) -> None:
        endpoint = self.endpoints[work.choice.server.incarnation]
        self.arrivals += 1
        if endpoint.lies and self.now_ms >= self.deployment.lying_from_ms:
            if not self.deployment.hanging:
                self.at(self.now_ms + WAY_MS, lambda: self._failed(work))
            return
        if endpoint.down:
            self.at(self.now_ms + WAY_MS, lambda: self._not_reached(work))
        elif endpoint.sheds and self.source.random() < SHED_SHARE:
            self.at(self.now_ms + WAY_MS, lambda: self._shed(work))
        elif len(endpoint.running) < self.deployment.slots:
            self._run(endpoint, work)
        elif len(endpoint.queued) < self.deployment.queue:
            endpoint.queued.append(work)
        else:
            self.rejected += 1  # It hangs: the gateway hears nothing until it gives up.

    def _run(self, endpoint: _Endpoint, work: _Work) -> None:
        work.running = True
        endpoint.running.append(work)
        kind, deployment = work.request.kind, self.deployment
        took_ms = kind.work_ms * self.source.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        took_ms *= endpoint.slowdown
        if deployment.slots > 1 and len(endpoint.running) == deployment.slots:
            took_ms *= deployment.knee
        self.at(self.now_ms + took_ms, lambda: self._done(endpoint, work))

    def _done(self, endpoint: _Endpoint, work: _Work) -> None:
        if work.over:
            return
        self._leave(endpoint, work)
        lost = self.deployment.lost_share and self.source.random() < self.deployment.lost_share
        if lost:
            self.at(self.now_ms + WAY_MS, lambda: self._failed(work))
        else:
            self.at(self.now_ms + WAY_MS, lambda: self._answered(endpoint, work))

    def _leave(self, endpoint: _Endpoint, work: _Work) -> None:
        work.over = True
        if work in endpoint.running:
            endpoint.running.remove(work)
            if endpoint.queued:
                self._run(endpoint, endpoint.queued.pop(0))
        elif work in endpoint.queued:
            endpoint.queued.remove(work)

    def _answered(self, endpoint: _Endpoint, work: _Work) -> None:
        vm, choice, kind = work.vm, work.choice, work.request.kind
        load = vm.load_table.get_or_create(choice.server.incarnation)
        load.update(endpoint.load_report(), self.now_ms, ended_count=1)
        load.record_success(self.now_ms)
        load.circuit_breaker.record_answer(self.now_ms)
        latency_ms = self.now_ms - work.begun_ms
        if choice.load < choice.server.slots:
            vm.estimates.record_latency(kind.name, kind.objective_ms, latency_ms, choice)
        total_ms = self.now_ms + WAY_MS - work.request.first_ms
        work.request.result = "in aim" if total_ms <= kind.objective_ms else "late"
        self._count(vm, choice, -1)
        self._admit_ready(vm)

    def _failed(self, work: _Work) -> None:
        """Tell all VMs of a failure, and send the request elsewhere if that may be done."""
        work.over = True
        vm, request, kind = work.vm, work.request, work.request.kind
        self._count(vm, work.choice, -1)
        self._distrust(work)
        request.result = "failed"
        request.tried.append(work.choice.server.incarnation)
        if kind.idempotent and len(request.tried) < ATTEMPTS:
            choice = vm.line._balancer.choose(
                SERVICE, kind.work_ms, self.now_ms, request.tried, CapacityRequirement.FREE_SLOT
            )
            if choice is not None:
                self._start(request, vm, choice, work.until_ms)
        self._admit_ready(vm)

    def _shed(self, work: _Work) -> None:
        """Tell all VMs that an endpoint turned a request away with room, and send it elsewhere."""
        work.over = True
        vm, name = work.vm, work.choice.server.incarnation
        self._count(vm, work.choice, -1)
        vm.load_table.get_or_create(name).record_end(self.now_ms)
        for other in self.vms:
            delay_ms = 0.0 if other is vm else NEWS_MS
            load = other.load_table.get_or_create(name)
            self.at(self.now_ms + delay_ms, lambda load=load: load.record_refusal(self.now_ms))
        vm.repeats += self._send_on(work, vm.may_repeat())

    def _not_reached(self, work: _Work) -> None:
        """Find nobody at an endpoint: the request has not run, and may go elsewhere at once."""
        work.over = True
        name = work.choice.server.incarnation
        self._count(work.vm, work.choice, -1)
        work.vm.load_table.get_or_create(name).record_unreachable(self.now_ms)
        self._send_on(work, allowed=True)

    def _send_on(self, work: _Work, allowed: bool) -> bool:
        """Send a request that has not run to another endpoint, or refuse it and return False."""
        vm, request = work.vm, work.request
        request.tried.append(work.choice.server.incarnation)
        choice = None
        if len(request.tried) < SENDS and allowed:
            work_ms = vm.estimates.work_ms(request.kind.name, request.kind.objective_ms)
            choice = vm.line._balancer.choose(
                SERVICE, work_ms, self.now_ms, request.tried, CapacityRequirement.FREE_SLOT
            )
        if choice is None:
            request.tried.clear()
            self._reject(request, vm)
        else:
            self._start(request, vm, choice, work.until_ms)
        self._admit_ready(vm)
        return choice is not None

    def _distrust(self, work: _Work) -> None:
        name, began_ms = work.choice.server.incarnation, work.begun_ms
        load = work.vm.load_table.get_or_create(name)
        answered = load.circuit_breaker.answered_since(self.now_ms - RECENT_ANSWER_MS)
        load.record_failure(self.now_ms)
        load.circuit_breaker.record_failure(self.now_ms, began_ms)
        for other in self.vms:
            if other is not work.vm and not (work.vm.cut_off or other.cut_off):
                breaker = other.load_table.get_or_create(name).circuit_breaker
                news = functools.partial(self._receive_failure, breaker, began_ms, answered)
                self.at(self.now_ms + NEWS_MS, news)

    def _receive_failure(
        self, circuit_breaker: CircuitBreaker, began_ms: float, answered: bool
    ) -> None:
        circuit_breaker.record_peer_failure(self.now_ms, began_ms, answered)

    def _give_up(self, work: _Work) -> None:
        if work.over:
            return
        if self.endpoints[work.choice.server.incarnation].lies:
            self._distrust(work)
        self._leave(self.endpoints[work.choice.server.incarnation], work)
        work.request.result = "failed"
        self._count(work.vm, work.choice, -1)
        self._admit_ready(work.vm)

    # What goes on without requests.

    def _sample_slowdowns(self) -> None:
        for endpoint in self.endpoints.values():
            slow = self.source.random() < self.deployment.slow_share
            endpoint.slowdown = self.deployment.slow_by if slow else 1.0
        self.at(self.now_ms + self.deployment.slow_every_ms, self._sample_slowdowns)

    def _probe(self) -> None:
        for name, endpoint in self.endpoints.items():
            load_report, at_ms = endpoint.load_report(), self.now_ms
            self.at(at_ms + NEWS_MS, lambda x=(name, load_report, at_ms): self._measured(*x))
        self.at(self.now_ms + self.deployment.probe_ms, self._probe)

    def _measured(self, name: str, load_report: LoadReport, at_ms: float) -> None:
        for vm in self.vms:
            if not vm.cut_off:
                vm.load_table.get_or_create(name).update_from_probe(load_report, at_ms)

    def _cut_off(self) -> None:
        """Let some VMs hear no other one from now on."""
        group = min(self.deployment.own_group, len(self.endpoints))
        for vm in self.vms[: self.deployment.cut_off]:
            vm.cut_off = True
            self._probe_for_itself(vm, self.source.sample(list(self.endpoints), group))

    def _probe_for_itself(self, vm: _Vm, names: list[str]) -> None:
        """Let a VM that hears no other measure some endpoints."""
        for name in names:
            vm.load_table.get_or_create(name).update_from_probe(
                self.endpoints[name].load_report(), self.now_ms
            )
        self.at(
            self.now_ms + self.deployment.own_probe_ms, lambda: self._probe_for_itself(vm, names)
        )

    def _tick(self) -> None:
        for vm in self.vms:
            self._admit_ready(vm)
        self.at(self.now_ms + TICK_MS, self._tick)

    # The result.

    def _outcome(self) -> Outcome:
        credits: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        kinds: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        counts: dict[str, int] = defaultdict(int)
        for request in self.requests:
            kind = request.kind
            counts[request.result or "failed"] += 1
            earned = {"in aim": 1.0, "late": LATE_CREDIT}.get(request.result, 0.0) * kind.worth
            for row in (credits[int(request.first_ms // WINDOW_MS)], kinds[kind.name]):
                row[0] += earned
                row[1] += kind.worth
        windows = sorted(earned / owed for earned, owed in credits.values())
        owed = sum(row[1] for row in kinds.values())
        total = len(self.requests)
        return Outcome(
            sum(row[0] for row in kinds.values()) / owed,
            sum(windows[:WORST_WINDOWS]) / WORST_WINDOWS,
            counts["in aim"] / total,
            counts["late"] / total,
            counts["refused"] / total,
            counts["failed"] / total,
            self.rejected / max(1, self.arrivals),
            {name: row[0] / row[1] for name, row in kinds.items()},
        )


def play(deployment: Deployment, load: Load, seed: int) -> Outcome:
    """Return what becomes of a load on a deployment."""
    return _Replay(deployment, load, seed).run()


def rows(seeds: range) -> list[str]:
    """Return the table's rows, as the mean over seeds."""
    found = []
    for vms, probe_ms in ((1, 10.0), (5, 60.0), (16, 60.0)):
        for load in (Load(35.0), Load(35.0, 1.6), Load(50.0, 1.6)):
            deployment = Deployment(vms=vms, probe_ms=probe_ms)
            outcomes = [play(deployment, load, seed) for seed in seeds]
            figures = [
                sum(getattr(item, name) for item in outcomes) / len(outcomes)
                for name in ("value", "credit", "worst", "in_aim", "late", "refused", "failed")
            ]
            name = f"{vms} VMs, {load.requests_per_s:g} a second, burst {load.burst:g}"
            found.append(f"| {name} | " + " | ".join(f"{item:.3f}" for item in figures) + " |")
    return found


def main() -> int:
    """Print the table."""
    print("| deployment and load | value | credit | worst | in aim | late | refused | failed |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for row in rows(range(4)):
        print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main())
