"""What gateways tell each other: that they live, what they know, and how loaded endpoints are.

Layer: transport.  Each beat names the versions that its sender knows; whoever is behind asks that
sender for its state.  So news reaches every VM from the one that reads the store, and a VM that
cannot reach the store lives on what its peers hold.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.gateway.event_log import EventLog, Kind
from cloverhook.gateway.knowledge import Knowledge
from cloverhook.gateway.load import LoadFigure
from cloverhook.gateway.members import Member, Members
from cloverhook.gateway.peer_link import PeerLink
from cloverhook.gateway.peer_messages import (
    Beat,
    Hello,
    InFlight,
    Loads,
    PeerMessage,
    ServerChanges,
    encode,
)
from cloverhook.gateway.routes import GatewayConfig
from cloverhook.gateway.store import MemberRecord

__all__ = ["Peering"]

NEAR_BEAT_MS = 400.0
FAR_BEAT_MS = 1_000.0
"""Bytes between data centres are paid for, so members there hear less often."""
READER_BEAT_MS = 300.0
GREET_MS = 1_000.0
DATAGRAM_BYTES = 1_200
"""Larger changes are asked for over TCP: a datagram should fit into one packet."""
COUNT_DELAY_MS = 2.0
"""Changes within this time go into one datagram."""
COUNT_REPEAT_MS = 250.0
FAR_LOAD_MS = 150.0
FAR_LOAD_STEP = 2
"""Other data centres hear of a load that has changed by this many requests, after this time."""
FAR_FIGURE_MS = 1_000.0
FAR_PACE_RATIO = 1.5
"""Other data centres hear of a pace once it has changed by this factor, or after a second."""


class Peering:
    """This VM's part in the talk between gateways."""

    def __init__(
        self,
        own: Hello,
        knowledge: Knowledge,
        members: Members,
        log: EventLog,
        on_figure: Callable[[str], None],
        on_counts: Callable[[], None],
    ) -> None:
        self._own = own
        self._on_figure = on_figure
        self._on_counts = on_counts
        self._knowledge = knowledge
        self._members = members
        self._log = log
        self.link = PeerLink(self._on_message, self._state_for, self._on_garbage)
        self._known_addresses: set[str] = set()
        self._beat_due_ms: dict[str, float] = {}
        self._greet_due_ms = 0.0
        self._fetch: asyncio.Task[None] | None = None
        self._far_sent: dict[str, tuple[float, LoadFigure]] = {}
        self._counted: dict[str, frozenset[str]] = {}
        self._count_timer: asyncio.TimerHandle | None = None
        self._counts_due_ms = 0.0
        self.ready = False
        self.leaving = False
        self.reading = False

    def add_address(self, peer_address: str) -> None:
        """Take an address where a peer may be."""
        if peer_address != self._own.peer_address:
            self._known_addresses.add(peer_address)

    def add_members(self, records: tuple[MemberRecord, ...]) -> None:
        """Take the VMs that the store knows, and greet them."""
        for record in records:
            self.add_address(record.peer_address)
        self._greet_due_ms = 0.0

    def tick(self, now_ms: float) -> None:
        """Send the beats and greetings that are due."""
        if now_ms >= self._greet_due_ms:
            self._greet_due_ms = now_ms + GREET_MS
            self._greet(now_ms)
        if now_ms >= self._counts_due_ms and self._knowledge.board.in_flight():
            self._tell_counts()
        data = b""
        for member in self._members.alive(now_ms):
            if now_ms < self._beat_due_ms.get(member.vm, 0.0):
                continue
            self._beat_due_ms[member.vm] = now_ms + self._beat_ms(member)
            data = data or encode(self._beat())
            self.link.send_encoded(member.peer_address, data)

    def beat_now(self) -> None:
        """Tell everyone at once: something has changed."""
        self._beat_due_ms.clear()
        self.tick(monotonic_ms())

    def tell_servers(self, base_version: int, touched: tuple[str, ...]) -> None:
        """Send the changes of the registry to everyone, if they fit into a datagram."""
        now_ms = monotonic_ms()
        document = self._knowledge.registry.to_document(now_ms, touched)
        data = encode(ServerChanges(self._own.vm, base_version, document))
        if len(data) > DATAGRAM_BYTES:
            self.beat_now()
            return
        for member in self._members.alive(now_ms):
            self.link.send_encoded(member.peer_address, data)

    def tell_load(self, name: str, figure: LoadFigure, at_ms: float) -> None:
        """Send a load figure to the own data centre, and to the others if it has changed."""
        now_ms = monotonic_ms()
        far = self._is_far_news(name, figure, at_ms)
        data = encode(Loads(self._own.vm, ((name, figure, now_ms - at_ms),)))
        for member in self._members.alive(now_ms):
            if far or member.data_center == self._own.data_center:
                self.link.send_encoded(member.peer_address, data)

    def _is_far_news(self, name: str, figure: LoadFigure, at_ms: float) -> bool:
        sent_ms, sent = self._far_sent.get(name, (-1e12, figure))
        ratio = max(figure.pace, sent.pace) / max(min(figure.pace, sent.pace), 0.01)
        step = abs(figure.running + figure.waiting - sent.running - sent.waiting)
        changed = ratio >= FAR_PACE_RATIO or figure.reachable != sent.reachable
        changed |= step >= FAR_LOAD_STEP and at_ms - sent_ms >= FAR_LOAD_MS
        if changed or at_ms - sent_ms >= FAR_FIGURE_MS:
            self._far_sent[name] = (at_ms, figure)
            return True
        return False

    def _beat(self) -> Beat:
        knowledge = self._knowledge
        return Beat(
            self._own.vm,
            self._own.incarnation,
            self.ready,
            self.reading,
            self.leaving,
            knowledge.config_version,
            knowledge.registry.version,
        )

    def _beat_ms(self, member: Member) -> float:
        near = member.data_center == self._own.data_center
        usual_ms = NEAR_BEAT_MS if near else FAR_BEAT_MS
        return min(usual_ms, READER_BEAT_MS) if self.reading else usual_ms

    def _greet(self, now_ms: float) -> None:
        """Introduce this VM to every address where no live member is known."""
        alive = {member.peer_address for member in self._members.alive(now_ms)}
        known = self._known_addresses | {item.peer_address for item in self._members.all()}
        for address in known - alive:
            self.link.send(address, self._own)

    def _on_message(self, message: PeerMessage, sender: str) -> None:
        if message.vm == self._own.vm:
            return
        now_ms = monotonic_ms()
        match message:
            case Hello():
                self._on_hello(message, now_ms)
            case Beat():
                self._on_beat(message, sender, now_ms)
            case Loads():
                for incarnation, figure, age_ms in message.figures:
                    load = self._knowledge.board.of(incarnation)
                    load.report(figure, now_ms - age_ms)
                    self._on_figure(incarnation)
            case InFlight():
                self._on_in_flight(message, now_ms)
            case ServerChanges():
                self._on_changes(message, now_ms)

    def count_changed(self) -> None:
        """Tell the own data centre soon how many requests are in flight where."""
        if self._count_timer is None:
            loop = asyncio.get_running_loop()
            self._count_timer = loop.call_later(COUNT_DELAY_MS / 1000, self._tell_counts)

    def _tell_counts(self) -> None:
        self._count_timer = None
        now_ms = monotonic_ms()
        self._counts_due_ms = now_ms + COUNT_REPEAT_MS
        counts = self._knowledge.board.in_flight()
        data = encode(InFlight(self._own.vm, counts))
        for member in self._members.alive(now_ms):
            if member.data_center == self._own.data_center:
                self.link.send_encoded(member.peer_address, data)

    def _on_in_flight(self, message: InFlight, now_ms: float) -> None:
        board = self._knowledge.board
        before = self._counted.get(message.vm, frozenset())
        self._counted[message.vm] = frozenset(message.counts)
        for incarnation in before - message.counts.keys():
            board.of(incarnation).peer_has(message.vm, 0, now_ms)
        for incarnation, count in message.counts.items():
            board.of(incarnation).peer_has(message.vm, count, now_ms)
        self._on_counts()

    def _on_hello(self, hello: Hello, now_ms: float) -> None:
        if self._members.greeted(hello, now_ms):
            self._log.note(Kind.MEMBER, member=hello.vm, state="joined", at=hello.peer_address)
            self._beat_due_ms.pop(hello.vm, None)
        if hello.wants_answer:
            answer = Hello(
                self._own.vm,
                self._own.incarnation,
                self._own.data_center,
                self._own.caller_address,
                self._own.peer_address,
                wants_answer=False,
            )
            self.link.send(hello.peer_address, answer)
            self.link.send(hello.peer_address, self._beat())

    def _on_beat(self, beat: Beat, sender: str, now_ms: float) -> None:
        if not self._members.heard(beat, now_ms):
            self.link.send(sender, self._own)
            return
        knowledge = self._knowledge
        behind = (
            beat.config_version > knowledge.config_version
            or beat.registry_version > knowledge.registry.version
        )
        if behind:
            self._fetch_from(beat.vm)

    def _on_changes(self, changes: ServerChanges, now_ms: float) -> None:
        registry = self._knowledge.registry
        if changes.base_version > registry.version:
            self._fetch_from(changes.vm)
        elif registry.adopt(changes.document, now_ms):
            self._log.note(
                Kind.SERVER, source=changes.vm, version=registry.version, servers=len(registry)
            )

    def _fetch_from(self, vm: str) -> None:
        member = self._members.get(vm)
        if member is not None and (self._fetch is None or self._fetch.done()):
            self._fetch = asyncio.create_task(self._fetch_state(member))

    async def _fetch_state(self, member: Member) -> None:
        knowledge = self._knowledge
        asked = {
            "config": knowledge.config_version,
            "registry": knowledge.registry.version,
        }
        try:
            state = await self.link.fetch(member.peer_address, asked)
        except MessageError as error:
            self._log.note(Kind.MEMBER, member=member.vm, state="no-answer", error=str(error))
            return
        now_ms = monotonic_ms()
        config = state.get("config")
        if config and knowledge.take_config(GatewayConfig.from_document(config), now_ms):
            self._log.note(Kind.CONFIG, version=knowledge.config_version, source=member.vm)
        registry = state.get("registry")
        if registry and knowledge.registry.adopt(registry, now_ms):
            version = knowledge.registry.version
            self._log.note(Kind.SERVER, source=member.vm, version=version, whole=True)

    def _state_for(self, asked: dict[str, Any]) -> dict[str, Any]:
        """Return what a peer that knows the versions `asked` lacks."""
        knowledge = self._knowledge
        state: dict[str, Any] = {}
        if knowledge.config is not None and knowledge.config_version > asked.get("config", -1):
            state["config"] = knowledge.config.to_document()
        if knowledge.registry.version > asked.get("registry", -1):
            state["registry"] = knowledge.registry.to_document(monotonic_ms())
        return state

    def _on_garbage(self, sender: str, error: MessageError) -> None:
        self._log.note(Kind.MEMBER, member=sender, state="garbage", error=str(error))
