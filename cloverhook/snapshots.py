"""Decides when to append a snapshot of the state to the log.

Layer: coordination, free of input and output.  Every daemon decides independently.  Each first
waits for a random time and cancels its append if it sees another daemon's snapshot, so that usually
one append is enough for all; a second one is harmless.
"""

import random
from dataclasses import dataclass

from cloverhook.state import offset_of, restarts_of

__all__ = ["LogStatus", "SnapshotLimits", "SnapshotPolicy"]


@dataclass(frozen=True, slots=True)
class SnapshotLimits:
    """When a snapshot is needed, and over how long the daemons' appends are spread.

    A daemon appends at most one snapshot in `min_interval_ms`, and tries again at the earliest
    `retry_ms` after an append that failed.  If the log has lost records that a
    daemon has not folded, the daemon waits for the snapshots of others and for peers before it
    appends its own state: for `loss_wait_ms`, or for `empty_loss_wait_ms` if its state is empty.
    """

    every_records: int = 500
    every_ms: float = 600_000
    spread_ms: float = 10_000
    min_interval_ms: float = 30_000
    retry_ms: float = 5_000
    loss_wait_ms: float = 3_000
    empty_loss_wait_ms: float = 60_000


@dataclass(frozen=True, slots=True)
class LogStatus:
    """What a replica knows about the log.

    `position` is the replica's next position, `first_offset` is the oldest offset that the log
    retains and `snapshot_position` is the position of the last snapshot, None if none was seen.
    `records_lost` means that records which the replica has not folded are missing from the log, and
    `replica_is_empty` that the replica has no brands, neither in force nor removed.
    """

    position: int
    first_offset: int
    snapshot_position: int | None
    records_lost: bool
    replica_is_empty: bool


class SnapshotPolicy:
    """Decides when this daemon appends a snapshot of its state."""

    def __init__(self, source: random.Random, limits: SnapshotLimits | None = None) -> None:
        self._source = source
        self._limits = limits or SnapshotLimits()
        self._seen_position: int | None = None
        self._seen_ms = 0.0
        self._lost_ms: float | None = None
        self._due_ms: float | None = None
        self._earliest_append_ms = 0.0

    def decide(self, log_status: LogStatus, now_ms: float) -> bool:
        """Return whether to append a snapshot now."""
        self._observe(log_status, now_ms)
        if not self._is_needed(log_status, now_ms):
            self._due_ms = None
            return False
        if self._due_ms is None:
            spread_ms = self._source.uniform(0, self._limits.spread_ms)
            self._due_ms = max(now_ms + spread_ms, self._earliest_append_ms)
        if now_ms < self._due_ms:
            return False
        self._due_ms = None
        self._earliest_append_ms = now_ms + self._limits.min_interval_ms
        return True

    def record_failure(self, now_ms: float) -> None:
        """Record that the append of a snapshot has failed, though it may have taken effect."""
        self._earliest_append_ms = now_ms + self._limits.retry_ms

    def _observe(self, log_status: LogStatus, now_ms: float) -> None:
        if log_status.snapshot_position != self._seen_position:
            self._seen_position = log_status.snapshot_position
            self._seen_ms = now_ms
            self._due_ms = None
        if not log_status.records_lost:
            self._lost_ms = None
        elif self._lost_ms is None:
            self._lost_ms = now_ms

    def _is_needed(self, log_status: LogStatus, now_ms: float) -> bool:
        limits = self._limits
        if self._lost_ms is not None:
            loss_wait_ms = (
                limits.empty_loss_wait_ms if log_status.replica_is_empty else limits.loss_wait_ms
            )
            return now_ms - self._lost_ms >= loss_wait_ms
        if log_status.replica_is_empty:
            return False
        seen = log_status.snapshot_position
        if seen is None or restarts_of(seen) < restarts_of(log_status.position):
            return True
        if offset_of(seen) < log_status.first_offset:
            return True
        if now_ms - self._seen_ms >= limits.every_ms:
            return True
        return log_status.position - seen >= limits.every_records
