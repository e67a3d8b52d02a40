"""Spreads the free slots of an endpoint over the VMs whose requests wait for one.

Layer: coordination.  Designed for deployment A, where endpoints that were slow become fast every
500 ms.  All VMs learn of their free slots at the same time.  While requests wait at each VM, all of
them would send as many as there are slots, and the endpoint would reset most of the connections.

So a waiting request gets a slot that this VM has freed itself, which the others don't know of yet.
Of other free slots each VM takes one at a time, with such a probability that all VMs together take
about as many as there are.  Then it leaves the endpoint alone until the counts of the others have
arrived.
"""

import random
from collections.abc import Callable

from cloverhook.gateway.choice import Choice

__all__ = ["SlotClaims"]

UPDATE_MS = 10.0
"""The time until a change of an in-flight count is known to the other VMs and they have used it:
about 3 ms for the message, then up to 5 ms until a check.  In the replay with half of the endpoints
slow, 4 ms gave 0.830, 6 ms 0.849, 10 ms 0.868 and 15 ms 0.844."""
SWEEP_SIZE = 256


class SlotClaims:
    """The endpoints at which this VM may or may not use a free slot; times are monotonic."""

    def __init__(self, vms: Callable[[], int], source: random.Random) -> None:
        """`vms` returns how many VMs send requests to endpoints."""
        self._vms = vms
        self._source = source
        self._freed: dict[str, float] = {}
        self._left_until_ms: dict[str, float] = {}

    def record_freed(self, incarnation: str, now_ms: float) -> None:
        """Record that a request of this VM has ended at an endpoint."""
        if len(self._freed) >= SWEEP_SIZE:
            self._freed = {x: at for x, at in self._freed.items() if now_ms - at < UPDATE_MS}
        self._freed[incarnation] = now_ms
        self._left_until_ms.pop(incarnation, None)

    def left_alone(self, now_ms: float) -> tuple[str, ...]:
        """Return the endpoints whose free slots this VM doesn't use now."""
        if not self._left_until_ms:
            return ()
        self._left_until_ms = {x: at for x, at in self._left_until_ms.items() if at > now_ms}
        return tuple(self._left_until_ms)

    def try_claim(self, choice: Choice, now_ms: float) -> bool:
        """Return whether a waiting request may use a free slot of the chosen endpoint."""
        incarnation, vms = choice.server.incarnation, self._vms()
        if vms <= 1:
            return True
        if now_ms - self._freed.get(incarnation, -UPDATE_MS) < UPDATE_MS:
            return True
        if self._source.random() < (choice.server.slots - choice.load) / vms:
            return True
        self._left_until_ms[incarnation] = now_ms + UPDATE_MS
        return False

    def record_start(self, incarnation: str, now_ms: float) -> None:
        """Record that a waiting request was started at an endpoint."""
        if self._freed.pop(incarnation, None) is None and self._vms() > 1:
            self._left_until_ms[incarnation] = now_ms + UPDATE_MS
