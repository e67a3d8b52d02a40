"""Orders VMs for a task, the same on every VM, without a word between them.

Layer: state.  Each VM weighs all that it knows by a hash of the task and the name; the heaviest
gets the task.  When one comes or goes, only its own tasks move.

>>> rank_weight("reader", "vm-1") == rank_weight("reader", "vm-1")
True
"""

import xxhash

__all__ = ["rank_weight"]


def rank_weight(key: str, vm: str) -> int:
    """Return the weight of a VM for a task; all VMs give the task to the heaviest that lives."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())
