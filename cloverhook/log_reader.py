"""Reads the whole configuration stream for a command-line tool.

Layer: coordination.  The result is the state and the verdict on each change.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cloverhook.errors import MessageError, PlatformError
from cloverhook.fold import FoldResult, State, Verdict
from cloverhook.platform_api import Platform
from cloverhook.records import CONFIG_STREAM, Change, Record, decode_record
from cloverhook.replica import Replica
from cloverhook.state import Accepted, offset_of

__all__ = ["ChangeOutcome", "LogReader"]


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """The outcome of the change at an offset.

    `verdict` is None when the log no longer has the records that determine it.
    """

    offset: int
    change: Change
    verdict: Verdict | None
    reason: str = ""
    winner: Accepted | None = None


class LogReader:
    """A replica of the state for one run of a tool, with the outcomes of the changes it read."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._replica = Replica(self._on_folded)
        self._data: dict[int, Any] = {}
        self._results: dict[int, FoldResult] = {}

    @property
    def state(self) -> State:
        """The state after all records read so far."""
        return self._replica.state

    async def read_to_end(self) -> None:
        """Read all new records.  Raises `PlatformError` when the log can't be read or folded."""
        while True:
            read = await self._platform.read(CONFIG_STREAM, self._replica.next_read().offset)
            for offset, data in enumerate(read.records, start=read.from_offset):
                self._data[offset] = data
            self._replica.apply_read(read)
            if self._replica.records_lost:
                raise PlatformError("the log has lost records and holds no snapshot of them yet")
            if self._replica.at_end:
                return

    def change_outcomes(self, change_id: str | None = None) -> tuple[ChangeOutcome, ...]:
        """Return the outcome of each change, or of those with `change_id`, oldest first."""
        found: list[ChangeOutcome] = []
        for offset, data in sorted(self._data.items()):
            change = _decode_change(data)
            if change is not None and change_id in (None, change.change_id):
                found.append(self._outcome_of(offset, change))
        return tuple(found)

    def _outcome_of(self, offset: int, change: Change) -> ChangeOutcome:
        result = self._results.get(offset)
        if result is not None:
            return ChangeOutcome(offset, change, result.verdict, result.reason, result.winner)
        recent = self.state.recent_changes(change.brand)
        if any(item.change_id == change.change_id for item in recent):
            return ChangeOutcome(offset, change, Verdict.ACCEPTED)
        winners = [item for item in recent if item.version == change.base_version + 1]
        if winners:
            reason = f"builds on version {change.base_version}, which another change built on"
            return ChangeOutcome(offset, change, Verdict.STALE, reason, winners[0])
        return ChangeOutcome(
            offset, change, None, "the log no longer has the records that show its outcome"
        )

    def _on_folded(self, record: Record, result: FoldResult) -> None:
        if isinstance(record, Change):
            self._results[offset_of(result.state.next_offset) - 1] = result


def _decode_change(data: Mapping[str, Any]) -> Change | None:
    try:
        record = decode_record(data)
    except MessageError:
        return None
    return record if isinstance(record, Change) else None
