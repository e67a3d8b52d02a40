"""Case 7: machines that are killed and start again spend the retry budget a second time.

All endpoints of a service reject a part of the requests, though they say that they are well.  Some
seconds later the processes of all machines are killed at the same moment and start again.  Broken
if in some window of 10 s the service gets more arrivals beyond the first of each request than the
retry budget allows, summed over all machines.
"""

import asyncio
import bisect
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins

WINDOW_MS, RATIO, EXTRA = 10_000.0, 0.2, 56.0
MACHINES = 3
ENDPOINTS = 8
GAP_S = 0.075
CLIENT_WAITS_MS = 1_000
SHED = 0.55
SHED_FIRST_S, SHED_S, KILL_AFTER_S, DOWN_S = 12.0, 8.5, 4.2, 0.3


async def shed_some(
    endpoint: stand_ins.Endpoint, source: random.Random, message, writer, run: stand_ins.Run
) -> bytes | None:
    """Reject some requests without running them, and serve the others."""
    if source.random() >= SHED:
        return await endpoint.sound_answer(message, writer, run)
    run.ran = False
    headers = {"X-Cloverhook-Request-Id": run.request_id, **endpoint.load()}
    return stand_ins.answer_bytes(503, {"X-Cloverhook-Not-Executed": "1", **headers})


async def browse(world: stand_ins.World, number: int, sent_ms: list[float]) -> None:
    """Send a request, and once more after a failure, as clients do; each try has its own id."""
    started_ms = stand_ins.now_ms()
    for turn in range(2):
        left_ms = int(started_ms + CLIENT_WAITS_MS - stand_ins.now_ms())
        if left_ms < 50:
            return
        address = random.choice(world.gateways).caller_address
        client = stand_ins.Client(address, world.record)
        sent_ms.append(stand_ins.now_ms())
        answer = await client.ask(f"browse-{number}-{turn}", "/browse/x", left_ms)
        client.close()
        if answer.status == 200:
            return
        after_s = answer.message.headers.get("retry-after", "0.05") if answer.message else "0.05"
        await asyncio.sleep(min(float(after_s), left_ms / 3_000))


def worst_window(arrivals: list[stand_ins.Run], sent_ms: list[float]) -> tuple[float, int, float]:
    """Return the largest excess over the budget in any window, with its count and its bound."""
    seen: set[str] = set()
    again: list[float] = []
    for run in sorted(arrivals, key=lambda item: item.at_ms):
        if run.request_id in seen:
            again.append(run.at_ms)
        seen.add(run.request_id)
    sent_ms = sorted(sent_ms)

    def count(times: list[float], end_ms: float) -> int:
        return bisect.bisect_right(times, end_ms) - bisect.bisect_right(times, end_ms - WINDOW_MS)

    worst = (-1e9, 0, 0.0)
    for at_ms in again:
        earlier = (at_ms, at_ms - WINDOW_MS / 2, at_ms - WINDOW_MS)
        bound = RATIO * max(count(sent_ms, end_ms) for end_ms in earlier) + EXTRA
        worst = max(worst, (count(again, at_ms) - bound, count(again, at_ms), bound))
    return worst


async def case(world: stand_ins.World) -> int:
    """Play the case."""
    source = random.Random(1)
    route = stand_ins.route("browse", "bookdesk", "safe", 1.0, 0.5)
    await stand_ins.put_config(world.store, 1, [route])
    endpoints = await world.add_endpoints("bookdesk", ENDPOINTS, 4, 40.0)
    if not await world.add_gateways(MACHINES):
        return stand_ins.CANT_RUN
    sent_ms: list[float] = []
    tasks: set[asyncio.Task[None]] = set()

    async def traffic() -> None:
        for number in itertools.count():
            tasks.add(asyncio.create_task(browse(world, number, sent_ms)))
            await asyncio.sleep(GAP_S)

    tasks.add(asyncio.create_task(traffic()))
    await asyncio.sleep(SHED_FIRST_S)
    for endpoint in endpoints:
        endpoint.answer = lambda *values, endpoint=endpoint: shed_some(endpoint, source, *values)
    world.record.write("shedding")
    shed_ms = stand_ins.now_ms()
    await asyncio.sleep(KILL_AFTER_S)
    if stand_ins.trouble():
        world.record.write("killed", machines=MACHINES)
        await asyncio.gather(*(gateway.kill() for gateway in world.gateways))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(gateway.start() for gateway in world.gateways))
    await asyncio.sleep((shed_ms - stand_ins.now_ms()) / 1000 + SHED_S)
    for endpoint in endpoints:
        endpoint.answer = endpoint.sound_answer
    world.record.write("sound again")
    await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    excess, again, bound = worst_window([x for e in endpoints for x in e.arrivals], sent_ms)
    world.record.write("result", sent=len(sent_ms), again=again, bound=round(bound, 1))
    print(f"{len(sent_ms)} requests; {again} repeated arrivals in a window, allowed {bound:.1f}")
    if not again:
        return stand_ins.CANT_RUN
    return stand_ins.BROKEN if excess > 0 else stand_ins.HELD


stand_ins.play(case, __file__)
