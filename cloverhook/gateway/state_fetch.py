"""Fetches newer state from peers, the configuration separately from everything else.

Layer: transport.  A VM that learns of newer versions fetches the state.  In the sender's data
centre each VM does so at once.  In a remote data centre one VM does so, and its neighbours fetch
the state from that VM.  In a large data centre the requests are spread over time and over the VMs
that already have the state.  The transfer of a large configuration may take seconds.  Small state,
such as changes of backend servers, is fetched separately and does not wait for it.
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
from cloverhook.gateway.freshness import Lag
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.members import KnownVersions, Member, Members
from cloverhook.gateway.peer_messages import is_registry_document
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.rendezvous_hash import rendezvous_rank
from cloverhook.gateway.routes import GatewayConfig

__all__ = ["StatePart", "StateFetcher", "build_state_reply"]

NEIGHBOUR_FIRST_MS = 300.0
"""How long a neighbour may take to fetch a state from a remote data centre and to announce it."""
REMOTE_FETCHERS = 4
"""How many VMs of a large data centre request a configuration from another one at once.  They
announce it to the others; if all requested it, the VM that has it would do nothing else."""
REQUEST_SPREAD_MS = 50.0
"""In a large data centre the requests of its VMs are spread over this time."""
CHANGES_SHARE = 0.5
"""Changes of up to this share of a registry are sent without the rest: checking 3,000 rows blocks a
small VM for long."""
FETCH_TRIES = 3
"""How often a fetch is tried: a try takes up to a second, and a change has to be in force within
two seconds."""
REFERRALS_LIMIT = 24
REFERRAL_PAUSE_MS = 50.0
"""The pause before the next request after a referral without an address."""

State = dict[str, Any]


class StatePart(Enum):
    """A part of the state that is fetched separately.

    `SERVERS` comprises the backend servers and the evacuations.
    """

    CONFIG = "config"
    SERVERS = "servers"


class StateFetcher:
    """Fetches newer state, with at most one fetch of each part at a time."""

    def __init__(
        self,
        gateway_state: GatewayState,
        members: Members,
        log: EventLog,
        counters: Counters,
        own_address: str,
        fetch: Callable[[str, State], Awaitable[State]],
        on_fetched: Callable[[str], None],
        on_invalid_message: Callable[[str, MessageError], None],
    ) -> None:
        """Set up without any fetch.

        `fetch` requests a state from an address.  `on_fetched` is called with the address from
        which a state has been received, and `on_invalid_message` with the address of a peer that
        has sent an invalid one, and an error.  Other VMs may request the configuration at
        `own_address` once this VM has it.
        """
        self._gateway_state = gateway_state
        self._members = members
        self._log = log
        self._counters = counters
        self._own_address = own_address
        self._fetch = fetch
        self._on_fetched = on_fetched
        self._on_invalid_message = on_invalid_message
        self._tasks: dict[StatePart, asyncio.Task[None]] = {}
        self._lags = {part: Lag() for part in StatePart}

    def is_behind(self, other: KnownVersions) -> bool:
        """Return whether another VM's versions are newer than this VM's in any part."""
        return any(self._lacks(part, other) for part in StatePart)

    def behind_ms(self, part: StatePart, now_ms: float) -> float:
        """Return for how long this VM has known of a newer version of a part; 0 if of none."""
        return self._lags[part].behind_ms(self._known(part), now_ms)

    def _known(self, part: StatePart) -> tuple[int, ...]:
        """Return the versions of a part that this VM has."""
        gateway_state = self._gateway_state
        if part is StatePart.CONFIG:
            return (gateway_state.config_version,)
        return gateway_state.registry.as_of, gateway_state.evacuations.version

    def _lacks(self, part: StatePart, other: KnownVersions) -> bool:
        """Return whether another VM's version of a part is newer."""
        if part is StatePart.CONFIG:
            versions: tuple[int, ...] = (other.config_version,)
        else:
            versions = other.registry_version, other.evacuation_version
        known = self._known(part)
        self._lags[part].record(versions, known, monotonic_ms())
        return any(theirs > own for theirs, own in zip(versions, known, strict=True))

    def schedule_fetch(self, vm: str, immediately: bool) -> None:
        """Fetch newer state of a peer soon.

        Without `immediately`, neighbours are given time to fetch it first.  It is set if none of
        them can be expected to do so; then only a large data centre adds a short random delay.
        """
        loop = asyncio.get_running_loop()
        for part in StatePart:
            wait_ms = self._wait_ms(part, vm, immediately)
            if wait_ms:
                loop.call_later(wait_ms / 1000, self._fetch_if_behind, part, vm)
            else:
                self._fetch_if_behind(part, vm)

    def _wait_ms(self, part: StatePart, vm: str, immediately: bool) -> float:
        """Return how long to wait before a part of a peer's state is fetched."""
        if not immediately:
            return NEIGHBOUR_FIRST_MS
        if not self._members.in_large_data_center():
            return 0.0
        if part is StatePart.CONFIG and self._is_left_to_neighbours(vm):
            return NEIGHBOUR_FIRST_MS
        return random.uniform(0.0, REQUEST_SPREAD_MS)

    def _is_left_to_neighbours(self, vm: str) -> bool:
        """Return whether other VMs of this data centre fetch the configuration of a remote VM."""
        member = self._members.get(vm)
        if member is None or member.data_center == self._members.data_center:
            return False
        now_ms = monotonic_ms()
        neighbours = (
            item.peer_address for item in self._members.local_members() if item.is_alive(now_ms)
        )
        return rendezvous_rank("fetch", self._own_address, neighbours) >= REMOTE_FETCHERS

    def _fetch_if_behind(self, part: StatePart, vm: str) -> None:
        """Fetch a newer part of a peer's state, from it or from a neighbour that has it by now."""
        member, task = self._members.get(vm), self._tasks.get(part)
        if member is None or (task is not None and not task.done()):
            return
        if self._lacks(part, member):
            self._tasks[part] = asyncio.create_task(self._fetch_part(part, member))

    async def _fetch_part(self, part: StatePart, member: Member) -> None:
        """Fetch a part; after each success, repeat this while a live VM has a newer version."""
        ahead: Member | None = member
        while ahead is not None and await self._fetch_from_holders(part, ahead):
            alive = self._members.alive(monotonic_ms())
            ahead = next((item for item in alive if self._lacks(part, item)), None)

    async def _fetch_from_holders(self, part: StatePart, member: Member) -> bool:
        """Request a part from a few holders in turn, and return whether it has been received.

        A holder that is gone or has a slow link does not answer.
        """
        wanted = replace(member)  # The versions at the time of the request, without later changes.
        address: str | None = None
        tries = referrals = 0
        while tries < FETCH_TRIES and referrals < REFERRALS_LIMIT:
            if address is None:
                address = self._holder_of(part, wanted)
            state = await self._request(part, address)
            if state is not None and "refer" in state:
                referrals += 1
                address = state["refer"] or None
                if address is None:
                    await asyncio.sleep(REFERRAL_PAUSE_MS / 1000)
                continue
            if state is not None:
                await self._apply(part, state, address)
            if not self._lacks(part, wanted):
                return True
            tries += 1
            address = None
        return False

    def _holder_of(self, part: StatePart, wanted: Member) -> str:
        """Return the address of a VM that has the wanted versions, if possible a neighbour."""
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

    async def _request(self, part: StatePart, address: str) -> State | None:
        """Request a part; return None if no valid answer is received."""
        gateway_state = self._gateway_state
        if part is StatePart.CONFIG:
            request: State = {
                "config": gateway_state.config_version,
                "peer_address": self._own_address,
                "data_center": self._members.data_center,
            }
        else:
            request = {
                "registry": gateway_state.registry.as_of,
                "evacuations": gateway_state.evacuations.version,
            }
        started_ms = monotonic_ms()
        try:
            state = await self._fetch(address, request)
        except MessageError as error:
            self._log.note(EventKind.MEMBER, member=address, state="no-answer", error=str(error))
            return None
        now_ms = monotonic_ms()
        self._counters.observe("fetch", now_ms - started_ms, part=part.value)
        self._log.note(
            EventKind.FETCH,
            state="referred" if "refer" in state else "received",
            source=address,
            asked=request,
            parts=list(state),
            took_ms=round(now_ms - started_ms, 1),
            behind_ms=round(self.behind_ms(part, now_ms)),
        )
        return state

    async def _apply(self, part: StatePart, state: State, address: str) -> None:
        try:
            if part is StatePart.CONFIG:
                await self._apply_config(state, address)
            else:
                self._apply_servers(state, address)
        except MessageError as error:
            self._on_invalid_message(address, error)

    async def _apply_config(self, state: State, address: str) -> None:
        """Put a received configuration in force; it is offered to peers before it is decoded."""
        gateway_state = self._gateway_state
        if not state:
            return  # The peer has no newer one.
        version, data = state.get("config_version"), state.get("config")
        if type(version) is not int or not isinstance(data, bytes):
            raise MessageError("state without a valid configuration")
        if version <= gateway_state.config_version:
            return
        encoded = EncodedConfig(version, data)
        gateway_state.relay_config(encoded)
        config: GatewayConfig | None = None
        try:
            for step in encoded.decode():
                config = step
                await asyncio.sleep(0)
        except MessageError:
            gateway_state.stop_relaying_config(encoded)
            raise
        now_ms = monotonic_ms()
        behind_ms = self.behind_ms(StatePart.CONFIG, now_ms)
        if config is not None and gateway_state.apply_config(config, now_ms):
            self._log.note(
                EventKind.CONFIG, version=version, source=address, behind_ms=round(behind_ms)
            )
            self._on_fetched(address)

    def _apply_servers(self, state: State, address: str) -> None:
        """Apply received backend servers and evacuations."""
        gateway_state, now_ms = self._gateway_state, monotonic_ms()
        registry, evacuations = state.get("registry"), state.get("evacuations")
        left = Evacuations.from_document(evacuations) if evacuations else None
        if registry and not is_registry_document(registry):
            raise MessageError("state with an invalid registry")
        if left is not None and gateway_state.apply_evacuations(left, now_ms):
            self._log.note(EventKind.EVACUATION, **left.to_document(), source=address)
        if registry and gateway_state.registry.adopt(registry, now_ms):
            self._log.note(
                EventKind.SERVER,
                source=address,
                version=gateway_state.registry.version,
                whole=registry["whole"],
                digest=gateway_state.registry.digest(),
            )
        if registry or evacuations:
            self._on_fetched(address)


def build_state_reply(
    request: State, gateway_state: GatewayState, members: Members, now_ms: float
) -> State:
    """Return the state that is newer than the versions in `request`, or the requested addresses."""
    if "addresses" in request:
        alive = members.alive(now_ms)
        found = [item for item in alive if item.data_center == request["addresses"]]
        return {"addresses": [item.peer_address for item in found]}
    state: State = {}
    if gateway_state.registry.position.advertised_version > request.get("registry", -1):
        state["registry"] = _registry_since(
            gateway_state.registry, request.get("registry", -1), now_ms
        )
    if gateway_state.evacuations.version > request.get("evacuations", -1):
        state["evacuations"] = gateway_state.evacuations.to_document()
    return state


def _registry_since(registry: Registry, version: int, now_ms: float) -> State:
    """Return the changes since a registry version.

    Returns the whole registry if there are many changes or if they are not known.
    """
    changed = registry.changed_since(version) if version >= 0 else None
    if changed is not None and len(changed) > CHANGES_SHARE * len(registry):
        changed = None
    return registry.to_document(now_ms, changed)
