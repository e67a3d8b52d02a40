"""Steps that count the control work: requested wake-ups, and events that routers handle."""

import asyncio
import random
from typing import ClassVar
from unittest import mock

import uvicorn
from behave import given, then, when

from bench.many_services import brand_document, publish_changes
from cloverhook import dispatch
from cloverhook.clock import monotonic_ms
from cloverhook.dispatch import Dispatcher
from cloverhook.errors import ErrorKind, RequestError
from cloverhook.failure_detector import BUSY_TICK_MS, DetectorTimeouts
from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.fold import fold
from cloverhook.member_events import LinkOpened, SendMessage
from cloverhook.member_events import Tick as MemberTick
from cloverhook.members import Member, Status
from cloverhook.membership import SEARCH_INTERVAL_MS, Membership
from cloverhook.messages import Hello, Ping
from cloverhook.probe_schedule import (
    CHECK_EVERY_MS,
    EVIDENCE_LIFETIME_MS,
    PROBES_PER_S,
    ProbeSpacing,
)
from cloverhook.records import Change, Publish, RemoveBrand
from cloverhook.routing import ServiceRouter
from cloverhook.routing_events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    EndpointsChanged,
    HomesChanged,
    Probe,
    ProbeEnded,
    Tick,
)
from cloverhook.server import Listener
from cloverhook.state import State
from cloverhook.wake_times import WakeTimes
from features.http_peers import connect, request
from features.member_network import MemberNetwork
from features.steps.fleet_steps import run

WAIT_LIMIT_MS = 75
POLICY = {"measuring_ms_per_s": 0, "wait_limit_ms": WAIT_LIMIT_MS}
DEADLINE_MS = 1e12
LISTENER_IDLE_S = 0.5
TIMEOUT_S = 20
PROBING_MS = 120_000
SETTLE_MS = 10_000
IDLE_MS = 10_000
HEARTBEAT_MS = 250


class _UnusedTransport:
    def send_message(self, vm, message):
        raise AssertionError(f"{vm} was sent the message {message}")

    def probe(self, target, address):
        raise AssertionError(f"{address} of {target.key} was probed")


class _CountingRouter(ServiceRouter):
    """A router that records its service for each event that it handles."""

    handled: ClassVar = []

    def __init__(self, source, service, peer_bytes, turns):
        super().__init__(source, service, peer_bytes, turns)
        self.service = service

    def handle(self, event, now_ms):
        self.handled.append(self.service)
        return super().handle(event, now_ms)


def _without_probe_budget(document):
    for service in document["services"]:
        service["policy"] = dict(POLICY)
    return document


def _change(context, action, version):
    change = Change(f"id-{version}-{action}", "brand-7", version, "test", action)
    result = fold(context.state, context.state.next_offset, change)
    assert result.verdict.value == "accepted", result.reason
    context.state = result.state
    _CountingRouter.handled.clear()
    before = {target.key: target for target in context.dispatcher.targets()}
    context.dispatcher.configure(context.state, 2.0)
    for target in context.dispatcher.targets():
        assert target.brand == "brand-7" or target is before[target.key]


@given("the routers of {count:d} service that may not measure")
@given("the routers of {count:d} services that may not measure")
def step_routers(context, count):
    context.stack.enter_context(mock.patch.object(dispatch, "ServiceRouter", _CountingRouter))
    context.state = State()
    for change in publish_changes(count, ["10.0.0.1:80"], ["papine"]):
        _without_probe_budget(change.action.document)
        context.state = fold(context.state, context.state.next_offset, change).state
    context.dispatcher = Dispatcher(random.Random(1), _UnusedTransport())
    context.dispatcher.configure(context.state, 0.0)


@when("all that is due has been done")
def step_all_done(context):
    context.dispatcher.wake(1.0)


@then("no router asks to be woken")
def step_no_wake(context):
    assert context.dispatcher.next_wake_ms() is None


def _target(context, key):
    return next(target for target in context.dispatcher.targets() if target.key == key)


def _arrive(context, target, name, now_ms):
    arrival = Arrival(name, Priority.NORMAL, DEADLINE_MS, True)
    return context.loop.create_task(context.dispatcher.admit(target, arrival, now_ms))


@when('a request waits for a slot of "{key}"')
def step_waits(context, key):
    context.target = _target(context, key)
    slots = context.target.service.endpoints[0].slots
    started = [_arrive(context, context.target, f"started-{n}", 1.0) for n in range(slots)]
    run(context, asyncio.wait(started, timeout=TIMEOUT_S))
    assert all(task.done() for task in started)
    context.waiting = _arrive(context, context.target, "waits", 1.0)
    run(context, asyncio.sleep(0))
    _CountingRouter.handled.clear()


@then("only that router asks to be woken")
def step_only_one(context):
    context.dispatcher.wake(context.dispatcher.next_wake_ms())
    assert set(_CountingRouter.handled) == {context.target.key}, _CountingRouter.handled
    context.waiting.cancel()
    run(context, asyncio.wait([context.waiting]))


def _assert_overloaded(context, task):
    run(context, asyncio.wait([task], timeout=TIMEOUT_S))
    error = task.exception()
    assert isinstance(error, RequestError) and error.kind is ErrorKind.OVERLOADED, error


@then("it is refused at the end of its {limit_ms:d} ms by the wake-ups asked for")
def step_refused(context, limit_ms):
    assert limit_ms == WAIT_LIMIT_MS
    while not context.waiting.done():
        now_ms = context.dispatcher.next_wake_ms()
        assert now_ms <= 1.0 + limit_ms, now_ms
        context.dispatcher.wake(now_ms)
        run(context, asyncio.sleep(0))
    assert now_ms == 1.0 + limit_ms
    _assert_overloaded(context, context.waiting)


@then("another one is refused by the event loop's own timer")
def step_refused_by_timer(context):
    while (now_ms := context.dispatcher.next_wake_ms()) is not None:
        context.dispatcher.wake(now_ms)

    async def reject_by_timer():
        context.dispatcher.start_timer(monotonic_ms)
        started_ms = monotonic_ms()
        task = _arrive(context, context.target, "waits-too", started_ms)
        await asyncio.wait([task], timeout=TIMEOUT_S)
        context.dispatcher.stop_timer()
        assert monotonic_ms() >= started_ms + WAIT_LIMIT_MS
        return task

    _assert_overloaded(context, run(context, reject_by_timer()))


def _owning_router(measuring_ms_per_s, spacing=None):
    router = ServiceRouter(random.Random(1), turns=spacing)
    policy = Policy(measuring_ms_per_s=measuring_ms_per_s)
    router.handle(EndpointsChanged((Endpoint("10.0.0.1:80", "papine"),), policy), 0.0)
    router.handle(HomesChanged("vm-1", ("vm-1",)), 0.0)
    return router


@given("a router that owns one endpoint")
def step_owner(context):
    context.router = _owning_router(60)


@then("it probes once its budget allows, and wakes up next when the answer has grown stale")
def step_probes(context):
    wake_ms = context.router.next_wake_ms(0.0)
    assert context.router.handle(Tick(), wake_ms) == ()
    wake_ms = context.router.next_wake_ms(wake_ms)
    assert context.router.handle(Tick(), wake_ms) == (Probe("10.0.0.1:80"),)
    assert context.router.next_wake_ms(wake_ms) is None
    context.router.handle(ProbeEnded("10.0.0.1:80", 0, 5.0), wake_ms + 5.0)
    checked_ms = context.router.next_wake_ms(wake_ms + 5.0)
    assert context.router.handle(Tick(), checked_ms) == ()
    stale_ms = wake_ms + 5.0 + EVIDENCE_LIFETIME_MS
    wake_ms = context.router.next_wake_ms(checked_ms)
    assert wake_ms == stale_ms, (wake_ms, stale_ms)
    assert context.router.handle(Tick(), wake_ms) == (Probe("10.0.0.1:80"),)


@then("after a refused request it wakes up to ask for the endpoint's health")
def step_health(context):
    address, now_ms = "10.0.0.1:80", 20_000.0
    context.router.handle(ProbeEnded(address, 0, 5.0), now_ms)
    context.router.handle(Tick(), context.router.next_wake_ms(now_ms))
    context.router.handle(Arrival("r1", Priority.NORMAL, DEADLINE_MS, True), now_ms + 1_000)
    rejected = AttemptEnded("r1", address, AttemptResult.REFUSED, 1.0)
    context.router.handle(rejected, now_ms + 1_001)
    wake_ms = context.router.next_wake_ms(now_ms + 1_001)
    assert wake_ms <= now_ms + 1_001 + CHECK_EVERY_MS, wake_ms
    assert Probe(address, health=True) in context.router.handle(Tick(), wake_ms)


@then("a router without the budget for a probe never wakes up for one")
def step_no_budget(context):
    router = _owning_router(0)
    assert router.handle(Tick(), router.next_wake_ms(0.0)) == ()
    assert router.next_wake_ms(2.0) is None


@given("400 routers that each own one endpoint and share their turns")
def step_share(context):
    spacing = ProbeSpacing()
    context.routers = [_owning_router(60, spacing) for _ in range(400)]


@then("they probe no more often than a daemon may, and go through all endpoints")
def step_probe_rate(context):
    probed, times = [], WakeTimes()
    for index, router in enumerate(context.routers):
        times.request(str(index), router.next_wake_ms(0.0))
    while (now_ms := times.earliest_ms()) < PROBING_MS:
        for key in times.pop_due(now_ms):
            router = context.routers[int(key)]
            for probe in router.handle(Tick(), now_ms):
                probed.append(key)
                router.handle(ProbeEnded(probe.address, 0, 5.0), now_ms)
            times.request(key, router.next_wake_ms(now_ms))
    assert len(probed) <= PROBES_PER_S * (1 + PROBING_MS / 1000), len(probed)
    assert len(set(probed)) == len(context.routers), len(set(probed))


@when('"brand-7" changes the policy of "service-3"')
def step_one_policy(context):
    document = _without_probe_budget(brand_document("brand-7", 10, ["10.0.0.1:80"], ["papine"]))
    document["services"][3]["policy"]["wait_limit_ms"] = 2 * WAIT_LIMIT_MS
    _change(context, Publish(document), 1)


@then('only the router of "{key}" has taken an event')
def step_only_router(context, key):
    assert _CountingRouter.handled == [key], _CountingRouter.handled


@when('"brand-7" is removed')
def step_removed(context):
    _change(context, RemoveBrand(), 2)


@then('only the ten routers of "brand-7" have taken an event')
def step_only_ten(context):
    keys = [f"brand-7/service-{index}" for index in range(10)]
    assert sorted(_CountingRouter.handled) == keys, _CountingRouter.handled


@then("its host names are unknown and all others are known")
def step_hosts(context):
    targets = context.dispatcher.targets()
    assert len(targets) == 380
    for target in targets:
        assert context.dispatcher.target_for(target.service.hosts[0].encode()) is target
    try:
        context.dispatcher.target_for(b"service-3.brand-7.example")
    except RequestError as error:
        assert error.kind is ErrorKind.UNKNOWN_HOST
    else:
        raise AssertionError("the host name is known")


@given("{count:d} daemons that know each other")
def step_members(context, count):
    context.network = MemberNetwork()
    vms = [f"vm-{index}" for index in range(count)]
    for vm in vms:
        context.network.add(vm)
    context.network.list_vms(vms)
    context.network.run(SETTLE_MS)
    assert all(context.network.serving(vm) == set(vms) for vm in vms)


@then("in ten seconds each has a tick for every heartbeat and search, and none besides")
def step_ticks(context):
    before = context.network.ticks
    context.network.run(IDLE_MS)
    ticks = (context.network.ticks - before) / len(context.network.nodes)
    heartbeats, searches = IDLE_MS / HEARTBEAT_MS, IDLE_MS / SEARCH_INTERVAL_MS
    assert heartbeats * 0.8 <= ticks <= heartbeats + searches + 1, ticks


@given("a daemon with a heartbeat each ten seconds and one neighbour")
def step_slow_heartbeat(context):
    own = Member("vm-0", "papine", "vm-0:80", "vm-0:90", 1)
    context.membership = Membership(own, random.Random(1), 0.0, heartbeat_ms=10_000)
    context.membership.handle(LinkOpened(Hello("vm-1", "papine", "vm-1:80", "vm-1:90", 1)), 0.0)


@then("it pings the neighbour at the end of the silence that it allows, and suspects it in time")
def step_pinged(context):
    times, pinged_ms, now_ms = DetectorTimeouts(), None, 0.0
    while context.membership.table.get("vm-1").status is Status.ALIVE:
        now_ms = max(now_ms + 1, context.membership.next_wake_ms(now_ms))
        sent = context.membership.handle(MemberTick(), now_ms)
        if SendMessage("vm-1", Ping()) in sent:
            pinged_ms = now_ms
    assert (
        times.silence_timeout_ms < pinged_ms <= times.silence_timeout_ms + BUSY_TICK_MS
    ), pinged_ms
    assert now_ms <= pinged_ms + times.check_timeout_ms + BUSY_TICK_MS, now_ms


async def _answer(scope, receive, send):
    await send(
        {"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"0")]}
    )
    await send({"type": "http.response.body"})


@given("a listener that has answered a request")
def step_listener(context):
    tick_mock = context.stack.enter_context(
        mock.patch.object(
            uvicorn.Server, "on_tick", autospec=True, side_effect=uvicorn.Server.on_tick
        )
    )
    context.tick_mock = tick_mock

    async def start():
        context.listener = Listener(_answer, "127.0.0.1:0")
        await context.listener.start()
        reader, writer = await connect(context.listener.address)
        writer.write(request("GET", "/"))
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()

    run(context, start())


@then("it has looked once at whether to stop after half a second")
def step_ticked_once(context):
    run(context, asyncio.sleep(LISTENER_IDLE_S))
    assert context.tick_mock.call_count == 1, context.tick_mock.call_count


@then("it stops when it is told to")
def step_stops(context):
    run(context, asyncio.wait_for(context.listener.stop(), TIMEOUT_S))
