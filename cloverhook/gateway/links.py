"""The links between this VM and the endpoints: which ones it reaches.

Layer: coordination.  That a connection can't be opened, or brings no answer, is a fact about the
link between one VM and one endpoint: other VMs may reach that endpoint at the same time.  A link
that has failed is used again only after a check has found it working, so that no request of a
caller has to find out.  A check opens a connection and probes the endpoint.

If links to several endpoints of a service fail without a contact with any of them in between, the
VM may have lost all of them, or these endpoints have ended together.  So links to some others are
checked at once.  If none of these works, all links to the service are presumed to be down, until
one of them works.

>>> from cloverhook.gateway.backend_server import ServerRecord
>>> registry = Registry()
>>> server = BackendServer("i-1", "orders", "10.0.0.1:9000", "papine")
>>> _ = registry.apply(ServerRecord("i-1", 0, server), 0.0, False)
>>> links = Links(registry, LoadTable())
>>> links.record_failure(server, LinkFailure.REFUSED, 5.0)
>>> links.is_out_of_reach("orders"), links.due_checks(105.0) == [server]
(True, True)
>>> links.record_contact(server, 106.0)
>>> links.is_out_of_reach("orders")
False
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from cloverhook.errors import ConnectError
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.server_load import LoadTable

__all__ = ["LinkChange", "LinkFailure", "Links"]

SUSPICION_FAILURES = 2
"""If links to this many endpoints of a service fail in a row, links to others are checked."""
SUSPICION_CHECKS = 4
"""How many others are checked.  If a third of the endpoints have ended together, all of these have
ended in 1 of 100 cases."""
DECISION_MS = 250.0
"""All of these checks have ended by then."""
SUSPICION_WINDOW_MS = 1_000.0
"""Failures further apart than this don't count as failures in a row."""
FIRST_CHECK_MS = 50.0
"""A link may fail because of a single lost packet, so it is checked soon."""
CONFIRM_MS = 150.0
"""The first check of a link has ended by then."""
MAX_CHECK_INTERVAL_MS = 1_000.0
"""The interval between the checks of one link doubles up to this time."""
CHECK_INTERVAL_MS_PER_VM = 60.0
"""The interval doubles further, up to this time for each VM of the fleet, where no VM reaches the
endpoint: the checks of all VMs together stay below 17 a second, however large the fleet is."""
SERVICE_CHECK_MS = 250.0
SERVICE_CHECKS = 3
"""While all links to a service are presumed down, so many of them are checked at a time."""
CHECKS_LIMIT = 24
"""The most checks that begin at a time; a small VM can make them beside its requests."""
FLAP_WINDOW_MS = 10_000.0
FIRST_HOLD_MS = 1_000.0
MAX_HOLD_MS = 4_000.0
"""A link that fails again within `FLAP_WINDOW_MS` is used again once it has worked for
`FIRST_HOLD_MS`, and twice as long with each further failure: each time that it comes and goes costs
requests."""
SILENCE_MS = 250.0
EXPECTED_FACTOR = 1.5
"""A link is checked if a request has been without an answer for this many times the expected time,
and for `SILENCE_MS` at least, and its service has sent nothing meanwhile."""
SILENCE_CHECK_INTERVAL_MS = 500.0
FULL_CONTACT_MS = 500.0
"""An endpoint that is full may leave connections and probes without an answer.  If others of its
service have answered within this time, its link is not taken for lost."""
FULL_DOUBT_MS = 500.0
"""For this long such an endpoint is used only where no other one has capacity."""
LONG_AGO_MS = -1e12


class LinkFailure(Enum):
    """How a VM found that it does not reach an endpoint.

    `PRESUMED` means that it has not tried this endpoint, but others of the same service.
    """

    REFUSED = "refused"
    TIMED_OUT = "timed-out"
    PROBE_UNANSWERED = "probe-unanswered"
    BROKEN_OFF = "broken-off"
    OTHER_INCARNATION = "other-incarnation"
    PRESUMED = "presumed"

    @classmethod
    def of(cls, error: ConnectError) -> "LinkFailure":
        """Return how opening a connection failed."""
        return cls.REFUSED if error.refused else cls.TIMED_OUT


SILENT_FAILURES = (LinkFailure.TIMED_OUT, LinkFailure.PROBE_UNANSWERED)
"""A link that has brought nothing back; the other kinds show that something has come."""


@dataclass(frozen=True, slots=True)
class LinkChange:
    """A link has failed, or works again after `lasted_ms`; then `failure` is None."""

    server: BackendServer
    failure: LinkFailure | None
    lasted_ms: float = 0.0


@dataclass(slots=True)
class _DownLink:
    """A link that has failed and has not worked since."""

    server: BackendServer
    failure: LinkFailure
    since_ms: float
    hold_ms: float
    next_check_ms: float
    checked_ms: float
    works_since_ms: float | None = None
    check_interval_ms: float = 2 * FIRST_CHECK_MS


@dataclass(slots=True)
class _Flaps:
    """How often in a row something has failed again soon after it had come back."""

    count: int
    last_ms: float

    def hold_ms(self) -> float:
        """Return for how long it must work before it is used again."""
        if self.count < 2:
            return 0.0
        return min(FIRST_HOLD_MS * 2.0 ** (self.count - 2), MAX_HOLD_MS)


@dataclass(slots=True)
class _Suspicion:
    """The endpoints of a service whose links decide whether all its links are presumed down.

    Those in `due` are to be checked; `undecided` are all that have not failed so far.
    """

    due: list[BackendServer]
    undecided: set[str]
    since_ms: float


@dataclass(slots=True)
class _LostService:
    """A service to which all links are presumed down."""

    hold_ms: float
    next_check_ms: float
    works_since_ms: float | None = None


@dataclass(slots=True, eq=False)
class _Wait:
    """A request that has been sent to an endpoint and has no answer yet."""

    server: BackendServer
    since_ms: float
    silence_ms: float


class Links:
    """The links that are down; times are on the monotonic clock.

    `on_change` is called with each link that fails or works again, and `on_checks_due` when checks
    should begin at once instead of at the next tick.
    """

    def __init__(
        self,
        registry: Registry,
        load_table: LoadTable,
        on_change: Callable[[LinkChange], None] = lambda change: None,
        on_checks_due: Callable[[], None] = lambda: None,
        source: random.Random | None = None,
        fleet_size: Callable[[], int] = lambda: 1,
    ) -> None:
        self._registry = registry
        self._load_table = load_table
        self._on_change = on_change
        self._on_checks_due = on_checks_due
        self._random = source or random.Random()
        self._fleet_size = fleet_size
        self._down: dict[str, _DownLink] = {}
        self._lost: dict[str, _LostService] = {}
        self._suspected: dict[str, _Suspicion] = {}
        self._flaps: dict[str, _Flaps] = {}
        self._contact_ms: dict[str, float] = {}
        self._service_contact_ms: dict[str, float] = {}
        self._failed_in_row: dict[str, dict[str, float]] = {}
        self._waits: dict[_Wait, None] = {}
        self._silence_checked_ms: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of links that are down."""
        return len(self._down)

    def is_down(self, incarnation: str) -> bool:
        """Return whether the link to an endpoint has failed and has not worked since."""
        return incarnation in self._down

    def is_lost(self, incarnation: str, now_ms: float) -> bool:
        """Return whether a link has been down for so long that a check would have shown it works.

        Until then a request waits: the failure may have been a single lost packet.
        """
        link = self._down.get(incarnation)
        return link is not None and now_ms - link.since_ms >= CONFIRM_MS

    def is_out_of_reach(self, service: str) -> bool:
        """Return whether this VM reaches none of the endpoints of a service that has some."""
        return self.reaches_none(service, self._registry.of_service(service))

    def is_suspected(self, service: str, now_ms: float) -> bool:
        """Return whether checks will soon show if this VM has lost all links to a service."""
        suspicion = self._suspected.get(service)
        return suspicion is not None and now_ms - suspicion.since_ms <= DECISION_MS

    def reaches_none(self, service: str, servers: Iterable[BackendServer]) -> bool:
        """Return whether there are such endpoints of a service, and this VM reaches none of them.

        While all links to the service are presumed down, that includes one to a new endpoint, which
        has not been found working yet.
        """
        if not self._down:
            return False
        is_lost = service in self._lost
        has_any = False
        for server in servers:
            if not is_lost and server.incarnation not in self._down:
                return False
            has_any = True
        return has_any

    def affected_services(self) -> set[str]:
        """Return the services of which a link to any endpoint is down."""
        return {link.server.service for link in self._down.values()}

    def failed(self) -> Iterable[str]:
        """Return the endpoints whose links were found to be down, not only presumed to be."""
        return (
            name for name, link in self._down.items() if link.failure is not LinkFailure.PRESUMED
        )

    def contact_ms(self, incarnation: str) -> float:
        """Return when an endpoint last answered this VM; a time long ago if it never did."""
        return self._contact_ms.get(incarnation, LONG_AGO_MS)

    def service_contact_ms(self, service: str) -> float:
        """Return when any endpoint of a service last answered this VM."""
        return self._service_contact_ms.get(service, LONG_AGO_MS)

    def sample_contacts(self, count: int, excluded: BackendServer) -> list[BackendServer]:
        """Return random other endpoints that have answered, and whose links are not down."""
        found = [
            server
            for name in self._contact_ms
            if name not in self._down and (server := self._registry.get(name)) is not None
        ]
        found = [server for server in found if server.incarnation != excluded.incarnation]
        return self._random.sample(found, min(count, len(found)))

    def others_failed_since(self, server: BackendServer, since_ms: float) -> bool:
        """Return whether links to other endpoints have failed since then."""
        return any(
            link.since_ms >= since_ms and name != server.incarnation
            for name, link in self._down.items()
        )

    def record_failure(self, server: BackendServer, failure: LinkFailure, now_ms: float) -> None:
        """Record that this VM could not reach an endpoint."""
        link, lost = self._down.get(server.incarnation), self._lost.get(server.service)
        if link is None and self._is_only_full(server, failure, now_ms):
            load = self._load_table.get_or_create(server.incarnation)
            load.doubt_until(now_ms + FULL_DOUBT_MS)
            return
        if lost is not None:
            lost.works_since_ms = None
        if link is not None:
            link.failure, link.works_since_ms = failure, None
            link.next_check_ms = max(link.next_check_ms, now_ms + link.check_interval_ms)
            return
        self._take_down(server, failure, now_ms)
        row = self._failed_in_row.setdefault(server.service, {})
        for name, at_ms in tuple(row.items()):
            if now_ms - at_ms > SUSPICION_WINDOW_MS:
                del row[name]
        row[server.incarnation] = now_ms
        if server.service not in self._lost:
            self._update_suspicion(server, len(row), now_ms)

    def _is_only_full(self, server: BackendServer, failure: LinkFailure, now_ms: float) -> bool:
        """Return whether an endpoint is more likely full than out of reach."""
        if failure not in SILENT_FAILURES:
            return False
        if now_ms - self.service_contact_ms(server.service) > FULL_CONTACT_MS:
            return False
        load = self._load_table.get_or_create(server.incarnation)
        return load.was_full(server.slots, now_ms)

    def record_contact(self, server: BackendServer, now_ms: float) -> None:
        """Record that an endpoint has answered this VM."""
        incarnation, service = server.incarnation, server.service
        self._contact_ms[incarnation] = self._service_contact_ms[service] = now_ms
        self._failed_in_row.pop(service, None)
        self._suspected.pop(service, None)
        if not self._down:
            return
        lost = self._lost.get(service)
        if lost is not None:
            if _has_worked(lost, now_ms):
                self._end_presumption(service, now_ms)
            return
        link = self._down.get(incarnation)
        if link is not None and _has_worked(link, now_ms):
            self._bring_up(link, now_ms)

    def use_held_links(self, service: str, now_ms: float) -> None:
        """Use the links that work again but were to stay out of use for a while longer.

        Called if there is no other way to serve the requests of a service.
        """
        lost = self._lost.get(service)
        if lost is not None and lost.works_since_ms is not None:
            self._end_presumption(service, now_ms)
        for link in tuple(self._down.values()):
            if link.server.service == service and link.works_since_ms is not None:
                self._bring_up(link, now_ms)

    def begin_wait(self, server: BackendServer, expected_ms: float, now_ms: float) -> _Wait:
        """Record that a request was sent; the result is to be passed to `end_wait`."""
        wait = _Wait(server, now_ms, max(SILENCE_MS, EXPECTED_FACTOR * expected_ms))
        self._waits[wait] = None
        return wait

    def end_wait(self, wait: _Wait) -> None:
        """Record that a request was answered, or has failed."""
        self._waits.pop(wait, None)

    def due_checks(self, now_ms: float) -> list[BackendServer]:
        """Return the endpoints whose links should be checked now; to be called often."""
        found: dict[str, BackendServer] = {}
        for suspicion in self._suspected.values():
            found |= {server.incarnation: server for server in suspicion.due}
            suspicion.due = []
        for wait in self._waits:
            if now_ms - wait.since_ms < SILENCE_MS:
                break
            self._check_silence(wait, found, now_ms)
        for service, lost in self._lost.items():
            if now_ms >= lost.next_check_ms:
                lost.next_check_ms = now_ms + SERVICE_CHECK_MS
                for server in self._sample(service):
                    found[server.incarnation] = server
        for incarnation, link in self._down.items():
            if link.server.service not in self._lost and self._is_check_due(link, now_ms):
                link.checked_ms = now_ms
                link.next_check_ms = now_ms + link.check_interval_ms
                link.check_interval_ms = min(
                    2 * link.check_interval_ms, self._max_check_interval_ms()
                )
                found[incarnation] = link.server
        return list(found.values())[:CHECKS_LIMIT]

    def _is_check_due(self, link: _DownLink, now_ms: float) -> bool:
        """Return whether a link should be checked: it is time, or other VMs reach the endpoint."""
        if now_ms >= link.next_check_ms:
            return True
        if now_ms - link.checked_ms < MAX_CHECK_INTERVAL_MS:
            return False
        load = self._load_table.get_or_create(link.server.incarnation)
        return load.reported_since(link.checked_ms)

    def _max_check_interval_ms(self) -> float:
        """Return the longest interval between two checks of one link by this VM."""
        return max(MAX_CHECK_INTERVAL_MS, CHECK_INTERVAL_MS_PER_VM * self._fleet_size())

    def retain(self, known: Callable[[str], object]) -> None:
        """Drop the data on endpoints that are gone."""
        for table in (self._down, self._contact_ms, self._flaps):
            for incarnation in tuple(table):
                if not known(incarnation):
                    del table[incarnation]
        for by_service in (self._lost, self._suspected, self._failed_in_row):
            for service in tuple(by_service):
                if not self._registry.of_service(service):
                    del by_service[service]

    def _update_suspicion(self, failed: BackendServer, in_row: int, now_ms: float) -> None:
        """Suspect that all links to a service are down, or presume it if no check has worked."""
        service = failed.service
        suspicion = self._suspected.get(service)
        if suspicion is not None and now_ms - suspicion.since_ms <= SUSPICION_WINDOW_MS:
            suspicion.undecided.discard(failed.incarnation)
            if not suspicion.undecided:
                del self._suspected[service]
                self._presume_down(service, now_ms)
        elif in_row >= SUSPICION_FAILURES:
            servers = self._registry.of_service(service)
            others = [item for item in servers if item.incarnation not in self._down]
            if others:
                due = self._random.sample(others, min(SUSPICION_CHECKS, len(others)))
                names = {item.incarnation for item in due}
                self._suspected[service] = _Suspicion(due, names, now_ms)
                self._on_checks_due()

    def _take_down(self, server: BackendServer, failure: LinkFailure, now_ms: float) -> None:
        flaps = self._flaps.get(server.incarnation)
        if flaps is None or now_ms - flaps.last_ms > FLAP_WINDOW_MS:
            flaps = self._flaps[server.incarnation] = _Flaps(0, now_ms)
        flaps.count += 1
        flaps.last_ms = now_ms
        self._down[server.incarnation] = _DownLink(
            server, failure, now_ms, flaps.hold_ms(), now_ms + FIRST_CHECK_MS, now_ms
        )
        self._load_table.get_or_create(server.incarnation).link_down = True
        self._on_change(LinkChange(server, failure))

    def _bring_up(self, link: _DownLink, now_ms: float) -> None:
        del self._down[link.server.incarnation]
        self._load_table.get_or_create(link.server.incarnation).link_down = False
        self._on_change(LinkChange(link.server, None, now_ms - link.since_ms))

    def _presume_down(self, service: str, now_ms: float) -> None:
        """Presume all links to a service down, and check some of them at once."""
        hold_ms = max(
            (
                self._down[name].hold_ms
                for name in self._failed_in_row[service]
                if name in self._down
            ),
            default=0.0,
        )
        for server in self._registry.of_service(service):
            if server.incarnation not in self._down:
                self._take_down(server, LinkFailure.PRESUMED, now_ms)
        self._lost[service] = _LostService(hold_ms, now_ms)
        self._on_checks_due()

    def _end_presumption(self, service: str, now_ms: float) -> None:
        """Use the links to a service again that were only presumed down; check the others now."""
        del self._lost[service]
        for link in tuple(self._down.values()):
            if link.server.service != service:
                continue
            has_contact = self.contact_ms(link.server.incarnation) >= now_ms
            if has_contact or link.failure is LinkFailure.PRESUMED:
                self._bring_up(link, now_ms)
            else:
                link.next_check_ms = now_ms
        self._on_checks_due()

    def _check_silence(self, wait: _Wait, found: dict[str, BackendServer], now_ms: float) -> None:
        """Have the link of a request checked that has no answer, if its service is silent."""
        server = wait.server
        if now_ms - wait.since_ms < wait.silence_ms or self.is_down(server.incarnation):
            return
        if self.service_contact_ms(server.service) >= wait.since_ms:
            return
        if (
            now_ms - self._silence_checked_ms.get(server.service, LONG_AGO_MS)
            >= SILENCE_CHECK_INTERVAL_MS
        ):
            self._silence_checked_ms[server.service] = now_ms
            found[server.incarnation] = server
            for other in self._sample(server.service)[: SUSPICION_FAILURES - 1]:
                found[other.incarnation] = other

    def _sample(self, service: str) -> list[BackendServer]:
        servers = self._registry.of_service(service)
        return self._random.sample(servers, min(SERVICE_CHECKS, len(servers)))


def _has_worked(item: _DownLink | _LostService, now_ms: float) -> bool:
    """Record a contact; return whether contacts have gone on for as long as required."""
    if item.works_since_ms is None:
        item.works_since_ms = now_ms
    return now_ms - item.works_since_ms >= item.hold_ms
