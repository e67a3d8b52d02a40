"""Orders VMs for a task, the same on every VM, without a word between them.

Layer: state.  Each VM weighs all that it knows by a hash of the task and the name; the heaviest
gets the task.  When one comes or goes, only its own tasks move.

>>> rendezvous_weight("reader", "vm-1") == rendezvous_weight("reader", "vm-1")
True
"""

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_rank", "rendezvous_weight"]


def rendezvous_weight(key: str, vm: str) -> int:
    """Return the weight of a VM for a task; all VMs give the task to the heaviest that lives."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())


def rendezvous_rank(key: str, own: str, others: Iterable[str]) -> int:
    """Return how many others come before a VM in the order for a task."""
    weight = rendezvous_weight(key, own)
    return sum(1 for other in others if rendezvous_weight(key, other) > weight)
