"""The sockets between gateways: UDP for small and frequent messages, TCP for whole states.

Layer: transport.  A datagram may be lost, so everything sent in datagrams is repeated later.  A
whole state is requested over TCP, on the same port number, and is sent compressed.

Every datagram and every state request starts with a tag that identifies the fleet.  The address of
a VM that is gone may be assigned to a VM of another fleet, whose versions would count as newer than
the own ones.
"""

import asyncio
import struct
import zlib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import cbor2
import xxhash

from cloverhook.checking import Address, AnyTable, Integer, Table, Text, faults_of
from cloverhook.errors import MessageError, UpstreamError
from cloverhook.gateway.datagram_port import DatagramPort, SocketAddress
from cloverhook.gateway.frames import read_frame, write_frame
from cloverhook.gateway.peer_messages import PeerMessage, decode, type_name_of
from cloverhook.gateway.proxied_request import PROXIED_KEY

__all__ = ["StateReply", "PeerLink"]

FLEET_TAG = struct.Struct(">I")
FETCH_TIMEOUT_S = 1.0
"""A transfer is abandoned if the peer sends nothing for this long, or can't be connected to."""
ACKNOWLEDGE_TIMEOUT_S = 0.7
SLOW_LINK_BYTES_PER_S = 250_000
ACKNOWLEDGEMENT = b"\x06"
"""Sent by the requesting peer once it has received the whole state."""

StateRequest = dict[str, Any]
ProxiedHandler = Callable[[Any, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
STATE_REQUEST = Table(
    {
        "config": Integer(-1),
        "registry": Integer(-1),
        "evacuations": Integer(-1),
        "addresses": Text(),
        "peer_address": Address(),
        "data_center": Text(),
    }
)
"""Fields of a state request: the versions that the requesting peer has, or the data centre whose
addresses it wants, and the address and data centre of that peer."""


@dataclass(frozen=True, slots=True)
class StateReply:
    """A state for a peer.

    After the transfer `on_transfer_end` is called, with True if the peer has acknowledged the whole
    state.
    """

    state: dict[str, Any]
    on_transfer_end: Callable[[bool], None] | None = None


class PeerLink:
    """A UDP and a TCP socket on one port number, for messages and for whole states."""

    def __init__(
        self,
        on_message: Callable[[PeerMessage, str], None],
        answer: Callable[[StateRequest], Awaitable[StateReply]],
        on_invalid_message: Callable[[str, MessageError], None],
        fleet: str = "",
        receive_batch_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Set up the link; `open` opens the sockets.

        `fleet` is a string that all VMs of a fleet share and that no other fleet uses.
        `on_message` is called with each message and its sender's address, and `on_invalid_message`
        with a sender and an error for data that is not a valid message or request.  `answer`
        returns the reply to a peer's state request.  Datagrams that arrive within
        `receive_batch_ms()` of each other are read in one batch.
        """
        self._fleet_tag = FLEET_TAG.pack(xxhash.xxh32_intdigest(fleet.encode()))
        self._on_message = on_message
        self._answer = answer
        self._on_invalid_message = on_invalid_message
        self._port = DatagramPort(self._on_datagram, receive_batch_ms)
        self._server: asyncio.Server | None = None
        self.serve_proxied: ProxiedHandler | None = None
        """Serves the request of another gateway, given its values and the connection."""
        self.messages_sent: Counter[str] = Counter()
        """How many datagrams were sent, by type of message."""
        self.bytes_sent: Counter[str] = Counter()

    @property
    def fleet_tag(self) -> bytes:
        """What each datagram, state request and proxied request of the fleet begins with."""
        return self._fleet_tag

    async def open(self, address: str) -> None:
        """Open both sockets at an address of the form `host:port`."""
        host, port = _split(address)
        self._port.open((host, port))
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Close both sockets."""
        self._port.close()
        if self._server is not None:
            self._server.close()

    def send_encoded(self, address: str, data: bytes) -> None:
        """Send an encoded message, which may be lost."""
        name = type_name_of(data)
        self.messages_sent[name] += 1
        self.bytes_sent[name] += len(data)
        self._port.send(self._fleet_tag + data, _split(address))

    async def fetch(self, address: str, request: StateRequest) -> dict[str, Any]:
        """Request a peer's state.  Raises `MessageError` if no valid state is received."""
        host, port = _split(address)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
            try:
                write_frame(writer, self._fleet_tag + cbor2.dumps(request))
                data = await read_frame(reader, FETCH_TIMEOUT_S)
                writer.write(ACKNOWLEDGEMENT)
                state = cbor2.loads(zlib.decompress(data))
            finally:
                writer.close()
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            zlib.error,
            RecursionError,
            cbor2.CBORError,
        ) as error:
            raise MessageError(f"could not fetch the state from {address}: {error!r}") from error
        if faults_of(AnyTable(), "", state):
            raise MessageError(f"invalid state from {address}: {type(state).__name__}")
        return state

    def _on_datagram(self, data: bytes, address: SocketAddress) -> None:
        """Decode a message and pass it on."""
        sender = f"{address[0]}:{address[1]}"
        try:
            message = decode(self._without_fleet_tag(data))
        except MessageError as error:
            self._on_invalid_message(sender, error)
            return
        self._on_message(message, sender)

    def _without_fleet_tag(self, data: bytes) -> bytes:
        """Return the data after the fleet's tag.  Raises `MessageError` if the tag differs."""
        if not data.startswith(self._fleet_tag):
            raise MessageError("data from another fleet: the fleet tag differs")
        return data[FLEET_TAG.size :]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reply: StateReply | None = None
        received = False
        try:
            frame = await read_frame(reader, FETCH_TIMEOUT_S)
            request = cbor2.loads(self._without_fleet_tag(frame))
            if isinstance(request, dict) and PROXIED_KEY in request and self.serve_proxied:
                await self.serve_proxied(request[PROXIED_KEY], reader, writer)
                return
            if faults_of(STATE_REQUEST, "", request):
                raise MessageError("invalid state request")
            reply = await self._answer(request)
            data = zlib.compress(cbor2.dumps(reply.state))
            write_frame(writer, data)
            if reply.on_transfer_end is not None:
                received = await self._is_acknowledged(reader, len(data))
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            RecursionError,
            MessageError,
            UpstreamError,
            cbor2.CBORError,
        ) as error:
            self._on_invalid_message("a peer that requested the state", MessageError(repr(error)))
        except asyncio.CancelledError:
            # The process ends.  The streams of Python 3.11 print a traceback for a cancelled task.
            pass
        finally:
            writer.close()
            if reply is not None and reply.on_transfer_end is not None:
                reply.on_transfer_end(received)

    async def _is_acknowledged(self, reader: asyncio.StreamReader, size_bytes: int) -> bool:
        """Return whether a peer acknowledges the state within the time that a slow link needs."""
        try:
            async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S + size_bytes / SLOW_LINK_BYTES_PER_S):
                return await reader.read(len(ACKNOWLEDGEMENT)) == ACKNOWLEDGEMENT
        except TimeoutError:
            return False


def _split(address: str) -> SocketAddress:
    host, _, port = address.rpartition(":")
    return host, int(port)
