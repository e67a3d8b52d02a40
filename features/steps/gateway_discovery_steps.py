"""Steps on how VMs find each other: seeds, the store, and addresses of VMs that are gone."""

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.discovery import Discovery
from features import gateway_fleet as fleet
from features.gateway_crowd import LOCAL, REMOTE, heartbeat, members_of, peering_of
from features.shared import run


async def start_at(context, name, host, seeds, **fields):
    """Start a gateway at a loopback address of its own, with the peers' common port."""
    address = f"{host}:{context.seed_ports[0]}"
    fields = {"peer_address": address, "seed_addresses": tuple(seeds), **fields}
    context.gateways.append(await fleet.start_gateway(context, name, **fields))


@given("a store and 2 gateways that are seeds")
def step_seeds(context):
    async def start():
        await fleet.start_fleet(context, 1, 0)
        context.seed_ports = [fleet.free_address().rpartition(":")[2]]
        context.seeds = ["127.0.0.1:1", "127.0.0.2:1"]
        for index in range(2):
            await start_at(context, f"seed-{index}", f"127.0.0.{index + 1}", context.seeds)

    run(context, start())


@when("3 more gateways start that know the seeds")
def step_more(context):
    async def start():
        for index in range(3):
            await start_at(context, f"vm-{index}", f"127.0.0.{index + 3}", context.seeds)

    run(context, start())


@when("3 more gateways of another data centre start that know the seeds")
def step_more_far(context):
    async def start():
        for index in range(3):
            host = f"127.0.0.{index + 3}"
            await start_at(context, f"vm-{index}", host, context.seeds, data_center=REMOTE)

    run(context, start())


@then("none of the 3 has written itself down in the store")
def step_unwritten(context):
    names = {record.vm for record in run(context, context.store.members()).members}
    assert not names & {"vm-0", "vm-1", "vm-2"}, names


@when("the seeds are gone for good and a gateway starts that knows only them")
def step_seeds_gone(context):
    async def change():
        for gateway, _ in context.gateways[:2]:
            await fleet.stop_gateway(gateway)
        del context.gateways[:2]
        await start_at(context, "vm-late", "127.0.0.9", context.seeds)

    run(context, change())


@given("{count:d} VMs that have met their seeds")
def step_met(context, count):
    context.now_ms = 0.0
    context.names = [f"vm-{number}" for number in range(count)]
    context.dead = set()
    context.discoveries = {}
    for name in context.names:
        discovery = Discovery(name, members_of(name, [*context.names, "seed"]), 0.0)
        discovery.add_seed("seed:2")
        context.discoveries[name] = discovery


def needing(context):
    """Return which VMs need the store after they have heard each other for 5 s."""
    context.now_ms += 5_000.0
    alive = [name for name in context.names if name not in context.dead]
    for name in alive:
        for other in alive:
            if other != name:
                context.discoveries[name]._members.record_heartbeat(
                    heartbeat(other), context.now_ms
                )
    return {name for name in alive if context.discoveries[name].should_announce(context.now_ms)}


@then("none of them needs the store")
def step_none_needs(context):
    assert not any(item.should_announce(context.now_ms) for item in context.discoveries.values())


@when("a seed falls silent")
def step_seed_silent(context):
    context.now_ms += 1_000.0


@then("{count:d} of them need the store")
def step_some_need(context, count):
    context.needing = needing(context)
    assert len(context.needing) == count, context.needing


@when("those have written themselves down and die")
def step_writers_die(context):
    for name in context.needing:
        context.discoveries[name].announcement_stored()
    context.dead |= context.needing


@given("a VM that knows the address of a seed and that of a VM that was replaced")
def step_addresses(context):
    context.peering = peering_of("vm-0", ())
    context.peering.add_address("seed:2")
    context.peering.add_address("replaced:2", LOCAL)
    context.now_ms = monotonic_ms()


def greeted(context, duration_ms):
    """Return which addresses are greeted in the last 5 s of a time."""
    end_ms = context.now_ms + duration_ms
    while context.now_ms < end_ms:
        context.now_ms += 500.0
        if context.now_ms < end_ms - 5_000.0:
            context.peering.link.sent.clear()
        context.peering.tick(context.now_ms)
    return {address for address, _ in context.peering.link.sent}


@then("in the first minute it greets both")
def step_greets_both(context):
    assert greeted(context, 60_000) == {"seed:2", "replaced:2"}


@then("after {minutes:d} minutes it greets the seed alone")
def step_greets_seed(context, minutes):
    assert greeted(context, minutes * 60_000) == {"seed:2"}
