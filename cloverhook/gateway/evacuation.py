"""The data centres that are evacuated: their endpoints get nothing until that is taken back.

Layer: state.  Operators evacuate a data centre, and take it back, by records in the same log as the
configuration.  What is known is always whole as of an offset of that log, so of two states the one
of the later offset is right, however they came here; nobody has to merge them.

>>> found = Evacuations().with_records((Evacuation("papine", 4, is_evacuated=True),))
>>> sorted(found.data_centers), found.version
(['papine'], 4)
>>> found.with_records((Evacuation("papine", 3, is_evacuated=False),)) == found
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
"""What peers send each other; `Evacuations.to_document` makes it."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A record of the log: a data centre is evacuated, or with `is_evacuated` False taken back."""

    data_center: str
    offset: int
    is_evacuated: bool


@dataclass(frozen=True, slots=True)
class Evacuations:
    """All data centres that are evacuated as of the offset `version`; -1 where nothing is known."""

    version: int = -1
    data_centers: frozenset[str] = frozenset()

    def with_records(self, records: Iterable[Evacuation]) -> "Evacuations":
        """Return what holds after the next records of the log; older ones change nothing."""
        version, found = self.version, set(self.data_centers)
        for record in records:
            if record.offset <= version:
                continue
            version = record.offset
            if record.is_evacuated:
                found.add(record.data_center)
            else:
                found.discard(record.data_center)
        return Evacuations(version, frozenset(found))

    @classmethod
    def from_records(cls, version: int, records: Iterable[Evacuation]) -> "Evacuations":
        """Return what holds by the newest record of each data centre, read whole at an offset."""
        return cls(version, frozenset(item.data_center for item in records if item.is_evacuated))

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "Evacuations":
        """Build them from the form in which peers exchange them.  Raises `MessageError`."""
        faults = faults_of(DOCUMENT, "", document)
        if faults:
            raise MessageError(f"evacuations: {faults[0]}")
        return cls(document["version"], frozenset(document["data_centers"]))

    def to_document(self) -> dict[str, Any]:
        """Return the form in which peers exchange them."""
        return {"version": self.version, "data_centers": sorted(self.data_centers)}
