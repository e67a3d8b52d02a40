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
from cloverhook.gateway.response_matching import ResponseMatcher
from cloverhook.gateway.server_load import LoadReport
from cloverhook.gateway.timeouts import within
from cloverhook.upstream_connection import UpstreamConnection

__all__ = ["Prober"]

TIMEOUT_MS = 350.0
CHECK_TIMEOUT_MS = 120.0
"""The time for the answer to a probe that checks a link: many times the network latency."""
TIMEOUTS_LIMIT = 2
"""A backend server is unreachable after this many consecutive probes without an answer."""
CONNECTION_LIMIT = 1_000
IDLE_LIMIT = 1
"""A check opens a connection of its own; kept open, these would use up the connections that an
endpoint accepts."""


class Prober:
    """The running probes, at most one for each backend server."""

    def __init__(
        self,
        headers: CallHeaders,
        on_load_report: Callable[[BackendServer, LoadReport, float], None],
        on_notice: Callable[[BackendServer, EndpointNotice], None],
        links: Links,
        matcher: ResponseMatcher,
        reports_load: Callable[[BackendServer], bool] = lambda server: True,
    ) -> None:
        """`reports_load` returns whether the endpoints of one's service report their load."""
        self._reports_load = reports_load
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._headers = headers
        self._links = links
        self._matcher = matcher
        self._on_load_report = on_load_report
        self._on_notice = on_notice
        self._pool = BackendPool(IDLE_LIMIT)
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

    async def check_link(self, server: BackendServer, path: str) -> bool:
        """Return whether this VM reaches a backend server, by a probe on a new connection.

        The result is recorded in `Links`.  Concurrent calls share one check.
        """
        check = self._checks.get(server.incarnation)
        if check is None:
            self.probe_count += 1
            check = asyncio.get_running_loop().create_task(self._check_link(server, path))
            self._checks[server.incarnation] = check
            check.add_done_callback(lambda _: self._checks.pop(server.incarnation))
        return await asyncio.shield(check)

    @property
    def connections(self) -> int:
        """The number of open connections of probes."""
        return self._pool.open_count

    def sweep(self, known: Callable[[str], object]) -> None:
        """Forget backend servers that are gone."""
        self._pool.sweep()
        for incarnation in tuple(self._timeouts):
            if not known(incarnation):
                self._timeouts.pop(incarnation, None)
                self._pool.forget(incarnation)

    def close(self) -> None:
        """Stop all probes."""
        for task in (*self._running.values(), *self._checks.values()):
            task.cancel()
        self._pool.close()

    async def _probe(self, server: BackendServer, path: str) -> None:
        started_ms = monotonic_ms()
        try:
            report = await within(TIMEOUT_MS, self._request_load(server, path))
        except TimeoutError:
            timeouts = self._timeouts.get(server.incarnation, 0) + 1
            self._timeouts[server.incarnation] = timeouts
            if timeouts >= TIMEOUTS_LIMIT:
                self._links.record_failure(server, LinkFailure.PROBE_UNANSWERED, monotonic_ms())
            return
        except UpstreamError as error:
            if isinstance(error, ConnectError):
                self._links.record_failure(server, LinkFailure.of(error), monotonic_ms())
            return
        self._timeouts[server.incarnation] = 0
        self._record_answer(server, report, started_ms)

    async def _check_link(self, server: BackendServer, path: str) -> bool:
        started_ms = monotonic_ms()
        try:
            connection = await self._pool.open(server)
        except ConnectError as error:
            self._links.record_failure(server, LinkFailure.of(error), monotonic_ms())
            return False
        try:
            report = await within(CHECK_TIMEOUT_MS, self._request_load_on(connection, server, path))
        except TimeoutError:
            # An endpoint that reports no load may answer a probe only when it has a free slot.
            if self._reports_load(server):
                self._links.record_failure(server, LinkFailure.PROBE_UNANSWERED, monotonic_ms())
                return False
            self._links.record_contact(server, monotonic_ms())
            return True
        except UpstreamError:
            self._links.record_failure(server, LinkFailure.BROKEN_OFF, monotonic_ms())
            return False
        return self._record_answer(server, report, started_ms)

    def _record_answer(
        self, server: BackendServer, report: LoadReport | None, started_ms: float
    ) -> bool:
        """Record the answer to a probe; return whether this incarnation has given it."""
        if report is UNREACHABLE_REPORT:
            self._links.record_failure(server, LinkFailure.OTHER_INCARNATION, monotonic_ms())
            return False
        self._links.record_contact(server, monotonic_ms())
        if report is not None:
            self._on_load_report(server, report, started_ms)
        return True

    async def _request_load(self, server: BackendServer, path: str) -> LoadReport | None:
        connection = await self._pool.acquire(server, CONNECTION_LIMIT, True, TIMEOUT_MS)
        return await self._request_load_on(connection, server, path)

    async def _request_load_on(
        self, connection: UpstreamConnection, server: BackendServer, path: str
    ) -> LoadReport | None:
        result = None
        try:
            result = await probe_load(connection, server, path, self._headers, self._matcher)
        finally:
            if result is None or connection.usable is False:
                connection.close()
            else:
                self._pool.release(server, connection, result.head)
        if result.notice is not None:
            self._on_notice(server, result.notice)
        return result.report
