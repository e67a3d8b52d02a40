"""Exchange of heartbeats, state versions and endpoint load between gateways.

Layer: transport.  Each heartbeat carries the versions of the sender's state.  A receiver whose
versions are older fetches the state from the sender (anti-entropy).  In this way changes spread to
every VM from the one that reads the store, and a VM that cannot reach the store works with the
state that its peers hold.  A state fetched from a remote data centre is announced to the VMs of the
local data centre at once, so that they do not have to fetch it from there too.
"""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from cloverhook.checking import Address, Items, faults_of
from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.gateway.allotment import Allotments
from cloverhook.gateway.allotment_updates import AllotmentUpdates
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.backoff_updates import BackoffUpdates
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.config_sender import ConfigSender
from cloverhook.gateway.count_updates import CountUpdates
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.drain_updates import DrainUpdates
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.failure_updates import FailureUpdates
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.heartbeat_intervals import HeartbeatIntervals
from cloverhook.gateway.link_updates import LinkUpdates
from cloverhook.gateway.links import Links
from cloverhook.gateway.load_updates import LoadUpdates
from cloverhook.gateway.members import Member, Members
from cloverhook.gateway.peer_link import PeerLink, StateReply
from cloverhook.gateway.peer_messages import (
    AccountUse,
    BackoffUpdate,
    ClockAnswer,
    ClockRequest,
    CrashRecords,
    DrainNoticeUpdate,
    Failures,
    Heartbeat,
    Identity,
    InFlightCountChanges,
    InFlightCounts,
    LinkOffer,
    LinkStatus,
    LoadReports,
    PeerMessage,
    RateLimitUpdate,
    Refusals,
    Relay,
    ServerChanges,
    StoreConfirmation,
    decode,
    encode,
)
from cloverhook.gateway.quarantine_updates import QuarantineUpdates
from cloverhook.gateway.rate_limit_updates import RateLimitUpdates
from cloverhook.gateway.rate_limits import RateLimits
from cloverhook.gateway.refusal_updates import RefusalUpdates
from cloverhook.gateway.server_load import LoadReport
from cloverhook.gateway.state_fetch import StateFetcher, build_state_reply
from cloverhook.gateway.store import MemberRecord
from cloverhook.gateway.store_confirmations import StoreConfirmations
from cloverhook.gateway.transfer_queue import Refer, Requester

__all__ = ["Peering"]

CONTACT_INTERVAL_MS = 1_000.0
CONTACT_LIMIT_MS = 120_000.0
"""An address that has not answered for this long is dropped and no longer contacted."""
STARTUP_CONTACT_INTERVAL_MS = 300.0
STARTUP_CONTACT_MS = 3_000.0
"""When a fleet starts, a seed VM may come up a little later than the others.  For this time after
its own start a VM contacts addresses at the shorter interval, so that it finds the seed soon."""
REQUEST_DELAYS_MS = (300.0, 1_000.0, 3_000.0, 10_000.0, 30_000.0)
"""Delays between a VM's requests to a peer for the addresses in its data centre; the last delay
repeats.  Of two VMs that start at the same time, the one that asks later learns of the other.  The
further requests make up for lost messages."""
ANNOUNCE_LIMIT = 8
"""In a large data centre, a VM that has fetched a state from a neighbour announces it to this
many neighbours, which may then fetch the state from it."""
REMOTE_CONTACTS_AT_ONCE = 2
"""How many addresses are contacted at a time in a data centre where no VM is known to be alive."""
DATAGRAM_LIMIT_BYTES = 1_200
"""A datagram should fit into one packet.  Registry changes that are larger than this are not sent;
peers fetch them over TCP."""
ADDRESSES = Items(Address())
LOAD_SUBSCRIBER_MESSAGES = (
    LoadReports,
    Failures,
    Refusals,
    InFlightCounts,
    InFlightCountChanges,
    RateLimitUpdate,
    BackoffUpdate,
    LinkStatus,
    AccountUse,
)
"""Messages that are needed only by VMs that dispatch requests, now or soon."""
CHANGE_RELAY_COUNT = 3
"""Number of VMs in each remote data centre that relay a registry change.  A third of a fleet may be
unreachable before this is detected.  With a single relay, every third change would then be lost,
and endpoints would be used after they have left."""


class Peering:
    """This VM's side of the message exchange between gateways."""

    def __init__(
        self,
        identity: Identity,
        gateway_state: GatewayState,
        members: Members,
        log: EventLog,
        on_load_report: Callable[[str], None],
        on_in_flight_counts: Callable[[], None],
        counters: Counters,
        links: Links,
        fleet: str = "",
        requests_per_s: Callable[[float], float] = lambda now_ms: 0.0,
        allotments: Allotments | None = None,
    ) -> None:
        """Set up the exchange; the sockets are opened by `link.open`.

        `on_load_report` is called with the incarnation of a backend server for which a load report
        has arrived, and `on_in_flight_counts` when another VM's counts of requests in flight have
        arrived.  `fleet` is described at `PeerLink`.  `requests_per_s` returns the rate at which
        callers send requests to this VM, given the current time.  Without `allotments`, no account
        has a limit.
        """
        self._identity = identity
        self._on_load_report = on_load_report
        self._gateway_state = gateway_state
        self._members = members
        self._log = log
        self._counters = counters
        self.link = PeerLink(
            self._on_message,
            self._reply_to,
            self._on_invalid_message,
            fleet,
            self._receive_batch_ms,
        )
        self._config_sender = ConfigSender(identity.data_center)
        self.broadcast = Broadcast(identity.vm, self.link, members)
        self.load_updates = LoadUpdates(
            identity.vm,
            self.broadcast,
            members.in_large_data_center,
            gateway_state.needs_remote_capacity,
        )
        self.failure_updates = FailureUpdates(
            identity.vm, self.broadcast, gateway_state, log, links
        )
        self.link_updates = LinkUpdates(
            identity.vm, self.broadcast, members, gateway_state, links, log
        )
        self.count_updates = CountUpdates(
            identity.vm, self.broadcast, members, gateway_state, on_in_flight_counts
        )
        self.refusal_updates = RefusalUpdates(
            identity.vm, self.broadcast, gateway_state.load_table, gateway_state.registry.get
        )
        self.quarantine_updates = QuarantineUpdates(identity.vm, self.broadcast, members, log)
        self.rate_limit_updates = RateLimitUpdates(
            identity.vm,
            self.broadcast,
            RateLimits(identity.vm, self.senders_to),
            gateway_state,
            log,
            counters,
        )
        self.drain_updates = DrainUpdates(identity.vm, self.broadcast, gateway_state, log, counters)
        self.confirmations = StoreConfirmations(
            identity, self.broadcast, members, gateway_state, counters
        )
        self.backoff_updates = BackoffUpdates(
            identity.vm, self.broadcast, gateway_state, log, counters
        )
        self.allotment_updates = AllotmentUpdates(
            identity, allotments, self.broadcast, members, gateway_state, log, counters
        )
        self._started_ms = monotonic_ms()
        self._requests_per_s = requests_per_s
        self._heartbeat_intervals = HeartbeatIntervals(members)
        self._addresses: dict[str, str | None] = {}
        self._contacted_since_ms: dict[str, float] = {}
        self._local_heartbeat_due_ms = 0.0
        self._remote_heartbeat_due_ms = 0.0
        self._relay_count = 1
        self._has_update = False
        self._contact_due_ms = 0.0
        self.state_fetch = StateFetcher(
            gateway_state,
            members,
            log,
            counters,
            identity.peer_address,
            lambda address, request: self.link.fetch(address, request),
            self._announce_state,
            self._on_invalid_message,
        )
        self._address_task: asyncio.Task[None] | None = None
        self._address_requests = 0
        self._address_due_ms = 0.0
        self.ready = False
        self.leaving = False
        self.reading = False

    def senders_to(self, server: BackendServer, now_ms: float) -> tuple[str, ...]:
        """Return the VMs that place requests at an endpoint, as far as they reach it."""
        vms = self._members.dispatching_vms(server.data_center, now_ms)
        without_link = self.link_updates.peer_links.without_link(server, now_ms)
        return tuple(vm for vm in vms if vm not in without_link) if without_link else vms

    def add_address(self, peer_address: str, data_center: str | None = None) -> None:
        """Add an address at which a peer may run, with its data centre if that is known."""
        if peer_address != self._identity.peer_address:
            self._addresses[peer_address] = data_center or self._addresses.get(peer_address)

    def add_member_addresses(self, records: tuple[MemberRecord, ...]) -> None:
        """Add the addresses of the VMs that the store lists, and contact them at the next tick."""
        for record in records:
            self.add_address(record.peer_address, record.data_center)
        self._contact_due_ms = 0.0

    def tick(self, now_ms: float) -> None:
        """Send the heartbeats, discovery requests and repeated counts that are due."""
        if now_ms >= self._contact_due_ms:
            is_startup = now_ms - self._started_ms < STARTUP_CONTACT_MS
            self._contact_due_ms = now_ms + (
                STARTUP_CONTACT_INTERVAL_MS if is_startup else CONTACT_INTERVAL_MS
            )
            self._send_discovery_requests(now_ms)
        self.count_updates.resend_all(now_ms)
        self.allotment_updates.tick(now_ms)
        is_local_due = now_ms >= self._local_heartbeat_due_ms
        self.confirmations.send_if_due(now_ms, self.reading and is_local_due)
        if is_local_due:
            every_ms = self._heartbeat_intervals.local_interval_ms(self.reading, now_ms)
            self._local_heartbeat_due_ms = now_ms + every_ms
            self.broadcast.send_local(encode(self._heartbeat(every_ms)), now_ms)
        if now_ms >= self._remote_heartbeat_due_ms:
            every_ms = self._heartbeat_intervals.remote_interval_ms(self.reading, now_ms)
            self._remote_heartbeat_due_ms = now_ms + every_ms
            data = encode(self._heartbeat(every_ms))
            relay_count, self._relay_count = self._relay_count, 1
            has_update, self._has_update = self._has_update, False
            if has_update or self._heartbeat_intervals.sends_to_remote(self.reading, now_ms):
                self.broadcast.send_remote(data, now_ms, relay_count)
            silent = (item for item in self._members.local_members() if not item.is_alive(now_ms))
            self.broadcast.send_to(silent, data)

    def send_heartbeat(self, has_update: bool = False) -> None:
        """Send a heartbeat at the next tick.

        With `has_update` this VM has newer state to announce, and the heartbeat goes to the remote
        data centres in any case.
        """
        self._local_heartbeat_due_ms = self._remote_heartbeat_due_ms = 0.0
        self._has_update |= has_update
        if self._members.in_large_data_center():
            self._relay_count = CHANGE_RELAY_COUNT

    def broadcast_registry_changes(self, base_version: int, changed_names: tuple[str, ...]) -> None:
        """Send registry changes to all VMs, or a heartbeat if they do not fit into a datagram.

        `base_version` is the registry's version before the change.  A receiver with an older
        version lacks more than the entries in `changed_names`.
        """
        now_ms = monotonic_ms()
        document = self._gateway_state.registry.to_document(now_ms, changed_names)
        data = encode(ServerChanges(self._identity.vm, base_version, document))
        if len(data) > DATAGRAM_LIMIT_BYTES:
            self.send_heartbeat(has_update=True)
            return
        self.broadcast.send_local(data, now_ms)
        self.broadcast.send_remote(data, now_ms, relay_count=CHANGE_RELAY_COUNT)

    def _heartbeat(self, every_ms: float | None = None, wants_answer: bool = False) -> Heartbeat:
        """Return a heartbeat.

        `every_ms` is the time until the next heartbeat to the same receivers.  Without it, the
        heartbeat is sent ahead of schedule and is valid until the next regular one: it carries the
        longer one of the two heartbeat intervals.
        """
        own, gateway_state, now_ms = self._identity, self._gateway_state, monotonic_ms()
        if every_ms is None:
            local_ms = self._heartbeat_intervals.local_interval_ms(self.reading, now_ms)
            every_ms = max(
                local_ms, self._heartbeat_intervals.remote_interval_ms(self.reading, now_ms)
            )
        capacity = self._members.own_capacity
        self._members.own_requests_per_s = round(self._requests_per_s(now_ms))
        return Heartbeat(
            own.vm,
            own.incarnation,
            own.data_center,
            own.caller_address,
            own.peer_address,
            self.ready,
            self.reading,
            self.leaving,
            gateway_state.config_version,
            gateway_state.registry.position.advertised_version,
            every_ms,
            wants_answer,
            self._members.own_requests_per_s,
            1 + self._members.local_count(),
            gateway_state.evacuations.version,
            (
                gateway_state.registry.as_of
                if gateway_state.registry.position.advertised_version >= 0
                else -1
            ),
            gateway_state.config_as_of,
            capacity.processor_cores,
            capacity.link_mbps,
        )

    def _receive_batch_ms(self) -> float:
        """Return for how long received datagrams may wait to be read in one batch."""
        return self._heartbeat_intervals.receive_batch_ms(
            self._gateway_state.load_table.has_requests(), monotonic_ms()
        )

    def _send_discovery_requests(self, now_ms: float) -> None:
        """Request a heartbeat from the addresses that have never sent one.

        If no VM of a remote data centre is alive, its silent VMs are asked too.
        """
        known_addresses = {item.peer_address for item in self._members.all()}
        self._drop_unanswered(known_addresses, now_ms)
        remote_addresses: dict[str, list[str]] = {}
        targets = []
        for address, data_center in self._addresses.items():
            if address in known_addresses:
                continue
            if data_center in (None, self._identity.data_center):
                targets.append(address)
            else:
                remote_addresses.setdefault(data_center, []).append(address)
        for data_center, members in self._members.remote_members(now_ms).items():
            if any(item.is_alive(now_ms) for item in members):
                remote_addresses.pop(data_center, None)
            else:
                remote_addresses.setdefault(data_center, []).extend(
                    item.peer_address for item in members
                )
        for addresses in remote_addresses.values():
            targets += random.sample(addresses, min(REMOTE_CONTACTS_AT_ONCE, len(addresses)))
        if targets:
            data = encode(self._heartbeat(wants_answer=True))
            for address in targets:
                self.link.send_encoded(address, data)

    def _drop_unanswered(self, known_addresses: set[str], now_ms: float) -> None:
        """Drop addresses that have not answered for long, unless they come from the settings.

        The VMs at dropped addresses have been replaced.  Addresses from the settings are recognised
        by their missing data centre.
        """
        for address, data_center in tuple(self._addresses.items()):
            if address in known_addresses or data_center is None:
                self._contacted_since_ms.pop(address, None)
            elif now_ms - self._contacted_since_ms.setdefault(address, now_ms) > CONTACT_LIMIT_MS:
                del self._addresses[address], self._contacted_since_ms[address]

    def request_peer_addresses(self, now_ms: float) -> None:
        """If it is due, ask a peer for the addresses in the local data centre.

        The addresses are added to those that are contacted.
        """
        if now_ms < self._address_due_ms:
            return
        alive = self._members.alive(now_ms)
        if not alive or (self._address_task is not None and not self._address_task.done()):
            return
        self._address_due_ms = (
            now_ms + REQUEST_DELAYS_MS[min(self._address_requests, len(REQUEST_DELAYS_MS) - 1)]
        )
        self._address_requests += 1
        self._address_task = asyncio.create_task(self._fetch_addresses(random.choice(alive)))

    async def _fetch_addresses(self, member: Member) -> None:
        request = {"addresses": self._identity.data_center}
        try:
            state = await self.link.fetch(member.peer_address, request)
        except MessageError as error:
            self._log.note(EventKind.MEMBER, member=member.vm, state="no-answer", error=str(error))
            return
        addresses = state.get("addresses", [])
        if faults_of(ADDRESSES, "", addresses):
            self._on_invalid_message(
                member.peer_address, MessageError("reply with an invalid list of addresses")
            )
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
                for incarnation, report, age_ms in message.reports:
                    self._on_peer_load_report(message.vm, incarnation, report, age_ms, now_ms)
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
            case BackoffUpdate():
                self.backoff_updates.received(message, now_ms)
            case LinkStatus():
                self.link_updates.received(message, now_ms)
            case LinkOffer():
                self.link_updates.received_offer(message, now_ms)
            case DrainNoticeUpdate():
                self.drain_updates.received(message, now_ms)
            case AccountUse():
                self.allotment_updates.received(message, now_ms)
            case StoreConfirmation():
                self.state_fetch.is_behind(message)
                self.confirmations.received(message, now_ms)
            case ClockRequest():
                if not relayed:
                    self.confirmations.answer(message, sender, now_ms)
            case ClockAnswer():
                self.confirmations.received_answer(message, now_ms)
            case ServerChanges():
                self._on_server_changes(message, now_ms, relayed)
            case Relay():
                self._on_relay(message, sender, now_ms)

    def _on_peer_load_report(
        self, vm: str, incarnation: str, report: LoadReport, age_ms: float, now_ms: float
    ) -> None:
        if not report.reachable:
            self.link_updates.record_report(vm, incarnation, now_ms - age_ms, now_ms)
            return
        load = self._gateway_state.load_table.get_or_create(incarnation)
        load.update_from_probe(report, now_ms - age_ms)
        self._on_load_report(incarnation)

    def _on_relay(self, message: Relay, sender: str, now_ms: float) -> None:
        try:
            inner = decode(message.data)
        except MessageError as error:
            self._on_invalid_message(sender, error)
            return
        if isinstance(inner, Relay):
            self._on_invalid_message(sender, MessageError("relay message inside a relay message"))
            return
        self.broadcast.relay(
            message, now_ms, load_subscribers_only=isinstance(inner, LOAD_SUBSCRIBER_MESSAGES)
        )
        self._on_message(inner, sender, relayed=True)

    def _on_heartbeat(self, heartbeat: Heartbeat, now_ms: float, relayed: bool) -> None:
        joined = self._members.record_heartbeat(heartbeat, now_ms)
        is_local = heartbeat.data_center == self._identity.data_center
        if joined:
            self._log.note(
                EventKind.MEMBER, member=heartbeat.vm, state="joined", at=heartbeat.peer_address
            )
            member = self._members.get(heartbeat.vm)
            self.quarantine_updates.send_records_to(member, now_ms)
            self.drain_updates.send_notices_to(member, now_ms)
            self.backoff_updates.send_backoffs_to(member, now_ms)
        if heartbeat.wants_answer or (joined and is_local):
            self.link.send_encoded(heartbeat.peer_address, encode(self._heartbeat()))
        if self.state_fetch.is_behind(heartbeat):
            self.state_fetch.schedule_fetch(heartbeat.vm, is_local or relayed)
        self._update_log_positions(heartbeat, now_ms)

    def _update_log_positions(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take over the positions in the store's logs up to which the sender has all changes."""
        gateway_state = self._gateway_state
        gateway_state.registry.position.advance_from_peer(
            heartbeat.registry_version, heartbeat.registry_as_of
        )
        gateway_state.confirm_config_as_of(
            heartbeat.config_version, heartbeat.evacuation_version, heartbeat.config_as_of
        )

    def _on_server_changes(self, changes: ServerChanges, now_ms: float, relayed: bool) -> None:
        registry = self._gateway_state.registry
        if changes.base_version > registry.as_of:
            member = self._members.get(changes.vm)
            if member is not None:
                member.registry_version = max(member.registry_version, changes.base_version)
                member.registry_as_of = max(member.registry_as_of, changes.base_version)
            is_local = member is not None and member.data_center == self._identity.data_center
            self.state_fetch.schedule_fetch(changes.vm, is_local or relayed)
        elif registry.adopt(changes.document, now_ms):
            self._log.note(
                EventKind.SERVER,
                source=changes.vm,
                version=registry.version,
                servers=len(registry),
                digest=registry.digest(),
            )

    def _announce_state(self, address: str) -> None:
        """Announce to neighbours that may wait for a fetched state that this VM has it now.

        After a fetch from a remote data centre all neighbours get a heartbeat at the next tick.
        After a fetch from a neighbour a few of them get one, if the data centre is large.
        """
        if not any(item.peer_address == address for item in self._members.local_members()):
            self._local_heartbeat_due_ms = 0.0
        elif self._members.in_large_data_center():
            neighbours = self._members.local_members()
            receivers = random.sample(neighbours, min(ANNOUNCE_LIMIT, len(neighbours)))
            self.broadcast.send_to(receivers, encode(self._heartbeat()))

    async def _reply_to(self, request: dict[str, Any]) -> StateReply:
        """Return the reply to a peer's state request.

        A request for the configuration may wait until a transfer slot is free, or be referred to
        another VM.
        """
        if "config" not in request:
            return StateReply(self._state_for(request))
        encoded = self._gateway_state.encoded_config()
        if encoded is None or encoded.version <= request["config"]:
            return StateReply({})
        requester = Requester(request.get("peer_address", ""), request.get("data_center", ""))
        action = await self._config_sender.wait_for_turn(requester, encoded.version)
        if isinstance(action, Refer):
            return StateReply({"refer": action.peer_address or ""})
        self._counters.add("states_sent")
        self._log.note(EventKind.FETCH, state="sent", asked=request, to=requester.peer_address)
        on_end = partial(self._config_sender.transfer_ended, requester, encoded.version)
        return StateReply({"config_version": encoded.version, "config": encoded.data}, on_end)

    def _state_for(self, request: dict[str, Any]) -> dict[str, Any]:
        started_ms = monotonic_ms()
        state = build_state_reply(request, self._gateway_state, self._members, started_ms)
        self._counters.add("states_sent")
        took_ms = round(monotonic_ms() - started_ms, 1)
        self._log.note(
            EventKind.FETCH, state="sent", asked=request, parts=list(state), took_ms=took_ms
        )
        return state

    def _on_invalid_message(self, sender: str, error: MessageError) -> None:
        self._log.note(EventKind.MEMBER, member=sender, state="garbage", error=str(error))
