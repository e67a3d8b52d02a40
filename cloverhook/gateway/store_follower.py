"""Follows the feeds of the store for as long as this VM is the one to read.

Layer: coordination.  A feed is read whole once and then by its changes.  The wait for changes of
the configuration is short enough that a store which has gone silent is noticed before a change is
overdue; the other feed then asks anew at once.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from cloverhook.clock import monotonic_ms
from cloverhook.errors import PlatformError
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.evacuation import Evacuations
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.store import Feed, FeedSlice, HistoryLostError, Store
from cloverhook.gateway.supervision import run_with_restarts
from cloverhook.gateway.versions import era_of, offset_of, version_of

__all__ = ["POLL_GAP_MS", "POLL_GAP_DRAIN_RATIO", "StoreFollower", "offsets_to_versions"]

WAIT_MS = {Feed.CONFIG: 1_200, Feed.SERVERS: 1_000}
"""Each call is paid for.  A silent store shows after the shorter wait and the client's timeout, and
a slow one may leave a waiting call without a record that is there until the wait ends."""
POLL_GAP_MS = 200.0
"""Changes that come within this time are taken in one call: calls are paid for."""
POLL_GAP_DRAIN_RATIO = 0.1
"""The feed of backend servers is read more seldom where one that leaves serves for longer.  A
vanished entry is used for most of that time, so that little is left for a pause."""
RETRY_MS = (100.0, 200.0, 400.0, 600.0)
PROMPT_MS = 100.0
"""What comes sooner after a call was there before it; what comes later is new."""
AWAY_MS = 400.0
"""A store that answers nobody for this long has been away: entries may lapse meanwhile."""


class StoreFollower:
    """Reads the store and puts what it finds into `GatewayState`.

    `on_change` is called after each change with the names that it touched, and with the registry's
    version before it.  There are no names for a change of the configuration or of evacuations, nor
    after a whole list, which doesn't say what has changed.
    """

    def __init__(
        self,
        store: Store,
        knowledge: GatewayState,
        on_change: Callable[[tuple[str, ...], int], None],
        log: EventLog,
        counters: Counters,
    ) -> None:
        self._store = store
        self._knowledge = knowledge
        self._on_change = on_change
        self._log = log
        self._counters = counters
        self._tasks: dict[Feed, asyncio.Task[None]] = {}
        self._offsets: dict[Feed, int] = {}
        self._eras: dict[Feed, int] = {}
        self._read_era = 0
        self._answers: dict[Feed, bool] = {}
        self._failing_since_ms: dict[Feed, float] = {}
        self._only_first = False

    @property
    def active(self) -> bool:
        """Whether this VM follows the store, or tries to."""
        return bool(self._tasks) and not self._only_first

    @property
    def reading(self) -> bool:
        """Whether every feed has answered the latest call of a VM that follows the store."""
        return self.active and all(self._answers.get(feed, False) for feed in Feed)

    def read_initial_state(self) -> None:
        """Read until there is enough to serve by, and stop: this VM is not one that follows.

        After a loss of power all VMs do so at once: if each followed the store until it had heard
        of two others that do, all would call it and announce themselves as readers meanwhile.
        """
        if not self._tasks:
            self._only_first = True
            self._begin("read first")

    def start(self) -> None:
        """Begin to follow the store."""
        for task in self._tasks.values():
            task.cancel()
        self._only_first = False
        self._begin("start")

    def _begin(self, action: str) -> None:
        self._answers.clear()
        self._offsets.clear()
        if not self._only_first:
            self._knowledge.registry.position.assume_last_change()
            self._go_on_from(Feed.SERVERS, self._knowledge.registry.as_of)
            self._go_on_from(Feed.CONFIG, self._knowledge.config_as_of)
        for feed in Feed:
            self._ask(feed)
        self._log.note(EventKind.READER, action=action, registry=self._knowledge.registry.version)

    def _go_on_from(self, feed: Feed, as_of: int) -> None:
        """Read a feed from where this VM knows it, by its own reading or by another's word."""
        if as_of >= 0:
            self._offsets[feed], self._eras[feed] = offset_of(as_of) + 1, era_of(as_of)

    def stop(self, reason: str) -> None:
        """Stop reading."""
        if not self._tasks:
            return
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._answers.clear()
        self._failing_since_ms.clear()
        self._log.note(EventKind.READER, action="stop", reason=reason)

    def _ask(self, feed: Feed) -> None:
        """Follow a feed from what has been read of it; a call that waits is given up."""
        waiting = self._tasks.get(feed)
        if waiting is not None:
            waiting.cancel()
        work = run_with_restarts(lambda: self._follow(feed), f"following {feed.value}", self._log)
        self._tasks[feed] = asyncio.create_task(work)

    async def _follow(self, feed: Feed) -> None:
        failures = 0
        while True:
            if self._only_first and self._knowledge.can_serve:
                self.stop("enough to serve by")
                return
            offset = self._offsets.get(feed)
            asked_ms = monotonic_ms()
            try:
                if offset is None:
                    found = await self._store.newest(feed)
                else:
                    # Others rely on a VM that has had an answer: the first call doesn't wait.
                    wait_ms = WAIT_MS[feed] if self._answers.get(feed) else 0
                    found = await self._store.changes(feed, offset, wait_ms)
            except HistoryLostError:
                self._log.note(
                    EventKind.STORE, feed=feed.value, state="history-lost", offset=offset
                )
                del self._offsets[feed]
                continue
            except PlatformError as error:
                self._failed(feed, error)
                await asyncio.sleep(RETRY_MS[min(failures, len(RETRY_MS) - 1)] / 1000)
                failures += 1
                continue
            failures = 0
            self._answered(feed)
            era = self._era_of(feed, found)
            if offset is not None and era != self._eras[feed]:
                self._offsets.pop(feed, None)  # Another record has that offset now.
                continue
            if era >= self._knowledge.store_era:
                waited = monotonic_ms() - asked_ms > PROMPT_MS
                self._take(feed, offsets_to_versions(found, era), offset is None, waited)
                self._offsets[feed], self._eras[feed] = found.end_offset, era
            await asyncio.sleep(self._gap_ms(feed) / 1000)

    def _era_of(self, feed: Feed, found: FeedSlice) -> int:
        """Return the era of an answer, and begin with it where it is a later one.

        An answer that tells none is taken to be of the era known.  One of an earlier era comes from
        a copy, or was under way: the caller leaves it out.
        """
        known = self._knowledge.store_era
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
                self._knowledge.begin_store_era(found.era, monotonic_ms())
                self._log.note(EventKind.STORE, feed=feed.value, state="new-era", era=found.era)
                self._begin_again(feed)
        return found.era

    def _begin_again(self, noticed: Feed) -> None:
        """Have the other feeds read whole too: a call may wait at an offset that is gone."""
        for feed in Feed:
            if feed is not noticed and feed in self._tasks:
                self._offsets.pop(feed, None)
                self._ask(feed)

    def _gap_ms(self, feed: Feed) -> float:
        """Return the pause before the next call for a feed."""
        if feed is Feed.CONFIG:
            return POLL_GAP_MS
        return max(POLL_GAP_MS, POLL_GAP_DRAIN_RATIO * self._knowledge.drain_ms)

    def _take(self, feed: Feed, found: FeedSlice, whole: bool, waited: bool) -> None:
        now_ms = monotonic_ms()
        knowledge = self._knowledge
        base_version = knowledge.registry.version
        for record in found.unreadable:
            self._log.note(EventKind.STORE, feed=feed.value, state="unreadable", record=record)
        if feed is Feed.CONFIG:
            changed = self._take_config(found, now_ms) | self._take_evacuations(found, whole)
            knowledge.config_as_of = max(knowledge.config_as_of, found.end_offset - 1)
            if changed:
                self._on_change((), base_version)
            return
        if whole:
            touched = knowledge.apply_server_list(
                found.servers, found.end_offset, now_ms, follows_store=not self._only_first
            )
            if touched:
                self._log.note(
                    EventKind.SERVER,
                    version=knowledge.registry.as_of,
                    source="store",
                    whole=True,
                    touched=touched[:8],
                    digest=knowledge.registry.digest(),
                )
                self._on_change((), base_version)
            return
        touched = [
            record.name
            for record in found.servers
            if knowledge.apply_server_record(record, now_ms, from_long_poll=waited)
        ]
        knowledge.registry.position.advance_to(found.end_offset - 1)
        knowledge.registry.position.confirm_current(found.end_offset - 1, now_ms)
        if touched:
            self._on_change(tuple(touched), base_version)

    def _take_config(self, found: FeedSlice, now_ms: float) -> bool:
        knowledge = self._knowledge
        taken = [config for config in found.configs if knowledge.apply_config(config, now_ms)]
        if taken:
            self._log.note(EventKind.CONFIG, version=knowledge.config_version, source="store")
        return bool(taken)

    def _take_evacuations(self, found: FeedSlice, whole: bool) -> bool:
        """Take the evacuations; return whether peers should hear of them."""
        knowledge = self._knowledge
        if whole:
            after = Evacuations.from_records(found.end_offset - 1, found.evacuations)
        else:
            after = knowledge.evacuations.with_records(found.evacuations)
        revoked = frozenset(item.data_center for item in found.evacuations if not item.is_evacuated)
        if not knowledge.apply_evacuations(after, monotonic_ms(), revoked):
            return False
        held = sorted(knowledge.evacuated() - after.data_centers)
        self._log.note(EventKind.EVACUATION, **after.to_document(), held=held, source="store")
        return True

    def _answered(self, feed: Feed) -> None:
        since_ms = self._failing_since_ms.pop(feed, None)
        if since_ms is not None:
            now_ms = monotonic_ms()
            if now_ms - since_ms > AWAY_MS:
                self._knowledge.record_store_recovery(now_ms)
            away_ms = round(now_ms - since_ms)
            self._log.note(EventKind.STORE, feed=feed.value, state="regained", away_ms=away_ms)
        self._answers[feed] = True
        self._counters.add("store_calls", feed=feed.value, answered="yes")

    def _failed(self, feed: Feed, error: PlatformError) -> None:
        if feed not in self._failing_since_ms:
            self._failing_since_ms[feed] = monotonic_ms()
            self._log.note(EventKind.STORE, feed=feed.value, state="lost", error=str(error))
            if feed is Feed.CONFIG:
                self._ask(Feed.SERVERS)
        self._answers[feed] = False
        self._counters.add("store_calls", feed=feed.value, answered="no")


def offsets_to_versions(found: FeedSlice, era: int) -> FeedSlice:
    """Return an answer of the store with versions in place of offsets."""
    return replace(
        found,
        servers=tuple(replace(item, offset=version_of(era, item.offset)) for item in found.servers),
        evacuations=tuple(
            replace(item, offset=version_of(era, item.offset)) for item in found.evacuations
        ),
        end_offset=version_of(era, found.end_offset - 1) + 1,
    )
