"""Exchanges with other VMs which endpoints ask for a time without requests.

Layer: transport.
"""

from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.endpoint_updates import EndpointUpdates
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.members import Member
from cloverhook.gateway.peer_messages import BackoffUpdate, encode
from cloverhook.gateway.peer_rows import BackoffEntry
from cloverhook.gateway.update_sender import ROWS_LIMIT

__all__ = ["BackoffUpdates"]

RELAY_COUNT = 2


class BackoffUpdates(EndpointUpdates):
    """Applies what endpoints ask of this VM, and what other VMs have been asked."""

    REPEAT_MS = 1_000.0
    """What the other VMs know is sent again only if it is this much longer than they know."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        gateway_state: GatewayState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        super().__init__(own_vm, broadcast, gateway_state, log, counters)
        self._backoffs = gateway_state.backoffs

    def record_rejection(self, incarnation: str, backoff_ms: float, at_ms: float) -> None:
        """Record that an endpoint has rejected a request and asked for a time without requests."""
        is_new = self._backoffs.record(incarnation, at_ms + backoff_ms)
        self._counters.add("backoffs_requested")
        if is_new:
            self._note(incarnation, backoff_ms, "answer")
        known_ms = self._backoffs.remaining_for_peers_ms(incarnation, at_ms)
        if backoff_ms > known_ms + self.REPEAT_MS:
            self._backoffs.record_for_peer(incarnation, at_ms + backoff_ms)
            self._sender.send_change(incarnation)

    def received(self, message: BackoffUpdate, now_ms: float) -> None:
        """Apply what endpoints have asked of another VM."""
        for row in message.rows[:ROWS_LIMIT]:
            if self._backoffs.record_for_peer(row.incarnation, now_ms + row.remaining_ms):
                self._note(row.incarnation, row.remaining_ms, message.vm)

    def send_backoffs_to(self, member: Member, now_ms: float) -> None:
        """Send what endpoints have asked of any VM to one that has just joined or returned.

        The VM that was asked may not be among the few that send to the one that joins.
        """
        if self._backoffs:
            self._send_to_joined(member, self._backoffs.incarnations(), now_ms)

    def expire(self, now_ms: float) -> None:
        """End the times without requests that are over."""
        for incarnation in self._backoffs.expire(now_ms):
            self._note(incarnation, 0.0, "age")
            self._sender.forget(incarnation)

    def _note(self, incarnation: str, backoff_ms: float, source: str) -> None:
        self._log.note(
            EventKind.BACKOFF,
            server=incarnation,
            service=self._service_of(incarnation),
            left_ms=round(backoff_ms),
            source=source,
        )

    def _send(self, incarnations: tuple[str, ...], now_ms: float) -> None:
        data = self._encode(incarnations, now_ms)
        self._broadcast.send_to_load_subscribers(data, now_ms)
        self._broadcast.send_remote(data, now_ms, RELAY_COUNT)

    def _encode(self, incarnations: tuple[str, ...], now_ms: float) -> bytes:
        rows = tuple(
            BackoffEntry(name, self._backoffs.remaining_for_any_ms(name, now_ms))
            for name in incarnations
        )
        return encode(BackoffUpdate(self._own_vm, rows))
