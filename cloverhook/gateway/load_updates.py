"""Sends the load reports that this VM has measured to other VMs.

Layer: transport.  Probes are sent together, so their answers arrive together, and the reports of a
few milliseconds share a datagram.  VMs of the local data centre receive every report.  Remote
data centres receive changes, as traffic to them costs money, and every report once a second.  While
a data centre can't serve itself, its VMs dispatch their requests to remote data centres, and
receive each change of load there soon.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.peer_messages import LoadReports, encode
from cloverhook.gateway.server_load import LoadReport

__all__ = ["LoadUpdates"]

FLUSH_MS = 4.0
"""Answers to probes that were sent together arrive within about this time."""
LARGE_DATA_CENTER_FLUSH_MS = 250.0
"""Between large data centres, each datagram is relayed to 20 VMs, so changes within this time share
one.  Requests go to a remote data centre only if the local one has no room.  A slowdown that
changes several times a second is outdated by then; it is sent once a second, with the rest."""
ROWS_LIMIT = 40
"""How many rows of up to 30 bytes a datagram has at most, so that it fits into one packet."""
REMOTE_LOAD_MS = 150.0
REMOTE_LOAD_STEP = 2
"""A load that has changed by this many requests is sent to remote data centres, `REMOTE_LOAD_MS`
after the last report at the earliest."""
REMOTE_CAPACITY_FLUSH_MS = 20.0
REMOTE_CAPACITY_REPORT_MS = 60.0
"""A VM that dispatches requests to a remote data centre learns of the requests of the VMs there
from load reports, not from their counts.  Without frequent reports it would fill endpoints that
have no slot left."""
REMOTE_REPORT_MS = 1_000.0
REMOTE_SLOWDOWN_RATIO = 1.5
"""A slowdown that has changed by this factor is sent to remote data centres; any other one is sent
after a second."""

MeasuredReports = dict[str, tuple[LoadReport, float]]


class LoadUpdates:
    """Collects load reports and sends them in datagrams; times are on the monotonic clock."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        in_large_data_center: Callable[[], bool] = lambda: False,
        needs_remote_capacity: Callable[[float], bool] = lambda now_ms: False,
    ) -> None:
        """`in_large_data_center` returns whether the local data centre has many VMs.

        `needs_remote_capacity` returns whether some data centre can't serve itself, so that its VMs
        have to dispatch their requests to remote data centres.
        """
        self._needs_remote_capacity = needs_remote_capacity
        self._own_vm = own_vm
        self._in_large_data_center = in_large_data_center
        self._broadcast = broadcast
        self._local_unsent: MeasuredReports = {}
        self._remote_unsent: MeasuredReports = {}
        self._remote_sent: MeasuredReports = {}
        self._timer: asyncio.TimerHandle | None = None
        self._remote_timer: asyncio.TimerHandle | None = None

    def add(self, incarnation: str, report: LoadReport, at_ms: float) -> None:
        """Add a report that was measured at `at_ms`, and send it soon."""
        self._local_unsent[incarnation] = (report, at_ms)
        if self._is_remote_change(incarnation, report, at_ms):
            self._remote_sent[incarnation] = self._remote_unsent[incarnation] = (report, at_ms)
        loop = asyncio.get_running_loop()
        if self._timer is None:
            self._timer = loop.call_later(FLUSH_MS / 1000, self._flush)
        if self._remote_unsent and self._remote_timer is None:
            self._remote_timer = loop.call_later(
                self._remote_delay_ms(at_ms) / 1000, self._flush_remote
            )

    def _remote_delay_ms(self, now_ms: float) -> float:
        if not self._in_large_data_center():
            return FLUSH_MS
        return (
            REMOTE_CAPACITY_FLUSH_MS
            if self._needs_remote_capacity(now_ms)
            else LARGE_DATA_CENTER_FLUSH_MS
        )

    def forget(self, incarnation: str) -> None:
        """Drop the record of the last report sent of an incarnation that is gone."""
        self._remote_sent.pop(incarnation, None)

    def _flush(self) -> None:
        self._timer = None
        now_ms = monotonic_ms()
        for data in self._datagrams(self._local_unsent, now_ms):
            self._broadcast.send_to_load_subscribers(data, now_ms)
        self._local_unsent.clear()

    def _flush_remote(self) -> None:
        self._remote_timer = None
        now_ms = monotonic_ms()
        for data in self._datagrams(self._remote_unsent, now_ms):
            self._broadcast.send_remote(data, now_ms)
        self._remote_unsent.clear()

    def _datagrams(self, measured: MeasuredReports, now_ms: float) -> list[bytes]:
        rows = [(name, report, now_ms - at_ms) for name, (report, at_ms) in measured.items()]
        return [
            encode(LoadReports(self._own_vm, tuple(rows[start : start + ROWS_LIMIT])))
            for start in range(0, len(rows), ROWS_LIMIT)
        ]

    def _is_remote_change(self, incarnation: str, report: LoadReport, at_ms: float) -> bool:
        sent, sent_ms = self._remote_sent.get(incarnation, (report, -1e12))
        ratio = max(report.slowdown, sent.slowdown) / max(min(report.slowdown, sent.slowdown), 0.01)
        step = abs(report.running + report.waiting - sent.running - sent.waiting)
        changed = report.reachable != sent.reachable
        if self._needs_remote_capacity(at_ms) and at_ms - sent_ms >= REMOTE_CAPACITY_REPORT_MS:
            changed |= step > 0 or ratio >= REMOTE_SLOWDOWN_RATIO
        changed |= ratio >= REMOTE_SLOWDOWN_RATIO and not self._in_large_data_center()
        changed |= step >= REMOTE_LOAD_STEP and at_ms - sent_ms >= REMOTE_LOAD_MS
        return changed or at_ms - sent_ms >= REMOTE_REPORT_MS
