"""Steps that drive the routers of one service on a simulated clock."""

from behave import given, then, when

from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.routing_events import AttemptResult, CallerDisconnected, EndpointsChanged
from features.decision_driver import RouterDriver, endpoints, typical_work

SLOW_ADDRESS = "10.0.0.0:80"


@given("a router that owns {count:d} endpoints")
def step_router(context, count):
    context.driver = RouterDriver(endpoints(count))


@given("a router that owns {count:d} endpoints and has served for {ms:d} ms")
def step_served(context, count, ms):
    context.driver = RouterDriver(endpoints(count))
    context.every_ms = 20.0 / (count * 4 * 0.7)
    context.driver.run(ms, context.every_ms, typical_work())


@given("all slots are taken")
def step_taken(context):
    driver = context.driver
    context.slot_holders = []
    while not context.slot_holders or not driver.waiting(context.slot_holders[-1]):
        context.slot_holders.append(driver.arrive(Priority.HIGH))

    driver.do(CallerDisconnected(context.slot_holders.pop()))


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
    for slot_holder in context.slot_holders:
        driver.end(slot_holder)
    started = [
        request_id for request_id in driver.attempts if request_id not in context.slot_holders
    ]
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
    refused = context.driver.rejected
    assert not any(request_id in refused for request_id in context.high)
    assert sum(request_id in refused for request_id in context.low) >= 200
    assert context.driver.now_ms == 0.0


@then("the times to come back are spread and grow with the overload")
def step_spread(context):
    times = [rejection.retry_after_ms for rejection in context.driver.rejected.values()]
    assert len(set(times)) == len(times)
    early, late = times[:20], times[-20:]
    assert sum(late) > 2 * sum(early)
    assert max(late) > 1.5 * min(late)


@when("20 requests wait and one arrives with 50 ms left")
def step_short_timeout(context):
    for _ in range(20):
        context.driver.arrive()
    context.short_timeout_id = context.driver.arrive(timeout_ms=50.0)


@then("it is refused at once as overloaded")
def step_rejected_short_timeout(context):
    rejection = context.driver.rejected[context.short_timeout_id]
    assert rejection.kind.value == "overloaded"
    assert rejection.retry_after_ms > 0


@when("one endpoint becomes {factor:d} times slower for {ms:d} ms")
def step_slow(context, factor, ms):
    work = typical_work()
    context.before = context.driver.starts[SLOW_ADDRESS]
    slow = {SLOW_ADDRESS: float(factor)}
    context.driver.run(ms, context.every_ms, lambda a: work(a) * slow.get(a, 1.0))


@then("it gets at most {most:d} requests of {ms:d} ms")
def step_at_most(context, most, ms):
    started = context.driver.starts[SLOW_ADDRESS] - context.before
    assert started <= most, started


@then("{ms:d} ms after its recovery it gets its share again")
def step_share(context, ms):
    driver = context.driver
    driver.run(ms, context.every_ms, typical_work())
    before = driver.starts.copy()
    driver.run(500, context.every_ms, typical_work())
    started = driver.starts - before
    assert started[SLOW_ADDRESS] > 0.5 * sum(started.values()) / 5, started


@when("one endpoint answers errors after 1 ms for {ms:d} ms")
def step_failing(context, ms):
    work = typical_work()
    context.before = context.driver.starts[SLOW_ADDRESS]
    context.driver.run(
        ms,
        context.every_ms,
        lambda address: 1.0 if address == SLOW_ADDRESS else work(address),
        lambda a: AttemptResult.FAILED if a == SLOW_ADDRESS else AttemptResult.ANSWERED,
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
    driver.run(60, 1e9, typical_work())
    context.arrived_before = driver.arrived
    context.attempts_before = sum(driver.starts.values())
    driver.run(ms, context.every_ms, lambda a: 1.0, lambda a: AttemptResult.NOT_SENT)


@then("attempts per call are under 1.1 and refusals carry a time to come back")
def step_attempts(context):
    driver = context.driver
    calls = driver.arrived - context.arrived_before
    attempts = sum(driver.starts.values()) - context.attempts_before
    assert attempts / calls < 1.1, attempts / calls
    assert all(rejection.retry_after_ms > 0 for rejection in driver.rejected.values())


@then("99 of 100 refusals came within {ms:d} ms")
def step_refused_soon(context, ms):
    waits = sorted(context.driver.rejected_after_ms.values())
    assert waits[int(len(waits) * 0.99)] <= ms, waits[-5:]


@then("{ms:d} ms after the recovery 95 of 100 calls are answered")
def step_recovered(context, ms):
    driver = context.driver
    driver.run(ms, context.every_ms, typical_work())
    arrived, refused = driver.arrived, len(driver.rejected)
    driver.run(1_000, context.every_ms, typical_work())
    share = 1 - (len(driver.rejected) - refused) / (driver.arrived - arrived)
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
    assert context.ended not in context.driver.active_attempts


@then("it is started again")
def step_again(context):
    assert context.driver.attempts[context.ended] == 2


@when("{count:d} requests are refused by every backend server")
def step_all_refuse(context, count):
    driver = context.driver
    for _ in range(count):
        request_id = driver.arrive()
        driver.now_ms += 100
        while request_id in driver.active_attempts:
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
    assert context.ended in context.driver.rejected


@given("13 services that call each other in a chain whose last one always refuses")
def step_chain(context):
    context.chain = [RouterDriver(endpoints(9), seed=number) for number in range(13)]


def call_chain(chain, layer, attempt):
    """Call one layer of the chain. A layer reports the failure of the layer below as its own."""
    driver = chain[layer]
    request_id = driver.arrive(attempt=attempt)
    while request_id in driver.active_attempts:
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


@when("a third endpoint is added and {count:d} requests arrive")
def step_added(context, count):
    driver = context.driver
    driver.run(60, 1e9, typical_work())
    context.added_address = "10.0.0.2:80"
    driver.do(EndpointsChanged(endpoints(3), Policy()))
    for _ in range(count):
        driver.arrive()


@then("it gets {first:d} request at first and {later:d} at once after some answers")
def step_grows(context, first, later):
    driver = context.driver

    def in_flight():
        return sum(
            address == context.added_address for address, _ in driver.active_attempts.values()
        )

    assert in_flight() == first
    most = 0
    for _ in range(400):
        driver.run(1, 1.0, typical_work())
        most = max(most, in_flight())
    assert most == later


@when("the first endpoint is marked as leaving and its requests end")
def step_draining(context):
    driver = context.driver
    first, second = endpoints(2)
    draining = Endpoint(first.address, first.data_center, first.slots, leaving=True)
    driver.do(EndpointsChanged((draining, second), Policy()))
    context.before = driver.starts[first.address]
    for _ in range(20):
        driver.arrive()
    driver.run(500, 10.0, typical_work())


@then("no request starts there any more")
def step_none_there(context):
    assert context.driver.starts[SLOW_ADDRESS] == context.before


@when("{count:d} requests wait and the policy changes")
def step_switch(context, count):
    driver = context.driver
    context.ids = [driver.arrive() for _ in range(count)]
    driver.do(EndpointsChanged(endpoints(1), Policy(wait_limit_ms=500, home_vms=4)))


@then("all of them start in time")
def step_all_start(context):
    driver = context.driver
    driver.run(400, 1e9, typical_work())
    assert all(driver.attempts[request_id] == 1 for request_id in context.ids)
