"""Steps on what the planned stop of a gateway does to requests."""

import asyncio
import json

from behave import given, then, when

from features import gateway_fleet as fleet
from features.shared import run

LONG_TIMEOUT_MS = 60_000


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
    """Start a gateway whose log is kept, and backend servers; routes have a long timeout."""
    context.log_lines = []

    def keep(data):
        context.log_lines += data.splitlines()
        return len(data)

    await fleet.start_fleet(context, count, stop_s=stop_s, write_log=keep, **fields)
    routes = (
        fleet.route("long-read", "/long-read/", True, timeout_ms=LONG_TIMEOUT_MS),
        fleet.route("long-write", "/long-write/", False, timeout_ms=LONG_TIMEOUT_MS),
    )
    context.store.put_config(fleet.config(2, *routes))
    gateways = [gateway for gateway, _ in context.gateways]
    await fleet.until(lambda: all(item._gateway_state.config_version == 2 for item in gateways))


@given("a gateway whose planned stop takes {stop_s:g} s, and {count:d} backend servers that {act}")
def step_stopping_gateway(context, stop_s, count, act):
    run(context, start(context, stop_s, count))
    for backend in context.backends:
        backend.default = {"stay silent": "silent", "answer": "ok"}[act]


@when("a caller reads with a limit of 60 s, and the gateway is told to stop meanwhile")
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
