"""The gateway's own response to a request that no backend server has answered successfully.

Layer: transport.  The error kind is the reason.  If the request was rejected, the response has a
`Retry-After` header.
"""

import random

from cloverhook.errors import ErrorKind, answer_for
from cloverhook.gateway.attempt import Outcome
from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.request_state import RequestState

__all__ = ["error_answer", "final_error_kind"]

RETRY_AFTER_RANGE_MS = (30.0, 80.0)
"""The range of the random `Retry-After` for rejected requests; it is random so that the callers
don't all retry at once.  It is long enough for a slot to become free, and short enough for the
response to be in time."""
NO_ENDPOINT_RETRY_AFTER_MS = (700.0, 1_400.0)
"""The same while all endpoints are draining or in evacuated data centres: nothing can serve a
request, so callers retry rarely, but soon enough for most latency objectives."""

RATE_LIMITED_RETRY_AFTER_MS = (150.0, 400.0)
"""The same when this VM's share of the endpoints' rate limits is used up: another VM may have some
of its share left, and if none has, endpoints under strain should get fewer requests."""
BACKOFF_RETRY_AFTER_MS = (20.0, 300.0)
"""The same while all endpoints want no requests, counted from when the first of them takes requests
again: callers that all return at that moment would be too many for it."""
UNREACHABLE_RETRY_AFTER_MS = (200.0, 500.0)
"""The same while no endpoint is reached: by then the links have been checked again."""
OUTDATED_RETRY_AFTER_MS = (100.0, 300.0)
"""The same while a newer configuration is on its way to this VM."""
STOPPING_RETRY_AFTER_MS = (5.0, 30.0)
"""The same while this gateway stops: another one can serve the request at once."""
MEMORY_FULL_RETRY_AFTER_MS = (500.0, 2_000.0)
"""The same while large bodies of other requests take up the memory: receiving one takes seconds."""
RETRY_AFTER_BY_KIND_MS = {
    ErrorKind.MEMORY_FULL: MEMORY_FULL_RETRY_AFTER_MS,
    ErrorKind.STOPPING: STOPPING_RETRY_AFTER_MS,
    ErrorKind.OUTDATED: OUTDATED_RETRY_AFTER_MS,
    ErrorKind.UNREACHABLE: UNREACHABLE_RETRY_AFTER_MS,
    ErrorKind.BACKING_OFF: BACKOFF_RETRY_AFTER_MS,
    ErrorKind.EVACUATED: NO_ENDPOINT_RETRY_AFTER_MS,
    ErrorKind.DRAINING: NO_ENDPOINT_RETRY_AFTER_MS,
    ErrorKind.RATE_LIMITED: RATE_LIMITED_RETRY_AFTER_MS,
}
PASSING_REASONS = frozenset((ErrorKind.RATE_LIMITED,))
"""Reasons that may have begun to apply only after a request was attempted."""


def final_error_kind(
    state: RequestState,
    late: bool,
    known: bool,
    unavailable: ErrorKind | None,
    stopping: bool = False,
) -> ErrorKind:
    """Return why a request ends without a response from a backend server.

    `late` means that its deadline has passed, `known` that its service has any endpoints, and
    `stopping` that a planned stop leaves too little time for it.  `unavailable` is why none of the
    endpoints takes requests of this VM at present, if that is so.
    """
    if state.possible_executions:
        return ErrorKind.DEADLINE_IN_RUN if late else ErrorKind.CONNECTION_CUT
    if stopping:
        return ErrorKind.STOPPING
    if state.quarantine_left_ms > 0.0:
        return ErrorKind.QUARANTINED
    if unavailable is ErrorKind.BACKING_OFF:
        return ErrorKind.BACKING_OFF
    if any(item.outcome is Outcome.REJECTED for item in state.results):
        return ErrorKind.REFUSED
    if unavailable is not None and (unavailable not in PASSING_REASONS or not state.attempts):
        return unavailable
    if state.attempts or state.proxied or not known:
        return ErrorKind.NO_BACKEND_SERVER
    return ErrorKind.OVERLOADED


def error_answer(kind: ErrorKind, unavailable_ms: float = 0.0) -> CallerAnswer:
    """Return the response for an error kind.

    `Retry-After`, if there is one, counts from `unavailable_ms` on: until then the request would be
    rejected again.
    """
    answer = answer_for(kind)
    headers = [(b"content-type", b"text/plain")]
    if answer.retry_after:
        range_ms = RETRY_AFTER_BY_KIND_MS.get(kind, RETRY_AFTER_RANGE_MS)
        retry_after_ms = unavailable_ms + random.uniform(*range_ms)
        headers.append((b"retry-after", b"%.3f" % (retry_after_ms / 1000)))
    return CallerAnswer(answer.status, headers, kind.value.encode())
