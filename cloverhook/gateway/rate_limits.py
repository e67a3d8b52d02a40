"""Keeps the limits that endpoints in need name, over the fleet and without a coordinator.

Layer: coordination.  An endpoint names a limit of requests a second that it takes from all VMs
together.  Some VMs use it, the first ones of an order that each VM works out for itself, and each
of them sends its equal part, evenly spaced.  The higher a limit, the more VMs share it, so that no
part is less than about a request a second: with few requests at each VM, smaller parts would stay
unused.  Where lists of VMs differ for a moment, one VM more may take part.

>>> limits = RateLimits("vm-1", lambda data_center, now_ms: ("vm-1",))
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
from cloverhook.gateway.ranking import rendezvous_rank

__all__ = ["AdvertisedLimit", "RateLimits"]

LEAST_USERS = 3
"""With one, its loss would leave the endpoint unused until that shows."""
SAVED = 1.0
"""A VM may make up for so many requests that it had no use for at their time."""
LEAST_SAVED_PER_S = 1.0
"""Below this limit nothing is saved: all parts at once would exceed it."""
SILENT_MS = 30_000.0
"""A limit that nobody has named again for so long has ended: the endpoint says so all the while."""
MS = 1_000.0


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """What an endpoint has named, and when it did so first and last."""

    per_s: float
    first_ms: float
    last_ms: float


class RateLimits:
    """The limits that are in force, and this VM's part of them; times are monotonic."""

    def __init__(self, own_vm: str, senders_for: Callable[[str, float], tuple[str, ...]]) -> None:
        """`senders_for` names the VMs that place requests at a data centre's endpoints."""
        self._own_vm = own_vm
        self._senders_for = senders_for
        self._limits: dict[str, AdvertisedLimit] = {}
        self._next_ms: dict[str, float] = {}
        self._places: dict[str, tuple[tuple[str, ...], int]] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._limits

    def __iter__(self) -> Iterator[str]:
        return iter(self._limits)

    def get(self, incarnation: str) -> AdvertisedLimit | None:
        """Return the limit of an endpoint that has named one."""
        return self._limits.get(incarnation)

    def record_limit(self, incarnation: str, per_s: float, at_ms: float) -> bool:
        """Take a limit that an endpoint named at a time; return whether that is another one."""
        known = self._limits.get(incarnation)
        if known is None:
            self._limits[incarnation] = AdvertisedLimit(per_s, at_ms, at_ms)
            return True
        if at_ms < known.last_ms:
            return False
        self._limits[incarnation] = AdvertisedLimit(per_s, known.first_ms, at_ms)
        return per_s != known.per_s

    def record_no_limit(self, incarnation: str, at_ms: float) -> bool:
        """Take an answer of a time that named no limit; return whether one has ended by that."""
        known = self._limits.get(incarnation)
        if known is None or at_ms <= known.last_ms:
            return False
        self.forget(incarnation)
        return True

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """End the limits that were not named for long; return the incarnations."""
        ended = tuple(
            name for name, limit in self._limits.items() if now_ms - limit.last_ms > SILENT_MS
        )
        for incarnation in ended:
            self.forget(incarnation)
        return ended

    def forget(self, incarnation: str) -> None:
        """Drop what is known of an endpoint that is gone, or has ended its limit."""
        self._limits.pop(incarnation, None)
        self._next_ms.pop(incarnation, None)
        self._places.pop(incarnation, None)

    def may_send(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether this VM may send an endpoint a request now."""
        return self.available_within(server, now_ms, 0.0) >= 1

    def available_within(self, server: BackendServer, now_ms: float, time_ms: float) -> float:
        """Return how many requests this VM may send an endpoint with a limit in a time from now."""
        limit = self._limits[server.incarnation]
        spacing_ms = self._spacing_ms(server, limit, now_ms)
        if spacing_ms is None:
            return 0
        first_ms = max(now_ms, self._next_ms.get(server.incarnation, 0.0))
        return max(0, 1 + (now_ms + time_ms - first_ms) // spacing_ms)

    def record_sent(self, server: BackendServer, now_ms: float) -> None:
        """Count a request that is placed at an endpoint: the next one may follow later."""
        limit = self._limits.get(server.incarnation)
        spacing_ms = None if limit is None else self._spacing_ms(server, limit, now_ms)
        if spacing_ms is None:
            return
        saved_ms = SAVED * spacing_ms if limit.per_s >= LEAST_SAVED_PER_S else 0.0
        due_ms = max(self._next_ms.get(server.incarnation, now_ms), now_ms - saved_ms)
        self._next_ms[server.incarnation] = due_ms + spacing_ms

    def _spacing_ms(
        self, server: BackendServer, limit: AdvertisedLimit, now_ms: float
    ) -> float | None:
        """Return the time between two requests of this VM, or None where it is to send none."""
        vms = self._senders_for(server.data_center, now_ms)
        if limit.per_s <= 0.0 or self._own_vm not in vms:
            return None
        users = min(len(vms), max(LEAST_USERS, int(limit.per_s)))
        if self._place_among(server.incarnation, vms) >= users:
            return None
        return users * MS / limit.per_s

    def _place_among(self, incarnation: str, vms: tuple[str, ...]) -> int:
        """Return how many VMs come before this one in the order for an endpoint."""
        known = self._places.get(incarnation)
        if known is None or known[0] != vms:
            place = rendezvous_rank(incarnation, self._own_vm, vms)
            known = self._places[incarnation] = vms, place
        return known[1]
