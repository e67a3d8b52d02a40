"""The metrics of a daemon's links and members.

Layer: transport.
"""

from aioprometheus import Counter, Gauge, Registry

__all__ = ["ClusterMetrics"]


class ClusterMetrics:
    """Counters and gauges, kept in the daemon's registry."""

    def __init__(self, registry: Registry) -> None:
        self._strangers = Counter(
            "cloverhook_refused_strangers", "Links whose other side did not prove itself."
        )
        self._pauses = Counter("cloverhook_pauses", "Times that this process was paused.")
        self._dropped = Gauge(
            "cloverhook_dropped_messages", "Messages to peers that a full queue has dropped."
        )
        self._links = Gauge("cloverhook_peer_links", "Open links to peers.")
        self._members = Gauge("cloverhook_members", "VMs that callers may be sent to.")
        for metric in (self._strangers, self._pauses, self._dropped, self._links, self._members):
            registry.register(metric)
        self._strangers.set({}, 0)
        self._pauses.set({}, 0)

    def stranger_refused(self) -> None:
        """Count a stranger."""
        self._strangers.inc({})

    def paused(self) -> None:
        """Count a pause."""
        self._pauses.inc({})

    def update(self, links: int, members: int, dropped_messages: int) -> None:
        """Take what is open and known now."""
        self._links.set({}, links)
        self._members.set({}, members)
        self._dropped.set({}, dropped_messages)
