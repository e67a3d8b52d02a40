"""The records of the configuration stream, and their JSON form.

Layer: protocol.  A `Change` names the version of the brand that it builds on, so that of two racing
changes exactly one is accepted wherever the log is folded.  A change carries an identifier that is
chosen before the first append, so that a tool can look for it after a lost answer.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cloverhook.errors import MessageError
from cloverhook.fleet import Preset

__all__ = [
    "CONFIG_STREAM",
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
    """Replace a brand's configuration by a document."""

    document: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class SwitchPreset:
    """Put another preset in force for a brand."""

    preset: Preset


@dataclass(frozen=True, slots=True)
class RemoveBrand:
    """Remove a brand and all of its services."""


Action = Publish | SwitchPreset | RemoveBrand


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change of one brand, which builds on `base_version` of that brand."""

    change_id: str
    brand: str
    base_version: int
    operator: str
    action: Action


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The folded state up to `next_offset`, in the form that `fold.State.to_document` gives."""

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
    }


def _encode_action(action: Action) -> dict[str, Any]:
    match action:
        case Publish(document):
            return {"type": "publish", "document": document}
        case SwitchPreset(preset):
            return {"type": "switch-preset", "preset": preset.value}
        case RemoveBrand():
            return {"type": "remove-brand"}


def decode_record(data: Mapping[str, Any]) -> Record:
    """Return the record for a JSON object.  Raises `MessageError` for one that can't be read."""
    try:
        if data["format"] != FORMAT:
            raise MessageError(f"record format {data['format']!r}")
        if data["type"] == "snapshot":
            return Snapshot(data["next_offset"], data["state"])
        return Change(
            data["change_id"],
            data["brand"],
            data["base_version"],
            data["operator"],
            _decode_action(data["action"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MessageError(f"record: {error!r}") from error


def _decode_action(data: Mapping[str, Any]) -> Action:
    match data["type"]:
        case "publish":
            return Publish(data["document"])
        case "switch-preset":
            return SwitchPreset(Preset(data["preset"]))
        case "remove-brand":
            return RemoveBrand()
    raise MessageError(f"action {data['type']!r}")
