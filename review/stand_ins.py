"""Stand-ins for the scripts of the review: the store, endpoints, clients and gateway processes.

The gateways are the project's own program, started with the command of the deploy file.  The store
is the project's stand-in.  Endpoints and clients are written here after the pages: an endpoint
answers 421 if another instance is expected, echoes the request identifier, adds its stamp, and
answers its health path with its identifier and load.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path += [str(ROOT), str(ROOT / "target" / "deps")]

from cloverhook_emulator.log_store_server import LogStoreServer  # noqa: E402

HOST = "ficu95.example"
SAFE_PATH = "/lohu930/"
UNSAFE_PATH = "/pufi791/"
SERVICE = "huvo11a"
HEARTBEAT_S = 1.5
GRACE_S = 6
FIRST_PORT = 21_000
LAST_PORT = 31_000
READY_S = 30
BROKEN = 1
HELD = 0
COULD_NOT_RUN = 2


def trouble() -> bool:
    """Return whether the disruption is on."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_address() -> str:
    """Return a loopback address that is free for TCP and UDP."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


class Record:
    """The record of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Open the file anew."""
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def note(self, event: str, **fields: object) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._start_s:9.4f}  {event}  {text}\n")
        self._file.flush()


@dataclass
class Request:
    """A request as an endpoint has received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The request identifier."""
        return self.headers.get("x-cloverhook-request-id", "")


@dataclass
class Endpoint:
    """An endpoint that runs each request for `work_s`.

    `answer` may replace the usual answer to a request; it gets the request and the connection's
    writer, and returns whether the connection stays open.  `before_answer` is called before the
    answer to each request and each health probe.
    """

    name: str
    record: Record
    slots: int = 4
    work_s: float = 0.02
    healthy: bool = True
    address: str = ""
    running: int = 0
    ran: list[str] = field(default_factory=list)
    seq: int = 0
    answer: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]] | None = None
    before_answer: Callable[["Endpoint", asyncio.StreamWriter], Awaitable[None]] | None = None

    async def start(self) -> "Endpoint":
        """Listen on a free loopback address."""
        self.address = free_address()
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=2**20)
        return self

    def entry(self) -> bytes:
        """Return the value of its record in the store."""
        self.seq += 1
        return json.dumps(
            {
                "service": SERVICE,
                "address": self.address,
                "zone": "papine",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "warmupLeft": 0,
                "seq": self.seq,
            }
        ).encode()

    def head(self, status: int, length: int | None, *lines: str) -> bytes:
        """Return the head of an answer."""
        rows = [f"HTTP/1.1 {status} X", *lines]
        rows.append(f"X-Cloverhook-Server-Load: {self.running},0,{self.slots},100")
        if length is not None:
            rows.append(f"Content-Length: {length}")
        return ("\r\n".join(rows) + "\r\n\r\n").encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = Request(method, target, headers, body)
        if target == "/health":
            if self.before_answer is not None:
                await self.before_answer(self, writer)
            status = 200 if self.healthy else 503
            writer.write(self.head(status, 0, f"X-Cloverhook-Instance-Id: {self.name}"))
            return True
        wanted = headers.get("x-cloverhook-expect-instance", self.name)
        if wanted != self.name:
            writer.write(self.head(421, 0, f"X-Cloverhook-Instance-Id: {self.name}"))
            return True
        if self.before_answer is not None:
            await self.before_answer(self, writer)
        self.ran.append(request.request_id)
        self.record.note(
            "endpoint-runs", id=request.request_id, endpoint=self.name, target=request.target
        )
        self.running += 1
        try:
            if self.answer is not None:
                return await self.answer(request, writer)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.write_answer(writer, request.request_id, b"done by " + self.name.encode())
        return True

    def write_answer(self, writer: asyncio.StreamWriter, request_id: str, body: bytes) -> None:
        """Write a successful answer to a request."""
        lines = (
            f"X-Cloverhook-Request-Id: {request_id}",
            f"X-Cloverhook-Server-Stamp: {self.name}.{request_id}",
        )
        writer.write(self.head(200, len(body), *lines) + body)


class Gateway:
    """A gateway process with its settings, started as the deploy file says."""

    def __init__(self, name: str, store: str, folder: Path, record: Record) -> None:
        """Write the settings of a small deployment."""
        self.name = name
        self.record = record
        self.front, self.ready = free_address(), free_address()
        self.directory, self.peer = free_address(), free_address()
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        rows = {
            "vm": name,
            "data_center": "papine",
            "caller_address": self.front,
            "ready_address": self.ready,
            "directory_address": self.directory,
            "peer_address": self.peer,
            "store_address": store,
            "seed_addresses": [],
            "drain_s": 2,
            "config_apply_s": 2,
            "stop_s": GRACE_S,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_extra": 56,
            "address_ttl_s": 5,
            "first_start": True,
            "cpu_share": 0.86,
            "cpu_cores": 1,
            "link_mbps": 1000.0,
        }
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in rows.items())
        self.settings_path.write_text(text + 'regions = { "papine" = "kingston" }\n')
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {"PATH": os.environ["PATH"], "CLOVERHOOK_CONFIG": str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note("gateway-started", name=self.name)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.note("signal", name=self.name, signal=number.name)
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_until_ready(self) -> None:
        """Wait until the readiness address answers 200."""
        end_s = time.monotonic() + READY_S
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, EOFError):
                answer = await call(self.ready, "GET", "/api/ready", "ready", 1_000)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} did not get ready")


@dataclass
class Answer:
    """An answer as a client received it; the status is 0 if there was none."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class Client:
    """A client's connection to a gateway."""

    def __init__(self) -> None:
        """Create a client that isn't connected yet."""
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, address: str) -> "Client":
        """Connect to a gateway."""
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=2**22)
        return self

    def send(
        self,
        method: str,
        target: str,
        request_id: str,
        limit_ms: int,
        body: bytes = b"",
        host: str = HOST,
        lines: tuple[str, ...] = (),
    ) -> None:
        """Send a request."""
        rows = [
            f"{method} {target} HTTP/1.1",
            f"Host: {host}",
            f"X-Cloverhook-Request-Id: {request_id}",
            f"X-Cloverhook-Deadline-Ms: {limit_ms}",
            *lines,
        ]
        if body or method == "POST":
            rows.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(rows).encode() + b"\r\n\r\n" + body)

    async def receive(self, head_request: bool = False) -> Answer:
        """Receive an answer; one that breaks off isn't complete."""
        answer = Answer()
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            answer.status = int(head[0].split(" ")[1])
            for line in head[1:]:
                name, _, value = line.partition(":")
                if name:
                    answer.headers[name.strip().lower()] = value.strip()
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                while size := int((await self.reader.readuntil(b"\r\n")).strip(), 16):
                    answer.body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                await self.reader.readexactly(2)
            elif not head_request:
                length = int(answer.headers.get("content-length", 0))
                while len(answer.body) < length:
                    part = await self.reader.read(65_536)
                    if not part:
                        return answer
                    answer.body += part
            answer.complete = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


async def call(
    address: str, method: str, target: str, request_id: str, limit_ms: int, body: bytes = b""
) -> Answer:
    """Send a request on a new connection and return the answer."""
    client = await Client().connect(address)
    try:
        client.send(method, target, request_id, limit_ms, body)
        return await client.receive()
    finally:
        client.close()


def config(
    version: int = 1, routes: list[dict[str, object]] | None = None, **fields: object
) -> bytes:
    """Return a configuration with a safe and an unsafe route, and these fields replaced."""
    usual = [
        {
            "name": "r-i9n73hh",
            "host": HOST,
            "pathPrefix": UNSAFE_PATH,
            "kind": "unsafe",
            "timeout": 1.2,
            "targetLatency": 0.4,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
        },
        {
            "name": "r-x73d3zj",
            "host": HOST,
            "pathPrefix": SAFE_PATH,
            "kind": "safe",
            "timeout": 1,
            "targetLatency": 0.3,
            "priority": 2,
            "service": SERVICE,
            "maxAttempts": 2,
        },
    ]
    document = {
        "version": version,
        "routes": routes or usual,
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 220}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 67_108_864,
            "headerTimeout": 3,
            "idleTimeout": 15,
        },
        **fields,
    }
    return json.dumps(document).encode()


class Deployment:
    """A store, endpoints and gateways, which end with it."""

    def __init__(self, record_path: Path, document: bytes | None = None) -> None:
        """Prepare a deployment with the file that its record is written to."""
        self.record = Record(record_path)
        self.store = LogStoreServer()
        self.endpoints: list[Endpoint] = []
        self.gateways: list[Gateway] = []
        self._document = document or config()
        self._temporary = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, endpoints: list[Endpoint], gateways: int) -> None:
        """Start everything and wait until all gateways are ready."""
        self.store_address = free_address()
        await self.store.listen(self.store_address)
        self.store.put("keyed.op", "config", self._document)
        for endpoint in endpoints:
            self.endpoints.append(await endpoint.start())
            self.store.put("keyed.servers", endpoint.name, endpoint.entry())
        self._tasks.append(asyncio.ensure_future(self._beat()))
        folder = Path(self._temporary.name)
        for index in range(gateways):
            name = f"front-papine-{index + 1}"
            self.gateways.append(Gateway(name, self.store_address, folder, self.record))
            await self.gateways[-1].start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
        await asyncio.sleep(1.0)

    async def end(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.end()
        self._temporary.cleanup()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for endpoint in self.endpoints:
                self.store.put("keyed.servers", endpoint.name, endpoint.entry())


def run(play: Callable[[], Awaitable[bool]]) -> int:
    """Play a case and return its exit code; `play` returns whether the rule held."""
    try:
        held = asyncio.run(asyncio.wait_for(play(), 110))
    except (OSError, TimeoutError, RuntimeError) as error:
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    print("held" if held else "broken")
    return HELD if held else BROKEN
