"""A second answer of an endpoint arrives late, and the endpoint's health path says that it is ill.

The gateway probes the health path before a request that must not run twice.  The second answer is
taken for the answer to the probe, and the answer to the probe for that to the request.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.append(str(FOLDER.parent))

import stand_ins  # noqa: E402

CALLS = 6_400
CLIENTS = 16
ENDPOINTS = 20
GARBLING = 12
ILL = 3
"""Of the endpoints, 60 in a hundred send second answers; 15 in a hundred say that they are ill."""
GARBLE_EVERY = 34
"""One in 34 answers of such an endpoint, less than three in a hundred, is followed by another."""
LIMIT_MS = 1_200
HEALTH_S = 0.006
"""What the pages give as the time of a health probe (6 ms)."""
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Garbler:
    """Sends the answer to a request once more, where the next answer is expected."""

    def __init__(self) -> None:
        """Start to count answers."""
        self.counts: dict[str, int] = {}
        self.due: dict[asyncio.StreamWriter, str] = {}

    async def before_answer(
        self, endpoint: stand_ins.Endpoint, writer: asyncio.StreamWriter
    ) -> None:
        """Send the second answer that is due on a connection."""
        request_id = self.due.pop(writer, None)
        if request_id is not None:
            endpoint.record.note("second-answer", id=request_id, endpoint=endpoint.name)
            endpoint.write_answer(writer, request_id, b"done by " + endpoint.name.encode())
            await asyncio.sleep(HEALTH_S)

    def answering(self, endpoint: stand_ins.Endpoint) -> None:
        """Have the endpoint garble some of its answers."""

        async def answer(request: stand_ins.Request, writer: asyncio.StreamWriter) -> bool:
            await asyncio.sleep(endpoint.work_s)
            body = b"done by " + endpoint.name.encode()
            endpoint.write_answer(writer, request.request_id, body)
            self.counts[endpoint.name] = self.counts.get(endpoint.name, 0) + 1
            if self.counts[endpoint.name] % GARBLE_EVERY == 0:
                self.due[writer] = request.request_id
            return True

        endpoint.answer = answer
        endpoint.before_answer = self.before_answer


async def play() -> bool:
    """Return whether no request that has run was answered with a promise that it has not."""
    deployment = stand_ins.Deployment(RECORD)
    record = deployment.record
    endpoints = [stand_ins.Endpoint(f"i-{index}", record) for index in range(ENDPOINTS)]
    garbler = Garbler()
    if stand_ins.trouble():
        for endpoint in endpoints[:GARBLING]:
            garbler.answering(endpoint)
        for endpoint in endpoints[:ILL]:
            endpoint.healthy = False
    answers: dict[str, stand_ins.Answer] = {}
    try:
        await deployment.start(endpoints, gateways=1)
        gateway = deployment.gateways[0]

        async def client(number: int) -> None:
            for index in range(CALLS // CLIENTS):
                request_id = f"c{number}-{index}"
                method = "POST" if index % 3 else "GET"
                path = stand_ins.UNSAFE_PATH if method == "POST" else stand_ins.SAFE_PATH
                record.note("client-sends", id=request_id, method=method)
                answer = await stand_ins.call(gateway.front, method, path, request_id, LIMIT_MS)
                record.note("client-gets", id=request_id, status=answer.status, body=answer.body)
                if method == "POST":
                    answers[request_id] = answer
                await asyncio.sleep(0.03)

        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
        await asyncio.sleep(1.5)
    finally:
        await deployment.end()
    ran = {request_id for endpoint in endpoints for request_id in endpoint.ran}
    broken = [
        request_id
        for request_id, answer in answers.items()
        if answer.status in NOT_RUN_STATUSES and request_id in ran
    ]
    for request_id in broken:
        record.note("REFUSED-broken", id=request_id, status=answers[request_id].status)
    unserved = sum(1 for answer in answers.values() if answer.status != 200)
    record.note("summary", calls=CALLS, unsafe=len(answers), unserved=unserved, broken=len(broken))
    return not broken


if __name__ == "__main__":
    sys.exit(stand_ins.run(play))
