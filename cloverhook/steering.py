"""Which VMs a caller is sent to: rendezvous hashing of a service over the VMs that serve.

Layer: coordination.  Every daemon that knows the same VMs gives the same order, and a VM that
comes or goes moves only the callers of the places it takes or leaves.
"""

import random
from collections.abc import Mapping, Sequence

import xxhash

from cloverhook.members import Member

__all__ = ["HomeRotation", "answer_lifetime_ms", "home_vms", "rendezvous_order"]

UNSETTLED_MS = 2_000
UNSETTLED_LIFETIME_MS = 250


def rendezvous_order(key: str, members: Sequence[Member]) -> list[Member]:
    """Return the members in the key's rendezvous order, first choice first."""
    return sorted(members, key=lambda member: _weight(key, member.vm), reverse=True)


def home_vms(service_key: str, members: Sequence[Member], count: int) -> list[Member]:
    """Return the VMs that a service's callers gather on, spread over the data centres.

    Each round takes the best-ranked VM of every data centre that has one left.
    """
    homes: list[Member] = []
    left = rendezvous_order(service_key, members)
    while left and len(homes) < count:
        seen: set[str] = set()
        for member in tuple(left):
            if member.data_center not in seen and len(homes) < count:
                seen.add(member.data_center)
                homes.append(member)
                left.remove(member)
    return homes


def answer_lifetime_ms(lifetime_ms: float, homes_changed_ms: float, now_ms: float) -> float:
    """Return how long a caller may keep an answer: shorter while the homes have just changed."""
    if now_ms - homes_changed_ms < UNSETTLED_MS:
        return min(lifetime_ms, UNSETTLED_LIFETIME_MS)
    return lifetime_ms


class HomeRotation:
    """The order in which a service's home VMs stand in the answers that callers get.

    A caller that uses only the first address of its answer must not make the first home the
    busiest, so the first place goes round, to each home as often as its weight says.  The weight is
    the number of slots that the home owns.  With a random source, the turn starts anywhere.
    """

    def __init__(self, source: random.Random | None = None) -> None:
        self._random = source
        self._credit: dict[str, dict[str, float]] = {}

    def next_order(
        self, service_key: str, homes: Sequence[Member], weights: Mapping[str, float]
    ) -> list[Member]:
        """Return the homes in the order of the service's next answer."""
        if not homes:
            return []
        before = self._credit.get(service_key) or self._start(homes, weights)
        credit = {home.vm: before.get(home.vm, 0.0) + weights.get(home.vm, 1.0) for home in homes}
        order = sorted(homes, key=lambda home: credit[home.vm], reverse=True)
        credit[order[0].vm] -= sum(weights.get(home.vm, 1.0) for home in homes)
        self._credit[service_key] = credit
        return order

    def _start(self, homes: Sequence[Member], weights: Mapping[str, float]) -> dict[str, float]:
        """Return a random start, so that daemons do not all name the same home first."""
        if self._random is None:
            return {}
        total = sum(weights.get(home.vm, 1.0) for home in homes)
        return {home.vm: self._random.uniform(0.0, total) for home in homes}


def _weight(key: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())
