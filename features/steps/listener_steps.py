"""Steps for a listener that runs in this process."""

import asyncio
import gc
import socket
import weakref

from behave import given, then, when

from cloverhook.server import Listener
from cloverhook.upstream import RequestHead, UpstreamPool
from features.http_peers import call, request
from features.shared import run


@given("a listener that answers in two parts")
def step_listener(context):
    context.options = []

    async def application(scope, receive, send):
        for connection in context.listener._server.server_state.connections:
            sock = connection.transport.get_extra_info("socket")
            context.options.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"a", "more_body": True})
        await send({"type": "http.response.body", "body": b"b", "more_body": False})

    async def start():
        context.listener = Listener(application, "127.0.0.1:0")
        await context.listener.start()
        context.stack.push_async_callback(context.listener.stop)

    run(context, start())


@then("its connections send each part at once")
def step_no_delay(context):
    reply = run(context, call(context.listener.address, request("GET", "/")))
    assert reply.body == b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n", reply
    assert context.options == [1], context.options


@given("an idle connection to a backend server")
def step_idle(context):
    async def connect():
        loop = asyncio.get_running_loop()
        context.server = socket.create_server(("127.0.0.1", 0))
        context.server.setblocking(False)
        context.stack.callback(context.server.close)
        context.pool = UpstreamPool()
        context.stack.callback(context.pool.close)
        context.backend = "127.0.0.1:{}".format(*context.server.getsockname()[1:])
        context.connection = await context.pool.acquire(context.backend)
        context.accepted, _ = await loop.sock_accept(context.server)
        context.stack.callback(context.accepted.close)
        context.pool.release(context.backend, context.connection)

    run(context, connect())


@when("the backend server sends bytes in the moment before the connection is used again")
def step_unrequested_bytes(context):
    async def acquire():
        context.accepted.setblocking(True)
        context.accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged")
        context.acquired = await context.pool.acquire(context.backend)

    run(context, acquire())


@then("another connection is used")
def step_other_connection(context):
    assert context.acquired is not context.connection
    assert context.connection.closed
    context.acquired.close()


@then("the next exchange on its connection frees the one before at once")
def step_freed(context):
    async def exchange(pool, address):
        connection = await pool.acquire(address)
        await connection.send(RequestHead(b"GET", b"/", [(b"host", b"a")]))
        more = True
        while more:
            _, more = await connection.read()
        pool.release(address, connection)
        return weakref.ref(connection._exchange)

    async def exchanges():
        pool = UpstreamPool()
        context.stack.callback(pool.close)
        earlier = await exchange(pool, context.listener.address)
        for _ in range(2):
            await exchange(pool, context.listener.address)
        return earlier

    gc.disable()
    try:
        assert run(context, exchanges())() is None
    finally:
        gc.enable()
