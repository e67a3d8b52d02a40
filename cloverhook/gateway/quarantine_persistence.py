"""Persists the requests in quarantine in the store, for VMs that start when no peer has the data.

Layer: coordination.  VMs exchange their crash records of requests, and a new VM gets them from its
neighbours.  If all VMs lose power at once, only the store still has the data.  The VM that
puts a request into quarantine, or clears one, writes all requests in quarantine to the store; each
VM that starts reads them once.
"""

import asyncio

from cloverhook.clock import monotonic_ms, wall_ms
from cloverhook.errors import PlatformError
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.peer_rows import CrashRecord
from cloverhook.gateway.quarantine import Quarantine
from cloverhook.gateway.store import QuarantineRecord, Store

__all__ = ["QuarantinePersistence"]

RECORDS_LIMIT = 200
BATCH_DELAY_MS = 100.0
"""Requests that crash endpoints often come in numbers; after this delay one call to the store
writes all of them."""
RETRY_MS = (300.0, 600.0, 1_200.0, 2_400.0, 5_000.0)
READ_ATTEMPTS_LIMIT = 20
"""If the store is unavailable for that many attempts, the VM has met its peers by then or finds the
requests to quarantine itself."""


class QuarantinePersistence:
    """Writes the quarantine to the store and reads it back."""

    def __init__(self, store: Store, quarantine: Quarantine, log: EventLog) -> None:
        self._store = store
        self._quarantine = quarantine
        self._log = log
        self._changed = asyncio.Event()

    def mark_changed(self) -> None:
        """Mark the quarantine as changed, so that it is written to the store."""
        self._changed.set()

    async def write(self) -> None:
        """Write the quarantine to the store after each change, until cancelled."""
        failures = 0
        while True:
            await self._changed.wait()
            await asyncio.sleep(BATCH_DELAY_MS / 1000)
            self._changed.clear()
            try:
                await self._store.save_quarantine(self._records())
            except PlatformError as error:
                self._note("lost", error=str(error))
                self._changed.set()
                await asyncio.sleep(_retry_ms(failures) / 1000)
                failures += 1
                continue
            failures = 0

    async def read(self) -> None:
        """Read the quarantine that other VMs have written to the store, and adopt it."""
        for failures in range(READ_ATTEMPTS_LIMIT):
            try:
                stored = await self._store.load_quarantine()
            except PlatformError as error:
                self._note("lost", error=str(error))
                await asyncio.sleep(_retry_ms(failures) / 1000)
                continue
            for fault in stored.unreadable:
                self._note("unreadable", record=fault)
            self._adopt(stored.records)
            return

    def _adopt(self, records: tuple[QuarantineRecord, ...]) -> None:
        now_ms, unix_ms = monotonic_ms(), wall_ms()
        valid = [item for item in records[:RECORDS_LIMIT] if item.until_unix_ms > unix_ms]
        for item in valid:
            record = CrashRecord(item.key, item.crashes, item.until_unix_ms - unix_ms)
            self._quarantine.apply_update("", record, now_ms)
        if valid:
            self._log.note(EventKind.QUARANTINE, source="store", keys=len(valid))

    def _records(self) -> tuple[QuarantineRecord, ...]:
        now_ms, unix_ms = monotonic_ms(), wall_ms()
        in_quarantine = self._quarantine.quarantined(now_ms)[:RECORDS_LIMIT]
        return tuple(
            QuarantineRecord(item.key, item.crashes, round(unix_ms + item.hold_ms))
            for item in in_quarantine
        )

    def _note(self, state: str, **fields: str) -> None:
        self._log.note(EventKind.STORE, feed="quarantine", state=state, **fields)


def _retry_ms(failures: int) -> float:
    return RETRY_MS[min(failures, len(RETRY_MS) - 1)]
