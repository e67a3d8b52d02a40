"""Decides when a VM looks for the others in the store, and writes itself down there.

Layer: coordination.  Who starts greets the seeds of its settings and asks them who else is there,
so most VMs need no call to the store, which is paid for.  Where a seed is missing, the store is the
way in: the newcomer writes itself down and reads who else has done so, and a few of those that have
been there before keep themselves written down for it.
"""

from cloverhook.gateway.members import Members
from cloverhook.gateway.ranking import rendezvous_rank

__all__ = ["Discovery"]

PATIENCE_MS = 1_500.0
"""Seeds that start with the rest of the fleet are heard within this time."""
ANNOUNCERS = 3
"""One VM that lives is enough for a newcomer to learn of all."""


class Discovery:
    """This VM's way to be found, and to find the others."""

    def __init__(self, own_vm: str, members: Members, now_ms: float) -> None:
        self._own_vm = own_vm
        self._members = members
        self._started_ms = now_ms
        self._seeds: set[str] = set()
        self._met_all = False
        self._announced = False

    def add_seed(self, peer_address: str) -> None:
        """Take the address of a VM that is meant to be there from the start."""
        self._seeds.add(peer_address)

    def should_announce(self, now_ms: float) -> bool:
        """Return whether this VM should announce itself in the store and read who is there."""
        if self._announced:
            return False
        if not self._seeds:
            return True
        alive = self._members.alive(now_ms)
        if self._seeds <= {item.peer_address for item in alive}:
            self._met_all = True
            return False
        if now_ms - self._started_ms < PATIENCE_MS:
            return False
        if not self._met_all:
            return True
        place = rendezvous_rank("announce", self._own_vm, (item.vm for item in alive))
        return place < ANNOUNCERS

    def announcement_lost(self) -> None:
        """Note that the store has forgotten what this VM wrote down."""
        self._announced = False

    def announcement_stored(self) -> None:
        """Note that the store has answered."""
        self._announced = True
