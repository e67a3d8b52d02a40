"""Which VMs take part: judged from the platform's list, the daemons' own word, links and callers.

Layer: coordination, free of input and output: `Membership.handle` takes a typed event and the time
on a monotonic clock, and returns typed actions.  The parts do the work: `members` holds what is
known, `overlay` says which peers to be linked to, `failure_detector` notices the lost and `gossip`
spreads the changes.

When the kinds of evidence disagree: a VM that is listed but silent is not handed out; one that is
heard but not listed yet serves; one that says itself that it is leaving leaves, whatever the list
says; one that the list calls leaving gets no new callers.
"""

import random
from collections.abc import Iterable
from dataclasses import replace
from functools import singledispatchmethod

from cloverhook.failure_detector import DetectorTimeouts, FailureDetector
from cloverhook.gossip import Gossip
from cloverhook.member_events import (
    CallerConnectFailed,
    ConfigFolded,
    Dial,
    LinkLost,
    LinkOpened,
    LoadChanged,
    MemberAction,
    MemberEvent,
    MessageReceived,
    ProcessResumed,
    Replaced,
    SendMessage,
    ShutdownStarted,
    Stopped,
    Tick,
    VmListRead,
)
from cloverhook.members import Member, MemberTable, Status
from cloverhook.messages import (
    Heartbeat,
    Hello,
    MemberDigests,
    MemberUpdate,
    MemberUpdates,
    Message,
    Ping,
    ProbeRequest,
    ProbeSuccess,
)
from cloverhook.overlay import neighbours, successors

__all__ = ["Membership"]

REDIAL_MS = 500
SEARCH_INTERVAL_MS = 1_000
SEARCHED = 3
START_MS = 5_000
ENOUGH_NEIGHBOURS = 2
CONFIRM_MS = 1_500
FORGET_MS = 60_000


class Membership:
    """The daemons that this one knows, itself among them."""

    def __init__(
        self,
        own: Member,
        source: random.Random,
        now_ms: float,
        heartbeat_ms: float = 250,
        times: DetectorTimeouts | None = None,
    ) -> None:
        self.table = MemberTable(own)
        self.linked: set[str] = set()
        self._random = source
        self._detector = FailureDetector(self.table, source, times or DetectorTimeouts())
        self._gossip = Gossip(self.table, source)
        self._heartbeat_ms = heartbeat_ms
        self._started_ms = now_ms
        self._config_offset = 0
        self._next_beat_ms = now_ms
        self._next_search_ms = now_ms
        self._next_forget_ms = now_ms + FORGET_MS
        self._dialled_ms: dict[str, float] = {}
        self._confirm_until_ms: float | None = None
        self._replaced = False
        self._ring_version = -1
        self._neighbours: tuple[str, ...] = ()
        self._successors: tuple[str, ...] = ()

    def serving(self) -> tuple[Member, ...]:
        """Return the daemons that callers may be sent to, ordered by name."""
        return self.table.serving()

    def highest_load(self, vms: Iterable[str]) -> float:
        """Return the load, 0 to 1, that the busiest of these VMs has told."""
        known = [self.table.get(vm) for vm in vms]
        return max((member.load_tenths for member in known if member is not None), default=0) / 10

    @property
    def version(self) -> int:
        """A number that changes whenever `serving` may have changed."""
        return self.table.version

    @property
    def has_unconfirmed_members(self) -> bool:
        """Whether answers rest on what was known before a pause of this process."""
        return self.table.has_unconfirmed

    def neighbours(self) -> tuple[str, ...]:
        """Return the VMs beside this one in the overlay."""
        if self._ring_version != self.table.version:
            self._ring_version = self.table.version
            vms = [member.vm for member in self.table.present()]
            own_vm = self.table.own.vm
            self._neighbours = neighbours(own_vm, vms)
            self._successors = successors(own_vm, vms)
        return self._neighbours

    def handle(self, event: MemberEvent, now_ms: float) -> tuple[MemberAction, ...]:
        """Take an event and return the actions it calls for."""
        actions = list(self._take(event, now_ms))
        actions.extend(self._gossip.flush(self._told()))
        return tuple(actions)

    def next_wake_ms(self, now_ms: float) -> float:
        """Return when a `Tick` next has something to do, if no other event comes before."""
        wake_ms = min(
            self._next_beat_ms,
            self._next_search_ms,
            self._detector.next_wake_ms(self.neighbours(), now_ms),
        )
        for vm in self._successors:
            if vm not in self.linked:
                wake_ms = min(wake_ms, self._dialled_ms.get(vm, now_ms - REDIAL_MS) + REDIAL_MS)
        if self._confirm_until_ms is not None:
            wake_ms = min(wake_ms, self._confirm_until_ms)
        return wake_ms

    def _told(self) -> list[str]:
        """Return the peers that changes go to: the neighbours, or all while few are linked."""
        near = [vm for vm in self.neighbours() if vm in self.linked]
        return near if len(near) >= ENOUGH_NEIGHBOURS else sorted(self.linked)

    @singledispatchmethod
    def _take(self, event: MemberEvent, now_ms: float) -> tuple[MemberAction, ...]:
        raise TypeError(f"not an event: {event!r}")

    @_take.register
    def _(self, event: VmListRead, now_ms: float) -> tuple[MemberAction, ...]:
        self.table.apply_vm_list(event.vms, now_ms)
        return ()

    @_take.register
    def _(self, event: LinkOpened, now_ms: float) -> tuple[MemberAction, ...]:
        hello = event.hello
        self.linked.add(hello.vm)
        self._gossip.apply_self_report(_member_of(hello, now_ms))
        return (
            *self._detector.record_message(hello.vm, now_ms),
            *self._correct(hello.vm, hello.incarnation, hello.sequence),
            SendMessage(hello.vm, self._heartbeat()),
        )

    @_take.register
    def _(self, event: LinkLost, now_ms: float) -> tuple[MemberAction, ...]:
        self.linked.discard(event.vm)
        self._gossip.forget(event.vm)
        if event.vm not in self.neighbours():
            return ()
        return self._detector.start_check(event.vm, self.linked, now_ms)

    @_take.register
    def _(self, event: CallerConnectFailed, now_ms: float) -> tuple[MemberAction, ...]:
        for member in self.table.serving():
            if member.caller_address == event.caller_address:
                return self._detector.start_check(member.vm, self.linked, now_ms)
        return ()

    @_take.register
    def _(self, event: ConfigFolded, now_ms: float) -> tuple[MemberAction, ...]:
        if event.next_offset == self._config_offset:
            return ()
        self._config_offset = event.next_offset
        return self._beat(now_ms)

    @_take.register
    def _(self, event: ShutdownStarted, now_ms: float) -> tuple[MemberAction, ...]:
        self._say(leaving=True)
        return self._beat(now_ms)

    @_take.register
    def _(self, event: LoadChanged, now_ms: float) -> tuple[MemberAction, ...]:
        self._say(load_tenths=event.load_tenths)
        return ()

    @_take.register
    def _(self, event: Stopped, now_ms: float) -> tuple[MemberAction, ...]:
        self._say(status=Status.LOST)
        return ()

    @_take.register
    def _(self, event: ProcessResumed, now_ms: float) -> tuple[MemberAction, ...]:
        self.linked.clear()
        self._dialled_ms.clear()
        self.table.mark_all_unconfirmed(now_ms)
        self._detector.reset_after_pause(now_ms)
        self._confirm_until_ms = None
        return ()

    @_take.register
    def _(self, event: MessageReceived, now_ms: float) -> tuple[MemberAction, ...]:
        heard = self._detector.record_message(event.vm, now_ms)
        if self.table.has_unconfirmed and self._confirm_until_ms is None:
            self._confirm_until_ms = now_ms + CONFIRM_MS
        return (*heard, *self._answer(event.vm, event.message, now_ms))

    @_take.register
    def _(self, event: Tick, now_ms: float) -> tuple[MemberAction, ...]:
        if self.table.own.status is Status.LOST:
            return ()
        actions, changed = self._detector.tick(self.neighbours(), self.linked, now_ms)
        for member in changed:
            self._gossip.apply(member)
        told = [SendMessage(item.vm, MemberUpdates((item.to_update(),))) for item in changed]
        if self._confirm_until_ms is not None and now_ms >= self._confirm_until_ms:
            self._confirm_until_ms = None
            self.table.drop_unconfirmed()
        if now_ms >= self._next_forget_ms:
            self._next_forget_ms = now_ms + FORGET_MS
            self.table.forget_lost(now_ms)
        beats = self._beat(now_ms) if now_ms >= self._next_beat_ms else ()
        return (*actions, *told, *beats, *self._dials(now_ms))

    def _answer(self, vm: str, message: Message, now_ms: float) -> tuple[MemberAction, ...]:
        match message:
            case Heartbeat():
                return self._heartbeat_heard(vm, message, now_ms)
            case MemberUpdates(updates):
                return self._updates_heard(vm, updates, now_ms)
            case MemberDigests(buckets):
                return self._gossip.reply_to_digests(vm, buckets)
            case Ping():
                return (SendMessage(vm, self._heartbeat()),)
            case ProbeRequest(target):
                return self._detector.handle_probe_request(vm, target, now_ms)
            case ProbeSuccess():
                self._detector.record_probe_success(message, now_ms)
        return ()

    def _heartbeat_heard(self, vm: str, beat: Heartbeat, now_ms: float) -> tuple[MemberAction, ...]:
        known = self.table.get(vm)
        if known is not None and beat.vm == vm:
            fresh = replace(
                known,
                incarnation=beat.incarnation,
                sequence=beat.sequence,
                status=Status.ALIVE,
                leaving=beat.leaving,
                since_ms=now_ms,
                unconfirmed=False,
            )
            self._gossip.apply_self_report(fresh)
        return (
            *self._correct(vm, beat.incarnation, beat.sequence),
            *self._gossip.handle_digest(vm, beat.digest, now_ms),
        )

    def _updates_heard(
        self, vm: str, updates: tuple[MemberUpdate, ...], now_ms: float
    ) -> tuple[MemberAction, ...]:
        own_vm = self.table.own.vm
        about_own = [update for update in updates if update.vm == own_vm]
        others = [update for update in updates if update.vm != own_vm]
        actions = list(self._gossip.handle_updates(vm, others, now_ms))
        for update in about_own:
            actions.extend(self._refute(update, now_ms))
        return tuple(actions)

    def _refute(self, update: MemberUpdate, now_ms: float) -> tuple[MemberAction, ...]:
        own = self.table.own
        if own.status is Status.LOST or update.incarnation < own.incarnation:
            return ()
        if update.incarnation > own.incarnation:
            if now_ms - self._started_ms < START_MS:
                self._say(incarnation=update.incarnation + 1)
                return ()
            first, self._replaced = not self._replaced, True
            return (Replaced(),) if first else ()
        if update.sequence >= own.sequence and update.status != Status.ALIVE:
            self._say(sequence=update.sequence + 1)
        return ()

    def _say(self, **changes: object) -> None:
        """Say something new of this daemon."""
        own = self.table.own
        self._gossip.apply(replace(own, **{"sequence": own.sequence + 1, **changes}))

    def _correct(self, vm: str, incarnation: int, sequence: int) -> tuple[MemberAction, ...]:
        """Tell a VM that others hold it for suspect or lost, so that it refutes."""
        known = self.table.get(vm)
        if known is None or known.status in (Status.ALIVE, Status.LISTED):
            return ()
        if (known.incarnation, known.sequence) < (incarnation, sequence):
            return ()
        return (SendMessage(vm, MemberUpdates((known.to_update(),))),)

    def _heartbeat(self) -> Heartbeat:
        own = self.table.own
        return Heartbeat(
            own.vm,
            own.incarnation,
            self._config_offset,
            own.leaving,
            own.sequence,
            self.table.digest,
        )

    def _beat(self, now_ms: float) -> tuple[MemberAction, ...]:
        self._next_beat_ms = now_ms + self._heartbeat_ms
        beat = self._heartbeat()
        return tuple(SendMessage(vm, beat) for vm in sorted(self.linked))

    def _dials(self, now_ms: float) -> tuple[MemberAction, ...]:
        self.neighbours()
        wanted = [vm for vm in self._successors if vm not in self.linked]
        if now_ms >= self._next_search_ms:
            self._next_search_ms = now_ms + (SEARCH_INTERVAL_MS if self.linked else REDIAL_MS)
            wanted += self._searched()
        due = [vm for vm in wanted if now_ms - self._dialled_ms.get(vm, -REDIAL_MS) >= REDIAL_MS]
        self._dialled_ms.update(dict.fromkeys(due, now_ms))
        return tuple(Dial(vm) for vm in due)

    def _searched(self) -> list[str]:
        """Choose VMs that may have come, come back, or stand on the other side of a cut."""
        absent = [item.vm for item in self.table.all() if not item.present]
        count = 1 if self.linked else SEARCHED
        return self._random.sample(absent, min(count, len(absent)))


def _member_of(hello: Hello, now_ms: float) -> Member:
    return Member(
        hello.vm,
        hello.data_center,
        hello.caller_address,
        hello.peer_address,
        hello.incarnation,
        hello.sequence,
        Status.ALIVE,
        hello.leaving,
        now_ms,
    )
