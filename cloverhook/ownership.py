"""Which home VM owns which endpoint: the same answer on every VM that sees the same homes.

Layer: coordination.  Only its owner starts requests at an endpoint or grants a slot of it, so the
owner knows exactly how many are in flight.  An endpoint goes to a home in its own data centre
where one has room, else to any; the number of slots is balanced.  Views that differ for a moment
can only use an endpoint beside its owner, never run a request twice.
"""

import math
from collections.abc import Mapping, Sequence

import xxhash

from cloverhook.fleet import Endpoint

__all__ = ["LOCAL_SHARE_FACTOR", "assign_owners", "owned_slots"]

LOCAL_SHARE_FACTOR = 1.25


def assign_owners(
    endpoints: Sequence[Endpoint], homes: Sequence[str], data_centers: Mapping[str, str]
) -> dict[str, str]:
    """Return the owner of each endpoint's address.

    A home takes up to an equal share of the slots, and up to a quarter more of endpoints in its
    own data centre.
    """
    if not homes:
        return {}
    fair = sum(endpoint.slots for endpoint in endpoints) / len(homes)
    taken = dict.fromkeys(homes, 0)
    result: dict[str, str] = {}
    for endpoint in sorted(endpoints, key=lambda item: _weight(item.address, "")):
        order = sorted(homes, key=lambda vm: _weight(endpoint.address, vm))
        owner = _first_with_room(endpoint, order, taken, fair, data_centers)
        result[endpoint.address] = owner
        taken[owner] += endpoint.slots
    return result


def owned_slots(
    endpoints: Sequence[Endpoint], homes: Sequence[str], data_centers: Mapping[str, str]
) -> dict[str, float]:
    """Return how many slots each home owns: its share of the callers."""
    owner_of = assign_owners(endpoints, homes, data_centers)
    slots = dict.fromkeys(homes, 0.0)
    for endpoint in endpoints:
        if endpoint.address in owner_of:
            slots[owner_of[endpoint.address]] += endpoint.slots
    return slots


def _first_with_room(
    endpoint: Endpoint,
    order: Sequence[str],
    taken: Mapping[str, int],
    fair: float,
    data_centers: Mapping[str, str],
) -> str:
    near = [vm for vm in order if data_centers.get(vm) == endpoint.data_center]
    near_limit = math.ceil(fair * LOCAL_SHARE_FACTOR)
    for vm in near:
        if taken[vm] + endpoint.slots <= max(near_limit, endpoint.slots):
            return vm
    for vm in order:
        if taken[vm] + endpoint.slots <= math.ceil(fair):
            return vm
    return min(order, key=lambda vm: taken[vm])


def _weight(address: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{address}\0{vm}".encode())
