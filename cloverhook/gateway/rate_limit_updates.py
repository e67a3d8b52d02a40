"""Exchanges with other VMs the rate limits that endpoints advertise in their answers.

Layer: transport.  A new or changed limit is sent at once, and again once a second while the
endpoint keeps advertising it.  In this way a VM that has just started learns of it too.
"""

from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.endpoint_updates import EndpointUpdates
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.peer_messages import RateLimitUpdate, encode
from cloverhook.gateway.peer_rows import RateLimitEntry
from cloverhook.gateway.rate_limits import RateLimits
from cloverhook.gateway.update_sender import ROWS_LIMIT

__all__ = ["RateLimitUpdates"]

RELAY_COUNT = 2


class RateLimitUpdates(EndpointUpdates):
    """Sends the rate limits that endpoints advertise to this VM, and applies other VMs' limits."""

    REPEAT_MS = 1_000.0

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        limits: RateLimits,
        gateway_state: GatewayState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        super().__init__(own_vm, broadcast, gateway_state, log, counters)
        self.limits = limits

    def record_response(self, incarnation: str, per_s: float | None, at_ms: float) -> None:
        """Process the limit in an endpoint's answer to a request; None means that it has none."""
        if per_s is None:
            if self.limits.record_no_limit(incarnation, at_ms):
                self._record_end(incarnation, "answer")
                self._sender.send_change(incarnation)
        elif self.limits.record_limit(incarnation, per_s, at_ms):
            self._record_change(incarnation, "answer")
            self._sender.send_change(incarnation)
        else:
            self._sender.repeat_if_due(incarnation, at_ms)

    def received(self, message: RateLimitUpdate, now_ms: float) -> None:
        """Apply the limits of registered endpoints that another VM has sent."""
        for row in message.rows[:ROWS_LIMIT]:
            if self._gateway_state.registry.get(row.incarnation) is None:
                continue
            self._sender.record_received(row.incarnation, now_ms)
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
        self._sender.forget(incarnation)

    def _record_change(self, incarnation: str, source: str) -> None:
        limit = self.limits.get(incarnation)
        self._log.note(EventKind.RATE_LIMIT, server=incarnation, per_s=limit.per_s, source=source)
        self._counters.add("rate_limits_named")

    def _record_end(self, incarnation: str, source: str) -> None:
        self._log.note(EventKind.RATE_LIMIT, server=incarnation, per_s=None, source=source)

    def _send(self, incarnations: tuple[str, ...], now_ms: float) -> None:
        data = self._encode(incarnations, now_ms)
        self._broadcast.send_to_load_subscribers(data, now_ms)
        self._broadcast.send_remote(data, now_ms, RELAY_COUNT)

    def _encode(self, incarnations: tuple[str, ...], now_ms: float) -> bytes:
        rows = tuple(self._row(incarnation, now_ms) for incarnation in incarnations)
        return encode(RateLimitUpdate(self._own_vm, rows))

    def _row(self, incarnation: str, now_ms: float) -> RateLimitEntry:
        limit = self.limits.get(incarnation)
        if limit is None:
            return RateLimitEntry(incarnation, None, 0.0)
        return RateLimitEntry(incarnation, limit.per_s, max(0.0, now_ms - limit.last_ms))
