"""Steps on responses that are larger than what may wait in a socket."""

import asyncio
import fcntl
import random
import socket
import struct
import termios
from unittest import mock

from behave import given, then, when

from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.ingress import Ingress
from cloverhook.gateway.large_responses import write_in_parts
from features import gateway_fleet as fleet
from features.shared import run

FIRST_BYTES = 262_144
RECEIVE_BYTES = 4_096
SHORT = b"short"
WAYS = {
    "is known as a whole": (False, False),
    "is read in parts": (True, True),
    "is read in parts of any length": (True, False),
}


async def parts_of(body):
    """Yield a body in parts of different sizes."""
    start = 0
    source = random.Random(1)
    while start < len(body):
        size = source.randrange(1, 100_000)
        yield body[start : start + size]
        start += size


async def start_listener(context):
    """Start a listener that answers `/large` as the scenario asks for and all else briefly."""

    async def serve(request):
        if request.path != "/large":
            return CallerAnswer(200, [], SHORT)
        body = context.body
        if not context.in_parts:
            return CallerAnswer(200, [], body)
        length = len(body) if context.has_length else None
        rest = parts_of(body[FIRST_BYTES:])
        return CallerAnswer(200, [], body[:FIRST_BYTES], rest, length)

    context.ingress = Ingress(serve)
    context.address = fleet.free_address()
    await context.ingress.listen(context.address)
    context.stack.callback(context.ingress.close_listener)
    context.stack.push_async_callback(fleet.until, lambda: not context.ingress.connections)


async def connect(context):
    """Return the streams of a caller's connection, which has a small receive buffer."""
    host, _, port = context.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
    context.stack.callback(writer.close)
    return reader, writer


async def receive(reader):
    """Return the body of the next response."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b"content-length" in head:
        length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
        return await reader.readexactly(length)
    body = b""
    while length := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(length)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def ask(writer, path):
    """Send a request."""
    writer.write(b"GET %b HTTP/1.1\r\nhost: shop.example\r\n\r\n" % path)


@given("a listener, and a caller that takes in little at a time")
def step_slow_caller(context):
    async def start():
        await start_listener(context)
        context.reader, context.writer = await connect(context)

    run(context, start())


@when("it asks for a response of {size:d} KB that {way}")
def step_ask(context, size, way):
    context.body = random.Random(2).randbytes(size * 1024)
    context.in_parts, context.has_length = WAYS[way]

    async def start():
        ask(context.writer, b"/large")
        await asyncio.sleep(0.1)

    run(context, start())


def waiting_bytes(connection):
    """Return how many bytes wait in the buffers of a listener's connection."""
    transport = connection._transport
    sock = transport.get_extra_info("socket")
    data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return transport.get_write_buffer_size() + struct.unpack("i", data)[0]


@then("at most {limit:d} KB of it ever wait in the listener's buffers")
def step_waiting(context, limit):
    (connection,) = context.ingress.connections

    async def watch():
        context.received = asyncio.create_task(receive(context.reader))
        most = waiting_bytes(connection)
        while not context.received.done():
            most = max(most, waiting_bytes(connection))
            await asyncio.sleep(0)
        return most

    most = run(context, watch())
    print(f"{most} bytes waited at most")
    assert 0 < most <= limit * 1024, most


@then("the caller gets all of it, and then a short one on the same connection")
def step_whole(context):
    async def ask_again():
        assert await context.received == context.body
        ask(context.writer, b"/")
        assert await receive(context.reader) == SHORT

    run(context, ask_again())


@given("{count:d} connections that always take what is written")
def step_fast(context, count):
    context.written = []
    context.transports = [mock.Mock() for _ in range(count)]
    for number, transport in enumerate(context.transports):
        transport.write = lambda part, number=number: context.written.append((number, len(part)))


@when("a response of {size:d} KB is written to each at once")
def step_write(context, size):
    context.size_bytes = size * 1024

    async def write():
        can_write = asyncio.Event()
        can_write.set()
        data = bytes(context.size_bytes)
        await asyncio.gather(
            *(write_in_parts(item, can_write, data) for item in context.transports)
        )

    run(context, write())


@then("each connection gets a part in turn")
def step_in_turn(context):
    count = len(context.transports)
    numbers = [number for number, _ in context.written]
    assert numbers == [*range(count)] * (len(numbers) // count), numbers
    assert len(numbers) > count
    assert sum(size for _, size in context.written) == count * context.size_bytes


@when("it goes away")
def step_go_away(context):
    context.writer.transport.abort()


@then("the listener has no connection left")
def step_forgotten(context):
    run(context, fleet.until(lambda: not context.ingress.connections))
