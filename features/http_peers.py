"""Raw callers and scripted backend servers, which control every byte on the wire."""

import asyncio
from dataclasses import dataclass, field

HOST = "booking.brathwaite.example"
CHUNK = b"x" * 65_536
READ_TIMEOUT_S = 30
SLOW_PATH = "/slow-"
SLOW_S = 1


@dataclass(slots=True)
class Reply:
    """All bytes that a caller read until the connection ended, and whether a reset ended it."""

    data: bytes
    reset: bool = False

    @property
    def status(self) -> int:
        """The status of the first answer in the reply, or 0 if there is none."""
        return int(self.data.split(b" ", 2)[1]) if self.data.startswith(b"HTTP/1.1 ") else 0

    @property
    def body(self) -> bytes:
        """Everything after the first head."""
        return self.data.partition(b"\r\n\r\n")[2]

    def header(self, name: bytes) -> list[bytes]:
        """Return the values of a header in the first head."""
        lines = self.data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        pairs = [line.split(b": ", 1) for line in lines]
        return [value for key, value in pairs if key.lower() == name]


def request(method, path, *headers, body=b"", host=HOST, close=True):
    """Return a request as bytes; if `close`, it asks to close the connection after the answer."""
    lines = [f"{method} {path} HTTP/1.1".encode()]
    if host:
        lines.append(b"Host: " + host.encode())
    lines += headers
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def connect(address):
    """Open a connection to `ip:port`."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def call(address, data, half_close=False):
    """Send bytes and read until the connection ends."""
    reader, writer = await connect(address)
    writer.write(data)
    if half_close:
        writer.write_eof()
    try:
        return await read_to_end(reader)
    finally:
        writer.close()


async def read_to_end(reader):
    """Read until the connection ends, cleanly or not."""
    received = bytearray()
    async with asyncio.timeout(READ_TIMEOUT_S):
        while True:
            try:
                part = await reader.read(65_536)
            except ConnectionResetError:
                return Reply(bytes(received), reset=True)
            if not part:
                return Reply(bytes(received))
            received += part


@dataclass(slots=True)
class Received:
    """A request as a backend server read it; `disconnected` is set when its connection ends."""

    target: str
    head: bytes
    body_bytes: int = 0
    body: bytes = b""
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)


class ScriptedBackend:
    """A backend server whose answer to each path is either plain bytes or a function.

    Such functions are the static methods of this class and the results of `then_cut`, `then_hang`
    and `by_attempt`.  A path without an answer gets that of `echo`.  The server waits for `SLOW_S`
    before it reads the body of a request whose path starts with `SLOW_PATH`.
    """

    def __init__(self, answers=None):
        self.answers = answers or {}
        self.received: list[Received] = []
        self.arrived = asyncio.Condition()
        self.connections = 0
        self.address = ""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exception):
        self._server.close()

    def ran(self, target):
        """Return the requests received for a target."""
        return [item for item in self.received if item.target == target]

    async def wait_for(self, target, count=1):
        """Wait until `count` requests for a target have arrived and return the last one."""
        async with asyncio.timeout(READ_TIMEOUT_S), self.arrived:
            await self.arrived.wait_for(lambda: len(self.ran(target)) >= count)
        return self.ran(target)[-1]

    async def _serve(self, reader, writer):
        self.connections += 1
        item = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                item = Received(head.split(b" ", 2)[1].decode(), head)
                self.received.append(item)
                if item.target.startswith(SLOW_PATH):
                    await asyncio.sleep(SLOW_S)
                await self._read_body(item, reader)
                async with self.arrived:
                    self.arrived.notify_all()
                await self._answer(item, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            if item is not None:
                item.disconnected.set()
        finally:
            writer.close()

    async def _read_body(self, item, reader):
        lower = item.head.lower()
        if b"\r\ntransfer-encoding: chunked" in lower:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                self._record_body(item, (await reader.readexactly(size + 2))[:-2])
            await reader.readuntil(b"\r\n")
        elif b"\r\ncontent-length: " in lower:
            left = int(lower.partition(b"\r\ncontent-length: ")[2].partition(b"\r\n")[0])
            while left:
                part = await reader.read(min(left, 65_536))
                if not part:
                    raise asyncio.IncompleteReadError(b"", left)
                self._record_body(item, part)
                left -= len(part)

    def _record_body(self, item, part):
        item.body_bytes += len(part)
        if len(item.body) < 1_000:
            item.body += part

    async def _answer(self, item, reader, writer):
        await play(self.answers.get(item.target, self.echo), item, reader, writer)

    @staticmethod
    async def echo(item, reader, writer):
        """Answer with the head and the start of the body of the request."""
        text = item.head + item.body
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        await writer.drain()

    @staticmethod
    async def hang(item, reader, writer):
        """Send no answer until the other side closes the connection."""
        await reader.readexactly(1)

    @staticmethod
    async def cut(item, reader, writer):
        """Close the connection instead of answering."""
        raise ConnectionError

    @staticmethod
    async def flood(item, reader, writer):
        """Answer with 64 MB in chunks."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(1_024):
            writer.write(b"10000\r\n" + CHUNK + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def then_cut(data):
    """Return an answer that sends these bytes and then closes the connection."""

    async def answer(item, reader, writer):
        writer.write(data)
        await writer.drain()
        raise ConnectionError

    return answer


def then_hang(data):
    """Return an answer that sends these bytes and then nothing more."""

    async def answer(item, reader, writer):
        writer.write(data)
        await reader.readexactly(1)

    return answer


def by_attempt(*answers):
    """Return an answer that uses the next one of `answers` for each attempt of the same request."""
    attempts = {}

    async def answer(item, reader, writer):
        request_id = item.head.partition(b"x-request-id: ")[2].partition(b"\r\n")[0]
        attempts[request_id] = attempt = attempts.get(request_id, -1) + 1
        await play(answers[attempt], item, reader, writer)

    return answer


async def play(answer, item, reader, writer):
    """Send an answer, which is plain bytes or a function."""
    if callable(answer):
        await answer(item, reader, writer)
    else:
        writer.write(answer)
        await writer.drain()
