"""Frames on a TCP connection between gateways: a length and so many bytes.

Layer: transport.
"""

import asyncio
import struct

from cloverhook.errors import MessageError

__all__ = ["read_frame", "write_frame"]

LENGTH = struct.Struct(">I")
FRAME_LIMIT_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 16 * 1024


def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write a frame to the connection's buffer."""
    writer.write(LENGTH.pack(len(data)) + data)


async def read_frame(reader: asyncio.StreamReader, timeout_s: float | None = None) -> bytes:
    """Return the data of a frame that a peer has written.

    Raises `TimeoutError` if the peer sends nothing for `timeout_s`, `asyncio.IncompleteReadError`
    if the connection ends, and `MessageError` if the frame is too large.
    """
    (remaining_bytes,) = LENGTH.unpack(await _read(reader, LENGTH.size, timeout_s))
    if remaining_bytes > FRAME_LIMIT_BYTES:
        raise MessageError(f"frame too large: {remaining_bytes} bytes")
    chunks = []
    while remaining_bytes:
        chunks.append(await _read(reader, min(remaining_bytes, CHUNK_BYTES), timeout_s))
        remaining_bytes -= len(chunks[-1])
    return b"".join(chunks)


async def _read(reader: asyncio.StreamReader, size_bytes: int, timeout_s: float | None) -> bytes:
    async with asyncio.timeout(timeout_s):
        return await reader.readexactly(size_bytes)
