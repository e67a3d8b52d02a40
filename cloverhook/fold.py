"""The fold: one deterministic rule from the records of the log to the state in force.

Layer: coordination.  Every daemon folds the same records in the same order, so all of them come to
the same state without asking each other.  `fold` never raises for a record's contents: a record
that is not acceptable leaves the state as it was and gives a verdict that says why.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from cloverhook.errors import ConfigError, Fault, MessageError
from cloverhook.fleet import Brand, Preset
from cloverhook.records import (
    Change,
    Publish,
    Record,
    RemoveBrand,
    Snapshot,
    SwitchPreset,
    decode_record,
)
from cloverhook.state import (
    KEPT_CHANGES,
    Accepted,
    BrandState,
    RemovedBrand,
    State,
    offset_of,
    position_of,
    restarts_of,
)

__all__ = [
    "Accepted",
    "BrandState",
    "FoldResult",
    "RemovedBrand",
    "State",
    "Verdict",
    "fold",
    "fold_data",
]


class Verdict(Enum):
    """What the fold made of a record."""

    ACCEPTED = "accepted"
    STALE = "stale"
    DUPLICATE = "duplicate"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class FoldResult:
    """The state after a record, and the verdict on that record with its reason.

    `winner` is the accepted change that a stale one lost against.
    """

    state: State
    verdict: Verdict
    reason: str = ""
    winner: Accepted | None = None


def fold_data(state: State, offset: int, data: Any) -> tuple[Record | None, FoldResult]:
    """Decode a record and fold it; one that can't be read is invalid, and its record is None."""
    try:
        record = decode_record(data)
    except MessageError as error:
        if offset < state.next_offset:
            return None, FoldResult(state, Verdict.DUPLICATE, "offset was folded before")
        advanced = replace(state, next_offset=offset + 1)
        return None, FoldResult(advanced, Verdict.INVALID, str(error))
    return record, fold(state, offset, record)


def fold(state: State, offset: int, record: Record) -> FoldResult:
    """Fold one record into the state; `offset` is its position, restarts of the log included.

    A record before `state.next_offset` was folded already and changes nothing.
    """
    if offset < state.next_offset:
        return FoldResult(state, Verdict.DUPLICATE, "offset was folded before")
    advanced = replace(state, next_offset=offset + 1)
    try:
        if isinstance(record, Snapshot):
            return _fold_snapshot(advanced, record)
        return _fold_change(advanced, record)
    except ConfigError as error:
        return FoldResult(advanced, Verdict.INVALID, str(error))


def _fold_snapshot(state: State, snapshot: Snapshot) -> FoldResult:
    taken = State.from_document(snapshot.state, state)
    joined = state.join(taken)
    restarts = max(restarts_of(state.next_offset), restarts_of(taken.next_offset))
    position = position_of(restarts, offset_of(state.next_offset))
    return FoldResult(replace(joined, next_offset=position), Verdict.ACCEPTED)


def _fold_change(state: State, change: Change) -> FoldResult:
    recent = state.recent_changes(change.brand)
    if any(item.change_id == change.change_id for item in recent):
        return FoldResult(state, Verdict.DUPLICATE, "the change was accepted before")
    version = state.version_of(change.brand)
    if change.base_version != version:
        winners = [item for item in recent if item.version == change.base_version + 1]
        reason = f"builds on version {change.base_version}, version {version} is in force"
        return FoldResult(state, Verdict.STALE, reason, winners[0] if winners else None)
    accepted = Accepted(
        version + 1, change.change_id, change.operator, _summary(change), change.at_ms
    )
    entry = _entry_after(state, change, (*recent, accepted)[-KEPT_CHANGES:])
    return FoldResult(state.with_entry(change.brand, entry), Verdict.ACCEPTED)


def _summary(change: Change) -> str:
    match change.action:
        case Publish():
            return "publish"
        case SwitchPreset(preset):
            return f"switch to {preset.value}"
        case RemoveBrand():
            return "remove"


def _entry_after(
    state: State, change: Change, recent: tuple[Accepted, ...]
) -> BrandState | RemovedBrand:
    """Return the brand's entry after a change.  Raises `ConfigError` when it is not valid."""
    current = state.brands.get(change.brand)
    version = change.base_version + 1
    if isinstance(change.action, Publish):
        brand = Brand.from_document(change.action.document)
        faults = tuple(_conflicts(state, change.brand, brand))
        if faults:
            raise ConfigError(faults)
        preset = current.preset if current else Preset.ORDINARY
        return BrandState(
            version,
            change.change_id,
            change.operator,
            preset,
            brand,
            change.action.document,
            recent,
        )
    if current is None:
        raise ConfigError((Fault("brand", repr(change.brand), "a brand in force"),))
    if isinstance(change.action, RemoveBrand):
        return RemovedBrand(version, recent)
    return replace(
        current,
        version=version,
        change_id=change.change_id,
        operator=change.operator,
        preset=change.action.preset,
        recent=recent,
    )


def _conflicts(state: State, name: str, brand: Brand) -> Iterator[Fault]:
    if brand.name != name:
        yield Fault("brand", repr(brand.name), f"{name!r}, the brand that the change names")
    for other in state.brands.values():
        if other.brand.name == name:
            continue
        for host in sorted(brand.hosts() & other.brand.hosts()):
            yield Fault("hosts", repr(host), f"a host that brand {other.brand.name!r} has not")
