"""Exchanges with other VMs which endpoints a VM does not reach.

Layer: transport.  A VM that has lost links says so at once and twice a second, and once more when
all of them work again.  Other VMs then check their own links, probe the endpoints in its place, and
use the shares of limits that it can't use.  If the VM reaches no endpoint of a service, those that
do offer to send its requests; a VM of an earlier version, which can't do that, offers nothing.

An endpoint that hangs is out of reach for every VM.  In a large data centre a VM therefore says at
once only what no other one has reported, and repeats its status less often the more neighbours it
has, and only to these.  A VM that reaches no endpoint of a service still says so everywhere, twice
a second.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from itertools import islice

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import LinkChange, LinkFailure, Links
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_links import STATUS_EXPIRY_MS, PeerLinks
from cloverhook.gateway.peer_messages import LinkOffer, LinkStatus, encode
from cloverhook.gateway.proxy_offers import ProxyOffers

__all__ = ["LinkUpdates", "ReachGroup"]

FLUSH_MS = 5.0
"""Links that fail together share a datagram."""
REPEAT_MS = 500.0
REPEAT_MS_PER_VM = 60.0
"""The time between two repetitions for each neighbour in a large data centre, where a VM then
receives at most 17 a second, however many VMs have links down."""
LARGE_FLUSH_GAP_MS = 250.0
"""In a large data centre, links that fail one after the other share a datagram too."""
ROWS_LIMIT = 30
"""How many endpoints, and how many services, a datagram names at most, so that it fits into one
packet.  If more links are down, most belong to services that are out of reach as a whole."""
RELAY_COUNT = 2
OFFER_WAIT_MS = 100.0
"""The first offers have arrived this long after the links were lost, also from other data
centres."""
OFFERS_WANTED = 24
"""How many VMs are to answer a VM that has lost its links: in a large fleet only a part of those
that could."""
CONTACT_AGE_LIMIT_MS = 3_600_000.0
REPEATS_KEPT = 3
"""What a VM reports holds for the time of so many repetitions; one or two of them may be lost."""


@dataclass(frozen=True, slots=True)
class ReachGroup:
    """The endpoints of a service that may serve a route: those in its regions, or all."""

    service: str
    regions: tuple[str, ...] = ()


class LinkUpdates:
    """Sends which links of this VM are down, and applies what other VMs send of theirs."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        members: Members,
        gateway_state: GatewayState,
        links: Links,
        log: EventLog,
    ) -> None:
        self.may_offer: Callable[[], bool] = lambda: False
        """Returns whether this VM may send requests for others."""
        self.start_check: Callable[[BackendServer], None] = lambda server: None
        """Called with each endpoint to which the link of this VM should be checked now."""
        self.is_out_of_reach: Callable[[str, tuple[str, ...]], bool] = (
            lambda service, regions: links.is_out_of_reach(service)
        )
        """Returns whether this VM reaches none of the endpoints of a service in some regions."""
        self.peer_links = PeerLinks(links, gateway_state.load_table)
        self.offers = ProxyOffers(random.Random())
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._members = members
        self._gateway_state = gateway_state
        self._links = links
        self._log = log
        self._since_ms: dict[str, float] = {}
        self._sent_ms = 0.0
        self._last_sent_empty = True
        self._sent_lost = False
        self._flush_timer: asyncio.TimerHandle | None = None
        self._lost_ms: dict[ReachGroup, float] = {}
        self._waiting: set[asyncio.Future[None]] = set()

    def lost_services(self) -> int:
        """Return the number of services of which this VM reaches no endpoint."""
        return len(self._lost_ms)

    async def wait_for_proxy(self, group: ReachGroup, tried: Collection[str]) -> str | None:
        """Return a VM that sends requests for this one, or None if there is none.

        Waits for the first offers after the links to a group of endpoints were lost, unless one of
        these works again meanwhile.
        """
        while True:
            now_ms = monotonic_ms()
            self._update_lost(group, now_ms)
            vm = self.offers.choose(group.service, tried, now_ms)
            left_ms = self._lost_ms.get(group, now_ms - OFFER_WAIT_MS) + OFFER_WAIT_MS - now_ms
            if vm is not None or left_ms <= 0 or group not in self._lost_ms:
                return vm
            future = asyncio.get_running_loop().create_future()
            self._waiting.add(future)
            try:
                await asyncio.wait((future,), timeout=left_ms / 1000)
            finally:
                self._waiting.discard(future)

    def record_change(self, change: LinkChange) -> None:
        """Send soon that an own link has failed, or works again."""
        incarnation = change.server.incarnation
        if change.failure is None:
            self._since_ms.pop(incarnation, None)
        elif change.failure is not LinkFailure.PRESUMED:
            self._since_ms[incarnation] = monotonic_ms()
        service = change.server.service
        groups = [group for group in self._lost_ms if group.service == service]
        for group in {ReachGroup(service), *groups}:
            self._update_lost(group, monotonic_ms())
        if not self._members.in_large_data_center():
            self._schedule_flush()
        elif self._is_news(change):
            self._schedule_flush(self._sent_ms + LARGE_FLUSH_GAP_MS - monotonic_ms())

    def _is_news(self, change: LinkChange) -> bool:
        """Return whether a link was found to be down whose endpoint no other VM has reported."""
        if change.failure in (None, LinkFailure.PRESUMED):
            return False
        return not self.peer_links.is_reported(change.server, monotonic_ms() - STATUS_EXPIRY_MS)

    def _update_lost(self, group: ReachGroup, now_ms: float) -> None:
        """Record and log that a group is out of reach as a whole, or no longer is."""
        lost = self.is_out_of_reach(group.service, group.regions)
        if lost == (group in self._lost_ms):
            return
        since_ms = self._lost_ms.setdefault(group, now_ms)
        if lost:
            self._schedule_flush()
        else:
            del self._lost_ms[group]
            self._wake_waiting()
        self._log.note(
            EventKind.REACH,
            service=group.service,
            regions=",".join(group.regions),
            lost=lost,
            lasted_ms=round(now_ms - since_ms),
        )

    def _schedule_flush(self, wait_ms: float = 0.0) -> None:
        """Send the status after `wait_ms`, or sooner if that is scheduled already."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() + max(wait_ms, FLUSH_MS) / 1000
        if self._flush_timer is not None:
            if self._flush_timer.when() <= due_s:
                return
            self._flush_timer.cancel()
        self._flush_timer = loop.call_at(due_s, self._flush)

    def _wake_waiting(self) -> None:
        for future in self._waiting:
            if not future.done():
                future.set_result(None)

    def repeat_if_due(self, now_ms: float) -> None:
        """Send the status again if links are down, or to say that none is any more."""
        repeat_ms = self._repeat_ms()
        self.peer_links.status_expiry_ms = max(STATUS_EXPIRY_MS, REPEATS_KEPT * repeat_ms)
        if self._lost_ms:
            repeat_ms = REPEAT_MS
        if now_ms - self._sent_ms >= repeat_ms and (len(self._links) or not self._last_sent_empty):
            self._send(now_ms, has_news=False)

    def _repeat_ms(self) -> float:
        """Return the time between two statuses of a VM that has lost no service as a whole."""
        if not self._members.in_large_data_center():
            return REPEAT_MS
        return max(REPEAT_MS, REPEAT_MS_PER_VM * self._members.local_count())

    def received(self, message: LinkStatus, now_ms: float) -> None:
        """Apply what another VM has sent."""
        rows = message.rows[:ROWS_LIMIT]
        services = message.services[:ROWS_LIMIT]
        self.peer_links.record_status(message.vm, (name for name, _ in rows), services, now_ms)
        for service in services:
            self.offers.record_lost(message.vm, service, now_ms)
        for incarnation, age_ms in rows:
            self.record_report(message.vm, incarnation, now_ms - age_ms, now_ms)
        wanted = {*services, *message.wanted[:ROWS_LIMIT]}
        if wanted and self.may_offer():
            self._send_offer(message.vm, wanted, now_ms)

    def received_offer(self, message: LinkOffer, now_ms: float) -> None:
        """Apply the offer of another VM to send requests for this one."""
        self.offers.record(message.vm, dict(message.rows[:ROWS_LIMIT]), now_ms)
        self._wake_waiting()

    def _send_offer(self, vm: str, services: Collection[str], now_ms: float) -> None:
        """Offer a VM to send its requests for those of the services that this VM reaches."""
        member = self._members.get(vm)
        if member is None or random.random() * len(self._members) > OFFERS_WANTED:
            return
        rows = [
            [name, round(min(now_ms - self._links.service_contact_ms(name), CONTACT_AGE_LIMIT_MS))]
            for name in services
            if self._gateway_state.registry.of_service(name) and not self.is_out_of_reach(name, ())
        ]
        if rows:
            self._broadcast.send_to([member], encode(LinkOffer(self._own_vm, rows)))

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
        self.offers.expire(now_ms)
        whole = map(ReachGroup, self._links.affected_services())
        for group in {*self._lost_ms, *whole}:
            self._update_lost(group, now_ms)
        for incarnation in tuple(self._since_ms):
            if not known(incarnation):
                del self._since_ms[incarnation]

    def _flush(self) -> None:
        self._flush_timer = None
        self._send(monotonic_ms(), has_news=True)

    def _send(self, now_ms: float, has_news: bool) -> None:
        """Send the status of this VM.

        A mere repetition stays in a large data centre, and a service that is out of reach stands
        for all of its endpoints in it.
        """
        is_brief = not has_news and self._members.in_large_data_center()
        was_lost, self._sent_lost = self._sent_lost, bool(self._lost_ms)
        self._sent_ms = now_ms
        self._last_sent_empty = not len(self._links)
        lost = [group.service for group in self._lost_ms if not group.regions][:ROWS_LIMIT]
        wanted = {group.service for group in self._lost_ms if group.regions}
        rows = [
            [incarnation, round(now_ms - self._since_ms.get(incarnation, now_ms))]
            for incarnation in islice(self._failed_outside(lost if is_brief else ()), ROWS_LIMIT)
        ]
        data = encode(LinkStatus(self._own_vm, rows, lost, list(wanted)[:ROWS_LIMIT]))
        self._broadcast.send_to_load_subscribers(data, now_ms)
        if self._lost_ms or was_lost or not is_brief:
            self._broadcast.send_remote(data, now_ms, RELAY_COUNT)

    def _failed_outside(self, services: Collection[str]) -> Iterator[str]:
        """Return the endpoints whose links have failed, but not those of some services."""
        registry = self._gateway_state.registry
        for incarnation in self._links.failed():
            server = registry.get(incarnation)
            if server is None or server.service not in services:
                yield incarnation
