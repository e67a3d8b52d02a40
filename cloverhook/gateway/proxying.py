"""Sends requests by way of another gateway, a proxy, while this one reaches no endpoint.

Layer: transport.  There is one hop at most: a request that came from another gateway is never
passed on.  The proxy decides like for its own callers, with its own limits and retries; this
gateway only tells it how many endpoints may still run the request.
"""

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ANSWERS, ConnectError, ErrorKind, Outcome, UpstreamError
from cloverhook.gateway.attempt import AttemptResult
from cloverhook.gateway.attempt import Outcome as AttemptOutcome
from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.link_updates import LinkUpdates, ReachGroup
from cloverhook.gateway.members import Members
from cloverhook.gateway.proxied_request import ProxiedAnswer, ProxiedRequest
from cloverhook.gateway.proxy_client import ProxyExchange
from cloverhook.gateway.request_state import ProxiedAttempt, RequestState

__all__ = ["Proxying"]

PROXIES_LIMIT = 3
"""By how many proxies a request is tried that none of them has sent on."""
TRY_ELSEWHERE = frozenset(
    (
        ErrorKind.UNREACHABLE,
        ErrorKind.NO_BACKEND_SERVER,
        ErrorKind.OVERLOADED,
        ErrorKind.STOPPING,
        ErrorKind.UNKNOWN_HOST,
    )
)
"""Why a proxy may reject a request that another one would serve: it has lost its links too, has an
older configuration, serves many requests of other gateways, or stops."""


class Proxying:
    """Sends requests of this VM by way of those VMs that offer to send them on."""

    def __init__(
        self,
        own_vm: str,
        fleet_tag: bytes,
        gateway_state: GatewayState,
        members: Members,
        link_updates: LinkUpdates,
        counters: Counters,
    ) -> None:
        self._own_vm = own_vm
        self._fleet_tag = fleet_tag
        self._gateway_state = gateway_state
        self._members = members
        self._link_updates = link_updates
        self._counters = counters

    def may_start(self, state: RequestState) -> bool:
        """Return whether a request may be sent by way of a proxy."""
        if state.proxied_for or len(state.proxied) >= PROXIES_LIMIT or state.rejection_is_final:
            return False
        executions = state.possible_executions
        return not executions or (state.route.idempotent and executions < state.attempts_allowed)

    async def choose(self, state: RequestState) -> str | None:
        """Return the VM to send a request by, or None if no VM offers that.

        Just after the links were lost this waits for the first offers.
        """
        tried = [item.vm for item in state.proxied]
        group = ReachGroup(state.service, state.route.regions)
        return await self._link_updates.wait_for_proxy(group, tried)

    async def run(self, state: RequestState, proxied: ProxiedAttempt) -> AttemptResult:
        """Send a request by way of a proxy; cancelling this also ends the work there."""
        offers, vm = self._link_updates.offers, proxied.vm
        started_ms = monotonic_ms()
        offers.record_started(vm)
        self._counters.add("proxied", service=state.service)
        try:
            result = await self._exchange(state, proxied, started_ms)
        except ConnectError as error:
            proxied.executions = 0
            offers.withdraw(vm)
            result = _failure(AttemptOutcome.NOT_SENT, vm, started_ms, str(error))
        except UpstreamError as error:
            offers.withdraw(vm)
            result = _failure(AttemptOutcome.CUT, vm, started_ms, str(error))
        finally:
            offers.record_ended(vm)
        if result.failed:
            self._counters.add("proxied_failed", service=state.service)
        return result

    async def _exchange(
        self, state: RequestState, proxied: ProxiedAttempt, started_ms: float
    ) -> AttemptResult:
        member = self._members.get(proxied.vm)
        if member is None:
            raise ConnectError(f"{proxied.vm} is not known any more", refused=False)
        exchange = await ProxyExchange.open(member.peer_address)
        streaming = False
        try:
            request = self._request(state, proxied)
            proxied.sent = True
            answer = await exchange.send(self._fleet_tag, request)
            streaming = answer.more
        finally:
            if not streaming:
                exchange.close()
        proxied.executions = answer.executions
        body = None
        if streaming:
            body = exchange.remaining_body()
            await anext(body)
        found = CallerAnswer(
            answer.status, answer.headers, answer.body, body, answer.content_length
        )
        return self._result(state, proxied, answer, found, started_ms)

    def _request(self, state: RequestState, proxied: ProxiedAttempt) -> ProxiedRequest:
        request = state.request
        return ProxiedRequest(
            self._own_vm,
            request.method,
            request.target,
            request.host,
            request.headers,
            request.body,
            request.has_body,
            request.caller,
            state.service,
            monotonic_ms() - request.arrived_ms,
            proxied.executions,
            self._gateway_state.config_version,
            state.access.key_digest,
        )

    def _result(
        self,
        state: RequestState,
        proxied: ProxiedAttempt,
        answer: ProxiedAnswer,
        found: CallerAnswer,
        started_ms: float,
    ) -> AttemptResult:
        latency_ms = monotonic_ms() - started_ms
        if not answer.cause:
            return AttemptResult(
                AttemptOutcome.ANSWERED,
                None,
                latency_ms,
                answer.status,
                found,
                proxy=proxied.vm,
            )
        kind = ErrorKind(answer.cause)
        if answer.executions or ANSWERS[kind].outcome is not Outcome.NOT_RUN:
            return _failure(AttemptOutcome.CUT, proxied.vm, started_ms, answer.cause)
        offers = self._link_updates.offers
        if kind is ErrorKind.OVERLOADED:
            offers.record_busy(proxied.vm, monotonic_ms())
        elif kind in TRY_ELSEWHERE:
            offers.withdraw(proxied.vm, state.service)
        else:
            state.rejection_is_final = True
        if kind is not ErrorKind.UNKNOWN_HOST:
            state.rejection = found
        return _failure(AttemptOutcome.REJECTED, proxied.vm, started_ms, answer.cause)


def _failure(outcome: AttemptOutcome, vm: str, started_ms: float, detail: str) -> AttemptResult:
    latency_ms = monotonic_ms() - started_ms
    return AttemptResult(outcome, None, latency_ms, detail=detail, proxy=vm)
