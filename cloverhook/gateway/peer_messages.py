"""The messages between gateways: small datagrams in CBOR.

Layer: protocol.  Each is a list that starts with its kind, so that a datagram stays small: bytes
between data centres are paid for.  What is no message, whole and of the right types, raises
`MessageError`: whatever reaches the port, nothing behind `decode` has to expect it.

>>> decode(encode(InFlightCounts("vm-1", {"i-7": 2}))).counts
{'i-7': 2}
"""

from dataclasses import dataclass, fields
from math import inf
from typing import Any

import cbor2

from cloverhook.checking import Address, Flag, Integer, Number, checker, kind_field, table_of
from cloverhook.errors import MessageError
from cloverhook.gateway.load import LoadReport
from cloverhook.gateway.registry import REGISTRY_DOCUMENT

__all__ = [
    "Heartbeat",
    "InFlightCountChanges",
    "Failures",
    "is_registry_document",
    "Identity",
    "InFlightCounts",
    "LoadReports",
    "PeerMessage",
    "RateLimitEntry",
    "RateLimitUpdate",
    "Refusals",
    "Relay",
    "ServerChanges",
    "CrashRecord",
    "CrashRecords",
    "decode",
    "encode",
]

VERSION = Integer(-1)
"""The version of what is not known yet is -1."""
LONGEST_MS = 3_600_000.0
KEY_LIMIT = 2**64


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a gateway is for as long as its process lives."""

    vm: str
    incarnation: int
    data_center: str
    caller_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life: who sends it, what it does and which versions it knows.

    `reading` says that it follows the store now, and `every_ms` how often another data centre gets
    one; `wants_answer` asks for one in return; `requests_per_s` is what callers send the VM.
    `near_vms` is how many VMs of its data centre it knows, itself included.  `evacuation_version`
    is the offset as of which it knows the evacuated data centres.  Up to the `as_of` positions it
    knows all that the store's logs hold; the versions are those of the last changes there.
    """

    vm: str
    incarnation: int
    data_center: str
    caller_address: str = kind_field(Address())
    peer_address: str = kind_field(Address())
    ready: bool = kind_field(Flag())
    reading: bool = kind_field(Flag())
    leaving: bool = kind_field(Flag())
    config_version: int = kind_field(VERSION)
    registry_version: int = kind_field(VERSION)
    every_ms: float = kind_field(Number(0, LONGEST_MS), 1_000.0)
    wants_answer: bool = False
    requests_per_s: int = kind_field(Integer(0), 0)
    near_vms: int = kind_field(Integer(0), 0)
    evacuation_version: int = kind_field(VERSION, -1)
    registry_as_of: int = kind_field(VERSION, -1)
    config_as_of: int = kind_field(VERSION, -1)


@dataclass(frozen=True, slots=True)
class LoadReports:
    """Load figures of backend servers: incarnation, figure, and its age when this was sent."""

    vm: str
    reports: tuple[tuple[str, LoadReport, float], ...]


@dataclass(frozen=True, slots=True)
class ServerChanges:
    """What has changed in the registry since a version, as `Registry.to_document` gives it."""

    vm: str
    base_version: int
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class InFlightCounts:
    """How many requests a VM has in flight at each backend server; those left out have none."""

    vm: str
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class InFlightCountChanges:
    """The counts of `InFlightCounts` that have changed; the others are as they were."""

    vm: str
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class Failures:
    """Incarnations at which a request of a VM has just failed.

    Each comes with the age of the request when this was sent, and whether the incarnation had
    answered the VM shortly before it failed.
    """

    vm: str
    rows: list[tuple[str, float, bool]]


@dataclass(frozen=True, slots=True)
class Refusals:
    """Incarnations that have just turned a request of a VM away though they had room."""

    vm: str
    incarnations: list[str]


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """How many endpoints in a row have crashed under a request, which its key stands for.

    Nobody else is to send it for `hold_ms`; `is_claim` says that the sender sends a copy meanwhile.
    Without a crash the request was answered well, and is clear.
    """

    key: int
    crashes: int
    hold_ms: float = 0.0
    is_claim: bool = False

    @classmethod
    def from_row(cls, key: int, crashes: int, held_ms: float, claimed: bool) -> "CrashRecord":
        """Build one from a row of a datagram.  Raises `TypeError` or `ValueError`."""
        has_types = type(key) is type(crashes) is int and isinstance(claimed, bool)
        if not has_types or type(held_ms) not in (int, float):
            raise TypeError("a suspicion of other types")
        if not 0 <= key < KEY_LIMIT or crashes < 0 or not 0 <= held_ms < inf:
            raise ValueError("a suspicion out of range")
        return cls(key, crashes, float(held_ms), claimed)

    def to_row(self) -> list[Any]:
        """Return the form in which it stands in a datagram."""
        return [self.key, self.crashes, round(self.hold_ms), self.is_claim]


@dataclass(frozen=True, slots=True)
class CrashRecords:
    """What a VM holds against some requests."""

    vm: str
    rows: tuple[CrashRecord, ...]


@dataclass(frozen=True, slots=True)
class RateLimitEntry:
    """The limit that an endpoint has named, in requests a second, and the age of its word.

    Without a limit, it has ceased to name one.
    """

    incarnation: str
    per_s: float | None
    age_ms: float

    @classmethod
    def from_row(cls, incarnation: str, per_s: float | None, age_ms: float) -> "RateLimitEntry":
        """Build one from a row of a datagram.  Raises `TypeError` or `ValueError`."""
        numbers = [age_ms] if per_s is None else [age_ms, per_s]
        if not isinstance(incarnation, str) or any(type(x) not in (int, float) for x in numbers):
            raise TypeError("a limit of other types")
        if not all(0 <= number < inf for number in numbers):
            raise ValueError("a limit out of range")
        return cls(incarnation, per_s, float(age_ms))

    def to_row(self) -> list[Any]:
        """Return the form in which it stands in a datagram."""
        return [self.incarnation, self.per_s, round(self.age_ms)]


@dataclass(frozen=True, slots=True)
class RateLimitUpdate:
    """What a VM has heard of the limits of endpoints."""

    vm: str
    rows: tuple[RateLimitEntry, ...]


@dataclass(frozen=True, slots=True)
class Relay:
    """An encoded message for each VM of the receiver's data centre, the receiver included."""

    vm: str
    data: bytes


PeerMessage = (
    Heartbeat
    | LoadReports
    | ServerChanges
    | InFlightCounts
    | Relay
    | Failures
    | Refusals
    | InFlightCountChanges
    | CrashRecords
    | RateLimitUpdate
)
MESSAGE_TYPES: tuple[type, ...] = (
    Heartbeat,
    LoadReports,
    ServerChanges,
    InFlightCounts,
    Relay,
    Failures,
    Refusals,
    InFlightCountChanges,
    CrashRecords,
    RateLimitUpdate,
)
PLAIN_FIELDS = {
    kind: tuple(item.name for item in fields(kind))
    for kind in (Heartbeat, Relay, Failures, Refusals)
}
"""The kinds whose fields follow each other in a datagram as they are."""
HEARTBEAT_CHECKS = tuple((name, checker(kind)) for name, kind in table_of(Heartbeat).fields.items())
is_registry_document = checker(REGISTRY_DOCUMENT)


def encode(message: PeerMessage) -> bytes:
    """Return a message as a datagram."""
    kind = MESSAGE_TYPES.index(type(message))
    if isinstance(message, LoadReports):
        rows = [_row(*item) for item in message.reports]
        return cbor2.dumps([kind, message.vm, rows])
    if isinstance(message, CrashRecords | RateLimitUpdate):
        return cbor2.dumps([kind, message.vm, [row.to_row() for row in message.rows]])
    if isinstance(message, InFlightCounts | InFlightCountChanges):
        return cbor2.dumps([kind, message.vm, message.counts])
    if isinstance(message, ServerChanges):
        return cbor2.dumps([kind, message.vm, message.base_version, message.document])
    return cbor2.dumps([kind, *(getattr(message, item) for item in PLAIN_FIELDS[type(message)])])


def decode(data: bytes) -> PeerMessage:
    """Return the message of a datagram.  Raises `MessageError` for anything else."""
    try:
        kind, *values = cbor2.loads(data)
        if MESSAGE_TYPES[kind] is LoadReports:
            vm, rows = values
            message = LoadReports(vm, tuple(_figure(*row) for row in rows))
        elif MESSAGE_TYPES[kind] is CrashRecords:
            vm, rows = values
            message = CrashRecords(vm, tuple(CrashRecord.from_row(*row) for row in rows))
        elif MESSAGE_TYPES[kind] is RateLimitUpdate:
            vm, rows = values
            message = RateLimitUpdate(vm, tuple(RateLimitEntry.from_row(*row) for row in rows))
        else:
            message = MESSAGE_TYPES[kind](*values)
    except (cbor2.CBORError, TypeError, ValueError, IndexError, RecursionError) as error:
        raise MessageError(f"a datagram that is no message: {error!r}") from error
    if not isinstance(message.vm, str) or not _is_sound(message):
        raise MessageError(f"a datagram that is no sound {type(message).__name__}")
    return message


def _is_sound(message: PeerMessage) -> bool:
    """Return whether the fields of a message have the right types, so far as decoding left open."""
    match message:
        case Heartbeat():
            return all(accepts(getattr(message, name)) for name, accepts in HEARTBEAT_CHECKS)
        case ServerChanges():
            base_is_sound = type(message.base_version) is int
            return base_is_sound and is_registry_document(message.document)
        case InFlightCounts() | InFlightCountChanges():
            counts = message.counts
            return isinstance(counts, dict) and all(map(_is_count, counts, counts.values()))
        case Relay():
            return isinstance(message.data, bytes)
        case Failures():
            return isinstance(message.rows, list) and all(map(_is_failure, message.rows))
        case Refusals():
            names = message.incarnations
            return isinstance(names, list) and all(isinstance(name, str) for name in names)
    return True


def _is_count(incarnation: object, count: object) -> bool:
    return isinstance(incarnation, str) and type(count) is int and count >= 0


def _is_failure(row: object) -> bool:
    if not isinstance(row, list) or len(row) != 3:
        return False
    incarnation, age_ms, answered = row
    has_age = type(age_ms) in (int, float) and 0 <= age_ms < inf
    return isinstance(incarnation, str) and has_age and isinstance(answered, bool)


def _row(incarnation: str, figure: LoadReport, age_ms: float) -> list[Any]:
    pace = round(figure.slowdown * 100) if figure.reachable else -1
    row = [incarnation, figure.running, figure.waiting, pace, round(age_ms)]
    return [*row, round(figure.cold_for_ms)] if figure.cold_for_ms else row


def _figure(
    incarnation: str, running: int, waiting: int, pace: int, age_ms: float, cold_ms: float = 0
) -> tuple[str, LoadReport, float]:
    if not (type(running) is type(waiting) is type(pace) is int and isinstance(incarnation, str)):
        raise TypeError("a load figure of other types")
    if running < 0 or waiting < 0 or not 0 <= age_ms < inf or not 0 <= cold_ms < inf:
        raise ValueError("a load figure out of range")
    reachable = pace >= 0
    return (
        incarnation,
        LoadReport(running, waiting, pace / 100 if reachable else 1.0, reachable, float(cold_ms)),
        age_ms,
    )
