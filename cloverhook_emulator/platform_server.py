"""A stand-in for the platform: the append-only log and the list of VMs, over HTTP and JSON."""

import asyncio

import falcon
import falcon.asgi
from absl import app, flags

from cloverhook.platform_api import ListedVm, MemoryPlatform, VmPhase
from cloverhook.server import Listener

__all__ = ["platform_app"]

FLAGS = flags.FLAGS
flags.DEFINE_string("address", "127.0.0.1:7000", "The address to listen on.")


class _Records:
    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str
    ) -> None:
        offset = await self._platform.append(stream, await request.get_media())
        response.media = {"offset": offset}

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str
    ) -> None:
        read = await self._platform.read(
            stream,
            request.get_param_as_int("from", required=True),
            request.get_param_as_int("wait_ms", default=0),
        )
        response.media = {
            "first_offset": read.first_offset,
            "next_offset": read.next_offset,
            "from_offset": read.from_offset,
            "records": list(read.records),
        }


class _Vms:
    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = {
            "vms": [
                {
                    "vm": item.vm,
                    "phase": item.phase.value,
                    "data_center": item.data_center,
                    "caller_address": item.caller_address,
                    "peer_address": item.peer_address,
                }
                for item in self._platform.vms
            ]
        }

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        data = await request.get_media()
        self._platform.vms = tuple(
            ListedVm(**{**item, "phase": VmPhase(item["phase"])}) for item in data["vms"]
        )
        response.media = {}


def platform_app(platform: MemoryPlatform) -> falcon.asgi.App:
    """Return the stand-in's application over a platform in memory."""
    application = falcon.asgi.App()
    application.add_route("/v1/streams/{stream}/records", _Records(platform))
    application.add_route("/v1/vms", _Vms(platform))
    return application


async def _serve() -> None:
    listener = Listener(platform_app(MemoryPlatform()), FLAGS.address)
    await listener.start()
    print(f"platform: listening on {listener.address}", flush=True)
    await asyncio.Event().wait()


def _main(arguments: list[str]) -> None:
    del arguments
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(_main)
