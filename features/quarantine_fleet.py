"""Replays VMs that share a quarantine, without sockets; messages take time and may be lost."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from cloverhook.gateway.peer_rows import CrashRecord
from cloverhook.gateway.quarantine import Quarantine, SendPermission
from cloverhook.gateway.request_key import RequestKeys

POLL_MS = 5.0
WAIT_TIMEOUT_MS = 150.0
ATTEMPTS = 2
DELAY_MS = (0.5, 5.0)
WORK_MS = (10.0, 90.0)


@dataclass
class Outcomes:
    """The outcomes of the requests of a replay."""

    crashed_ms: list = field(default_factory=list)
    served: int = 0
    refused: int = 0
    failed: int = 0


class QuarantineFleet:
    """Some VMs and the messages between them.

    `fatal` decides whether a request crashes the endpoint that runs it.
    """

    def __init__(self, vms, seed, fatal, lost_share=0.0):
        self.random = random.Random(seed)
        self.vms = {f"vm-{n}": Quarantine(f"vm-{n}") for n in range(vms)}
        self.reachable = set(self.vms)
        self.fatal = fatal
        self.loss_share = lost_share
        self.outcomes = Outcomes()
        self.now_ms = 0.0
        self._order = itertools.count()
        self._events = []

    def at(self, at_ms, work, *arguments):
        """Schedule a function call at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), work, arguments))

    def run(self):
        """Run until no event is left."""
        while self._events:
            self.now_ms, _, work, arguments = heapq.heappop(self._events)
            work(*arguments)

    def request(self, vm, keys):
        """Accept a request of a caller at a VM."""
        self._try_send(vm, keys, self.now_ms + WAIT_TIMEOUT_MS, 1)

    def join(self, vm):
        """Add a VM, or restart one; another VM sends it the crash records."""
        self.vms[vm] = Quarantine(vm)
        self.reachable.add(vm)
        self.send_suspicions(vm)

    def send_suspicions(self, vm):
        """Send a VM that is reachable again the crash records of another one."""
        other = next(name for name in self.vms if name != vm and name in self.reachable)
        for record in self.vms[other].crash_records(self.now_ms):
            self._send(other, vm, record)

    def _try_send(self, vm, keys, give_up_ms, attempt):
        quarantine = self.vms[vm]
        permission = quarantine.send_permission(keys, self.now_ms)
        wait_ms = POLL_MS
        if permission is SendPermission.LEASE_FREE:
            self._broadcast(vm, quarantine.claim(keys, self.now_ms))
            wait_ms = quarantine.claim_settled_ms(keys) - self.now_ms
        elif permission is SendPermission.OWN_LEASE:
            wait_ms = quarantine.claim_settled_ms(keys) - self.now_ms
        elif permission is SendPermission.QUARANTINED or (permission and self.now_ms >= give_up_ms):
            self.outcomes.refused += 1
            return
        if (
            permission <= SendPermission.OWN_LEASE and wait_ms <= 0.0
        ) or permission is SendPermission.CLEAR:
            if quarantine.try_begin_send(keys, self.now_ms):
                self._run(vm, keys, give_up_ms, attempt)
                return
            wait_ms = POLL_MS
        self.at(self.now_ms + max(wait_ms, 0.1), self._try_send, vm, keys, give_up_ms, attempt)

    def _run(self, vm, keys, give_up_ms, attempt):
        known = self.vms[vm].crash_counts(keys)
        end_ms = self.now_ms + self.random.uniform(*WORK_MS)
        self.at(end_ms, self._ended, vm, keys, known, give_up_ms, attempt)

    def _ended(self, vm, keys, known, give_up_ms, attempt):
        quarantine = self.vms[vm]
        if not self.fatal(keys, self.now_ms):
            self.outcomes.served += 1
            self._broadcast(vm, quarantine.record_success(keys, self.now_ms))
            return
        self.outcomes.crashed_ms.append(self.now_ms)
        self._broadcast(vm, quarantine.record_crash(keys, known, self.now_ms))
        if attempt < ATTEMPTS:
            self._try_send(vm, keys, max(give_up_ms, self.now_ms + WAIT_TIMEOUT_MS), attempt + 1)
        else:
            self.outcomes.failed += 1

    def _broadcast(self, vm, records):
        for item in records:
            for other in self.vms:
                if other != vm:
                    self._send(vm, other, item)

    def _send(self, vm, other, record):
        cut = vm not in self.reachable or other not in self.reachable
        if cut or self.random.random() < self.loss_share:
            return
        delay_ms = self.random.uniform(*DELAY_MS)
        self.at(self.now_ms + delay_ms, self._receive, vm, other, record)

    def _receive(self, vm, other, record: CrashRecord):
        if other not in self.reachable:
            return
        answer, pass_on = self.vms[other].apply_update(vm, record, self.now_ms)
        if answer is not None:
            self._send(other, vm, answer)
        if pass_on is not None:
            self._broadcast(other, [pass_on])


def keys_of(number, caller=0):
    """Return the keys of a request: `number` stands for its content, `caller` for its caller."""
    return RequestKeys(1_000 + number, 1_000_000 + 1_000 * number + caller)
