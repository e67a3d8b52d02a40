"""The VMs of the fleet as this one sees them, and which of them reads the store.

Layer: coordination.  Every VM may read the store at any time, so nothing depends on who does; few
readers are only cheaper, because each call is paid for.  There are two, as nothing shows at once
that the connection of one has gone silent.  A VM reads when it has heard of fewer readers that
succeed for a while, the earlier the higher it ranks, and stops when it hears of two that rank
higher.  No VM's word is needed for another's decision to be right.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from typing import Protocol

from cloverhook.gateway.peer_messages import Heartbeat
from cloverhook.gateway.ranking import rendezvous_rank, rendezvous_weight

__all__ = ["READERS", "KnownVersions", "Member", "Members"]

SILENT_MS = 2_500.0
"""A member unheard for this long gets no callers: two heartbeats of the slow kind were lost."""
CROWD_VMS = 16
"""With more neighbours than this, messages that grow with their square are saved."""
SILENT_HEARTBEATS = 2.5
"""A member of another data centre whose heartbeats are more seldom may miss two of them as well."""
NAMED_NEAR_VMS = 12
"""So many live VMs of the own data centre are enough for callers; they are known best."""
NAMED_MS = 5_000.0
"""A VM that was not heard for this long is named to no caller, however seldom its heartbeats come
and however many others are silent too: callers would try the addresses of dead VMs for as long."""
SERVING_VMS = 12
"""Of a crowded data centre so many VMs at least are named to callers.  They tell each other what
they have in flight, which all of them could not; who knows that fills no full endpoint."""
REQUESTS_PER_SERVING_VM = 40
"""There are more where a data centre gets more requests a second for each: a VM may have less than
half a core, and a burst may double the load before another one is named.  What else a VM spends
must not count: it grows with the number of those that serve, and all would."""
UNDERSTUDY_VMS = 8
"""So many VMs that would serve callers next are told the load figures too, and measure: the first
of them places requests well from its first one on, and the serving ones are spared the probes."""
SERVING_MS = 100.0
"""The order is worked out anew after this time."""
SENDER_MS = 2_000.0
"""A neighbour that has had requests within this time is told of those of others."""
RECENT_MS = 3_500.0
"""A VM that was heard within this time relays messages: one that is dead does so for no longer."""
READERS = 2
READER_SILENT_MS = 900.0
"""Without a word of enough readers for this long, another VM reads: two heartbeats were lost."""
TAKEOVER_STEP_MS = 150.0
"""Each rank waits this much longer before it reads, so that the first one is heard by the rest."""
RANKED_MS = 7_500.0
"""A VM that was not heard for this long is not waited for, however seldom its heartbeats come: one
that is cut off from all others would wait for hundreds."""
ALONE_MS = 600.0
"""A VM of a crowded data centre hears dozens of messages a second.  One that has heard none for so
long is cut off, which the silence of single members would show after two seconds more."""
FORGET_MS = 120_000.0
MAJORITY = 0.5


@dataclass(slots=True)
class Member:
    """Another VM: its addresses and what it said last."""

    vm: str
    incarnation: int
    data_center: str
    caller_address: str
    peer_address: str
    last_heartbeat_ms: float
    ready: bool = False
    reading: bool = False
    leaving: bool = False
    config_version: int = -1
    registry_version: int = -1
    heartbeat_timeout_ms: float = SILENT_MS
    requests_per_s: int = 0
    near_vms: int = 0
    evacuation_version: int = -1
    registry_as_of: int = -1

    def is_alive(self, now_ms: float) -> bool:
        """Return whether it was heard a moment ago."""
        return now_ms - self.last_heartbeat_ms < self.heartbeat_timeout_ms


class KnownVersions(Protocol):
    """The versions of a state, as a member or a heartbeat names them."""

    config_version: int
    registry_version: int
    evacuation_version: int


class Members:
    """All other VMs that have been heard of."""

    def __init__(self, own_vm: str, data_center: str, now_ms: float) -> None:
        self._own_vm = own_vm
        self.data_center = data_center
        self._members: dict[str, Member] = {}
        self._near: dict[str, Member] = {}
        self._counts_ms: dict[str, float] = {}
        self._enough_readers_ms = now_ms
        self._was_read = False
        self._serving: tuple[str, ...] = ()
        self._informed: tuple[str, ...] = ()
        self._serving_due_ms = 0.0
        self._readers: dict[str, Member] = {}
        self._relays: dict[str, list[Member]] = {}
        self._relays_due_ms = 0.0
        self._unheard = 0
        self._any_heard_ms = now_ms

    def __len__(self) -> int:
        return len(self._members)

    def local_count(self) -> int:
        """Return how many other VMs of the own data centre are known."""
        return len(self._near)

    def all(self) -> tuple[Member, ...]:
        """Return every member, also silent ones."""
        return tuple(self._members.values())

    def get(self, vm: str) -> Member | None:
        """Return a member that has introduced itself."""
        return self._members.get(vm)

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> bool:
        """Take a sign of life; return whether the VM or its process is new, or was silent.

        Incarnations are compared, never ordered: clocks may step back between two starts.
        """
        member = self._members.get(heartbeat.vm)
        new = member is None or member.incarnation != heartbeat.incarnation
        back = new or not member.is_alive(now_ms)
        if new:
            member = Member(
                heartbeat.vm,
                heartbeat.incarnation,
                heartbeat.data_center,
                heartbeat.caller_address,
                heartbeat.peer_address,
                now_ms,
            )
            self._put(member)
        member.last_heartbeat_ms = self._any_heard_ms = now_ms
        member.heartbeat_timeout_ms = max(SILENT_MS, SILENT_HEARTBEATS * heartbeat.every_ms)
        member.ready = heartbeat.ready
        member.reading = heartbeat.reading
        member.leaving = heartbeat.leaving
        member.requests_per_s = heartbeat.requests_per_s
        member.near_vms = heartbeat.near_vms
        member.config_version = max(member.config_version, heartbeat.config_version)
        member.registry_version = max(member.registry_version, heartbeat.registry_version)
        member.registry_as_of = max(
            member.registry_as_of, heartbeat.registry_as_of, heartbeat.registry_version
        )
        member.evacuation_version = max(member.evacuation_version, heartbeat.evacuation_version)
        if heartbeat.reading:
            self._readers[heartbeat.vm] = member
        else:
            self._readers.pop(heartbeat.vm, None)
        return back

    def record_message(self, now_ms: float) -> None:
        """Note that some message of another VM has come."""
        self._any_heard_ms = now_ms

    def is_cut_off(self, now_ms: float) -> bool:
        """Return whether this VM of a crowded data centre hears hardly any of its neighbours.

        It then places requests without the counts and figures of others.
        """
        if not self.in_large_data_center():
            return False
        return now_ms - self._any_heard_ms > ALONE_MS or _most_silent(self.local_members(), now_ms)

    def advertises_itself(self, now_ms: float) -> bool:
        """Return whether this VM, if it is ready, tells callers its own address.

        One that is cut off does not: callers still reach the others, which place requests better.
        """
        return self.serves_callers(now_ms) and not self.is_cut_off(now_ms)

    def _put(self, member: Member) -> None:
        """Take a VM, or a new process of one, in place of what was known under its name."""
        self._members[member.vm] = member
        self._near.pop(member.vm, None)
        if member.data_center == self.data_center:
            self._near[member.vm] = member

    def alive(self, now_ms: float) -> tuple[Member, ...]:
        """Return the members heard a moment ago."""
        return tuple(item for item in self._members.values() if item.is_alive(now_ms))

    def estimated_fleet_size(self) -> int:
        """Return how many VMs may be serving, this one included; silent ones count for a while.

        Of another data centre that is crowded only a few are heard; they tell how many there are.
        """
        return 1 + len(self._members) + self._unheard

    def caller_addresses(self, now_ms: float, fully_isolated: bool = False) -> list[str]:
        """Return the addresses of the other VMs that callers may use.

        Those that were not heard for long are left out, unless this VM is `fully_isolated`, not
        even the store: then it is cut off itself, and callers still reach the others.
        """
        if self.in_large_data_center() and len(self.serving_vms(now_ms)) >= NAMED_NEAR_VMS:
            found = (self._near.get(vm) for vm in self.serving_vms(now_ms))
            named = [item for item in found if item is not None]
        else:
            ready = [item for item in self._members.values() if item.ready and not item.leaving]
            named = _heard_or_all(ready, now_ms)
            near = [item for item in named if item.data_center == self.data_center]
            if len(near) >= NAMED_NEAR_VMS:
                named = near
        if not fully_isolated:
            named = [item for item in named if now_ms - item.last_heartbeat_ms < NAMED_MS]
        return [item.caller_address for item in named]

    def serves_callers(self, now_ms: float) -> bool:
        """Return whether this VM, if it is ready, is one of those that callers are sent to."""
        return not self.in_large_data_center() or self._serves(self._own_vm, now_ms)

    def serving_vms(self, now_ms: float) -> tuple[str, ...]:
        """Return the VMs of the own data centre that callers are sent to.

        Every VM works them out for itself, from whom it hears: the first ones of an order.
        """
        self._set_serving(now_ms)
        return self._serving

    def load_subscribers(self, now_ms: float) -> tuple[str, ...]:
        """Return the VMs of the own data centre that need load figures, in the same order.

        They are those that callers are sent to, and the next ones that would be.
        """
        self._set_serving(now_ms)
        return self._informed

    def is_load_subscriber(self, now_ms: float) -> bool:
        """Return whether this VM is among those that need load figures."""
        return not self.in_large_data_center() or self._own_vm in self.load_subscribers(now_ms)

    def _set_serving(self, now_ms: float) -> None:
        if now_ms < self._serving_due_ms:
            return
        self._serving_due_ms = now_ms + SERVING_MS
        near = [item for item in self._near.values() if item.ready and not item.leaving]
        found = [item.vm for item in _heard_or_all(near, now_ms)]
        found.append(self._own_vm)
        found.sort(key=lambda vm: rendezvous_weight("callers", vm), reverse=True)
        requests_per_s = sum(item.requests_per_s for item in near if item.is_alive(now_ms))
        wanted = max(SERVING_VMS, ceil(requests_per_s / REQUESTS_PER_SERVING_VM))
        self._serving = tuple(found[:wanted])
        self._informed = tuple(found[: wanted + UNDERSTUDY_VMS])

    def dispatching_vms(self, data_center: str, now_ms: float) -> tuple[str, ...]:
        """Return the VMs that place requests at the endpoints of a data centre by good knowledge.

        Where the own data centre is crowded, these are its serving VMs, and for another one none
        here; else all that serve.
        """
        if self.in_large_data_center():
            return self.serving_vms(now_ms) if data_center == self.data_center else ()
        ready = [item for item in self._members.values() if item.ready and not item.leaving]
        return (*(item.vm for item in _heard_or_all(ready, now_ms)), self._own_vm)

    def record_count_sender(self, vm: str, now_ms: float) -> None:
        """Note that a VM has requests in flight: it places them, whether callers are sent to it."""
        self._counts_ms[vm] = now_ms

    def count_senders(self, now_ms: float) -> int:
        """Return how many other VMs, of whichever data centre, have told counts lately."""
        return sum(1 for at_ms in self._counts_ms.values() if at_ms > now_ms - SENDER_MS)

    def live_count_subscribers(self, now_ms: float) -> list[Member]:
        """Return the live neighbours that place requests, and so are told the counts in flight.

        They are those that callers are sent to, and those that callers with old addresses use.
        """
        return self._neighbours(self.serving_vms(now_ms), now_ms)

    def live_load_subscribers(self, now_ms: float) -> list[Member]:
        """Return the live neighbours that are told load figures: who places requests, or may soon.

        In a data centre that is not crowded, all are.
        """
        return self._neighbours(self.load_subscribers(now_ms), now_ms)

    def _neighbours(self, named: tuple[str, ...], now_ms: float) -> list[Member]:
        """Return the live neighbours of these names, and those that have told counts lately."""
        if not self.in_large_data_center():
            return [item for item in self._near.values() if item.is_alive(now_ms)]
        since_ms = now_ms - SENDER_MS
        self._counts_ms = {vm: at_ms for vm, at_ms in self._counts_ms.items() if at_ms > since_ms}
        found = (self._near.get(vm) for vm in {*named, *self._counts_ms})
        return [item for item in found if item is not None and item.is_alive(now_ms)]

    def _serves(self, vm: str, now_ms: float) -> bool:
        return vm in self.serving_vms(now_ms)

    def data_center_vms(self, data_center: str, now_ms: float) -> list[str]:
        """Return the VMs of a data centre that are alive, this one included if it lies there."""
        found = [
            item.vm
            for item in self._members.values()
            if item.data_center == data_center and item.ready and item.is_alive(now_ms)
        ]
        return [*found, self._own_vm] if data_center == self.data_center else found

    def members_with_state(
        self, has_state: Callable[[Member], bool], now_ms: float
    ) -> list[Member]:
        """Return the neighbours that know something, by what they said; best those heard lately.

        Some send heartbeats so seldom that a dead one counts as alive for long.
        """
        found = [item for item in self.local_members() if item.is_alive(now_ms) and has_state(item)]
        return [item for item in found if now_ms - item.last_heartbeat_ms < RECENT_MS] or found

    def in_large_data_center(self) -> bool:
        """Return whether the own data centre has many VMs."""
        return len(self._near) > CROWD_VMS

    def local_members(self) -> list[Member]:
        """Return the other VMs of the own data centre, also silent ones."""
        return list(self._near.values())

    def remote_members(self, now_ms: float) -> dict[str, list[Member]]:
        """Return the VMs of each other data centre that are alive, or all where none is."""
        groups: dict[str, list[Member]] = {}
        for item in self._members.values():
            if item.data_center != self.data_center:
                groups.setdefault(item.data_center, []).append(item)
        return {
            name: [item for item in group if item.is_alive(now_ms)] or group
            for name, group in groups.items()
        }

    def relay_candidates(self, now_ms: float) -> dict[str, list[Member]]:
        """Return the VMs of each other data centre that are likely to relay messages.

        They were heard a moment ago: some send heartbeats so seldom that a dead one counts as
        alive for long.
        """
        if now_ms >= self._relays_due_ms:
            self._relays_due_ms = now_ms + SERVING_MS
            self._relays = {
                name: [item for item in group if now_ms - item.last_heartbeat_ms < RECENT_MS]
                or group
                for name, group in self.remote_members(now_ms).items()
            }
        return self._relays

    def should_read_store(self, reading: bool, now_ms: float) -> bool:
        """Return whether this VM should follow the store; `reading` is whether it does so well."""
        others = [
            item
            for item in self._readers.values()
            if not item.leaving and now_ms - item.last_heartbeat_ms < READER_SILENT_MS
        ]
        if reading:
            place = rendezvous_rank("reader", self._own_vm, (item.vm for item in others))
            return place < READERS
        if len(others) >= READERS:
            self._enough_readers_ms = now_ms
            self._was_read = True
            return False
        recent = (
            item for item in self.alive(now_ms) if now_ms - item.last_heartbeat_ms < RANKED_MS
        )
        idle = [item.vm for item in recent if item not in others]
        wait_ms = TAKEOVER_STEP_MS * rendezvous_rank("reader", self._own_vm, idle)
        if others or not self._was_read:
            wait_ms += READER_SILENT_MS
        return now_ms - self._enough_readers_ms >= wait_ms

    def forget(self, now_ms: float) -> None:
        """Drop members that have been silent for long; to be called now and then."""
        for vm, item in tuple(self._members.items()):
            if now_ms - item.last_heartbeat_ms > FORGET_MS:
                del self._members[vm]
                self._near.pop(vm, None)
                self._readers.pop(vm, None)
        known = Counter(item.data_center for item in self._members.values())
        self._unheard = sum(
            max(0, max(item.near_vms for item in group) - known[name])
            for name, group in self.remote_members(now_ms).items()
        )


def _heard_or_all(members: list[Member], now_ms: float) -> list[Member]:
    """Return the members that are alive, or all where most are silent.

    A VM that suddenly hears less than half of the others is more likely cut off itself.  Callers
    still reach those, and should not be sent to the one VM that knows least.  It shows first in
    those with frequent heartbeats: others count as alive for seconds more, and know no load
    figures.
    """
    if _most_silent(members, now_ms):
        return members
    return [item for item in members if item.is_alive(now_ms)]


def _most_silent(members: list[Member], now_ms: float) -> bool:
    """Return whether most members are silent, or most of those with frequent heartbeats."""
    often = [item for item in members if item.heartbeat_timeout_ms <= SILENT_MS]
    for group in (often, members):
        if sum(1 for item in group if item.is_alive(now_ms)) < MAJORITY * len(group):
            return True
    return False
