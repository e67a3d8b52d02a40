"""Lets requests wait for room at a backend server, and wakes them when there may be some.

Layer: transport.  The waiting line decides who leaves it; this module asks it at the right moments
and ends the waits.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.choice import Choice
from cloverhook.gateway.waiting_line import QueuedRequest, RequestQueue

__all__ = ["Admission"]

LOOK_DELAY_MS = 2.0
LOOK_PAUSES = 4.0
"""Looks after updates of others are so many times as long apart as one takes: a fifth of the
time."""


class Admission:
    """The requests of this VM that wait for room."""

    def __init__(
        self,
        line: RequestQueue,
        place: Callable[[Choice], None],
        give_back: Callable[[Choice], None],
    ) -> None:
        """`place` counts a request at the endpoint chosen for it, `give_back` undoes that."""
        self._line = line
        self._place = place
        self._give_back = give_back
        self._waits: dict[QueuedRequest, asyncio.Future[Choice | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._look_ms = 0.0

    def __len__(self) -> int:
        return len(self._line)

    async def wait(self, waiter: QueuedRequest) -> Choice | None:
        """Wait for room; return where a request was placed, or None when it is refused."""
        future: asyncio.Future[Choice | None] = asyncio.get_running_loop().create_future()
        self._waits[waiter] = future
        self._line.add(waiter)
        self.admit_ready(waiter.service)
        try:
            return await future
        except asyncio.CancelledError:
            self._line.remove(waiter)
            self._waits.pop(waiter, None)
            if future.done() and not future.cancelled() and future.result() is not None:
                self._give_back(future.result())
            raise

    def admit_ready(self, service: str) -> None:
        """Start or refuse the requests for a service whose time has come."""
        while (decision := self._line.next(service, monotonic_ms())) is not None:
            future = self._waits.pop(decision.waiter)
            if decision.choice is not None:
                self._place(decision.choice)
            future.set_result(decision.choice)

    def admit_all_ready(self) -> None:
        """Do so for all services."""
        begun_ms = monotonic_ms()
        for service in self._line.services():
            self.admit_ready(service)
        self._look_ms = monotonic_ms() - begun_ms

    def schedule_admission(self) -> None:
        """Look at all, as updates of other VMs have come; there may be much of it.

        In overload each look takes long, and a VM that does nothing else answers nobody in time.
        """
        if self._timer is None and len(self._line):
            delay_ms = max(LOOK_DELAY_MS, LOOK_PAUSES * self._look_ms)
            self._timer = asyncio.get_running_loop().call_later(delay_ms / 1000, self._look_now)

    def _look_now(self) -> None:
        self._timer = None
        self.admit_all_ready()
