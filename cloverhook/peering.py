"""Links between daemons: websockets that carry CBOR messages.

Layer: transport.  A link is opened by whichever side needs it.  In the handshake each side proves
that it has the shared key; a link whose other side fails to do so is closed and counted.  A link on
which nothing is received for too long is aborted, and one that was opened on demand is closed when
it is idle.
"""

import asyncio
import contextlib
import logging as std_logging
from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass, replace
from typing import Any, Protocol

import websockets
from absl import logging
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve

from cloverhook.clock import wall_ms
from cloverhook.errors import AuthenticationError, MessageError
from cloverhook.handshake import Handshake, Role
from cloverhook.messages import (
    Heartbeat,
    Hello,
    MemberDigests,
    MemberUpdates,
    Message,
    Ping,
    ProbeRequest,
    ProbeSuccess,
    decode,
    decode_stamped,
    encode,
)
from cloverhook.metrics import Metric, Sample
from cloverhook.outbox import Outbox
from cloverhook.timeline import HybridClock

__all__ = ["LinkEvents", "PeerLinks", "TrafficCounter"]

HANDSHAKE_TIMEOUT_MS = 3_000
CLOSE_TIMEOUT_MS = 500
FLUSH_TIMEOUT_MS = 500
LINK_SILENCE_TIMEOUT_MS = 1_500
LINK_IDLE_TIMEOUT_MS = 10_000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAINTENANCE_MESSAGES = (Heartbeat, MemberDigests, MemberUpdates, Ping, ProbeRequest, ProbeSuccess)
WEBSOCKET_OPTIONS: dict[str, Any] = {
    "compression": None,
    "max_size": MAX_MESSAGE_BYTES,
    "ping_interval": None,
    "close_timeout": CLOSE_TIMEOUT_MS / 1000,
}

Connection = websockets.asyncio.connection.Connection


class LinkEvents(Protocol):
    """The callbacks by which the links notify the daemon."""

    def link_opened(self, hello: Hello) -> None:
        """Handle a new link to an authenticated peer."""

    def link_lost(self, vm: str) -> None:
        """Handle the loss of the link to a VM."""

    def message_received(self, vm: str, message: Message) -> None:
        """Handle a peer's message."""

    def authentication_failed(self) -> None:
        """Handle a link whose other side failed authentication."""


class _Link:
    """An open link; `dialler` is the VM that opened it."""

    def __init__(self, connection: Connection, dialler: str, now_ms: float) -> None:
        self.connection = connection
        self.dialler = dialler
        self.received_ms = now_ms
        self.used_ms = now_ms

    def is_silent(self, now_ms: float) -> bool:
        """Return whether nothing has been received for longer than `LINK_SILENCE_TIMEOUT_MS`."""
        return now_ms - self.received_ms > LINK_SILENCE_TIMEOUT_MS

    def abort(self) -> None:
        """Close the connection at once, without a closing handshake."""
        self.connection.transport.abort()


@dataclass(slots=True)
class TrafficCounter:
    """The number of messages and bytes in one direction, over all links."""

    messages: int = 0
    size_bytes: int = 0

    def add(self, size_bytes: int) -> None:
        """Count a message."""
        self.messages += 1
        self.size_bytes += size_bytes


class PeerLinks:
    """This daemon's links to its peers, by VM name.

    `make_hello` returns the `Hello` that this daemon sends when a link opens; the timestamps of
    `hybrid_clock` go with each message.
    """

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        key: bytes,
        events: LinkEvents,
        clock_ms: Callable[[], float],
        hybrid_clock: HybridClock | None = None,
    ) -> None:
        self._make_hello = make_hello
        self._key = key
        self._events = events
        self._clock_ms = clock_ms
        self._hybrid_clock = hybrid_clock or HybridClock()
        self._links: dict[str, _Link] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._dialling: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: Server | None = None
        self.authentication_failures = 0
        self.dropped_messages = 0
        self.sent = TrafficCounter()
        self.received = TrafficCounter()
        self.address = ""

    async def start(self, address: str) -> None:
        """Listen for peers."""
        std_logging.getLogger("websockets").setLevel(std_logging.WARNING)
        host, _, port = address.rpartition(":")
        self._server = await serve(self._accept, host, int(port), **WEBSOCKET_OPTIONS)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def close(self) -> None:
        """Send the queued messages for at most `FLUSH_TIMEOUT_MS`, then close every link."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / 1000):
                while any(len(self._outboxes[vm]) for vm in self._links):
                    await asyncio.sleep(0.01)
        if self._server is not None:
            self._server.close()
        closing = [link.connection.close() for link in self._links.values()]
        await asyncio.gather(*closing, return_exceptions=True)
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            await self._server.wait_closed()

    def linked(self) -> tuple[str, ...]:
        """Return the names of the VMs to which a link is open."""
        return tuple(sorted(self._links))

    def samples(self) -> list[Sample]:
        """Return the metrics of links and messages."""
        return [
            Sample(Metric.LINKS, len(self._links)),
            Sample(Metric.AUTHENTICATION_FAILURES, self.authentication_failures),
            Sample(Metric.DROPPED_MESSAGES, self.dropped_messages),
            Sample(Metric.PEER_MESSAGES, self.sent.messages, ("sent",)),
            Sample(Metric.PEER_MESSAGES, self.received.messages, ("received",)),
            Sample(Metric.PEER_BYTES, self.sent.size_bytes, ("sent",)),
            Sample(Metric.PEER_BYTES, self.received.size_bytes, ("received",)),
        ]

    def open(self, vm: str, address: str) -> None:
        """Open a link to a peer, unless one is open or being opened."""
        if vm not in self._links and address not in self._dialling:
            self._spawn(self._dial(vm, address))

    def send(self, vm: str, message: Message, address: str = "") -> bool:
        """Queue a message; return False when it was dropped.

        Without a link to the VM, one is opened to `address` if that is given.
        """
        if vm not in self._links and not address:
            return False
        outbox = self._outboxes.setdefault(vm, Outbox())
        dropped_before = outbox.dropped
        queued = outbox.put(message)
        self.dropped_messages += outbox.dropped - dropped_before
        if vm in self._links:
            if not isinstance(message, MAINTENANCE_MESSAGES):
                self._links[vm].used_ms = self._clock_ms()
        else:
            self.open(vm, address)
        return queued

    def tick(self, kept: Collection[str], now_ms: float) -> None:
        """Abort silent links; close idle ones that this side opened and that `kept` lacks."""
        for vm, link in tuple(self._links.items()):
            if link.is_silent(now_ms):
                logging.info("peering: aborted the link to %s: nothing was received.", vm)
                link.abort()
                self._remove(vm, link)
            elif (
                link.dialler != vm
                and vm not in kept
                and now_ms - link.used_ms > LINK_IDLE_TIMEOUT_MS
            ):
                self._spawn(self._close(link))

    def reset(self) -> None:
        """Abort every link and drop the queued messages: they date from before a process pause."""
        self._outboxes.clear()
        for vm, link in tuple(self._links.items()):
            link.abort()
            del self._links[vm]

    async def _dial(self, vm: str, address: str) -> None:
        self._dialling.add(address)
        try:
            async with connect(
                f"ws://{address}/",
                proxy=None,
                open_timeout=HANDSHAKE_TIMEOUT_MS / 1000,
                **WEBSOCKET_OPTIONS,
            ) as connection:
                await self._authenticate_and_serve(connection, Role.CLIENT, vm, address)
        except (OSError, TimeoutError, websockets.WebSocketException) as error:
            logging.debug("peering: can't open a link to %s: %r.", vm or address, error)
        finally:
            self._dialling.discard(address)
            if vm not in self._links:
                self._outboxes.pop(vm, None)

    async def _accept(self, connection: ServerConnection) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            await self._authenticate_and_serve(connection, Role.SERVER)

    async def _authenticate_and_serve(
        self, connection: Connection, role: Role, target: str = "", address: str = ""
    ) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / 1000):
                peer = await self._handshake(connection, role, target)
        except (AuthenticationError, MessageError, TimeoutError) as error:
            self.authentication_failures += 1
            self._events.authentication_failed()
            logging.warning("peering: closed a link that failed authentication: %s.", error)
            await connection.close()
            return
        self._dialling.discard(address)
        dialler = self._make_hello().vm if role is Role.CLIENT else peer.vm
        link = _Link(connection, dialler, self._clock_ms())
        if not self._should_replace(peer.vm, link):
            await connection.close()
            return
        await self._serve(peer, link)

    async def _serve(self, peer: Hello, link: _Link) -> None:
        replaced = self._links.get(peer.vm)
        self._links[peer.vm] = link
        if replaced is not None:
            replaced.abort()
        outbox = self._outboxes.setdefault(peer.vm, Outbox())
        writer = self._spawn(self._write(link, outbox))
        try:
            self._events.link_opened(peer)
            await self._receive(peer.vm, link)
        finally:
            writer.cancel()
            self._remove(peer.vm, link)

    def _should_replace(self, vm: str, link: _Link) -> bool:
        """Return whether a new link replaces the present one to the same VM.

        When both sides dial at the same time, both keep the link that was dialled by the VM whose
        name sorts first.
        """
        present = self._links.get(vm)
        if present is None or present.dialler == link.dialler:
            return True
        if present.is_silent(self._clock_ms()):
            return True
        return link.dialler < present.dialler

    async def _handshake(self, connection: Connection, role: Role, target: str) -> Hello:
        nonce = Handshake.new_nonce()
        if role is Role.CLIENT:
            await connection.send(nonce)
            handshake = Handshake.from_nonces(self._key, role, nonce, await connection.recv())
            await self._send_hello(connection, handshake, target)
            return await self._receive_hello(connection, handshake)
        peer_nonce = await connection.recv()
        await connection.send(nonce)
        handshake = Handshake.from_nonces(self._key, role, nonce, peer_nonce)
        peer = await self._receive_hello(connection, handshake)
        await self._send_hello(connection, handshake, peer.vm)
        return peer

    async def _send_hello(self, connection: Connection, handshake: Handshake, vm: str) -> None:
        await connection.send(encode(handshake.prove(replace(self._make_hello(), target=vm))))

    async def _receive_hello(self, connection: Connection, handshake: Handshake) -> Hello:
        return handshake.check(decode(await connection.recv()), self._make_hello().vm)

    async def _receive(self, vm: str, link: _Link) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            async for data in link.connection:
                link.received_ms = self._clock_ms()
                self.received.add(len(data))
                try:
                    stamp, message = decode_stamped(data)
                except MessageError as error:
                    logging.warning("peering: dropped an invalid message from %s: %s.", vm, error)
                    continue
                if not isinstance(message, MAINTENANCE_MESSAGES):
                    link.used_ms = link.received_ms
                if self._links.get(vm) is link:
                    self._hybrid_clock.advance_past(stamp)
                    self._events.message_received(vm, message)

    async def _write(self, link: _Link, outbox: Outbox) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            while True:
                message = await outbox.get()
                data = encode(message, self._hybrid_clock.next_stamp(wall_ms()))
                self.sent.add(len(data))
                await link.connection.send(data)

    async def _close(self, link: _Link) -> None:
        await link.connection.close()

    def _remove(self, vm: str, link: _Link) -> None:
        if self._links.get(vm) is link:
            del self._links[vm]
            self._outboxes.pop(vm, None)
            self._events.link_lost(vm)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
