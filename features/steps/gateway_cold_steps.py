"""Steps on the request rate of cold endpoints, and on how VMs learn that an endpoint is cold."""

import heapq
import random
from collections import defaultdict, deque
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.call_headers import parse_cold_ms
from cloverhook.gateway.choice import CapacityRequirement, WorkEstimates
from cloverhook.gateway.cold_limit import ColdLimit, ColdRateBound
from cloverhook.gateway.peer_messages import LoadReports, decode, encode
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.server_load import LoadReport, LoadTable

SERVICE = "bookings"
DATA_CENTER = "papine"
RATE_PER_S = 3.7
BOUND = ColdRateBound()
WORK_MS = 10.0
LENGTH_MS = 4_000.0
SECOND_MS = 1_000.0


def bound_of(rate_per_s):
    """Return how many requests a cold endpoint may receive within a second."""
    return BOUND.rate_factor * rate_per_s + BOUND.burst


def most_in_a_second(times_ms):
    """Return the largest number of these times that lie within any sliding second."""
    window, most = deque(), 0
    for at_ms in sorted(times_ms):
        window.append(at_ms)
        while window[0] <= at_ms - SECOND_MS:
            window.popleft()
        most = max(most, len(window))
    return most


def alive_lists(names, differ, source):
    """Return the VMs that each VM considers alive, itself included."""
    if differ == "none differ":
        return dict.fromkeys(names, names)
    if differ.startswith("two halves"):
        half = set(source.sample(names, len(names) // 2))
        return {name: tuple(x for x in names if (x in half) == (name in half)) for name in names}
    missed = {name: set(source.sample(names, 3)) - {name} for name in names}
    return {name: tuple(x for x in names if x not in missed[name]) for name in names}


@given("{vms:d} VMs, of whose lists {differ}")
def step_lists(context, vms, differ):
    context.names = tuple(f"vm-{n}" for n in range(vms))
    context.differ = differ


@then("whatever the order of their requests, no sliding second exceeds the bound")
def step_property(context):
    names, differ = context.names, context.differ

    @settings(max_examples=60, deadline=None, derandomize=True)
    @drawn(
        st.integers(0, 10_000),
        st.floats(0.2, 60.0),
        st.lists(st.integers(0, 400), min_size=1, max_size=60),
    )
    def check(seed, rate_per_s, pauses_ms):
        source = random.Random(seed)
        alive = alive_lists(names, differ, source)
        server = BackendServer(f"i-{seed}", SERVICE, "10.0.0.1:1", DATA_CENTER)
        limits = [
            ColdLimit(name, lambda *_, x=name: alive[x], lambda _: rate_per_s, BOUND)
            for name in names
        ]
        now_ms, sent_ms = 0.0, []
        for pause_ms in pauses_ms:
            now_ms += pause_ms
            source.shuffle(limits)
            for limit in limits:
                if limit.may_send(server, now_ms):
                    limit.record_sent(server, now_ms)
                    sent_ms.append(now_ms)
        assert most_in_a_second(sent_ms) <= bound_of(rate_per_s), (seed, rate_per_s)

    check()


@given("{endpoints:d} cold endpoints, {vms:d} VMs and {rate:d} short requests a second")
def step_cold_fleet(context, endpoints, vms, rate):
    context.shape = endpoints, vms, rate


def simulate(endpoints, vms, rate, limited):
    """Return the times at which each endpoint received requests.

    No VM learns of another VM's requests in flight.
    """
    source = random.Random(5)
    registry, names = Registry(), tuple(f"vm-{n}" for n in range(vms))
    for number in range(endpoints):
        server = BackendServer(f"i-{number}", SERVICE, "10.0.0.1:1", DATA_CENTER, 3)
        server = replace(server, warm_at_ms=2 * LENGTH_MS)
        registry.apply(ServerRecord(server.name, number, server), 0.0, False)
    balancers = []
    for name in names:
        limit = ColdLimit(name, lambda *_: names, lambda _: RATE_PER_S, BOUND)
        load_table = LoadTable()
        balancer = Balancer(
            registry,
            load_table,
            WorkEstimates(),
            DATA_CENTER,
            source,
            cold_limit=limit if limited else None,
        )
        balancers.append((balancer, load_table))
    sent_ms, ends, now_ms = defaultdict(list), [], 0.0
    while now_ms < LENGTH_MS:
        now_ms += source.expovariate(rate) * 1_000
        while ends and ends[0][0] <= now_ms:
            _, _, load = heapq.heappop(ends)
            load.in_flight -= 1
        balancer, load_table = source.choice(balancers)
        choice = balancer.choose(SERVICE, WORK_MS, now_ms, (), CapacityRequirement.FREE_SLOT)
        if choice is None:
            continue
        balancer.record_placement(choice.server, now_ms)
        load = load_table.get_or_create(choice.server.incarnation)
        load.in_flight += 1
        heapq.heappush(ends, (now_ms + 2 * WORK_MS, id(load) + source.random(), load))
        sent_ms[choice.server.incarnation].append(now_ms)
    return sent_ms


@when("the load is played with the limit and without")
def step_play(context):
    context.limited = simulate(*context.shape, limited=True)
    context.unlimited = simulate(*context.shape, limited=False)


@then("without it a sliding second exceeds the bound, and with it none does")
def step_bound_kept(context):
    bound = bound_of(RATE_PER_S)
    assert max(map(most_in_a_second, context.unlimited.values())) > bound
    assert max(map(most_in_a_second, context.limited.values())) <= bound


@then("with it the endpoints still get {share:g} of what they bear")
def step_used(context, share):
    endpoints, _, _ = context.shape
    received = sum(map(len, context.limited.values()))
    assert received >= share * RATE_PER_S * endpoints * LENGTH_MS / 1_000, received


@given("an endpoint registered as cold for {before:d} s")
def step_registered(context, before):
    context.registry = Registry()
    context.entry = BackendServer("i-1", SERVICE, "10.0.0.1:1", DATA_CENTER, born_ms=7)
    apply_report(context, 0, 0.0, before)


def apply_report(context, offset, at_ms, cold_s):
    """Apply a report of the endpoint, cold for `cold_s`, to the registry."""
    entry = replace(context.entry, sequence=offset, warm_at_ms=at_ms + 1_000 * cold_s)
    context.registry.apply(ServerRecord("i-1", offset, entry), at_ms, False)


@when("its next report says cold for {after:d} s")
def step_next_report(context, after):
    apply_report(context, 1, 500.0, after)


@then("100 ms later it is {state}")
def step_state(context, state):
    (server,) = context.registry.of_service(SERVICE)
    assert (server.warm_at_ms > 600.0) == (state == "cold"), server


@given("a load figure of a probe that says cold for {cold:d} ms")
def step_figure(context, cold):
    load_report = LoadReport(0, 0, 1.0, cold_for_ms=float(cold))
    context.here, context.peer = LoadTable().get_or_create("i-1"), LoadTable().get_or_create("i-1")
    context.here.update_from_probe(load_report, 0.0)
    message = decode(encode(LoadReports("vm-1", (("i-1", load_report, 0.0),))))
    context.peer.update_from_probe(message.reports[0][1], 0.0)


@then("it is cold after {cold:d} ms and warm after {warm:d} ms, also at a peer")
def step_cold_until(context, cold, warm):
    for load in (context.here, context.peer):
        assert load.is_cold(float(cold)) and not load.is_cold(float(warm))


@when("a later probe says nothing of it")
def step_later(context):
    context.here.update_from_probe(LoadReport(0, 0, 1.0), 300.0)


@then("it is warm at once")
def step_warm(context):
    assert not context.here.is_cold(301.0)


@given("a header that says cold for {value}")
def step_header(context, value):
    context.cold_ms = parse_cold_ms(value.encode())


@then("it is taken for {cold:d} ms")
def step_taken(context, cold):
    assert context.cold_ms == cold
