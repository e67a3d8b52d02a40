"""Sends what many VMs should hear, with few bytes between data centres.

Layer: transport.  A VM of the own data centre is sent a datagram of its own.  In each other data
centre one VM gets it and relays it to its neighbours; each message goes to the next VM there, so
that one that is dead, but not yet known to be, loses a small part of the messages only.
"""

from collections.abc import Iterable

from cloverhook.gateway.members import Member, Members
from cloverhook.gateway.peer_link import PeerLink
from cloverhook.gateway.peer_messages import Relay, encode

__all__ = ["Broadcast"]

STALE_MS = 200.0
"""After a pause of this process, what waited in its socket is not relayed for this long: loads
that were passed on late would look fresh to the neighbours."""


class Broadcast:
    """The ways of a message to the other VMs."""

    def __init__(self, own_vm: str, link: PeerLink, members: Members) -> None:
        self._own_vm = own_vm
        self._link = link
        self._members = members
        self._turns: dict[str, int] = {}
        self._relays_from_ms = 0.0

    def send_to(self, members: Iterable[Member], data: bytes) -> None:
        """Send to each of these VMs."""
        for member in members:
            self._link.send_encoded(member.peer_address, data)

    def send_local(self, data: bytes, now_ms: float) -> None:
        """Send to every VM of the own data centre that is alive."""
        self.send_to(
            (item for item in self._members.local_members() if item.is_alive(now_ms)), data
        )

    def send_to_load_subscribers(self, data: bytes, now_ms: float) -> None:
        """Send to the VMs of the own data centre that place requests, or may soon."""
        self.send_to(self._members.live_load_subscribers(now_ms), data)

    def send_remote(self, data: bytes, now_ms: float, relay_count: int = 1) -> None:
        """Send to so many VMs of each other data centre, which relay it."""
        wrapped = encode(Relay(self._own_vm, data))
        for data_center, members in self._members.relay_candidates(now_ms).items():
            turn = self._turns.get(data_center, 0)
            wanted = min(relay_count, len(members))
            self._turns[data_center] = turn + wanted
            for place in range(turn, turn + wanted):
                self._link.send_encoded(members[place % len(members)].peer_address, wrapped)

    def relay(self, message: Relay, now_ms: float, load_subscribers_only: bool = False) -> None:
        """Pass a message on to the neighbours, or to those alone that are told load figures."""
        if now_ms < self._relays_from_ms:
            return
        if load_subscribers_only:
            self.send_to_load_subscribers(message.data, now_ms)
        else:
            self.send_local(message.data, now_ms)

    def record_process_pause(self, now_ms: float) -> None:
        """Note that this process has stood still until now."""
        self._relays_from_ms = now_ms + STALE_MS
