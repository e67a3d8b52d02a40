"""Tells the other VMs of the limits that endpoints name in their answers.

Layer: transport.  A limit that is new or another one is told at once, and while an endpoint goes
on naming it, once a second by whoever hears it then: so one that has just started learns of it too.
"""

import asyncio

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.peer_messages import RateLimitEntry, RateLimitUpdate, encode
from cloverhook.gateway.rate_limits import RateLimits

__all__ = ["RateLimitUpdates"]

FLUSH_MS = 10.0
"""What is heard within this time goes into one datagram."""
REPEAT_MS = 1_000.0
ROWS_LIMIT = 30
"""A datagram should fit into one packet."""
RELAYS = 2


class RateLimitUpdates:
    """What this VM hears of limits, from endpoints and from other VMs."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        limits: RateLimits,
        knowledge: GatewayState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        self._own_vm = own_vm
        self._broadcast = broadcast
        self.limits = limits
        self._knowledge = knowledge
        self._log = log
        self._counters = counters
        self._sent_ms: dict[str, float] = {}
        self._waiting: dict[str, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def record_response(self, incarnation: str, per_s: float | None, at_ms: float) -> None:
        """Take what an endpoint's answer to a request says; `per_s` is None without a limit."""
        if per_s is None:
            if self.limits.record_no_limit(incarnation, at_ms):
                self._ended(incarnation, "answer")
                self._send_soon(incarnation)
            return
        if self.limits.record_limit(incarnation, per_s, at_ms):
            self._changed(incarnation, "answer")
        elif at_ms - self._sent_ms.get(incarnation, -REPEAT_MS) < REPEAT_MS:
            return
        self._send_soon(incarnation)

    def received(self, message: RateLimitUpdate, now_ms: float) -> None:
        """Take what another VM tells of endpoints that are registered."""
        for row in message.rows[:ROWS_LIMIT]:
            if self._knowledge.registry.get(row.incarnation) is None:
                continue
            self._sent_ms[row.incarnation] = now_ms
            at_ms = now_ms - row.age_ms
            if row.per_s is None:
                if self.limits.record_no_limit(row.incarnation, at_ms):
                    self._ended(row.incarnation, message.vm)
            elif self.limits.record_limit(row.incarnation, row.per_s, at_ms):
                self._changed(row.incarnation, message.vm)

    def expire(self, now_ms: float) -> None:
        """End the limits that nobody has named for long."""
        for incarnation in self.limits.expire(now_ms):
            self._ended(incarnation, "age")

    def forget(self, incarnation: str) -> None:
        """Drop what is known of an incarnation that is gone."""
        self.limits.forget(incarnation)
        self._sent_ms.pop(incarnation, None)

    def _changed(self, incarnation: str, source: str) -> None:
        limit = self.limits.get(incarnation)
        self._log.note(EventKind.RATE_LIMIT, server=incarnation, per_s=limit.per_s, source=source)
        self._counters.add("rate_limits_named")

    def _ended(self, incarnation: str, source: str) -> None:
        self._log.note(EventKind.RATE_LIMIT, server=incarnation, per_s=None, source=source)

    def _send_soon(self, incarnation: str) -> None:
        self._waiting[incarnation] = None
        self._sent_ms[incarnation] = monotonic_ms()
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(FLUSH_MS / 1000, self._flush)

    def _flush(self) -> None:
        self._timer = None
        now_ms = monotonic_ms()
        rows = tuple(self._row(incarnation, now_ms) for incarnation in self._waiting)
        self._waiting.clear()
        for start in range(0, len(rows), ROWS_LIMIT):
            data = encode(RateLimitUpdate(self._own_vm, rows[start : start + ROWS_LIMIT]))
            self._broadcast.send_to_load_subscribers(data, now_ms)
            self._broadcast.send_remote(data, now_ms, RELAYS)

    def _row(self, incarnation: str, now_ms: float) -> RateLimitEntry:
        limit = self.limits.get(incarnation)
        if limit is None:
            return RateLimitEntry(incarnation, None, 0.0)
        return RateLimitEntry(incarnation, limit.per_s, max(0.0, now_ms - limit.last_ms))
