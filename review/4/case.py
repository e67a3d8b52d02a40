"""Case 4: a few large bodies inside `maxBodyBytes` end the process, and others' bookings with it.

Twelve clients book on kept connections.  Then three clients send a body of 60 MB each to the same
machine.  The platform's side kills a process that holds more than its `memoryMb`, and starts it
again.  Broken if more than three bookings that a sound endpoint had got end with a closed
connection.
"""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins

MEMORY_MB = 300 * 1.048576
"""`memoryMb` of a front machine, read as MiB, the more generous way."""
UPLOADS = 3
PART = b"x" * 60_000
PARTS = 1_000
"""60 MB in all; the limit is 64 MB."""
CALLERS = 12
RESTART_S = 0.5
LOST_LIMIT = 3


async def watch_memory(world: stand_ins.World, gateway: stand_ins.Gateway) -> None:
    """Kill the process when it exceeds its memory, as the platform does, and start it again."""
    while True:
        held_mb = gateway.memory_mb()
        if held_mb > MEMORY_MB:
            world.record.write("killed", vm=gateway.name, held_mb=round(held_mb))
            await gateway.kill()
            await asyncio.sleep(RESTART_S)
            await gateway.start()
        await asyncio.sleep(0.01)


async def book(
    world: stand_ins.World,
    gateway: stand_ins.Gateway,
    number: int,
    lost: list[str],
    answered: list[str],
) -> None:
    """Book again and again on one kept connection."""
    client = stand_ins.Client(gateway.caller_address, world.record)
    for turn in itertools.count():
        request_id = f"booking-{number}-{turn}"
        answer = await client.ask(request_id, "/book/place", 2_000, b"one place")
        if answer.status == 0:
            lost.append(request_id)
            await asyncio.sleep(0.2)
        elif answer.status == 200:
            answered.append(request_id)


async def upload(world: stand_ins.World, gateway: stand_ins.Gateway, number: int) -> None:
    """Send one body that is inside the limit of the configuration."""
    parts = PARTS if stand_ins.trouble() else 1
    client = stand_ins.Client(gateway.caller_address, world.record)
    await client.ask(f"upload-{number}", "/upload/list", 60_000, PART, parts)


async def case(world: stand_ins.World) -> int:
    """Play the case."""
    routes = [
        stand_ins.route("book", "bookdesk", "unsafe", 2.0, 0.8),
        stand_ins.route("upload", "clubroll", "unsafe", 60.0, 30.0),
    ]
    await stand_ins.put_config(world.store, 1, routes)
    await world.add_endpoints("bookdesk", 4, 4, 300.0)
    await world.add_endpoints("clubroll", 2, 4, 300.0)
    if not await world.add_gateways(2):
        return stand_ins.CANT_RUN
    await asyncio.sleep(4.0)  # The machine has been in touch for longer than `contact`.
    gateway = world.gateways[0]
    lost: list[str] = []
    answered: list[str] = []
    tasks = [asyncio.create_task(watch_memory(world, gateway))]
    tasks += [
        asyncio.create_task(book(world, gateway, number, lost, answered))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(2.0)
    await asyncio.gather(*(upload(world, gateway, number) for number in range(UPLOADS)))
    await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    arrived = {run.request_id for item in world.endpoints for run in item.arrivals}
    passed_on = [request_id for request_id in lost if request_id in arrived]
    world.record.write("result", answered=len(answered), lost=len(lost), passed_on=len(passed_on))
    print(f"bookings answered {len(answered)}, passed on and lost {len(passed_on)}")
    if not answered:
        return stand_ins.CANT_RUN
    return stand_ins.BROKEN if len(passed_on) > LOST_LIMIT else stand_ins.HELD


stand_ins.play(case, Path(__file__).resolve().with_name("record.txt"))
