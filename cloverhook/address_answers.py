"""The answer to a caller that asks which addresses to use for a service.

Layer: coordination, free of input and output.  The home VMs of the service come first; they rotate,
so that each is first in proportion to its share of the slots.  The other VMs follow in the
service's rendezvous order.  A caller that gives its data centre gets, in each of the two groups,
the VMs in that data centre first.
"""

import random
from collections.abc import Sequence
from typing import Any

from cloverhook.fleet import Endpoint, Service
from cloverhook.homes import HomeTable
from cloverhook.members import Member
from cloverhook.ownership import owned_slots
from cloverhook.steering import HomeRotation, answer_lifetime_ms, rendezvous_order

__all__ = ["AddressAnswers"]

ADDRESSES_LIMIT = 16
UNCONFIRMED_LIFETIME_MS = 500


class AddressAnswers:
    """Computes the answers from the serving members and the services' home VMs."""

    def __init__(self, source: random.Random) -> None:
        self._homes = HomeTable()
        self._rotation = HomeRotation(source)
        self._serving: Sequence[Member] = ()
        self._other_members: dict[str, tuple[Member, ...]] = {}
        self._changed_ms: dict[str, float] = {}
        self._weights: dict[str, tuple[Sequence[Endpoint], dict[str, float]]] = {}

    def update(
        self, counts: dict[str, int], serving: Sequence[Member], now_ms: float
    ) -> tuple[str, ...]:
        """Set the serving members and each service's number of home VMs.

        Returns the keys of the services whose home VMs have changed.
        """
        self._serving = serving
        self._other_members.clear()
        changed = self._homes.update(counts, serving)
        for key in changed:
            self._changed_ms[key] = now_ms
            self._weights.pop(key, None)
        return changed

    def home_data_centers(self, key: str) -> dict[str, str]:
        """Return the data centre of each of a service's home VMs."""
        return {member.vm: member.data_center for member in self._homes.homes(key)}

    def home_names(self, key: str) -> tuple[str, ...]:
        """Return the names of a service's home VMs."""
        return self._homes.vm_names(key)

    def answer(
        self,
        key: str,
        service: Service,
        lifetime_ms: float,
        now_ms: float,
        data_center: str = "",
        unconfirmed: bool = False,
    ) -> dict[str, Any]:
        """Return the answer for a service.

        The answer's lifetime is short while the home VMs have changed recently.  It is also short
        with `unconfirmed`, which means that this process was paused and its member table is not
        confirmed yet.
        """
        homes = self._homes.homes(key)
        weights = self._weights_of(key, service.endpoints)
        ordered = _local_first(self._rotation.next_order(key, homes, weights), data_center)
        ordered += _local_first(self._ranked_other_members(key), data_center)
        lifetime_ms = answer_lifetime_ms(lifetime_ms, self._changed_ms.get(key, now_ms), now_ms)
        return {
            "service": service.name,
            "lifetime_ms": (
                min(lifetime_ms, UNCONFIRMED_LIFETIME_MS) if unconfirmed else lifetime_ms
            ),
            "homes": len(homes),
            "addresses": [member.caller_address for member in ordered[:ADDRESSES_LIMIT]],
        }

    def _weights_of(self, key: str, endpoints: Sequence[Endpoint]) -> dict[str, float]:
        cached = self._weights.get(key)
        if cached is None or cached[0] is not endpoints:
            homes = self._homes.vm_names(key)
            cached = (endpoints, owned_slots(endpoints, homes, self.home_data_centers(key)))
            self._weights[key] = cached
        return cached[1]

    def _ranked_other_members(self, key: str) -> tuple[Member, ...]:
        if key not in self._other_members:
            homes = set(self._homes.vm_names(key))
            order = rendezvous_order(key, self._serving)
            self._other_members[key] = tuple(member for member in order if member.vm not in homes)
        return self._other_members[key]


def _local_first(members: Sequence[Member], data_center: str) -> list[Member]:
    return sorted(members, key=lambda member: member.data_center != data_center)
