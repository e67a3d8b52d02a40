"""The time line: the events of this process, with causal timestamps.

Layer: state.  Each event has a stamp of a hybrid logical clock (wall time in microseconds and a
counter).  Messages between daemons and records of the log carry stamps, so that the events of many
processes can be merged into an order in which no effect precedes its cause, even if the wall clocks
disagree.

Memory is bounded: a fixed number of request events and a fixed number of all other events are kept.
They are counted separately, so that many requests don't evict the events of a change.  The events
of ordinary requests are kept only for a sample of the requests.  A hash of the request's identifier
selects the sample, so every VM keeps or skips the same requests.  Events of failures, changes and
members are always kept, regardless of the sample.

>>> line = TimeLine("vm-1")
>>> line.add(1_000.0, EventName.MEMBER_JOINED, detail="vm-2")
>>> [(event.name.value, event.detail) for event in line.events()]
[('member-joined', 'vm-2')]
"""

import heapq
import zlib
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

__all__ = ["EventName", "EventPage", "HybridClock", "Stamp", "TimeLine", "TimeLineEvent"]

KEPT_EVENTS = 20_000
KEPT_OTHER_EVENTS = 5_000
PAGE_SCAN_LIMIT = 500
HASH_RANGE = 1 << 32


class EventName(StrEnum):
    """The kinds of events on the time line.

    `of_request` is whether it is an event of a request, and `sampled` whether it is kept only for a
    sample of the requests.
    """

    of_request: bool
    sampled: bool

    def __new__(cls, value: str, of_request: bool = False, sampled: bool = False) -> "EventName":
        """Return a member; reading its attributes is cheaper than a look-up in a set of members."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.of_request = of_request
        member.sampled = sampled
        return member

    REQUEST_ARRIVED = "request-arrived", True, True
    REQUEST_ANSWERED = "request-answered", True, True
    REQUEST_REFUSED = "request-refused", True
    REQUEST_CUT = "request-cut", True
    ATTEMPT_STARTED = "attempt-started", True, True
    ATTEMPT_ENDED = "attempt-ended", True, True
    ATTEMPT_FAILED = "attempt-failed", True
    CHANGE_SEEN = "change-seen"
    CHANGE_ACCEPTED = "change-accepted"
    CHANGE_REJECTED = "change-rejected"
    STATE_ADOPTED = "state-adopted"
    MEMBER_JOINED = "member-joined"
    MEMBER_LEFT = "member-left"
    MEMBER_SUSPECTED = "member-suspected"
    MEMBER_LOST = "member-lost"
    ENDPOINT_STATE = "endpoint-state"
    LOG_SILENT = "log-silent"
    LOG_BACK = "log-back"
    DAEMON_STARTED = "daemon-started"
    DRAIN_STARTED = "drain-started"


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A time of the hybrid logical clock."""

    wall_us: int
    counter: int


class HybridClock:
    """The hybrid logical clock of one process.

    Later stamps are greater, also across processes that exchange stamps.
    """

    def __init__(self) -> None:
        self._wall_us = 0
        self._counter = 0

    def next_stamp(self, wall_ms: float) -> Stamp:
        """Return a stamp that is greater than all stamps this process has issued or received."""
        self.advance_by_wall(wall_ms)
        return Stamp(self._wall_us, self._counter)

    def advance_by_wall(self, wall_ms: float) -> tuple[int, int]:
        """Do as `next_stamp` does but create no object, since this runs for every request."""
        wall_us = int(wall_ms * 1000)
        if wall_us > self._wall_us:
            self._wall_us = wall_us
            self._counter = 0
        else:
            self._counter += 1
        return self._wall_us, self._counter

    def advance_past(self, stamp: Stamp) -> None:
        """Advance the clock to a received stamp, so that this process's next stamps are greater."""
        if (stamp.wall_us, stamp.counter) > (self._wall_us, self._counter):
            self._wall_us = stamp.wall_us
            self._counter = stamp.counter


@dataclass(frozen=True, slots=True)
class TimeLineEvent:
    """An event: `name` is its kind, and the identifiers name what it concerns.

    `sequence` is the event's number in its process, and `wall_ms` the process's wall clock.
    """

    stamp: Stamp
    vm: str
    sequence: int
    wall_ms: float
    name: EventName
    request_id: str = ""
    address: str = ""
    change_id: str = ""
    detail: str = ""

    def to_document(self) -> dict[str, Any]:
        """Return the event as a JSON object."""
        return {
            "stamp": {"wall_us": self.stamp.wall_us, "counter": self.stamp.counter},
            "vm": self.vm,
            "sequence": self.sequence,
            "wall_ms": self.wall_ms,
            "name": self.name.value,
            "request_id": self.request_id,
            "address": self.address,
            "change_id": self.change_id,
            "detail": self.detail,
        }

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "TimeLineEvent":
        """Return the event for an object that `to_document` returned.

        Raises `KeyError`, `TypeError` or `ValueError` for anything else.
        """
        return cls(
            **{
                **document,
                "stamp": Stamp(**document["stamp"]),
                "name": EventName(document["name"]),
            }
        )


@dataclass(frozen=True, slots=True)
class EventPage:
    """Events in the order of their sequence numbers.

    The next page starts after the sequence number `after`; `last` is the newest sequence number.
    """

    events: tuple[TimeLineEvent, ...]
    after: int
    last: int


class TimeLine:
    """The events of one process.

    `sample_ratio` is the share of requests, 0 to 1, whose ordinary events are kept.
    """

    def __init__(
        self,
        vm: str,
        kept_events: int = KEPT_EVENTS,
        sample_ratio: float = 1.0,
        kept_other_events: int = KEPT_OTHER_EVENTS,
    ) -> None:
        self._vm = vm
        self._of_requests = _Ring(kept_events)
        self._others = _Ring(kept_other_events)
        self._sample_below = int(sample_ratio * HASH_RANGE)
        self._sequence = 0
        self.clock = HybridClock()
        self.skipped = 0

    @property
    def dropped(self) -> int:
        """The number of events that newer ones have evicted."""
        return self._of_requests.dropped + self._others.dropped

    def add(
        self,
        wall_ms: float,
        name: EventName,
        *,
        request_id: str = "",
        address: str = "",
        change_id: str = "",
        detail: str = "",
    ) -> None:
        """Add an event that happens now; it is skipped if its request is outside the sample."""
        if name.sampled and not self.is_sampled(request_id):
            self.skipped += 1
            return
        self._sequence += 1
        ring = self._of_requests if name.of_request else self._others
        stamp = self.clock.advance_by_wall(wall_ms)
        ring.append((self._sequence, stamp, wall_ms, name, request_id, address, change_id, detail))

    def is_sampled(self, request_id: str) -> bool:
        """Return whether the ordinary events of a request are kept; it is the same on every VM."""
        return zlib.crc32(request_id.encode()) < self._sample_below

    def page(
        self,
        after: int = 0,
        limit: int = PAGE_SCAN_LIMIT,
        request_id: str = "",
        address: str = "",
        change_id: str = "",
    ) -> EventPage:
        """Return the kept events with a sequence number greater than `after`.

        If an identifier is given, only the events that have it are returned.  A page scans at most
        `limit` events, so that reading the time line does not delay requests.
        """
        first_request = self._of_requests.position_after(after)
        first_other = self._others.position_after(after)
        entries = heapq.merge(
            self._of_requests.entries(first_request, limit),
            self._others.entries(first_other, limit),
        )
        scanned = [entry for entry, _ in zip(entries, range(limit), strict=False)]
        wanted = tuple(
            self._event(entry)
            for entry in scanned
            if (not request_id or entry[4] == request_id)
            and (not address or entry[5] == address)
            and (not change_id or entry[6] == change_id)
        )
        next_after = scanned[-1][0] if scanned else self._sequence
        return EventPage(wanted, next_after, self._sequence)

    def events(self) -> tuple[TimeLineEvent, ...]:
        """Return all kept events, oldest first."""
        return self.page(limit=max(1, self._sequence)).events

    def _event(self, entry: tuple) -> TimeLineEvent:
        sequence, stamp, wall_ms, name, *identifiers = entry
        return TimeLineEvent(Stamp(*stamp), self._vm, sequence, wall_ms, name, *identifiers)


class _Ring:
    """A ring buffer of the newest entries: tuples that start with an increasing sequence number."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._entries: list[tuple] = [()] * size
        self._appended = 0

    @property
    def dropped(self) -> int:
        return max(0, self._appended - self._size)

    def append(self, entry: tuple) -> None:
        self._entries[self._appended % self._size] = entry
        self._appended += 1

    def position_after(self, sequence: int) -> int:
        """Return the position of the first entry with a greater sequence number, by bisection."""
        low, high = self.dropped, self._appended
        while low < high:
            middle = (low + high) // 2
            if self._entries[middle % self._size][0] > sequence:
                high = middle
            else:
                low = middle + 1
        return low

    def entries(self, first: int, limit: int) -> list[tuple]:
        last = min(self._appended, first + limit)
        return [self._entries[position % self._size] for position in range(first, last)]
