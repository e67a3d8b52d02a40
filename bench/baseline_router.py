"""Routers that use the load-balancing algorithms with which cloverhook is compared.

They start every request immediately, use only the state of their own daemon, and retry a request
only where that is safe.  They have the interface of `cloverhook.routing.ServiceRouter`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from cloverhook.endpoint_stats import EndpointState
from cloverhook.errors import ErrorKind
from cloverhook.routing_events import (
    Action,
    Arrival,
    AttemptEnded,
    AttemptResult,
    CallerDisconnected,
    EndpointsChanged,
    Event,
    Reject,
    Start,
)

__all__ = ["ALGORITHMS", "BaselineRouter"]

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1_000
NOT_RUN = frozenset((AttemptResult.REFUSED, AttemptResult.NOT_SENT))
KINDS = {
    AttemptResult.REFUSED: ErrorKind.REFUSED,
    AttemptResult.NOT_SENT: ErrorKind.NO_BACKEND_SERVER,
    AttemptResult.TIMED_OUT: ErrorKind.DEADLINE_IN_RUN,
}


@dataclass(slots=True)
class _Request:
    idempotent: bool
    attempts: int = 0


class BaselineRouter:
    """Makes the decisions for one service with one load-balancing algorithm."""

    def __init__(self, algorithm: "Way", source: random.Random) -> None:
        self._algorithm = algorithm
        self.random = source
        self.addresses: list[str] = []
        self.in_flight: dict[str, int] = {}
        self.started = 0
        self._requests: dict[str, _Request] = {}

    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Handle an event and return the resulting actions."""
        match event:
            case EndpointsChanged():
                self.addresses = [item.address for item in event.endpoints if not item.leaving]
            case Arrival():
                self._requests[event.request_id] = _Request(event.idempotent)
                return (self._start(event.request_id),)
            case AttemptEnded():
                return self._handle_end(event)
            case CallerDisconnected():
                self._requests.pop(event.request_id, None)
        return ()

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Return None: no wake-up is needed."""
        del now_ms

    def owns(self, address: str) -> bool:
        """Return False: these algorithms assign no endpoint to an owner VM."""
        del address
        return False

    def state_of(self, address: str, now_ms: float) -> EndpointState:
        """Return `WELL`: these algorithms put no endpoint on probation."""
        del address, now_ms
        return EndpointState.WELL

    def _handle_end(self, event: AttemptEnded) -> tuple[Action, ...]:
        self.in_flight[event.address] -= 1
        request = self._requests.get(event.request_id)
        if request is None or not event.wants_retry:
            self._requests.pop(event.request_id, None)
            return ()
        may_run_again = event.result in NOT_RUN or request.idempotent
        if may_run_again and request.attempts < MAX_ATTEMPTS:
            return (self._start(event.request_id),)
        del self._requests[event.request_id]
        kind = KINDS.get(event.result, ErrorKind.CONNECTION_CUT)
        return (Reject(event.request_id, kind, RETRY_AFTER_MS),)

    def _start(self, request_id: str) -> Action:
        if not self.addresses:
            del self._requests[request_id]
            return Reject(request_id, ErrorKind.NO_BACKEND_SERVER, RETRY_AFTER_MS)
        address = self._algorithm(self)
        self._requests[request_id].attempts += 1
        self.started += 1
        self.in_flight[address] = self.in_flight.get(address, 0) + 1
        return Start(request_id, address)


Way = Callable[[BaselineRouter], str]


def _at_random(router: BaselineRouter) -> str:
    return router.random.choice(router.addresses)


def _round_robin(router: BaselineRouter) -> str:
    return router.addresses[router.started % len(router.addresses)]


def _least_of(router: BaselineRouter, addresses: list[str]) -> str:
    least = min(router.in_flight.get(address, 0) for address in addresses)
    ties = [address for address in addresses if router.in_flight.get(address, 0) == least]
    return router.random.choice(ties)


def _least_in_flight(router: BaselineRouter) -> str:
    return _least_of(router, router.addresses)


def _best_of_two(router: BaselineRouter) -> str:
    count = min(2, len(router.addresses))
    return _least_of(router, router.random.sample(router.addresses, count))


ALGORITHMS: dict[str, Way] = {
    "random": _at_random,
    "round-robin": _round_robin,
    "least-in-flight": _least_in_flight,
    "best-of-two": _best_of_two,
}
