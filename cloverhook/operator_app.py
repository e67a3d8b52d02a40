"""The operators' listener of a daemon: status, time line, drain, metrics, health and readiness.

Layer: transport.  All paths except health and readiness require the operators' token.
"""

import hmac
from collections.abc import Callable
from typing import Any, Protocol

import falcon
import falcon.asgi

from cloverhook.metrics import MetricsPage
from cloverhook.timeline import PAGE_SCAN_LIMIT, EventPage

__all__ = ["DaemonView", "operator_app"]


class DaemonView(Protocol):
    """The daemon as the operators' listener sees it."""

    def status(self) -> dict[str, Any]:
        """Return this daemon's status."""

    def events(
        self, after: int, limit: int, request_id: str, address: str, change_id: str
    ) -> EventPage:
        """Return a page of this daemon's part of the time line."""

    def ready(self) -> bool:
        """Return whether the daemon has a configuration and accepts requests."""

    def drain(self) -> None:
        """Start a planned shutdown."""


class _Status:
    def __init__(self, view: DaemonView) -> None:
        self._view = view

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = self._view.status()


class _Events:
    def __init__(self, view: DaemonView) -> None:
        self._view = view

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        page = self._view.events(
            request.get_param_as_int("after", min_value=0, default=0),
            request.get_param_as_int(
                "limit", min_value=1, max_value=PAGE_SCAN_LIMIT, default=PAGE_SCAN_LIMIT
            ),
            request.get_param("request", default=""),
            request.get_param("endpoint", default=""),
            request.get_param("change", default=""),
        )
        response.media = {
            "events": [event.to_document() for event in page.events],
            "after": page.after,
            "last": page.last,
        }


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
    def __init__(self, page: MetricsPage) -> None:
        self._page = page

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        data, headers = self._page.render(request.get_header("accept") or "*/*")
        response.data = data
        response.content_type = headers.get("Content-Type", "text/plain")


class _TokenCheck:
    """Rejects requests without the operators' token and reports each to `on_refused`."""

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
            raise falcon.HTTPUnauthorized(title="unauthorized", description="the token is wrong")


def _write_error(
    request: falcon.asgi.Request, response: falcon.asgi.Response, error: falcon.HTTPError
) -> None:
    """Write an error as the callers' listener does: a JSON object with `error` and `detail`."""
    kind = (error.title or "error").lower().replace(" ", "-")
    response.media = {"error": kind, "detail": error.description or ""}


def operator_app(
    view: DaemonView, metrics: MetricsPage, token: bytes, on_refused: Callable[[], None]
) -> falcon.asgi.App:
    """Return the ASGI application of the operators' listener.

    `on_refused` is called for each request without the token.
    """
    app = falcon.asgi.App(middleware=[_TokenCheck(token, on_refused)])
    app.set_error_serializer(_write_error)
    app.add_route("/v1/status", _Status(view))
    app.add_route("/v1/events", _Events(view))
    app.add_route("/v1/drain", _Drain(view))
    app.add_route("/metrics", _Metrics(metrics))
    app.add_route("/health", _Health())
    app.add_route("/ready", _Ready(view))
    return app
