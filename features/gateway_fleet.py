"""Gateways in the scenario's own process, with an in-memory store and scripted backend servers."""

import asyncio
import contextlib
import itertools
import random
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import CallHeaders
from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.daemon import Gateway
from cloverhook.gateway.routes import (
    GatewayConfig,
    IngressLimits,
    Route,
    ServiceSpec,
    WeightedService,
)
from cloverhook.gateway.settings import GatewaySettings
from cloverhook.gateway.store import MemoryStore

HOST = "shop.example"
OTHER_HOST = "other.example"
DATA_CENTER = "papine"
REMOTE_DATA_CENTER = "halfway-tree"
SERVICE = "orders"
SAFE = "/read/"
UNSAFE = "/write/"
RECEIPT = "stamp"
SLOTS = 4
STATUSES = {"error": 500, "unavailable-ran": 503, "too-many-ran": 429}
"""The status of the response to a request that has run; 200 for other outcomes."""
WAIT_S = 20
NAMES = CallHeaders()
FIRST_LOCK_PORT = 9_900
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 1_000
BLOCK_COUNT = 22
"""All blocks lie below the range from which the kernel takes the ports of outgoing connections."""
LOCK_SOCKETS = []
PORT_CYCLES = []
FLEET_ID = f"127.0.0.1:{random.SystemRandom().randrange(1, 65_536)}"
"""The store address of this run.  Test runs at the same time may get each other's ports; the store
address, which differs between runs, distinguishes their fleets."""


def reserve_ports():
    """Return an endless iterator over ports that are reserved for this process until it ends.

    Each of several test runs at the same time holds a block of ports, locked by a socket that is
    bound to the block's lock port.  Otherwise a port that is free now could be taken by another run
    before its listener starts.
    """
    for block in random.SystemRandom().sample(range(BLOCK_COUNT), BLOCK_COUNT):
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", FIRST_LOCK_PORT + block))
        except OSError:
            lock.close()
            continue
        LOCK_SOCKETS.append(lock)
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        return itertools.cycle(range(first, first + PORTS_PER_BLOCK))
    raise OSError("every block of ports is reserved by another run")


def free_address():
    """Return a loopback address on which no socket listens.

    Its port is outside the range that the kernel uses for outgoing connections, because such a
    connection could take the port before the listener starts, or while a gateway is down between
    two starts.
    """
    if not PORT_CYCLES:
        PORT_CYCLES.append(reserve_ports())
    for port in itertools.islice(PORT_CYCLES[0], PORTS_PER_BLOCK):
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError("every port of this run is in use")


def route(name, prefix, idempotent, **fields):
    """Return a route to the default service."""
    parts = fields.pop("parts", (WeightedService(SERVICE, 1),))
    host = fields.pop("host", HOST)
    fields = {"timeout_ms": 2_000.0, "aim_ms": 1_000.0, "attempts": 2, **fields}
    return Route(name, host, prefix, parts, idempotent, **fields)


def config(version=1, *routes):
    """Return a configuration with the two default routes and these further ones."""
    usual = (route("read", SAFE, True), route("write", UNSAFE, False))
    services = (ServiceSpec(SERVICE), ServiceSpec("menus"))
    return GatewayConfig.of(version, usual + routes, services, IngressLimits())


@dataclass
class Backend:
    """A scripted backend server.

    `script` holds the outcome of each request in order; `default` applies when it is empty.  `cut`
    counts the connections that the gateway has closed while a request got no answer.  All answers,
    those to probes included, have the header lines `notice_lines`.  The answer `paused` ends only
    when `resume` is set.  A connection that `accepts` returns False for gets no answer.  `on_run`
    is called with the identifier of each request that runs, and `make_body` for the body of its
    answer.  `before_probe_response` is awaited before the response to each probe;
    `last_ids` has the identifier of the request answered last on each connection.
    """

    incarnation: str
    service: str = SERVICE
    script: list = field(default_factory=list)
    default: str = "ok"
    work_ms: float = 0.0
    seen: list = field(default_factory=list)
    ran: list = field(default_factory=list)
    cut: int = 0
    address: str = ""
    slowdown_percent: int = 100
    running: int = 0
    ignores_probes: bool = False
    unhealthy: bool = False
    connections: int = 0
    probes: int = 0
    tasks: set = field(default_factory=set)
    names: CallHeaders = NAMES
    listener: asyncio.Server | None = None
    born_ms: int = 0
    limit_per_s: float | None = None
    notice_lines: tuple[bytes, ...] = ()
    first_notice_ms: float | None = None
    resume: asyncio.Event = field(default_factory=asyncio.Event)
    on_request: Callable[["Backend", bytes], None] | None = None
    on_run: Callable[[bytes], None] = lambda request_id: None
    before_probe_response: Callable[[asyncio.StreamWriter], Awaitable[None]] | None = None
    make_body: Callable[["Backend", bytes], bytes] = (
        lambda backend, request_id: backend.incarnation.encode()
    )
    accepts: Callable[[asyncio.StreamWriter], bool] = lambda writer: True
    writers: dict = field(default_factory=dict)
    last_ids: dict = field(default_factory=dict)

    async def start(self, context):
        """Listen on a free port until the scenario ends."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.listener = server
        context.stack.push_async_callback(self._close, server)
        return self

    async def crash(self):
        """Drop all connections and stop listening."""
        await self._close(self.listener)

    async def restart(self, context, incarnation):
        """Listen again at the same address, as a new incarnation."""
        host, _, port = self.address.rpartition(":")
        self.incarnation = incarnation
        self.listener = await asyncio.start_server(self._serve, host, int(port))
        context.stack.push_async_callback(self._close, self.listener)

    async def _close(self, server):
        server.close()
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def entry(self, **fields):
        """Return the backend server's registry entry, with these fields replaced."""
        entry = BackendServer(self.incarnation, self.service, self.address, DATA_CENTER, SLOTS)
        return replace(entry, **fields)

    async def _serve(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.writers[writer] = task
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while self.accepts(writer) and await self._serve_one(reader, writer):
                    pass
            if self.accepts(writer):
                writer.close()
        finally:
            del self.writers[writer]
            self.last_ids.pop(writer, None)

    async def _serve_one(self, reader, writer):
        data = await reader.readuntil(b"\r\n\r\n")
        lines = data.split(b"\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(b":") for line in lines[1:] if line)
        }
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
        if lines[0].startswith(b"GET /health"):
            self.probes += 1
            if self.ignores_probes:
                return not await reader.read(1)
            if self.before_probe_response is not None:
                await self.before_probe_response(writer)
            self._write(writer, 503 if self.unhealthy else 200, b"", incarnation=True)
            return True
        self.seen.append((lines[0], headers, body))
        if self.on_request is not None:
            self.on_request(self, lines[0])
        wanted = headers.get(self.names.incarnation_wanted, b"").decode()
        if wanted != self.incarnation:
            self._write(writer, 421, b"")
            return True
        outcome = self.script.pop(0) if self.script else self.default
        return await self._answer(outcome, headers[self.names.request_id], reader, writer)

    async def _answer(self, outcome, request_id, reader, writer):
        if outcome == "reject":
            self._write(writer, 503, b"", request_id, not_run=True)
            return True
        if outcome == "hang":
            await reader.read()
            return False
        if outcome == "reset-unread":
            writer.transport.abort()
            return False
        self.ran.append(request_id)
        self.on_run(request_id)
        if outcome == "large":  # More than a gateway reads ahead, and never complete.
            writer.write(self._head(200, 1_000_000, request_id) + bytes(500_000))
        if outcome in ("large", "silent"):
            closed = not await reader.read(1)
            self.cut += closed  # Read only now: other requests may have been cut meanwhile.
            return False
        if self.work_ms:
            await asyncio.sleep(self.work_ms / 1000)
        if outcome == "reset":
            writer.transport.abort()
            return False
        if outcome == "foreign":
            self._write(writer, 200, b"not yours", b"another-request")
        if outcome == "paused":
            writer.write(self._head(200, 8, request_id) + b"part")
            await self.resume.wait()
            writer.write(b"rest")
            return True
        if outcome == "half":
            head = self._head(200, 100, request_id)
            writer.write(head + b"half")
            await writer.drain()
            return False
        if outcome in ("unframed", "unframed-reset"):
            head = self._head(200, None, request_id)
            writer.write(head + b"body of no length")
            await writer.drain()
            if outcome == "unframed-reset":
                await asyncio.sleep(0.05)
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            return False
        status = STATUSES.get(outcome, 200)
        receipt = outcome != "no-receipt"
        self._write(writer, status, self.make_body(self, request_id), request_id, receipt=receipt)
        self.last_ids[writer] = request_id
        return True

    def _write(self, writer, status, body, request_id=b"", **fields):
        writer.write(self._head(status, len(body), request_id, **fields) + body)

    def _head(self, status, length, request_id=b"", receipt=True, not_run=False, incarnation=False):
        lines = [
            b"HTTP/1.1 %d X" % status,
            self.names.load + b": %d,0,4,%d" % (self.running, self.slowdown_percent),
        ]
        if self.limit_per_s is not None:
            lines.append(b"cloverhook-rate-limit: %g" % self.limit_per_s)
        if self.notice_lines:
            lines += self.notice_lines
            self.first_notice_ms = self.first_notice_ms or monotonic_ms()
        if length is not None:
            lines.append(b"Content-Length: %d" % length)
        if request_id:
            lines.append(self.names.request_id + b": " + request_id)
        if not_run:
            lines.append(self.names.not_run + b": 1")
        elif receipt and request_id:
            lines.append(self.names.receipt + b": " + RECEIPT.encode())
        if incarnation:
            lines.append(self.names.incarnation + b": " + self.incarnation.encode())
        return b"\r\n".join(lines) + b"\r\n\r\n"


def answer_directory(request, addresses, lifetime_ms):
    """Return the addresses as the comma-separated body that the tests read."""
    return CallerAnswer(200, [], ",".join(addresses).encode())


def gateway_settings(name, **fields):
    """Return the settings of a gateway, with free addresses and these fields replaced."""
    return GatewaySettings(
        **{
            "vm": name,
            "data_center": DATA_CENTER,
            "caller_address": free_address(),
            "ready_address": free_address(),
            "directory_address": free_address(),
            "peer_address": free_address(),
            "store_address": FLEET_ID,
            "stop_s": 2,
            **fields,
        }
    )


async def start_gateway(context, name="vm-1", store=None, write_log=len, **fields):
    """Start a gateway that is stopped after the scenario; return it and its settings."""
    settings = gateway_settings(name, **fields)
    gateway = Gateway(settings, store or context.store, NAMES, answer_directory, write_log)
    await gateway.start()
    context.stack.push_async_callback(stop_gateway, gateway)
    return gateway, settings


async def stop_gateway(gateway):
    """Stop a gateway immediately, without a planned shutdown."""
    gateway._stopped.set()
    gateway._caller_ingress.close_listener()
    gateway._readiness_ingress.close_listener()
    gateway._directory_ingress.close_listener()
    await gateway.run_until_stopped()


async def start_fleet(context, backends, gateways=1, remote_vms=(), **fields):
    """Start a store, backend servers and gateways, and wait until all gateways are ready.

    The gateways named by `remote_vms` are in another data centre than the rest.
    """
    context.store = MemoryStore()
    context.backends = [await Backend(f"i-{index}").start(context) for index in range(backends)]
    context.store.put_config(config())
    for backend in context.backends:
        context.store.put_server(backend.entry())
    context.gateways = []
    for name in (f"vm-{index}" for index in range(gateways)):
        place = {"data_center": REMOTE_DATA_CENTER} if name in remote_vms else {}
        if remote_vms and context.gateways:
            place["seed_addresses"] = (context.gateways[0][1].peer_address,)
        context.gateways.append(await start_gateway(context, name, **place, **fields))
    await until(lambda: all(gateway._is_ready() for gateway, _ in context.gateways))
    servers = len(context.backends)
    await until(
        lambda: all(
            len(gateway._gateway_state.registry) == servers for gateway, _ in context.gateways
        )
    )


async def until(condition):
    """Wait until a condition holds; raise `TimeoutError` after `WAIT_S` seconds."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


@dataclass
class Answer:
    """An answer as a caller received it; `whole` tells whether it is complete."""

    status: int
    headers: dict
    body: bytes
    whole: bool


async def call(address, path=SAFE, method="GET", request_id="r-1", timeout_ms=2_000, **fields):
    """Send one request on a new connection, read until that ends, and return the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = fields.get("body", b"")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {fields.get('host', HOST)}",
        f"{NAMES.request_id.decode()}: {request_id}",
        f"{NAMES.timeout_ms.decode()}: {timeout_ms}",
        "Connection: close",
        *fields.get("lines", ()),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    reset = False
    data = b""
    try:
        while part := await reader.read(65_536):
            data += part
    except OSError:
        reset = True
    writer.close()
    return _answer(data, reset)


def _answer(data, reset):
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return Answer(0, {}, b"", False)
    lines = head.split(b"\r\n")
    headers = {
        name.lower().decode(): value.strip().decode()
        for name, _, value in (line.partition(b":") for line in lines[1:])
    }
    whole = not reset
    if "content-length" in headers:
        whole = whole and len(body) == int(headers["content-length"])
    elif headers.get("transfer-encoding") == "chunked":
        whole = whole and body.endswith(b"0\r\n\r\n")
    return Answer(int(lines[0].split()[1]), headers, body, whole)
