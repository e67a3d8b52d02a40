"""The table of members, and the rule that decides which of two updates about a member wins.

Layer: coordination, free of input and output.  Of two updates about a VM, the one with the higher
incarnation wins, then the one with the higher sequence number, then the one with the more severe
status.  Only the VM itself raises its sequence number, so only the VM itself can refute what other
daemons report about it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

import xxhash

from cloverhook.messages import MemberUpdate
from cloverhook.platform_api import ListedVm, VmPhase

__all__ = ["BUCKETS", "Member", "MemberTable", "Status"]

BUCKETS = 32
LOST_RETENTION_MS = 2 * 60 * 60 * 1_000
LISTED_INCARNATION = -1


class Status(IntEnum):
    """The status of a member's process, in order of increasing severity.

    `LISTED` members are in the platform's list, but no daemon has reported them yet.
    """

    LISTED = 0
    ALIVE = 1
    SUSPECT = 2
    LOST = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon's entry in the member table; `since_ms` is when its status was learnt.

    `unconfirmed` means that the entry dates from before a pause of this process.
    """

    vm: str
    data_center: str
    caller_address: str
    peer_address: str
    incarnation: int = 0
    sequence: int = 0
    status: Status = Status.ALIVE
    leaving: bool = False
    since_ms: float = 0.0
    unconfirmed: bool = False
    load_tenths: int = 0

    @classmethod
    def from_update(cls, update: MemberUpdate, now_ms: float) -> "Member":
        """Return the member that an update describes.  Raises `ValueError` for a bad status."""
        return cls(
            update.vm,
            update.data_center,
            update.caller_address,
            update.peer_address,
            update.incarnation,
            update.sequence,
            Status(update.status),
            update.leaving,
            now_ms,
            load_tenths=update.load_tenths,
        )

    def to_update(self) -> MemberUpdate:
        """Return the update about this member to send to peers."""
        return MemberUpdate(
            self.vm,
            self.data_center,
            self.caller_address,
            self.peer_address,
            self.incarnation,
            self.sequence,
            int(self.status),
            self.leaving,
            self.load_tenths,
        )

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The sort key that decides which update replaces another; the greater one wins."""
        return (self.incarnation, self.sequence, int(self.status))

    @property
    def present(self) -> bool:
        """Whether the process is presumed to be running."""
        return self.status in (Status.ALIVE, Status.SUSPECT)

    @property
    def visible_attributes(self) -> tuple[bool, bool, str, str, str]:
        """The attributes that matter to callers, routers and links."""
        addresses = (self.data_center, self.caller_address, self.peer_address)
        return (self.present, self.leaving, *addresses)

    @property
    def digest(self) -> int:
        """A hash over the attributes that peers have to agree on."""
        key = f"{self.vm}\0{self.incarnation}\0{self.sequence}\0{int(self.status)}"
        return xxhash.xxh3_64_intdigest(key.encode())


class MemberTable:
    """All members by VM name, including this daemon's own entry.

    `version` counts the changes that matter to callers, routers or links.
    """

    def __init__(self, own: Member) -> None:
        self._own_vm = own.vm
        self._members: dict[str, Member] = {own.vm: own}
        self._listed: dict[str, VmPhase] = {}
        self._buckets = [0] * BUCKETS
        self._suspected: set[str] = set()
        self._after_pause = False
        self.version = 0
        self._toggle(own)

    @property
    def own(self) -> Member:
        """This daemon's own entry."""
        return self._members[self._own_vm]

    def get(self, vm: str) -> Member | None:
        """Return a VM's entry, or None."""
        return self._members.get(vm)

    def all(self) -> tuple[Member, ...]:
        """Return all members, ordered by VM name."""
        return tuple(self._members[vm] for vm in sorted(self._members))

    def present(self) -> tuple[Member, ...]:
        """Return the members whose process is presumed to be running, ordered by VM name."""
        return tuple(member for member in self.all() if member.present)

    def serving(self) -> tuple[Member, ...]:
        """Return the members that callers may be sent to, ordered by VM name."""
        return tuple(
            member
            for member in self.present()
            if not member.leaving and self._listed.get(member.vm) is not VmPhase.LEAVING
        )

    def group_share(self) -> float:
        """Return the share of the fleet's VMs that this VM knows to serve callers.

        VMs that the platform's list names, but that are not known to serve, may be cut off from
        this one and serve as well.
        """
        serving = {member.vm for member in self.serving()}
        absent = sum(
            phase is not VmPhase.LEAVING and vm not in serving for vm, phase in self._listed.items()
        )
        known = max(1, len(serving))
        return known / (known + absent)

    @property
    def any_suspected(self) -> bool:
        """Whether any member is suspect."""
        return bool(self._suspected)

    def suspects(self) -> tuple[Member, ...]:
        """Return the members that are suspect, ordered by VM name."""
        return tuple(self._members[vm] for vm in sorted(self._suspected))

    def put(self, member: Member) -> bool:
        """Store a member if it is newer than the known entry; return whether it was stored."""
        known = self._members.get(member.vm)
        if known is not None and known.precedence >= member.precedence:
            return False
        self._replace(member)
        return True

    def confirm(self, vm: str) -> None:
        """Record that a VM's entry is still correct after a pause of this process."""
        known = self._members.get(vm)
        if known is not None and known.unconfirmed:
            self._members[vm] = replace(known, unconfirmed=False)

    def confirm_all(self) -> None:
        """Record that all entries are still correct after a pause of this process."""
        if self._after_pause:
            self._after_pause = False
            for vm in tuple(self._members):
                self.confirm(vm)

    def mark_all_unconfirmed(self, now_ms: float) -> None:
        """Mark the entries of all other VMs as unconfirmed: they may have changed in a pause."""
        self._after_pause = True
        for vm, member in self._members.items():
            if vm != self._own_vm:
                self._members[vm] = replace(member, unconfirmed=True, since_ms=now_ms)

    @property
    def has_unconfirmed(self) -> bool:
        """Whether an entry that may be returned to callers dates from before a pause."""
        return self._after_pause and any(
            member.unconfirmed and member.present for member in self._members.values()
        )

    def drop_unconfirmed(self) -> None:
        """Reset members that have not been confirmed since a pause to `LISTED`."""
        self._after_pause = False
        for member in self.all():
            if member.unconfirmed and member.present:
                self._replace(replace(member, status=Status.LISTED, unconfirmed=False))

    def apply_vm_list(self, vms: Iterable[ListedVm], now_ms: float) -> None:
        """Apply the platform's list: add VMs that are new, and record which ones are leaving."""
        phases = {item.vm: item.phase for item in vms}
        for item in vms:
            if item.vm not in self._members:
                self._replace(_listed_member(item, now_ms))
        for member in self.all():
            if member.vm not in phases and member.status is Status.LISTED:
                self._remove(member)
        if phases != self._listed:
            self._listed = phases
            self.version += 1

    def forget_lost(self, now_ms: float) -> None:
        """Remove members that were lost long ago and are no longer listed."""
        for member in self.all():
            old = now_ms - member.since_ms > LOST_RETENTION_MS
            if member.status is Status.LOST and old and member.vm not in self._listed:
                self._remove(member)

    @property
    def digest(self) -> int:
        """One hash over all members whose process is presumed to be running."""
        total = 0
        for bucket in self._buckets:
            total ^= bucket
        return total

    def digests(self) -> tuple[int, ...]:
        """Return one hash for each bucket of members."""
        return tuple(self._buckets)

    def bucket(self, index: int) -> tuple[Member, ...]:
        """Return the members of a bucket whose process is presumed to be running."""
        return tuple(item for item in self.present() if _bucket_of(item.vm) == index)

    def _replace(self, member: Member) -> None:
        known = self._members.get(member.vm)
        if known is not None:
            self._toggle(known)
        self._members[member.vm] = member
        self._toggle(member)
        if known is None or known.visible_attributes != member.visible_attributes:
            self.version += 1

    def _remove(self, member: Member) -> None:
        self._toggle(member)
        del self._members[member.vm]
        self.version += 1

    def _toggle(self, member: Member) -> None:
        if member.status is Status.SUSPECT:
            self._suspected ^= {member.vm}
        if member.present:
            self._buckets[_bucket_of(member.vm)] ^= member.digest


def _listed_member(item: ListedVm, now_ms: float) -> Member:
    return Member(
        item.vm,
        item.data_center,
        item.caller_address,
        item.peer_address,
        incarnation=LISTED_INCARNATION,
        status=Status.LISTED,
        since_ms=now_ms,
    )


def _bucket_of(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode()) % BUCKETS
