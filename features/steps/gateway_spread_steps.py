"""Steps on how news spreads, and who measures."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.gateway import state_fetch
from cloverhook.gateway.discovery import Discovery
from cloverhook.gateway.load import LoadBoard, LoadFigure
from cloverhook.gateway.load_news import LoadNews
from cloverhook.gateway.measuring import Measuring
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import Beat, InFlight, Relay, ServerChanges, decode
from cloverhook.gateway.registry import BackendServer, Registry, ServerRecord
from cloverhook.gateway.spread import Spread
from features import gateway_fleet as fleet
from features.gateway_crowd import FAR, NEAR, Wire, beat, members_of, peering_of
from features.shared import run

PROBE_MS = 50


@given("3 gateways in each of two data centres and a backend server in each")
def step_two_data_centers(context):
    async def start():
        await fleet.start_fleet(context, 0, 0)
        for index, name in enumerate((NEAR, FAR)):
            backend = await fleet.Backend(f"i-{index}").start(context)
            context.backends.append(backend)
            context.store.put_server(backend.entry(data_center=name))
        context.gateways = [
            await fleet.start_gateway(context, f"vm-{index}", data_center=(NEAR, FAR)[index % 2])
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
    "in {time_s:d} seconds one that does not read the store sends the other at most {limit:d} beats"
)
def step_far_beats(context, time_s, limit):
    async def watch():
        await fleet.until(lambda: sum(item._follower.active for item, _ in context.gateways) == 2)
        gateway, settings = next(item for item in context.gateways if not item[0]._follower.active)
        far = {
            other.peer_address
            for _, other in context.gateways
            if other.data_center != settings.data_center
        }
        send, beats = gateway._peering.link.send_encoded, []

        def record(address, data):
            message = decode(data)
            if address in far and isinstance(message, Relay):
                beats.extend(item for item in (decode(message.data),) if isinstance(item, Beat))
            assert address not in far or isinstance(message, Relay | Beat), message
            send(address, data)

        gateway._peering.link.send_encoded = record
        async with asyncio.timeout(fleet.WAIT_S):
            while True:
                beats.clear()
                await asyncio.sleep(time_s)
                if not gateway._follower.active:
                    break  # After a stall of this process it may have read for a while.
        gateway._peering.link.send_encoded = send
        assert 1 <= len(beats) <= limit, len(beats)

    run(context, watch())


@then("all gateways know that pace")
def step_all_know_pace(context):
    def paces():
        figures = [gateway._knowledge.board.of("i-0").figure for gateway, _ in context.gateways]
        return {figure.pace if figure else 0 for figure in figures}

    run(context, fleet.until(lambda: paces() == {7.0}))


@when("it has learned of a change from a peer and reads the next one in the store")
def step_learned(context):
    gateway, _ = context.gateways[0]
    registry = gateway._knowledge.registry
    context.told = []

    async def change():
        late = await fleet.Backend("i-late").start(context)
        context.backends.append(late)
        peer = Registry()
        peer.adopt(registry.to_document(0.0), 0.0)
        entry = BackendServer("i-peer", fleet.SERVICE, "127.0.0.1:1", NEAR)
        context.peer_version = registry.version + 1
        peer.apply(ServerRecord("i-peer", context.peer_version, entry), 0.0, False)
        registry.adopt(peer.to_document(0.0), 0.0)
        gateway._peering.tell_servers = lambda base, touched: context.told.append((base, touched))
        context.store.put_server(entry)
        context.store.put_server(late.entry())
        await fleet.until(lambda: context.told)

    run(context, change())


@then("what it passes on builds on the peer's version")
def step_base(context):
    assert context.told[0][0] == context.peer_version, context.told


@given("a VM with 3 neighbours that are alive")
def step_neighbours(context):
    context.now_ms = 0.0
    context.wire = Wire()
    members = members_of("vm-0", ("vm-1", "vm-2", "vm-3"))
    context.spread = Spread("vm-0", context.wire, members)


@given("a VM with 3 VMs in another data centre")
def step_far_vms(context):
    context.wire = Wire()
    members = members_of("vm-0", ("vm-1", "vm-2", "vm-3"), data_center=FAR)
    context.spread = Spread("vm-0", context.wire, members)


@when("it sends 6 messages there")
def step_send_far(context):
    for number in range(6):
        context.spread.far(b"%d" % number, 0.0)


@then("each of the three relays 2 of them")
def step_turns(context):
    by_address = {}
    for address, data in context.wire.sent:
        by_address.setdefault(address, []).append(decode(data).data)
    assert sorted(len(items) for items in by_address.values()) == [2, 2, 2], by_address
    relayed = [data for items in by_address.values() for data in items]
    assert sorted(relayed) == [b"%d" % number for number in range(6)]


@when("a message to be relayed comes")
def step_relay(context):
    context.wire.sent.clear()
    context.spread.relay(Relay("vm-9", b"news"), context.now_ms)


@when("a message to be relayed comes 300 ms later")
def step_relay_later(context):
    context.now_ms += 300.0
    step_relay(context)


@when("the VM has stood still and finds another one in its socket")
def step_relay_stale(context):
    context.now_ms += 2_000.0
    context.spread.paused(context.now_ms)
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


def told_counts(context):
    """Return which VMs each VM tells its counts in flight."""
    told = {}

    async def tell():
        for name in context.names:
            peering = peering_of(name, context.names)
            peering._knowledge.board.of("i-0").in_flight = 1
            peering.count_changed()
            await asyncio.sleep(0.005)
            sent = peering.link.sent
            assert all(decode(data) == InFlight(name, {"i-0": 1}) for _, data in sent)
            told[name] = {address.partition(":")[0] for address, _ in sent}

    run(context, tell())
    return told


@then("each tells its counts in flight to the same {count:d} that callers are sent to")
def step_few_counts(context, count):
    serving = {name: members_of(name, context.names).serving(0.0) for name in context.names}
    assert len(set(serving.values())) == 1 and len(serving[context.names[0]]) == count
    for name, told in told_counts(context).items():
        assert told == set(serving[name]) - {name}, told


@then("each tells its counts in flight to the {count:d} others")
def step_counts(context, count):
    for name, told in told_counts(context).items():
        assert told == set(context.names) - {name} and len(told) == count, told


@then("one that is behind asks a neighbour that has the version, and another one if none answers")
def step_fetch(context):
    own, holder, other, *_ = context.names
    peering = peering_of(own, context.names)
    asked = []

    async def fetch(address, _):
        asked.append(address)
        raise MessageError("no answer")

    async def catch_up():
        peering.link.fetch = fetch
        for name in (holder, other):
            peering._members.get(name).config_version = 7
        peering._states.catch_up(holder, at_once=True)
        await fleet.until(lambda: len(asked) == state_fetch.FETCH_TRIES)

    run(context, catch_up())
    known = {peering._members.get(name).peer_address for name in (holder, other)}
    assert set(asked) <= known and len(asked) == state_fetch.FETCH_TRIES, asked


class MeasuringFleet:
    """VMs that probe every 50 ms and hear each other's figures at once."""

    def __init__(self, vms, servers, data_center):
        self.now_ms = 0.0
        self.requests_per_s = 60.0
        self.names = [f"vm-{number}" for number in range(vms)]
        self.dead = set()
        self.cut_off = set()
        self.servers = [f"i-{number}" for number in range(servers)]
        self.boards = {name: LoadBoard() for name in self.names}
        self.members = {name: members_of(name, self.names) for name in self.names}
        self.measuring = {}
        for name in self.names:
            registry = Registry()
            for offset, server in enumerate(self.servers):
                entry = BackendServer(server, fleet.SERVICE, "10.0.0.1:1", data_center)
                registry.apply(ServerRecord(server, offset, entry), 0.0, False)
            self.measuring[name] = Measuring(
                name,
                self.members[name],
                registry,
                self.boards[name],
                20.0,
                lambda service, now_ms: self.requests_per_s,
            )

    def step(self):
        """Let one interval pass; return who has measured each backend server."""
        self.now_ms += PROBE_MS
        alive = [name for name in self.names if name not in self.dead]
        found = {server: [] for server in self.servers}
        for name in alive:
            for server in self.measuring[name].due(self.now_ms):
                found[server.incarnation].append(name)
        for server, by in found.items():
            for name in alive:
                if any(self.hears(name, other) for other in by):
                    self.boards[name].of(server).measured(LoadFigure(0, 0, 1.0), self.now_ms)
        for name in alive:
            for other in alive:
                if other != name and self.hears(name, other):
                    self.members[name].heard(beat(other), self.now_ms)
        return found

    def hears(self, name, other):
        """Return whether a VM hears another one, or itself."""
        return name == other or self.cut_off.isdisjoint((name, other))

    def ages_ms(self, name):
        """Return the ages of a VM's figures, the least one first."""
        board = self.boards[name]
        return sorted(board.of(server).age_ms(self.now_ms) for server in self.servers)


@given("{vms:d} VMs of one data centre and {count:d} backend servers in it")
def step_measuring(context, vms, count):
    context.vms = MeasuringFleet(vms, count, NEAR)


@given("{vms:d} VMs of one data centre and {count:d} backend servers in another one")
def step_measuring_far(context, vms, count):
    context.vms = MeasuringFleet(vms, count, FAR)


@then("in a second each backend server is measured by one VM alone, {limit:d} measure at most")
def step_one_each_in_a_second(context, limit):
    context.found = {server: [] for server in context.vms.servers}
    for _ in range(1_000 // PROBE_MS):
        for server, by in context.vms.step().items():
            context.found[server] += by
    assert all(len(set(by)) == 1 for by in context.found.values()), context.found
    assert len({by[0] for by in context.found.values()}) <= limit, context.found


@then("none of those that measure serves callers")
def step_measurers_spared(context):
    measuring = {by[0] for by in context.found.values()}
    for name in measuring:
        assert name not in context.vms.members[name].serving(context.vms.now_ms), name


@then("each backend server is measured by one VM alone, and {limit:d} or fewer VMs measure")
def step_one_each(context, limit):
    for _ in range(20):
        context.found = context.vms.step()
        assert all(len(by) == 1 for by in context.found.values()), context.found
    assert len({by[0] for by in context.found.values()}) <= limit, context.found


@when("a VM that measures has died without a sign")
def step_measurer_dies(context):
    context.vms.dead = {context.found["i-0"][0]}


@then("within {time_ms:d} ms each backend server is measured again")
def step_stepped_in(context, time_ms):
    seen = set()
    for _ in range(time_ms // PROBE_MS):
        seen |= {server for server, by in context.vms.step().items() if by}
    assert seen == set(context.vms.servers), set(context.vms.servers) - seen


@when("one that callers are sent to is cut off with {count:d} request in flight for {time_ms:d} ms")
def step_serving_cut_off(context, count, time_ms):
    vms = context.vms
    vms.alone = vms.members["vm-0"].serving(vms.now_ms)[0]
    vms.boards[vms.alone].of("i-0").in_flight = count
    vms.requests_per_s = 0.0
    vms.cut_off = {vms.alone}
    for _ in range(time_ms // PROBE_MS):
        vms.step()


@then("it has figures of {count:d} backend servers that are {age_ms:d} ms old at most")
def step_own_figures(context, count, age_ms):
    vms = context.vms
    oldest_ms = 0.0
    for _ in range(1_000 // PROBE_MS):
        vms.step()
        oldest_ms = max(oldest_ms, vms.ages_ms(vms.alone)[count - 1])
    assert oldest_ms <= age_ms, oldest_ms


@then("it does not name itself to callers, and the others no longer do after {time_s:d} seconds")
def step_does_not_name_itself(context, time_s):
    vms = context.vms
    members = vms.members[vms.alone]
    assert members.serves_callers(vms.now_ms) and not members.names_itself(vms.now_ms)
    assert len(members.caller_addresses(vms.now_ms)) == 11
    for _ in range(time_s * 1_000 // PROBE_MS):
        vms.step()
    for name in vms.names:
        if name != vms.alone:
            assert vms.alone not in vms.members[name].serving(vms.now_ms)


@then("without requests it measures nothing while it is cut off")
def step_measures_nothing(context):
    vms = context.vms
    vms.boards[vms.alone].of("i-0").in_flight = 0
    vms.step()
    for _ in range(500 // PROBE_MS):
        assert all(vms.alone not in by for by in vms.step().values())


@then("it measures for itself no more")
def step_measures_no_more(context):
    vms = context.vms
    vms.boards[vms.alone].of("i-0").in_flight = 1
    vms.cut_off = set()
    for _ in range(500 // PROBE_MS):
        vms.step()
    assert vms.members[vms.alone].names_itself(vms.now_ms)
    for _ in range(500 // PROBE_MS):
        assert all(vms.alone not in by for by in vms.step().values())


@when("it is back")
def step_measurer_back(context):
    context.vms.dead = set()


@then("within 150 ms each backend server is measured by one VM alone")
def step_one_again(context):
    context.vms.step()
    context.vms.step()
    found = context.vms.step()
    assert all(len(by) == 1 for by in found.values()), found


@when("each VM gets {rate:d} requests a second")
def step_rate(context, rate):
    context.vms.requests_per_s = rate
    for _ in range(20):
        context.vms.step()


@then("each backend server is measured {low:d} to {high:d} times a second")
def step_measured_rate(context, low, high):
    seconds = 5
    counts = dict.fromkeys(context.vms.servers, 0)
    for _ in range(seconds * 1_000 // PROBE_MS):
        for server, by in context.vms.step().items():
            counts[server] += len(by)
    rates = {count / seconds for count in counts.values()}
    assert low <= min(rates) and max(rates) <= high, rates


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
            await start_at(context, f"vm-{index}", host, context.seeds, data_center=FAR)

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
                context.discoveries[name]._members.heard(beat(other), context.now_ms)
    return {name for name in alive if context.discoveries[name].needs_store(context.now_ms)}


@then("none of them needs the store")
def step_none_needs(context):
    assert not any(item.needs_store(context.now_ms) for item in context.discoveries.values())


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
        context.discoveries[name].announced()
    context.dead |= context.needing


@given("a VM that measures {count:d} backend servers, with 2 neighbours and a VM elsewhere")
def step_measurer(context, count):
    context.wire = Wire()
    heard_ms = monotonic_ms() + 600_000.0  # They stay alive, however long this process stalls.
    members = members_of("vm-0", ("vm-1", "vm-2"), heard_ms)
    members.heard(beat("vm-far", FAR), heard_ms)
    context.news = LoadNews("vm-0", Spread("vm-0", context.wire, members))
    context.figures = {f"i-{number}": LoadFigure(0, 0, 1.0) for number in range(count)}


def measure(context, at_ms):
    """Hand all figures to the news, as measured at a time, and wait for its datagrams."""
    context.wire.sent.clear()

    async def hand_over():
        for name, figure in context.figures.items():
            context.news.add(name, figure, at_ms)
        await asyncio.sleep(0.05)

    run(context, hand_over())


@when("it measures all of them")
def step_measure(context):
    measure(context, 0.0)


@when("it measures all of them {at_ms:d} ms later and nothing has changed")
def step_measure_same(context, at_ms):
    measure(context, at_ms)


@when("it measures all of them {at_ms:d} ms later and one is 7 times as slow")
def step_measure_slow(context, at_ms):
    context.figures["i-3"] = LoadFigure(0, 0, 7.0)
    measure(context, at_ms)


@then("each neighbour gets {near:d} datagram and the VM elsewhere gets {far:d}")
def step_datagrams(context, near, far):
    by_address = {}
    for address, data in context.wire.sent:
        by_address.setdefault(address, []).append(data)
    assert len(by_address["vm-1:2"]) == len(by_address["vm-2:2"]) == near, by_address
    assert len(by_address.get("vm-far:2", ())) == far, by_address
    assert len(decode(by_address["vm-1:2"][0]).figures) == len(context.figures)


def count_crossings(gateway, settings, crossed):
    """Note each configuration that a gateway fetches from another data centre."""
    fetch = gateway._peering.link.fetch

    async def counting(address, asked):
        state = await fetch(address, asked)
        members = {item.peer_address: item for item in gateway._members.all()}
        if "config" in state and members[address].data_center != settings.data_center:
            crossed.append(settings.vm)
        return state

    gateway._peering.link.fetch = counting


@when("the configuration changes, and neighbours wait long for each other")
def step_config_crosses(context):
    context.crossed = []
    before = state_fetch.NEIGHBOUR_FIRST_MS
    state_fetch.NEIGHBOUR_FIRST_MS = 60_000.0
    for gateway, settings in context.gateways:
        count_crossings(gateway, settings, context.crossed)

    async def change():
        await fleet.until(lambda: sum(item._follower.active for item, _ in context.gateways) == 2)
        context.store.put_config(fleet.config(5))
        await fleet.until(
            lambda: {item._knowledge.config_version for item, _ in context.gateways} == {5}
        )

    try:
        run(context, change())
    finally:
        state_fetch.NEIGHBOUR_FIRST_MS = before


@then("every gateway has it, and it has crossed {most:d} times at most")
def step_crossings(context, most):
    assert {item._knowledge.config_version for item, _ in context.gateways} == {5}
    assert len(context.crossed) <= most, context.crossed


@when("it has been started to listen for {listen_ms:d} ms and to measure {count:d} meanwhile")
def step_listens(context, listen_ms, count):
    (measuring,) = context.vms.measuring.values()
    measuring._listen_until_ms = context.listen_ms = listen_ms
    measuring._while_listening = count


@then("it measures {first:d} before and all {count:d} after that")
def step_listened(context, first, count):
    (measuring,) = context.vms.measuring.values()
    found = set()
    for now_ms in range(0, context.listen_ms, PROBE_MS):
        found.update(server.incarnation for server in measuring.due(now_ms))
    assert len(found) == first
    for now_ms in range(context.listen_ms, context.listen_ms + 500, PROBE_MS):
        found.update(server.incarnation for server in measuring.due(now_ms))
    assert len(found) == count


@given("a VM that knows the address of a seed and that of a VM that was replaced")
def step_addresses(context):
    context.peering = peering_of("vm-0", ())
    context.peering.add_address("seed:2")
    context.peering.add_address("replaced:2", NEAR)
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


@when("it tells a change of the registry while the next relay is dead")
def step_change_told(context):
    names = ["vm-0", "vm-1", "vm-2", "vm-3"]
    peering = peering_of("vm-0", names, data_center=FAR)
    entry = BackendServer("i-1", fleet.SERVICE, "127.0.0.1:1", NEAR, draining=True)
    peering._knowledge.registry.apply(ServerRecord("i-1", 4, entry), 0.0, False)
    peering.tell_servers(3, ("i-1",))
    context.sent = peering.link.sent
    context.dead = context.sent[0][0]


@then("the other two there have been sent it too")
def step_change_reached(context):
    reached = {address for address, data in context.sent if isinstance(decode(data), Relay)}
    assert len(reached - {context.dead}) == 2, reached


@given("{count:d} VMs of one data centre of which each uses {percent:d} percent of a core")
def step_busy(context, count, percent):
    names = [f"vm-{number}" for number in range(count)]
    context.members = Members(names[0], NEAR, 0.0)
    for name in names[1:]:
        context.members.heard(replace(beat(name), busy_percent=percent), 0.0)


@then("{count:d} of them serve callers")
def step_serving_count(context, count):
    assert len(context.members.serving(0.0)) == count


@then("a change that builds on more than one knows makes it fetch the state")
def step_fetch_after_change(context):
    own, teller, *_ = context.names
    peering = peering_of(own, context.names)
    asked = []

    async def fetch(address, _):
        asked.append(address)
        raise MessageError("no answer")

    async def miss():
        peering.link.fetch = fetch
        document = Registry().to_document(0.0)
        changes = ServerChanges(teller, 40, {**document, "version": 41, "whole": False})
        peering._on_changes(changes, monotonic_ms(), relayed=False)
        await fleet.until(lambda: asked)

    run(context, miss())
    assert asked[0] == peering._members.get(teller).peer_address, asked
