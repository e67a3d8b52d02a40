"""Follows the configuration stream of the platform's log, and keeps snapshots in it.

Layer: coordination.  The decisions are made by `Replica` and `SnapshotPolicy`; this module calls
the platform for them.  Records and states from peers go to the same replica.
"""

import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from absl import logging

from cloverhook.errors import PlatformError
from cloverhook.platform_api import Platform
from cloverhook.records import CONFIG_STREAM, encode_record
from cloverhook.replica import OnAdopted, OnFolded, Replica
from cloverhook.snapshots import LogStatus, SnapshotLimits, SnapshotPolicy
from cloverhook.state import State, offset_of, restarts_of

__all__ = ["Follower"]

READ_WAIT_MS = 2_000
FIRST_RETRY_MS = 250
MAX_RETRY_MS = 5_000
PAUSE_MS = 15_000


def _monotonic_ms() -> float:
    return time.monotonic() * 1000


class Follower:
    """This daemon's copy of the state in force."""

    def __init__(
        self,
        platform: Platform,
        on_folded: OnFolded,
        clock_ms: Callable[[], float] = _monotonic_ms,
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
        self._current_ms = clock_ms()
        self._polled_ms = clock_ms()

    @property
    def state(self) -> State:
        """The state in force, with the position of the next record."""
        return self._replica.state

    @property
    def behind(self) -> bool:
        """Whether records may be in force elsewhere that this daemon does not have."""
        return self._failures > 0 or not self._replica.at_end

    def age_ms(self) -> float:
        """Return how long ago this daemon had every record of the log; 0 while it has them."""
        return max(0.0, self._clock_ms() - self._current_ms) if self.behind else 0.0

    def retry_ms(self) -> float:
        """Return how long to wait after a failed poll: it doubles, with jitter."""
        ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** max(0, self._failures - 1))
        return ceiling_ms * self._source.uniform(0.5, 1)

    def status(self) -> dict[str, Any]:
        """Return what operators see of how this daemon follows the log."""
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
        """Read once and fold what is new; return False when the platform gave no answer."""
        self._notice_pause()
        wanted = self._replica.next_read()
        wait_ms = READ_WAIT_MS if wanted.wait else 0
        try:
            read = await self._platform.read(CONFIG_STREAM, wanted.offset, wait_ms)
        except PlatformError as error:
            self._failures += 1
            self._replica.record_read_failure()
            logging.warning("follower: the log can't be read: %s.", error)
            return False
        self._failures = 0
        if self._replica.next_read() == wanted:
            self._replica.apply_read(read)
        if self._replica.at_end:
            self._current_ms = self._clock_ms()
        return True

    def _notice_pause(self) -> None:
        """After a pause of this process the log may be another one, as after an outage."""
        now_ms = self._clock_ms()
        if now_ms - self._polled_ms > PAUSE_MS:
            self._replica.record_read_failure()
        self._polled_ms = now_ms

    async def append_snapshot_if_due(self) -> bool:
        """Append a snapshot if one is due and return whether one was appended."""
        facts = LogStatus(
            self.state.next_offset,
            self._replica.first_offset,
            self._replica.snapshot_position,
            self._replica.records_lost,
            replica_is_empty=not self.state.brands and not self.state.removed,
        )
        if self._failures or not self._snapshots.decide(facts, self._clock_ms()):
            return False
        try:
            await self._platform.append(CONFIG_STREAM, encode_record(self._replica.snapshot()))
        except PlatformError as error:
            logging.warning("follower: no snapshot was appended: %s.", error)
            return False
        return True

    def fold_records(self, from_offset: int, records: tuple[Mapping[str, Any], ...]) -> int:
        """Fold records that a peer gave and return how many were new."""
        return self._replica.fold_records(from_offset, records)

    def adopt(self, state: State) -> bool:
        """Join a state that a peer gave and return whether anything in force changed."""
        return self._replica.adopt(state)

    def records_from(self, offset: int) -> tuple[Mapping[str, Any], ...] | None:
        """Return the kept records from an offset on, or None when they are kept no longer."""
        return self._replica.records_from(offset)
