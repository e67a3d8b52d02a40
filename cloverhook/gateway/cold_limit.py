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
from cloverhook.gateway.ranking import place_in_order

__all__ = ["ColdBound", "ColdLimit"]

MOST_USERS = 3
"""So many VMs use a cold endpoint: with one, its loss would leave the endpoint idle; with all, each
one's part would be a request in many seconds, and a first one from each at once too many."""
LISTS = 2
"""The bound still holds when the VMs are split in so many parts that don't hear each other."""
MS = 1_000.0


@dataclass(frozen=True, slots=True)
class ColdBound:
    """In a second, a cold endpoint gets at most `over` times its rate and `slack` requests."""

    over: float = 1.5
    slack: float = 8.0

    def users(self) -> int:
        """Return how many VMs may use an endpoint: each may begin with a request at once."""
        return max(1, min(MOST_USERS, int(self.slack / LISTS)))

    def spacing_ms(self, rate_per_s: float) -> float:
        """Return the time between two requests of one of those VMs."""
        return LISTS * self.users() * MS / (self.over * rate_per_s)


class ColdLimit:
    """This VM's part of the requests that cold endpoints may get; times are monotonic."""

    def __init__(
        self,
        own_vm: str,
        users_from: Callable[[str, float], tuple[str, ...]],
        rate_per_s: Callable[[str], float],
        bound: ColdBound,
    ) -> None:
        """`users_from` names the VMs that place requests at a data centre's endpoints.

        `rate_per_s` tells what a cold endpoint of a service bears; 0 where that is not limited.
        """
        self._own_vm = own_vm
        self._users_from = users_from
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

    def sent(self, server: BackendServer, now_ms: float) -> None:
        """Count a request that is placed at a cold endpoint: the next one may follow later."""
        rate_per_s = self._rate_per_s(server.service)
        if rate_per_s:
            self._next_ms[server.incarnation] = now_ms + self._bound.spacing_ms(rate_per_s)

    def forget(self, incarnation: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._next_ms.pop(incarnation, None)

    def _uses(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether this VM is one of the few that use a cold endpoint."""
        vms = self._users_from(server.data_center, now_ms)
        if self._own_vm not in vms:
            return False
        return place_in_order(server.incarnation, self._own_vm, vms) < self._bound.users()
