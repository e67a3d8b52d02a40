"""Which endpoints may get requests of this VM, and why a service has none that will take one.

Layer: coordination.  These rules hold for every kind of attempt; `Balancer` chooses by preference
among the endpoints that they allow.
"""

from collections.abc import Callable

from cloverhook.errors import ErrorKind
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.drain_notices import DrainNotices
from cloverhook.gateway.rate_limits import RateLimits
from cloverhook.gateway.registry import Registry

__all__ = ["Eligibility"]

REASONS = (ErrorKind.RATE_LIMITED, ErrorKind.EVACUATED, ErrorKind.DRAINING)
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
    ) -> None:
        """Nothing is sent to the `evacuated` data centres, or to endpoints that have given notice.

        `region_of` returns the region of a data centre, or None if it is unknown.  `rate_limits`
        bounds the requests to endpoints that advertise a rate limit.
        """
        self._registry = registry
        self.evacuated = evacuated
        self._region_of = region_of
        self.rate_limits = rate_limits
        self._drain_notices = drain_notices

    def usable(self, service: str, regions: tuple[str, ...] = ()) -> list[BackendServer]:
        """Return the endpoints of a service that are not draining, evacuated or out of region."""
        evacuated = self.evacuated()
        return [
            server
            for server in self._registry.of_service(service)
            if not server.draining
            and server.data_center not in evacuated
            and self._in_regions(server, regions)
        ]

    def excludes(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether a usable endpoint must get no requests now."""
        notices = self._drain_notices
        return bool(notices) and notices.excludes(server.incarnation, now_ms)

    def is_last_resort(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether an endpoint may be used only where no other one has capacity."""
        notices = self._drain_notices
        return bool(notices) and notices.is_last_resort(server.incarnation, now_ms)

    def reason_not_to_send(self, server: BackendServer, now_ms: float) -> str:
        """Return why a request placed at an endpoint may not be sent there; "" if it may be."""
        if server.data_center in self.evacuated():
            return "its data centre is evacuated"
        return "it is about to stop" if self.excludes(server, now_ms) else ""

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
            if server.draining or self.excludes(server, now_ms):
                found.add(ErrorKind.DRAINING)
            elif server.data_center in evacuated:
                found.add(ErrorKind.EVACUATED)
            elif limits and server.incarnation in limits:
                found.add(ErrorKind.RATE_LIMITED)
                available += limits.available_within(server, now_ms, within_ms)
            else:
                return None
        if available > queued_ahead:
            return None
        return next((kind for kind in REASONS if kind in found), None)

    def _in_regions(self, server: BackendServer, regions: tuple[str, ...]) -> bool:
        return not regions or self._region_of(server.data_center) in regions
