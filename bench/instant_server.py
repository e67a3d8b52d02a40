"""A backend server that answers two bytes immediately, to measure what is in front of it."""

import asyncio

from absl import app, flags

from cloverhook_emulator.http_server import HttpServer, IncomingRequest

FLAGS = flags.FLAGS
flags.DEFINE_string("address", "127.0.0.1:0", "The address to listen on.")


def _answer(request: IncomingRequest) -> None:
    request.respond(200, [], b"ok")


async def _serve() -> None:
    server = HttpServer(_answer)
    await server.start(FLAGS.address)
    print(f"backend server: listening on {server.address}", flush=True)
    await asyncio.Event().wait()


def _main(arguments: list[str]) -> None:
    del arguments
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(_main)
