"""What a backend server reports about itself in the head of an answer to cloverhookd.

Layer: protocol.

>>> reports_in(200, [(b"cloverhook-leaving", b"1")])
(<EndpointReport.DRAINING: 'draining'>,)
>>> reports_in(200, [(b"cloverhook-leaving", b"soon")])
(<EndpointReport.INVALID: 'invalid'>,)
"""

from enum import Enum

from cloverhook import headers as h
from cloverhook.errors import Outcome

__all__ = ["EndpointReport", "is_rejection", "reports_in"]

REJECTION_STATUS = 503
LEAVING_VALUE = b"1"


class EndpointReport(Enum):
    """A report; the values are labels of a metric."""

    DRAINING = "draining"
    BACKING_OFF = "backing-off"
    INVALID = "invalid"


def is_rejection(status: int, headers: h.Headers) -> bool:
    """Return whether a backend server rejects a request that it has not run.

    An answer with an error kind comes from a daemon further down a chain of calls, and the backend
    server only forwarded it: it says nothing about the backend server's own work.
    """
    rejected = status == REJECTION_STATUS and h.outcome_of(headers) is Outcome.NOT_RUN
    return rejected and h.find(headers, h.ERROR) is None


def reports_in(status: int, headers: h.Headers) -> tuple[EndpointReport, ...]:
    """Return the reports in the head of an answer; one that is invalid is to be ignored."""
    found = []
    leaving = h.find(headers, h.LEAVING)
    if leaving is not None:
        is_valid = leaving == LEAVING_VALUE
        found.append(EndpointReport.DRAINING if is_valid else EndpointReport.INVALID)
    if status == REJECTION_STATUS:
        backoff_ms = h.backoff_ms_of(headers)
        if backoff_ms is None:
            found.append(EndpointReport.INVALID)
        elif backoff_ms and is_rejection(status, headers):
            found.append(EndpointReport.BACKING_OFF)
    return tuple(found)
