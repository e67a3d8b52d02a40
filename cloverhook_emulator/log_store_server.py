"""A small stand-in for the users' store: a log with keyed topics, over HTTP.

It serves the calls that the adapter in `platform/` makes: conditional appends, reads by long poll,
the newest record of each key in pages, and an error for reads of lost history.  Faults are
switched on through its attributes.
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
"""An answer to a read holds at most this much, or a single larger record."""
PAGE_ITEMS = 3
"""Far smaller than a page of the real store, so that tests see several pages."""


@dataclass
class Topic:
    """The records of the only partition of a topic.

    `records` starts at `first_offset`; `history` also has the records before it.  `newest` maps
    each key to the value and the offset of its newest record.
    """

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    history: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)

    @property
    def end_offset(self) -> int:
        """The offset of the next record to be appended."""
        return self.first_offset + len(self.records)

    def append(self, record: bytes) -> None:
        """Append a record and store it as the newest of its key; an empty value removes the key."""
        key_end = 1 + record[0]
        key, value = record[1:key_end].decode(), record[key_end:]
        if value:
            self.newest[key] = (value, self.end_offset)
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.history.append(record)

    def without_last(self, count: int) -> "Topic":
        """Return the topic as it was before its last `count` records were appended."""
        earlier = Topic()
        for record in self.history[: max(0, len(self.history) - count)]:
            earlier.append(record)
        dropped_count = min(self.first_offset, earlier.end_offset)
        del earlier.records[:dropped_count]
        earlier.first_offset = dropped_count
        return earlier

    def drop_records(self) -> None:
        """Drop all records; the newest record of each key stays available."""
        self.first_offset = self.end_offset
        self.records.clear()


class LogStoreServer:
    """The store and its listener.

    A non-zero `error_status` is the status with which every call is rejected.  With `silent`, no
    call is answered.  `answers_to_lose` is the number of writes that will take effect without an
    answer.  `delay_ms` delays every answer.  Every answer carries `era` in its `store-era` header.
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
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes = b"") -> None:
        """Append a record for a key; an empty value removes the key."""
        self.topic(topic).append(bytes([len(key)]) + key.encode() + value)
        self._changed.set()

    def restore(self, lost: dict[str, int]) -> None:
        """Restore the store from an older copy, and start a new era.

        `lost` maps names of topics to the number of their last records that the copy lacks.
        """
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
                limit_bytes = 1_024 * int(query.get("maxKb", DEFAULT_MAX_KB))
                wait_ms = int(query.get("waitMs", 0))
                return await self._read(topic, int(query["from"]), wait_ms, limit_bytes)
            case "/api/log-newest":
                return self._newest(topic, query.get("after", ""))
        return CallerAnswer(404, JSON, b"{}")

    async def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> CallerAnswer:
        if "at" in query and int(query["at"]) != topic.end_offset:
            return _json({"endOffset": topic.end_offset}, 412)
        start = topic.end_offset
        offset_bytes = 0
        while offset_bytes < len(body):
            (size_bytes,) = LENGTH.unpack_from(body, offset_bytes)
            offset_bytes += LENGTH.size
            topic.append(body[offset_bytes : offset_bytes + size_bytes])
            offset_bytes += size_bytes
        self._changed.set()
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            await asyncio.Event().wait()
        return _json({"offset": start, "endOffset": topic.end_offset})

    async def _read(self, topic: Topic, start: int, wait_ms: int, limit_bytes: int) -> CallerAnswer:
        if start >= topic.end_offset:
            await self._wait(topic, start, wait_ms)
        if not topic.first_offset <= start <= topic.end_offset:
            return _json({"firstOffset": topic.first_offset}, 410)
        parts = [READ_HEADER.pack(topic.end_offset, topic.first_offset)]
        size_bytes = 0
        for record in topic.records[start - topic.first_offset :]:
            size_bytes += LENGTH.size + len(record)
            if size_bytes > limit_bytes and len(parts) > 1:
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
