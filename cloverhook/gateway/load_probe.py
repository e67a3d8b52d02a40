"""Probes a backend server for its load over a connection that is already open.

Layer: transport.
"""

from dataclasses import dataclass, replace

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import CallHeaders, find, parse_cold_ms, parse_load
from cloverhook.gateway.endpoint_notice import EndpointNotice
from cloverhook.gateway.response_matching import ResponseMatcher
from cloverhook.gateway.server_load import LoadReport
from cloverhook.upstream_connection import AnswerHead, RequestHead, UpstreamConnection

__all__ = ["UNREACHABLE_REPORT", "ProbeResult", "probe_load"]

UNREACHABLE_REPORT = LoadReport(0, 0, 1.0, reachable=False)
"""The load report of an endpoint that can't be reached."""


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The response to a probe.

    `report` is `UNREACHABLE_REPORT` if another incarnation has answered, and None if the endpoint
    provides no load report.  `notice` is None if another incarnation has answered.
    """

    head: AnswerHead
    report: LoadReport | None
    notice: EndpointNotice | None


async def probe_load(
    connection: UpstreamConnection,
    server: BackendServer,
    path: str,
    names: CallHeaders,
    matcher: ResponseMatcher,
) -> ProbeResult:
    """Send a probe and return what its response says.  Raises `UpstreamError`."""
    host = [(b"host", server.address.encode())]
    probe = RequestHead(b"GET", path.encode(), host)
    head = await connection.send(probe, matches_request=matcher.for_probe(server))
    more = True
    while more:
        _, more = await connection.read()
    named = find(head.headers, names.incarnation)
    if named is not None and named.decode("latin-1") != server.name:
        return ProbeResult(head, UNREACHABLE_REPORT, None)
    report = parse_load(find(head.headers, names.load))
    left_ms = parse_cold_ms(find(head.headers, names.cold_ms))
    if report is not None and left_ms:
        report = replace(report, cold_for_ms=left_ms)
    return ProbeResult(head, report, EndpointNotice.from_response(head.status, head.headers, names))
