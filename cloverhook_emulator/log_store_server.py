"""A small stand-in for the users' store: a log with keyed topics, over HTTP.

It speaks what the adapter in `platform/` calls: appends with a condition, reads that wait, the
newest record of each key in pages, lost history.  Trouble is switched on by its attributes.
"""

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.ingress import Ingress

__all__ = ["LogStoreServer", "Topic"]

LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
JSON = [(b"content-type", b"application/json")]
DEFAULT_MAX_KB = 1_024
"""An answer to a read holds so much, or one record."""
PAGE_ITEMS = 3
"""Far below the real page, so that tests see several."""


@dataclass
class Topic:
    """The records of a topic's only partition, from `first` on; `history` has those before too."""

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    history: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end_offset(self) -> int:
        """The offset that the next record will get."""
        return self.first_offset + len(self.records)

    def append(self, record: bytes) -> None:
        """Append one record and keep it as the newest of its key."""
        key_end = 1 + record[0]
        key, value = record[1:key_end].decode(), record[key_end:]
        if value:
            self.newest[key] = (value, self.end_offset)
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.history.append(record)

    def without_last(self, count: int) -> "Topic":
        """Return the topic as it was some records ago."""
        earlier = Topic()
        for record in self.history[: max(0, len(self.history) - count)]:
            earlier.append(record)
        forgotten = min(self.first_offset, earlier.end_offset)
        del earlier.records[:forgotten]
        earlier.first_offset = forgotten
        return earlier

    def drop_records(self) -> None:
        """Drop all records; the newest of each key stay."""
        self.first_offset = self.end_offset
        self.records.clear()


class LogStoreServer:
    """The store and its listener.

    `refuse_status` refuses every call, `silent` answers none, `lost_answers` lets as many writes
    take effect without an answer, `delay_ms` delays every answer.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.calls: list[str] = []
        self.error_status = 0
        self.silent = False
        self.answers_to_lose = 0
        self.delay_ms = 0.0
        self.era = b"1"
        self._changed = asyncio.Event()
        self._ingress = Ingress(self._handle)

    async def listen(self, address: str) -> None:
        """Open the listener."""
        await self._ingress.listen(address)

    def close(self) -> None:
        """Close the listener."""
        self._ingress.close_listener()
        self._ingress.close_idle()

    def topic(self, name: str) -> Topic:
        """Return a topic, made at its first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes = b"") -> None:
        """Append a record of a key; without a value the key is dropped."""
        self.topic(topic).append(bytes([len(key)]) + key.encode() + value)
        self._changed.set()

    def restore(self, lost: dict[str, int]) -> None:
        """Come back from an older copy, in which topics lack their last records."""
        for name, count in lost.items():
            self.topics[name] = self.topic(name).without_last(count)
        self.era = b"%d" % (int(self.era) + 1)
        self._changed.set()

    async def _handle(self, request: CallerRequest) -> CallerAnswer:
        answer = await self._answer(request)
        headers = [*answer.headers, (b"store-era", self.era)]
        return CallerAnswer(answer.status, headers, answer.body)

    async def _answer(self, request: CallerRequest) -> CallerAnswer:
        self.calls.append(request.path)
        if self.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_ms / 1000)
        if self.error_status:
            return CallerAnswer(self.error_status, JSON, b"{}")
        query = dict(parse_qsl(request.target.partition(b"?")[2].decode()))
        topic = self.topic(query["topic"])
        match request.path:
            case "/api/log-append":
                return await self._append(topic, query, request.body)
            case "/api/log-read":
                largest_bytes = 1_024 * int(query.get("maxKb", DEFAULT_MAX_KB))
                wait_ms = int(query.get("waitMs", 0))
                return await self._read(topic, int(query["from"]), wait_ms, largest_bytes)
            case "/api/log-newest":
                return self._newest(topic, query.get("after", ""))
        return CallerAnswer(404, JSON, b"{}")

    async def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> CallerAnswer:
        if "at" in query and int(query["at"]) != topic.end_offset:
            return _json({"endOffset": topic.end_offset}, 412)
        start = topic.end_offset
        place = 0
        while place < len(body):
            (size_bytes,) = LENGTH.unpack_from(body, place)
            place += LENGTH.size
            topic.append(body[place : place + size_bytes])
            place += size_bytes
        self._changed.set()
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            await asyncio.Event().wait()
        return _json({"offset": start, "endOffset": topic.end_offset})

    async def _read(
        self, topic: Topic, start: int, wait_ms: int, largest_bytes: int
    ) -> CallerAnswer:
        if start >= topic.end_offset:
            await self._wait(topic, start, wait_ms)
        if not topic.first_offset <= start <= topic.end_offset:
            return _json({"firstOffset": topic.first_offset}, 410)
        parts = [READ_HEADER.pack(topic.end_offset, topic.first_offset)]
        size_bytes = 0
        for record in topic.records[start - topic.first_offset :]:
            size_bytes += LENGTH.size + len(record)
            if size_bytes > largest_bytes and len(parts) > 1:
                break
            parts += (LENGTH.pack(len(record)), record)
        return CallerAnswer(200, [], b"".join(parts))

    async def _wait(self, topic: Topic, start: int, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while start >= topic.end_offset:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return

    def _newest(self, topic: Topic, after: str) -> CallerAnswer:
        names = sorted(name for name in topic.newest if name > after)
        page = names[:PAGE_ITEMS]
        items = [
            {
                "key": name,
                "value": base64.b64encode(topic.newest[name][0]).decode(),
                "offset": topic.newest[name][1],
            }
            for name in page
        ]
        more = len(names) > len(page)
        return _json({"items": items, "hasMore": more, "endOffset": topic.end_offset})


def _json(document: dict[str, object], status: int = 200) -> CallerAnswer:
    return CallerAnswer(status, JSON, json.dumps(document).encode())
