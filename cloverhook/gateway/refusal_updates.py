"""Tells other VMs which endpoints turned requests away with free slots, and takes what they tell.

Layer: transport.  A refusal tells nothing of the next request alone; the share of them does, and a
VM of a large fleet meets an endpoint too seldom to learn it by itself.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.load import LoadTable
from cloverhook.gateway.peer_messages import Refusals, encode

__all__ = ["RefusalUpdates"]

FLUSH_MS = 30.0
"""Refusals come in numbers; those within this time go into one datagram."""
ROWS_LIMIT = 60
"""A datagram should fit into one packet."""


class RefusalUpdates:
    """Refusals that wait for the next datagram, and the effect of those that are told."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        board: LoadTable,
        get_server: Callable[[str], object],
    ) -> None:
        """`get_server` says of an incarnation whether it is registered."""
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._board = board
        self._known = get_server
        self._waiting: list[str] = []
        self._timer: asyncio.TimerHandle | None = None

    def record_refusal(self, incarnation: str) -> None:
        """Take a request of this VM that an endpoint has turned away."""
        self._board.get_or_create(incarnation).record_refusal(monotonic_ms())
        self._waiting.append(incarnation)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(FLUSH_MS / 1000, self._flush)

    def received(self, message: Refusals, now_ms: float) -> None:
        """Take what another VM tells."""
        for incarnation in message.incarnations[:ROWS_LIMIT]:
            if self._known(incarnation) is not None:
                self._board.get_or_create(incarnation).record_refusal(now_ms)

    def _flush(self) -> None:
        self._timer = None
        now_ms = monotonic_ms()
        for start in range(0, len(self._waiting), ROWS_LIMIT):
            data = encode(Refusals(self._own_vm, self._waiting[start : start + ROWS_LIMIT]))
            self._broadcast.send_to_load_subscribers(data, now_ms)
        self._waiting.clear()
