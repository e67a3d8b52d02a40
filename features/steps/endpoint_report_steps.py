"""Steps for what backend servers say of themselves in their answers to cloverhookd."""

from behave import given, then, when

from cloverhook.messages import SlotGrant, SlotReturn
from cloverhook.routing_events import (
    AttemptEnded,
    AttemptResult,
    DrainReported,
    HomesChanged,
    Probe,
    SendMessage,
    Tick,
)
from features.decision_driver import RouterDriver, endpoints

SERVICE = "brathwaite/booking"
OWNER = "vm-1"
OWN_VM = "vm-9"
NO_BYTES = 1
PROBE_TICKS = 200
TICK_MS = 10.0


@given("a VM that owns none of {count:d} endpoints and can't ask for slots")
def step_unowned(context, count):
    context.driver = RouterDriver(endpoints(count), peer_bytes=NO_BYTES)
    context.driver.do(HomesChanged(OWN_VM, (OWNER,)))


@when("answers of both say that they are draining")
def step_draining(context):
    driver = context.driver
    requests = [driver.arrive(), driver.arrive()]
    for item, request in zip(endpoints(2), requests, strict=True):
        driver.do(DrainReported(item.address))
        address, _ = driver.active_attempts.pop(request)
        driver.do(AttemptEnded(request, address, AttemptResult.ANSWERED, 1.0))


@then("requests start at neither of them")
def step_no_start(context):
    before = sum(context.driver.starts.values())
    for _ in range(5):
        context.driver.arrive()
    assert sum(context.driver.starts.values()) == before, context.driver.starts


@then("{time_s:d} s later, without a further such answer, they do again")
def step_again(context, time_s):
    context.driver.now_ms += time_s * 1_000.0  # Without ticks, the owner stays responsive.
    before = sum(context.driver.starts.values())
    context.driver.arrive()
    assert sum(context.driver.starts.values()) > before


@given("a VM that uses a borrowed slot of an endpoint")
def step_borrowed(context):
    context.driver = driver = RouterDriver(endpoints(1))
    driver.do(HomesChanged(OWN_VM, (OWNER,)))
    context.request = driver.arrive()
    (context.address,) = [item.address for item in endpoints(1)]
    driver.receive(OWNER, SlotGrant(SERVICE, (context.address,), True))
    assert context.request in driver.active_attempts
    context.sent = len(driver.sent_messages)


@when("the head of the answer says that the endpoint is draining, and the answer ends later")
def step_head(context):
    driver = context.driver
    driver.do(DrainReported(context.address))
    driver.now_ms += 5.0
    driver.end(context.request)


def returned(driver, first):
    """Return the returns of slots among the messages from the given one on."""
    messages = [item.message for item in driver.sent_messages[first:]]
    return [item for item in messages if isinstance(item, SlotReturn)]


@then("the slot is returned, and further requests don't start there")
def step_returned(context):
    driver = context.driver
    (context.returned,) = returned(driver, context.sent)
    assert context.returned.addresses == (context.address,)
    before = driver.starts[context.address]
    driver.arrive()
    assert driver.starts[context.address] == before


@then("a slot of it that is granted again is returned too")
def step_granted_again(context):
    driver = context.driver
    first, before = len(driver.sent_messages), driver.starts[context.address]
    driver.receive(OWNER, SlotGrant(SERVICE, (context.address,), True))
    assert len(returned(driver, first)) == 1 and driver.starts[context.address] == before


@then("the owner that gets it back probes the health of the endpoint")
def step_owner_probes(context):
    owner = RouterDriver(endpoints(1))
    owner.do(HomesChanged(OWNER, (OWNER,)))
    owner.router._table.lend(owner.router._table.get(context.address), owner.now_ms)
    owner.router._slot_exchange.lent.add(OWN_VM, context.address, owner.now_ms)
    actions = owner.receive(OWN_VM, context.returned)
    for _ in range(PROBE_TICKS):
        owner.now_ms += TICK_MS
        actions += owner.do(Tick())
    probes = [item for item in actions if isinstance(item, Probe) and item.health]
    assert probes and not any(isinstance(item, SendMessage) for item in actions), actions
