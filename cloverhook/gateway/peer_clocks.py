"""Bounds when messages of other VMs were sent, without synchronized clocks.

Layer: state.  A message alone shows nothing of its delay: all messages of a process may be slow,
from the first one on.  A request that the other process answers does: by the own clock, the answer
was made after the request was sent.  The time on the other clock in the answer, and that in another
message, show how much earlier or later that message was sent.

The bound is on the safe side: a slow request makes messages seem older than they are.

>>> clocks = PeerClocks(random.Random(1))
>>> clocks.earliest_sent_ms("vm-1", 7, sent_ms=50_010.0, now_ms=510.0) is None
True
>>> clocks.record_request("vm-1", 7, now_ms=520.0)
>>> clocks.record_answer("vm-1", 7, requested_ms=520.0, answered_ms=50_025.0, now_ms=540.0)
True
>>> round(clocks.earliest_sent_ms("vm-1", 7, sent_ms=50_100.0, now_ms=980.0))
595
"""

import random
from collections import deque
from dataclasses import dataclass, field

__all__ = ["PeerClocks"]

PEERS_LIMIT = 1_024
DRIFT_SHARE = 0.001
"""Two clocks that are being adjusted may drift apart by this share of the time."""
RENEWAL_MS = 30_000.0
"""What two clocks drift apart in this time is small against the time in which a change has to be in
force."""
ACCURATE_MS = 150.0
"""A request whose answer takes longer is repeated sooner than after `RENEWAL_MS`.  A VM without
callers reads its messages up to 100 ms late."""
RETRY_MS = 500.0
"""The time to the first repetition; it doubles up to `RENEWAL_MS`, as a link may be full."""
RETRIES_LIMIT = 6
OPEN_REQUESTS_LIMIT = 8


class PeerClocks:
    """How the clocks of other processes compare to the own one.

    Times are in milliseconds on the clocks of the two processes; `incarnation` is that of the other
    process.  Only the process of a VM that has sent the latest message is known: incarnations come
    from the time of day, so they don't show which process has started later.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._peers: dict[str, _Peer] = {}

    def earliest_sent_ms(
        self, vm: str, incarnation: int, sent_ms: float, now_ms: float
    ) -> float | None:
        """Return the earliest own time at which a message may have been sent.

        Returns None as long as the process has answered no request.  A message that arrives before
        it may have been sent shows that one of the clocks has stopped for a while, so that earlier
        answers bound nothing.
        """
        peer = self._peer(vm, incarnation, now_ms)
        if peer.offset_ms is None:
            return None
        earliest_ms = sent_ms + peer.least_offset_ms(now_ms)
        if earliest_ms > now_ms:
            self._peers[vm] = _Peer(incarnation, due_ms=now_ms)
            return None
        return earliest_ms

    def is_request_due(self, vm: str, incarnation: int, now_ms: float) -> bool:
        """Return whether a process from which a message has arrived should be asked now."""
        peer = self._peers.get(vm)
        return peer is not None and peer.incarnation == incarnation and now_ms >= peer.due_ms

    def record_request(self, vm: str, incarnation: int, now_ms: float) -> None:
        """Record that a process was asked for its time."""
        peer = self._peer(vm, incarnation, now_ms)
        peer.requests_ms.append(now_ms)
        peer.due_ms = now_ms + min(RENEWAL_MS, RETRY_MS * 2**peer.retries)
        peer.retries = min(peer.retries + 1, RETRIES_LIMIT)

    def record_answer(
        self, vm: str, incarnation: int, requested_ms: float, answered_ms: float, now_ms: float
    ) -> bool:
        """Record the answer to a request, which was sent at `requested_ms` by the own clock.

        `answered_ms` is the time on the other clock.  Returns False if there was no such request.
        """
        peer = self._peers.get(vm)
        if peer is None or peer.incarnation != incarnation or requested_ms not in peer.requests_ms:
            return False
        peer.requests_ms.remove(requested_ms)
        offset_ms = requested_ms - answered_ms
        if peer.offset_ms is None or offset_ms >= peer.least_offset_ms(now_ms):
            peer.offset_ms, peer.offset_as_of_ms = offset_ms, requested_ms
        if now_ms - requested_ms <= ACCURATE_MS:
            peer.retries = 0
            peer.due_ms = now_ms + RENEWAL_MS * self._random.uniform(0.5, 1.0)
        return True

    def _peer(self, vm: str, incarnation: int, now_ms: float) -> "_Peer":
        """Return what is known of a process, in place of another one of its VM."""
        peer = self._peers.pop(vm, None)
        if peer is None or peer.incarnation != incarnation:
            peer = _Peer(incarnation, due_ms=now_ms)
        while len(self._peers) >= PEERS_LIMIT:
            del self._peers[next(iter(self._peers))]
        self._peers[vm] = peer  # At the end, so that the VM without messages for longest is first.
        return peer


@dataclass(slots=True)
class _Peer:
    """What is known of the clock of a process.

    The own clock was at least `offset_ms` ahead of it at `offset_as_of_ms`.  The next request is
    due at `due_ms`.
    """

    incarnation: int
    due_ms: float
    offset_ms: float | None = None
    offset_as_of_ms: float = 0.0
    retries: int = 0
    requests_ms: deque[float] = field(default_factory=lambda: deque(maxlen=OPEN_REQUESTS_LIMIT))

    def least_offset_ms(self, now_ms: float) -> float:
        """Return by how much the own clock is ahead now, at least; `offset_ms` must be known."""
        assert self.offset_ms is not None
        return self.offset_ms - DRIFT_SHARE * (now_ms - self.offset_as_of_ms)
