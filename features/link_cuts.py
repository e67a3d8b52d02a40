"""Cuts between gateways in the test's process and backend servers, for each link by itself.

A cut acts on the connections of one gateway to some backend servers.  The gateway's callers, its
store and the other gateways are still reached.
"""

import asyncio
import weakref
from enum import Enum

from cloverhook.errors import ConnectError

__all__ = ["Cut", "LinkCuts"]

UNACKNOWLEDGED_S = 3.0
"""A connection without an acknowledgement is closed by the system after this time."""


class Cut(Enum):
    """What a cut does to connections.

    `RESET` resets open connections and refuses new ones; `HANG` loses all bytes, also those of new
    connections; `REFUSE_NEW` only refuses new ones; `ONE_WAY` loses the bytes from the backend
    servers; `LOSSY` loses the packets with which two of three new connections begin.
    """

    RESET = "reset"
    HANG = "hang"
    REFUSE_NEW = "new refused"
    ONE_WAY = "one way"
    LOSSY = "lossy"


class LinkCuts:
    """The cuts of one gateway; install it before the gateway has connected to a backend server."""

    def __init__(self, gateway):
        self._cut = None
        self._incarnations = None
        self._connections = weakref.WeakKeyDictionary()
        self._lost = 0
        for pool in (gateway._pool, gateway._prober._pool):
            pool._connect = self._wrap(pool._connect)

    def begin(self, cut, incarnations=None):
        """Cut the links to some backend servers, or to all."""
        self._cut, self._incarnations = cut, incarnations
        for connection, incarnation in tuple(self._connections.items()):
            if self._is_cut(incarnation) and not connection.closed:
                self._apply(connection)

    def end(self):
        """Restore all links; a connection that was silent stays so until it is closed."""
        self._cut = None

    def _is_cut(self, incarnation):
        everything = self._incarnations is None
        return self._cut is not None and (everything or incarnation in self._incarnations)

    def _apply(self, connection):
        if self._cut is Cut.RESET:
            connection._transport.abort()
        elif self._cut is Cut.HANG:
            connection._transport = SilentTransport(connection._transport)
        if self._cut in (Cut.HANG, Cut.ONE_WAY):
            connection.data_received = lambda data: None
            asyncio.get_running_loop().call_later(UNACKNOWLEDGED_S, connection._transport.abort)

    def _wrap(self, connect):
        async def connect_if_linked(server, timeout_ms):
            if self._is_cut(server.incarnation):
                await self._fail(server, timeout_ms)
            connection = await connect(server, timeout_ms)
            self._connections[connection] = server.incarnation
            return connection

        return connect_if_linked

    async def _fail(self, server, timeout_ms):
        if self._cut in (Cut.RESET, Cut.REFUSE_NEW):
            await asyncio.sleep(0.001)
            raise ConnectError(f"{server.address} refused", refused=True)
        self._lost += 1
        if self._cut is not Cut.LOSSY or self._lost % 3:
            await asyncio.sleep(timeout_ms / 1000)
            raise ConnectError(f"no answer of {server.address}", refused=False)


class SilentTransport:
    """A transport that drops what is written to it."""

    def __init__(self, transport):
        self._transport = transport

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def write(self, data):
        """Drop the bytes."""
