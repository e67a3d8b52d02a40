"""A replica of the configuration in force, kept by folding the log's records in order.

Layer: coordination, free of input and output.  `next_read` says what to read next from the log
and `apply_read` takes what was read; `fold_records` and `adopt` take records and states
from peers.  A log that ends before the replica's position is taken to have started over only when
it is seen twice.

A replica searches the log for the newest snapshot when it starts, when the log has lost records
that the replica has not folded, and when the log has started over.  It folds on from there.  While
records are lost and no snapshot covers them, the replica keeps what is in force and folds no
change: a change that lost a race in the lost records must not win here.  The design note
`docs/decisions/0010-configuration-through-the-log.md` gives the reasons.
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
    """What to read next from the log; with `wait`, there may be nothing new yet."""

    offset: int
    wait: bool


@dataclass(slots=True)
class _Search:
    """A search of the log for the newest snapshot from which every later record is kept.

    `lost` says that records are lost between the replica's position and the log, and `restarts`
    how often the log has started over.
    """

    lost: bool
    restarts: int
    cursor: int = 0
    first_offset: int = 0
    at_end: bool = False
    best: State | None = None

    def consider(self, offset: int, data: Any) -> None:
        """Look at a record: a later snapshot takes the place of the best one."""
        taken = _snapshot_state(data)
        if taken is None or offset_of(taken.next_offset) > offset:
            return
        if self.best is None or taken.next_offset >= self.best.next_offset:
            self.best = taken

    def covering(self) -> State | None:
        """Return the best snapshot's state at its position if the log keeps what follows it."""
        if self.best is None or offset_of(self.best.next_offset) < self.first_offset:
            return None
        restarts = max(self.restarts, restarts_of(self.best.next_offset))
        position = position_of(restarts, offset_of(self.best.next_offset))
        return replace(self.best, next_offset=position)


class Replica:
    """This process's replica of the state in force."""

    def __init__(self, on_folded: OnFolded, on_adopted: OnAdopted = lambda state: None) -> None:
        self._on_folded = on_folded
        self._on_adopted = on_adopted
        self._kept: deque[tuple[int, Mapping[str, Any]]] = deque(maxlen=KEPT_RECORDS)
        self._search: _Search | None = _Search(lost=False, restarts=0)
        self._verify = False
        self._doubtful = False
        self._searched_restarts = 0
        self._unsaved: State | None = None
        self._snapshot_position: int | None = None
        self.state = State()
        self.first_offset = 0
        self.at_end = False

    @property
    def records_lost(self) -> bool:
        """Whether the log lacks records between this replica's position and its head."""
        return self._search is not None and self._search.lost and self._search.at_end

    @property
    def snapshot_position(self) -> int | None:
        """Where the log's last snapshot stands; None when it lacks what is in force here."""
        return None if self._unsaved else self._snapshot_position

    def next_read(self) -> Read:
        """Return what to read next from the log."""
        if self._search is not None:
            return Read(self._search.cursor, self._search.at_end)
        offset = offset_of(self.state.next_offset)
        if self._verify and self._kept:
            return Read(offset - 1, wait=False)
        return Read(offset, self.at_end)

    def record_read_failure(self) -> None:
        """Take that a read failed: the log may be another one when it is back."""
        self._verify = bool(self._kept)
        self.at_end = False

    def apply_read(self, read: LogSlice) -> int:
        """Take records that were read from the log and return how many were folded."""
        self.first_offset = read.first_offset
        if self._search is not None:
            self._take_in_search(self._search, read)
            return 0
        offset = offset_of(self.state.next_offset)
        restarts = restarts_of(self.state.next_offset)
        if read.next_offset < offset and not self._doubtful:
            self._doubtful = True
            return 0
        if read.next_offset < offset or self._differs(read):
            logging.warning("replica: the log has started over; what is in force stays.")
            self._begin_search(lost=True, restarts=restarts + 1)
            return 0
        self._doubtful = False
        if read.first_offset > offset:
            logging.warning("replica: the log has lost records from %d on.", offset)
            self._begin_search(lost=True, restarts=restarts)
            return 0
        self._verify = False
        taken = self.fold_records(position_of(restarts, read.from_offset), read.records)
        self.at_end = offset_of(self.state.next_offset) >= read.next_offset
        return taken

    def fold_records(self, from_offset: int, records: tuple[Mapping[str, Any], ...]) -> int:
        """Fold records that start at a position and return how many were new.

        Records that do not join onto the replica's position are left.
        """
        if from_offset > self.state.next_offset:
            return 0
        taken = 0
        for position, data in enumerate(records, start=from_offset):
            if position < self.state.next_offset:
                continue
            if self._starts_over(data):
                break
            self._fold(position, data)
            taken += 1
        return taken

    def adopt(self, state: State) -> bool:
        """Join a state that a peer gave and return whether anything in force changed.

        One from no later position is left: it holds nothing new, or what the log has lost.
        """
        if state.next_offset <= self.state.next_offset:
            return False
        joined = self.state.join(state)
        changed = not joined.same_brands(self.state)
        self._kept.clear()
        self.state = joined
        if changed:
            self._on_adopted(self.state)
        return changed

    def records_from(self, offset: int) -> tuple[Mapping[str, Any], ...] | None:
        """Return the kept records from a position on, or None when they are kept no longer."""
        if offset >= self.state.next_offset:
            return ()
        if not self._kept or self._kept[0][0] > offset:
            return None
        return tuple(data for position, data in self._kept if position >= offset)

    def snapshot(self) -> Snapshot:
        """Return a snapshot for the log; in place of lost records it carries what is in force."""
        position = self.state.next_offset
        if self._search is not None and self._search.lost:
            position = position_of(self._search.restarts, self._search.first_offset)
        return Snapshot(position, replace(self.state, next_offset=position).to_document())

    def _begin_search(self, lost: bool, restarts: int) -> None:
        self._search = _Search(lost, restarts)
        self._verify = False
        self._doubtful = False
        self._snapshot_position = None
        self.at_end = False

    def _take_in_search(self, search: _Search, read: LogSlice) -> None:
        if read.next_offset < search.cursor:
            self._begin_search(lost=True, restarts=search.restarts + 1)
            return
        for offset, data in enumerate(read.records, start=read.from_offset):
            search.consider(offset, data)
        search.cursor = read.from_offset + len(read.records)
        search.first_offset = read.first_offset
        search.at_end = search.cursor >= read.next_offset
        if search.at_end:
            self._decide(search, read)

    def _decide(self, search: _Search, read: LogSlice) -> None:
        """End the search when the replica can fold on from somewhere."""
        position = self.state.next_offset
        if offset_of(position) > read.next_offset:
            search.restarts = max(search.restarts, restarts_of(position) + 1)
        reaches = read.first_offset <= offset_of(position) <= read.next_offset
        follows = reaches and restarts_of(position) >= search.restarts
        search.lost = not follows
        found = search.covering()
        if found is not None and (not follows or found.next_offset > position):
            self._enter(found)
        elif follows:
            self._search = None

    def _enter(self, found: State) -> None:
        joined = replace(self.state.join(found), next_offset=found.next_offset)
        changed = not joined.same_brands(self.state)
        self._unsaved = None if joined.same_brands(found) else joined
        self._search = None
        self._kept.clear()
        self.state = joined
        if changed:
            self._on_adopted(self.state)

    def _starts_over(self, data: Any) -> bool:
        """Search again when a snapshot tells of a restart of the log that was not noticed."""
        known = max(restarts_of(self.state.next_offset), self._searched_restarts)
        position = data.get("next_offset") if isinstance(data, Mapping) else None
        if not isinstance(position, int) or restarts_of(position) <= known:
            return False
        taken = _snapshot_state(data)
        if taken is None or restarts_of(taken.next_offset) <= known:
            return False
        self._searched_restarts = restarts_of(taken.next_offset)
        self._begin_search(lost=False, restarts=restarts_of(self.state.next_offset))
        return True

    def _differs(self, read: LogSlice) -> bool:
        """Return whether the log holds another record than the one that was folded last."""
        if not self._verify or not self._kept:
            return False
        position, data = self._kept[-1]
        index = offset_of(position) - read.from_offset
        return 0 <= index < len(read.records) and read.records[index] != data

    def _fold(self, position: int, data: Mapping[str, Any]) -> None:
        before = self.state
        record, result = fold_data(before, position, data)
        self.state = result.state
        self._kept.append((position, data))
        if result.verdict is not Verdict.ACCEPTED:
            logging.info(
                "replica: record %d is %s: %s.",
                offset_of(position),
                result.verdict.value,
                result.reason,
            )
        if isinstance(record, Snapshot) and result.verdict is Verdict.ACCEPTED:
            self._saved(position, record)
            if not result.state.same_brands(before):
                self._on_adopted(result.state)
        if record is not None:
            self._on_folded(record, result)

    def _saved(self, position: int, snapshot: Snapshot) -> None:
        self._snapshot_position = position
        if self._unsaved is None:
            return
        taken = State.from_document(snapshot.state, self.state)
        if taken.join(self._unsaved).same_brands(taken):
            self._unsaved = None


def _snapshot_state(data: Any) -> State | None:
    """Return the state of a record that is a valid snapshot, else None."""
    if not isinstance(data, Mapping) or data.get("type") != "snapshot":
        return None
    try:
        record = decode_record(data)
        return State.from_document(record.state) if isinstance(record, Snapshot) else None
    except (ConfigError, MessageError):
        return None
