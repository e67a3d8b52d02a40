"""Declares all metrics of a daemon in one place, with help texts and units, and renders them.

Layer: state.  The modules of a daemon keep plain counts.  A `MetricsPage` collects them from its
sources only when it renders the page and passes them to the metrics library then, because calling
that library for each request would cost more than the request's own bookkeeping.

>>> page = MetricsPage()
>>> page.add_source(lambda: [Sample(Metric.MEMBERS, 3)])
>>> b"cloverhook_members 3" in page.render("text/plain")[0]
True
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as HistogramValue

from cloverhook.request_stats import HistogramCounts

__all__ = ["Metric", "MetricKind", "MetricSpec", "MetricsPage", "Sample", "Source"]

SERIES_LIMIT = 2_000


class MetricKind(Enum):
    """The kinds of metrics that a daemon has."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


COLLECTORS = {
    MetricKind.COUNTER: Counter,
    MetricKind.GAUGE: Gauge,
    MetricKind.HISTOGRAM: Histogram,
}
COUNTER, GAUGE, HISTOGRAM = MetricKind


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """A metric: its name, kind, help text, unit and the names of its labels."""

    name: str
    kind: MetricKind
    help: str
    unit: str
    labels: tuple[str, ...] = ()


class Metric(Enum):
    """The closed list of metrics."""

    REQUESTS = MetricSpec(
        "cloverhook_requests_total",
        COUNTER,
        "Requests that have ended, by outcome and, where there is one, error kind.",
        "requests",
        ("brand", "service", "outcome", "kind"),
    )
    LATENCY = MetricSpec(
        "cloverhook_request_latency_ms",
        HISTOGRAM,
        "Time from a request's arrival to the end of its answer.",
        "ms",
        ("brand",),
    )
    ADDED_LATENCY = MetricSpec(
        "cloverhook_request_added_ms",
        HISTOGRAM,
        "The part of a request's latency that was not spent in its attempts.",
        "ms",
        ("brand",),
    )
    IN_FLIGHT = MetricSpec(
        "cloverhook_requests_in_flight", GAUGE, "Requests that have not ended.", "requests"
    )
    WAITING = MetricSpec(
        "cloverhook_requests_waiting", GAUGE, "Requests that wait for an endpoint.", "requests"
    )
    SHED_REQUESTS = MetricSpec(
        "cloverhook_requests_shed_total",
        COUNTER,
        "Requests refused because the service was overloaded.",
        "requests",
    )
    RETRIES = MetricSpec(
        "cloverhook_retries_total", COUNTER, "Attempts beyond a request's first one.", "attempts"
    )
    PASSED_ON = MetricSpec(
        "cloverhook_passed_on_total",
        COUNTER,
        "Requests sent to another daemon, because this one reached no endpoint.",
        "attempts",
    )
    PROBES = MetricSpec(
        "cloverhook_probes_total", COUNTER, "Probes of endpoints.", "probes", ("service",)
    )
    PROBE_TIME = MetricSpec(
        "cloverhook_measuring_ms_total",
        COUNTER,
        "Time that probes took, which the measuring budget bounds.",
        "ms",
        ("service",),
    )
    PROBE_BUDGET = MetricSpec(
        "cloverhook_measuring_budget_ms_per_s",
        GAUGE,
        "The measuring budget in force, all VMs together.",
        "ms/s",
        ("service",),
    )
    REPORTS = MetricSpec(
        "cloverhook_endpoint_reports_total",
        COUNTER,
        "Answers in which an endpoint reports that it is draining or wants no requests for a time,"
        " or in which such a report is invalid.",
        "answers",
        ("service", "report"),
    )
    PEER_MESSAGES = MetricSpec(
        "cloverhook_peer_messages_total",
        COUNTER,
        "Messages between daemons.",
        "messages",
        ("direction",),
    )
    PEER_BYTES = MetricSpec(
        "cloverhook_peer_bytes_total",
        COUNTER,
        "Bytes of messages between daemons.",
        "bytes",
        ("direction",),
    )
    LINKS = MetricSpec("cloverhook_peer_links", GAUGE, "Open links to other daemons.", "links")
    DROPPED_MESSAGES = MetricSpec(
        "cloverhook_peer_messages_dropped_total",
        COUNTER,
        "Messages replaced by newer ones, or dropped because a link's queue was full.",
        "messages",
    )
    PAUSES = MetricSpec(
        "cloverhook_pauses_total", COUNTER, "Detected pauses of this process.", "pauses"
    )
    AUTHENTICATION_FAILURES = MetricSpec(
        "cloverhook_refused_strangers_total",
        COUNTER,
        "Links rejected because the peer did not prove that it holds the shared key.",
        "links",
    )
    REJECTED_OPERATOR_CALLS = MetricSpec(
        "cloverhook_refused_operators_total",
        COUNTER,
        "Calls to the operators' listener rejected for a wrong or missing token.",
        "calls",
    )
    LOG_AGE = MetricSpec(
        "cloverhook_log_age_ms", GAUGE, "Time since the platform's log last answered.", "ms"
    )
    CONFIG_AGE = MetricSpec(
        "cloverhook_config_age_ms",
        GAUGE,
        "Time since this daemon is known to have had every record of the platform's log.",
        "ms",
    )
    OFFSET = MetricSpec(
        "cloverhook_config_offset", GAUGE, "The offset of the next record to read.", "records"
    )
    MEMBERS = MetricSpec("cloverhook_members", GAUGE, "Daemons that serve.", "daemons")
    DRAINING = MetricSpec("cloverhook_leaving", GAUGE, "1 during a planned stop, else 0.", "flag")
    LOOP_LAG = MetricSpec(
        "cloverhook_loop_lag_ms", HISTOGRAM, "How late the event loop's timers are.", "ms"
    )
    EVENTS_DROPPED = MetricSpec(
        "cloverhook_events_dropped_total",
        COUNTER,
        "Events of the time line discarded to make room for newer ones.",
        "events",
    )
    EVENTS_SKIPPED = MetricSpec(
        "cloverhook_events_skipped_total",
        COUNTER,
        "Events of ordinary requests outside the sample.",
        "events",
    )
    SERIES_DROPPED = MetricSpec(
        "cloverhook_series_dropped",
        GAUGE,
        "Series omitted from this output because their metric has too many.",
        "series",
    )

    @property
    def spec(self) -> MetricSpec:
        """The metric's specification."""
        return self.value


@dataclass(frozen=True, slots=True)
class Sample:
    """The current value of a series; `labels` are in the order of the metric's label names."""

    metric: Metric
    value: float | HistogramCounts
    labels: tuple[str, ...] = ()


Source = Callable[[], Iterable[Sample]]


class MetricsPage:
    """The page at /metrics.  It has at most `series_limit` series of each metric."""

    def __init__(self, series_limit: int = SERIES_LIMIT) -> None:
        self._series_limit = series_limit
        self._sources: list[Source] = []

    def add_source(self, source: Source) -> None:
        """Add a function that returns samples; it is called for each rendering of the page."""
        self._sources.append(source)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the page and its HTTP headers, in the best format that `accept` allows."""
        registry = Registry()
        collectors = {metric: _collector(metric.spec, registry) for metric in Metric}
        dropped = 0
        for source in self._sources:
            for sample in source():
                collector = collectors[sample.metric]
                if len(collector.values) >= self._series_limit:
                    dropped += 1
                    continue
                collector.set_value(_labels(sample), _value(sample.value))
        collectors[Metric.SERIES_DROPPED].set_value({}, dropped)
        return render(registry, [accept])


def _collector(spec: MetricSpec, registry: Registry) -> Counter | Gauge | Histogram:
    return COLLECTORS[spec.kind](spec.name, f"{spec.help} Unit: {spec.unit}.", registry=registry)


def _labels(sample: Sample) -> dict[str, str]:
    names = sample.metric.spec.labels
    return {name: _escaped(value) for name, value in zip(names, sample.labels, strict=True)}


def _escaped(value: str) -> str:
    """Escape a label's value, which the library writes without escaping it."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _value(value: float | HistogramCounts) -> float | HistogramValue:
    if not isinstance(value, HistogramCounts):
        return value
    shown = HistogramValue(*value.bounds)
    cumulative = 0
    for bound, count in zip(shown.buckets, value.counts, strict=True):
        cumulative += count
        shown.buckets[bound] = cumulative
    shown.observations = cumulative
    shown.sum = value.total
    return shown
