"""Steps for responses that endpoints send in place of others on a connection."""

import asyncio
import json
from unittest.mock import patch

from behave import given, then, when

from cloverhook.gateway import attempt
from features import gateway_fleet as fleet
from features.shared import run

PROBE_TIMEOUT_MS = 10_000.0
"""A pause of the test's process must not end a probe."""


def gateway_of(context):
    """Return the only gateway."""
    return context.gateways[0][0]


def unmatched_count(context, exchange):
    """Return how many responses were skipped because they belong to another exchange."""
    labels = (("exchange", exchange), ("taken", "false"))
    return gateway_of(context)._counters._counts.get(("unmatched_responses", labels), 0)


def is_request_sent(context):
    """Return whether the gateway has sent a request that is in progress to an endpoint."""
    running = gateway_of(context)._forwarder._running.values()
    return any(state.attempts[-1].sent for states in running for state in states)


async def write(context, request_id):
    """Send a write through the gateway and return its answer."""
    address = context.gateways[0][1].caller_address
    return await fleet.call(address, fleet.UNSAFE, "POST", request_id, body=b"pay")


@given("a gateway without scheduled probes, whose log is kept, and {count:d} backend servers")
def step_gateway(context, count):
    context.log_lines = []

    def keep(data):
        context.log_lines += data.splitlines()
        return len(data)

    run(context, fleet.start_fleet(context, count, probes_per_s=0, write_log=keep))


@given("it reports itself unhealthy, and sends its last response again ahead of that to a probe")
def step_repeat_before_probe(context):
    (backend,) = context.backends
    backend.unhealthy = True
    context.stack.enter_context(patch.object(attempt, "LOAD_PROBE_TIMEOUT_MS", PROBE_TIMEOUT_MS))

    async def repeat(writer):
        backend._write(writer, 200, b"again", backend.last_ids[writer])
        await fleet.until(lambda: unmatched_count(context, "probe") or is_request_sent(context))

    backend.before_probe_response = repeat


def send_ahead(context, status, names_endpoint):
    """Have the first endpoint that gets a request send another response ahead of its own."""
    asked = []

    def send(backend, _):
        if not asked:
            asked.append(backend)
            (writer,) = backend.writers
            backend._write(writer, status, b"", incarnation=names_endpoint)

    for backend in context.backends:
        backend.on_request = send


@given("it sends a {status:d} of its health path ahead of its response to a request")
def step_probe_response_ahead(context, status):
    send_ahead(context, status, names_endpoint=True)


@given("it sends a {status:d} that names neither of them ahead of its response to a request")
@given(
    "the first to be asked sends a {status:d} that names neither of them ahead of its response to "
    "a request"
)
def step_unnamed_response_ahead(context, status):
    send_ahead(context, status, names_endpoint=False)


@when("a caller writes twice, so that a load probe precedes the second write")
def step_write_twice(context):
    async def write_twice():
        first = await write(context, "w-1")
        await asyncio.sleep(2 * attempt.LOAD_MAX_AGE_MS / 1000)
        context.answers = [first, await write(context, "w-2")]

    run(context, write_twice())


@then("both writes are answered 200 and ran once each")
def step_both_ran(context):
    assert [answer.status for answer in context.answers] == [200, 200], context.answers
    assert [answer.body for answer in context.answers] == [b"i-0", b"i-0"], context.answers
    assert context.backends[0].ran == [b"w-1", b"w-2"], context.backends[0].ran


@then("the response that came twice is counted and logged as not taken for the probe")
def step_logged(context):
    assert unmatched_count(context, "probe") == 1
    gateway_of(context)._log.flush()
    lines = [json.loads(line) for line in context.log_lines if b"unmatched-response" in line]
    (line,) = [item for item in lines if item["exchange"] == "probe"]
    assert (line["id"], line["server"], line["taken"]) == ("w-1", "i-0", False), line


@then("the gateway has no connection open but those kept for use")
def step_no_other_connection(context):
    pool = gateway_of(context)._pool
    idle = sum(len(connections) for connections in pool._idle.values())
    assert pool.open_count == idle, (pool.open_count, idle)
