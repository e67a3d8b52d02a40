"""Steps for the memory that the bodies of requests take up."""

import asyncio
import contextlib
import json
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from cloverhook.gateway.body_budget import SMALL_BODY_BYTES, BodyBudget, Grant
from features import gateway_fleet as fleet
from features.gateway_soak import HEADERS, Soak
from features.shared import run

MB = 1_000_000
PIECE = bytes(60_000)
PIECES_PER_WRITE = 512
BODY_BYTES = 300_000
BODY_LIMIT_BYTES = 67_108_864
TIMEOUT_MS = 60_000
SMALL_WRITES = 20


def head(request_id, names, lines):
    """Return the head of a write."""
    return "\r\n".join(
        (
            f"POST {fleet.UNSAFE} HTTP/1.1",
            f"Host: {fleet.HOST}",
            f"{names.request_id.decode()}: {request_id}",
            f"{names.timeout_ms.decode()}: {TIMEOUT_MS}",
            *lines,
            "",
            "",
        )
    ).encode()


async def connect(address):
    """Open a connection to a gateway."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_body(writer, size_bytes, chunk_bytes):
    """Send a body, in chunks if these have a size."""
    if chunk_bytes:
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, PIECE[:chunk_bytes])
        per_write = max(1, PIECES_PER_WRITE // 2) if chunk_bytes < 1_000 else 1
        for _ in range(0, size_bytes, chunk_bytes * per_write):
            writer.write(chunk * per_write)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
    else:
        for sent_bytes in range(0, size_bytes, len(PIECE)):
            writer.write(PIECE[: size_bytes - sent_bytes])
            await writer.drain()


async def read_answer(reader):
    """Return the status and headers of an answer."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:-2])
    return int(lines[0].split()[1]), headers


async def upload(address, request_id, size_bytes, chunk_bytes=0, names=fleet.NAMES):
    """Send a write with a large body; return the status and the headers of its answer."""
    async with asyncio.timeout(TIMEOUT_MS / 1000):
        return await _upload(address, request_id, size_bytes, chunk_bytes, names)


async def _upload(address, request_id, size_bytes, chunk_bytes, names):
    framing = "Transfer-Encoding: chunked" if chunk_bytes else f"Content-Length: {size_bytes}"
    reader, writer = await connect(address)
    try:
        writer.write(head(request_id, names, (framing,)))
        sending = asyncio.ensure_future(send_body(writer, size_bytes, chunk_bytes))
        answer = await read_answer(reader)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await sending
        return answer
    finally:
        writer.close()


async def write_small(address, request_ids, names):
    """Make small writes one after the other on one connection; return their statuses."""
    reader, writer = await connect(address)
    statuses = []
    for request_id in request_ids:
        writer.write(head(request_id, names, ("Content-Length: 3",)) + b"pay")
        status, headers = await read_answer(reader)
        await reader.readexactly(int(headers["content-length"]))
        statuses.append(status)
    writer.close()
    return statuses


@given("a gateway process whose settings don't give its memory, with a backend server")
def step_process(context):
    async def start():
        folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
        context.processes = deployment = Soak(0, folder, context.stack, 1)
        deployment.body_limit_bytes = BODY_LIMIT_BYTES
        await deployment.start_all()

    run(context, start())


@when(
    "callers send {count:d} bodies of {size_mb:d} MB at once {how}, while others make small writes"
)
def step_upload(context, count, size_mb, how):
    chunk_bytes = {"with their length": 0, "in chunks": len(PIECE), "in chunks of 2 bytes": 2}[how]
    address = context.processes.gateways[0].addresses["caller_address"]

    async def play():
        uploads = asyncio.gather(
            *(
                upload(address, f"large-{index}", size_mb * MB, chunk_bytes, HEADERS)
                for index in range(count)
            )
        )
        number = 0
        context.small = []
        while not uploads.done() or number < SMALL_WRITES:
            context.small += await write_small(address, [f"small-{number}"], HEADERS)
            number += 1
        context.uploads = await uploads

    run(context, play())


@then("the process has never held more than {limit_mb:d} MB")
def step_peak(context, limit_mb):
    pid = context.processes.gateways[0].process.pid
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    peak_mb = int(line.split()[1]) * 1_024 / MB
    assert peak_mb <= limit_mb, f"{peak_mb:.0f} MB"


@then("all small writes are answered 200")
def step_small_answered(context):
    assert set(context.small) == {200}, context.small


@then(
    "{served:d} or more of the bodies are answered 200, the others 503 with a time to return, not "
    "run"
)
def step_uploads_answered(context, served):
    ran = {item.decode() for backend in context.processes.backends for item in backend.ran}
    for index, (status, headers) in enumerate(context.uploads):
        expected = 200 if f"large-{index}" in ran else 503
        assert status == expected, (index, status)
        assert status == 200 or float(headers["retry-after"]) > 0, headers
    statuses = [status for status, _ in context.uploads]
    assert statuses.count(200) >= served, statuses


@given("a gateway with memory for one body of 300 KB, and a backend server")
def step_small_gateway(context):
    run(context, fleet.start_fleet(context, 1, memory_mb=1))


def small_gateway(context):
    """Return the only gateway and the address for its callers."""
    gateway, settings = context.gateways[0]
    return gateway, settings.caller_address


async def send_half(context):
    """Have a first caller send half of its body."""
    gateway, address = small_gateway(context)
    _, context.first = await connect(address)
    context.first.write(head("first", fleet.NAMES, (f"Content-Length: {BODY_BYTES}",)))
    context.first.write(bytes(BODY_BYTES // 2))
    context.stack.callback(context.first.transport.abort)
    await fleet.until(lambda: gateway._body_budget.held_bytes == BODY_BYTES)


@when("a caller has sent half of a body of 300 KB, and another one begins to send one")
def step_two_bodies(context):
    async def play():
        await send_half(context)
        address = small_gateway(context)[1]
        context.second = asyncio.ensure_future(upload(address, "second", BODY_BYTES))

    run(context, play())


@when("a caller has sent half of a body of 300 KB, and another one asks whether to send one")
def step_expectation(context):
    async def play():
        await send_half(context)
        context.reader, context.writer = await connect(small_gateway(context)[1])
        lines = (f"Content-Length: {BODY_BYTES}", "Expect: 100-continue")
        context.writer.write(head("second", fleet.NAMES, lines))
        context.stack.callback(context.writer.transport.abort)

    run(context, play())


@then("the second body waits")
def step_waits(context):
    gateway = small_gateway(context)[0]
    run(context, fleet.until(lambda: gateway._body_budget.waiting_count == 1))


@then("a small write is answered 200")
def step_small_write(context):
    address = small_gateway(context)[1]
    assert run(context, write_small(address, ["small"], fleet.NAMES)) == [200]


@when("the first caller disconnects")
def step_disconnect(context):
    async def close():
        context.first.transport.abort()

    run(context, close())


@when("a planned stop begins at the gateway")
def step_stop(context):
    async def begin():
        small_gateway(context)[0].begin_shutdown()

    run(context, begin())


@then("the second body is answered 200")
def step_second_answered(context):
    async def wait():
        return await context.second

    assert run(context, wait())[0] == 200
    assert len(context.backends[0].seen[-1][2]) == BODY_BYTES


@then("the second body is answered 503 with a time to return, and did not run")
def step_second_rejected(context):
    async def wait():
        return await context.second

    status, headers = run(context, wait())
    assert status == 503 and float(headers["retry-after"]) > 0, (status, headers)
    assert b"second" not in context.backends[0].ran


@then("the second caller is asked for its body and answered 200")
def step_continue(context):
    async def play():
        interim = await context.reader.readuntil(b"\r\n\r\n")
        context.writer.write(bytes(BODY_BYTES))
        return interim, await read_answer(context.reader)

    interim, (status, _) = run(context, play())
    assert interim.startswith(b"HTTP/1.1 100 ") and status == 200, (interim, status)


@when("a caller sends the head of a request with a body of {size:d} {unit}")
def step_head_only(context, size, unit):
    async def play():
        reader, writer = await connect(small_gateway(context)[1])
        size_bytes = size * {"KB": 1_000, "MB": MB}[unit]
        writer.write(head("head", fleet.NAMES, (f"Content-Length: {size_bytes}",)))
        context.answer = await read_answer(reader)
        writer.close()

    run(context, play())


@then("it is answered 503 with a time to return before it has sent the body")
def step_refused(context):
    status, headers = context.answer
    assert status == 503 and float(headers["retry-after"]) > 0, context.answer


@then("it is answered 413 before it has sent the body")
def step_too_large(context):
    assert context.answer[0] == 413, context.answer


class Bodies:
    """Bodies of known and unknown length that are received a step at a time."""

    def __init__(self, sizes):
        self.budget = BodyBudget(10 * MB)
        self.left = []
        for size_bytes, chunked in sizes:
            body = self.budget.open(lambda granted: None)
            most_bytes = self.budget.limit_bytes if chunked else size_bytes
            self.left.append([body, size_bytes, chunked, most_bytes, 0])

    def step(self, index):
        """Receive a part of a body, or release it if it is complete; return whether it moved."""
        item = self.left[index % len(self.left)]
        body, size_bytes, chunked, most_bytes, received_bytes = item
        if received_bytes >= size_bytes:
            self.budget.complete(body, size_bytes, 0.0)
            self.budget.release(body, 0.0)
            self.left.remove(item)
            return True
        part_bytes = min(SMALL_BODY_BYTES, size_bytes - received_bytes)
        needed_bytes = received_bytes + part_bytes if chunked else size_bytes
        grant = self.budget.reserve(body, needed_bytes, most_bytes, 0.0)
        if grant is Grant.REFUSED:
            self.budget.release(body, 0.0)
            self.left.remove(item)
        elif grant is Grant.GRANTED:
            item[4] += part_bytes
        assert self.budget.large_bytes <= self.budget.limit_bytes
        assert self.budget.small_bytes <= self.budget.small_limit_bytes
        return grant is not Grant.WAITING


@then("no sequence of reservations exceeds the memory or ends with bodies that wait for each other")
def step_no_deadlock(context):
    sizes = st.lists(st.tuples(st.integers(1, 4 * MB), st.booleans()), min_size=1, max_size=12)

    @settings(deadline=None, derandomize=True, max_examples=300, database=None)
    @for_all(sizes, st.lists(st.integers(0, 11), max_size=200))
    def play(sizes, order):
        bodies = Bodies(sizes)
        for index in order:
            if bodies.left:
                bodies.step(index)
        while bodies.left:
            moved = [bodies.step(index) for index in range(len(bodies.left))]
            assert any(moved), [item[1:] for item in bodies.left]
        assert bodies.budget.held_bytes == 0 and bodies.budget.waiting_count == 0

    play()


@given("a budget that one body takes up while another one waits")
def step_budget(context):
    context.budget = BodyBudget(MB)
    context.decisions = []
    first = context.budget.open(lambda granted: context.decisions.append(("first", granted)))
    second = context.budget.open(lambda granted: context.decisions.append(("second", granted)))
    assert context.budget.reserve(first, BODY_BYTES, BODY_BYTES, 0.0) is Grant.GRANTED
    assert context.budget.reserve(second, BODY_BYTES, BODY_BYTES, 1.0) is Grant.WAITING


@when("the first body has received next to nothing for 5 s")
def step_slow(context):
    context.budget.expire(4_900.0)
    assert not context.decisions, json.dumps(context.decisions)
    context.budget.expire(5_100.0)


@then("it is refused and the second one granted")
def step_slow_refused(context):
    assert sorted(context.decisions) == [("first", False), ("second", True)], context.decisions
