"""Steps that start a small fleet of real processes and send requests to it."""

import asyncio
import uuid

from behave import given, then, when

from features.shared import CONFIG, HOST, eventually, run, start_fleet


@given("{backends:d} backend servers and {daemons:d} daemons")
def step_fleet(context, backends, daemons):
    run(context, start_fleet(context, backends, daemons))


@when("an operator publishes the configuration")
def step_publish(context):
    path = context.fleet.folder / "brand.toml"
    endpoints = ", ".join(f'"{address}"' for address in context.endpoints)
    path.write_text(CONFIG.format(host=HOST, endpoints=endpoints))
    code, output, errors = run(context, context.fleet.run_tool("publish", str(path)))
    assert code == 0, output + errors


@then("every daemon has the configuration")
def step_all_configured(context):
    async def all_configured():
        statuses = [await context.fleet.status(vm) for vm in context.fleet.daemons]
        return all("brathwaite" in status["brands"] for status in statuses)

    run(context, eventually(all_configured))


@then("a caller gets {count:d} addresses for the service")
def step_addresses(context, count):
    async def all_addresses():
        daemon = next(iter(context.fleet.daemons.values()))
        url = f"http://{daemon.caller_address}/.well-known/cloverhook/addresses"
        async with context.session.get(url, headers={"Host": HOST}) as answer:
            context.addresses = (await answer.json())["addresses"]
        return len(context.addresses) == count

    run(context, eventually(all_addresses))


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
