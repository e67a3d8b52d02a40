"""The records of the configuration stream, and their JSON form.

Layer: protocol.  A `Change` names the version of the brand that it builds on, so that of two
concurrent changes every daemon accepts the same one and only that one.  A change has an identifier
that is chosen before the first append, so that a tool whose append got no answer can find the
change in the log.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cloverhook.checking import (
    NAME,
    AnyTable,
    Choice,
    Integer,
    Table,
    Text,
    faults_of,
)
from cloverhook.errors import MessageError
from cloverhook.fleet import Preset

__all__ = [
    "CHANGE_ID",
    "CONFIG_STREAM",
    "Action",
    "Change",
    "Publish",
    "Record",
    "RemoveBrand",
    "Snapshot",
    "SwitchPreset",
    "decode_record",
    "encode_record",
]

CONFIG_STREAM = "config"
FORMAT = 1


@dataclass(frozen=True, slots=True)
class Publish:
    """Replace a brand's configuration with a document."""

    document: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class SwitchPreset:
    """Switch a brand to another preset."""

    preset: Preset


@dataclass(frozen=True, slots=True)
class RemoveBrand:
    """Remove a brand and all of its services."""


Action = Publish | SwitchPreset | RemoveBrand


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change of one brand, based on `base_version` of that brand.

    `at_ms` is the time of the change by the operator's clock; no decision depends on it.
    """

    change_id: str
    brand: str
    base_version: int
    operator: str
    action: Action
    at_ms: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state folded up to `next_offset`, in the form that `state.State.to_document` returns."""

    next_offset: int
    state: Mapping[str, Any]


Record = Change | Snapshot


def encode_record(record: Record) -> dict[str, Any]:
    """Return the JSON object for a record."""
    if isinstance(record, Snapshot):
        return {
            "format": FORMAT,
            "type": "snapshot",
            "next_offset": record.next_offset,
            "state": record.state,
        }
    return {
        "format": FORMAT,
        "type": "change",
        "change_id": record.change_id,
        "brand": record.brand,
        "base_version": record.base_version,
        "operator": record.operator,
        "action": _encode_action(record.action),
        "at_ms": record.at_ms,
    }


def _encode_action(action: Action) -> dict[str, Any]:
    match action:
        case Publish(document):
            return {"type": "publish", "document": document}
        case SwitchPreset(preset):
            return {"type": "switch-preset", "preset": preset.value}
        case RemoveBrand():
            return {"type": "remove-brand"}


CHANGE_ID = Text("an identifier of at most 64 characters", r"[A-Za-z0-9_.:-]{1,64}")
RECORD = Table(
    {"format": Integer(FORMAT, FORMAT), "type": Choice(("change", "snapshot"))},
    frozenset(("format", "type")),
    open=True,
)
CHANGE = Table(
    {
        "change_id": CHANGE_ID,
        "brand": NAME,
        "base_version": Integer(),
        "operator": Text(),
        "action": AnyTable(),
        "at_ms": Integer(),
    },
    frozenset(("change_id", "brand", "base_version", "operator", "action")),
    open=True,
)
SNAPSHOT = Table(
    {"next_offset": Integer(), "state": AnyTable()},
    frozenset(("next_offset", "state")),
    open=True,
)
ACTION = Table(
    {"type": Choice(("publish", "switch-preset", "remove-brand"))}, frozenset(("type",)), open=True
)
PUBLISH = Table({"document": AnyTable()}, frozenset(("document",)), open=True)
SWITCH_PRESET = Table(
    {"preset": Choice(tuple(preset.value for preset in Preset))},
    frozenset(("preset",)),
    open=True,
)


def decode_record(data: Any) -> Record:
    """Return the record for a JSON object.  Raises `MessageError` if the object is invalid.

    Keys that this version of the program does not know are ignored.
    """
    _require(RECORD, data)
    if data["type"] == "snapshot":
        _require(SNAPSHOT, data)
        return Snapshot(data["next_offset"], data["state"])
    _require(CHANGE, data)
    return Change(
        data["change_id"],
        data["brand"],
        data["base_version"],
        data["operator"],
        _decode_action(data["action"]),
        data.get("at_ms", 0),
    )


def _decode_action(data: Mapping[str, Any]) -> Action:
    _require(ACTION, data)
    match data["type"]:
        case "publish":
            _require(PUBLISH, data)
            return Publish(data["document"])
        case "switch-preset":
            _require(SWITCH_PRESET, data)
            return SwitchPreset(Preset(data["preset"]))
        case _:
            return RemoveBrand()


def _require(table: Table, data: Any) -> None:
    faults = faults_of(table, "", data)
    if faults:
        raise MessageError("; ".join(str(fault) for fault in faults))
