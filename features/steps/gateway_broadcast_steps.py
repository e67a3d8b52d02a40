"""Steps on how state changes and load reports spread among VMs, and how registries converge."""

import asyncio
import random
from dataclasses import replace

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.gateway import state_fetch
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.load_updates import LoadUpdates
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import (
    Heartbeat,
    InFlightCountChanges,
    Relay,
    ServerChanges,
    decode,
)
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.server_load import LoadReport
from cloverhook.gateway.state_fetch import build_state_reply
from features import gateway_fleet as fleet
from features.gateway_crowd import LOCAL, REMOTE, RecordingLink, heartbeat, members_of, peering_of
from features.shared import run

PROBE_MS = 50


@given("3 gateways in each of two data centres and a backend server in each")
def step_two_data_centers(context):
    async def start():
        await fleet.start_fleet(context, 0, 0)
        for index, name in enumerate((LOCAL, REMOTE)):
            backend = await fleet.Backend(f"i-{index}").start(context)
            context.backends.append(backend)
            context.store.put_server(backend.entry(data_center=name))
        context.gateways = [
            await fleet.start_gateway(
                context, f"vm-{index}", data_center=(LOCAL, REMOTE)[index % 2]
            )
            for index in range(6)
        ]
        addresses = [settings.peer_address for _, settings in context.gateways]
        for gateway, _ in context.gateways:
            for address in addresses:
                gateway._peering.add_address(address)
        await fleet.until(lambda: all(gateway._is_ready() for gateway, _ in context.gateways))

    run(context, start())


@then("every gateway knows the other {count:d}")
def step_all_known(context, count):
    def counts():
        return [len(gateway._members.alive(monotonic_ms())) for gateway, _ in context.gateways]

    assert len(context.gateways) == count + 1
    run(context, fleet.until(lambda: counts() == [count] * (count + 1)))


@then(
    "in {time_s:d} seconds one that does not read the store sends the other at most {limit:d}"
    " heartbeats"
)
def step_few_remote_heartbeats(context, time_s, limit):
    async def watch():
        await fleet.until(lambda: sum(item._follower.active for item, _ in context.gateways) == 2)
        gateway, settings = next(item for item in context.gateways if not item[0]._follower.active)
        remote_addresses = {
            other.peer_address
            for _, other in context.gateways
            if other.data_center != settings.data_center
        }
        send, heartbeats = gateway._peering.link.send_encoded, []

        def record(address, data):
            message = decode(data)
            if address in remote_addresses and isinstance(message, Relay):
                heartbeats.extend(
                    item for item in (decode(message.data),) if isinstance(item, Heartbeat)
                )
            assert address not in remote_addresses or isinstance(
                message, Relay | Heartbeat
            ), message
            send(address, data)

        gateway._peering.link.send_encoded = record
        async with asyncio.timeout(fleet.WAIT_S):
            while True:
                heartbeats.clear()
                await asyncio.sleep(time_s)
                if not gateway._follower.active:
                    break  # After a stall of this process it may have read the store for a while.
        gateway._peering.link.send_encoded = send
        assert 1 <= len(heartbeats) <= limit, len(heartbeats)

    run(context, watch())


@then("all gateways know that pace")
def step_all_know_slowdown(context):
    def slowdowns():
        latest_reports = [
            gateway._gateway_state.load_table.get_or_create("i-0").latest_report
            for gateway, _ in context.gateways
        ]
        return {report.slowdown if report else 0 for report in latest_reports}

    run(context, fleet.until(lambda: slowdowns() == {7.0}))


@when("it has learned of a change from a peer and reads the next one in the store")
def step_learned(context):
    gateway, _ = context.gateways[0]
    registry = gateway._gateway_state.registry
    context.registry_broadcasts = []

    async def change():
        late = await fleet.Backend("i-late").start(context)
        context.backends.append(late)
        peer = Registry()
        peer.adopt(registry.to_document(0.0), 0.0)
        entry = BackendServer("i-peer", fleet.SERVICE, "127.0.0.1:1", LOCAL)
        context.peer_version = registry.version + 1
        peer.apply(ServerRecord("i-peer", context.peer_version, entry), 0.0, False)
        registry.adopt(peer.to_document(0.0), 0.0)
        gateway._peering.broadcast_registry_changes = (
            lambda base, changed_names: context.registry_broadcasts.append((base, changed_names))
        )
        context.store.put_server(entry)
        context.store.put_server(late.entry())
        await fleet.until(lambda: context.registry_broadcasts)

    run(context, change())


@then("what it passes on builds on the peer's version")
def step_base(context):
    assert context.registry_broadcasts[0][0] == context.peer_version, context.registry_broadcasts


@given("a VM with 3 neighbours that are alive")
def step_neighbours(context):
    context.now_ms = 0.0
    context.wire = RecordingLink()
    members = members_of("vm-0", ("vm-1", "vm-2", "vm-3"))
    context.broadcast = Broadcast("vm-0", context.wire, members)


@given("a VM with 3 VMs in another data centre")
def step_remote_vms(context):
    context.wire = RecordingLink()
    members = members_of("vm-0", ("vm-1", "vm-2", "vm-3"), data_center=REMOTE)
    context.broadcast = Broadcast("vm-0", context.wire, members)


@when("it sends 6 messages there")
def step_send_remote(context):
    for number in range(6):
        context.broadcast.send_remote(b"%d" % number, 0.0)


@then("each of the three relays 2 of them")
def step_relay_rotation(context):
    by_address = {}
    for address, data in context.wire.sent:
        by_address.setdefault(address, []).append(decode(data).data)
    assert sorted(len(items) for items in by_address.values()) == [2, 2, 2], by_address
    relayed = [data for items in by_address.values() for data in items]
    assert sorted(relayed) == [b"%d" % number for number in range(6)]


@when("a message to be relayed comes")
def step_relay(context):
    context.wire.sent.clear()
    context.broadcast.relay(Relay("vm-9", b"news"), context.now_ms)


@when("a message to be relayed comes 300 ms later")
def step_relay_later(context):
    context.now_ms += 300.0
    step_relay(context)


@when("the VM has stood still and finds another one in its socket")
def step_relay_stale(context):
    context.now_ms += 2_000.0
    context.broadcast.record_process_pause(context.now_ms)
    context.now_ms += 1.0
    step_relay(context)


@then("each neighbour gets it")
def step_relayed(context):
    expected = [(f"vm-{number}:2", b"news") for number in (1, 2, 3)]
    assert sorted(context.wire.sent) == expected, context.wire.sent


@then("no neighbour gets it")
def step_not_relayed(context):
    assert context.wire.sent == []


@given("{count:d} VMs of one data centre")
def step_vms(context, count):
    context.names = [f"vm-{number}" for number in range(count)]


def count_recipients(context):
    """Return the names of the VMs to which each VM sends its in-flight counts."""
    recipients = {}

    async def send_counts():
        for name in context.names:
            peering = peering_of(name, context.names)
            peering._gateway_state.load_table.get_or_create("i-0").in_flight = 1
            peering.count_updates.count_changed("i-0")
            await asyncio.sleep(0.005)
            sent = peering.link.sent
            assert all(decode(data) == InFlightCountChanges(name, {"i-0": 1}) for _, data in sent)
            recipients[name] = {address.partition(":")[0] for address, _ in sent}

    run(context, send_counts())
    return recipients


@then("each tells its counts in flight to the same {count:d} that callers are sent to")
def step_few_counts(context, count):
    serving = {name: members_of(name, context.names).serving_vms(0.0) for name in context.names}
    assert len(set(serving.values())) == 1 and len(serving[context.names[0]]) == count
    for name, recipients in count_recipients(context).items():
        assert recipients == set(serving[name]) - {name}, recipients


@then("each tells its counts in flight to the {count:d} others")
def step_counts(context, count):
    for name, recipients in count_recipients(context).items():
        assert recipients == set(context.names) - {name} and len(recipients) == count, recipients


def failing_fetch(part, requested_addresses):
    """Return a fetch that always fails and records the addresses asked for a part of the state."""

    async def fetch(address, request):
        if part in request:
            requested_addresses.append(address)
        raise MessageError("no answer")

    return fetch


@then("one that is behind asks a neighbour that has the version, and another one if none answers")
def step_fetch(context):
    own, first_with_state, second_with_state, *_ = context.names
    peering = peering_of(own, context.names)
    requested_addresses = []
    fetch = failing_fetch("config", requested_addresses)

    async def catch_up():
        peering.link.fetch = fetch
        for name in (first_with_state, second_with_state):
            peering._members.get(name).config_version = 7
        peering.state_fetch.schedule_fetch(first_with_state, immediately=True)
        await fleet.until(lambda: len(requested_addresses) == state_fetch.FETCH_TRIES)

    run(context, catch_up())
    known = {
        peering._members.get(name).peer_address for name in (first_with_state, second_with_state)
    }
    assert (
        set(requested_addresses) <= known and len(requested_addresses) == state_fetch.FETCH_TRIES
    ), requested_addresses


@given("{count:d} VMs of one data centre that know a VM of another one")
def step_far_holder(context, count):
    names = [f"10.1.0.{number}" for number in range(count)]
    context.peerings = [peering_of(name, names) for name in names]
    context.requests = []

    def recording_fetch(name):
        async def fetch(address, request):
            part = "config" if "config" in request else "servers"
            context.requests.append((monotonic_ms(), name, part))
            raise MessageError("no answer")

        return fetch

    for name, peering in zip(names, context.peerings, strict=True):
        peering._members.record_heartbeat(heartbeat("vm-far", REMOTE), monotonic_ms())
        peering.link.fetch = recording_fetch(name)


@when("that VM announces a configuration and backend servers")
def step_announced(context):
    newer = replace(heartbeat("vm-far", REMOTE), config_version=7, registry_version=9)

    async def announce():
        context.announced_ms = monotonic_ms()
        for peering in context.peerings:
            peering._on_heartbeat(newer, monotonic_ms(), relayed=True)
        await fleet.until(lambda: len(requesters(context, "config")) == len(context.peerings))

    run(context, announce())


def requesters(context, part):
    """Return the time of the first request of each VM for a part of the state."""
    found = {}
    for at_ms, name, requested in context.requests:
        if requested == part:
            found.setdefault(name, at_ms)
    return found


@then("no more than {count:d} of them request the configuration from it within {time_ms:d} ms")
def step_few_request(context, count, time_ms):
    end_ms = context.announced_ms + time_ms
    soon = [name for name, at_ms in requesters(context, "config").items() if at_ms <= end_ms]
    assert 1 <= len(soon) <= count, soon


@then("all request it in the end if no neighbour announces it, and the backend servers at once")
def step_all_request(context):
    config, servers = requesters(context, "config"), requesters(context, "servers")
    assert len(config) == len(servers) == len(context.peerings)
    assert max(servers.values()) < max(config.values())


@given("a VM that measures {count:d} backend servers, with 2 neighbours and a VM elsewhere")
def step_measurer(context, count):
    context.wire = RecordingLink()
    # The heartbeats lie in the future, so the members stay alive however long this process stalls.
    last_heartbeat_ms = monotonic_ms() + 600_000.0
    members = members_of("vm-0", ("vm-1", "vm-2"), last_heartbeat_ms)
    members.record_heartbeat(heartbeat("vm-far", REMOTE), last_heartbeat_ms)
    context.updates = LoadUpdates("vm-0", Broadcast("vm-0", context.wire, members))
    context.current_reports = {f"i-{number}": LoadReport(0, 0, 1.0) for number in range(count)}


def measure(context, at_ms):
    """Add all load reports as measured at `at_ms`, and wait until their datagrams are sent."""
    context.wire.sent.clear()

    async def add_reports():
        for name, report in context.current_reports.items():
            context.updates.add(name, report, at_ms)
        await asyncio.sleep(0.05)

    run(context, add_reports())


@when("it measures all of them")
def step_measure(context):
    measure(context, 0.0)


@when("it measures all of them {at_ms:d} ms later and nothing has changed")
def step_measure_same(context, at_ms):
    measure(context, at_ms)


@when("it measures all of them {at_ms:d} ms later and one is 7 times as slow")
def step_measure_slow(context, at_ms):
    context.current_reports["i-3"] = LoadReport(0, 0, 7.0)
    measure(context, at_ms)


@then("each neighbour gets {near:d} datagram and the VM elsewhere gets {far:d}")
def step_datagrams(context, near, far):
    by_address = {}
    for address, data in context.wire.sent:
        by_address.setdefault(address, []).append(data)
    assert len(by_address["vm-1:2"]) == len(by_address["vm-2:2"]) == near, by_address
    assert len(by_address.get("vm-far:2", ())) == far, by_address
    assert len(decode(by_address["vm-1:2"][0]).reports) == len(context.current_reports)


def count_crossings(gateway, settings, fetching_vms):
    """Record each configuration that a gateway fetches from another data centre."""
    fetch = gateway._peering.link.fetch

    async def counting(address, request):
        state = await fetch(address, request)
        members = {item.peer_address: item for item in gateway._members.all()}
        if "config" in state and members[address].data_center != settings.data_center:
            fetching_vms.append(settings.vm)
        return state

    gateway._peering.link.fetch = counting


@when("the configuration changes, and neighbours wait long for each other")
def step_config_crosses(context):
    context.remote_fetches = []
    before = state_fetch.NEIGHBOUR_FIRST_MS
    state_fetch.NEIGHBOUR_FIRST_MS = 60_000.0
    for gateway, settings in context.gateways:
        count_crossings(gateway, settings, context.remote_fetches)

    async def change():
        await fleet.until(lambda: sum(item._follower.active for item, _ in context.gateways) == 2)
        context.store.put_config(fleet.config(5))
        await fleet.until(
            lambda: {item._gateway_state.config_version for item, _ in context.gateways} == {5}
        )

    try:
        run(context, change())
    finally:
        state_fetch.NEIGHBOUR_FIRST_MS = before


@then("every gateway has it, and it has crossed {most:d} times at most")
def step_crossings(context, most):
    assert {item._gateway_state.config_version for item, _ in context.gateways} == {5}
    assert len(context.remote_fetches) <= most, context.remote_fetches


@when("it tells a change of the registry while the next relay is dead")
def step_change_told(context):
    names = ["vm-0", "vm-1", "vm-2", "vm-3"]
    peering = peering_of("vm-0", names, data_center=REMOTE)
    entry = BackendServer("i-1", fleet.SERVICE, "127.0.0.1:1", LOCAL, draining=True)
    peering._gateway_state.registry.apply(ServerRecord("i-1", 4, entry), 0.0, False)
    peering.broadcast_registry_changes(3, ("i-1",))
    context.sent = peering.link.sent
    context.dead = context.sent[0][0]


@then("the other two there have been sent it too")
def step_change_reached(context):
    reached = {address for address, data in context.sent if isinstance(decode(data), Relay)}
    assert len(reached - {context.dead}) == 2, reached


@given("{count:d} VMs of one data centre, to each of which callers send {rate:d} requests a second")
def step_requests(context, count, rate):
    names = [f"vm-{number}" for number in range(count)]
    context.members = Members(names[0], LOCAL, 0.0)
    for name in names[1:]:
        context.members.record_heartbeat(replace(heartbeat(name), requests_per_s=rate), 0.0)


@then("{count:d} of them serve callers")
def step_serving_count(context, count):
    assert len(context.members.serving_vms(0.0)) == count


@then("a change that builds on more than one knows makes it fetch the state")
def step_fetch_after_change(context):
    own, sender, *_ = context.names
    peering = peering_of(own, context.names)
    requested_addresses = []
    fetch = failing_fetch("registry", requested_addresses)

    async def receive_changes():
        peering.link.fetch = fetch
        document = Registry().to_document(0.0)
        changes = ServerChanges(sender, 40, {**document, "version": 41, "whole": False})
        peering._on_server_changes(changes, monotonic_ms(), relayed=False)
        await fleet.until(lambda: requested_addresses)

    run(context, receive_changes())
    assert requested_addresses[0] == peering._members.get(sender).peer_address, requested_addresses


@given("two registries of {count:d} endpoints that agree")
def step_registries(context, count):
    context.first, context.second, context.offset = Registry(), Registry(), 0
    for number in range(count):
        put_endpoint(context, number)
    context.second.adopt(context.first.to_document(0.0), 0.0)


def put_endpoint(context, number, **fields):
    """Apply a record of an endpoint to the first registry."""
    name = f"i-{number}"
    server = BackendServer(name, "s", f"10.0.0.{number}:1", LOCAL, **fields)
    context.first.apply(ServerRecord(name, context.offset, server), 0.0, False)
    context.offset += 1


def remove_endpoint(context, number):
    """Remove an endpoint's record from the first registry."""
    context.first.apply(ServerRecord(f"i-{number}", context.offset, None), 0.0, False)
    context.offset += 1


def update_second_registry(context):
    """Update the second registry from the first, and return the number of records sent."""
    gateway_state = GatewayState()
    gateway_state.registry = context.first
    request = {"registry": context.second.version}
    state = build_state_reply(request, gateway_state, Members("vm-0", LOCAL, 0.0), 0.0)
    if "registry" not in state:
        return 0
    context.second.adopt(state["registry"], 0.0)
    return len(state["registry"]["servers"])


def routing_state_of(registry):
    """Return the properties of a registry's servers that decide where requests go."""
    return {
        (item.name, item.slots, item.draining, registry.in_grace_period(item))
        for item in registry.servers()
    }


@when("at one of them a few endpoints change, end, vanish and come back, {rounds:d} times over")
def step_rounds(context, rounds):
    source = random.Random(3)
    context.record_counts = []
    for number in range(rounds):
        for _ in range(3):
            other = source.randrange(60)
            source.choice(
                (
                    lambda other=other: remove_endpoint(context, other),
                    lambda other=other, slots=2 + number: put_endpoint(context, other, slots=slots),
                    lambda other=other: put_endpoint(context, other, draining=True),
                    lambda other=other: put_endpoint(context, other, sequence=context.offset),
                )
            )()
        if number % 5 == 4:
            context.first.expire_grace_periods(1e9)
            context.second.expire_grace_periods(1e9)
        context.record_counts.append(update_second_registry(context))
        assert routing_state_of(context.first) == routing_state_of(context.second), number
        assert context.first.version == context.second.version, number


@then("each time the other knows the same after it has asked, by {most:d} rows at most")
def step_few_records(context, most):
    assert max(context.record_counts) <= most, context.record_counts


@when("at one of them all endpoints report again, and one has changed before")
def step_reports(context):
    put_endpoint(context, 5, slots=7)
    for number in range(60):
        put_endpoint(context, number, slots=7 if number == 5 else 1, sequence=9)


@then("the other has the same version after it has asked")
def step_same_version(context):
    update_second_registry(context)
    assert context.second.version == context.first.version == 60
    assert routing_state_of(context.first) == routing_state_of(context.second)
