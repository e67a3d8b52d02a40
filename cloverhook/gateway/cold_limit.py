"""Limits what the fleet sends to endpoints that are cold.

Layer: coordination.  A cold endpoint can serve a few requests a second and fails above that rate.
Yet it is idle, so it looks like the best choice to every VM at once: when a whole data centre comes
back in a burst, each VM alone would stay below the rate, and all together would exceed it. So only
a few VMs use a cold endpoint, namely the first ones of an order that each VM computes for itself.
Each of them keeps to its share of the rate, and unused shares don't accumulate. No communication is
needed. Where the VMs' member lists differ, for instance because some VMs are isolated, a few more
VMs count themselves among the first ones; each sends only its share, so that twice as many still
stay below what the endpoint can serve.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.rendezvous_hash import rendezvous_rank

__all__ = ["ColdLimit", "ColdRateBound"]

MAX_SENDERS = 3
"""How many VMs use a cold endpoint. With one, its loss would leave the endpoint idle. With all, the
share of each would be one request in many seconds, and a first request from each at once would be
too many."""
PARTITIONS = 2
"""The bound still holds if the VMs are split into this many partitions that can't communicate."""
MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class ColdRateBound:
    """The bound on the requests that a cold endpoint gets in a second.

    It is `rate_factor` times the endpoint's rate plus `burst` requests.
    """

    rate_factor: float = 1.5
    burst: float = 8.0

    def sender_count(self) -> int:
        """Return how many VMs may use an endpoint; each may start with a request at once."""
        return max(1, min(MAX_SENDERS, int(self.burst / PARTITIONS)))

    def spacing_ms(self, rate_per_s: float) -> float:
        """Return the time between two requests of one of these VMs."""
        return PARTITIONS * self.sender_count() * MS_PER_S / (self.rate_factor * rate_per_s)


class ColdLimit:
    """This VM's share of the requests that cold endpoints may get; times are monotonic."""

    def __init__(
        self,
        own_vm: str,
        senders_for: Callable[[BackendServer, float], tuple[str, ...]],
        rate_per_s: Callable[[str], float],
        bound: ColdRateBound,
    ) -> None:
        """`senders_for` returns the VMs that place requests at an endpoint.

        `rate_per_s` returns how many requests a second a cold endpoint of a service can serve; 0
        means no limit.
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
        return self._is_sender(server, now_ms)

    def record_sent(self, server: BackendServer, now_ms: float) -> None:
        """Record a request placed at a cold endpoint, which delays the next one."""
        rate_per_s = self._rate_per_s(server.service)
        if rate_per_s:
            self._next_ms[server.incarnation] = now_ms + self._bound.spacing_ms(rate_per_s)

    def forget(self, incarnation: str) -> None:
        """Drop the data on an endpoint that is gone."""
        self._next_ms.pop(incarnation, None)

    def _is_sender(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether this VM is one of the few that use a cold endpoint."""
        vms = self._senders_for(server, now_ms)
        if self._own_vm not in vms:
            return False
        return rendezvous_rank(server.incarnation, self._own_vm, vms) < self._bound.sender_count()
