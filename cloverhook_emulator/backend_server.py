"""A stand-in backend server: slots, work that takes time, a record of what ran."""

import asyncio
import random

from absl import app, flags

from cloverhook.server import Listener

__all__ = ["BackendServer"]

FLAGS = flags.FLAGS
flags.DEFINE_list("addresses", ["127.0.0.1:0"], "The addresses to listen on, one server each.")
flags.DEFINE_integer("slots", 4, "Requests that are worked on at once; others wait.")
flags.DEFINE_float("work_ms", 20.0, "The mean work of a request.")


class BackendServer:
    """An ASGI application that works on at most `slots` requests at once."""

    def __init__(self, slots: int, work_ms: float, source: random.Random) -> None:
        self._slots = asyncio.Semaphore(slots)
        self._work_ms = work_ms
        self._random = source
        self.in_flight = 0
        self.ran: list[str] = []

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        headers = dict(scope["headers"])
        while (await receive()).get("more_body"):
            pass
        self.in_flight += 1
        try:
            async with self._slots:
                self.ran.append(headers.get(b"x-request-id", b"").decode())
                await asyncio.sleep(self._work_ms / 1000 * self._random.uniform(0.5, 1.5))
        finally:
            self.in_flight -= 1
        body = headers.get(b"x-request-id", b"")
        answer = [
            (b"content-length", str(len(body)).encode()),
            (b"cloverhook-load", str(self.in_flight).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": answer})
        await send({"type": "http.response.body", "body": body, "more_body": False})


async def _serve() -> None:
    for address in FLAGS.addresses:
        server = BackendServer(FLAGS.slots, FLAGS.work_ms, random.Random(address))
        listener = Listener(server, address)
        await listener.start()
        print(f"backend server: listening on {listener.address}", flush=True)
    await asyncio.Event().wait()


def _main(arguments: list[str]) -> None:
    del arguments
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(_main)
