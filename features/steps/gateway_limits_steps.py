"""Steps for backend servers that advertise a rate limit in requests per second."""

import asyncio
import contextlib
import json
import random

import cbor2
from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.gateway.call_headers import CallHeaders, parse_rate_limit
from cloverhook.gateway.peer_messages import MESSAGE_TYPES, RateLimitUpdate, decode
from features import gateway_fleet as fleet
from features.rate_limit_replay import RateLimitReplay
from features.shared import run

WINDOW_MS = 4_000.0


def most_in_window(times_ms, from_ms, window_ms=WINDOW_MS):
    """Return the most arrivals in any window that ends with an arrival at or after `from_ms`."""
    ends = [at_ms for at_ms in times_ms if at_ms >= from_ms]
    return max(
        (sum(end_ms - window_ms < at_ms <= end_ms for at_ms in times_ms) for end_ms in ends),
        default=0,
    )


@given(
    "{gateways:d} gateways and {backends:d} backend servers, of which {limited:d} name a limit of"
    " {per_s:g} requests a second"
)
def step_limited(context, gateways, backends, limited, per_s):
    async def start():
        context.log = bytearray()

        def write(data):
            context.log += data
            return len(data)

        await fleet.start_fleet(context, backends, gateways, write_log=write)
        others = gateways - 1
        await fleet.until(lambda: all(len(item._members) == others for item, _ in context.gateways))

    run(context, start())
    context.arrivals = {}
    context.first_named_ms = {}
    for backend in context.backends:
        backend.work_ms = 180.0
        context.arrivals[backend.incarnation] = []
        backend.on_request = lambda item, _: record_arrival(context, item)
    context.limited = context.backends[:limited]
    for backend in context.limited:
        backend.limit_per_s = per_s


def record_arrival(context, backend):
    """Record the arrival time of a request at a backend server, and that of its first one."""
    now_ms = monotonic_ms()
    context.arrivals[backend.incarnation].append(now_ms)
    context.first_named_ms.setdefault(backend.incarnation, now_ms)


@when("callers send {rate:d} requests a second for {time_s:d} s")
def step_load(context, rate, time_s):
    context.answers, context.timed = [], []
    started_ms = monotonic_ms()

    async def one(number):
        _, settings = random.choice(context.gateways)
        sent_ms = monotonic_ms()
        answer = await fleet.call(settings.caller_address, request_id=f"r-{number}")
        context.answers.append(answer)
        context.timed.append((sent_ms - started_ms, monotonic_ms() - sent_ms, answer))

    async def load():
        tasks = []
        for number in range(rate * time_s):
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    run(context, load())
    context.ended_ms = monotonic_ms()


@then(
    "from {after_s:d} s after its first word on, none of them gets more than {count:d} requests in"
    " 4 s"
)
def step_within(context, after_s, count):
    for backend in context.limited:
        name = backend.incarnation
        from_ms = context.first_named_ms[name] + after_s * 1000
        most = most_in_window(context.arrivals[name], from_ms)
        assert most <= count, (name, most)


@then("each of them gets {count:d} or more in the last 4 s")
def step_used(context, count):
    for backend in context.limited:
        times_ms = context.arrivals[backend.incarnation]
        found = sum(at_ms > context.ended_ms - WINDOW_MS for at_ms in times_ms)
        assert found >= count, (backend.incarnation, found)


@then("all requests are answered by a backend server")
def step_all_answered(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200}, {status: statuses.count(status) for status in statuses}


@given("{runs:d} replays of {vms:d} gateways and endpoints that name {per_s:g} requests a second")
def step_replays(context, runs, vms, per_s):
    context.replay = runs, vms, per_s


@when("each gateway has requests enough for 10 s, and {changing} of the gateways come and go")
def step_play(context, changing):
    runs, vms, per_s = context.replay
    share = {"none": 0.0, "a tenth": 0.1}[changing]
    context.replays = [RateLimitReplay(vms, per_s, share, seed) for seed in range(runs)]
    for replay in context.replays:
        replay.play()


@then("no endpoint gets more than one and a half times its limit and 5 requests in 4 s")
def step_replay_within(context):
    found = [replay.most_in_window() for replay in context.replays]
    assert max(found) <= 1.5 * 4 * context.replay[2] + 5, found


@then("each endpoint gets {share:g} of its limit or more")
def step_replay_used(context, share):
    found = [replay.least_used_share() for replay in context.replays]
    assert min(found) >= share, found


@then("those that are refused have waited for {most_ms:d} ms at most after the first second")
def step_refused_at_once(context, most_ms):
    refused = [
        (took_ms, answer)
        for at_ms, took_ms, answer in context.timed
        if answer.status == 503 and at_ms > 1_000
    ]
    context.refused = [answer for _, answer in refused]
    waited = sorted(took_ms for took_ms, _ in refused)
    assert waited and waited[-1] <= most_ms, waited[-5:]


@then("they are told that limits are the cause, and when to come back")
def step_refused_for_limits(context):
    assert {answer.body for answer in context.refused} == {b"rate-limited"}
    assert all(float(answer.headers["retry-after"]) > 0 for answer in context.refused)


@then("every gateway knows the limit, its log and its metrics name it")
def step_all_know(context):
    server = context.limited[0].incarnation

    async def metrics():
        pages = [await gateway._serve_metrics(None) for gateway, _ in context.gateways]
        return [page.body for page in pages]

    for gateway, _ in context.gateways:
        limit = gateway._peering.rate_limit_updates.limits.get(server)
        assert limit is not None and limit.per_s == context.limited[0].limit_per_s, limit
    lines = [json.loads(line) for line in context.log.splitlines()]
    found = [line for line in lines if line["kind"] == "rate-limit" and line["server"] == server]
    assert {line["vm"] for line in found} == {f"vm-{index}" for index in range(4)}, found
    for page in run(context, metrics()):
        assert b"cloverhook_gateway_rate_limits 1\n" in page


@when(
    "the backend server ceases to name it, and callers send {rate:d} requests a second for"
    " {time_s:d} s"
)
def step_ceases(context, rate, time_s):
    context.limited[0].limit_per_s = None
    step_load(context, rate, time_s)


@then("no gateway knows a limit")
def step_none_known(context):
    for gateway, _ in context.gateways:
        assert not gateway._peering.rate_limit_updates.limits


@then("a header that is no number of requests names no limit")
def step_no_limit(context):
    names = CallHeaders()

    def parsed(value):
        return parse_rate_limit([(names.rate_limits[0], value)], names)

    assert parsed(b"2.9") == 2.9 and parsed(b"0") == 0.0
    assert parse_rate_limit([], names) is None
    for value in (b"", b"-1", b"nan", b"inf", b"1e9", b"2,9", b"9" * 40, b"two", b" 3"):
        assert parsed(value) is None, value


@then("a datagram with a limit of another type or range is no message")
def step_no_datagram(context):
    kind = MESSAGE_TYPES.index(RateLimitUpdate)
    valid_row = ["i-1", 2.5, 10.0]
    assert decode(cbor2.dumps([kind, "vm-1", [valid_row]])).rows[0].per_s == 2.5
    invalid_rows = (["i-1", -1, 0], ["i-1", "2", 0], [7, 2.5, 0], ["i-1", 2.5, -1], ["i-1", 2.5])
    beyond_float = ["i-1", 2.5, 10**400]
    for row in (*invalid_rows, ["i-1", float("nan"), 0], ["i-1", True, 0], beyond_float):
        with contextlib.suppress(MessageError):
            decode(cbor2.dumps([kind, "vm-1", [row]]))
            raise AssertionError(row)
