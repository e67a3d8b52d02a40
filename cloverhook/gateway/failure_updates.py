"""Tells other VMs at which endpoints requests have failed, and takes what they tell.

Layer: transport.  Who learns of it only by its own requests fails one at each lying endpoint; there
may be dozens of both.
"""

import asyncio

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.peer_messages import Failures, encode
from cloverhook.gateway.trust import RECENT_ANSWER_MS, FailureReportFilter

__all__ = ["FailureUpdates"]

FLUSH_MS = 5.0
"""Failures within this time go into one datagram; other VMs place few requests meanwhile."""
ROWS_LIMIT = 40
"""A datagram should fit into one packet."""


class FailureUpdates:
    """Failures that wait for the next datagram, and the effect of those that are told."""

    def __init__(
        self, own_vm: str, broadcast: Broadcast, knowledge: GatewayState, log: EventLog
    ) -> None:
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._knowledge = knowledge
        self._log = log
        self._accusations = FailureReportFilter()
        self._waiting: list[tuple[str, float, bool]] = []
        self._timer: asyncio.TimerHandle | None = None

    def record_failure(self, incarnation: str, began_ms: float) -> None:
        """Take a request of this VM, begun at a time, that an endpoint has failed."""
        now_ms = monotonic_ms()
        if self._knowledge.registry.get(incarnation) is None:
            return
        trust = self._knowledge.load_table.get_or_create(incarnation).circuit_breaker
        answered = trust.answered_since(now_ms - RECENT_ANSWER_MS)
        if trust.record_failure(now_ms, began_ms):
            self._note(incarnation, self._own_vm)
        if not self._is_believed(self._own_vm, incarnation, now_ms):
            return
        self._waiting.append((incarnation, began_ms, answered))
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(FLUSH_MS / 1000, self._flush)

    def received(self, message: Failures, now_ms: float) -> None:
        """Take what another VM tells."""
        for incarnation, age_ms, answered in message.rows[:ROWS_LIMIT]:
            known = self._knowledge.registry.get(incarnation) is not None
            if not known or not self._is_believed(message.vm, incarnation, now_ms):
                continue
            trust = self._knowledge.load_table.get_or_create(incarnation).circuit_breaker
            if trust.record_peer_failure(now_ms, now_ms - age_ms, answered):
                self._note(incarnation, message.vm)

    def forget(self, now_ms: float) -> None:
        """Drop what no longer counts."""
        self._accusations.forget(now_ms)

    def _is_believed(self, vm: str, incarnation: str, now_ms: float) -> bool:
        endpoints = len(self._knowledge.registry)
        return self._accusations.accept(vm, incarnation, endpoints, now_ms)

    def _note(self, incarnation: str, source: str) -> None:
        self._log.note(EventKind.ENDPOINT, server=incarnation, suspended=True, source=source)

    def _flush(self) -> None:
        self._timer = None
        now_ms = monotonic_ms()
        rows = [
            (name, round(now_ms - began_ms), answered) for name, began_ms, answered in self._waiting
        ]
        self._waiting.clear()
        data = encode(Failures(self._own_vm, rows[:ROWS_LIMIT]))
        self._broadcast.send_to_load_subscribers(data, now_ms)
        self._broadcast.send_remote(data, now_ms)
