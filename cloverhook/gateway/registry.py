"""The backend servers that are registered at this moment.

Layer: state.  An endpoint registers itself under a name.  It may start again under the same name:
each start is a new incarnation, identified by the time of the start.  Everything else that a
gateway knows is stored by incarnation, so that nothing known of an earlier one applies to the next.
The registry accepts records in any order and from any source: for each name the newest incarnation
wins, and for one incarnation the record with the highest offset.  An older record does not bring
back an entry that has been removed.

`LogPosition` keeps track of how far the store's log is known.

An entry that vanishes without having been draining is kept for a grace period: a registration may
expire because the store, not the backend server, is in trouble.  The same applies to an entry that
another writer overwrites with something that is not an entry.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import xxhash

from cloverhook.checking import Flag, Integer, Items, MapOf, Number, Table
from cloverhook.gateway.backend_server import SERVER_SCHEMA, BackendServer, ServerRecord
from cloverhook.gateway.grace_periods import OUTAGE_SHARE, GracePeriods
from cloverhook.gateway.log_position import LogPosition
from cloverhook.gateway.versions import era_of

__all__ = ["DRAIN_MS", "REGISTRY_DOCUMENT", "Registry"]

TOMBSTONES_LIMIT = 4_096
DRAIN_MS = 2_000.0


ROW = Table(
    {"offset": Integer(-1), "server": SERVER_SCHEMA, "left_ms": Number()},
    frozenset({"offset", "server"}),
)
DOCUMENT_FIELDS = {
    "version": Integer(-1),
    "whole": Flag(),
    "servers": Items(ROW),
    "gone": MapOf(Integer(-1)),
}
REGISTRY_DOCUMENT = Table(
    {
        **DOCUMENT_FIELDS,
        "last_sequences": MapOf(Integer()),
        "history_floor": Integer(-1),
        "as_of": Integer(-1),
    },
    frozenset(DOCUMENT_FIELDS),
)
"""The form in which peers exchange a registry, as `Registry.to_document` builds it."""


class Registry:
    """Backend servers by name, by incarnation and by service."""

    def __init__(self, drain_ms: float = DRAIN_MS) -> None:
        self.position = LogPosition(OUTAGE_SHARE * drain_ms)
        self._grace_periods = GracePeriods(drain_ms)
        self._servers: dict[str, BackendServer] = {}
        self._offsets: dict[str, int] = {}
        self._tombstones: dict[str, int] = {}
        self._last_sequences: dict[str, int] = {}
        self._changed_at: dict[str, int] = {}
        self._by_service: dict[str, tuple[BackendServer, ...]] = {}
        self._by_incarnation: dict[str, BackendServer] = {}
        self._born_ms: dict[str, int] = {}
        self._ended_incarnations: list[str] = []
        self._indexing = True
        self._digest: int | None = 0

    def __len__(self) -> int:
        return len(self._servers)

    @property
    def version(self) -> int:
        """The position of the last change in the store's log."""
        return self.position.version

    @property
    def as_of(self) -> int:
        """The position up to which everything in the store's log is known."""
        return self.position.as_of

    def get(self, incarnation: str) -> BackendServer | None:
        """Return a backend server that is registered or in its grace period."""
        return self._by_incarnation.get(incarnation)

    def servers(self) -> Iterable[BackendServer]:
        """Return all backend servers that are registered or in their grace period."""
        return self._servers.values()

    def of_service(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service that are registered or in their grace period."""
        return self._by_service.get(service, ())

    def digest(self) -> int:
        """Return a hash of the endpoints that requests may go to; equal where these are the same.

        An entry in its grace period doesn't count, because VMs drop it at different moments.
        """
        if self._digest is None:
            self._digest = 0
            for server in self._servers.values():
                if not server.draining and server.name not in self._grace_periods:
                    self._digest ^= xxhash.xxh32_intdigest(server.incarnation.encode())
        return self._digest

    def in_grace_period(self, server: BackendServer) -> bool:
        """Return whether an entry has vanished and is only kept for its grace period."""
        return server.name in self._grace_periods

    def apply(
        self,
        record: ServerRecord,
        now_ms: float,
        store_was_unavailable: bool,
        from_snapshot: bool = False,
    ) -> bool:
        """Apply a record; return whether anything but its offset has changed.

        `from_snapshot` says that the record is part of a full snapshot, which does not show when it
        was written.  `store_was_unavailable` says that the store was so until recently.
        """
        name, after = record.name, record.server
        known = max(self._offsets.get(name, -1), self._tombstones.get(name, -1))
        if record.offset <= known and not self._is_later_start(after):
            return False
        if after is None or self._lacks_its_start(after):
            return self._remove(name, record.offset, now_ms, store_was_unavailable)
        before = self._servers.get(name)
        if self._had_left(record, after, from_snapshot):
            return False
        self._enter_era(name, record.offset)
        if self._is_outdated(after, before):
            return False
        self._offsets[name] = max(record.offset, self._offsets.get(name, -1))
        self._tombstones.pop(name, None)
        self._last_sequences.pop(name, None)
        if after.born_ms is not None:
            self._born_ms[name] = after.born_ms
        returned = self._grace_periods.end(name)
        if before is not None and before.incarnation != after.incarnation:
            self._ended_incarnations.append(before.incarnation)
        elif before is not None and after.same_routing_as(before, now_ms) and not returned:
            self._servers[name] = replace(before, sequence=after.sequence)
            return False
        self._servers[name] = after
        self._record_change(name, record.offset)
        return True

    def apply_all(
        self, records: Iterable[ServerRecord], now_ms: float, store_was_unavailable: bool
    ) -> list[str]:
        """Apply the records of a snapshot; return the names of those that changed anything."""
        with self._index_once():
            return [
                item.name
                for item in records
                if self.apply(item, now_ms, store_was_unavailable, True)
            ]

    def _is_later_start(self, after: BackendServer | None) -> bool:
        """Return whether a record belongs to a later start than the registered entry.

        The record of the earlier start may have reached the store late, and so have the higher
        offset.
        """
        before = None if after is None else self._servers.get(after.name)
        if before is None or after.born_ms is None or before.born_ms is None:
            return False
        return after.born_ms > before.born_ms and after.name not in self._grace_periods

    def _lacks_its_start(self, server: BackendServer) -> bool:
        """Return whether an entry lacks the start time that earlier entries of its name had.

        Such an entry comes from another writer.
        """
        return server.born_ms is None and server.name in self._born_ms

    def _is_outdated(self, after: BackendServer, before: BackendServer | None) -> bool:
        """Return whether a report is late: of an earlier start, or superseded by a later report.

        A report may reach the store after the endpoint has ended and started again.
        """
        if before is not None and before.born_ms == after.born_ms:
            return after.sequence < before.sequence
        if after.born_ms is None:
            return False
        known_ms = self._born_ms.get(after.name, after.born_ms)
        return after.born_ms < known_ms

    def _had_left(self, record: ServerRecord, after: BackendServer, from_snapshot: bool) -> bool:
        """Return whether a restored store lists an endpoint again that had left before.

        After an endpoint has left, only a report counts that is written after the store's return
        and is later than the endpoint's last one.  An endpoint that is alive reports again soon.
        """
        if not self._left_before(record.name, record.offset):
            return False
        return from_snapshot or after.sequence <= self._last_sequences.get(record.name, -1)

    def _enter_era(self, name: str, offset: int) -> None:
        """Count an entry as changed when it first appears in a later era, whatever its content.

        Of two VMs that read the store, one may have found the entry missing for a moment, and may
        have reported that to its peers.
        """
        known = self._offsets.get(name)
        if known is not None and era_of(known) < era_of(offset) and name not in self._grace_periods:
            self._offsets[name] = offset
            self._record_change(name, offset)

    def remove_missing(
        self, names: set[str], offset: int, now_ms: float, store_was_unavailable: bool
    ) -> tuple[str, ...]:
        """Remove what is not in a full snapshot as of `offset`; return the names that vanished."""
        missing = [
            name
            for name, seen in self._offsets.items()
            if name not in names
            and seen < offset
            and name in self._servers
            and not self._left_before(name, offset)
        ]
        return tuple(
            name for name in missing if self._remove(name, offset, now_ms, store_was_unavailable)
        )

    def apply_snapshot(
        self,
        records: Iterable[ServerRecord],
        offset: int,
        now_ms: float,
        store_was_unavailable: bool,
        as_of_ms: float | None = None,
    ) -> tuple[str, ...]:
        """Apply the store's snapshot as of `offset`; return the names that changed or vanished.

        The snapshot does not show which change was the last one before it.  It holds everything
        that was written before `as_of_ms`, which is now if it isn't given.
        """
        known = self.version, self.as_of
        kept = tuple(records)
        changed = self.apply_all(kept, now_ms, store_was_unavailable)
        names = {record.name for record in kept if record.server is not None}
        missing = self.remove_missing(names, offset, now_ms, store_was_unavailable)
        self.position.record_snapshot(known, offset, bool(changed or missing))
        self.position.confirm_current(offset, now_ms if as_of_ms is None else as_of_ms)
        return (*changed, *missing)

    def expire_grace_periods(self, now_ms: float) -> tuple[str, ...]:
        """Drop the entries whose grace period is over.

        Returns the incarnations that have ended since the last call, for whatever reason.
        """
        for name in self._grace_periods.expired(now_ms):
            self._drop(name)
        ended, self._ended_incarnations = tuple(self._ended_incarnations), []
        return ended

    def changed_since(self, version: int) -> set[str] | None:
        """Return the names that have changed since a version, or None if that isn't known.

        A peer that knew everything as of that version lacks nothing else.  The result is None for
        a version below the history floor: entries that vanished before this registry was read in
        full were never known here, so their names can't be given.
        """
        if version < self.position.history_floor:
            return None
        return {name for name, changed in self._changed_at.items() if changed > version}

    def to_document(self, now_ms: float, only: Collection[str] | None = None) -> dict[str, Any]:
        """Return the form in which peers exchange the registry, in full or for some names.

        Times become durations, because each process has a clock of its own.
        """
        names = self._servers if only is None else [name for name in only if name in self._servers]
        rows = []
        for name in names:
            row = {
                "offset": self._offsets.get(name, -1),
                "server": self._servers[name].to_row(now_ms),
            }
            if name in self._grace_periods:
                row["left_ms"] = self._grace_periods.remaining_ms(name, now_ms)
            rows.append(row)
        gone = {
            name: offset
            for name, offset in self._tombstones.items()
            if only is None or name in only
        }
        return {
            "version": self.position.advertised_version,
            "as_of": self.as_of,
            "whole": only is None,
            "history_floor": self.position.history_floor,
            "servers": rows,
            "gone": gone,
            "last_sequences": {
                name: self._last_sequences[name] for name in gone if name in self._last_sequences
            },
        }

    def adopt(self, document: Mapping[str, Any], now_ms: float) -> bool:
        """Apply a peer's registry, or its changes since the state known here, if it is newer.

        Returns whether it was newer.

        The document must have the form of `REGISTRY_DOCUMENT`.  Its rows may have later offsets
        than its version, because reports that change nothing don't count towards the version.  They
        must not count here either, or this VM would seem to know more than the others.
        """
        as_of = document.get("as_of", document["version"])
        if document["version"] <= self.as_of:
            self.position.advance_from_peer(document["version"], as_of)
            return False
        names = {row["server"]["name"] for row in document["servers"]}
        last_sequences = document.get("last_sequences", {})
        known_as_of, listed_ms = self.as_of, self.position.freshness.as_of_ms
        if era_of(document["version"]) > era_of(known_as_of):
            listed_ms = None  # The restored store may lack entries that are written again soon.
        with self._index_once():
            for name, offset in document["gone"].items():
                if offset > self._offsets.get(name, -1) and name not in names:
                    self._tombstones[name] = max(offset, self._tombstones.get(name, -1))
                    self._changed_at[name] = document["version"]
                    if name in last_sequences:
                        self._last_sequences[name] = last_sequences[name]
                    self._drop(name)
            for row in document["servers"]:
                offset, left_ms = row["offset"], row.get("left_ms")
                server = BackendServer.from_row(row["server"], now_ms)
                name = server.name
                self.apply(ServerRecord(name, offset, server), now_ms, False)
                gone = document["gone"].get(name, offset)
                if left_ms is not None and gone >= self._offsets.get(name, gone + 1):
                    self._tombstones[name] = gone
                    self._last_sequences[name] = server.sequence
                    self._changed_at[name] = document["version"]
                    self._grace_periods.adopt(name, left_ms, now_ms, listed_ms)
        if document["whole"]:
            self.remove_missing(names, as_of, now_ms, False)
            self.position.record_full_state(known_as_of, document.get("history_floor", as_of))
        self.position.record_peer_state(document["version"], max(as_of, known_as_of))
        self._index()
        return True

    def _remove(self, name: str, offset: int, now_ms: float, store_was_unavailable: bool) -> bool:
        self._tombstones[name] = max(offset, self._tombstones.get(name, -1))
        while len(self._tombstones) > TOMBSTONES_LIMIT:
            oldest = next(iter(self._tombstones))
            self.position.truncate_history(self._tombstones.pop(oldest))
            self._changed_at.pop(oldest, None)
            self._born_ms.pop(oldest, None)
            self._last_sequences.pop(oldest, None)
        server = self._servers.get(name)
        if server is not None:
            self._last_sequences[name] = server.sequence
        if server is None or name in self._grace_periods:
            return False
        self._record_change(name, offset)
        if server.draining:
            self._drop(name)
            return True
        entries = self._by_service.get(server.service, ())
        listed_ms = self.position.freshness.as_of_ms
        if self._grace_periods.start(
            name, server.service, len(entries), now_ms, listed_ms, store_was_unavailable
        ):
            names = (other.name for other in entries)
            self._grace_periods.extend(
                (x for x in names if not self._left_before(x, offset)), now_ms
            )
        return True

    def _left_before(self, name: str, version: int) -> bool:
        """Return whether an entry had vanished in an earlier era than that of a version.

        Its absence from a restored store then shows nothing new: it has left, and gets no new grace
        period.
        """
        return name in self._tombstones and era_of(self._tombstones[name]) < era_of(version)

    def _drop(self, name: str) -> None:
        self._grace_periods.end(name)
        self._offsets.pop(name, None)
        server = self._servers.pop(name, None)
        if server is not None:
            self._ended_incarnations.append(server.incarnation)
            self._index()

    def _record_change(self, name: str, offset: int) -> None:
        self.position.record_change(offset)
        self._changed_at[name] = offset
        self._index()

    @contextmanager
    def _index_once(self) -> Iterator[None]:
        """Defer indexing to the end of many changes: indexing after each takes quadratic time."""
        self._indexing = False
        try:
            yield
        finally:
            self._indexing = True
            self._index()

    def _index(self) -> None:
        self._digest = None
        if not self._indexing:
            return
        found: dict[str, list[BackendServer]] = {}
        for server in self._servers.values():
            found.setdefault(server.service, []).append(server)
        self._by_service = {service: tuple(items) for service, items in found.items()}
        self._by_incarnation = {item.incarnation: item for item in self._servers.values()}
