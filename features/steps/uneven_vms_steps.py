"""Steps on data centres whose VMs have different capacities."""

import asyncio
from collections import Counter
from dataclasses import fields, replace
from itertools import combinations
from random import Random
from unittest import mock

import cbor2
from behave import given, then, when

from cloverhook.errors import MessageError
from cloverhook.gateway import members
from cloverhook.gateway.counters import PREFIX
from cloverhook.gateway.peer_messages import Heartbeat, decode, encode
from cloverhook.gateway.rendezvous_hash import rendezvous_weight
from cloverhook.gateway.vm_capacity import VmCapacity, sample_addresses, serving_count
from features import gateway_fleet as fleet
from features.gateway_crowd import LOCAL, heartbeat
from features.shared import run
from features.uneven_fleet import STRONG, WEAK, UnevenFleet

STRONG_VMS = ("s-0", "s-1")
PROCESSOR_MS = 8.0
"""The processor time of a request, by docs/CAPACITY.md: 8% of a core for 10 requests a second."""
KNOWN_TO_OLDER = 17
SHARE_ERROR = 0.05
STRONG_GATEWAY = {"cpu_share": 1.0, "cpu_cores": 2.15, "link_mbps": 100}
WEAK_GATEWAY = {"cpu_share": 0.43, "link_mbps": 5}


@given(
    "a data centre of {strong:d} strong and {weak:d} weak VMs of which {who} state their capacity"
)
def step_stating(context, strong, weak, who):
    vms = context.vms = UnevenFleet(strong, weak, stated=False)
    names = set(vms.capacities)
    chosen = {"none": set(), "all": names, "all but one": names - {"w-7"}}
    vms.stating = chosen.get(who, names - set(STRONG_VMS))
    for name in names:
        vms.start(name)


@given("the strong ones have only {factor:g} times the processor time")
def step_less_strong(context, factor):
    for name in STRONG_VMS:
        context.vms.capacities[name] = VmCapacity(factor * WEAK.processor_cores, STRONG.link_mbps)
        context.vms.start(name)


@when("{time_s:d} seconds pass")
def step_time(context, time_s):
    context.vms.run(time_s)


@then("every VM sends callers to the same 12 that the hash order names, all in each answer")
def step_hash_order(context):
    vms = context.vms
    order = sorted(vms.vms, key=lambda vm: rendezvous_weight("callers", vm), reverse=True)[:12]
    for name in vms.vms:
        assert vms.serving(name) == tuple(order), (name, vms.serving(name))
        assert sorted(vms.answer(name)) == sorted(order), (name, vms.answer(name))


@given("heartbeats with and without a capacity")
def step_heartbeats(context):
    context.plain = replace(
        heartbeat("vm-1"), caller_address="10.0.0.1:1", peer_address="10.0.0.1:2"
    )
    context.stating = replace(context.plain, processor_cores=0.43, link_mbps=5)


@then("the fields that older versions know are sent as before")
def step_older_version(context):
    for message in (context.plain, context.stating):
        _, *values = cbor2.loads(encode(message))
        names = [item.name for item in fields(Heartbeat)][:KNOWN_TO_OLDER]
        assert values == [getattr(message, name) for name in names], values
    assert encode(context.plain) == cbor2.dumps(cbor2.loads(encode(context.plain)))


@then("the capacity arrives, or 0 where none was sent")
def step_capacity_arrives(context):
    assert decode(encode(context.plain)) == context.plain
    assert decode(encode(context.stating)) == context.stating
    later = encode(context.plain) + cbor2.dumps([0.43, 5, "a field of a later version"])
    assert decode(later) == context.stating


@then("a heartbeat with a faulty capacity is rejected")
def step_faulty_capacity(context):
    data = encode(context.plain)
    faulty = [["a", 1], [-1, 1], [1], 5, [float("nan"), 1], [True, 1], [1, 1e300]]
    for trailing in (*map(cbor2.dumps, faulty), b"\xff", encode(context.stating)[len(data) : -1]):
        try:
            message = decode(data + trailing)
        except MessageError:
            continue
        raise AssertionError(message)


@then("of {strong:d} strong and {weak:d} weak VMs {count:d} serve {rate:d} requests a second")
def step_serving_count(context, strong, weak, count, rate):
    rates = [STRONG.requests_per_s] * strong + [WEAK.requests_per_s] * weak
    assert serving_count(rates, rate) == count, serving_count(rates, rate)


def answers(rates, count=20_000):
    """Return answers, and the share of the callers that each VM gets by picking from them."""
    source = Random(1)
    found = [sample_addresses(rates, source) for _ in range(count)]
    picked = Counter()
    for addresses in found:
        assert len(set(addresses)) == len(addresses), addresses
        picked.update(dict.fromkeys(addresses, 1 / len(addresses) / count))
    return found, picked


@given("answers of {strong:d} strong and {weak:d} weak VMs")
def step_answers(context, strong, weak):
    context.rates = [(f"s-{number}", STRONG.requests_per_s) for number in range(strong)]
    context.rates += [(f"w-{number}", WEAK.requests_per_s) for number in range(weak)]
    context.answers, context.picked = answers(context.rates)
    context.strong = {name for name, _ in context.rates[:strong]}


@then("each holds all strong VMs, a weak one and 2 addresses at least")
def step_all_strong(context):
    for addresses in context.answers:
        assert context.strong < set(addresses) and len(addresses) >= 2, addresses


@then("over many answers each VM is picked in proportion to its capacity, within {error:g} of it")
def step_proportion(context, error):
    total = sum(rate for _, rate in context.rates)
    for name, rate in context.rates:
        assert abs(context.picked[name] * total / rate - 1) < error, (name, context.picked[name])


@then(
    "of {strong:d} VMs with {factor:d} times the capacity of {weak:d} others, "
    "a strong one gets {share:g} of the callers"
)
def step_very_different(context, strong, factor, weak, share):
    rates = [(f"s-{number}", 40.0 * factor) for number in range(strong)]
    rates += [(f"w-{number}", 40.0) for number in range(weak)]
    _, picked = answers(rates)
    assert abs(picked["s-0"] - share) < 0.01, picked


@given("a data centre of {strong:d} strong and {weak:d} weak VMs, and the same without capacities")
def step_both(context, strong, weak):
    context.vms = UnevenFleet(strong, weak)
    context.same = UnevenFleet(strong, weak, stated=False)


@when("both serve {rate:d} requests a second for {time_s:d} seconds")
def step_serve(context, rate, time_s):
    for vms in (context.vms, context.same):
        vms.run(10, rate)
        vms.reset()
        vms.run(time_s - 10, rate)


@then("the strong VMs get {share:g} of the requests")
def step_share(context, share):
    vms = context.vms
    found = sum(vms.counts[name] for name in STRONG_VMS) / vms.sent
    assert abs(found - share) < SHARE_ERROR, found


@then("{time_s:d} seconds later the strong VMs get {share:g} of the requests again")
@then("{time_s:d} seconds after the partition the strong VMs get {share:g} of the requests again")
def step_share_again(context, time_s, share):
    for vm in context.vms.vms.values():
        vm.group = 0
    context.vms.run(time_s)
    context.vms.reset()
    context.vms.run(10)
    step_share(context, share)


@then("the busiest second of a VM is less busy than with the hash order")
def step_less_busy(context):
    loads = context.vms.peak_load(), context.same.peak_load()
    print(f"busiest second, of the capacity: {loads[0]:.2f}, by the hash order {loads[1]:.2f}")
    assert loads[0] < loads[1], loads


@then("no request fails")
def step_none_fails(context):
    assert not context.vms.failed, context.vms.failed


@when("the strong VMs die")
def step_strong_die(context):
    vms = context.vms
    vms.reset()
    context.subscribers = set(vms.vms["w-0"].members.load_subscribers(vms.now_ms))
    vms.kill(STRONG_VMS)


@then("after {time_s:g} seconds no answer names them, and all who serve had load reports before")
def step_taken_over(context, time_s):
    vms = context.vms
    vms.run(time_s)
    for name in vms.vms:
        assert not set(STRONG_VMS) & set(vms.answer(name)), vms.answer(name)
        assert set(vms.serving(name)) <= context.subscribers, vms.serving(name)


@then("no VM had more requests in a second than its processor time allows")
def step_processor(context):
    for (name, _), count in context.vms.by_second.items():
        most = 1000 * context.vms.capacities[name].processor_cores / PROCESSOR_MS
        assert count <= most, (name, count, most)


@when("each strong VM dies and starts again {time_s:d} seconds later, one after the other")
def step_restart(context, time_s):
    context.vms.reset()
    for name in STRONG_VMS:
        context.vms.kill([name])
        context.vms.run(time_s)
        context.vms.start(name, incarnation=2)
        context.vms.run(time_s)


@when("the strong VMs hear no others and no others hear them for {time_s:d} seconds")
def step_partition(context, time_s):
    context.vms.reset()
    for name in STRONG_VMS:
        context.vms.vms[name].group = 1
    context.vms.run(time_s)


@given("{strong:d} strong and {weak:d} weak VMs that start at once")
def step_readers(context, strong, weak):
    context.vms = UnevenFleet(strong, weak)


@then("the strong one reads the store, and another VM does when that has fallen silent")
def step_strong_reads(context):
    vms = context.vms
    vms.run(3, 0)
    assert vms.readers() > {"s-0"}, vms.readers()
    vms.kill(["s-0"])
    vms.run(3, 0)
    assert len(vms.readers()) == 2, vms.readers()


@given("strong and weak VMs of this version, and some that state no capacity")
def step_versions(context):
    kinds = {"strong": STRONG, "weak": WEAK, "older": VmCapacity()}
    context.kinds = {f"{kind}-{number}": kinds[kind] for kind in kinds for number in range(4)}


@then("of any two exactly one precedes the other")
def step_precedes(context):
    def precedes(one, other):
        table = members.Members(other, LOCAL, 0.0, context.kinds[other])
        capacity = context.kinds[one]
        stated = {"processor_cores": capacity.processor_cores, "link_mbps": capacity.link_mbps}
        table.record_heartbeat(replace(heartbeat(one), **stated), 0.0)
        return table._reader_rank(table.local_members()) == 1

    for one, other in combinations(context.kinds, 2):
        assert precedes(one, other) != precedes(other, one), (one, other)
        if {one[:-2], other[:-2]} == {"strong", "weak"}:
            assert precedes(one, other) == one.startswith("strong"), (one, other)


@given("a strong and {count:d} weak gateways in a data centre that counts as large")
def step_gateways(context, count):
    context.stack.enter_context(mock.patch.object(members, "LARGE_DATA_CENTER_VMS", 1))

    async def start():
        await fleet.start_fleet(context, backends=1, gateways=0)
        seeds = ()
        for number, capacity in enumerate((STRONG_GATEWAY, *[WEAK_GATEWAY] * count)):
            context.gateways.append(
                await fleet.start_gateway(context, f"vm-{number}", seed_addresses=seeds, **capacity)
            )
            seeds = (context.gateways[0][1].peer_address,)

    run(context, start())


async def directory_answer(settings):
    """Return the addresses that a gateway answers a caller."""
    answer = await fleet.call(settings.directory_address, "/")
    return set(answer.body.decode().split(","))


def wait_for_answers(context, size):
    """Wait until each gateway answers with `size` addresses; return ten answers of each."""

    async def wait():
        found = []
        async with asyncio.timeout(fleet.WAIT_S):
            for _, settings in context.gateways:
                while len(await directory_answer(settings)) != size:
                    await asyncio.sleep(0.05)
        for _, settings in context.gateways:
            found += [await directory_answer(settings) for _ in range(10)]
        return found

    return run(context, wait())


@then("each answers callers with the strong one and a weak one")
def step_strong_and_weak(context):
    first, *others = (settings.caller_address for _, settings in context.gateways)
    for answer in wait_for_answers(context, 2):
        assert first in answer and len(answer & set(others)) == 1, answer


@then("the metrics of the strong one say that it gets {share:g} of the callers")
def step_metrics(context, share):
    expected = {f"{PREFIX}vm_share {share:g}", f"{PREFIX}serving 1"}

    async def wait():
        while True:
            answer = await context.gateways[0][0]._serve_metrics(None)
            if expected <= set(answer.body.decode().splitlines()):
                return
            await asyncio.sleep(0.05)

    run(context, asyncio.wait_for(wait(), fleet.WAIT_S))


@when("the strong one dies")
def step_strong_dies(context):
    gateway, _ = context.gateways.pop(0)
    run(context, fleet.stop_gateway(gateway))


@when("a gateway starts that states no capacity")
def step_start_unstated(context):
    seeds = (context.gateways[0][1].peer_address,)
    started = fleet.start_gateway(context, "vm-9", seed_addresses=seeds)
    context.gateways.append(run(context, started))


@then("the others answer with all {count:d} that are left")
@then("the others answer with all {count:d}")
def step_all_left(context, count):
    expected = {settings.caller_address for _, settings in context.gateways}
    assert len(expected) == count
    for answer in wait_for_answers(context, count):
        assert answer == expected, answer
