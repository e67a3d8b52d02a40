"""The records that backend servers keep of their runs, and callers of the answers they received.

Both are JSON objects outside the process, so that `invariants.check` can compare them.
"""

import json
import os
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path
from typing import Any

__all__ = ["RunJournal", "RunOutcome", "RunRecord", "ToldRecord"]


class RunOutcome(Enum):
    """How a run ended.

    `UNFINISHED` is work still in progress.  `CANCELLED` is work whose caller disconnected,
    `STOPPED` is work stopped at its deadline, and `CUT` is work after which the server itself
    closed the connection.
    """

    UNFINISHED = "unfinished"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    STOPPED = "stopped"
    CUT = "cut"


@dataclass(slots=True)
class RunRecord:
    """One run of a request at a backend server.  Times are milliseconds of the wall clock."""

    server: str
    brand: str
    request_id: str
    idempotency_key: str
    method: str
    start_ms: float
    end_ms: float = 0.0
    outcome: RunOutcome = RunOutcome.UNFINISHED
    result: str = ""

    def to_document(self) -> dict[str, Any]:
        """Return the record as a JSON object."""
        return asdict(self) | {"outcome": self.outcome.value}

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "RunRecord":
        """Build a record from a JSON object."""
        return cls(**{**document, "outcome": RunOutcome(document["outcome"])})


@dataclass(frozen=True, slots=True)
class ToldRecord:
    """A caller's record of one request and of the answer that it received.

    `status` is 0 when there was no answer, and `error` then gives the reason; otherwise `error` is
    the value of the error header.  `outcome` is the value of the outcome header.  `answer_id` and
    `answer_brand` are the request identifier in the body of the answer and the brand that the
    backend server reported.  `intended_ms` is the wall-clock time at which the call was due,
    `latency_ms` is measured from it, and `work_ms` is the work time that the backend server
    reported.  `sent` is False when no byte of the request was sent.
    """

    request_id: str
    idempotency_key: str
    method: str
    brand: str
    address: str
    intended_ms: float
    latency_ms: float
    status: int
    outcome: str = ""
    answer_id: str = ""
    answer_brand: str = ""
    work_ms: float = 0.0
    error: str = ""
    sent: bool = True
    path: str = ""

    def to_document(self) -> dict[str, Any]:
        """Return the record as a JSON object."""
        return asdict(self)

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "ToldRecord":
        """Build a record from a JSON object."""
        return cls(**document)


class RunJournal:
    """A file of run records that remains after a server has been killed.

    A record is written when its run starts and again when it ends, before the answer is sent.
    """

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)

    def write(self, record: RunRecord) -> None:
        """Append a record; the `id` of the object distinguishes the runs of one request."""
        line = json.dumps({"run": id(record), **record.to_document()})
        os.write(self._file, f"{line}\n".encode())

    @staticmethod
    def read(path: Path) -> list[RunRecord]:
        """Return the last record of every run."""
        runs: dict[tuple[int, str], RunRecord] = {}
        for line in path.read_text().splitlines():
            document = json.loads(line)
            number = document.pop("run")
            runs[(number, document["request_id"])] = RunRecord.from_document(document)
        return list(runs.values())
