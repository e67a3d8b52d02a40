"""Decides how often this VM sends heartbeats, and how soon it reads the messages of other VMs.

Layer: coordination.  In a small fleet all VMs send heartbeats often.  In a large data centre the
serving VMs and the standby VMs send one a second, so that a dead one is replaced soon.  The other
VMs there, the idle VMs, are needed for little, and there may be hundreds of them.  The more VMs
there are, the less often these send heartbeats, and they send them to their neighbours only, so
that the number of heartbeats that a VM receives does not grow with the fleet.
"""

from cloverhook.gateway.members import Members

__all__ = ["HeartbeatIntervals"]

LOCAL_INTERVAL_MS = 400.0
"""A dead neighbour should get no callers after a few of these."""
REMOTE_INTERVAL_MS = 1_000.0
"""Bytes between data centres are paid for, so members of other ones get heartbeats less often."""
LARGE_LOCAL_INTERVAL_MS = 1_000.0
LARGE_REMOTE_INTERVAL_MS = 3_000.0
"""The number of messages that a VM receives grows with the number of VMs that send heartbeats here:
20 of a data centre."""
IDLE_INTERVAL_MS = 3_000.0
"""Nothing depends on an idle VM that has died; the next one in the order takes its place."""
IDLE_INTERVAL_MS_PER_VM = 60.0
"""With an interval this long for each neighbour, a VM receives at most 17 heartbeats a second from
idle neighbours, however many there are."""
STANDBY_RECEIVE_BATCH_MS = 10.0
"""A standby VM, which may dispatch requests soon, reads counts and load reports this much later."""
IDLE_RECEIVE_BATCH_MS = 100.0
"""An idle VM may read them later still; a change has to be in force within two seconds."""
READER_INTERVAL_MS = 300.0
"""Another VM starts to read the store when it has missed three of a reader's heartbeats."""


class HeartbeatIntervals:
    """The time from one heartbeat of this VM to its next."""

    def __init__(self, members: Members) -> None:
        self._members = members

    def local_interval_ms(self, reading: bool, now_ms: float) -> float:
        """Return the interval for the own data centre; `reading`: this VM reads the store."""
        if reading:
            return READER_INTERVAL_MS
        if not self._members.in_large_data_center():
            return LOCAL_INTERVAL_MS
        if self._members.is_load_subscriber(now_ms):
            return LARGE_LOCAL_INTERVAL_MS
        return max(IDLE_INTERVAL_MS, IDLE_INTERVAL_MS_PER_VM * self._members.local_count())

    def remote_interval_ms(self, reading: bool, now_ms: float) -> float:
        """Return the interval for the other data centres, and for neighbours that are silent."""
        if reading:
            return READER_INTERVAL_MS
        return (
            LARGE_REMOTE_INTERVAL_MS if self._members.in_large_data_center() else REMOTE_INTERVAL_MS
        )

    def sends_to_remote(self, reading: bool, now_ms: float) -> bool:
        """Return whether other data centres get heartbeats: they need a few VMs that relay."""
        return reading or self._members.is_load_subscriber(now_ms)

    def receive_batch_ms(self, has_requests: bool, now_ms: float) -> float:
        """Return for how long received messages may wait, so that they are read in batches.

        They don't wait on a VM that dispatches requests: in overload, two VMs that don't know of
        each other's requests choose the same last slot.
        """
        if has_requests or self._members.serves_callers(now_ms):
            return 0.0
        return (
            STANDBY_RECEIVE_BATCH_MS
            if self._members.is_load_subscriber(now_ms)
            else IDLE_RECEIVE_BATCH_MS
        )
