"""Steps on backend servers that name a limit of requests a second."""

import asyncio
import random

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from features import gateway_fleet as fleet
from features.shared import run

WINDOW_MS = 4_000.0


def most_in_window(times_ms, from_ms, window_ms=WINDOW_MS):
    """Return the most arrivals in a window that ends after a time."""
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
        await fleet.start_fleet(context, backends, gateways)
        others = gateways - 1
        await fleet.until(lambda: all(len(item._members) == others for item, _ in context.gateways))

    run(context, start())
    context.arrivals = {}
    context.first_named_ms = {}
    for backend in context.backends:
        backend.work_ms = 30.0
        context.arrivals[backend.incarnation] = []
        backend.on_request = lambda item, _: arrived(context, item)
    context.limited = context.backends[:limited]
    for backend in context.limited:
        backend.limit_per_s = per_s


def arrived(context, backend):
    """Note a request that a backend server has got."""
    now_ms = monotonic_ms()
    context.arrivals[backend.incarnation].append(now_ms)
    context.first_named_ms.setdefault(backend.incarnation, now_ms)


@when("callers send {rate:d} requests a second for {time_s:d} s")
def step_load(context, rate, time_s):
    context.answers = []

    async def one(number):
        _, settings = random.choice(context.gateways)
        answer = await fleet.call(settings.caller_address, request_id=f"r-{number}")
        context.answers.append(answer)

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
