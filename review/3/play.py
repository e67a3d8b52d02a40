"""A planned stop: a request is accepted in the second half of the grace period and then broken off.

Clients ask the directory before SIGTERM.  They use its answer within its lifetime and connect more
than 3 s after SIGTERM.  The endpoint needs longer than the gateway goes on.
"""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.append(str(FOLDER.parent))

import stand_ins  # noqa: E402

WORK_S = 2.6
"""The page of one customer has work of 410 ms, of which three in a hundred take seven times as
long, with a time limit of 5 s."""
LIMIT_MS = 5_000
SENT_AFTER_S = (3.06, 3.10, 3.14, 3.18, 3.22)
LATEST_END_S = stand_ins.GRACE_S + 1.0
TTL_S = 5.0


def document() -> bytes:
    """Return the configuration: one route with a long timeout."""
    route = {
        "name": "r-x73d3zj",
        "host": stand_ins.HOST,
        "pathPrefix": stand_ins.SAFE_PATH,
        "kind": "safe",
        "timeout": LIMIT_MS / 1000,
        "targetLatency": 1.2,
        "priority": 1,
        "service": stand_ins.SERVICE,
        "maxAttempts": 2,
    }
    return stand_ins.config(routes=[route])


async def play() -> bool:
    """Return whether each request that was passed on got a complete answer."""
    deployment = stand_ins.Deployment(RECORD, document())
    record = deployment.record
    endpoints = [stand_ins.Endpoint(f"i-{index}", record, work_s=WORK_S) for index in range(8)]
    answers: dict[str, stand_ins.Answer] = {}
    try:
        await deployment.start(endpoints, gateways=2)
        gateway = deployment.gateways[0]
        target = f"/api/resolve?name={stand_ins.HOST}&region=kingston&zone=papine"
        resolved = await stand_ins.call(gateway.directory, "GET", target, "resolve", 1_000)
        found = json.loads(resolved.body)
        record.note("directory", addresses=found["addresses"], ttl=found["ttl"])
        resolved_s = time.monotonic()
        if gateway.front not in found["addresses"]:
            raise RuntimeError("the directory does not name the gateway")
        if stand_ins.trouble():
            gateway.send_signal(signal.SIGTERM)
        stopped_s = time.monotonic()

        async def client(number: int, after_s: float) -> None:
            await asyncio.sleep(stopped_s + after_s - time.monotonic())
            if time.monotonic() - resolved_s > min(TTL_S, found["ttl"]):
                raise RuntimeError("the directory's answer has expired")
            request_id = f"late-{number}"
            answers[request_id] = stand_ins.Answer()
            sent_s = time.monotonic() - stopped_s
            record.note("client-sends", id=request_id, after_sigterm_s=f"{sent_s:.3f}")
            try:
                answer = await stand_ins.call(
                    gateway.front, "GET", stand_ins.SAFE_PATH + "2f", request_id, LIMIT_MS
                )
            except OSError as error:
                record.note("client-not-connected", id=request_id, error=repr(error))
                return
            answers[request_id] = answer
            ended_s = time.monotonic() - stopped_s
            record.note(
                "client-gets",
                id=request_id,
                status=answer.status,
                complete=answer.complete,
                after_sigterm_s=f"{ended_s:.3f}",
                after_sending_s=f"{ended_s - sent_s:.3f}",
            )

        await asyncio.gather(*(client(*item) for item in enumerate(SENT_AFTER_S)))
        await asyncio.sleep(max(0.0, stopped_s + LATEST_END_S - time.monotonic()))
    finally:
        await deployment.end()
    ran = {request_id for endpoint in endpoints for request_id in endpoint.ran}
    lost = [name for name, item in answers.items() if name in ran and not item.complete]
    for request_id in lost:
        record.note("LOST-broken", id=request_id)
    record.note("summary", sent=len(answers), ran=len(ran), lost=len(lost))
    return not lost


if __name__ == "__main__":
    sys.exit(stand_ins.run(play))
