"""A daemon's own limit: how late its event loop runs, and what it refuses because of that.

Layer: coordination, free of input and output.  The daemon plans a call every few milliseconds and
tells how late it came and how much of the time the process was busy.  A daemon near its limit
refuses the least important requests at once, rather than being slow for all.

>>> limit = OwnLimit()
>>> limit.observe(late_ms=400.0, busy=1.0)
>>> [limit.refuses(priority) for priority in (Priority.HIGH, Priority.NORMAL, Priority.LOW)]
[False, True, True]
"""

from cloverhook.fleet import Priority

__all__ = ["OwnLimit"]

RATE = 0.2
LATE_LIMIT_MS = {Priority.LOW: 20.0, Priority.NORMAL: 50.0, Priority.HIGH: 150.0}


class OwnLimit:
    """Judges the load of this process; `busy` is the share of a core it uses, 0 to 1."""

    def __init__(self) -> None:
        self.late_ms = 0.0
        self.busy = 0.0

    def observe(self, late_ms: float, busy: float) -> None:
        """Take how late a planned call came, and the share of time the process was busy."""
        self.late_ms += RATE * (max(0.0, late_ms) - self.late_ms)
        self.busy += RATE * (busy - self.busy)

    def refuses(self, priority: Priority) -> bool:
        """Return whether a new request of this priority is refused at once."""
        return self.late_ms > LATE_LIMIT_MS[priority]
