"""Exchanges with other VMs how many requests each VM has in flight at each endpoint.

Layer: transport.  Two VMs that do not know of each other's requests choose the same last free slot,
so the VMs of a data centre send each other every change at once.  VMs of remote data centres
dispatch requests in their own data centre and receive no counts, until a data centre can't serve
itself.  Then all VMs dispatch requests to the same few endpoints, and every change is sent to the
remote data centres too.  The number of these datagrams that a VM receives is bounded: the more VMs
dispatch requests, the more changes each of them collects in one datagram.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import InFlightCountChanges, InFlightCounts, encode

__all__ = ["CountUpdates"]

DELAY_MS = 2.0
"""Changes within this time share a datagram."""
REPEAT_MS = 250.0
REMOTE_DELAY_MS = 5.0
REMOTE_RECEIVE_LIMIT_PER_S = 1_500.0
"""How many datagrams about changes in remote data centres a VM receives at most, so that it has
time left for requests."""


class CountUpdates:
    """Sends this VM's counts of requests in flight, and applies those that other VMs send."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        members: Members,
        gateway_state: GatewayState,
        on_in_flight_counts: Callable[[], None],
    ) -> None:
        """`on_in_flight_counts` is called when counts of another VM have arrived."""
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._members = members
        self._gateway_state = gateway_state
        self._on_in_flight_counts = on_in_flight_counts
        self._local_timer: asyncio.TimerHandle | None = None
        self._remote_timer: asyncio.TimerHandle | None = None
        self._local_changed: set[str] = set()
        self._remote_changed: set[str] = set()
        self._counted_endpoints: dict[str, frozenset[str]] = {}
        self._repeat_due_ms = 0.0

    def count_changed(self, incarnation: str) -> None:
        """Send the changed count of an endpoint soon, to the VMs that dispatch requests."""
        loop = asyncio.get_running_loop()
        self._local_changed.add(incarnation)
        if self._local_timer is None:
            self._local_timer = loop.call_later(DELAY_MS / 1000, self._send_local)
        now_ms = monotonic_ms()
        if self._gateway_state.needs_remote_capacity(now_ms):
            self._remote_changed.add(incarnation)
            if self._remote_timer is None:
                delay_ms = self._remote_delay_ms(now_ms)
                self._remote_timer = loop.call_later(delay_ms / 1000, self._send_remote)

    def resend_all(self, now_ms: float) -> None:
        """Send all counts again if this is due, as a datagram may have been lost."""
        if now_ms < self._repeat_due_ms or not self._gateway_state.load_table.in_flight():
            return
        self._repeat_due_ms = now_ms + REPEAT_MS
        data = encode(InFlightCounts(self._own_vm, self._gateway_state.load_table.in_flight()))
        self._broadcast.send_to(self._members.live_load_subscribers(now_ms), data)
        if self._gateway_state.needs_remote_capacity(now_ms):
            self._broadcast.send_remote(data, now_ms)

    def received(self, message: InFlightCounts, now_ms: float) -> None:
        """Apply all counts of another VM; endpoints that are missing have no requests in flight."""
        table, vm = self._gateway_state.load_table, message.vm
        if message.counts:
            self._members.record_count_sender(vm, now_ms)
        before = self._counted_endpoints.get(vm, frozenset())
        self._counted_endpoints[vm] = frozenset(message.counts)
        for incarnation in before - message.counts.keys():
            table.get_or_create(incarnation).set_peer_in_flight(vm, 0, now_ms)
        for incarnation, count in message.counts.items():
            table.get_or_create(incarnation).set_peer_in_flight(vm, count, now_ms)
        self._on_in_flight_counts()

    def received_changes(self, message: InFlightCountChanges, now_ms: float) -> None:
        """Apply the counts of another VM that have changed."""
        table, vm = self._gateway_state.load_table, message.vm
        self._members.record_count_sender(vm, now_ms)
        self._counted_endpoints[vm] = (
            self._counted_endpoints.get(vm, frozenset()) | message.counts.keys()
        )
        for incarnation, count in message.counts.items():
            table.get_or_create(incarnation).set_peer_in_flight(vm, count, now_ms)
        self._on_in_flight_counts()

    def _send_local(self) -> None:
        self._local_timer = None
        members = self._members.live_count_subscribers(monotonic_ms())
        self._broadcast.send_to(members, encode(self._changes(self._local_changed)))

    def _remote_delay_ms(self, now_ms: float) -> float:
        senders = 1 + self._members.count_senders(now_ms)
        return max(REMOTE_DELAY_MS, 1_000.0 * senders / REMOTE_RECEIVE_LIMIT_PER_S)

    def _send_remote(self) -> None:
        self._remote_timer = None
        self._broadcast.send_remote(encode(self._changes(self._remote_changed)), monotonic_ms())

    def _changes(self, names: set[str]) -> InFlightCountChanges:
        """Return the counts at the named endpoints, and clear the set of names."""
        counts = self._gateway_state.load_table.in_flight()
        changes = {name: counts.get(name, 0) for name in names}
        names.clear()
        return InFlightCountChanges(self._own_vm, changes)
