"""Gateways of which each has its own way to the store, and records of how late changes reach them.

A gateway of a large fleet is imitated by members that send no further messages: it counts them as
alive for some seconds, as in a fleet whose messages no longer reach it.
"""

import asyncio
from contextlib import AsyncExitStack
from enum import Enum
from types import SimpleNamespace

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError, PlatformError, PlatformSilentError
from cloverhook.gateway.peer_link import FETCH_TIMEOUT_S
from cloverhook.gateway.store import MemoryStore
from features import gateway_fleet as fleet
from features.gateway_crowd import heartbeat
from features.stalls import StallMonitor

__all__ = ["FreshnessFleet", "StorePath"]

BACKENDS = 8
SILENT_S = 0.7
"""A call without an answer is given up this long after the time for which it asked to wait."""
WATCH_MS = 5.0
WATCH_LIMIT_S = 12.0


class StorePath(Enum):
    """What becomes of a gateway's calls to the store."""

    OPEN = "open"
    SILENT = "silent"
    REFUSED = "refused"


class StoreClient:
    """The store as one gateway reaches it; each answer takes `delay_ms` on the way back."""

    def __init__(self, store):
        self._store = store
        self.path = StorePath.OPEN
        self.delay_ms = 0.0
        self.calls = 0

    async def newest(self, feed):
        """Return the newest record of each key."""
        return await self._call(self._store.newest(feed), 0)

    async def changes(self, feed, from_offset, wait_ms):
        """Return the records from an offset on."""
        return await self._call(self._store.changes(feed, from_offset, wait_ms), wait_ms)

    async def announce(self, member):
        """Save the record of a VM."""
        return await self._call(self._store.announce(member), 0)

    async def members(self):
        """Return the VMs that have announced themselves."""
        return await self._call(self._store.members(), 0)

    async def save_quarantine(self, records):
        """Save the requests in quarantine."""
        return await self._call(self._store.save_quarantine(records), 0)

    async def load_quarantine(self):
        """Return the requests in quarantine that were saved last."""
        return await self._call(self._store.load_quarantine(), 0)

    def close(self):
        """Do nothing: there is nothing to release."""

    async def _call(self, call, wait_ms):
        self.calls += 1
        if self.path is StorePath.OPEN:
            call = asyncio.ensure_future(call)
            try:
                while not call.done() and self.path is StorePath.OPEN:
                    await asyncio.wait((call,), timeout=0.01)
                if call.done():
                    await asyncio.sleep(self.delay_ms / 1000)
                    return call.result()
            finally:
                call.cancel()
        else:
            call.close()
        if self.path is StorePath.REFUSED:
            raise PlatformError("the store responded with status 503")
        await asyncio.sleep(wait_ms / 1000 + SILENT_S)
        raise PlatformSilentError("no answer")


class SlowWay:
    """The way that datagrams to a gateway take: each arrives after `delay_ms`.

    With `loses`, those that are sent from then on are lost; those under way still arrive.
    """

    def __init__(self, port, delay_ms):
        self.delay_ms = delay_ms
        self.loses = False
        self._deliver = port._on_datagram
        port._on_datagram = self._delay

    def _delay(self, data, sender):
        if not self.loses:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_ms / 1000, self._deliver, data, sender)


class FreshnessFleet:
    """Gateways, their ways to one store, and backend servers; `close` ends them.

    `late_ms` holds, for each change, how long each gateway went without it.
    """

    def __init__(self):
        self.stack = AsyncExitStack()
        self.fixture = SimpleNamespace(stack=self.stack)
        self.store = MemoryStore()
        self.paths = {}
        self.gateways = {}
        self.backends = []
        self.stalls = StallMonitor()
        self.late_ms = {}

    @classmethod
    async def start(cls, gateways, silent_members=0, **fields):
        """Start gateways that know each other, and two of which read the store."""
        self = cls()
        self.store.put_config(fleet.config())
        for index in range(BACKENDS):
            backend = await fleet.Backend(f"i-{index}").start(self.fixture)
            self.backends.append(backend)
            self.store.put_server(backend.entry())
        for index in range(gateways):
            await self.start_gateway(f"vm-{index}", **fields)
        await fleet.until(lambda: all(item._is_ready() for item in self.gateways.values()))
        await fleet.until(lambda: len(self.readers()) == 2)
        await fleet.until(
            lambda: all(len(item._members) == gateways - 1 for item in self.gateways.values())
        )
        for gateway in self.gateways.values():
            self.add_silent_members(gateway, silent_members)
        self.stalls.start()
        return self

    async def start_gateway(self, name, **fields):
        """Start a gateway, or start it again, with an open way to the store."""
        seeds = tuple(item._settings.peer_address for item in self.gateways.values())
        path = self.paths[name] = StoreClient(self.store)
        gateway, _ = await fleet.start_gateway(
            self.fixture, name, store=path, seed_addresses=seeds[:1], **fields
        )
        self.gateways[name] = gateway
        return gateway

    async def start_slow_gateway(self, name, delay_ms, silent_members, **fields):
        """Start a gateway of a large fleet; return the way that datagrams to it take."""
        gateway = await self.start_gateway(name, **fields)
        self.add_silent_members(gateway, silent_members)
        return SlowWay(gateway._peering.link._port, delay_ms)

    def add_silent_members(self, gateway, count):
        """Make a gateway one of a large fleet, whose other members send no further messages."""
        for number in range(count):
            member = heartbeat(f"10.9.0.{number}", fleet.DATA_CENTER)
            gateway._members.record_heartbeat(member, monotonic_ms())

    async def close(self):
        """Stop everything."""
        self.stalls.stop()
        await self.stack.aclose()

    def readers(self):
        """Return the names of the gateways that read the store."""
        return [name for name, item in self.gateways.items() if item._follower.reading]

    def others(self):
        """Return the names of the gateways that don't read the store."""
        return [name for name in self.gateways if name not in self.readers()]

    async def end(self, name):
        """End a gateway at once."""
        await fleet.stop_gateway(self.gateways.pop(name))

    def deafen(self, name):
        """Lose all datagrams to a gateway, and all states that it asks for, from now on."""
        link = self.gateways[name]._peering.link

        async def time_out(address, request):
            await asyncio.sleep(FETCH_TIMEOUT_S)
            raise MessageError(f"could not fetch the state from {address}")

        link._port._on_datagram = lambda data, sender: None
        link.fetch = time_out

    async def publish(self, version, *routes):
        """Write a configuration, and record how late each gateway has it in force."""
        self.store.put_config(fleet.config(version, *routes))
        await self._record(
            f"configuration {version}",
            lambda gateway: gateway._gateway_state.config_version >= version,
        )

    async def drain(self, backend):
        """Let a backend server say that it leaves, and record how long each gateway uses it."""
        self.store.put_server(backend.entry(draining=True))
        await self._record(backend.incarnation, lambda gateway: not uses(gateway, backend))

    async def remove(self, *backends):
        """Remove the entries of backend servers, and record how long each gateway uses them."""
        for backend in backends:
            self.store.remove_server(backend.incarnation)
        await asyncio.gather(
            *(
                self._record(item.incarnation, lambda gateway, item=item: not uses(gateway, item))
                for item in backends
            )
        )

    async def _record(self, change, has_it):
        """Record for how long each gateway, while it runs, goes without a change."""
        started_ms = monotonic_ms()
        late_ms = self.late_ms.setdefault(change, {})
        waiting = dict(self.gateways)
        while waiting:
            now_ms = monotonic_ms()
            took_ms = now_ms - started_ms - self.stalls.lost_ms(started_ms, now_ms)
            for name, gateway in tuple(waiting.items()):
                if self.gateways.get(name) is not gateway:
                    del waiting[name]
                elif has_it(gateway) or took_ms > 1000 * WATCH_LIMIT_S:
                    late_ms[name] = took_ms
                    del waiting[name]
            await asyncio.sleep(WATCH_MS / 1000)


def uses(gateway, backend):
    """Return whether a gateway may send requests to a backend server."""
    server = gateway._gateway_state.registry.get(backend.incarnation)
    return server is not None and not server.draining
