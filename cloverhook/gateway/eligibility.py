"""Which endpoints may get requests of this VM, and why a service has none that will take one.

Layer: coordination.  These rules hold for every kind of attempt; `Balancer` chooses by preference
among the endpoints that they allow.
"""

from collections.abc import Callable, Iterator

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.backoffs import Backoffs
from cloverhook.gateway.drain_notices import DrainNotices
from cloverhook.gateway.links import Links
from cloverhook.gateway.rate_limits import RateLimits
from cloverhook.gateway.registry import Registry

__all__ = ["Eligibility"]

REASONS = (
    ErrorKind.BACKING_OFF,
    ErrorKind.RATE_LIMITED,
    ErrorKind.UNREACHABLE,
    ErrorKind.EVACUATED,
    ErrorKind.DRAINING,
)
"""Why a service has no endpoint for a request; the first reason that applies to any of its
endpoints is given to the caller."""


class Eligibility:
    """The rules by which endpoints are excluded."""

    def __init__(
        self,
        registry: Registry,
        evacuated: Callable[[], frozenset[str]] = frozenset,
        region_of: Callable[[str], str | None] = lambda data_center: None,
        rate_limits: RateLimits | None = None,
        drain_notices: DrainNotices | None = None,
        backoffs: Backoffs | None = None,
        links: Links | None = None,
    ) -> None:
        """Nothing is sent to the `evacuated` data centres, or to endpoints that have given notice.

        Nor is anything sent to endpoints in the times without requests that they have asked for.

        `region_of` returns the region of a data centre, or None if it is unknown.  `rate_limits`
        bounds the requests to endpoints that advertise a rate limit.  `links` are those of this VM.
        """
        self._links = links
        self._registry = registry
        self.evacuated = evacuated
        self._region_of = region_of
        self.rate_limits = rate_limits
        self._drain_notices = drain_notices
        self._backoffs = backoffs

    def usable(self, service: str, regions: tuple[str, ...] = ()) -> list[BackendServer]:
        """Return the endpoints of a service that are not draining, evacuated or out of region."""
        return list(self._usable(service, regions))

    def is_out_of_reach(self, service: str, regions: tuple[str, ...] = ()) -> bool:
        """Return whether there are endpoints for a request, and this VM reaches none of them.

        Endpoints that are about to stop don't count: others may get the request.
        """
        if not self._links:
            return False
        now_ms = monotonic_ms()
        usable = self._usable(service, regions)
        staying = (server for server in usable if not self._has_left(server, now_ms))
        return self._links.reaches_none(service, staying)

    @property
    def has_notices(self) -> bool:
        """Whether any endpoint has given notice or wants no requests; mostly none has."""
        return bool(self._drain_notices) or bool(self._backoffs)

    def excludes(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether a usable endpoint must get no requests now."""
        return self._has_left(server, now_ms) or self.backoff_left_ms(server, now_ms) > 0.0

    def is_last_resort(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether an endpoint may be used only where no other one has capacity."""
        notices, backoffs = self._drain_notices, self._backoffs
        if notices and notices.is_last_resort(server.incarnation, now_ms):
            return True
        return bool(backoffs) and backoffs.remaining_for_peers_ms(server.incarnation, now_ms) > 0.0

    def backoff_left_ms(self, server: BackendServer, now_ms: float) -> float:
        """Return for how long an endpoint wants no requests of this VM."""
        backoffs = self._backoffs
        return backoffs.remaining_ms(server.incarnation, now_ms) if backoffs else 0.0

    def first_backoff_end_ms(
        self, service: str, now_ms: float, regions: tuple[str, ...] = ()
    ) -> float:
        """Return the time until the first endpoint takes requests, if all want none now."""
        left_ms = (
            self.backoff_left_ms(server, now_ms)
            for server in self.usable(service, regions)
            if not self._has_left(server, now_ms)
        )
        return min(left_ms, default=0.0)

    def reason_not_to_send(self, server: BackendServer, now_ms: float) -> str:
        """Return why a request placed at an endpoint may not be sent there; "" if it may be."""
        if server.data_center in self.evacuated():
            return "its data centre is evacuated"
        if self._has_left(server, now_ms):
            return "it is about to stop"
        return "it wants no requests now" if self.backoff_left_ms(server, now_ms) > 0.0 else ""

    def rate_limit_allows(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether an endpoint has no rate limit, or this VM's share of it is not used up."""
        limits = self.rate_limits
        if not limits or server.incarnation not in limits:
            return True
        return limits.may_send(server, now_ms)

    def why_unavailable(
        self,
        service: str,
        now_ms: float,
        within_ms: float = 0.0,
        queued_ahead: int = 0,
        regions: tuple[str, ...] = (),
    ) -> ErrorKind | None:
        """Return why no endpoint takes a request within `within_ms`, or None if one may.

        `queued_ahead` requests are served first, out of what rate limits leave for this VM.  An
        endpoint that is only full may take it.
        """
        found: set[ErrorKind] = set()
        evacuated, limits = self.evacuated(), self.rate_limits
        available = 0.0
        for server in self._registry.of_service(service):
            if not self._in_regions(server, regions):
                continue
            if server.draining or self._has_left(server, now_ms):
                found.add(ErrorKind.DRAINING)
            elif server.data_center in evacuated:
                found.add(ErrorKind.EVACUATED)
            elif self._links and self._links.is_lost(server.incarnation, now_ms):
                found.add(ErrorKind.UNREACHABLE)
            elif self.backoff_left_ms(server, now_ms) > within_ms:
                found.add(ErrorKind.BACKING_OFF)
            elif limits and server.incarnation in limits:
                found.add(ErrorKind.RATE_LIMITED)
                available += limits.available_within(server, now_ms, within_ms)
            else:
                return None
        if available > queued_ahead:
            return None
        return next((kind for kind in REASONS if kind in found), None)

    def _usable(self, service: str, regions: tuple[str, ...]) -> Iterator[BackendServer]:
        evacuated = self.evacuated()
        return (
            server
            for server in self._registry.of_service(service)
            if not server.draining
            and server.data_center not in evacuated
            and self._in_regions(server, regions)
        )

    def _has_left(self, server: BackendServer, now_ms: float) -> bool:
        notices = self._drain_notices
        return bool(notices) and notices.excludes(server.incarnation, now_ms)

    def _in_regions(self, server: BackendServer, regions: tuple[str, ...]) -> bool:
        return not regions or self._region_of(server.data_center) in regions
