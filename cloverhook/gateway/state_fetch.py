"""Fetches the state of a peer that knows more.

Layer: transport.  Who hears of newer versions asks for the state: in the sender's data centre at
once, elsewhere one VM does and its neighbours fetch it from there.  In a crowded data centre not
all ask at the same moment, nor all the same VM: whoever has the state by then gives it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.evacuation import Evacuations
from cloverhook.gateway.event_log import EventLog, Kind
from cloverhook.gateway.knowledge import Knowledge
from cloverhook.gateway.members import KnownVersions, Member, Members
from cloverhook.gateway.peer_messages import IS_REGISTRY_DOCUMENT
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.routes import GatewayConfig

__all__ = ["StateFetch", "state_for"]

NEIGHBOUR_FIRST_MS = 300.0
"""How long a neighbour may take to fetch a state from another data centre and to tell of it."""
FETCH_SPREAD_MS = 150.0
"""Over a link of 5 Mbit/s 40 copies of 10 KB take 0.7 s: in a crowded data centre the questions are
spread over this time."""
PART_SHARE = 0.5
"""Of a registry less than this part is sent alone: checking 3,000 rows holds a small VM long."""
FETCH_TRIES = 3
"""A try takes up to a second; a change has to be in force within two."""

State = dict[str, Any]


class StateFetch:
    """The one fetch of a state that is under way, if there is one."""

    def __init__(
        self,
        knowledge: Knowledge,
        members: Members,
        log: EventLog,
        counters: Counters,
        fetch: Callable[[str, State], Awaitable[State]],
        on_fetched: Callable[[Member], None],
        on_garbage: Callable[[str, MessageError], None],
    ) -> None:
        """`fetch` asks an address for a state; `on_fetched` hears from whom one has come."""
        self._knowledge = knowledge
        self._members = members
        self._log = log
        self._counters = counters
        self._behind_since_ms: float | None = None
        self._fetch = fetch
        self._on_fetched = on_fetched
        self._on_garbage = on_garbage
        self._task: asyncio.Task[None] | None = None

    def is_behind(self, other: KnownVersions) -> bool:
        """Return whether there is more to know than is known here."""
        knowledge = self._knowledge
        behind = (
            other.config_version > knowledge.config_version
            or other.registry_version > knowledge.registry.as_of
            or other.evacuation_version > knowledge.evacuations.version
        )
        if behind and self._behind_since_ms is None:
            self._behind_since_ms = monotonic_ms()
        return behind

    def catch_up(self, vm: str, at_once: bool) -> None:
        """Fetch a peer's state soon; `at_once` where no neighbour can be expected to do it."""
        wait_ms = 0.0 if at_once else NEIGHBOUR_FIRST_MS
        if at_once and self._members.crowded():
            wait_ms = random.uniform(0.0, FETCH_SPREAD_MS)
        if not wait_ms:
            self._fetch_if_behind(vm)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / 1000, self._fetch_if_behind, vm)

    def _fetch_if_behind(self, vm: str) -> None:
        """Fetch what a peer knows, from it or from a neighbour that has it meanwhile."""
        member = self._members.get(vm)
        if member is None or not (self._task is None or self._task.done()):
            return
        if self.is_behind(member):
            self._task = asyncio.create_task(self._fetch_what_is_known(member))

    async def _fetch_what_is_known(self, member: Member) -> None:
        """Ask a few holders in turn: one whose link is slow or which is gone answers none."""
        wanted = replace(member)  # What it knows when the question is put: later news is another.
        for _ in range(FETCH_TRIES):
            holders = self._members.holders(wanted, monotonic_ms())
            await self._fetch_state(random.choice(holders) if holders else member)
            if not self.is_behind(wanted):
                return

    async def _fetch_state(self, member: Member) -> None:
        knowledge = self._knowledge
        asked = {
            "config": knowledge.config_version,
            "registry": knowledge.registry.as_of,
            "evacuations": knowledge.evacuations.version,
        }
        started_ms = monotonic_ms()
        try:
            state = await self._fetch(member.peer_address, asked)
        except MessageError as error:
            self._log.note(Kind.MEMBER, member=member.vm, state="no-answer", error=str(error))
            return
        now_ms = monotonic_ms()
        self._counters.observe("fetch", now_ms - started_ms)
        self._log.note(
            Kind.FETCH,
            state="received",
            member=member.vm,
            asked=asked,
            parts=list(state),
            took_ms=round(now_ms - started_ms, 1),
            behind_ms=round(now_ms - (self._behind_since_ms or now_ms)),
        )
        self._behind_since_ms = None
        config, registry = state.get("config"), state.get("registry")
        evacuations = state.get("evacuations")
        try:
            left = Evacuations.from_document(evacuations) if evacuations else None
            found = GatewayConfig.from_document(config) if config else None
            if registry and not IS_REGISTRY_DOCUMENT(registry):
                raise MessageError("no registry")
        except MessageError as error:
            self._on_garbage(member.peer_address, error)
            return
        if found is not None and knowledge.take_config(found, now_ms):
            self._log.note(Kind.CONFIG, version=knowledge.config_version, source=member.vm)
        if left is not None and knowledge.take_evacuations(left, now_ms):
            self._log.note(Kind.EVACUATION, **left.to_document(), source=member.vm)
        if registry and knowledge.registry.adopt(registry, now_ms):
            version = knowledge.registry.version
            self._log.note(
                Kind.SERVER,
                source=member.vm,
                version=version,
                whole=registry["whole"],
                digest=knowledge.registry.digest(),
            )
        if config or registry or evacuations:
            self._on_fetched(member)


def state_for(asked: State, knowledge: Knowledge, members: Members, now_ms: float) -> State:
    """Return what a peer that knows the versions `asked` lacks, or the addresses that it wants."""
    if "addresses" in asked:
        alive = members.alive(now_ms)
        found = [item for item in alive if item.data_center == asked["addresses"]]
        return {"addresses": [item.peer_address for item in found]}
    state: State = {}
    if knowledge.config is not None and knowledge.config_version > asked.get("config", -1):
        state["config"] = knowledge.config.to_document()
    if knowledge.registry.told_version > asked.get("registry", -1):
        state["registry"] = _lacking(knowledge.registry, asked.get("registry", -1), now_ms)
    if knowledge.evacuations.version > asked.get("evacuations", -1):
        state["evacuations"] = knowledge.evacuations.to_document()
    return state


def _lacking(registry: Registry, version: int, now_ms: float) -> State:
    """Return what a registry of this version lacks, or all where that is much or can't be told."""
    changed = registry.changed_since(version) if version >= 0 else None
    if changed is not None and len(changed) > PART_SHARE * len(registry):
        changed = None
    return registry.to_document(now_ms, changed)
