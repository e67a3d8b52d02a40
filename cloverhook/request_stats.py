"""Counts and latencies of this daemon's requests.

Layer: state.  Counting costs a dictionary look-up; the metrics library reads the counts only when
the operators' listener is asked for metrics.  Requests are counted by brand, service, outcome and
error kind, latencies by brand alone, so that the number of metric series stays bounded.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

__all__ = ["HistogramCounts", "RequestKey", "RequestStats"]

LATENCY_BOUNDS_MS = (1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 5_000.0)
ADDED_BOUNDS_MS = (0.1, 0.2, 0.3, 0.4, 0.56, 0.8, 1.0, 2.0, 5.0, 20.0, 100.0, 1_000.0)


class HistogramCounts:
    """A histogram: counts of values by upper bound; the last count is for values above all bounds.

    `total` is the sum of the values.
    """

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value


@dataclass(frozen=True, slots=True)
class RequestKey:
    """The labels by which requests are counted; `kind` is an error kind's value, or empty."""

    brand: str
    service: str
    outcome: str
    kind: str


@dataclass(slots=True)
class RequestStats:
    """Counts of this daemon's requests.

    `added_ms` holds the part of the latency that is not spent in attempts at backend servers.
    """

    in_flight: int = 0
    retries: int = 0
    answered: dict[tuple[str, str, str, str], int] = field(default_factory=dict)
    latency_ms: dict[str, HistogramCounts] = field(default_factory=dict)
    added_ms: dict[str, HistogramCounts] = field(default_factory=dict)

    def record_end(
        self,
        brand: str,
        service: str,
        outcome: str,
        kind: str,
        latency_ms: float,
        upstream_ms: float,
    ) -> None:
        """Count a request that has ended after `latency_ms`.

        `upstream_ms` is the part of `latency_ms` that its attempts at backend servers took, and 0
        if there was no attempt.
        """
        key = (brand, service, outcome, kind)
        self.answered[key] = self.answered.get(key, 0) + 1
        if brand not in self.latency_ms:
            self.latency_ms[brand] = HistogramCounts(LATENCY_BOUNDS_MS)
            self.added_ms[brand] = HistogramCounts(ADDED_BOUNDS_MS)
        self.latency_ms[brand].add(latency_ms)
        if upstream_ms:
            self.added_ms[brand].add(latency_ms - upstream_ms)

    def counts(self) -> dict[RequestKey, int]:
        """Return the number of requests that have ended, by their labels."""
        return {RequestKey(*key): count for key, count in self.answered.items()}
