"""Enforces the rate limits that endpoints advertise, across the fleet without a coordinator.

Layer: coordination.  An endpoint in trouble advertises how many requests a second it accepts from
all VMs together. Some VMs use it, namely the first ones of an order that each VM computes for
itself, and each of them sends an equal share, evenly spaced. The higher the limit, the more VMs
share it, so that no share is less than about one request a second: with few requests at each VM,
smaller shares would stay unused. While the VMs' member lists differ, one VM more may take part.

>>> limits = RateLimits("vm-1", lambda server, now_ms: ("vm-1",))
>>> server = BackendServer("i-1", "orders", "10.0.0.1:9000", "papine")
>>> limits.record_limit("i-1", 2.0, 0.0), limits.may_send(server, 0.0)
(True, True)
>>> limits.record_sent(server, 0.0)
>>> limits.may_send(server, 499.0), limits.may_send(server, 500.0)
(False, True)
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.rendezvous_hash import rendezvous_rank

__all__ = ["AdvertisedLimit", "RateLimits"]

MIN_SENDERS = 3
"""The fewest VMs that share a limit. With a single one, its loss would leave the endpoint unused
until the loss is noticed."""
MAX_SAVED_REQUESTS = 1.0
"""How many requests a VM may catch up on that it had no use for when they were due."""
MIN_SAVING_PER_S = 1.0
"""Below this limit a VM can't catch up on requests: all shares at once would exceed the limit."""
LIMIT_EXPIRY_MS = 30_000.0
"""A limit that has not been advertised for this long has ended, because an endpoint repeats its
limit for as long as it applies."""
MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """The limit that an endpoint has advertised, and when it first and last did so."""

    per_s: float
    first_ms: float
    last_ms: float


class RateLimits:
    """The limits in force, and this VM's share of them; times are monotonic."""

    def __init__(
        self, own_vm: str, senders_for: Callable[[BackendServer, float], tuple[str, ...]]
    ) -> None:
        """`senders_for` returns the VMs that place requests at an endpoint."""
        self._own_vm = own_vm
        self._senders_for = senders_for
        self._limits: dict[str, AdvertisedLimit] = {}
        self._next_ms: dict[str, float] = {}
        self._ranks: dict[str, tuple[tuple[str, ...], int]] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._limits

    def __iter__(self) -> Iterator[str]:
        return iter(self._limits)

    def get(self, incarnation: str) -> AdvertisedLimit | None:
        """Return the limit of an endpoint, or None if it has advertised none."""
        return self._limits.get(incarnation)

    def record_limit(self, incarnation: str, per_s: float, at_ms: float) -> bool:
        """Record a limit that an endpoint advertised at `at_ms`; return whether it is different."""
        known = self._limits.get(incarnation)
        if known is None:
            self._limits[incarnation] = AdvertisedLimit(per_s, at_ms, at_ms)
            return True
        if at_ms < known.last_ms:
            return False
        self._limits[incarnation] = AdvertisedLimit(per_s, known.first_ms, at_ms)
        return per_s != known.per_s

    def record_no_limit(self, incarnation: str, at_ms: float) -> bool:
        """Record an answer without a limit at `at_ms`; return whether that ends a known limit."""
        known = self._limits.get(incarnation)
        if known is None or at_ms <= known.last_ms:
            return False
        self.forget(incarnation)
        return True

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """End the limits that have not been advertised for long; return their incarnations."""
        expired = tuple(
            name for name, limit in self._limits.items() if now_ms - limit.last_ms > LIMIT_EXPIRY_MS
        )
        for incarnation in expired:
            self.forget(incarnation)
        return expired

    def forget(self, incarnation: str) -> None:
        """Drop the data on an endpoint that is gone or has ended its limit."""
        self._limits.pop(incarnation, None)
        self._next_ms.pop(incarnation, None)
        self._ranks.pop(incarnation, None)

    def may_send(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether this VM may send a request to an endpoint with a limit now."""
        return self.available_within(server, now_ms, 0.0) >= 1

    def available_within(self, server: BackendServer, now_ms: float, within_ms: float) -> float:
        """Return how many requests this VM may send to a limited endpoint within `within_ms`."""
        limit = self._limits[server.incarnation]
        spacing_ms = self._spacing_ms(server, limit, now_ms)
        if spacing_ms is None:
            return 0
        first_ms = max(now_ms, self._next_ms.get(server.incarnation, 0.0))
        return max(0, 1 + (now_ms + within_ms - first_ms) // spacing_ms)

    def record_sent(self, server: BackendServer, now_ms: float) -> None:
        """Record a request placed at an endpoint, which delays the next one if there is a limit."""
        limit = self._limits.get(server.incarnation)
        spacing_ms = None if limit is None else self._spacing_ms(server, limit, now_ms)
        if spacing_ms is None:
            return
        saved_ms = MAX_SAVED_REQUESTS * spacing_ms if limit.per_s >= MIN_SAVING_PER_S else 0.0
        due_ms = max(self._next_ms.get(server.incarnation, now_ms), now_ms - saved_ms)
        self._next_ms[server.incarnation] = due_ms + spacing_ms

    def _spacing_ms(
        self, server: BackendServer, limit: AdvertisedLimit, now_ms: float
    ) -> float | None:
        """Return the time between two requests of this VM, or None if it may send none."""
        vms = self._senders_for(server, now_ms)
        if limit.per_s <= 0.0 or self._own_vm not in vms:
            return None
        senders = min(len(vms), max(MIN_SENDERS, int(limit.per_s)))
        if self._rank_among(server.incarnation, vms) >= senders:
            return None
        return senders * MS_PER_S / limit.per_s

    def _rank_among(self, incarnation: str, vms: tuple[str, ...]) -> int:
        """Return how many VMs precede this one in the order for an endpoint."""
        known = self._ranks.get(incarnation)
        if known is None or known[0] != vms:
            rank = rendezvous_rank(incarnation, self._own_vm, vms)
            known = self._ranks[incarnation] = vms, rank
        return known[1]
