"""What membership costs one daemon as VMs grow: bytes and processor time a second.

One real `Membership` is fed what its neighbours would send it, on a clock that the bench moves:
their heartbeats, and one changed member a second from each of them (the most copies that can
come).  Bytes are the CBOR form and the framing of websocket, TCP and IP; processor time is that of
the decisions and the codec, without the sockets.
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
HEARTBEAT_TICKS = 5
FRAME_BYTES = 4 + 20 + 20


@dataclass(slots=True)
class Cost:
    """What one daemon has sent, received and computed."""

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
    """One membership and its made-up neighbours."""

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

    def let_pass(self, duration_s: int, changes: bool) -> None:
        for tick in range(duration_s * 1_000 // TICK_MS):
            self.tick()
            if tick % HEARTBEAT_TICKS == 0:
                self.heartbeat()
            if changes and tick % (1_000 // TICK_MS) == 0:
                self.change()

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

    def heartbeat(self) -> None:
        for vm in self.links:
            digest = self.membership.table.digest
            self.receive(vm, Heartbeat(vm, 0, 0, False, self.sequences[vm], digest))

    def change(self) -> None:
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
    run.let_pass(WARM_UP_S, changes)
    run.cost = Cost()
    run.let_pass(SIMULATED_S, changes)
    return run.cost


def main() -> None:
    """Print the cost for each size, idle and with a change of membership each second."""
    print("members  changes/s  sent B/s  received B/s  us of processor/s")
    for changes in (False, True):
        for count in SIZES:
            cost = measure(count, changes)
            sent, received = cost.sent_bytes / SIMULATED_S, cost.received_bytes / SIMULATED_S
            cpu_us = cost.cpu_s / SIMULATED_S * 1e6
            print(f"{count:7}  {changes:9d}  {sent:8.0f}  {received:12.0f}  {cpu_us:17.0f}")


if __name__ == "__main__":
    main()
