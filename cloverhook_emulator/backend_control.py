"""The control port of a process of stand-in backend servers."""

from collections.abc import Mapping
from dataclasses import asdict
from typing import Protocol

import falcon
import falcon.asgi

from cloverhook.server import Listener
from cloverhook_emulator.faults import Faults
from cloverhook_emulator.run_record import RunRecord

__all__ = ["Controlled", "control_app"]


class Controlled(Protocol):
    """What the control port sees of a server."""

    faults: Faults
    ran: list[RunRecord]

    def set_faults(self, faults: Faults) -> None:
        """Put other faults in force."""

    def counts(self) -> dict[str, int]:
        """Return how much the server has done and refused."""


class _Servers:
    def __init__(self, servers: Mapping[str, Controlled]) -> None:
        self._servers = servers

    def named(self, request: falcon.asgi.Request) -> dict[str, Controlled]:
        """Return the servers that the query names, or all."""
        names = request.get_param_as_list("server", delimiter=",")
        if not names:
            return dict(self._servers)
        if any(name not in self._servers for name in names):
            raise falcon.HTTPNotFound(description=f"the servers are {', '.join(self._servers)}")
        return {name: self._servers[name] for name in names}


class _Control(_Servers):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = {
            address: {"faults": asdict(server.faults), "counts": server.counts()}
            for address, server in self.named(request).items()
        }

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        document = await request.get_media()
        servers = self.named(request).values()
        try:
            changes = [(server, server.faults.changed(document)) for server in servers]
        except ValueError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        for server, faults in changes:
            server.set_faults(faults)
        response.media = {"changed": len(changes)}


class _Ran(_Servers):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        servers = self.named(request).values()
        response.media = {
            "ran": [record.to_document() for server in servers for record in server.ran]
        }


async def control_app(servers: Mapping[str, Controlled], address: str) -> Listener:
    """Start the control port for servers by their addresses."""
    application = falcon.asgi.App()
    application.add_route("/control", _Control(servers))
    application.add_route("/control/ran", _Ran(servers))
    listener = Listener(application, address)
    await listener.start()
    return listener
