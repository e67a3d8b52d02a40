"""The home VMs of every service, kept up to date as members come and go.

Layer: coordination, free of input and output.  With hundreds of services and VMs, hashing every
pair at each change would stop a daemon for a good part of a second.  A member that goes changes
only the services that it was a home of, and one that comes can only join a service's homes, so it
is ranked against these alone.
"""

from collections.abc import Mapping, Sequence

from cloverhook.members import Member
from cloverhook.steering import home_vms

__all__ = ["HomeTable"]


class HomeTable:
    """The home VMs by service key."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._members: dict[str, Member] = {}
        self._homes: dict[str, tuple[str, ...]] = {}

    def homes(self, key: str) -> tuple[Member, ...]:
        """Return the home VMs of a service, spread over the data centres."""
        return tuple(self._members[vm] for vm in self._homes.get(key, ()))

    def home_names(self, key: str) -> tuple[str, ...]:
        """Return the names of a service's home VMs."""
        return self._homes.get(key, ())

    def update(self, counts: Mapping[str, int], serving: Sequence[Member]) -> tuple[str, ...]:
        """Take how many homes each service has and who serves; return the services that changed."""
        before, known = self._homes, self._members
        self._members = {member.vm: member for member in serving}
        gone = {vm for vm, member in known.items() if not self._same(member)}
        came = [vm for vm in self._members if vm not in known or vm in gone]
        homes = {}
        for key, count in counts.items():
            old = before.get(key)
            if old is None or self._counts[key] != count or not gone.isdisjoint(old):
                homes[key] = _homes(key, serving, count)
            elif came:
                candidates = [self._members[vm] for vm in (*old, *came)]
                homes[key] = _homes(key, candidates, count)
            else:
                homes[key] = old
        self._counts, self._homes = dict(counts), homes
        return tuple(key for key in homes if before.get(key) != homes[key])

    def _same(self, member: Member) -> bool:
        """Return whether a member serves on from the same data centre."""
        present = self._members.get(member.vm)
        return present is not None and present.data_center == member.data_center


def _homes(key: str, members: Sequence[Member], count: int) -> tuple[str, ...]:
    return tuple(member.vm for member in home_vms(key, members, count))
