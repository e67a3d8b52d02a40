"""Forwards the requests that other gateways pass on to this one.

Layer: transport.  They are forwarded like those of this gateway's own callers, but never passed on
again.
"""

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind
from cloverhook.gateway.authorization import authorize
from cloverhook.gateway.call_headers import CallHeaders, find
from cloverhook.gateway.calls import CallerRequest
from cloverhook.gateway.config_gate import ConfigGate
from cloverhook.gateway.eligibility import Eligibility
from cloverhook.gateway.final_answer import error_answer
from cloverhook.gateway.forwarding import Forwarder
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.proxied_request import ProxiedRequest
from cloverhook.gateway.proxy_server import ServedRequest
from cloverhook.gateway.request_report import RequestReport
from cloverhook.gateway.request_state import RequestState

__all__ = ["ProxiedForwarder"]


class ProxiedForwarder:
    """Rejects or forwards the requests of other gateways."""

    def __init__(
        self,
        gateway_state: GatewayState,
        eligibility: Eligibility,
        headers: CallHeaders,
        config_gate: ConfigGate,
        forwarder: Forwarder,
        report: RequestReport,
    ) -> None:
        self._gateway_state = gateway_state
        self._eligibility = eligibility
        self._headers = headers
        self._config_gate = config_gate
        self._forwarder = forwarder
        self._report = report

    async def serve(self, proxied: ProxiedRequest) -> ServedRequest:
        """Serve a request and return its response.

        It is rejected if this gateway has an older configuration than the other one, or reaches no
        endpoint of the service either.  An exception is logged and gives an internal error.
        """
        request_id = find(proxied.headers, self._headers.request_id) or b""
        try:
            return await self._serve(proxied, request_id)
        except Exception:
            self._report.record_internal_error(request_id)
            return ServedRequest(
                error_answer(ErrorKind.INTERNAL), proxied.attempts, ErrorKind.INTERNAL.value
            )

    async def _serve(self, proxied: ProxiedRequest, request_id: bytes) -> ServedRequest:
        config = self._gateway_state.config
        if config is None or config.version < proxied.config_version:
            return ServedRequest.rejected(ErrorKind.NO_BACKEND_SERVER)
        request = _caller_request(proxied)
        route = config.find(request.host, request.path)
        if route is None:
            return ServedRequest.rejected(ErrorKind.UNKNOWN_HOST)
        service = proxied.service
        if service not in (part.service for part in route.parts):
            return ServedRequest.rejected(ErrorKind.UNKNOWN_HOST)
        if self._eligibility.is_out_of_reach(service, route.regions):
            return ServedRequest.rejected(ErrorKind.UNREACHABLE)
        if route.unusable:
            return ServedRequest.rejected(ErrorKind.OUTDATED)
        access = authorize(config.accounts, request.headers, self._headers, proxied.key_digest)
        if config.accounts is not None and not route.public:
            rejection = self._config_gate.reject_key(access, monotonic_ms())
            if rejection is not None:
                return ServedRequest.rejected(rejection)
        state = RequestState.of(request, request_id, route, service, self._headers, access)
        state.proxied_for, state.attempts_granted = proxied.vm, proxied.attempts
        answer = await self._forwarder.forward(state)
        by_endpoint = any(item.answer is answer for item in state.results)
        cause = "" if by_endpoint else answer.body.decode()
        return ServedRequest(answer, state.possible_executions, cause)


def _caller_request(proxied: ProxiedRequest) -> CallerRequest:
    """Return the request as its caller has sent it to the other gateway."""
    return CallerRequest(
        proxied.method,
        proxied.target,
        proxied.target.partition(b"?")[0].decode("latin-1"),
        proxied.host,
        proxied.headers,
        proxied.body,
        proxied.has_body,
        monotonic_ms() - proxied.elapsed_ms,
        proxied.caller,
    )
