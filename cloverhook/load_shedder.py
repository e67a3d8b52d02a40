"""Load shedding by the lag of the daemon's own event loop.

Layer: coordination, free of input and output.  The daemon schedules a call every few tens of
milliseconds and reports how late it ran and what share of the time the process was busy.  A daemon
close to its limit rejects the requests of the lowest priorities at once, rather than being slow
for all requests.

>>> shedder = LoadShedder()
>>> shedder.observe(lag_ms=400.0, busy=1.0)
>>> [shedder.should_shed(priority) for priority in (Priority.HIGH, Priority.NORMAL, Priority.LOW)]
[False, True, True]
"""

from cloverhook.fleet import Priority

__all__ = ["LoadShedder"]

SMOOTHING = 0.2
LAG_LIMIT_MS = {Priority.LOW: 20.0, Priority.NORMAL: 50.0, Priority.HIGH: 150.0}


class LoadShedder:
    """Tracks the load of this process; `busy` is the share of a core that it uses, 0 to 1."""

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.busy = 0.0

    def observe(self, lag_ms: float, busy: float) -> None:
        """Record how late a scheduled call ran and the share of time the process was busy."""
        self.lag_ms += SMOOTHING * (max(0.0, lag_ms) - self.lag_ms)
        self.busy += SMOOTHING * (busy - self.busy)

    def should_shed(self, priority: Priority) -> bool:
        """Return whether new requests of this priority are to be rejected at once."""
        return self.lag_ms > LAG_LIMIT_MS[priority]
