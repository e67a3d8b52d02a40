"""Which VMs a caller is sent to: rendezvous hashing of a service over the VMs that serve.

Layer: coordination.  Every daemon that knows the same VMs gives the same order, and a VM that
comes or goes moves only the callers of the places it takes or leaves.
"""

from collections.abc import Sequence

import xxhash

from cloverhook.members import Member

__all__ = ["AnswerOrder", "answer_lifetime_ms", "home_vms", "ranked"]

UNSETTLED_MS = 2_000
UNSETTLED_LIFETIME_MS = 250


def ranked(key: str, members: Sequence[Member]) -> list[Member]:
    """Return the members in the key's rendezvous order, first choice first."""
    return sorted(members, key=lambda member: _weight(key, member.vm), reverse=True)


def home_vms(service_key: str, members: Sequence[Member], count: int) -> list[Member]:
    """Return the VMs that a service's callers gather on, spread over the data centres.

    Each round takes the best-ranked VM of every data centre that has one left.
    """
    homes: list[Member] = []
    left = ranked(service_key, members)
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


class AnswerOrder:
    """The order in which a service's home VMs stand in the answers that callers get.

    A caller that uses only the first address of its answer must not make the first home the
    busiest, so each answer begins with the next home.
    """

    def __init__(self) -> None:
        self._answers: dict[str, int] = {}

    def next(self, service_key: str, homes: Sequence[Member]) -> list[Member]:
        """Return the homes in the order of the service's next answer."""
        count = self._answers.get(service_key, 0)
        self._answers[service_key] = count + 1
        start = count % len(homes) if homes else 0
        return [*homes[start:], *homes[:start]]


def _weight(key: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())
