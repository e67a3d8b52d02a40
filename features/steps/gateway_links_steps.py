"""Steps for gateways that lose their links to backend servers."""

import asyncio

from behave import given, then, when

from features.link_cuts import Cut
from features.link_fleet import LinkFleet
from features.shared import run

FIRST = "vm-0"


@given("{gateways:d} gateways and {backends:d} backend servers, and callers at both gateways")
def step_fleet(context, gateways, backends):
    async def start():
        context.fleet = await LinkFleet.start(gateways, backends)
        context.stack.push_async_callback(context.fleet.close)
        context.fleet.begin_load()
        context.stack.push_async_callback(context.fleet.end_load)
        await asyncio.sleep(0.5)

    run(context, start())


@when("the first gateway loses its links to all of them")
def step_lose(context):
    async def lose():
        context.fleet.cuts[FIRST].begin(Cut.RESET)

    run(context, lose())


@when("it has them again")
def step_regain(context):
    context.fleet.cuts[FIRST].end()


@then("its log says of each of them when it was lost, and how that showed")
def step_lost_logged(context):
    async def wait():
        return await context.fleet.wait_for_log("link", 3, vm=FIRST, down=True)

    found = run(context, wait())
    assert {line["server"] for line in found} == {
        backend.incarnation for backend in context.fleet.backends
    }, found
    assert all(line["failure"] and line["time_ms"] > 0 for line in found), found


@then("its log says of each of them that it is reached again, and for how long it was not")
def step_regained_logged(context):
    async def wait():
        return await context.fleet.wait_for_log("link", 3, vm=FIRST, down=False)

    found = run(context, wait())
    assert {line["server"] for line in found} == {
        backend.incarnation for backend in context.fleet.backends
    }, found
    assert all(line["lasted_ms"] > 0 for line in found), found


@then("its metrics count {count:d} links as down, and those of the other gateway none")
def step_metrics(context, count):
    async def metrics():
        return [await context.fleet.metric(vm, "links_down") for vm in (FIRST, "vm-1")]

    assert run(context, metrics()) == [count, 0]
