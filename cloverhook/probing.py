"""Asks backend servers for their load when a router wants to know.

Layer: transport.  A probe is `GET /load` over the pool of connections, so it also leaves a warm one
behind.  A backend server that has no such path, or answers with anything but a JSON object whose
`in_flight` is a count, is alive and tells nothing of its load.
"""

import asyncio
import json
from collections.abc import Callable

from cloverhook.dispatch import Target
from cloverhook.errors import UpstreamError
from cloverhook.routing_events import ProbeEnded
from cloverhook.upstream import RequestHead, UpstreamConnection, UpstreamPool

__all__ = ["LOAD_PATH", "PROBE_TIMEOUT_MS", "LoadProbes"]

LOAD_PATH = b"/load"
PROBE_TIMEOUT_MS = 50
ANSWER_LIMIT_BYTES = 4_096


class LoadProbes:
    """The probes under way; each ends with a call of `on_ended`, with its service's key."""

    def __init__(
        self,
        pool: UpstreamPool,
        on_ended: Callable[[str, ProbeEnded], None],
        clock_ms: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._on_ended = on_ended
        self._clock_ms = clock_ms
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, target: Target, address: str) -> None:
        """Start to ask an endpoint of a service."""
        task = asyncio.get_running_loop().create_task(self._probe(target, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Give up the probes under way."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, target: Target, address: str) -> None:
        started_ms = self._clock_ms()
        load = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                load = load_in(await self._ask(target, address))
        except (UpstreamError, TimeoutError):
            load = None
        self._on_ended(target.key, ProbeEnded(address, load, self._clock_ms() - started_ms))

    async def _ask(self, target: Target, address: str) -> bytes:
        connection = await self._pool.acquire(address)
        whole = False
        try:
            host = target.service.hosts[0].encode()
            await connection.send(RequestHead(b"GET", LOAD_PATH, [(b"host", host)]))
            body = await _read_body(connection)
            whole = True
        finally:
            if not whole:
                connection.close()
            self._pool.release(address, connection)
        return body


def load_in(body: bytes) -> int | None:
    """Return the requests in flight that the answer to a probe tells, or None.

    >>> load_in(b'{"in_flight": 3, "slots": 4}')
    3
    >>> load_in(b"not found") is None
    True
    """
    try:
        document = json.loads(body)
    except ValueError:
        return None
    load = document.get("in_flight") if isinstance(document, dict) else None
    counts = isinstance(load, int) and not isinstance(load, bool) and load >= 0
    return load if counts else None


async def _read_body(connection: UpstreamConnection) -> bytes:
    body = b""
    more = True
    while more:
        part, more = await connection.read()
        body += part
        if len(body) > ANSWER_LIMIT_BYTES:
            raise UpstreamError("the answer to a probe is too long", sent=True)
    return body
