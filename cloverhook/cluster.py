"""A daemon's part in the cluster: links, membership, configuration records for peers, home VMs.

Layer: transport.  `Cluster` carries out the decisions of the parts that do no input or output: it
turns messages and link changes into events of `Membership`, and the actions that `Membership`
returns into messages and links.
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

MAX_SLEEP_MS = 500
MIN_SLEEP_MS = 5
DEMAND_INTERVAL_MS = 1_000
VM_LIST_INTERVAL_MS = 1_000
SEED_DIAL_INTERVAL_MS = 1_000
RECORDS_PER_MESSAGE = 64


class Cluster:
    """The links to the peers, the state of the membership, and what depends on it."""

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
        self._address_answers = AddressAnswers(self._random)
        self._homes_computed_for: tuple[int, tuple[Target, ...]] = (-1, ())
        self._pause_detector = PauseDetector(monotonic_ms())
        self._next_seed_ms = 0.0
        self._next_demand_ms = 0.0
        self._home_demand = HomeDemand()
        self._tasks: list[asyncio.Task[None]] = []
        self._timer = LoopTimer(monotonic_ms, self._on_timer)
        self._closing = False
        self.pauses = 0
        clock = observer.time_line.clock
        self.links = PeerLinks(self._make_hello, settings.peer_key(), self, monotonic_ms, clock)
        observer.add_metrics_source(self.links.samples)
        observer.add_metrics_source(self._samples)

    async def start(self, caller_address: str) -> None:
        """Listen for peers and start to exchange messages with them."""
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
        self._tasks = [asyncio.create_task(self._poll_vm_list())]
        self._schedule_wake()

    async def close(self) -> None:
        """Notify the peers that this daemon has stopped and close the links."""
        for task in self._tasks:
            task.cancel()
        self._closing = True
        self._timer.cancel()
        self._handle(Stopped())
        await self.links.close()

    def announce_shutdown(self) -> None:
        """Notify the peers that this daemon is shutting down."""
        self._handle(ShutdownStarted())
        self._update_homes()

    def send_message(self, vm: str, message: Message) -> None:
        """Send a message to another VM.  Delivery is not guaranteed."""
        member = self.membership.table.get(vm)
        self.links.send(vm, message, "" if member is None else member.peer_address)

    def addresses(
        self, target: Target, data_center: str = "", unreachable: str = ""
    ) -> dict[str, Any]:
        """Return the document that answers a caller's request for a service's addresses.

        The caller may give its data centre, and an address that it could not connect to.
        """
        self._check_for_pause()
        if unreachable:
            self._handle(CallerConnectFailed(unreachable))
        self._update_homes()
        return self._address_answers.answer(
            target.key,
            target.service,
            target.policy.lifetime_ms,
            monotonic_ms(),
            data_center,
            self.membership.has_unconfirmed_members,
        )

    def announce_load(self, load_tenths: int) -> None:
        """Report the load of this process to the peers, in tenths of a core."""
        self._handle(LoadChanged(load_tenths))

    def announce_config(self) -> None:
        """Announce the new configuration offset to the linked peers."""
        self._handle(ConfigFolded(self._follower.state.next_offset))
        self._update_homes()

    def status(self) -> dict[str, Any]:
        """Return the state of the peers for the operators' status document."""
        return {
            "members": [member.vm for member in self.membership.serving()],
            "linked": self.links.linked(),
            "neighbours": self.membership.neighbours(),
            "refused_strangers": self.links.authentication_failures,
            "dropped_messages": self.links.dropped_messages,
            "pauses": self.pauses,
        }

    def link_opened(self, hello: Hello) -> None:
        """Handle a new link to an authenticated peer."""
        self._handle(LinkOpened(hello))

    def link_lost(self, vm: str) -> None:
        """Handle the loss of the link to a VM."""
        self._catch_up.remove_peer(vm)
        self._handle(LinkLost(vm))

    def authentication_failed(self) -> None:
        """Do nothing: `PeerLinks` counts the links that failed authentication."""

    def message_received(self, vm: str, message: Message) -> None:
        """Handle a peer's message, unless it has waited through a pause of this process."""
        if self._check_for_pause():
            return
        now_ms = monotonic_ms()
        self._process_event(MessageReceived(vm, message))
        self._handle_message(vm, message, now_ms)
        if not hasattr(message, "service"):
            self._schedule_wake()

    def _handle_message(self, vm: str, message: Message, now_ms: float) -> None:
        match message:
            case Heartbeat():
                self._catch_up.record_offset(vm, message.config_offset, now_ms)
            case RecordsRequest(from_offset):
                self._send_records(vm, from_offset)
            case RecordsReply(from_offset, records):
                self._catch_up.record_answer(vm)
                if from_offset <= self._follower.state.next_offset:
                    self._observer.records_source = vm
                    self._follower.fold_records(from_offset, records)
                    self._observer.records_source = FROM_LOG
            case StateReply(document):
                self._catch_up.record_answer(vm)
                self._adopt_state(vm, document)
            case _ if hasattr(message, "service"):
                self._dispatcher.handle_peer_message(message.service, vm, message, now_ms)

    def _samples(self) -> list[Sample]:
        return [
            Sample(Metric.MEMBERS, len(self.membership.serving())),
            Sample(Metric.PAUSES, self.pauses),
        ]

    def _make_hello(self) -> Hello:
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
        self._process_event(event)
        self._schedule_wake()

    def _process_event(self, event: MemberEvent) -> None:
        for action in self.membership.handle(event, monotonic_ms()):
            match action:
                case SendMessage(vm, message):
                    self.send_message(vm, message)
                case Dial(vm):
                    member = self.membership.table.get(vm)
                    if member is not None:
                        self.links.open(vm, member.peer_address)
                case Replaced():
                    logging.warning("cluster: another process has taken over this VM's name.")
                    self._on_replaced()

    def _send_records(self, vm: str, from_offset: int) -> None:
        records = self._follower.records_from(from_offset)
        if records is None:
            self.send_message(vm, StateReply(self._follower.state.to_document()))
        elif records:
            self.send_message(vm, RecordsReply(from_offset, records[:RECORDS_PER_MESSAGE]))

    def _adopt_state(self, vm: str, document: dict[str, Any]) -> None:
        try:
            self._follower.adopt(State.from_document(document))
        except ConfigError as error:
            logging.warning("cluster: dropped an invalid state from %s: %s.", vm, error)

    def _check_for_pause(self) -> bool:
        """Return whether this process was paused, and if so reset what may be out of date.

        This has to run before anything that dates from before the pause is used.
        """
        if not self._pause_detector.observe(monotonic_ms()):
            return False
        logging.warning("cluster: this process was paused; its member table must be confirmed.")
        self.pauses += 1
        self.links.reset()
        self._catch_up = CatchUp()
        self._handle(ProcessResumed())
        return True

    def _update_homes(self) -> None:
        """Pass changed home VMs to the routers of their services."""
        targets = self._dispatcher.targets()
        now_ms = monotonic_ms()
        unchanged = self._homes_computed_for == (self.membership.version, targets)
        if unchanged and not self._demand_due(now_ms):
            return
        self._homes_computed_for = (self.membership.version, targets)
        counts = self._home_counts(targets, now_ms)
        own_data_center = {self._settings.vm: self._settings.data_center}
        for key in self._address_answers.update(counts, self.membership.serving(), now_ms):
            homes = self._address_answers.home_names(key)
            centers = self._address_answers.home_data_centers(key) | own_data_center
            self._dispatcher.set_homes(key, self._settings.vm, homes, now_ms, centers)
        self._dispatcher.set_group_share(self.membership.group_share(), now_ms)

    def _demand_due(self, now_ms: float) -> bool:
        """Return whether the load may change the number of homes, so that it must be recomputed."""
        if now_ms < self._next_demand_ms:
            return False
        self._next_demand_ms = now_ms + DEMAND_INTERVAL_MS
        return self._home_demand.active or self._highest_load() > GROW_AT

    def _highest_load(self) -> float:
        return self.membership.highest_load(member.vm for member in self.membership.serving())

    def _home_counts(self, targets: Sequence[Target], now_ms: float) -> dict[str, int]:
        minimum_counts = {target.key: target.policy.home_vms for target in targets}
        loads = {
            key: self.membership.highest_load(self._address_answers.home_names(key))
            for key in minimum_counts
        }
        maximum_count = len(self.membership.serving())
        return self._home_demand.update(minimum_counts, loads, maximum_count, now_ms)

    def _on_timer(self) -> None:
        """Do the work that is due and schedule the next wake-up."""
        self._check_for_pause()
        self._tick(monotonic_ms())
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        """Schedule the next wake-up for the earliest time that a part needs.

        It is at most `MAX_SLEEP_MS` away, so that process pauses are detected.
        """
        if self._closing:
            return
        now_ms = monotonic_ms()
        wake_ms = min(
            now_ms + MAX_SLEEP_MS,
            self.membership.next_wake_ms(now_ms),
            self._catch_up.next_wake_ms(self._follower.state.next_offset, now_ms),
        )
        self._timer.call_by(max(wake_ms, now_ms + MIN_SLEEP_MS))

    def _tick(self, now_ms: float) -> None:
        self._process_event(ConfigFolded(self._follower.state.next_offset))
        self._process_event(Tick())
        self.links.tick(self.membership.neighbours(), now_ms)
        self._update_homes()
        self._observer.record_members(self.membership.version, self.membership.table.all())
        vm = self._catch_up.next_peer(self._follower.state.next_offset, now_ms)
        if vm is not None:
            self.send_message(vm, RecordsRequest(self._follower.state.next_offset))
        if not self.membership.linked and now_ms >= self._next_seed_ms:
            self._next_seed_ms = now_ms + SEED_DIAL_INTERVAL_MS
            self._dial_seeds()

    def _dial_seeds(self) -> None:
        """Open links to the peers in the settings; used while there is no link to any peer."""
        for address in self._settings.peer_addresses.split(","):
            if address.strip() and address.strip() != self.links.address:
                self.links.open("", address.strip())

    async def _poll_vm_list(self) -> None:
        while True:
            try:
                self._handle(VmListRead(await self._platform.list_vms()))
            except PlatformError as error:
                logging.warning("cluster: can't read the platform's list of VMs: %s.", error)
            await asyncio.sleep(VM_LIST_INTERVAL_MS / 1000)
