"""Case 8: a machine that has been frozen uses endpoints that have left for too long.

One of two machines is frozen for 4 s and wakes again.  Some time later an endpoint leaves without a
report of draining: its entry is removed from the store, and it goes on serving for a while.  This
is done a few times, each time with another endpoint.  Broken if a request reaches an endpoint later
than `drain` after its entry was removed, from a machine that has been in touch for `contact`.
"""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins

DRAIN_MS = 2_000.0
CONTACT_MS = 3_000.0
FREEZE_S = 4.0
LEAVES_AFTER_S = 1.6
ROUNDS = 6
CALLERS = 60
WORK_MS = 40.0


async def ask_again(
    world: stand_ins.World, address: str, number: int, senders: dict[str, str]
) -> None:
    """Send one request after the other to one machine."""
    client = stand_ins.Client(address, world.record)
    for turn in itertools.count():
        request_id = f"browse-{number}-{turn}"
        senders[request_id] = address
        answer = await client.ask(request_id, "/browse/x", 1_000)
        await asyncio.sleep(0.05 if answer.status == 200 else 0.1)


async def case(world: stand_ins.World) -> int:
    """Play the case."""
    browse = stand_ins.route("browse", "bookdesk", "safe", 1.0, 0.3)
    await stand_ins.put_config(world.store, 1, [browse])
    endpoints = await world.add_endpoints("bookdesk", 2 + ROUNDS, 2, WORK_MS)
    if not await world.add_gateways(2):
        return stand_ins.CANT_RUN
    gateway = world.gateways[0]
    senders: dict[str, str] = {}
    tasks = [
        asyncio.create_task(
            ask_again(world, world.gateways[number % 2].caller_address, number, senders)
        )
        for number in range(CALLERS)
    ]
    await asyncio.sleep(4.0)
    woken_ms: list[float] = []
    left_ms: dict[str, float] = {}
    for endpoint in endpoints[:ROUNDS]:
        if stand_ins.trouble():
            gateway.send_signal(signal.SIGSTOP)
            world.record.write("frozen", vm=gateway.name)
        await asyncio.sleep(FREEZE_S)
        gateway.send_signal(signal.SIGCONT)
        woken_ms.append(stand_ins.now_ms())
        world.record.write("woken", vm=gateway.name)
        await asyncio.sleep(LEAVES_AFTER_S)
        left_ms[endpoint.name] = await endpoint.leave_abruptly()
        world.record.write("left", endpoint=endpoint.name)
        await asyncio.sleep(6.0)
    for task in tasks:
        task.cancel()
    late = 0
    for endpoint in endpoints[:ROUNDS]:
        for run in endpoint.arrivals:
            over_ms = run.at_ms - left_ms[endpoint.name] - DRAIN_MS
            since_wake_ms = [run.at_ms - at_ms for at_ms in woken_ms if at_ms <= run.at_ms]
            in_touch = senders[run.request_id] != gateway.caller_address or (
                since_wake_ms and min(since_wake_ms) >= CONTACT_MS
            )
            if over_ms > 0.0 and in_touch:
                late += 1
                world.record.write(
                    "late",
                    endpoint=endpoint.name,
                    id=run.request_id,
                    over_ms=round(over_ms),
                    since_wake_ms=round(min(since_wake_ms)),
                )
    served = sum(len(item.arrivals) for item in endpoints)
    world.record.write("result", arrived=served, late=late)
    print(f"{served} requests arrived, {late} of them too late at an endpoint that had left")
    if not served:
        return stand_ins.CANT_RUN
    return stand_ins.BROKEN if late else stand_ins.HELD


stand_ins.play(case, Path(__file__).resolve().with_name("record.txt"))
