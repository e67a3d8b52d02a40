"""Rendezvous hashing: an order of the VMs for a task, the same on every VM without communication.

Layer: state.  Each VM computes a weight for every known VM from a hash of the task and the VM's
name; the one with the highest weight gets the task. When a VM joins or leaves, only its own tasks
move.

>>> rendezvous_weight("reader", "vm-1") == rendezvous_weight("reader", "vm-1")
True
"""

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_rank", "rendezvous_weight"]


def rendezvous_weight(key: str, vm: str) -> int:
    """Return the weight of a VM for a task; the live VM with the highest weight gets the task."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())


def rendezvous_rank(key: str, own: str, others: Iterable[str]) -> int:
    """Return how many others precede a VM in the order for a task."""
    weight = rendezvous_weight(key, own)
    return sum(1 for other in others if rendezvous_weight(key, other) > weight)
