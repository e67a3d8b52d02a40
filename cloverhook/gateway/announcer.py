"""Announces this VM in the store and reads which other VMs are announced there, when needed.

Layer: coordination.  `discovery` decides when that is; most VMs never have to.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.errors import PlatformError
from cloverhook.gateway.discovery import Discovery
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.store import MemberRecord, Store

__all__ = ["Announcer"]

CHECK_INTERVAL_MS = 200.0
RETRY_MS = 700.0


class Announcer:
    """Finds the other VMs through the store."""

    def __init__(
        self,
        own: MemberRecord,
        store: Store,
        discovery: Discovery,
        on_members: Callable[[tuple[MemberRecord, ...]], None],
        log: EventLog,
    ) -> None:
        """`on_members` is called with the VMs that the store knows."""
        self._own = own
        self._store = store
        self._discovery = discovery
        self._on_members = on_members
        self._log = log
        self.leaving = False

    async def run(self) -> None:
        """Check periodically whether the store is needed, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            if self.leaving or not self._discovery.should_announce(monotonic_ms()):
                continue
            try:
                await self._announce()
            except PlatformError as error:
                self._log.note(EventKind.STORE, feed="members", state="lost", error=str(error))
                await asyncio.sleep(RETRY_MS / 1000)

    async def _announce(self) -> None:
        await self._store.announce(self._own)
        found = await self._store.members()
        for record in found.unreadable:
            self._log.note(EventKind.STORE, feed="members", state="unreadable", record=record)
        self._on_members(found.members)
        self._discovery.announcement_stored()
        self._log.note(EventKind.STORE, feed="members", state="announced")
