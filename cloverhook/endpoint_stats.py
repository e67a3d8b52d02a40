"""What one VM knows of one endpoint: its requests there, evidence of trouble, and its limit.

Layer: coordination.  Evidence is a sum of log-likelihood ratios that never falls below 0.  Past
`SLOW_AT` or `FAILING_AT` the endpoint is on probation: it gets single trial requests, spaced
further apart each time, and each good answer lets one more in until the limit is back at its slots.
`SLOW_AT` is high since every answer is a test: at 5 a healthy endpoint was suspected several times
a second, at 10 about once in a minute and a half.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from cloverhook.fleet import Endpoint
from cloverhook.latency_model import LatencyModel
from cloverhook.routing_events import AttemptResult

__all__ = ["EndpointStats", "ProbationReason"]

SLOW_AT = 10.0
GOOD_EVIDENCE = -0.5
FAILING_AT = 5.0
FAILING_CLEAR_AT = 2.0
FAILURE_EVIDENCE = 2.5
SUCCESS_EVIDENCE = -0.5
FIRST_TRIAL_MS = 30.0
MAX_TRIAL_MS = 120.0
REPORT_LIFETIME_MS = 100.0


class ProbationReason(IntEnum):
    """Why an endpoint is on probation."""

    NONE = 0
    SLOW = 1
    FAILING = 2
    UNREACHABLE = 3


@dataclass(slots=True)
class EndpointStats:
    """One endpoint as this VM sees it.

    `started_ms` holds this VM's own requests in flight there, `lent` counts slots granted to other
    VMs, and `limit` is how many may be in use at once.  `refused` says that it has refused a
    request since its health was last asked for, at `health_probed_ms`.
    """

    endpoint: Endpoint
    limit: int
    started_ms: dict[str, float] = field(default_factory=dict)
    lent: int = 0
    probation_reason: ProbationReason = ProbationReason.NONE
    slowness: float = 0.0
    failures: float = 0.0
    next_trial_ms: float = 0.0
    trial_ms: float = FIRST_TRIAL_MS
    reported_ms: float = -1e12
    external_in_flight: int = 0
    last_evidence_ms: float = -1e12
    removed: bool = False
    refused: bool = False
    draining: bool = False
    health_probed_ms: float = -1e12

    @classmethod
    def from_endpoint(cls, endpoint: Endpoint, proven: bool) -> "EndpointStats":
        """Return the state of a new endpoint; one that is not proven yet starts with one slot."""
        return cls(endpoint, endpoint.slots if proven else 1)

    @property
    def used(self) -> int:
        """The slots in use as far as this VM knows."""
        return len(self.started_ms) + self.lent

    @property
    def takes_work(self) -> bool:
        """Whether new requests may go there at all."""
        return self.configured and not self.draining

    @property
    def configured(self) -> bool:
        """Whether the configuration gives it work."""
        return not self.removed and not self.endpoint.leaving

    def free_slots(self, now_ms: float) -> int:
        """Return how many more requests may go there now."""
        limit = self.limit
        if self.slowness > 0 and now_ms - self.reported_ms < REPORT_LIFETIME_MS:
            limit = max(1, limit - self.external_in_flight)
        return limit - self.used

    def trial_due(self, now_ms: float) -> bool:
        """Return whether an endpoint on probation may get a trial request."""
        return bool(self.probation_reason) and self.takes_work and now_ms >= self.next_trial_ms

    def record_start(self, request_id: str, now_ms: float) -> None:
        """Count a request that starts; on probation it is a trial."""
        self.started_ms[request_id] = now_ms
        if self.probation_reason:
            self.next_trial_ms = now_ms + self.trial_ms
            self.trial_ms = min(MAX_TRIAL_MS, self.trial_ms * 2)

    def looks_slow(self, model: LatencyModel, now_ms: float) -> bool:
        """Return whether answers and the age of requests in flight say that it has slowed down."""
        evidence = self.slowness
        for started_ms in self.started_ms.values():
            evidence += model.age_evidence(now_ms - started_ms)
        return evidence >= SLOW_AT

    def record_end(
        self, request_id: str, result: AttemptResult, latency_ms: float, model: LatencyModel
    ) -> None:
        """Take the end of a request.  Errors give no latency, so fast ones attract nothing."""
        self.started_ms.pop(request_id, None)
        self.refused |= result is AttemptResult.REFUSED
        if result is AttemptResult.ANSWERED:
            evidence = model.answer_evidence(latency_ms)
            self._add_slowness(evidence)
            if evidence < GOOD_EVIDENCE:
                self.slowness = 0.0
            self._add_failures(SUCCESS_EVIDENCE if not self.probation_reason else -FAILURE_EVIDENCE)
        elif result is AttemptResult.TIMED_OUT:
            self._add_slowness(max(0.0, model.age_evidence(latency_ms)))
        elif result is AttemptResult.NOT_SENT:
            self._add_failures(FAILING_AT)
        elif result is not AttemptResult.CANCELLED:
            self._add_failures(FAILURE_EVIDENCE)

    def can_end_probation(self) -> bool:
        """Return whether trials have answered well enough to end the probation."""
        return self.slowness < SLOW_AT / 2 and self.failures < FAILING_CLEAR_AT

    def start_probation(self, trouble: ProbationReason, now_ms: float) -> None:
        """Put the endpoint on probation; a slow one keeps its limit for when the line is long."""
        self.probation_reason = trouble
        if trouble == ProbationReason.SLOW:
            self.slowness = SLOW_AT
        else:
            self.limit = 1
        self.trial_ms = FIRST_TRIAL_MS
        self.next_trial_ms = now_ms + self.trial_ms

    def end_probation(self) -> None:
        """End the probation; the limit grows back by one with each good answer."""
        self.probation_reason = ProbationReason.NONE
        self.limit = max(1, min(2, self.endpoint.slots))
        self.trial_ms = FIRST_TRIAL_MS

    def raise_limit(self) -> None:
        """Let one more request in, never more than there are slots."""
        self.limit = min(self.endpoint.slots, self.limit + 1)

    def record_load(self, load: int, now_ms: float) -> None:
        """Take a load that an answer or a probe reports: what is there beside requests known of."""
        self.external_in_flight = max(0, min(load - self.used, self.endpoint.slots - 1))
        self.reported_ms = now_ms

    def record_peer_evidence(self, suspicion: float) -> None:
        """Take another VM's evidence; it alone can't put the endpoint on probation."""
        self.slowness = max(self.slowness, min(suspicion, SLOW_AT - 1))

    def _add_slowness(self, evidence: float) -> None:
        self.slowness = max(0.0, min(SLOW_AT, self.slowness + evidence))

    def _add_failures(self, evidence: float) -> None:
        self.failures = max(0.0, min(FAILING_AT, self.failures + evidence))
