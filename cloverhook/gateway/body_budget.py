"""Decides which request bodies may be received now, so that all of them fit into memory together.

Layer: coordination.  A body is held until its request is answered, as the request may have to be
sent again.  Small bodies have a part of the memory for themselves, so that they never wait for
large ones.  A large body of known length reserves all of it before it is read.  A body of unknown
length reserves more as it grows; it may wait while it holds memory, so growth is granted only if
every body received can still be received to its end, in some order (the banker's algorithm).
Bodies that have not begun wait in order of arrival.

>>> budget = BodyBudget(100_000_000)
>>> first, second = (budget.open(lambda granted: None) for _ in range(2))
>>> budget.reserve(first, 30_000_000, 30_000_000, now_ms=0.0).name
'GRANTED'
>>> budget.reserve(second, 30_000_000, 30_000_000, now_ms=0.0).name
'WAITING'
>>> budget.release(first, now_ms=5.0)
>>> second.held_bytes
30000000
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Self

__all__ = ["DEFAULT_MEMORY_MB", "SMALL_BODY_BYTES", "BodyBudget", "BodyReservation", "Grant"]

DEFAULT_MEMORY_MB = 200.0
"""The memory of the smallest VMs, for VMs whose settings don't give theirs."""
BYTES_PER_MB = 1_000_000
LARGE_SHARE = 0.4
"""The share of the memory for large bodies.  The rest is for the process itself, for responses, and
for what the kernel and the transports hold of bodies in transit."""
SMALL_SHARE = 0.1
SMALL_BODY_BYTES = 65_536
GROWTH_MIN_BYTES = 4_096
WAITING_LIMIT = 16
"""The bodies that may wait at a time: each holds up to one read from its socket."""
WAITING_SHARE = 2.0
"""The bytes that may wait, as a share of the memory for large bodies: more would take too long."""
WAIT_LIMIT_MS = 10_000.0
RATE_MIN_BYTES_PER_MS = 64.0
"""While others wait, a body that arrives more slowly than this gives its memory up."""
RATE_GRACE_MS = 5_000.0


class Grant(Enum):
    """The decision about a reservation."""

    GRANTED = auto()
    WAITING = auto()
    REFUSED = auto()


@dataclass(slots=True, eq=False)
class BodyReservation:
    """The memory reserved for one body.

    `on_decision` is called with whether memory was granted to a body that has waited, or with False
    if a body has to give up the memory that it holds.  `most_bytes` is the most that it may need.
    """

    on_decision: Callable[[bool], None]
    held_bytes: int = 0
    most_bytes: int = 0
    wanted_bytes: int = 0
    received_bytes: int = 0
    since_ms: float = 0.0
    is_large: bool = False
    is_complete: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether more memory is wanted than is held."""
        return self.wanted_bytes > self.held_bytes


class BodyBudget:
    """The memory for request bodies of one process, and the bodies that hold it or wait for it."""

    def __init__(self, memory_bytes: float) -> None:
        self.limit_bytes = int(memory_bytes * LARGE_SHARE)
        self.small_limit_bytes = int(memory_bytes * SMALL_SHARE)
        self.small_bytes = 0
        self.large_bytes = 0
        self._large: set[BodyReservation] = set()
        self._growing: list[BodyReservation] = []
        self._waiting: list[BodyReservation] = []

    @classmethod
    def from_memory_mb(cls, memory_mb: float) -> Self:
        """Build the budget of a VM with this memory; 0 if it isn't known."""
        return cls((memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB)

    @property
    def held_bytes(self) -> int:
        """The memory that all bodies hold."""
        return self.small_bytes + self.large_bytes

    @property
    def waiting_count(self) -> int:
        """How many bodies wait for memory."""
        return len(self._waiting) + len(self._growing)

    def open(self, on_decision: Callable[[bool], None]) -> BodyReservation:
        """Return the reservation for a body; it holds nothing yet."""
        return BodyReservation(on_decision)

    def reserve(
        self, body: BodyReservation, size_bytes: int, most_bytes: int, now_ms: float
    ) -> Grant:
        """Have a body hold `size_bytes` or more of the `most_bytes` that it may need.

        `on_decision` of a body that waits is called with the decision.  A refused body holds what
        it held before.
        """
        if size_bytes <= body.held_bytes:
            return Grant.GRANTED
        if body.is_waiting:
            return Grant.WAITING
        if size_bytes > self.limit_bytes:
            return Grant.REFUSED
        most_bytes = min(most_bytes, self.limit_bytes)
        size_bytes = min(max(size_bytes, 2 * body.held_bytes, GROWTH_MIN_BYTES), most_bytes)
        if size_bytes <= SMALL_BODY_BYTES:
            return self._reserve_small(body, size_bytes)
        must_queue = not body.is_large and self.waiting_count
        if not must_queue and self._is_safe(body, size_bytes, most_bytes):
            self._grant(body, size_bytes, most_bytes, now_ms)
            return Grant.GRANTED
        if not body.is_large and self._is_queue_full(size_bytes):
            return Grant.REFUSED
        body.wanted_bytes, body.since_ms = size_bytes, now_ms
        body.most_bytes = most_bytes
        (self._growing if body.is_large else self._waiting).append(body)
        return Grant.WAITING

    def complete(self, body: BodyReservation, size_bytes: int, now_ms: float) -> None:
        """Record that a body has been received to its end; what it doesn't need is free again."""
        body.is_complete = True
        if body.is_large:
            self.large_bytes -= body.held_bytes - size_bytes
        else:
            self.small_bytes -= body.held_bytes - size_bytes
        body.held_bytes = body.most_bytes = body.wanted_bytes = size_bytes
        self._grant_waiting(now_ms)

    def release(self, body: BodyReservation, now_ms: float) -> None:
        """Free what a body holds, or take it out of the queue; a second call has no effect."""
        for queue in (self._waiting, self._growing):
            if body in queue:
                queue.remove(body)
        if body.is_large:
            self._large.discard(body)
            self.large_bytes -= body.held_bytes
        else:
            self.small_bytes -= body.held_bytes
        body.held_bytes = body.wanted_bytes = 0
        self._grant_waiting(now_ms)

    def expire(self, now_ms: float) -> None:
        """Refuse the bodies that have waited for too long or that others have to wait for.

        The latter are bodies whose senders are too slow.
        """
        expired = [
            body
            for body in (*self._waiting, *self._growing)
            if now_ms - body.since_ms >= WAIT_LIMIT_MS
        ]
        if self.waiting_count:
            expired += [body for body in self._large if self._is_slow(body, now_ms)]
        for body in expired:
            self.release(body, now_ms)
            body.on_decision(False)

    def _is_slow(self, body: BodyReservation, now_ms: float) -> bool:
        age_ms = now_ms - body.since_ms
        if body.is_complete or body.is_waiting or age_ms < RATE_GRACE_MS:
            return False
        return body.received_bytes < age_ms * RATE_MIN_BYTES_PER_MS

    def _reserve_small(self, body: BodyReservation, size_bytes: int) -> Grant:
        if self.small_bytes + size_bytes - body.held_bytes > self.small_limit_bytes:
            return Grant.REFUSED
        self.small_bytes += size_bytes - body.held_bytes
        body.held_bytes = body.wanted_bytes = size_bytes
        return Grant.GRANTED

    def _is_queue_full(self, size_bytes: int) -> bool:
        waiting_bytes = sum(body.wanted_bytes for body in self._waiting)
        return (
            len(self._waiting) >= WAITING_LIMIT
            or waiting_bytes + size_bytes > WAITING_SHARE * self.limit_bytes
        )

    def _grant(
        self, body: BodyReservation, size_bytes: int, most_bytes: int, now_ms: float
    ) -> None:
        if body.is_large:
            self.large_bytes += size_bytes - body.held_bytes
        else:
            self.small_bytes -= body.held_bytes
            self.large_bytes += size_bytes
            self._large.add(body)
            body.received_bytes = 0
        body.is_large = True
        body.held_bytes = body.wanted_bytes = size_bytes
        body.most_bytes, body.since_ms = most_bytes, now_ms

    def _grant_waiting(self, now_ms: float) -> None:
        """Grant what fits now: first to bodies that hold memory, then in order of arrival."""
        for body in tuple(self._growing):
            if self._is_safe(body, body.wanted_bytes, body.most_bytes):
                self._growing.remove(body)
                self._grant(body, body.wanted_bytes, body.most_bytes, now_ms)
                body.on_decision(True)
        while self._waiting and not self._growing:
            body = self._waiting[0]
            if not self._is_safe(body, body.wanted_bytes, body.most_bytes):
                return
            self._waiting.remove(body)
            self._grant(body, body.wanted_bytes, body.most_bytes, now_ms)
            body.on_decision(True)

    def _is_safe(self, body: BodyReservation, size_bytes: int, most_bytes: int) -> bool:
        """Return whether all large bodies can still be received in some order after a grant."""
        others = [
            (item.most_bytes - item.held_bytes, item.held_bytes)
            for item in self._large
            if item is not body
        ]
        free_bytes = self.limit_bytes - size_bytes - sum(held for _, held in others)
        if free_bytes < 0:
            return False
        for needed_bytes, held_bytes in sorted([*others, (most_bytes - size_bytes, size_bytes)]):
            if needed_bytes > free_bytes:
                return False
            free_bytes += held_bytes
        return True
