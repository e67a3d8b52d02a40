"""Exchanges with other VMs which endpoints rejected requests although they had free slots.

Layer: transport.  A single refusal says nothing about the next request, but the share of rejected
requests does.  A VM of a large fleet sends requests to an endpoint too seldom to learn this share
by itself.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.peer_messages import Refusals, encode
from cloverhook.gateway.server_load import LoadTable

__all__ = ["RefusalUpdates"]

FLUSH_MS = 30.0
"""Refusals come in bursts; those within this time share a datagram."""
ROWS_LIMIT = 60
"""How many rows a datagram has at most, so that it fits into one packet."""


class RefusalUpdates:
    """Sends the refusals of this VM's requests, and applies those that other VMs send."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        load_table: LoadTable,
        get_server: Callable[[str], object],
    ) -> None:
        """`get_server` returns what is registered for an incarnation, or None."""
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._load_table = load_table
        self._get_server = get_server
        self._unsent: list[str] = []
        self._flush_timer: asyncio.TimerHandle | None = None

    def record_refusal(self, incarnation: str) -> None:
        """Record that an endpoint has rejected a request of this VM, and send this soon."""
        self._load_table.get_or_create(incarnation).record_refusal(monotonic_ms())
        self._unsent.append(incarnation)
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_MS / 1000, self._flush)

    def received(self, message: Refusals, now_ms: float) -> None:
        """Apply the refusals that another VM has sent."""
        for incarnation in message.incarnations[:ROWS_LIMIT]:
            if self._get_server(incarnation) is not None:
                self._load_table.get_or_create(incarnation).record_refusal(now_ms)

    def _flush(self) -> None:
        self._flush_timer = None
        now_ms = monotonic_ms()
        for start in range(0, len(self._unsent), ROWS_LIMIT):
            data = encode(Refusals(self._own_vm, self._unsent[start : start + ROWS_LIMIT]))
            self._broadcast.send_to_load_subscribers(data, now_ms)
        self._unsent.clear()
