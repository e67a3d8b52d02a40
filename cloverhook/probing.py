"""Asks backend servers for their load or health when a router wants to know.

Layer: transport.  A probe is `GET /load` or `GET /health` over the pool of connections, so it also
leaves a warm one behind.  A backend server that has no such path, or answers with anything but a
JSON object whose `in_flight` is a count or whose `draining` is true, is alive and tells nothing.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from absl import logging

from cloverhook.dispatch import Target
from cloverhook.errors import UpstreamError
from cloverhook.routing_events import ProbeEnded
from cloverhook.upstream import RequestHead, UpstreamConnection, UpstreamPool

__all__ = ["HEALTH_PATH", "LOAD_PATH", "PROBE_TIMEOUT_MS", "LoadProbes"]

HEALTH_PATH = b"/health"
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

    def start(self, target: Target, address: str, health: bool = False) -> None:
        """Start to ask an endpoint of a service for its load, or its health."""
        task = asyncio.get_running_loop().create_task(self._probe(target, address, health))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Give up the probes under way."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, target: Target, address: str, health: bool) -> None:
        started_ms = self._clock_ms()
        body = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                body = await self._ask(target, address, HEALTH_PATH if health else LOAD_PATH)
        except (UpstreamError, TimeoutError):
            logging.debug("probing: %s gave no answer.", address)
        load = draining = None
        if body is not None and health:
            draining = parse_draining(body)
        elif body is not None:
            load = parse_load(body)
        latency_ms = self._clock_ms() - started_ms
        self._on_ended(target.key, ProbeEnded(address, load, latency_ms, draining))

    async def _ask(self, target: Target, address: str, path: bytes) -> bytes:
        connection = await self._pool.acquire(address)
        whole = False
        try:
            host = target.service.hosts[0].encode()
            await connection.send(RequestHead(b"GET", path, [(b"host", host)]))
            body = await _read_body(connection)
            whole = True
        finally:
            if not whole:
                connection.close()
            self._pool.release(address, connection)
        return body


def parse_load(body: bytes) -> int | None:
    """Return the requests in flight that the answer to a probe tells, or None.

    >>> parse_load(b'{"in_flight": 3, "slots": 4}')
    3
    >>> parse_load(b"not found") is None
    True
    """
    load = _document(body).get("in_flight")
    counts = isinstance(load, int) and not isinstance(load, bool) and load >= 0
    return load if counts else None


def parse_draining(body: bytes) -> bool:
    """Return whether the answer to a probe of health says that the backend server is draining.

    >>> parse_draining(b'{"healthy": false, "draining": true}')
    True
    """
    return _document(body).get("draining") is True


def _document(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


async def _read_body(connection: UpstreamConnection) -> bytes:
    body = b""
    more = True
    while more:
        part, more = await connection.read()
        body += part
        if len(body) > ANSWER_LIMIT_BYTES:
            raise UpstreamError("the answer to a probe is too long", sent=True)
    return body
