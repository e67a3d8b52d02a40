"""The VMs of the fleet as this VM sees them, and which of them read the store.

Layer: coordination.  Every VM may read the store at any time, so correctness does not depend on
which ones do; having few readers is only cheaper, because each call to the store is paid for.
There are two readers, because it does not show at once that the connection of one of them has gone
silent.  A VM starts to read when it has had heartbeats from fewer than two successful readers for a
while; the higher its rank, the sooner it starts.  It stops when it has heartbeats from two readers
that rank higher.  A VM's decision is correct without any agreement with other VMs.

The neighbours of a VM are the other VMs of its own data centre.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from random import Random
from typing import Protocol

from cloverhook.gateway.peer_messages import Heartbeat
from cloverhook.gateway.rendezvous_hash import rendezvous_rank, rendezvous_weight
from cloverhook.gateway.vm_capacity import (
    VmCapacity,
    are_uneven,
    sample_addresses,
    serving_count,
)

__all__ = ["READERS", "KnownVersions", "Member", "Members"]

HEARTBEAT_TIMEOUT_MS = 2_500.0
"""A member without a heartbeat for this long is considered dead and gets no callers: it has missed
two heartbeats at the slower interval."""
LARGE_DATA_CENTER_VMS = 16
"""A data centre where a VM has more neighbours than this is large: it avoids messages whose number
grows with the square of the number of VMs."""
HEARTBEAT_TIMEOUT_INTERVALS = 2.5
"""The timeout as a multiple of the member's heartbeat interval, where that is longer: a member of
another data centre that sends heartbeats less often may miss two of them as well."""
ENOUGH_LOCAL_VMS = 12
"""With at least this many live VMs in the own data centre, callers get only the addresses of those:
they are the VMs that this VM knows best."""
ADDRESS_EXPIRY_MS = 5_000.0
"""The address of a VM without a heartbeat for this long is given to no caller, however rare its
heartbeats are and however many other VMs are silent too: otherwise callers would keep trying the
addresses of dead VMs for all that time."""
MIN_SERVING_VMS = 12
"""The minimum number of serving VMs in a large data centre: the VMs whose addresses callers get.
They exchange their counts of requests in flight, which all VMs of the data centre could not do; a
VM that knows these counts sends no request to an endpoint that is full."""
REQUESTS_PER_SERVING_VM = 40
"""A large data centre has more serving VMs where each gets more requests per second than this: a VM
may have less than half a core, and a burst may double the load before another VM is added.  The
other work of a VM must not count: it grows with the number of serving VMs, so that in the end every
VM would become one."""
STANDBY_VMS = 8
"""The number of standby VMs, which follow the serving VMs in the order.  They receive the load
reports too, and they send the probes: a VM that becomes a serving VM dispatches requests well from
its first one on, and the serving VMs are spared the probes.  The VMs after them are idle VMs."""
REFRESH_MS = 100.0
"""The order of VMs and the choice of relays are computed again after this time."""
COUNT_SENDER_MS = 2_000.0
"""A neighbour that has had requests in flight within this time receives the counts of others."""
RECENT_MS = 3_500.0
"""A VM with a heartbeat within this time may be chosen to relay messages, or to send its state: a
dead one is chosen for no longer than this."""
READERS = 2
READER_TIMEOUT_MS = 900.0
"""When this long has passed without heartbeats from enough readers, another VM starts to read: two
heartbeats were lost."""
TAKEOVER_STEP_MS = 150.0
"""Each VM waits this much longer than the one ranked above it before it starts to read, so that the
heartbeat of the first one reaches the rest in time."""
CANDIDATE_EXPIRY_MS = 7_500.0
"""A VM without a heartbeat for this long does not count in the ranking, however rare its heartbeats
are: a VM that is isolated from all others would otherwise wait for hundreds of them."""
ISOLATED_MS = 600.0
"""A VM of a large data centre receives dozens of messages a second.  One that has received none for
this long is isolated; the timeouts of single members would show that two seconds later."""
FORGET_MS = 120_000.0
MAJORITY = 0.5
NOT_STATED = VmCapacity()


@dataclass(slots=True)
class Member:
    """Another VM: its addresses and the state that it last reported."""

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
    heartbeat_timeout_ms: float = HEARTBEAT_TIMEOUT_MS
    requests_per_s: int = 0
    near_vms: int = 0
    evacuation_version: int = -1
    registry_as_of: int = -1
    capacity: VmCapacity = NOT_STATED

    def is_alive(self, now_ms: float) -> bool:
        """Return whether the last heartbeat is more recent than the timeout."""
        return now_ms - self.last_heartbeat_ms < self.heartbeat_timeout_ms


class KnownVersions(Protocol):
    """The versions of the parts of a state, as a member or a heartbeat reports them."""

    config_version: int
    registry_version: int
    evacuation_version: int


class Members:
    """All other VMs that have sent a heartbeat to this one."""

    def __init__(
        self,
        own_vm: str,
        data_center: str,
        now_ms: float,
        own_capacity: VmCapacity = NOT_STATED,
    ) -> None:
        self._own_vm = own_vm
        self.own_capacity = own_capacity
        self.own_requests_per_s = 0
        """The rate of requests that this VM's latest heartbeat states."""
        self.data_center = data_center
        self._members: dict[str, Member] = {}
        self._local: dict[str, Member] = {}
        self._count_senders_ms: dict[str, float] = {}
        self._enough_readers_ms = now_ms
        self._had_enough_readers = False
        self._serving: tuple[str, ...] = ()
        self._load_subscribers: tuple[str, ...] = ()
        self._uneven = False
        self._serving_refresh_ms = 0.0
        self._readers: dict[str, Member] = {}
        self._relays: dict[str, list[Member]] = {}
        self._relays_refresh_ms = 0.0
        self._unseen_vms = 0
        self._last_message_ms = now_ms

    def __len__(self) -> int:
        return len(self._members)

    def local_count(self) -> int:
        """Return the number of other VMs of the own data centre that are known."""
        return len(self._local)

    def all(self) -> tuple[Member, ...]:
        """Return every member, including those that are not alive."""
        return tuple(self._members.values())

    def get(self, vm: str) -> Member | None:
        """Return the member of this name, or None where it has sent no heartbeat."""
        return self._members.get(vm)

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> bool:
        """Take a heartbeat; return whether the VM or its process is new, or was not alive before.

        Incarnations are only compared for equality, never ordered: clocks may step back between two
        starts.
        """
        member = self._members.get(heartbeat.vm)
        new = member is None or member.incarnation != heartbeat.incarnation
        returned = new or not member.is_alive(now_ms)
        if new:
            member = Member(
                heartbeat.vm,
                heartbeat.incarnation,
                heartbeat.data_center,
                heartbeat.caller_address,
                heartbeat.peer_address,
                now_ms,
                capacity=VmCapacity(heartbeat.processor_cores, heartbeat.link_mbps),
            )
            self._add(member)
        member.last_heartbeat_ms = self._last_message_ms = now_ms
        member.heartbeat_timeout_ms = max(
            HEARTBEAT_TIMEOUT_MS, HEARTBEAT_TIMEOUT_INTERVALS * heartbeat.every_ms
        )
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
        return returned

    def record_message(self, now_ms: float) -> None:
        """Record that some message of another VM has arrived."""
        self._last_message_ms = now_ms

    def is_cut_off(self, now_ms: float) -> bool:
        """Return whether this VM, in a large data centre, has lost contact with its neighbours.

        That is so when no message has arrived for a while, or when most neighbours are silent.  An
        isolated VM dispatches requests without the counts and load reports of others.
        """
        if not self.in_large_data_center():
            return False
        return now_ms - self._last_message_ms > ISOLATED_MS or _most_silent(
            self.local_members(), now_ms
        )

    def advertises_itself(self, now_ms: float) -> bool:
        """Return whether this VM, if it is ready, gives its own address to callers.

        An isolated VM does not: callers still reach the others, which dispatch requests better.
        """
        return self.serves_callers(now_ms) and not self.is_cut_off(now_ms)

    def _add(self, member: Member) -> None:
        """Add a VM, or a new process of one, in place of the member of the same name."""
        self._members[member.vm] = member
        self._local.pop(member.vm, None)
        if member.data_center == self.data_center:
            self._local[member.vm] = member

    def alive(self, now_ms: float) -> tuple[Member, ...]:
        """Return the members that are alive."""
        return tuple(item for item in self._members.values() if item.is_alive(now_ms))

    def estimated_fleet_size(self) -> int:
        """Return how many VMs may be serving, this one included.

        Silent VMs count until they are forgotten.  Of another data centre that is large, only a few
        VMs send heartbeats here; these report how many VMs there are.
        """
        return 1 + len(self._members) + self._unseen_vms

    def caller_addresses(self, now_ms: float, fully_isolated: bool = False) -> list[str]:
        """Return the addresses of the other VMs that callers may use.

        VMs without a heartbeat for a long time are left out, unless this VM is `fully_isolated`:
        it then does not even reach the store, so it is the one that has lost contact, and callers
        still reach the others.
        """
        return [item.caller_address for item in self._caller_members(now_ms, fully_isolated)]

    def sample_addresses(
        self, own_address: str | None, now_ms: float, fully_isolated: bool, source: Random
    ) -> list[str]:
        """Return the addresses of one answer to a caller, in no particular order.

        `own_address` is this VM's address if it is ready.  In an uneven data centre the answer
        holds a VM the more often the more capacity that has; otherwise it holds all.
        """
        rates = [
            (item.caller_address, item.capacity.requests_per_s)
            for item in self._caller_members(now_ms, fully_isolated)
        ]
        if own_address is not None and (not rates or self.advertises_itself(now_ms)):
            rates.append((own_address, self.own_capacity.requests_per_s))
        if self.is_uneven(now_ms):
            return sample_addresses(rates, source)
        return [address for address, _ in rates]

    def _caller_members(self, now_ms: float, fully_isolated: bool) -> list[Member]:
        """Return the other VMs whose addresses callers may use."""
        large = self.in_large_data_center()
        enough = self.is_uneven(now_ms) or len(self.serving_vms(now_ms)) >= ENOUGH_LOCAL_VMS
        if large and enough:
            found = (self._local.get(vm) for vm in self.serving_vms(now_ms))
            chosen = [item for item in found if item is not None]
        else:
            ready = [item for item in self._members.values() if item.ready and not item.leaving]
            chosen = _live_or_all(ready, now_ms)
            local = [item for item in chosen if item.data_center == self.data_center]
            if len(local) >= ENOUGH_LOCAL_VMS:
                chosen = local
        if not fully_isolated:
            chosen = [
                item for item in chosen if now_ms - item.last_heartbeat_ms < ADDRESS_EXPIRY_MS
            ]
        return chosen

    def serves_callers(self, now_ms: float) -> bool:
        """Return whether this VM, if it is ready, is a serving VM."""
        return not self.in_large_data_center() or self._serves(self._own_vm, now_ms)

    def serving_vms(self, now_ms: float) -> tuple[str, ...]:
        """Return the serving VMs of the own data centre: callers get the addresses of these.

        Each VM computes them by itself from the members it has heartbeats of: they are the first
        ones of an order that is the same on every VM.
        """
        self._refresh_serving(now_ms)
        return self._serving

    def caller_share(self, now_ms: float) -> float:
        """Return which part of the new connections of its data centre this VM is meant to get.

        It is 0 if callers are not sent here, or if the data centre is not large: then callers of
        other data centres are sent here too.
        """
        if not self.in_large_data_center() or not self.advertises_itself(now_ms):
            return 0.0
        serving = self.serving_vms(now_ms)
        if not self.is_uneven(now_ms):
            return 1 / len(serving)
        found = (self._local[vm].capacity for vm in serving if vm in self._local)
        others = sum(item.requests_per_s for item in found)
        own = self.own_capacity.requests_per_s
        return own / (own + others)

    def is_uneven(self, now_ms: float) -> bool:
        """Return whether this data centre is large and its VMs' capacities decide who serves."""
        self._refresh_serving(now_ms)
        return self._uneven and self.in_large_data_center()

    def load_subscribers(self, now_ms: float) -> tuple[str, ...]:
        """Return the VMs of the own data centre that receive load reports, in the same order.

        They are the serving VMs and the standby VMs, which would become serving VMs next.
        """
        self._refresh_serving(now_ms)
        return self._load_subscribers

    def is_load_subscriber(self, now_ms: float) -> bool:
        """Return whether this VM is one of those that receive load reports."""
        return not self.in_large_data_center() or self._own_vm in self.load_subscribers(now_ms)

    def _refresh_serving(self, now_ms: float) -> None:
        if now_ms < self._serving_refresh_ms:
            return
        self._serving_refresh_ms = now_ms + REFRESH_MS
        local = [item for item in self._local.values() if item.ready and not item.leaving]
        rates = {item.vm: item.capacity.requests_per_s for item in _live_or_all(local, now_ms)}
        rates[self._own_vm] = self.own_capacity.requests_per_s
        found = sorted(rates, key=lambda vm: rendezvous_weight("callers", vm), reverse=True)
        requests_per_s = sum(item.requests_per_s for item in local if item.is_alive(now_ms))
        self._uneven = are_uneven(rates.values())
        if self._uneven:
            found.sort(key=rates.__getitem__, reverse=True)
            requests_per_s += self.own_requests_per_s
            wanted = serving_count([rates[vm] for vm in found], requests_per_s)
        else:
            wanted = max(MIN_SERVING_VMS, ceil(requests_per_s / REQUESTS_PER_SERVING_VM))
        self._serving = tuple(found[:wanted])
        self._load_subscribers = tuple(found[: wanted + STANDBY_VMS])

    def dispatching_vms(self, data_center: str, now_ms: float) -> tuple[str, ...]:
        """Return the VMs that dispatch requests to a data centre's endpoints by current load data.

        Where the own data centre is large, these are its serving VMs for its own endpoints, and
        none for those of another data centre.  Otherwise they are all ready VMs of the fleet.
        """
        if self.in_large_data_center():
            return self.serving_vms(now_ms) if data_center == self.data_center else ()
        ready = [item for item in self._members.values() if item.ready and not item.leaving]
        return (*(item.vm for item in _live_or_all(ready, now_ms)), self._own_vm)

    def record_count_sender(self, vm: str, now_ms: float) -> None:
        """Record that a VM has requests in flight: it dispatches them, serving VM or not."""
        self._count_senders_ms[vm] = now_ms

    def count_senders(self, now_ms: float) -> int:
        """Return how many other VMs, of any data centre, have recently sent counts in flight."""
        return sum(
            1 for at_ms in self._count_senders_ms.values() if at_ms > now_ms - COUNT_SENDER_MS
        )

    def live_count_subscribers(self, now_ms: float) -> list[Member]:
        """Return the live neighbours that dispatch requests, and so receive the counts in flight.

        They are the serving VMs, and those that callers with outdated addresses use.
        """
        return self._live_neighbours(self.serving_vms(now_ms), now_ms)

    def live_load_subscribers(self, now_ms: float) -> list[Member]:
        """Return the live neighbours that receive load reports.

        They are those that dispatch requests, or may do so soon.  In a data centre that is not
        large, they are all the live neighbours.
        """
        return self._live_neighbours(self.load_subscribers(now_ms), now_ms)

    def _live_neighbours(self, vms: tuple[str, ...], now_ms: float) -> list[Member]:
        """Return the live neighbours of these names, and those that have recently sent counts.

        In a data centre that is not large, return all the live neighbours.
        """
        if not self.in_large_data_center():
            return [item for item in self._local.values() if item.is_alive(now_ms)]
        since_ms = now_ms - COUNT_SENDER_MS
        self._count_senders_ms = {
            vm: at_ms for vm, at_ms in self._count_senders_ms.items() if at_ms > since_ms
        }
        found = (self._local.get(vm) for vm in {*vms, *self._count_senders_ms})
        return [item for item in found if item is not None and item.is_alive(now_ms)]

    def _serves(self, vm: str, now_ms: float) -> bool:
        return vm in self.serving_vms(now_ms)

    def data_center_vms(self, data_center: str, now_ms: float) -> list[str]:
        """Return the VMs of a data centre that are ready and alive, this one included if there."""
        found = [
            item.vm
            for item in self._members.values()
            if item.data_center == data_center and item.ready and item.is_alive(now_ms)
        ]
        return [*found, self._own_vm] if data_center == self.data_center else found

    def members_with_state(
        self, has_state: Callable[[Member], bool], now_ms: float
    ) -> list[Member]:
        """Return the live neighbours whose reported versions satisfy `has_state`.

        If some of them have sent a heartbeat recently, only those are returned: some VMs send
        heartbeats so rarely that a dead one counts as alive for a long time.
        """
        found = [item for item in self.local_members() if item.is_alive(now_ms) and has_state(item)]
        return [item for item in found if now_ms - item.last_heartbeat_ms < RECENT_MS] or found

    def in_large_data_center(self) -> bool:
        """Return whether the own data centre is large, that is, has many VMs."""
        return len(self._local) > LARGE_DATA_CENTER_VMS

    def local_members(self) -> list[Member]:
        """Return the other VMs of the own data centre, including those that are not alive."""
        return list(self._local.values())

    def remote_members(self, now_ms: float) -> dict[str, list[Member]]:
        """Return the live VMs of each other data centre, or all its VMs where none is alive."""
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

        They have sent a heartbeat recently, where there are such VMs: some VMs send heartbeats so
        rarely that a dead one counts as alive for a long time.
        """
        if now_ms >= self._relays_refresh_ms:
            self._relays_refresh_ms = now_ms + REFRESH_MS
            self._relays = {
                name: [item for item in group if now_ms - item.last_heartbeat_ms < RECENT_MS]
                or group
                for name, group in self.remote_members(now_ms).items()
            }
        return self._relays

    def should_read_store(self, reading: bool, now_ms: float) -> bool:
        """Return whether this VM should read the store.

        `reading` says whether it already does so successfully.
        """
        others = [
            item
            for item in self._readers.values()
            if not item.leaving and now_ms - item.last_heartbeat_ms < READER_TIMEOUT_MS
        ]
        if reading:
            return self._reader_rank(others) < READERS
        if len(others) >= READERS:
            self._enough_readers_ms = now_ms
            self._had_enough_readers = True
            return False
        recent = (
            item
            for item in self.alive(now_ms)
            if now_ms - item.last_heartbeat_ms < CANDIDATE_EXPIRY_MS
        )
        candidates = [item for item in recent if item not in others]
        wait_ms = TAKEOVER_STEP_MS * self._reader_rank(candidates)
        if others or not self._had_enough_readers:
            wait_ms += READER_TIMEOUT_MS
        return now_ms - self._enough_readers_ms >= wait_ms

    def _reader_rank(self, others: list[Member]) -> int:
        """Return how many others precede this VM as readers: strong VMs, then the hash order.

        Two VMs always agree on which of them precedes, also if one of them is of a version that
        states no capacity and knows only the hash order.
        """
        own = self.own_capacity
        equal = [
            item.vm
            for item in others
            if not item.capacity.is_stronger_than(own) and not own.is_stronger_than(item.capacity)
        ]
        stronger = sum(1 for item in others if item.capacity.is_stronger_than(own))
        return stronger + rendezvous_rank("reader", self._own_vm, equal)

    def forget(self, now_ms: float) -> None:
        """Drop members without a heartbeat for a long time; to be called periodically."""
        for vm, item in tuple(self._members.items()):
            if now_ms - item.last_heartbeat_ms > FORGET_MS:
                del self._members[vm]
                self._local.pop(vm, None)
                self._readers.pop(vm, None)
        known = Counter(item.data_center for item in self._members.values())
        self._unseen_vms = sum(
            max(0, max(item.near_vms for item in group) - known[name])
            for name, group in self.remote_members(now_ms).items()
        )


def _live_or_all(members: list[Member], now_ms: float) -> list[Member]:
    """Return the members that are alive, or all members where most are silent.

    A VM that suddenly has heartbeats from less than half of the others is more likely isolated
    itself.  Callers still reach the others, and should not all be sent to the VM that knows least.
    The isolation shows first in the members with frequent heartbeats: the others count as alive for
    seconds more, and they receive no load reports.
    """
    if _most_silent(members, now_ms):
        return members
    return [item for item in members if item.is_alive(now_ms)]


def _most_silent(members: list[Member], now_ms: float) -> bool:
    """Return whether most members are silent, or most of those with frequent heartbeats."""
    often = [item for item in members if item.heartbeat_timeout_ms <= HEARTBEAT_TIMEOUT_MS]
    for group in (often, members):
        if sum(1 for item in group if item.is_alive(now_ms)) < MAJORITY * len(group):
            return True
    return False
