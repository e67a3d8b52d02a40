"""What a service's answers usually take, and how much one latency speaks for a slow endpoint.

Layer: coordination.  The logarithm of the latency is taken as normal.  Each answer, and each
request that is still in flight, gives the log-likelihood ratio of "this endpoint is slow" against
"it is as usual"; the sum over an endpoint's recent requests tells a slow-down within a few of them.
One request alone says at most `MOST_EVIDENCE`, so a single long one condemns no endpoint.
"""

import math

__all__ = ["LatencyModel"]

SLOW_FACTOR = 4.0
RATE = 0.003
FIRST_RATE = 0.1
OUTLIER_SIGMAS = 3.0
CAUTION = 1.1
MOST_EVIDENCE = 4.0
MIN_SIGMA = 0.25
MAX_SIGMA = 1.2
RELEARN_FROM = 10
START_MEAN_MS = 20.0
START_SIGMA = 0.8
TINY = 1e-12


class LatencyModel:
    """A running estimate of a service's latency; one outlier can't move it far."""

    def __init__(self) -> None:
        self._mu = math.log(START_MEAN_MS) - START_SIGMA**2 / 2
        self._variance = START_SIGMA**2
        self._count = 0
        self.mean_ms = START_MEAN_MS
        self._refresh()

    @property
    def slow_mean_ms(self) -> float:
        """The mean at an endpoint that is taken for slow."""
        return self.mean_ms * SLOW_FACTOR

    def observe(self, latency_ms: float) -> None:
        """Take the latency of an answer that was no error."""
        self._count += 1
        rate = max(RATE, min(FIRST_RATE, 1 / self._count))
        x = math.log(max(latency_ms, 0.01)) - self._mu
        limit = OUTLIER_SIGMAS * self._sigma
        x = max(-limit, min(limit, x))
        self._mu += rate * x
        self._variance += rate * (x * x - self._variance)
        self._refresh()

    def relearn(self) -> None:
        """Follow the next answers quickly: all endpoints differ from what was usual."""
        self._count = min(self._count, RELEARN_FROM)

    def answer_evidence(self, latency_ms: float) -> float:
        """Return the evidence of slowness that an answer gives; below 0 it speaks against it."""
        z = (math.log(max(latency_ms, 0.01)) - self._mu) / self._sigma
        return min(MOST_EVIDENCE, self._shift * z - self._shift**2 / 2)

    def age_evidence(self, age_ms: float) -> float:
        """Return the evidence of slowness of a request that has been in flight for this long."""
        if age_ms < self.mean_ms:
            return 0.0
        z = (math.log(age_ms) - self._mu) / self._sigma
        usual = max(TINY, math.erfc(z / math.sqrt(2)))
        slow = max(TINY, math.erfc((z - self._shift) / math.sqrt(2)))
        return min(MOST_EVIDENCE, math.log(slow / usual))

    def _refresh(self) -> None:
        sigma = max(MIN_SIGMA, min(MAX_SIGMA, math.sqrt(self._variance)))
        self._sigma = sigma * CAUTION
        self._shift = math.log(SLOW_FACTOR) / self._sigma
        self.mean_ms = math.exp(self._mu + sigma**2 / 2)
