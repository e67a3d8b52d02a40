"""The events that a service router processes, and the actions that it returns.

Layer: coordination.  All of them are immutable.  Points in time are in milliseconds on the
router's clock.
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
    "DrainReported",
    "EndpointsChanged",
    "Event",
    "GroupShareChanged",
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

    Only `NOT_SENT` and `REFUSED` guarantee that the request did not run.
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
    """A request has arrived; `deadline_ms` is a point in time on the router's clock.

    `attempt` is greater than 1 if the caller is itself a retrying layer and this is one of its
    retries.  Such a request adds nothing to the retry budget and is not retried here.
    """

    request_id: str
    priority: Priority
    deadline_ms: float
    idempotent: bool
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended, after `latency_ms`.

    `load` is the number of requests in flight that the answer reported, and `server_draining` says
    whether the answer announced that the backend server is draining.  If `wants_retry` is set, the
    request has not been answered yet and needs another attempt, which the router starts only if the
    result allows it.  A backend server that has rejected the request wants no further ones of this
    VM for `backoff_ms`.
    """

    request_id: str
    address: str
    result: AttemptResult
    latency_ms: float
    load: int | None = None
    wants_retry: bool = False
    server_draining: bool = False
    backoff_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class DrainReported:
    """A backend server has reported that it is draining, in the head of an answer."""

    address: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of a queued request has disconnected."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The active configuration assigns the service these endpoints and this policy."""

    endpoints: tuple[Endpoint, ...]
    policy: Policy


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed, so deadlines, wait limits and expiry times need to be checked."""


@dataclass(frozen=True, slots=True)
class HomesChanged:
    """The home VMs, to which the service's callers are directed, have changed.

    `own_vm` is the name of this daemon's VM.  `data_centers` gives the data centre of each VM named
    here, as far as it is known.
    """

    own_vm: str
    homes: tuple[str, ...]
    data_centers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GroupShareChanged:
    """This VM and those that it reaches are now this share of the fleet.

    They use that share of what all VMs together may spend on probes: VMs that they don't reach may
    own the same endpoints.
    """

    share: float


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another VM has sent a message about this service."""

    vm: str
    message: Message


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended after `latency_ms`; `load` is None if it reported none.

    `draining` is the result of a health probe, and None for a load probe or a failed one.
    """

    address: str
    load: int | None
    latency_ms: float
    draining: bool | None = None


Event = (
    Arrival
    | AttemptEnded
    | CallerDisconnected
    | DrainReported
    | EndpointsChanged
    | GroupShareChanged
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
    """Give a request its final answer without another attempt."""

    request_id: str
    kind: ErrorKind
    retry_after_ms: float = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe an endpoint for its load or, if `health` is set, for whether it is draining."""

    address: str
    health: bool = False


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message about this service to another VM."""

    vm: str
    message: Message


Action = Start | Reject | Probe | SendMessage
