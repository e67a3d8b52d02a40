"""The members a daemon knows, and the rule by which newer knowledge of one replaces older.

Layer: coordination, free of input and output.  Of two updates about a VM the one with the higher
incarnation holds, then the one with the higher sequence number, then the graver status.  Only the
VM itself raises its sequence number, so it can refute what others say of it, and nobody else can.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

import xxhash

from cloverhook.messages import MemberUpdate
from cloverhook.platform_api import ListedVm, VmPhase

__all__ = ["BUCKETS", "Member", "MemberTable", "Status"]

BUCKETS = 32
LOST_KEPT_MS = 2 * 60 * 60 * 1_000
LISTED_ONLY = -1


class Status(IntEnum):
    """What is known of a member's process, gravest last.

    `LISTED` members stand in the platform's list, but nobody has heard of them yet.
    """

    LISTED = 0
    ALIVE = 1
    SUSPECT = 2
    LOST = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon as this one knows it; `since_ms` is when its status was learnt.

    `unconfirmed` says that the knowledge dates from before a pause of this process.
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
        """Return the member that an update describes.  Raises `ValueError` for a wrong status."""
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
        """Return what peers are told of this member."""
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
        """The order by which one update replaces another."""
        return (self.incarnation, self.sequence, int(self.status))

    @property
    def present(self) -> bool:
        """Whether the process is taken to run."""
        return self.status in (Status.ALIVE, Status.SUSPECT)

    @property
    def visible(self) -> tuple[bool, bool, str, str, str]:
        """What makes a difference to callers, routers and links."""
        addresses = (self.data_center, self.caller_address, self.peer_address)
        return (self.present, self.leaving, *addresses)

    @property
    def digest(self) -> int:
        """A hash over what peers have to agree on."""
        key = f"{self.vm}\0{self.incarnation}\0{self.sequence}\0{int(self.status)}"
        return xxhash.xxh3_64_intdigest(key.encode())


class MemberTable:
    """Every member by VM name, this daemon's own among them.

    `version` counts the changes that make a difference to callers, routers or links.
    """

    def __init__(self, own: Member) -> None:
        self._own_vm = own.vm
        self._members: dict[str, Member] = {own.vm: own}
        self._listed: dict[str, VmPhase] = {}
        self._buckets = [0] * BUCKETS
        self._suspected: set[str] = set()
        self._doubting = False
        self.version = 0
        self._flip(own)

    @property
    def own(self) -> Member:
        """This daemon's own entry."""
        return self._members[self._own_vm]

    def get(self, vm: str) -> Member | None:
        """Return what is known of a VM."""
        return self._members.get(vm)

    def all(self) -> tuple[Member, ...]:
        """Return every member, ordered by name."""
        return tuple(self._members[vm] for vm in sorted(self._members))

    def present(self) -> tuple[Member, ...]:
        """Return the members whose process is taken to run, ordered by name."""
        return tuple(member for member in self.all() if member.present)

    def serving(self) -> tuple[Member, ...]:
        """Return the members that callers may be sent to, ordered by name."""
        return tuple(
            member
            for member in self.present()
            if not member.leaving and self._listed.get(member.vm) is not VmPhase.LEAVING
        )

    @property
    def any_suspected(self) -> bool:
        """Whether any member is suspected."""
        return bool(self._suspected)

    def suspects(self) -> tuple[Member, ...]:
        """Return the members that are suspected."""
        return tuple(self._members[vm] for vm in sorted(self._suspected))

    def put(self, member: Member) -> bool:
        """Take newer knowledge of a member; return whether it was newer."""
        known = self._members.get(member.vm)
        if known is not None and known.precedence >= member.precedence:
            return False
        self._replace(member)
        return True

    def confirm(self, vm: str) -> None:
        """Note that what is known of a VM holds after a pause too."""
        known = self._members.get(vm)
        if known is not None and known.unconfirmed:
            self._members[vm] = replace(known, unconfirmed=False)

    def confirm_all(self) -> None:
        """Note that all that is known holds after a pause too."""
        if self._doubting:
            self._doubting = False
            for vm in tuple(self._members):
                self.confirm(vm)

    def mark_all_unconfirmed(self, now_ms: float) -> None:
        """Note that what is known of every other VM may have changed during a pause."""
        self._doubting = True
        for vm, member in self._members.items():
            if vm != self._own_vm:
                self._members[vm] = replace(member, unconfirmed=True, since_ms=now_ms)

    @property
    def has_unconfirmed(self) -> bool:
        """Whether something that callers may be told dates from before a pause."""
        return self._doubting and any(
            member.unconfirmed and member.present for member in self._members.values()
        )

    def drop_unconfirmed(self) -> None:
        """Take back to `LISTED` what nobody has confirmed since a pause."""
        self._doubting = False
        for member in self.all():
            if member.unconfirmed and member.present:
                self._replace(replace(member, status=Status.LISTED, unconfirmed=False))

    def apply_vm_list(self, vms: Iterable[ListedVm], now_ms: float) -> None:
        """Take the platform's list: addresses of VMs not heard of yet, and who is leaving."""
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
        """Drop members that were lost long ago and aren't listed any more."""
        for member in self.all():
            old = now_ms - member.since_ms > LOST_KEPT_MS
            if member.status is Status.LOST and old and member.vm not in self._listed:
                self._remove(member)

    @property
    def digest(self) -> int:
        """One hash over all members that are taken to run."""
        total = 0
        for bucket in self._buckets:
            total ^= bucket
        return total

    def digests(self) -> tuple[int, ...]:
        """Return one hash for each bucket of members."""
        return tuple(self._buckets)

    def bucket(self, index: int) -> tuple[Member, ...]:
        """Return the members of a bucket that are taken to run."""
        return tuple(item for item in self.present() if _bucket_of(item.vm) == index)

    def _replace(self, member: Member) -> None:
        known = self._members.get(member.vm)
        if known is not None:
            self._flip(known)
        self._members[member.vm] = member
        self._flip(member)
        if known is None or known.visible != member.visible:
            self.version += 1

    def _remove(self, member: Member) -> None:
        self._flip(member)
        del self._members[member.vm]
        self.version += 1

    def _flip(self, member: Member) -> None:
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
        incarnation=LISTED_ONLY,
        status=Status.LISTED,
        since_ms=now_ms,
    )


def _bucket_of(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode()) % BUCKETS
