"""Which VMs take part: judged from the platform's lagging list and the daemons' own heartbeats.

Layer: coordination, free of input and output.  `Membership.handle` takes typed events and the time.
"""

from dataclasses import dataclass, replace

from cloverhook.messages import Heartbeat, Hello
from cloverhook.platform_api import ListedVm, VmPhase

__all__ = ["Member", "Membership"]

SILENT_AFTER_MS = 1_000


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon as this one knows it; `heard_ms` is when it was last heard of."""

    vm: str
    data_center: str
    caller_address: str
    peer_address: str
    incarnation: int = 0
    config_offset: int = 0
    leaving: bool = False
    heard_ms: float = 0.0


class Membership:
    """The daemons this one knows, itself among them."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.vm: own}

    def listed(self, vms: tuple[ListedVm, ...], now_ms: float) -> None:
        """Take the platform's list: new VMs are added, VMs no longer listed are dropped."""
        names = {item.vm for item in vms}
        for item in vms:
            if item.vm not in self._members:
                self._members[item.vm] = Member(
                    item.vm,
                    item.data_center,
                    item.caller_address,
                    item.peer_address,
                    leaving=item.phase is VmPhase.LEAVING,
                )
        for vm in set(self._members) - names - {self.own.vm}:
            if not self._heard_lately(self._members[vm], now_ms):
                del self._members[vm]

    def greeted(self, hello: Hello, now_ms: float) -> None:
        """Take a peer's greeting."""
        self._members[hello.vm] = Member(
            hello.vm,
            hello.data_center,
            hello.caller_address,
            hello.peer_address,
            hello.incarnation,
            heard_ms=now_ms,
        )

    def heard(self, beat: Heartbeat, now_ms: float) -> None:
        """Take a peer's heartbeat; one of an older incarnation is dropped."""
        member = self._members.get(beat.vm)
        if member is None or beat.incarnation < member.incarnation:
            return
        self._members[beat.vm] = replace(
            member,
            incarnation=beat.incarnation,
            config_offset=beat.config_offset,
            leaving=beat.leaving,
            heard_ms=now_ms,
        )

    def all(self) -> tuple[Member, ...]:
        """Return every known daemon, ordered by name."""
        return tuple(self._members[vm] for vm in sorted(self._members))

    def serving(self, now_ms: float) -> tuple[Member, ...]:
        """Return the daemons that callers may be sent to."""
        return tuple(
            member
            for member in self.all()
            if not member.leaving
            and (member.vm == self.own.vm or self._heard_lately(member, now_ms))
        )

    def update_own(self, config_offset: int, leaving: bool) -> None:
        """Record what this daemon's next heartbeat says of itself."""
        self.own = replace(self.own, config_offset=config_offset, leaving=leaving)
        self._members[self.own.vm] = self.own

    def _heard_lately(self, member: Member, now_ms: float) -> bool:
        return now_ms - member.heard_ms < SILENT_AFTER_MS
