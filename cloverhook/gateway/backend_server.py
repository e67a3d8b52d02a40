"""An incarnation of a backend server, as it registers itself, and the store's record of one.

Layer: state.

>>> server = BackendServer("i-1", "orders", "10.0.0.1:9000", "papine", born_ms=1_700_000_000_000)
>>> server.incarnation
'i-1@1700000000000'
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from cloverhook.checking import Address, Flag, Integer, Number, Table, Text

__all__ = ["SERVER_SCHEMA", "BackendServer", "ServerRecord"]

WARM_AT_TOLERANCE_MS = 300.0
"""Each report of a cold endpoint gives its remaining warm-up time anew; a smaller difference than
this doesn't count as a change."""
SERVER_FIELDS = {
    "name": Text(),
    "service": Text(),
    "address": Address(),
    "data_center": Text(),
    "slots": Integer(1),
    "draining": Flag(),
    "warm_at_ms": Number(),
    "sequence": Integer(),
}
SERVER_SCHEMA = Table({**SERVER_FIELDS, "born_ms": Integer()}, frozenset(SERVER_FIELDS))


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server; `warm_at_ms` is on this process's monotonic clock.

    `name` is the name under which it registers and which requests to it carry.  `born_ms`, in Unix
    time, distinguishes the starts under one name; it is None where a name is never reused.
    `sequence` increases with each report that an incarnation makes of itself.
    """

    name: str
    service: str
    address: str
    data_center: str
    slots: int = 1
    draining: bool = False
    warm_at_ms: float = 0.0
    born_ms: int | None = None
    sequence: int = 0
    incarnation: str = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Set `incarnation`, the key of all data on an incarnation, from the name and the start."""
        key = self.name if self.born_ms is None else f"{self.name}@{self.born_ms}"
        object.__setattr__(self, "incarnation", key)

    @classmethod
    def from_row(cls, row: Mapping[str, Any], now_ms: float) -> "BackendServer":
        """Build a backend server from the row that peers exchange."""
        return cls(**{**row, "warm_at_ms": row["warm_at_ms"] + now_ms})

    def to_row(self, now_ms: float) -> dict[str, Any]:
        """Return the row that peers exchange; `warm_at_ms` becomes a duration from now."""
        row = {name: getattr(self, name) for name in SERVER_FIELDS}
        if self.born_ms is not None:
            row["born_ms"] = self.born_ms
        row["warm_at_ms"] = max(0.0, self.warm_at_ms - now_ms)
        return row

    def same_routing_as(self, before: "BackendServer", now_ms: float) -> bool:
        """Return whether an earlier record has no difference that matters for routing requests."""
        warm_at_before_ms, warm_at_now_ms = (max(now_ms, x.warm_at_ms) for x in (before, self))
        if abs(warm_at_now_ms - warm_at_before_ms) > WARM_AT_TOLERANCE_MS:
            return False
        normalised_before = replace(before, warm_at_ms=0.0, sequence=0)
        return normalised_before == replace(self, warm_at_ms=0.0, sequence=0)


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """The store's record under a name at an offset; if `server` is None, the entry was removed."""

    name: str
    offset: int
    server: BackendServer | None
