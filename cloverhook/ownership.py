"""Assigns each endpoint to the home VM that owns it.

Layer: coordination.  All VMs that have the same list of homes compute the same assignment.  Only
the owner of an endpoint starts requests there or lends its slots, so the owner knows exactly how
many requests are in flight.  An endpoint is assigned to a home in its own data centre if one has
enough capacity left, and otherwise to any home, so that the numbers of slots are balanced.  While
VMs disagree, an endpoint may get requests from a VM other than its owner, but no request runs
twice.
"""

import math
from collections.abc import Mapping, Sequence

import xxhash

from cloverhook.fleet import Endpoint

__all__ = ["LOCAL_SHARE_FACTOR", "assign_owners", "owned_slots"]

LOCAL_SHARE_FACTOR = 1.25
"""A home may own this many equal shares of the slots by endpoints in its own data centre."""


def assign_owners(
    endpoints: Sequence[Endpoint], homes: Sequence[str], data_centers: Mapping[str, str]
) -> dict[str, str]:
    """Return a mapping from each endpoint's address to its owner.

    A home owns up to an equal share of the slots.  With endpoints in its own data centre it may
    exceed that share by up to a quarter.
    """
    if not homes:
        return {}
    fair_share = sum(endpoint.slots for endpoint in endpoints) / len(homes)
    owned = dict.fromkeys(homes, 0)
    result: dict[str, str] = {}
    for endpoint in sorted(endpoints, key=lambda item: _weight(item.address, "")):
        order = sorted(homes, key=lambda vm: _weight(endpoint.address, vm))
        owner = _choose_owner(endpoint, order, owned, fair_share, data_centers)
        result[endpoint.address] = owner
        owned[owner] += endpoint.slots
    return result


def owned_slots(
    endpoints: Sequence[Endpoint], homes: Sequence[str], data_centers: Mapping[str, str]
) -> dict[str, float]:
    """Return how many slots each home owns, which determines its share of the callers."""
    owner_of = assign_owners(endpoints, homes, data_centers)
    slots = dict.fromkeys(homes, 0.0)
    for endpoint in endpoints:
        if endpoint.address in owner_of:
            slots[owner_of[endpoint.address]] += endpoint.slots
    return slots


def _choose_owner(
    endpoint: Endpoint,
    order: Sequence[str],
    owned: Mapping[str, int],
    fair_share: float,
    data_centers: Mapping[str, str],
) -> str:
    local = [vm for vm in order if data_centers.get(vm) == endpoint.data_center]
    local_limit = math.ceil(fair_share * LOCAL_SHARE_FACTOR)
    for vm in local:
        if owned[vm] + endpoint.slots <= max(local_limit, endpoint.slots):
            return vm
    for vm in order:
        if owned[vm] + endpoint.slots <= math.ceil(fair_share):
            return vm
    return min(order, key=lambda vm: owned[vm])


def _weight(address: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{address}\0{vm}".encode())
