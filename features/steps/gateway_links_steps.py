"""Steps for gateways that lose their links to backend servers."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.links import LinkFailure
from cloverhook.gateway.peer_messages import LinkStatus, Relay, decode
from features.gateway_crowd import LOCAL, start_large_data_centers
from features.gateway_fleet import SERVICE, UNSAFE
from features.gateway_fleet import call as fleet_call
from features.link_cuts import Cut
from features.link_fleet import REGIONS, LinkFleet
from features.shared import run

FIRST = "vm-0"
USUAL_S = 1.5
AFTERWARDS_S = 2.0
SETTLE_MS = 1_000.0
UNUSED_BACKENDS = 2
FLAP_DOWN_S, FLAP_UP_S = 0.7, 0.3
RETURNS_SHARE = 0.2
"""How often a link that is down is found working, as where an endpoint answers now and then."""


@given("{gateways:d} gateways and {backends:d} backend servers, and callers at both gateways")
def step_fleet(context, gateways, backends):
    async def start():
        context.fleet = await LinkFleet.start(gateways, backends)
        context.stack.push_async_callback(context.fleet.close)
        context.fleet.begin_load()
        context.stack.push_async_callback(context.fleet.end_load)
        await asyncio.sleep(0.5)

    run(context, start())


@when("the first gateway loses its links to all of them")
def step_lose(context):
    async def lose():
        context.fleet.cuts[FIRST].begin(Cut.RESET)

    run(context, lose())


@when("the process stalls for {time_ms:d} ms while the first gateway checks its links")
def step_stall(context, time_ms):
    async def check():
        gateway, _ = context.fleet.named([FIRST])[0]
        servers = gateway._gateway_state.registry.of_service(SERVICE)
        checks = [asyncio.ensure_future(gateway._link_checks.check(item)) for item in servers]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(time_ms / 1000)
        context.checks = await asyncio.gather(*checks)

    run(context, check())


@when("the first gateway checks its links {count:d} times")
def step_check_often(context, count):
    async def check():
        gateway, _ = context.fleet.named([FIRST])[0]
        for _ in range(count):
            for server in gateway._gateway_state.registry.of_service(SERVICE):
                assert await gateway._link_checks.check(server), server

    run(context, check())


@then("its checks have left {count:d} connection open to each backend server at most")
def step_few_connections(context, count):
    gateway, _ = context.fleet.named([FIRST])[0]
    servers = gateway._gateway_state.registry.of_service(SERVICE)
    assert gateway._prober.connections <= count * len(servers), gateway._prober.connections


@given("{vms:d} VMs in each of two data centres that know each other now")
def step_crowd(context, vms):
    start_large_data_centers(context, vms, monotonic_ms())


@when("{count:d} endpoints hang for all of them, and come and go for {time_s:d} s")
def step_hang(context, count, time_s):
    servers = [BackendServer(f"i-{n}", SERVICE, f"10.0.0.{n}:1", LOCAL) for n in range(count)]
    source = random.Random(1)
    context.received_bytes = Counter()
    context.time_s = time_s

    async def play():
        for peering in context.peerings.values():
            for offset, server in enumerate(servers):
                record = ServerRecord(server.name, offset, server)
                peering._gateway_state.registry.apply(record, 0.0, False)
        started_ms = monotonic_ms()
        while monotonic_ms() - started_ms < 1000 * time_s:
            for peering in context.peerings.values():
                links, server = peering.link_updates._links, source.choice(servers)
                if links.is_down(server.incarnation) and source.random() < RETURNS_SHARE:
                    links.record_contact(server, monotonic_ms())
                else:
                    links.record_failure(server, LinkFailure.PROBE_UNANSWERED, monotonic_ms())
                peering.link_updates.repeat_if_due(monotonic_ms())
            await asyncio.sleep(0.02)
            deliver_link_messages(context)

    run(context, play())


def deliver_link_messages(context):
    """Deliver the messages that the VMs have sent, and count their bytes where they arrive."""
    while any(peering.link.sent for peering in context.peerings.values()):
        for peering in context.peerings.values():
            sent, peering.link.sent = peering.link.sent, []
            for address, data in sent:
                receiver = context.peerings[address]
                context.received_bytes[address] += len(data)
                message = decode(data)
                if isinstance(message, Relay):
                    receiver.broadcast.relay(message, monotonic_ms(), load_subscribers_only=True)
                    message = decode(message.data)
                if isinstance(message, LinkStatus):
                    receiver.link_updates.received(message, monotonic_ms())
                else:
                    receiver.link_updates.received_offer(message, monotonic_ms())


@then("each receives at most {limit:d} KB of reports of links a second")
def step_few_bytes(context, limit):
    most = max(context.received_bytes.values()) / context.time_s / 1000
    assert 0 < most <= limit, most


@then("the checks find all links working")
def step_found_working(context):
    assert context.checks == [True] * len(context.fleet.backends), context.checks


@when(
    "the first gateway checks its links for {time_ms:d} ms, and all backend servers reset a payment"
)
def step_pay(context, time_ms):
    async def pay():
        gateway, settings = context.fleet.named([FIRST])[0]
        await context.fleet.end_load()
        for backend in context.fleet.backends:
            backend.default, backend.on_request = "reset", None
        started_ms = monotonic_ms()
        gateway._links.is_suspected = lambda service, now_ms: now_ms < started_ms + time_ms
        address = settings.caller_address
        context.answer = await fleet_call(address, UNSAFE, "POST", "pay-1", body=b"x")
        ended_ms = monotonic_ms()
        lost_ms = context.fleet.stalls.lost_ms(started_ms, ended_ms)
        context.took_ms = ended_ms - started_ms - lost_ms

    run(context, pay())


@then("the payment is answered {status:d} within {most_ms:d} ms")
def step_paid(context, status, most_ms):
    assert context.answer.status == status, context.answer
    assert context.took_ms <= most_ms, context.took_ms


@when("it has them again")
def step_regain(context):
    context.fleet.cuts[FIRST].end()


def link_lines(context, down):
    """Return the first gateway's log lines on its links once there is one for each endpoint."""
    endpoints = {backend.incarnation for backend in context.fleet.backends}

    async def wait():
        return await context.fleet.wait_for_log("link", len(endpoints), vm=FIRST, down=down)

    found = run(context, wait())
    assert {line["server"] for line in found} == endpoints, found
    return found


@then("its log says of each of them when it was lost, and how that showed")
def step_lost_logged(context):
    found = link_lines(context, down=True)
    assert all(line["failure"] and line["time_ms"] > 0 for line in found), found


@then("its log says of each of them that it is reached again, and for how long it was not")
def step_regained_logged(context):
    found = link_lines(context, down=False)
    assert all(line["lasted_ms"] > 0 for line in found), found


@then("its metrics count {count:d} links as down, and those of the other gateway none")
def step_metrics(context, count):
    async def metrics():
        return [await context.fleet.metric(vm, "links_down") for vm in (FIRST, "vm-1")]

    assert run(context, metrics()) == [count, 0]


@dataclass(frozen=True, slots=True)
class CutRun:
    """A fleet of which some gateways have lost their links for some time."""

    fleet: LinkFleet
    cut_vms: frozenset[str]
    from_ms: float
    to_ms: float

    @property
    def other_vms(self):
        """The gateways that have kept their links."""
        return {settings.vm for _, settings in self.fleet.gateways} - self.cut_vms


@when("some gateways lose their links to all backend servers for {time_s:g} s")
def step_cut(context, time_s):
    async def play(gateways, cut, backends, links):
        fleet = await LinkFleet.start(gateways, backends)
        vms = frozenset(f"vm-{index}" for index in range(cut))
        try:
            await fleet.load_for(USUAL_S)
            from_ms = monotonic_ms()
            for vm in vms:
                fleet.cuts[vm].begin(Cut(links))
            loading = asyncio.create_task(fleet.load_for(time_s))
            await asyncio.sleep(time_s)
            to_ms = monotonic_ms()
            for vm in vms:
                fleet.cuts[vm].end()
            await fleet.load_for(AFTERWARDS_S)
            await loading
        finally:
            await fleet.close()
        return CutRun(fleet, vms, from_ms, to_ms)

    context.runs = []
    for row in context.table:
        gateways, cut, backends, links = row.cells
        work = play(int(gateways), int(cut), int(backends), links)
        context.runs.append(run(context, work))


@when("gateways lose links for {time_s:g} s in these ways")
def step_cut_in_ways(context, time_s):
    context.runs = []
    for row in context.table:
        gateways, cut, backends, links, how = row.cells
        work = play_way(int(gateways), int(cut), int(backends), Cut(links), how, time_s)
        context.runs.append(run(context, work))


async def play_way(gateways, cut, backends, links, how, time_s):
    """Play a fleet of which some gateways lose some links, in the way that `how` describes."""
    vms = [f"vm-{index}" for index in range(cut)]
    remote = vms if "data centre" in how else ()
    fleet = await LinkFleet.start(gateways, backends, remote_vms=remote, regions=REGIONS)
    try:
        kept = fleet.backends[:UNUSED_BACKENDS]
        if "draining" in how:
            await fleet.drain(kept)
        elif "region" in how:
            await fleet.restrict_routes(kept)
        await fleet.load_for(USUAL_S)
        if "measure" in how:
            vms = sorted(fleet.probing(), key=fleet.probing().get, reverse=True)[:cut]
        incarnations = None
        if "half" in how:
            incarnations = frozenset(item.incarnation for item in fleet.backends[: backends // 2])
        elif "draining" in how or "region" in how:
            used = fleet.backends[UNUSED_BACKENDS:]
            incarnations = frozenset(item.incarnation for item in used)
        if "store" in how:
            fleet.stop_store()
        from_ms = monotonic_ms()
        loading = asyncio.create_task(fleet.load_for(time_s))
        end_ms = from_ms + 1_000 * time_s
        while monotonic_ms() < end_ms:
            for vm in vms:
                fleet.cuts[vm].begin(links, incarnations)
            comes_back = "of each" in how
            await asyncio.sleep(FLAP_DOWN_S if comes_back else time_s)
            for vm in vms:
                fleet.cuts[vm].end()
            await asyncio.sleep(FLAP_UP_S if comes_back else 0)
        await loading
    finally:
        await fleet.close()
    return CutRun(fleet, frozenset(vms), from_ms, end_ms)


@then("from 1 s after the cut to its end the other gateways serve {share:g} of their first tries")
def step_others_serve(context, share):
    found = [
        item.fleet.served(item.other_vms, item.from_ms + SETTLE_MS, item.to_ms)
        for item in context.runs
    ]
    assert all(item.sent for item in found), found
    assert min(item.share for item in found) >= share, found


@then("from 1 s after the cut to its end all gateways serve {share:g} of their first tries")
def step_all_serve(context, share):
    found = [
        item.fleet.served(vms, item.from_ms + SETTLE_MS, item.to_ms)
        for item in context.runs
        for vms in (item.cut_vms, item.other_vms)
    ]
    assert all(item.sent for item in found), found
    assert min(item.share for item in found) >= share, found


@then(
    "from 1 s after the cut to its end {share:g} of the requests are rejected within {most_ms:d} ms"
)
def step_rejected(context, share, most_ms):
    for item in context.runs:
        calls = [
            call
            for call in item.fleet.calls
            if item.from_ms + SETTLE_MS <= call.sent_ms < item.to_ms - most_ms
        ]
        soon = [
            call
            for call in calls
            if call.answer.status == 503 and item.fleet.waited_ms(call) <= most_ms
        ]
        assert len(soon) >= share * len(calls) > 0, (len(soon), len(calls))


@then("from 1 s after its end all gateways serve {share:g} of their first tries")
def step_serve_again(context, share):
    for item in context.runs:
        found = item.fleet.served(item.cut_vms | item.other_vms, item.to_ms + SETTLE_MS)
        assert found.share >= share and found.sent, found
