"""The backend servers that are registered at this moment.

Layer: state.  Each start of a backend server is a new incarnation with an identifier of its own;
its address may have belonged to another service before.  The registry takes records in any order
and by any way: for each incarnation the record with the highest offset wins, and one that is gone
does not come back through an older record.

An entry that vanishes without having been draining is kept for a hold time: a registration may
lapse while the store, not the backend server, is in trouble.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import asdict, dataclass, replace
from typing import Any

__all__ = ["DRAIN_MS", "BackendServer", "Registry", "ServerRecord"]

TOMBSTONES_LIMIT = 4_096
HOLD_SHARE = 0.75
"""The part of the time until it must get no more work for which a vanished entry stays in use."""
DRAIN_MS = 2_000.0
LAPSE_HOLD_MS = 2_400.0
"""The same when half of a service vanishes at once, or the store was away: they are back in 2 s."""
LAPSE_SHARE = 0.5
LAPSE_WINDOW_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server; `warm_at_ms` is on this process's monotonic clock."""

    incarnation: str
    service: str
    address: str
    data_center: str
    slots: int = 1
    draining: bool = False
    warm_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """What the store says of an incarnation at an offset; without `server` it is gone."""

    incarnation: str
    offset: int
    server: BackendServer | None


class Registry:
    """Backend servers by incarnation and by service."""

    def __init__(self, drain_ms: float = DRAIN_MS) -> None:
        self.version = -1
        self._hold_ms = HOLD_SHARE * drain_ms
        self._servers: dict[str, BackendServer] = {}
        self._offsets: dict[str, int] = {}
        self._gone: dict[str, int] = {}
        self._leaves_at_ms: dict[str, float] = {}
        self._vanished_ms: dict[str, list[float]] = {}
        self._by_service: dict[str, tuple[BackendServer, ...]] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, incarnation: str) -> BackendServer | None:
        """Return a backend server that is registered or held."""
        return self._servers.get(incarnation)

    def servers(self) -> Iterable[BackendServer]:
        """Return all backend servers that are registered or held."""
        return self._servers.values()

    def of_service(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service."""
        return self._by_service.get(service, ())

    def held(self, incarnation: str) -> bool:
        """Return whether an entry has vanished and is only kept for its hold time."""
        return incarnation in self._leaves_at_ms

    def apply(self, record: ServerRecord, now_ms: float, store_was_away: bool) -> bool:
        """Take a record; return whether anything but its offset has changed."""
        name = record.incarnation
        known = max(self._offsets.get(name, -1), self._gone.get(name, -1))
        if record.offset <= known:
            return False
        if record.server is None:
            return self._remove(name, record.offset, now_ms, store_was_away)
        before = self._servers.get(name)
        self._offsets[name] = record.offset
        self._gone.pop(name, None)
        returned = self._leaves_at_ms.pop(name, None) is not None
        after = record.server
        if before is not None and _same(before, after) and not returned:
            return False
        if before is not None:
            after = replace(after, warm_at_ms=min(before.warm_at_ms, after.warm_at_ms))
        self._servers[name] = after
        self._changed(record.offset)
        return True

    def keep_only(
        self, names: set[str], offset: int, now_ms: float, store_was_away: bool
    ) -> tuple[str, ...]:
        """Take a whole list as of `offset`: what is not in it is gone.  Returns what vanished."""
        missing = [
            name
            for name, seen in self._offsets.items()
            if name not in names and seen < offset and name in self._servers
        ]
        return tuple(name for name in missing if self._remove(name, offset, now_ms, store_was_away))

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """Drop the entries whose hold time has passed and return their incarnations."""
        due = [name for name, at_ms in self._leaves_at_ms.items() if at_ms <= now_ms]
        for name in due:
            self._drop(name)
        return tuple(due)

    def to_document(self, now_ms: float, only: Collection[str] | None = None) -> dict[str, Any]:
        """Return the form in which peers exchange the registry, whole or for some incarnations.

        Times become durations, as each process has a clock of its own.
        """
        names = self._servers if only is None else [name for name in only if name in self._servers]
        rows = []
        for name in names:
            server = self._servers[name]
            row = asdict(server)
            row["warm_at_ms"] = max(0.0, server.warm_at_ms - now_ms)
            leaves_ms = self._leaves_at_ms.get(name)
            left_ms = None if leaves_ms is None else max(0.0, leaves_ms - now_ms)
            rows.append([self._offsets.get(name, -1), row, left_ms])
        gone = {name: offset for name, offset in self._gone.items() if only is None or name in only}
        return {
            "version": self.version,
            "whole": only is None,
            "servers": rows,
            "gone": gone,
        }

    def adopt(self, document: Mapping[str, Any], now_ms: float) -> bool:
        """Take a peer's registry if it is newer; return whether anything changed."""
        if document["version"] <= self.version:
            return False
        names = {row["incarnation"] for _, row, _ in document["servers"]}
        for name, offset in document["gone"].items():
            if offset > self._offsets.get(name, -1) and name not in names:
                self._gone[name] = max(offset, self._gone.get(name, -1))
                self._drop(name)
        for offset, row, left_ms in document["servers"]:
            server = BackendServer(**{**row, "warm_at_ms": row["warm_at_ms"] + now_ms})
            self.apply(ServerRecord(server.incarnation, offset, server), now_ms, False)
            if left_ms is not None and self._offsets.get(server.incarnation) == offset:
                self._gone[server.incarnation] = document["gone"].get(server.incarnation, offset)
                self._leaves_at_ms.setdefault(server.incarnation, now_ms + left_ms)
        if document["whole"]:
            self.keep_only(names, document["version"], now_ms, False)
        self._changed(document["version"])
        return True

    def _remove(self, name: str, offset: int, now_ms: float, store_was_away: bool) -> bool:
        self._gone[name] = max(offset, self._gone.get(name, -1))
        while len(self._gone) > TOMBSTONES_LIMIT:
            del self._gone[next(iter(self._gone))]
        server = self._servers.get(name)
        if server is None or name in self._leaves_at_ms:
            return False
        self._changed(offset)
        if server.draining:
            self._drop(name)
            return True
        lapse = self._is_lapse(server.service, now_ms) or store_was_away
        hold_ms = LAPSE_HOLD_MS if lapse else self._hold_ms
        self._leaves_at_ms[name] = now_ms + hold_ms
        if lapse:
            for other in self._by_service.get(server.service, ()):
                if other.incarnation in self._leaves_at_ms:
                    self._leaves_at_ms[other.incarnation] = now_ms + hold_ms
        return True

    def _is_lapse(self, service: str, now_ms: float) -> bool:
        """Return whether so many entries vanish at once that the store is the likelier cause."""
        times = [at for at in self._vanished_ms.get(service, ()) if at > now_ms - LAPSE_WINDOW_MS]
        times.append(now_ms)
        self._vanished_ms[service] = times
        total = len(self._by_service.get(service, ()))
        return len(times) > 1 and len(times) >= LAPSE_SHARE * total

    def _drop(self, name: str) -> None:
        self._leaves_at_ms.pop(name, None)
        self._offsets.pop(name, None)
        if self._servers.pop(name, None) is not None:
            self._index()

    def _changed(self, offset: int) -> None:
        self.version = max(self.version, offset)
        self._index()

    def _index(self) -> None:
        found: dict[str, list[BackendServer]] = {}
        for server in self._servers.values():
            found.setdefault(server.service, []).append(server)
        self._by_service = {service: tuple(items) for service, items in found.items()}


def _same(before: BackendServer, after: BackendServer) -> bool:
    """Return whether two records differ in nothing that decides where requests go."""
    return replace(before, warm_at_ms=0.0) == replace(after, warm_at_ms=0.0)
