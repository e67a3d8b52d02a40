"""Steps on data centres that can't serve themselves."""

import asyncio
import time

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.admission import Admission
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.count_updates import CountUpdates
from cloverhook.gateway.evacuation import Evacuations
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.load_probe import UNREACHABLE_REPORT
from cloverhook.gateway.load_updates import LoadUpdates
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import InFlightCountChanges, InFlightCounts, Relay, decode
from cloverhook.gateway.server_load import LoadReport
from features.gateway_crowd import LOCAL, Wire, heartbeat
from features.shared import run

OTHERS = ("halfway-tree", "new-kingston")
ENDPOINT = "here-0"


def start_vm(context):
    """Know a VM in each other data centre, and 4 endpoints in each data centre."""
    now_ms = monotonic_ms()
    context.gateway_state = gateway_state = GatewayState()
    context.members = Members("vm-0", LOCAL, now_ms)
    for place in OTHERS:
        context.members.record_heartbeat(heartbeat(f"vm-{place}", place), now_ms)
    offset = 0
    for name, place in (("here", LOCAL), *zip(("lost", "else"), OTHERS, strict=True)):
        for number in range(4):
            server = BackendServer(f"{name}-{number}", "s", "10.0.0.1:1", place, 3)
            gateway_state.registry.apply(ServerRecord(server.name, offset, server), now_ms, False)
            offset += 1
    context.wire = Wire()
    context.updates = CountUpdates(
        "vm-0",
        Broadcast("vm-0", context.wire, context.members),
        context.members,
        gateway_state,
        lambda: None,
    )


def lose(context, count, how):
    """Take that many endpoints of another data centre away."""
    gateway_state, now_ms = context.gateway_state, monotonic_ms()
    for name in [f"lost-{number}" for number in range(count)]:
        if how == "can't be reached":
            gateway_state.load_table.get_or_create(name).update_from_probe(
                UNREACHABLE_REPORT, now_ms
            )
        elif how == "have vanished":
            gateway_state.registry.apply(ServerRecord(name, 50, None), now_ms, False)
    if how == "are evacuated" and count:
        gateway_state.apply_evacuations(Evacuations(60, frozenset(OTHERS[:1])), 0.0)


def sent_to_remote(context, kind):
    """Return the messages of a kind that went to other data centres, with their addresses."""
    relayed = [(place, decode(data)) for place, data in context.wire.sent]
    inner = [(at, decode(item.data)) for at, item in relayed if isinstance(item, Relay)]
    return [(at, message) for at, message in inner if isinstance(message, kind)]


@given("a VM that knows VMs of two other data centres, of which {lost:d} of 4 endpoints {how}")
def step_vm(context, lost, how):
    start_vm(context)
    lose(context, lost, how)


@when("the count at an endpoint changes")
def step_change(context):
    async def change():
        context.gateway_state.load_table.get_or_create(ENDPOINT).in_flight += 1
        context.updates.count_changed(ENDPOINT)
        await asyncio.sleep(0.05)

    run(context, change())


@then("a VM of each other data centre is {told} of it")
def step_told(context, told):
    found = sent_to_remote(context, InFlightCountChanges)
    assert len({at for at, _ in found}) == (2 if told == "told" else 0), found
    assert all(message.counts == {ENDPOINT: 1} for _, message in found)


@then("all its counts are {told} there again within 300 ms")
def step_told_again(context, told):
    context.wire.sent.clear()
    context.updates.resend_all(monotonic_ms() + 300.0)
    found = sent_to_remote(context, InFlightCounts)
    assert len({at for at, _ in found}) == (2 if told == "told" else 0), found
    assert all(message.counts == {ENDPOINT: 1} for _, message in found)


@given("a VM that has heard counts of {count:d} VMs while requests have to cross")
def step_many_tellers(context, count):
    start_vm(context)
    lose(context, 4, "are evacuated")
    for number in range(count):
        context.updates.received(InFlightCounts(f"vm-{number + 1}", {"here-1": 1}), monotonic_ms())


@when("the count at an endpoint changes {count:d} times within a second")
def step_changes(context, count):
    async def change():
        for _ in range(count):
            context.gateway_state.load_table.get_or_create(ENDPOINT).in_flight += 1
            context.updates.count_changed(ENDPOINT)
            await asyncio.sleep(0.004)
        await asyncio.sleep(0.3)

    run(context, change())
    context.changes = count


@then("it tells other data centres at most {most:d} times, and of the last change too")
def step_bounded(context, most):
    found = [message for _, message in sent_to_remote(context, InFlightCountChanges)]
    # Each is sent to two data centres; the last one may come after the second.
    assert len(found) <= 2 * (most + 1), len(found)
    assert found[-1].counts == {ENDPOINT: context.changes}


@given("a VM that hears of {count:d} requests in flight by a change")
def step_hears(context, count):
    start_vm(context)
    context.updates.received_changes(
        InFlightCountChanges("vm-7", {ENDPOINT: count}), monotonic_ms()
    )


@when("it hears of none by a change")
def step_hears_none(context):
    context.updates.received_changes(InFlightCountChanges("vm-7", {ENDPOINT: 0}), monotonic_ms())


@when("it hears of {count:d} by a change, and of all counts without it")
def step_hears_all(context, count):
    context.updates.received_changes(
        InFlightCountChanges("vm-7", {ENDPOINT: count}), monotonic_ms()
    )
    context.updates.received(InFlightCounts("vm-7", {"here-2": 1}), monotonic_ms())


@then("it knows of {count:d}")
def step_knows(context, count):
    assert (
        context.gateway_state.load_table.get_or_create(ENDPOINT).known_in_flight(monotonic_ms())
        == count
    )


@given("measured figures whose load changes by one")
def step_figures(context):
    start_vm(context)


@then("another data centre hears of it within 100 ms if requests have to cross, and not else")
def step_far_figures(context):
    async def measure(needs_remote_capacity):
        wire = Wire()
        broadcast = Broadcast("vm-0", wire, context.members)
        news = LoadUpdates("vm-0", broadcast, lambda: True, lambda now_ms: needs_remote_capacity)
        begun_ms = monotonic_ms()
        news.add(ENDPOINT, LoadReport(1, 0, 1.0), begun_ms)
        await asyncio.sleep(0.3)
        before = len(wire.sent)
        news.add(ENDPOINT, LoadReport(2, 0, 1.0), begun_ms + 300.0)
        await asyncio.sleep(0.1)
        relayed = [decode(data) for _, data in wire.sent[before:]]
        return any(isinstance(item, Relay) for item in relayed)

    assert run(context, measure(True))
    assert not run(context, measure(False))


@given("a gateway with a request that waits, where each look takes {cost:d} ms")
def step_waits(context, cost):
    class Line:
        def __init__(self):
            self.checks = []

        def __len__(self):
            return 1

        def services(self):
            self.checks.append(monotonic_ms())
            time.sleep(cost / 1_000)
            return ()

    context.line = Line()
    context.admission = Admission(context.line, None, None)


@when("news of others comes {count:d} times within {span:d} ms")
def step_news(context, count, span):
    async def receive():
        for _ in range(count):
            context.last_ms = monotonic_ms()
            context.admission.schedule_admission()
            await asyncio.sleep(span / count / 1_000)
        await asyncio.sleep(0.1)

    context.line.checks.clear()
    run(context, receive())


@then("it has looked at most {most:d} times, and once after the last news")
def step_looked(context, most):
    checks = context.line.checks
    span_ms = context.last_ms - checks[0]
    # A slow machine takes longer for the news, and has time for more looks meanwhile.
    assert len(checks) <= max(most, 2 + span_ms / 12.0), checks
    assert checks[-1] >= context.last_ms, checks
