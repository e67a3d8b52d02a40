"""Makes requests wait until a backend server has capacity for them.

Layer: transport.  `RequestQueue` decides which requests leave the queue.  This module asks it for
decisions whenever there may be capacity, and wakes the coroutines of the requests concerned.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.choice import Choice
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue

__all__ = ["Admission"]

CHECK_DELAY_MS = 2.0
CHECK_PAUSE_FACTOR = 4.0
"""After updates of other VMs, the pause before an admission check is at least this many times the
duration of the last check, so that checks take at most a fifth of the time."""


class Admission:
    """The requests of this VM that wait for capacity at a backend server."""

    def __init__(
        self,
        queue: RequestQueue,
        place: Callable[[Choice], None],
        release: Callable[[Choice], None],
    ) -> None:
        """`place` counts a request at the endpoint chosen for it, and `release` undoes that."""
        self._queue = queue
        self._place = place
        self._release = release
        self._futures: dict[QueuedRequest, asyncio.Future[Choice | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._last_check_ms = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    async def wait(self, queued: QueuedRequest) -> Choice | None:
        """Wait for capacity; return the choice made for the request, or None if it is rejected."""
        future: asyncio.Future[Choice | None] = asyncio.get_running_loop().create_future()
        self._futures[queued] = future
        self._queue.add(queued, monotonic_ms())
        self.admit_ready(queued.service)
        try:
            return await future
        except asyncio.CancelledError:
            self._queue.remove(queued)
            self._futures.pop(queued, None)
            if future.done() and not future.cancelled() and future.result() is not None:
                self._release(future.result())
            raise

    def reject(self, is_unfit: Callable[[QueuedRequest], bool]) -> None:
        """Reject the queued requests for which `is_unfit` returns True."""
        for queued, future in tuple(self._futures.items()):
            if is_unfit(queued) and not future.done():
                self._queue.remove(queued)
                del self._futures[queued]
                future.set_result(None)

    def admit_ready(self, service: str) -> None:
        """Start or reject the queued requests of a service that are due for a decision."""
        while (decision := self._queue.next(service, monotonic_ms())) is not None:
            future = self._futures.pop(decision.request)
            if future.cancelled():
                continue  # Its caller has gone, and `wait` has not run since.
            if decision.choice is not None:
                self._place(decision.choice)
            future.set_result(decision.choice)

    def admit_all_ready(self) -> None:
        """Start or reject the queued requests of all services that are due for a decision."""
        started_ms = monotonic_ms()
        for service in self._queue.services():
            self.admit_ready(service)
        self._last_check_ms = monotonic_ms() - started_ms

    def schedule_admission(self) -> None:
        """Schedule an admission check of all services after an update of another VM.

        Updates may come in large numbers, and in overload each check takes long.  If the VM did
        nothing but check, no request would be answered in time.
        """
        if self._timer is None and len(self._queue):
            delay_ms = max(CHECK_DELAY_MS, CHECK_PAUSE_FACTOR * self._last_check_ms)
            self._timer = asyncio.get_running_loop().call_later(delay_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.admit_all_ready()
