"""Reads the store when the lease on a part of the state runs out.

Layer: transport.  `RefreshSchedule` decides when.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.errors import PlatformError
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.freshness import Freshness
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.refresh_schedule import RefreshSchedule
from cloverhook.gateway.state_fetch import StateFetcher, StatePart
from cloverhook.gateway.store import Feed
from cloverhook.gateway.store_follower import StoreFollower

__all__ = ["StoreRefresher"]

PARTS = {Feed.CONFIG: StatePart.CONFIG, Feed.SERVERS: StatePart.SERVERS}


class StoreRefresher:
    """The calls by which this VM makes sure that its state is current, one for a feed at a time."""

    def __init__(
        self,
        schedule: RefreshSchedule,
        follower: StoreFollower,
        gateway_state: GatewayState,
        state_fetch: StateFetcher,
        report: Callable[[], None],
        log: EventLog,
        counters: Counters,
    ) -> None:
        """`report` tells the neighbours that the state of this VM is current."""
        self._schedule = schedule
        self._follower = follower
        self._gateway_state = gateway_state
        self._state_fetch = state_fetch
        self._report = report
        self._log = log
        self._counters = counters
        self._tasks: dict[Feed, asyncio.Task[None]] = {}

    def start_due(self, now_ms: float) -> None:
        """Start the calls that are due."""
        for feed in Feed:
            task = self._tasks.get(feed)
            if task is not None and not task.done():
                continue
            age_ms = self._freshness(feed).age_ms(now_ms)
            behind_ms = self._state_fetch.behind_ms(PARTS[feed], now_ms)
            if self._schedule.is_due(feed, age_ms, behind_ms, now_ms):
                work = self._refresh(feed, age_ms, behind_ms)
                self._tasks[feed] = asyncio.get_running_loop().create_task(work)

    def close(self) -> None:
        """Cancel the calls."""
        for task in self._tasks.values():
            task.cancel()

    async def _refresh(self, feed: Feed, age_ms: float, behind_ms: float) -> None:
        started_ms = monotonic_ms()
        error = ""
        try:
            await self._follower.refresh(feed)
        except PlatformError as failure:
            error = str(failure)
        now_ms = monotonic_ms()
        self._schedule.record_result(feed, not error, now_ms)
        self._counters.add("refreshes", feed=feed.value, answered="no" if error else "yes")
        self._log.note(
            EventKind.FRESHNESS,
            feed=feed.value,
            state="not-confirmed" if error else "confirmed",
            age_ms=round(min(age_ms, now_ms)),
            behind_ms=round(behind_ms),
            took_ms=round(now_ms - started_ms),
            error=error,
        )
        if not error and self._schedule.reports_result(now_ms):
            self._report()

    def _freshness(self, feed: Feed) -> Freshness:
        if feed is Feed.CONFIG:
            return self._gateway_state.config_freshness
        return self._gateway_state.registry.position.freshness
