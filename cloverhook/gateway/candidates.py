"""Random sampling of the endpoints of a service that may have room.

Layer: state.  The cost of iterating over all endpoints grows with their number, and matters most in
overload, when queued requests are reconsidered at every change. So endpoints that are found full
are set aside. They return when their load changes or after a while, because counts and load reports
also expire. Sampling from the others costs the same however many there are, and nothing once all
are full.

>>> servers = tuple(BackendServer(f"i-{n}", "bookings", f"10.0.0.{n}:80", "here") for n in range(9))
>>> candidates = Candidates(servers, random.Random(1))
>>> len(tuple(candidates.sample(4, 0.0)))
4
"""

import random
from collections.abc import Iterator
from functools import partial
from heapq import heappop, heappush

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.server_load import ServerLoad

__all__ = ["RETURN_MS", "Candidates"]

RETURN_MS = 100.0
"""Counts and load reports that are not repeated expire without an event. This is shorter than the
lifetime of either."""


class Candidates:
    """Some endpoints, of which those found full are set aside for a while."""

    def __init__(self, servers: tuple[BackendServer, ...], source: random.Random) -> None:
        self._source = source.random
        self._total = len(servers)
        self._available = list(servers)
        self._index = 0
        self._full: dict[str, BackendServer] = {}
        self._return_times: list[tuple[float, int, str]] = []
        self._set_aside_count = 0
        self._watched: set[str] = set()

    def __len__(self) -> int:
        """Return how many endpoints are not set aside."""
        return len(self._available)

    @property
    def total(self) -> int:
        """The number of endpoints, including those set aside."""
        return self._total

    def sample(self, count: int, now_ms: float) -> Iterator[BackendServer]:
        """Yield random endpoints, each once, until `count` have been kept or all have been seen.

        An endpoint that is full must be set aside before the next one is requested; it doesn't
        count.
        """
        self._restore_due(now_ms)
        available, source = self._available, self._source
        self._index = 0
        while self._index < min(count, len(available)):
            index = self._index
            other = index + int(source() * (len(available) - index))
            server = available[other]
            available[index], available[other] = server, available[index]
            yield server
            self._index += 1

    def set_aside(self, load: ServerLoad, now_ms: float, for_ms: float = RETURN_MS) -> None:
        """Set aside the endpoint yielded last, until its load changes or `for_ms` have passed."""
        available, index = self._available, self._index
        server = available[index]
        available[index] = available[-1]
        available.pop()
        self._index -= 1
        incarnation = server.incarnation
        self._full[incarnation] = server
        self._set_aside_count += 1
        heappush(self._return_times, (now_ms + for_ms, self._set_aside_count, incarnation))
        if incarnation not in self._watched:
            self._watched.add(incarnation)
            load.on_next_change(partial(self._changed, incarnation))

    def _changed(self, incarnation: str) -> None:
        self._watched.discard(incarnation)
        self._restore(incarnation)

    def _restore_due(self, now_ms: float) -> None:
        return_times = self._return_times
        while return_times and return_times[0][0] <= now_ms:
            self._restore(heappop(return_times)[2])

    def _restore(self, incarnation: str) -> None:
        server = self._full.pop(incarnation, None)
        if server is not None:
            self._available.append(server)
