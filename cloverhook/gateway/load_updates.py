"""Passes on the load figures that this VM has measured.

Layer: transport.  Probes go out together, so their answers come together, and the figures of a few
milliseconds share a datagram.  The own data centre hears every figure; the others hear what has
changed, as bytes on the way there are paid for, and everything once a second.  While a data centre
can't serve itself, its VMs place their requests in the others, and hear each change of load soon.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.load import LoadReport
from cloverhook.gateway.peer_messages import LoadReports, encode

__all__ = ["LoadUpdates"]

FLUSH_MS = 4.0
"""Answers to probes that were sent together come within about this time."""
CROWD_FAR_FLUSH_MS = 250.0
"""Between crowded data centres each datagram is relayed to 20 VMs; what changes within this time
goes into one.  Requests cross only where their own data centre has no room, and a pace that changes
several times a second says nothing by then: it is told once a second, with the rest."""
ROWS_LIMIT = 40
"""A datagram should fit into one packet; a row takes up to 30 bytes."""
FAR_LOAD_MS = 150.0
FAR_LOAD_STEP = 2
"""Other data centres hear of a load that has changed by this many requests, after this time."""
CROSSING_FLUSH_MS = 20.0
CROSSING_FIGURE_MS = 60.0
"""A VM that places requests in another data centre does not hear the counts of the VMs there: it
knows of their requests by figures alone, and would fill endpoints that have no slot left."""
FAR_FIGURE_MS = 1_000.0
FAR_PACE_RATIO = 1.5
"""Other data centres hear of a pace once it has changed by this factor, or after a second."""

Measured = dict[str, tuple[LoadReport, float]]


class LoadUpdates:
    """Figures that wait for the next datagram; times are on the monotonic clock."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        in_large_data_center: Callable[[], bool] = lambda: False,
        needs_remote_capacity: Callable[[float], bool] = lambda now_ms: False,
    ) -> None:
        """`in_large_data_center` says whether the own data centre has many VMs.

        `needs_remote_capacity` says whether other data centres have to place their requests here.
        """
        self._crossing = needs_remote_capacity
        self._own_vm = own_vm
        self._crowded = in_large_data_center
        self._broadcast = broadcast
        self._near: Measured = {}
        self._far: Measured = {}
        self._far_sent: Measured = {}
        self._timer: asyncio.TimerHandle | None = None
        self._far_timer: asyncio.TimerHandle | None = None

    def add(self, incarnation: str, report: LoadReport, at_ms: float) -> None:
        """Take a figure that was measured at a time, and send it soon."""
        self._near[incarnation] = (report, at_ms)
        if self._is_far_change(incarnation, report, at_ms):
            self._far_sent[incarnation] = self._far[incarnation] = (report, at_ms)
        loop = asyncio.get_running_loop()
        if self._timer is None:
            self._timer = loop.call_later(FLUSH_MS / 1000, self._flush)
        if self._far and self._far_timer is None:
            self._far_timer = loop.call_later(self._far_delay_ms(at_ms) / 1000, self._flush_far)

    def _far_delay_ms(self, now_ms: float) -> float:
        if not self._crowded():
            return FLUSH_MS
        return CROSSING_FLUSH_MS if self._crossing(now_ms) else CROWD_FAR_FLUSH_MS

    def forget(self, incarnation: str) -> None:
        """Drop what was sent of an incarnation that is gone."""
        self._far_sent.pop(incarnation, None)

    def _flush(self) -> None:
        self._timer = None
        now_ms = monotonic_ms()
        for data in self._datagrams(self._near, now_ms):
            self._broadcast.send_to_load_subscribers(data, now_ms)
        self._near.clear()

    def _flush_far(self) -> None:
        self._far_timer = None
        now_ms = monotonic_ms()
        for data in self._datagrams(self._far, now_ms):
            self._broadcast.send_remote(data, now_ms)
        self._far.clear()

    def _datagrams(self, measured: Measured, now_ms: float) -> list[bytes]:
        rows = [(name, figure, now_ms - at_ms) for name, (figure, at_ms) in measured.items()]
        return [
            encode(LoadReports(self._own_vm, tuple(rows[start : start + ROWS_LIMIT])))
            for start in range(0, len(rows), ROWS_LIMIT)
        ]

    def _is_far_change(self, incarnation: str, figure: LoadReport, at_ms: float) -> bool:
        sent, sent_ms = self._far_sent.get(incarnation, (figure, -1e12))
        ratio = max(figure.slowdown, sent.slowdown) / max(min(figure.slowdown, sent.slowdown), 0.01)
        step = abs(figure.running + figure.waiting - sent.running - sent.waiting)
        changed = figure.reachable != sent.reachable
        if self._crossing(at_ms) and at_ms - sent_ms >= CROSSING_FIGURE_MS:
            changed |= step > 0 or ratio >= FAR_PACE_RATIO
        changed |= ratio >= FAR_PACE_RATIO and not self._crowded()
        changed |= step >= FAR_LOAD_STEP and at_ms - sent_ms >= FAR_LOAD_MS
        return changed or at_ms - sent_ms >= FAR_FIGURE_MS
