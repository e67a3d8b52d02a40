"""Observability of a daemon: its part of the time line, its counts and its metrics page.

Layer: coordination.  The daemon reports each fact to its `Observer` once.  The observer keeps the
events and counts, and collects the samples of the other modules when the metrics page is requested.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cloverhook.clock import monotonic_ms, wall_ms
from cloverhook.dispatch import Target
from cloverhook.endpoint_reports import EndpointReport
from cloverhook.endpoint_stats import EndpointState
from cloverhook.errors import ErrorKind
from cloverhook.fold import FoldResult, Verdict
from cloverhook.member_watch import MemberWatch
from cloverhook.members import Member
from cloverhook.metrics import Metric, MetricsPage, Sample, Source
from cloverhook.records import Change
from cloverhook.request_stats import HistogramCounts, RequestStats
from cloverhook.settings import DaemonSettings
from cloverhook.timeline import EventName, EventPage, TimeLine

__all__ = ["FROM_LOG", "Observer"]

LOOP_LAG_BOUNDS_MS = (0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 1_000.0)
FROM_LOG = "log"


@dataclass(slots=True)
class ProbeCounts:
    """The probes that this daemon made of one service's endpoints."""

    count: int = 0
    spent_ms: float = 0.0
    budget_ms_per_s: float = 0.0


class Observer:
    """The events and counts of one daemon.

    `records_source` is the source of the records that are being folded: the log or a peer's VM.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._members = MemberWatch()
        self._members_version = -1
        self._log_answered_ms = monotonic_ms()
        self._log_unavailable = False
        self._loop_lag_ms = HistogramCounts(LOOP_LAG_BOUNDS_MS)
        self._rejected_operator_calls = 0
        self._endpoint_states: dict[str, EndpointState] = {}
        self._reports: Counter[tuple[str, str]] = Counter()
        self._probes: dict[str, ProbeCounts] = {}
        self.records_source = FROM_LOG
        self.requests = RequestStats()
        self.time_line = TimeLine(
            settings.vm, settings.time_line_events, settings.time_line_sample_ratio
        )
        self.metrics = MetricsPage()
        self.metrics.add_source(self._samples)

    @property
    def log_age_ms(self) -> float:
        """The time since the platform's log last answered."""
        return monotonic_ms() - self._log_answered_ms

    def note(self, name: EventName, detail: str = "", change_id: str = "") -> None:
        """Add an event that concerns no request to the time line."""
        self.time_line.add(wall_ms(), name, change_id=change_id, detail=detail)

    def note_proxied(self, request_id: str, address: str, detail: str) -> None:
        """Add to the time line that a request is sent to another daemon at an address."""
        name = EventName.ATTEMPT_STARTED
        self.time_line.add(wall_ms(), name, request_id=request_id, address=address, detail=detail)

    def record_change(self, change: Change, result: FoldResult) -> None:
        """Record a change of the configuration and whether it was accepted."""
        accepted = result.verdict is Verdict.ACCEPTED
        name = EventName.CHANGE_ACCEPTED if accepted else EventName.CHANGE_REJECTED
        detail = f"{change.brand}: {result.verdict.value} {result.reason}".strip()
        self.note(EventName.CHANGE_SEEN, f"from {self.records_source}", change.change_id)
        self.note(name, detail, change.change_id)

    def record_log_read(self, answered: bool) -> None:
        """Record whether the platform's log answered, with an event when that changes."""
        if answered:
            self._log_answered_ms = monotonic_ms()
        if answered == self._log_unavailable:
            self._log_unavailable = not answered
            self.note(EventName.LOG_BACK if answered else EventName.LOG_SILENT)

    def record_members(self, version: int, members: Iterable[Member]) -> None:
        """Record which daemons joined, left, are suspected or lost, if `version` is new."""
        if version == self._members_version:
            return
        self._members_version = version
        for change in self._members.update(members):
            self.note(change.name, change.vm)

    def record_endpoint_state(self, address: str, state: EndpointState) -> None:
        """Record how this VM sees an endpoint, if that has changed."""
        if self._endpoint_states.get(address, EndpointState.WELL) is not state:
            self._endpoint_states[address] = state
            self.time_line.add(
                wall_ms(), EventName.ENDPOINT_STATE, address=address, detail=state.value
            )

    def record_report(self, target: Target, report: EndpointReport) -> None:
        """Count what an endpoint has reported about itself."""
        self._reports[target.key, report.value] += 1

    def record_probe(self, target: Target, latency_ms: float) -> None:
        """Count a completed probe and its latency."""
        probes = self._probes.setdefault(target.key, ProbeCounts())
        probes.count += 1
        probes.spent_ms += latency_ms
        probes.budget_ms_per_s = target.policy.measuring_ms_per_s

    def record_loop_lag(self, due_ms: float) -> None:
        """Record how late a timer ran that was due at `due_ms` of the monotonic clock."""
        self._loop_lag_ms.add(monotonic_ms() - due_ms)

    def record_rejected_operator(self) -> None:
        """Count a call to the operators' listener without a valid token."""
        self._rejected_operator_calls += 1

    def add_metrics_source(self, source: Source) -> None:
        """Add the samples of another module to the metrics page."""
        self.metrics.add_source(source)

    def page(
        self, after: int, limit: int, request_id: str, address: str, change_id: str
    ) -> EventPage:
        """Return a page of the daemon's part of the time line."""
        return self.time_line.page(after, limit, request_id, address, change_id)

    def _samples(self) -> list[Sample]:
        return [
            *_request_samples(self.requests),
            *_probe_samples(self._probes),
            *(Sample(Metric.REPORTS, count, labels) for labels, count in self._reports.items()),
            Sample(Metric.REJECTED_OPERATOR_CALLS, self._rejected_operator_calls),
            Sample(Metric.LOG_AGE, self.log_age_ms),
            Sample(Metric.LOOP_LAG, self._loop_lag_ms),
            Sample(Metric.EVENTS_DROPPED, self.time_line.dropped),
            Sample(Metric.EVENTS_SKIPPED, self.time_line.skipped),
        ]


def _probe_samples(probes: Mapping[str, ProbeCounts]) -> list[Sample]:
    samples: list[Sample] = []
    for key, counts in probes.items():
        samples.append(Sample(Metric.PROBES, counts.count, (key,)))
        samples.append(Sample(Metric.PROBE_TIME, counts.spent_ms, (key,)))
        samples.append(Sample(Metric.PROBE_BUDGET, counts.budget_ms_per_s, (key,)))
    return samples


def _request_samples(stats: RequestStats) -> list[Sample]:
    samples = [
        Sample(Metric.IN_FLIGHT, stats.in_flight),
        Sample(Metric.RETRIES, stats.retries),
    ]
    shed = 0
    for key, count in stats.counts().items():
        labels = (key.brand, key.service, key.outcome, key.kind)
        samples.append(Sample(Metric.REQUESTS, count, labels))
        if key.kind == ErrorKind.OVERLOADED.value:
            shed += count
    samples.append(Sample(Metric.SHED_REQUESTS, shed))
    for brand, counts in stats.latency_ms.items():
        samples.append(Sample(Metric.LATENCY, counts, (brand,)))
    for brand, counts in stats.added_ms.items():
        samples.append(Sample(Metric.ADDED_LATENCY, counts, (brand,)))
    return samples
