"""Sends messages to many VMs with little traffic between data centres.

Layer: transport.  Each VM of the local data centre is sent a datagram of its own.  In each remote
data centre one VM receives the message and relays it to its neighbours.  The relaying VM is chosen
in round-robin order for each message, so that a VM that is dead but not yet detected as dead loses
only a small part of the messages.
"""

from collections.abc import Iterable

from cloverhook.gateway.members import Member, Members
from cloverhook.gateway.peer_link import PeerLink
from cloverhook.gateway.peer_messages import Relay, encode
from cloverhook.gateway.rendezvous_hash import rendezvous_rank

__all__ = ["Broadcast"]

RELAY_PAUSE_MS = 200.0
"""After a pause of this process, messages are not relayed for this long.  Messages that waited in
the socket are old by then, and load reports relayed late would look fresh to the neighbours."""
JOIN_SENDERS = 3
"""How many neighbours send what they know to a VM that has just joined."""


class Broadcast:
    """Sends messages to groups of VMs, directly or through relays."""

    def __init__(self, own_vm: str, link: PeerLink, members: Members) -> None:
        self._own_vm = own_vm
        self._link = link
        self._members = members
        self._next_relays: dict[str, int] = {}
        self._relay_resume_ms = 0.0

    def send_to(self, members: Iterable[Member], data: bytes) -> None:
        """Send an encoded message to each of these VMs."""
        for member in members:
            self._link.send_encoded(member.peer_address, data)

    def send_to_address(self, peer_address: str, data: bytes) -> None:
        """Send an encoded message to the VM at an address, known as a member or not."""
        self._link.send_encoded(peer_address, data)

    def send_local(self, data: bytes, now_ms: float) -> None:
        """Send an encoded message to every live VM of the local data centre."""
        self.send_to(
            (item for item in self._members.local_members() if item.is_alive(now_ms)), data
        )

    def send_to_load_subscribers(self, data: bytes, now_ms: float) -> None:
        """Send to the local VMs that dispatch requests now or may do so soon."""
        self.send_to(self._members.live_load_subscribers(now_ms), data)

    def send_remote(self, data: bytes, now_ms: float, relay_count: int = 1) -> None:
        """Send to `relay_count` VMs of each remote data centre, which relay it to their neighbours.

        If a data centre has fewer VMs, all of them get it.
        """
        wrapped = encode(Relay(self._own_vm, data))
        for data_center, members in self._members.relay_candidates(now_ms).items():
            first = self._next_relays.get(data_center, 0)
            count = min(relay_count, len(members))
            self._next_relays[data_center] = first + count
            for index in range(first, first + count):
                self._link.send_encoded(members[index % len(members)].peer_address, wrapped)

    def is_join_sender(self, member: Member, now_ms: float) -> bool:
        """Return whether this VM is among the few that send what they know to a joined VM."""
        others = (item for item in self._members.local_members() if item.is_alive(now_ms))
        before = (item.vm for item in others if item.vm != member.vm)
        return rendezvous_rank(member.vm, self._own_vm, before) < JOIN_SENDERS

    def relay(self, message: Relay, now_ms: float, load_subscribers_only: bool = False) -> None:
        """Relay a received message to the neighbours.

        With `load_subscribers_only`, only the neighbours that receive load reports get it.
        """
        if now_ms < self._relay_resume_ms:
            return
        if load_subscribers_only:
            self.send_to_load_subscribers(message.data, now_ms)
        else:
            self.send_local(message.data, now_ms)

    def record_process_pause(self, now_ms: float) -> None:
        """Record that this process was paused until now."""
        self._relay_resume_ms = now_ms + RELAY_PAUSE_MS
