"""Records which endpoints say in their responses that they are about to stop.

Layer: transport.
"""

from cloverhook.gateway.counters import Counters
from cloverhook.gateway.drain_notices import DrainNotices
from cloverhook.gateway.event_log import EventKind, EventLog

__all__ = ["DrainUpdates"]


class DrainUpdates:
    """Applies the notices in responses to this VM."""

    def __init__(self, notices: DrainNotices, log: EventLog, counters: Counters) -> None:
        self.notices = notices
        self._log = log
        self._counters = counters

    def record_notice(self, incarnation: str, at_ms: float, source: str) -> None:
        """Record that an endpoint has said in a response that it is about to stop."""
        if self.notices.record(incarnation, at_ms, at_ms):
            self._record_change(incarnation, True, source)

    def record_no_notice(self, incarnation: str, sent_ms: float) -> None:
        """Record a successful response without a notice, to a request sent at `sent_ms`."""
        if self.notices.revoke(incarnation, sent_ms):
            self._record_change(incarnation, False, "answer")

    def expire(self, now_ms: float) -> None:
        """End the notices that have not been repeated for long."""
        for incarnation in self.notices.expire(now_ms):
            self._record_change(incarnation, False, "age")

    def _record_change(self, incarnation: str, leaving: bool, source: str) -> None:
        self._log.note(EventKind.DRAINING, server=incarnation, leaving=leaving, source=source)
        if leaving:
            self._counters.add("drain_notices_received", source=_source_kind(source))


def _source_kind(source: str) -> str:
    """Return the source for a metric, which must not have a label value for each VM."""
    return source if source in ("answer", "probe") else "peer"
