"""Case 5: a route whose endpoints were slow for seconds is refused for good afterwards.

A configuration adds a route to a service of its own, whose endpoints don't tell their load.  The
route is served.  Then all endpoints of that service work five times as long for 6.5 s, and are as
fast as before from then on.  Broken if in the calm time that follows the route that was added later
is served less than a quarter as often as the first route.
"""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins

WORK_MS, AIM_S, TIMEOUT_S = 120.0, 0.3, 1.0
SLOW, SLOW_S = 5.0, 6.5
SOUND_S = 5.0
"""For how long the route is served before its endpoints turn slow."""
CALM_S, JUDGED_S = 5.0, 30.0
"""After the slow time, and longer than `contact`; then the time that is judged."""
CALLERS = 8
COUNT, SHARE = 20, 0.25


async def ask_again(
    world: stand_ins.World, name: str, number: int, answers: list[stand_ins.Answer]
) -> None:
    """Send requests of one route to one machine, one after the other."""
    client = stand_ins.Client(world.gateways[number % 2].caller_address, world.record)
    for turn in itertools.count():
        request_id = f"{name}-{number}-{turn}"
        answers.append(await client.ask(request_id, f"/{name}/x", int(1_000 * TIMEOUT_S)))
        await asyncio.sleep(0.3)


def served(answers: list[stand_ins.Answer], since_ms: float) -> tuple[int, int]:
    """Return how many requests were sent since a time, and how many of them were served."""
    sent = [item for item in answers if item.sent_ms >= since_ms]
    return len(sent), sum(item.status == 200 for item in sent)


async def case(world: stand_ins.World) -> int:
    """Play the case."""
    first = stand_ins.route("browse", "bookdesk", "safe", TIMEOUT_S, AIM_S)
    later = stand_ins.route("lookup", "clubroll", "safe", TIMEOUT_S, AIM_S)
    await stand_ins.put_config(world.store, 1, [first])
    await world.add_endpoints("bookdesk", 6, 4, WORK_MS)
    endpoints = await world.add_endpoints("clubroll", 6, 4, WORK_MS)
    for endpoint in endpoints:
        endpoint.load = dict  # Only some services tell their load.
    if not await world.add_gateways(2):
        return stand_ins.CANT_RUN
    answers: dict[str, list[stand_ins.Answer]] = {"browse": [], "lookup": []}
    tasks = [
        asyncio.create_task(ask_again(world, "browse", number, answers["browse"]))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(4.0)
    await stand_ins.put_config(world.store, 2, [first, later])
    await asyncio.sleep(2.5)  # `configApply` is 2 s.
    tasks += [
        asyncio.create_task(ask_again(world, "lookup", number, answers["lookup"]))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(SOUND_S)
    before = served(answers["lookup"], 0.0)
    if stand_ins.trouble():
        world.record.write("slow", times=SLOW)
        for endpoint in endpoints:
            endpoint.work_ms = SLOW * WORK_MS
    await asyncio.sleep(SLOW_S)
    for endpoint in endpoints:
        endpoint.work_ms = WORK_MS
    world.record.write("sound again")
    await asyncio.sleep(CALM_S)
    since_ms = stand_ins.now_ms()
    await asyncio.sleep(JUDGED_S)
    for task in tasks:
        task.cancel()
    results = {name: served(items, since_ms) for name, items in answers.items()}
    shares = {name: good / max(1, sent) for name, (sent, good) in results.items()}
    world.record.write("result", before=before, **results)
    print(f"served of sent: lookup before {before[1]} of {before[0]};", end=" ")
    print("; ".join(f"{name} in the calm {good} of {n}" for name, (n, good) in results.items()))
    if not before[1] or not results["browse"][1] or results["lookup"][0] < COUNT:
        return stand_ins.CANT_RUN
    return stand_ins.BROKEN if shares["lookup"] < SHARE * shares["browse"] else stand_ins.HELD


stand_ins.play(case, Path(__file__).resolve().with_name("record.txt"))
