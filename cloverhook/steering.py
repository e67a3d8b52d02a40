"""Chooses the VMs that a service's callers are directed to, by rendezvous hashing.

Layer: coordination.  All daemons that have the same list of VMs compute the same order.  A VM that
joins or leaves moves only the callers of the places in the order that it takes or gives up.
"""

import random
from collections.abc import Mapping, Sequence

import xxhash

from cloverhook.members import Member

__all__ = ["HomeRotation", "answer_lifetime_ms", "home_vms", "rendezvous_order"]

UNSETTLED_MS = 2_000
UNSETTLED_LIFETIME_MS = 250
"""Limits how long callers may cache an answer within `UNSETTLED_MS` of a change of the homes."""


def rendezvous_order(key: str, members: Sequence[Member]) -> list[Member]:
    """Return the members in the rendezvous order of the key, first choice first."""
    return sorted(members, key=lambda member: _weight(key, member.vm), reverse=True)


def home_vms(service_key: str, members: Sequence[Member], count: int) -> list[Member]:
    """Return the VMs that a service's callers are directed to, distributed over the data centres.

    Each round takes the highest-ranked remaining VM of every data centre.
    """
    homes: list[Member] = []
    remaining = rendezvous_order(service_key, members)
    while remaining and len(homes) < count:
        seen: set[str] = set()
        for member in tuple(remaining):
            if member.data_center not in seen and len(homes) < count:
                seen.add(member.data_center)
                homes.append(member)
                remaining.remove(member)
    return homes


def answer_lifetime_ms(lifetime_ms: float, homes_changed_ms: float, now_ms: float) -> float:
    """Return how long a caller may cache an answer; shorter if the homes changed recently."""
    if now_ms - homes_changed_ms < UNSETTLED_MS:
        return min(lifetime_ms, UNSETTLED_LIFETIME_MS)
    return lifetime_ms


class HomeRotation:
    """Rotates the order in which answers to callers list a service's home VMs.

    Callers that use only the first address of an answer must not overload one home.  Weighted
    round robin therefore puts each home first in proportion to its weight, which is the number of
    slots that the home owns.  With a random source, the rotation starts at a random point.
    """

    def __init__(self, source: random.Random | None = None) -> None:
        self._random = source
        self._credit: dict[str, dict[str, float]] = {}

    def next_order(
        self, service_key: str, homes: Sequence[Member], weights: Mapping[str, float]
    ) -> list[Member]:
        """Return the homes in the order for the service's next answer."""
        if not homes:
            return []
        previous = self._credit.get(service_key) or self._initial_credit(homes, weights)
        credit = {home.vm: previous.get(home.vm, 0.0) + weights.get(home.vm, 1.0) for home in homes}
        order = sorted(homes, key=lambda home: credit[home.vm], reverse=True)
        credit[order[0].vm] -= sum(weights.get(home.vm, 1.0) for home in homes)
        self._credit[service_key] = credit
        return order

    def _initial_credit(
        self, homes: Sequence[Member], weights: Mapping[str, float]
    ) -> dict[str, float]:
        """Return random initial credits, so that not all daemons list the same home first."""
        if self._random is None:
            return {}
        total = sum(weights.get(home.vm, 1.0) for home in homes)
        return {home.vm: self._random.uniform(0.0, total) for home in homes}


def _weight(key: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())
