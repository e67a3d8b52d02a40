"""Case 6: a service with bookings only gets none any more after its endpoints have failed some.

A configuration adds an unsafe route to a service of its own.  The route is served.  Then all
endpoints of that service fail a part of their requests for 6.5 s, while their health probes are
good, and are sound from then on.  Broken if in the calm time that follows the route that was added
later is served less than a quarter as often as the first route.
"""

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins

WORK_MS, AIM_S, TIMEOUT_S = 160.0, 0.4, 1.2
FAILING, FAIL_S = 0.45, 6.5
SOUND_S = 5.0
"""For how long the route is served before its endpoints begin to fail."""
CALM_S, JUDGED_S = 15.0, 30.0
"""After the failures, longer than `contact` and than the longest suspension, 8 s; then the time
that is judged."""
CALLERS = 16
COUNT, SHARE = 20, 0.25


async def fail_some(
    endpoint: stand_ins.Endpoint, source: random.Random, message, writer, run: stand_ins.Run
) -> bytes | None:
    """Run all requests, and answer some of them with a failure of the endpoint's own."""
    if source.random() >= FAILING:
        return await endpoint.sound_answer(message, writer, run)
    return stand_ins.answer_bytes(500, endpoint.signed(run.request_id), b"failed")


async def ask_again(
    world: stand_ins.World, name: str, number: int, answers: list[stand_ins.Answer]
) -> None:
    """Send requests of one route to one machine, one after the other; bookings have a body."""
    client = stand_ins.Client(world.gateways[number % 2].caller_address, world.record)
    body = b"one place" if name == "book" else None
    for turn in itertools.count():
        request_id = f"{name}-{number}-{turn}"
        deadline_ms = int(1_000 * TIMEOUT_S)
        answers.append(await client.ask(request_id, f"/{name}/x", deadline_ms, body))
        await asyncio.sleep(0.3)


def served(answers: list[stand_ins.Answer], since_ms: float) -> tuple[int, int]:
    """Return how many requests were sent since a time, and how many of them were served."""
    sent = [item for item in answers if item.sent_ms >= since_ms]
    return len(sent), sum(item.status == 200 for item in sent)


async def case(world: stand_ins.World) -> int:
    """Play the case."""
    source = random.Random(1)
    first = stand_ins.route("browse", "clubroll", "safe", TIMEOUT_S, AIM_S)
    later = stand_ins.route("book", "bookdesk", "unsafe", TIMEOUT_S, AIM_S)
    await stand_ins.put_config(world.store, 1, [first])
    await world.add_endpoints("clubroll", 6, 4, WORK_MS)
    endpoints = await world.add_endpoints("bookdesk", 3, 6, WORK_MS)
    if not await world.add_gateways(2):
        return stand_ins.CANT_RUN
    answers: dict[str, list[stand_ins.Answer]] = {"browse": [], "book": []}
    tasks = [
        asyncio.create_task(ask_again(world, "browse", number, answers["browse"]))
        for number in range(CALLERS // 2)
    ]
    await asyncio.sleep(4.0)
    await stand_ins.put_config(world.store, 2, [first, later])
    await asyncio.sleep(2.5)  # `configApply` is 2 s.
    tasks += [
        asyncio.create_task(ask_again(world, "book", number, answers["book"]))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(SOUND_S)
    before = served(answers["book"], 0.0)
    if stand_ins.trouble():
        world.record.write("failing", share=FAILING)
        for endpoint in endpoints:
            endpoint.answer = lambda *values, endpoint=endpoint: fail_some(
                endpoint, source, *values
            )
    await asyncio.sleep(FAIL_S)
    for endpoint in endpoints:
        endpoint.answer = endpoint.sound_answer
    world.record.write("sound again")
    await asyncio.sleep(CALM_S)
    since_ms = stand_ins.now_ms()
    await asyncio.sleep(JUDGED_S)
    for task in tasks:
        task.cancel()
    results = {name: served(items, since_ms) for name, items in answers.items()}
    shares = {name: good / max(1, sent) for name, (sent, good) in results.items()}
    world.record.write("result", before=before, **results)
    print(f"served of sent: book before {before[1]} of {before[0]};", end=" ")
    print("; ".join(f"{name} in the calm {good} of {n}" for name, (n, good) in results.items()))
    if not before[1] or not results["browse"][1] or results["book"][0] < COUNT:
        return stand_ins.CANT_RUN
    return stand_ins.BROKEN if shares["book"] < SHARE * shares["browse"] else stand_ins.HELD


stand_ins.play(case, Path(__file__).resolve().with_name("record.txt"))
