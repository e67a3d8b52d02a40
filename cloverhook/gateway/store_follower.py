"""Follows the feeds of the store for as long as this VM is one of its readers.

Layer: coordination.  A feed is read in full once and then by its changes.  The wait for changes of
the configuration is short enough that a store that has gone silent is noticed before a change is
overdue; the other feed then repeats its call at once.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from cloverhook.clock import monotonic_ms
from cloverhook.errors import PlatformError
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.evacuation import Evacuations
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.store import Feed, FeedSlice, HistoryLostError, Store
from cloverhook.gateway.supervision import run_with_restarts
from cloverhook.gateway.versions import era_of, offset_of, version_of

__all__ = ["POLL_GAP_MS", "POLL_GAP_DRAIN_RATIO", "StoreFollower", "offsets_to_versions"]

WAIT_MS = 1_000
"""How long a call waits for changes.  Each call is paid for.  A silent store is noticed after this
time plus the client's timeout, and a slow store may not return an existing record to a waiting call
until the wait ends.  The state of all VMs is confirmed as often as a call ends."""
POLL_GAP_MS = 200.0
"""Changes that are made within this time are read by one call, because calls are paid for."""
POLL_GAP_DRAIN_RATIO = 0.1
"""The pause as a share of the drain time: the feed of backend servers is read less often where one
that leaves serves for longer.  A vanished entry stays in use for most of that time, so that little
is left for a pause."""
RETRY_MS = (100.0, 200.0, 400.0, 600.0)
STORE = "store"
"""The source of what this VM has read itself, in log lines."""


class StoreFollower:
    """Reads the store and applies what it finds to `GatewayState`.

    `on_change` is called after each change with the names of the changed backend servers and the
    registry's version before the change.  There are no names for a change of the configuration or
    of evacuations, nor after a full snapshot, which doesn't show what has changed.
    """

    def __init__(
        self,
        store: Store,
        gateway_state: GatewayState,
        on_change: Callable[[tuple[str, ...], int], None],
        on_confirmed: Callable[[], None],
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Set up without any call.

        `on_confirmed` is called with each answer to a call of a VM that follows the store.
        """
        self._store = store
        self._gateway_state = gateway_state
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._log = log
        self._counters = counters
        self._tasks: dict[Feed, asyncio.Task[None]] = {}
        self._offsets: dict[Feed, int] = {}
        self._eras: dict[Feed, int] = {}
        self._read_era = 0
        self._answered: dict[Feed, bool] = {}
        self._read_as_of_ms: dict[Feed, float] = {}
        self._failing_since_ms: dict[Feed, float] = {}
        self._initial_only = False

    @property
    def active(self) -> bool:
        """Whether this VM follows the store, or tries to do so."""
        return bool(self._tasks) and not self._initial_only

    @property
    def reading(self) -> bool:
        """Whether this VM follows the store, and the latest call for each feed was answered."""
        return self.active and all(self._answered.get(feed, False) for feed in Feed)

    def read_initial_state(self) -> None:
        """Read the store until there is enough data to serve requests, without following it.

        After a loss of power all VMs do so at once: if each followed the store until it had
        heartbeats from two other readers, all VMs would call the store and announce themselves as
        readers in the meantime.
        """
        if not self._tasks:
            self._initial_only = True
            self._begin("read first")

    def start(self) -> None:
        """Start to follow the store."""
        for task in self._tasks.values():
            task.cancel()
        self._initial_only = False
        self._begin("start")

    def _begin(self, action: str) -> None:
        self._answered.clear()
        self._offsets.clear()
        self._read_as_of_ms.clear()
        if not self._initial_only:
            self._gateway_state.registry.position.assume_last_change()
            for feed in Feed:
                self._resume_from(feed, self._known_as_of(feed))
        for feed in Feed:
            self._follow_feed(feed)
        self._log.note(
            EventKind.READER, action=action, registry=self._gateway_state.registry.version
        )

    def _resume_from(self, feed: Feed, as_of: int) -> None:
        """Read a feed on from the position known here, by own reading or from a peer's report."""
        if as_of >= 0:
            self._offsets[feed], self._eras[feed] = offset_of(as_of) + 1, era_of(as_of)

    def stop(self, reason: str) -> None:
        """Stop reading."""
        if not self._tasks:
            return
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._answered.clear()
        self._failing_since_ms.clear()
        self._log.note(EventKind.READER, action="stop", reason=reason)

    def _follow_feed(self, feed: Feed) -> None:
        """Follow a feed from the position it has been read up to; a waiting call is cancelled."""
        pending = self._tasks.get(feed)
        if pending is not None:
            pending.cancel()
        work = run_with_restarts(lambda: self._follow(feed), f"following {feed.value}", self._log)
        self._tasks[feed] = asyncio.create_task(work)

    async def _follow(self, feed: Feed) -> None:
        failures = 0
        while True:
            if self._initial_only and self._gateway_state.can_serve:
                self.stop("enough to serve by")
                return
            offset = self._offsets.get(feed)
            called_ms = monotonic_ms()
            wait_ms = self._wait_ms(feed, called_ms)
            try:
                if offset is None:
                    found = await self._store.newest(feed)
                else:
                    found = await self._store.changes(feed, offset, wait_ms)
            except HistoryLostError:
                self._log.note(
                    EventKind.STORE, feed=feed.value, state="history-lost", offset=offset
                )
                del self._offsets[feed]
                continue
            except PlatformError as error:
                self._record_failure(feed, error)
                await asyncio.sleep(RETRY_MS[min(failures, len(RETRY_MS) - 1)] / 1000)
                failures += 1
                continue
            failures = 0
            self._record_answer(feed)
            era = self._era_of(feed, found)
            if offset is not None and era != self._eras[feed]:
                self._offsets.pop(feed, None)  # The offset belongs to another record now.
                continue
            if era >= self._gateway_state.store_era:
                took_ms = monotonic_ms() - called_ms
                waited_in_vain = found.end_offset == offset and took_ms >= wait_ms
                as_of_ms = called_ms + wait_ms if waited_in_vain else called_ms
                self._apply(
                    feed,
                    offsets_to_versions(found, era),
                    as_of_ms,
                    whole=offset is None,
                )
                self._offsets[feed], self._eras[feed] = found.end_offset, era
                if found.is_complete:
                    self._read_as_of_ms[feed] = as_of_ms
                    self._on_confirmed()
            await asyncio.sleep(self._poll_gap_ms(feed) / 1000)

    def _wait_ms(self, feed: Feed, now_ms: float) -> int:
        """Return how long the next call for a feed may wait for changes.

        Peers rely on a VM that has had an answer, so the first call doesn't wait.  A change that
        ended the wait of a call shows only that nothing else was written before that call, so the
        next call is the shorter the longer ago that was.
        """
        if not self._answered.get(feed) or feed not in self._read_as_of_ms:
            return 0
        return max(0, min(WAIT_MS, round(self._read_as_of_ms[feed] + WAIT_MS - now_ms)))

    async def refresh(self, feed: Feed) -> None:
        """Read what is new in a feed, without waiting, whether this VM follows the store or not.

        Raises `PlatformError` if there is no answer, or if one lacks records that the log has.
        """
        as_of = self._known_as_of(feed)
        is_whole = as_of < 0
        while True:
            called_ms = monotonic_ms()
            try:
                if is_whole:
                    found = await self._store.newest(feed)
                else:
                    found = await self._store.changes(feed, offset_of(as_of) + 1, 0)
            except HistoryLostError:
                is_whole = True
                continue
            era = self._era_of(feed, found)
            if not is_whole and era != era_of(as_of):
                is_whole = True  # The offset belongs to another record now.
                continue
            if era >= self._gateway_state.store_era:
                self._apply(feed, offsets_to_versions(found, era), called_ms, whole=is_whole)
            if found.is_complete:
                return
            read_to = version_of(era, found.end_offset - 1)
            if not is_whole and read_to <= as_of:
                raise PlatformError(f"{feed.value}: the answer lacks records that the log has")
            as_of, is_whole = read_to, False

    def _known_as_of(self, feed: Feed) -> int:
        """Return the position up to which a feed is known, by own reading or a peer's report."""
        if feed is Feed.CONFIG:
            return self._gateway_state.config_as_of
        return self._gateway_state.registry.as_of

    def _era_of(self, feed: Feed, found: FeedSlice) -> int:
        """Return the era of an answer, and switch to that era if it is a later one.

        An answer without an era is taken to be of the known era.  An answer of an earlier era comes
        from a copy, or was already under way: the caller ignores it.
        """
        known = self._gateway_state.store_era
        if found.era is None:
            if known:
                self._log.note(EventKind.STORE, feed=feed.value, state="no-era", era=known)
            return known
        if found.era < known:
            self._log.note(
                EventKind.STORE, feed=feed.value, state="older-era", era=found.era, known=known
            )
        elif found.era > self._read_era:
            first = not self._read_era
            self._read_era = found.era
            if not first or known:
                self._gateway_state.begin_store_era(found.era, monotonic_ms())
                self._log.note(EventKind.STORE, feed=feed.value, state="new-era", era=found.era)
                self._reread_other_feeds(feed)
        return found.era

    def _reread_other_feeds(self, source_feed: Feed) -> None:
        """Have the other feeds read in full too: a call may wait at an offset that is gone."""
        for feed in Feed:
            if feed is not source_feed and feed in self._tasks:
                self._offsets.pop(feed, None)
                self._follow_feed(feed)

    def _poll_gap_ms(self, feed: Feed) -> float:
        """Return the pause before the next call for a feed."""
        if feed is Feed.CONFIG:
            return POLL_GAP_MS
        return max(POLL_GAP_MS, POLL_GAP_DRAIN_RATIO * self._gateway_state.drain_ms)

    def _apply(self, feed: Feed, found: FeedSlice, as_of_ms: float, whole: bool) -> None:
        """Apply an answer; a complete one holds everything that was written before `as_of_ms`."""
        now_ms = monotonic_ms()
        gateway_state = self._gateway_state
        base_version = gateway_state.registry.version
        for record in found.unreadable:
            self._log.note(EventKind.STORE, feed=feed.value, state="unreadable", record=record)
        if feed is Feed.CONFIG:
            changed = self._apply_config(found, now_ms) | self._apply_evacuations(found, whole)
            gateway_state.config_as_of = max(gateway_state.config_as_of, found.end_offset - 1)
            if found.is_complete:
                gateway_state.confirm_config(gateway_state.config_versions, as_of_ms, STORE)
            if changed:
                self._on_change((), base_version)
            return
        if whole:
            touched = gateway_state.apply_server_list(
                found.servers, found.end_offset, now_ms, self.active, as_of_ms
            )
            if touched:
                self._log.note(
                    EventKind.SERVER,
                    version=gateway_state.registry.as_of,
                    source="store",
                    whole=True,
                    touched=touched[:8],
                    digest=gateway_state.registry.digest(),
                )
                self._on_change((), base_version)
            return
        touched = [
            record.name
            for record in found.servers
            if gateway_state.apply_server_record(record, now_ms)
        ]
        gateway_state.registry.position.advance_to(found.end_offset - 1)
        if found.is_complete:
            gateway_state.registry.position.confirm_current(found.end_offset - 1, as_of_ms, STORE)
        if touched:
            self._on_change(tuple(touched), base_version)

    def _apply_config(self, found: FeedSlice, now_ms: float) -> bool:
        gateway_state = self._gateway_state
        taken = [config for config in found.configs if gateway_state.apply_config(config, now_ms)]
        if taken:
            self._log.note(EventKind.CONFIG, version=gateway_state.config_version, source="store")
        return bool(taken)

    def _apply_evacuations(self, found: FeedSlice, whole: bool) -> bool:
        """Apply the evacuations; return whether peers should be notified of them."""
        gateway_state = self._gateway_state
        if whole:
            after = Evacuations.from_records(found.end_offset - 1, found.evacuations)
        else:
            after = gateway_state.evacuations.with_records(found.evacuations)
        revoked = frozenset(item.data_center for item in found.evacuations if not item.is_evacuated)
        if not gateway_state.apply_evacuations(after, monotonic_ms(), revoked):
            return False
        held = sorted(gateway_state.evacuated() - after.data_centers)
        self._log.note(EventKind.EVACUATION, **after.to_document(), held=held, source="store")
        return True

    def _record_answer(self, feed: Feed) -> None:
        since_ms = self._failing_since_ms.pop(feed, None)
        if since_ms is not None:
            away_ms = round(monotonic_ms() - since_ms)
            self._log.note(EventKind.STORE, feed=feed.value, state="regained", away_ms=away_ms)
        self._answered[feed] = True
        self._counters.add("store_calls", feed=feed.value, answered="yes")

    def _record_failure(self, feed: Feed, error: PlatformError) -> None:
        if feed not in self._failing_since_ms:
            self._failing_since_ms[feed] = monotonic_ms()
            self._log.note(EventKind.STORE, feed=feed.value, state="lost", error=str(error))
            if feed is Feed.CONFIG:
                self._follow_feed(Feed.SERVERS)
        self._answered[feed] = False
        self._counters.add("store_calls", feed=feed.value, answered="no")


def offsets_to_versions(found: FeedSlice, era: int) -> FeedSlice:
    """Return an answer of the store with its offsets replaced by versions."""
    return replace(
        found,
        servers=tuple(replace(item, offset=version_of(era, item.offset)) for item in found.servers),
        evacuations=tuple(
            replace(item, offset=version_of(era, item.offset)) for item in found.evacuations
        ),
        end_offset=version_of(era, found.end_offset - 1) + 1,
    )
