"""How far a VM knows a log of the store, from its own reading or from what its peers report.

Layer: state.  `version` is the position of the last change, and everything that was written up to
`as_of` is known.  A VM whose `as_of` has reached the `version` of another VM lacks nothing that the
other one knows.  So a VM that learns of no change still advances `as_of`, and can continue to read
from there.

>>> position = LogPosition()
>>> position.record_peer_state(version=4, as_of=6)
>>> position.advance_from_peer(version=4, as_of=9)
>>> position.version, position.as_of
(4, 9)
"""

import math

from cloverhook.gateway.freshness import Freshness
from cloverhook.gateway.versions import era_of

__all__ = ["LogPosition"]


class LogPosition:
    """Positions in one log; -1 where nothing is known.  Times are monotonic."""

    def __init__(self, gap_ms: float = math.inf) -> None:
        """`gap_ms` is described at `Freshness`."""
        self.version = -1
        self._as_of = -1
        self._has_last_change = True
        self._history_floor = -1
        self.freshness = Freshness(gap_ms)

    @property
    def as_of(self) -> int:
        """The position up to which everything is known."""
        return max(self._as_of, self.version)

    @property
    def advertised_version(self) -> int:
        """The version that peers may rely on, or -1 while that of the last change isn't known."""
        return self.version if self._has_last_change else -1

    @property
    def history_floor(self) -> int:
        """The position since which all changes are known individually."""
        return self._history_floor

    def record_change(self, position: int) -> None:
        """Record a change at a position."""
        self.version = max(self.version, position)

    def advance_to(self, position: int) -> None:
        """Record that all records up to a position have been applied."""
        self._as_of = max(self._as_of, position)
        self.freshness.advance((self.as_of,))

    def advance_from_peer(self, version: int, as_of: int) -> None:
        """Take a peer's report that nothing has changed between a version and `as_of`."""
        if version <= self.as_of <= as_of:
            self._as_of = as_of
            self.version = max(self.version, version)
            self._has_last_change = True
            self.freshness.advance((self.as_of,))

    def assume_last_change(self) -> None:
        """Treat the position read up to as the last change, where the last change isn't known.

        Peers that know less then ask for the full state.
        """
        if not self._has_last_change:
            self.version = self.as_of
            self._has_last_change = True

    def record_snapshot(self, known: tuple[int, int], as_of: int, changed: bool) -> None:
        """Record that a snapshot as of a position was applied; it doesn't show the last change.

        `known` holds `version` and `as_of` from before the snapshot; `changed` says that the
        snapshot changed something.
        """
        known_version, known_as_of = known
        if changed or era_of(as_of) > era_of(known_as_of):
            self._has_last_change = False
        self.version = known_version
        self._as_of = max(as_of, known_as_of)
        self.record_full_state(known_as_of, as_of)
        self.freshness.advance((self.as_of,))

    def record_peer_state(self, version: int, as_of: int) -> None:
        """Record that everything that a peer knows has been applied."""
        self.version, self._as_of = version, max(as_of, self._as_of)
        self._has_last_change = True
        self.freshness.advance((self.as_of,))

    def record_full_state(self, known_as_of: int, floor: int) -> None:
        """Record that a full state was applied, with all changes since `floor` known one by one."""
        if floor > known_as_of:
            self._history_floor = floor
        else:
            self._history_floor = min(self._history_floor, floor)

    def truncate_history(self, position: int) -> None:
        """Record that changes up to a position are no longer known individually."""
        self._history_floor = max(self._history_floor, position)

    def confirm_current(self, version: int, as_of_ms: float, source: str = "") -> None:
        """Record that the store held nothing newer than a version at a time."""
        self.freshness.confirm((version,), as_of_ms, (self.as_of,), source)
