"""Runs ASGI applications on uvicorn, several in one event loop.

Layer: transport.  The loop is named as asyncio's own: uvicorn's automatic choice may take
uvloop, which opens an io_uring.
"""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

from cloverhook.caller_protocol import CallerProtocol, Limits

__all__ = ["Listener"]


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon and wakes up only to stop."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Let `serve` stop accepting, finish what is in flight and return."""
        self.should_exit = True
        self._stopping.set()

    async def main_loop(self) -> None:
        """Serve until `stop`: uvicorn's own loop looks ten times a second.

        Its first look sets the headers of every answer; later ones would only renew the date,
        which is left out.
        """
        if not await self.on_tick(0):
            await self._stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signal handlers alone."""
        yield


class Listener:
    """One listening address and the application behind it."""

    def __init__(
        self, app: Any, address: str, idle_ms: int = 30_000, limits: Limits | None = None
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=2_048, reuse_port=False)
        self._socket.setblocking(False)
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=_protocol_class(limits or Limits()),
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
        """Start to accept connections."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started:
            await asyncio.sleep(0.005)

    def in_flight(self) -> int:
        """Return how many requests are being served."""
        return len(self._server.server_state.tasks)

    async def stop(self) -> None:
        """Stop accepting, let requests in flight end, and close."""
        self._server.stop()
        if self._task is not None:
            await self._task


def _protocol_class(limits: Limits) -> type[CallerProtocol]:
    return type("LimitedCallerProtocol", (CallerProtocol,), {"limits": limits})
