"""A configuration goes from one gateway to all others over slow links, without sockets."""

import heapq
import itertools
import random

from cloverhook.gateway.transfer_queue import Requester, Send, TransferQueue

KBIT_PER_KB = 8.0
LINKS_KBIT_PER_MS = (5.0, 5.0, 20.0, 100.0)
ROUND_TRIP_MS = 3.0
PASS_ON_MS = 30.0
"""What a small VM needs before it sends what it has received."""
DECODE_MS = 150.0
"""What it needs before it serves by that."""
SILENCE_MS = 1_000.0
ASK_SPREAD_MS = 50.0
PAUSE_MS = 50.0


class TransferReplay:
    """The VMs of three data centres, of which the first one has the state at the beginning."""

    def __init__(self, vms, size_kb, killed_share, seed):
        self.random = random.Random(seed)
        self.size_kb = size_kb
        self.data_centers = {f"vm-{number}": f"dc-{number % 3}" for number in range(vms)}
        self.links = {vm: self.random.choice(LINKS_KBIT_PER_MS) for vm in self.data_centers}
        others = list(self.data_centers)[1:]
        self.killed = {vm for vm in others if self.random.random() < killed_share}
        self.known_ms = {"vm-0": 0.0}
        self.queues = {}
        self.asks = 0
        self.sending = dict.fromkeys(self.data_centers, 0)
        self.most_sending = 0
        self.remote_transfers = 0
        self._events = []
        self._order = itertools.count()
        for vm in others:
            self._at(self.random.uniform(0.0, ASK_SPREAD_MS), self._ask, vm, "vm-0")

    def play(self):
        """Play until every VM that lives has the state; return when the last one serves by it."""
        while self._events:
            now_ms, _, action, arguments = heapq.heappop(self._events)
            action(now_ms, *arguments)
        return max(self.known_ms.values()) + DECODE_MS

    def _at(self, time_ms, action, *arguments):
        heapq.heappush(self._events, (time_ms, next(self._order), action, arguments))

    def _requester(self, vm):
        return Requester(vm, self.data_centers[vm])

    def _ask(self, now_ms, vm, holder):
        """Ask a VM; one that was killed answers nothing, or has crashed with its connections."""
        if vm in self.known_ms:
            return
        self.asks += 1
        if holder in self.killed and holder not in self.known_ms:
            self._at(now_ms + SILENCE_MS, self._ask, vm, self._any_holder())
        elif self.known_ms.get(holder, now_ms + 1.0) > now_ms:
            self._at(self.known_ms.get(holder, now_ms + PAUSE_MS), self._ask, vm, holder)
        else:
            data_center = self.data_centers[holder]
            queue = self.queues.setdefault(holder, TransferQueue(data_center))
            self._act(now_ms, holder, queue.request_transfer(self._requester(vm)))

    def _any_holder(self):
        return self.random.choice(list(self.known_ms))

    def _act(self, now_ms, holder, actions):
        for action in actions:
            vm = action.requester.peer_address
            if not isinstance(action, Send):
                wait_ms = ROUND_TRIP_MS if action.peer_address else PAUSE_MS
                address = action.peer_address or self._any_holder()
                self._at(now_ms + wait_ms, self._ask, vm, address)
                continue
            self.sending[holder] += 1
            self.most_sending = max(self.most_sending, self.sending[holder])
            self.remote_transfers += self.data_centers[holder] != self.data_centers[vm]
            rate = min(self.links[holder] / self.sending[holder], self.links[vm])
            took_ms = ROUND_TRIP_MS + self.size_kb * KBIT_PER_KB / rate
            if vm in self.killed:
                took_ms = SILENCE_MS
            self._at(now_ms + took_ms, self._ended, holder, vm)

    def _ended(self, now_ms, holder, vm):
        received = vm not in self.killed
        self.sending[holder] -= 1
        if received:
            self.known_ms.setdefault(vm, now_ms + PASS_ON_MS)
        self._act(now_ms, holder, self.queues[holder].transfer_ended(self._requester(vm), received))
