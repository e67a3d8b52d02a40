"""Estimates how long messages of other VMs were under way, without synchronized clocks.

Layer: state.
"""

from dataclasses import dataclass

__all__ = ["MessageDelays"]

SENDERS_LIMIT = 1_024
WINDOW_MS = 60_000.0
"""Clocks drift apart: a message is compared with those of the last one or two such windows."""


class MessageDelays:
    """How long messages were under way, compared with the quickest message of the same sender.

    Clocks of two VMs differ by an amount that is unknown but hardly changes within minutes.  So the
    difference between sending and arrival shows what a message has waited for in links, sockets and
    relays.

    >>> delays = MessageDelays()
    >>> delays.observe("vm-1", sent_ms=10.0, arrived_ms=500.0)
    >>> delays.observe("vm-1", sent_ms=20.0, arrived_ms=510.0)
    0.0
    >>> delays.observe("vm-1", sent_ms=30.0, arrived_ms=820.0)
    300.0
    """

    def __init__(self) -> None:
        self._quickest: dict[str, _Quickest] = {}

    def observe(self, sender: str, sent_ms: float, arrived_ms: float) -> float | None:
        """Record a message; return its delay, or None where there is none to compare it with.

        `sender` must change when the sender's process does, as its clock may start anew.
        """
        difference_ms = arrived_ms - sent_ms
        quickest = self._quickest.get(sender)
        if quickest is None:
            while len(self._quickest) >= SENDERS_LIMIT:
                del self._quickest[next(iter(self._quickest))]
            self._quickest[sender] = _Quickest(arrived_ms, difference_ms, difference_ms)
            return None
        if arrived_ms - quickest.since_ms > WINDOW_MS:
            quickest.since_ms, quickest.earlier_ms = arrived_ms, quickest.latest_ms
            quickest.latest_ms = difference_ms
        delay_ms = difference_ms - min(quickest.earlier_ms, quickest.latest_ms)
        quickest.latest_ms = min(quickest.latest_ms, difference_ms)
        return max(0.0, delay_ms)


@dataclass(slots=True)
class _Quickest:
    """The smallest difference in the window that began at `since_ms`, and in the one before it."""

    since_ms: float
    earlier_ms: float
    latest_ms: float
