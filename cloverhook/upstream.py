"""The pool of connections to backend servers.

Layer: transport.  The connection used last is reused first, so that surplus connections reach their
idle limit and are closed.  A connection may stop working while it is idle, and nothing shows this
before a request is lost on it.  For this reason a request that must not run twice gets either a
connection that was in use a moment ago or a new one, and when one request gets no byte of an
answer, all connections that have been idle since before that request are closed.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from cloverhook.errors import ConnectError, UpstreamError
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

CONNECT_TIMEOUT_MS = 500
"""Longer than a round trip between regions.  A request whose connection hangs holds a slot of its
endpoint meanwhile."""
CONNECTION_LIMIT = 200
NON_IDEMPOTENT_IDLE_LIMIT_MS = 250
IDLE_LIMIT_MS = 3_000
SWEEP_INTERVAL_MS = 1_000


class _AddressPool:
    """The connections to one address.

    `open_count` includes the connections in use and those being opened; `spare_task` opens a
    connection ahead of its use.
    """

    def __init__(self) -> None:
        self.idle: deque[UpstreamConnection] = deque()
        self.open_count = 0
        self.spare_task: asyncio.Task[None] | None = None

    def count_closed(self) -> None:
        """Count a connection as closed."""
        self.open_count -= 1

    def close_idle_before(self, time_ms: float) -> None:
        """Close the connections that became idle before a time."""
        while self.idle and self.idle[0].idle_since_ms < time_ms:
            self.idle.popleft().close()

    def take(self, now_ms: float, idle_ms: float) -> UpstreamConnection | None:
        """Return the usable connection that was used last, if it was idle for less than `idle_ms`.

        Connections found unusable on the way are closed.
        """
        while self.idle and now_ms - self.idle[-1].idle_since_ms < idle_ms:
            connection = self.idle.pop()
            if connection.usable and not connection.has_input:
                return connection
            connection.close()
        return None


class UpstreamPool:
    """Connections to backend servers, by address.

    `limit_of` returns how many connections to an address this VM may have.
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
        """Return a connection that no other exchange uses.

        For a request that is not idempotent, it is a new one or was in use a moment ago.
        Raises `UpstreamError` with `sent` False when no connection can be opened.
        """
        address_pool = self._address_pools.get(address)
        if address_pool is None:
            address_pool = self._address_pools[address] = _AddressPool()
        idle_ms = IDLE_LIMIT_MS if idempotent else NON_IDEMPOTENT_IDLE_LIMIT_MS
        return address_pool.take(_now_ms(), idle_ms) or await self._open(
            address, address_pool, idle_ms
        )

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool; it is kept only if its exchange was complete."""
        connection.stop_sending()
        address_pool = self._address_pools.get(address)
        if address_pool is not None and connection.usable:
            self._add_idle(address_pool, connection)
        else:
            connection.close()

    def close_idle_since(self, address: str, since_ms: float) -> None:
        """Close the connections idle since before a request that got no byte of an answer.

        `since_ms` is the time at which that request was sent, on the loop's clock.
        """
        address_pool = self._address_pools.get(address)
        if address_pool is not None:
            address_pool.close_idle_before(since_ms)

    def open_count(self, address: str) -> int:
        """Return the number of connections to an address, including those being opened."""
        address_pool = self._address_pools.get(address)
        return 0 if address_pool is None else address_pool.open_count

    def close(self) -> None:
        """Close all idle connections and stop opening spare ones."""
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

    async def _open(
        self, address: str, address_pool: _AddressPool, idle_ms: float
    ) -> UpstreamConnection:
        limit = self._limit_of(address)
        if address_pool.open_count >= limit and address_pool.spare_task is not None:
            await asyncio.wait({address_pool.spare_task})
            spare = address_pool.take(_now_ms(), idle_ms)
            if spare is not None:
                return spare
        while address_pool.open_count >= limit and address_pool.idle:
            address_pool.idle.popleft().close()
        if address_pool.open_count >= limit:
            raise UpstreamError(f"all {limit} connections to {address} are in use", sent=False)
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
            reason = f"can't connect to {address}: {error!r}"
            raise ConnectError(reason, isinstance(error, ConnectionRefusedError)) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection

    def _open_spare(self, address: str, address_pool: _AddressPool, limit: int) -> None:
        """Start to open a connection ahead of its use.

        That no connection was idle is a sign of growing load.
        """
        if (
            address_pool.spare_task is None
            and not address_pool.idle
            and address_pool.open_count < limit
        ):
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
        """Close connections that exceed `IDLE_LIMIT_MS`; remove addresses without connections."""
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
