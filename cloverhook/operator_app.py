"""The operators' listener of a daemon: status, time line, metrics, health and readiness.

Layer: transport.  Everything but health and readiness takes the operators' token.
"""

import hmac
from collections.abc import Callable
from typing import Any, Protocol

import falcon
import falcon.asgi
from aioprometheus import Registry, render

__all__ = ["DaemonView", "operator_app"]


class DaemonView(Protocol):
    """What the operators' listener shows of a daemon."""

    def status(self) -> dict[str, Any]:
        """Return this daemon's status."""

    def events(self) -> list[dict[str, Any]]:
        """Return this daemon's part of the time line."""

    def ready(self) -> bool:
        """Return whether the daemon has a configuration and takes requests."""

    def drain(self) -> None:
        """Begin a planned stop."""


class _Status:
    def __init__(self, view: DaemonView) -> None:
        self._view = view

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = self._view.status()


class _Events:
    def __init__(self, view: DaemonView) -> None:
        self._view = view

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = {"events": self._view.events()}


class _Drain:
    def __init__(self, view: DaemonView) -> None:
        self._view = view

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        self._view.drain()
        response.status = falcon.HTTP_202
        response.media = {"draining": True}


class _Health:
    open_to_all = True

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = {"healthy": True}


class _Ready:
    open_to_all = True

    def __init__(self, view: DaemonView) -> None:
        self._view = view

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        ready = self._view.ready()
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.media = {"ready": ready}


class _Metrics:
    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        data, headers = render(self._registry, [request.get_header("accept") or "*/*"])
        response.data = data
        response.content_type = headers.get("Content-Type", "text/plain")


class _TokenCheck:
    """Refuses and counts requests without the operators' token."""

    def __init__(self, token: bytes, on_refused: Callable[[], None]) -> None:
        self._expected = b"Bearer " + token
        self._on_refused = on_refused

    async def process_resource(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: Any,
        params: dict[str, Any],
    ) -> None:
        if getattr(resource, "open_to_all", False):
            return
        given = (request.get_header("authorization") or "").encode()
        if not hmac.compare_digest(given, self._expected):
            self._on_refused()
            raise falcon.HTTPUnauthorized(title="operators only", description="the token is wrong")


def operator_app(
    view: DaemonView, registry: Registry, token: bytes, on_refused: Callable[[], None]
) -> falcon.asgi.App:
    """Return the falcon application of the operators' listener."""
    app = falcon.asgi.App(middleware=[_TokenCheck(token, on_refused)])
    app.add_route("/v1/status", _Status(view))
    app.add_route("/v1/events", _Events(view))
    app.add_route("/v1/drain", _Drain(view))
    app.add_route("/metrics", _Metrics(registry))
    app.add_route("/health", _Health())
    app.add_route("/ready", _Ready(view))
    return app
