"""One incarnation of a backend server, as it registers itself, and the store's records of them.

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

COLD_CHANGE_MS = 300.0
"""Each report of a cold endpoint tells its time left anew; what differs by less is no change."""
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

    `name` is what it registers under and answers to.  `born_ms`, Unix time, tells the starts under
    one name apart; it is None where a name is never used twice.  `sequence` grows with what an
    incarnation says of itself.
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
        """Join name and start into the key of everything that is known of an incarnation."""
        key = self.name if self.born_ms is None else f"{self.name}@{self.born_ms}"
        object.__setattr__(self, "incarnation", key)

    @classmethod
    def from_row(cls, row: Mapping[str, Any], now_ms: float) -> "BackendServer":
        """Build a backend server from the form in which peers exchange it."""
        return cls(**{**row, "warm_at_ms": row["warm_at_ms"] + now_ms})

    def to_row(self, now_ms: float) -> dict[str, Any]:
        """Return the form in which peers exchange it; times become durations."""
        row = {name: getattr(self, name) for name in SERVER_FIELDS}
        if self.born_ms is not None:
            row["born_ms"] = self.born_ms
        row["warm_at_ms"] = max(0.0, self.warm_at_ms - now_ms)
        return row

    def same_routing_as(self, before: "BackendServer", now_ms: float) -> bool:
        """Return whether an earlier record differs in nothing that decides where requests go."""
        was_warm_at_ms, is_warm_at_ms = (max(now_ms, x.warm_at_ms) for x in (before, self))
        if abs(is_warm_at_ms - was_warm_at_ms) > COLD_CHANGE_MS:
            return False
        was = replace(before, warm_at_ms=0.0, sequence=0)
        return was == replace(self, warm_at_ms=0.0, sequence=0)


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """What the store says under a name at an offset; without `server` that one is gone."""

    name: str
    offset: int
    server: BackendServer | None
