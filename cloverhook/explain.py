"""Explains how a request ended, from the log lines of gateways.

Layer: protocol.  The lines may come from many processes and in any order, and a log collector may
have put text before each JSON object.  An explanation holds the request's own lines in the order of
its attempts, and the state changes that the gateway which served it logged shortly before.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

__all__ = ["LogLine", "Explanation", "read_lines", "explain_request"]

BROKEN_OFF_KIND = "broken-off"
REQUEST_KINDS = ("attempt", "answer", "sample", BROKEN_OFF_KIND)
ANSWER_KINDS = ("answer", "sample")
QUARANTINE_KIND = "quarantine"
DRAINING_KIND = "draining"
ACCOUNT_KIND = "account"
KEY_FIELDS = ("content", "content_of_caller")
STATE_CHANGE_KINDS = (
    "config",
    "freshness",
    "evacuation",
    "server",
    "endpoint",
    "link",
    "reach",
    QUARANTINE_KIND,
    "rate-limit",
    DRAINING_KIND,
    "backoff",
    "invalid-header",
    "unmatched-response",
    ACCOUNT_KIND,
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
"""State changes up to this long before a request's end may have decided its outcome."""

CAUSES = {
    "answered": "a backend server's answer was forwarded",
    "overloaded": "no backend server had free capacity in time, so it was rejected; it has not run",
    "refused": "every backend server that was tried rejected it; it has not run",
    "no-backend-server": "no backend server is reachable, or none is registered; it has not run",
    "outdated": "its gateway knew of a newer configuration and did not have it; it has not run",
    "unreachable": "no gateway reached any of its service's backend servers; it has not run",
    "evacuated": "its service's backend servers are all in evacuated data centres; it has not run",
    "draining": "its service's backend servers are all about to stop; it has not run",
    "backing-off": "its service's backend servers all want no requests for a time; it has not run",
    "rate-limited": "its gateway's share of the endpoints' rate limits is used up; it has not run",
    "quarantined": "endpoints crashed on requests with this content; it has not run",
    "unknown-host": "no route of the configuration in force matches its host and path",
    "unknown-key": "it has no key of a client account of the configuration in force; it has not "
    "run",
    "over-allotment": "its client account has used up its allotment of all gateways together; it "
    "has not run",
    "deadline-in-run": "a backend server received it and did not answer in time; it may have run",
    "connection-cut": "a backend server received it and the connection broke; it may have run",
    "caller-gone": "its caller disconnected before the answer",
    "internal": "the gateway had an internal error; the line `fault` has the trace",
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
    """A request's lines, its gateway's earlier state changes, and the cause of its end.

    `account` is the client account that the request belongs to, or "" if no line names one.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    state_changes: tuple[LogLine, ...]
    cause: str
    account: str = ""

    def to_text(self) -> str:
        """Return the explanation as human-readable text."""
        if not self.lines:
            return f"request {self.request_id}: no line names it; it may not have been sampled"
        start_ms = self.lines[0].time_ms
        of_account = f" of the account {self.account}" if self.account else ""
        parts = [f"request {self.request_id}{of_account}: {self.cause}"]
        parts += [_format_line(line, line.time_ms - start_ms) for line in self.lines]
        if self.state_changes:
            parts.append(f"state changes of {self.state_changes[0].vm} before:")
            parts += [_format_line(line, line.time_ms - start_ms) for line in self.state_changes]
        return "\n".join(parts)

    def to_document(self) -> dict[str, Any]:
        """Return the explanation as a JSON object."""
        return {
            "request_id": self.request_id,
            "cause": self.cause,
            "account": self.account,
            "lines": [_document(line) for line in self.lines],
            "beliefs": [_document(line) for line in self.state_changes],
        }


def read_lines(text_lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines among lines of text; all other lines are skipped."""
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
    """Return the explanation of a request; it has no lines if no log line names the request."""
    own = [
        line
        for line in lines
        if line.kind in (*REQUEST_KINDS, "fault") and line.fields.get("id") == request_id
    ]
    own.sort(key=lambda line: line.time_ms)
    if not own:
        return Explanation(request_id, (), (), "no log line names it")
    end = _end(own)
    keys = {line.fields.get(name) for line in own for name in KEY_FIELDS}
    if end.fields.get("cause") == DRAINING_KIND:
        keys.add(end.fields.get("service"))
    account = next((item.fields["account"] for item in own if item.fields.get("account")), "")
    earlier = [
        line
        for line in lines
        if line.vm == end.vm
        and line.kind in STATE_CHANGE_KINDS
        and "id" not in line.fields
        and line.time_ms <= end.time_ms
    ]
    state_changes = [line for line in earlier if _is_relevant(line, end.time_ms, keys)]
    state_changes += _account_state(earlier, account)
    state_changes.sort(key=lambda line: line.time_ms)
    return Explanation(request_id, tuple(own), tuple(state_changes), _cause(own), account)


def _account_state(earlier: list[LogLine], account: str) -> list[LogLine]:
    """Return the last line of each sort on a client account, however old it is.

    Lines on the account's share of answers have other fields than those on its allotment.
    """
    last: dict[frozenset[str], LogLine] = {}
    for line in sorted(earlier, key=lambda line: line.time_ms):
        if line.kind == ACCOUNT_KIND and account and line.fields.get("account") == account:
            last[frozenset(line.fields)] = line
    return list(last.values())


def _is_relevant(line: LogLine, end_ms: float, keys: set[Any]) -> bool:
    """Return whether a state change may have determined the end of a request with these keys.

    A quarantine is relevant only to the requests that it concerns, and to these regardless of its
    age.  A drain notice is relevant, regardless of its age, to a request that was rejected because
    all endpoints of the service had given notice.
    """
    if line.kind == QUARANTINE_KIND:
        return line.fields.get("key") in keys
    if line.kind == DRAINING_KIND and line.fields.get("service") in keys:
        return True
    if line.kind == ACCOUNT_KIND:
        return False  # `_account_state` adds the one that matters.
    return line.time_ms >= end_ms - STATE_CHANGE_WINDOW_MS


def _end(own: list[LogLine]) -> LogLine:
    """Return the line with the end of a request, or else its last line.

    If its gateway has passed it on, the other gateway logs an end too, which may come later where
    the clocks differ.
    """
    answers = [line for line in own if line.kind in ANSWER_KINDS]
    own_answers = [line for line in answers if not line.fields.get("proxied_for")]
    return (own_answers or answers or own)[-1]


def _cause(own: list[LogLine]) -> str:
    answer = _end(own)
    if answer.kind == BROKEN_OFF_KIND:
        return "broken-off: it was still in progress when the planned stop of its gateway ended"
    if answer.kind not in ANSWER_KINDS:
        return "the log lines do not contain its end"
    name = answer.fields.get("cause", "")
    meaning = CAUSES.get(name, name)
    status = answer.fields.get("status", 0)
    return f"{name} ({status}): {meaning}"


def _format_line(line: LogLine, after_ms: float) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if name != "id")
    return f"{after_ms:+10.1f} ms  {line.vm}  {line.kind}: {fields}"


def _document(line: LogLine) -> dict[str, Any]:
    return {"time_ms": line.time_ms, "vm": line.vm, "kind": line.kind, **line.fields}
