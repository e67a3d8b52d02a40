"""Runs ASGI applications on uvicorn, several in one event loop.

Layer: transport.  The configuration selects asyncio's own event loop, because uvicorn's automatic
choice may select uvloop, which opens an io_uring.
"""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

from cloverhook.caller_protocol import CallerProtocol, RequestLimits

__all__ = ["Listener"]


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon and doesn't poll while it serves."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Make `serve` stop accepting, finish the requests in flight and return."""
        self.should_exit = True
        self._stopping.set()

    async def main_loop(self) -> None:
        """Serve until `stop` is called.

        Uvicorn's own loop calls `on_tick` ten times a second.  The first call sets the default
        headers of all answers; later ones would only update the date header, which is disabled.
        """
        if not await self.on_tick(0):
            await self._stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Don't change the process's signal handlers."""
        yield


class Listener:
    """One listening address and the application that serves it."""

    def __init__(
        self, app: Any, address: str, idle_ms: int = 30_000, limits: RequestLimits | None = None
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=2_048, reuse_port=False)
        self._socket.setblocking(False)
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=_protocol_class(limits or RequestLimits()),
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            log_level="critical",
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=max(1, idle_ms // 1000),
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None
        self.address = "{}:{}".format(*self._socket.getsockname())

    async def start(self) -> None:
        """Start accepting connections."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started:
            await asyncio.sleep(0.005)

    def in_flight(self) -> int:
        """Return how many requests are being served."""
        return len(self._server.server_state.tasks)

    async def stop(self) -> None:
        """Stop accepting connections, wait until the requests in flight have ended, and close."""
        self._server.stop()
        if self._task is not None:
            await self._task


def _protocol_class(limits: RequestLimits) -> type[CallerProtocol]:
    return type("LimitedCallerProtocol", (CallerProtocol,), {"limits": limits})
