"""Validates documents (parsed TOML, JSON or CBOR) against a schema.

Layer: state.  A schema is built from kinds: `Table` and `MapOf` describe tables, `Items` describes
a list, and the other kinds describe single values.  `faults_of` reports every fault of a document
at once, each with its key, the value found and what is allowed.  For example:

>>> kind = Table({"slots": Integer(1, 100)}, required=frozenset({"slots"}))
>>> for fault in faults_of(kind, "", {"slots": 0, "color": "red"}):
...     print(fault)
slots: found 0; allowed: an integer from 1 to 100
color: found 'red'; allowed: one of: slots
"""

import ipaddress
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import MISSING, dataclass, field, fields
from functools import lru_cache, singledispatch
from typing import Any

from cloverhook.errors import Fault

__all__ = [
    "HOST",
    "NAME",
    "Address",
    "AnyTable",
    "Choice",
    "Flag",
    "Integer",
    "Items",
    "Kind",
    "MapOf",
    "Number",
    "Table",
    "Text",
    "compile_check",
    "duplicate_faults",
    "faults_of",
    "kind_field",
    "table_of",
]

SHOWN_CHARS = 80
MAX_PORT = 65_535
MAX_INTEGER = 2**53
ADDRESS_CACHE_SIZE = 4_096
"""Every heartbeat carries its sender's addresses.

Looking up an address that was checked before takes a tenth of the time of checking it again.
"""


@dataclass(frozen=True, slots=True)
class Text:
    """A string that matches a regular expression in full."""

    allowed: str = "a non-empty string"
    pattern: str = r"[^\x00-\x1f]{1,4096}"


@dataclass(frozen=True, slots=True)
class Integer:
    """An integer within bounds, both inclusive."""

    minimum: int = 0
    maximum: int = MAX_INTEGER

    @property
    def allowed(self) -> str:
        """The allowed values, as a fault reports them."""
        return f"an integer from {self.minimum} to {self.maximum}"


@dataclass(frozen=True, slots=True)
class Number:
    """An integer or a finite float within bounds, both inclusive."""

    minimum: float = 0
    maximum: float = MAX_INTEGER

    @property
    def allowed(self) -> str:
        """The allowed values, as a fault reports them."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"


@dataclass(frozen=True, slots=True)
class Flag:
    """A boolean."""

    allowed: str = "true or false"


@dataclass(frozen=True, slots=True)
class Choice:
    """One of a fixed set of strings."""

    values: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """The allowed values, as a fault reports them."""
        return f"one of: {', '.join(self.values)}"


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port; port 0 is allowed only where any free port may be used."""

    minimum_port: int = 1

    @property
    def allowed(self) -> str:
        """The allowed values, as a fault reports them."""
        return f"ip:port, such as 10.0.0.1:8080, the port from {self.minimum_port} to {MAX_PORT}"


@dataclass(frozen=True, slots=True)
class AnyTable:
    """A table with string keys whose values are checked elsewhere."""

    allowed: str = "a table"


@dataclass(frozen=True, slots=True)
class Items:
    """A list with items of a single kind."""

    item: "Kind"
    minimum: int = 0

    @property
    def allowed(self) -> str:
        """The allowed values, as a fault reports them."""
        return f"a list of at least {self.minimum}" if self.minimum else "a list"


@dataclass(frozen=True, slots=True)
class MapOf:
    """A table with arbitrary keys and values of a single kind."""

    value: "Kind"
    allowed: str = "a table"


@dataclass(frozen=True, slots=True)
class Table:
    """A table with a fixed set of keys; any other key is a fault unless the table is `open`."""

    fields: Mapping[str, "Kind"]
    required: frozenset[str] = frozenset()
    open: bool = False
    allowed: str = "a table"


Value = Text | Integer | Number | Flag | Choice | Address | AnyTable
Kind = Value | Items | MapOf | Table

NAME = Text(
    "lower-case letters, digits and hyphens, at most 63", r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
)
HOST = Text("a lower-case host name without a port", r"(?=.{1,253}$)[a-z0-9]([a-z0-9.-]*[a-z0-9])?")
DEFAULT_KINDS: dict[type, Kind] = {
    int: Integer(),
    float: Number(),
    bool: Flag(),
    str: Text("a string", r"(?s).*"),
}


def kind_field(kind: Kind, default: Any = MISSING) -> Any:
    """Return a dataclass field that carries its kind in its metadata."""
    return field(default=default, metadata={"kind": kind})


def table_of(data_class: type) -> Table:
    """Return the schema of a dataclass; fields without a default are required."""
    return Table(
        {item.name: _kind_of(item) for item in fields(data_class)},
        frozenset(item.name for item in fields(data_class) if item.default is MISSING),
    )


def faults_of(kind: Kind, key: str, value: Any) -> tuple[Fault, ...]:
    """Return every fault of a value; `key` is its path in the document, empty for the root."""
    return tuple(_faults(kind, key, value))


def duplicate_faults(keyed: list[tuple[str, str]], what: str) -> tuple[Fault, ...]:
    """Return a fault for each (key, value) pair whose value already occurs in an earlier pair."""
    first: dict[str, str] = {}
    found: list[Fault] = []
    for key, value in keyed:
        if value in first:
            found.append(Fault(key, repr(value), f"a {what} that {first[value]} does not have"))
        first.setdefault(value, key)
    return tuple(found)


def _kind_of(item: Any) -> Kind:
    return item.metadata.get("kind") or DEFAULT_KINDS[item.type]


def _fault(kind: Kind, key: str, value: Any) -> Fault:
    shown = repr(value)
    if len(shown) > SHOWN_CHARS:
        shown = shown[:SHOWN_CHARS] + "..."
    return Fault(key or "the document", shown, kind.allowed)


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


@singledispatch
def _faults(kind: Value, key: str, value: Any) -> Iterator[Fault]:
    if not compile_check(kind)(value):
        yield _fault(kind, key, value)


@_faults.register
def _(kind: Items, key: str, value: Any) -> Iterator[Fault]:
    if not isinstance(value, list | tuple) or len(value) < kind.minimum:
        yield _fault(kind, key, value)
        return
    for index, item in enumerate(value):
        yield from _faults(kind.item, f"{key}[{index}]", item)


@_faults.register
def _(kind: MapOf, key: str, value: Any) -> Iterator[Fault]:
    if not _is_table(value):
        yield _fault(kind, key, value)
        return
    for name, item in value.items():
        yield from _faults(kind.value, _join(key, name), item)


@_faults.register
def _(kind: Table, key: str, value: Any) -> Iterator[Fault]:
    if not _is_table(value):
        yield _fault(kind, key, value)
        return
    for name, field_kind in kind.fields.items():
        if name in value:
            yield from _faults(field_kind, _join(key, name), value[name])
        elif name in kind.required:
            yield Fault(_join(key, name), "nothing", field_kind.allowed)
    if not kind.open:
        yield from _unknown_keys(kind, key, value)


def _unknown_keys(kind: Table, key: str, value: Mapping[str, Any]) -> Iterator[Fault]:
    known = Choice(tuple(kind.fields))
    for name in value:
        if name not in kind.fields:
            yield _fault(known, _join(key, name), value[name])


def _is_table(value: Any) -> bool:
    return isinstance(value, Mapping) and all(isinstance(name, str) for name in value)


@singledispatch
def compile_check(kind: Kind) -> Callable[[Any], bool]:
    """Return a function that returns whether a value has no faults.

    The check is compiled once, for values that are checked often.

    >>> is_port = compile_check(Integer(1, 65_535))
    >>> is_port(80), is_port("80")
    (True, False)
    """
    raise TypeError(f"no check is registered for the kind {kind!r}")


@compile_check.register
def _(kind: Text) -> Callable[[Any], bool]:
    matches = re.compile(kind.pattern).fullmatch
    return lambda value: isinstance(value, str) and matches(value) is not None


@compile_check.register
def _(kind: Integer) -> Callable[[Any], bool]:
    minimum, maximum = kind.minimum, kind.maximum
    return lambda value: type(value) is int and minimum <= value <= maximum


@compile_check.register
def _(kind: Number) -> Callable[[Any], bool]:
    minimum, maximum = kind.minimum, kind.maximum
    return lambda value: type(value) in (int, float) and minimum <= value <= maximum


@compile_check.register
def _(kind: Flag) -> Callable[[Any], bool]:
    return lambda value: isinstance(value, bool)


@compile_check.register
def _(kind: Choice) -> Callable[[Any], bool]:
    return lambda value: isinstance(value, str) and value in kind.values


@compile_check.register
def _(kind: AnyTable) -> Callable[[Any], bool]:
    return _is_table


@compile_check.register
def _(kind: Address) -> Callable[[Any], bool]:
    return lambda value: isinstance(value, str) and _port_of(value) >= kind.minimum_port


@compile_check.register
def _(kind: Items) -> Callable[[Any], bool]:
    accepts = compile_check(kind.item)
    return lambda value: (
        isinstance(value, list | tuple)
        and len(value) >= kind.minimum
        and all(accepts(item) for item in value)
    )


@compile_check.register
def _(kind: MapOf) -> Callable[[Any], bool]:
    accepts = compile_check(kind.value)
    return lambda value: _is_table(value) and all(accepts(item) for item in value.values())


@compile_check.register
def _(kind: Table) -> Callable[[Any], bool]:
    checks = {name: compile_check(field_kind) for name, field_kind in kind.fields.items()}
    required, is_open = kind.required, kind.open

    def accepts(value: Any) -> bool:
        if not _is_table(value) or not all(name in value for name in required):
            return False
        for name, item in value.items():
            check = checks.get(name)
            if not (is_open if check is None else check(item)):
                return False
        return True

    return accepts


@lru_cache(ADDRESS_CACHE_SIZE)
def _port_of(address: str) -> int:
    """Return the port of an `ip:port` string, or -1 if the string is not valid."""
    host, _, port = address.rpartition(":")
    if re.fullmatch(r"[0-9]{1,5}", port) is None or int(port) > MAX_PORT:
        return -1
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return -1
    return int(port)
