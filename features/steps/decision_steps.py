"""Steps that drive the routers of one service on a clock of their own."""

import random

from behave import given, then, when

from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.home_count import HomeCount, HomeCounts
from cloverhook.members import Member
from cloverhook.messages import SlotAsk, SlotGrant, SlotReturn, encode
from cloverhook.own_limit import OwnLimit
from cloverhook.ownership import owners
from cloverhook.routing import (
    AttemptResult,
    CallerGone,
    EndpointsChanged,
    HomesChanged,
    ProbeEnded,
    Tell,
)
from cloverhook.steering import AnswerOrder, answer_lifetime_ms
from features.decision_driver import Driver, endpoints

CENTERS = ("halfway-tree", "new-kingston", "papine")
HOMES = ("vm-0", "vm-1", "vm-2")
HOME_CENTERS = dict(zip(HOMES, CENTERS, strict=True))
SLOW = "10.0.0.0:80"


def usual_work(seed=7):
    source = random.Random(seed)
    return lambda address: 20.0 * source.uniform(0.6, 1.4)


def spread_fleet(count=15, slots=4):
    return tuple(Endpoint(f"10.0.0.{i}:80", CENTERS[i % 3], slots) for i in range(count))


@given("homes in three data centres and 15 endpoints spread over them")
def step_homes(context):
    context.fleet = spread_fleet()


@then("every VM gives each endpoint the same owner, in its own data centre")
def step_same_owner(context):
    orders = (HOMES, HOMES[::-1], (HOMES[1], HOMES[2], HOMES[0]))
    results = [owners(context.fleet, order, HOME_CENTERS) for order in orders]
    assert results[0] == results[1] == results[2]
    assert set(results[0]) == {endpoint.address for endpoint in context.fleet}
    for endpoint in context.fleet:
        assert HOME_CENTERS[results[0][endpoint.address]] == endpoint.data_center


@then("the owners' slots differ by at most a quarter")
def step_balanced(context):
    for homes in (HOMES, HOMES[:2], (*HOMES, "vm-3", "vm-4")):
        result = list(owners(context.fleet, homes, HOME_CENTERS).values())
        counts = [result.count(vm) for vm in homes]
        assert max(counts) <= 1.25 * len(context.fleet) / len(homes) + 1, counts


@then("without one home its endpoints have other owners and the rest stay spread")
def step_without_one(context):
    left = owners(context.fleet, HOMES[:2], HOME_CENTERS)
    assert set(left.values()) == set(HOMES[:2])
    assert len(left) == len(context.fleet)


@given("a router that owns {count:d} endpoints")
def step_router(context, count):
    context.driver = Driver(endpoints(count))


@given("a router that owns {count:d} endpoints and has served for {ms:d} ms")
def step_served(context, count, ms):
    context.driver = Driver(endpoints(count))
    context.every_ms = 20.0 / (count * 4 * 0.7)
    context.driver.run(ms, context.every_ms, usual_work())


@given("all slots are taken")
def step_taken(context):
    driver = context.driver
    context.holders = []
    while not context.holders or not driver.waiting(context.holders[-1]):
        context.holders.append(driver.arrive(Priority.HIGH))

    driver.do(CallerGone(context.holders.pop()))


@when("{count:d} requests arrive at once")
def step_arrive(context, count):
    context.ids = [context.driver.arrive() for _ in range(count)]


@then("{count:d} have started and no endpoint has more than {slots:d}")
def step_started(context, count, slots):
    starts = context.driver.starts
    assert sum(starts.values()) == count
    assert max(starts.values()) <= slots


@then("{count:d} wait in the VM")
def step_wait(context, count):
    assert sum(map(context.driver.waiting, context.ids)) == count


@when("requests of priority {names} wait")
def step_priorities_wait(context, names):
    context.order = [(context.driver.arrive(Priority[name]), name) for name in names.split(", ")]


@then("they start in the order {names}")
def step_order(context, names):
    driver = context.driver
    driver.now_ms += 20
    for holder in context.holders:
        driver.end(holder)
    started = [request_id for request_id in driver.attempts if request_id not in context.holders]
    name_of = dict(context.order)
    assert [name_of[request_id] for request_id in started] == names.split(", ")
    high = [request_id for request_id, name in context.order if name == "HIGH"]
    assert started[:2] == high


@when("{low:d} requests of priority LOW arrive and then {high:d} of priority HIGH")
def step_overload(context, low, high):
    driver = context.driver
    context.low = [driver.arrive(Priority.LOW) for _ in range(low)]
    context.high = [driver.arrive(Priority.HIGH) for _ in range(high)]


@then("no request of priority HIGH was refused and those of priority LOW were, without delay")
def step_low_first(context):
    refused = context.driver.refused
    assert not any(request_id in refused for request_id in context.high)
    assert sum(request_id in refused for request_id in context.low) >= 200
    assert context.driver.now_ms == 0.0


@then("the times to come back are spread and grow with the overload")
def step_spread(context):
    times = [refuse.retry_after_ms for refuse in context.driver.refused.values()]
    assert len(set(times)) == len(times)
    early, late = times[:20], times[-20:]
    assert sum(late) > 2 * sum(early)
    assert max(late) > 1.5 * min(late)


@when("20 requests wait and one arrives with 50 ms left")
def step_tight(context):
    for _ in range(20):
        context.driver.arrive()
    context.tight = context.driver.arrive(timeout_ms=50.0)


@then("it is refused at once as overloaded")
def step_refused_tight(context):
    refuse = context.driver.refused[context.tight]
    assert refuse.kind.value == "overloaded"
    assert refuse.retry_after_ms > 0


@when("one endpoint becomes {factor:d} times slower for {ms:d} ms")
def step_slow(context, factor, ms):
    work = usual_work()
    context.before = context.driver.starts[SLOW]
    slow = {SLOW: float(factor)}
    context.driver.run(ms, context.every_ms, lambda a: work(a) * slow.get(a, 1.0))


@then("it gets at most {most:d} requests of {ms:d} ms")
def step_at_most(context, most, ms):
    got = context.driver.starts[SLOW] - context.before
    assert got <= most, got


@then("{ms:d} ms after its recovery it gets its share again")
def step_share(context, ms):
    driver = context.driver
    driver.run(ms, context.every_ms, usual_work())
    before = driver.starts.copy()
    driver.run(500, context.every_ms, usual_work())
    got = driver.starts - before
    assert got[SLOW] > 0.5 * sum(got.values()) / 5, got


@when("one endpoint answers errors after 1 ms for {ms:d} ms")
def step_failing(context, ms):
    work = usual_work()
    context.before = context.driver.starts[SLOW]
    context.driver.run(
        ms,
        context.every_ms,
        lambda address: 1.0 if address == SLOW else work(address),
        lambda a: AttemptResult.FAILED if a == SLOW else AttemptResult.ANSWERED,
    )


@when("every endpoint answers errors after 20 ms for {ms:d} ms")
def step_all_failing(context, ms):
    context.driver.run(
        ms, context.every_ms, lambda address: 20.0, lambda address: AttemptResult.FAILED
    )


@then("at least {count:d} endpoints still get requests")
def step_still_used(context, count):
    driver = context.driver
    before = driver.starts.copy()
    driver.run(100, context.every_ms, lambda a: 20.0, lambda a: AttemptResult.FAILED)
    used = driver.starts - before
    assert len(used) >= count, used


@when("no endpoint can be reached for {ms:d} ms")
def step_down(context, ms):
    driver = context.driver
    driver.run(60, 1e9, usual_work())
    context.arrived_before = driver.arrived
    context.attempts_before = sum(driver.starts.values())
    driver.run(ms, context.every_ms, lambda a: 1.0, lambda a: AttemptResult.NOT_SENT)


@then("attempts per call are under 1.1 and refusals carry a time to come back")
def step_attempts(context):
    driver = context.driver
    calls = driver.arrived - context.arrived_before
    attempts = sum(driver.starts.values()) - context.attempts_before
    assert attempts / calls < 1.1, attempts / calls
    assert all(refuse.retry_after_ms > 0 for refuse in driver.refused.values())


@then("99 of 100 refusals came within {ms:d} ms")
def step_refused_soon(context, ms):
    waits = sorted(context.driver.refused_after_ms.values())
    assert waits[int(len(waits) * 0.99)] <= ms, waits[-5:]


@then("{ms:d} ms after the recovery 95 of 100 calls are answered")
def step_recovered(context, ms):
    driver = context.driver
    driver.run(ms, context.every_ms, usual_work())
    arrived, refused = driver.arrived, len(driver.refused)
    driver.run(1_000, context.every_ms, usual_work())
    share = 1 - (len(driver.refused) - refused) / (driver.arrived - arrived)
    assert share >= 0.95, share


@when("a request that is not idempotent ends as {result}")
def step_not_idempotent(context, result):
    driver = context.driver
    context.ended = driver.arrive(idempotent=False)
    driver.now_ms += 20
    driver.end(context.ended, AttemptResult[result])


@then("it is not run again")
def step_not_again(context):
    assert context.driver.attempts[context.ended] == 1
    assert context.ended not in context.driver.open


@then("it is started again")
def step_again(context):
    assert context.driver.attempts[context.ended] == 2


@when("{count:d} requests are refused by every backend server")
def step_all_refuse(context, count):
    driver = context.driver
    for _ in range(count):
        request_id = driver.arrive()
        driver.now_ms += 100
        while request_id in driver.open:
            driver.end(request_id, AttemptResult.REFUSED)
        driver.pass_time(10)


@then("there are at most {count:d} retries")
def step_retries(context, count):
    retries = sum(attempts - 1 for attempts in context.driver.attempts.values())
    assert 0 < retries <= count, retries


@when("a request on its second attempt is refused by the backend server")
def step_second_attempt(context):
    driver = context.driver
    context.ended = driver.arrive(attempt=2)
    driver.now_ms += 20
    driver.end(context.ended, AttemptResult.REFUSED)


@then("it is refused without another attempt")
def step_no_second(context):
    assert context.driver.attempts[context.ended] == 1
    assert context.ended in context.driver.refused


@given("13 services that call each other in a chain whose last one always refuses")
def step_chain(context):
    context.chain = [Driver(endpoints(9), seed=number) for number in range(13)]


def call_chain(chain, layer, attempt):
    """Call a layer; a layer whose lower one has given up passes that on as its own failure."""
    driver = chain[layer]
    request_id = driver.arrive(attempt=attempt)
    while request_id in driver.open:
        driver.now_ms += 100
        if layer + 1 < len(chain):
            call_chain(chain, layer + 1, max(attempt, driver.attempts[request_id]))
            driver.end(request_id, AttemptResult.FAILED)
        else:
            driver.end(request_id, AttemptResult.REFUSED)
        driver.pass_time(10)


@when("{count:d} calls go through the chain")
def step_call_chain(context, count):
    context.count = count
    for _ in range(count):
        call_chain(context.chain, 0, 1)


@then("the last service sees at most 1.1 attempts a call and {spare:d} more")
def step_chain_attempts(context, spare):
    attempts = sum(context.chain[-1].starts.values())
    assert attempts <= 1.1 * context.count + spare, attempts


def homed(own, fleet, homes=HOMES[:1], **kwargs):
    driver = Driver(fleet, **kwargs)
    driver.do(HomesChanged(own, homes, HOME_CENTERS))
    return driver


def deliver(drivers):
    """Pass on the messages between drivers until there are none."""
    while any(driver.told for driver in drivers.values()):
        for name, driver in drivers.items():
            told, driver.told = driver.told, []
            for tell in told:
                if tell.vm in drivers:
                    drivers[tell.vm].hear(name, tell.message)


@given("an owner and a VM that owns nothing")
def step_owner_and_other(context):
    fleet = endpoints(2)
    context.vms = {"vm-0": homed("vm-0", fleet), "vm-9": homed("vm-9", fleet)}
    context.owner, context.other = context.vms["vm-0"], context.vms["vm-9"]


def free_slots(driver):
    """Return how many requests the router starts at once now, and end them again."""
    ids = [driver.arrive() for _ in range(20)]
    started = [request_id for request_id in ids if request_id in driver.open]

    for request_id in set(ids) - set(started):
        driver.do(CallerGone(request_id))
    for request_id in started:
        driver.end(request_id, latency_ms=20.0)
    driver.told.clear()
    return len(started)


@when("a request arrives at the VM that owns nothing")
def step_other_arrives(context):
    context.request = context.other.arrive()
    deliver(context.vms)


@then("it is started on a slot that the owner has lent")
def step_on_lent(context):
    assert context.request in context.other.open
    assert free_slots(context.owner) == 7


@then("after its end the owner has all its slots again")
def step_returned(context):
    for driver in context.vms.values():
        driver.now_ms += 20
    context.other.end(context.request)
    deliver(context.vms)
    assert free_slots(context.owner) == 8


@when("the owner lends 2 slots to each of two VMs and one slot is returned twice")
def step_returned_twice(context):
    for vm in ("vm-8", "vm-9"):
        context.owner.hear(vm, SlotAsk("brathwaite/booking", 1, 2, 5))
    grants = [tell.message for tell in context.owner.told]
    assert [len(grant.addresses) for grant in grants] == [2, 2]
    assert set(grants[0].addresses) == set(grants[1].addresses)
    assert free_slots(context.owner) == 4
    context.lent = grants[1].addresses[:1]
    message = SlotReturn("brathwaite/booking", context.lent, (0,))
    context.owner.hear("vm-9", message)
    context.owner.hear("vm-9", message)


@then("the owner has {count:d} slots")
def step_owner_has(context, count):
    assert free_slots(context.owner) == count


@then("the owner has all its slots again after {ms:d} ms")
def step_lapsed(context, ms):
    context.owner.pass_time(ms)
    assert free_slots(context.owner) == 8


@then("a return that comes late changes nothing")
def step_late_return(context):
    message = SlotReturn("brathwaite/booking", context.lent, (0,))
    context.owner.hear("vm-9", message)
    context.owner.hear("vm-9", message)
    assert free_slots(context.owner) == 8


@given("a home whose requests wait and another home that has gone silent")
def step_silent(context):
    context.fleet = spread_fleet(6)
    context.driver = homed("vm-0", context.fleet, HOMES[:2])
    owner_of = owners(context.fleet, HOMES[:2], HOME_CENTERS)
    context.theirs = {address for address, vm in owner_of.items() if vm == "vm-1"}
    for _ in range(40):
        context.driver.arrive()
    assert not context.theirs & set(context.driver.starts)


@when("{ms:d} ms pass")
def step_pass(context, ms):
    drivers = getattr(context, "homes", None) or {"": context.driver}
    for driver in drivers.values():
        while driver.now_ms < ms:
            driver.pass_time(10)
            for at_ms, address in driver.probes:
                if at_ms == driver.now_ms:
                    driver.do(ProbeEnded(address, 0, 6.0))


@then("the first home starts requests at the other's endpoints")
def step_taken_over(context):
    assert context.theirs <= set(context.driver.starts)


@then("it hands them back when the other home speaks again")
def step_handed_back(context):
    driver = context.driver
    driver.hear("vm-1", SlotGrant("brathwaite/booking", ()))
    before = driver.starts.copy()
    driver.now_ms += 20
    for request_id in tuple(driver.open):
        driver.end(request_id)
    assert not context.theirs & set(driver.starts - before)


@given("a VM that owns nothing and may send {bytes_per_s:d} bytes a second")
def step_few_bytes(context, bytes_per_s):
    context.driver = homed("vm-9", spread_fleet(), HOMES, peer_bytes=bytes_per_s)


@when("100 requests a second arrive for 10 s and no owner ever has a slot")
def step_storm(context):
    driver = context.driver
    context.sent_bytes = 0
    for _ in range(1_000):
        driver.arrive()
        driver.pass_time(10)
        told, driver.told = driver.told, []
        for tell in told:
            assert isinstance(tell, Tell)
            context.sent_bytes += len(encode(tell.message))
            driver.hear(tell.vm, SlotGrant("brathwaite/booking", ()))
        for request_id in tuple(driver.open):
            driver.end(request_id, latency_ms=20.0)


@then("it has sent at most {most:d} bytes")
def step_sent(context, most):
    assert 0 < context.sent_bytes <= most, context.sent_bytes


@then("requests were started without an owner")
def step_without_owner(context):
    assert context.driver.starts


@given("3 homes with 15 idle endpoints and a budget of {budget:d} ms a second")
def step_budget(context, budget):
    context.fleet = spread_fleet()
    policy = Policy(measuring_ms_per_s=float(budget))
    context.budget_ms = budget
    context.homes = {vm: homed(vm, context.fleet, HOMES, policy=policy) for vm in HOMES}


@then("every endpoint was probed by its owner only")
def step_one_prober(context):
    owner_of = owners(context.fleet, HOMES, HOME_CENTERS)
    probed = {(vm, a) for vm, driver in context.homes.items() for _, a in driver.probes}
    assert probed == {(vm, address) for address, vm in owner_of.items()}


@then("no second of probing cost more than 60 ms")
def step_within_budget(context):
    times = sorted(t for driver in context.homes.values() for t, _ in driver.probes)
    for start in times:
        cost_ms = 7.0 * sum(start <= t < start + 1_000 for t in times)
        assert cost_ms <= context.budget_ms, cost_ms


@then("a router that serves requests at all its endpoints sends no probe")
def step_no_probe(context):
    driver = Driver(endpoints(3))
    driver.run(200, 2.0, usual_work())
    driver.probes.clear()
    driver.run(6_000, 2.0, usual_work())
    assert not driver.probes


@when("a third endpoint is added and {count:d} requests arrive")
def step_added(context, count):
    driver = context.driver
    driver.run(60, 1e9, usual_work())
    context.new = "10.0.0.2:80"
    driver.do(EndpointsChanged(endpoints(3), Policy()))
    for _ in range(count):
        driver.arrive()


@then("it gets {first:d} request at first and {later:d} at once after some answers")
def step_grows(context, first, later):
    driver = context.driver

    def in_flight():
        return sum(address == context.new for address, _ in driver.open.values())

    assert in_flight() == first
    most = 0
    for _ in range(400):
        driver.run(1, 1.0, usual_work())
        most = max(most, in_flight())
    assert most == later


@when("the first endpoint is marked as leaving and its requests end")
def step_leaving(context):
    driver = context.driver
    first, second = endpoints(2)
    leaving = Endpoint(first.address, first.data_center, first.slots, leaving=True)
    driver.do(EndpointsChanged((leaving, second), Policy()))
    context.before = driver.starts[first.address]
    for _ in range(20):
        driver.arrive()
    driver.run(500, 10.0, usual_work())


@then("no request starts there any more")
def step_none_there(context):
    assert context.driver.starts[SLOW] == context.before


@when("{count:d} requests wait and the policy changes")
def step_switch(context, count):
    driver = context.driver
    context.ids = [driver.arrive() for _ in range(count)]
    driver.do(EndpointsChanged(endpoints(1), Policy(wait_limit_ms=500, home_vms=4)))


@then("all of them start in time")
def step_all_start(context):
    driver = context.driver
    driver.run(400, 1e9, usual_work())
    assert all(driver.attempts[request_id] == 1 for request_id in context.ids)


@given("a service with 3 homes")
def step_three(context):
    context.count = HomeCount(3)


@then("at 70 percent load it wants 4 homes after a second")
def step_grow(context):
    count = context.count
    assert [count.observe(0.7, 3, t) for t in (1.0, 500.0, 900.0)] == [3, 3, 3]
    assert count.observe(0.7, 3, 1_001.0) == 4


@then("at 30 percent load it wants 3 again only after 30 seconds")
def step_shrink(context):
    count = context.count
    assert count.observe(0.25, 3, 2_000.0) == 4
    assert count.observe(0.25, 3, 31_000.0) == 4
    assert count.observe(0.25, 3, 32_001.0) == 3
    assert count.observe(0.25, 3, 92_001.0) == 3


@then("the largest number said lately is in force")
def step_largest(context):
    counts = HomeCounts()
    counts.said("vm-0", 5, 0.0)
    counts.said("vm-1", 4, 6_000.0)
    assert counts.in_force(3, 9_000.0) == 5
    assert counts.in_force(3, 11_000.0) == 4
    assert counts.in_force(3, 20_000.0) == 3


@given("3 homes that own 16, 12 and 12 slots")
def step_weights(context):
    context.members = [Member(vm, HOME_CENTERS[vm], "", "") for vm in HOMES]
    context.weights = dict(zip(HOMES, (16.0, 12.0, 12.0), strict=True))


@when("{count:d} callers ask one daemon")
def step_ask(context, count):
    order = AnswerOrder()
    answers = [order.next("s", context.members, context.weights) for _ in range(count)]
    assert all({member.vm for member in answer} == set(HOMES) for answer in answers)
    context.firsts = [answer[0].vm for answer in answers]


@then("the homes stand first in 160, 120 and 120 answers")
def step_firsts(context):
    assert [context.firsts.count(vm) for vm in HOMES] == [160, 120, 120]


@then("answers are kept for less long while the homes have just changed")
def step_lifetime(context):
    assert answer_lifetime_ms(5_000, 1_000.0, 1_500.0) < 1_000
    assert answer_lifetime_ms(5_000, 1_000.0, 9_000.0) == 5_000
    assert answer_lifetime_ms(100, 1_000.0, 1_500.0) == 100


@given("a daemon whose event loop comes {late:d} ms late")
def step_late(context, late):
    context.limit = OwnLimit()
    for _ in range(30):
        context.limit.observe(float(late), 1.0)


@then("it refuses priority LOW and NORMAL, not HIGH")
def step_limit(context):
    refused = [priority for priority in Priority if context.limit.refuses(priority)]
    assert refused == [Priority.NORMAL, Priority.LOW]


@then("it takes all again once the loop is on time")
def step_on_time(context):
    for _ in range(30):
        context.limit.observe(0.0, 0.2)
    assert not any(context.limit.refuses(priority) for priority in Priority)
