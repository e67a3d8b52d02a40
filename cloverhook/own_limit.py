"""A daemon's own limit: how late its event loop runs, and what it refuses because of that.

Layer: coordination, free of input and output.  The daemon plans a call every few milliseconds and
tells how late it came and how much of the time the process was busy.  A daemon near its limit
refuses the least important requests at once, rather than being slow for all.

>>> limit = LoadShedder()
>>> limit.observe(lag_ms=400.0, busy=1.0)
>>> [limit.should_shed(priority) for priority in (Priority.HIGH, Priority.NORMAL, Priority.LOW)]
[False, True, True]
"""

from cloverhook.fleet import Priority

__all__ = ["LoadShedder"]

RATE = 0.2
LATE_LIMIT_MS = {Priority.LOW: 20.0, Priority.NORMAL: 50.0, Priority.HIGH: 150.0}


class LoadShedder:
    """Judges the load of this process; `busy` is the share of a core it uses, 0 to 1."""

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.busy = 0.0

    def observe(self, lag_ms: float, busy: float) -> None:
        """Take how late a planned call came, and the share of time the process was busy."""
        self.lag_ms += RATE * (max(0.0, lag_ms) - self.lag_ms)
        self.busy += RATE * (busy - self.busy)

    def should_shed(self, priority: Priority) -> bool:
        """Return whether a new request of this priority is refused at once."""
        return self.lag_ms > LATE_LIMIT_MS[priority]
