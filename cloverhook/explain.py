"""Tells a request's story from the log lines of gateways.

Layer: protocol.  The lines may come from many processes and in any order, with whatever a log
collector has put before each JSON object.  The story holds the request's own lines in the order of
its attempts, and what the gateway that served it had come to believe shortly before.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

__all__ = ["LogLine", "Explanation", "read_lines", "explain_request"]

REQUEST_KINDS = ("attempt", "answer", "sample")
ANSWER_KINDS = ("answer", "sample")
QUARANTINE_KIND = "quarantine"
KEY_FIELDS = ("content", "content_of_caller")
STATE_CHANGE_KINDS = (
    "config",
    "evacuation",
    "server",
    "endpoint",
    QUARANTINE_KIND,
    "rate-limit",
    "member",
    "reader",
    "store",
    "ready",
    "paused",
    "reloaded",
    "stopping",
    "started",
    "fault",
    "log-dropped",
)
STATE_CHANGE_WINDOW_MS = 5_000.0
"""How long before a request's end a change of belief may be what decided it."""

CAUSES = {
    "answered": "a backend server's answer was passed on",
    "overloaded": "no backend server had room in time, so it was refused; it has not run",
    "refused": "every backend server that was asked rejected it; it has not run",
    "no-backend-server": "no backend server could be reached, or none is known; it has not run",
    "evacuated": "all backend servers of its service lie in evacuated data centres; it has not run",
    "rate-limited": "this gateway's part of what its endpoints take is used up; it has not run",
    "quarantined": "endpoints crashed under requests with this content; it has not run",
    "unknown-host": "no route of the configuration in force matches its host and path",
    "deadline-in-run": "a backend server had it and gave no answer in time; it may have run",
    "connection-cut": "a backend server had it and the connection broke; it may have run",
    "caller-gone": "its caller left before the answer",
    "internal": "the gateway met a fault of its own; the line `fault` has the trace",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a gateway's log."""

    time_ms: float
    vm: str
    kind: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """A request's lines, what its gateway believed, and the cause of its end."""

    request_id: str
    lines: tuple[LogLine, ...]
    state_changes: tuple[LogLine, ...]
    cause: str

    def to_text(self) -> str:
        """Return the story for people."""
        if not self.lines:
            return f"request {self.request_id}: no line names it; it may not have been sampled"
        start_ms = self.lines[0].time_ms
        parts = [f"request {self.request_id}: {self.cause}"]
        parts += [_format_line(line, line.time_ms - start_ms) for line in self.lines]
        if self.state_changes:
            parts.append(f"what {self.lines[-1].vm} had learned before:")
            parts += [_format_line(line, line.time_ms - start_ms) for line in self.state_changes]
        return "\n".join(parts)

    def to_document(self) -> dict[str, Any]:
        """Return the story as JSON can hold it."""
        return {
            "request_id": self.request_id,
            "cause": self.cause,
            "lines": [_document(line) for line in self.lines],
            "beliefs": [_document(line) for line in self.state_changes],
        }


def read_lines(text_lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines among lines of text; what is no log line is left out."""
    found = []
    for text in text_lines:
        start = text.find('{"time_ms"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        time_ms, vm, kind = (fields.pop(name, "") for name in ("time_ms", "vm", "kind"))
        found.append(LogLine(float(time_ms or 0), vm, kind, fields))
    return found


def explain_request(request_id: str, lines: list[LogLine]) -> Explanation:
    """Return the story of a request; its lines are empty where no line names it."""
    own = [
        line
        for line in lines
        if line.kind in (*REQUEST_KINDS, "fault") and line.fields.get("id") == request_id
    ]
    own.sort(key=lambda line: line.time_ms)
    if not own:
        return Explanation(request_id, (), (), "nothing is known of it")
    end = own[-1]
    keys = {line.fields.get(name) for line in own for name in KEY_FIELDS}
    state_changes = [
        line
        for line in lines
        if line.vm == end.vm
        and line.kind in STATE_CHANGE_KINDS
        and "id" not in line.fields
        and line.time_ms <= end.time_ms
        and _is_relevant(line, end.time_ms, keys)
    ]
    state_changes.sort(key=lambda line: line.time_ms)
    return Explanation(request_id, tuple(own), tuple(state_changes), _cause(own))


def _is_relevant(line: LogLine, end_ms: float, keys: set[Any]) -> bool:
    """Return whether a belief may have decided a request with these keys.

    A quarantine counts for the requests that it is about alone, and for them however old it is.
    """
    if line.kind == QUARANTINE_KIND:
        return line.fields.get("key") in keys
    return line.time_ms >= end_ms - STATE_CHANGE_WINDOW_MS


def _cause(own: list[LogLine]) -> str:
    answer = next((line for line in reversed(own) if line.kind in ANSWER_KINDS), None)
    if answer is None:
        return "its end is not in these lines"
    name = answer.fields.get("cause", "")
    meaning = CAUSES.get(name, name)
    status = answer.fields.get("status", 0)
    return f"{name} ({status}): {meaning}"


def _format_line(line: LogLine, after_ms: float) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if name != "id")
    return f"{after_ms:+10.1f} ms  {line.vm}  {line.kind}: {fields}"


def _document(line: LogLine) -> dict[str, Any]:
    return {"time_ms": line.time_ms, "vm": line.vm, "kind": line.kind, **line.fields}
