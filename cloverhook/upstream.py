"""The pool of connections to backend servers.

Layer: transport.  The connection used last is used first, so that those not needed grow old and
are closed.  A connection may have gone silent while it was idle, and nothing shows it before a
request is lost on it; so a request that must not run twice gets a connection that was in use
just now or a new one, and one request without an answer ends all connections idle since before.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from cloverhook.errors import UpstreamError
from cloverhook.upstream_connection import (
    HEADER_LIMIT_BYTES,
    AnswerHead,
    RequestHead,
    UpstreamConnection,
)

__all__ = [
    "AnswerHead",
    "RequestHead",
    "UpstreamConnection",
    "UpstreamPool",
]

CONNECT_TIMEOUT_MS = 1_000
CONNECTION_LIMIT = 200
NON_IDEMPOTENT_IDLE_LIMIT_MS = 250
IDLE_LIMIT_MS = 3_000
SWEEP_INTERVAL_MS = 1_000


class _AddressPool:
    """The connections to one address: `open_count` has those in use and those being made too."""

    def __init__(self) -> None:
        self.idle: deque[UpstreamConnection] = deque()
        self.open_count = 0
        self.spare_task: asyncio.Task[None] | None = None

    def count_closed(self) -> None:
        """Count a connection that is of no more use."""
        self.open_count -= 1

    def close_idle_before(self, time_ms: float) -> None:
        """Close the connections that have been idle since before a time."""
        while self.idle and self.idle[0].idle_since_ms < time_ms:
            self.idle.popleft().close()

    def take(self, now_ms: float, idle_ms: float) -> UpstreamConnection | None:
        """Return the connection used last, unless it has been idle for `idle_ms`."""
        while self.idle and now_ms - self.idle[-1].idle_since_ms < idle_ms:
            connection = self.idle.pop()
            if connection.usable and not connection.has_input:
                return connection
            connection.close()
        return None


class UpstreamPool:
    """Connections to backend servers, by address.

    `limit_of` gives how many connections to an address this VM may have.
    """

    def __init__(
        self,
        header_limit_bytes: int = HEADER_LIMIT_BYTES,
        limit_of: Callable[[str], int] = lambda address: CONNECTION_LIMIT,
    ) -> None:
        self._header_limit_bytes = header_limit_bytes
        self._limit_of = limit_of
        self._address_pools: dict[str, _AddressPool] = {}
        self._sweeper: asyncio.TimerHandle | None = None

    async def acquire(self, address: str, idempotent: bool = True) -> UpstreamConnection:
        """Return a connection that no other exchange uses, a fresh one where that matters.

        Raises `UpstreamError` with `sent` False when none can be made.
        """
        address_pool = self._address_pools.get(address)
        if address_pool is None:
            address_pool = self._address_pools[address] = _AddressPool()
        idle_ms = IDLE_LIMIT_MS if idempotent else NON_IDEMPOTENT_IDLE_LIMIT_MS
        return address_pool.take(_now_ms(), idle_ms) or await self._open(address, address_pool, idle_ms)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Give a connection back; it is kept only if its exchange was whole."""
        connection.stop_sending()
        address_pool = self._address_pools.get(address)
        if address_pool is not None and connection.usable:
            self._add_idle(address_pool, connection)
        else:
            connection.close()

    def close_idle_since(self, address: str, since_ms: float) -> None:
        """Close what has been idle since before a request that got no byte of an answer.

        `since_ms` is the time at which that request was sent, on the loop's clock.
        """
        address_pool = self._address_pools.get(address)
        if address_pool is not None:
            address_pool.close_idle_before(since_ms)

    def open_count(self, address: str) -> int:
        """Return how many connections to an address there are, with those being made."""
        address_pool = self._address_pools.get(address)
        return 0 if address_pool is None else address_pool.open_count

    def close(self) -> None:
        """Close all idle connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for address_pool in self._address_pools.values():
            if address_pool.spare_task is not None:
                address_pool.spare_task.cancel()
            for connection in address_pool.idle:
                connection.close()
        self._address_pools.clear()

    def _add_idle(self, address_pool: _AddressPool, connection: UpstreamConnection) -> None:
        connection.idle_since_ms = _now_ms()
        address_pool.idle.append(connection)
        if self._sweeper is None:
            loop = asyncio.get_running_loop()
            self._sweeper = loop.call_later(SWEEP_INTERVAL_MS / 1000, self._sweep)

    async def _open(self, address: str, address_pool: _AddressPool, idle_ms: float) -> UpstreamConnection:
        limit = self._limit_of(address)
        if address_pool.open_count >= limit and address_pool.spare_task is not None:
            await asyncio.wait({address_pool.spare_task})
            spare = address_pool.take(_now_ms(), idle_ms)
            if spare is not None:
                return spare
        while address_pool.open_count >= limit and address_pool.idle:
            address_pool.idle.popleft().close()
        if address_pool.open_count >= limit:
            raise UpstreamError(f"{limit} connections to {address} are in use", sent=False)
        connection = await self._connect(address, address_pool)
        self._open_spare(address, address_pool, limit)
        return connection

    async def _connect(self, address: str, address_pool: _AddressPool) -> UpstreamConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        address_pool.open_count += 1
        connection = UpstreamConnection(self._header_limit_bytes, address_pool.count_closed)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await loop.create_connection(lambda: connection, host, int(port))
        except (OSError, TimeoutError) as error:
            connection.close()
            raise UpstreamError(f"no connection to {address}: {error!r}", sent=False) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection

    def _open_spare(self, address: str, address_pool: _AddressPool, limit: int) -> None:
        """Make a connection ahead of its use: that none was idle says that load grows."""
        if address_pool.spare_task is None and not address_pool.idle and address_pool.open_count < limit:
            task = asyncio.get_running_loop().create_task(self._add_spare(address, address_pool))
            address_pool.spare_task = task

    async def _add_spare(self, address: str, address_pool: _AddressPool) -> None:
        try:
            self._add_idle(address_pool, await self._connect(address, address_pool))
        except UpstreamError:
            return
        finally:
            address_pool.spare_task = None

    def _sweep(self) -> None:
        """Close connections that have been idle for long, and forget places without any."""
        self._sweeper = None
        oldest_ms = _now_ms() - IDLE_LIMIT_MS
        for address, address_pool in tuple(self._address_pools.items()):
            address_pool.close_idle_before(oldest_ms)
            if not address_pool.open_count:
                del self._address_pools[address]
        if any(address_pool.idle for address_pool in self._address_pools.values()):
            loop = asyncio.get_running_loop()
            self._sweeper = loop.call_later(SWEEP_INTERVAL_MS / 1000, self._sweep)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
