"""State of the slots that VMs lend each other: requested, granted, borrowed and returned ones.

Layer: coordination.  A VM with queued requests sends the owners of endpoints a slot request, with
the number of the requests and how long they have waited.  Each owner ranks slot requests together
with its own queued requests.  All of this concerns capacity only: a slot request, grant or return
that is lost, late or duplicated can leave a slot unused or used twice for a moment, and each of
them expires by itself.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from cloverhook.messages import SlotRequest

__all__ = ["BorrowedSlots", "LendingPeer", "LentSlots", "PeerSlotRequest"]

SLOT_REQUEST_LIFETIME_MS = 100.0
LOAN_MS = 500.0
"""A borrower reuses a slot for this long before it returns it."""
LENT_LIFETIME_MS = 2_000.0
"""An owner reclaims a slot that has not been returned within this time."""
INITIAL_ROUND_TRIP_MS = 3.0
ROUND_TRIP_SMOOTHING = 0.1
"""Weight of a new sample in the moving average of the round trip."""


@dataclass(slots=True)
class PeerSlotRequest:
    """A slot request of another VM.

    When it was sent, `waiting` requests were queued there and the first had waited `oldest_ms`.
    """

    vm: str
    priority: int
    waiting: int
    oldest_ms: float
    received_ms: float
    granted: int = 0

    @classmethod
    def from_message(cls, vm: str, message: SlotRequest, now_ms: float) -> "PeerSlotRequest":
        """Return the slot request that a message describes."""
        return cls(vm, message.priority, message.waiting, message.oldest_ms, now_ms)

    def is_open(self, now_ms: float) -> bool:
        """Return whether it has not expired and has slots left to grant."""
        return self.granted < self.waiting and now_ms - self.received_ms < SLOT_REQUEST_LIFETIME_MS

    def wait_when_sent_ms(self) -> float:
        """Return how long its next request had waited when the slot request was sent.

        This assumes that the queued requests arrived at even intervals.
        """
        return self.oldest_ms * (1.0 - self.granted / self.waiting)

    def estimated_wait_ms(self, now_ms: float) -> float:
        """Return how long its next request has waited by now, if no other VM has served it."""
        return self.wait_when_sent_ms() + now_ms - self.received_ms


@dataclass(slots=True)
class LendingPeer:
    """Another VM of the service: its slot request, if any, and whether it answers."""

    vm: str
    slot_request: PeerSlotRequest | None = None
    unanswered_since_ms: float | None = None
    last_request_ms: float = -1e12
    requested_slots: int = 0
    granted_slots: int = 0
    round_trip_ms: float = INITIAL_ROUND_TRIP_MS
    unresponsive: bool = False
    has_working_endpoint: bool = True

    def record_answer(self, now_ms: float) -> None:
        """Record an answer to a slot request, and update the estimate of the round trip."""
        if self.unanswered_since_ms is not None:
            took_ms = now_ms - self.unanswered_since_ms
            self.round_trip_ms += ROUND_TRIP_SMOOTHING * (took_ms - self.round_trip_ms)
            self.unanswered_since_ms = None


@dataclass(slots=True)
class BorrowedSlots:
    """Slots of other owners that this VM may use; idle ones are available immediately."""

    idle: deque[tuple[str, str, float, float]] = field(default_factory=deque)
    in_use: dict[str, tuple[str, float]] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """The number of borrowed slots, idle or in use."""
        return len(self.idle) + len(self.in_use)

    def add_idle(self, address: str, owner: str, ends_ms: float, now_ms: float) -> None:
        """Add an idle slot whose loan ends at `ends_ms`."""
        self.idle.append((address, owner, ends_ms, now_ms))

    def use_idle(self, request_id: str) -> str | None:
        """Assign an idle slot to a request and return its address, or None if there is none."""
        if not self.idle:
            return None
        address, owner, ends_ms, _ = self.idle.popleft()
        self.in_use[request_id] = (owner, ends_ms)
        return address

    def release(self, request_id: str) -> tuple[str, float] | None:
        """End a request's use of a slot.

        Returns the owner and the end of the loan, or None if the request used no borrowed slot.
        """
        return self.in_use.pop(request_id, None)

    def pop_idle_since(self, limit_ms: float) -> list[tuple[str, str]]:
        """Remove the slots that have been idle since `limit_ms`.

        Returns the address and the owner of each.
        """
        removed: list[tuple[str, str]] = []
        while self.idle and self.idle[0][3] <= limit_ms:
            address, owner, _, _ = self.idle.popleft()
            removed.append((address, owner))
        return removed


class LentSlots:
    """Slots that this VM has granted to other VMs and that have not been returned yet."""

    def __init__(self) -> None:
        self._expiries: dict[tuple[str, str], deque[float]] = {}
        self._next_expiry_ms = math.inf

    def add(self, vm: str, address: str, now_ms: float) -> None:
        """Record a slot that has been granted."""
        end_ms = now_ms + LENT_LIFETIME_MS
        self._next_expiry_ms = min(self._next_expiry_ms, end_ms)
        self._expiries.setdefault((vm, address), deque()).append(end_ms)

    def next_expiry_ms(self) -> float:
        """Return the earliest time at which a loan may expire, or infinity if there is none."""
        return self._next_expiry_ms if self._expiries else math.inf

    def count(self) -> int:
        """Return how many slots are lent."""
        return sum(map(len, self._expiries.values()))

    def has_lent_to(self, vm: str) -> bool:
        """Return whether any slot is lent to this VM."""
        return any(name == vm for name, _ in self._expiries)

    def record_return(self, vm: str, address: str) -> bool:
        """Record a returned slot.  Returns False if no such slot was lent to the VM."""
        ends = self._expiries.get((vm, address))
        if not ends:
            return False
        ends.popleft()
        if not ends:
            del self._expiries[(vm, address)]
        return True

    def reclaim_all(self, vm: str) -> list[str]:
        """Reclaim all slots lent to a VM and return their addresses, one for each slot."""
        keys = [key for key in self._expiries if key[0] == vm]
        return [key[1] for key in keys for _ in self._expiries.pop(key)]

    def pop_expired(self, now_ms: float) -> list[str]:
        """Reclaim the slots whose loans have expired and return their addresses."""
        expired: list[str] = []
        for (vm, address), ends in tuple(self._expiries.items()):
            while ends and ends[0] <= now_ms:
                ends.popleft()
                expired.append(address)
            if not ends:
                self._expiries.pop((vm, address), None)
        self._next_expiry_ms = min((ends[0] for ends in self._expiries.values()), default=math.inf)
        return expired
