"""A UDP socket that may read what comes within a short time together.

Layer: transport.  To wake for a datagram costs about as much as to handle it.  So a
VM of a large fleet that has nothing urgent to hear reads several at a time.  asyncio's own endpoint
wakes for each datagram and can't be told to wait.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

__all__ = ["DatagramPort", "SocketAddress"]

SocketAddress = tuple[str, int]

LARGEST_BYTES = 65_536
READS_LIMIT = 64
"""So many datagrams are read at a wake-up, so that callers are served between two floods."""
UNSENT_LIMIT = 256
"""What a full socket doesn't take waits; beyond this many it is lost, as it may be on the way."""


class DatagramPort:
    """Hands what it receives to `on_datagram`, with the sender's address.

    After a read the next one comes `receive_batch_ms()` milliseconds later at the earliest, and
    then takes all that has come meanwhile; with 0 each datagram is read when it comes.
    """

    def __init__(
        self,
        on_datagram: Callable[[bytes, SocketAddress], None],
        receive_batch_ms: Callable[[], float],
    ) -> None:
        self._on_datagram = on_datagram
        self._receive_batch_ms = receive_batch_ms
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unsent: deque[tuple[bytes, SocketAddress]] = deque()

    def open(self, address: SocketAddress) -> None:
        """Bind the socket and begin to read.  Raises `OSError` where the address is taken."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            opened.bind(address)
        except OSError:
            opened.close()
            raise
        self._socket = opened
        asyncio.get_running_loop().add_reader(opened, self._read)

    def close(self) -> None:
        """Close the socket; what is sent afterwards is lost."""
        if self._socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        loop.remove_writer(self._socket)
        if self._timer is not None:
            self._timer.cancel()
        self._socket.close()
        self._socket = None

    def send(self, data: bytes, address: SocketAddress) -> None:
        """Send a datagram, which may be lost."""
        if self._socket is None:
            return
        if self._unsent or not self._try_to_send(data, address):
            self._put_off(data, address)

    def _try_to_send(self, data: bytes, address: SocketAddress) -> bool:
        """Return whether the socket took a datagram, or never will."""
        try:
            self._socket.sendto(data, address)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True  # Nobody listens there, or there is no way: that peer's silence tells.
        return True

    def _put_off(self, data: bytes, address: SocketAddress) -> None:
        if not self._unsent:
            asyncio.get_running_loop().add_writer(self._socket, self._send_unsent)
        if len(self._unsent) < UNSENT_LIMIT:
            self._unsent.append((data, address))

    def _send_unsent(self) -> None:
        while self._unsent:
            if not self._try_to_send(*self._unsent[0]):
                return
            self._unsent.popleft()
        asyncio.get_running_loop().remove_writer(self._socket)

    def _read(self) -> None:
        """Read what has come, and wait before the next read if that is wanted."""
        receive_batch_ms = self._receive_batch_ms()
        if receive_batch_ms > 0:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket)
            self._timer = loop.call_later(receive_batch_ms / 1000, self._read_on)
        self._take_all()

    def _read_on(self) -> None:
        """Read what has come during a wait; while there is some, another wait follows."""
        loop = asyncio.get_running_loop()
        receive_batch_ms = self._receive_batch_ms()
        self._timer = loop.call_later(receive_batch_ms / 1000, self._read_on)
        if not self._take_all() and self._socket is not None:
            self._timer.cancel()
            loop.add_reader(self._socket, self._read)

    def _take_all(self) -> int:
        """Hand on the datagrams that are there and return how many there were."""
        for count in range(READS_LIMIT):
            if self._socket is None:
                return 0
            try:
                data, sender = self._socket.recvfrom(LARGEST_BYTES)
            except (BlockingIOError, InterruptedError):
                return count
            except OSError:
                continue  # A peer's port is closed: its silence says the same.
            self._on_datagram(data, sender)
        return READS_LIMIT
