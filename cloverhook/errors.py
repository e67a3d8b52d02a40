"""Every error the project raises, and the one table from error kind to answer.

Layer: state.  Nothing else in the package decides which status a caller sees: a part raises a
`RequestError` with a kind from the closed list `ErrorKind`, and the callers' listener looks the
kind up in `ANSWERS`.

For example, a request that no backend server has started when its deadline passes:

>>> answer_for(ErrorKind.DEADLINE_BEFORE_RUN).outcome.value
'not-run'
"""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "ANSWERS",
    "Answer",
    "AuthenticationError",
    "CloverhookError",
    "ConfigError",
    "ErrorKind",
    "Fault",
    "MessageError",
    "Outcome",
    "PlatformError",
    "PlatformSilentError",
    "RequestError",
    "SettingsError",
    "UpstreamError",
    "answer_for",
]


class Outcome(Enum):
    """What is certain about a request: it did not run, it ran, or nobody can tell."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """The closed list of reasons for which a request ends without its backend server's answer."""

    BAD_REQUEST = "bad-request"
    BAD_REQUEST_IN_RUN = "bad-request-in-run"
    HEADERS_TIMED_OUT = "headers-timed-out"
    BODY_TIMED_OUT = "body-timed-out"
    UNKNOWN_HOST = "unknown-host"
    FORBIDDEN = "forbidden"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_LARGE_IN_RUN = "body-too-large-in-run"
    HEADERS_TOO_LARGE = "headers-too-large"
    OVERLOADED = "overloaded"
    NO_BACKEND_SERVER = "no-backend-server"
    EVACUATED = "evacuated"
    RATE_LIMITED = "rate-limited"
    QUARANTINED = "quarantined"
    REFUSED = "refused"
    DEADLINE_BEFORE_RUN = "deadline-before-run"
    DEADLINE_IN_RUN = "deadline-in-run"
    CONNECTION_CUT = "connection-cut"
    BAD_ANSWER = "bad-answer"
    CALLER_GONE = "caller-gone"
    REPEATED = "repeated"
    REPEAT_UNSETTLED = "repeat-unsettled"
    LOG_UNAVAILABLE = "log-unavailable"
    STOPPING = "stopping"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """How an error kind is told to a caller.

    `retry_after` says whether the answer carries a time to come back.
    """

    status: int
    outcome: Outcome
    retry_after: bool = False


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Outcome.NOT_RUN),
    ErrorKind.BAD_REQUEST_IN_RUN: Answer(400, Outcome.UNKNOWN),
    ErrorKind.HEADERS_TIMED_OUT: Answer(408, Outcome.NOT_RUN),
    ErrorKind.BODY_TIMED_OUT: Answer(408, Outcome.UNKNOWN),
    ErrorKind.UNKNOWN_HOST: Answer(404, Outcome.NOT_RUN),
    ErrorKind.FORBIDDEN: Answer(403, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE_IN_RUN: Answer(413, Outcome.UNKNOWN),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, Outcome.NOT_RUN),
    ErrorKind.OVERLOADED: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.NO_BACKEND_SERVER: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.EVACUATED: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.RATE_LIMITED: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.QUARANTINED: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.REFUSED: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.DEADLINE_BEFORE_RUN: Answer(504, Outcome.NOT_RUN),
    ErrorKind.DEADLINE_IN_RUN: Answer(504, Outcome.UNKNOWN),
    ErrorKind.CONNECTION_CUT: Answer(502, Outcome.UNKNOWN),
    ErrorKind.BAD_ANSWER: Answer(502, Outcome.UNKNOWN),
    ErrorKind.CALLER_GONE: Answer(499, Outcome.UNKNOWN),
    ErrorKind.REPEATED: Answer(409, Outcome.RAN),
    ErrorKind.REPEAT_UNSETTLED: Answer(409, Outcome.UNKNOWN),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, Outcome.UNKNOWN, retry_after=True),
    ErrorKind.STOPPING: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.INTERNAL: Answer(500, Outcome.UNKNOWN),
}


def answer_for(kind: ErrorKind) -> Answer:
    """Return the answer a caller gets for an error kind."""
    return ANSWERS[kind]


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in settings or configuration: its key, what was found and what is allowed."""

    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: found {self.found}; allowed: {self.allowed}"


class CloverhookError(Exception):
    """The root of the project's exceptions."""


class ConfigError(CloverhookError):
    """A configuration that is not valid.  `faults` holds all of its faults at once."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(ConfigError):
    """A daemon's or tool's settings file that is not valid."""


class PlatformError(CloverhookError):
    """The platform answered with an error: the call had no effect."""


class PlatformSilentError(PlatformError):
    """The platform gave no answer: the call may or may not have had its effect."""


class MessageError(CloverhookError):
    """A message between daemons that can't be decoded."""


class AuthenticationError(CloverhookError):
    """A peer or operator that did not prove itself."""


class UpstreamError(CloverhookError):
    """An exchange with a backend server that failed.

    `sent` is False only when it is certain that no byte of the request left this process.
    `bad_answer` says that the backend server's answer was not valid HTTP.
    """

    def __init__(self, reason: str, sent: bool, bad_answer: bool = False) -> None:
        super().__init__(reason)
        self.sent = sent
        self.bad_answer = bad_answer


class RequestError(CloverhookError):
    """A request that ends with an error kind.  `retry_after_ms` is 0 where there is none."""

    def __init__(self, kind: ErrorKind, detail: str = "", retry_after_ms: float = 0) -> None:
        super().__init__(detail or kind.value)
        self.kind = kind
        self.retry_after_ms = retry_after_ms
