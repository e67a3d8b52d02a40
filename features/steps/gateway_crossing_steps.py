"""Steps on data centres that lack the capacity to serve their own requests."""

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
from features.gateway_crowd import LOCAL, RecordingLink, heartbeat
from features.shared import run

OTHERS = ("halfway-tree", "new-kingston")
ENDPOINT = "here-0"


def start_vm(context):
    """Set up a VM that knows a VM in each other data centre and 4 endpoints in each data centre."""
    now_ms = monotonic_ms()
    context.gateway_state = gateway_state = GatewayState()
    context.members = Members("vm-0", LOCAL, now_ms)
    for data_center in OTHERS:
        context.members.record_heartbeat(heartbeat(f"vm-{data_center}", data_center), now_ms)
    offset = 0
    for name, data_center in (("here", LOCAL), *zip(("lost", "else"), OTHERS, strict=True)):
        for number in range(4):
            server = BackendServer(f"{name}-{number}", "s", "10.0.0.1:1", data_center, 3)
            gateway_state.registry.apply(ServerRecord(server.name, offset, server), now_ms, False)
            offset += 1
    context.wire = RecordingLink()
    context.updates = CountUpdates(
        "vm-0",
        Broadcast("vm-0", context.wire, context.members),
        context.members,
        gateway_state,
        lambda: None,
    )


def make_unavailable(context, count, how):
    """Make `count` endpoints of another data centre unavailable in the given way."""
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


def remote_messages(context, kind):
    """Return the messages of a kind sent to other data centres, with recipient addresses."""
    relayed = [(relay_address, decode(data)) for relay_address, data in context.wire.sent]
    messages = [
        (address, decode(item.data)) for address, item in relayed if isinstance(item, Relay)
    ]
    return [(address, message) for address, message in messages if isinstance(message, kind)]


@given("a VM that knows VMs of two other data centres, of which {lost:d} of 4 endpoints {how}")
def step_vm(context, lost, how):
    start_vm(context)
    make_unavailable(context, lost, how)


@when("the count at an endpoint changes")
def step_change(context):
    async def change():
        context.gateway_state.load_table.get_or_create(ENDPOINT).in_flight += 1
        context.updates.count_changed(ENDPOINT)
        await asyncio.sleep(0.05)

    run(context, change())


@then("a VM of each other data centre is {told} of it")
def step_counts_sent(context, told):
    found = remote_messages(context, InFlightCountChanges)
    assert len({at for at, _ in found}) == (2 if told == "told" else 0), found
    assert all(message.counts == {ENDPOINT: 1} for _, message in found)


@then("all its counts are {told} there again within 300 ms")
def step_counts_resent(context, told):
    context.wire.sent.clear()
    context.updates.resend_all(monotonic_ms() + 300.0)
    found = remote_messages(context, InFlightCounts)
    assert len({at for at, _ in found}) == (2 if told == "told" else 0), found
    assert all(message.counts == {ENDPOINT: 1} for _, message in found)


@given("a VM that has heard counts of {count:d} VMs while requests have to cross")
def step_many_count_senders(context, count):
    start_vm(context)
    make_unavailable(context, 4, "are evacuated")
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
    found = [message for _, message in remote_messages(context, InFlightCountChanges)]
    # Each message goes to two data centres; the last one may be sent after that second has ended.
    assert len(found) <= 2 * (most + 1), len(found)
    assert found[-1].counts == {ENDPOINT: context.changes}


@given("a VM that hears of {count:d} requests in flight by a change")
def step_receives_change(context, count):
    start_vm(context)
    context.updates.received_changes(
        InFlightCountChanges("vm-7", {ENDPOINT: count}), monotonic_ms()
    )


@when("it hears of none by a change")
def step_receives_zero(context):
    context.updates.received_changes(InFlightCountChanges("vm-7", {ENDPOINT: 0}), monotonic_ms())


@when("it hears of {count:d} by a change, and of all counts without it")
def step_receives_all(context, count):
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
def step_remote_load_reports(context):
    async def measure(needs_remote_capacity):
        wire = RecordingLink()
        broadcast = Broadcast("vm-0", wire, context.members)
        updates = LoadUpdates("vm-0", broadcast, lambda: True, lambda now_ms: needs_remote_capacity)
        started_ms = monotonic_ms()
        updates.add(ENDPOINT, LoadReport(1, 0, 1.0), started_ms)
        await asyncio.sleep(0.3)
        before = len(wire.sent)
        updates.add(ENDPOINT, LoadReport(2, 0, 1.0), started_ms + 300.0)
        await asyncio.sleep(0.1)
        sent_messages = [decode(data) for _, data in wire.sent[before:]]
        return any(isinstance(item, Relay) for item in sent_messages)

    assert run(context, measure(True))
    assert not run(context, measure(False))


@given("a gateway with a request that waits, where each look takes {cost:d} ms")
def step_waits(context, cost):
    class SlowQueue:
        def __init__(self):
            self.checks_ms = []

        def __len__(self):
            return 1

        def services(self):
            self.checks_ms.append(monotonic_ms())
            time.sleep(cost / 1_000)
            return ()

    context.queue = SlowQueue()
    context.admission = Admission(context.queue, None, None)


@when("news of others comes {count:d} times within {span:d} ms")
def step_updates(context, count, span):
    async def receive_updates():
        for _ in range(count):
            context.last_ms = monotonic_ms()
            context.admission.schedule_admission()
            await asyncio.sleep(span / count / 1_000)
        await asyncio.sleep(0.1)

    context.queue.checks_ms.clear()
    run(context, receive_updates())


@then("it has looked at most {most:d} times, and once after the last news")
def step_bounded_checks(context, most):
    checks_ms = context.queue.checks_ms
    span_ms = context.last_ms - checks_ms[0]
    # On a slow machine the updates take longer, which leaves time for more admission checks.
    assert len(checks_ms) <= max(most, 2 + span_ms / 12.0), checks_ms
    assert checks_ms[-1] >= context.last_ms, checks_ms
