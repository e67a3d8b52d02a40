"""The exceptions of the project, and the table that maps error kinds to answers.

Layer: state.  Only this table determines the status that a caller receives for an error: a module
raises a `RequestError` with a kind from the closed list `ErrorKind`, and the callers' listener
looks the kind up in `ANSWERS`.

For example, the answer when no backend server has started a request before its deadline passes:

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
    "ConnectError",
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
    """What is certain about a request: it did not run, it ran, or it is unknown which."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """The closed list of reasons why a request ends without an answer of a backend server."""

    BAD_REQUEST = "bad-request"
    BAD_REQUEST_IN_RUN = "bad-request-in-run"
    HEADERS_TIMED_OUT = "headers-timed-out"
    BODY_TIMED_OUT = "body-timed-out"
    UNKNOWN_HOST = "unknown-host"
    FORBIDDEN = "forbidden"
    UNKNOWN_KEY = "unknown-key"
    OVER_ALLOTMENT = "over-allotment"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_LARGE_IN_RUN = "body-too-large-in-run"
    HEADERS_TOO_LARGE = "headers-too-large"
    OVERLOADED = "overloaded"
    NO_BACKEND_SERVER = "no-backend-server"
    OUTDATED = "outdated"
    UNREACHABLE = "unreachable"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    BACKING_OFF = "backing-off"
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
    MEMORY_FULL = "memory-full"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer that a caller receives for an error kind.

    `retry_after` is whether the answer says when the caller may retry.
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
    ErrorKind.UNKNOWN_KEY: Answer(401, Outcome.NOT_RUN),
    ErrorKind.OVER_ALLOTMENT: Answer(429, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE_IN_RUN: Answer(413, Outcome.UNKNOWN),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, Outcome.NOT_RUN),
    ErrorKind.OVERLOADED: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.NO_BACKEND_SERVER: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.OUTDATED: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.UNREACHABLE: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.EVACUATED: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.DRAINING: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.BACKING_OFF: Answer(503, Outcome.NOT_RUN, retry_after=True),
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
    ErrorKind.MEMORY_FULL: Answer(503, Outcome.NOT_RUN, retry_after=True),
    ErrorKind.INTERNAL: Answer(500, Outcome.UNKNOWN),
}


def answer_for(kind: ErrorKind) -> Answer:
    """Return the answer that a caller receives for an error kind."""
    return ANSWERS[kind]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault in settings or configuration: its key, the value found and what is allowed."""

    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: found {self.found}; allowed: {self.allowed}"


class CloverhookError(Exception):
    """The base class of the project's exceptions."""


class ConfigError(CloverhookError):
    """An invalid configuration.  `faults` holds all of its faults."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(ConfigError):
    """An invalid settings file of a daemon or of the tool."""


class PlatformError(CloverhookError):
    """A call to the platform that failed without effect, unless it is a `PlatformSilentError`."""


class PlatformSilentError(PlatformError):
    """A call to the platform without a definite answer: it may or may not have had its effect."""


class MessageError(CloverhookError):
    """A message between daemons, or a record, that can't be decoded."""


class AuthenticationError(CloverhookError):
    """A peer or operator that failed to authenticate."""


class UpstreamError(CloverhookError):
    """A failed exchange with a backend server.

    `sent` is False only when it is certain that no byte of the request left this process.
    `bad_answer` is whether the backend server's answer was not valid HTTP.
    """

    def __init__(self, reason: str, sent: bool, bad_answer: bool = False) -> None:
        super().__init__(reason)
        self.sent = sent
        self.bad_answer = bad_answer


class ConnectError(UpstreamError):
    """A connection to a backend server that could not be opened.

    `refused` is whether its address refused the connection; otherwise there was no answer in time.
    """

    def __init__(self, reason: str, refused: bool) -> None:
        super().__init__(reason, sent=False)
        self.refused = refused


class RequestError(CloverhookError):
    """The end of a request with an error kind.  `retry_after_ms` is 0 if there is none."""

    def __init__(self, kind: ErrorKind, detail: str = "", retry_after_ms: float = 0) -> None:
        super().__init__(detail or kind.value)
        self.kind = kind
        self.retry_after_ms = retry_after_ms
