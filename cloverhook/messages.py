"""The messages that daemons send each other, and their CBOR form.

Layer: protocol.  Each message is a frozen data class; `encode` writes it as a CBOR array of the
protocol version, the message's tag and its fields in order.  A field that a newer version adds
goes to the end and has a default, so that older and newer daemons understand each other during a
rolling replacement.

>>> decode(encode(Heartbeat("vm-1", 7, 12)))
Heartbeat(vm='vm-1', incarnation=7, config_offset=12, leaving=False)
"""

from dataclasses import dataclass, fields
from typing import Any

import cbor2

from cloverhook.errors import MessageError

__all__ = [
    "PROTOCOL_VERSION",
    "Heartbeat",
    "Hello",
    "Message",
    "RecordsPassedOn",
    "SlotAsk",
    "SlotGrant",
    "SlotReturn",
    "decode",
    "encode",
]

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link: who speaks, and the proof that it holds the shared key."""

    vm: str
    data_center: str
    caller_address: str
    peer_address: str
    incarnation: int
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A daemon is alive.

    `incarnation` grows with each start; `config_offset` is the offset of the record it takes next.
    """

    vm: str
    incarnation: int
    config_offset: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RecordsPassedOn:
    """Records of the configuration stream, from `from_offset` on, for a peer that lacks them."""

    from_offset: int
    records: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class SlotAsk:
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

    An address may stand twice.  With none, the sender has no slot to spare now; `working` is False
    when none of the endpoints it owns can be reached.
    """

    service: str
    addresses: tuple[str, ...]
    working: bool = True


@dataclass(frozen=True, slots=True)
class SlotReturn:
    """Slots that were granted are no longer used.

    `suspicion` tells for each address how much evidence of trouble the sender has seen there.
    """

    service: str
    addresses: tuple[str, ...]
    suspicion: tuple[int, ...]


Message = Hello | Heartbeat | RecordsPassedOn | SlotAsk | SlotGrant | SlotReturn

TAGS: dict[str, type] = {
    "hello": Hello,
    "heartbeat": Heartbeat,
    "records": RecordsPassedOn,
    "ask": SlotAsk,
    "grant": SlotGrant,
    "return": SlotReturn,
}
TAG_OF = {kind: tag for tag, kind in TAGS.items()}
FIELDS = {kind: tuple(field.name for field in fields(kind)) for kind in TAG_OF}


def encode(message: Message) -> bytes:
    """Return the CBOR form of a message."""
    kind = type(message)
    values = [getattr(message, name) for name in FIELDS[kind]]
    return cbor2.dumps([PROTOCOL_VERSION, TAG_OF[kind], *values])


def decode(data: bytes) -> Message:
    """Return the message for its CBOR form.  Raises `MessageError` for anything else.

    Fields that this version does not know are dropped.
    """
    try:
        _version, tag, *values = cbor2.loads(data)
        kind = TAGS[tag]
        known = values[: len(FIELDS[kind])]
        return kind(*(tuple(value) if isinstance(value, list) else value for value in known))
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"message: {error!r}") from error
