"""The ways that the replay compares: four that decide in each VM alone, an oracle, cloverhook."""

import heapq
import random
from collections.abc import Callable

from bench.replay_traces import Call, Deployment, Scenario, calls_of
from bench.replay_world import LOCAL_WAY_MS, Backend, Result, World
from cloverhook.fleet import Endpoint, Policy
from cloverhook.members import Member
from cloverhook.messages import encode
from cloverhook.ownership import owned_slots
from cloverhook.routing import ServiceRouter
from cloverhook.routing_events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    EndpointsChanged,
    HomesChanged,
    PeerMessageReceived,
    Probe,
    ProbeEnded,
    Reject,
    SendMessage,
    Start,
    Tick,
)
from cloverhook.steering import HomeRotation, answer_lifetime_ms, home_vms

__all__ = ["ALONE", "WAYS", "replay"]

VMS = 15
HOMES = 3
LIFETIME_MS = 5_000.0
STALE_MS = 30_000.0
TICK_MS = 10.0
MAX_ATTEMPTS = 3
TIMEOUT_MS = 10_000.0
MEMBERSHIP_LAG_MS = 300.0
RECONNECT_MS = 6.0
PROBE_MS = 6.0
FRAME_BYTES = 8
RETRIED = (AttemptResult.REFUSED, AttemptResult.NOT_SENT)


class AloneWay:
    """Each VM chooses by what it knows itself; callers are spread over all VMs."""

    def __init__(self, world: World, name: str, source: random.Random) -> None:
        self._world = world
        self._random = source
        self._choose = getattr(self, f"_{name}")
        self._in_flight = [[0] * len(world.backends) for _ in range(VMS)]
        self._turn = [source.randrange(len(world.backends)) for _ in range(VMS)]

    def arrive(self, call: Call) -> None:
        """Take a call."""
        epoch = int(call.arrives_ms / LIFETIME_MS)
        vm = random.Random(f"{call.caller} {epoch}").randrange(VMS)
        self._attempt(call, vm, 1)

    def _attempt(self, call: Call, vm: int, attempt: int) -> None:
        world = self._world
        backend = world.backends[self._choose(vm)]
        centers = world.deployment.data_centers
        way_ms = world.way_ms(centers[vm % len(centers)], backend.data_center)
        self._in_flight[vm][backend.index] += 1
        world.attempted(call)

        def end(result: AttemptResult, load: int) -> None:
            world.clock.after(way_ms, self._end, call, vm, backend.index, result, attempt)

        world.clock.after(way_ms, backend.offer, world.clock, call, end)

    def _end(self, call: Call, vm: int, index: int, result: AttemptResult, attempt: int) -> None:
        self._in_flight[vm][index] -= 1
        if result is AttemptResult.ANSWERED:
            self._world.ended(call, "answered")
        elif result in RETRIED and attempt < MAX_ATTEMPTS:
            self._attempt(call, vm, attempt + 1)
        else:
            self._world.ended(call, "failed")

    def _random_choice(self, vm: int) -> int:
        return self._random.randrange(len(self._world.backends))

    def _round_robin(self, vm: int) -> int:
        self._turn[vm] = (self._turn[vm] + 1) % len(self._world.backends)
        return self._turn[vm]

    def _least_in_flight(self, vm: int) -> int:
        counts = self._in_flight[vm]
        least = min(counts)
        return self._random.choice([i for i, count in enumerate(counts) if count == least])

    def _best_of_two(self, vm: int) -> int:
        one, other = self._random.sample(range(len(self._world.backends)), 2)
        counts = self._in_flight[vm]
        return one if counts[one] <= counts[other] else other


class Oracle:
    """One queue with an instant view of every slot and of how fast it is.

    Each call enters in the data centre of the endpoint it is given, so it never pays the way
    between data centres.
    """

    def __init__(self, world: World, source: random.Random) -> None:
        self._world = world
        self._random = source
        self._used = [0] * len(world.backends)
        self._queue: list[tuple[int, float, int, Call]] = []

    def arrive(self, call: Call) -> None:
        """Take a call."""
        heapq.heappush(self._queue, (call.priority, call.arrives_ms, id(call), call))
        self._serve()

    def _serve(self) -> None:
        while self._queue:
            call = self._queue[0][3]
            backend = self._best()
            if backend is None:
                return
            heapq.heappop(self._queue)
            self._begin(call, backend)

    def _best(self) -> Backend | None:
        now_ms = self._world.clock.now_ms
        best: tuple[float, Backend] | None = None
        fast_slots = 0
        for backend in self._world.backends:
            if any(backend.trouble(kind, now_ms) for kind in ("down", "failing", "draining")):
                continue
            slow = backend.trouble("slow", now_ms)
            factor = slow.factor if slow else 1.0
            fast_slots += 0 if slow else backend.slots
            if self._used[backend.index] < backend.slots and (best is None or factor < best[0]):
                best = (factor, backend)
        if best is None:
            return None
        wait_ms = len(self._queue) * 20.0 / max(1, fast_slots)
        return best[1] if wait_ms >= 20.0 * (best[0] - 1.0) else None

    def _begin(self, call: Call, backend: Backend) -> None:
        world = self._world
        way_ms = LOCAL_WAY_MS
        self._used[backend.index] += 1
        world.attempted(call)

        def end(result: AttemptResult, load: int) -> None:
            self._used[backend.index] -= 1
            outcome = "answered" if result is AttemptResult.ANSWERED else "failed"
            world.clock.after(way_ms, world.ended, call, outcome)
            self._serve()

        world.clock.after(way_ms, backend.offer, world.clock, call, end)
        if self._queue:
            world.clock.after(1.0, self._serve)


class _Vm:
    """One VM of the cloverhook way: a router, and the requests in flight there."""

    def __init__(self, name: str, data_center: str, router: ServiceRouter) -> None:
        self.name = name
        self.data_center = data_center
        self.router = router
        self.calls: dict[str, Call] = {}
        self.attempts: dict[str, tuple[Backend, list[int | None], float]] = {}
        self.lost = False
        self.order = HomeRotation()
        self.sent_bytes = 0


class Cloverhook:
    """The decision objects themselves, with callers steered to the home VMs."""

    def __init__(self, world: World, source: random.Random) -> None:
        self._world = world
        self._random = source
        centers = world.deployment.data_centers
        self._vms = [
            _Vm(
                f"vm-{i}",
                centers[i % len(centers)],
                ServiceRouter(random.Random(source.random()), world.deployment.name),
            )
            for i in range(VMS)
        ]
        self._answers: dict[int, tuple[_Vm, float]] = {}
        self._by_name = {vm.name: vm for vm in self._vms}
        self._configure()
        self._set_homes()
        for vm in self._vms:
            world.clock.after(source.random() * TICK_MS, self._tick, vm)
        if world.scenario.lost_home_ms is not None:
            world.clock.at(world.scenario.lost_home_ms, self._lose_home)

    def arrive(self, call: Call) -> None:
        """Take a call."""
        vm = self._vm_of(call)
        if vm.lost:
            vm = self._next_home(vm)
            self._answers[call.caller] = self._answer(self._ask(vm))
            self._world.clock.after(RECONNECT_MS, self._admit, vm, call)
            return
        self._admit(vm, call)

    def close(self) -> None:
        """Take the measures that are kept for each VM."""
        run_s = self._world.scenario.run_ms / 1000
        busiest = max(vm.sent_bytes for vm in self._vms)
        self._world.result.busiest_vm_bytes_per_s = busiest / run_s

    def _configure(self) -> None:
        self._endpoints = tuple(
            Endpoint(backend.address, backend.data_center, backend.slots)
            for backend in self._world.backends
        )
        for vm in self._vms:
            self._handle(vm, EndpointsChanged(self._endpoints, Policy()))

    def _set_homes(self) -> None:
        live = [Member(vm.name, vm.data_center, "", "") for vm in self._vms if not vm.lost]
        homes = home_vms(self._world.deployment.name, live, HOMES)
        self._homes_changed_ms = now_ms if (now_ms := self._world.clock.now_ms) else -1e9
        self._homes = [self._by_name[member.vm] for member in homes]
        names = tuple(vm.name for vm in self._homes)
        centers = {vm.name: vm.data_center for vm in self._vms}
        self._weights = owned_slots(self._endpoints, names, centers)
        for vm in self._vms:
            if not vm.lost:
                self._handle(vm, HomesChanged(vm.name, names, centers))

    def _vm_of(self, call: Call) -> _Vm:
        """Return the VM of the caller's answer; after its lifetime it asks that VM again.

        The run begins with callers that have been at it for long, so each first asks a home.
        """
        answer = self._answers.get(call.caller)
        if answer is None:
            stale = call.caller % 10 < self._world.scenario.stale_share * 10
            others = [vm for vm in self._vms if vm not in self._homes]
            asked = self._random.choice(others if stale else self._homes)
            first = asked if stale else self._ask(asked)
            ends_ms = STALE_MS if stale else self._random.random() * LIFETIME_MS
            answer = (first, call.arrives_ms + ends_ms)
        elif call.arrives_ms >= answer[1]:
            asked = self._next_home(answer[0]) if answer[0].lost else answer[0]
            answer = self._answer(self._ask(asked))
        self._answers[call.caller] = answer
        return answer[0]

    def _answer(self, vm: _Vm) -> tuple[_Vm, float]:
        now_ms = self._world.clock.now_ms
        changed_ms = self._homes_changed_ms
        return (vm, now_ms + answer_lifetime_ms(LIFETIME_MS, changed_ms, now_ms))

    def _ask(self, asked: _Vm) -> _Vm:
        live = [vm for vm in self._homes if not vm.lost]
        members = [Member(vm.name, vm.data_center, "", "") for vm in live]
        return self._by_name[asked.order.next_order("", members, self._weights)[0].vm]

    def _next_home(self, lost: _Vm) -> _Vm:
        left = [vm for vm in self._homes if not vm.lost]
        return left[self._random.randrange(len(left))]

    def _lose_home(self) -> None:
        vm = self._homes[0]
        vm.lost = True
        self._homes_changed_ms = self._world.clock.now_ms
        for backend, number, _ in vm.attempts.values():
            self._world.clock.after(LOCAL_CANCEL_MS, backend.cancel, self._world.clock, number[0])
        for call in vm.calls.values():
            self._world.ended(call, "lost_with_vm")
        self._world.clock.after(MEMBERSHIP_LAG_MS, self._set_homes)

    def _admit(self, vm: _Vm, call: Call) -> None:
        vm.calls[call.request_id] = call
        arrival = Arrival(
            call.request_id, call.priority, call.arrives_ms + TIMEOUT_MS, call.idempotent
        )
        self._handle(vm, arrival)

    def _tick(self, vm: _Vm) -> None:
        if not vm.lost:
            self._handle(vm, Tick())
            self._world.clock.after(TICK_MS, self._tick, vm)

    def _handle(self, vm: _Vm, event: object) -> None:
        if vm.lost:
            return
        for action in vm.router.handle(event, self._world.clock.now_ms):
            self._perform(vm, action)

    def _perform(self, vm: _Vm, action: object) -> None:
        world = self._world
        match action:
            case Start(request_id, address):
                self._start(vm, request_id, world.by_address[address])
            case Reject(request_id):
                world.ended(vm.calls.pop(request_id), "refused")
            case SendMessage(name, message):
                peer = self._by_name[name]
                size = len(encode(message)) + FRAME_BYTES
                vm.sent_bytes += size
                world.result.messages += 1
                world.result.message_bytes += size
                way_ms = world.way_ms(vm.data_center, peer.data_center)
                world.clock.after(way_ms, self._handle, peer, PeerMessageReceived(vm.name, message))
            case Probe(address):
                world.result.probes += 1
                backend = world.by_address[address]
                down = backend.trouble("down", world.clock.now_ms)
                ended = ProbeEnded(address, None if down else 0, PROBE_MS)
                world.clock.after(PROBE_MS, self._handle, vm, ended)

    def _start(self, vm: _Vm, request_id: str, backend: Backend) -> None:
        world = self._world
        call = vm.calls[request_id]
        way_ms = world.way_ms(vm.data_center, backend.data_center)
        number: list[int | None] = [None]
        vm.attempts[request_id] = (backend, number, world.clock.now_ms)
        world.attempted(call)

        def end(result: AttemptResult, load: int) -> None:
            world.clock.after(way_ms, self._end, vm, call, backend, result, load)

        def offer() -> None:
            if not vm.lost:
                number[0] = backend.offer(world.clock, call, end)

        world.clock.after(way_ms, offer)

    def _end(self, vm: _Vm, call: Call, backend: Backend, result: AttemptResult, load: int) -> None:
        if vm.lost:
            return
        _, _, started_ms = vm.attempts.pop(call.request_id)
        again = result in (*RETRIED, AttemptResult.CUT)
        latency_ms = self._world.clock.now_ms - started_ms
        if not again:
            del vm.calls[call.request_id]
            outcome = "answered" if result is AttemptResult.ANSWERED else "failed"
            self._world.ended(call, outcome)
        ended = AttemptEnded(call.request_id, backend.address, result, latency_ms, load, again)
        self._handle(vm, ended)


LOCAL_CANCEL_MS = 0.5
ALONE = ("random_choice", "round_robin", "least_in_flight", "best_of_two")
WAYS: dict[str, Callable[[World, random.Random], object]] = {
    **{name: (lambda world, source, n=name: AloneWay(world, n, source)) for name in ALONE},
    "oracle": Oracle,
    "cloverhook": Cloverhook,
}


def replay(deployment: Deployment, scenario: Scenario, way_name: str, seed: int) -> Result:
    """Replay one trace in one way."""
    world = World(deployment, scenario)
    way = WAYS[way_name](world, random.Random(f"{way_name} {seed}"))
    for call in calls_of(deployment, scenario, seed):
        world.clock.at(call.arrives_ms, _arrive, world, way, call)
    world.clock.run(scenario.run_ms + 2_000.0)
    if isinstance(way, Cloverhook):
        way.close()
    return world.close()


def _arrive(world: World, way: AloneWay | Oracle | Cloverhook, call: Call) -> None:
    world.arrived(call)
    way.arrive(call)
