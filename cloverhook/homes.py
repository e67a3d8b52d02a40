"""The home VMs of every service, kept up to date as members join and leave.

Layer: coordination, free of input and output.  With hundreds of services and VMs, hashing every
pair at each change would block a daemon for a good part of a second.  A member that leaves affects
only the services that it was a home of.  A member that joins can change a service's homes only by
becoming one of them, so it is ranked against the current homes alone.
"""

from collections.abc import Mapping, Sequence

from cloverhook.members import Member
from cloverhook.steering import home_vms

__all__ = ["HomeTable"]


class HomeTable:
    """Maps each service key to its home VMs."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._members: dict[str, Member] = {}
        self._homes: dict[str, tuple[str, ...]] = {}

    def homes(self, key: str) -> tuple[Member, ...]:
        """Return the home VMs of a service, distributed over the data centres."""
        return tuple(self._members[vm] for vm in self._homes.get(key, ()))

    def vm_names(self, key: str) -> tuple[str, ...]:
        """Return the names of a service's home VMs."""
        return self._homes.get(key, ())

    def update(self, counts: Mapping[str, int], serving: Sequence[Member]) -> tuple[str, ...]:
        """Recompute the home VMs and return the keys of the services whose homes changed.

        `counts` gives the number of homes of each service, and `serving` the members that serve
        callers.
        """
        previous, known_members = self._homes, self._members
        self._members = {member.vm: member for member in serving}
        removed = {vm for vm, member in known_members.items() if not self._still_serves(member)}
        added = [vm for vm in self._members if vm not in known_members or vm in removed]
        homes = {}
        for key, count in counts.items():
            old = previous.get(key)
            if old is None or self._counts[key] != count or not removed.isdisjoint(old):
                homes[key] = _homes(key, serving, count)
            elif added:
                candidates = [self._members[vm] for vm in (*old, *added)]
                homes[key] = _homes(key, candidates, count)
            else:
                homes[key] = old
        self._counts, self._homes = dict(counts), homes
        return tuple(key for key in homes if previous.get(key) != homes[key])

    def _still_serves(self, member: Member) -> bool:
        """Return whether a member still serves, and from the same data centre."""
        present = self._members.get(member.vm)
        return present is not None and present.data_center == member.data_center


def _homes(key: str, members: Sequence[Member], count: int) -> tuple[str, ...]:
    return tuple(member.vm for member in home_vms(key, members, count))
