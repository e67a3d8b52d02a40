"""Measures what membership costs one daemon at several numbers of VMs, per second.

One real `Membership` receives what its neighbours would send, on a simulated clock: their
heartbeats, and each second one changed member from every neighbour, which is the largest possible
number of copies.  Bytes are the CBOR encoding plus the framing of WebSocket, TCP and IP.  Processor
time covers the decisions and the codec, without the sockets.
"""

import random
import time
from dataclasses import dataclass, replace

from cloverhook.member_events import LinkOpened, MessageReceived, SendMessage, Tick
from cloverhook.members import Member
from cloverhook.membership import Membership
from cloverhook.messages import Heartbeat, Hello, MemberUpdates, Message, decode, encode

__all__ = ["Cost", "measure"]

SIZES = (20, 100, 300, 600)
SIMULATED_S = 60
WARM_UP_S = 5
TICK_MS = 50
TICKS_PER_HEARTBEAT = 5
FRAME_BYTES = 4 + 20 + 20


@dataclass(slots=True)
class Cost:
    """The bytes one daemon has sent and received, and its processor time."""

    sent_bytes: int = 0
    received_bytes: int = 0
    cpu_s: float = 0.0


def _members(count: int) -> list[Member]:
    return [
        Member(f"vm-{index}", f"center-{index % 13}", f"10.0.{index % 250}.1:8080", "10.0.0.1:9090")
        for index in range(count)
    ]


def _hello(member: Member) -> Hello:
    return Hello(
        member.vm, member.data_center, member.caller_address, member.peer_address, 0, b"\0" * 32
    )


class _Run:
    """One membership and its simulated neighbours."""

    def __init__(self, count: int) -> None:
        members = _members(count)
        self.cost = Cost()
        self.now_ms = 0.0
        self.random = random.Random(1)
        self.membership = Membership(members[0], random.Random(2), 0.0)
        self.others = members[1:]
        self.sequences = {member.vm: 0 for member in members}
        self.links = [self.others[0].vm]
        self.membership.handle(LinkOpened(_hello(self.others[0])), 0.0)
        updates = MemberUpdates(tuple(member.to_update() for member in self.others))
        self.membership.handle(MessageReceived(self.links[0], updates), 0.0)
        for member in self.others:
            if member.vm in self.membership.neighbours():
                self.membership.handle(LinkOpened(_hello(member)), 0.0)
                self.links.append(member.vm)
        self.links = list(self.membership.neighbours())
        self.membership.linked = set(self.links)
        self.membership.handle(Tick(), self.now_ms)

    def advance(self, duration_s: int, changes: bool) -> None:
        for tick in range(duration_s * 1_000 // TICK_MS):
            self.tick()
            if tick % TICKS_PER_HEARTBEAT == 0:
                self.deliver_heartbeats()
            if changes and tick % (1_000 // TICK_MS) == 0:
                self.deliver_change()

    def receive(self, vm: str, message: Message) -> None:
        data = encode(message)
        self.cost.received_bytes += len(data) + FRAME_BYTES
        started_s = time.process_time()
        actions = self.membership.handle(MessageReceived(vm, decode(data)), self.now_ms)
        self._send(actions)
        self.cost.cpu_s += time.process_time() - started_s

    def tick(self) -> None:
        self.now_ms += TICK_MS
        started_s = time.process_time()
        self._send(self.membership.handle(Tick(), self.now_ms))
        self.cost.cpu_s += time.process_time() - started_s

    def deliver_heartbeats(self) -> None:
        for vm in self.links:
            digest = self.membership.table.digest
            self.receive(vm, Heartbeat(vm, 0, 0, False, self.sequences[vm], digest))

    def deliver_change(self) -> None:
        member = self.random.choice(self.others)
        self.sequences[member.vm] += 1
        update = replace(member, sequence=self.sequences[member.vm]).to_update()
        for vm in self.links:
            self.receive(vm, MemberUpdates((update,)))

    def _send(self, actions: tuple) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self.cost.sent_bytes += len(encode(action.message)) + FRAME_BYTES


def measure(count: int, changes: bool) -> Cost:
    """Return the cost of one simulated minute with `count` members."""
    run = _Run(count)
    run.advance(WARM_UP_S, changes)
    run.cost = Cost()
    run.advance(SIMULATED_S, changes)
    return run.cost


def main() -> None:
    """Print the cost at each size, without changes and with one changed member each second."""
    print("members  changes/s  sent B/s  received B/s  us of processor/s")
    for changes in (False, True):
        for count in SIZES:
            cost = measure(count, changes)
            sent, received = cost.sent_bytes / SIMULATED_S, cost.received_bytes / SIMULATED_S
            cpu_us = cost.cpu_s / SIMULATED_S * 1e6
            print(f"{count:7}  {changes:9d}  {sent:8.0f}  {received:12.0f}  {cpu_us:17.0f}")


if __name__ == "__main__":
    main()
