"""The events that a service's router takes, and the actions that it returns.

Layer: coordination.  All of them are frozen; a time is a point on the router's clock, in
milliseconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from cloverhook.errors import ErrorKind
from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.messages import Message

__all__ = [
    "FINAL_KINDS",
    "NOT_RUN_RESULTS",
    "Action",
    "Arrival",
    "AttemptEnded",
    "AttemptResult",
    "CallerDisconnected",
    "EndpointsChanged",
    "Event",
    "HomesChanged",
    "PeerMessageReceived",
    "Probe",
    "ProbeEnded",
    "Reject",
    "SendMessage",
    "Start",
    "Tick",
]


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

FINAL_KINDS = {
    AttemptResult.REFUSED: ErrorKind.REFUSED,
    AttemptResult.NOT_SENT: ErrorKind.NO_BACKEND_SERVER,
    AttemptResult.TIMED_OUT: ErrorKind.DEADLINE_IN_RUN,
}


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request has arrived; `deadline_ms` is a point on the router's clock.

    `attempt` is above 1 when the caller is itself a retrying layer and sends the request again:
    such a request earns no retries here.
    """

    request_id: str
    priority: Priority
    deadline_ms: float
    idempotent: bool
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended, after `latency_ms`.

    `load` is the number of requests in flight that the answer carried, and `server_draining`
    whether it said that the backend server is leaving.  With `wants_retry`, the request has not
    been answered yet and wants another attempt, which the router starts only where the result
    allows it.
    """

    request_id: str
    address: str
    result: AttemptResult
    latency_ms: float
    load: int | None = None
    wants_retry: bool = False
    server_draining: bool = False


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
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
    """The VMs that the service's callers gather on have changed; `own_vm` is this daemon's name.

    `data_centers` gives the data centre of each VM named, as far as it is known.
    """

    own_vm: str
    homes: tuple[str, ...]
    data_centers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another VM has sent a message about this service."""

    vm: str
    message: Message


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended after `latency_ms`; `load` is None when it told none.

    `draining` is what a probe of the endpoint's health has found, and else None.
    """

    address: str
    load: int | None
    latency_ms: float
    draining: bool | None = None


Event = (
    Arrival
    | AttemptEnded
    | CallerDisconnected
    | EndpointsChanged
    | HomesChanged
    | PeerMessageReceived
    | ProbeEnded
    | Tick
)


@dataclass(frozen=True, slots=True)
class Start:
    """Send a request to an endpoint."""

    request_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Give a request its final answer without running it (again)."""

    request_id: str
    kind: ErrorKind
    retry_after_ms: float = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an endpoint for its load, or with `health` whether it is draining."""

    address: str
    health: bool = False


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message about this service to another VM."""

    vm: str
    message: Message


Action = Start | Reject | Probe | SendMessage
