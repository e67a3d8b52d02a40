"""Replays, without sockets, the registries of gateways that restart while backend servers leave."""

import random
from collections import Counter
from dataclasses import dataclass, field

from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.state_fetch import build_state_reply

DRAIN_MS = 2_500.0
CONTACT_MS = 3_000.0
STEP_MS = 50.0
READ_EVERY_MS = 250.0
HEARTBEAT_EVERY_MS = 300.0
DOWN_MS = 1_000.0
TAKEOVER_MS = 1_300.0
READERS = 2
LOST_SHARE = 0.05
FETCH_MS = (100.0, 400.0)
SERVERS = 160
MIN_SERVERS = 80
SERVICE = "orders"


@dataclass
class ReplayedVm:
    """A gateway of the replay; `inbox` holds registry changes with their base versions."""

    gateway_state: GatewayState
    up_from_ms: float
    reader: bool = False
    read_due_ms: float = 0.0
    fetch_at_ms: float | None = None
    inbox: list = field(default_factory=list)


class RegistryReplay:
    """A fleet whose VMs restart, a few at a time, while backend servers leave.

    `late_uses` holds the servers that a VM still used after the drain time; `differing_ms` holds
    the times at which registries of the same version differed.
    """

    def __init__(self, vms, seed, killed_share=0.0, restarted=4):
        self.random = random.Random(seed)
        self.killed_share = killed_share
        self.restarted = restarted
        self.now_ms = 0.0
        self.log = []
        self.left_at_ms = {}
        self.vms = [ReplayedVm(GatewayState(DRAIN_MS), -CONTACT_MS) for _ in range(vms)]
        self.reader_missing_since_ms = None
        self.late_uses = []
        self.differing_ms = []
        self.last_use_ms = 0.0
        self.fetch_counts = Counter()
        for number in range(SERVERS):
            self._write(f"i-{number}", self._entry(f"i-{number}"))
        for vm in self.vms:
            self._read_whole(vm)
        for vm in self.vms[:READERS]:
            vm.reader = True

    def play(self, duration_ms=20_000.0):
        """Run the replay; in the last `2 * CONTACT_MS` no server leaves and no VM restarts."""
        while self.now_ms < duration_ms:
            self.now_ms += STEP_MS
            quiet = self.now_ms > duration_ms - 2 * CONTACT_MS
            if not quiet and self._every(500.0):
                self._remove_servers(self.random.choice((1, 1, 6)))
            if not quiet and self._every(400.0):
                self._restart(self.random.sample(self.vms, self.restarted))
            if self.now_ms == 5_000.0:
                self._restart([vm for vm in self.vms if self.random.random() < self.killed_share])
            self._choose_readers()
            for vm in self.vms:
                if self._is_up(vm):
                    self._step_vm(vm)
            if self._every(HEARTBEAT_EVERY_MS):
                self._heartbeat()
            self._check()

    def _every(self, period_ms):
        return self.now_ms % period_ms == 0

    def _entry(self, name):
        return BackendServer(name, SERVICE, "10.0.0.1:1", "d")

    def _write(self, name, server):
        self.log.append(ServerRecord(name, len(self.log), server))

    def _remove_servers(self, count):
        live = [f"i-{number}" for number in range(SERVERS) if f"i-{number}" not in self.left_at_ms]
        for name in live[: min(count, len(live) - MIN_SERVERS)]:
            self._write(name, None)
            self.left_at_ms[name] = self.now_ms
        self._write(live[-1], self._entry(live[-1]))

    def _restart(self, vms):
        for vm in vms:
            vm.gateway_state = GatewayState(DRAIN_MS)
            vm.up_from_ms = self.now_ms + DOWN_MS
            vm.reader, vm.fetch_at_ms = False, None
            vm.inbox.clear()

    def _is_up(self, vm):
        return self.now_ms >= vm.up_from_ms

    def _choose_readers(self):
        if sum(vm.reader for vm in self.vms) >= READERS:
            self.reader_missing_since_ms = None
            return
        if self.reader_missing_since_ms is None:
            self.reader_missing_since_ms = self.now_ms
        idle = [vm for vm in self.vms if self._is_up(vm) and not vm.reader]
        if idle and self.now_ms - self.reader_missing_since_ms >= TAKEOVER_MS:
            idle[0].reader = True
            self.reader_missing_since_ms = None

    def _step_vm(self, vm):
        vm.gateway_state.expire(self.now_ms)
        inbox, vm.inbox = vm.inbox, []
        for base_version, document in inbox:
            if base_version <= vm.gateway_state.registry.as_of:
                vm.gateway_state.registry.adopt(document, self.now_ms)
        if vm.reader and self.now_ms >= vm.read_due_ms:
            vm.read_due_ms = self.now_ms + READ_EVERY_MS
            self._read(vm)
        elif vm.gateway_state.registry.as_of < 0:
            self._read_whole(vm)
        if vm.fetch_at_ms is not None and self.now_ms >= vm.fetch_at_ms:
            vm.fetch_at_ms = None
            self._fetch(vm)

    def _read(self, vm):
        registry = vm.gateway_state.registry
        if registry.as_of < 0:
            self._read_whole(vm)
        registry.position.assume_last_change()
        before = registry.version
        touched = [
            item.name
            for item in self.log[registry.as_of + 1 :]
            if vm.gateway_state.apply_server_record(item, self.now_ms)
        ]
        registry.position.advance_to(len(self.log) - 1)
        registry.position.confirm_current(registry.as_of, self.now_ms)
        if touched:
            document = registry.to_document(self.now_ms, tuple(touched))
            for other in self.vms:
                if other is not vm and self.random.random() > LOST_SHARE:
                    other.inbox.append((before, document))

    def _read_whole(self, vm):
        newest = {record.name: record for record in self.log}
        records = tuple(item for item in newest.values() if item.server is not None)
        vm.gateway_state.apply_server_list(records, len(self.log), self.now_ms)

    def _heartbeat(self):
        up = [vm for vm in self.vms if self._is_up(vm)]
        for vm in up:
            senders = [other for other in up if other.reader] + self.random.sample(up, 2)
            for other in senders:
                if other is not vm and self.random.random() > LOST_SHARE:
                    self._receive_heartbeat(vm, other)

    def _receive_heartbeat(self, vm, other):
        registry, sender_registry = vm.gateway_state.registry, other.gateway_state.registry
        if registry.as_of < sender_registry.position.advertised_version and vm.fetch_at_ms is None:
            vm.fetch_at_ms = self.now_ms + self.random.uniform(*FETCH_MS)
        if sender_registry.position.advertised_version >= 0:
            registry.position.advance_from_peer(
                sender_registry.position.advertised_version, sender_registry.as_of
            )
        if other.reader:
            registry.position.confirm_current(
                sender_registry.position.advertised_version, self.now_ms
            )

    def _fetch(self, vm):
        registry = vm.gateway_state.registry
        newest = max(other.gateway_state.registry.position.advertised_version for other in self.vms)
        holders = [
            other
            for other in self.vms
            if self._is_up(other) and other.gateway_state.registry.as_of >= newest
        ]
        if holders and registry.as_of < newest:
            asked = {"registry": registry.as_of}
            state = build_state_reply(
                asked, self.random.choice(holders).gateway_state, None, self.now_ms
            )
            if "registry" in state:
                registry.adopt(state["registry"], self.now_ms)
                self.fetch_counts[state["registry"]["whole"]] += 1

    def _check(self):
        in_touch = [vm for vm in self.vms if self.now_ms - vm.up_from_ms > CONTACT_MS]
        for vm in in_touch:
            for server in vm.gateway_state.registry.of_service(SERVICE):
                left_at_ms = self.left_at_ms.get(server.name)
                if left_at_ms is not None:
                    self.last_use_ms = max(self.last_use_ms, self.now_ms - left_at_ms)
                    if self.now_ms - left_at_ms > DRAIN_MS:
                        self.late_uses.append((self.now_ms, server.name))
        digests = {}
        for vm in self.vms:
            registry = vm.gateway_state.registry
            if self._is_up(vm) and registry.position.advertised_version >= 0:
                digests.setdefault(registry.version, set()).add(registry.digest())
        self.differing_ms += [self.now_ms for found in digests.values() if len(found) > 1]
