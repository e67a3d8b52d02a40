"""Steps for circuit breakers, on endpoints whose reported health is wrong."""

import asyncio
import contextlib
import random

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import CapacityRequirement, WorkEstimates
from cloverhook.gateway.circuit_breaker import RECENT_ANSWER_MS, CircuitBreaker
from cloverhook.gateway.event_log import EventLog
from cloverhook.gateway.failure_updates import FailureUpdates
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import Links
from cloverhook.gateway.peer_messages import Failures
from features import gateway_fleet as fleet
from features.shared import run

FAILURE_MODES = {"resets": "reset", "answers 500": "error"}
WORK_MS = 50.0


@given("another gateway that hears it")
def step_other_gateway(context):
    async def start():
        other = await fleet.start_gateway(context, "vm-other")
        context.gateways.append(other)
        addresses = [settings.peer_address for _, settings in context.gateways]
        for gateway, _ in context.gateways:
            for address in addresses:
                gateway._peering.add_address(address)
        await fleet.until(lambda: all(len(item._members) == 1 for item, _ in context.gateways))
        await fleet.until(other[0]._is_ready)

    run(context, start())


@given("the first backend server {how} all it gets")
def step_fails(context, how):
    context.backends[0].default = FAILURE_MODES[how]


@given("the first backend server says that it is ill")
def step_ill(context):
    context.backends[0].unhealthy = True


async def call_all(context, count, path):
    """Send requests one after the other, to the gateways in turn."""
    context.statuses = []
    for number in range(count):
        _, settings = context.gateways[number % len(context.gateways)]
        answer = await fleet.call(settings.caller_address, path, request_id=f"r-{path}-{number}")
        context.statuses.append(answer.status)


@when("{count:d} callers read at once")
def step_read_at_once(context, count):
    async def read():
        address = context.gateways[0][1].caller_address
        calls = [fleet.call(address, request_id=f"r-{number}") for number in range(count)]
        context.statuses = [answer.status for answer in await asyncio.gather(*calls)]

    for backend in context.backends:
        backend.work_ms = 20.0
    run(context, read())


@when("callers read {count:d} times from both gateways by turns, and on until it has failed one")
def step_read(context, count):
    """Read until it is asked: open connections are preferred, so it may get no request at first."""
    run(context, call_all(context, count, fleet.SAFE))
    statuses = context.statuses
    while not context.backends[0].seen:
        run(context, call_all(context, count, fleet.SAFE))
        statuses = statuses + context.statuses
    context.statuses = statuses
    incarnation = context.backends[0].entry().incarnation
    breakers = [
        item._gateway_state.load_table.get_or_create(incarnation).circuit_breaker
        for item, _ in context.gateways
    ]
    run(context, fleet.until(lambda: all(breaker.needs_check for breaker in breakers)))


@when("callers write {count:d} times")
def step_write(context, count):
    run(context, call_all(context, count, fleet.UNSAFE))


@then("each of these answers is 200")
def step_all_good(context):
    assert context.statuses == [200] * len(context.statuses), context.statuses


@then("at most {count:d} requests went to the first backend server")
def step_few(context, count):
    assert len(context.backends[0].seen) <= count, len(context.backends[0].seen)


@then("at least {count:d} requests went to the first backend server")
def step_some(context, count):
    assert len(context.backends[0].seen) >= count, len(context.backends[0].seen)


def start_endpoints(context, count):
    """Register a number of endpoints of one service; the scenario sets the clock itself."""
    context.now_ms = 0.0
    context.gateway_state = GatewayState()
    registry = context.gateway_state.registry
    for number in range(count):
        entry = BackendServer(f"i-{number}", fleet.SERVICE, "10.0.0.1:80", "here", fleet.SLOTS)
        registry.apply(ServerRecord(entry.name, number, entry), 0.0, False)
    context.balancer = Balancer(
        registry, context.gateway_state.load_table, WorkEstimates(), "here", random.Random(3)
    )


def chosen(context, retryable):
    """Return the incarnation of the endpoint that is chosen for a request, or None."""
    choice = context.balancer.choose(
        fleet.SERVICE, WORK_MS, context.now_ms, (), CapacityRequirement.FREE_SLOT, retryable
    )
    return None if choice is None else choice.server.incarnation


@given("an endpoint that was suspended")
def step_suspended(context):
    # If nearly all endpoints of a service are suspended, all are used as if none were.  The three
    # others keep their circuit breakers closed, and are full so that none of them is chosen.
    start_endpoints(context, 4)
    context.loads = context.gateway_state.load_table
    for number in range(1, 4):
        context.loads.get_or_create(f"i-{number}").in_flight = fleet.SLOTS
    context.breaker = context.loads.get_or_create("i-0").circuit_breaker
    assert not context.breaker.record_failure(0.0, -5.0)
    # This request was already in flight when the first one failed.
    assert not context.breaker.record_failure(1.0, -5.0)
    assert context.breaker.record_failure(10.0, 5.0)


@then("it gets nothing for a second, and then one request that can be repeated")
def step_trial(context):
    for context.now_ms in range(10, 1_000, 50):
        assert chosen(context, True) is None and chosen(context, False) is None
    context.now_ms = 1_200.0
    assert chosen(context, False) is None
    assert chosen(context, True) == "i-0"
    context.loads.get_or_create("i-0").in_flight = 1
    assert chosen(context, True) is None


@then("without a request that can be repeated it gets one that can't within 2 s")
def step_late_trial(context):
    times = range(10, 2_000, 50)
    context.now_ms = next((at for at in times if chosen_at(context, at) is not None), None)
    assert context.now_ms is not None, "it is not tried"
    assert context.now_ms > 1_010, context.now_ms
    context.loads.get_or_create("i-0").in_flight = 1
    assert chosen(context, False) is None


def chosen_at(context, now_ms):
    """Return the endpoint for a request that can't be repeated at a given time, or None."""
    context.now_ms = now_ms
    return chosen(context, False)


@when("each trial with a request that can't be repeated fails for a minute")
def step_unsafe_trials_fail(context):
    context.trials = 0
    for now_ms in range(10, 60_000, 20):
        if chosen_at(context, now_ms) is not None:
            context.trials += 1
            context.breaker.record_failure(now_ms + 5.0, now_ms)


@when("another endpoint has room")
def step_room(context):
    context.loads.get_or_create("i-1").in_flight = 0


@then("a request that can't be repeated goes there at any time")
def step_elsewhere(context):
    assert {chosen_at(context, at) for at in range(10, 12_000, 100)} == {"i-1"}


@when("that one is answered well")
def step_answered(context):
    context.loads.get_or_create("i-0").in_flight = 0
    context.breaker.record_answer(context.now_ms)


@then("it gets any request")
def step_trusted(context):
    assert chosen(context, True) == chosen(context, False) == "i-0"


@when("each trial fails for a minute")
def step_trials_fail(context):
    context.trials = 0
    for context.now_ms in range(10, 60_000, 20):
        if chosen(context, True) is not None:
            context.trials += 1
            context.breaker.record_failure(context.now_ms + 5.0, context.now_ms)


@then("it was tried {low:d} to {high:d} times")
def step_tried(context, low, high):
    assert low <= context.trials <= high, context.trials


@given("{count:d} endpoints that one VM says have all failed twice")
def step_accused(context, count):
    start_endpoints(context, count)
    known = context.gateway_state
    links = Links(known.registry, known.load_table)
    updates = FailureUpdates("vm-0", None, known, EventLog("vm-0", len), links)
    for number in range(count):
        for now_ms in (10.0, 20.0):
            updates.received(Failures("vm-1", [[f"i-{number}", 5.0, False]]), now_ms)
    context.now_ms = 30.0


@then("at most {count:d} of them are suspended")
def step_few_suspended(context, count):
    loads, servers = context.gateway_state.load_table, context.gateway_state.registry.servers()
    breakers = [loads.get_or_create(server.incarnation).circuit_breaker for server in servers]
    suspended = sum(1 for breaker in breakers if breaker.is_suspended(context.now_ms))
    assert 1 <= suspended <= count, suspended


@given("{count:d} endpoints of which {suspended:d} are suspended")
def step_many_suspended(context, count, suspended):
    start_endpoints(context, count)
    for number in range(suspended):
        breaker: CircuitBreaker = context.gateway_state.load_table.get_or_create(
            f"i-{number}"
        ).circuit_breaker
        breaker.record_failure(0.0, -5.0)
        breaker.record_failure(5.0, 1.0)
    context.now_ms = 10.0


@then("requests go to more than {count:d} of them")
def step_panic(context, count):
    assert len({chosen(context, True) for _ in range(100)}) > count


@given(
    "{vms:d} VMs that together send an endpoint {rate:d} requests a second, of which it loses "
    "{lost:d} in 100"
)
def step_lossy(context, vms, rate, lost):
    context.lossy = vms, rate, lost / 100


@then("a VM holds it for suspended at most {limit:g} of ten minutes")
def step_hardly_suspended(context, limit):
    vms, rate, lost = context.lossy
    rng = random.Random(11)
    breakers = [CircuitBreaker() for _ in range(vms)]
    now_ms, suspended_ms = 0.0, 0.0
    while now_ms < 600_000.0:
        step_ms = rng.expovariate(rate) * 1_000
        now_ms += step_ms
        suspended_ms += step_ms if breakers[0].is_suspended(now_ms) else 0.0
        sender = rng.choice(breakers)
        if sender.is_suspended(now_ms):
            continue
        if rng.random() >= lost:
            sender.record_answer(now_ms)
            continue
        answered = sender.answered_since(now_ms - RECENT_ANSWER_MS)
        sender.record_failure(now_ms, now_ms - 1.0)
        for breaker in breakers:
            if breaker is not sender:
                breaker.record_peer_failure(now_ms, now_ms - 1.0, answered)
    assert suspended_ms <= limit * now_ms, suspended_ms / now_ms


@given("2 gateways and 2 backend servers of which one turns every second request away")
def step_sheds(context):
    async def start():
        await fleet.start_fleet(context, backends=2, gateways=2)
        context.shedding = context.backends[0]
        context.shedding.script = ["ok", "reject"] * 400
        await fleet.until(
            lambda: all(len(item[0]._members.all()) == 1 for item in context.gateways)
        )

    run(context, start())


@when("one gateway has sent it 40 requests")
def step_sends_to_shedding(context):
    async def send():
        _, settings = context.gateways[0]
        for backend in context.backends:
            backend.work_ms = 20.0  # Long enough that both are needed.
        for _ in range(100):
            calls = [fleet.call(settings.caller_address, request_id=f"r-{n}") for n in range(6)]
            await asyncio.gather(*calls)
            if len(context.shedding.seen) >= 40:
                return
        raise AssertionError(len(context.shedding.seen))

    run(context, send())


@then("both gateways know that it turns away between {least:g} and {most:g} of what it gets")
def step_refusal_share(context, least, most):
    def shares():
        load_tables = [gateway._gateway_state.load_table for gateway, _ in context.gateways]
        name = context.shedding.incarnation
        return [loads.get_or_create(name).refusal_share(monotonic_ms()) for loads in load_tables]

    run(context, fleet.until(lambda: all(least <= share <= most for share in shares())))


@then("it is not suspended")
def step_not_suspended(context):
    for gateway, _ in context.gateways:
        breaker = gateway._gateway_state.load_table.get_or_create(
            context.shedding.incarnation
        ).circuit_breaker
        assert not breaker.is_suspended(monotonic_ms())


@given(
    "1 gateways and 2 backend servers of which one turns all away and one works 60 times as long"
)
def step_slow_and_shedding(context):
    async def start():
        await fleet.start_fleet(context, backends=2, gateways=1)
        context.shedding, context.slow = context.backends
        context.shedding.default = "reject"
        context.slow.slowdown_percent = 6_000
        loads = context.gateways[0][0]._gateway_state.load_table
        await fleet.until(
            lambda: loads.get_or_create(context.slow.incarnation).slowdown(monotonic_ms()) == 60.0
        )

    run(context, start())


@when("a request that the first one gets has been turned away")
def step_turned_away(context):
    _, settings = context.gateways[0]
    context.answer = run(context, fleet.call(settings.caller_address))


@then("it is refused at once, and the slow one has not been asked")
def step_not_asked(context):
    assert context.answer.status == 503 and context.answer.body == b"refused", context.answer
    assert len(context.shedding.seen) == 1 and not context.slow.seen


@when("its endpoints have taken nearly as long as the timeout of the route for each of 50 writes")
def step_slow_writes(context):
    forwarder = context.gateways[0][0]._forwarder
    choice = forwarder._balancer.choose(fleet.SERVICE, 1.0, monotonic_ms())
    for _ in range(50):
        forwarder._estimates.record_latency("write", 1_000.0, 1_900.0, choice)


@then("writes that come one after the other are all answered 200 in the end")
def step_writes_served(context):
    async def play():
        address, statuses = context.gateways[0][1].caller_address, []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(fleet.WAIT_S):
                while statuses[-20:].count(200) < 20:
                    name = f"w-{len(statuses)}"
                    answer = await fleet.call(address, fleet.UNSAFE, "POST", name, body=b"pay")
                    statuses.append(answer.status)
                    await asyncio.sleep(0.02)
        return statuses

    statuses = run(context, play())
    assert statuses[-20:].count(200) == 20, f"{statuses.count(200)} of {len(statuses)}"
