"""Group membership: decides which VMs take part in the fleet.

Layer: coordination, free of input and output: `Membership.handle` takes a typed event and the time
on a monotonic clock, and returns typed actions.  The evidence comes from the platform's list of
VMs, from what the daemons report about themselves, from links and from callers.  The work is
divided among four modules: `members` holds the member table, `overlay` chooses the peers to link
to, `failure_detector` detects lost members and `gossip` spreads changes.

Rules for evidence that disagrees:

- A VM that is listed but silent is not returned to callers.
- A VM that sends messages but is not listed yet serves callers.
- A VM that reports that it is leaving is leaving, whatever the list says.
- A VM that the list marks as leaving gets no new callers.
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

REDIAL_INTERVAL_MS = 500
SEARCH_INTERVAL_MS = 1_000
SEARCH_COUNT = 3
STARTUP_MS = 5_000
MIN_LINKED_NEIGHBOURS = 2
CONFIRM_TIMEOUT_MS = 1_500
FORGET_INTERVAL_MS = 60_000


class Membership:
    """The members of the fleet as this daemon sees them, including itself."""

    def __init__(
        self,
        own: Member,
        source: random.Random,
        now_ms: float,
        heartbeat_ms: float = 250,
        timeouts: DetectorTimeouts | None = None,
    ) -> None:
        self.table = MemberTable(own)
        self.linked: set[str] = set()
        self._random = source
        self._detector = FailureDetector(self.table, source, timeouts or DetectorTimeouts())
        self._gossip = Gossip(self.table, source)
        self._heartbeat_ms = heartbeat_ms
        self._started_ms = now_ms
        self._config_offset = 0
        self._next_heartbeat_ms = now_ms
        self._next_search_ms = now_ms
        self._next_forget_ms = now_ms + FORGET_INTERVAL_MS
        self._last_dial_ms: dict[str, float] = {}
        self._confirm_until_ms: float | None = None
        self._replaced = False
        self._ring_version = -1
        self._neighbours: tuple[str, ...] = ()
        self._successors: tuple[str, ...] = ()

    def serving(self) -> tuple[Member, ...]:
        """Return the members that callers may be sent to, ordered by VM name."""
        return self.table.serving()

    def group_share(self) -> float:
        """Return the share of the fleet's VMs that this VM knows to serve callers."""
        return self.table.group_share()

    def highest_load(self, vms: Iterable[str]) -> float:
        """Return the highest load, 0 to 1, that any of these VMs has reported, or 0."""
        known = [self.table.get(vm) for vm in vms]
        return max((member.load_tenths for member in known if member is not None), default=0) / 10

    @property
    def version(self) -> int:
        """A number that changes whenever the result of `serving` may have changed."""
        return self.table.version

    @property
    def has_unconfirmed_members(self) -> bool:
        """Whether answers to callers rest on information from before a pause of this process."""
        return self.table.has_unconfirmed

    def neighbours(self) -> tuple[str, ...]:
        """Return the VMs adjacent to this one in the overlay."""
        if self._ring_version != self.table.version:
            self._ring_version = self.table.version
            vms = [member.vm for member in self.table.present()]
            own_vm = self.table.own.vm
            self._neighbours = neighbours(own_vm, vms)
            self._successors = successors(own_vm, vms)
        return self._neighbours

    def handle(self, event: MemberEvent, now_ms: float) -> tuple[MemberAction, ...]:
        """Process an event and return the actions to carry out."""
        actions = list(self._apply_event(event, now_ms))
        actions.extend(self._gossip.flush(self._update_targets()))
        return tuple(actions)

    def next_wake_ms(self, now_ms: float) -> float:
        """Return when a `Tick` is next needed, provided that no other event comes first."""
        wake_ms = min(
            self._next_heartbeat_ms,
            self._next_search_ms,
            self._detector.next_wake_ms(self.neighbours(), now_ms),
        )
        for vm in self._successors:
            if vm not in self.linked:
                wake_ms = min(
                    wake_ms,
                    self._last_dial_ms.get(vm, now_ms - REDIAL_INTERVAL_MS) + REDIAL_INTERVAL_MS,
                )
        if self._confirm_until_ms is not None:
            wake_ms = min(wake_ms, self._confirm_until_ms)
        return wake_ms

    def _update_targets(self) -> list[str]:
        """Return the peers to send updates to: the linked neighbours, or all links if too few."""
        peers = [vm for vm in self.neighbours() if vm in self.linked]
        return peers if len(peers) >= MIN_LINKED_NEIGHBOURS else sorted(self.linked)

    @singledispatchmethod
    def _apply_event(self, event: MemberEvent, now_ms: float) -> tuple[MemberAction, ...]:
        raise TypeError(f"not an event: {event!r}")

    @_apply_event.register
    def _(self, event: VmListRead, now_ms: float) -> tuple[MemberAction, ...]:
        self.table.apply_vm_list(event.vms, now_ms)
        return ()

    @_apply_event.register
    def _(self, event: LinkOpened, now_ms: float) -> tuple[MemberAction, ...]:
        hello = event.hello
        self.linked.add(hello.vm)
        self._gossip.apply_self_report(_member_of(hello, now_ms))
        return (
            *self._detector.record_message(hello.vm, now_ms),
            *self._prompt_refutation(hello.vm, hello.incarnation, hello.sequence),
            SendMessage(hello.vm, self._heartbeat()),
        )

    @_apply_event.register
    def _(self, event: LinkLost, now_ms: float) -> tuple[MemberAction, ...]:
        self.linked.discard(event.vm)
        self._gossip.forget(event.vm)
        if event.vm not in self.neighbours():
            return ()
        return self._detector.start_check(event.vm, self.linked, now_ms)

    @_apply_event.register
    def _(self, event: CallerConnectFailed, now_ms: float) -> tuple[MemberAction, ...]:
        for member in self.table.serving():
            if member.caller_address == event.caller_address:
                return self._detector.start_check(member.vm, self.linked, now_ms)
        return ()

    @_apply_event.register
    def _(self, event: ConfigFolded, now_ms: float) -> tuple[MemberAction, ...]:
        if event.next_offset == self._config_offset:
            return ()
        self._config_offset = event.next_offset
        return self._send_heartbeats(now_ms)

    @_apply_event.register
    def _(self, event: ShutdownStarted, now_ms: float) -> tuple[MemberAction, ...]:
        self._update_own(leaving=True)
        return self._send_heartbeats(now_ms)

    @_apply_event.register
    def _(self, event: LoadChanged, now_ms: float) -> tuple[MemberAction, ...]:
        self._update_own(load_tenths=event.load_tenths)
        return ()

    @_apply_event.register
    def _(self, event: Stopped, now_ms: float) -> tuple[MemberAction, ...]:
        self._update_own(status=Status.LOST)
        return ()

    @_apply_event.register
    def _(self, event: ProcessResumed, now_ms: float) -> tuple[MemberAction, ...]:
        self.linked.clear()
        self._last_dial_ms.clear()
        self.table.mark_all_unconfirmed(now_ms)
        self._detector.reset_after_pause(now_ms)
        self._confirm_until_ms = None
        return ()

    @_apply_event.register
    def _(self, event: MessageReceived, now_ms: float) -> tuple[MemberAction, ...]:
        probe_answers = self._detector.record_message(event.vm, now_ms)
        if self.table.has_unconfirmed and self._confirm_until_ms is None:
            self._confirm_until_ms = now_ms + CONFIRM_TIMEOUT_MS
        return (*probe_answers, *self._apply_message(event.vm, event.message, now_ms))

    @_apply_event.register
    def _(self, event: Tick, now_ms: float) -> tuple[MemberAction, ...]:
        if self.table.own.status is Status.LOST:
            return ()
        actions, changed = self._detector.tick(self.neighbours(), self.linked, now_ms)
        for member in changed:
            self._gossip.apply(member)
        notices = [SendMessage(item.vm, MemberUpdates((item.to_update(),))) for item in changed]
        if self._confirm_until_ms is not None and now_ms >= self._confirm_until_ms:
            self._confirm_until_ms = None
            self.table.drop_unconfirmed()
        if now_ms >= self._next_forget_ms:
            self._next_forget_ms = now_ms + FORGET_INTERVAL_MS
            self.table.forget_lost(now_ms)
        heartbeats = self._send_heartbeats(now_ms) if now_ms >= self._next_heartbeat_ms else ()
        return (*actions, *notices, *heartbeats, *self._dial_peers(now_ms))

    def _apply_message(self, vm: str, message: Message, now_ms: float) -> tuple[MemberAction, ...]:
        match message:
            case Heartbeat():
                return self._apply_heartbeat(vm, message, now_ms)
            case MemberUpdates(updates):
                return self._apply_updates(vm, updates, now_ms)
            case MemberDigests(buckets):
                return self._gossip.reply_to_digests(vm, buckets)
            case Ping():
                return (SendMessage(vm, self._heartbeat()),)
            case ProbeRequest(target):
                return self._detector.handle_probe_request(vm, target, now_ms)
            case ProbeSuccess():
                self._detector.record_probe_success(message, now_ms)
        return ()

    def _apply_heartbeat(
        self, vm: str, heartbeat: Heartbeat, now_ms: float
    ) -> tuple[MemberAction, ...]:
        known = self.table.get(vm)
        if known is not None and heartbeat.vm == vm:
            refreshed = replace(
                known,
                incarnation=heartbeat.incarnation,
                sequence=heartbeat.sequence,
                status=Status.ALIVE,
                leaving=heartbeat.leaving,
                since_ms=now_ms,
                unconfirmed=False,
            )
            self._gossip.apply_self_report(refreshed)
        return (
            *self._prompt_refutation(vm, heartbeat.incarnation, heartbeat.sequence),
            *self._gossip.handle_digest(vm, heartbeat.digest, now_ms),
        )

    def _apply_updates(
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
            # Shortly after the start, this daemon takes a still higher incarnation.  Later, a
            # higher incarnation means that another process has taken this VM's name.
            if now_ms - self._started_ms < STARTUP_MS:
                self._update_own(incarnation=update.incarnation + 1)
                return ()
            first, self._replaced = not self._replaced, True
            return (Replaced(),) if first else ()
        if update.sequence >= own.sequence and update.status != Status.ALIVE:
            self._update_own(sequence=update.sequence + 1)
        return ()

    def _update_own(self, **changes: object) -> None:
        """Change this daemon's own entry, with a new sequence number, and spread the change."""
        own = self.table.own
        self._gossip.apply(replace(own, **{"sequence": own.sequence + 1, **changes}))

    def _prompt_refutation(
        self, vm: str, incarnation: int, sequence: int
    ) -> tuple[MemberAction, ...]:
        """Send a VM its own entry if it is recorded as suspect or lost, so that it refutes it.

        `incarnation` and `sequence` are the VM's own; if they are newer than the entry, the entry
        is refuted already.
        """
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

    def _send_heartbeats(self, now_ms: float) -> tuple[MemberAction, ...]:
        self._next_heartbeat_ms = now_ms + self._heartbeat_ms
        heartbeat = self._heartbeat()
        return tuple(SendMessage(vm, heartbeat) for vm in sorted(self.linked))

    def _dial_peers(self, now_ms: float) -> tuple[MemberAction, ...]:
        self.neighbours()
        wanted = [vm for vm in self._successors if vm not in self.linked]
        if now_ms >= self._next_search_ms:
            self._next_search_ms = now_ms + (
                SEARCH_INTERVAL_MS if self.linked else REDIAL_INTERVAL_MS
            )
            wanted += self._pick_absent()
        due = [
            vm
            for vm in wanted
            if now_ms - self._last_dial_ms.get(vm, -REDIAL_INTERVAL_MS) >= REDIAL_INTERVAL_MS
        ]
        self._last_dial_ms.update(dict.fromkeys(due, now_ms))
        return tuple(Dial(vm) for vm in due)

    def _pick_absent(self) -> list[str]:
        """Choose absent VMs that may be new, have returned, or be across a network partition."""
        absent = [item.vm for item in self.table.all() if not item.present]
        count = 1 if self.linked else SEARCH_COUNT
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
