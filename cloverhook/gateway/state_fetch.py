"""Fetches what peers know more, the configuration apart from all else.

Layer: transport.  Who hears of newer versions asks for the state: in the sender's data centre at
once, elsewhere one VM does and its neighbours fetch it from there.  In a crowded data centre not
all ask at the same moment, nor all the same VM: whoever has the state by then gives it.  A large
configuration may be on its way for seconds; what is small, such as changes of backend servers, is
asked for by itself and doesn't wait for that.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from enum import Enum
from typing import Any

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.gateway.config_codec import EncodedConfig
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.evacuation import Evacuations
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.members import KnownVersions, Member, Members
from cloverhook.gateway.peer_messages import is_registry_document
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.routes import GatewayConfig

__all__ = ["StatePart", "StateFetcher", "build_state_reply"]

NEIGHBOUR_FIRST_MS = 300.0
"""How long a neighbour may take to fetch a state from another data centre and to tell of it."""
FETCH_SPREAD_MS = 50.0
"""In a crowded data centre the questions are spread over this time."""
PART_SHARE = 0.5
"""Of a registry less than this part is sent alone: checking 3,000 rows holds a small VM long."""
FETCH_TRIES = 3
"""A try takes up to a second; a change has to be in force within two."""
REFERRALS_LIMIT = 24
REFERRED_PAUSE_MS = 50.0
"""Before the next question of one that was sent back without an address."""

State = dict[str, Any]


class StatePart(Enum):
    """What is fetched by itself: the configuration, or backend servers and evacuations."""

    CONFIG = "config"
    SERVERS = "servers"


class StateFetcher:
    """The fetches that are under way, at most one of each part."""

    def __init__(
        self,
        knowledge: GatewayState,
        members: Members,
        log: EventLog,
        counters: Counters,
        own_address: str,
        fetch: Callable[[str, State], Awaitable[State]],
        on_fetched: Callable[[str], None],
        on_invalid_message: Callable[[str, MessageError], None],
    ) -> None:
        """`fetch` asks an address for a state; `on_fetched` hears from which one it has come.

        Others may ask for the configuration at `own_address` once it is here.
        """
        self._knowledge = knowledge
        self._members = members
        self._log = log
        self._counters = counters
        self._own_address = own_address
        self._fetch = fetch
        self._on_fetched = on_fetched
        self._on_invalid_message = on_invalid_message
        self._tasks: dict[StatePart, asyncio.Task[None]] = {}
        self._behind_since_ms: dict[StatePart, float] = {}

    def is_behind(self, other: KnownVersions) -> bool:
        """Return whether there is more to know than is known here."""
        return any(self._lacks(part, other) for part in StatePart)

    def _lacks(self, part: StatePart, other: KnownVersions) -> bool:
        """Return whether another VM knows more of a part."""
        knowledge = self._knowledge
        if part is StatePart.CONFIG:
            lacks = other.config_version > knowledge.config_version
        else:
            lacks = (
                other.registry_version > knowledge.registry.as_of
                or other.evacuation_version > knowledge.evacuations.version
            )
        if lacks:
            self._behind_since_ms.setdefault(part, monotonic_ms())
        return lacks

    def schedule_fetch(self, vm: str, immediately: bool) -> None:
        """Fetch a peer's state soon; `immediately` where no neighbour can be expected to do it."""
        wait_ms = 0.0 if immediately else NEIGHBOUR_FIRST_MS
        if immediately and self._members.in_large_data_center():
            wait_ms = random.uniform(0.0, FETCH_SPREAD_MS)
        if not wait_ms:
            self._fetch_if_behind(vm)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / 1000, self._fetch_if_behind, vm)

    def _fetch_if_behind(self, vm: str) -> None:
        """Fetch what a peer knows, from it or from a neighbour that has it meanwhile."""
        member = self._members.get(vm)
        if member is None:
            return
        for part in StatePart:
            task = self._tasks.get(part)
            if (task is None or task.done()) and self._lacks(part, member):
                self._tasks[part] = asyncio.create_task(self._fetch_part(part, member))

    async def _fetch_part(self, part: StatePart, member: Member) -> None:
        """Fetch a part, and go on while there is somebody who knows more by then."""
        ahead: Member | None = member
        while ahead is not None and await self._fetch_what_is_known(part, ahead):
            self._behind_since_ms.pop(part, None)
            alive = self._members.alive(monotonic_ms())
            ahead = next((item for item in alive if self._lacks(part, item)), None)

    async def _fetch_what_is_known(self, part: StatePart, member: Member) -> bool:
        """Ask a few holders in turn: one whose link is slow or which is gone answers none.

        Returns whether that has succeeded.
        """
        wanted = replace(member)  # What it knows when the question is put, without later changes.
        address: str | None = None
        tries = referrals = 0
        while tries < FETCH_TRIES and referrals < REFERRALS_LIMIT:
            if address is None:
                address = self._holder_of(part, wanted)
            state = await self._ask(part, address)
            if state is not None and "refer" in state:
                referrals += 1
                address = state["refer"] or None
                if address is None:
                    await asyncio.sleep(REFERRED_PAUSE_MS / 1000)
                continue
            if state is not None:
                await self._take(part, state, address)
            if not self._lacks(part, wanted):
                return True
            tries += 1
            address = None
        return False

    def _holder_of(self, part: StatePart, wanted: Member) -> str:
        """Return the address of a VM that has what is wanted, if possible a neighbour."""
        if part is StatePart.CONFIG:
            holders = self._members.members_with_state(
                lambda item: item.config_version >= wanted.config_version, monotonic_ms()
            )
        else:
            holders = self._members.members_with_state(
                lambda item: item.registry_as_of >= wanted.registry_version
                and item.evacuation_version >= wanted.evacuation_version,
                monotonic_ms(),
            )
        return (random.choice(holders) if holders else wanted).peer_address

    async def _ask(self, part: StatePart, address: str) -> State | None:
        """Ask for a part; return None where no answer comes."""
        knowledge = self._knowledge
        if part is StatePart.CONFIG:
            asked: State = {
                "config": knowledge.config_version,
                "peer_address": self._own_address,
                "data_center": self._members.data_center,
            }
        else:
            asked = {
                "registry": knowledge.registry.as_of,
                "evacuations": knowledge.evacuations.version,
            }
        started_ms = monotonic_ms()
        try:
            state = await self._fetch(address, asked)
        except MessageError as error:
            self._log.note(EventKind.MEMBER, member=address, state="no-answer", error=str(error))
            return None
        now_ms = monotonic_ms()
        self._counters.observe("fetch", now_ms - started_ms, part=part.value)
        self._log.note(
            EventKind.FETCH,
            state="referred" if "refer" in state else "received",
            source=address,
            asked=asked,
            parts=list(state),
            took_ms=round(now_ms - started_ms, 1),
            behind_ms=round(now_ms - self._behind_since_ms.get(part, now_ms)),
        )
        return state

    async def _take(self, part: StatePart, state: State, address: str) -> None:
        try:
            if part is StatePart.CONFIG:
                await self._take_config(state, address)
            else:
                self._take_servers(state, address)
        except MessageError as error:
            self._on_invalid_message(address, error)

    async def _take_config(self, state: State, address: str) -> None:
        """Take a configuration, and hand it on to others before it is decoded here."""
        knowledge = self._knowledge
        if not state:
            return  # The peer has none that is newer.
        version, data = state.get("config_version"), state.get("config")
        if type(version) is not int or not isinstance(data, bytes):
            raise MessageError("no configuration")
        if version <= knowledge.config_version:
            return
        encoded = EncodedConfig(version, data)
        knowledge.relay_config(encoded)
        config: GatewayConfig | None = None
        try:
            for step in encoded.decode():
                config = step
                await asyncio.sleep(0)
        except MessageError:
            knowledge.stop_relaying_config(encoded)
            raise
        if config is not None and knowledge.apply_config(config, monotonic_ms()):
            self._log.note(EventKind.CONFIG, version=version, source=address)
            self._on_fetched(address)

    def _take_servers(self, state: State, address: str) -> None:
        """Take backend servers and evacuations."""
        knowledge, now_ms = self._knowledge, monotonic_ms()
        registry, evacuations = state.get("registry"), state.get("evacuations")
        left = Evacuations.from_document(evacuations) if evacuations else None
        if registry and not is_registry_document(registry):
            raise MessageError("no registry")
        if left is not None and knowledge.apply_evacuations(left, now_ms):
            self._log.note(EventKind.EVACUATION, **left.to_document(), source=address)
        if registry and knowledge.registry.adopt(registry, now_ms):
            self._log.note(
                EventKind.SERVER,
                source=address,
                version=knowledge.registry.version,
                whole=registry["whole"],
                digest=knowledge.registry.digest(),
            )
        if registry or evacuations:
            self._on_fetched(address)


def build_state_reply(
    request: State, knowledge: GatewayState, members: Members, now_ms: float
) -> State:
    """Return what a peer that knows the versions of `request` lacks, or the addresses it wants."""
    if "addresses" in request:
        alive = members.alive(now_ms)
        found = [item for item in alive if item.data_center == request["addresses"]]
        return {"addresses": [item.peer_address for item in found]}
    state: State = {}
    if knowledge.registry.position.advertised_version > request.get("registry", -1):
        state["registry"] = _lacking(knowledge.registry, request.get("registry", -1), now_ms)
    if knowledge.evacuations.version > request.get("evacuations", -1):
        state["evacuations"] = knowledge.evacuations.to_document()
    return state


def _lacking(registry: Registry, version: int, now_ms: float) -> State:
    """Return what a registry of this version lacks, or all where that is much or can't be told."""
    changed = registry.changed_since(version) if version >= 0 else None
    if changed is not None and len(changed) > PART_SHARE * len(registry):
        changed = None
    return registry.to_document(now_ms, changed)
