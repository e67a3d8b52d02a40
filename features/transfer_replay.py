"""Replays, without sockets, the transfer of a configuration from one gateway to all others.

The links are slow, and some of the VMs are killed.
"""

import heapq
import itertools
import random

from cloverhook.gateway.transfer_queue import Requester, Send, TransferQueue

KBIT_PER_KB = 8.0
LINKS_KBIT_PER_MS = (5.0, 5.0, 20.0, 100.0)
ROUND_TRIP_MS = 3.0
FORWARD_DELAY_MS = 30.0
"""The time that a small VM takes before it can send a state that it has received."""
DECODE_MS = 150.0
"""The time that a small VM takes before it serves requests by a state that it has received."""
ANSWER_TIMEOUT_MS = 1_000.0
REQUEST_SPREAD_MS = 50.0
RETRY_DELAY_MS = 50.0


class TransferReplay:
    """The VMs of three data centres; at the start only the first VM has the state."""

    def __init__(self, vms, size_kb, killed_share, seed):
        self.random = random.Random(seed)
        self.size_kb = size_kb
        self.data_centers = {f"vm-{number}": f"dc-{number % 3}" for number in range(vms)}
        self.links = {vm: self.random.choice(LINKS_KBIT_PER_MS) for vm in self.data_centers}
        others = list(self.data_centers)[1:]
        self.killed = {vm for vm in others if self.random.random() < killed_share}
        self.received_ms = {"vm-0": 0.0}
        self.queues = {}
        self.request_count = 0
        self.sending = dict.fromkeys(self.data_centers, 0)
        self.max_concurrent_sends = 0
        self.remote_transfers = 0
        self._events = []
        self._order = itertools.count()
        for vm in others:
            self._at(self.random.uniform(0.0, REQUEST_SPREAD_MS), self._request, vm, "vm-0")

    def play(self):
        """Run until every VM that was not killed has the state.

        Returns the time at which the last one serves requests by it.
        """
        while self._events:
            now_ms, _, action, arguments = heapq.heappop(self._events)
            action(now_ms, *arguments)
        return max(self.received_ms.values()) + DECODE_MS

    def _at(self, time_ms, action, *arguments):
        heapq.heappush(self._events, (time_ms, next(self._order), action, arguments))

    def _requester(self, vm):
        return Requester(vm, self.data_centers[vm])

    def _request(self, now_ms, vm, holder):
        """Request the state from a VM.

        A VM that was killed does not answer, or its connections have failed; the requester then
        tries another one after `ANSWER_TIMEOUT_MS`.
        """
        if vm in self.received_ms:
            return
        self.request_count += 1
        if holder in self.killed and holder not in self.received_ms:
            self._at(now_ms + ANSWER_TIMEOUT_MS, self._request, vm, self._any_holder())
        elif self.received_ms.get(holder, now_ms + 1.0) > now_ms:
            self._at(
                self.received_ms.get(holder, now_ms + RETRY_DELAY_MS), self._request, vm, holder
            )
        else:
            data_center = self.data_centers[holder]
            queue = self.queues.setdefault(holder, TransferQueue(data_center))
            self._act(now_ms, holder, queue.request_transfer(self._requester(vm)))

    def _any_holder(self):
        return self.random.choice(list(self.received_ms))

    def _act(self, now_ms, holder, actions):
        for action in actions:
            vm = action.requester.peer_address
            if not isinstance(action, Send):
                wait_ms = ROUND_TRIP_MS if action.peer_address else RETRY_DELAY_MS
                address = action.peer_address or self._any_holder()
                self._at(now_ms + wait_ms, self._request, vm, address)
                continue
            self.sending[holder] += 1
            self.max_concurrent_sends = max(self.max_concurrent_sends, self.sending[holder])
            self.remote_transfers += self.data_centers[holder] != self.data_centers[vm]
            rate = min(self.links[holder] / self.sending[holder], self.links[vm])
            took_ms = ROUND_TRIP_MS + self.size_kb * KBIT_PER_KB / rate
            if vm in self.killed:
                took_ms = ANSWER_TIMEOUT_MS
            self._at(now_ms + took_ms, self._transfer_ended, holder, vm)

    def _transfer_ended(self, now_ms, holder, vm):
        received = vm not in self.killed
        self.sending[holder] -= 1
        if received:
            self.received_ms.setdefault(vm, now_ms + FORWARD_DELAY_MS)
        self._act(now_ms, holder, self.queues[holder].transfer_ended(self._requester(vm), received))
