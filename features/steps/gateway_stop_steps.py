"""Steps on what the planned stop of a gateway does to requests."""

import asyncio
import json
import math

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.explain import explain_request, read_lines
from cloverhook.gateway import attempt
from cloverhook.gateway.planned_stop import PlannedStop
from cloverhook.gateway.server_load import LoadReport
from features import gateway_fleet as fleet
from features.shared import run

LONG_TIMEOUT_MS = 60_000


CALLS = {
    "read": ("GET", "/long-read/"),
    "write": ("POST", "/long-write/"),
    "short read": ("GET", "/short-read/"),
}
"""The method and path of each kind of call."""


def gateway_of(context):
    """Return the first gateway."""
    return context.gateways[0][0]


def call(context, request_id, path=fleet.SAFE, method="GET", timeout_ms=LONG_TIMEOUT_MS):
    """Start a call through the first gateway; return its task."""
    address = context.gateways[0][1].caller_address
    work = fleet.call(address, path, method, request_id, timeout_ms)
    return asyncio.ensure_future(work)


def log_lines(context, kind):
    """Return the lines of a kind that the first gateway has logged."""
    gateway_of(context)._log.flush()
    lines = [json.loads(line) for line in context.log_lines]
    return [line for line in lines if line["kind"] == kind]


async def start(context, stop_s, count, **fields):
    """Start a gateway whose log is kept, and backend servers.

    All further routes have a long timeout, and all but `short-read` a long objective.
    """
    context.log_lines = []

    def keep(data):
        context.log_lines += data.splitlines()
        return len(data)

    await fleet.start_fleet(context, count, stop_s=stop_s, write_log=keep, **fields)
    times = {"timeout_ms": LONG_TIMEOUT_MS, "aim_ms": LONG_TIMEOUT_MS}
    routes = (
        fleet.route("short-read", "/short-read/", True, timeout_ms=LONG_TIMEOUT_MS),
        fleet.route("long-read", "/long-read/", True, **times),
        fleet.route("long-write", "/long-write/", False, **times),
    )
    context.store.put_config(fleet.config(2, *routes))
    gateways = [gateway for gateway, _ in context.gateways]
    await fleet.until(lambda: all(item._gateway_state.config_version == 2 for item in gateways))


@given("a gateway whose planned stop takes {stop_s:g} s, and {count:d} backend servers that {act}")
def step_stopping_gateway(context, stop_s, count, act):
    run(context, start(context, stop_s, count))
    for backend in context.backends:
        backend.default = {"stay silent": "silent", "answer": "ok"}[act]


@when("a caller reads with a limit of 60 s, and the gateway begins a planned stop meanwhile")
def step_broken_off(context):
    async def stop():
        task = call(context, "r-long", "/long-read/")
        await fleet.until(lambda: any(backend.ran for backend in context.backends))
        gateway_of(context).begin_shutdown()
        await gateway_of(context).run_until_stopped()
        task.cancel()

    run(context, stop())


@then("the log names that request as broken off, with the endpoint and the time that it had left")
def step_named(context):
    (line,) = log_lines(context, "broken-off")
    assert line["id"] == "r-long" and line["servers"] == ["i-0"], line
    assert 0 < line["left_ms"] <= LONG_TIMEOUT_MS - line["age_ms"], line


@then("explain says that it was broken off")
def step_explained(context):
    lines = read_lines(line.decode() for line in context.log_lines)
    assert explain_request("r-long", lines).cause.startswith("broken-off"), lines


@when(
    "the gateway begins a planned stop, and then a caller sends a {kind} with a limit of "
    "{limit_s:d} s"
)
def step_request_in_stop(context, kind, limit_s):
    async def send():
        gateway_of(context).begin_shutdown()
        method, path = CALLS[kind]
        context.answer = await call(context, "late", path, method, limit_s * 1000)

    run(context, send())


@then("the answer is {status:d}, and {runs:d} requests have run")
def step_answered(context, status, runs):
    assert context.answer.status == status, context.answer
    if status == 503:
        assert 0 < float(context.answer.headers["retry-after"]) < 1, context.answer
        assert context.answer.body == b"stopping", context.answer
    assert sum(len(backend.ran) for backend in context.backends) == runs


@given("its slots are in use, and reads with limits of 60 s and 20 s wait for one")
def step_waiting(context):
    async def fill():
        calls = [call(context, f"r-{number}", "/long-read/") for number in range(fleet.SLOTS)]
        await fleet.until(lambda: len(context.backends[0].ran) == fleet.SLOTS)
        limits_ms = {"waits-60": 60_000, "waits-20": 20_000}
        context.waiting = {
            name: call(context, name, "/long-read/", timeout_ms=limit_ms)
            for name, limit_ms in limits_ms.items()
        }
        context.tasks = [*calls, *context.waiting.values()]
        admission = gateway_of(context)._forwarder.admission
        await fleet.until(lambda: len(admission) == len(limits_ms))

    run(context, fill())


@when("the gateway begins a planned stop")
def step_stop(context):
    async def stop():
        gateway_of(context).begin_shutdown()
        done, _ = await asyncio.wait(context.tasks, return_when=asyncio.FIRST_COMPLETED)
        context.ended = done

    run(context, stop())


@then("the read with a limit of 60 s is answered 503, has not run, and the other one still waits")
def step_rejected_in_queue(context):
    assert context.ended == {context.waiting["waits-60"]}, context.ended
    assert context.waiting["waits-60"].result().status == 503
    assert len(gateway_of(context)._forwarder.admission) == 1
    assert len(context.backends[0].ran) == fleet.SLOTS
    for task in context.tasks:
        task.cancel()


@when("a caller sends a read with a limit of 60 s, the gateway begins a planned stop, and {what}")
def step_trouble_in_stop(context, what):
    async def send():
        context.task = call(context, "r-1", "/long-read/")
        await fleet.until(lambda: any(backend.ran for backend in context.backends))
        (busy,) = [backend for backend in context.backends if backend.ran]
        gateway = gateway_of(context)
        gateway.begin_shutdown()
        if what == "its endpoint crashes":
            await busy.crash()
            await asyncio.wait({context.task})
            return
        (state,) = gateway._forwarder._running[busy.incarnation]
        server = gateway._gateway_state.registry.get(busy.incarnation)
        for report in (LoadReport(1, 0, 7.0), LoadReport(1, 0, 7.0)):
            state.attempts[-1].began_ms = monotonic_ms()
            gateway._on_load_report(server, report, monotonic_ms())
            await fleet.until(lambda: state.recheck is None or not state.recheck.done())

    run(context, send())


@then("{runs:d} requests have run, and the answer is {status}")
def step_no_further_attempt(context, runs, status):
    assert sum(len(backend.ran) for backend in context.backends) == runs
    assert sum(bool(backend.seen) for backend in context.backends) == runs
    if status == "none":
        assert not context.task.done()
        context.task.cancel()
    else:
        assert context.task.result().status == int(status), context.task.result()


@when("the stop begins while a write with a limit of 60 s waits for its load probe")
def step_stop_before_send(context):
    (backend,) = context.backends

    async def begin_stop(writer):
        gateway_of(context).begin_shutdown()

    async def write():
        await call(context, "w-1", "/long-write/", "POST")
        await asyncio.sleep(2 * attempt.LOAD_MAX_AGE_MS / 1000)
        backend.before_probe_response = begin_stop
        context.answer = await call(context, "w-2", "/long-write/", "POST")

    run(context, write())


@then("the write is answered 503 and has not run")
def step_not_sent(context):
    assert context.answer.status == 503, context.answer
    assert context.backends[0].ran == [b"w-1"], context.backends[0].ran


@given("a planned stop of {stop_s:g} s that has begun")
def step_planned_stop(context, stop_s):
    context.planned_stop = PlannedStop()
    context.planned_stop.begin(0.0, stop_s * 1000)


@then(
    "a {kind} that is expected to take {work_s:g} s, sent {after_s:g} s later with a timeout of "
    "{timeout_s:g} s, is {decision}"
)
def step_decision(context, kind, work_s, after_s, timeout_s, decision):
    now_ms = 1000 * after_s
    expected_ms = 1000 * work_s if kind == "read" else math.inf
    allowed = context.planned_stop.allows(now_ms, now_ms + 1000 * timeout_s, expected_ms)
    assert allowed == (decision == "accepted")
