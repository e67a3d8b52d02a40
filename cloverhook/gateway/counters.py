"""Counters, gauges and latency histograms, and their output in the Prometheus text format.

Layer: state.  The metrics library that is otherwise standard here keeps a dictionary of labels for
each count, which costs memory on every VM.  Here, a count is an entry of a single dictionary with a
tuple as its key.
"""

from bisect import bisect_left

__all__ = ["METRICS", "PREFIX", "Counters"]

METRICS = {
    "answers": "requests that have ended, by service and cause",
    "latency": "time from the arrival of a request to its response, by route",
    "repeats": "retries charged to the retry budget, by service",
    "crashes": "attempts during which a backend server crashed, by service",
    "rate_limits": "endpoints that state a limit of requests a second",
    "rate_limits_named": "stated rate limits that were new or had changed",
    "drain_notices": "endpoints that say in their responses that they are about to stop",
    "drain_notices_received": "such notices that were new, by source",
    "backoffs": "endpoints that have asked this gateway for a time without requests",
    "backoffs_requested": "rejected requests with such a time",
    "invalid_headers": "headers of endpoints that were ignored because of an invalid value",
    "broken_off": "requests in progress that the end of a planned stop broke off, by service",
    "unmatched_responses": "responses that don't name the request for which they were read, by "
    "exchange and by whether they were taken for its response",
    "requests_suspected": "keys of requests that crashed endpoints and were not answered since",
    "requests_quarantined": "keys of requests not sent for a time, because endpoints crash on them",
    "repeats_denied": "retries not made because the retry budget was used up, by service",
    "store_calls": "calls to the store, by feed and by whether a response came",
    "refreshes": "calls to the store for a state that was not confirmed in time, by feed and by "
    "whether a response came",
    "confirmation_delay": "time for which messages on the state of the store were under way, at "
    "most",
    "clock_round_trip": "time from asking another gateway for the time on its clock to its answer",
    "config_confirmed_age_ms": "time in ms since the configuration was known to be the newest",
    "registry_confirmed_age_ms": "time in ms since the backend servers were known to be the newest",
    "config_version": "version of the configuration in force",
    "config_items_rejected": "routes, services and accounts that could not be understood",
    "accounts": "client accounts of the configuration in force",
    "account_requests": "requests by client account and by whether they were admitted; accounts "
    "after the first 100 count as `other`",
    "account_answers": "requests that have ended, by client account and result; without those over "
    "the allotment; 100 accounts by name, the others as `other`",
    "account_limit_per_s": "the rate of an account's allotment, where the configuration states one",
    "registry_version": "position in the store's log of the last known change of backend servers",
    "registry_digest": "hash of the backend servers in use; equal where gateways use the same",
    "fetch": "time to fetch a state from a peer, by part of the state",
    "states_sent": "states sent to peers that requested them",
    "store_era": "how often the store was restored from an older copy, as far as known",
    "backend_servers": "known backend servers",
    "data_centers_evacuated": "data centres whose endpoints get no requests, by operator order",
    "members_alive": "other gateways with a recent heartbeat",
    "cut_off": "1 while this gateway receives no messages or most of its neighbours are silent",
    "serving": "1 while callers are sent to this gateway",
    "vm_share": "part of its large data centre's new caller connections that this gateway is meant "
    "to get",
    "reading_store": "1 while this gateway reads the store for the others and gets responses",
    "links_down": "endpoints that this gateway does not reach",
    "services_out_of_reach": "services of which this gateway reaches no endpoint, or no endpoint "
    "that certain routes may use",
    "proxied": "requests passed on to another gateway that reaches their service, by service",
    "proxied_failed": "such requests that the other gateway did not answer or rejected",
    "proxying": "requests in progress that other gateways have passed on to this one",
    "body_bytes": "memory reserved for the bodies of requests",
    "bodies_waiting": "bodies of requests that wait for memory",
    "bodies_refused": "requests rejected because there was no memory for their bodies",
    "waiting": "requests that wait for capacity at a backend server",
    "queue_wait": "time that requests of routes with long timeouts spent in the queue, by service",
    "queue_rejected": "such requests that were rejected because their turn would have come after "
    "their deadline, by service",
    "probes": "probes sent",
    "connects": "attempts to connect to backend servers, without those of probes",
    "connections": "open connections to backend servers, with those of probes",
    "link_checks": "checks of links to backend servers, by whether the link worked",
    "messages_sent": "datagrams sent to other gateways, by type of message",
    "message_bytes_sent": "bytes of these datagrams, by type of message",
    "processor_ms": "processor time in ms that the process has used",
    "tick_delay": "how much later than planned the periodic work began, which shows how long "
    "events wait for the event loop",
    "log_lines_dropped": "log lines dropped because over budget or because the output was not read",
}

BUCKETS_MS = (5, 10, 25, 50, 100, 150, 200, 300, 400, 600, 800, 1_000, 1_500, 2_000, 4_000)
PREFIX = "cloverhook_gateway_"


class Counters:
    """Counters, gauges and latency histograms, each by its name and its labels."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._histograms: dict[tuple[str, tuple[tuple[str, str], ...]], list[float]] = {}

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to a counter."""
        key = (name, tuple(labels.items()))
        self._counts[key] = self._counts.get(key, 0) + amount

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge to a value."""
        self._counts[name, tuple(labels.items())] = value

    def remove(self, name: str) -> None:
        """Remove a gauge with all its labels."""
        for key in [key for key in self._counts if key[0] == name]:
            del self._counts[key]

    def observe(self, name: str, value_ms: float, **labels: str) -> None:
        """Add a latency to a histogram."""
        key = (name, tuple(labels.items()))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = [0.0] * (len(BUCKETS_MS) + 2)
        histogram[bisect_left(BUCKETS_MS, value_ms)] += 1
        histogram[-1] += value_ms

    def to_prometheus_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f"{PREFIX}{name}{_labels(labels)} {value:g}"
            for (name, labels), value in sorted(self._counts.items())
        ]
        for (name, labels), histogram in sorted(self._histograms.items()):
            total = 0.0
            for bound, count in zip((*BUCKETS_MS, "+Inf"), histogram[:-1], strict=True):
                total += count
                bucket = _labels((*labels, ("le", str(bound))))
                lines.append(f"{PREFIX}{name}_ms_bucket{bucket} {total:g}")
            lines.append(f"{PREFIX}{name}_ms_count{_labels(labels)} {total:g}")
            lines.append(f"{PREFIX}{name}_ms_sum{_labels(labels)} {histogram[-1]:g}")
        return ("\n".join(lines) + "\n").encode()


def _labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escaped(value)}"' for name, value in labels) + "}"


def _escaped(value: str) -> str:
    """Escape a label's value; the names of accounts may contain any character."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
