"""The state of a request while the gateway forwards it, with the attempts made so far.

Layer: transport.
"""

import asyncio
from dataclasses import dataclass, field, replace

from cloverhook.gateway.accounts import ClientAccount
from cloverhook.gateway.attempt import Attempt, AttemptResult
from cloverhook.gateway.authorization import NO_ACCOUNTS, Access
from cloverhook.gateway.call_headers import CallHeaders, find
from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.request_key import RequestKeys
from cloverhook.gateway.routes import Route

__all__ = ["ProxiedAttempt", "RequestState"]


@dataclass(slots=True, eq=False)
class ProxiedAttempt:
    """An attempt by way of the gateway `vm`.

    `executions` is how many endpoints may have run the request: at first how many that gateway may
    send it to, and in the end what it has reported.
    """

    vm: str
    executions: int
    sent: bool = False


@dataclass(slots=True, eq=False)
class RequestState:
    """A request that is being forwarded, with its attempts and their results."""

    request: CallerRequest
    request_id: bytes
    route: Route
    service: str
    deadline_ms: float
    keys: RequestKeys
    attempts: list[Attempt] = field(default_factory=list)
    results: list[AttemptResult] = field(default_factory=list)
    tasks: dict[asyncio.Task[AttemptResult], Attempt | ProxiedAttempt] = field(default_factory=dict)
    proxied: list[ProxiedAttempt] = field(default_factory=list)
    rejection: CallerAnswer | None = None
    """The answer of a gateway that was to send the request and has rejected it."""
    rejection_is_final: bool = False
    """Whether other gateways would reject the request as well."""
    proxied_for: str = ""
    """The gateway that has passed the request on to this one; "" if its caller has sent it here."""
    attempts_granted: int | None = None
    """For how many endpoints the gateway that has passed the request on allows it."""
    crash_counts_at_send: dict[str, tuple[int, ...]] = field(default_factory=dict)
    """For each incarnation that it was sent to, the crash counts of its keys known at that time."""
    access: Access = NO_ACCOUNTS
    """The client account from which the request comes."""
    quarantine_left_ms: float = 0.0
    """How long the request remains in quarantine, if that is why it ends."""
    queue_left_ms: float = 0.0
    """How long the request would have waited in the queue, if that is why it was rejected."""
    # While the request waits and could be hedged: completing it makes the request check again.
    recheck: asyncio.Future[None] | None = None

    @classmethod
    def of(
        cls,
        request: CallerRequest,
        request_id: bytes,
        route: Route,
        service: str,
        names: CallHeaders,
        access: Access = NO_ACCOUNTS,
    ) -> "RequestState":
        """Create the state of a new request, with the headers that an endpoint may get.

        Its timeout is the lower of the one in its headers and the one of its route.
        """
        requested = find(request.headers, names.timeout_ms)
        allowed_ms = route.timeout_ms
        if requested is not None and requested.isdigit():
            allowed_ms = min(float(requested), allowed_ms)
        deadline_ms = request.arrived_ms + allowed_ms
        keys = RequestKeys.of(request)
        if access.has_accounts:
            headers = access.headers_for_endpoint(request.headers, names)
            request = replace(request, headers=headers)
        return cls(request, request_id, route, service, deadline_ms, keys, access=access)

    @property
    def account(self) -> ClientAccount | None:
        """The client account from which the request comes, if it is known."""
        return self.access.account

    @property
    def priority(self) -> int:
        """The priority of the request: that of its account, if it has one, or of its route."""
        account = self.access.account
        if account is None or account.priority is None:
            return self.route.priority
        return account.priority

    def request_recheck(self) -> None:
        """Make the request check again whether to hedge, if it waits and could."""
        if self.recheck is not None and not self.recheck.done():
            self.recheck.set_result(None)

    @property
    def tried_incarnations(self) -> set[str]:
        """The incarnations at which the request has been attempted."""
        return {attempt.choice.server.incarnation for attempt in self.attempts}

    @property
    def possible_executions(self) -> int:
        """The number of backend servers that may have run the request, or may be running it."""
        own = sum(1 for attempt in self.attempts if attempt.sent)
        return own + sum(item.executions for item in self.proxied)

    @property
    def attempts_allowed(self) -> int:
        """The number of backend servers that may run the request."""
        allowed = self.route.attempts if self.route.idempotent else 1
        return allowed if self.attempts_granted is None else min(allowed, self.attempts_granted)
