"""Watches the callers' listener from outside: the events and counts of every request.

Layer: transport.  `ObservedApp` wraps an ASGI application and puts an `Observation` into each
request's scope.  The application writes into it what only it knows: the identifier, the service,
the error kind and the time of its attempts.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from cloverhook import headers as h
from cloverhook.clock import monotonic_ms, wall_ms
from cloverhook.errors import ErrorKind, Outcome
from cloverhook.observer import Observer
from cloverhook.timeline import EventName

__all__ = ["OBSERVATION", "Observation", "ObservedApp"]

OBSERVATION = "cloverhook"
NO_BRAND = ""

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


@dataclass(slots=True)
class Observation:
    """What is seen of one request; `upstream_ms` is the time that its attempts took."""

    request_id: str = ""
    brand: str = NO_BRAND
    service: str = ""
    upstream_ms: float = 0.0
    attempts: int = 0
    status: int = 0
    kind: ErrorKind | None = None
    outcome: str = Outcome.UNKNOWN.value
    whole: bool = False

    @classmethod
    def of(cls, scope: dict[str, Any]) -> "Observation":
        """Return the observation in a request's scope, or a new one that nobody reads."""
        return scope.get(OBSERVATION) or cls()

    def read_head(self, message: Message) -> None:
        """Take the head of the answer; the last outcome header in it is this daemon's own."""
        self.status = message["status"]
        for name, value in reversed(message["headers"]):
            if name == h.OUTCOME:
                self.outcome = value.decode("latin-1")
                return
        self.outcome = Outcome.RAN.value

    def attempt_ended(self, latency_ms: float) -> None:
        """Add an attempt that took `latency_ms`."""
        self.upstream_ms += latency_ms
        self.attempts += 1


class ObservedApp:
    """An ASGI application whose requests are counted and put on the time line."""

    def __init__(
        self,
        app: Application,
        observer: Observer,
    ) -> None:
        self._app = app
        self._stats = observer.requests
        self._time_line = observer.time_line

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request by the application inside."""
        started_ms = monotonic_ms()
        scope[OBSERVATION] = seen = Observation()
        self._stats.in_flight += 1

        async def watched_send(message: Message) -> None:
            if message["type"] == "http.response.start":
                seen.read_head(message)
            elif not message.get("more_body", False):
                seen.whole = True
            await send(message)

        try:
            await self._app(scope, receive, watched_send)
        finally:
            self._stats.in_flight -= 1
            self._ended(seen, started_ms)

    def _ended(self, seen: Observation, started_ms: float) -> None:
        self._stats.retries += max(0, seen.attempts - 1)
        if not seen.whole:
            seen.outcome = Outcome.UNKNOWN.value
            seen.kind = seen.kind or ErrorKind.CONNECTION_CUT
        kind = seen.kind.value if seen.kind else ""
        latency_ms = monotonic_ms() - started_ms
        self._stats.record_end(
            seen.brand, seen.service, seen.outcome, kind, latency_ms, seen.upstream_ms
        )
        detail = kind or str(seen.status)
        self._time_line.add(wall_ms(), _name_of(seen), request_id=seen.request_id, detail=detail)


def _name_of(seen: Observation) -> EventName:
    if not seen.whole:
        return EventName.REQUEST_CUT
    return EventName.REQUEST_REFUSED if seen.kind else EventName.REQUEST_ANSWERED
