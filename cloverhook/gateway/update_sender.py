"""Sends what this VM learns about endpoints to other VMs, in few datagrams.

Layer: transport.  A change is sent at once.  What stays true is sent again from time to time, by
the VM that learns first that it still is; a VM that has missed the change learns of it then.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from cloverhook.clock import monotonic_ms

__all__ = ["ROWS_LIMIT", "UpdateSender", "in_batches"]

FLUSH_MS = 10.0
"""Updates within this time share a datagram."""
ROWS_LIMIT = 30
"""How many rows a datagram has at most, so that it fits into one packet."""


class UpdateSender:
    """Collects the incarnations on which there is something to send."""

    def __init__(self, repeat_ms: float, send: Callable[[tuple[str, ...], float], None]) -> None:
        """`send` gets at most `ROWS_LIMIT` incarnations and the current time.

        `repeat_ms` is how often at least what stays true is sent again.
        """
        self._repeat_ms = repeat_ms
        self._send = send
        self._sent_ms: dict[str, float] = {}
        self._unsent: dict[str, None] = {}
        self._flush_timer: asyncio.TimerHandle | None = None

    def send_change(self, incarnation: str) -> None:
        """Send an update on an endpoint soon."""
        self._unsent[incarnation] = None
        self._sent_ms[incarnation] = monotonic_ms()
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_MS / 1000, self._flush)

    def repeat_if_due(self, incarnation: str, now_ms: float) -> None:
        """Send an update on an endpoint again, unless a VM has done so recently."""
        if now_ms - self._sent_ms.get(incarnation, -self._repeat_ms) >= self._repeat_ms:
            self.send_change(incarnation)

    def record_received(self, incarnation: str, now_ms: float) -> None:
        """Record that another VM has sent an update on an endpoint."""
        self._sent_ms[incarnation] = now_ms

    def forget(self, incarnation: str) -> None:
        """Drop the data on an endpoint."""
        self._sent_ms.pop(incarnation, None)

    def _flush(self) -> None:
        self._flush_timer = None
        now_ms = monotonic_ms()
        incarnations = tuple(self._unsent)
        self._unsent.clear()
        for batch in in_batches(incarnations):
            self._send(batch, now_ms)


def in_batches(incarnations: Iterable[str]) -> Iterator[tuple[str, ...]]:
    """Yield the incarnations in tuples of at most `ROWS_LIMIT`.

    >>> [len(batch) for batch in in_batches(f"i-{number}" for number in range(70))]
    [30, 30, 10]
    """
    remaining = iter(incarnations)
    while batch := tuple(islice(remaining, ROWS_LIMIT)):
        yield batch
