"""A stand-in for the platform: the append-only log and the list of VMs, over HTTP and JSON.

In addition to the calls of a platform, it has calls for tests: `PUT /v1/faults` takes the fields of
`PlatformFaults`, `POST /v1/streams/{stream}/truncate` drops the records before `first_offset`, and
`POST /v1/streams/{stream}/reset` deletes a stream, which restarts empty at offset 0.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import asdict
from typing import Any

import falcon
import falcon.asgi
from absl import app, flags

from cloverhook.errors import PlatformError, PlatformSilentError
from cloverhook.platform_api import ListedVm, VmPhase
from cloverhook.server import Listener
from cloverhook_emulator.faulty_platform import (
    DEFAULT_APPENDS_PER_S,
    FaultyPlatform,
    PlatformFaults,
)

__all__ = ["platform_app"]

FLAGS = flags.FLAGS
flags.DEFINE_string("address", "127.0.0.1:7000", "The address to listen on.")
flags.DEFINE_integer("appends_per_s", DEFAULT_APPENDS_PER_S, "The limit of appends per second.")


class _Resource:
    def __init__(self, platform: FaultyPlatform) -> None:
        self._platform = platform


class _Records(_Resource):
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


class _Truncate(_Resource):
    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str
    ) -> None:
        data = await request.get_media()
        self._platform.truncate(stream, data["first_offset"])
        response.media = {}


class _Reset(_Resource):
    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str
    ) -> None:
        self._platform.reset(stream)
        response.media = {}


class _Vms(_Resource):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        listed = await self._platform.list_vms()
        response.media = {
            "vms": [
                {
                    "vm": item.vm,
                    "phase": item.phase.value,
                    "data_center": item.data_center,
                    "caller_address": item.caller_address,
                    "peer_address": item.peer_address,
                }
                for item in listed
            ]
        }

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        data = await request.get_media()
        self._platform.vms = tuple(
            ListedVm(**{**item, "phase": VmPhase(item["phase"])}) for item in data["vms"]
        )
        response.media = {}


class _Faults(_Resource):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = {
            **asdict(self._platform.faults),
            "appends": self._platform.appends,
            "refused_appends": self._platform.refused_appends,
        }

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        try:
            self._platform.set_faults(PlatformFaults(**await request.get_media()))
        except TypeError as error:
            raise falcon.HTTPBadRequest(title="unknown fault", description=str(error)) from error
        response.media = {}


async def _answer_rejected(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: PlatformError,
    params: dict[str, Any],
) -> None:
    response.status = falcon.HTTP_429
    response.media = {"error": str(error)}


async def _cut_connection(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: PlatformSilentError,
    params: dict[str, Any],
) -> None:
    """Break the connection instead of sending the body of the answer."""
    response.content_length = 1
    response.stream = _broken_stream()


async def _broken_stream() -> AsyncIterator[bytes]:
    raise ConnectionResetError
    yield b""


def platform_app(platform: FaultyPlatform) -> falcon.asgi.App:
    """Return the application that serves an in-memory platform over HTTP."""
    application = falcon.asgi.App()
    application.add_error_handler(PlatformError, _answer_rejected)
    application.add_error_handler(PlatformSilentError, _cut_connection)
    application.add_route("/v1/streams/{stream}/records", _Records(platform))
    application.add_route("/v1/streams/{stream}/truncate", _Truncate(platform))
    application.add_route("/v1/streams/{stream}/reset", _Reset(platform))
    application.add_route("/v1/vms", _Vms(platform))
    application.add_route("/v1/faults", _Faults(platform))
    return application


async def _serve() -> None:
    listener = Listener(platform_app(FaultyPlatform(FLAGS.appends_per_s)), FLAGS.address)
    await listener.start()
    print(f"platform: listening on {listener.address}", flush=True)
    await asyncio.Event().wait()


def _main(arguments: list[str]) -> None:
    del arguments
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(_main)
