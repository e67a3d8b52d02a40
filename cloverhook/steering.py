"""Which VMs a caller is sent to: rendezvous hashing of a service over the VMs that serve.

Layer: coordination.  Every daemon that knows the same VMs gives the same order, and a VM that
comes or goes moves only the callers of the places it takes or leaves.
"""

from collections.abc import Sequence

import xxhash

from cloverhook.members import Member

__all__ = ["home_vms", "ranked"]


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


def _weight(key: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())
