"""The overlay network: each daemon links to a few peers, however many VMs there are.

Layer: coordination, free of input and output.  A daemon is linked to its neighbours on a few rings.
Each ring orders all members by a different hash, and a daemon dials its successor on each ring.
The union of a few such random rings has a small diameter with high probability (about log N to the
base of the degree minus one), every daemon has the same degree, and a member that joins or leaves
changes only the links next to it.
"""

from collections.abc import Sequence
from functools import lru_cache

import xxhash

__all__ = ["RINGS", "neighbours", "successors"]

RINGS = 3
CACHED_POSITIONS = 8_192


def successors(own_vm: str, vms: Sequence[str]) -> tuple[str, ...]:
    """Return the VMs that a daemon dials: its successor on each ring."""
    return _adjacent(own_vm, vms, 1)


def neighbours(own_vm: str, vms: Sequence[str]) -> tuple[str, ...]:
    """Return the VMs adjacent to a daemon on any ring: at most two for each ring."""
    return tuple(sorted({*_adjacent(own_vm, vms, 1), *_adjacent(own_vm, vms, -1)}))


def _adjacent(own_vm: str, vms: Sequence[str], step: int) -> tuple[str, ...]:
    found: set[str] = set()
    others = [vm for vm in vms if vm != own_vm]
    for ring in range(RINGS):
        if others:
            found.add(_adjacent_on_ring(own_vm, others, ring, step))
    return tuple(sorted(found))


def _adjacent_on_ring(own_vm: str, others: Sequence[str], ring: int, step: int) -> str:
    own = _position(own_vm, ring)
    after = [vm for vm in others if step * _position(vm, ring) > step * own]
    return min(after or others, key=lambda vm: step * _position(vm, ring))


@lru_cache(maxsize=CACHED_POSITIONS)
def _position(vm: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode(), seed=ring)
