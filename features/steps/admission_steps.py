"""Steps for the fair shares of brands: `Admission` alone, and a real daemon that a brand floods."""

import asyncio

from behave import given, then, when

from cloverhook.admission import Admission
from cloverhook_emulator.fleet_runner import Fleet
from features.http_peers import HOST, ScriptedBackend, call, connect, request
from features.shared import CONFIG, eventually, run

LIMIT = 6
OTHER_HOST = "routes.saltbush.example"
LONG_TIMEOUT_POLICY = "[services.policy]\ntimeout_ms = 60000\nwait_limit_ms = 60000\n"


@then("a brand alone may use all, and another's first requests are taken all the same")
def step_shares(context):
    admission = Admission(LIMIT)
    assert [admission.try_enter("a") for _ in range(LIMIT + 1)] == [True] * LIMIT + [False]
    assert [admission.try_enter("b") for _ in range(4)] == [True, True, True, False]
    assert [admission.try_enter("c") for _ in range(3)] == [True, True, False]


@then("room that a flood gives back goes to the brand below its share first")
def step_released_place(context):
    admission = Admission(LIMIT)
    assert admission.try_enter("b")
    assert [admission.try_enter("a") for _ in range(LIMIT)] == [True] * (LIMIT - 1) + [False]
    admission.leave("b")
    assert admission.try_enter("a")
    admission.try_enter("b")
    admission.leave("a")
    assert not admission.try_enter("a")
    assert admission.try_enter("b")


@then("requests that have ended leave nothing behind")
def step_nothing_left(context):
    admission = Admission(LIMIT)
    for _ in range(100):
        assert admission.try_enter("a") and admission.try_enter("b")
        admission.leave("a")
        admission.leave("b")
    assert [admission.try_enter("c") for _ in range(LIMIT)] == [True] * LIMIT
    assert [admission.try_enter("d") for _ in range(4)] == [True, True, True, False]


async def _start(context):
    context.fleet = await context.stack.enter_async_context(Fleet())
    daemon = await context.fleet.start_daemon("vm-0", "papine", drain_ms=100, requests_limit=LIMIT)
    context.address = daemon.caller_address
    context.backends = []
    for brand, host in (("brathwaite", HOST), ("saltbush", OTHER_HOST)):
        answers = {"/hang": ScriptedBackend.hang}
        backend = await context.stack.enter_async_context(ScriptedBackend(answers))
        context.backends.append(backend)
        text = CONFIG.format(host=host, endpoints=f'"{backend.address}"') + LONG_TIMEOUT_POLICY
        path = context.fleet.folder / f"{brand}.toml"
        path.write_text(text.replace('"brathwaite"', f'"{brand}"'))
        code, output, errors = await context.fleet.run_tool("publish", str(path))
        assert code == 0, output + errors

    async def both_configured():
        return len((await context.fleet.status("vm-0"))["brands"]) == 2

    await eventually(both_configured)


@given("a daemon that takes few requests of two brands")
def step_two_brands(context):
    run(context, _start(context))


@when("one brand floods it with requests that hang")
def step_flood(context):
    async def flood():
        context.replies = []
        context.flood = [await connect(context.address) for _ in range(LIMIT)]
        for _, writer in context.flood:
            writer.write(request("GET", "/hang"))
        async with asyncio.timeout(20):
            while not context.replies or context.replies[-1].status != 503:
                data = request("GET", "/echo", b"Cloverhook-Timeout-Ms: 200")
                context.replies.append(await call(context.address, data))

    run(context, flood())


@then("the flood's next request is refused at once, as not run, with a time to come back")
def step_rejected(context):
    reply = context.replies[-1]
    assert reply.header(b"cloverhook-error") == [b"overloaded"], reply
    assert reply.header(b"cloverhook-outcome") == [b"not-run"], reply
    assert reply.header(b"retry-after") == [b"1"], reply


@then("the other brand's requests are answered")
def step_answered(context):
    for _ in range(5):
        reply = run(context, call(context.address, request("GET", "/echo", host=OTHER_HOST)))
        assert reply.status == 200, reply
    assert len(context.backends[1].ran("/echo")) == 5
