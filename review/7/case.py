"""Case 7: an answer whose body has no end is passed on for as long as the client waits.

Clients send safe requests whose route has a time-out of 1 s; they would wait for 4 s themselves.
Of the three endpoints one goes wrong after a while: it answers with a good head and then sends
bytes without end, until its caller closes.  Broken if more than a quarter of the requests that last
longer than the time-out, and eight or more, have no final answer half a second after it.
"""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins

TIMEOUT_S = 1.0
CLIENT_WAITS_MS = 4_000
WORK_MS = 120.0
CALLERS = 8
JUNK = b"?" * 16_384
JUNK_GAP_S = 0.005
COUNT, SHARE, SLACK_MS = 8, 0.25, 500.0


async def endless_answer(
    endpoint: stand_ins.Endpoint, message: stand_ins.Message, writer: asyncio.StreamWriter
) -> None:
    """Answer with bytes without end, until the caller closes the connection."""
    request_id = message.headers["x-cloverhook-request-id"]
    head = {**endpoint.signed(request_id), "Transfer-Encoding": "chunked"}
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items()), "", ""]
    writer.write("\r\n".join(lines).encode())
    while not writer.transport.is_closing():
        writer.write(b"%x\r\n%b\r\n" % (len(JUNK), JUNK))
        await writer.drain()
        await asyncio.sleep(JUNK_GAP_S)


async def ask_again(
    world: stand_ins.World, address: str, number: int, answers: list[stand_ins.Answer]
) -> None:
    """Send one request after the other."""
    client = stand_ins.Client(address, world.record)
    for turn in itertools.count():
        answers.append(await client.ask(f"browse-{number}-{turn}", "/browse/x", CLIENT_WAITS_MS))
        await asyncio.sleep(0.1)


async def case(world: stand_ins.World) -> int:
    """Play the case."""
    browse = stand_ins.route("browse", "bookdesk", "safe", TIMEOUT_S, 0.3)
    await stand_ins.put_config(world.store, 1, [browse])
    endpoints = await world.add_endpoints("bookdesk", 3, 4, WORK_MS)
    if not await world.add_gateways(2):
        return stand_ins.CANT_RUN
    await asyncio.sleep(4.0)  # The machines have been in touch for longer than `contact`.
    answers: list[stand_ins.Answer] = []
    tasks = [
        asyncio.create_task(
            ask_again(world, world.gateways[number % 2].caller_address, number, answers)
        )
        for number in range(CALLERS)
    ]
    await asyncio.sleep(3.0)
    if stand_ins.trouble():
        faulty = endpoints[0]
        faulty.answer = lambda message, writer, run: endless_answer(faulty, message, writer)
    await asyncio.sleep(25.0)
    for task in tasks:
        task.cancel()
    lasted = [item for item in answers if item.ended_ms - item.sent_ms > 1_000 * TIMEOUT_S]
    late = [x for x in lasted if x.ended_ms - x.sent_ms > 1_000 * TIMEOUT_S + SLACK_MS]
    served = sum(item.status == 200 for item in answers)
    world.record.write("result", answers=len(answers), lasted=len(lasted), unanswered=len(late))
    print(f"{len(answers)} requests, {served} served; {len(lasted)} lasted beyond the time-out,")
    print(f"{len(late)} of them without a final answer half a second later")
    if not served:
        return stand_ins.CANT_RUN
    broken = len(late) >= COUNT and len(late) > SHARE * len(lasted)
    return stand_ins.BROKEN if broken else stand_ins.HELD


stand_ins.play(case, Path(__file__).resolve().with_name("record.txt"))
