"""A bounded queue of the messages for one link.

Layer: coordination.  The bound keeps a slow link from using up a daemon's memory.  A new heartbeat
replaces the queued one; when the queue is full, its oldest heartbeat is dropped, or the new message
if there is no heartbeat.
"""

import asyncio
from collections import deque

from cloverhook.messages import Heartbeat, Message

__all__ = ["Outbox"]

OUTBOX_LIMIT = 256


class Outbox:
    """The queued messages for one peer; it supports a single reader."""

    def __init__(self, limit: int = OUTBOX_LIMIT) -> None:
        self._limit = limit
        self._messages: deque[Message] = deque()
        self._not_empty = asyncio.Event()
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: Message) -> bool:
        """Add a message; return False if it was dropped because the queue is full."""
        if isinstance(message, Heartbeat):
            self._drop_heartbeat()
        if len(self._messages) >= self._limit and not self._drop_heartbeat():
            self.dropped += 1
            return False
        self._messages.append(message)
        self._not_empty.set()
        return True

    async def get(self) -> Message:
        """Wait for the next message and remove it."""
        while not self._messages:
            self._not_empty.clear()
            await self._not_empty.wait()
        return self._messages.popleft()

    def _drop_heartbeat(self) -> bool:
        for message in self._messages:
            if isinstance(message, Heartbeat):
                self._messages.remove(message)
                self.dropped += 1
                return True
        return False
