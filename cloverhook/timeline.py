"""The time line: what happened in this process, as typed events with a causal stamp.

Layer: state.  Each event carries a hybrid logical clock (wall time in milliseconds and a
counter), so that events of many processes merge into an order in which no effect stands before
its cause.  A fixed number of events is kept; the oldest go first.
"""

from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

__all__ = ["Stamp", "TimeLine", "TimeLineEvent"]

KEPT_EVENTS = 20_000


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A point on the hybrid logical clock."""

    wall_ms: int
    counter: int


@dataclass(frozen=True, slots=True)
class TimeLineEvent:
    """Something that happened: `name` says what, and the identifiers say to whom."""

    stamp: Stamp
    vm: str
    name: str
    request_id: str = ""
    address: str = ""
    change_id: str = ""
    detail: str = ""

    def to_document(self) -> dict[str, Any]:
        """Return the event as a JSON object."""
        return asdict(self)


class TimeLine:
    """The events of one process."""

    def __init__(self, vm: str, kept_events: int = KEPT_EVENTS) -> None:
        self._vm = vm
        self._events: deque[TimeLineEvent] = deque(maxlen=kept_events)
        self._last = Stamp(0, 0)

    def add(self, wall_ms: float, name: str, **identifiers: str) -> None:
        """Add an event that happened now."""
        self._events.append(TimeLineEvent(self.stamp(wall_ms), self._vm, name, **identifiers))

    def stamp(self, wall_ms: float) -> Stamp:
        """Return a stamp later than all that this process has given or seen."""
        wall = int(wall_ms)
        if wall > self._last.wall_ms:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def witness(self, stamp: Stamp) -> None:
        """Take a stamp that came with a message: later stamps of this process stand after it."""
        self._last = max(self._last, stamp)

    def events(self) -> tuple[TimeLineEvent, ...]:
        """Return the events kept, oldest first."""
        return tuple(self._events)
