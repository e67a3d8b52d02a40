"""Probes a backend server for its load over a connection that is already open.

Layer: transport.
"""

from dataclasses import replace

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import CallHeaders, find, parse_cold_ms, parse_load
from cloverhook.gateway.server_load import LoadReport
from cloverhook.upstream_connection import AnswerHead, RequestHead, UpstreamConnection

__all__ = ["UNREACHABLE_REPORT", "probe_load"]

UNREACHABLE_REPORT = LoadReport(0, 0, 1.0, reachable=False)
"""The load report of an endpoint that can't be reached."""


async def probe_load(
    connection: UpstreamConnection, server: BackendServer, path: str, names: CallHeaders
) -> tuple[AnswerHead, LoadReport | None]:
    """Return the head of the answer and the load report.

    The report is `UNREACHABLE_REPORT` if another incarnation answers, and None if the endpoint
    provides none. Raises `UpstreamError`.
    """
    host = [(b"host", server.address.encode())]
    head = await connection.send(RequestHead(b"GET", path.encode(), host))
    more = True
    while more:
        _, more = await connection.read()
    named = find(head.headers, names.incarnation)
    if named is not None and named.decode("latin-1") != server.name:
        return head, UNREACHABLE_REPORT
    report = parse_load(find(head.headers, names.load))
    left_ms = parse_cold_ms(find(head.headers, names.cold_ms))
    if report is not None and left_ms:
        report = replace(report, cold_for_ms=left_ms)
    return head, report
