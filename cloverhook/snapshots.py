"""When to append a snapshot of the state to the log.

Layer: coordination, free of input and output.  Every daemon decides alone.  Each waits for a
random time first and gives up when it sees another's snapshot, so that one append does for all;
a second one does no harm.
"""

import random
from dataclasses import dataclass

from cloverhook.state import offset_of, restarts_of

__all__ = ["LogStatus", "SnapshotLimits", "SnapshotPolicy"]


@dataclass(frozen=True, slots=True)
class SnapshotLimits:
    """When a snapshot is wanted and how far the daemons' appends are spread.

    A daemon appends at most one snapshot in `repeat_ms`.  A daemon that has lost records of the
    log waits for others' snapshots and peers for `patience_ms` before it appends what it has, or
    for `bare_patience_ms` when it has nothing.
    """

    every_records: int = 500
    every_ms: float = 600_000
    spread_ms: float = 10_000
    repeat_ms: float = 30_000
    patience_ms: float = 3_000
    bare_patience_ms: float = 60_000


@dataclass(frozen=True, slots=True)
class LogStatus:
    """What a replica knows of the log.

    `position` is the replica's next position, `first_offset` the oldest offset the log keeps and
    `snapshot_position` where the last snapshot stands, None when none was seen.
    """

    position: int
    first_offset: int
    snapshot_position: int | None
    records_lost: bool
    replica_is_empty: bool


class SnapshotPolicy:
    """Decides when this daemon appends a snapshot."""

    def __init__(self, source: random.Random, limits: SnapshotLimits | None = None) -> None:
        self._source = source
        self._limits = limits or SnapshotLimits()
        self._seen_position: int | None = None
        self._seen_ms = 0.0
        self._lost_ms: float | None = None
        self._due_ms: float | None = None
        self._repeat_ms = 0.0

    def decide(self, facts: LogStatus, now_ms: float) -> bool:
        """Return whether to append a snapshot now."""
        self._observe(facts, now_ms)
        if not self._wanted(facts, now_ms):
            self._due_ms = None
            return False
        if self._due_ms is None:
            spread_ms = self._source.uniform(0, self._limits.spread_ms)
            self._due_ms = max(now_ms + spread_ms, self._repeat_ms)
        if now_ms < self._due_ms:
            return False
        self._due_ms = None
        self._repeat_ms = now_ms + self._limits.repeat_ms
        return True

    def _observe(self, facts: LogStatus, now_ms: float) -> None:
        if facts.snapshot_position != self._seen_position:
            self._seen_position = facts.snapshot_position
            self._seen_ms = now_ms
            self._due_ms = None
        if not facts.records_lost:
            self._lost_ms = None
        elif self._lost_ms is None:
            self._lost_ms = now_ms

    def _wanted(self, facts: LogStatus, now_ms: float) -> bool:
        limits = self._limits
        if self._lost_ms is not None:
            patience_ms = limits.bare_patience_ms if facts.replica_is_empty else limits.patience_ms
            return now_ms - self._lost_ms >= patience_ms
        if facts.replica_is_empty:
            return False
        seen = facts.snapshot_position
        if seen is None or restarts_of(seen) < restarts_of(facts.position):
            return True
        if offset_of(seen) < facts.first_offset:
            return True
        if now_ms - self._seen_ms >= limits.every_ms:
            return True
        return facts.position - seen >= limits.every_records
