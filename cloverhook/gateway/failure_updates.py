"""Exchanges with other VMs at which endpoints requests have failed.

Layer: transport.  An endpoint may report that it is healthy and yet fail requests.  VMs that learn
of this only from their own requests would each fail a request at every such endpoint, and there may
be dozens of VMs and dozens of such endpoints.  A request may also fail because this VM has lost its
link to the endpoint, which concerns no other VM; a failure counts only if the link works.
"""

import asyncio
from collections.abc import Awaitable, Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.circuit_breaker import RECENT_ANSWER_MS, FailureReportFilter
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import Links
from cloverhook.gateway.peer_messages import Failures, encode

__all__ = ["FailureUpdates"]

FLUSH_MS = 5.0
"""Failures within this time share a datagram; other VMs dispatch few requests in that time."""
ROWS_LIMIT = 40
"""How many rows a datagram has at most, so that it fits into one packet."""


class FailureUpdates:
    """Sends the failures of this VM's requests, and applies those that other VMs send."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        gateway_state: GatewayState,
        log: EventLog,
        links: Links,
    ) -> None:
        self.check_link: Callable[[BackendServer], Awaitable[bool]] | None = None
        """Returns whether a check finds the link to an endpoint working."""
        self._links = links
        self._checks: set[asyncio.Task[None]] = set()
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._gateway_state = gateway_state
        self._log = log
        self._report_filter = FailureReportFilter()
        self._unsent: list[tuple[str, float, bool]] = []
        self._flush_timer: asyncio.TimerHandle | None = None

    def record_failure(self, incarnation: str, began_ms: float) -> None:
        """Record that a request of this VM, begun at `began_ms`, has failed, and send this soon.

        Failures at endpoints that are not registered, or that this VM does not reach, are ignored.
        If the endpoint has answered nothing since `began_ms`, its link is checked first.
        """
        server = self._gateway_state.registry.get(incarnation)
        if server is None or self._links.is_down(incarnation):
            return
        if self.check_link is None or self._links.contact_ms(incarnation) >= began_ms:
            self._count(incarnation, began_ms)
            return
        task = asyncio.get_running_loop().create_task(self._count_if_linked(server, began_ms))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _count_if_linked(self, server: BackendServer, began_ms: float) -> None:
        if await self.check_link(server) and not self._links.is_down(server.incarnation):
            self._count(server.incarnation, began_ms)

    def _count(self, incarnation: str, began_ms: float) -> None:
        """Count a failure, and send it soon.

        It is not sent if this VM has seen so many endpoints fail that the fault is probably its
        own.
        """
        now_ms = monotonic_ms()
        breaker = self._gateway_state.load_table.get_or_create(incarnation).circuit_breaker
        answered = breaker.answered_since(now_ms - RECENT_ANSWER_MS)
        if breaker.record_failure(now_ms, began_ms):
            self._log_suspension(incarnation, self._own_vm)
        if not self._is_credible(self._own_vm, incarnation, now_ms):
            return
        self._unsent.append((incarnation, began_ms, answered))
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_MS / 1000, self._flush)

    def received(self, message: Failures, now_ms: float) -> None:
        """Apply the failures that another VM has sent.

        Rows are ignored if their endpoint is not registered, or if that VM has reported so many
        endpoints that the fault is probably its own.
        """
        for incarnation, age_ms, answered in message.rows[:ROWS_LIMIT]:
            known = self._gateway_state.registry.get(incarnation) is not None
            if not known or not self._is_credible(message.vm, incarnation, now_ms):
                continue
            breaker = self._gateway_state.load_table.get_or_create(incarnation).circuit_breaker
            if breaker.record_peer_failure(now_ms, now_ms - age_ms, answered):
                self._log_suspension(incarnation, message.vm)

    def forget(self, now_ms: float) -> None:
        """Drop the failures that are too old to count."""
        self._report_filter.forget(now_ms)

    def _is_credible(self, vm: str, incarnation: str, now_ms: float) -> bool:
        endpoints = len(self._gateway_state.registry)
        return self._report_filter.accept(vm, incarnation, endpoints, now_ms)

    def _log_suspension(self, incarnation: str, source: str) -> None:
        self._log.note(EventKind.ENDPOINT, server=incarnation, suspended=True, source=source)

    def _flush(self) -> None:
        self._flush_timer = None
        now_ms = monotonic_ms()
        rows = [
            (name, round(now_ms - began_ms), answered) for name, began_ms, answered in self._unsent
        ]
        self._unsent.clear()
        data = encode(Failures(self._own_vm, rows[:ROWS_LIMIT]))
        self._broadcast.send_to_load_subscribers(data, now_ms)
        self._broadcast.send_remote(data, now_ms)
