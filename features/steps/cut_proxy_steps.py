"""Steps that test the proxy that simulates a failing network."""

import asyncio
import contextlib

from behave import given, then, when

from cloverhook_emulator.cut_proxy import CutProxy, Mode
from features.shared import eventually, run

QUIET_S = 0.2
WAIT_S = 20


async def _echo(context, reader, writer):
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(100):
            context.echoed.append(data)
            writer.write(data)


async def _open(context):
    host, _, port = context.proxy.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    context.stack.callback(writer.close)
    return reader, writer


async def _call(connection, data):
    reader, writer = connection
    writer.write(data)
    async with asyncio.timeout(WAIT_S):
        return await reader.readexactly(len(data))


async def _start(context):
    context.echoed = []
    context.stack.push_async_callback(asyncio.sleep, QUIET_S)
    server = await asyncio.start_server(lambda r, w: _echo(context, r, w), "127.0.0.1", 0)
    context.stack.callback(server.close)
    context.proxy = CutProxy("{}:{}".format(*server.sockets[0].getsockname()))
    await context.proxy.start()
    context.stack.push_async_callback(context.proxy.close)


async def _is_closed(connection):
    reader, _ = connection
    async with asyncio.timeout(WAIT_S):
        try:
            return await reader.read(100) == b""
        except ConnectionError:
            return True


@given("an echo server behind a cut proxy")
def step_server(context):
    run(context, _start(context))


@given("an open connection that echoes")
def step_connection(context):
    context.connection = run(context, _open(context))
    assert run(context, _call(context.connection, b"one")) == b"one"


@when("the proxy goes silent and passes again")
def step_silent(context):
    context.proxy.set_mode(Mode.SILENT)
    context.proxy.set_mode(Mode.PASS)


@when("the proxy cuts")
def step_cut(context):
    context.proxy.set_mode(Mode.CUT)


@when("the proxy passes one way only")
def step_one_way(context):
    context.proxy.set_mode(Mode.ONE_WAY)


@then("the open connection stays silent and stays open")
def step_stays_silent(context):
    reader, writer = context.connection
    writer.write(b"two")
    run(context, asyncio.sleep(QUIET_S))
    assert context.echoed == [b"one"]
    assert not reader.at_eof()


@then("a new connection echoes")
def step_new_echoes(context):
    connection = run(context, _open(context))
    assert run(context, _call(connection, b"three")) == b"three"


@then("the open connection ends")
def step_open_closes(context):
    assert run(context, _is_closed(context.connection))


@then("a new connection ends")
def step_new_closes(context):
    assert run(context, _is_closed(run(context, _open(context))))


@then("the server gets what is sent but no echo comes back")
def step_one_way_only(context):
    async def arrived():
        return context.echoed == [b"one", b"four"]

    reader, writer = context.connection
    writer.write(b"four")
    run(context, eventually(arrived))
    run(context, asyncio.sleep(QUIET_S))
    assert not reader.at_eof()
    assert not reader._buffer
