"""The share of requests that an endpoint rejected although it had a free slot.

Layer: state.  Such an endpoint looks idle and therefore like the best choice, and each request that
it rejects costs a retry. It still serves some of its requests, so it is neither suspended nor left
unused, but ranked after others according to the share that it accepts. Only requests reveal that
share. Rejected requests of other VMs count here too, because a single VM seldom sends requests to a
given endpoint.

>>> share = RefusalShare()
>>> for at_ms in range(0, 400, 100):
...     share.record_refusal(at_ms)
...     share.record_ended(2, at_ms)
>>> 0.3 < share.share_at(400.0) < 0.5, share.share_at(20_000.0) < 0.01
(True, True)
"""

__all__ = ["RefusalShare"]

HALF_LIFE_MS = 2_000.0
"""An endpoint that no longer rejects requests is used as before after a few of these."""
PRIOR_SERVED = 2.0
"""How many additional requests are assumed to have been served, since a single rejection says
little."""


class RefusalShare:
    """Requests that ended at one endpoint, and those that it rejected; both decay over time."""

    __slots__ = ("_at_ms", "_ended", "_refused")

    def __init__(self) -> None:
        self._refused = self._ended = self._at_ms = 0.0

    def record_refusal(self, now_ms: float) -> None:
        """Record a rejected request."""
        self._decay(now_ms)
        self._refused += 1.0

    def record_ended(self, count: int, now_ms: float) -> None:
        """Record requests that have ended, in whatever way.

        Only requests that end after a rejection matter: nothing is counted before the first one.
        """
        if self._refused:
            self._decay(now_ms)
            self._ended += count

    def share_at(self, now_ms: float) -> float:
        """Return the share of requests rejected, from 0 to 1."""
        if not self._refused:
            return 0.0
        self._decay(now_ms)
        return self._refused / (max(self._refused, self._ended) + PRIOR_SERVED)

    def _decay(self, now_ms: float) -> None:
        factor = 0.5 ** ((now_ms - self._at_ms) / HALF_LIFE_MS)
        self._at_ms = now_ms
        self._ended *= factor
        self._refused *= factor
        if self._refused < 0.01:
            self._refused = self._ended = 0.0
