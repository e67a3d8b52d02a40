"""A daemon's place among its peers: links, membership, records passed on, and home VMs.

Layer: transport.  `Cluster` carries out what the sans-I/O parts decide: messages and links become
events of `Membership`, and its actions become messages and links.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

from absl import logging

from cloverhook.address_answers import AddressAnswers
from cloverhook.catch_up import CatchUp
from cloverhook.clock import PauseDetector, monotonic_ms
from cloverhook.dispatch import Dispatcher, Target
from cloverhook.errors import ConfigError, PlatformError
from cloverhook.follower import Follower
from cloverhook.home_count import GROW_AT, HomeDemand
from cloverhook.member_events import (
    CallerConnectFailed,
    ConfigFolded,
    Dial,
    LinkLost,
    LinkOpened,
    LoadChanged,
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
from cloverhook.members import Member
from cloverhook.membership import Membership
from cloverhook.messages import (
    Heartbeat,
    Hello,
    Message,
    RecordsReply,
    RecordsRequest,
    StateReply,
)
from cloverhook.metrics import Metric, Sample
from cloverhook.observer import FROM_LOG, Observer
from cloverhook.peering import PeerLinks
from cloverhook.platform_api import Platform
from cloverhook.settings import DaemonSettings
from cloverhook.state import State
from cloverhook.wake_times import LoopTimer

__all__ = ["Cluster"]

LONGEST_SLEEP_MS = 500
SHORTEST_SLEEP_MS = 5
DEMAND_EVERY_MS = 1_000
LIST_EVERY_MS = 1_000
SEED_EVERY_MS = 1_000
RECORDS_IN_MESSAGE = 64


class Cluster:
    """The links to the peers and what is known of them."""

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: int,
        platform: Platform,
        follower: Follower,
        dispatcher: Dispatcher,
        observer: Observer,
        on_replaced: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._platform = platform
        self._follower = follower
        self._dispatcher = dispatcher
        self._observer = observer
        self._on_replaced = on_replaced
        self._random = random.Random()
        self._catch_up = CatchUp()
        self._answers = AddressAnswers(self._random)
        self._answered: tuple[int, tuple[Target, ...]] = (-1, ())
        self._pauses = PauseDetector(monotonic_ms())
        self._next_seed_ms = 0.0
        self._next_demand_ms = 0.0
        self._demand = HomeDemand()
        self._tasks: list[asyncio.Task[None]] = []
        self._timer = LoopTimer(monotonic_ms, self._on_time)
        self._closing = False
        self.pauses = 0
        clock = observer.time_line.clock
        self.links = PeerLinks(self._greeting, settings.peer_key(), self, monotonic_ms, clock)
        observer.add_metrics_source(self.links.samples)
        observer.add_metrics_source(self._samples)

    async def start(self, caller_address: str) -> None:
        """Listen for peers and begin to talk."""
        settings = self._settings
        await self.links.start(settings.peer_address)
        now_ms = monotonic_ms()
        own = Member(
            settings.vm,
            settings.data_center,
            caller_address,
            self.links.address,
            self._incarnation,
            since_ms=now_ms,
        )
        self.membership = Membership(own, self._random, now_ms, settings.heartbeat_ms)
        self._tasks = [asyncio.create_task(self._watch_list())]
        self._sleep()

    async def close(self) -> None:
        """Say that this daemon is gone and close the links."""
        for task in self._tasks:
            task.cancel()
        self._closing = True
        self._timer.cancel()
        self._handle(Stopped())
        await self.links.close()

    def announce_shutdown(self) -> None:
        """Tell the peers that this daemon is leaving."""
        self._handle(ShutdownStarted())
        self._update_homes()

    def send_message(self, vm: str, message: Message) -> None:
        """Send a message to another VM; it may be lost."""
        member = self.membership.table.get(vm)
        self.links.send(vm, message, "" if member is None else member.peer_address)

    def addresses(
        self, target: Target, data_center: str = "", unreachable: str = ""
    ) -> dict[str, Any]:
        """Return what a caller is told of a service's addresses.

        The caller may name its data centre, and an address that it could not connect to.
        """
        self._observe_pause()
        if unreachable:
            self._handle(CallerConnectFailed(unreachable))
        self._update_homes()
        return self._answers.answer(
            target.key,
            target.service,
            target.policy.lifetime_ms,
            monotonic_ms(),
            data_center,
            self.membership.has_unconfirmed_members,
        )

    def announce_load(self, load_tenths: int) -> None:
        """Tell the peers how busy this process is."""
        self._handle(LoadChanged(load_tenths))

    def announce_config(self) -> None:
        """Offer what has just been folded to the linked peers."""
        self._handle(ConfigFolded(self._follower.state.next_offset))
        self._update_homes()

    def status(self) -> dict[str, Any]:
        """Return what operators see of the peers."""
        return {
            "members": [member.vm for member in self.membership.serving()],
            "linked": self.links.linked(),
            "neighbours": self.membership.neighbours(),
            "refused_strangers": self.links.authentication_failures,
            "dropped_messages": self.links.dropped_messages,
            "pauses": self.pauses,
        }

    def link_opened(self, hello: Hello) -> None:
        """Take the greeting of a peer that has proved itself."""
        self._handle(LinkOpened(hello))

    def link_lost(self, vm: str) -> None:
        """Note that there is no link to a VM any more."""
        self._catch_up.remove_peer(vm)
        self._handle(LinkLost(vm))

    def authentication_failed(self) -> None:
        """Do nothing: the links count the strangers."""

    def message_received(self, vm: str, message: Message) -> None:
        """Take a peer's message, unless it has waited through a pause of this process."""
        if self._observe_pause():
            return
        now_ms = monotonic_ms()
        self._carry_out(MessageReceived(vm, message))
        self._take(vm, message, now_ms)
        if not hasattr(message, "service"):
            self._sleep()

    def _take(self, vm: str, message: Message, now_ms: float) -> None:
        match message:
            case Heartbeat():
                self._catch_up.record_offset(vm, message.config_offset, now_ms)
            case RecordsRequest(from_offset):
                self._pass_on(vm, from_offset)
            case RecordsReply(from_offset, records):
                self._catch_up.record_answer(vm)
                if from_offset <= self._follower.state.next_offset:
                    self._observer.records_source = vm
                    self._follower.fold_records(from_offset, records)
                    self._observer.records_source = FROM_LOG
            case StateReply(document):
                self._catch_up.record_answer(vm)
                self._adopt(vm, document)
            case _ if hasattr(message, "service"):
                self._dispatcher.handle_peer_message(message.service, vm, message, now_ms)

    def _samples(self) -> list[Sample]:
        return [
            Sample(Metric.MEMBERS, len(self.membership.serving())),
            Sample(Metric.PAUSES, self.pauses),
        ]

    def _greeting(self) -> Hello:
        own = self.membership.table.own
        return Hello(
            own.vm,
            own.data_center,
            own.caller_address,
            own.peer_address,
            own.incarnation,
            sequence=own.sequence,
            leaving=own.leaving,
        )

    def _handle(self, event: MemberEvent) -> None:
        self._carry_out(event)
        self._sleep()

    def _carry_out(self, event: MemberEvent) -> None:
        for action in self.membership.handle(event, monotonic_ms()):
            match action:
                case SendMessage(vm, message):
                    self.send_message(vm, message)
                case Dial(vm):
                    member = self.membership.table.get(vm)
                    if member is not None:
                        self.links.open(vm, member.peer_address)
                case Replaced():
                    logging.warning("cluster: another process has taken this VM's name.")
                    self._on_replaced()

    def _pass_on(self, vm: str, from_offset: int) -> None:
        records = self._follower.records_from(from_offset)
        if records is None:
            self.send_message(vm, StateReply(self._follower.state.to_document()))
        elif records:
            self.send_message(vm, RecordsReply(from_offset, records[:RECORDS_IN_MESSAGE]))

    def _adopt(self, vm: str, document: dict[str, Any]) -> None:
        try:
            self._follower.adopt(State.from_document(document))
        except ConfigError as error:
            logging.warning("cluster: dropped a state of %s: %s.", vm, error)

    def _observe_pause(self) -> bool:
        """Notice a pause before anything that dates from before it is used."""
        if not self._pauses.observe(monotonic_ms()):
            return False
        logging.warning("cluster: this process was paused; what it knows has to be confirmed.")
        self.pauses += 1
        self.links.reset()
        self._catch_up = CatchUp()
        self._handle(ProcessResumed())
        return True

    def _update_homes(self) -> None:
        """Tell the routers whose home VMs have changed."""
        targets = self._dispatcher.targets()
        now_ms = monotonic_ms()
        same = self._answered == (self.membership.version, targets)
        if same and not self._demand_due(now_ms):
            return
        self._answered = (self.membership.version, targets)
        counts = self._home_counts(targets, now_ms)
        own = {self._settings.vm: self._settings.data_center}
        for key in self._answers.update(counts, self.membership.serving(), now_ms):
            homes = self._answers.home_names(key)
            centers = self._answers.home_data_centers(key) | own
            self._dispatcher.set_homes(key, self._settings.vm, homes, now_ms, centers)

    def _demand_due(self, now_ms: float) -> bool:
        """Return whether the number of homes has to be looked at again because of load."""
        if now_ms < self._next_demand_ms:
            return False
        self._next_demand_ms = now_ms + DEMAND_EVERY_MS
        return self._demand.active or self._busiest_of_all() > GROW_AT

    def _busiest_of_all(self) -> float:
        return self.membership.highest_load(member.vm for member in self.membership.serving())

    def _home_counts(self, targets: Sequence[Target], now_ms: float) -> dict[str, int]:
        least = {target.key: target.policy.home_vms for target in targets}
        busy = {key: self.membership.highest_load(self._answers.home_names(key)) for key in least}
        most = len(self.membership.serving())
        return self._demand.update(least, busy, most, now_ms)

    def _on_time(self) -> None:
        """Do what the time has made due, and sleep until the next of it."""
        self._observe_pause()
        self._tick(monotonic_ms())
        self._sleep()

    def _sleep(self) -> None:
        """Wake up no later than a part next needs the time; pauses have to be noticed as well."""
        if self._closing:
            return
        now_ms = monotonic_ms()
        wake_ms = min(
            now_ms + LONGEST_SLEEP_MS,
            self.membership.next_wake_ms(now_ms),
            self._catch_up.next_wake_ms(self._follower.state.next_offset, now_ms),
        )
        self._timer.call_by(max(wake_ms, now_ms + SHORTEST_SLEEP_MS))

    def _tick(self, now_ms: float) -> None:
        self._carry_out(ConfigFolded(self._follower.state.next_offset))
        self._carry_out(Tick())
        self.links.tick(self.membership.neighbours(), now_ms)
        self._update_homes()
        self._observer.record_members(self.membership.version, self.membership.table.all())
        vm = self._catch_up.next_peer(self._follower.state.next_offset, now_ms)
        if vm is not None:
            self.send_message(vm, RecordsRequest(self._follower.state.next_offset))
        if not self.membership.linked and now_ms >= self._next_seed_ms:
            self._next_seed_ms = now_ms + SEED_EVERY_MS
            self._dial_seeds()

    def _dial_seeds(self) -> None:
        """Open links to the peers that the settings name, for want of any other."""
        for address in self._settings.peer_addresses.split(","):
            if address.strip() and address.strip() != self.links.address:
                self.links.open("", address.strip())

    async def _watch_list(self) -> None:
        while True:
            try:
                self._handle(VmListRead(await self._platform.list_vms()))
            except PlatformError as error:
                logging.warning("cluster: the list of VMs can't be read: %s.", error)
            await asyncio.sleep(LIST_EVERY_MS / 1000)
