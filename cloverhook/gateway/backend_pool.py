"""Connections to backend servers, kept for one incarnation each.

Layer: transport.  A connection never serves another incarnation than the one it was made for: its
address may belong to another service by then.  The connection used last is used first.  Nothing
shows that an idle connection has gone silent, so one request without a byte of an answer ends all
connections that were idle before it.
"""

import asyncio
from collections import deque

from cloverhook.clock import monotonic_ms
from cloverhook.errors import UpstreamError
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import find
from cloverhook.upstream_connection import AnswerHead, UpstreamConnection

__all__ = ["BackendPool"]

CONNECT_TIMEOUT_MS = 120.0
"""Many times the way between data centres, below the time a short request has for two tries."""
KEEP_DEFAULT_MS = 3_000.0
"""How long an idle connection is kept where the backend server does not say."""
KEEP_MARGIN_MS = 1_000.0
"""A connection is given up this long before the backend server would close it."""
KEEP_PREFIX = b"timeout="
IDLE_LIMIT_MS = 60_000.0
IDLE_FLOOR_MS = 400.0
FORGOTTEN_IDLE_MS = 800.0
"""A reset after less idle time has another cause, such as a backend server that is full."""
IDLE_CUT = 0.5
"""A service whose connections are reset after some idle time keeps them for half of that."""
UNSAFE_IDLE_MS = 2_000.0
"""A request that must not run twice takes no connection that was idle for longer."""


class BackendPool:
    """Idle connections by incarnation."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[tuple[UpstreamConnection, float]]] = {}
        self._open: dict[str, int] = {}
        self._idle_limit_ms: dict[str, float] = {}
        self._looks: dict[str, asyncio.Task[bool]] = {}
        self.connects = 0

    async def acquire(
        self, server: BackendServer, limit: int, idempotent: bool, connect_ms: float
    ) -> UpstreamConnection:
        """Return a connection that no other exchange uses.

        Raises `UpstreamError` with `sent` False when none can be made.
        """
        idle = self._idle.get(server.incarnation)
        now_ms = monotonic_ms()
        limit_ms = self._idle_limit_ms.get(server.service, IDLE_LIMIT_MS)
        if not idempotent:
            limit_ms = min(limit_ms, UNSAFE_IDLE_MS)
        while idle:
            connection, good_until_ms = idle.pop()
            fresh = now_ms - connection.idle_since_ms < limit_ms and now_ms < good_until_ms
            if connection.usable and fresh and not connection.has_input:
                return connection
            connection.close()
        if self._open.get(server.incarnation, 0) >= limit:
            raise UpstreamError(f"{limit} connections to {server.address} are in use", sent=False)
        return await self._connect(server, min(connect_ms, CONNECT_TIMEOUT_MS))

    async def has_stopped_listening(self, server: BackendServer) -> bool:
        """Return whether a backend server that has cut a connection listens no more.

        Those who ask at the same time share the answer.  One that can't be reached may live.
        """
        look = self._looks.get(server.incarnation)
        if look is None:
            look = asyncio.get_running_loop().create_task(self._refuses(server))
            self._looks[server.incarnation] = look
            look.add_done_callback(lambda _: self._looks.pop(server.incarnation))
        return await asyncio.shield(look)

    async def _refuses(self, server: BackendServer) -> bool:
        try:
            connection = await self._connect(server, CONNECT_TIMEOUT_MS)
        except UpstreamError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.close()
        return False

    def has_idle(self, incarnation: str) -> bool:
        """Return whether a connection to a backend server waits for use."""
        return bool(self._idle.get(incarnation))

    def release(
        self, server: BackendServer, connection: UpstreamConnection, head: AnswerHead | None
    ) -> None:
        """Give a connection back; it is kept only after a whole exchange."""
        connection.stop_sending()
        keep_ms = _keep_ms(head) if head is not None and connection.usable else 0.0
        if keep_ms <= 0.0:
            connection.close()
            return
        now_ms = monotonic_ms()
        connection.idle_since_ms = now_ms
        kept = self._idle.setdefault(server.incarnation, deque())
        kept.append((connection, now_ms + keep_ms))

    def shorten_idle_limit(self, server: BackendServer, connection: UpstreamConnection) -> None:
        """Keep idle connections of a service for less time: one was reset when used again."""
        if not connection.idle_since_ms:
            return
        idle_ms = monotonic_ms() - connection.idle_since_ms
        if idle_ms < FORGOTTEN_IDLE_MS:
            return
        known_ms = self._idle_limit_ms.get(server.service, IDLE_LIMIT_MS)
        limit_ms = max(IDLE_FLOOR_MS, min(known_ms, idle_ms * IDLE_CUT))
        self._idle_limit_ms[server.service] = limit_ms

    def close_idle_since(self, server: BackendServer, since_ms: float) -> None:
        """Close what has been idle since before a request that got no byte of an answer."""
        idle = self._idle.get(server.incarnation)
        while idle and idle[0][0].idle_since_ms < since_ms:
            idle.popleft()[0].close()

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now_ms = monotonic_ms()
        for incarnation, idle in tuple(self._idle.items()):
            while idle and (idle[0][1] <= now_ms or not idle[0][0].usable):
                idle.popleft()[0].close()
            if not idle:
                del self._idle[incarnation]

    def forget(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation that is gone."""
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
        connection = UpstreamConnection(on_closed=lambda: self._count_closed(incarnation))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await loop.create_connection(lambda: connection, host, int(port))
        except (OSError, TimeoutError) as error:
            connection.close()
            reason = f"no connection to {server.address}: {error!r}"
            raise UpstreamError(reason, sent=False) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection

    def _count_closed(self, incarnation: str) -> None:
        left = self._open.get(incarnation, 0) - 1
        if left > 0:
            self._open[incarnation] = left
        else:
            self._open.pop(incarnation, None)


def _keep_ms(head: AnswerHead) -> float:
    """Return how long the connection may be idle after an answer."""
    value = find(head.headers, b"keep-alive")
    if value is None:
        return KEEP_DEFAULT_MS
    for part in value.split(b","):
        part = part.strip()
        if part.startswith(KEEP_PREFIX) and part[len(KEEP_PREFIX) :].isdigit():
            return int(part[len(KEEP_PREFIX) :]) * 1000.0 - KEEP_MARGIN_MS
    return KEEP_DEFAULT_MS
