"""The order of the requests of one connection: which may start, and which response is written next.

Layer: coordination.  `ResponseOrder` holds the unanswered requests of a connection in the order in
which they arrived.  Requests that may overlap run concurrently; one that may not runs alone, once
all before it are answered.  It is designed for callers that pipeline several short requests over
one connection, with responses of a few KB.

>>> order = ResponseOrder(lambda request: request != "write")
>>> entries = [order.add(item) for item in ("read 1", "read 2", "write", "read 3")]
>>> [entry.request for entry in order.start_ready(draining=False)]
['read 1', 'read 2']
>>> order.record_finished(entries[1], size_bytes=10)
>>> order.next_to_write() is None
True
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

__all__ = [
    "BUFFERED_RESPONSE_BYTES",
    "PIPELINE_LIMIT",
    "READ_AHEAD_BYTES",
    "Entry",
    "ResponseOrder",
]

PIPELINE_LIMIT = 8
"""The number of unanswered requests of a connection; reading pauses above it."""
BUFFERED_RESPONSE_BYTES = 65_536
"""No request starts while finished responses of this size wait for earlier ones.  Requests that run
already can exceed it, by at most one buffered response each."""
READ_AHEAD_BYTES = 65_536
"""Reading pauses while the bodies of requests behind the first unanswered one have this size: a
body may have 64 MB, and a VM has 200 MB of memory."""


class Stage(Enum):
    """How far a request has got."""

    WAITING = auto()
    RUNNING = auto()
    FINISHED = auto()


@dataclass(slots=True, eq=False)
class Entry:
    """An unanswered request, or the rejection of one that could not be read.

    `keep_alive` is False if the connection closes after its response.  A `streams` response has a
    part that hasn't been read from the endpoint yet.
    """

    request: Any
    keep_alive: bool
    body_bytes: int
    stage: Stage = Stage.WAITING
    may_overlap: bool | None = None
    response_bytes: int = 0
    streams: bool = False


class ResponseOrder:
    """The unanswered requests of one connection, in order.

    `may_overlap` tells whether a request may run while others run; it is called when a request
    could start beside another one, so that the configuration in force at that time decides.
    """

    def __init__(self, may_overlap: Callable[[Any], bool]) -> None:
        self._may_overlap = may_overlap
        self._entries: deque[Entry] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, entry: Entry) -> bool:
        return entry in self._entries

    def add(self, request: Any, keep_alive: bool = True, body_bytes: int = 0) -> Entry:
        """Add the request that arrived last."""
        entry = Entry(request, keep_alive, body_bytes)
        self._entries.append(entry)
        return entry

    def may_read(self, partial_body_bytes: int = 0) -> bool:
        """Return whether more may be read from the connection.

        `partial_body_bytes` is the size of the part that has arrived of the next request's body.
        """
        if not self._entries:
            return True
        ahead_bytes = sum(entry.body_bytes for entry in self._entries)
        ahead_bytes += partial_body_bytes - self._entries[0].body_bytes
        return len(self._entries) < PIPELINE_LIMIT and ahead_bytes < READ_AHEAD_BYTES

    def start_ready(self, draining: bool) -> list[Entry]:
        """Return the requests that start now, and take them as running.

        While draining, a request starts only if no other one is unanswered before it, because the
        connection closes after the last of those that run.
        """
        started: list[Entry] = []
        waiting_bytes = 0
        for index, entry in enumerate(self._entries):
            if index >= PIPELINE_LIMIT or (index and (draining or not self._overlaps(entry))):
                break
            if entry.stage is Stage.WAITING:
                if waiting_bytes >= BUFFERED_RESPONSE_BYTES:
                    break
                entry.stage = Stage.RUNNING
                started.append(entry)
            if entry.streams or not self._overlaps_if_followed(index):
                break
            waiting_bytes += entry.response_bytes
        return started

    def record_finished(self, entry: Entry, size_bytes: int, streams: bool = False) -> None:
        """Record that the response to a request is ready, or that a request was rejected."""
        entry.stage = Stage.FINISHED
        entry.response_bytes = size_bytes
        entry.streams = streams

    def next_to_write(self) -> Entry | None:
        """Return the first unanswered request if its response is ready."""
        if self._entries and self._entries[0].stage is Stage.FINISHED:
            return self._entries[0]
        return None

    def closes_after(self, entry: Entry, draining: bool) -> bool:
        """Return whether the connection closes after the response that is written next.

        While draining, it stays open for the responses to requests that have started.
        """
        if not entry.keep_alive:
            return True
        following = self._entries[1] if len(self._entries) > 1 else None
        return draining and (following is None or following.stage is Stage.WAITING)

    def drop_following(self) -> list[Entry]:
        """Drop the requests behind the first one; return those that have started."""
        dropped = [entry for entry in list(self._entries)[1:] if entry.stage is not Stage.WAITING]
        while len(self._entries) > 1:
            self._entries.pop()
        return dropped

    def record_written(self, entry: Entry) -> None:
        """Remove the first request, whose response has been written."""
        assert self._entries[0] is entry
        self._entries.popleft()

    def clear(self) -> list[Entry]:
        """Remove all requests; return those that have started."""
        started = [entry for entry in self._entries if entry.stage is not Stage.WAITING]
        self._entries.clear()
        return started

    def _overlaps_if_followed(self, index: int) -> bool:
        """Return whether the request behind this one may run beside it, if there is one."""
        return index + 1 < len(self._entries) and self._overlaps(self._entries[index])

    def _overlaps(self, entry: Entry) -> bool:
        """Return whether a request may overlap; the decision is kept once it runs."""
        if entry.may_overlap is None or entry.stage is Stage.WAITING:
            entry.may_overlap = entry.request is not None and self._may_overlap(entry.request)
        return entry.may_overlap
