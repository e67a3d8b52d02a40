"""Structured log lines: one JSON object each, bounded, never waited for.

Layer: state.  Each kind of line has a budget a second.  Lines of one request are kept or
dropped together: whether an ordinary request is logged depends on a hash of its identifier alone,
so that all processes keep the same ones; failures go before it.  When nobody reads, lines are
dropped and counted; a line `log-dropped` says how many.
"""

import json
import zlib
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from cloverhook.clock import monotonic_ms, wall_ms

__all__ = ["EventLog", "EventKind"]

SAMPLE_HASH_RANGE = 256
SAMPLED = 8
"""Of 256 ordinary requests, as many are logged whole."""
BUFFER_LIMIT_BYTES = 256 * 1024
WINDOW_MS = 1_000.0


class EventKind(StrEnum):
    """The kinds of lines, and how many of each may be written in a second."""

    lines_per_s: int

    def __new__(cls, value: str, lines_per_s: int) -> "EventKind":
        """Return a member with its budget."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.lines_per_s = lines_per_s
        return member

    STARTED = "started", 5
    STOPPING = "stopping", 5
    STOPPED = "stopped", 5
    RELOADED = "reloaded", 5
    READY = "ready", 5
    STORE = "store", 10
    READER = "reader", 10
    CONFIG = "config", 20
    EVACUATION = "evacuation", 20
    SERVER = "server", 50
    MEMBER = "member", 50
    FETCH = "fetch", 20
    CUT_OFF = "cut-off", 5
    ENDPOINT = "endpoint", 30
    QUARANTINE = "quarantine", 30
    RATE_LIMIT = "rate-limit", 20
    PAUSED = "paused", 5
    ATTEMPT = "attempt", 60
    ANSWER = "answer", 30
    SAMPLE = "sample", 20
    FAULT = "fault", 5
    DROPPED = "log-dropped", 1


class EventLog:
    """Hands lines to `write`, which returns how many bytes its reader took, and never waits."""

    def __init__(self, vm: str, write: Callable[[bytes], int]) -> None:
        self._vm = vm
        self._write = write
        self._buffer = bytearray()
        self._window_ms = 0.0
        self._counts: dict[EventKind, int] = {}
        self._dropped: dict[str, int] = {}
        self.dropped_total = 0

    def is_sampled(self, request_id: str) -> bool:
        """Return whether an ordinary request with this identifier is logged."""
        return zlib.crc32(request_id.encode()) % SAMPLE_HASH_RANGE < SAMPLED

    def note(self, kind: EventKind, **fields: Any) -> None:
        """Write a line, unless this kind has had its share of the present second."""
        now_ms = monotonic_ms()
        if now_ms - self._window_ms >= WINDOW_MS:
            self._next_window(now_ms)
        count = self._counts.get(kind, 0)
        if count >= kind.lines_per_s or len(self._buffer) > BUFFER_LIMIT_BYTES:
            self._dropped[kind.value] = self._dropped.get(kind.value, 0) + 1
            self.dropped_total += 1
            return
        self._counts[kind] = count + 1
        self._append(kind, fields)

    def flush(self) -> None:
        """Hand over what is buffered, as far as the reader takes it now."""
        if not self._buffer:
            return
        written = self._write(bytes(self._buffer))
        del self._buffer[:written]

    def _next_window(self, now_ms: float) -> None:
        self._window_ms = now_ms
        self._counts.clear()
        if self._dropped and len(self._buffer) <= BUFFER_LIMIT_BYTES:
            dropped, self._dropped = self._dropped, {}
            self._append(EventKind.DROPPED, {"lines": dropped})

    def _append(self, kind: EventKind, fields: dict[str, Any]) -> None:
        line = {"time_ms": round(wall_ms(), 1), "vm": self._vm, "kind": kind.value, **fields}
        self._buffer += json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n"
