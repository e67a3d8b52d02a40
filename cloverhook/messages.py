"""The messages that daemons send each other, and their CBOR form.

Layer: protocol.  Each message is a frozen data class; `encode` writes it as a CBOR array of the
protocol version, the sender's hybrid logical clock timestamp, the message's tag and its fields in
order.  A field that a newer version adds goes to the end and has a default, so that older and newer
daemons understand each other during a rolling replacement.

>>> decode(encode(RecordsRequest(12)))
RecordsRequest(from_offset=12)

A message about one service has a field `service`, the service's key, which is unique across brands;
the daemon passes the message to that service's router.
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
    """The first message on a link: the sender's identity and the proof that it has the shared key.

    `target` is the VM that the sender intends to reach; the side that opens the link may leave it
    empty when it has only an address.
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
    """A periodic sign that a daemon is alive.

    `incarnation` grows with each start of the daemon; `config_offset` is the offset of the next
    configuration record that the daemon needs.  `sequence` counts the updates that the daemon has
    published about itself in this incarnation.  `digest` summarises its member table, so that two
    daemons can detect that their tables differ.
    """

    vm: str
    incarnation: int
    config_offset: int
    leaving: bool = False
    sequence: int = 0
    digest: int = 0


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What a daemon has recorded about a member; `status` is a value of `members.Status`.

    `load_tenths` is the load that the member's process reported, in tenths of a core.
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
    """Updates of members that have changed or that the receiver lacks."""

    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class MemberDigests:
    """One digest for each bucket of members; the receiver replies with the buckets that differ."""

    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an immediate heartbeat."""


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks the receiver for an indirect probe of a VM from which the sender receives nothing."""

    target: str


@dataclass(frozen=True, slots=True)
class ProbeSuccess:
    """Reply to a probe request: the sender has received a message from the target VM itself."""

    target: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RecordsRequest:
    """Requests the configuration records from an offset on."""

    from_offset: int


@dataclass(frozen=True, slots=True)
class RecordsReply:
    """Records of the configuration stream, from `from_offset` on, for a peer that lacks them."""

    from_offset: int
    records: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Asks for slots that the receiver owns, because the sender has queued requests.

    `waiting` is the number of queued requests, `oldest_ms` how long the first of them has waited,
    and `priority` the highest priority among them.  The message is valid for a short time; one with
    `waiting` 0 withdraws the earlier one.
    """

    service: str
    priority: int
    waiting: int
    oldest_ms: int


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """Reply to a slot request: the receiver may use one slot of each address until it returns it.

    An address may occur more than once.  Without any address, the sender has no slot to lend now;
    `has_working_endpoint` is False when none of the endpoints that the sender owns can be reached.
    """

    service: str
    addresses: tuple[str, ...]
    has_working_endpoint: bool = True


@dataclass(frozen=True, slots=True)
class SlotReturn:
    """Returns slots that were granted and are no longer used.

    `failure_evidence` gives, for each address, how much evidence of failures the sender has seen.
    """

    service: str
    addresses: tuple[str, ...]
    failure_evidence: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StateReply:
    """The whole configuration state, in the form of `state.State.to_document`.

    It is for a peer that is too far behind to catch up with single records.
    """

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
    """Return the CBOR form of a message with the timestamp at which it is sent."""
    kind = type(message)
    head = [PROTOCOL_VERSION, (stamp.wall_us, stamp.counter), TAG_OF[kind]]
    if kind is MemberUpdates:
        rows = [[getattr(item, name) for name in UPDATE_FIELDS] for item in message.updates]
        return cbor2.dumps([*head, rows])
    return cbor2.dumps([*head, *(getattr(message, name) for name in FIELDS[kind])])


def decode(data: bytes) -> Message:
    """Return the message for its CBOR form.  Raises `MessageError` for invalid input.

    Additional fields that this version does not define are ignored.
    """
    return decode_stamped(data)[1]


def decode_stamped(data: bytes) -> tuple[Stamp, Message]:
    """Return a message and its sender's timestamp.  Raises `MessageError` as `decode` does."""
    try:
        _version, (wall_us, counter), tag, *values = cbor2.loads(data)
        return Stamp(int(wall_us), int(counter)), _decode_fields(TAGS[tag], values)
    except (cbor2.CBORDecodeError, IndexError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"the message can't be decoded: {error!r}") from error


def _decode_fields(kind: type, values: list[Any]) -> Message:
    if kind is MemberUpdates:
        return _decode_updates(values[0])
    field_values = values[: len(FIELDS[kind])]
    return kind(*(tuple(value) if isinstance(value, list) else value for value in field_values))


def _decode_updates(rows: list[list[Any]]) -> MemberUpdates:
    field_count = len(UPDATE_FIELDS)
    return MemberUpdates(tuple(MemberUpdate(*row[:field_count]) for row in rows))
