"""Steps on the socket between gateways: datagrams close together are read in one batch."""

import asyncio
import contextlib
import socket

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.datagram_port import DatagramPort
from features.gateway_fleet import free_address, until
from features.shared import run

PAUSE_S = 0.2


class CountingPort(DatagramPort):
    """A port that counts how often it wakes up to read."""

    def __init__(self, on_datagram, together_ms):
        super().__init__(on_datagram, together_ms)
        self.wakes = 0

    def _take_all(self):
        self.wakes += 1
        return super()._take_all()


@given("a port that reads what comes within {time_ms:d} ms together")
def step_port(context, time_ms):
    context.received = []
    host, _, port = free_address().rpartition(":")
    context.address = host, int(port)

    def receive(data, sender):
        if data == b"bad":
            raise ValueError("the reader can't handle this datagram")
        context.received.append(data)

    async def start():
        context.port = CountingPort(receive, lambda: float(time_ms))
        context.port.open(context.address)
        context.stack.callback(context.port.close)

    run(context, start())
    context.sender = context.stack.enter_context(
        contextlib.closing(socket.socket(type=socket.SOCK_DGRAM))
    )


@when("{count:d} datagrams come, {apart_ms:d} ms apart")
def step_datagrams(context, count, apart_ms):
    context.sent = [b"%d" % number for number in range(count)]

    async def send():
        started_ms = monotonic_ms()
        for data in context.sent:
            context.sender.sendto(data, context.address)
            await asyncio.sleep(apart_ms / 1000)
        await until(lambda: len(context.received) == count)
        context.sending_ms = monotonic_ms() - started_ms

    run(context, send())


@then("all have been read in order, in a wake-up for each {time_ms:d} ms")
def step_read_together(context, time_ms):
    assert context.received == context.sent
    limit = 2 + context.sending_ms / time_ms
    assert context.port.wakes <= limit < len(context.sent), (context.port.wakes, limit)


def send_after_a_pause(context, data):
    """Send a datagram once the port is idle, and keep the number of wake-ups before it."""

    async def send():
        await asyncio.sleep(PAUSE_S)
        context.wakes = context.port.wakes
        context.sender.sendto(data, context.address)

    run(context, send())


@when("a datagram comes after a pause")
def step_after_pause(context):
    send_after_a_pause(context, b"late")


@then("it is read at once")
def step_read_at_once(context):
    run(context, until(lambda: context.received[-1] == b"late"))
    assert context.port.wakes == context.wakes + 1


@when("a message that it gets makes its reader fail")
def step_reader_fails(context):
    context.loop.set_exception_handler(lambda loop, what: None)
    send_after_a_pause(context, b"bad")


@then("it reads the next one all the same")
def step_reads_on(context):
    send_after_a_pause(context, b"next")
    run(context, until(lambda: context.received[-1] == b"next"))
    context.loop.set_exception_handler(None)
