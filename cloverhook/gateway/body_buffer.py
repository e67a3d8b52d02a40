"""Collects the parts of a request body as they arrive.

Layer: protocol.  Each object has an overhead of some 40 bytes, so small parts are joined, and parts
of unequal size would fragment the heap.  A body is never joined as a whole, which would hold it
twice for a moment.

>>> body = BodyBuffer()
>>> body.append(b"hello, ")
>>> body.append(b"world")
>>> body.take()
(b'hello, world',)
>>> len(body)
0
"""

__all__ = ["BodyBuffer"]

PART_BYTES = 65_536


class BodyBuffer:
    """The body of a request that is being received."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        self._size_bytes = 0

    def __len__(self) -> int:
        return self._size_bytes

    def append(self, part: bytes) -> None:
        """Append a part."""
        self._size_bytes += len(part)
        view = memoryview(part)
        while view:
            free_bytes = PART_BYTES - len(self._tail)
            self._tail += view[:free_bytes]
            view = view[free_bytes:]
            if len(self._tail) == PART_BYTES:
                self._join_tail()

    def take(self) -> tuple[bytes, ...]:
        """Return the whole body in parts, and begin anew."""
        self._join_tail()
        parts = tuple(self._parts)
        self._parts = []
        self._size_bytes = 0
        return parts

    def _join_tail(self) -> None:
        if self._tail:
            self._parts.append(bytes(self._tail))
            self._tail = bytearray()
