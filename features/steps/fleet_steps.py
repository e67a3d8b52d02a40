"""Steps that start a small fleet of real processes and call it."""

import asyncio
import uuid

import aiohttp
from behave import given, then, when

from cloverhook_emulator.fleet_runner import Fleet

HOST = "booking.brathwaite.example"
DATA_CENTERS = ("halfway-tree", "new-kingston", "papine")
WAIT_S = 20

CONFIG = """
brand = "brathwaite"
[[services]]
name = "booking"
hosts = ["{host}"]
[[services.places]]
data_center = "papine"
endpoints = [{endpoints}]
"""


def run(context, work):
    """Run a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(work)


async def eventually(condition):
    """Wait until an asynchronous condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not await condition():
            await asyncio.sleep(0.05)


async def _start(context, backends, daemons):
    context.fleet = await context.stack.enter_async_context(Fleet())
    context.session = await context.stack.enter_async_context(aiohttp.ClientSession())
    context.endpoints = await context.fleet.start_backend("--work_ms=5", count=backends)
    for index in range(daemons):
        await context.fleet.start_daemon(f"vm-{index}", DATA_CENTERS[index % 3], drain_ms=500)
    await context.fleet.list_vms()


@given("{backends:d} backend servers and {daemons:d} daemons")
def step_fleet(context, backends, daemons):
    run(context, _start(context, backends, daemons))


@when("an operator publishes the configuration")
def step_publish(context):
    path = context.fleet.folder / "brand.toml"
    endpoints = ", ".join(f'"{address}"' for address in context.endpoints)
    path.write_text(CONFIG.format(host=HOST, endpoints=endpoints))
    code, output, errors = run(context, context.fleet.tool("publish", str(path)))
    assert code == 0, output + errors


@then("every daemon has the configuration")
def step_followed(context):
    async def everywhere():
        statuses = [await context.fleet.status(vm) for vm in context.fleet.daemons]
        return all("brathwaite" in status["brands"] for status in statuses)

    run(context, eventually(everywhere))


@then("a caller gets {count:d} addresses for the service")
def step_addresses(context, count):
    async def enough():
        daemon = next(iter(context.fleet.daemons.values()))
        url = f"http://{daemon.caller_address}/.well-known/cloverhook/addresses"
        async with context.session.get(url, headers={"Host": HOST}) as answer:
            context.addresses = (await answer.json())["addresses"]
        return len(context.addresses) == count

    run(context, eventually(enough))


@then("{count:d} requests at all addresses each get their own answer")
def step_requests(context, count):
    async def call(index):
        request_id = uuid.uuid4().hex
        address = context.addresses[index % len(context.addresses)]
        headers = {"Host": HOST, "X-Request-Id": request_id}
        async with context.session.get(f"http://{address}/open", headers=headers) as answer:
            assert answer.status == 200, answer.status
            assert await answer.text() == request_id

    async def all_calls():
        await asyncio.gather(*(call(index) for index in range(count)))

    run(context, all_calls())


@then('a request for an unknown host is answered {status:d} and "{outcome}"')
def step_unknown_host(context, status, outcome):
    async def call():
        daemon = next(iter(context.fleet.daemons.values()))
        url = f"http://{daemon.caller_address}/"
        async with context.session.get(url, headers={"Host": "nobody.example"}) as answer:
            assert answer.status == status, answer.status
            assert answer.headers["Cloverhook-Outcome"] == outcome

    run(context, call())
