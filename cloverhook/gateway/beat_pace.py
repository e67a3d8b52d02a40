"""Decides how often this VM tells the others that it lives.

Layer: coordination.  In a small fleet all beat often.  In a crowded data centre those that callers
are sent to, and the next ones, beat once a second, so that a dead one is replaced soon.  The others
are needed for little, and there may be hundreds of them: they beat the more seldom the more VMs
there are, so that what a VM hears does not grow with the fleet.
"""

from cloverhook.gateway.members import Members

__all__ = ["BeatPace"]

NEAR_MS = 400.0
"""A dead neighbour should get no callers after a few of these."""
FAR_MS = 1_000.0
"""Bytes between data centres are paid for, so members there hear less often."""
CROWD_NEAR_MS = 1_000.0
CROWD_FAR_MS = 3_000.0
"""What a VM hears grows with the number of those that beat; these are at most a few dozen."""
STANDBY_NEAR_MS = 3_000.0
STANDBY_FAR_MS = 6_000.0
"""A standby VM that died is missed by nobody but those that pass on news, who pick others."""
STANDBY_NEAR_MS_A_VM = 60.0
"""A VM hears at most 17 standby neighbours a second, however many there are."""
STANDBY_FAR_MS_A_VM = 20.0
"""The same for those of other data centres: at most 50 a second."""
READER_MS = 300.0
"""Another VM reads the store when it has missed three of a reader's beats."""


class BeatPace:
    """The time from one beat of this VM to its next."""

    def __init__(self, members: Members) -> None:
        self._members = members

    def near_ms(self, reading: bool, now_ms: float) -> float:
        """Return it for the own data centre; `reading` says that this VM reads the store."""
        if reading:
            return READER_MS
        if not self._members.crowded():
            return NEAR_MS
        if self._members.is_informed(now_ms):
            return CROWD_NEAR_MS
        return max(STANDBY_NEAR_MS, STANDBY_NEAR_MS_A_VM * self._members.near_count())

    def far_ms(self, reading: bool, now_ms: float) -> float:
        """Return it for the other data centres."""
        if reading:
            return READER_MS
        if not self._members.crowded():
            return FAR_MS
        if self._members.is_informed(now_ms):
            return CROWD_FAR_MS
        return max(STANDBY_FAR_MS, STANDBY_FAR_MS_A_VM * len(self._members))
