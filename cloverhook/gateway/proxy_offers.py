"""The VMs that offer to send requests to endpoints for this one.

Layer: coordination.  A VM that reaches no endpoint of a service says so to the others, and those
that reach some answer with an offer.  An offer ends when it is not repeated, or when its VM is
found not to reach the service.  Requests are spread over the VMs that offer: of a few that are
drawn, the one with the fewest requests of this VM gets the next one.

>>> offers = ProxyOffers(random.Random(1))
>>> offers.record("vm-2", {"orders": 20.0}, now_ms=0.0)
>>> offers.choose("orders", (), 100.0), offers.choose("menus", (), 100.0)
('vm-2', None)
>>> offers.choose("orders", (), 5_000.0) is None
True
"""

import random
from collections import Counter
from collections.abc import Collection, Mapping

__all__ = ["ProxyOffers"]

EXPIRY_MS = 1_500.0
"""Offers are repeated twice a second; two of them may be lost."""
SAMPLE_SIZE = 3
RECENT_CONTACT_MS = 300.0
"""A VM that has had no answer from the service for longer may be about to find that it has lost
its links too."""
BUSY_MS = 100.0
"""A VM that has rejected a request as overloaded is used for this long only if no other one is
left: it may have room again at any time."""
STEADY_MS = 10_000.0
"""A VM that has reached the service for at least this long is preferred: links that have been lost
recently may be lost again."""


class ProxyOffers:
    """The offers in force; times are on the monotonic clock."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._offers: dict[str, dict[str, tuple[float, float]]] = {}
        self._in_flight: Counter[str] = Counter()
        self._lost_ms: dict[tuple[str, str], float] = {}
        self._busy_until_ms: dict[str, float] = {}

    def record(self, vm: str, contact_age_ms: Mapping[str, float], now_ms: float) -> None:
        """Record a VM's offer, with the time since its last contact with each service."""
        self._offers[vm] = {
            service: (age_ms, now_ms + EXPIRY_MS) for service, age_ms in contact_age_ms.items()
        }

    def record_lost(self, vm: str, service: str, now_ms: float) -> None:
        """Record that a VM reaches no endpoint of a service, and end its offer."""
        self._lost_ms[vm, service] = now_ms
        self.withdraw(vm, service)

    def withdraw(self, vm: str, service: str | None = None) -> None:
        """End the offer of a VM for a service, or for all."""
        if service is None:
            self._offers.pop(vm, None)
        else:
            self._offers.get(vm, {}).pop(service, None)

    def record_busy(self, vm: str, now_ms: float) -> None:
        """Record that a VM has rejected a request because it had no room for it."""
        self._busy_until_ms[vm] = now_ms + BUSY_MS

    def choose(self, service: str, tried: Collection[str], now_ms: float) -> str | None:
        """Return the VM to send a request by, or None if none offers that or has not been tried."""
        found = {
            vm: services[service][0]
            for vm, services in self._offers.items()
            if service in services and services[service][1] > now_ms and vm not in tried
        }
        if not found:
            return None
        free = [vm for vm in found if self._busy_until_ms.get(vm, 0.0) <= now_ms] or list(found)
        steady = [vm for vm in free if not self._lost_recently(vm, service, now_ms)] or free
        candidates = [vm for vm in steady if found[vm] <= RECENT_CONTACT_MS] or steady
        sample = self._random.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
        return min(sample, key=lambda vm: self._in_flight[vm])

    def record_started(self, vm: str) -> None:
        """Count a request that a VM sends for this one."""
        self._in_flight[vm] += 1

    def record_ended(self, vm: str) -> None:
        """Count the end of such a request."""
        self._in_flight[vm] -= 1
        if not self._in_flight[vm]:
            del self._in_flight[vm]

    def expire(self, now_ms: float) -> None:
        """Drop the offers that are over; to be called periodically."""
        for vm, services in tuple(self._offers.items()):
            for service in [name for name, item in services.items() if item[1] <= now_ms]:
                del services[service]
            if not services:
                del self._offers[vm]
        for key in [key for key, at_ms in self._lost_ms.items() if now_ms - at_ms > STEADY_MS]:
            del self._lost_ms[key]

        for vm in [vm for vm, until_ms in self._busy_until_ms.items() if until_ms <= now_ms]:
            del self._busy_until_ms[vm]

    def _lost_recently(self, vm: str, service: str, now_ms: float) -> bool:
        return now_ms - self._lost_ms.get((vm, service), now_ms - STEADY_MS) < STEADY_MS
