"""Steps that change the configuration and the fleet under load while something else fails."""

import asyncio
import re

from behave import given, then, when

from cloverhook import porcelain
from cloverhook.fleet import Preset
from cloverhook.platform_http import HttpPlatform
from cloverhook.porcelain import Operator, Settlement
from cloverhook_emulator.caller import now_ms
from cloverhook_emulator.fleet_runner import OPERATOR_TOKEN
from cloverhook_emulator.run_record import RunOutcome
from features.loaded_fleet import BRAND
from features.shared import run
from features.steps.failure_steps import start_loaded

PRESETS = (Preset.PEAK, Preset.MAINTENANCE)
SLOW_FACTOR = 10
LEAVING_LIMIT_S = 3
AFTER_S = 1.0
PROBE_MS = 6
FEW_CALLS_PER_S = 30
PROBES_LINE = re.compile(r"^cloverhook_probes_total\{[^}]*\} (\d+)", re.MULTILINE)


class _RacingPlatform(HttpPlatform):
    """Appends once every operator of a race has read the log."""

    def __init__(self, url, barrier):
        super().__init__(url)
        self._barrier = barrier

    async def append(self, stream, record):
        await self._barrier.wait()
        return await super().append(stream, record)


async def _switch(url, barrier, preset):
    platform = _RacingPlatform(url, barrier)
    try:
        return await porcelain.switch(platform, BRAND, preset, Operator(preset.value, {}))
    finally:
        await platform.close()


@when('two operators switch to different presets while "{vm}" is lost')
def step_race(context, vm):
    async def race():
        barrier = asyncio.Barrier(len(PRESETS) + 1)
        url = context.fleet.platform_url
        switches = [asyncio.create_task(_switch(url, barrier, preset)) for preset in PRESETS]
        await barrier.wait()
        await context.loaded.kill_daemon(vm)
        return await asyncio.gather(*switches)

    context.switches = run(context, race())


@then("one of them won and every daemon has its preset")
def step_won(context):
    won = [
        (preset, result)
        for preset, result in zip(PRESETS, context.switches, strict=True)
        if result.settlement is Settlement.ACCEPTED
    ]
    lost = [item for item in context.switches if item.settlement is Settlement.REJECTED]
    assert len(won) == len(lost) == 1, context.switches
    preset, result = won[0]
    assert lost[0].winner.startswith(result.change_id), lost
    wanted = {"version": result.version, "preset": preset.value}

    async def everywhere():
        statuses = [await context.fleet.status(vm) for vm in context.fleet.daemons]
        return all(status["brands"][BRAND] == wanted for status in statuses)

    run(context, context.loaded.until(everywhere))


@when("every daemon is replaced, one by one")
def step_replaced(context):
    codes = run(context, context.loaded.replace_all())
    assert codes == [0] * len(codes), codes


async def _begin_work(loaded):
    """Make requests take longer, so that some are in flight at the server that will leave."""
    address = loaded.servers[0]
    await loaded.fleet.set_faults({"slow_factor": SLOW_FACTOR})

    async def in_flight():
        return (await loaded.fleet.counts())[address]["in_flight"] > 0

    await loaded.until(in_flight)
    return address


async def _wait_out(context):
    """Wait for as long as the server may still get requests, and then for some that it may not."""
    await asyncio.sleep(LEAVING_LIMIT_S)
    context.counts = await context.fleet.counts()
    await asyncio.sleep(AFTER_S)


@when("a backend server at work leaves by the configuration")
def step_leave(context):
    async def leave():
        context.leaving = await _begin_work(context.loaded)
        await context.loaded.publish(leaving=[context.leaving])
        await _wait_out(context)

    run(context, leave())


@when("a backend server at work begins to drain")
def step_drain(context):
    async def drain():
        context.leaving = await _begin_work(context.loaded)
        faults = {"slow_factor": SLOW_FACTOR, "drain": True}
        await context.fleet.set_faults(faults, [context.leaving])
        await _wait_out(context)

    run(context, drain())


@then("{seconds:d} seconds later it gets no request, and what was in flight there has ended well")
def step_left(context, seconds):
    assert seconds == LEAVING_LIMIT_S

    async def records():
        return await context.fleet.counts(), await context.fleet.ran()

    counts, ran = run(context, records())
    before, after = context.counts[context.leaving], counts[context.leaving]
    arrived = {name: after[name] - before[name] for name in ("ran", "refused")}
    assert not any(arrived.values()), (arrived, before)
    mine = [record for record in ran if record.server == context.leaving]
    assert mine and all(record.outcome is RunOutcome.DONE for record in mine), mine


@given(
    "{daemons:d} daemons under load before {servers:d} backend servers, with {budget:d} ms {rest}"
)
def step_budget(context, daemons, servers, budget, rest):
    context.budget_ms_per_s = budget
    options = {
        "servers_each": servers // 2,
        "calls_per_s": FEW_CALLS_PER_S,
        "measuring_ms_per_s": budget,
    }
    run(context, start_loaded(context, daemons, **options))


async def _probes(fleet):
    return sum(item["probes"] for item in (await fleet.counts()).values())


async def _counted(context):
    """Return how many probes the daemons' metrics count."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    counted = 0
    for daemon in context.fleet.daemons.values():
        url = f"http://{daemon.operator_address}/metrics"
        async with context.session.get(url, headers=headers) as answer:
            counted += sum(map(int, PROBES_LINE.findall(await answer.text())))
    return counted


@when("{count:d} probes have reached the backend servers")
def step_probes(context, count):
    async def reached():
        return await _probes(context.fleet) >= count

    run(context, context.loaded.until(reached))


@then("by their own count no more came than the budget allows, and the daemons count as many")
def step_within(context):
    async def compare():
        probes = await _probes(context.fleet)
        passed_s = (now_ms() - context.loaded.published_ms) / 1000
        first = len(context.fleet.daemons)
        assert probes * PROBE_MS <= context.budget_ms_per_s * passed_s + first * PROBE_MS, probes

        async def counted():
            return await _counted(context) >= probes

        await context.loaded.until(counted)

    run(context, compare())
