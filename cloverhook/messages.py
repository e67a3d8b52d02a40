"""The messages that daemons send each other, and their CBOR form.

Layer: protocol.  Each message is a frozen data class; `encode` writes it as a CBOR array of the
protocol version, the sender's stamp of the time line, the message's tag and its fields in order.  A
field that a newer version adds goes to the end and has a default, so that older and newer daemons
understand each other during a rolling replacement.

>>> decode(encode(RecordsRequest(12)))
RecordsRequest(from_offset=12)

A message about one service has a field `service`, the service's key across brands; the daemon
passes it to that service's router.
"""

from dataclasses import dataclass, fields
from typing import Any

import cbor2

from cloverhook.errors import MessageError
from cloverhook.timeline import Stamp

__all__ = [
    "PROTOCOL_VERSION",
    "Heartbeat",
    "Hello",
    "MemberDigests",
    "MemberUpdate",
    "MemberUpdates",
    "Message",
    "Ping",
    "ProbeRequest",
    "ProbeSuccess",
    "RecordsReply",
    "RecordsRequest",
    "SlotGrant",
    "SlotRequest",
    "SlotReturn",
    "StateReply",
    "decode",
    "decode_stamped",
    "encode",
]

PROTOCOL_VERSION = 1
NO_STAMP = Stamp(0, 0)


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link: who speaks, and the proof that it holds the shared key.

    `target` is the VM that the speaker means to reach; the side that dials may leave it empty
    when it knows only an address.
    """

    vm: str
    data_center: str
    caller_address: str
    peer_address: str
    incarnation: int
    proof: bytes = b""
    target: str = ""
    sequence: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A daemon is alive.

    `incarnation` grows with each start; `config_offset` is the offset of the record it takes next.
    `sequence` counts what the daemon has said of itself in this incarnation, and `digest` sums up
    the members it knows, so that two daemons notice when they differ.
    """

    vm: str
    incarnation: int
    config_offset: int
    leaving: bool = False
    sequence: int = 0
    digest: int = 0


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What a daemon knows of a member; `status` is a value of `members.Status`.

    `load_tenths` is the load that the member's process told, in tenths of a core.
    """

    vm: str
    data_center: str
    caller_address: str
    peer_address: str
    incarnation: int
    sequence: int
    status: int
    leaving: bool
    load_tenths: int = 0


@dataclass(frozen=True, slots=True)
class MemberUpdates:
    """Members that have changed, or that the receiver lacks."""

    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class MemberDigests:
    """One digest for each bucket of members; the receiver sends the buckets that differ."""

    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a heartbeat at once."""


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks whether the receiver can reach a VM that the sender no longer hears."""

    target: str


@dataclass(frozen=True, slots=True)
class ProbeSuccess:
    """Answers a probe request: the sender has heard from the VM itself."""

    target: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Asks for the configuration records from an offset on."""

    from_offset: int


@dataclass(frozen=True, slots=True)
class RecordsReply:
    """Records of the configuration stream, from `from_offset` on, for a peer that lacks them."""

    from_offset: int
    records: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """The sender has requests waiting and would use slots that the receiver owns.

    `oldest_ms` is how long the first of the `waiting` requests has waited, and `priority` the most
    important priority among them.  It stands for a short time; `waiting` 0 takes it back.
    """

    service: str
    priority: int
    waiting: int
    oldest_ms: int


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """The receiver may use one slot of each address until it returns it; the answer to an ask.

    An address may stand twice.  With none, the sender has no slot to spare now;
    `has_working_endpoint` is False when none of the endpoints it owns can be reached.
    """

    service: str
    addresses: tuple[str, ...]
    has_working_endpoint: bool = True


@dataclass(frozen=True, slots=True)
class SlotReturn:
    """Slots that were granted are no longer used.

    `failure_evidence` tells for each address how much evidence of trouble the sender has seen
    there.
    """

    service: str
    addresses: tuple[str, ...]
    failure_evidence: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StateReply:
    """The whole folded state, as `fold.State.to_document` gives it, for a peer far behind."""

    state: dict[str, Any]


Message = (
    Hello
    | Heartbeat
    | MemberDigests
    | MemberUpdates
    | Ping
    | ProbeRequest
    | RecordsReply
    | RecordsRequest
    | ProbeSuccess
    | SlotRequest
    | SlotGrant
    | SlotReturn
    | StateReply
)

TAGS: dict[str, type] = {
    "hello": Hello,
    "heartbeat": Heartbeat,
    "digests": MemberDigests,
    "members": MemberUpdates,
    "ping": Ping,
    "probe": ProbeRequest,
    "records": RecordsReply,
    "ask": SlotRequest,
    "grant": SlotGrant,
    "return": SlotReturn,
    "wanted": RecordsRequest,
    "seen": ProbeSuccess,
    "state": StateReply,
}
TAG_OF = {kind: tag for tag, kind in TAGS.items()}
FIELDS = {kind: tuple(field.name for field in fields(kind)) for kind in TAG_OF}
UPDATE_FIELDS = tuple(field.name for field in fields(MemberUpdate))


def encode(message: Message, stamp: Stamp = NO_STAMP) -> bytes:
    """Return the CBOR form of a message that is sent at a point of the time line."""
    kind = type(message)
    head = [PROTOCOL_VERSION, (stamp.wall_us, stamp.counter), TAG_OF[kind]]
    if kind is MemberUpdates:
        rows = [[getattr(item, name) for name in UPDATE_FIELDS] for item in message.updates]
        return cbor2.dumps([*head, rows])
    return cbor2.dumps([*head, *(getattr(message, name) for name in FIELDS[kind])])


def decode(data: bytes) -> Message:
    """Return the message for its CBOR form.  Raises `MessageError` for anything else.

    Fields that this version does not know are dropped.
    """
    return decode_stamped(data)[1]


def decode_stamped(data: bytes) -> tuple[Stamp, Message]:
    """Return a message and its sender's stamp.  Raises `MessageError` as `decode` does."""
    try:
        _version, (wall_us, counter), tag, *values = cbor2.loads(data)
        return Stamp(int(wall_us), int(counter)), _decode_fields(TAGS[tag], values)
    except (cbor2.CBORDecodeError, IndexError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"message: {error!r}") from error


def _decode_fields(kind: type, values: list[Any]) -> Message:
    if kind is MemberUpdates:
        return _decode_updates(values[0])
    known = values[: len(FIELDS[kind])]
    return kind(*(tuple(value) if isinstance(value, list) else value for value in known))


def _decode_updates(rows: list[list[Any]]) -> MemberUpdates:
    known = len(UPDATE_FIELDS)
    return MemberUpdates(tuple(MemberUpdate(*row[:known]) for row in rows))
