"""Exchanges with other VMs which endpoints a VM does not reach.

Layer: transport.  A VM that has lost links says so at once and twice a second, and once more when
all of them work again.  Other VMs then check their own links, probe the endpoints in its place, and
use the shares of limits that it can't use.
"""

import asyncio
from collections.abc import Callable
from itertools import islice

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import LinkChange, LinkFailure, Links
from cloverhook.gateway.peer_links import PeerLinks
from cloverhook.gateway.peer_messages import LinkStatus, encode

__all__ = ["LinkUpdates"]

FLUSH_MS = 5.0
"""Links that fail together share a datagram."""
REPEAT_MS = 500.0
ROWS_LIMIT = 30
"""How many endpoints, and how many services, a datagram names at most, so that it fits into one
packet.  If more links are down, most belong to services that are out of reach as a whole."""
RELAY_COUNT = 2


class LinkUpdates:
    """Sends which links of this VM are down, and applies what other VMs send of theirs."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        gateway_state: GatewayState,
        links: Links,
        log: EventLog,
    ) -> None:
        self.start_check: Callable[[BackendServer], None] = lambda server: None
        """Called with each endpoint to which the link of this VM should be checked now."""
        self.peer_links = PeerLinks(links, gateway_state.load_table)
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._gateway_state = gateway_state
        self._links = links
        self._log = log
        self._since_ms: dict[str, float] = {}
        self._sent_ms = 0.0
        self._last_sent_empty = True
        self._flush_timer: asyncio.TimerHandle | None = None

    def record_change(self, change: LinkChange) -> None:
        """Send soon that an own link has failed, or works again."""
        incarnation = change.server.incarnation
        if change.failure is None:
            self._since_ms.pop(incarnation, None)
        elif change.failure is not LinkFailure.PRESUMED:
            self._since_ms[incarnation] = monotonic_ms()
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_MS / 1000, self._flush)

    def repeat_if_due(self, now_ms: float) -> None:
        """Send the status again if links are down, or to say that none is any more."""
        if now_ms - self._sent_ms >= REPEAT_MS and (len(self._links) or not self._last_sent_empty):
            self._send(now_ms)

    def received(self, message: LinkStatus, now_ms: float) -> None:
        """Apply what another VM has sent."""
        rows = message.rows[:ROWS_LIMIT]
        services = message.services[:ROWS_LIMIT]
        self.peer_links.record_status(message.vm, (name for name, _ in rows), services, now_ms)
        for incarnation, age_ms in rows:
            self.record_report(message.vm, incarnation, now_ms - age_ms, now_ms)

    def record_report(self, vm: str, incarnation: str, at_ms: float, now_ms: float) -> None:
        """Check the own link to an endpoint that another VM did not reach at `at_ms`."""
        server = self._gateway_state.registry.get(incarnation)
        if server is None or not self.peer_links.should_check(vm, server, at_ms, now_ms):
            return
        self._log.note(
            EventKind.ENDPOINT, server=incarnation, reachable=False, source=vm, checking=True
        )
        self.start_check(server)

    def expire(self, now_ms: float) -> None:
        """Drop what is out of date; to be called periodically."""
        known = self._gateway_state.registry.get
        self.peer_links.expire(now_ms, known)
        for incarnation in tuple(self._since_ms):
            if not known(incarnation):
                del self._since_ms[incarnation]

    def _flush(self) -> None:
        self._flush_timer = None
        self._send(monotonic_ms())

    def _send(self, now_ms: float) -> None:
        self._sent_ms = now_ms
        self._last_sent_empty = not len(self._links)
        lost = self._links.out_of_reach()[:ROWS_LIMIT]
        rows = [
            [incarnation, round(now_ms - self._since_ms.get(incarnation, now_ms))]
            for incarnation in islice(self._links.failed(), ROWS_LIMIT)
        ]
        data = encode(LinkStatus(self._own_vm, rows, lost))
        self._broadcast.send_to_load_subscribers(data, now_ms)
        self._broadcast.send_remote(data, now_ms, RELAY_COUNT)
