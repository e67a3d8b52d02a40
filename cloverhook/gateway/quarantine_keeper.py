"""Keeps the requests in quarantine in the store, for VMs that start when nobody can tell them.

Layer: coordination.  VMs tell each other what is held against requests, and a newcomer is told by
its neighbours.  When all VMs lose power at once, only the store still knows.  The VM that puts a
request into quarantine, or clears one, writes them all down; each VM that starts reads them once.
"""

import asyncio

from cloverhook.clock import monotonic_ms, wall_ms
from cloverhook.errors import PlatformError
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.peer_messages import CrashRecord
from cloverhook.gateway.quarantine import Quarantine
from cloverhook.gateway.store import QuarantineRecord, Store

__all__ = ["QuarantinePersistence"]

RECORDS_LIMIT = 200
GATHER_MS = 100.0
"""Requests that crash endpoints often come in numbers; one call writes down all of them."""
RETRY_MS = (300.0, 600.0, 1_200.0, 2_400.0, 5_000.0)
READS_LIMIT = 20
"""Where the store stays away for that long, the VM has met the others or learns by itself."""


class QuarantinePersistence:
    """The way of the quarantine to the store and back."""

    def __init__(self, store: Store, quarantine: Quarantine, log: EventLog) -> None:
        self._store = store
        self._quarantine = quarantine
        self._log = log
        self._changed = asyncio.Event()

    def mark_changed(self) -> None:
        """Note that there is something to write down."""
        self._changed.set()

    async def write(self) -> None:
        """Write down each change, until cancelled."""
        failures = 0
        while True:
            await self._changed.wait()
            await asyncio.sleep(GATHER_MS / 1000)
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
        """Take what VMs that are gone have written down."""
        for failures in range(READS_LIMIT):
            try:
                found = await self._store.load_quarantine()
            except PlatformError as error:
                self._note("lost", error=str(error))
                await asyncio.sleep(_retry_ms(failures) / 1000)
                continue
            for fault in found.unreadable:
                self._note("unreadable", record=fault)
            self._take(found.records)
            return

    def _take(self, records: tuple[QuarantineRecord, ...]) -> None:
        now_ms, unix_ms = monotonic_ms(), wall_ms()
        valid = [item for item in records[:RECORDS_LIMIT] if item.until_unix_ms > unix_ms]
        for item in valid:
            suspicion = CrashRecord(item.key, item.crashes, item.until_unix_ms - unix_ms)
            self._quarantine.apply_update("", suspicion, now_ms)
        if valid:
            self._log.note(EventKind.QUARANTINE, source="store", keys=len(valid))

    def _records(self) -> tuple[QuarantineRecord, ...]:
        now_ms, unix_ms = monotonic_ms(), wall_ms()
        barred = self._quarantine.quarantined(now_ms)[:RECORDS_LIMIT]
        return tuple(
            QuarantineRecord(item.key, item.crashes, round(unix_ms + item.hold_ms))
            for item in barred
        )

    def _note(self, state: str, **fields: str) -> None:
        self._log.note(EventKind.STORE, feed="quarantine", state=state, **fields)


def _retry_ms(failures: int) -> float:
    return RETRY_MS[min(failures, len(RETRY_MS) - 1)]
