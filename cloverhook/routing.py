"""Which endpoint gets which request, and when: the decisions for one service in one daemon.

Layer: coordination, and free of input and output: `ServiceRouter.handle` takes a typed event and
the time, and returns typed actions.  The clock and the random source are passed in, so a
benchmark, a test and the daemon all drive the same object.

>>> import random
>>> from cloverhook.fleet import Endpoint, Policy
>>> router = ServiceRouter(random.Random(1))
>>> router.handle(EndpointsChanged((Endpoint("10.0.0.1:80", "papine", slots=1),), Policy()), 0.0)
()
>>> router.handle(Arrival("r1", Priority.HIGH, deadline_ms=100.0, idempotent=True), 0.0)
(Start(request_id='r1', address='10.0.0.1:80'),)
"""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from cloverhook.errors import ErrorKind
from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.messages import Message

__all__ = [
    "Action",
    "Arrival",
    "AttemptEnded",
    "AttemptResult",
    "CallerGone",
    "EndpointsChanged",
    "Event",
    "HomesChanged",
    "PeerSaid",
    "Probe",
    "ProbeEnded",
    "Refuse",
    "ServiceRouter",
    "Start",
    "Tell",
    "Tick",
]

MAX_ATTEMPTS = 3


class AttemptResult(Enum):
    """How an attempt at a backend server ended.

    `NOT_SENT` and `REFUSED` are the only ones after which it is certain that the request did not
    run.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    CUT = "cut"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


NOT_RUN_RESULTS = frozenset((AttemptResult.REFUSED, AttemptResult.NOT_SENT))


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request has arrived; `deadline_ms` is a point on the router's clock."""

    request_id: str
    priority: Priority
    deadline_ms: float
    idempotent: bool


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended, after `latency_ms`.

    `load` is the number of requests in flight that the answer carried.  With `again`, the
    request has not been answered yet and wants another attempt, which the router starts only
    where the result allows it.
    """

    request_id: str
    address: str
    result: AttemptResult
    latency_ms: float
    load: int | None = None
    again: bool = False


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller of a waiting request has gone."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The configuration in force gives the service these endpoints and this policy."""

    endpoints: tuple[Endpoint, ...]
    policy: Policy


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: deadlines and limits of waiting are looked at."""


@dataclass(frozen=True, slots=True)
class HomesChanged:
    """The VMs that the service's callers gather on have changed; `own_vm` is this daemon's name."""

    own_vm: str
    homes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerSaid:
    """Another VM has sent a message about this service."""

    vm: str
    message: Message


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended after `latency_ms`; `load` is None when it gave no answer."""

    address: str
    load: int | None
    latency_ms: float


Event = (
    Arrival
    | AttemptEnded
    | CallerGone
    | EndpointsChanged
    | HomesChanged
    | PeerSaid
    | ProbeEnded
    | Tick
)


@dataclass(frozen=True, slots=True)
class Start:
    """Send a request to an endpoint."""

    request_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give a request its final answer without running it (again)."""

    request_id: str
    kind: ErrorKind
    retry_after_ms: float = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an endpoint for its load."""

    address: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message about this service to another VM."""

    vm: str
    message: Message


Action = Start | Refuse | Probe | Tell


@dataclass(slots=True)
class _EndpointState:
    endpoint: Endpoint
    in_flight: int = 0
    gone: bool = False

    @property
    def has_room(self) -> bool:
        return not self.gone and not self.endpoint.leaving and self.in_flight < self.endpoint.slots


@dataclass(slots=True)
class _Request:
    arrival: Arrival
    arrived_ms: float
    attempts: int = 0


class ServiceRouter:
    """The decisions for one service."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._policy = Policy()
        self._endpoints: dict[str, _EndpointState] = {}
        self._requests: dict[str, _Request] = {}
        self._waiting: dict[Priority, deque[str]] = {priority: deque() for priority in Priority}

    @singledispatchmethod
    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        """Take an event at a time in milliseconds and return the actions it calls for."""
        raise TypeError(f"not an event: {event!r}")

    @handle.register
    def _(self, event: Arrival, now_ms: float) -> tuple[Action, ...]:
        request = _Request(event, now_ms)
        self._requests[event.request_id] = request
        return self._place(request, now_ms)

    @handle.register
    def _(self, event: AttemptEnded, now_ms: float) -> tuple[Action, ...]:
        state = self._endpoints.get(event.address)
        if state is not None:
            state.in_flight -= 1
        actions: list[Action] = []
        if event.again:
            actions.extend(self._retry(event, now_ms))
        else:
            self._requests.pop(event.request_id, None)
        actions.extend(self._start_waiting(now_ms))
        return tuple(actions)

    @handle.register
    def _(self, event: CallerGone, now_ms: float) -> tuple[Action, ...]:
        self._requests.pop(event.request_id, None)
        return ()

    @handle.register
    def _(self, event: EndpointsChanged, now_ms: float) -> tuple[Action, ...]:
        self._policy = event.policy
        fresh = {endpoint.address: endpoint for endpoint in event.endpoints}
        for address, state in self._endpoints.items():
            state.gone = address not in fresh
        for address, endpoint in fresh.items():
            if address in self._endpoints:
                self._endpoints[address].endpoint = endpoint
            else:
                self._endpoints[address] = _EndpointState(endpoint)
        return self._start_waiting(now_ms)

    @handle.register
    def _(self, event: HomesChanged, now_ms: float) -> tuple[Action, ...]:
        return ()

    @handle.register
    def _(self, event: PeerSaid, now_ms: float) -> tuple[Action, ...]:
        return ()

    @handle.register
    def _(self, event: ProbeEnded, now_ms: float) -> tuple[Action, ...]:
        return ()

    @handle.register
    def _(self, event: Tick, now_ms: float) -> tuple[Action, ...]:
        late: list[Action] = []
        for queue in self._waiting.values():
            for request_id in tuple(queue):
                refusal = self._refusal(request_id, now_ms)
                if refusal is not None:
                    queue.remove(request_id)
                    del self._requests[request_id]
                    late.append(refusal)
        return tuple(late)

    def _place(self, request: _Request, now_ms: float) -> tuple[Action, ...]:
        if all(state.gone for state in self._endpoints.values()):
            del self._requests[request.arrival.request_id]
            return (Refuse(request.arrival.request_id, ErrorKind.NO_BACKEND_SERVER, 1_000),)
        state = self._choose()
        if state is not None:
            return (self._start(request, state),)
        self._waiting[request.arrival.priority].append(request.arrival.request_id)
        return ()

    def _choose(self) -> _EndpointState | None:
        free = [state for state in self._endpoints.values() if state.has_room]
        if not free:
            return None
        least = min(state.in_flight for state in free)
        return self._random.choice([state for state in free if state.in_flight == least])

    def _start(self, request: _Request, state: _EndpointState) -> Start:
        request.attempts += 1
        state.in_flight += 1
        return Start(request.arrival.request_id, state.endpoint.address)

    def _retry(self, event: AttemptEnded, now_ms: float) -> tuple[Action, ...]:
        request = self._requests.get(event.request_id)
        if request is None:
            return ()
        may_run_again = event.result in NOT_RUN_RESULTS or request.arrival.idempotent
        if may_run_again and request.attempts < MAX_ATTEMPTS:
            return self._place(request, now_ms)
        del self._requests[event.request_id]
        return (Refuse(event.request_id, _kind_of(event.result), 1_000),)

    def _start_waiting(self, now_ms: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for queue in self._waiting.values():
            while queue:
                request = self._requests.get(queue[0])
                if request is None:
                    queue.popleft()
                    continue
                state = self._choose()
                if state is None:
                    return tuple(actions)
                queue.popleft()
                actions.append(self._start(request, state))
        return tuple(actions)

    def _refusal(self, request_id: str, now_ms: float) -> Refuse | None:
        request = self._requests.get(request_id)
        if request is None:
            return None
        if now_ms >= request.arrival.deadline_ms:
            return Refuse(request_id, ErrorKind.DEADLINE_BEFORE_RUN)
        if now_ms - request.arrived_ms >= self._policy.wait_limit_ms:
            return Refuse(request_id, ErrorKind.OVERLOADED, 1_000)
        return None


def _kind_of(result: AttemptResult) -> ErrorKind:
    if result is AttemptResult.REFUSED:
        return ErrorKind.REFUSED
    if result is AttemptResult.NOT_SENT:
        return ErrorKind.NO_BACKEND_SERVER
    if result is AttemptResult.TIMED_OUT:
        return ErrorKind.DEADLINE_IN_RUN
    return ErrorKind.CONNECTION_CUT
