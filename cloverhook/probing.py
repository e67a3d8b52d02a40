"""Asks backend servers for their load when a router wants to know.

Layer: transport.  A probe is `GET /load` over the pool of connections, so it also leaves a warm one
behind.  A backend server that has no such path, or answers with anything but a JSON object whose
`in_flight` is a count, is alive and tells nothing of its load.  One whose `draining` is true is
leaving.
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
        load, leaving = None, None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                load, leaving = report_in(await self._ask(target, address))
        except (UpstreamError, TimeoutError):
            load, leaving = None, None
        latency_ms = self._clock_ms() - started_ms
        self._on_ended(target.key, ProbeEnded(address, load, latency_ms, leaving))

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


def report_in(body: bytes) -> tuple[int | None, bool | None]:
    """Return what the answer to a probe tells: requests in flight, and whether it is leaving.

    >>> report_in(b'{"in_flight": 3, "slots": 4, "draining": false}')
    (3, False)
    >>> report_in(b"not found")
    (None, None)
    """
    try:
        document = json.loads(body)
    except ValueError:
        return None, None
    if not isinstance(document, dict):
        return None, None
    load, leaving = document.get("in_flight"), document.get("draining")
    counts = isinstance(load, int) and not isinstance(load, bool) and load >= 0
    return load if counts else None, leaving if isinstance(leaving, bool) else None


async def _read_body(connection: UpstreamConnection) -> bytes:
    body = b""
    more = True
    while more:
        part, more = await connection.read()
        body += part
        if len(body) > ANSWER_LIMIT_BYTES:
            raise UpstreamError("the answer to a probe is too long", sent=True)
    return body
