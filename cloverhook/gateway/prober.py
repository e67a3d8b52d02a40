"""Probes the load of backend servers, and hands over the load reports.

Layer: transport.  `probe_schedule` decides which backend servers: each one is probed by one VM, of
the same data centre where there is one, so that the fleet as a whole probes it once.  The slowdown
of an endpoint changes within half a second, and a load report that is a tenth of a second old is
still good enough to choose an endpoint by.
"""

import asyncio
from collections.abc import Callable, Iterable

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ConnectError, UpstreamError
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import CallHeaders
from cloverhook.gateway.endpoint_notice import EndpointNotice
from cloverhook.gateway.links import LinkFailure, Links
from cloverhook.gateway.load_probe import UNREACHABLE_REPORT, probe_load
from cloverhook.gateway.server_load import LoadReport

__all__ = ["Prober"]

TIMEOUT_MS = 350.0
TIMEOUTS_LIMIT = 2
"""A backend server is unreachable after this many consecutive probes without an answer."""
CONNECTION_LIMIT = 1_000


class Prober:
    """The running probes, at most one for each backend server."""

    def __init__(
        self,
        headers: CallHeaders,
        on_load_report: Callable[[BackendServer, LoadReport, float], None],
        on_notice: Callable[[BackendServer, EndpointNotice], None],
        links: Links,
    ) -> None:
        self._headers = headers
        self._links = links
        self._on_load_report = on_load_report
        self._on_notice = on_notice
        self._pool = BackendPool()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._timeouts: dict[str, int] = {}
        self.probe_count = 0

    def probe(self, servers: Iterable[tuple[BackendServer, str]]) -> None:
        """Probe each backend server on its health path, unless an earlier probe still runs."""
        for server, path in servers:
            if server.incarnation not in self._running:
                self.probe_count += 1
                task = asyncio.get_running_loop().create_task(self._probe(server, path))
                self._running[server.incarnation] = task
                task.add_done_callback(lambda _, name=server.incarnation: self._running.pop(name))

    def sweep(self, known: Callable[[str], object]) -> None:
        """Forget backend servers that are gone."""
        self._pool.sweep()
        for incarnation in tuple(self._timeouts):
            if not known(incarnation):
                self._timeouts.pop(incarnation, None)
                self._pool.forget(incarnation)

    def close(self) -> None:
        """Stop all probes."""
        for task in self._running.values():
            task.cancel()
        self._pool.close()

    async def _probe(self, server: BackendServer, path: str) -> None:
        started_ms = monotonic_ms()
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                report = await self._request_load(server, path)
        except TimeoutError:
            timeouts = self._timeouts.get(server.incarnation, 0) + 1
            self._timeouts[server.incarnation] = timeouts
            report = UNREACHABLE_REPORT if timeouts >= TIMEOUTS_LIMIT else None
            if report is not None:
                self._links.record_failure(server, LinkFailure.PROBE_UNANSWERED, monotonic_ms())
        except UpstreamError as error:
            report = None if error.sent else UNREACHABLE_REPORT
            if isinstance(error, ConnectError):
                self._links.record_failure(server, LinkFailure.of(error), monotonic_ms())
        else:
            self._timeouts[server.incarnation] = 0
            self._links.record_contact(server, monotonic_ms())
        if report is not None:
            self._on_load_report(server, report, started_ms)

    async def _request_load(self, server: BackendServer, path: str) -> LoadReport | None:
        connection = await self._pool.acquire(server, CONNECTION_LIMIT, True, TIMEOUT_MS)
        result = None
        try:
            result = await probe_load(connection, server, path, self._headers)
        finally:
            if result is None or connection.usable is False:
                connection.close()
            else:
                self._pool.release(server, connection, result.head)
        if result.notice is not None:
            self._on_notice(server, result.notice)
        return result.report
