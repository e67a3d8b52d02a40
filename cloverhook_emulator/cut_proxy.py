"""A stand-in for a failing network: a TCP proxy that can cut its connections or drop their bytes.

The mode is set in the process by `CutProxy.set_mode`, or with `PUT /v1/mode` and the JSON body
`{"mode": "silent"}` on the control port.  For example, to make the open connections silent for
good while new ones work:

    proxy.set_mode(Mode.SILENT)
    proxy.set_mode(Mode.PASS)
"""

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum

import falcon
import falcon.asgi
from absl import app, flags

from cloverhook.server import Listener

__all__ = ["CutProxy", "Mode", "control_app"]

FLAGS = flags.FLAGS
flags.DEFINE_string("proxy_address", "127.0.0.1:0", "The address that the proxy listens on.")
flags.DEFINE_string("proxy_control_address", "127.0.0.1:0", "The address of the control port.")
flags.DEFINE_string("proxy_target", "", "The address to forward connections to.")

CHUNK_BYTES = 64 * 1024


class Mode(Enum):
    """How the proxy treats its connections.

    `PASS` forwards bytes in both directions.  `SILENT` keeps connections open and drops their
    bytes; a connection that was open in this mode stays silent for good.  `CUT` resets every
    connection, open and new.  `ONE_WAY` forwards bytes to the target and drops those from the
    target; a connection that was open in this mode stays one-way for good.
    """

    PASS = "pass"
    SILENT = "silent"
    CUT = "cut"
    ONE_WAY = "one_way"


class _ConnectionPair:
    """A connection of a caller and the corresponding connection to the target."""

    def __init__(self, caller: asyncio.StreamWriter, target: asyncio.StreamWriter) -> None:
        self.writers = (caller, target)
        self.forwards_requests = True
        self.forwards_answers = True

    def apply(self, mode: Mode) -> None:
        """Apply a mode; a direction once disabled stays disabled."""
        if mode is Mode.CUT:
            self.abort()
        if mode is Mode.SILENT:
            self.forwards_requests = False
        if mode in (Mode.SILENT, Mode.ONE_WAY):
            self.forwards_answers = False

    def abort(self) -> None:
        """Reset both connections."""
        for writer in self.writers:
            writer.transport.abort()


class CutProxy:
    """A TCP proxy to one target."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.mode = Mode.PASS
        self._pairs: set[_ConnectionPair] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Start accepting connections, and set `self.address` to the bound address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def close(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        while self._pairs:
            for pair in tuple(self._pairs):
                pair.abort()
            await asyncio.sleep(0)

    def set_mode(self, mode: Mode) -> None:
        """Change the mode for open and new connections."""
        self.mode = mode
        for pair in tuple(self._pairs):
            pair.apply(mode)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.CUT:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = _ConnectionPair(writer, back_writer)
        pair.apply(self.mode)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._copy(reader, back_writer, lambda: pair.forwards_requests),
                self._copy(back_reader, writer, lambda: pair.forwards_answers),
            )
        finally:
            pair.abort()
            self._pairs.discard(pair)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, passes: Callable[[], bool]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if passes():
                    writer.write(data)
                    await writer.drain()
            if passes() and writer.can_write_eof():
                writer.write_eof()


class _Control:
    def __init__(self, proxy: CutProxy) -> None:
        self._proxy = proxy

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        self._proxy.set_mode(Mode((await request.get_media())["mode"]))
        response.media = {"mode": self._proxy.mode.value}


def control_app(proxy: CutProxy) -> falcon.asgi.App:
    """Return the application of the control port."""
    application = falcon.asgi.App()
    application.add_route("/v1/mode", _Control(proxy))
    return application


async def _serve() -> None:
    proxy = CutProxy(FLAGS.proxy_target)
    await proxy.start(FLAGS.proxy_address)
    control = Listener(control_app(proxy), FLAGS.proxy_control_address)
    await control.start()
    print(f"proxy: listening on {proxy.address}", flush=True)
    print(f"control: listening on {control.address}", flush=True)
    await asyncio.Event().wait()


def _main(arguments: list[str]) -> None:
    del arguments
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(_main)
