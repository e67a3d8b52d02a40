"""What share of the requests that came to an endpoint it has turned away though it had room.

Layer: state.  Such an endpoint looks idle, and so the best choice; each request that it turns away
costs a repeat.  It still serves a part of what it gets, so it is neither suspended nor left alone,
but used after others, by the share that it takes.  Only requests show that share: those that other
VMs sent count here too, as one VM alone meets an endpoint seldom.

>>> share = RefusalShare()
>>> for at_ms in range(0, 400, 100):
...     share.record_refusal(at_ms)
...     share.record_ended(2, at_ms)
>>> 0.3 < share.share_at(400.0) < 0.5, share.share_at(20_000.0) < 0.01
(True, True)
"""

__all__ = ["RefusalShare"]

HALF_LIFE_MS = 2_000.0
"""An endpoint that has ceased to turn requests away is used as before after a few of these."""
PRIOR = 2.0
"""So many requests are taken to have been served besides: a single refusal says little."""


class RefusalShare:
    """Requests that ended at one endpoint, and those that it turned away; both fade with time."""

    __slots__ = ("_at_ms", "_ended", "_refused")

    def __init__(self) -> None:
        self._refused = self._ended = self._at_ms = 0.0

    def record_refusal(self, now_ms: float) -> None:
        """Count a request that was turned away."""
        self._fade(now_ms)
        self._refused += 1.0

    def record_ended(self, count: int, now_ms: float) -> None:
        """Count requests that have ended, in whatever way.

        Only what follows a refusal matters: before one, nothing is kept.
        """
        if self._refused:
            self._fade(now_ms)
            self._ended += count

    def share_at(self, now_ms: float) -> float:
        """Return the share that is turned away, from 0 to 1."""
        if not self._refused:
            return 0.0
        self._fade(now_ms)
        return self._refused / (max(self._refused, self._ended) + PRIOR)

    def _fade(self, now_ms: float) -> None:
        kept = 0.5 ** ((now_ms - self._at_ms) / HALF_LIFE_MS)
        self._at_ms = now_ms
        self._ended *= kept
        self._refused *= kept
        if self._refused < 0.01:
            self._refused = self._ended = 0.0
