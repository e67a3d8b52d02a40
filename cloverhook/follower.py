"""Follows the configuration stream of the platform's log, and appends snapshots to it.

Layer: coordination.  `Replica` and `SnapshotPolicy` make the decisions; this module calls the
platform on their behalf.  Records and states from peers are applied to the same replica.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from absl import logging

from cloverhook.clock import monotonic_ms
from cloverhook.errors import PlatformError
from cloverhook.platform_api import Platform
from cloverhook.records import CONFIG_STREAM, encode_record
from cloverhook.replica import OnAdopted, OnFolded, Replica
from cloverhook.snapshots import LogStatus, SnapshotLimits, SnapshotPolicy
from cloverhook.state import State, offset_of, restarts_of

__all__ = ["Follower"]

READ_WAIT_MS = 2_000
READ_TIMEOUT_MS = 1_000
"""A read that has no answer this long after its wait is given up; after a failure it gets as much
time more, for a platform that is slow.  A change has to be in force within 5 s."""
FIRST_RETRY_MS = 250
MAX_RETRY_MS = 5_000
PAUSE_MS = 15_000


class Follower:
    """This daemon's replica of the state in force, kept current with the log."""

    def __init__(
        self,
        platform: Platform,
        on_folded: OnFolded,
        clock_ms: Callable[[], float] = monotonic_ms,
        source: random.Random | None = None,
        limits: SnapshotLimits | None = None,
        on_adopted: OnAdopted = lambda state: None,
    ) -> None:
        self._platform = platform
        self._clock_ms = clock_ms
        self._source = source or random.Random()
        self._snapshots = SnapshotPolicy(self._source, limits)
        self._replica = Replica(on_folded, on_adopted)
        self._failures = 0
        self._complete_as_of_ms = clock_ms()
        self._last_poll_ms = clock_ms()

    @property
    def state(self) -> State:
        """The state in force, with the position of the next record."""
        return self._replica.state

    @property
    def behind(self) -> bool:
        """Whether this daemon may lack records that are already in force elsewhere."""
        return self._failures > 0 or not self._replica.at_end

    def age_ms(self) -> float:
        """Return the time since this daemon is known to have had every record of the log.

        A read that waits shows nothing until it ends, so the age grows to the time of a read.
        """
        return max(0.0, self._clock_ms() - self._complete_as_of_ms)

    def retry_ms(self) -> float:
        """Return the delay after a failed poll: exponential backoff with jitter."""
        ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** max(0, self._failures - 1))
        return ceiling_ms * self._source.uniform(0.5, 1)

    def status(self) -> dict[str, Any]:
        """Return the status, for operators, of how this daemon follows the log."""
        return {
            "offset": offset_of(self.state.next_offset),
            "log_restarts": restarts_of(self.state.next_offset),
            "behind": self.behind,
            "records_lost": self._replica.records_lost,
            "age_ms": round(self.age_ms()),
            "versions": {
                brand: self.state.version_of(brand)
                for brand in (*self.state.brands, *self.state.removed)
            },
        }

    async def poll(self) -> bool:
        """Read once and fold new records; return False if the log can't be read."""
        self._check_for_pause()
        planned = self._replica.next_read()
        wait_ms = READ_WAIT_MS if planned.wait else 0
        timeout_ms = wait_ms + READ_TIMEOUT_MS * (1 + self._failures)
        called_ms = self._clock_ms()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                read = await self._platform.read(CONFIG_STREAM, planned.offset, wait_ms)
        except (PlatformError, TimeoutError) as error:
            self._failures += 1
            self._replica.record_read_failure()
            logging.warning(
                "follower: the log can't be read, the state is %d ms old: %r.", self.age_ms(), error
            )
            return False
        self._failures = 0
        if self._replica.next_read() == planned:
            self._replica.apply_read(read)
        if self._replica.at_end:
            waited_in_vain = not read.records and self._clock_ms() - called_ms >= wait_ms
            as_of_ms = called_ms + wait_ms if waited_in_vain else called_ms
            self._complete_as_of_ms = max(self._complete_as_of_ms, as_of_ms)
        return True

    def _check_for_pause(self) -> None:
        """After a pause of this process, as after an outage, the log may have been replaced."""
        now_ms = self._clock_ms()
        if now_ms - self._last_poll_ms > PAUSE_MS:
            self._replica.record_read_failure()
        self._last_poll_ms = now_ms

    async def append_snapshot_if_due(self) -> bool:
        """Append a snapshot if one is due, and return whether one was appended.

        None is appended while the replica does not know yet whether the log is the one that it has
        followed: one that started over during an outage can't use a snapshot of the earlier log.
        """
        if self._failures or not (self._replica.at_end or self._replica.records_lost):
            return False
        log_status = LogStatus(
            self.state.next_offset,
            self._replica.first_offset,
            self._replica.snapshot_position,
            self._replica.records_lost,
            replica_is_empty=not self.state.brands and not self.state.removed,
        )
        if not self._snapshots.decide(log_status, self._clock_ms()):
            return False
        try:
            await self._platform.append(CONFIG_STREAM, encode_record(self._replica.snapshot()))
        except PlatformError as error:
            self._snapshots.record_failure(self._clock_ms())
            logging.warning("follower: the snapshot could not be appended: %s.", error)
            return False
        return True

    def fold_records(self, from_offset: int, records: tuple[Mapping[str, Any], ...]) -> int:
        """Fold records received from a peer and return how many were new."""
        return self._replica.fold_records(from_offset, records)

    def adopt(self, state: State) -> bool:
        """Join a state received from a peer and return whether anything in force changed."""
        return self._replica.adopt(state)

    def records_from(self, offset: int) -> tuple[Mapping[str, Any], ...] | None:
        """Return the retained records from an offset on, or None if some are no longer there."""
        return self._replica.records_from(offset)
