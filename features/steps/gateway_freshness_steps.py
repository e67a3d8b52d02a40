"""Steps for how old the state may be on which gateways act."""

import asyncio

from behave import then, when

from cloverhook.gateway.config_sender import WAIT_S
from cloverhook.gateway.transfer_queue import Refer
from features import gateway_fleet as fleet
from features.freshness_fleet import FreshnessFleet, StorePath
from features.shared import run

LARGE_FLEET_VMS = 120
LOST_S = 0.6
REGAINED_S = 0.5
SUCCESSOR_S = 1.3
ROUTES = 1_800


@when("changes are made in fleets with a bound of {bound_ms:d} ms while this goes on")
def step_changes(context, bound_ms):
    context.late = {}
    for row in context.table:
        work = play_changes(int(row["gateways"]), row["what goes on"], bound_ms)
        context.late[row["what goes on"]] = run(context, work)


@when("backend servers vanish in fleets with a bound of {bound_ms:d} ms in these ways")
def step_vanish(context, bound_ms):
    context.late = {}
    for row in context.table:
        work = play_vanishing(int(row["gateways"]), row["how"], bound_ms)
        context.late[row["how"]] = run(context, work)


@then("every gateway that reaches the store has them within {bound_ms:d} ms")
@then("no gateway uses one later than {bound_ms:d} ms after it has vanished")
def step_in_time(context, bound_ms):
    late = [
        f"{trouble}: {change} at {name} after {took_ms:.0f} ms"
        for trouble, changes in context.late.items()
        for change, gateways in changes.items()
        for name, took_ms in gateways.items()
        if took_ms > bound_ms
    ]
    assert not late, "\n".join(late)


async def play_changes(gateways, trouble, bound_ms):
    """Make changes during a trouble; return how late each gateway had them, by change."""
    silent_members = LARGE_FLEET_VMS if "large fleet" in trouble else 0
    fields = {"drain_s": bound_ms / 1000}
    known = await FreshnessFleet.start(gateways, silent_members, **fields)
    try:
        excused = await begin(known, trouble)
        routes = [fleet.route(f"r-{number}", f"/r{number}/", True) for number in range(ROUTES)]
        changes = [
            known.publish(2, *(routes if "1800 routes" in trouble else ())),
            known.drain(known.backends[0]),
        ]
        if "follow them" in trouble:
            changes.append(end_successors(known))
        await asyncio.gather(*changes)
    finally:
        await known.close()
    return {
        change: {name: took for name, took in late_ms.items() if name not in excused}
        for change, late_ms in known.late_ms.items()
    }


async def begin(known, trouble):
    """Begin a trouble; return the gateways that don't reach the store in it."""
    if "gets no message" in trouble:
        known.deafen(known.others()[0])
    if "one reader ends" in trouble:
        await known.end(known.readers()[0])
    if "calls to the store are silent" in trouble:
        readers = known.readers()
        for name in readers:
            known.paths[name].path = StorePath.SILENT
        return readers
    if "both readers end" in trouble:
        for name in known.readers():
            await known.end(name)
    if "hands it out" in trouble:
        for gateway in known.gateways.values():
            gateway._peering._config_sender.wait_for_turn = refuse_turn
    return ()


async def refuse_turn(requester, version):
    """Send no copy of a configuration to a neighbour."""
    await asyncio.sleep(WAIT_S)
    return Refer(requester, None)


async def end_successors(known):
    """End the gateways that have begun to read in place of those that ended."""
    await asyncio.sleep(SUCCESSOR_S)
    for name in known.readers():
        await known.end(name)


async def play_vanishing(gateways, how, bound_ms):
    """Let backend servers vanish; return how long each gateway used them, by backend server."""
    silent_members = LARGE_FLEET_VMS if "large fleet" in how else 0
    known = await FreshnessFleet.start(gateways, silent_members, drain_s=bound_ms / 1000)
    try:
        if "gets no message" in how:
            known.deafen(known.others()[0])
        if "lost the store" in how:
            name, other = known.readers()
            known.paths[name].path = StorePath.REFUSED
            await asyncio.sleep(LOST_S)
            known.paths[name].path = StorePath.OPEN
            await asyncio.sleep(REGAINED_S)
            await known.end(other)
        count = len(known.backends) // 2 if "half of a service" in how else 1
        await known.remove(*known.backends[:count])
    finally:
        await known.close()
    return known.late_ms
