"""Tells other VMs how many requests this one has in flight where, and takes what they tell.

Layer: transport.  Two VMs that have not heard of each other's requests choose the same last slot,
so the VMs of a data centre tell each other at once.  Those of other data centres place requests at
home, and hear nothing, until a data centre can't serve itself: then all place them at the same few
endpoints, and each change is told to the others too.  What a VM hears of that is bounded: the more
VMs place requests, the more changes each of them gathers into one datagram.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import InFlightCountChanges, InFlightCounts, encode

__all__ = ["CountUpdates"]

DELAY_MS = 2.0
"""Changes within this time go into one datagram."""
REPEAT_MS = 250.0
FAR_DELAY_MS = 5.0
FAR_HEARD_PER_S = 1_500.0
"""A VM hears so many datagrams on changes elsewhere at most, which leaves it time for requests."""


class CountUpdates:
    """This VM's counts on their way to others, and those of others."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        members: Members,
        knowledge: GatewayState,
        on_in_flight_counts: Callable[[], None],
    ) -> None:
        """`on_in_flight_counts` is called when counts of another VM have come."""
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._members = members
        self._knowledge = knowledge
        self._on_in_flight_counts = on_in_flight_counts
        self._timer: asyncio.TimerHandle | None = None
        self._far_timer: asyncio.TimerHandle | None = None
        self._near_changed: set[str] = set()
        self._far_changed: set[str] = set()
        self._told: dict[str, frozenset[str]] = {}
        self._repeat_due_ms = 0.0

    def count_changed(self, incarnation: str) -> None:
        """Tell those who place requests soon that the count at an endpoint has changed."""
        loop = asyncio.get_running_loop()
        self._near_changed.add(incarnation)
        if self._timer is None:
            self._timer = loop.call_later(DELAY_MS / 1000, self._tell_changed)
        now_ms = monotonic_ms()
        if self._knowledge.needs_remote_capacity(now_ms):
            self._far_changed.add(incarnation)
            if self._far_timer is None:
                delay_ms = self._far_delay_ms(now_ms)
                self._far_timer = loop.call_later(delay_ms / 1000, self._tell_far)

    def resend_all(self, now_ms: float) -> None:
        """Tell all counts again if that is due: a datagram may have been lost."""
        if now_ms < self._repeat_due_ms or not self._knowledge.load_table.in_flight():
            return
        self._repeat_due_ms = now_ms + REPEAT_MS
        data = encode(InFlightCounts(self._own_vm, self._knowledge.load_table.in_flight()))
        self._broadcast.send_to(self._members.live_load_subscribers(now_ms), data)
        if self._knowledge.needs_remote_capacity(now_ms):
            self._broadcast.send_remote(data, now_ms)

    def received(self, message: InFlightCounts, now_ms: float) -> None:
        """Take all counts of another VM; endpoints that are left out have none."""
        board, vm = self._knowledge.load_table, message.vm
        if message.counts:
            self._members.record_count_sender(vm, now_ms)
        before = self._told.get(vm, frozenset())
        self._told[vm] = frozenset(message.counts)
        for incarnation in before - message.counts.keys():
            board.get_or_create(incarnation).set_peer_in_flight(vm, 0, now_ms)
        for incarnation, count in message.counts.items():
            board.get_or_create(incarnation).set_peer_in_flight(vm, count, now_ms)
        self._on_in_flight_counts()

    def received_changes(self, message: InFlightCountChanges, now_ms: float) -> None:
        """Take the counts of another VM that have changed."""
        board, vm = self._knowledge.load_table, message.vm
        self._members.record_count_sender(vm, now_ms)
        self._told[vm] = self._told.get(vm, frozenset()) | message.counts.keys()
        for incarnation, count in message.counts.items():
            board.get_or_create(incarnation).set_peer_in_flight(vm, count, now_ms)
        self._on_in_flight_counts()

    def _tell_changed(self) -> None:
        self._timer = None
        members = self._members.live_count_subscribers(monotonic_ms())
        self._broadcast.send_to(members, encode(self._changes(self._near_changed)))

    def _far_delay_ms(self, now_ms: float) -> float:
        senders = 1 + self._members.count_senders(now_ms)
        return max(FAR_DELAY_MS, 1_000.0 * senders / FAR_HEARD_PER_S)

    def _tell_far(self) -> None:
        self._far_timer = None
        self._broadcast.send_remote(encode(self._changes(self._far_changed)), monotonic_ms())

    def _changes(self, names: set[str]) -> InFlightCountChanges:
        """Return the counts at some endpoints, and empty the set of their names."""
        counts = self._knowledge.load_table.in_flight()
        changes = {name: counts.get(name, 0) for name in names}
        names.clear()
        return InFlightCountChanges(self._own_vm, changes)
