"""The control port of a process of stand-in backend servers."""

from collections.abc import Mapping
from dataclasses import asdict
from typing import Protocol

import falcon
import falcon.asgi

from cloverhook.server import Listener
from cloverhook_emulator.faults import Faults
from cloverhook_emulator.run_record import RunRecord

__all__ = ["ControlledServer", "control_app"]


class ControlledServer(Protocol):
    """What the control port sees of a server."""

    faults: Faults
    run_records: list[RunRecord]

    def set_faults(self, faults: Faults) -> None:
        """Put other faults in force."""

    def counts(self) -> dict[str, int]:
        """Return how much the server has done and refused."""


class _ServerResource:
    def __init__(self, servers: Mapping[str, ControlledServer]) -> None:
        self._servers = servers

    def selected(self, request: falcon.asgi.Request) -> dict[str, ControlledServer]:
        """Return the servers that the query names, or all."""
        names = request.get_param_as_list("server", delimiter=",")
        if not names:
            return dict(self._servers)
        if any(name not in self._servers for name in names):
            raise falcon.HTTPNotFound(description=f"the servers are {', '.join(self._servers)}")
        return {name: self._servers[name] for name in names}


class _ControlResource(_ServerResource):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = {
            address: {"faults": asdict(server.faults), "counts": server.counts()}
            for address, server in self.selected(request).items()
        }

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        document = await request.get_media()
        servers = self.selected(request).values()
        try:
            changes = [(server, server.faults.with_changes(document)) for server in servers]
        except ValueError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        for server, faults in changes:
            server.set_faults(faults)
        response.media = {"changed": len(changes)}


class _RunRecordsResource(_ServerResource):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        servers = self.selected(request).values()
        response.media = {
            "ran": [record.to_document() for server in servers for record in server.run_records]
        }


async def control_app(servers: Mapping[str, ControlledServer], address: str) -> Listener:
    """Start the control port for servers by their addresses."""
    application = falcon.asgi.App()
    application.add_route("/control", _ControlResource(servers))
    application.add_route("/control/ran", _RunRecordsResource(servers))
    listener = Listener(application, address)
    await listener.start()
    return listener
