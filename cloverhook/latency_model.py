"""A model of a service's latency, which rates single latencies as evidence of a slow endpoint.

Layer: coordination.  The logarithm of the latency is assumed to be normally distributed.  Each
answer, and each request that is still in flight, yields the log-likelihood ratio of "this endpoint
is slow" to "this endpoint is as fast as usual".  The sum over an endpoint's recent requests detects
a slow-down within a few of them.  The evidence of one request is limited to `MAX_EVIDENCE`, so a
single slow request is not enough to put an endpoint on probation.
"""

import math

__all__ = ["LatencyModel"]

SLOW_FACTOR = 4.0
SMOOTHING = 0.003
INITIAL_SMOOTHING = 0.1
OUTLIER_SIGMAS = 3.0
SIGMA_MARGIN = 1.1
"""Widens the estimated spread, which makes the evidence more cautious."""
MAX_EVIDENCE = 4.0
MIN_SIGMA = 0.25
MAX_SIGMA = 1.2
RELEARN_COUNT = 10
INITIAL_MEAN_MS = 20.0
INITIAL_SIGMA = 0.8
MIN_TAIL = 1e-12


class LatencyModel:
    """A running estimate of a service's latency; the influence of an outlier is limited."""

    def __init__(self) -> None:
        self._mu = math.log(INITIAL_MEAN_MS) - INITIAL_SIGMA**2 / 2
        self._variance = INITIAL_SIGMA**2
        self._count = 0
        self.mean_ms = INITIAL_MEAN_MS
        self._update_derived()

    @property
    def slow_mean_ms(self) -> float:
        """The mean latency of an endpoint that counts as slow."""
        return self.mean_ms * SLOW_FACTOR

    def observe(self, latency_ms: float) -> None:
        """Update the model with the latency of an answer that was not an error."""
        self._count += 1
        smoothing = max(SMOOTHING, min(INITIAL_SMOOTHING, 1 / self._count))
        deviation = math.log(max(latency_ms, 0.01)) - self._mu
        limit = OUTLIER_SIGMAS * self._sigma
        deviation = max(-limit, min(limit, deviation))
        self._mu += smoothing * deviation
        self._variance += smoothing * (deviation * deviation - self._variance)
        self._update_derived()

    def relearn(self) -> None:
        """Adapt quickly to the next answers, because all endpoints differ from the estimate."""
        self._count = min(self._count, RELEARN_COUNT)

    def answer_evidence(self, latency_ms: float) -> float:
        """Return the evidence of slowness from an answer; negative for a fast answer."""
        z = (math.log(max(latency_ms, 0.01)) - self._mu) / self._sigma
        return min(MAX_EVIDENCE, self._shift * z - self._shift**2 / 2)

    def age_evidence(self, age_ms: float) -> float:
        """Return the evidence of slowness from a request that has been in flight for `age_ms`."""
        if age_ms < self.mean_ms:
            return 0.0
        z = (math.log(age_ms) - self._mu) / self._sigma
        usual_tail = max(MIN_TAIL, math.erfc(z / math.sqrt(2)))
        slow_tail = max(MIN_TAIL, math.erfc((z - self._shift) / math.sqrt(2)))
        return min(MAX_EVIDENCE, math.log(slow_tail / usual_tail))

    def _update_derived(self) -> None:
        sigma = max(MIN_SIGMA, min(MAX_SIGMA, math.sqrt(self._variance)))
        self._sigma = sigma * SIGMA_MARGIN
        self._shift = math.log(SLOW_FACTOR) / self._sigma
        self.mean_ms = math.exp(self._mu + sigma**2 / 2)
