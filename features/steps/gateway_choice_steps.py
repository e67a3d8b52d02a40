"""Steps on how many endpoints are examined when one of many is chosen."""

import random
from unittest import mock

from behave import given, then, when

from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import CapacityRequirement, WorkEstimates
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue
from cloverhook.gateway.server_load import LoadReport, LoadTable, ServerLoad

SERVICE = "booking"
SLOTS = 4
WORK_MS = 100.0


@given("a service of {count:d} endpoints, a quarter of them slow")
def step_service(context, count):
    context.now_ms = 0.0
    context.names = [f"i-{number}" for number in range(count)]
    registry, context.load_table = Registry(), LoadTable()
    for number, name in enumerate(context.names):
        entry = BackendServer(name, SERVICE, "10.0.0.1:80", f"dc-{number % 5}", SLOTS)
        registry.apply(ServerRecord(name, number, entry), 0.0, False)
        slowdown = 5.0 if number % 4 == 0 else 1.0
        context.load_table.get_or_create(name).update(LoadReport(0, 0, slowdown), 0.0)
    context.balancer = Balancer(
        registry, context.load_table, WorkEstimates(), "dc-0", random.Random(7)
    )


class LoadReadCounter:
    """Counts how often the load of an endpoint is read."""

    def __init__(self):
        self.count = 0

    def __enter__(self):
        original_load = ServerLoad.load

        def load(item, now_ms):
            self.count += 1
            return original_load(item, now_ms)

        self._patch = mock.patch.object(ServerLoad, "load", load)
        self._patch.start()
        return self

    def __exit__(self, *_):
        self._patch.stop()


@then("a choice weighs at most {limit:d} of them and finds one at its usual pace")
def step_bounded(context, limit):
    for requirement in (CapacityRequirement.NO_SLOWDOWN, CapacityRequirement.FREE_SLOT):
        with LoadReadCounter() as counter:
            choice = context.balancer.choose(SERVICE, WORK_MS, context.now_ms, (), requirement)
        assert counter.count <= limit + 1, counter.count
        assert choice.slowdown == 1.0


@when("all of them are full")
def step_fill(context):
    for name in context.names:
        context.load_table.get_or_create(name).update(LoadReport(SLOTS, 0, 1.0), context.now_ms)


@then(
    "a line of {count:d} requests that wait weighs none of them once it has seen that they are full"
)
def step_idle_queue(context, count):
    context.queue = RequestQueue(context.balancer)
    for _ in range(count):
        context.queue.add(QueuedRequest(SERVICE, 1, WORK_MS, context.now_ms, 10_000.0, 20_000.0))
    assert context.queue.next(SERVICE, context.now_ms) is None
    with LoadReadCounter() as counter:
        for _ in range(10):
            assert context.queue.next(SERVICE, context.now_ms) is None
    assert counter.count == 0, counter.count


@when("one of them has room again")
def step_slot_freed(context):
    context.now_ms += 1.0
    context.freed_incarnation = context.names[-1]
    context.load_table.get_or_create(context.freed_incarnation).update(
        LoadReport(1, 0, 1.0), context.now_ms
    )


@then("a request that waits starts there")
def step_starts(context):
    with LoadReadCounter() as counter:
        decision = context.queue.next(SERVICE, context.now_ms)
    assert decision.choice.server.incarnation == context.freed_incarnation, decision
    assert counter.count <= 2, counter.count


@when("all of them are full by what a peer said that is silent since")
def step_fill_by_peer(context):
    for name in context.names:
        context.load_table.get_or_create(name).set_peer_in_flight("vm-9", SLOTS, context.now_ms)
    assert (
        context.balancer.choose(SERVICE, WORK_MS, context.now_ms, (), CapacityRequirement.FREE_SLOT)
        is None
    )


@then("a second later a choice finds one again")
def step_found_again(context):
    context.now_ms += 1_000.0
    assert (
        context.balancer.choose(SERVICE, WORK_MS, context.now_ms, (), CapacityRequirement.FREE_SLOT)
        is not None
    )
