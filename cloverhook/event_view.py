"""Merges the time lines of daemons and formats them as text, JSON lines or a trace.

Layer: protocol, free of input and output.  `merge_events` orders the events of any number of
daemons by their stamps, so that no effect precedes its cause.  `to_trace` produces the Trace Event
Format, which the trace viewers of browsers can open: each VM is a process, requests and their
attempts are bars, and all other events are instants.
"""

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from cloverhook.timeline import EventName, Stamp, TimeLineEvent

__all__ = ["merge_events", "to_json_lines", "to_text", "to_trace"]

VM_LANE = 0
COUNTER_US = 0.001

REQUEST_ENDS = frozenset(
    (EventName.REQUEST_ANSWERED, EventName.REQUEST_REFUSED, EventName.REQUEST_CUT)
)
ATTEMPT_ENDS = frozenset((EventName.ATTEMPT_ENDED, EventName.ATTEMPT_FAILED))


def merge_events(events: Iterable[TimeLineEvent]) -> list[TimeLineEvent]:
    """Return events of any daemons in causal order, independent of the order of the input."""
    return sorted(events, key=lambda event: (event.stamp, event.vm, event.sequence))


def to_text(events: Iterable[TimeLineEvent]) -> str:
    """Return one line for each event; times are in UTC by the clock of the event's own VM."""
    return "\n".join(_text_line(event) for event in events)


def to_json_lines(events: Iterable[TimeLineEvent]) -> str:
    """Return one line with a JSON object for each event."""
    return "\n".join(json.dumps(event.to_document()) for event in events)


def to_trace(events: Iterable[TimeLineEvent]) -> dict[str, Any]:
    """Return a document in the Trace Event Format for events in causal order.

    Times are taken from the causal stamps, in microseconds.
    """
    by_vm: dict[str, list[TimeLineEvent]] = defaultdict(list)
    for event in events:
        by_vm[event.vm].append(event)
    entries: list[dict[str, Any]] = []
    for process, vm in enumerate(sorted(by_vm), start=1):
        entries.append(
            {"name": "process_name", "ph": "M", "pid": process, "tid": 0, "args": {"name": vm}}
        )
        entries.extend(_vm_entries(process, by_vm[vm]))
    return {"traceEvents": entries, "displayTimeUnit": "ms"}


def _text_line(event: TimeLineEvent) -> str:
    moment = datetime.fromtimestamp(event.wall_ms / 1000, UTC)
    time = moment.strftime("%H:%M:%S.%f")[:-3]
    identifiers = [
        f"{key}={value}"
        for key, value in (
            ("request", event.request_id),
            ("endpoint", event.address),
            ("change", event.change_id),
        )
        if value
    ]
    return "  ".join((time, f"{event.vm:<8}", f"{event.name:<16}", *identifiers, event.detail))


@dataclass(slots=True)
class _Bar:
    """A request or an attempt, with its start, on one lane of the viewer."""

    name: str
    start_us: float
    lane: int
    request_id: str
    address: str = ""

    def to_entry(self, process: int, end_us: float, detail: str) -> dict[str, Any]:
        return {
            "name": self.name,
            "ph": "X",
            "pid": process,
            "tid": self.lane,
            "ts": self.start_us,
            "dur": max(0.0, end_us - self.start_us),
            "args": {"request": self.request_id, "endpoint": self.address, "detail": detail},
        }


def _vm_entries(process: int, events: list[TimeLineEvent]) -> list[dict[str, Any]]:
    lanes = _Lanes()
    open_requests: dict[str, _Bar] = {}
    open_attempts: dict[str, _Bar] = {}
    entries: list[dict[str, Any]] = []
    for event in events:
        now_us = _time_us(event.stamp)
        request = open_requests.get(event.request_id)
        lane = request.lane if request else VM_LANE
        if event.name is EventName.REQUEST_ARRIVED:
            lane = lanes.acquire()
            bar = _Bar(f"request {event.request_id}", now_us, lane, event.request_id)
            open_requests[event.request_id] = bar
        elif event.name in REQUEST_ENDS and request:
            del open_requests[event.request_id]
            lanes.release(lane)
            entries.append(request.to_entry(process, now_us, f"{event.name} {event.detail}"))
        elif event.name is EventName.ATTEMPT_STARTED:
            name = f"attempt at {event.address}"
            bar = _Bar(name, now_us, lane, event.request_id, event.address)
            open_attempts[event.request_id] = bar
        elif event.name in ATTEMPT_ENDS and event.request_id in open_attempts:
            attempt = open_attempts.pop(event.request_id)
            entries.append(attempt.to_entry(process, now_us, event.detail))
        else:
            entries.append(_instant(process, lane, now_us, event))
    for bar in (*open_requests.values(), *open_attempts.values()):
        entries.append(bar.to_entry(process, _time_us(events[-1].stamp), "not ended"))
    return entries


class _Lanes:
    """Allocates lane numbers, so that requests that overlap never share a lane."""

    def __init__(self) -> None:
        self._free: list[int] = []
        self._last = VM_LANE

    def acquire(self) -> int:
        if self._free:
            return self._free.pop()
        self._last += 1
        return self._last

    def release(self, lane: int) -> None:
        self._free.append(lane)


def _instant(process: int, lane: int, now_us: float, event: TimeLineEvent) -> dict[str, Any]:
    return {
        "name": event.name.value,
        "ph": "i",
        "s": "p" if lane == VM_LANE else "t",
        "pid": process,
        "tid": lane,
        "ts": now_us,
        "args": {
            "request": event.request_id,
            "endpoint": event.address,
            "change": event.change_id,
            "detail": event.detail,
        },
    }


def _time_us(stamp: Stamp) -> float:
    return stamp.wall_us + stamp.counter * COUNTER_US
