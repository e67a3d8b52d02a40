"""The control port of a process that runs stand-in backend servers."""

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
    """The part of a backend server that the control port uses."""

    faults: Faults
    run_records: list[RunRecord]

    def set_faults(self, faults: Faults) -> None:
        """Replace the active faults."""

    def counts(self) -> dict[str, int]:
        """Return the counters of handled and rejected work."""


class _ServerResource:
    def __init__(self, servers: Mapping[str, ControlledServer]) -> None:
        self._servers = servers

    def selected(self, request: falcon.asgi.Request) -> dict[str, ControlledServer]:
        """Return the servers that the query names, or all when it names none.

        Raises `HTTPNotFound` for an unknown server.
        """
        names = request.get_param_as_list("server", delimiter=",")
        if not names:
            return dict(self._servers)
        if any(name not in self._servers for name in names):
            raise falcon.HTTPNotFound(
                description=f"unknown server; known servers: {', '.join(self._servers)}"
            )
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
    """Start the control port; `servers` maps the address of each server to the server."""
    application = falcon.asgi.App()
    application.add_route("/control", _ControlResource(servers))
    application.add_route("/control/ran", _RunRecordsResource(servers))
    listener = Listener(application, address)
    await listener.start()
    return listener
