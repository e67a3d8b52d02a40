"""What gateways tell each other: that they live, what they know, and how loaded endpoints are.

Layer: transport.  Each heartbeat names the versions that its sender knows; whoever is behind asks
that sender for its state.  So changes reach every VM from the one that reads the store, and a VM
that cannot reach the store lives on what its peers hold.  A state that has come from another data
centre is told to the neighbours at once, so that they need not fetch it from there too.
"""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from cloverhook.checking import Address, Items, faults_of
from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.config_sender import ConfigSender
from cloverhook.gateway.count_updates import CountUpdates
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.failure_updates import FailureUpdates
from cloverhook.gateway.heartbeat_pace import HeartbeatIntervals
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.load_updates import LoadUpdates
from cloverhook.gateway.members import Member, Members
from cloverhook.gateway.peer_link import PeerLink, StateReply
from cloverhook.gateway.peer_messages import (
    CrashRecords,
    Failures,
    Heartbeat,
    Identity,
    InFlightCountChanges,
    InFlightCounts,
    LoadReports,
    PeerMessage,
    RateLimitUpdate,
    Refusals,
    Relay,
    ServerChanges,
    decode,
    encode,
)
from cloverhook.gateway.quarantine_updates import QuarantineUpdates
from cloverhook.gateway.rate_limit_updates import RateLimitUpdates
from cloverhook.gateway.rate_limits import RateLimits
from cloverhook.gateway.refusal_updates import RefusalUpdates
from cloverhook.gateway.state_fetch import StateFetcher, build_state_reply
from cloverhook.gateway.store import MemberRecord
from cloverhook.gateway.transfer_queue import Refer, Requester

__all__ = ["Peering"]

GREET_MS = 1_000.0
GREET_LIMIT_MS = 120_000.0
"""An address that has not answered for this long is greeted no more."""
FIRST_GREET_MS = 300.0
FIRST_GREETS_MS = 3_000.0
"""At the start of a fleet a seed may come a little later than others, which greet it again soon."""
LIST_MS = (300.0, 1_000.0, 3_000.0, 10_000.0, 30_000.0)
"""After these times a VM asks another one who is there; the last is repeated.  Of two that start at
once the later one to ask learns of the other; all else repairs what got lost."""
HOLDERS_TOLD = 8
"""Who has fetched a state there tells so many neighbours, which may fetch it from there."""
GREET_FAR = 2
"""So many addresses of a data centre where nobody is known are greeted at a time."""
DATAGRAM_BYTES = 1_200
"""Larger changes are asked for over TCP: a datagram should fit into one packet."""
ADDRESSES = Items(Address())
FOR_THE_AUDIENCE = (
    LoadReports,
    Failures,
    Refusals,
    InFlightCounts,
    InFlightCountChanges,
    RateLimitUpdate,
)
"""What only those need who place requests."""
CHANGE_RELAYS = 3
"""A third of a fleet may be cut off before it shows: by a single relay each third change would be
lost, and endpoints be used after they have left."""


class Peering:
    """This VM's part in the talk between gateways."""

    def __init__(
        self,
        identity: Identity,
        knowledge: GatewayState,
        members: Members,
        log: EventLog,
        on_load_report: Callable[[str], None],
        on_in_flight_counts: Callable[[], None],
        counters: Counters,
        fleet: str = "",
        requests_per_s: Callable[[float], float] = lambda now_ms: 0.0,
    ) -> None:
        """`requests_per_s` says what callers send this VM."""
        self._identity = identity
        self._on_load_report = on_load_report
        self._knowledge = knowledge
        self._members = members
        self._log = log
        self._counters = counters
        self.link = PeerLink(
            self._on_message, self._answer, self._on_garbage, fleet, self._receive_batch_ms
        )
        self._config_sender = ConfigSender(identity.data_center)
        self.broadcast = Broadcast(identity.vm, self.link, members)
        self.load_updates = LoadUpdates(
            identity.vm,
            self.broadcast,
            members.in_large_data_center,
            knowledge.needs_remote_capacity,
        )
        self.failure_updates = FailureUpdates(identity.vm, self.broadcast, knowledge, log)
        self.count_updates = CountUpdates(
            identity.vm, self.broadcast, members, knowledge, on_in_flight_counts
        )
        self.refusal_updates = RefusalUpdates(
            identity.vm, self.broadcast, knowledge.load_table, knowledge.registry.get
        )
        self.quarantine_updates = QuarantineUpdates(identity.vm, self.broadcast, members, log)
        self.rate_limit_updates = RateLimitUpdates(
            identity.vm,
            self.broadcast,
            RateLimits(identity.vm, members.dispatching_vms),
            knowledge,
            log,
            counters,
        )
        self._started_ms = monotonic_ms()
        self._requests_per_s = requests_per_s
        self._pace = HeartbeatIntervals(members)
        self._addresses: dict[str, str | None] = {}
        self._greeted_since_ms: dict[str, float] = {}
        self._near_due_ms = 0.0
        self._far_due_ms = 0.0
        self._relays = 1
        self._has_update = False
        self._greet_due_ms = 0.0
        self._state_fetch = StateFetcher(
            knowledge,
            members,
            log,
            counters,
            identity.peer_address,
            lambda address, asked: self.link.fetch(address, asked),
            self._fetched,
            self._on_garbage,
        )
        self._list: asyncio.Task[None] | None = None
        self._lists = 0
        self._list_due_ms = 0.0
        self.ready = False
        self.leaving = False
        self.reading = False

    def add_address(self, peer_address: str, data_center: str | None = None) -> None:
        """Take an address where a peer may be, and its data centre if that is known."""
        if peer_address != self._identity.peer_address:
            self._addresses[peer_address] = data_center or self._addresses.get(peer_address)

    def add_member_addresses(self, records: tuple[MemberRecord, ...]) -> None:
        """Take the VMs that the store knows, and greet them."""
        for record in records:
            self.add_address(record.peer_address, record.data_center)
        self._greet_due_ms = 0.0

    def tick(self, now_ms: float) -> None:
        """Send the heartbeats and greetings that are due."""
        if now_ms >= self._greet_due_ms:
            first = now_ms - self._started_ms < FIRST_GREETS_MS
            self._greet_due_ms = now_ms + (FIRST_GREET_MS if first else GREET_MS)
            self._greet(now_ms)
        self.count_updates.resend_all(now_ms)
        if now_ms >= self._near_due_ms:
            every_ms = self._pace.local_interval_ms(self.reading, now_ms)
            self._near_due_ms = now_ms + every_ms
            self.broadcast.send_local(encode(self._heartbeat(every_ms)), now_ms)
        if now_ms >= self._far_due_ms:
            every_ms = self._pace.remote_interval_ms(self.reading, now_ms)
            self._far_due_ms = now_ms + every_ms
            data = encode(self._heartbeat(every_ms))
            relays, self._relays = self._relays, 1
            has_update, self._has_update = self._has_update, False
            if has_update or self._pace.sends_to_remote(self.reading, now_ms):
                self.broadcast.send_remote(data, now_ms, relays)
            silent = (item for item in self._members.local_members() if not item.is_alive(now_ms))
            self.broadcast.send_to(silent, data)

    def send_heartbeat(self, has_update: bool = False) -> None:
        """Send a heartbeat soon, with `has_update` to all, as this VM knows something new."""
        self._near_due_ms = self._far_due_ms = 0.0
        self._has_update |= has_update
        if self._members.in_large_data_center():
            self._relays = CHANGE_RELAYS

    def broadcast_registry_changes(self, base_version: int, changed_names: tuple[str, ...]) -> None:
        """Send what has changed in the registry to everyone, if it fits into a datagram.

        `base_version` is the registry's version before the change: who is behind that one lacks
        more than what is touched.
        """
        now_ms = monotonic_ms()
        document = self._knowledge.registry.to_document(now_ms, changed_names)
        data = encode(ServerChanges(self._identity.vm, base_version, document))
        if len(data) > DATAGRAM_BYTES:
            self.send_heartbeat(has_update=True)
            return
        self.broadcast.send_local(data, now_ms)
        self.broadcast.send_remote(data, now_ms, relay_count=CHANGE_RELAYS)

    def _heartbeat(self, every_ms: float | None = None, wants_answer: bool = False) -> Heartbeat:
        """Return a sign of life; one out of turn counts until the next one that is due."""
        own, knowledge, now_ms = self._identity, self._knowledge, monotonic_ms()
        if every_ms is None:
            near_ms = self._pace.local_interval_ms(self.reading, now_ms)
            every_ms = max(near_ms, self._pace.remote_interval_ms(self.reading, now_ms))
        return Heartbeat(
            own.vm,
            own.incarnation,
            own.data_center,
            own.caller_address,
            own.peer_address,
            self.ready,
            self.reading,
            self.leaving,
            knowledge.config_version,
            knowledge.registry.position.advertised_version,
            every_ms,
            wants_answer,
            round(self._requests_per_s(now_ms)),
            1 + self._members.local_count(),
            knowledge.evacuations.version,
            knowledge.registry.as_of if knowledge.registry.position.advertised_version >= 0 else -1,
            knowledge.config_as_of,
        )

    def _receive_batch_ms(self) -> float:
        """Return for how long datagrams may wait to be read together."""
        return self._pace.receive_batch_ms(
            self._knowledge.load_table.has_requests(), monotonic_ms()
        )

    def _greet(self, now_ms: float) -> None:
        """Ask for a heartbeat from the addresses that have never sent one.

        Where nobody lives in another data centre, its silent VMs are asked too.
        """
        heard = {item.peer_address for item in self._members.all()}
        self._forget_unanswered(heard, now_ms)
        far: dict[str, list[str]] = {}
        found = []
        for address, data_center in self._addresses.items():
            if address in heard:
                continue
            if data_center in (None, self._identity.data_center):
                found.append(address)
            else:
                far.setdefault(data_center, []).append(address)
        for data_center, members in self._members.remote_members(now_ms).items():
            if any(item.is_alive(now_ms) for item in members):
                far.pop(data_center, None)
            else:
                far.setdefault(data_center, []).extend(item.peer_address for item in members)
        for addresses in far.values():
            found += random.sample(addresses, min(GREET_FAR, len(addresses)))
        if found:
            data = encode(self._heartbeat(wants_answer=True))
            for address in found:
                self.link.send_encoded(address, data)

    def _forget_unanswered(self, heard: set[str], now_ms: float) -> None:
        """Drop the addresses that have not answered for long, unless the settings name them.

        The VMs there were replaced.  The settings' addresses have no data centre.
        """
        for address, data_center in tuple(self._addresses.items()):
            if address in heard or data_center is None:
                self._greeted_since_ms.pop(address, None)
            elif now_ms - self._greeted_since_ms.setdefault(address, now_ms) > GREET_LIMIT_MS:
                del self._addresses[address], self._greeted_since_ms[address]

    def request_peer_addresses(self, now_ms: float) -> None:
        """Ask a peer for the addresses in the own data centre, if that is due, to greet them."""
        if now_ms < self._list_due_ms:
            return
        alive = self._members.alive(now_ms)
        if not alive or (self._list is not None and not self._list.done()):
            return
        self._list_due_ms = now_ms + LIST_MS[min(self._lists, len(LIST_MS) - 1)]
        self._lists += 1
        self._list = asyncio.create_task(self._fetch_addresses(random.choice(alive)))

    async def _fetch_addresses(self, member: Member) -> None:
        asked = {"addresses": self._identity.data_center}
        try:
            state = await self.link.fetch(member.peer_address, asked)
        except MessageError as error:
            self._log.note(EventKind.MEMBER, member=member.vm, state="no-answer", error=str(error))
            return
        addresses = state.get("addresses", [])
        if faults_of(ADDRESSES, "", addresses):
            self._on_garbage(member.peer_address, MessageError("no list of addresses"))
            return
        for address in addresses:
            self.add_address(address, self._identity.data_center)

    def _on_message(self, message: PeerMessage, sender: str, relayed: bool = False) -> None:
        if message.vm == self._identity.vm:
            return
        now_ms = monotonic_ms()
        self._members.record_message(now_ms)
        match message:
            case Heartbeat():
                self._on_heartbeat(message, now_ms, relayed)
            case LoadReports():
                for incarnation, figure, age_ms in message.reports:
                    self._knowledge.load_table.get_or_create(incarnation).update_from_probe(
                        figure, now_ms - age_ms
                    )
                    self._on_load_report(incarnation)
            case InFlightCounts():
                self.count_updates.received(message, now_ms)
            case InFlightCountChanges():
                self.count_updates.received_changes(message, now_ms)
            case Failures():
                self.failure_updates.received(message, now_ms)
            case Refusals():
                self.refusal_updates.received(message, now_ms)
            case CrashRecords():
                self.quarantine_updates.received(message, now_ms)
            case RateLimitUpdate():
                self.rate_limit_updates.received(message, now_ms)
            case ServerChanges():
                self._on_server_changes(message, now_ms, relayed)
            case Relay():
                self._on_relay(message, sender, now_ms)

    def _on_relay(self, message: Relay, sender: str, now_ms: float) -> None:
        try:
            inner = decode(message.data)
        except MessageError as error:
            self._on_garbage(sender, error)
            return
        if isinstance(inner, Relay):
            self._on_garbage(sender, MessageError("a relay within a relay"))
            return
        self.broadcast.relay(
            message, now_ms, load_subscribers_only=isinstance(inner, FOR_THE_AUDIENCE)
        )
        self._on_message(inner, sender, relayed=True)

    def _on_heartbeat(self, heartbeat: Heartbeat, now_ms: float, relayed: bool) -> None:
        back = self._members.record_heartbeat(heartbeat, now_ms)
        near = heartbeat.data_center == self._identity.data_center
        if back:
            self._log.note(
                EventKind.MEMBER, member=heartbeat.vm, state="joined", at=heartbeat.peer_address
            )
            self.quarantine_updates.send_records_to(self._members.get(heartbeat.vm), now_ms)
        if heartbeat.wants_answer or (back and near):
            self.link.send_encoded(heartbeat.peer_address, encode(self._heartbeat()))
        if self._state_fetch.is_behind(heartbeat):
            self._state_fetch.schedule_fetch(heartbeat.vm, near or relayed)
        self._hear_positions(heartbeat, now_ms)

    def _hear_positions(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take a VM's word on how far in the store's logs it knows of no further change."""
        knowledge = self._knowledge
        knowledge.registry.position.advance_from_peer(
            heartbeat.registry_version, heartbeat.registry_as_of
        )
        if heartbeat.reading:
            knowledge.registry.position.confirm_current(heartbeat.registry_version, now_ms)
        knowledge.confirm_config_as_of(
            heartbeat.config_version, heartbeat.evacuation_version, heartbeat.config_as_of
        )

    def _on_server_changes(self, changes: ServerChanges, now_ms: float, relayed: bool) -> None:
        registry = self._knowledge.registry
        if changes.base_version > registry.as_of:
            member = self._members.get(changes.vm)
            if member is not None:
                member.registry_version = max(member.registry_version, changes.base_version)
                member.registry_as_of = max(member.registry_as_of, changes.base_version)
            near = member is not None and member.data_center == self._identity.data_center
            self._state_fetch.schedule_fetch(changes.vm, near or relayed)
        elif registry.adopt(changes.document, now_ms):
            self._log.note(
                EventKind.SERVER,
                source=changes.vm,
                version=registry.version,
                servers=len(registry),
                digest=registry.digest(),
            )

    def _fetched(self, address: str) -> None:
        """Tell those who wait for a state that it can be had here."""
        if not any(item.peer_address == address for item in self._members.local_members()):
            self._near_due_ms = 0.0
        elif self._members.in_large_data_center():
            near = self._members.local_members()
            told = random.sample(near, min(HOLDERS_TOLD, len(near)))
            self.broadcast.send_to(told, encode(self._heartbeat()))

    async def _answer(self, asked: dict[str, Any]) -> StateReply:
        """Return what a peer asks for; the configuration may have to wait for its turn."""
        if "config" not in asked:
            return StateReply(self._state_for(asked))
        encoded = self._knowledge.encoded_config()
        if encoded is None or encoded.version <= asked["config"]:
            return StateReply({})
        asker = Requester(asked.get("peer_address", ""), asked.get("data_center", ""))
        turn = await self._config_sender.wait_for_turn(asker, encoded.version)
        if isinstance(turn, Refer):
            return StateReply({"refer": turn.peer_address or ""})
        self._counters.add("states_sent")
        self._log.note(EventKind.FETCH, state="sent", asked=asked, to=asker.peer_address)
        ended = partial(self._config_sender.transfer_ended, asker, encoded.version)
        return StateReply({"config_version": encoded.version, "config": encoded.data}, ended)

    def _state_for(self, asked: dict[str, Any]) -> dict[str, Any]:
        started_ms = monotonic_ms()
        state = build_state_reply(asked, self._knowledge, self._members, started_ms)
        self._counters.add("states_sent")
        took_ms = round(monotonic_ms() - started_ms, 1)
        self._log.note(
            EventKind.FETCH, state="sent", asked=asked, parts=list(state), took_ms=took_ms
        )
        return state

    def _on_garbage(self, sender: str, error: MessageError) -> None:
        self._log.note(EventKind.MEMBER, member=sender, state="garbage", error=str(error))
