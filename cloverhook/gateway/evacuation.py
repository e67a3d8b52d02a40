"""The data centres that are evacuated: their endpoints get no requests until that is revoked.

Layer: state.  Operators evacuate a data centre, and revoke an evacuation, by records in the same
log as the configuration.  A state is always complete as of an offset of that log.  Of two states
the one with the later offset is therefore valid, however it was received, and states need not be
merged.

>>> state = Evacuations().with_records((Evacuation("papine", 4, is_evacuated=True),))
>>> sorted(state.data_centers), state.version
(['papine'], 4)
>>> state.with_records((Evacuation("papine", 3, is_evacuated=False),)) == state
True
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from cloverhook.checking import Integer, Items, Table, Text, faults_of
from cloverhook.errors import MessageError

__all__ = ["Evacuation", "Evacuations"]

DOCUMENT_FIELDS = {"version": Integer(-1), "data_centers": Items(Text())}
DOCUMENT = Table(DOCUMENT_FIELDS, frozenset(DOCUMENT_FIELDS))
"""The schema of the document that peers exchange; `Evacuations.to_document` returns one."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A log record that evacuates a data centre, or revokes that if `is_evacuated` is False."""

    data_center: str
    offset: int
    is_evacuated: bool


@dataclass(frozen=True, slots=True)
class Evacuations:
    """All data centres that are evacuated as of the offset `version`; -1 if nothing is known."""

    version: int = -1
    data_centers: frozenset[str] = frozenset()

    def with_records(self, records: Iterable[Evacuation]) -> "Evacuations":
        """Return the state after further log records; those up to `version` are ignored."""
        version, evacuated = self.version, set(self.data_centers)
        for record in records:
            if record.offset <= version:
                continue
            version = record.offset
            if record.is_evacuated:
                evacuated.add(record.data_center)
            else:
                evacuated.discard(record.data_center)
        return Evacuations(version, frozenset(evacuated))

    @classmethod
    def from_records(cls, version: int, records: Iterable[Evacuation]) -> "Evacuations":
        """Return the state at an offset, given the newest record of every data centre up to it."""
        return cls(version, frozenset(item.data_center for item in records if item.is_evacuated))

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "Evacuations":
        """Build the state from the document that peers exchange.  Raises `MessageError`."""
        faults = faults_of(DOCUMENT, "", document)
        if faults:
            raise MessageError(f"invalid evacuations: {faults[0]}")
        return cls(document["version"], frozenset(document["data_centers"]))

    def to_document(self) -> dict[str, Any]:
        """Return the document that peers exchange."""
        return {"version": self.version, "data_centers": sorted(self.data_centers)}
