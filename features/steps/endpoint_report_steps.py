"""Steps for what backend servers say of themselves in their answers to cloverhookd."""

import asyncio

from behave import given, then, when

from cloverhook.endpoint_reports import EndpointReport, reports_in
from cloverhook.endpoint_stats import DRAINING_EVIDENCE
from cloverhook.errors import ErrorKind
from cloverhook.fleet import Priority
from cloverhook.headers import OUTCOME, backoff_ms_of
from cloverhook.messages import SlotGrant, SlotReturn
from cloverhook.routing_events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    DrainReported,
    HomesChanged,
    Probe,
    SendMessage,
    Tick,
)
from cloverhook.timeline import EventName
from features.decision_driver import RouterDriver, endpoints
from features.shared import HOST, run

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


@when("the endpoint rejects the request and asks for {backoff_ms:d} ms without any")
def step_borrower_rejected(context, backoff_ms):
    reject(context.driver, context.request, backoff_ms)


@then("the slot is returned without a sign that the endpoint is draining")
def step_returned_plain(context):
    (item,) = returned(context.driver, context.sent)
    assert item.addresses == (context.address,)
    assert max(item.failure_evidence) < DRAINING_EVIDENCE, item


@then("so is a slot of it that is granted again, and further requests don't start there")
def step_granted_plain(context):
    driver = context.driver
    before = driver.starts[context.address]
    context.sent = len(driver.sent_messages)
    driver.receive(OWNER, SlotGrant(SERVICE, (context.address,), True))
    step_returned_plain(context)
    driver.arrive()
    assert driver.starts[context.address] == before


@given("a VM that owns 2 endpoints of 1 slot")
def step_owned(context):
    context.driver = RouterDriver(endpoints(2, slots=1))
    context.driver.do(HomesChanged(OWN_VM, (OWN_VM,)))


def reject(driver, request, backoff_ms):
    """End the attempt of a request as rejected, with a time without requests."""
    address, _ = driver.active_attempts.pop(request)
    driver.do(
        AttemptEnded(request, address, AttemptResult.REFUSED, 1.0, backoff_ms=float(backoff_ms))
    )
    return address


@when("one of them rejects a request and asks for {backoff_ms:d} ms without any")
def step_rejects(context, backoff_ms):
    context.resting = reject(context.driver, context.driver.arrive(), backoff_ms)


@then("requests start at the other one alone for {time_ms:d} ms")
def step_other_alone(context, time_ms):
    driver = context.driver
    before = driver.starts[context.resting]
    driver.run(time_ms - 10, every_ms=20.0, work_ms=lambda address: 10.0)
    assert driver.starts[context.resting] == before
    assert sum(driver.starts.values()) > time_ms / 40


@then("at the end both slots are used at once")
def step_both_used(context):
    driver = context.driver
    driver.pass_time(50.0)
    for request in tuple(driver.active_attempts):
        driver.end(request)
    requests = [driver.arrive(), driver.arrive()]
    assert {driver.active_attempts[item][0] for item in requests} == {
        item.address for item in endpoints(2)
    }


@when("both of them reject a request and ask for {backoff_ms:d} ms without any")
def step_both_reject(context, backoff_ms):
    driver = context.driver
    context.end_ms = driver.now_ms + backoff_ms
    requests = [driver.arrive(), driver.arrive()]
    for request in requests:
        reject(driver, request, backoff_ms)


@then(
    "a request that may wait {limit_ms:d} ms is rejected at once, with {left_ms:d} ms or more to"
    " wait"
)
def step_late(context, limit_ms, left_ms):
    driver = context.driver
    rejected = driver.rejected[driver.arrive(timeout_ms=limit_ms)]
    assert rejected.kind is ErrorKind.BACKING_OFF, rejected
    assert rejected.retry_after_ms >= left_ms, rejected


@then("one that arrives {before_ms:d} ms before the end starts at the end")
def step_in_time(context, before_ms):
    driver = context.driver
    driver.pass_time(context.end_ms - before_ms - driver.now_ms)
    request = driver.arrive()
    driver.pass_time(before_ms - 10.0)
    assert driver.waiting(request)
    driver.pass_time(10.0)
    assert request in driver.active_attempts


@then("a request that arrives at the end, before the VM's timer, starts at once")
def step_at_end(context):
    driver = context.driver
    driver.now_ms = context.end_ms
    request = driver.arrive()
    assert request in driver.active_attempts, driver.rejected


@then("a Retry-After of {value} asks cloverhookd for {time}")
def step_parsed(context, value, time):
    backoff_ms = backoff_ms_of([(b"retry-after", value.encode())])
    assert backoff_ms == (None if time == "none" else float(time)), backoff_ms


@when(
    "an answer of one says that it is draining, and the other rejects a request and asks for"
    " {backoff_ms:d} ms without any"
)
def step_reports(context, backoff_ms):
    dispatcher = context.dispatcher
    target = dispatcher.target_for(HOST.encode())
    context.draining, context.resting = "10.0.0.1:80", "10.0.0.2:80"
    dispatcher.record_report(target, context.draining, EndpointReport.DRAINING, 0.0)
    dispatcher.record_report(target, context.draining, EndpointReport.INVALID, 0.0)
    dispatcher.record_report(target, context.resting, EndpointReport.BACKING_OFF, 0.0)
    ended = {"result": AttemptResult.REFUSED, "backoff_ms": float(backoff_ms)}
    context.ends_ms = backoff_ms
    run(context, attempt(context, 0.0, ended))


async def attempt(context, now_ms, ended):
    """Make the attempt of a new request; `ended` says how it ends.  Return its endpoint."""
    dispatcher = context.dispatcher
    target = dispatcher.target_for(HOST.encode())
    arrival = Arrival(f"r-{now_ms}", Priority.NORMAL, now_ms + 1_000.0, idempotent=True)
    async with asyncio.timeout(1.0):
        address = await dispatcher.admit(target, arrival, now_ms)
    dispatcher.record_attempt_end(
        target, AttemptEnded(arrival.request_id, address, latency_ms=5.0, **ended), now_ms
    )
    return address


@then(
    "the time line shows one as draining and the other as backing-off, until a request is answered"
    " there"
)
def step_time_line(context):
    address = run(context, attempt(context, context.ends_ms, {"result": AttemptResult.ANSWERED}))
    assert address == context.resting
    found = [
        (event.address, event.detail)
        for event in context.observer.time_line.events()
        if event.name is EventName.ENDPOINT_STATE
    ]
    assert found == [
        (context.draining, "draining"),
        (context.resting, "backing-off"),
        (context.resting, "well"),
    ], found


@then("the metrics count a report of each kind")
def step_counted(context):
    page = context.observer.metrics.render("text/plain")[0].decode()
    lines = [line for line in page.splitlines() if line.startswith("cloverhook_endpoint_reports")]
    for report in EndpointReport:
        assert any(f'report="{report.value}"' in line and line.endswith(" 1") for line in lines)


@then('an answer {status:d} with {header} "{value}" contains the report {report}')
def step_report(context, status, header, value, report):
    headers = [(OUTCOME, b"not-run"), (header.encode(), value.encode())]
    found = [item.value for item in reports_in(status, headers)]
    assert found == ([] if report == "none" else [report]), found
