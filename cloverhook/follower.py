"""Follows the configuration stream: reads records, folds them, and tells what came of each.

Layer: coordination.  Records come from the platform's log or from a peer; both go through
`take`, which folds only the record at the next offset, so the source makes no difference.
"""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from absl import logging

from cloverhook.errors import MessageError, PlatformError
from cloverhook.fold import FoldResult, Verdict, fold
from cloverhook.platform_api import Platform
from cloverhook.records import CONFIG_STREAM, Record, Snapshot, decode_record
from cloverhook.state import State

__all__ = ["Follower"]

READ_WAIT_MS = 2_000
KEPT_RECORDS = 1_000

OnFolded = Callable[[Record, FoldResult], None]


class Follower:
    """This daemon's copy of the state in force."""

    def __init__(
        self,
        platform: Platform,
        on_folded: OnFolded,
        on_adopted: Callable[[State], None] = lambda state: None,
    ) -> None:
        self._platform = platform
        self._on_folded = on_folded
        self._on_adopted = on_adopted
        self.state = State()
        self.kept: deque[tuple[int, Mapping[str, Any]]] = deque(maxlen=KEPT_RECORDS)

    async def poll(self) -> bool:
        """Read once and fold what is new; return False when the platform gave no answer."""
        try:
            read = await self._platform.read(CONFIG_STREAM, self.state.next_offset, READ_WAIT_MS)
        except PlatformError as error:
            logging.warning("follower: the log can't be read: %s.", error)
            return False
        self.take(read.from_offset, read.records)
        return True

    def take(self, from_offset: int, records: tuple[Mapping[str, Any], ...]) -> int:
        """Fold records that start at an offset and return how many were new."""
        taken = 0
        for offset, data in enumerate(records, start=from_offset):
            if offset < self.state.next_offset:
                continue
            self._fold(offset, data)
            taken += 1
        return taken

    def adopt(self, state: State) -> bool:
        """Take a peer's whole state if it is further on; return whether it was."""
        if state.next_offset <= self.state.next_offset:
            return False
        self.state = self.state.join(state)
        self.kept.clear()
        self._on_adopted(self.state)
        return True

    def records_from(self, offset: int) -> tuple[Mapping[str, Any], ...] | None:
        """Return the kept records from an offset on, or None when they are kept no longer."""
        if offset >= self.state.next_offset:
            return ()
        if not self.kept or self.kept[0][0] > offset:
            return None
        return tuple(data for kept_offset, data in self.kept if kept_offset >= offset)

    def _fold(self, offset: int, data: Mapping[str, Any]) -> None:
        try:
            record = decode_record(data)
        except MessageError as error:
            logging.warning("follower: record %d can't be read: %s.", offset, error)
            record = Snapshot(0, {})
        result = fold(self.state, offset, record)
        self.state = result.state
        self.kept.append((offset, data))
        if result.verdict is not Verdict.ACCEPTED:
            logging.info(
                "follower: record %d is %s: %s.", offset, result.verdict.value, result.reason
            )
        self._on_folded(record, result)
