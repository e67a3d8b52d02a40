"""Decides when a VM announces itself in the store and looks there for other VMs.

Layer: coordination.  A VM that starts contacts the seeds in its settings and asks them for the
other members, so most VMs need no call to the store.  Such calls are billed.  If a seed doesn't
answer, members find each other through the store: the new VM announces itself and reads the
announcements of others, and a few of the older members keep themselves announced for new VMs.
"""

from cloverhook.gateway.members import Members
from cloverhook.gateway.rendezvous_hash import rendezvous_rank

__all__ = ["Discovery"]

SEED_TIMEOUT_MS = 1_500.0
"""A seed that starts together with the rest of the fleet sends its first message within this
time."""
MAX_ANNOUNCERS = 3
"""How many members keep themselves announced: a new VM learns of all others from a single live
one."""


class Discovery:
    """Decides whether this VM has to use the store to find other VMs and to be found by them."""

    def __init__(self, own_vm: str, members: Members, now_ms: float) -> None:
        self._own_vm = own_vm
        self._members = members
        self._started_ms = now_ms
        self._seeds: set[str] = set()
        self._has_seen_all_seeds = False
        self._announced = False

    def add_seed(self, peer_address: str) -> None:
        """Add the peer address of a VM that the settings name as a seed."""
        self._seeds.add(peer_address)

    def should_announce(self, now_ms: float) -> bool:
        """Return whether this VM should announce itself in the store and read the announcements.

        A VM without seeds announces itself at once.  A VM that never saw all its seeds alive at
        the same time does so after `SEED_TIMEOUT_MS`.  If a seed falls silent later, only the first
        `MAX_ANNOUNCERS` live VMs announce themselves.  A VM whose announcement is in the store
        doesn't announce itself again.
        """
        if self._announced:
            return False
        if not self._seeds:
            return True
        alive = self._members.alive(now_ms)
        if self._seeds <= {item.peer_address for item in alive}:
            self._has_seen_all_seeds = True
            return False
        if now_ms - self._started_ms < SEED_TIMEOUT_MS:
            return False
        if not self._has_seen_all_seeds:
            return True
        rank = rendezvous_rank("announce", self._own_vm, (item.vm for item in alive))
        return rank < MAX_ANNOUNCERS

    def announcement_lost(self) -> None:
        """Record that the store has lost this VM's announcement."""
        self._announced = False

    def announcement_stored(self) -> None:
        """Record that the store has accepted this VM's announcement."""
        self._announced = True
