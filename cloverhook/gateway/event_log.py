"""Structured logging: one JSON object a line, within rate and size limits and without blocking.

Layer: state.  Each kind of line has a budget for each second.  All lines of one request are kept or
dropped together: whether an ordinary request is logged depends only on a hash of its identifier, so
that all processes log the same requests; failures are logged whatever the hash is.  If the output
isn't read, lines are dropped and counted; a line of the kind `log-dropped` gives the numbers.
"""

import json
import zlib
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from cloverhook.clock import monotonic_ms, wall_ms

__all__ = ["EventLog", "EventKind"]

SAMPLE_HASH_RANGE = 256
SAMPLED_HASHES = 8
"""Of 256 ordinary requests, this many are logged completely."""
BUFFER_LIMIT_BYTES = 256 * 1024
BUDGET_WINDOW_MS = 1_000.0


class EventKind(StrEnum):
    """The kinds of log lines, each with the number of lines that may be written in a second."""

    lines_per_s: int

    def __new__(cls, value: str, lines_per_s: int) -> "EventKind":
        """Return a member that also holds its budget of lines a second."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.lines_per_s = lines_per_s
        return member

    STARTED = "started", 5
    STOPPING = "stopping", 5
    STOPPED = "stopped", 5
    BROKEN_OFF = "broken-off", 30
    RELOADED = "reloaded", 5
    READY = "ready", 5
    STORE = "store", 10
    READER = "reader", 10
    CONFIG = "config", 20
    FRESHNESS = "freshness", 10
    EVACUATION = "evacuation", 20
    SERVER = "server", 50
    MEMBER = "member", 50
    FETCH = "fetch", 20
    CUT_OFF = "cut-off", 5
    ENDPOINT = "endpoint", 30
    LINK = "link", 30
    REACH = "reach", 20
    QUARANTINE = "quarantine", 30
    ACCOUNT = "account", 20
    RATE_LIMIT = "rate-limit", 20
    DRAINING = "draining", 30
    BACKOFF = "backoff", 30
    INVALID_HEADER = "invalid-header", 5
    UNMATCHED_RESPONSE = "unmatched-response", 20
    BODY_REFUSED = "body-refused", 10
    PAUSED = "paused", 5
    ATTEMPT = "attempt", 60
    ANSWER = "answer", 30
    LONG_QUEUE = "long-queue", 5
    SAMPLE = "sample", 20
    FAULT = "fault", 5
    DROPPED = "log-dropped", 1


class EventLog:
    """Buffers log lines and passes them to `write`.

    `write` must not block; it returns how many bytes were accepted.
    """

    def __init__(self, vm: str, write: Callable[[bytes], int]) -> None:
        self._vm = vm
        self._write = write
        self._buffer = bytearray()
        self._window_start_ms = 0.0
        self._counts: dict[EventKind, int] = {}
        self._dropped: dict[str, int] = {}
        self.dropped_total = 0

    def is_sampled(self, request_id: str) -> bool:
        """Return whether an ordinary request with this identifier is logged."""
        return zlib.crc32(request_id.encode()) % SAMPLE_HASH_RANGE < SAMPLED_HASHES

    def note(self, kind: EventKind, **fields: Any) -> None:
        """Log a line, or drop and count it if the budget of its kind or the buffer is used up."""
        now_ms = monotonic_ms()
        if now_ms - self._window_start_ms >= BUDGET_WINDOW_MS:
            self._start_window(now_ms)
        count = self._counts.get(kind, 0)
        if count >= kind.lines_per_s or len(self._buffer) > BUFFER_LIMIT_BYTES:
            self._dropped[kind.value] = self._dropped.get(kind.value, 0) + 1
            self.dropped_total += 1
            return
        self._counts[kind] = count + 1
        self._append(kind, fields)

    def flush(self) -> None:
        """Write the buffered lines, as far as the output accepts them now."""
        if not self._buffer:
            return
        written = self._write(bytes(self._buffer))
        del self._buffer[:written]

    def _start_window(self, now_ms: float) -> None:
        self._window_start_ms = now_ms
        self._counts.clear()
        if self._dropped and len(self._buffer) <= BUFFER_LIMIT_BYTES:
            dropped, self._dropped = self._dropped, {}
            self._append(EventKind.DROPPED, {"lines": dropped})

    def _append(self, kind: EventKind, fields: dict[str, Any]) -> None:
        line = {"time_ms": round(wall_ms(), 1), "vm": self._vm, "kind": kind.value, **fields}
        self._buffer += json.dumps(line, separators=(",", ":"), default=str).encode() + b"\n"
