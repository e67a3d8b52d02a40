"""The gateway's own answer to a request that no backend server has answered well.

Layer: transport.  The error kind says why; a refused caller is told when to come back.
"""

import random

from cloverhook.errors import ErrorKind, answer_for
from cloverhook.gateway.attempt import Outcome
from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.request_run import RequestState

__all__ = ["error_answer", "final_error_kind"]

RETRY_AFTER_RANGE_MS = (30.0, 80.0)
"""Refused callers are told to come back after a random time between these, not all at once: late
enough for a slot to come free, soon enough for the answer to be in time."""
EVACUATED_RETURN_MS = (700.0, 1_400.0)
"""While nothing can serve a request, callers come back seldom, but in time for most objectives."""

RATE_LIMITED_RETURN_MS = (150.0, 400.0)
"""Other VMs may have places left; if none has, endpoints in need are better asked less often."""
RETURNS_MS = {
    ErrorKind.EVACUATED: EVACUATED_RETURN_MS,
    ErrorKind.RATE_LIMITED: RATE_LIMITED_RETURN_MS,
}


def final_error_kind(
    run: RequestState, late: bool, evacuated: bool, known: bool, rate_limited: bool = False
) -> ErrorKind:
    """Return why a request ends without an answer of a backend server.

    `late` says that its time is over, `evacuated` that all endpoints of its service lie in
    evacuated data centres, `known` that there are endpoints at all, and `rate_limited` that they
    take no more from this VM for now.
    """
    if run.possible_executions:
        return ErrorKind.DEADLINE_IN_RUN if late else ErrorKind.CONNECTION_CUT
    if run.quarantine_left_ms > 0.0:
        return ErrorKind.QUARANTINED
    if any(item.outcome is Outcome.REJECTED for item in run.results):
        return ErrorKind.REFUSED
    if evacuated:
        return ErrorKind.EVACUATED
    if rate_limited and not run.attempts:
        return ErrorKind.RATE_LIMITED
    if run.attempts or not known:
        return ErrorKind.NO_BACKEND_SERVER
    return ErrorKind.OVERLOADED


def error_answer(kind: ErrorKind, held_ms: float = 0.0) -> CallerAnswer:
    """Return the answer for an error kind; a caller is not to come back before `held_ms`."""
    answer = answer_for(kind)
    headers = [(b"content-type", b"text/plain")]
    if answer.retry_after:
        times_ms = RETURNS_MS.get(kind, RETRY_AFTER_RANGE_MS)
        return_ms = max(random.uniform(*times_ms), held_ms)
        headers.append((b"retry-after", b"%.3f" % (return_ms / 1000)))
    return CallerAnswer(answer.status, headers, kind.value.encode())
