"""What other VMs report of their links to the endpoints.

Layer: coordination.  Another VM that does not reach an endpoint says nothing certain about the link
of this VM.  Yet the endpoint may have ended, so this VM checks its own link at once, and prefers
other endpoints for the short time until it knows.  If the check succeeds, the reporting VM has a
problem of its own, and its reports are ignored for a while.

>>> from cloverhook.gateway.registry import Registry
>>> peers = PeerLinks(Links(Registry(), LoadTable()), LoadTable())
>>> server = BackendServer("i-1", "orders", "10.0.0.1:9000", "papine")
>>> peers.record_status("vm-2", ["i-1"], ["menus"], now_ms=0.0)
>>> sorted(peers.without_link(server, 100.0)), sorted(peers.without_link(server, 5_000.0))
(['vm-2'], [])
"""

from collections.abc import Callable, Iterable

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.links import Links
from cloverhook.gateway.server_load import LoadTable

__all__ = ["STATUS_EXPIRY_MS", "PeerLinks"]

STATUS_EXPIRY_MS = 1_500.0
"""A VM repeats its status twice a second while links are down; two of them may be lost."""
DOUBT_MS = 150.0
"""An own check is over by then."""
CHECKS_PER_VM = 3
"""So many endpoints that a VM reports are checked at a time: if it has lost all its links, a few
checks show that."""
IGNORED_MS = 2_000.0
"""For how long reports of a VM are ignored that does not reach what this VM reaches."""
RECENT_USE_MS = 10_000.0
"""An endpoint without a contact for this long gets hardly any requests of this VM, so that it is
not worth a check."""


class PeerLinks:
    """The links of other VMs that are down; times are on the monotonic clock."""

    def __init__(self, links: Links, load_table: LoadTable) -> None:
        self._links = links
        self._load_table = load_table
        self._down_ms: dict[str, dict[str, float]] = {}
        self._lost_services: dict[str, tuple[frozenset[str], float]] = {}
        self._reporters: dict[str, str] = {}
        self._checking: dict[str, dict[str, float]] = {}
        self._ignored_until_ms: dict[str, float] = {}
        self.status_expiry_ms = STATUS_EXPIRY_MS
        """How long a report of a single endpoint holds; other VMs repeat it more often."""

    def record_status(
        self, vm: str, incarnations: Iterable[str], services: Iterable[str], now_ms: float
    ) -> None:
        """Record which endpoints a VM does not reach, and of which services it reaches none."""
        down = frozenset(incarnations)
        for incarnation, reported in self._down_ms.items():
            if incarnation not in down:
                reported.pop(vm, None)
        for incarnation in down:
            self._down_ms.setdefault(incarnation, {})[vm] = now_ms
        found = frozenset(services)
        if found:
            self._lost_services[vm] = found, now_ms
        else:
            self._lost_services.pop(vm, None)

    def without_link(self, server: BackendServer, now_ms: float) -> set[str]:
        """Return the VMs that have recently reported that they don't reach an endpoint."""
        if not self._down_ms and not self._lost_services:
            return set()
        oldest_ms = now_ms - self.status_expiry_ms
        found = {
            vm
            for vm, at_ms in self._down_ms.get(server.incarnation, {}).items()
            if at_ms > oldest_ms
        }
        oldest_ms = now_ms - STATUS_EXPIRY_MS
        found.update(
            vm
            for vm, (services, at_ms) in self._lost_services.items()
            if at_ms > oldest_ms and server.service in services
        )
        return found

    def is_reported(self, server: BackendServer, since_ms: float) -> bool:
        """Return whether a VM has reported since then that it does not reach an endpoint."""
        times_ms = self._down_ms.get(server.incarnation, {}).values()
        return any(at_ms >= since_ms for at_ms in times_ms)

    def should_check(self, vm: str, server: BackendServer, at_ms: float, now_ms: float) -> bool:
        """Return whether this VM should check its link to an endpoint that another VM reports.

        `at_ms` is when that VM found that it does not reach the endpoint.  Until the check ends,
        or for `DOUBT_MS`, the endpoint is used only where no other one has capacity.
        """
        incarnation, links = server.incarnation, self._links
        contact_ms = links.contact_ms(incarnation)
        if links.is_down(incarnation) or contact_ms >= at_ms:
            return False
        if now_ms < self._ignored_until_ms.get(vm, 0.0) or incarnation in self._reporters:
            return False
        load = self._load_table.get_or_create(incarnation)
        if not load.in_flight and now_ms - contact_ms > RECENT_USE_MS:
            return False
        load.doubt_until(now_ms + DOUBT_MS)
        for name, began_ms in tuple(self._checking.get(vm, {}).items()):
            if now_ms - began_ms > DOUBT_MS:
                self._end_check(name)
        checking = self._checking.setdefault(vm, {})
        if len(checking) >= CHECKS_PER_VM:
            return False
        checking[incarnation] = now_ms
        self._reporters[incarnation] = vm
        return True

    def record_check(self, server: BackendServer, reached: bool, now_ms: float) -> None:
        """Record the result of a check of an own link."""
        vm = self._end_check(server.incarnation)
        self._load_table.get_or_create(server.incarnation).doubt_until(0.0)
        if vm is not None and reached:
            self._ignored_until_ms[vm] = now_ms + IGNORED_MS
            for incarnation, reported in self._down_ms.items():
                if vm in reported:
                    self._load_table.get_or_create(incarnation).doubt_until(0.0)

    def expire(self, now_ms: float, known: Callable[[str], object]) -> None:
        """Drop what is out of date, and the data on endpoints that are gone."""
        oldest_ms = now_ms - self.status_expiry_ms
        for incarnation, reported in tuple(self._down_ms.items()):
            for vm in [vm for vm, at_ms in reported.items() if at_ms <= oldest_ms]:
                del reported[vm]
            if not reported or not known(incarnation):
                del self._down_ms[incarnation]
        oldest_ms = now_ms - STATUS_EXPIRY_MS
        for vm, (_, at_ms) in tuple(self._lost_services.items()):
            if at_ms <= oldest_ms:
                del self._lost_services[vm]
        for vm, until_ms in tuple(self._ignored_until_ms.items()):
            if now_ms >= until_ms:
                del self._ignored_until_ms[vm]

    def _end_check(self, incarnation: str) -> str | None:
        """Forget that a check is under way; return the VM whose report it answers, or None."""
        vm = self._reporters.pop(incarnation, None)
        if vm is not None:
            checking = self._checking[vm]
            checking.pop(incarnation, None)
            if not checking:
                del self._checking[vm]
        return vm
