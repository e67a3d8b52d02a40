"""How far a VM knows a log of the store, by its own reading or by what others say.

Layer: state.  `version` is the position of the last change, and all that was written up to `as_of`
is known.  A VM whose `as_of` has reached another's `version` lacks nothing of it; so a VM that
hears of no change still gets further, and can go on reading from there.

>>> position = LogPosition()
>>> position.record_peer_state(version=4, as_of=6)
>>> position.advance_from_peer(version=4, as_of=9)
>>> position.version, position.as_of
(4, 9)
"""

from cloverhook.gateway.versions import era_of

__all__ = ["LogPosition"]

CONFIRMED_LIMIT_MS = 2_500.0
"""Without a word of the store for longer, what is missing may have lapsed with it meanwhile."""


class LogPosition:
    """Positions in one log; -1 where nothing is known.  Times are monotonic."""

    def __init__(self) -> None:
        self.version = -1
        self._as_of = -1
        self._knows_last_change = True
        self._history_floor = -1
        self._confirmed_ms: float | None = None

    @property
    def as_of(self) -> int:
        """The position up to which everything is known."""
        return max(self._as_of, self.version)

    @property
    def advertised_version(self) -> int:
        """The version that others may rely on, or -1 while that of the last change isn't known."""
        return self.version if self._knows_last_change else -1

    @property
    def history_floor(self) -> int:
        """The position since which the changes are known one by one."""
        return self._history_floor

    def record_change(self, position: int) -> None:
        """Note a change at a position."""
        self.version = max(self.version, position)

    def advance_to(self, position: int) -> None:
        """Note that all records up to a position have been taken."""
        self._as_of = max(self._as_of, position)

    def advance_from_peer(self, version: int, as_of: int) -> None:
        """Take another VM's word that nothing has changed between a version and `as_of`."""
        if version <= self.as_of <= as_of:
            self._as_of = as_of
            self.version = max(self.version, version)
            self._knows_last_change = True

    def assume_last_change(self) -> None:
        """Count the position read up to as a change, where the last one isn't known.

        Whoever knows less then asks for all.
        """
        if not self._knows_last_change:
            self.version = self.as_of
            self._knows_last_change = True

    def record_snapshot(self, known: tuple[int, int], as_of: int, changed: bool) -> None:
        """Note that a whole list was taken as of a position, which doesn't say what changed last.

        `known` are version and `as_of` from before it.
        """
        known_version, known_as_of = known
        if changed or era_of(as_of) > era_of(known_as_of):
            self._knows_last_change = False
        self.version = known_version
        self._as_of = max(as_of, known_as_of)
        self.record_full_state(known_as_of, as_of)

    def record_peer_state(self, version: int, as_of: int) -> None:
        """Note that all has been taken that a peer knows."""
        self.version, self._as_of = version, max(as_of, self._as_of)
        self._knows_last_change = True

    def record_full_state(self, known_as_of: int, floor: int) -> None:
        """Note that a whole state was taken whose changes are known one by one since `floor`."""
        if floor > known_as_of:
            self._history_floor = floor
        else:
            self._history_floor = min(self._history_floor, floor)

    def truncate_history(self, position: int) -> None:
        """Note that changes up to a position are no longer known one by one."""
        self._history_floor = max(self._history_floor, position)

    def confirm_current(self, version: int, now_ms: float) -> None:
        """Note that the store holds nothing newer than a version at this time."""
        if version <= self.as_of:
            self._confirmed_ms = now_ms

    def earliest_removal_ms(self, now_ms: float) -> float:
        """Return the earliest time at which what is found missing now may have vanished."""
        if self._confirmed_ms is None or now_ms - self._confirmed_ms > CONFIRMED_LIMIT_MS:
            return now_ms
        return self._confirmed_ms
