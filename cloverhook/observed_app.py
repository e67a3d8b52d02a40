"""Records the time line events and the counts of every request to the callers' listener.

Layer: transport.  `ObservedApp` wraps an ASGI application and puts an `Observation` into each
request's scope.  The application adds what only it knows: the identifier, the service, the error
kind and the time of its attempts.
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
    """The facts about one request; `upstream_ms` is the total time of its attempts.

    `complete` is whether the whole answer was sent.
    """

    request_id: str = ""
    brand: str = NO_BRAND
    service: str = ""
    upstream_ms: float = 0.0
    attempts: int = 0
    status: int = 0
    kind: ErrorKind | None = None
    outcome: str = Outcome.UNKNOWN.value
    complete: bool = False

    @classmethod
    def from_scope(cls, scope: dict[str, Any]) -> "Observation":
        """Return the observation in a request's scope, or a new, unused one if there is none."""
        return scope.get(OBSERVATION) or cls()

    def record_head(self, message: Message) -> None:
        """Record the head of the answer; its last outcome header is the one of this daemon."""
        self.status = message["status"]
        for name, value in reversed(message["headers"]):
            if name == h.OUTCOME:
                self.outcome = value.decode("latin-1")
                return
        self.outcome = Outcome.RAN.value

    def record_attempt(self, latency_ms: float) -> None:
        """Record an attempt and its latency."""
        self.upstream_ms += latency_ms
        self.attempts += 1


class ObservedApp:
    """An ASGI application that counts its requests and adds them to the time line."""

    def __init__(
        self,
        app: Application,
        observer: Observer,
    ) -> None:
        self._app = app
        self._stats = observer.requests
        self._time_line = observer.time_line

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve a request with the wrapped application."""
        started_ms = monotonic_ms()
        scope[OBSERVATION] = observation = Observation()
        self._stats.in_flight += 1

        async def recording_send(message: Message) -> None:
            if message["type"] == "http.response.start":
                observation.record_head(message)
            elif not message.get("more_body", False):
                observation.complete = True
            await send(message)

        try:
            await self._app(scope, receive, recording_send)
        finally:
            self._stats.in_flight -= 1
            self._record_end(observation, started_ms)

    def _record_end(self, observation: Observation, started_ms: float) -> None:
        self._stats.retries += max(0, observation.attempts - 1)
        if not observation.complete:
            observation.outcome = Outcome.UNKNOWN.value
            observation.kind = observation.kind or ErrorKind.CONNECTION_CUT
        kind = observation.kind.value if observation.kind else ""
        latency_ms = monotonic_ms() - started_ms
        self._stats.record_end(
            observation.brand,
            observation.service,
            observation.outcome,
            kind,
            latency_ms,
            observation.upstream_ms,
        )
        detail = kind or str(observation.status)
        self._time_line.add(
            wall_ms(), _end_event(observation), request_id=observation.request_id, detail=detail
        )


def _end_event(observation: Observation) -> EventName:
    if not observation.complete:
        return EventName.REQUEST_CUT
    return EventName.REQUEST_REFUSED if observation.kind else EventName.REQUEST_ANSWERED
