"""A UDP socket that can read received datagrams in batches.

Layer: transport.  Waking up for a datagram costs about as much as handling it.  A VM of a large
fleet that expects no urgent messages therefore reads several datagrams at a time.  asyncio's own
datagram endpoint wakes up for each datagram and can't be made to wait.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

__all__ = ["DatagramPort", "SocketAddress"]

SocketAddress = tuple[str, int]

RECEIVE_BUFFER_BYTES = 65_536
READS_LIMIT = 64
"""How many datagrams are read per wake-up at most, so that callers are served between bursts."""
SEND_QUEUE_LIMIT = 256
"""Datagrams that a full socket does not accept wait in a queue.  Beyond this many they are dropped,
just as they may be lost in the network."""


class DatagramPort:
    """Passes each received datagram to `on_datagram`, with the sender's address.

    After a read, the next read follows `receive_batch_ms()` milliseconds later at the earliest and
    takes all datagrams that have arrived meanwhile.  With 0, each datagram is read on arrival.
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
        self._send_queue: deque[tuple[bytes, SocketAddress]] = deque()

    def open(self, address: SocketAddress) -> None:
        """Bind the socket and start reading.  Raises `OSError` if the address is in use."""
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
        """Close the socket; datagrams sent afterwards are dropped."""
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
        if self._send_queue or not self._try_to_send(data, address):
            self._enqueue(data, address)

    def _try_to_send(self, data: bytes, address: SocketAddress) -> bool:
        """Return whether the datagram is done with: sent, or impossible to send.

        Returns False if the socket's buffer is full and the datagram should be sent later.
        """
        try:
            self._socket.sendto(data, address)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True  # Port closed or no route: the missing heartbeats show that peer is down.
        return True

    def _enqueue(self, data: bytes, address: SocketAddress) -> None:
        if not self._send_queue:
            asyncio.get_running_loop().add_writer(self._socket, self._send_queued)
        if len(self._send_queue) < SEND_QUEUE_LIMIT:
            self._send_queue.append((data, address))

    def _send_queued(self) -> None:
        while self._send_queue:
            if not self._try_to_send(*self._send_queue[0]):
                return
            self._send_queue.popleft()
        asyncio.get_running_loop().remove_writer(self._socket)

    def _read(self) -> None:
        """Read the datagrams that have arrived, and delay the next read if batching is wanted."""
        receive_batch_ms = self._receive_batch_ms()
        if receive_batch_ms > 0:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket)
            self._timer = loop.call_later(receive_batch_ms / 1000, self._read_after_delay)
        self._take_all()

    def _read_after_delay(self) -> None:
        """Read the datagrams that have arrived during a delay.

        If there were any, another delay follows; otherwise the next datagram is read on arrival.
        """
        loop = asyncio.get_running_loop()
        receive_batch_ms = self._receive_batch_ms()
        self._timer = loop.call_later(receive_batch_ms / 1000, self._read_after_delay)
        if not self._take_all() and self._socket is not None:
            self._timer.cancel()
            loop.add_reader(self._socket, self._read)

    def _take_all(self) -> int:
        """Handle the datagrams that have arrived, up to `READS_LIMIT`, and return their number."""
        for count in range(READS_LIMIT):
            if self._socket is None:
                return 0
            try:
                data, sender = self._socket.recvfrom(RECEIVE_BUFFER_BYTES)
            except (BlockingIOError, InterruptedError):
                return count
            except OSError:
                continue  # A peer's port is closed: its missing heartbeats show this too.
            self._on_datagram(data, sender)
        return READS_LIMIT
