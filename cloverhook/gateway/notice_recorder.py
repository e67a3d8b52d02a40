"""Records what endpoints state about themselves in their responses.

Layer: transport.  A notice is recorded as soon as the head of the response has been read: its body
may take long, and other requests must not be sent there meanwhile.
"""

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.backoff_updates import BackoffUpdates
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.drain_updates import DrainUpdates
from cloverhook.gateway.endpoint_notice import EndpointNotice
from cloverhook.gateway.event_log import EventKind, EventLog

__all__ = ["NoticeRecorder"]


class NoticeRecorder:
    """Passes the notices in responses to the parts of the gateway that act on them."""

    def __init__(
        self,
        drain_updates: DrainUpdates,
        backoff_updates: BackoffUpdates,
        log: EventLog,
        counters: Counters,
    ) -> None:
        self._drain_updates = drain_updates
        self._backoff_updates = backoff_updates
        self._log = log
        self._counters = counters

    def record_response(self, server: BackendServer, notice: EndpointNotice) -> None:
        """Record the notice in the response to a request."""
        self._record(server, notice, "answer")
        if notice.backoff_ms:
            self._backoff_updates.record_rejection(
                server.incarnation, notice.backoff_ms, monotonic_ms()
            )

    def record_probe(self, server: BackendServer, notice: EndpointNotice) -> None:
        """Record the notice in the response to a probe.

        A probe that is rejected says nothing about the time in which requests would be.
        """
        self._record(server, notice, "probe")

    def record_success(self, server: BackendServer, notice: EndpointNotice, sent_ms: float) -> None:
        """Record a successful response, which also shows what does not apply any more.

        A probe doesn't show that: the health report of an endpoint may be wrong.
        """
        if not notice.leaving:
            self._drain_updates.record_no_notice(server.incarnation, sent_ms)

    def _record(self, server: BackendServer, notice: EndpointNotice, source: str) -> None:
        if notice.leaving:
            self._drain_updates.record_notice(server.incarnation, monotonic_ms(), source)
        for header in notice.invalid:
            self._counters.add("invalid_headers")
            self._log.note(
                EventKind.INVALID_HEADER,
                server=server.incarnation,
                header=header.name,
                value=header.value,
                source=source,
            )
