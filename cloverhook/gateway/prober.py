"""Measures backend servers, and says what it found.

Layer: transport.  `measuring` says which ones: each is asked by one VM, of the same data centre
where there is one, so that the fleet as a whole asks once.  An endpoint's pace changes within half
a second, and a figure that is a tenth of a second old still tells where to go.
"""

import asyncio
from collections.abc import Callable, Iterable

from cloverhook.clock import monotonic_ms
from cloverhook.errors import UpstreamError
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import CallHeaders
from cloverhook.gateway.load import LoadReport
from cloverhook.gateway.load_probe import UNREACHABLE_REPORT, probe_load

__all__ = ["Prober"]

TIMEOUT_MS = 350.0
SILENCES = 2
"""A backend server is out of reach after so many probes in a row without an answer."""
CONNECTION_LIMIT = 1_000


class Prober:
    """Probes under way, at most one for each backend server."""

    def __init__(
        self,
        headers: CallHeaders,
        on_load_report: Callable[[BackendServer, LoadReport, float], None],
    ) -> None:
        self._headers = headers
        self._on_load_report = on_load_report
        self._pool = BackendPool()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._silences: dict[str, int] = {}
        self.probe_count = 0

    def probe(self, servers: Iterable[tuple[BackendServer, str]]) -> None:
        """Ask each backend server on its health path, unless an earlier probe still runs."""
        for server, path in servers:
            if server.incarnation not in self._running:
                self.probe_count += 1
                task = asyncio.get_running_loop().create_task(self._probe(server, path))
                self._running[server.incarnation] = task
                task.add_done_callback(lambda _, name=server.incarnation: self._running.pop(name))

    def sweep(self, known: Callable[[str], object]) -> None:
        """Forget backend servers that are gone."""
        self._pool.sweep()
        for incarnation in tuple(self._silences):
            if not known(incarnation):
                self._silences.pop(incarnation, None)
                self._pool.forget(incarnation)

    def close(self) -> None:
        """Stop all probes."""
        for task in self._running.values():
            task.cancel()
        self._pool.close()

    async def _probe(self, server: BackendServer, path: str) -> None:
        asked_ms = monotonic_ms()
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                figure = await self._ask(server, path)
        except TimeoutError:
            silences = self._silences.get(server.incarnation, 0) + 1
            self._silences[server.incarnation] = silences
            figure = UNREACHABLE_REPORT if silences >= SILENCES else None
        except UpstreamError as error:
            figure = None if error.sent else UNREACHABLE_REPORT
        else:
            self._silences[server.incarnation] = 0
        if figure is not None:
            self._on_load_report(server, figure, asked_ms)

    async def _ask(self, server: BackendServer, path: str) -> LoadReport | None:
        connection = await self._pool.acquire(server, CONNECTION_LIMIT, True, TIMEOUT_MS)
        head = None
        try:
            head, figure = await probe_load(connection, server, path, self._headers)
        finally:
            if head is None or connection.usable is False:
                connection.close()
            else:
                self._pool.release(server, connection, head)
        return figure
