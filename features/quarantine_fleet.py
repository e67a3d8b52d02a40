"""VMs that share a quarantine, replayed without sockets: messages take time and may be lost."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from cloverhook.gateway.peer_messages import CrashRecord
from cloverhook.gateway.quarantine import Quarantine, SendPermission
from cloverhook.gateway.request_key import RequestKeys

POLL_MS = 5.0
WAIT_TIMEOUT_MS = 150.0
ATTEMPTS = 2
DELAY_MS = (0.5, 5.0)
WORK_MS = (10.0, 90.0)


@dataclass
class Outcomes:
    """What has become of the requests of a replay."""

    crashed_ms: list = field(default_factory=list)
    served: int = 0
    refused: int = 0
    failed: int = 0


class QuarantineFleet:
    """Some VMs, the messages between them, and endpoints that `fatal` says crash or not."""

    def __init__(self, vms, seed, fatal, lost_share=0.0):
        self.random = random.Random(seed)
        self.vms = {f"vm-{n}": Quarantine(f"vm-{n}") for n in range(vms)}
        self.reached = set(self.vms)
        self.fatal = fatal
        self.lost_share = lost_share
        self.outcomes = Outcomes()
        self.now_ms = 0.0
        self._order = itertools.count()
        self._events = []

    def at(self, at_ms, work, *arguments):
        """Do something at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), work, arguments))

    def run(self):
        """Play until nothing is left to do."""
        while self._events:
            self.now_ms, _, work, arguments = heapq.heappop(self._events)
            work(*arguments)

    def request(self, vm, keys):
        """Take a request of a caller at a VM."""
        self._ask(vm, keys, self.now_ms + WAIT_TIMEOUT_MS, 1)

    def join(self, vm):
        """Add a VM, or one that starts again, which a neighbour tells what it knows."""
        self.vms[vm] = Quarantine(vm)
        self.reached.add(vm)
        self.welcome(vm)

    def welcome(self, vm):
        """Tell a VM that is back what another one knows."""
        other = next(name for name in self.vms if name != vm and name in self.reached)
        for news in self.vms[other].crash_records(self.now_ms):
            self._send(other, vm, news)

    def _ask(self, vm, keys, give_up_ms, attempt):
        quarantine = self.vms[vm]
        standing = quarantine.send_permission(keys, self.now_ms)
        wait_ms = POLL_MS
        if standing is SendPermission.LEASE_FREE:
            self._tell(vm, quarantine.claim(keys, self.now_ms))
            wait_ms = quarantine.claim_settled_ms(keys) - self.now_ms
        elif standing is SendPermission.OWN_LEASE:
            wait_ms = quarantine.claim_settled_ms(keys) - self.now_ms
        elif standing is SendPermission.QUARANTINED or (standing and self.now_ms >= give_up_ms):
            self.outcomes.refused += 1
            return
        if (
            standing <= SendPermission.OWN_LEASE and wait_ms <= 0.0
        ) or standing is SendPermission.CLEAR:
            if quarantine.try_begin_send(keys, self.now_ms):
                self._run(vm, keys, give_up_ms, attempt)
                return
            wait_ms = POLL_MS
        self.at(self.now_ms + max(wait_ms, 0.1), self._ask, vm, keys, give_up_ms, attempt)

    def _run(self, vm, keys, give_up_ms, attempt):
        known = self.vms[vm].crash_counts(keys)
        end_ms = self.now_ms + self.random.uniform(*WORK_MS)
        self.at(end_ms, self._ended, vm, keys, known, give_up_ms, attempt)

    def _ended(self, vm, keys, known, give_up_ms, attempt):
        quarantine = self.vms[vm]
        if not self.fatal(keys, self.now_ms):
            self.outcomes.served += 1
            self._tell(vm, quarantine.record_success(keys, self.now_ms))
            return
        self.outcomes.crashed_ms.append(self.now_ms)
        self._tell(vm, quarantine.record_crash(keys, known, self.now_ms))
        if attempt < ATTEMPTS:
            self._ask(vm, keys, max(give_up_ms, self.now_ms + WAIT_TIMEOUT_MS), attempt + 1)
        else:
            self.outcomes.failed += 1

    def _tell(self, vm, news):
        for item in news:
            for other in self.vms:
                if other != vm:
                    self._send(vm, other, item)

    def _send(self, vm, other, news):
        cut = vm not in self.reached or other not in self.reached
        if cut or self.random.random() < self.lost_share:
            return
        delay_ms = self.random.uniform(*DELAY_MS)
        self.at(self.now_ms + delay_ms, self._receive, vm, other, news)

    def _receive(self, vm, other, news: CrashRecord):
        if other not in self.reached:
            return
        answer, pass_on = self.vms[other].apply_update(vm, news, self.now_ms)
        if answer is not None:
            self._send(other, vm, answer)
        if pass_on is not None:
            self._tell(other, [pass_on])


def keys_of(number, caller=0):
    """Return the keys of a request with one content, from one caller."""
    return RequestKeys(1_000 + number, 1_000_000 + 1_000 * number + caller)
