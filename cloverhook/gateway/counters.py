"""Counters and latency histograms, as plain numbers, and the page that shows them.

Layer: state.  The page is in the Prometheus text format.  The library that the house names for it
keeps a label dictionary for each count, which costs memory on every VM; here a count is a tuple
key in one dictionary.
"""

from bisect import bisect_left

__all__ = ["METRICS", "PREFIX", "Counters"]

METRICS = {
    "answers": "requests that have ended, by service and cause",
    "latency": "from a request's arrival to its answer, by route",
    "repeats": "requests sent once more, by service",
    "crashes": "requests under which a backend server has ended, by service",
    "rate_limits": "endpoints that name a limit of requests a second",
    "rate_limits_named": "limits of endpoints that were new or other than before",
    "requests_suspected": "keys of requests under which endpoints have crashed and none answered",
    "requests_quarantined": "keys of requests that nobody sends for a time, as endpoints crash",
    "repeats_denied": "repeats for which no allowance was left, by service",
    "store_calls": "calls to the store, by feed and whether they were answered",
    "config_version": "the version of the configuration in force",
    "registry_version": "the offset of the newest record of a backend server that is known",
    "registry_digest": "equal on gateways that use the same backend servers",
    "fetch": "time to fetch a state from a peer",
    "states_sent": "states sent to peers that asked",
    "store_era": "how often the store has come back from an older copy, by what is known",
    "backend_servers": "backend servers that are known",
    "data_centers_evacuated": "data centres whose endpoints get nothing, as an operator wants",
    "members_alive": "other gateways heard a moment ago",
    "cut_off": "1 while this gateway hears hardly any of its neighbours",
    "reading_store": "1 while this gateway reads the store for the others",
    "waiting": "requests that wait for room at a backend server",
    "probes": "probes sent",
    "connects": "connections made to backend servers",
    "log_lines_dropped": "log lines over their budget, or that nobody read",
}

BUCKETS_MS = (5, 10, 25, 50, 100, 150, 200, 300, 400, 600, 800, 1_000, 1_500, 2_000, 4_000)
PREFIX = "cloverhook_gateway_"


class Counters:
    """Counts by name and labels."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._histograms: dict[tuple[str, tuple[tuple[str, str], ...]], list[float]] = {}

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Count something."""
        key = (name, tuple(labels.items()))
        self._counts[key] = self._counts.get(key, 0) + amount

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._counts[name, tuple(labels.items())] = value

    def observe(self, name: str, value_ms: float, **labels: str) -> None:
        """Count a latency."""
        key = (name, tuple(labels.items()))
        row = self._histograms.get(key)
        if row is None:
            row = self._histograms[key] = [0.0] * (len(BUCKETS_MS) + 2)
        row[bisect_left(BUCKETS_MS, value_ms)] += 1
        row[-1] += value_ms

    def to_prometheus_text(self) -> bytes:
        """Return all counts as text."""
        lines = [
            f"{PREFIX}{name}{_labels(labels)} {value:g}"
            for (name, labels), value in sorted(self._counts.items())
        ]
        for (name, labels), row in sorted(self._histograms.items()):
            total = 0.0
            for bound, count in zip((*BUCKETS_MS, "+Inf"), row[:-1], strict=True):
                total += count
                bucket = _labels((*labels, ("le", str(bound))))
                lines.append(f"{PREFIX}{name}_ms_bucket{bucket} {total:g}")
            lines.append(f"{PREFIX}{name}_ms_count{_labels(labels)} {total:g}")
            lines.append(f"{PREFIX}{name}_ms_sum{_labels(labels)} {row[-1]:g}")
        return ("\n".join(lines) + "\n").encode()


def _labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
