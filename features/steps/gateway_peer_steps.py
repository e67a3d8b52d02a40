"""Steps for several gateways that run in one process."""

import asyncio

from behave import given, then, when

from cloverhook.errors import PlatformSilentError
from cloverhook.gateway.store import Feed, MemoryStore
from cloverhook.gateway.store_follower import POLL_GAP_MS
from features import gateway_fleet as fleet
from features.shared import run

NEW_VERSION = 9


def gateway_states(context):
    """Return the state that each gateway holds."""
    return [gateway._gateway_state for gateway, _ in context.gateways]


def reader_count(context):
    """Return how many gateways currently read the store."""
    return sum(gateway._follower.active for gateway, _ in context.gateways)


async def serve_all(gateways):
    """Return the statuses that callers of each gateway get."""
    calls = [fleet.call(settings.caller_address) for _, settings in gateways]
    return [answer.status for answer in await asyncio.gather(*calls)]


async def advertised_addresses(settings):
    """Return the addresses that a gateway advertises to callers."""
    answer = await fleet.call(settings.directory_address, "/")
    return set(answer.body.decode().split(","))


@given("{gateways:d} gateways and {backends:d} backend servers")
def step_fleet(context, gateways, backends):
    async def start():
        await fleet.start_fleet(context, backends, gateways)
        await fleet.until(
            lambda: all(len(item[0]._members.all()) == gateways - 1 for item in context.gateways)
        )
        await fleet.until(lambda: reader_count(context) == min(2, gateways))

    run(context, start())


@when("the configuration and the backend servers change")
def step_change(context):
    async def change():
        context.store.put_config(fleet.config(NEW_VERSION))
        backend = await fleet.Backend("i-late").start(context)
        context.backends.append(backend)
        context.store.put_server(backend.entry())

    run(context, change())


@then("all gateways follow")
def step_follow(context):
    run(
        context,
        fleet.until(
            lambda: all(
                item.config_version == NEW_VERSION and item.registry.get("i-late") is not None
                for item in gateway_states(context)
            )
        ),
    )


@when("the store never answers one of the readers again")
def step_silent_reader(context):
    async def never(*arguments):
        await asyncio.Event().wait()

    reader = next(gateway for gateway, _ in context.gateways if gateway._follower.active)
    store = MemoryStore()
    store.newest = store.changes = never
    reader._follower._store = store
    # Its calls in progress still end; from then on it gets no answer.
    context.store.put_config(fleet.config(NEW_VERSION - 1))
    run(context, fleet.until(lambda: gateway_states(context)[0].config_version == NEW_VERSION - 1))


@then("in the next 3 seconds at most 2 of them read the store")
def step_two_readers(context):
    async def watch():
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert reader_count(context) <= 2, reader_count(context)

    run(context, watch())


@when("the store answers nobody")
def step_store_unavailable(context):
    context.store.failure = PlatformSilentError("away")


@then("all gateways still serve")
def step_still(context):
    async def serve():
        for _ in range(3):
            assert await serve_all(context.gateways) == [200] * len(context.gateways)
            await asyncio.sleep(0.5)

    run(context, serve())


@when("the store answers nobody and a gateway starts that knows a peer's address")
def step_late_start(context):
    step_store_unavailable(context)
    _, settings = context.gateways[0]

    async def start():
        context.late = await fleet.start_gateway(context, "vm-late")
        context.late[0]._peering.add_address(settings.peer_address)
        await fleet.until(context.late[0]._is_ready)

    run(context, start())


@then("it becomes ready and serves")
def step_late_serves(context):
    assert run(context, serve_all([context.late])) == [200]


@when("the gateway that reads is gone and the configuration changes")
def step_reader_gone(context):
    async def end():
        reader = next(item for item in context.gateways if item[0]._follower.active)
        context.gateways.remove(reader)
        await fleet.stop_gateway(reader[0])
        context.store.put_config(fleet.config(NEW_VERSION))

    run(context, end())


@then("the other gateways follow")
def step_others_follow(context):
    run(
        context,
        fleet.until(
            lambda: all(item.config_version == NEW_VERSION for item in gateway_states(context))
        ),
    )


@when("the store forgets its history while a backend server leaves and another joins")
def step_forget(context):
    async def forget():
        context.store.remove_server("i-0")
        backend = await fleet.Backend("i-late").start(context)
        context.backends.append(backend)
        context.store.put_server(backend.entry())
        context.store.compact()

    run(context, forget())


@then("all gateways know the one that joined and drop the one that left")
def step_resynced(context):
    run(
        context,
        fleet.until(
            lambda: all(
                item.registry.get("i-late") is not None and item.registry.get("i-0") is None
                for item in gateway_states(context)
            )
        ),
    )


@then("each names all three")
def step_names(context):
    expected = {settings.caller_address for _, settings in context.gateways}

    async def check():
        for _, settings in context.gateways:
            while await advertised_addresses(settings) != expected:
                await asyncio.sleep(0.05)

    run(context, asyncio.wait_for(check(), fleet.WAIT_S))


@when("one is told to leave")
def step_one_leaves(context):
    async def leave():
        context.gateways[0][0].begin_shutdown()

    run(context, leave())


@then("the other two no longer name it")
def step_not_named(context):
    async def check():
        gone = context.gateways[0][1].caller_address
        for _, settings in context.gateways[1:]:
            while gone in await advertised_addresses(settings):
                await asyncio.sleep(0.05)

    run(context, asyncio.wait_for(check(), fleet.WAIT_S))


@when("the backend server works 7 times as long")
def step_slow(context):
    context.backends[0].slowdown_percent = 700


@then("both gateways know that pace")
def step_pace(context):
    def slowdowns():
        return {
            (
                item.load_table.get_or_create("i-0").latest_report.slowdown
                if item.load_table.get_or_create("i-0").latest_report
                else 0
            )
            for item in gateway_states(context)
        }

    run(context, fleet.until(lambda: slowdowns() == {7.0}))


@then("each backend server comes to be measured over one connection")
def step_measured(context):
    # If this process stalls, a second gateway may start to probe; it has to stop again.
    async def stable_for_a_second():
        before = [item.connections for item in context.backends]
        probes = [gateway._prober.probe_count for gateway, _ in context.gateways]
        await asyncio.sleep(1)
        measuring = sum(
            gateway._prober.probe_count > count
            for (gateway, _), count in zip(context.gateways, probes, strict=True)
        )
        unchanged = [item.connections for item in context.backends] == before
        return unchanged and 1 <= measuring <= len(context.backends)

    async def check():
        await fleet.until(lambda: all(item.connections for item in context.backends))
        async with asyncio.timeout(fleet.WAIT_S):
            while not await stable_for_a_second():
                pass

    run(context, check())


@when(
    "a gateway of another fleet, with a newer configuration, takes the address of one that is gone"
)
def step_reused_address(context):
    async def change():
        gone, settings = context.gateways.pop()
        await fleet.stop_gateway(gone)
        store = MemoryStore()
        store.put_config(fleet.config(NEW_VERSION + 1))
        store.put_server((await fleet.Backend("i-other").start(context)).entry())
        other, context.unknown_vm = await fleet.start_gateway(
            context,
            "vm-other",
            store,
            peer_address=settings.peer_address,
            store_address="127.0.0.2:1",
        )
        await fleet.until(other._is_ready)
        left, left_settings = context.gateways[0]
        other._peering.add_address(left_settings.peer_address)
        left._peering.add_address(settings.peer_address)
        await asyncio.sleep(2.5)

    run(context, change())


@then("the one that is left neither names it nor takes its configuration")
def step_stranger(context):
    gateway, settings = context.gateways[0]
    assert context.unknown_vm.caller_address not in run(context, advertised_addresses(settings))
    assert gateway._gateway_state.config_version == 1
    assert gateway._gateway_state.registry.get("i-other") is None


@when("a call for backend servers gets no answer, and one for the configuration is given up")
def step_silent_feed(context):
    changes = context.store.changes
    silent = {Feed.SERVERS, Feed.CONFIG}
    waiting = set()

    async def once_silent(feed, from_offset, wait_ms):
        if feed not in silent:
            return await changes(feed, from_offset, wait_ms)
        silent.remove(feed)
        waiting.add(feed)
        if feed is Feed.SERVERS:
            await asyncio.Event().wait()
        while Feed.SERVERS not in waiting:
            await asyncio.sleep(0.01)
        raise PlatformSilentError("no answer")

    context.store.changes = once_silent
    context.store._changed.set()  # Ends the calls in progress.
    run(context, fleet.until(lambda: waiting == set(Feed)))


@when("the store leaves calls that wait without an answer until their wait ends")
def step_untold(context):
    store = context.store
    context.waits_ms = []

    async def answer_after_wait(feed, from_offset, wait_ms):
        if store._end(feed) <= from_offset:
            context.waits_ms.append(wait_ms + POLL_GAP_MS)
            await asyncio.sleep(wait_ms / 1000)
        return await MemoryStore.changes(store, feed, from_offset, 0)

    store.changes = answer_after_wait
    store._changed.set()  # Ends the calls in progress.
    run(context, fleet.until(lambda: len(context.waits_ms) >= 4))


@then("no call that waits and the pause after it take more than {limit_ms:d} ms")
def step_waits(context, limit_ms):
    assert max(context.waits_ms) <= limit_ms, context.waits_ms


@given("a gateway and a peer that has connected to ask for its state and says nothing")
def step_silent_asker(context):
    async def start():
        await fleet.start_fleet(context, 1)
        _, settings = context.gateways[0]
        host, _, port = settings.peer_address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        context.stack.callback(writer.close)
        await fleet.until(peer_serving_tasks)

    run(context, start())


def peer_serving_tasks():
    """Return the tasks that wait for a request from a peer."""
    return [task for task in asyncio.all_tasks() if "PeerLink._serve" in repr(task.get_coro())]


@when("the tasks of the gateway's process are cancelled")
def step_cancelled(context):
    async def cancel():
        context.unhandled = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, found: context.unhandled.append(found)
        )
        tasks = peer_serving_tasks()
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await asyncio.sleep(0.05)

    run(context, cancel())


@then("nothing was reported as unhandled")
def step_none_unhandled(context):
    assert not context.unhandled, context.unhandled
