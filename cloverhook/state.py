"""The configuration in force: the result of folding the records of the log.

Layer: state.  A `State` is frozen.  `State.join` combines two states so that each brand has the
higher of its two versions.  The join is associative, commutative and idempotent and never lowers a
version, so a state that arrives late, twice or from a peer does no harm.

The log's offsets start over at 0 when the platform loses the log.  A position also counts these
restarts, so that it always increases: `position_of(restarts, offset)`.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from cloverhook.checking import (
    AnyTable,
    Choice,
    Integer,
    Items,
    MapOf,
    Table,
    Text,
    faults_of,
    kind_field,
    table_of,
)
from cloverhook.errors import ConfigError, Fault
from cloverhook.fleet import Brand, Preset

__all__ = [
    "Accepted",
    "BrandState",
    "RemovedBrand",
    "State",
    "offset_of",
    "position_of",
    "restarts_of",
]

RESTART_STRIDE = 2**32
KEPT_CHANGES = 32


def position_of(restarts: int, offset: int) -> int:
    """Return the position of an offset in the log after a number of restarts."""
    return restarts * RESTART_STRIDE + offset


def offset_of(position: int) -> int:
    """Return the offset in the log for a position."""
    return position % RESTART_STRIDE


def restarts_of(position: int) -> int:
    """Return how often the log had started over at a position."""
    return position // RESTART_STRIDE


@dataclass(frozen=True, slots=True)
class Accepted:
    """A change that was accepted and produced `version` of its brand."""

    version: int = kind_field(Integer(1))
    change_id: str = kind_field(Text())
    operator: str = kind_field(Text())
    action: str = kind_field(Text())
    at_ms: int = 0


@dataclass(frozen=True, slots=True)
class BrandState:
    """A brand in force; its version counts the accepted changes.

    `recent` contains the last changes that were accepted, oldest first.
    """

    version: int
    change_id: str
    operator: str
    preset: Preset
    brand: Brand
    document: Mapping[str, Any]
    recent: tuple[Accepted, ...] = ()


@dataclass(frozen=True, slots=True)
class RemovedBrand:
    """The tombstone of a removed brand, which prevents an older record from restoring it."""

    version: int
    recent: tuple[Accepted, ...] = ()


@dataclass(frozen=True, slots=True)
class State:
    """The state of all brands, and the position of the next record to fold."""

    next_offset: int = 0
    brands: Mapping[str, BrandState] = field(default_factory=dict)
    removed: Mapping[str, RemovedBrand] = field(default_factory=dict)

    def entry(self, brand: str) -> BrandState | RemovedBrand | None:
        """Return the entry of a brand, in force or removed, or None."""
        return self.brands.get(brand) or self.removed.get(brand)

    def version_of(self, brand: str) -> int:
        """Return the version that a change of this brand must build on; 0 for an unknown brand."""
        entry = self.entry(brand)
        return entry.version if entry else 0

    def recent_changes(self, brand: str) -> tuple[Accepted, ...]:
        """Return the last accepted changes of a brand, oldest first."""
        entry = self.entry(brand)
        return entry.recent if entry else ()

    def find_accepted(self, change_id: str) -> tuple[str, Accepted] | None:
        """Return the brand and the accepted change with this identifier, if still retained."""
        for brand in (*self.brands, *self.removed):
            for change in self.recent_changes(brand):
                if change.change_id == change_id:
                    return brand, change
        return None

    def with_entry(self, brand: str, entry: BrandState | RemovedBrand) -> "State":
        """Return the state with a new entry for a brand."""
        entries = {**self.brands, **self.removed, brand: entry}
        return _state(self.next_offset, entries)

    def join(self, other: "State") -> "State":
        """Return the state with the higher version of each brand.

        For example:

        >>> one = State(7, {}, {"saltbush": RemovedBrand(3)})
        >>> one.join(State(2, {}, {"saltbush": RemovedBrand(2)})) == one
        True
        """
        entries = {**self.brands, **self.removed}
        for brand, entry in {**other.brands, **other.removed}.items():
            known = entries.get(brand)
            if known is None or (entry != known and _rank(entry) > _rank(known)):
                entries[brand] = entry
        return _state(max(self.next_offset, other.next_offset), entries)

    def same_brands(self, other: "State") -> bool:
        """Return whether two states contain the same brands, regardless of their positions."""
        return self.brands == other.brands and self.removed == other.removed

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON object for a snapshot."""
        return {
            "next_offset": self.next_offset,
            "brands": {name: _to_document(item) for name, item in self.brands.items()},
            "removed": {name: _to_document(item) for name, item in self.removed.items()},
        }

    @classmethod
    def from_document(cls, data: Mapping[str, Any], known: "State | None" = None) -> "State":
        """Return the state from a document of `to_document`.

        Raises `ConfigError` for anything else.  Brands whose documents are the same in a `known`
        state are reused from it and not built again.
        """
        faults = faults_of(STATE, "", data)
        if faults:
            raise ConfigError(faults)
        entries: dict[str, BrandState | RemovedBrand] = {
            name: RemovedBrand(item["version"], _recent(item))
            for name, item in data["removed"].items()
        }
        for name, item in data["brands"].items():
            entries[name] = _brand_state(name, item, known.brands.get(name) if known else None)
        return _state(data["next_offset"], entries)


RECENT = Items(table_of(Accepted))
BRAND_STATE = Table(
    {
        "version": Integer(1),
        "change_id": Text(),
        "operator": Text(),
        "preset": Choice(tuple(preset.value for preset in Preset)),
        "document": AnyTable(),
        "recent": RECENT,
    },
    frozenset(("version", "change_id", "operator", "preset", "document", "recent")),
)
REMOVED_BRAND = Table({"version": Integer(1), "recent": RECENT}, frozenset(("version", "recent")))
STATE = Table(
    {"next_offset": Integer(), "brands": MapOf(BRAND_STATE), "removed": MapOf(REMOVED_BRAND)},
    frozenset(("next_offset", "brands", "removed")),
)


def _state(next_offset: int, entries: Mapping[str, BrandState | RemovedBrand]) -> State:
    ordered = sorted(entries.items())
    return State(
        next_offset,
        {name: item for name, item in ordered if isinstance(item, BrandState)},
        {name: item for name, item in ordered if isinstance(item, RemovedBrand)},
    )


def _rank(entry: BrandState | RemovedBrand) -> tuple[int, str]:
    """Order entries by version; equal versions differ only after the log has lost records.

    The canonical JSON form then breaks the tie, so that all daemons choose the same entry.
    """
    return entry.version, _canonical(_to_document(entry))


def _canonical(document: Mapping[str, Any]) -> str:
    """Return a JSON form that distinguishes true from 1, which compare as equal in Python."""
    return json.dumps(document, sort_keys=True)


@singledispatch
def _to_document(entry: BrandState) -> dict[str, Any]:
    return {
        "version": entry.version,
        "change_id": entry.change_id,
        "operator": entry.operator,
        "preset": entry.preset.value,
        "document": entry.document,
        "recent": _recent_document(entry.recent),
    }


@_to_document.register
def _(entry: RemovedBrand) -> dict[str, Any]:
    return {"version": entry.version, "recent": _recent_document(entry.recent)}


def _recent_document(recent: tuple[Accepted, ...]) -> list[dict[str, Any]]:
    return [
        {
            "version": item.version,
            "change_id": item.change_id,
            "operator": item.operator,
            "action": item.action,
            "at_ms": item.at_ms,
        }
        for item in recent
    ]


def _recent(item: Mapping[str, Any]) -> tuple[Accepted, ...]:
    return tuple(Accepted(**change) for change in item["recent"])[-KEPT_CHANGES:]


def _brand_state(name: str, item: Mapping[str, Any], known: BrandState | None) -> BrandState:
    if known is not None and _canonical(known.document) == _canonical(item["document"]):
        brand = known.brand
    else:
        brand = Brand.from_document(item["document"])
    if brand.name != name:
        raise ConfigError((Fault(f"brands.{name}", repr(brand.name), "the name of its entry"),))
    return BrandState(
        item["version"],
        item["change_id"],
        item["operator"],
        Preset(item["preset"]),
        brand,
        item["document"],
        _recent(item),
    )
