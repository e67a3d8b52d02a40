"""The queue of requests that wait in a VM for a slot, ordered by priority, then by arrival.

Layer: coordination.  Every operation takes at most O(log n).
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
    """A request that the router has accepted and that has not ended yet."""

    arrival: Arrival
    arrived_ms: float
    attempts: int = 0
    address: str = ""
    started_ms: float = 0.0


class RequestQueue:
    """The queued requests of one service."""

    def __init__(self) -> None:
        self._queues: dict[Priority, OrderedDict[str, PendingRequest]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._expiries: list[tuple[float, str]] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, request: PendingRequest, give_up_ms: float) -> None:
        """Append a request to the queue of its priority.  It expires at `give_up_ms`."""
        request_id = request.arrival.request_id
        self._queues[request.arrival.priority][request_id] = request
        heapq.heappush(self._expiries, (give_up_ms, request_id))
        self._count += 1

    def remove(self, request: PendingRequest) -> bool:
        """Remove a request and return whether it was queued."""
        queue = self._queues[request.arrival.priority]
        if queue.pop(request.arrival.request_id, None) is None:
            return False
        self._count -= 1
        if not self._count:
            self._expiries.clear()
        return True

    def first(self) -> PendingRequest | None:
        """Return the oldest request of the highest priority, or None if the queue is empty."""
        for queue in self._queues.values():
            if queue:
                return next(iter(queue.values()))
        return None

    def shed_candidate(self) -> PendingRequest | None:
        """Return the newest request of the lowest priority, or None if the queue is empty."""
        for queue in reversed(self._queues.values()):
            if queue:
                return next(reversed(queue.values()))
        return None

    def count_ahead(self, priority: Priority) -> int:
        """Return how many queued requests a new request of this priority would have to wait for."""
        return sum(len(queue) for level, queue in self._queues.items() if level <= priority)

    def next_expiry_ms(self) -> float:
        """Return the earliest time at which a request may expire, or infinity if there is none."""
        return self._expiries[0][0] if self._expiries else math.inf

    def pop_overdue(
        self, now_ms: float, requests: dict[str, PendingRequest]
    ) -> list[PendingRequest]:
        """Remove and return the queued requests that have expired.

        `requests` holds all accepted requests by identifier.  Expiry times whose request is no
        longer there or no longer queued are skipped.
        """
        expired: list[PendingRequest] = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._expiries)
            request = requests.get(request_id)
            if request is not None and self.remove(request):
                expired.append(request)
        return expired
