"""What a caller is told when it asks which addresses to use for a service.

Layer: coordination, free of input and output.  The home VMs come first, in an order that differs
from answer to answer so that callers spread over them; then the others, in the service's order.
A caller that names its data centre gets the VMs there before the others of their group.
"""

import random
from collections.abc import Sequence
from typing import Any

from cloverhook.homes import HomeTable
from cloverhook.members import Member
from cloverhook.steering import ranked

__all__ = ["AddressAnswers"]

ADDRESSES_LIMIT = 16
DOUBTFUL_LIFETIME_MS = 500


class AddressAnswers:
    """Answers from the members that serve and their home tables."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._homes = HomeTable()
        self._serving: Sequence[Member] = ()
        self._others: dict[str, tuple[Member, ...]] = {}

    def update(self, counts: dict[str, int], serving: Sequence[Member]) -> tuple[str, ...]:
        """Take who serves; return the services whose home VMs have changed."""
        self._serving = serving
        self._others.clear()
        return self._homes.update(counts, serving)

    def home_names(self, key: str) -> tuple[str, ...]:
        """Return the names of a service's home VMs."""
        return self._homes.names(key)

    def answer(
        self, key: str, name: str, lifetime_ms: float, data_center: str = "", doubtful: bool = False
    ) -> dict[str, Any]:
        """Return the answer for a service.

        With `doubtful`, when this process has been paused and what it knows is not confirmed
        yet, the answer's lifetime is short.
        """
        homes = list(self._homes.homes(key))
        self._random.shuffle(homes)
        ordered = [*_nearest_first(homes, data_center)]
        ordered += _nearest_first(self._ranked_others(key), data_center)
        return {
            "service": name,
            "lifetime_ms": min(lifetime_ms, DOUBTFUL_LIFETIME_MS) if doubtful else lifetime_ms,
            "homes": len(homes),
            "addresses": [member.caller_address for member in ordered[:ADDRESSES_LIMIT]],
        }

    def _ranked_others(self, key: str) -> tuple[Member, ...]:
        if key not in self._others:
            homes = set(self._homes.names(key))
            order = ranked(key, self._serving)
            self._others[key] = tuple(member for member in order if member.vm not in homes)
        return self._others[key]


def _nearest_first(members: Sequence[Member], data_center: str) -> list[Member]:
    return sorted(members, key=lambda member: member.data_center != data_center)
