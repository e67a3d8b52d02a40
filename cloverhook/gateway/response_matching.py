"""Tells to which exchange of a connection a response belongs.

Layer: transport.  An endpoint may send a response a second time, in place of the next one on the
connection.  The order of the responses therefore doesn't show what each of them answers; the
request identifier does, which an endpoint repeats in the response to a request.  The response to a
probe names the endpoint instead.
"""

from collections.abc import Callable

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import CallHeaders, find
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.upstream_connection import AnswerHead

__all__ = ["ResponseMatcher"]

FAILURE_STATUS_MIN = 500
MISDIRECTED_REQUEST = 421


class ResponseMatcher:
    """Decides which responses belong to an exchange, and records the others."""

    def __init__(self, names: CallHeaders, log: EventLog, counters: Counters) -> None:
        self._names = names
        self._log = log
        self._counters = counters

    def for_request(self, server: BackendServer, request_id: bytes) -> Callable[[AnswerHead], bool]:
        """Return the check whether a response ends the exchange of a request.

        An unidentified failure does: it may be the response, and waiting for another one could take
        until the deadline.  `is_unidentified` tells that it must not be read as the response.
        """

        def matches(head: AnswerHead) -> bool:
            if find(head.headers, self._names.request_id) == request_id:
                return True
            if self._is_misdirected(head):
                return True
            taken = self.is_unidentified(head) and head.status >= FAILURE_STATUS_MIN
            self._record(server, head, "request", taken)
            return taken

        return matches

    def for_probe(self, server: BackendServer) -> Callable[[AnswerHead], bool]:
        """Return the check whether a response belongs to a probe, which has no identifier."""

        def matches(head: AnswerHead) -> bool:
            if find(head.headers, self._names.request_id) is None:
                return True
            self._record(server, head, "probe", taken=False)
            return False

        return matches

    def is_unidentified(self, head: AnswerHead) -> bool:
        """Return whether a response names neither a request nor, like one to a probe, the endpoint.

        It doesn't show that any particular request has ended, or has not run.
        """
        names = (self._names.request_id, self._names.incarnation)
        return all(find(head.headers, name) is None for name in names)

    def _is_misdirected(self, head: AnswerHead) -> bool:
        """Return whether an endpoint says that it is not the one that the request is for.

        This answers only requests, and holds for all of them on a connection.
        """
        named = find(head.headers, self._names.request_id)
        return named is None and head.status == MISDIRECTED_REQUEST

    def _record(self, server: BackendServer, head: AnswerHead, exchange: str, taken: bool) -> None:
        self._counters.add("unmatched_responses", exchange=exchange, taken=str(taken).lower())
        self._log.note(
            EventKind.UNMATCHED_RESPONSE,
            server=server.incarnation,
            exchange=exchange,
            status=head.status,
            named_request=(find(head.headers, self._names.request_id) or b"").decode("latin-1"),
            named_server=(find(head.headers, self._names.incarnation) or b"").decode("latin-1"),
            taken=taken,
        )
