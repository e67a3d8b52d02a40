"""Exchanges with other VMs which endpoints say in their responses that they are about to stop.

Layer: transport.  All VMs get a notice, since each of them may get requests at any time.  None of
this depends on the store.
"""

from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.endpoint_updates import EndpointUpdates
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.members import Member
from cloverhook.gateway.peer_messages import DrainNoticeUpdate, encode
from cloverhook.gateway.peer_rows import DrainNoticeEntry
from cloverhook.gateway.update_sender import ROWS_LIMIT

__all__ = ["DrainUpdates"]

RELAY_COUNT = 3
"""How many VMs of each remote data centre relay an update: one of them may be isolated."""


class DrainUpdates(EndpointUpdates):
    """Applies the notices in responses to this VM and in updates of other VMs."""

    REPEAT_MS = 2_000.0

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        gateway_state: GatewayState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        super().__init__(own_vm, broadcast, gateway_state, log, counters)
        self._notices = gateway_state.drain_notices
        self._revoked_ms: dict[str, float] = {}

    def record_notice(self, incarnation: str, at_ms: float, source: str) -> None:
        """Record that an endpoint has said in a response that it is about to stop."""
        if self._notices.record(incarnation, at_ms, at_ms):
            self._record_change(incarnation, True, source)
            self._sender.send_change(incarnation)
        else:
            self._sender.repeat_if_due(incarnation, at_ms)

    def record_no_notice(self, incarnation: str, sent_ms: float) -> None:
        """Record a successful response without a notice, to a request sent at `sent_ms`."""
        if self._notices.revoke(incarnation, sent_ms):
            self._record_change(incarnation, False, "answer")
            self._revoked_ms[incarnation] = sent_ms
            self._sender.send_change(incarnation)

    def received(self, message: DrainNoticeUpdate, now_ms: float) -> None:
        """Apply the notices that another VM has sent."""
        for row in message.rows[:ROWS_LIMIT]:
            self._sender.record_received(row.incarnation, now_ms)
            last_ms = now_ms - row.last_age_ms
            if row.first_age_ms is None:
                if self._notices.revoke(row.incarnation, last_ms):
                    self._record_change(row.incarnation, False, message.vm)
            elif self._notices.record(row.incarnation, now_ms - row.first_age_ms, last_ms):
                self._record_change(row.incarnation, True, message.vm)

    def send_notices_to(self, member: Member, now_ms: float) -> None:
        """Send all notices to a VM that has just joined or returned."""
        if self._notices:
            self._send_to_joined(member, self._notices, now_ms)

    def expire(self, now_ms: float) -> None:
        """End the notices that have not been repeated for long."""
        for incarnation in self._notices.expire(now_ms):
            self._record_change(incarnation, False, "age")
            self._sender.forget(incarnation)

    def _record_change(self, incarnation: str, leaving: bool, source: str) -> None:
        self._log.note(
            EventKind.DRAINING,
            server=incarnation,
            service=self._service_of(incarnation),
            leaving=leaving,
            source=source,
        )
        if leaving:
            self._counters.add("drain_notices_received", source=_source_kind(source))

    def _send(self, incarnations: tuple[str, ...], now_ms: float) -> None:
        data = self._encode(incarnations, now_ms)
        self._broadcast.send_local(data, now_ms)
        self._broadcast.send_remote(data, now_ms, RELAY_COUNT)
        for incarnation in incarnations:
            self._revoked_ms.pop(incarnation, None)

    def _encode(self, incarnations: tuple[str, ...], now_ms: float) -> bytes:
        rows = (self._row(incarnation, now_ms) for incarnation in incarnations)
        known = tuple(row for row in rows if row is not None)
        return encode(DrainNoticeUpdate(self._own_vm, known))

    def _row(self, incarnation: str, now_ms: float) -> DrainNoticeEntry | None:
        """Return the row on an endpoint, or None if its notice has just expired."""
        notice = self._notices.get(incarnation)
        if notice is None:
            revoked_ms = self._revoked_ms.get(incarnation)
            if revoked_ms is None:
                return None
            return DrainNoticeEntry(incarnation, None, max(0.0, now_ms - revoked_ms))
        return DrainNoticeEntry(
            incarnation,
            max(0.0, now_ms - notice.first_ms),
            max(0.0, now_ms - notice.last_ms),
        )


def _source_kind(source: str) -> str:
    """Return the source for a metric, which must not have a label value for each VM."""
    return source if source in ("answer", "probe") else "peer"
