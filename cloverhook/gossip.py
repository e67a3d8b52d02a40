"""Spreads what is known of members: changes at once to every link, and repairs by digests.

Layer: coordination, free of input and output.  A change goes to each linked peer once, which sends
it on only if it was new there, so a change costs each link at most one message in each direction.
What a closing link loses is found by the digests in heartbeats: two daemons that still differ
after a while compare one digest for each bucket, and only the buckets that differ are sent.
"""

import random
from collections.abc import Collection, Iterable

from cloverhook.member_events import MemberAction, SendMessage
from cloverhook.members import Member, MemberTable
from cloverhook.messages import MemberDigests, MemberUpdate, MemberUpdates

__all__ = ["Gossip"]

MAX_CHANGES = 32
MAX_REPAIRS = 128
DIFFER_MS = 500
COMPARE_EVERY_MS = 500


class Gossip:
    """The changes that have to be passed on, and the peers that differ."""

    def __init__(self, table: MemberTable, source: random.Random) -> None:
        self._table = table
        self._random = source
        self._pending: dict[str, str] = {}
        self._differs_ms: dict[str, float] = {}
        self._compared_ms: dict[str, float] = {}

    def apply(self, member: Member, from_vm: str = "") -> bool:
        """Take knowledge of a member; pass it on if it is new here."""
        if not self._table.put(member):
            return False
        self._pending[member.vm] = from_vm
        return True

    def apply_self_report(self, member: Member) -> None:
        """Take what a member says of itself."""
        known = self._table.get(member.vm)
        if known is not None and known.precedence == member.precedence:
            self._table.confirm(member.vm)
            return
        self.apply(member, member.vm)

    def flush(self, linked: Collection[str]) -> tuple[MemberAction, ...]:
        """Return the messages that pass changes on, a bounded number of changes in each."""
        if not self._pending:
            return ()
        batch = dict(list(self._pending.items())[:MAX_CHANGES])
        for vm in batch:
            del self._pending[vm]
        actions: list[MemberAction] = []
        for peer in linked:
            wanted = [vm for vm, source in batch.items() if peer not in (vm, source)]
            updates = self._updates(wanted)
            if updates:
                actions.append(SendMessage(peer, MemberUpdates(updates)))
        return tuple(actions)

    def handle_updates(
        self, peer: str, updates: Iterable[MemberUpdate], now_ms: float
    ) -> tuple[MemberAction, ...]:
        """Take a peer's updates; send back what is newer here."""
        newer: list[str] = []
        for update in updates:
            member = Member.from_update(update, now_ms)
            if self.apply(member, peer):
                continue
            known = self._table.get(update.vm)
            if known.precedence == member.precedence:
                self._table.confirm(update.vm)
            elif not known.unconfirmed:
                newer.append(update.vm)
        if not newer:
            return ()
        return (SendMessage(peer, MemberUpdates(self._updates(newer))),)

    def handle_digest(self, peer: str, digest: int, now_ms: float) -> tuple[MemberAction, ...]:
        """Take the digest of a peer's heartbeat; compare the buckets if it keeps differing."""
        if digest == self._table.digest:
            self._differs_ms.pop(peer, None)
            self._table.confirm_all()
            return ()
        since_ms = self._differs_ms.setdefault(peer, now_ms)
        if len(self._table.present()) > 1 and now_ms - since_ms < DIFFER_MS:
            return ()
        if now_ms - self._compared_ms.get(peer, -COMPARE_EVERY_MS) < COMPARE_EVERY_MS:
            return ()
        self._compared_ms[peer] = now_ms
        return (SendMessage(peer, MemberDigests(self._table.digests())),)

    def reply_to_digests(self, peer: str, buckets: tuple[int, ...]) -> tuple[MemberAction, ...]:
        """Take a peer's digests and return the members of the buckets that differ."""
        own = self._table.digests()
        differing = [index for index, value in enumerate(own) if buckets[index] != value]
        self._random.shuffle(differing)
        found: list[MemberUpdate] = []
        for index in differing:
            members = self._table.bucket(index)
            found += [item.to_update() for item in members if not item.unconfirmed]
        if not found:
            return ()
        return (SendMessage(peer, MemberUpdates(tuple(found[:MAX_REPAIRS]))),)

    def forget(self, peer: str) -> None:
        """Drop what is kept about a peer whose link has closed."""
        self._differs_ms.pop(peer, None)
        self._compared_ms.pop(peer, None)

    def _updates(self, vms: Iterable[str]) -> tuple[MemberUpdate, ...]:
        members = [self._table.get(vm) for vm in vms]
        return tuple(member.to_update() for member in members if member is not None)
