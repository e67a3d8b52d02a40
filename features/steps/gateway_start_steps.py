"""Steps on gateways that start again while others do: what they ask the store."""

import asyncio
import json

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.store import Feed, MemoryStore
from features import gateway_fleet as fleet
from features.gateway_crowd import heartbeat
from features.shared import run


class CountingStore:
    """One gateway's way to a store, which counts the calls for each feed."""

    def __init__(self, store):
        self._store = store
        self.calls = dict.fromkeys(Feed, 0)
        self.log = bytearray()

    def write_log(self, data):
        """Keep what the gateway logs."""
        self.log += data
        return len(data)

    @property
    def was_followed(self):
        """Whether the gateway has ever begun to follow the store: after a stall a third one may."""
        return b'"kind":"reader","action":"start"' in self.log

    async def newest(self, feed):
        """Count and pass on."""
        self.calls[feed] += 1
        return await self._store.newest(feed)

    async def changes(self, feed, from_offset, wait_ms):
        """Count and pass on."""
        self.calls[feed] += 1
        return await self._store.changes(feed, from_offset, wait_ms)

    def __getattr__(self, name):
        return getattr(self._store, name)


@given("a store with a configuration and {count:d} backend servers")
def step_store(context, count):
    async def fill():
        context.store = MemoryStore()
        context.store.put_config(fleet.config())
        for index in range(count):
            backend = await fleet.Backend(f"i-{index}").start(context)
            context.store.put_server(backend.entry())

    run(context, fill())


@when("{count:d} gateways start again at once")
def step_start_again(context, count):
    async def start():
        context.stores = [CountingStore(context.store) for _ in range(count)]
        context.gateways = [
            await fleet.start_gateway(
                context, f"vm-{index}", store, store.write_log, first_start=False
            )
            for index, store in enumerate(context.stores)
        ]
        for gateway, _ in context.gateways:
            for _, other in context.gateways:
                gateway._peering.add_address(other.peer_address)
        await fleet.until(lambda: all(gateway._is_ready() for gateway, _ in context.gateways))

    run(context, start())


@then("all are ready after 2 calls of each to the store, and none follows it yet")
def step_first_calls(context):
    assert all(store.calls == dict.fromkeys(Feed, 1) for store in context.stores)
    assert not any(gateway._follower.active for gateway, _ in context.gateways)


@then("after a while {count:d} of them follow it, and who never did has made no more calls")
def step_followers(context, count):
    def following():
        return [gateway._follower.reading for gateway, _ in context.gateways]

    run(context, fleet.until(lambda: sum(following()) == count))
    for store in context.stores:
        assert store.was_followed or store.calls == dict.fromkeys(Feed, 1), store.calls
    assert sum(store.was_followed for store in context.stores) < len(context.stores)


@when("it has heard {count:d} neighbours for a while")
def step_hears_neighbours(context, count):
    gateway, settings = context.gateways[0]
    members = gateway._members

    async def receive():
        names = [f"vm-near-{number}" for number in range(count)]
        context.heartbeats = asyncio.create_task(
            _receive_until(members, [heartbeat(name, settings.data_center) for name in names])
        )
        await asyncio.sleep(0.1)

    run(context, receive())


async def _receive_until(members, heartbeats):
    while True:
        for item in heartbeats:
            members.record_heartbeat(item, monotonic_ms())
        await asyncio.sleep(0.1)


@when("it hears none of them any more")
def step_hears_none(context):
    context.heartbeats.cancel()


@then("it says that it is not cut off")
def step_says_not(context):
    check_said(context, False)


@then("it says that it is cut off")
def step_says(context):
    check_said(context, True)


def check_said(context, expected):
    """Check what a gateway's log and metrics say of it."""
    gateway, _ = context.gateways[0]

    def said():
        lines = [json.loads(line) for line in context.stores[0].log.splitlines()]
        reported = [line["cut_off"] for line in lines if line["kind"] == "cut-off"]
        return reported[-1] if reported else False

    def is_cut_off():
        # After a stall between two steps of the scenario, nobody has been heard for a moment.
        return gateway._members.is_cut_off(monotonic_ms())

    async def ask():
        await fleet.until(lambda: said() == expected == is_cut_off())
        return await gateway._serve_metrics(None)

    page = run(context, ask()).body.decode()
    assert f"cloverhook_gateway_cut_off {int(expected)}" in page, page
