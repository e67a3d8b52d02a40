"""Requests that wait in a VM for a slot: one line per priority, the most important first.

Layer: coordination.  Every operation is O(log n) at most.
"""

import heapq
import math
from collections import OrderedDict
from dataclasses import dataclass

from cloverhook.fleet import Priority
from cloverhook.routing_events import Arrival

__all__ = ["PendingRequest", "RequestQueue"]


@dataclass(slots=True)
class PendingRequest:
    """A request that this router has to bring to an end."""

    arrival: Arrival
    arrived_ms: float
    attempts: int = 0
    address: str = ""
    started_ms: float = 0.0


class RequestQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        self._lines: dict[Priority, OrderedDict[str, PendingRequest]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._ends: list[tuple[float, str]] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, request: PendingRequest, give_up_ms: float) -> None:
        """Put a request at the end of its line; `give_up_ms` is when it has waited too long."""
        request_id = request.arrival.request_id
        self._lines[request.arrival.priority][request_id] = request
        heapq.heappush(self._ends, (give_up_ms, request_id))
        self._count += 1

    def remove(self, request: PendingRequest) -> bool:
        """Take a request out; return whether it was waiting."""
        line = self._lines[request.arrival.priority]
        if line.pop(request.arrival.request_id, None) is None:
            return False
        self._count -= 1
        if not self._count:
            self._ends.clear()
        return True

    def first(self) -> PendingRequest | None:
        """Return the oldest request of the most important priority."""
        for line in self._lines.values():
            if line:
                return next(iter(line.values()))
        return None

    def shed_candidate(self) -> PendingRequest | None:
        """Return the newest request of the least important priority."""
        for line in reversed(self._lines.values()):
            if line:
                return next(reversed(line.values()))
        return None

    def count_ahead(self, priority: Priority) -> int:
        """Return how many requests a new one of this priority has before it."""
        return sum(len(line) for level, line in self._lines.items() if level <= priority)

    def next_expiry_ms(self) -> float:
        """Return the earliest time at which a request may have waited too long."""
        return self._ends[0][0] if self._ends else math.inf

    def pop_overdue(
        self, now_ms: float, requests: dict[str, PendingRequest]
    ) -> list[PendingRequest]:
        """Take out and return the requests that have waited too long."""
        late: list[PendingRequest] = []
        while self._ends and self._ends[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._ends)
            request = requests.get(request_id)
            if request is not None and self.remove(request):
                late.append(request)
        return late
