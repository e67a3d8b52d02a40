"""Decides how often this VM tells the others that it lives, and how soon it hears them.

Layer: coordination.  In a small fleet all send heartbeats often.  In a crowded data centre those
that callers are sent to, and the next ones, do so once a second, so that a dead one is replaced
soon.  The others are needed for little, and there may be hundreds of them: they do so the more
seldom the more VMs there are, and to their neighbours alone, so that what a VM hears does not grow
with the fleet.
"""

from cloverhook.gateway.members import Members

__all__ = ["HeartbeatIntervals"]

NEAR_MS = 400.0
"""A dead neighbour should get no callers after a few of these."""
FAR_MS = 1_000.0
"""Bytes between data centres are paid for, so members there hear less often."""
CROWD_NEAR_MS = 1_000.0
CROWD_FAR_MS = 3_000.0
"""What a VM hears grows with the number of those that heartbeat; these are 20 of a data centre."""
STANDBY_NEAR_MS = 3_000.0
"""A standby VM that died is missed by nobody; the next one in the order takes its turn."""
STANDBY_NEAR_MS_A_VM = 60.0
"""A VM hears at most 17 standby neighbours a second, however many there are."""
UNDERSTUDY_HEARS_MS = 10.0
"""A VM that may place requests soon learns of counts and figures so much later."""
STANDBY_HEARS_MS = 100.0
"""One that does not may learn later still; a change has to be in force within two seconds."""
READER_MS = 300.0
"""Another VM reads the store when it has missed three of a reader's heartbeats."""


class HeartbeatIntervals:
    """The time from one heartbeat of this VM to its next."""

    def __init__(self, members: Members) -> None:
        self._members = members

    def local_interval_ms(self, reading: bool, now_ms: float) -> float:
        """Return it for the own data centre; `reading` says that this VM reads the store."""
        if reading:
            return READER_MS
        if not self._members.in_large_data_center():
            return NEAR_MS
        if self._members.is_load_subscriber(now_ms):
            return CROWD_NEAR_MS
        return max(STANDBY_NEAR_MS, STANDBY_NEAR_MS_A_VM * self._members.local_count())

    def remote_interval_ms(self, reading: bool, now_ms: float) -> float:
        """Return it for the other data centres, and for neighbours that are silent."""
        if reading:
            return READER_MS
        return CROWD_FAR_MS if self._members.in_large_data_center() else FAR_MS

    def sends_to_remote(self, reading: bool, now_ms: float) -> bool:
        """Return whether other data centres hear this VM: they need a few that relay."""
        return reading or self._members.is_load_subscriber(now_ms)

    def receive_batch_ms(self, has_requests: bool, now_ms: float) -> float:
        """Return for how long messages from others may wait, to be read together.

        Where requests are placed none does: in overload, two VMs that have not heard of each other
        choose the same last slot.
        """
        if has_requests or self._members.serves_callers(now_ms):
            return 0.0
        return UNDERSTUDY_HEARS_MS if self._members.is_load_subscriber(now_ms) else STANDBY_HEARS_MS
