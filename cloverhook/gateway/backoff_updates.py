"""Records which endpoints ask for a time without requests.

Layer: transport.
"""

from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState

__all__ = ["BackoffUpdates"]


class BackoffUpdates:
    """Applies what endpoints ask of this VM."""

    def __init__(self, gateway_state: GatewayState, log: EventLog, counters: Counters) -> None:
        self._registry = gateway_state.registry
        self._backoffs = gateway_state.backoffs
        self._log = log
        self._counters = counters

    def record_rejection(self, incarnation: str, backoff_ms: float, at_ms: float) -> None:
        """Record that an endpoint has rejected a request and asked for a time without requests."""
        is_new = self._backoffs.record(incarnation, at_ms + backoff_ms)
        self._counters.add("backoffs_requested")
        if is_new:
            self._note(incarnation, backoff_ms, "answer")

    def expire(self, now_ms: float) -> None:
        """End the times without requests that are over."""
        for incarnation in self._backoffs.expire(now_ms):
            self._note(incarnation, 0.0, "age")

    def _note(self, incarnation: str, backoff_ms: float, source: str) -> None:
        server = self._registry.get(incarnation)
        self._log.note(
            EventKind.BACKOFF,
            server=incarnation,
            service="" if server is None else server.service,
            left_ms=round(backoff_ms),
            source=source,
        )
