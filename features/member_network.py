"""Memberships that exchange messages over in-memory links, on a clock that the test advances."""

import heapq
import random

from cloverhook.member_events import (
    Dial,
    LinkLost,
    LinkOpened,
    MessageReceived,
    ProcessResumed,
    Replaced,
    SendMessage,
    Tick,
    VmListRead,
)
from cloverhook.members import Member
from cloverhook.membership import Membership
from cloverhook.messages import Hello
from cloverhook.platform_api import ListedVm, VmPhase

__all__ = ["DATA_CENTERS", "MemberNetwork"]

DATA_CENTERS = ("halfway-tree", "new-kingston", "papine")
STEP_MS = 50
LINK_SILENCE_TIMEOUT_MS = 1_500


class MemberNetwork:
    """The memberships of daemons and the links between them.

    `cut` holds the (from, to) pairs whose messages are dropped; `loss` is the share of all messages
    that is dropped at random.  Every link delivers a message within 5 ms.  A daemon gets a `Tick`
    only at the time that it has requested.
    """

    def __init__(self, seed=1, loss=0.0):
        self.random = random.Random(seed)
        self.loss = loss
        self.now_ms = 1_000.0
        self.nodes = {}
        self.paused = set()
        self.cut = set()
        self.replaced = []
        self.sent = {}
        self.ticks = 0
        self._received_ms = {}
        self._wake_ms = {}
        self._queue = []
        self._count = 0

    def add(self, vm, incarnation=1):
        """Start a daemon that has no other members yet."""
        data_center = DATA_CENTERS[int(vm.partition("-")[2]) % 3]
        own = Member(vm, data_center, f"{vm}:80", f"{vm}:90", incarnation)
        source = random.Random(self.random.random())
        self.nodes[vm] = Membership(own, source, self.now_ms)

    def list_vms(self, vms, leaving=()):
        """Make every daemon read a list of VMs from the platform."""
        listed = tuple(
            ListedVm(
                vm,
                VmPhase.LEAVING if vm in leaving else VmPhase.LIVE,
                DATA_CENTERS[int(vm.partition("-")[2]) % 3],
                f"{vm}:80",
                f"{vm}:90",
            )
            for vm in vms
        )
        for vm in self.nodes:
            self.handle(vm, VmListRead(listed))

    def kill(self, vm):
        """Kill a daemon; the links of its peers to it close."""
        del self.nodes[vm]
        for peer in tuple(self.nodes):
            if vm in self.nodes[peer].linked:
                self.handle(peer, LinkLost(vm))

    def resume(self, vm):
        """Resume a paused daemon, which detects its pause before it handles anything else."""
        self.paused.discard(vm)
        self.handle(vm, ProcessResumed())

    def handle(self, vm, event):
        """Pass an event to a daemon and carry out its actions."""
        for action in self.nodes[vm].handle(event, self.now_ms):
            match action:
                case SendMessage(to, message):
                    self._connect(vm, to)
                    self._send(vm, to, message)
                case Dial(to):
                    self._connect(vm, to)
                case Replaced():
                    self.replaced.append(vm)
        wake_ms = self.nodes[vm].next_wake_ms(self.now_ms)
        self._wake_ms[vm] = min(wake_ms, self._wake_ms.get(vm, wake_ms))

    def run(self, duration_ms):
        """Advance the clock."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            while self._queue and self._queue[0][0] <= self.now_ms:
                _, _, source, to, message = heapq.heappop(self._queue)
                self._deliver(source, to, message)
            for vm in tuple(self.nodes):
                if vm not in self.paused:
                    self._close_silent_links(vm)
                    self._tick(vm)

    def _tick(self, vm):
        """Send a daemon a `Tick` if the time that it requested has come."""
        if self.now_ms < self._wake_ms.get(vm, self.now_ms):
            return
        self._wake_ms.pop(vm, None)
        self.ticks += 1
        self.handle(vm, Tick())

    def serving(self, vm):
        """Return the names of the VMs whose addresses a daemon gives to callers."""
        return {member.vm for member in self.nodes[vm].serving()}

    def _connect(self, vm, to):
        if to not in self.nodes or to in self.paused or to in self.nodes[vm].linked:
            return
        if (vm, to) in self.cut or (to, vm) in self.cut:
            return
        for one, other in ((vm, to), (to, vm)):
            self._received_ms[one, other] = self.now_ms
            own = self.nodes[other].table.own
            hello = Hello(
                other,
                own.data_center,
                own.caller_address,
                own.peer_address,
                own.incarnation,
                sequence=own.sequence,
                leaving=own.leaving,
            )
            self.handle(one, LinkOpened(hello))

    def _send(self, vm, to, message):
        self.sent[type(message)] = self.sent.get(type(message), 0) + 1
        if to not in self.nodes[vm].linked or (vm, to) in self.cut:
            return
        if self.random.random() < self.loss:
            return
        self._count += 1
        due_ms = self.now_ms + self.random.uniform(1, 5)
        heapq.heappush(self._queue, (due_ms, self._count, vm, to, message))

    def _deliver(self, vm, to, message):
        if to in self.nodes and to not in self.paused and vm in self.nodes[to].linked:
            self._received_ms[to, vm] = self.now_ms
            self.handle(to, MessageReceived(vm, message))

    def _close_silent_links(self, vm):
        for peer in tuple(self.nodes[vm].linked):
            if self.now_ms - self._received_ms[vm, peer] > LINK_SILENCE_TIMEOUT_MS:
                self.handle(vm, LinkLost(peer))
