"""Steps that connect two daemons' peer links over loopback in this process."""

import asyncio
import contextlib
from dataclasses import replace

import websockets
from behave import given, then, when
from websockets.asyncio.server import serve

from cloverhook.errors import AuthenticationError
from cloverhook.handshake import Handshake, Role
from cloverhook.messages import Hello, Ping, RecordsRequest
from cloverhook.peering import LINK_IDLE_TIMEOUT_MS, LINK_SILENCE_TIMEOUT_MS, PeerLinks
from cloverhook_emulator.cut_proxy import CutProxy, Mode
from features.shared import eventually, run

KEY = b"a key"


class DaemonLinks:
    """The peer links of one daemon, and the events that they reported."""

    def __init__(self, vm, key):
        self.received = []
        self.lost_peers = []
        self.failed_authentications = 0
        self.now_ms = 1_000.0
        hello = Hello(vm, "papine", "127.0.0.1:80", "", 1)
        self.links = PeerLinks(lambda: hello, key, self, lambda: self.now_ms)

    def link_opened(self, hello):
        """Do nothing: the links themselves record which peers are linked."""

    def link_lost(self, vm):
        """Record the VM whose link was lost."""
        self.lost_peers.append(vm)

    def message_received(self, vm, message):
        """Record the message and the VM that sent it."""
        self.received.append((vm, message))

    def authentication_failed(self):
        """Count the failed authentication."""
        self.failed_authentications += 1


async def _start(context, first, second, keys):
    context.stack.push_async_callback(asyncio.sleep, 0.05)
    context.a, context.b = DaemonLinks(first, keys[0]), DaemonLinks(second, keys[1])
    for side in (context.a, context.b):
        await side.links.start("127.0.0.1:0")
        context.stack.push_async_callback(side.links.close)
    context.address = context.b.links.address


async def _linked(context):
    async def both():
        return context.a.links.linked() == ("vm-b",) and context.b.links.linked() == ("vm-a",)

    await eventually(both)


@given('daemons "{first}" and "{second}" that hold the same key')
def step_same_key(context, first, second):
    run(context, _start(context, first, second, (KEY, KEY)))


@given('daemons "{first}" and "{second}" that hold different keys')
def step_other_key(context, first, second):
    run(context, _start(context, first, second, (KEY, b"another key")))


@given("a cut proxy between them")
def step_proxy(context):
    async def start():
        context.proxy = CutProxy(context.address)
        await context.proxy.start()
        context.stack.push_async_callback(context.proxy.close)
        context.address = context.proxy.address

    run(context, start())


@when('"{vm}" opens a link')
def step_open(context, vm):
    async def opened():
        context.a.links.open("vm-b", context.address)
        await _linked(context)

    run(context, opened())


@when('"{vm}" tries to open a link')
def step_try(context, vm):
    async def tried():
        context.a.links.open("vm-b", context.address)
        await eventually(refused)

    async def refused():
        return context.b.failed_authentications == 1

    run(context, tried())


@when('"{vm}" dials a stranger that sends all it hears back')
def step_reflect(context, vm):
    async def echo(link):
        with contextlib.suppress(websockets.ConnectionClosed):
            async for data in link:
                await link.send(data)

    async def reflect():
        server = await serve(echo, "127.0.0.1", 0)
        context.stack.push_async_callback(server.wait_closed)
        context.stack.callback(server.close)
        context.a.links.open("", "{}:{}".format(*server.sockets[0].getsockname()))
        await eventually(refused)

    async def refused():
        return context.a.failed_authentications == 1

    run(context, reflect())


@when("both open a link at once")
def step_both(context):
    async def both():
        context.a.links.open("vm-b", context.b.links.address)
        context.b.links.open("vm-a", context.a.links.address)
        await _linked(context)
        await asyncio.sleep(0.2)
        await _linked(context)

    run(context, both())


@when("the link goes silent for good")
def step_silent(context):
    context.proxy.set_mode(Mode.SILENT)
    context.proxy.set_mode(Mode.PASS)


@when("it carries only pings for long")
def step_idle(context):
    async def arrived():
        return context.a.received and context.b.received

    for side, peer in ((context.a, "vm-b"), (context.b, "vm-a")):
        side.now_ms += LINK_IDLE_TIMEOUT_MS + 1
        side.links.send(peer, Ping())
    run(context, eventually(arrived))


@then("both are linked and a message arrives each way")
def step_linked(context):
    async def exchange():
        await _linked(context)
        context.a.links.send("vm-b", RecordsRequest(3))
        context.b.links.send("vm-a", RecordsRequest(4))
        await eventually(arrived)

    async def arrived():
        return ("vm-a", RecordsRequest(3)) in context.b.received and (
            "vm-b",
            RecordsRequest(4),
        ) in context.a.received

    run(context, exchange())


@then("neither is linked and a stranger was counted")
def step_refused(context):
    assert context.a.links.linked() == context.b.links.linked() == ()
    assert context.a.links.authentication_failures + context.b.links.authentication_failures == 1


@then("the silent link is given up on both sides")
def step_silent_closed(context):
    for side, peer in ((context.a, "vm-b"), (context.b, "vm-a")):
        side.now_ms += LINK_SILENCE_TIMEOUT_MS + 1
        side.links.tick((peer,), side.now_ms)
        assert side.links.linked() == ()
        assert side.lost_peers == [peer]


@then("the side that accepted it keeps it, and the one that dialled closes it")
def step_idle_closed(context):
    async def closed():
        return context.a.links.linked() == context.b.links.linked() == ()

    async def ticks():
        context.b.links.tick((), context.b.now_ms)
        await asyncio.sleep(0.2)
        await _linked(context)
        context.a.links.tick((), context.a.now_ms)
        await eventually(closed)

    run(context, ticks())


@then("a greeting holds only with its nonces, its role, its target and its contents")
def step_handshake(context):
    one, other = Handshake.new_nonce(), Handshake.new_nonce()
    client = Handshake.from_nonces(KEY, Role.CLIENT, one, other)
    server = Handshake.from_nonces(KEY, Role.SERVER, other, one)
    hello = Hello("vm-a", "papine", "127.0.0.1:80", "127.0.0.1:90", 1, target="vm-b")
    proved = client.prove(hello)
    assert server.check(proved, "vm-b") == proved
    replayed = Handshake.from_nonces(KEY, Role.SERVER, Handshake.new_nonce(), one)
    changed = replace(proved, caller_address="127.0.0.1:81")
    for handshake, vm, found in (
        (client, "vm-b", proved),
        (replayed, "vm-b", proved),
        (server, "vm-c", proved),
        (server, "vm-a", client.prove(replace(hello, target="vm-a"))),
        (server, "vm-b", changed),
    ):
        try:
            handshake.check(found, vm)
        except AuthenticationError:
            continue
        raise AssertionError((handshake, vm, found))
