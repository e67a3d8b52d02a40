"""The sockets between gateways: datagrams for what is small and frequent, TCP for whole states.

Layer: transport.  A datagram may be lost; everything in one is said again.  A whole state is asked
for over TCP, on the same port, and comes compressed.

Everything starts with the mark of the fleet.  The address of a VM that is gone may be given to one
of another fleet, whose versions would count as newer than the own ones.
"""

import asyncio
import struct
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import cbor2
import xxhash

from cloverhook.checking import Address, Anything, Integer, Table, Text, faults_of
from cloverhook.errors import MessageError
from cloverhook.gateway.datagram_port import DatagramPort, SocketAddress
from cloverhook.gateway.peer_messages import PeerMessage, decode

__all__ = ["StateReply", "PeerLink"]

LENGTH = struct.Struct(">I")
MARK = struct.Struct(">I")
STATE_LIMIT_BYTES = 16 * 1024 * 1024
FETCH_TIMEOUT_S = 1.0
"""Without a byte for this long, a peer is given up."""
CHUNK_BYTES = 16 * 1024
RECEIPT_S = 0.7
SLOWEST_BYTES_PER_S = 250_000
RECEIVED = b"\x06"
"""What an asker says once it has all."""

Asked = dict[str, Any]
ASKED = Table(
    {
        "config": Integer(-1),
        "registry": Integer(-1),
        "evacuations": Integer(-1),
        "addresses": Text(),
        "peer_address": Address(),
        "data_center": Text(),
    }
)
"""The versions that are known, or the data centre whose addresses are wanted; and who asks."""


@dataclass(frozen=True, slots=True)
class StateReply:
    """A state for a peer; `on_transfer_end` hears whether the peer has received it."""

    state: dict[str, Any]
    on_transfer_end: Callable[[bool], None] | None = None


class PeerLink:
    """One port for datagrams and for whole states."""

    def __init__(
        self,
        on_message: Callable[[PeerMessage, str], None],
        answer: Callable[[Asked], Awaitable[StateReply]],
        on_invalid_message: Callable[[str, MessageError], None],
        fleet: str = "",
        receive_batch_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """`fleet` is what all VMs of a fleet have in common and no other fleet has.

        Datagrams that come within `receive_batch_ms()` of each other are read together.
        """
        self._mark = MARK.pack(xxhash.xxh32_intdigest(fleet.encode()))
        self._on_message = on_message
        self._answer = answer
        self._on_invalid_message = on_invalid_message
        self._port = DatagramPort(self._on_datagram, receive_batch_ms)
        self._server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Open both sockets."""
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
        self._port.send(self._mark + data, _split(address))

    async def fetch(self, address: str, request: Asked) -> dict[str, Any]:
        """Ask a peer for its state.  Raises `MessageError` when none comes."""
        host, port = _split(address)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
            try:
                _put(writer, self._mark + cbor2.dumps(request))
                data = await _get(reader)
                writer.write(RECEIVED)
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
            raise MessageError(f"no state from {address}: {error!r}") from error
        if faults_of(Anything(), "", state):
            raise MessageError(f"no state from {address}: {type(state).__name__}")
        return state

    def _on_datagram(self, data: bytes, address: SocketAddress) -> None:
        """Decode a message and hand it on."""
        sender = f"{address[0]}:{address[1]}"
        try:
            message = decode(self._own(data))
        except MessageError as error:
            self._on_invalid_message(sender, error)
            return
        self._on_message(message, sender)

    def _own(self, data: bytes) -> bytes:
        """Return what follows the fleet's mark.  Raises `MessageError` for another fleet's."""
        if not data.startswith(self._mark):
            raise MessageError("it is not of this fleet")
        return data[MARK.size :]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer: StateReply | None = None
        received = False
        try:
            asked = cbor2.loads(self._own(await _get(reader)))
            if faults_of(ASKED, "", asked):
                raise MessageError("no question for a state")
            answer = await self._answer(asked)
            data = zlib.compress(cbor2.dumps(answer.state))
            _put(writer, data)
            if answer.on_transfer_end is not None:
                received = await self._was_received(reader, len(data))
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            RecursionError,
            MessageError,
            cbor2.CBORError,
        ) as error:
            self._on_invalid_message("a peer that asked for the state", MessageError(repr(error)))
        except asyncio.CancelledError:
            pass  # The process ends.  Streams of Python 3.11 print a trace for a cancelled task.
        finally:
            writer.close()
            if answer is not None and answer.on_transfer_end is not None:
                answer.on_transfer_end(received)

    async def _was_received(self, reader: asyncio.StreamReader, size_bytes: int) -> bool:
        """Wait until a peer says that it has all, for as long as a slow link needs."""
        try:
            async with asyncio.timeout(RECEIPT_S + size_bytes / SLOWEST_BYTES_PER_S):
                return await reader.read(len(RECEIVED)) == RECEIVED
        except TimeoutError:
            return False


def _split(address: str) -> SocketAddress:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _put(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(LENGTH.pack(len(data)) + data)


async def _get(reader: asyncio.StreamReader) -> bytes:
    """Return what a peer has put.  Raises `TimeoutError` once it sends nothing for a while."""
    (left_bytes,) = LENGTH.unpack(await _read(reader, LENGTH.size))
    if left_bytes > STATE_LIMIT_BYTES:
        raise MessageError(f"a state of {left_bytes} bytes")
    chunks = []
    while left_bytes:
        chunks.append(await _read(reader, min(left_bytes, CHUNK_BYTES)))
        left_bytes -= len(chunks[-1])
    return b"".join(chunks)


async def _read(reader: asyncio.StreamReader, size_bytes: int) -> bytes:
    async with asyncio.timeout(FETCH_TIMEOUT_S):
        return await reader.readexactly(size_bytes)
