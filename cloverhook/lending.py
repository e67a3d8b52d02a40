"""Slots that VMs lend each other: what is asked for, granted, borrowed and returned.

Layer: coordination.  A VM whose requests wait tells the owners how many and how long; each owner
ranks that among its own waiting requests.  Everything here is about capacity only: an ask, a grant
or a return that is lost, late or doubled can leave a slot unused or used twice for a moment, and
each of them lapses by itself.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from cloverhook.messages import SlotRequest

__all__ = ["BorrowedSlots", "LendingPeer", "LentSlots", "PeerSlotRequest"]

SLOT_REQUEST_LIFETIME_MS = 100.0
LOAN_MS = 500.0
LENT_LIFETIME_MS = 2_000.0
FIRST_ROUND_TRIP_MS = 3.0
ROUND_TRIP_RATE = 0.1


@dataclass(slots=True)
class PeerSlotRequest:
    """What another VM waits for: `waiting` requests, the first of which has waited `oldest_ms`."""

    vm: str
    priority: int
    waiting: int
    oldest_ms: float
    received_ms: float
    granted: int = 0

    @classmethod
    def from_message(cls, vm: str, message: SlotRequest, now_ms: float) -> "PeerSlotRequest":
        """Return the ask that a message stands for."""
        return cls(vm, message.priority, message.waiting, message.oldest_ms, now_ms)

    def is_open(self, now_ms: float) -> bool:
        """Return whether there is something left to grant."""
        return self.granted < self.waiting and now_ms - self.received_ms < SLOT_REQUEST_LIFETIME_MS

    def wait_when_sent_ms(self) -> float:
        """Return how long its next request had waited when it asked, if they came evenly."""
        return self.oldest_ms * (1.0 - self.granted / self.waiting)

    def estimated_wait_ms(self, now_ms: float) -> float:
        """Return how long its next request has waited by now, if nobody else has served it."""
        return self.wait_when_sent_ms() + now_ms - self.received_ms


@dataclass(slots=True)
class LendingPeer:
    """Another VM of the service: what it has asked for, and whether it answers."""

    vm: str
    slot_request: PeerSlotRequest | None = None
    unanswered_since_ms: float | None = None
    last_request_ms: float = -1e12
    requested_slots: int = 0
    granted_slots: int = 0
    round_trip_ms: float = FIRST_ROUND_TRIP_MS
    unresponsive: bool = False
    has_working_endpoint: bool = True

    def record_answer(self, now_ms: float) -> None:
        """Take an answer to an ask."""
        if self.unanswered_since_ms is not None:
            took_ms = now_ms - self.unanswered_since_ms
            self.round_trip_ms += ROUND_TRIP_RATE * (took_ms - self.round_trip_ms)
            self.unanswered_since_ms = None


@dataclass(slots=True)
class BorrowedSlots:
    """Slots of other owners that this VM may use; idle ones can be taken at once."""

    idle: deque[tuple[str, str, float, float]] = field(default_factory=deque)
    in_use: dict[str, tuple[str, float]] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """The number of slots borrowed."""
        return len(self.idle) + len(self.in_use)

    def add_idle(self, address: str, owner: str, ends_ms: float, now_ms: float) -> None:
        """Add an idle slot."""
        self.idle.append((address, owner, ends_ms, now_ms))

    def use_idle(self, request_id: str) -> str | None:
        """Use an idle slot for a request and return its address, or None."""
        if not self.idle:
            return None
        address, owner, ends_ms, _ = self.idle.popleft()
        self.in_use[request_id] = (owner, ends_ms)
        return address

    def release(self, request_id: str) -> tuple[str, float] | None:
        """Return the owner and the end of the loan that a request has used, or None."""
        return self.in_use.pop(request_id, None)

    def pop_idle_since(self, limit_ms: float) -> list[tuple[str, str]]:
        """Take out and return address and owner of the slots that are idle since then."""
        given_up: list[tuple[str, str]] = []
        while self.idle and self.idle[0][3] <= limit_ms:
            address, owner, _, _ = self.idle.popleft()
            given_up.append((address, owner))
        return given_up


class LentSlots:
    """Slots that this VM has granted to others and that are not back yet."""

    def __init__(self) -> None:
        self._out: dict[tuple[str, str], deque[float]] = {}
        self._first_end_ms = math.inf

    def add(self, vm: str, address: str, now_ms: float) -> None:
        """Count a slot that is granted."""
        end_ms = now_ms + LENT_LIFETIME_MS
        self._first_end_ms = min(self._first_end_ms, end_ms)
        self._out.setdefault((vm, address), deque()).append(end_ms)

    def next_expiry_ms(self) -> float:
        """Return the earliest time at which a slot may have been out for too long."""
        return self._first_end_ms if self._out else math.inf

    def count(self) -> int:
        """Return how many slots are out."""
        return sum(map(len, self._out.values()))

    def has_lent_to(self, vm: str) -> bool:
        """Return whether the VM has any slot of this one."""
        return any(name == vm for name, _ in self._out)

    def record_return(self, vm: str, address: str) -> bool:
        """Count a slot that is returned; return False for one that was not out."""
        ends = self._out.get((vm, address))
        if not ends:
            return False
        ends.popleft()
        if not ends:
            del self._out[(vm, address)]
        return True

    def reclaim_all(self, vm: str) -> list[str]:
        """Take back and return the addresses of all slots that a VM has."""
        gone = [key for key in self._out if key[0] == vm]
        return [key[1] for key in gone for _ in self._out.pop(key)]

    def pop_expired(self, now_ms: float) -> list[str]:
        """Take back and return the addresses of slots that have been out for too long."""
        late: list[str] = []
        for (vm, address), ends in tuple(self._out.items()):
            while ends and ends[0] <= now_ms:
                ends.popleft()
                late.append(address)
            if not ends:
                self._out.pop((vm, address), None)
        self._first_end_ms = min((ends[0] for ends in self._out.values()), default=math.inf)
        return late
