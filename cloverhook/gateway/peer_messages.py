"""The messages between gateways: small datagrams in CBOR.

Layer: protocol.  Each message is encoded as a list that starts with the number of its type, which
keeps datagrams small: traffic between data centres costs money.  `decode` raises `MessageError` for
anything that is not a complete message with fields of the right types, so that code behind `decode`
never has to handle malformed input, whatever reaches the port.

>>> decode(encode(InFlightCounts("vm-1", {"i-7": 2}))).counts
{'i-7': 2}
"""

from dataclasses import dataclass, fields
from io import BytesIO
from typing import Any

import cbor2

from cloverhook.checking import Address, Flag, Integer, Number, compile_check, kind_field, table_of
from cloverhook.errors import MessageError
from cloverhook.gateway.peer_rows import (
    AGE_LIMIT_MS,
    AccountUseRow,
    BackoffEntry,
    CrashRecord,
    DrainNoticeEntry,
    RateLimitEntry,
)
from cloverhook.gateway.registry import REGISTRY_DOCUMENT
from cloverhook.gateway.server_load import LoadReport

__all__ = [
    "AccountUse",
    "Heartbeat",
    "InFlightCountChanges",
    "Failures",
    "is_registry_document",
    "Identity",
    "InFlightCounts",
    "LinkOffer",
    "LinkStatus",
    "LoadReports",
    "PeerMessage",
    "RateLimitUpdate",
    "Refusals",
    "Relay",
    "ServerChanges",
    "StoreConfirmation",
    "CrashRecords",
    "BackoffUpdate",
    "ClockAnswer",
    "ClockRequest",
    "DrainNoticeUpdate",
    "decode",
    "encode",
    "type_name_of",
]

VERSION = Integer(-1)
"""A version is -1 as long as nothing is known."""
HEARTBEAT_LIMIT_MS = 3_600_000.0


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a gateway: its VM, process and addresses.

    It stays the same for the lifetime of the process; `incarnation` differs for each process.
    """

    vm: str
    incarnation: int
    data_center: str
    caller_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat with the sender's identity, status and state versions.

    `reading` tells whether the sender follows the store now.  `every_ms` is the interval at which
    the receiver gets heartbeats from the sender.  `wants_answer` asks for a heartbeat in return.
    `requests_per_s` is the rate of requests that callers send to the VM.  `near_vms` is the number
    of VMs that the sender has recorded in its data centre, itself included.  `evacuation_version`
    is the log offset up to which it has the evacuated data centres.  Up to `registry_as_of` and
    `config_as_of` it has everything in the store's logs; the versions are those of the last changes
    before these positions.  `processor_cores` and `link_mbps` are what the VM may use, 0 where that
    is not stated; they follow the message as a CBOR item of its own, and only if one is stated.
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
    every_ms: float = kind_field(Number(0, HEARTBEAT_LIMIT_MS), 1_000.0)
    wants_answer: bool = False
    requests_per_s: int = kind_field(Integer(0), 0)
    near_vms: int = kind_field(Integer(0), 0)
    evacuation_version: int = kind_field(VERSION, -1)
    registry_as_of: int = kind_field(VERSION, -1)
    config_as_of: int = kind_field(VERSION, -1)
    processor_cores: float = kind_field(Number(0), 0.0)
    link_mbps: float = kind_field(Number(0), 0.0)


@dataclass(frozen=True, slots=True)
class LoadReports:
    """Load reports of backend servers: incarnation, report, and its age in ms when sent."""

    vm: str
    reports: tuple[tuple[str, LoadReport, float], ...]


@dataclass(frozen=True, slots=True)
class ServerChanges:
    """Changes in the registry since `base_version`, in the form of `Registry.to_document`."""

    vm: str
    base_version: int
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class InFlightCounts:
    """The number of requests that a VM has in flight at each backend server.

    Backend servers that are missing in `counts` have none.
    """

    vm: str
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class InFlightCountChanges:
    """The counts of `InFlightCounts` that have changed; all others are unchanged."""

    vm: str
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class Failures:
    """Incarnations at which a request of a VM has just failed.

    A row has the incarnation, the age of the request in ms when the message was sent, and whether
    the incarnation had answered a request of the VM shortly before the failure.
    """

    vm: str
    rows: list[tuple[str, float, bool]]


@dataclass(frozen=True, slots=True)
class Refusals:
    """Incarnations that have just rejected a request of a VM although they had free slots."""

    vm: str
    incarnations: list[str]


@dataclass(frozen=True, slots=True)
class CrashRecords:
    """The crash records of a VM for some requests."""

    vm: str
    rows: tuple[CrashRecord, ...]


@dataclass(frozen=True, slots=True)
class RateLimitUpdate:
    """The rate limits of endpoints that a VM has learned of."""

    vm: str
    rows: tuple[RateLimitEntry, ...]


@dataclass(frozen=True, slots=True)
class DrainNoticeUpdate:
    """The drain notices that a VM knows of."""

    vm: str
    rows: tuple[DrainNoticeEntry, ...]


@dataclass(frozen=True, slots=True)
class BackoffUpdate:
    """What endpoints have asked of a VM."""

    vm: str
    rows: tuple[BackoffEntry, ...]


@dataclass(frozen=True, slots=True)
class LinkStatus:
    """The endpoints that a VM does not reach, and the services of which it reaches none.

    A row has the incarnation, and for how long the VM has not reached it, in ms.  Of the services
    in `wanted` it reaches none that may serve certain routes.
    """

    vm: str
    rows: list[tuple[str, float]]
    services: list[str]
    wanted: list[str]


@dataclass(frozen=True, slots=True)
class LinkOffer:
    """The services for which a VM sends requests on for a VM that reaches none of their endpoints.

    A row has the service, and the time in ms since the VM had an answer of one of its endpoints.
    """

    vm: str
    rows: list[tuple[str, float]]


@dataclass(frozen=True, slots=True)
class StoreConfirmation:
    """How far the store's feeds went, by a VM that has read them.

    Nothing newer than the versions was written up to `config_age_ms` and `registry_age_ms` before
    the message was sent; an age is -1 where that isn't known.  `sent_ms` is the sender's monotonic
    clock, which is compared only with other messages of the same process.
    """

    vm: str
    incarnation: int
    sent_ms: float = kind_field(Number(0))
    config_version: int = kind_field(VERSION)
    evacuation_version: int = kind_field(VERSION)
    config_age_ms: float = kind_field(Number(-1, AGE_LIMIT_MS))
    registry_version: int = kind_field(VERSION)
    registry_age_ms: float = kind_field(Number(-1, AGE_LIMIT_MS))


@dataclass(frozen=True, slots=True)
class ClockRequest:
    """Asks for the time on the receiver's clock; `sent_ms` is the sender's monotonic clock."""

    vm: str
    incarnation: int
    sent_ms: float = kind_field(Number(0))


@dataclass(frozen=True, slots=True)
class ClockAnswer:
    """The answer to a `ClockRequest`.

    `requested_ms` is the `sent_ms` of the request, and `answered_ms` the answering process's
    monotonic clock.
    """

    vm: str
    incarnation: int
    requested_ms: float = kind_field(Number(0))
    answered_ms: float = kind_field(Number(0))


@dataclass(frozen=True, slots=True)
class AccountUse:
    """The use of client accounts at a VM, in rows that have changed or are repeated.

    With `ends`, the VM gets no more requests and sends no further reports for now.  If the message
    `is_whole`, it has a row for each account that has a demand at the VM.
    """

    vm: str
    incarnation: int
    ends: bool
    is_whole: bool
    rows: tuple[AccountUseRow, ...]


@dataclass(frozen=True, slots=True)
class Relay:
    """An encoded message for every VM of the receiver's data centre, including the receiver."""

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
    | DrainNoticeUpdate
    | BackoffUpdate
    | LinkStatus
    | LinkOffer
    | StoreConfirmation
    | AccountUse
    | ClockRequest
    | ClockAnswer
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
    DrainNoticeUpdate,
    BackoffUpdate,
    LinkStatus,
    LinkOffer,
    StoreConfirmation,
    AccountUse,
    ClockRequest,
    ClockAnswer,
)
UNCONVERTED_FIELDS = {
    message_type: tuple(item.name for item in fields(message_type))
    for message_type in (
        Heartbeat,
        Relay,
        Failures,
        Refusals,
        LinkStatus,
        LinkOffer,
        StoreConfirmation,
        ClockRequest,
        ClockAnswer,
    )
}
"""The message types whose fields are encoded in order, without conversion."""
CAPACITY_FIELDS = UNCONVERTED_FIELDS[Heartbeat][-2:]
"""The fields of a heartbeat that are encoded as a second item.  Versions that don't know them
reject a heartbeat with more fields than their own, but ignore whatever follows the message."""
UNCONVERTED_FIELDS[Heartbeat] = UNCONVERTED_FIELDS[Heartbeat][:-2]
ROW_TYPES = {
    CrashRecords: CrashRecord,
    RateLimitUpdate: RateLimitEntry,
    DrainNoticeUpdate: DrainNoticeEntry,
    BackoffUpdate: BackoffEntry,
}
"""The message types that consist of rows, and the type of a row."""
ROW_MESSAGES = tuple(ROW_TYPES)
DECODING_ERRORS = (
    cbor2.CBORError,
    TypeError,
    ValueError,
    IndexError,
    OverflowError,
    RecursionError,
)
"""`OverflowError`: a row may hold an integer that no float can hold."""
FIELD_CHECKS = {
    message_type: tuple(
        (name, compile_check(kind)) for name, kind in table_of(message_type).fields.items()
    )
    for message_type in (Heartbeat, StoreConfirmation, ClockRequest, ClockAnswer)
}
COUNT_LIMIT = 10**9
"""No VM or endpoint has more requests at a time; greater integers may be no floats."""
is_registry_document = compile_check(REGISTRY_DOCUMENT)


def encode(message: PeerMessage) -> bytes:
    """Return a message encoded as a datagram."""
    type_number = MESSAGE_TYPES.index(type(message))
    if isinstance(message, LoadReports):
        rows = [_report_row(*item) for item in message.reports]
        return cbor2.dumps([type_number, message.vm, rows])
    if isinstance(message, ROW_MESSAGES):
        return cbor2.dumps([type_number, message.vm, [row.to_row() for row in message.rows]])
    if isinstance(message, AccountUse):
        rows = [row.to_row() for row in message.rows]
        own = (message.vm, message.incarnation, message.ends, message.is_whole)
        return cbor2.dumps([type_number, *own, rows])
    if isinstance(message, InFlightCounts | InFlightCountChanges):
        return cbor2.dumps([type_number, message.vm, message.counts])
    if isinstance(message, ServerChanges):
        return cbor2.dumps([type_number, message.vm, message.base_version, message.document])
    data = cbor2.dumps(
        [type_number, *(getattr(message, item) for item in UNCONVERTED_FIELDS[type(message)])]
    )
    if isinstance(message, Heartbeat) and (message.processor_cores or message.link_mbps):
        data += cbor2.dumps([getattr(message, item) for item in CAPACITY_FIELDS])
    return data


def type_name_of(data: bytes) -> str:
    """Return the name of the type of an encoded message, without decoding the message.

    >>> type_name_of(encode(Refusals("vm-1", ["i-7"])))
    'Refusals'
    """
    return MESSAGE_TYPES[data[1]].__name__


def decode(data: bytes) -> PeerMessage:
    """Decode a datagram.  Raises `MessageError` if it is not a valid message."""
    try:
        stream = BytesIO(data)
        type_number, *values = cbor2.load(stream)
        if MESSAGE_TYPES[type_number] is LoadReports:
            vm, rows = values
            message = LoadReports(vm, tuple(_report_of_row(*row) for row in rows))
        elif MESSAGE_TYPES[type_number] is AccountUse:
            *own, rows = values
            message = AccountUse(*own, tuple(AccountUseRow.from_row(*row) for row in rows))
        elif MESSAGE_TYPES[type_number] in ROW_TYPES:
            message_type = MESSAGE_TYPES[type_number]
            vm, rows = values
            message = message_type(
                vm, tuple(ROW_TYPES[message_type].from_row(*row) for row in rows)
            )
        elif MESSAGE_TYPES[type_number] is Heartbeat:
            message = _heartbeat_of(values, data[stream.tell() :])
        else:
            message = MESSAGE_TYPES[type_number](*values)
    except DECODING_ERRORS as error:
        raise MessageError(f"datagram that is not a message: {error!r}") from error
    if not isinstance(message.vm, str) or not _is_valid(message):
        raise MessageError(f"datagram with an invalid {type(message).__name__}")
    return message


def _heartbeat_of(values: list[Any], trailing: bytes) -> Heartbeat:
    """Return a heartbeat with the sender's capacity, if that follows the message.

    Values that a later version appends to the capacity are ignored.
    """
    if len(values) > len(UNCONVERTED_FIELDS[Heartbeat]):
        raise ValueError("heartbeat with too many fields")
    if not trailing:
        return Heartbeat(*values)
    processor_cores, link_mbps, *_ = cbor2.loads(trailing)
    return Heartbeat(*values, processor_cores=processor_cores, link_mbps=link_mbps)


def _is_valid(message: PeerMessage) -> bool:
    """Return whether the fields of a message that decoding did not check have the right types."""
    match message:
        case Heartbeat() | StoreConfirmation() | ClockRequest() | ClockAnswer():
            checks = FIELD_CHECKS[type(message)]
            return all(accepts(getattr(message, name)) for name, accepts in checks)
        case ServerChanges():
            base_is_valid = type(message.base_version) is int
            return base_is_valid and is_registry_document(message.document)
        case InFlightCounts() | InFlightCountChanges():
            counts = message.counts
            return isinstance(counts, dict) and all(map(_is_count, counts, counts.values()))
        case Relay():
            return isinstance(message.data, bytes)
        case Failures():
            return isinstance(message.rows, list) and all(map(_is_failure, message.rows))
        case Refusals():
            names = message.incarnations
            return _are_names(names)
        case LinkStatus():
            are_named = _are_names(message.services) and _are_names(message.wanted)
            return _are_rows(message.rows) and are_named
        case LinkOffer():
            return _are_rows(message.rows)
        case AccountUse():
            flags = (message.ends, message.is_whole)
            return type(message.incarnation) is int and all(isinstance(x, bool) for x in flags)
    return True


def _is_count(incarnation: object, count: object) -> bool:
    return isinstance(incarnation, str) and type(count) is int and 0 <= count <= COUNT_LIMIT


def _are_names(names: object) -> bool:
    return isinstance(names, list) and all(isinstance(name, str) for name in names)


def _are_rows(rows: object) -> bool:
    return isinstance(rows, list) and all(map(_is_row_with_age, rows))


def _is_row_with_age(row: object) -> bool:
    if not isinstance(row, list) or len(row) != 2:
        return False
    name, age_ms = row
    has_age = type(age_ms) in (int, float) and 0 <= age_ms <= AGE_LIMIT_MS
    return isinstance(name, str) and has_age


def _is_failure(row: object) -> bool:
    if not isinstance(row, list) or len(row) != 3:
        return False
    incarnation, age_ms, answered = row
    has_age = type(age_ms) in (int, float) and 0 <= age_ms <= AGE_LIMIT_MS
    return isinstance(incarnation, str) and has_age and isinstance(answered, bool)


def _report_row(incarnation: str, report: LoadReport, age_ms: float) -> list[Any]:
    # In a datagram a slowdown of -1 marks an unreachable endpoint.
    scaled_slowdown = round(report.slowdown * 100) if report.reachable else -1
    row = [incarnation, report.running, report.waiting, scaled_slowdown, round(age_ms)]
    return [*row, round(report.cold_for_ms)] if report.cold_for_ms else row


def _report_of_row(
    incarnation: str,
    running: int,
    waiting: int,
    scaled_slowdown: int,
    age_ms: float,
    cold_for_ms: float = 0,
) -> tuple[str, LoadReport, float]:
    if not (
        type(running) is type(waiting) is type(scaled_slowdown) is int
        and isinstance(incarnation, str)
    ):
        raise TypeError("load report with fields of the wrong type")
    counts_are_valid = 0 <= running <= COUNT_LIMIT and 0 <= waiting <= COUNT_LIMIT
    times_are_valid = 0 <= age_ms <= AGE_LIMIT_MS and 0 <= cold_for_ms <= AGE_LIMIT_MS
    if not counts_are_valid or not times_are_valid:
        raise ValueError("load report with a value out of range")
    reachable = scaled_slowdown >= 0
    return (
        incarnation,
        LoadReport(
            running,
            waiting,
            scaled_slowdown / 100 if reachable else 1.0,
            reachable,
            float(cold_for_ms),
        ),
        age_ms,
    )
