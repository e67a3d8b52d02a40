"""The links between this VM and the endpoints: which ones it reaches.

Layer: coordination.  That a connection can't be opened, or brings no answer, is a fact about the
link between one VM and one endpoint.  Other VMs may reach that endpoint at the same time.

>>> links = Links(lambda change: None)
>>> server = BackendServer("i-1", "orders", "10.0.0.1:9000", "papine")
>>> links.record_failure(server, LinkFailure.REFUSED, 5.0)
>>> links.is_down("i-1")
True
>>> links.record_contact(server, 105.0)
>>> links.is_down("i-1")
False
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cloverhook.errors import ConnectError
from cloverhook.gateway.backend_server import BackendServer

__all__ = ["LinkChange", "LinkFailure", "Links"]


class LinkFailure(Enum):
    """How a VM found that it does not reach an endpoint."""

    REFUSED = "refused"
    TIMED_OUT = "timed-out"
    PROBE_UNANSWERED = "probe-unanswered"

    @classmethod
    def of(cls, error: ConnectError) -> "LinkFailure":
        """Return how opening a connection failed."""
        return cls.REFUSED if error.refused else cls.TIMED_OUT


@dataclass(frozen=True, slots=True)
class LinkChange:
    """A link has failed, or works again after `lasted_ms`; then `failure` is None."""

    server: BackendServer
    failure: LinkFailure | None
    lasted_ms: float = 0.0


@dataclass(slots=True)
class _DownLink:
    """A link that has failed and has not worked since."""

    server: BackendServer
    since_ms: float


class Links:
    """The links that are down; times are on the monotonic clock."""

    def __init__(self, on_change: Callable[[LinkChange], None]) -> None:
        self._on_change = on_change
        self._down: dict[str, _DownLink] = {}

    def __len__(self) -> int:
        """Return the number of links that are down."""
        return len(self._down)

    def is_down(self, incarnation: str) -> bool:
        """Return whether the link to an endpoint has failed and has not worked since."""
        return incarnation in self._down

    def record_failure(self, server: BackendServer, failure: LinkFailure, now_ms: float) -> None:
        """Record that this VM could not reach an endpoint."""
        if server.incarnation not in self._down:
            self._down[server.incarnation] = _DownLink(server, now_ms)
            self._on_change(LinkChange(server, failure))

    def record_contact(self, server: BackendServer, now_ms: float) -> None:
        """Record that an endpoint has answered this VM."""
        link = self._down.pop(server.incarnation, None)
        if link is not None:
            self._on_change(LinkChange(server, None, now_ms - link.since_ms))

    def forget(self, incarnation: str) -> None:
        """Drop the link to an endpoint that is gone."""
        self._down.pop(incarnation, None)
