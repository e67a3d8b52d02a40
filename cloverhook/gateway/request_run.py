"""A request on its way through the gateway, with what has been tried.

Layer: transport.
"""

import asyncio
from dataclasses import dataclass, field

from cloverhook.gateway.attempt import Attempt, AttemptResult
from cloverhook.gateway.call_headers import CallHeaders, find
from cloverhook.gateway.calls import CallerRequest
from cloverhook.gateway.request_key import RequestKeys
from cloverhook.gateway.routes import Route

__all__ = ["RequestState"]


@dataclass(slots=True, eq=False)
class RequestState:
    """A request on its way, with what has been tried."""

    request: CallerRequest
    request_id: bytes
    route: Route
    service: str
    deadline_ms: float
    keys: RequestKeys
    attempts: list[Attempt] = field(default_factory=list)
    results: list[AttemptResult] = field(default_factory=list)
    tasks: dict[asyncio.Task[AttemptResult], Attempt] = field(default_factory=dict)
    crash_counts_at_send: dict[str, tuple[int, ...]] = field(default_factory=dict)
    """For each incarnation that got it, how many crashes were known when it was sent there."""
    quarantine_left_ms: float = 0.0
    """For how long the request is not to be sent, if that is why it ends."""
    recheck: asyncio.Future[None] | None = None

    @classmethod
    def of(
        cls,
        request: CallerRequest,
        request_id: bytes,
        route: Route,
        service: str,
        names: CallHeaders,
    ) -> "RequestState":
        """Begin with a request on its route; it has as long as its caller and the route allow."""
        told = find(request.headers, names.timeout_ms)
        left_ms = route.timeout_ms
        if told is not None and told.isdigit():
            left_ms = min(float(told), left_ms)
        deadline_ms = request.arrived_ms + left_ms
        return cls(request, request_id, route, service, deadline_ms, RequestKeys.of(request))

    @property
    def tried_incarnations(self) -> set[str]:
        """The incarnations that have been tried."""
        return {attempt.choice.server.incarnation for attempt in self.attempts}

    @property
    def possible_executions(self) -> int:
        """How many backend servers may have run the request, or may be running it."""
        return sum(1 for attempt in self.attempts if attempt.sent)
