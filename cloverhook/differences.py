"""Compares two documents key by key.

Layer: state.  Items in lists of tables are matched by name, not by position:

>>> one = {"brand": "b", "services": [{"name": "orders", "hosts": ["a.example"]}]}
>>> two = {"brand": "b", "services": [{"name": "orders", "hosts": ["c.example"]}]}
>>> print(*differences(one, two))
services[orders].hosts: ['a.example'] -> ['c.example']
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["Difference", "differences", "flatten_document"]

NAMING_KEYS = ("name", "data_center", "path_prefix")
ABSENT = "nothing"


@dataclass(frozen=True, slots=True)
class Difference:
    """A key whose values differ; a missing value is shown as "nothing"."""

    key: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.key}: {self.before} -> {self.after}"


def differences(before: Mapping[str, Any], after: Mapping[str, Any]) -> tuple[Difference, ...]:
    """Return a difference for every key whose values differ, ordered by key."""
    old = flatten_document(before)
    new = flatten_document(after)
    return tuple(
        Difference(key, old.get(key, ABSENT), new.get(key, ABSENT))
        for key in sorted({**old, **new})
        if key not in old or key not in new or old[key] != new[key]
    )


def flatten_document(document: Mapping[str, Any]) -> dict[str, Any]:
    """Return a document's values by their full keys, such as `services[orders].hosts`."""
    return dict(_flatten("", document))


def _flatten(key: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, Mapping):
        for name, item in value.items():
            yield from _flatten(f"{key}.{name}" if key else name, item)
    elif isinstance(value, list) and value and isinstance(value[0], Mapping):
        for index, item in enumerate(value):
            yield from _flatten(f"{key}[{_name_of(item, index)}]", item)
    else:
        yield key, value


def _name_of(item: Mapping[str, Any], index: int) -> Any:
    names = (item[key] for key in NAMING_KEYS if key in item)
    return next(names, index)
