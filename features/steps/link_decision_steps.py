"""Steps for the decisions on links, without sockets, on a clock that the steps set."""

import random
import re
from dataclasses import replace

from behave import given, then, when

from cloverhook.errors import ErrorKind
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import WorkEstimates
from cloverhook.gateway.eligibility import Eligibility
from cloverhook.gateway.links import LinkFailure, Links
from cloverhook.gateway.peer_links import PeerLinks
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue
from cloverhook.gateway.server_load import LoadReport, LoadTable

SERVICE = "orders"
OTHER_VM = "vm-2"
EVENT = re.compile(r"(?:(i-\d+) )?(refused|works) at (\d+)")
EXPECTED_MS = 40.0
TICK_MS = 50


def server(context, name):
    """Return a registered endpoint."""
    return context.registry.get(name)


def unused(context, now_ms):
    """Return the endpoints that get no requests, or only as a last resort, at a time."""
    loads = context.load_table
    return {
        item.incarnation
        for item in context.registry.of_service(SERVICE)
        if loads.get_or_create(item.incarnation).unreachable(now_ms)
        or loads.get_or_create(item.incarnation).is_doubted(now_ms)
    }


@given("a VM with links to {count:d} endpoints of a service")
def step_vm(context, count):
    context.registry, context.load_table = Registry(), LoadTable()
    for number in range(count):
        name = f"i-{number}"
        entry = BackendServer(name, SERVICE, f"10.0.0.{number}:1", "papine", 4)
        context.registry.apply(ServerRecord(name, number, entry), 0.0, False)
    context.links = Links(context.registry, context.load_table, source=random.Random(1))
    context.peer_links = PeerLinks(context.links, context.load_table)


@given("a VM in a fleet of {vms:d} with links to {count:d} endpoints of a service")
def step_vm_of_fleet(context, vms, count):
    step_vm(context, count)
    context.links = Links(context.registry, context.load_table, fleet_size=lambda: vms)


@when("the link to i-0 fails, and each check of it")
def step_fails_for_good(context):
    context.links.record_failure(server(context, "i-0"), LinkFailure.REFUSED, 0.0)
    context.checks_ms = []
    for now_ms in range(0, 80_000, TICK_MS):
        check_link(context, float(now_ms))


def check_link(context, now_ms):
    """Make the checks that are due, all of which fail."""
    for item in context.links.due_checks(now_ms):
        context.checks_ms.append(now_ms)
        context.links.record_failure(item, LinkFailure.REFUSED, now_ms)


@then("it checks that link at most {count:d} times from {from_s:d} s to {to_s:d} s afterwards")
def step_few_checks(context, count, from_s, to_s):
    checks = [at_ms for at_ms in context.checks_ms if 1000 * from_s <= at_ms < 1000 * to_s]
    assert 1 <= len(checks) <= count, len(checks)


@when("another VM has a report of i-0")
def step_reported(context):
    context.checks_ms = []
    context.load_table.get_or_create("i-0").update_from_probe(LoadReport(0, 0, 1.0), 80_000.0)
    for now_ms in range(80_000, 84_000, TICK_MS):
        check_link(context, float(now_ms))


@then("it checks that link within {time_ms:d} ms")
def step_checked_soon(context, time_ms):
    assert context.checks_ms, "no check"
    assert context.checks_ms[0] <= 80_000 + time_ms, context.checks_ms


@given("a VM with links to {count:d} endpoints of a service, of which it used i-0 {ago:d} ms ago")
def step_used(context, count, ago):
    step_vm(context, count)
    context.links.record_contact(server(context, "i-0"), -float(ago))


@given("a VM with links to {count:d} endpoints of a service, of which it used all {ago:d} ms ago")
def step_used_all(context, count, ago):
    step_vm(context, count)
    for item in context.registry.of_service(SERVICE):
        context.links.record_contact(item, -float(ago))


@when("these links change: {events}")
def step_events(context, events):
    name = None
    for found, event, at_ms in EVENT.findall(events):
        name = found or name
        if event == "refused":
            context.links.record_failure(server(context, name), LinkFailure.REFUSED, float(at_ms))
        else:
            context.links.record_contact(server(context, name), float(at_ms))


@then("after {at_ms:d} ms it uses all but {down}, and reaches the service: {reach}")
def step_uses(context, at_ms, down, reach):
    context.now_ms = float(at_ms)
    everything = {item.incarnation for item in context.registry.of_service(SERVICE)}
    expected = {"all": everything, "none": set()}.get(down, set(down.split()))
    assert unused(context, at_ms) == expected, unused(context, at_ms)
    assert context.links.is_out_of_reach(SERVICE) == (reach == "no")


@then("it checks {count:d} of the links at that time")
def step_checks(context, count):
    found = context.links.due_checks(context.now_ms)
    assert len(found) == count, found


@when("a further endpoint registers")
def step_registers(context):
    entry = BackendServer("i-new", SERVICE, "10.0.1.0:1", "papine", 4)
    context.registry.apply(ServerRecord("i-new", 100, entry), 20.0, False)


@then("the service stays out of reach until any of its links works")
def step_stays_lost(context):
    assert context.links.is_out_of_reach(SERVICE)
    context.links.record_contact(server(context, "i-new"), 30.0)
    assert not context.links.is_out_of_reach(SERVICE)


@given("the endpoint {name} is draining")
def step_draining(context, name):
    entry = replace(server(context, name), draining=True)
    context.registry.apply(ServerRecord(name, 100, entry), 0.0, False)


@then("after {at_ms:d} ms requests are rejected as {cause}")
def step_cause(context, at_ms, cause):
    eligibility = Eligibility(context.registry, links=context.links)
    assert eligibility.why_unavailable(SERVICE, float(at_ms)) is ErrorKind(cause)


@when("another VM reports at 0 ms that it has not reached i-0 since {since:d} ms")
def step_report(context, since):
    context.checked = context.peer_links.should_check(
        OTHER_VM, server(context, "i-0"), -float(since), 0.0
    )


@then("the link to i-0 is {checked}, and {result} afterwards")
def step_checked(context, checked, result):
    assert context.checked == (checked == "checked")
    assert unused(context, 0.0) == ({"i-0"} if context.checked else set())
    if context.checked:
        reached = "check works" in result
        if reached:
            context.links.record_contact(server(context, "i-0"), 3.0)
        else:
            context.links.record_failure(server(context, "i-0"), LinkFailure.REFUSED, 3.0)
        context.peer_links.record_check(server(context, "i-0"), reached, 3.0)
    assert unused(context, 500.0) == ({"i-0"} if result.startswith("down") else set())


@when("another VM reports that it reaches none of the {count:d}")
def step_reports_all(context, count):
    servers = context.registry.of_service(SERVICE)
    names = [item.incarnation for item in servers]
    context.peer_links.record_status(OTHER_VM, names, [], 0.0)
    context.checked = [
        item for item in servers if context.peer_links.should_check(OTHER_VM, item, -1.0, 0.0)
    ]


@then(
    "{count:d} links are checked, and the 6 endpoints are the last resort for {most_ms:d} ms at"
    " most"
)
def step_few_checked(context, count, most_ms):
    assert len(context.checked) == count, context.checked
    assert len(unused(context, 0.0)) == 6
    assert not unused(context, float(most_ms))


@when("the first check finds a link working")
def step_first_works(context):
    context.links.record_contact(context.checked[0], 2.0)
    context.peer_links.record_check(context.checked[0], True, 2.0)


@then(
    "all 6 endpoints are used as before, and further reports of that VM have none checked for 2 s"
)
def step_not_believed(context):
    assert not unused(context, 3.0)
    servers = context.registry.of_service(SERVICE)
    reports = [
        context.peer_links.should_check(OTHER_VM, item, 1_990.0, at_ms)
        for item in servers
        for at_ms in (3.0, 1_995.0)
    ]
    assert not any(reports)
    assert context.peer_links.should_check(OTHER_VM, servers[0], 2_005.0, 2_010.0)


@then("a request that can wait no longer is placed before any check has ended")
def step_placed(context):
    balancer = Balancer(
        context.registry, context.load_table, WorkEstimates(), "papine", random.Random(1)
    )
    queue = RequestQueue(balancer)
    queue.add(QueuedRequest(SERVICE, 1, EXPECTED_MS, 0.0, 1_000.0, 2_000.0, is_top_priority=False))
    assert len(unused(context, 0.0)) == 2
    decisions = [queue.next(SERVICE, at_ms) for at_ms in (0.0, 41.0, 805.0)]
    found = [item for item in decisions if item is not None]
    assert found and all(item.choice is not None for item in found), decisions


@when("a request that is expected to take 40 ms has been at i-0 since 0 ms")
def step_waits(context):
    context.links.begin_wait(server(context, "i-0"), EXPECTED_MS, 0.0)


@then("the link to i-0 is checked after {after_ms:d} ms and not before")
def step_silence(context, after_ms):
    assert not context.links.due_checks(after_ms - 1.0)
    assert server(context, "i-0") in context.links.due_checks(float(after_ms))


@then("not if another endpoint of the service has answered meanwhile")
def step_not_silent(context):
    step_vm(context, 6)
    step_waits(context)
    context.links.record_contact(server(context, "i-1"), 100.0)
    assert not context.links.due_checks(900.0)


@given("the endpoint i-0 has reported {running:d} requests on its 4 slots {ago:d} ms ago")
def step_reported_full(context, running, ago):
    load = context.load_table.get_or_create("i-0")
    load.update_from_probe(LoadReport(running, 0, 1.0), -float(ago))


@given("another endpoint has answered {ago:d} ms ago")
def step_other_answered(context, ago):
    context.links.record_contact(server(context, "i-1"), -float(ago))


@when("the link to i-0 fails: {failure}")
def step_fails(context, failure):
    context.links.record_failure(server(context, "i-0"), LinkFailure(failure), 0.0)


@then("the link to i-0 is {state:w}")
def step_state(context, state):
    assert context.links.is_down("i-0") is (state == "down")
