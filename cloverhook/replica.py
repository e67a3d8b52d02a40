"""A replica of the configuration in force, maintained by folding the log's records in order.

Layer: coordination, free of input and output.  `next_read` returns what to read next from the log
and `apply_read` processes what was read.  `fold_records` and `adopt` process records and states
from peers.  If a read shows that the log ends before the replica's position, the replica concludes
that the log has started over only after a second read shows the same.

A replica searches the log for the newest snapshot when it starts, when the log has lost records
that the replica has not folded, and when the log has started over.  It continues to fold from that
snapshot.  While records are lost and no snapshot covers them, the replica keeps the state in force
and folds no change, because a change that lost a race in the lost records must not win here.  The
design note `docs/decisions/0010-configuration-through-the-log.md` gives the reasons.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from absl import logging

from cloverhook.errors import ConfigError, MessageError
from cloverhook.fold import FoldResult, State, Verdict, fold_data
from cloverhook.platform_api import LogSlice
from cloverhook.records import Record, Snapshot, decode_record
from cloverhook.state import offset_of, position_of, restarts_of

__all__ = ["OnAdopted", "OnFolded", "Read", "Replica"]

KEPT_RECORDS = 1_000

OnFolded = Callable[[Record, FoldResult], None]
OnAdopted = Callable[[State], None]


@dataclass(frozen=True, slots=True)
class Read:
    """What to read next from the log; `wait` is set if there may be nothing new yet.

    `position` is the replica's own position when the read was planned.  If it has changed since,
    the answer may be older than what a peer has sent, and must not be compared with it.
    """

    offset: int
    wait: bool
    position: int


@dataclass(slots=True)
class _Search:
    """A search for the newest snapshot after which the log still has every record.

    `lost` means that records are missing between the replica's position and the log, and
    `restarts` counts how often the log has started over.
    """

    lost: bool
    restarts: int
    cursor: int = 0
    first_offset: int = 0
    at_end: bool = False
    best: State | None = None

    def consider(self, offset: int, data: Any) -> None:
        """Examine a record; a later snapshot replaces the best one."""
        candidate = _snapshot_state(data)
        if candidate is None or offset_of(candidate.next_offset) > offset:
            return
        if self.best is None or candidate.next_offset >= self.best.next_offset:
            self.best = candidate

    def covering(self) -> State | None:
        """Return the best snapshot's state, at its position, if the log has all later records."""
        if self.best is None or offset_of(self.best.next_offset) < self.first_offset:
            return None
        restarts = max(self.restarts, restarts_of(self.best.next_offset))
        position = position_of(restarts, offset_of(self.best.next_offset))
        return replace(self.best, next_offset=position)


class Replica:
    """A replica of the state in force, kept by one process."""

    def __init__(self, on_folded: OnFolded, on_adopted: OnAdopted = lambda state: None) -> None:
        self._on_folded = on_folded
        self._on_adopted = on_adopted
        self._recent_records: deque[tuple[int, Mapping[str, Any]]] = deque(maxlen=KEPT_RECORDS)
        self._search: _Search | None = _Search(lost=False, restarts=0)
        self._last_record: tuple[int, Mapping[str, Any]] | None = None
        self._must_read_last = False
        self._verify_last = False
        self._short_log_seen = False
        self._searched_restarts = 0
        self._uncovered: State | None = None
        self._snapshot_position: int | None = None
        self.state = State()
        self.first_offset = 0
        self.at_end = False

    @property
    def records_lost(self) -> bool:
        """Whether records between this replica's position and the log's head are missing."""
        return self._search is not None and self._search.lost and self._search.at_end

    @property
    def snapshot_position(self) -> int | None:
        """The position of the log's last snapshot; None if it lacks part of the state here."""
        return None if self._uncovered else self._snapshot_position

    def next_read(self) -> Read:
        """Return what to read next from the log."""
        position = self.state.next_offset
        if self._search is not None:
            return Read(self._search.cursor, self._search.at_end, position)
        offset = offset_of(position)
        if offset and (self._verify_last or self._must_read_last):
            return Read(offset - 1, wait=False, position=position)
        return Read(offset, self.at_end, position)

    def record_read_failure(self) -> None:
        """Record that a read failed; the log may have been replaced when it is available again."""
        self._verify_last = self._last_record is not None
        self.at_end = False

    def apply_read(self, read: LogSlice) -> int:
        """Process records that were read from the log and return how many were folded."""
        self.first_offset = read.first_offset
        if self._search is not None:
            self._apply_read_in_search(self._search, read)
            return 0
        offset = offset_of(self.state.next_offset)
        restarts = restarts_of(self.state.next_offset)
        if read.next_offset < offset and not self._short_log_seen:
            self._short_log_seen = True
            return 0
        if read.next_offset < offset or self._last_record_differs(read):
            logging.warning("replica: the log has started over; the configuration in force stays.")
            self._begin_search(lost=True, restarts=restarts + 1)
            return 0
        self._short_log_seen = False
        if read.first_offset > offset:
            logging.warning("replica: the log has lost records from offset %d on.", offset)
            self._begin_search(lost=True, restarts=restarts)
            return 0
        self._verify_last = False
        if self._must_read_last:
            self._keep_last_record(read)
        folded = self.fold_records(position_of(restarts, read.from_offset), read.records)
        self.at_end = offset_of(self.state.next_offset) >= read.next_offset
        return folded

    def fold_records(self, from_offset: int, records: tuple[Mapping[str, Any], ...]) -> int:
        """Fold records that start at a position and return how many were new.

        Records are ignored if there is a gap between the replica's position and the first of them.
        """
        if from_offset > self.state.next_offset:
            return 0
        folded = 0
        for position, data in enumerate(records, start=from_offset):
            if position < self.state.next_offset:
                continue
            if self._reveals_restart(data):
                break
            self._fold(position, data)
            folded += 1
        return folded

    def adopt(self, state: State) -> bool:
        """Join a state received from a peer and return whether anything in force changed.

        A state whose position is not later is ignored: it contains nothing new, or changes that
        the log has lost.
        """
        if state.next_offset <= self.state.next_offset:
            return False
        joined = self.state.join(state)
        changed = not joined.same_brands(self.state)
        self._recent_records.clear()
        self._last_record, self._must_read_last = None, True
        self.state = joined
        if changed:
            self._on_adopted(self.state)
        return changed

    def records_from(self, offset: int) -> tuple[Mapping[str, Any], ...] | None:
        """Return the retained records from a position on, or None if some are no longer there."""
        if offset >= self.state.next_offset:
            return ()
        if not self._recent_records or self._recent_records[0][0] > offset:
            return None
        return tuple(data for position, data in self._recent_records if position >= offset)

    def snapshot(self) -> Snapshot:
        """Return a snapshot for the log; the state in force stands in for any lost records."""
        position = self.state.next_offset
        if self._search is not None and self._search.lost:
            position = position_of(self._search.restarts, self._search.first_offset)
        return Snapshot(position, replace(self.state, next_offset=position).to_document())

    def _begin_search(self, lost: bool, restarts: int) -> None:
        self._search = _Search(lost, restarts)
        self._verify_last = False
        self._short_log_seen = False
        self._snapshot_position = None
        self.at_end = False

    def _apply_read_in_search(self, search: _Search, read: LogSlice) -> None:
        if read.next_offset < search.cursor:
            self._begin_search(lost=True, restarts=search.restarts + 1)
            return
        for offset, data in enumerate(read.records, start=read.from_offset):
            search.consider(offset, data)
        search.cursor = read.from_offset + len(read.records)
        search.first_offset = read.first_offset
        search.at_end = search.cursor >= read.next_offset
        if search.at_end:
            self._finish_search(search, read)

    def _finish_search(self, search: _Search, read: LogSlice) -> None:
        """End the search if there is a position from which the replica can continue to fold."""
        position = self.state.next_offset
        if offset_of(position) > read.next_offset:
            search.restarts = max(search.restarts, restarts_of(position) + 1)
        reaches = read.first_offset <= offset_of(position) <= read.next_offset
        follows = reaches and restarts_of(position) >= search.restarts
        search.lost = not follows
        found = search.covering()
        if found is not None and (not follows or found.next_offset > position):
            self._adopt_snapshot(found)
        elif follows:
            self._search = None

    def _adopt_snapshot(self, found: State) -> None:
        joined = replace(self.state.join(found), next_offset=found.next_offset)
        changed = not joined.same_brands(self.state)
        self._uncovered = None if joined.same_brands(found) else joined
        self._search = None
        self._recent_records.clear()
        self._last_record, self._must_read_last = None, False  # The snapshot is folded next.
        self.state = joined
        if changed:
            self._on_adopted(self.state)

    def _reveals_restart(self, data: Any) -> bool:
        """Start a search if a snapshot shows a restart of the log that had gone undetected."""
        known = max(restarts_of(self.state.next_offset), self._searched_restarts)
        position = data.get("next_offset") if isinstance(data, Mapping) else None
        if not isinstance(position, int) or restarts_of(position) <= known:
            return False
        candidate = _snapshot_state(data)
        if candidate is None or restarts_of(candidate.next_offset) <= known:
            return False
        self._searched_restarts = restarts_of(candidate.next_offset)
        self._begin_search(lost=False, restarts=restarts_of(self.state.next_offset))
        return True

    def _last_record_differs(self, read: LogSlice) -> bool:
        """Return whether the log has a different record at the offset that was folded last."""
        if not self._verify_last or self._last_record is None:
            return False
        position, data = self._last_record
        index = offset_of(position) - read.from_offset
        return 0 <= index < len(read.records) and read.records[index] != data

    def _keep_last_record(self, read: LogSlice) -> None:
        """Keep the record before the position of a state that a peer has sent.

        Without it, a log that starts over and grows further could not be told from the same log.
        """
        self._must_read_last = False
        position = self.state.next_offset - 1
        index = offset_of(position) - read.from_offset
        if 0 <= index < len(read.records):
            self._last_record = position, read.records[index]

    def _fold(self, position: int, data: Mapping[str, Any]) -> None:
        before = self.state
        record, result = fold_data(before, position, data)
        self.state = result.state
        self._recent_records.append((position, data))
        self._last_record, self._must_read_last = (position, data), False
        if result.verdict is not Verdict.ACCEPTED:
            logging.info(
                "replica: record %d is %s: %s.",
                offset_of(position),
                result.verdict.value,
                result.reason,
            )
        if isinstance(record, Snapshot) and result.verdict is Verdict.ACCEPTED:
            self._record_snapshot(position, record)
            if not result.state.same_brands(before):
                self._on_adopted(result.state)
        if record is not None:
            self._on_folded(record, result)

    def _record_snapshot(self, position: int, snapshot: Snapshot) -> None:
        self._snapshot_position = position
        if self._uncovered is None:
            return
        saved = State.from_document(snapshot.state, self.state)
        if saved.join(self._uncovered).same_brands(saved):
            self._uncovered = None


def _snapshot_state(data: Any) -> State | None:
    """Return the state in a record if it is a valid snapshot, else None."""
    if not isinstance(data, Mapping) or data.get("type") != "snapshot":
        return None
    try:
        record = decode_record(data)
        return State.from_document(record.state) if isinstance(record, Snapshot) else None
    except (ConfigError, MessageError):
        return None
