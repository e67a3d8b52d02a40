"""The interface to the platform's store, reduced to what the gateway needs.

Layer: protocol.  A feed is a stream of records that each replace an earlier one of the same key.
`MemoryStore` keeps everything in this process, for tests; the adapter of a platform provides the
real implementation.

A call raises `PlatformError` if it had no effect or was refused, and `PlatformSilentError` if it is
unknown whether it had its effect.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from cloverhook.errors import CloverhookError
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.evacuation import Evacuation
from cloverhook.gateway.routes import GatewayConfig

__all__ = [
    "Feed",
    "FeedSlice",
    "HistoryLostError",
    "MemberList",
    "MemberRecord",
    "MemoryStore",
    "QuarantineList",
    "QuarantineRecord",
    "Store",
]


class Feed(Enum):
    """The feeds of the store; evacuations are part of the configuration feed."""

    CONFIG = "config"
    SERVERS = "servers"


class HistoryLostError(CloverhookError):
    """The records from the requested offset on are no longer kept: read the newest ones instead."""


@dataclass(frozen=True, slots=True)
class FeedSlice:
    """Records of a feed, up to `end_offset`.

    They are configurations and evacuations, or records of backend servers.
    `era` counts how often the store has been restored from an older copy, after which it assigns
    the same offsets again; it is None where the answer doesn't contain it.
    `unreadable` names the invalid records, with the reason.  An invalid record of a backend server
    is among `servers` too, as a record without a server.  `is_complete` is False if the log went on
    after `end_offset` when the answer was made, as an answer is limited in size.
    """

    configs: tuple[GatewayConfig, ...]
    servers: tuple[ServerRecord, ...]
    end_offset: int
    unreadable: tuple[str, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    era: int | None = None
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class MemberList:
    """The VMs that have announced themselves, and the invalid records, with the reason."""

    members: tuple["MemberRecord", ...]
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A VM of the fleet as it announces itself; its addresses have the form `ip:port`."""

    vm: str
    data_center: str
    caller_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """A request in quarantine, identified by its key, until a time in Unix milliseconds."""

    key: int
    crashes: int
    until_unix_ms: int


@dataclass(frozen=True, slots=True)
class QuarantineList:
    """The requests in quarantine, and the records of them that can't be read, with the reason."""

    records: tuple[QuarantineRecord, ...]
    unreadable: tuple[str, ...] = ()


class Store(Protocol):
    """The operations of the platform's store that the gateway needs."""

    async def newest(self, feed: Feed) -> FeedSlice:
        """Return the newest record of each key."""

    async def changes(self, feed: Feed, from_offset: int, wait_ms: int) -> FeedSlice:
        """Return the records from an offset on; if there are none, wait up to `wait_ms` for one.

        Raises `HistoryLostError` if they are no longer kept.
        """

    async def announce(self, member: MemberRecord) -> None:
        """Save the record of this VM, so that others can find it."""

    async def members(self) -> MemberList:
        """Return all VMs that have announced themselves, including those long gone."""

    async def save_quarantine(self, records: tuple[QuarantineRecord, ...]) -> None:
        """Save the requests in quarantine, in place of those saved before."""

    async def load_quarantine(self) -> QuarantineList:
        """Return the requests in quarantine that were saved last."""

    def close(self) -> None:
        """Release the connections."""


class MemoryStore:
    """A store in the memory of this process."""

    def __init__(self) -> None:
        self.log: dict[Feed, list[GatewayConfig | ServerRecord | Evacuation]] = {
            feed: [] for feed in Feed
        }
        self.first_offset: dict[Feed, int] = dict.fromkeys(Feed, 0)
        self.announced: dict[str, MemberRecord] = {}
        self.quarantined: tuple[QuarantineRecord, ...] = ()
        self.failure: CloverhookError | None = None
        self.calls = 0
        self.era: int | None = 1
        self._changed = asyncio.Event()

    def put_config(self, config: GatewayConfig) -> None:
        """Append a configuration."""
        self._append(Feed.CONFIG, config)

    def evacuate(self, data_center: str, wanted: bool = True) -> None:
        """Append the evacuation of a data centre, or its end where it is not `wanted`."""
        self._append(Feed.CONFIG, Evacuation(data_center, self._end(Feed.CONFIG), wanted))

    def put_server(self, server: BackendServer) -> None:
        """Append the entry of a backend server."""
        offset = self._end(Feed.SERVERS)
        self._append(Feed.SERVERS, ServerRecord(server.name, offset, server))

    def remove_server(self, name: str) -> None:
        """Append the removal of a backend server."""
        offset = self._end(Feed.SERVERS)
        self._append(Feed.SERVERS, ServerRecord(name, offset, None))

    def restore_older_copy(self, lost: dict[Feed, int]) -> None:
        """Replace the data by an older copy that lacks the last records of each feed.

        `lost` holds the number of these records for each feed.
        """
        for feed, count in lost.items():
            kept = max(0, len(self.log[feed]) - count)
            del self.log[feed][kept:]
        self.quarantined, self.announced = (), {}
        self.era = (self.era or 0) + 1
        self._changed.set()

    def compact(self) -> None:
        """Drop all records that newer ones have replaced."""
        for feed in Feed:
            self.first_offset[feed] = self._end(feed)

    async def newest(self, feed: Feed) -> FeedSlice:
        """Return the newest record of each key."""
        self._call()
        if feed is Feed.CONFIG:
            configs, evacuations = _split_by_type(self.log[feed])
            newest_of = {item.data_center: item for item in evacuations}
            wanted = tuple(item for item in newest_of.values() if item.is_evacuated)
            return FeedSlice(configs[-1:], (), self._end(feed), evacuations=wanted, era=self.era)
        newest = {record.name: record for record in self.log[feed]}
        kept = tuple(record for record in newest.values() if record.server is not None)
        return FeedSlice((), kept, self._end(feed), era=self.era)

    async def changes(self, feed: Feed, from_offset: int, wait_ms: int) -> FeedSlice:
        """Return the records from an offset on; if there are none, wait up to `wait_ms` for one."""
        self._call()
        self._check_kept(feed, from_offset)
        if self._end(feed) <= from_offset:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._call(count=0)
        self._check_kept(feed, from_offset)
        found = tuple(self.log[feed][from_offset:])
        if feed is Feed.CONFIG:
            configs, evacuations = _split_by_type(found)
            return FeedSlice(configs, (), self._end(feed), evacuations=evacuations, era=self.era)
        return FeedSlice((), found, self._end(feed), era=self.era)

    async def announce(self, member: MemberRecord) -> None:
        """Save the record of a VM."""
        self._call()
        self.announced[member.vm] = member

    async def members(self) -> MemberList:
        """Return the VMs that have announced themselves."""
        self._call()
        return MemberList(tuple(self.announced.values()))

    async def save_quarantine(self, records: tuple[QuarantineRecord, ...]) -> None:
        """Save the requests in quarantine."""
        self._call()
        self.quarantined = records

    async def load_quarantine(self) -> QuarantineList:
        """Return the requests in quarantine that were saved last."""
        self._call()
        return QuarantineList(self.quarantined)

    def close(self) -> None:
        """Do nothing: there is nothing to release."""

    def _append(self, feed: Feed, item: GatewayConfig | ServerRecord | Evacuation) -> None:
        self.log[feed].append(item)
        self._changed.set()

    def _check_kept(self, feed: Feed, offset: int) -> None:
        if not self.first_offset[feed] <= offset <= self._end(feed):
            raise HistoryLostError

    def _end(self, feed: Feed) -> int:
        return len(self.log[feed])

    def _call(self, count: int = 1) -> None:
        self.calls += count
        if self.failure is not None:
            raise self.failure


def _split_by_type(
    items: Iterable[GatewayConfig | Evacuation],
) -> tuple[tuple[GatewayConfig, ...], tuple[Evacuation, ...]]:
    """Return the configurations and the evacuations among the records of one feed."""
    kept = tuple(items)
    return (
        tuple(item for item in kept if isinstance(item, GatewayConfig)),
        tuple(item for item in kept if isinstance(item, Evacuation)),
    )
