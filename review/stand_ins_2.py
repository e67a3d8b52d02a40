"""Stand-ins for the cases 4 to 8: the platform with its store, endpoints, clients and a record.

They speak what the users' pages say, on loopback addresses, with nothing but the standard library.
Where a page is silent they behave like a sound store, endpoint, client or platform.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
ZONE = "halfway-tree"
BEAT_S = 1.5
LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
PAGE_ITEMS = 500
PART_BYTES = 65_536
KEPT_PARTS = 16
"""Of a longer body only its beginning is kept: fresh memory may be slow to come by."""
HELD, BROKEN, CANT_RUN = 0, 1, 2
Headers = dict[str, str]


def now_ms() -> float:
    """Return the time of the steady clock in milliseconds; all records use it."""
    return time.monotonic() * 1000.0


def free_address() -> str:
    """Return a loopback address whose port is free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, as lines with a time, written to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_ms = now_ms()

    def write(self, what: str, **values: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{now_ms() - self.started_ms:10.1f} {what} {text}\n")

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


@dataclass
class Message:
    """A request or an answer: its first line in parts, its headers and its body."""

    first: list[str]
    headers: Headers
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or comes in chunks."""
    message = await read_head(reader)
    if "chunked" in message.headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        message.body = b"".join(parts)
    else:
        left = int(message.headers.get("content-length", "0"))
        parts = []
        while left:
            parts.append(await reader.readexactly(min(left, PART_BYTES)))
            left -= len(parts[-1])
            del parts[KEPT_PARTS:]
        message.body = b"".join(parts)
    return message


def answer_bytes(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]


class Server:
    """An HTTP/1.1 server; a handler that returns None ends the connection."""

    def __init__(self, handler: Handler, address: str = "") -> None:
        self.address = address or free_address()
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Open the listener."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)

    def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                answer = await self._answer_unless_closed(message, reader, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort() if sys.exc_info()[0] else writer.close()

    async def _answer_unless_closed(
        self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Handle a request; drop it when its connection closes, as most endpoints do."""
        work = asyncio.ensure_future(self._handler(message, writer))
        try:
            while not work.done():
                await asyncio.wait((work,), timeout=0.02)
                if not work.done() and (reader.at_eof() or writer.transport.is_closing()):
                    return None
            return work.result()
        finally:
            work.cancel()


@dataclass
class Topic:
    """A keyed topic with one partition."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)


class Store:
    """The platform's store: the calls that keep and read keyed topics."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self._topics: dict[str, Topic] = {}
        self._changed = asyncio.Condition()

    async def put(self, topic: str, key: str, value: bytes) -> float:
        """Append a record, as the operator and the endpoints do; return when it was acknowledged.

        Without a value the key is dropped.
        """
        async with self._changed:
            self._append(self._topic(topic), bytes([len(key)]) + key.encode() + value)
            self._changed.notify_all()
        return now_ms()

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    def _append(self, topic: Topic, record: bytes) -> None:
        end = 1 + record[0]
        key, value = record[1:end].decode(), record[end:]
        if value:
            topic.newest[key] = (value, len(topic.records))
        else:
            topic.newest.pop(key, None)
        topic.records.append(record)

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> bytes:
        path, _, text = message.first[1].partition("?")
        query = dict(parse_qsl(text))
        topic = self._topic(query["topic"])
        await asyncio.sleep(0.004)
        if path == "/api/log-append":
            return await self._append_all(topic, message.body)
        if path == "/api/log-newest":
            return self._newest(topic, query.get("after", ""))
        return await self._read(topic, int(query["from"]), int(query.get("waitMs", "0")))

    async def _append_all(self, topic: Topic, body: bytes) -> bytes:
        start, position = len(topic.records), 0
        async with self._changed:
            while position < len(body):
                (size,) = LENGTH.unpack_from(body, position)
                position += LENGTH.size
                self._append(topic, body[position : position + size])
                position += size
            self._changed.notify_all()
        return _json({"offset": start, "endOffset": len(topic.records)})

    async def _read(self, topic: Topic, start: int, wait_ms: int) -> bytes:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: len(topic.records) > start)
        parts = [READ_HEADER.pack(len(topic.records), 0)]
        for record in topic.records[start:]:
            parts += (LENGTH.pack(len(record)), record)
        return answer_bytes(200, {}, b"".join(parts))

    def _newest(self, topic: Topic, after: str) -> bytes:
        names = sorted(name for name in topic.newest if name > after)
        items = [
            {
                "key": name,
                "value": base64.b64encode(topic.newest[name][0]).decode(),
                "offset": topic.newest[name][1],
            }
            for name in names[:PAGE_ITEMS]
        ]
        more = len(names) > PAGE_ITEMS
        return _json({"items": items, "hasMore": more, "endOffset": len(topic.records)})


def _json(document: dict[str, object]) -> bytes:
    body = json.dumps(document).encode()
    return answer_bytes(200, {"Content-Type": "application/json"}, body)


@dataclass
class Run:
    """A request that reached an endpoint."""

    request_id: str
    at_ms: float
    ran: bool


class Endpoint:
    """An endpoint with `slots` slots, a queue, an entry in the store and a receipt.

    `answer` may be replaced to make it faulty: it gets the message and the writer.
    """

    def __init__(
        self, name: str, service: str, store: Store, record: Record, slots: int, work_ms: float
    ) -> None:
        self.name, self.service, self._store, self._record = name, service, store, record
        self.slots, self.work_ms = slots, work_ms
        self.server = Server(self._handle)
        self.running = self.waiting = 0
        self.arrivals: list[Run] = []
        self.answer = self.sound_answer
        self._free = asyncio.Semaphore(slots)
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the listener and register in the store."""
        await self.server.listen()
        self._beats = asyncio.create_task(self._beat())

    async def leave_abruptly(self) -> float:
        """Have the entry removed without a report of draining; go on serving."""
        self._beats.cancel()
        return await self._store.put("keyed.servers", self.name, b"")

    def close(self) -> None:
        """End."""
        if self._beats is not None:
            self._beats.cancel()
        self.server.close()

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.service,
                "address": self.server.address,
                "zone": ZONE,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "warmupLeft": 0,
                "seq": sequence,
            }
            await self._store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(BEAT_S)

    def load(self) -> Headers:
        """Return the header that tells the load."""
        return {"X-Cloverhook-Server-Load": f"{self.running},{self.waiting},{self.slots},100"}

    def signed(self, request_id: str) -> Headers:
        """Return the headers of an answer to a request."""
        stamp = {"X-Cloverhook-Server-Stamp": f"{self.name}.{request_id}"}
        return {"X-Cloverhook-Request-Id": request_id, **stamp, **self.load()}

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> bytes | None:
        if message.first[1] == "/health":
            return answer_bytes(200, {"X-Cloverhook-Instance-Id": self.name, **self.load()})
        request_id = message.headers.get("x-cloverhook-request-id", "")
        wanted = message.headers.get("x-cloverhook-expect-instance", self.name)
        if wanted != self.name:
            return answer_bytes(421, {"X-Cloverhook-Instance-Id": self.name})
        run = Run(request_id, now_ms(), True)
        self.arrivals.append(run)
        left = message.headers.get("x-cloverhook-deadline-ms", "")
        self._record.write("arrived", endpoint=self.name, id=request_id, left_ms=left)
        return await self.answer(message, writer, run)

    async def sound_answer(
        self, message: Message, writer: asyncio.StreamWriter, run: Run
    ) -> bytes | None:
        """Do the work in a slot and answer, or reject the request if the queue is full."""
        if self.waiting >= 4 * self.slots:
            run.ran = False
            not_run = {"X-Cloverhook-Not-Executed": "1", **self.load()}
            not_run["X-Cloverhook-Request-Id"] = run.request_id
            return answer_bytes(503, not_run)
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
            self._free.release()
        return answer_bytes(200, self.signed(run.request_id), b"done " + run.request_id.encode())


def route(name: str, service: str, kind: str, timeout_s: float, aim_s: float) -> dict[str, object]:
    """Return a route of the configuration; its prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeout": timeout_s,
        "targetLatency": aim_s,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


async def put_config(store: Store, version: int, routes: list[dict[str, object]]) -> float:
    """Write a configuration, with the limits that the pages show; return when it was acked."""
    names = sorted({str(item["service"]) for item in routes})
    services = [{"name": x, "healthPath": "/health", "maxConnections": 220} for x in names]
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 67_108_864,
        "headerTimeout": 3,
        "idleTimeout": 15,
    }
    document = {"version": version, "routes": routes, "services": services, "limits": limits}
    return await store.put("keyed.op", "config", json.dumps(document).encode())


class Gateway:
    """A machine with the gateway of the deploy file, and the platform's side of its process."""

    def __init__(self, name: str, folder: Path, store: Store, seeds: list[str]) -> None:
        self.name = name
        self._folder = folder
        keys = ("caller_address", "ready_address", "directory_address", "peer_address")
        self.addresses = {key: free_address() for key in keys}
        settings = {
            "vm": name,
            "data_center": ZONE,
            **self.addresses,
            "store_address": store.server.address,
            "drain_s": 2,
            "config_apply_s": 2,
            "stop_s": 6,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_extra": 56,
            "address_ttl_s": 5,
            "cpu_share": 0.86,
            "cpu_cores": 1,
            "link_mbps": 1000.0,
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        lines.append(f"seed_addresses = {json.dumps(seeds)}")
        lines.append(f'regions = {{ "{ZONE}" = "kingston" }}')
        self._settings = folder / f"{name}.toml"
        self._settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self) -> str:
        """The address for clients."""
        return self.addresses["caller_address"]

    async def start(self) -> None:
        """Start the process as the deploy file says, from the root of the repository."""
        variables = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        variables["CLOVERHOOK_CONFIG"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-OO", "-S", "platform/main.py"),
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, seconds: float = 15.0) -> bool:
        """Return whether the machine says in time that it is ready."""
        end_ms = now_ms() + seconds * 1000
        while now_ms() < end_ms:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                host, _, port = self.addresses["ready_address"].rpartition(":")
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    message = await read_message(reader)
                    writer.close()
                if message.first[1] == "200":
                    return True
            await asyncio.sleep(0.05)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def memory_mb(self) -> float:
        """Return the memory that the process holds now, in MB; 0 if it has ended."""
        with contextlib.suppress(OSError, StopIteration):
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
            line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
            return int(line.split()[1]) * 1024 / 1e6
        return 0.0


@dataclass
class Answer:
    """What a client got: a status, 0 if the connection ended, and -1 if it gave up."""

    status: int
    message: Message | None = None
    sent_ms: float = 0.0
    ended_ms: float = 0.0


class Client:
    """A client that keeps one connection for its requests."""

    def __init__(self, address: str, record: Record) -> None:
        self.address, self._record = address, record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self,
        request_id: str,
        path: str,
        deadline_ms: int,
        body: bytes | None = None,
        repeated: int = 1,
    ) -> Answer:
        """Send a request and wait for its answer until its deadline.

        The body consists of `body` as often as `repeated` says.
        """
        method = "GET" if body is None else "POST"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Cloverhook-Request-Id: {request_id}",
            f"X-Cloverhook-Deadline-Ms: {deadline_ms}",
        ]
        if body is not None:
            lines.append(f"Content-Length: {len(body) * repeated}")
        data = "\r\n".join([*lines, "", ""]).encode() + (body or b"")
        answer = Answer(0, None, now_ms())
        self._record.write("sent", to=self.address, id=request_id, path=path, times=repeated)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                answer.message = await self._exchange(data, body or b"", repeated - 1)
                answer.status = int(answer.message.first[1])
                if answer.message.headers.get("connection", "").lower() == "close":
                    self.close()
        except TimeoutError:
            answer.status = -1
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
        answer.ended_ms = now_ms()
        self._record.write("answered", id=request_id, status=answer.status)
        return answer

    async def _exchange(self, data: bytes, more: bytes, times: int) -> Message:
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port), limit=1 << 20)
        reader, writer = self._streams
        writer.write(data)
        for _ in range(times):
            await asyncio.sleep(0)
            writer.write(more)
            await writer.drain()
        return await read_message(reader)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


Case = Callable[["World"], Awaitable[int]]


@dataclass
class World:
    """A small deployment: a store, gateways and endpoints, with a record of what happens."""

    record: Record
    temporary: Path
    store: Store
    gateways: list[Gateway] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)

    async def add_endpoints(
        self, service: str, count: int, slots: int, work_ms: float
    ) -> list[Endpoint]:
        """Start endpoints of a service."""
        first = len(self.endpoints)
        added = [
            Endpoint(f"i-{first + x:04d}", service, self.store, self.record, slots, work_ms)
            for x in range(count)
        ]
        self.endpoints += added
        for endpoint in added:
            await endpoint.start()
        return added

    async def add_gateways(self, count: int) -> bool:
        """Start gateways; return whether all are ready in time."""
        seeds: list[str] = []
        for number in range(count):
            self.gateways.append(Gateway(f"vm-{number}", self.temporary, self.store, seeds))
        for gateway in self.gateways:
            await gateway.start()
        ready = [await gateway.wait_until_ready() for gateway in self.gateways]
        return all(ready)

    async def end(self) -> None:
        """End all processes that were started, and all stand-ins."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                await gateway.kill()
        for endpoint in self.endpoints:
            endpoint.close()
        self.store.server.close()


async def _play(case: Case, record_path: Path) -> int:
    temporary = Path(tempfile.mkdtemp(prefix="cloverhook-review-"))
    world = World(Record(record_path), temporary, Store())
    try:
        await world.store.server.listen()
        async with asyncio.timeout(115):
            return await case(world)
    except (OSError, TimeoutError) as error:
        world.record.write("failed", error=repr(error))
        return CANT_RUN
    finally:
        await world.end()
        world.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(temporary, ignore_errors=True)


def play(case: Case, record_path: Path) -> None:
    """Play a case and exit with its result: 0 held, 1 broken, 2 couldn't run.

    What was sent, answered and run is written to the file at `record_path`.
    """
    if not (ROOT / "target" / "deps").is_dir():
        print("the build of the deploy file is missing")
        sys.exit(CANT_RUN)
    result = asyncio.run(_play(case, record_path))
    print({HELD: "held", BROKEN: "BROKEN", CANT_RUN: "could not run"}[result])
    sys.exit(result)
