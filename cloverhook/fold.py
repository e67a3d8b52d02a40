"""The fold: one deterministic rule from the records of the log to the state in force.

Layer: coordination.  Every daemon folds the same records in the same order, so all of them come to
the same state without asking each other.  `fold` never raises for a record's contents: a record
that is not acceptable leaves the state as it was and gives a verdict that says why.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from cloverhook.errors import ConfigError
from cloverhook.fleet import Brand, Preset
from cloverhook.records import Change, Publish, Record, RemoveBrand, Snapshot, SwitchPreset

__all__ = ["BrandState", "FoldResult", "State", "Verdict", "fold"]


class Verdict(Enum):
    """What the fold made of a record."""

    ACCEPTED = "accepted"
    STALE = "stale"
    DUPLICATE = "duplicate"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class BrandState:
    """A brand as it is in force: its version counts the accepted changes."""

    version: int
    change_id: str
    operator: str
    preset: Preset
    brand: Brand
    document: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class State:
    """What is in force for all brands, and the offset of the next record to fold."""

    next_offset: int = 0
    brands: Mapping[str, BrandState] = field(default_factory=dict)
    removed: Mapping[str, int] = field(default_factory=dict)

    def version_of(self, brand: str) -> int:
        """Return the version a change of this brand must build on; 0 for one that never was."""
        if brand in self.brands:
            return self.brands[brand].version
        return self.removed.get(brand, 0)

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON object for a snapshot."""
        return {
            "next_offset": self.next_offset,
            "removed": dict(self.removed),
            "brands": {
                name: {
                    "version": item.version,
                    "change_id": item.change_id,
                    "operator": item.operator,
                    "preset": item.preset.value,
                    "document": item.document,
                }
                for name, item in self.brands.items()
            },
        }

    @classmethod
    def from_document(cls, data: Mapping[str, Any]) -> "State":
        """Return the state that `to_document` gave."""
        brands = {
            name: BrandState(
                item["version"],
                item["change_id"],
                item["operator"],
                Preset(item["preset"]),
                Brand.from_document(item["document"]),
                item["document"],
            )
            for name, item in data["brands"].items()
        }
        return cls(data["next_offset"], brands, dict(data["removed"]))


@dataclass(frozen=True, slots=True)
class FoldResult:
    """The state after a record, and the verdict on that record with its reason."""

    state: State
    verdict: Verdict
    reason: str = ""


def fold(state: State, offset: int, record: Record) -> FoldResult:
    """Fold one record into the state.

    A record before `state.next_offset` was folded already and changes nothing.
    """
    if offset < state.next_offset:
        return FoldResult(state, Verdict.DUPLICATE, "offset was folded before")
    advanced = replace(state, next_offset=offset + 1)
    if isinstance(record, Snapshot):
        return FoldResult(advanced, Verdict.ACCEPTED)
    return _fold_change(advanced, record)


def _fold_change(state: State, change: Change) -> FoldResult:
    current = state.brands.get(change.brand)
    if current is not None and current.change_id == change.change_id:
        return FoldResult(state, Verdict.DUPLICATE, "the change is in force already")
    version = state.version_of(change.brand)
    if change.base_version != version:
        reason = f"builds on version {change.base_version}, version {version} is in force"
        return FoldResult(state, Verdict.STALE, reason)
    try:
        return _apply(state, change, current)
    except ConfigError as error:
        return FoldResult(state, Verdict.INVALID, str(error))


def _apply(state: State, change: Change, current: BrandState | None) -> FoldResult:
    version = change.base_version + 1
    brands = dict(state.brands)
    removed = dict(state.removed)
    match change.action:
        case Publish(document):
            brand = Brand.from_document(document)
            preset = current.preset if current else Preset.ORDINARY
            brands[change.brand] = BrandState(
                version, change.change_id, change.operator, preset, brand, document
            )
            removed.pop(change.brand, None)
        case SwitchPreset(preset):
            if current is None:
                return FoldResult(state, Verdict.INVALID, "no such brand")
            brands[change.brand] = replace(
                current,
                version=version,
                change_id=change.change_id,
                operator=change.operator,
                preset=preset,
            )
        case RemoveBrand():
            if current is None:
                return FoldResult(state, Verdict.INVALID, "no such brand")
            del brands[change.brand]
            removed[change.brand] = version
    return FoldResult(replace(state, brands=brands, removed=removed), Verdict.ACCEPTED)
