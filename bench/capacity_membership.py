"""What membership costs one daemon, by feeding it the messages of any number of members."""

import random
import time
from dataclasses import replace

from bench.slope import Slope, measured
from cloverhook.member_events import LinkOpened, MessageReceived, SendMessage, Tick
from cloverhook.members import Member, Status
from cloverhook.membership import Membership
from cloverhook.messages import Heartbeat, Hello, MemberUpdate, MemberUpdates, decode, encode

__all__ = ["MEMBERS", "membership_slopes"]

MEMBERS = (19, 100, 400)
TICKS_PER_S = 20
TICKS_PER_HEARTBEAT = 5
START_MS = 1_000_000.0
TICK_MS = 1000 / TICKS_PER_S
SETTLING_S = 5
BEST_OF = 3


def membership_slopes() -> list[Slope]:
    """Measure a second of a daemon at rest, and one change of a member."""
    return [
        measured("membership", "a second of one daemon", "us", "member", MEMBERS, _second_us),
        measured("membership", "bytes a second", "bytes", "member", MEMBERS, _second_bytes),
        measured("membership", "a change of a member", "us", "member", MEMBERS, _change_us),
        measured("membership", "bytes of a change", "bytes", "member", MEMBERS, _change_bytes),
    ]


class _Fed:
    """A daemon's membership with its neighbours linked; messages go through their CBOR form."""

    def __init__(self, members: int) -> None:
        self.now_ms = START_MS
        self.bytes = 0
        own = Member("vm-own", "dc-0", "10.0.0.1:1", "10.0.0.1:2", 1, since_ms=START_MS)
        self.membership = Membership(own, random.Random(members), START_MS)
        updates = tuple(_update(index) for index in range(members))
        self._link(updates[0])
        self._do(MessageReceived(updates[0].vm, MemberUpdates(updates)))
        of_vm = {update.vm: update for update in updates}
        for vm in self.membership.neighbours():
            self._link(of_vm[vm])
        self.changing = updates[members // 2]
        for _ in range(SETTLING_S):
            self.second()
        self.bytes = 0

    def second(self) -> None:
        """Let a second pass in which nothing changes."""
        for tick in range(TICKS_PER_S):
            self.now_ms += TICK_MS
            self._do(Tick())
            if tick % TICKS_PER_HEARTBEAT == 0:
                for vm in sorted(self.membership.linked):
                    heartbeat = Heartbeat(vm, 1, 0, False, 1, self.membership.table.digest)
                    self._receive(vm, heartbeat)

    def change(self) -> None:
        """Hear that a member has said something new of itself."""
        self.changing = replace(self.changing, sequence=self.changing.sequence + 1)
        vm = min(self.membership.linked)
        self._receive(vm, MemberUpdates((self.changing,)))
        self.membership.neighbours()

    def _link(self, update: MemberUpdate) -> None:
        hello = Hello(
            update.vm,
            update.data_center,
            update.caller_address,
            update.peer_address,
            update.incarnation,
            sequence=update.sequence,
        )
        self._do(LinkOpened(hello))

    def _receive(self, vm: str, message: Heartbeat | MemberUpdates) -> None:
        data = encode(message)
        self.bytes += len(data)
        self._do(MessageReceived(vm, decode(data)))

    def _do(self, event: LinkOpened | MessageReceived | Tick) -> None:
        for action in self.membership.handle(event, self.now_ms):
            if isinstance(action, SendMessage):
                self.bytes += len(encode(action.message))


def _update(index: int) -> MemberUpdate:
    address = f"10.{index // 256}.{index % 256}.1"
    return MemberUpdate(
        f"vm-{index:04d}",
        f"dc-{index % 13}",
        f"{address}:8080",
        f"{address}:8082",
        1,
        1,
        int(Status.ALIVE),
        False,
    )


def _second_us(members: int) -> float:
    fed = _Fed(members)
    return _best_us(fed.second)


def _second_bytes(members: int) -> float:
    fed = _Fed(members)
    fed.second()
    return float(fed.bytes)


def _change_us(members: int) -> float:
    fed = _Fed(members)
    return _best_us(fed.change)


def _change_bytes(members: int) -> float:
    fed = _Fed(members)
    fed.change()
    return float(fed.bytes)


def _best_us(work) -> float:
    best = float("inf")
    for _ in range(BEST_OF):
        start = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - start)
    return best * 1e6
