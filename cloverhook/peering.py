"""Links between daemons: websockets that carry CBOR messages.

Layer: transport.  A link is opened by the side whose name sorts first.  Each side proves with its
greeting that it holds the shared key; a stranger's link is closed and counted.
"""

import asyncio
import contextlib
import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import replace

import websockets
from absl import logging
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve

from cloverhook.errors import AuthenticationError, MessageError
from cloverhook.messages import Hello, Message, decode, encode

__all__ = ["PeerLinks"]

GREETING_TIMEOUT_MS = 1_000
NONCE_BYTES = 16
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

Connection = websockets.asyncio.connection.Connection
OnMessage = Callable[[str, Message], None]


class PeerLinks:
    """This daemon's links to its peers, by VM name."""

    def __init__(self, greeting: Hello, key: bytes, on_message: OnMessage) -> None:
        self._greeting = greeting
        self._key = key
        self._on_message = on_message
        self._links: dict[str, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: Server | None = None
        self.refused_strangers = 0
        self.address = ""

    async def start(self, address: str) -> None:
        """Listen for peers."""
        host, _, port = address.rpartition(":")
        self._server = await serve(
            self._accept, host, int(port), compression=None, max_size=MAX_MESSAGE_BYTES
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        self._greeting = replace(self._greeting, peer_address=self.address)

    async def close(self) -> None:
        """Close every link and stop listening."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def linked(self) -> tuple[str, ...]:
        """Return the names of the VMs with an open link."""
        return tuple(sorted(self._links))

    def open(self, vm: str, address: str) -> None:
        """Open a link to a peer unless there is one."""
        if vm not in self._links:
            self._spawn(self._dial(vm, address))

    def send(self, vm: str, message: Message) -> bool:
        """Send a message; return False when there is no link to the VM."""
        link = self._links.get(vm)
        if link is None:
            return False
        self._spawn(self._send(link, encode(message)))
        return True

    async def _dial(self, vm: str, address: str) -> None:
        try:
            async with connect(
                f"ws://{address}/",
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
                open_timeout=GREETING_TIMEOUT_MS / 1000,
            ) as link:
                await self._converse(link)
        except (OSError, TimeoutError, websockets.WebSocketException) as error:
            logging.debug("peering: no link to %s: %r.", vm, error)

    async def _accept(self, link: ServerConnection) -> None:
        await self._converse(link)

    async def _converse(self, link: Connection) -> None:
        try:
            peer = await self._greet(link)
        except (AuthenticationError, MessageError, TimeoutError) as error:
            self.refused_strangers += 1
            logging.warning("peering: refused a stranger: %s.", error)
            await link.close()
            return
        if peer.vm in self._links:
            await link.close()
            return
        self._links[peer.vm] = link
        try:
            self._on_message(peer.vm, peer)
            await self._receive(peer.vm, link)
        finally:
            del self._links[peer.vm]

    async def _greet(self, link: Connection) -> Hello:
        nonce = secrets.token_bytes(NONCE_BYTES)
        await link.send(nonce)
        async with asyncio.timeout(GREETING_TIMEOUT_MS / 1000):
            their_nonce = await link.recv()
            if not isinstance(their_nonce, bytes) or len(their_nonce) != NONCE_BYTES:
                raise AuthenticationError("no nonce")
            await link.send(encode(self._proved(their_nonce)))
            hello = decode(await link.recv())
        if not isinstance(hello, Hello):
            raise AuthenticationError("no greeting")
        expected = self._proof(hello.vm, hello.incarnation, nonce)
        if hello.nonce != nonce or not hmac.compare_digest(hello.proof, expected):
            raise AuthenticationError("a wrong proof")
        return hello

    def _proved(self, nonce: bytes) -> Hello:
        proof = self._proof(self._greeting.vm, self._greeting.incarnation, nonce)
        return replace(self._greeting, nonce=nonce, proof=proof)

    def _proof(self, vm: str, incarnation: int, nonce: bytes) -> bytes:
        signed = b"\0".join((vm.encode(), str(incarnation).encode(), nonce))
        return hmac.new(self._key, signed, hashlib.sha256).digest()

    async def _receive(self, vm: str, link: Connection) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            async for data in link:
                try:
                    self._on_message(vm, decode(data))
                except MessageError as error:
                    logging.warning("peering: dropped a message of %s: %s.", vm, error)

    async def _send(self, link: Connection, data: bytes) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            await link.send(data)

    def _spawn(self, work: "asyncio.coroutines.CoroutineType") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
