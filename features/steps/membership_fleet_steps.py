"""Steps that cause failures among real daemons."""

import asyncio
import signal
import uuid

import aiohttp
from behave import given, then, when
from websockets.asyncio.client import connect

from cloverhook.clock import PAUSE_THRESHOLD_MS
from cloverhook.handshake import Handshake, Role
from cloverhook.messages import Hello, encode
from cloverhook_emulator.cut_proxy import CutProxy, Mode
from cloverhook_emulator.fleet_runner import OPERATOR_TOKEN, Fleet
from features.shared import DATA_CENTERS, HOST, eventually, run

ADDRESS_LIFETIME_MS = 300
CALLERS = 4
CONFIG = """
brand = "brathwaite"
[[services]]
name = "booking"
hosts = ["{host}"]
[services.policy]
lifetime_ms = {lifetime_ms}
[[services.places]]
data_center = "papine"
endpoints = [{endpoints}]
"""


async def _publish(context):
    endpoints = ", ".join(f'"{address}"' for address in context.endpoints)
    path = context.fleet.folder / "brand.toml"
    path.write_text(CONFIG.format(host=HOST, endpoints=endpoints, lifetime_ms=ADDRESS_LIFETIME_MS))
    code, output, errors = await context.fleet.run_tool("publish", str(path))
    assert code == 0, output + errors


async def _start(context, count, proxied=0):
    context.fleet = await context.stack.enter_async_context(Fleet())
    context.session = await context.stack.enter_async_context(aiohttp.ClientSession())
    context.endpoints = await context.fleet.start_backend("--work_ms=5", count=2)
    context.proxy = CutProxy(context.fleet.platform_url.removeprefix("http://"))
    await context.proxy.start()
    context.stack.push_async_callback(context.proxy.close)
    proxy_settings = {"platform_url": f"http://{context.proxy.address}"}
    starts = [
        context.fleet.start_daemon(
            f"vm-{index}", DATA_CENTERS[index % 3], **(proxy_settings if index < proxied else {})
        )
        for index in range(count)
    ]
    await asyncio.gather(*starts)
    await context.fleet.publish_vm_list()
    await _publish(context)
    await _wait_for_version(context, 1)
    await _wait_for_addresses(context, list(context.fleet.daemons))


async def _wait_for_version(context, version):
    async def all_match():
        statuses = [await context.fleet.status(vm) for vm in context.fleet.daemons]
        found = [status["brands"].get("brathwaite", {}).get("version") for status in statuses]
        return found == [version] * len(statuses)

    await eventually(all_match)


async def _addresses(context, daemon):
    url = f"http://{daemon.caller_address}/.well-known/cloverhook/addresses"
    async with context.session.get(url, headers={"Host": HOST}) as answer:
        return (await answer.json())["addresses"]


async def _wait_for_addresses(context, vms, queried=None):
    """Wait until `queried`, by default `vms`, hand out exactly the addresses of `vms`."""
    expected = {context.fleet.daemons[vm].caller_address for vm in vms}

    async def all_match():
        daemons = [context.fleet.daemons[vm] for vm in queried or vms]
        found = [set(await _addresses(context, daemon)) for daemon in daemons]
        return all(item == expected for item in found)

    await eventually(all_match)


async def _call(context, address):
    request_id = uuid.uuid4().hex
    headers = {"Host": HOST, "X-Request-Id": request_id}
    async with context.session.get(f"http://{address}/open", headers=headers) as answer:
        return answer.status == 200 and await answer.text() == request_id


async def _keep_calling(context, stop, delay_ms):
    """Fetch the addresses, call each in turn until their lifetime ends, and start over."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(delay_ms / 1000)
    while not stop.is_set():
        addresses = await _addresses(context, context.fleet.daemons["vm-0"])
        expires_s = loop.time() + ADDRESS_LIFETIME_MS / 1000
        while loop.time() < expires_s:
            for address in addresses:
                if loop.time() >= expires_s:
                    break
                try:
                    context.answered.append(await _call(context, address))
                except aiohttp.ClientError as error:
                    context.answered.append(repr(error))
            await asyncio.sleep(0.01)


async def _stop_under_load(context, vm):
    context.answered = []
    stop = asyncio.Event()
    delays_ms = [ADDRESS_LIFETIME_MS * index / CALLERS for index in range(CALLERS)]
    callers = [asyncio.create_task(_keep_calling(context, stop, delay)) for delay in delays_ms]
    await asyncio.sleep(2 * ADDRESS_LIFETIME_MS / 1000)
    process = context.fleet.daemons[vm].process
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(ADDRESS_LIFETIME_MS / 1000)
    context.exit_code = await process.stop(signal.SIGTERM)
    stop.set()
    await asyncio.gather(*callers)


@given("a fleet of {count:d} daemons of which {proxied:d} reach the platform through a proxy")
def step_proxied(context, count, proxied):
    run(context, _start(context, count, proxied))


@when('"{vm}" is killed')
def step_killed(context, vm):
    run(context, context.fleet.daemons[vm].process.stop(signal.SIGKILL))


@when('callers keep calling and "{vm}" gets SIGTERM twice')
def step_stopped(context, vm):
    run(context, _stop_under_load(context, vm))


@when('"{vm}" is stopped until the others have dropped it')
def step_paused(context, vm):
    async def pause():
        context.fleet.daemons[vm].process.send_signal(signal.SIGSTOP)
        # On a busy machine the others may drop it sooner, but a shorter pause is not noticed.
        await asyncio.sleep(2 * PAUSE_THRESHOLD_MS / 1000)
        await _wait_for_addresses(context, [name for name in context.fleet.daemons if name != vm])

    run(context, pause())


@when('"{vm}" goes on')
def step_resumed(context, vm):
    context.fleet.daemons[vm].process.send_signal(signal.SIGCONT)


@when("the proxy cuts and an operator publishes again")
def step_cut(context):
    context.proxy.set_mode(Mode.CUT)
    run(context, _publish(context))


@when('the platform is lost and "{vm}" starts with the address of a peer')
def step_platform_lost(context, vm):
    async def start():
        await context.fleet.platform.stop(signal.SIGKILL)
        peer = context.fleet.daemons["vm-0"].peer_address
        await context.fleet.start_daemon(vm, "papine", peer_addresses=peer)

    run(context, start())


@when("a stranger with another key greets the peers' port")
def step_unauthenticated_peer(context):
    async def connect_with_wrong_key():
        hello = Hello("vm-9", "papine", "127.0.0.1:1", "127.0.0.1:2", 1)
        address = context.fleet.daemons["vm-0"].peer_address
        async with connect(f"ws://{address}/", proxy=None) as link:
            nonce = Handshake.new_nonce()
            await link.send(nonce)
            handshake = Handshake.from_nonces(b"wrong", Role.CLIENT, nonce, await link.recv())
            await link.send(encode(handshake.prove(hello)))
            await link.wait_closed()

    run(context, connect_with_wrong_key())


@then("the metrics count {count:d} refused stranger")
def step_authentication_failures_counted(context, count):
    async def metrics():
        url = f"http://{context.fleet.daemons['vm-0'].operator_address}/metrics"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with context.session.get(url, headers=headers) as answer:
            return (await answer.text()).splitlines()

    assert f"cloverhook_refused_strangers_total {count}" in run(context, metrics())


@then("it ends with 0 and every call was answered")
def step_stopped_cleanly(context):
    assert context.exit_code == 0, context.exit_code
    assert len(context.answered) > CALLERS
    wrong = [item for item in context.answered if item is not True]
    assert not wrong, (len(context.answered), wrong[:3])


@then("the others hand out vm-{first:d} to vm-{last:d}")
def step_addresses(context, first, last):
    run(context, _wait_for_addresses(context, [f"vm-{index}" for index in range(first, last + 1)]))


@then('"{vm}" has noticed its pause and hands out all')
def step_pause_detected(context, vm):
    assert run(context, context.fleet.status(vm))["pauses"] >= 1
    run(context, _wait_for_addresses(context, list(context.fleet.daemons), [vm]))


@then("every daemon has version {version:d}")
def step_versions(context, version):
    run(context, _wait_for_version(context, version))
