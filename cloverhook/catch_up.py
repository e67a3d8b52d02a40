"""Gets the configuration records from peers that have them when the log is slow or out of reach.

Layer: coordination, free of input and output.  A daemon that folds a record tells its linked peers
its new offset at once.  A peer that is still behind after a moment, in which its own read of the
log may bring the record, asks one of those that offer it, and another one if no answer comes.  So
a record crosses a link only when it is needed there.

>>> catch_up = CatchUp()
>>> catch_up.record_offset("vm-2", 5, 0.0)
>>> catch_up.next_peer(4, 10.0)
>>> catch_up.next_peer(4, 30.0)
'vm-2'
"""

import math

__all__ = ["CatchUp"]

REQUEST_DELAY_MS = 20
ANSWER_TIMEOUT_MS = 400


class CatchUp:
    """The offsets that linked peers offer, and the request under way."""

    def __init__(self) -> None:
        self._offers: dict[str, int] = {}
        self._behind_ms: float | None = None
        self._asked: list[str] = []
        self._asked_until_ms = 0.0

    def record_offset(self, vm: str, next_offset: int, now_ms: float) -> None:
        """Note the offset up to which a peer has folded."""
        self._offers[vm] = next_offset
        if self._behind_ms is None:
            self._behind_ms = now_ms

    def remove_peer(self, vm: str) -> None:
        """Note that a peer is linked no more."""
        self._offers.pop(vm, None)
        if vm in self._asked:
            self._asked_until_ms = 0.0

    def record_answer(self, vm: str) -> None:
        """Note that the peer asked has answered, so that another request may follow."""
        if self._asked and self._asked[-1] == vm:
            self._asked_until_ms = 0.0

    def next_wake_ms(self, next_offset: int, now_ms: float) -> float:
        """Return when `next_peer` may next name a peer, if no peer offers more until then."""
        if all(offset <= next_offset for offset in self._offers.values()):
            return math.inf
        return max(now_ms + REQUEST_DELAY_MS, self._asked_until_ms)

    def next_peer(self, next_offset: int, now_ms: float) -> str | None:
        """Return the peer to ask now for the records from an offset on, if any."""
        ahead = sorted(vm for vm, offset in self._offers.items() if offset > next_offset)
        if not ahead:
            self._behind_ms = None
            self._asked.clear()
            return None
        if self._behind_ms is None:
            self._behind_ms = now_ms
        if now_ms - self._behind_ms < REQUEST_DELAY_MS or now_ms < self._asked_until_ms:
            return None
        vm = min(ahead, key=lambda name: (self._asked.count(name), -self._offers[name]))
        self._asked.append(vm)
        self._asked_until_ms = now_ms + ANSWER_TIMEOUT_MS
        return vm
