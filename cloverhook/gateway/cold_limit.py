"""Limits what the fleet sends to endpoints that are cold.

Layer: coordination.  A cold endpoint bears a few requests a second and fails above that, yet it is
idle, so it looks like the best choice to every VM at once: when a whole data centre comes back in a
burst, each VM alone would stay below the rate and all together exceed it.  So only a few VMs use a
cold endpoint, the first ones of an order that each VM works out for itself, and each of them keeps
to its part of the rate, without saving up.  Nobody has to be asked.  Where lists of VMs differ, as
with VMs that are cut off, a few more take themselves for one of those; each sends its part only, so
twice as many still stay below what is borne.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.ranking import rendezvous_rank

__all__ = ["ColdRateBound", "ColdLimit"]

MOST_USERS = 3
"""So many VMs use a cold endpoint: with one, its loss would leave the endpoint idle; with all, each
one's part would be a request in many seconds, and a first one from each at once too many."""
LISTS = 2
"""The bound still holds when the VMs are split in so many parts that don't hear each other."""
MS = 1_000.0


@dataclass(frozen=True, slots=True)
class ColdRateBound:
    """A cold endpoint gets at most `rate_factor` times its rate and `burst` requests a second."""

    rate_factor: float = 1.5
    burst: float = 8.0

    def sender_count(self) -> int:
        """Return how many VMs may use an endpoint: each may begin with a request at once."""
        return max(1, min(MOST_USERS, int(self.burst / LISTS)))

    def spacing_ms(self, rate_per_s: float) -> float:
        """Return the time between two requests of one of those VMs."""
        return LISTS * self.sender_count() * MS / (self.rate_factor * rate_per_s)


class ColdLimit:
    """This VM's part of the requests that cold endpoints may get; times are monotonic."""

    def __init__(
        self,
        own_vm: str,
        senders_for: Callable[[str, float], tuple[str, ...]],
        rate_per_s: Callable[[str], float],
        bound: ColdRateBound,
    ) -> None:
        """`senders_for` names the VMs that place requests at a data centre's endpoints.

        `rate_per_s` tells what a cold endpoint of a service bears; 0 where that is not limited.
        """
        self._own_vm = own_vm
        self._senders_for = senders_for
        self._rate_per_s = rate_per_s
        self._bound = bound
        self._next_ms: dict[str, float] = {}

    def may_send(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether this VM may send a request to a cold endpoint now."""
        if not self._rate_per_s(server.service):
            return True
        if now_ms < self._next_ms.get(server.incarnation, 0.0):
            return False
        return self._uses(server, now_ms)

    def record_sent(self, server: BackendServer, now_ms: float) -> None:
        """Count a request that is placed at a cold endpoint: the next one may follow later."""
        rate_per_s = self._rate_per_s(server.service)
        if rate_per_s:
            self._next_ms[server.incarnation] = now_ms + self._bound.spacing_ms(rate_per_s)

    def forget(self, incarnation: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._next_ms.pop(incarnation, None)

    def _uses(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether this VM is one of the few that use a cold endpoint."""
        vms = self._senders_for(server.data_center, now_ms)
        if self._own_vm not in vms:
            return False
        return rendezvous_rank(server.incarnation, self._own_vm, vms) < self._bound.sender_count()
