"""Steps for a store that is restored from an older copy."""

import asyncio
import json

from behave import given, then, when

from cloverhook.errors import PlatformSilentError
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.store import Feed, FeedSlice
from cloverhook.gateway.store_follower import offsets_to_versions
from features import gateway_fleet as fleet
from features.era_replay import GRACE_PERIOD_MS, StoreRestoreReplay, usable
from features.shared import run

OTHER_DATA_CENTER = "new-kingston"
GRACE_PERIOD_WAIT_S = 4.0
OUTAGE_S = 0.3


def registered_names(context):
    """Return, for each gateway, the names of the backend servers in its registry."""
    return [
        {server.name for server in gateway._gateway_state.registry.servers()}
        for gateway, _ in context.gateways
    ]


async def start(context, gateways, backends):
    """Start a fleet whose entries carry a sequence number of reports, and collect its log."""
    context.log = bytearray()
    await fleet.start_fleet(
        context, backends, gateways, write_log=lambda data: context.log.extend(data) or len(data)
    )
    others = gateways - 1
    await fleet.until(lambda: all(len(item._members) == others for item, _ in context.gateways))
    context.sequence = 0
    report_all(context)
    await until_read(context)


def report_all(context):
    """Write every backend server's entry again, with the next sequence number."""
    context.sequence += 1
    for backend in context.backends:
        context.store.put_server(backend.entry(sequence=context.sequence))


async def until_read(context):
    """Wait until every gateway has the records up to the end of the store."""
    marker = f"marker-{len(context.store.log[Feed.SERVERS])}-{context.store.era}"
    context.store.put_server(BackendServer(marker, "none", "10.0.0.1:1", OTHER_DATA_CENTER))
    await fleet.until(lambda: all(marker in names for names in registered_names(context)))


async def restore(context, **lost):
    """Make the store unavailable for a moment and restore it without its last records."""
    context.store.failure = PlatformSilentError("away")
    await asyncio.sleep(OUTAGE_S)
    context.store.restore_older_copy({Feed[name.upper()]: count for name, count in lost.items()})
    context.store.failure = None


@given(
    "{gateways:d} gateways and {backends:d} backend servers whose store loses its last "
    "{count:d} records"
)
def step_loses(context, gateways, backends, count):
    async def begin():
        await start(context, gateways, backends)
        await restore(context, servers=count)

    run(context, begin())


@when(
    "entries and configuration are written again, and then one leaves, one comes, and more changes"
)
def step_written_again(context):
    async def write():
        store = context.store
        report_all(context)
        store.put_config(fleet.config())
        await asyncio.sleep(0.5)
        context.left = context.backends[0].incarnation
        store.remove_server(context.left)
        context.come = await fleet.Backend("i-come").start(context)
        store.put_server(context.come.entry(sequence=1))
        store.put_config(fleet.config(9))
        store.evacuate(OTHER_DATA_CENTER)

    run(context, write())


@then("every gateway knows the one that came, the configuration and the evacuation")
def step_knows(context):
    def all_known():
        return all(
            gateway._gateway_state.config_version == 9
            and gateway._gateway_state.evacuated() == {OTHER_DATA_CENTER}
            and context.come.incarnation in names
            for (gateway, _), names in zip(context.gateways, registered_names(context), strict=True)
        )

    run(context, fleet.until(all_known))


@then("no gateway knows the one that left")
def step_left(context):
    run(context, asyncio.sleep(GRACE_PERIOD_WAIT_S))
    assert not any(context.left in names for names in registered_names(context))


@given(
    "{gateways:d} gateways and {backends:d} backend servers, of which one has left and still serves"
)
def step_one_left(context, gateways, backends):
    async def begin():
        await start(context, gateways, backends)
        context.odd = context.backends[0]
        context.store.remove_server(context.odd.incarnation)
        await until_read(context)
        context.lost = 2

    run(context, begin())


@given("{gateways:d} gateways and {backends:d} backend servers, of which one drains")
def step_one_drains(context, gateways, backends):
    async def begin():
        await start(context, gateways, backends)
        context.odd = context.backends[0]
        entry = context.odd.entry(draining=True, sequence=context.sequence + 1)
        context.store.put_server(entry)
        await until_read(context)
        context.lost = 2

    run(context, begin())


@given("{gateways:d} gateways and {backends:d} backend servers, of which one has just come")
def step_one_came(context, gateways, backends):
    async def begin():
        await start(context, gateways, backends)
        context.odd = await fleet.Backend("i-new").start(context)
        context.store.put_server(context.odd.entry(sequence=1))
        await until_read(context)
        context.lost = 2

    run(context, begin())


@when("the store comes back from a copy in which it is ready")
@when("the store comes back from a copy that lacks it")
def step_restore(context):
    run(context, restore(context, servers=context.lost))


@then("it gets none of {count:d} requests")
def step_gets_none(context, count):
    async def call():
        await asyncio.sleep(2 * GRACE_PERIOD_MS / 1000)
        seen = len(context.odd.seen)
        for number in range(count):
            _, settings = context.gateways[number % len(context.gateways)]
            answer = await fleet.call(settings.caller_address, request_id=f"r-{number}")
            assert answer.status == 200
        assert len(context.odd.seen) == seen, len(context.odd.seen) - seen

    run(context, call())


@then("it is known to every gateway until it has written its entry again, and from then on")
def step_known_throughout(context):
    async def watch():
        for tick in range(60):
            assert all(
                context.odd.incarnation in names for names in registered_names(context)
            ), tick
            if tick == 18:
                context.store.put_server(context.odd.entry(sequence=2))
            await asyncio.sleep(0.1)

    run(context, watch())


@then("no gateway knows it 4 s later")
def step_forgotten(context):
    run(context, asyncio.sleep(GRACE_PERIOD_WAIT_S))
    assert not any(context.odd.incarnation in names for names in registered_names(context))


@given("{gateways:d} gateways and {backends:d} backend servers whose data centre is evacuated")
def step_evacuated(context, gateways, backends):
    async def begin():
        await start(context, gateways, backends)
        context.store.evacuate(fleet.DATA_CENTER)
        await fleet.until(lambda: all(evacuated(context)))

    run(context, begin())


def evacuated(context):
    """Return, for each gateway, whether it considers the data centre evacuated."""
    return [
        fleet.DATA_CENTER in gateway._gateway_state.evacuated() for gateway, _ in context.gateways
    ]


@when("the store comes back from a copy in which it is not")
def step_restore_evacuation(context):
    run(context, restore(context, config=1))


@then("it is evacuated for every gateway until it has been written again, and from then on")
def step_evacuated_throughout(context):
    async def watch():
        for tick in range(60):
            assert all(evacuated(context)), tick
            if tick == 15:
                context.store.evacuate(fleet.DATA_CENTER)
            await asyncio.sleep(0.1)

    run(context, watch())


@then("it is evacuated for no gateway 4 s later")
def step_evacuated_no_more(context):
    run(context, asyncio.sleep(GRACE_PERIOD_WAIT_S))
    assert not any(evacuated(context))


@given(
    "{gateways:d} gateways and {backends:d} backend servers whose configuration has just changed"
)
def step_config_changed(context, gateways, backends):
    async def begin():
        await start(context, gateways, backends)
        context.store.put_config(fleet.config(7))
        await fleet.until(lambda: config_versions(context) == {7})

    run(context, begin())


def config_versions(context):
    """Return the configuration versions in force at the gateways."""
    return {gateway._gateway_state.config_version for gateway, _ in context.gateways}


@when("the store comes back from a copy with the configuration before")
def step_restore_config(context):
    run(context, restore(context, config=1))


@then("every gateway keeps the later one")
def step_keeps(context):
    run(context, asyncio.sleep(GRACE_PERIOD_WAIT_S))
    assert config_versions(context) == {7}


@when("as many records are written again at once, and one more")
def step_offsets_again(context):
    context.fresh = [f"i-fresh-{number}" for number in range(3)]
    for name in context.fresh:
        context.store.put_server(
            BackendServer(name, "none", "10.0.0.1:1", OTHER_DATA_CENTER, sequence=1)
        )


@then("every gateway knows what each of them says")
def step_knows_fresh(context):
    fresh = set(context.fresh)
    run(context, fleet.until(lambda: all(fresh <= names for names in registered_names(context))))


@given("the registries of a gateway that saw an era, and of one that was cut off in the era before")
def step_two_eras(context):
    context.now, context.before = GatewayState(), GatewayState()
    for gateway_state, era in ((context.now, 1), (context.before, 1), (context.now, 2)):
        names = ("i-1", "i-2") if era == 1 else ("i-1", "i-3")
        offset = 900 if era == 1 else 20
        servers = tuple(
            ServerRecord(name, offset, BackendServer(name, fleet.SERVICE, "10.0.0.1:1", "d"))
            for name in names
        )
        found = offsets_to_versions(FeedSlice((), servers, offset + 1, era=era), era)
        gateway_state.apply_server_list(found.servers, found.end_offset, 0.0)


@then("what the latter tells changes nothing for the former")
def step_old_tells(context):
    document = context.before.registry.to_document(0.0)
    assert not context.now.registry.adopt(document, 10.0)


@then("the latter takes what the former tells")
def step_new_tells(context):
    assert context.before.registry.adopt(context.now.registry.to_document(0.0), 10.0)
    assert context.before.registry.version == context.now.registry.version
    assert usable(context.before.registry, "i-3")


@given(
    "{gateways:d} gateways and {backends:d} backend servers, and a store whose era becomes {era}"
)
def step_bad_era(context, gateways, backends, era):
    async def begin():
        await start(context, gateways, backends)
        context.store.era = None if era == "missing" else 0

    run(context, begin())


@when("a backend server comes")
def step_comes(context):
    context.store.put_server(
        BackendServer("i-come", fleet.SERVICE, "10.0.0.1:1", OTHER_DATA_CENTER)
    )
    run(context, asyncio.sleep(2.0))


@then("the gateway knows {count:d} of them, and its log names the era as {state}")
def step_era_named(context, count, state):
    (gateway, _), *_ = context.gateways
    assert len(gateway._gateway_state.registry.of_service(fleet.SERVICE)) == count
    lines = [json.loads(line) for line in bytes(context.log).splitlines()]
    assert any(line["kind"] == "store" and line["state"] == state for line in lines)


@then("each gateway that reads the store has logged the era, and its metrics show it")
def step_era_told(context):
    def all_logged():
        reading = {item._settings.vm for item, _ in context.gateways if item._follower.reading}
        lines = [json.loads(line) for line in bytes(context.log).splitlines()]
        logged_by = {line["vm"] for line in lines if line.get("state") == "new-era"}
        return reading and reading <= logged_by

    async def check_reports():
        await fleet.until(all_logged)
        for gateway, _ in context.gateways:
            await fleet.until(lambda item=gateway: item._gateway_state.store_era == 2)
            page = (await gateway._serve_metrics(None)).body
            assert b"cloverhook_gateway_store_era 2" in page

    run(context, check_reports())


@given("{count:d} replays of {vms:d} gateways that read the store or hear of it from others")
def step_replays(context, count, vms):
    context.replays = [StoreRestoreReplay(vms, seed) for seed in range(count)]


@when("the store comes back from older copies while servers come, leave and report")
def step_play(context):
    for replay in context.replays:
        replay.play()


@then("no gateway has used one that had left for longer than the hold time")
def step_none_resurrected(context):
    wrong = {
        seed: item.violations[0] for seed, item in enumerate(context.replays) if item.violations
    }
    assert not wrong, wrong


@then("all end with what the store holds")
def step_all_end(context):
    for seed, replay in enumerate(context.replays):
        for gateway_state in replay.vms:
            found = gateway_state.registry.of_service(fleet.SERVICE)
            names = {item.name for item in found if not item.draining}
            live = set(replay.live())
            assert names - replay.left == live, (seed, names ^ live)
