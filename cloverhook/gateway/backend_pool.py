"""A pool of connections to backend servers, kept separately for each incarnation.

Layer: transport.  A connection is only used for the incarnation that it was opened for, because
the address may belong to another service by the time a later incarnation uses it.  The most
recently used connection is reused first.  An idle connection shows no sign when its peer has
stopped answering, so one request that gets no byte of a response closes all connections that have
been idle since before that request.
"""

import asyncio
from collections import deque

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ConnectError, UpstreamError
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import find
from cloverhook.gateway.timeouts import within
from cloverhook.upstream_connection import AnswerHead, UpstreamConnection

__all__ = ["BackendPool"]

CONNECT_TIMEOUT_MS = 120.0
"""Many times the network latency between data centres, and less than the time that a short request
has for two attempts."""
DEFAULT_KEEP_ALIVE_MS = 3_000.0
"""How long an idle connection is kept if the backend server sends no keep-alive timeout."""
KEEP_ALIVE_MARGIN_MS = 1_000.0
"""An idle connection is closed this long before the backend server would close it."""
TIMEOUT_PREFIX = b"timeout="
IDLE_LIMIT_MS = 60_000.0
MIN_IDLE_LIMIT_MS = 400.0
MIN_IDLE_BEFORE_RESET_MS = 800.0
"""A reset after a shorter idle time has another cause, such as an overloaded backend server."""
IDLE_LIMIT_FACTOR = 0.5
"""When a connection is reset after some idle time, the connections of its service are from then on
kept idle for at most this fraction of that time."""
NON_IDEMPOTENT_IDLE_LIMIT_MS = 2_000.0
"""A request that must not run twice never uses a connection that was idle for longer than this."""


class BackendPool:
    """Idle connections to backend servers, by incarnation.

    `connects` counts the connection attempts.
    """

    def __init__(self, idle_limit: int | None = None) -> None:
        """Keep at most `idle_limit` idle connections to each incarnation; None: no limit."""
        self._idle_limit = idle_limit
        self._idle: dict[str, deque[tuple[UpstreamConnection, float]]] = {}
        self._open: dict[str, int] = {}
        self._idle_limit_ms: dict[str, float] = {}
        self._connection_tests: dict[str, asyncio.Task[ConnectError | None]] = {}
        self.connects = 0

    async def acquire(
        self, server: BackendServer, limit: int, idempotent: bool, connect_ms: float
    ) -> UpstreamConnection:
        """Return a connection that no other exchange uses, an idle one if possible.

        `limit` is the largest number of open connections to this incarnation.  `connect_ms` bounds
        the time to open a new connection.
        Raises `UpstreamError` with `sent` False when no connection is available, and
        `ConnectError` when one could not be opened.
        """
        idle = self._idle.get(server.incarnation)
        now_ms = monotonic_ms()
        limit_ms = self._idle_limit_ms.get(server.service, IDLE_LIMIT_MS)
        if not idempotent:
            limit_ms = min(limit_ms, NON_IDEMPOTENT_IDLE_LIMIT_MS)
        while idle:
            connection, expires_ms = idle.pop()
            not_expired = now_ms - connection.idle_since_ms < limit_ms and now_ms < expires_ms
            if connection.usable and not_expired and not connection.has_input:
                return connection
            connection.close()
        if self._open.get(server.incarnation, 0) >= limit:
            raise UpstreamError(
                f"all {limit} connections to {server.address} are in use", sent=False
            )
        return await self._connect(server, min(connect_ms, CONNECT_TIMEOUT_MS))

    async def test_connection(self, server: BackendServer) -> ConnectError | None:
        """Open a connection to a backend server as a test; return the error if that fails.

        Concurrent calls share one test.
        """
        test = self._connection_tests.get(server.incarnation)
        if test is None:
            test = asyncio.get_running_loop().create_task(self._test_connection(server))
            self._connection_tests[server.incarnation] = test
            test.add_done_callback(lambda _: self._connection_tests.pop(server.incarnation))
        return await asyncio.shield(test)

    async def _test_connection(self, server: BackendServer) -> ConnectError | None:
        try:
            connection = await self.open(server)
        except ConnectError as error:
            return error
        connection.close()
        return None

    async def open(self, server: BackendServer) -> UpstreamConnection:
        """Return a new connection, even if there is an idle one.  Raises `ConnectError`."""
        return await self._connect(server, CONNECT_TIMEOUT_MS)

    @property
    def open_count(self) -> int:
        """The number of open connections, in use or idle."""
        return sum(self._open.values())

    def has_idle(self, incarnation: str) -> bool:
        """Return whether there is an idle connection to this incarnation."""
        return bool(self._idle.get(incarnation))

    def release(
        self, server: BackendServer, connection: UpstreamConnection, head: AnswerHead | None
    ) -> None:
        """Return a connection to the pool; it is kept only if its exchange was complete.

        `head` is the response head that may state a keep-alive timeout, or None if there is none.
        """
        connection.stop_sending()
        keep_alive_ms = _keep_alive_ms(head) if head is not None and connection.usable else 0.0
        if keep_alive_ms <= 0.0:
            connection.close()
            return
        now_ms = monotonic_ms()
        connection.idle_since_ms = now_ms
        kept = self._idle.setdefault(server.incarnation, deque())
        kept.append((connection, now_ms + keep_alive_ms))
        if self._idle_limit is not None and len(kept) > self._idle_limit:
            kept.popleft()[0].close()

    def shorten_idle_limit(self, server: BackendServer, connection: UpstreamConnection) -> None:
        """Lower the idle limit of a service after a reused idle connection was reset."""
        if not connection.idle_since_ms:
            return
        idle_ms = monotonic_ms() - connection.idle_since_ms
        if idle_ms < MIN_IDLE_BEFORE_RESET_MS:
            return
        current_ms = self._idle_limit_ms.get(server.service, IDLE_LIMIT_MS)
        limit_ms = max(MIN_IDLE_LIMIT_MS, min(current_ms, idle_ms * IDLE_LIMIT_FACTOR))
        self._idle_limit_ms[server.service] = limit_ms

    def close_idle_since(self, server: BackendServer, since_ms: float) -> None:
        """Close the connections that have been idle since before `since_ms`.

        Called with the start of a request that got no byte of a response.
        """
        idle = self._idle.get(server.incarnation)
        while idle and idle[0][0].idle_since_ms < since_ms:
            idle.popleft()[0].close()

    def sweep(self) -> None:
        """Close the idle connections that have expired or are no longer usable."""
        now_ms = monotonic_ms()
        for incarnation, idle in tuple(self._idle.items()):
            while idle and (idle[0][1] <= now_ms or not idle[0][0].usable):
                idle.popleft()[0].close()
            if not idle:
                del self._idle[incarnation]

    def forget(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation that no longer exists."""
        for connection, _ in self._idle.pop(incarnation, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for incarnation in tuple(self._idle):
            self.forget(incarnation)

    async def _connect(self, server: BackendServer, timeout_ms: float) -> UpstreamConnection:
        host, _, port = server.address.rpartition(":")
        loop = asyncio.get_running_loop()
        incarnation = server.incarnation
        self._open[incarnation] = self._open.get(incarnation, 0) + 1
        self.connects += 1
        connection = UpstreamConnection(on_closed=lambda: self._on_connection_closed(incarnation))
        try:
            await within(timeout_ms, loop.create_connection(lambda: connection, host, int(port)))
        except (OSError, TimeoutError) as error:
            connection.close()
            reason = f"could not connect to {server.address}: {error!r}"
            raise ConnectError(reason, isinstance(error, ConnectionRefusedError)) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection

    def _on_connection_closed(self, incarnation: str) -> None:
        remaining = self._open.get(incarnation, 0) - 1
        if remaining > 0:
            self._open[incarnation] = remaining
        else:
            self._open.pop(incarnation, None)


def _keep_alive_ms(head: AnswerHead) -> float:
    """Return how long the connection may stay idle after this response."""
    value = find(head.headers, b"keep-alive")
    if value is None:
        return DEFAULT_KEEP_ALIVE_MS
    for part in value.split(b","):
        part = part.strip()
        if part.startswith(TIMEOUT_PREFIX) and part[len(TIMEOUT_PREFIX) :].isdigit():
            return int(part[len(TIMEOUT_PREFIX) :]) * 1000.0 - KEEP_ALIVE_MARGIN_MS
    return DEFAULT_KEEP_ALIVE_MS
