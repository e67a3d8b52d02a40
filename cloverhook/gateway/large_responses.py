"""Writes large responses in parts, so that they don't fill the VM's link for long.

Layer: transport.  Whatever waits in a socket is sent ahead of what other connections and the other
gateways get later: 256 KB take 0.4 s on a link of 5 Mbit/s.  So only `WAITING_LIMIT_BYTES` of a
large response wait in the VM's buffers, and the parts of several responses alternate.
"""

import asyncio
import socket

__all__ = ["WAITING_LIMIT_BYTES", "write_in_parts"]

WAITING_LIMIT_BYTES = 65_536
"""No more of a response waits in the transport's and the socket's buffers; a response of at most
this size is written at once."""
PART_BYTES = 16_384
SOCKET_BUFFER_BYTES = 49_152
"""With a part in the transport's buffer this makes the limit.  With half of it for the kernel's own
overhead, a caller with a round trip of 6 ms can still be sent 32 Mbit/s."""


async def write_in_parts(
    transport: asyncio.Transport, can_write: asyncio.Event, data: bytes
) -> None:
    """Write a large response, or a part of one, and return once its last part is in the buffers.

    `can_write` is cleared while the transport has paused its protocol.  The limits that this sets
    stay in force for the connection; they don't affect short responses.
    """
    transport.set_write_buffer_limits(high=0)
    # The kernel doubles the value.
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES // 2
    )
    view = memoryview(data)
    for start in range(0, len(view), PART_BYTES):
        # Other connections write between two parts, also while the socket takes each one at once.
        await asyncio.sleep(0)
        await can_write.wait()
        transport.write(view[start : start + PART_BYTES])
