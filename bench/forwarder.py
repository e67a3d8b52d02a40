"""The baseline for the cost of forwarding: a falcon route on uvicorn that forwards with aiohttp.

It makes no decisions, and reads the whole answer before it responds.
"""

import asyncio

import aiohttp
import falcon.asgi
import uvicorn
from absl import app, flags

FLAGS = flags.FLAGS
flags.DEFINE_string("target", None, "The address that every request is forwarded to.")
flags.DEFINE_string("address", "127.0.0.1:0", "The address to listen on.")


class _Forward:
    def __init__(self, target: str) -> None:
        self._target = target
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, path: str
    ) -> None:
        async with self._session.get(f"http://{self._target}/{path}") as answer:
            response.status = answer.status
            response.data = await answer.read()


async def _serve() -> None:
    application = falcon.asgi.App()
    application.add_route("/{path}", _Forward(FLAGS.target))
    host, _, port = FLAGS.address.rpartition(":")
    config = uvicorn.Config(
        application,
        host=host,
        port=int(port),
        loop="asyncio",
        http="httptools",
        lifespan="off",
        access_log=False,
        log_level="critical",
    )
    server = uvicorn.Server(config)
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    address = "{}:{}".format(*server.servers[0].sockets[0].getsockname())
    print(f"forwarder: listening on {address}", flush=True)
    await serving


def _main(arguments: list[str]) -> None:
    del arguments
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(_main)
