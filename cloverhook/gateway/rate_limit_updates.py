"""Exchanges with other VMs the rate limits that endpoints advertise in their answers.

Layer: transport.  A new or changed limit is sent at once.  While an endpoint keeps advertising its
limit, the limit is sent again once a second, by the VM that gets the first answer after that time.
In this way a VM that has just started learns of it too.
"""

import asyncio

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.peer_messages import RateLimitEntry, RateLimitUpdate, encode
from cloverhook.gateway.rate_limits import RateLimits

__all__ = ["RateLimitUpdates"]

FLUSH_MS = 10.0
"""Limits that are received within this time share a datagram."""
REPEAT_MS = 1_000.0
ROWS_LIMIT = 30
"""How many rows a datagram has at most, so that it fits into one packet."""
RELAY_COUNT = 2


class RateLimitUpdates:
    """Sends the rate limits that endpoints advertise to this VM, and applies other VMs' limits."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        limits: RateLimits,
        gateway_state: GatewayState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        self._own_vm = own_vm
        self._broadcast = broadcast
        self.limits = limits
        self._gateway_state = gateway_state
        self._log = log
        self._counters = counters
        self._sent_ms: dict[str, float] = {}
        self._unsent: dict[str, None] = {}
        self._flush_timer: asyncio.TimerHandle | None = None

    def record_response(self, incarnation: str, per_s: float | None, at_ms: float) -> None:
        """Process the limit in an endpoint's answer to a request; None means that it has none."""
        if per_s is None:
            if self.limits.record_no_limit(incarnation, at_ms):
                self._record_end(incarnation, "answer")
                self._schedule_send(incarnation)
            return
        if self.limits.record_limit(incarnation, per_s, at_ms):
            self._record_change(incarnation, "answer")
        elif at_ms - self._sent_ms.get(incarnation, -REPEAT_MS) < REPEAT_MS:
            return
        self._schedule_send(incarnation)

    def received(self, message: RateLimitUpdate, now_ms: float) -> None:
        """Apply the limits of registered endpoints that another VM has sent."""
        for row in message.rows[:ROWS_LIMIT]:
            if self._gateway_state.registry.get(row.incarnation) is None:
                continue
            self._sent_ms[row.incarnation] = now_ms
            at_ms = now_ms - row.age_ms
            if row.per_s is None:
                if self.limits.record_no_limit(row.incarnation, at_ms):
                    self._record_end(row.incarnation, message.vm)
            elif self.limits.record_limit(row.incarnation, row.per_s, at_ms):
                self._record_change(row.incarnation, message.vm)

    def expire(self, now_ms: float) -> None:
        """End the limits that have not been advertised for long."""
        for incarnation in self.limits.expire(now_ms):
            self._record_end(incarnation, "age")

    def forget(self, incarnation: str) -> None:
        """Drop the data of an incarnation that is gone."""
        self.limits.forget(incarnation)
        self._sent_ms.pop(incarnation, None)

    def _record_change(self, incarnation: str, source: str) -> None:
        limit = self.limits.get(incarnation)
        self._log.note(EventKind.RATE_LIMIT, server=incarnation, per_s=limit.per_s, source=source)
        self._counters.add("rate_limits_named")

    def _record_end(self, incarnation: str, source: str) -> None:
        self._log.note(EventKind.RATE_LIMIT, server=incarnation, per_s=None, source=source)

    def _schedule_send(self, incarnation: str) -> None:
        self._unsent[incarnation] = None
        self._sent_ms[incarnation] = monotonic_ms()
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_MS / 1000, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        now_ms = monotonic_ms()
        rows = tuple(self._row(incarnation, now_ms) for incarnation in self._unsent)
        self._unsent.clear()
        for start in range(0, len(rows), ROWS_LIMIT):
            data = encode(RateLimitUpdate(self._own_vm, rows[start : start + ROWS_LIMIT]))
            self._broadcast.send_to_load_subscribers(data, now_ms)
            self._broadcast.send_remote(data, now_ms, RELAY_COUNT)

    def _row(self, incarnation: str, now_ms: float) -> RateLimitEntry:
        limit = self.limits.get(incarnation)
        if limit is None:
            return RateLimitEntry(incarnation, None, 0.0)
        return RateLimitEntry(incarnation, limit.per_s, max(0.0, now_ms - limit.last_ms))
