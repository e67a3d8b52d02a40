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
DRAIN_LIMIT_S = 3
OBSERVATION_S = 1.0
PROBE_COST_MS = 6
FEW_CALLS_PER_S = 30
PROBES_LINE = re.compile(r"^cloverhook_probes_total\{[^}]*\} (\d+)", re.MULTILINE)


class _RacingPlatform(HttpPlatform):
    """Delays each append until every operator of the race has read the log."""

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
    expected = {"version": result.version, "preset": preset.value}

    async def everywhere():
        statuses = [await context.fleet.status(vm) for vm in context.fleet.daemons]
        return all(status["brands"][BRAND] == expected for status in statuses)

    run(context, context.loaded.until(everywhere))


@when("every daemon is replaced, one by one")
def step_replaced(context):
    codes = run(context, context.loaded.replace_all())
    assert codes == [0] * len(codes), codes


async def _slow_down_requests(loaded):
    """Make requests take longer, so that some are in flight at the server that will drain.

    Returns the address of that server.
    """
    address = loaded.servers[0]
    await loaded.fleet.set_faults({"slow_factor": SLOW_FACTOR})

    async def in_flight():
        return (await loaded.fleet.counts())[address]["in_flight"] > 0

    await loaded.until(in_flight)
    return address


async def _wait_for_drain(context):
    """Wait while the server may still get requests, then for a time in which it may get none.

    The counts of requests at the end of the first time are kept in the context.
    """
    await asyncio.sleep(DRAIN_LIMIT_S)
    context.counts_before = await context.fleet.counts()
    await asyncio.sleep(OBSERVATION_S)


@when("a backend server at work leaves by the configuration")
def step_leave(context):
    async def leave():
        context.draining_server = await _slow_down_requests(context.loaded)
        await context.loaded.publish(leaving=[context.draining_server])
        await _wait_for_drain(context)

    run(context, leave())


@when("a backend server at work begins to drain")
def step_drain(context):
    async def drain():
        context.draining_server = await _slow_down_requests(context.loaded)
        faults = {"slow_factor": SLOW_FACTOR, "drain": True}
        await context.fleet.set_faults(faults, [context.draining_server])
        await _wait_for_drain(context)

    run(context, drain())


@then("{seconds:d} seconds later it gets no request, and what was in flight there has ended well")
def step_left(context, seconds):
    assert seconds == DRAIN_LIMIT_S

    async def records():
        return await context.fleet.counts(), await context.fleet.run_records()

    counts, ran = run(context, records())
    before, after = context.counts_before[context.draining_server], counts[context.draining_server]
    arrived = {name: after[name] - before[name] for name in ("ran", "refused")}
    assert not any(arrived.values()), (arrived, before)
    server_records = [record for record in ran if record.server == context.draining_server]
    assert server_records and all(
        record.outcome is RunOutcome.DONE for record in server_records
    ), server_records


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


async def _received_probes(fleet):
    return sum(item["probes"] for item in (await fleet.counts()).values())


async def _probes_in_metrics(context):
    """Return the number of probes that the daemons report in their metrics."""
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
        return await _received_probes(context.fleet) >= count

    run(context, context.loaded.until(reached))


@then("by their own count no more came than the budget allows, and the daemons count as many")
def step_within(context):
    async def compare():
        probes = await _received_probes(context.fleet)
        passed_s = (now_ms() - context.loaded.published_ms) / 1000
        first_probes = len(context.fleet.daemons)
        assert (
            probes * PROBE_COST_MS
            <= context.budget_ms_per_s * passed_s + first_probes * PROBE_COST_MS
        ), probes

        async def counted():
            return await _probes_in_metrics(context) >= probes

        await context.loaded.until(counted)

    run(context, compare())
