"""Steps for probes, single and from real daemons, and for the VMs' shares of connections."""

import asyncio
import random
import time

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.dispatch import Dispatcher
from cloverhook.fleet import Policy
from cloverhook.fold import fold
from cloverhook.members import Member, MemberTable
from cloverhook.platform_api import ListedVm, VmPhase
from cloverhook.probing import LoadProbes
from cloverhook.records import Change, Publish
from cloverhook.routing_events import (
    AttemptResult,
    GroupShareChanged,
    HomesChanged,
    Probe,
    ProbeEnded,
    Tick,
)
from cloverhook.state import State
from cloverhook.upstream import UpstreamPool
from features.decision_driver import RouterDriver, endpoints
from features.http_peers import ScriptedBackend
from features.shared import eventually, run
from features.steps.dispatch_steps import ADDRESS, DOCUMENT, HOST, NoOutlet
from features.steps.home_steps import homed, spread_fleet

SETTLE_S = 0.2
CONNECTIONS = 200
KEY = "one/only"
PROBE_BUDGET_MS_PER_S = 60
PROBE_MS = 6
INITIAL_PROBES = 3
ANSWER_FORMAT = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
LOAD_BODY = b'{"in_flight": 3, "slots": 4}'
DRAINING_BODY = b'{"healthy": false, "draining": true}'
ANSWERS = {
    "load": ANSWER_FORMAT % (len(LOAD_BODY), LOAD_BODY),
    "draining": ANSWER_FORMAT % (len(DRAINING_BODY), DRAINING_BODY),
    "not-found": b"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone",
    "wrong-number": ANSWER_FORMAT % (19, b'{"in_flight": "all"}'[:19]),
    "hangs": ScriptedBackend.hang,
    "cut": ScriptedBackend.cut,
    "too-long": ANSWER_FORMAT % (10_000, b"0" * 10_000),
}


def _dispatcher():
    state = fold(State(), 0, Change("c1", "one", 0, "ann", Publish(DOCUMENT))).state
    dispatcher = Dispatcher(random.Random(1), NoOutlet())
    dispatcher.configure(state, monotonic_ms())
    return dispatcher


@given("a scripted backend server that is probed")
def step_backend(context):
    async def start():
        context.stack.push_async_callback(asyncio.sleep, SETTLE_S)
        context.backend = await context.stack.enter_async_context(ScriptedBackend())
        context.pool = UpstreamPool()
        context.stack.callback(context.pool.close)
        context.ended = asyncio.Queue()
        context.probes = LoadProbes(
            context.pool, lambda *ended: context.ended.put_nowait(ended), monotonic_ms
        )

    context.target = _dispatcher().target_for(HOST)
    run(context, start())


def _probe(context, answer, health=False):
    async def probe():
        context.backend.answers["/health" if health else "/load"] = ANSWERS[answer]
        context.probes.start(context.target, context.backend.address, health)
        return await context.ended.get()

    key, ended = run(context, probe())
    assert key == KEY and ended.address == context.backend.address
    return ended


@then("these answers to a probe tell the load")
def step_answers(context):
    for row in context.table:
        load = _probe(context, row["answer"]).load
        assert str(load).lower() == row["load"], (row["answer"], load)


@then("these answers to a probe of health tell of a drain")
def step_health(context):
    for row in context.table:
        draining = _probe(context, row["answer"], health=True).draining
        assert str(draining).lower() == row["draining"], (row["answer"], draining)


@then("a probe uses a connection again")
def step_reused(context):
    assert _probe(context, "load").load == 3
    run(context, asyncio.sleep(SETTLE_S))
    connections = context.backend.connections
    assert _probe(context, "load").load == 3
    assert context.backend.connections == connections


@then("every backend server is probed, within the budget")
def step_probed(context):
    async def counts():
        return [count["probes"] for count in (await context.fleet.counts()).values()]

    async def all_probed():
        return min(await counts()) > 0

    started_s = time.monotonic()
    run(context, eventually(all_probed))
    probes = sum(run(context, counts()))
    allowed = (time.monotonic() - started_s) * PROBE_BUDGET_MS_PER_S / PROBE_MS + INITIAL_PROBES
    assert probes <= allowed, (probes, allowed)


@given("the routers of {vms:d} VMs, with one endpoint of {count:d} connections")
def step_routers(context, vms, count):
    assert count == CONNECTIONS
    names = tuple(f"vm-{index}" for index in range(vms))
    context.dispatchers = []
    for name in names:
        dispatcher = _dispatcher()
        dispatcher.set_homes(KEY, name, names, monotonic_ms())
        context.dispatchers.append(dispatcher)


@then("their limits add up to no more than its connections")
def step_limits(context):
    vms = len(context.dispatchers)
    limits = [item.connection_limit(ADDRESS, vms) for item in context.dispatchers]
    assert sum(limits) <= CONNECTIONS, limits
    assert max(limits) == CONNECTIONS // 2 and min(limits) >= 4, limits


def _health_probed(driver, address, ms):
    """Advance time by up to `ms`, until the endpoint's health is probed; return whether it was."""
    for _ in range(ms // 10):
        driver.now_ms += 10
        if Probe(address, health=True) in driver.do(Tick()):
            return True
    return False


@given("a home of 3 endpoints of which one refuses a request")
def step_refuses(context):
    context.driver = homed("vm-0", spread_fleet(3))
    context.driver.run(2_000, 20, lambda address: 10)
    request_id = context.driver.arrive()
    context.address = context.driver.active_attempts[request_id][0]
    context.driver.end(request_id, AttemptResult.REFUSED)


@then("its health is asked for within a second")
def step_health_probed(context):
    assert _health_probed(context.driver, context.address, 1_000)


@then("while it is found leaving it gets no request and is asked again")
def step_draining_excluded(context):
    context.driver.do(ProbeEnded(context.address, None, 6.0, True))
    before = context.driver.starts[context.address]
    context.driver.run(900, 5, lambda address: 10)
    assert context.driver.starts[context.address] == before
    assert _health_probed(context.driver, context.address, 1_500)


@then("once it is found well it gets requests again")
def step_recovered(context):
    context.driver.do(ProbeEnded(context.address, None, 6.0, False))
    before = context.driver.starts[context.address]
    context.driver.run(500, 5, lambda address: 10)
    assert context.driver.starts[context.address] > before


@given(
    "{count:d} endpoints with {budget:d} ms a second for measuring, and {vms:d} listed VMs in"
    " groups of {group:d}"
)
def step_groups(context, count, budget, vms, group):
    names = [f"vm-{index}" for index in range(vms)]
    listed = [ListedVm(name, VmPhase.LIVE, "papine", f"{name}:1", f"{name}:2") for name in names]
    context.budget_ms_per_s = budget
    context.drivers = []
    for start in range(0, vms, group):
        members = names[start : start + group]
        serving = [Member(name, "papine", f"{name}:1", f"{name}:2") for name in members]
        table = MemberTable(serving[0])
        for member in serving[1:]:
            table.put(member)
        table.apply_vm_list(listed, 0.0)
        for name in members:
            driver = RouterDriver(endpoints(count), Policy(measuring_ms_per_s=budget))
            driver.do(HomesChanged(name, tuple(members)))
            driver.do(GroupShareChanged(table.group_share()))
            context.drivers.append(driver)


@when("each group takes all endpoints for its own for {time_s:d} s")
def step_measure(context, time_s):
    context.probes = 0
    for driver in context.drivers:
        for _ in range(time_s * 100):
            driver.now_ms += 10.0
            for action in driver.do(Tick()):
                if isinstance(action, Probe):
                    context.probes += 1
                    driver.do(ProbeEnded(action.address, 0, PROBE_MS, None))
    context.allowed = context.budget_ms_per_s * time_s / PROBE_MS


@then("all VMs together have probed no longer than the budget allows, and over a third of that")
def step_together(context):
    initial = len(context.drivers)
    assert context.allowed / 3 < context.probes <= context.allowed + initial, context.probes
