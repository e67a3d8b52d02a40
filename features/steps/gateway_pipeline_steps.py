"""Steps for requests that a caller sends before earlier ones are answered."""

import asyncio
import random
import socket
from unittest.mock import patch

import httptools
from behave import given, then, when

from cloverhook.gateway import ingress
from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.ingress import Ingress
from cloverhook.gateway.response_order import (
    BUFFERED_RESPONSE_BYTES,
    PIPELINE_LIMIT,
    READ_AHEAD_BYTES,
    ResponseOrder,
    Stage,
)
from features import gateway_fleet as fleet
from features.shared import run

SETTLE_S = 0.05
"""Long enough for events that must not happen to happen on the loopback interface."""
WORK_MS = 300.0


class Caller:
    """A connection that collects the responses it receives."""

    @classmethod
    async def connect(cls, context, address, receive_bytes=0):
        """Connect; the connection is closed after the scenario."""
        self = cls()
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setblocking(False)
        host, _, port = address.rpartition(":")
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(sock=sock)
        self.parser = httptools.HttpResponseParser(self)
        self.responses, self.body, self.closes = [], b"", []
        self.ended = self.reset = False
        self.reading = asyncio.create_task(self._read())
        context.stack.callback(self.writer.close)
        context.stack.callback(self.reading.cancel)
        return self

    async def _read(self):
        try:
            while data := await self.reader.read(65_536):
                self.parser.feed_data(data)
        except OSError:
            self.reset = True
        self.ended = True

    def on_headers_complete(self):
        """Note whether the response closes the connection."""
        if self.parser.get_status_code() != 100:
            self.closes.append(not self.parser.should_keep_alive())

    def on_body(self, body):
        """Append a part of the response's body."""
        self.body += body

    def on_message_complete(self):
        """Store the response as its body, or as its status if that isn't 200."""
        status = self.parser.get_status_code()
        self.responses.append(self.body.decode() if status == 200 else str(status))
        self.body = b""

    def send(self, *names, body=b"", path="/", headers=()):
        """Send one request for each name; w is a POST."""
        for name in names:
            method = "POST" if name[0] == "w" else "GET"
            lines = [f"{method} {path}{name} HTTP/1.1", f"Host: {fleet.HOST}", *headers]
            lines += [f"Content-Length: {len(body)}"] * bool(body)
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Scripted:
    """A listener whose handler answers a request when the scenario says so."""

    def __init__(self, concurrent=True):
        self.pending, self.ran, self.cancelled = {}, [], []
        self.automatic = None
        self.most_parsed = 0
        self.stream_read = self.stream_closed = False
        self.stream_event = asyncio.Event()
        self.stream_error = None
        overlap = {"may_overlap": lambda request: request.method == b"GET"} if concurrent else {}
        self.ingress = Ingress(self.handle, **overlap)

    @property
    def connection(self):
        """The only connection of the listener."""
        (connection,) = self.ingress.connections
        return connection

    async def handle(self, request):
        """Wait for the outcome of a request, an answer or an exception."""
        name = request.path[1:]
        self.ran.append(name)
        self.most_parsed = max(self.most_parsed, len(self.connection._order))
        if self.automatic is not None:
            await asyncio.sleep(random.random() / 1_000)
            return CallerAnswer(200, [], self.automatic or name.encode())
        self.pending[name] = asyncio.get_running_loop().create_future()
        try:
            return await self.pending[name]
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        finally:
            del self.pending[name]

    def end(self, name, body=None, stream=None):
        """End a request with a body, its name if there is none."""
        answer = CallerAnswer(200, [], name.encode() if body is None else body, stream)
        self.pending[name].set_result(answer)

    async def stream(self):
        """Yield the second part of a body once the scenario lets it."""
        try:
            yield b""
            self.stream_read = True
            await self.stream_event.wait()
            if self.stream_error:
                raise self.stream_error
            yield b"eam"
        finally:
            self.stream_closed = True


def listen(context, concurrent):
    """Start a scripted listener and connect a caller to it."""

    async def start():
        context.scripted = Scripted(concurrent)
        address = fleet.free_address()
        await context.scripted.ingress.listen(address)
        context.stack.callback(context.scripted.ingress.close_listener)
        context.caller = await Caller.connect(context, address, receive_bytes=8_192)

    context.loop.set_exception_handler(lambda loop, details: None)  # Handlers fail on purpose.
    run(context, start())


def settle(context):
    """Give events that must not happen the time to happen."""
    run(context, asyncio.sleep(SETTLE_S))


def wait_for(context, actual, wanted):
    """Wait until a value is the wanted one, and check that it stays so."""
    try:
        run(context, fleet.until(lambda: actual() == wanted))
    except TimeoutError as error:
        raise AssertionError(f"{actual()!r} instead of {wanted!r}") from error
    settle(context)
    assert actual() == wanted, f"{actual()!r} instead of {wanted!r}"


@given("a listener whose responses are given by the scenario")
def step_listener(context):
    listen(context, concurrent=True)


@given("a listener without concurrency")
def step_serial_listener(context):
    listen(context, concurrent=False)


@when("the caller sends r1 and the head of w2 that expects 100-continue")
def step_expects(context):
    context.caller.send("r1")
    context.caller.send("w2", headers=("Content-Length: 5", "Expect: 100-continue"))


@when("the caller sends {count:d} idempotent requests at once")
def step_many(context, count):
    context.names = [f"r{number}" for number in range(1, count + 1)]
    context.caller.send(*context.names)


@when("the caller sends {count:d} idempotent requests with bodies of {size:d} bytes")
def step_bodies(context, count, size):
    context.names = [f"r{number}" for number in range(1, count + 1)]
    context.caller.send(*context.names, body=bytes(size))


@when("the caller reads nothing and sends {count:d} requests that each give {size:d} bytes")
def step_unread(context, count, size):
    context.caller.reader._transport.pause_reading()
    context.scripted.automatic = bytes(size)
    context.names = ["\0" * size] * count
    context.caller.send(*(f"r{number}" for number in range(count)))
    context.size = size

    async def stalled():
        ran = -1
        while ran != len(context.scripted.ran):
            ran = len(context.scripted.ran)
            await asyncio.sleep(5 * SETTLE_S)

    run(context, stalled())


@when("the caller sends the list {names}")
def step_send(context, names):
    for name in names.split():
        if name == "bad":
            context.caller.writer.write(b"GET /bad HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
        else:
            name, _, connection = name.partition("-")
            lines = {"": (), "upgrade": ("Connection: upgrade", "Upgrade: x")}
            lines["close"] = ("Connection: close",)
            context.caller.send(name, headers=lines[connection])
    settle(context)


@when("the handler streams the response to {name}")
def step_end_stream(context, name):
    async def end():
        stream = context.scripted.stream()
        await anext(stream)
        context.scripted.end(name, b"str", stream)

    run(context, end())
    settle(context)


@when("the handler gives {name} {size:d} bytes")
def step_end_large(context, name, size):
    context.scripted.end(name, bytes(size))
    settle(context)


@when("each request ends as soon as it runs")
def step_automatic(context):
    context.scripted.automatic = b""
    for name in tuple(context.scripted.pending):
        context.scripted.end(name)


@when("the handler answers {names}")
def step_end(context, names):
    for name in names.split():
        context.scripted.end(name)
        settle(context)


@when("the handler fails {name}")
def step_fail(context, name):
    context.scripted.pending[name].set_exception(ValueError(name))
    settle(context)


@when("the stream goes on")
def step_stream_on(context):
    context.scripted.stream_event.set()


@when("the stream breaks")
def step_stream_breaks(context):
    context.scripted.stream_error = ValueError("broken")
    context.scripted.stream_event.set()


@when("the caller reads again")
def step_read_again(context):
    context.caller.reader._transport.resume_reading()


@when("the caller disconnects")
def step_disconnect(context):
    context.caller.writer.transport.abort()


@when("draining starts")
def step_drain(context):
    context.scripted.ingress.start_draining()


@then("nothing of the stream has been read")
def step_stream_unread(context):
    assert not context.scripted.stream_read


@then("the running requests are {names}")
def step_run(context, names):
    wait_for(context, lambda: sorted(context.scripted.pending), sorted(names.split()))


@then("no response has been received")
def step_nothing(context):
    settle(context)
    assert context.caller.responses == [] and not context.caller.ended, context.caller.responses


@then("{count:d} responses have been received in order")
def step_received_count(context, count):
    wait_for(context, lambda: len(context.caller.responses), count)
    assert context.caller.responses == context.names


@then("no response has been received whole, and the connection is reset")
def step_reset_at_once(context):
    wait_for(context, lambda: (context.caller.responses, context.caller.reset), ([], True))


@then("the connection is reset")
def step_reset(context):
    wait_for(context, lambda: context.caller.reset, True)


@then("the last one closes the connection")
def step_closes(context):
    wait_for(context, lambda: context.caller.ended, True)
    assert not context.caller.reset
    wanted = [False] * (len(context.caller.responses) - 1) + [True]
    assert context.caller.closes == wanted, context.caller.closes


@then("no request is in progress, once the caller has left")
def step_idle(context):
    assert context.scripted.ingress.in_flight() == 0 and context.scripted.ingress.lingering() == 1
    context.caller.writer.close()
    wait_for(context, lambda: len(context.scripted.ingress.connections), 0)


@then("the responses received are {names}")
def step_received(context, names):
    wait_for(context, lambda: context.caller.responses, names.split())


@then("the connection stays open")
def step_open(context):
    assert not context.caller.ended and not any(context.caller.closes)


@then("never more than {limit:d} were unanswered and parsed")
def step_most_parsed(context, limit):
    assert context.scripted.most_parsed == limit, context.scripted.most_parsed


@then("at most {bound:d} bytes and one response wait in the transport, and requests are left")
def step_transport_bound(context, bound):
    size = context.scripted.connection._transport.get_write_buffer_size()
    assert size <= bound + context.size + 1_024, size
    assert len(context.scripted.ran) < len(context.names)


@then("the requests that ran are {names}")
def step_only_ran(context, names):
    settle(context)
    assert context.scripted.ran == names.split(), context.scripted.ran


@then("the stream has been closed unread and the listener has no connection")
def step_stream_closed(context):
    assert context.scripted.stream_closed and not context.scripted.stream_read
    assert not context.scripted.ingress.connections


@then("the requests cancelled are {names}")
def step_cancelled(context, names):
    wait_for(context, lambda: sorted(context.scripted.cancelled), sorted(names.split()))


# Gateways.


async def pipeline(context, *paths):
    """Pipeline requests over one new connection to the gateway."""
    _, settings = context.gateways[0]
    context.caller = await Caller.connect(context, settings.caller_address)
    send(context.caller, *paths)


def send(caller, *paths):
    """Send a request for each path."""
    for number, path in enumerate(paths):
        lines = (
            f"{fleet.NAMES.request_id.decode()}: p-{number}",
            f"{fleet.NAMES.timeout_ms.decode()}: 2000",
        )
        caller.send("w" if path == fleet.UNSAFE else "r", path=path, headers=lines)


READS_AND_WRITE = (fleet.SAFE,) * 3 + (fleet.UNSAFE,)


@when("a caller pipelines 3 reads and a write, of which each takes 300 ms")
def step_pipeline_gateway(context):
    (backend,) = context.backends
    backend.work_ms = WORK_MS
    context.received_at_arrival = []
    backend.on_request = lambda item, line: context.received_at_arrival.append(
        (line.split()[0], len(context.caller.responses))
    )
    run(context, pipeline(context, *READS_AND_WRITE))


@then("the reads run at once, the write after them, and all are answered in order")
def step_gateway_order(context):
    (backend,) = context.backends
    wait_for(context, lambda: len(context.caller.responses), 4)
    assert context.caller.responses == [backend.incarnation] * 4
    assert context.received_at_arrival == [(b"GET", 0)] * 3 + [(b"POST", 3)]
    assert sorted(backend.ran[:3]) == [b"p-0", b"p-1", b"p-2"] and backend.ran[3:] == [b"p-3"]


@when("a caller pipelines 3 reads and a write, and the gateway is told to leave meanwhile")
def step_pipeline_stop(context):
    (backend,) = context.backends
    backend.work_ms = WORK_MS
    context.stack.enter_context(patch.object(ingress, "LINGER_MS", 60_000.0))

    async def stop():
        await pipeline(context, *READS_AND_WRITE)
        await fleet.until(lambda: len(backend.ran) == 3)
        context.gateways[0][0].begin_shutdown()

    run(context, stop())


@then("the reads are answered, the last one closes, and the write has not been sent")
def step_stop_answered(context):
    wait_for(context, lambda: (len(context.caller.responses), context.caller.ended), (3, True))
    assert context.caller.closes == [False, False, True], context.caller.closes
    assert not context.caller.reset and len(context.backends[0].seen) == 3
    gateway, _ = context.gateways[0]
    assert gateway._is_unfinished()  # The caller could still lose the response.
    context.caller.writer.close()
    run(context, gateway.run_until_stopped())


@when("a caller pipelines 3 reads that stay unanswered, and leaves")
def step_pipeline_leave(context):
    (backend,) = context.backends
    backend.default = "silent"

    async def leave():
        await pipeline(context, *READS_AND_WRITE)
        await fleet.until(lambda: len(backend.ran) == 3)
        context.caller.writer.transport.abort()

    run(context, leave())


@when("a caller leaves while a large response waits behind a request that stays unanswered")
def step_large_leave(context):
    (backend,) = context.backends
    backend.script = ["silent", "large"]

    async def leave():
        await pipeline(context, fleet.SAFE)
        await fleet.until(lambda: len(backend.ran) == 1)
        send(context.caller, fleet.SAFE)
        (connection,) = context.gateways[0][0]._caller_ingress.connections
        await fleet.until(lambda: any(item.streams for item in connection._order._entries))
        context.caller.writer.transport.abort()

    run(context, leave())


@then("the work on {count:d} requests has been ended, and none was sent later")
def step_work_ended(context, count):
    (backend,) = context.backends
    wait_for(context, lambda: backend.cut, count)
    assert len(backend.seen) == count


# The decision alone.


@then("{runs:d} random pipelines keep order, bounds and progress")
def step_replays(context, runs):
    for seed in range(runs):
        replay(random.Random(seed), seed)


def replay(rng, seed):
    """Play one pipeline of random requests, sizes, ends and a random start of draining."""
    order = ResponseOrder(lambda request: request[1])
    waiting = [(number, rng.random() < 0.8) for number in range(40)]
    drain_at = rng.choice((None, rng.randrange(40)))
    drained_after = None
    running, started, written = [], [], []
    while waiting or order:
        draining = drain_at is not None and len(written) >= drain_at
        while waiting and order.may_read():
            order.add(waiting.pop(0), body_bytes=rng.choice((0, 100, READ_AHEAD_BYTES // 3)))
        assert len(order) <= PIPELINE_LIMIT, seed
        now = order.start_ready(draining)
        buffered = sum(
            entry.response_bytes for entry in order._entries if entry.stage is Stage.FINISHED
        )
        streaming = any(entry.streams for entry in order._entries)
        assert not now or (buffered < BUFFERED_RESPONSE_BYTES and not streaming), seed
        assert not draining or not now or not running, seed
        running += now
        started += [entry.request[0] for entry in now]
        unanswered = [entry for entry in order._entries if entry.stage is not Stage.WAITING]
        assert len(unanswered) == 1 or all(entry.request[1] for entry in unanswered), seed
        if (running and rng.random() < 0.7) or order.next_to_write() is None:
            assert running, f"no progress with seed {seed}"
            entry = running.pop(rng.randrange(len(running)))
            size = rng.choice((10, BUFFERED_RESPONSE_BYTES // 2, BUFFERED_RESPONSE_BYTES))
            order.record_finished(entry, size, streams=rng.random() < 0.1)
        if (entry := order.next_to_write()) is not None:
            closes = order.closes_after(entry, draining)
            drained_after = entry.request[0] if closes else None
            if closes:
                assert draining and not order.drop_following() and not running, seed
            order.record_written(entry)
            written.append(entry.request[0])
            if closes:
                break
    assert written == started == list(range(len(written))), seed
    assert drained_after is not None if drain_at is not None else len(written) == 40, seed
