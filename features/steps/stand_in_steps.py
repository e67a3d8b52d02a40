"""Steps that run the stand-ins for backend servers and callers in this process."""

import asyncio
import json
import random

import aiohttp
from behave import given, then, when

from cloverhook_emulator.backend_control import control_app
from cloverhook_emulator.backend_server import BackendServer, ServerSettings
from cloverhook_emulator.http_client import CallError, ClientPool
from cloverhook_emulator.http_server import HttpServer
from cloverhook_emulator.load import CallMix, LoadPlan, Phase, run_load

WAIT_S = 20
CONNECTIONS = 4


def _run(context, work):
    async def bounded():
        async with asyncio.timeout(WAIT_S):
            return await work

    return context.loop.run_until_complete(bounded())


async def _call(context, headers):
    request = f"GET /work HTTP/1.1\r\nhost: h\r\nx-request-id: r\r\n{headers}\r\n".encode()
    return await context.pool.call(context.server.address, request, WAIT_S)


async def _end_calls(context):
    context.pool.close()
    for call in context.calls:
        call.cancel()
    await asyncio.gather(*context.calls, return_exceptions=True)


async def _wait_for_ended_calls(context, count, wanted):
    """Wait until at least `count` of the ended calls satisfy the predicate `wanted`."""
    while True:
        ended = [call for call in context.calls if call.done()]
        if sum(wanted(call) for call in ended) >= count:
            return
        await asyncio.sleep(0.01)


def _is_answer(status, *names):
    def wanted(call):
        if call.exception() is not None:
            return False
        answer = call.result()
        return answer.status == status and all(answer.header_text(name) for name in names)

    return wanted


@given("a stand-in server with {slots:d} slots, a queue of {queue:d} and {work_ms:d} ms of work")
def step_server(context, slots, queue, work_ms):
    async def start():
        settings = ServerSettings("b", slots, queue, CONNECTIONS, work_ms, work_sigma=0.0)
        context.server = BackendServer(settings, random.Random(1))
        await context.server.start("127.0.0.1:0")

    _run(context, start())
    context.pool, context.calls = ClientPool(), []
    context.stack.push_async_callback(_end_calls, context)


@when("{count:d} requests are sent to it")
def step_send(context, count):
    _send(context, count, "")


@when("{count:d} requests are sent to it with a timeout of {timeout_ms:d} ms")
def step_send_with_timeout(context, count, timeout_ms):
    _send(context, count, f"cloverhook-timeout-ms: {timeout_ms}\r\n")


def _send(context, count, headers):
    async def send():
        wanted = _handled_count(context.server) + count
        for _ in range(count):
            context.calls.append(asyncio.ensure_future(_call(context, headers)))
        while _handled_count(context.server) < wanted:
            await asyncio.sleep(0.01)

    _run(context, send())


def _handled_count(server):
    counts = server.counts()
    names = ("ran", "waiting", "refused", "refused_connections")
    return sum(counts[name] for name in names)


@when("its faults are set to {document}")
def step_faults(context, document):
    context.server.set_faults(context.server.faults.with_changes(json.loads(document)))


@when("the callers go")
def step_callers_cancel(context):
    async def cancel_all():
        for call in context.calls:
            call.cancel()
        await asyncio.wait(context.calls)

    _run(context, cancel_all())


@then("{count:d} request is refused as not run, with a time to come back")
def step_refused(context, count):
    wanted = _is_answer(503, b"cloverhook-outcome", b"retry-after")
    _run(context, _wait_for_ended_calls(context, count, wanted))


@then("{count:d} request is answered {status:d}")
def step_answered(context, count, status):
    _run(context, _wait_for_ended_calls(context, count, _is_answer(status)))


@then("{count:d} request is cut")
def step_cut(context, count):
    _run(
        context,
        _wait_for_ended_calls(context, count, lambda call: isinstance(call.exception(), CallError)),
    )


@then('{count:d} run is on record as "{outcome}"')
@then('{count:d} runs are on record as "{outcome}"')
def step_recorded(context, count, outcome):
    async def recorded():
        while True:
            outcomes = [record.outcome.value for record in context.server.run_records]
            if outcomes == [outcome] * count:
                return
            await asyncio.sleep(0.01)

    _run(context, recorded())


@then('its path "{path}" is answered {status:d} with "{name}" {value}')
def step_path(context, path, status, name, value):
    async def fetch():
        request = f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()
        return await context.pool.call(context.server.address, request, WAIT_S)

    answer = _run(context, fetch())
    assert answer.status == status, answer
    assert json.loads(answer.body)[name] == json.loads(value), answer


@given("a stand-in daemon that answers nothing until {count:d} calls have arrived")
def step_daemon(context, count):
    waiting = []

    def handle(request):
        if request.path.startswith("/.well-known"):
            document = {"addresses": [context.server.address], "lifetime_ms": 60_000}
            request.respond(200, [], json.dumps(document).encode())
            return
        waiting.append(request)
        if len(waiting) >= count:
            for held_request in waiting:
                held_request.respond(200, [], b"")

    context.server = HttpServer(handle)
    _run(context, context.server.start("127.0.0.1:0"))


@when("the load tool sends it {rate:d} calls a second for {seconds:g} s")
def step_load(context, rate, seconds):
    plan = LoadPlan(
        "h",
        "b",
        (context.server.address,),
        (Phase(rate, seconds),),
        CallMix(timeout_ms=WAIT_S * 1000),
    )
    context.result = _run(context, run_load(plan))


@then("the load tool got a good answer to every call")
def step_all_good(context):
    phase = context.result.phases[0]
    assert phase.calls > 20, phase.calls
    assert (
        phase.succeeded == phase.calls == len(context.result.request_records)
    ), phase.to_document()


@given("{count:d} stand-in servers with a control port")
def step_servers(context, count):
    async def start():
        servers = [BackendServer(ServerSettings(), random.Random(1)) for _ in range(count)]
        for server in servers:
            await server.start("127.0.0.1:0")
        context.servers = {server.address: server for server in servers}
        context.control = await control_app(context.servers, "127.0.0.1:0")

    _run(context, start())
    context.stack.push_async_callback(lambda: context.control.stop())


@when("the control port is told {document} for the first {count:d} of them")
def step_control(context, document, count):
    async def set_control():
        named = ",".join(list(context.servers)[:count])
        url = f"http://{context.control.address}/control?server={named}"
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, json=json.loads(document)) as answer,
        ):
            assert answer.status == 200, await answer.text()

    _run(context, set_control())


@then("the first {count:d} of them drain and the others do not")
def step_drain(context, count):
    found = [server.faults.drain for server in context.servers.values()]
    assert found == [index < count for index in range(len(found))], found
