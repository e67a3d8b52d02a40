"""Requests configuration records from peers when the log is slow or unreachable.

Layer: coordination, free of input and output.  A daemon that folds a record sends its new offset to
its linked peers at once.  Each of them first waits a short time, in which its own read of the log
may return the record.  A daemon that is still behind then asks one of the peers that have the
record, and another one if no answer arrives in time.  So a record is sent over a link only if it is
needed there.

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
    """The offsets that linked peers have reached, and the request in progress."""

    def __init__(self) -> None:
        self._peer_offsets: dict[str, int] = {}
        self._behind_since_ms: float | None = None
        self._requested: list[str] = []
        self._request_deadline_ms = 0.0

    def record_offset(self, vm: str, next_offset: int, now_ms: float) -> None:
        """Record the offset up to which a peer has folded the log."""
        self._peer_offsets[vm] = next_offset
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms

    def remove_peer(self, vm: str) -> None:
        """Record that a peer is no longer linked."""
        self._peer_offsets.pop(vm, None)
        if vm in self._requested:
            self._request_deadline_ms = 0.0

    def record_answer(self, vm: str) -> None:
        """Record an answer from the peer that was asked, so that another request may follow."""
        if self._requested and self._requested[-1] == vm:
            self._request_deadline_ms = 0.0

    def next_wake_ms(self, next_offset: int, now_ms: float) -> float:
        """Return when `next_peer` may next return one, unless a new offset is reported before."""
        if all(offset <= next_offset for offset in self._peer_offsets.values()):
            return math.inf
        return max(now_ms + REQUEST_DELAY_MS, self._request_deadline_ms)

    def next_peer(self, next_offset: int, now_ms: float) -> str | None:
        """Return the peer to ask now for the records from an offset on, or None."""
        ahead = sorted(vm for vm, offset in self._peer_offsets.items() if offset > next_offset)
        if not ahead:
            self._behind_since_ms = None
            self._requested.clear()
            return None
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if now_ms - self._behind_since_ms < REQUEST_DELAY_MS or now_ms < self._request_deadline_ms:
            return None
        vm = min(ahead, key=lambda name: (self._requested.count(name), -self._peer_offsets[name]))
        self._requested.append(vm)
        self._request_deadline_ms = now_ms + ANSWER_TIMEOUT_MS
        return vm
