"""Steps for several VMs of one service: owners, slot lending, home rotation and probes."""

from behave import given, then, when

from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.home_count import HomeCount, HomeDemand
from cloverhook.load_shedder import LoadShedder
from cloverhook.members import Member
from cloverhook.messages import SlotGrant, SlotRequest, SlotReturn, encode
from cloverhook.ownership import assign_owners
from cloverhook.routing_events import CallerDisconnected, HomesChanged, ProbeEnded, SendMessage
from cloverhook.steering import HomeRotation, answer_lifetime_ms
from features.decision_driver import RouterDriver, endpoints, typical_work

DATA_CENTERS = ("halfway-tree", "new-kingston", "papine")
HOMES = ("vm-0", "vm-1", "vm-2")
HOME_DATA_CENTERS = dict(zip(HOMES, DATA_CENTERS, strict=True))
SLOW = "10.0.0.0:80"


def spread_fleet(count=15, slots=4):
    return tuple(Endpoint(f"10.0.0.{i}:80", DATA_CENTERS[i % 3], slots) for i in range(count))


@given("homes in three data centres and 15 endpoints spread over them")
def step_homes(context):
    context.fleet = spread_fleet()


@then("every VM gives each endpoint the same owner, in its own data centre")
def step_same_owner(context):
    orders = (HOMES, HOMES[::-1], (HOMES[1], HOMES[2], HOMES[0]))
    results = [assign_owners(context.fleet, order, HOME_DATA_CENTERS) for order in orders]
    assert results[0] == results[1] == results[2]
    assert set(results[0]) == {endpoint.address for endpoint in context.fleet}
    for endpoint in context.fleet:
        assert HOME_DATA_CENTERS[results[0][endpoint.address]] == endpoint.data_center


@then("the owners' slots differ by at most a quarter")
def step_balanced(context):
    for homes in (HOMES, HOMES[:2], (*HOMES, "vm-3", "vm-4")):
        result = list(assign_owners(context.fleet, homes, HOME_DATA_CENTERS).values())
        counts = [result.count(vm) for vm in homes]
        assert max(counts) <= 1.25 * len(context.fleet) / len(homes) + 1, counts


@then("without one home its endpoints have other owners and the rest stay spread")
def step_without_one(context):
    owner_of = assign_owners(context.fleet, HOMES[:2], HOME_DATA_CENTERS)
    assert set(owner_of.values()) == set(HOMES[:2])
    assert len(owner_of) == len(context.fleet)


def homed(own, fleet, homes=HOMES[:1], **kwargs):
    driver = RouterDriver(fleet, **kwargs)
    driver.do(HomesChanged(own, homes, HOME_DATA_CENTERS))
    return driver


def deliver(drivers):
    """Deliver the messages between drivers until none are left."""
    while any(driver.sent_messages for driver in drivers.values()):
        for name, driver in drivers.items():
            actions, driver.sent_messages = driver.sent_messages, []
            for action in actions:
                if action.vm in drivers:
                    drivers[action.vm].receive(name, action.message)


@given("an owner and a VM that owns nothing")
def step_owner_and_other(context):
    fleet = endpoints(2)
    context.vms = {"vm-0": homed("vm-0", fleet), "vm-9": homed("vm-9", fleet)}
    context.owner, context.other = context.vms["vm-0"], context.vms["vm-9"]


def free_slots(driver):
    """Return how many requests the router would start now, and end all of them again."""
    ids = [driver.arrive() for _ in range(20)]
    started = [request_id for request_id in ids if request_id in driver.active_attempts]

    for request_id in set(ids) - set(started):
        driver.do(CallerDisconnected(request_id))
    for request_id in started:
        driver.end(request_id, latency_ms=20.0)
    driver.sent_messages.clear()
    return len(started)


@when("a request arrives at the VM that owns nothing")
def step_other_arrives(context):
    context.request_id = context.other.arrive()
    deliver(context.vms)


@then("it is started on a slot that the owner has lent")
def step_on_lent(context):
    assert context.request_id in context.other.active_attempts
    assert free_slots(context.owner) == 7


@then("after its end the owner has all its slots again")
def step_returned(context):
    for driver in context.vms.values():
        driver.now_ms += 20
    context.other.end(context.request_id)
    deliver(context.vms)
    assert free_slots(context.owner) == 8


@when("the owner lends 2 slots to each of two VMs and one slot is returned twice")
def step_returned_twice(context):
    for vm in ("vm-8", "vm-9"):
        context.owner.receive(vm, SlotRequest("brathwaite/booking", 1, 2, 5))
    grants = [action.message for action in context.owner.sent_messages]
    assert [len(grant.addresses) for grant in grants] == [2, 2]
    assert set(grants[0].addresses) == set(grants[1].addresses)
    assert free_slots(context.owner) == 4
    context.lent_addresses = grants[1].addresses[:1]
    message = SlotReturn("brathwaite/booking", context.lent_addresses, (0,))
    context.owner.receive("vm-9", message)
    context.owner.receive("vm-9", message)


@then("the owner has {count:d} slots")
def step_owner_has(context, count):
    assert free_slots(context.owner) == count


@then("the owner has all its slots again after {ms:d} ms")
def step_lease_expired(context, ms):
    context.owner.pass_time(ms)
    assert free_slots(context.owner) == 8


@then("a return that comes late changes nothing")
def step_late_return(context):
    message = SlotReturn("brathwaite/booking", context.lent_addresses, (0,))
    context.owner.receive("vm-9", message)
    context.owner.receive("vm-9", message)
    assert free_slots(context.owner) == 8


@given("a home whose requests wait and another home that has gone silent")
def step_silent(context):
    context.fleet = spread_fleet(6)
    context.driver = homed("vm-0", context.fleet, HOMES[:2])
    owner_of = assign_owners(context.fleet, HOMES[:2], HOME_DATA_CENTERS)
    context.other_home_addresses = {address for address, vm in owner_of.items() if vm == "vm-1"}
    for _ in range(40):
        context.driver.arrive()
    assert not context.other_home_addresses & set(context.driver.starts)


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
    assert context.other_home_addresses <= set(context.driver.starts)


@then("it hands them back when the other home speaks again")
def step_handed_back(context):
    driver = context.driver
    driver.receive("vm-1", SlotGrant("brathwaite/booking", ()))
    before = driver.starts.copy()
    driver.now_ms += 20
    for request_id in tuple(driver.active_attempts):
        driver.end(request_id)
    assert not context.other_home_addresses & set(driver.starts - before)


@given("a VM that owns nothing and may send {bytes_per_s:d} bytes a second")
def step_byte_limit(context, bytes_per_s):
    context.driver = homed("vm-9", spread_fleet(), HOMES, peer_bytes=bytes_per_s)


@when("100 requests a second arrive for 10 s and no owner ever has a slot")
def step_overload(context):
    driver = context.driver
    context.sent_bytes = 0
    for _ in range(1_000):
        driver.arrive()
        driver.pass_time(10)
        actions, driver.sent_messages = driver.sent_messages, []
        for action in actions:
            assert isinstance(action, SendMessage)
            context.sent_bytes += len(encode(action.message))
            driver.receive(action.vm, SlotGrant("brathwaite/booking", ()))
        for request_id in tuple(driver.active_attempts):
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
    owner_of = assign_owners(context.fleet, HOMES, HOME_DATA_CENTERS)
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
    driver = RouterDriver(endpoints(3))
    driver.run(200, 2.0, typical_work())
    driver.probes.clear()
    driver.run(6_000, 2.0, typical_work())
    assert not driver.probes


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


@then("of all services only those with a busy home get more homes")
def step_demand(context):
    demand = HomeDemand()
    least = {"one/calm": 3, "one/busy": 3, "two/busy": 2}
    busy = {"one/calm": 0.5, "one/busy": 0.8, "two/busy": 0.8}
    assert demand.update(least, busy, 15, 1.0) == least
    assert demand.active
    grown = {"one/calm": 3, "one/busy": 4, "two/busy": 3}
    assert demand.update(least, busy, 15, 1_500.0) == grown
    assert demand.update(least, busy, 3, 1_600.0) == least | {"two/busy": 3}
    calm = dict.fromkeys(least, 0.1)
    assert demand.update(least, calm, 15, 3_000.0) == grown
    assert demand.update(least, calm, 15, 32_000.0) == grown
    assert demand.update(least, calm, 15, 33_500.0) == least
    assert not demand.active


@given("3 homes that own 16, 12 and 12 slots")
def step_weights(context):
    context.members = [Member(vm, HOME_DATA_CENTERS[vm], "", "") for vm in HOMES]
    context.weights = dict(zip(HOMES, (16.0, 12.0, 12.0), strict=True))


@when("{count:d} callers ask one daemon")
def step_ask(context, count):
    order = HomeRotation()
    answers = [order.next_order("s", context.members, context.weights) for _ in range(count)]
    assert all({member.vm for member in answer} == set(HOMES) for answer in answers)
    context.first_vms = [answer[0].vm for answer in answers]


@then("the homes stand first in 160, 120 and 120 answers")
def step_firsts(context):
    assert [context.first_vms.count(vm) for vm in HOMES] == [160, 120, 120]


@then("answers are kept for less long while the homes have just changed")
def step_lifetime(context):
    assert answer_lifetime_ms(5_000, 1_000.0, 1_500.0) < 1_000
    assert answer_lifetime_ms(5_000, 1_000.0, 9_000.0) == 5_000
    assert answer_lifetime_ms(100, 1_000.0, 1_500.0) == 100


@given("a daemon whose event loop comes {late:d} ms late")
def step_loop_lag(context, late):
    context.load_shedder = LoadShedder()
    for _ in range(30):
        context.load_shedder.observe(float(late), 1.0)


@then("it refuses priority LOW and NORMAL, not HIGH")
def step_limit(context):
    rejected = [priority for priority in Priority if context.load_shedder.should_shed(priority)]
    assert rejected == [Priority.NORMAL, Priority.LOW]


@then("it takes all again once the loop is on time")
def step_on_time(context):
    for _ in range(30):
        context.load_shedder.observe(0.0, 0.2)
    assert not any(context.load_shedder.should_shed(priority) for priority in Priority)
