"""Steps for connections that go silent, in a real daemon and in the pool alone.

The daemon reaches its backend server through a cut proxy.
"""

import asyncio
import contextlib
import socket

from behave import given, then, when

from cloverhook.errors import UpstreamError
from cloverhook.upstream import UpstreamPool
from cloverhook_emulator.cut_proxy import CutProxy, Mode
from cloverhook_emulator.fleet_runner import Fleet
from features.http_peers import HOST, ScriptedBackend, call, request
from features.shared import CONFIG, eventually, run

TIMEOUT_MS = 1_000
CALLER_TIMEOUT_S = 0.2
IDLE_S = 0.4
SETTLE_S = 0.2
READ_PATH = "/read-"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
TIMEOUT_HEADER = b"Cloverhook-Timeout-Ms: %d"


async def _start(context):
    context.stack.push_async_callback(asyncio.sleep, SETTLE_S)
    context.backend = await context.stack.enter_async_context(ScriptedBackend({"/warm": OK}))
    context.proxy = CutProxy(context.backend.address)
    await context.proxy.start()
    context.stack.push_async_callback(context.proxy.close)
    context.fleet = await context.stack.enter_async_context(Fleet())
    await context.fleet.start_daemon("vm-0", "papine", drain_ms=100)
    await context.fleet.publish_vm_list()
    path = context.fleet.folder / "brand.toml"
    path.write_text(CONFIG.format(host=HOST, endpoints=f'"{context.proxy.address}"'))
    code, output, errors = await context.fleet.run_tool("publish", str(path))
    assert code == 0, output + errors

    async def serves():
        return (await _call(context, "/warm")).status == 200

    await eventually(serves)


async def _call(context, path, method="GET", timeout_ms=20_000):
    context.backend.answers.setdefault(path, OK)
    data = request(method, path, TIMEOUT_HEADER % timeout_ms, b"Content-Length: 0")
    return await call(context.fleet.daemons["vm-0"].caller_address, data)


def _reads(context, count):
    async def reads():
        paths = [f"{READ_PATH}{index}" for index in range(count)]
        return [await _call(context, path, timeout_ms=TIMEOUT_MS) for path in paths]

    return run(context, reads())


@given("a daemon whose backend server is behind a cut proxy")
def step_daemon(context):
    run(context, _start(context))


@when("{count:d} connections to the backend server are idle and go silent for good")
def step_silent(context, count):
    async def fill():
        context.backend.answers["/slow-fill"] = OK
        await asyncio.gather(*(_call(context, "/slow-fill") for _ in range(count)))

    run(context, fill())
    context.proxy.set_mode(Mode.SILENT)
    context.proxy.set_mode(Mode.PASS)


@when("a caller gives a read up")
def step_caller_aborts(context):
    async def abort():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await _call(context, "/given-up")

    run(context, abort())


@when("the connections have been idle for a while")
def step_wait(context):
    run(context, asyncio.sleep(IDLE_S))


@when("answers of the backend server get lost")
def step_answers_lost(context):
    context.proxy.set_mode(Mode.ONE_WAY)


@then("of {count:d} reads one after another at most 1 is lost, within its timeout and as unknown")
def step_one_lost(context, count):
    replies = _reads(context, count)
    lost = [reply for reply in replies if reply.status != 200]
    assert len(lost) <= 1, replies
    for reply in lost:
        assert reply.status == 504, reply
        assert reply.header(b"cloverhook-outcome") == [b"unknown"], reply


@then("the backend server ran no read twice")
def step_none_twice(context):
    targets = [
        item.target for item in context.backend.received if item.target.startswith(READ_PATH)
    ]
    assert len(targets) == len(set(targets)), targets


@then("{count:d} reads one after another are all answered")
def step_all_answered(context, count):
    replies = _reads(context, count)
    assert [reply.status for reply in replies] == [200] * count, replies


@then("a payment is answered and ran once")
def step_payment(context):
    reply = run(context, _call(context, "/paid", "POST", TIMEOUT_MS))
    assert reply.status == 200, reply
    assert len(context.backend.ran("/paid")) == 1


@then("a payment is answered as unknown within its timeout and ran once")
def step_unknown(context):
    reply = run(context, _call(context, "/unknown", "POST", TIMEOUT_MS))
    assert reply.status == 504, reply
    assert reply.header(b"cloverhook-outcome") == [b"unknown"], reply
    assert len(context.backend.ran("/unknown")) == 1


def _close_pool(context):
    for connection in context.acquired:
        connection.close()
    context.pool.close()


def _check_keepalive(sock):
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    assert 0 < sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) <= 30
    assert 0 < sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) <= 30_000


@then("its connections notice a caller that can't be reached")
def step_caller_liveness(context):
    async def accepted():
        host, _, port = context.listener.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        connections = context.listener._server.server_state.connections
        while not connections:
            await asyncio.sleep(0.01)
        for connection in connections:
            _check_keepalive(connection.transport.get_extra_info("socket"))
        writer.close()

    run(context, accepted())


@then("connections to backend servers notice one that can't be reached")
def step_upstream_liveness(context):
    async def connect():
        pool = UpstreamPool()
        connection = await pool.acquire(context.listener.address)
        _check_keepalive(connection._transport.get_extra_info("socket"))
        connection.close()
        pool.close()

    run(context, connect())


@given("a pool that may have {count:d} connections to an endpoint")
def step_pool(context, count):
    async def start():
        context.stack.push_async_callback(asyncio.sleep, SETTLE_S)
        context.backend = await context.stack.enter_async_context(ScriptedBackend())
        context.pool = UpstreamPool(limit_of=lambda address: count)
        context.stack.callback(_close_pool, context)
        acquired = [await context.pool.acquire(context.backend.address) for _ in range(count)]
        context.acquired = acquired

    context.count = count
    run(context, start())


@then("a {_:d}th request at once is refused before a byte was sent")
def step_over_limit(context, _):
    async def acquire():
        address = context.backend.address
        try:
            await context.pool.acquire(address)
        except UpstreamError as error:
            return not error.sent and context.pool.open_count(address) <= context.count
        return False

    assert run(context, acquire())


@then("idle connections are used again, the last used first")
def step_last_first(context):
    async def reuse():
        address = context.backend.address
        for connection in context.acquired:
            context.pool.release(address, connection)
        reused = [await context.pool.acquire(address) for _ in context.acquired]
        assert reused == context.acquired[::-1], (reused, context.acquired)
        for connection in reused:
            context.pool.release(address, connection)

    run(context, reuse())


@then("connections that stay idle are closed")
def step_closed(context):
    async def closed():
        return not context.pool.open_count(context.backend.address)

    run(context, eventually(closed))
    assert all(connection.closed for connection in context.acquired)
