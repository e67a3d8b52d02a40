"""A large data centre of VMs with different capacities, and callers, on a simulated clock.

The VMs run their real member tables, heartbeat intervals and request counts.  Callers keep an
answer for 5 s, a third of them for 15 s, take one of its addresses at random for each request, and
avoid one that has failed them until their next answer.  A request is tried three times at most.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from cloverhook.gateway.heartbeat_intervals import HeartbeatIntervals
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import Heartbeat, decode, encode
from cloverhook.gateway.retry_budget import RetryBudget
from cloverhook.gateway.vm_capacity import VmCapacity

STRONG, WEAK = VmCapacity(2.15, 100), VmCapacity(0.43, 5)
DATA_CENTER = "papine"
STEP_MS = 50
ANSWER_MS = 5_000.0
ATTEMPTS = 3


@dataclass
class Vm:
    """A VM; `group` is the side of a partition that it is on."""

    capacity: VmCapacity
    members: Members
    incarnation: int = 1
    requests: RetryBudget = field(default_factory=lambda: RetryBudget(0.2, 20, 10_000))
    due_ms: float = 0.0
    group: int = 0
    reading: bool = False


@dataclass
class Caller:
    """A caller with its latest answer and the addresses of it that have failed."""

    kept_ms: float
    addresses: list = field(default_factory=list)
    asked_ms: float = -1e9
    failed: set = field(default_factory=set)


class UnevenFleet:
    """The VMs `s-0`, `s-1`, ... with a high capacity, `w-0`, `w-1`, ... with a low one."""

    def __init__(self, strong, weak, stated=True, seed=1):
        self.random = Random(seed)
        self.now_ms = 0.0
        self.capacities = {f"s-{number}": STRONG for number in range(strong)}
        self.capacities |= {f"w-{number}": WEAK for number in range(weak)}
        self.stating = set(self.capacities) if stated else set()
        self.vms = {}
        self.callers = [Caller(ANSWER_MS * (3 if item % 3 == 0 else 1)) for item in range(60)]
        for name in self.capacities:
            self.start(name)
        self.reset()

    def start(self, name, incarnation=1):
        """Start a VM that knows no other one."""
        capacity = self.capacities[name] if name in self.stating else VmCapacity()
        members = Members(name, DATA_CENTER, self.now_ms, capacity)
        self.vms[name] = Vm(capacity, members, incarnation)

    def reset(self):
        """Forget the figures recorded so far."""
        self.counts = Counter()
        self.by_second = Counter()
        self.failed = self.sent = 0

    def run(self, duration_s, requests_per_s=300):
        """Advance the clock while callers send requests at a steady rate."""
        for _ in range(round(duration_s * 1000 / STEP_MS)):
            self.now_ms += STEP_MS
            for name, vm in self.vms.items():
                reading = vm.members.should_read_store(vm.reading, self.now_ms)
                if self.now_ms >= vm.due_ms or reading != vm.reading:
                    vm.reading = reading
                    self._send_heartbeat(name, vm)
            for _ in range(requests_per_s * STEP_MS // 1000):
                self._request(self.random.choice(self.callers))

    def kill(self, names):
        """Kill VMs; nobody hears of it."""
        for name in names:
            del self.vms[name]

    def serving(self, name="w-0"):
        """Return the VMs that serve callers, as a VM sees it."""
        return self.vms[name].members.serving_vms(self.now_ms)

    def readers(self):
        """Return the VMs that read the store."""
        return {name for name, vm in self.vms.items() if vm.reading}

    def answer(self, name):
        """Return the addresses that a VM answers a caller."""
        members = self.vms[name].members
        return members.sample_addresses(name, self.now_ms, False, self.random)

    def peak_load(self):
        """Return the largest load of a VM in a second, as a fraction of its capacity."""
        return max(
            count / self.capacities[name].requests_per_s
            for (name, _), count in self.by_second.items()
        )

    def _send_heartbeat(self, name, vm):
        every_ms = HeartbeatIntervals(vm.members).local_interval_ms(vm.reading, self.now_ms)
        vm.due_ms = self.now_ms + every_ms
        vm.members.own_requests_per_s = round(vm.requests.total_requests_per_s(self.now_ms))
        heartbeat = Heartbeat(
            *(name, vm.incarnation, DATA_CENTER, "10.0.0.1:1", "10.0.0.1:2", True),
            *(vm.reading, False, 1, 1, every_ms, False, vm.members.own_requests_per_s),
            processor_cores=vm.capacity.processor_cores,
            link_mbps=vm.capacity.link_mbps,
        )
        received = decode(encode(heartbeat))
        for other in self.vms.values():
            if other is not vm and other.group == vm.group:
                other.members.record_heartbeat(received, self.now_ms)
                other.members.get(name).caller_address = name

    def _request(self, caller):
        if self.now_ms - caller.asked_ms >= caller.kept_ms:
            caller.addresses = self.answer(self.random.choice(tuple(self.vms)))
            caller.asked_ms = self.now_ms
            caller.failed = set()
        self.sent += 1
        for _ in range(ATTEMPTS):
            usable = [item for item in caller.addresses if item not in caller.failed]
            name = self.random.choice(usable) if usable else None
            if name in self.vms:
                self.counts[name] += 1
                self.by_second[name, int(self.now_ms // 1000)] += 1
                self.vms[name].requests.count_request("orders", self.now_ms)
                return
            caller.failed.add(name)
        self.failed += 1
