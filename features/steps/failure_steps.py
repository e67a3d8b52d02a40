"""Steps that cause failures under load and check their effects with the invariant checker."""

import asyncio
import signal
import uuid

import aiohttp
from behave import given, then, when

from cloverhook.claim_log import STREAM as CLAIM_STREAM
from cloverhook.records import CONFIG_STREAM
from cloverhook_emulator.caller import now_ms
from cloverhook_emulator.cut_proxy import Mode
from cloverhook_emulator.fleet_runner import Fleet
from features.loaded_fleet import LoadedFleet
from features.shared import run
from features.steps.operators_steps import call

DEADLINE_STATUS = 504
HANG_S = 0.3
WRITES = 10


async def start_loaded(context, daemons, **options):
    """Start a fleet under load, and wait until its first calls have been answered."""
    context.fleet = await context.stack.enter_async_context(Fleet())
    context.session = await context.stack.enter_async_context(aiohttp.ClientSession())
    context.loaded = LoadedFleet(context.fleet, context.session)
    context.hanging_writes = []
    context.stack.push_async_callback(context.loaded.close)
    await context.loaded.start(daemons, **options)
    await context.loaded.until_answered(50)


def _violations(report, names):
    return {name: getattr(report, name) for name in names if getattr(report, name)}


@given("{daemons:d} daemons under load")
def step_loaded(context, daemons):
    run(context, start_loaded(context, daemons))


@given("{daemons:d} daemons under load whose links to backend servers may fail")
def step_proxied(context, daemons):
    run(context, start_loaded(context, daemons, proxied=True))


@when("{count:d} more calls are answered")
def step_answered(context, count):
    run(context, context.loaded.until_answered(count))


@when('"{vm}" is lost')
def step_lost(context, vm):
    run(context, context.loaded.kill_daemon(vm))


@when("{vm} is lost with keyed writes that run, and they are repeated at {other}")
def step_lost_with_writes(context, vm, other):
    run(context, _lose_with_writes(context.fleet, context.loaded, vm, other))


async def _lose_with_writes(fleet, loaded, vm, other):
    keys = {uuid.uuid4().hex for _ in range(WRITES)}

    async def some_run():
        return any(record.idempotency_key in keys for record in await fleet.run_records())

    await fleet.set_faults({"hang": True})
    writes = [asyncio.create_task(loaded.write(vm, key)) for key in keys]
    await loaded.until(some_run)
    await loaded.kill_daemon(vm)
    results = await asyncio.gather(*writes, return_exceptions=True)
    assert all(isinstance(result, aiohttp.ClientError) for result in results), results
    await fleet.set_faults({"hang": False})
    await asyncio.gather(*(loaded.write(other, key) for key in keys))


@when('"{vm}" gets {name}')
def step_signal(context, vm, name):
    context.fleet.daemons[vm].process.send_signal(signal.Signals[name])


@when("{count:d} keyed writes hang at {first} and are repeated at {second}")
def step_hanging(context, count, first, second):
    async def repeat():
        keys = [uuid.uuid4().hex for _ in range(count)]
        hanging = [asyncio.create_task(context.loaded.write(first, key)) for key in keys]
        await asyncio.sleep(HANG_S)
        repeated = await asyncio.gather(*(context.loaded.write(second, key) for key in keys))
        assert all(record.status == 200 for record in repeated), repeated
        assert not any(task.done() for task in hanging)
        context.hanging_writes += hanging

    run(context, repeat())


@then("none of the writes that hung has run")
def step_hung(context):
    async def results():
        return await asyncio.gather(*context.hanging_writes)

    records = run(context, results())
    assert records and all(record.status == 409 for record in records), records


@when("backend process {number:d} gets {name}")
def step_backend(context, number, name):
    process = context.loaded.backend(number)
    if name == "SIGKILL":
        run(context, process.stop(signal.SIGKILL))
    else:
        process.send_signal(signal.Signals[name])


@when("the links to backend servers are {modes}")
def step_links(context, modes):
    async def change():
        for mode in modes.split(" and then "):
            for proxy in context.loaded.proxies:
                proxy.set_mode(Mode(mode))
            if Mode(mode) in (Mode.SILENT, Mode.ONE_WAY):
                await asyncio.sleep(HANG_S)

    run(context, change())


@when("a keyed write is refused as unknown while {count:d} reads are answered")
def step_unknown_outcome(context, count):
    async def rejected_as_unknown():
        return any(
            record.error == "log-unavailable" and record.outcome == "unknown"
            for record in context.loaded.load.result.request_records
        )

    async def both():
        await context.loaded.until_answered(count, lambda record: record.method == "GET")
        await context.loaded.until(rejected_as_unknown)

    run(context, both())


@when("a call is told that its deadline passed")
def step_deadline(context):
    result = context.loaded.load.result
    seen = len(result.final_records)

    async def deadline_passed():
        return any(end.status == DEADLINE_STATUS for end in result.final_records[seen:])

    run(context, context.loaded.until(deadline_passed))


@when("{count:d} keyed writes are answered")
def step_keyed(context, count):
    matches = lambda record: bool(record.idempotency_key)  # noqa: E731
    run(context, context.loaded.until_answered(count, matches))


@when("the log keeps nothing of what it held")
def step_truncated(context):
    async def truncate():
        next_offsets = [
            (stream, await _next_offset(context, stream))
            for stream in (CONFIG_STREAM, CLAIM_STREAM)
        ]
        await _until_all_have_read(context)
        for stream, next_offset in next_offsets:
            document = {"first_offset": next_offset}
            await call(context, "POST", f"/v1/streams/{stream}/truncate", document)

    run(context, truncate())


async def _next_offset(context, stream):
    path = f"/v1/streams/{stream}/records?from=0"
    async with context.session.get(f"{context.fleet.platform_url}{path}") as answer:
        return (await answer.json())["next_offset"]


async def _until_all_have_read(context):
    """Wait until each daemon has read the log up to now: it then answers a new keyed write.

    A daemon that has missed a record correctly rejects keyed writes for a whole window.  If the
    log drops records that no daemon has read, all three daemons reject keyed writes for 30 s.
    """
    loaded = context.loaded
    started_ms = now_ms()

    async def has_read(address):
        return any(
            end.status == 200
            and end.idempotency_key
            and end.address == address
            and end.intended_ms > started_ms
            for end in loaded.load.result.final_records
        )

    for daemon in context.fleet.daemons.values():
        await loaded.until(lambda address=daemon.caller_address: has_read(address))


@when('"{vm}" starts with the address of a peer and answers {count:d} calls')
def step_new_daemon(context, vm, count):
    async def start():
        loaded = context.loaded
        peer = context.fleet.daemons["vm-0"].peer_address
        await loaded.start_daemon(vm, peer_addresses=peer)
        await loaded.until(lambda: loaded.serves(vm))
        address = context.fleet.daemons[vm].caller_address
        await loaded.until_answered(count, lambda record: record.address == address)

    run(context, start())


@then("nothing was lost, doubled, crossed or told falsely as not run")
def step_unplanned(context):
    report, _ = run(context, context.loaded.end())
    found = _violations(report, ("lost", "doubled", "crossed", "false_not_run"))
    assert not found, found


@then("nothing was lost, doubled, crossed, cut or told falsely as not run")
def step_planned(context):
    report, _ = run(context, context.loaded.end())
    result = context.loaded.load.result
    unreached = [record for record in result.final_records if record.status == 0]
    assert report.is_clean and not unreached, (report, unreached)
