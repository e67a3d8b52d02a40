"""The state of one endpoint at one VM: its requests there, evidence of trouble, and its limit.

Layer: coordination.  Evidence is a sum of log-likelihood ratios that never falls below 0.  At
`SLOW_AT` or `FAILING_AT` the endpoint is put on probation: it gets single trial requests, at
growing intervals.  After the probation, each successful answer raises the limit of concurrent
requests by one until it is back at the number of slots.  `SLOW_AT` is high because every answer is
a test: with 5, a healthy endpoint was put on probation several times a second, with 10 about once
in a minute and a half.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from cloverhook.fleet import Endpoint
from cloverhook.latency_model import LatencyModel
from cloverhook.routing_events import AttemptResult

__all__ = ["DRAINING_EVIDENCE", "EndpointState", "EndpointStats", "ProbationReason"]

SLOW_AT = 10.0
GOOD_EVIDENCE = -0.5
"""An answer with evidence below this resets the evidence of slowness to 0."""
FAILING_AT = 5.0
FAILING_CLEAR_AT = 2.0
FAILURE_EVIDENCE = 2.5
SUCCESS_EVIDENCE = -0.5
INITIAL_TRIAL_MS = 30.0
MAX_TRIAL_MS = 120.0
DRAIN_REPORT_LIFETIME_MS = 10_000.0
"""Only the owner of an endpoint probes its health.  At other VMs a report that it is draining ends
after this time, and the next answer may repeat it."""
DRAINING_EVIDENCE = 100
"""The evidence with which a VM returns a slot of an endpoint that has reported that it is draining.
It exceeds any evidence of slowness or failures."""
REPORT_LIFETIME_MS = 100.0
"""A reported load older than this is ignored."""


class ProbationReason(IntEnum):
    """Why an endpoint is on probation."""

    NONE = 0
    SLOW = 1
    FAILING = 2
    UNREACHABLE = 3


class EndpointState(Enum):
    """How a VM sees an endpoint; the values are shown on the time line."""

    WELL = "well"
    SLOW = "slow"
    FAILING = "failing"
    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    BACKING_OFF = "backing-off"


STATES_ON_PROBATION = {
    ProbationReason.NONE: EndpointState.WELL,
    ProbationReason.SLOW: EndpointState.SLOW,
    ProbationReason.FAILING: EndpointState.FAILING,
    ProbationReason.UNREACHABLE: EndpointState.UNREACHABLE,
}


@dataclass(slots=True)
class EndpointStats:
    """The state of one endpoint, as far as this VM has observed it.

    `started_ms` holds the start times of this VM's own requests in flight there, `lent` counts the
    slots granted to other VMs, and `limit` is how many slots may be in use at once.  `refused` is
    set if the endpoint has rejected a request since its health was last probed, at
    `health_probed_ms`.  It wants no requests of this VM until `backoff_until_ms`.
    """

    endpoint: Endpoint
    limit: int
    started_ms: dict[str, float] = field(default_factory=dict)
    lent: int = 0
    probation_reason: ProbationReason = ProbationReason.NONE
    slowness: float = 0.0
    failures: float = 0.0
    next_trial_ms: float = 0.0
    trial_ms: float = INITIAL_TRIAL_MS
    reported_ms: float = -1e12
    external_in_flight: int = 0
    last_evidence_ms: float = -1e12
    removed: bool = False
    refused: bool = False
    draining: bool = False
    drain_reported_ms: float = -1e12
    backoff_until_ms: float = -1e12
    health_probed_ms: float = -1e12

    @classmethod
    def from_endpoint(cls, endpoint: Endpoint, proven: bool) -> "EndpointStats":
        """Return the state of a new endpoint; unless it is `proven`, its limit starts at 1."""
        return cls(endpoint, endpoint.slots if proven else 1)

    @property
    def used(self) -> int:
        """The number of slots in use, as far as this VM has observed."""
        return len(self.started_ms) + self.lent

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent there, unless it has asked this VM to back off."""
        return self.configured and not self.draining

    @property
    def configured(self) -> bool:
        """Whether the configuration allows new requests there."""
        return not self.removed and not self.endpoint.leaving

    def accepts(self, now_ms: float) -> bool:
        """Return whether a VM that doesn't own the endpoint may send new requests there."""
        is_draining = self.has_reported_draining(now_ms)
        return self.configured and not is_draining and not self.backs_off(now_ms)

    def has_reported_draining(self, now_ms: float) -> bool:
        """Return whether a recent answer has said that the endpoint is draining."""
        return self.draining and now_ms - self.drain_reported_ms < DRAIN_REPORT_LIFETIME_MS

    def state(self, now_ms: float) -> EndpointState:
        """Return how this VM sees the endpoint; what it says of itself comes first."""
        if self.draining:
            return EndpointState.DRAINING
        if self.backs_off(now_ms):
            return EndpointState.BACKING_OFF
        return STATES_ON_PROBATION[self.probation_reason]

    def backs_off(self, now_ms: float) -> bool:
        """Return whether this VM sends nothing there because the endpoint has asked for that."""
        return now_ms < self.backoff_until_ms

    def free_slots(self, now_ms: float) -> int:
        """Return how many more requests may be sent there now."""
        limit = self.limit
        if self.slowness > 0 and now_ms - self.reported_ms < REPORT_LIFETIME_MS:
            limit = max(1, limit - self.external_in_flight)
        return limit - self.used

    def trial_due(self, now_ms: float) -> bool:
        """Return whether the endpoint is on probation and may get a trial request now."""
        if self.backs_off(now_ms) or not self.takes_work:
            return False
        return bool(self.probation_reason) and now_ms >= self.next_trial_ms

    def record_start(self, request_id: str, now_ms: float) -> None:
        """Record the start of a request; during probation it is a trial."""
        self.started_ms[request_id] = now_ms
        if self.probation_reason:
            self.next_trial_ms = now_ms + self.trial_ms
            self.trial_ms = min(MAX_TRIAL_MS, self.trial_ms * 2)

    def looks_slow(self, model: LatencyModel, now_ms: float) -> bool:
        """Return whether answers and the age of requests in flight prove a slow-down."""
        evidence = self.slowness
        for started_ms in self.started_ms.values():
            evidence += model.age_evidence(now_ms - started_ms)
        return evidence >= SLOW_AT

    def record_rejection(self, request_id: str, until_ms: float) -> None:
        """Record that the endpoint has rejected a request and wants none until a time.

        That is no evidence of a failure, so that the endpoint is used again at once afterwards.
        """
        self.started_ms.pop(request_id, None)
        self.backoff_until_ms = max(self.backoff_until_ms, until_ms)

    def record_end(
        self, request_id: str, result: AttemptResult, latency_ms: float, model: LatencyModel
    ) -> None:
        """Record the end of a request.

        The time to an error never counts as an answer's latency, so an endpoint that fails fast
        attracts no requests.
        """
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
        """Return whether trials have reduced the evidence enough to end the probation."""
        return self.slowness < SLOW_AT / 2 and self.failures < FAILING_CLEAR_AT

    def start_probation(self, reason: ProbationReason, now_ms: float) -> None:
        """Put the endpoint on probation.

        A slow endpoint keeps its limit, because it is used when the queue is long.
        """
        self.probation_reason = reason
        if reason == ProbationReason.SLOW:
            self.slowness = SLOW_AT
        else:
            self.limit = 1
        self.trial_ms = INITIAL_TRIAL_MS
        self.next_trial_ms = now_ms + self.trial_ms

    def end_probation(self) -> None:
        """End the probation; the limit then grows back by one with each successful answer."""
        self.probation_reason = ProbationReason.NONE
        self.limit = max(1, min(2, self.endpoint.slots))
        self.trial_ms = INITIAL_TRIAL_MS

    def raise_limit(self) -> None:
        """Raise the limit by one, up to the number of slots."""
        self.limit = min(self.endpoint.slots, self.limit + 1)

    def record_load(self, load: int, now_ms: float) -> None:
        """Record the load reported by an answer or a probe.

        `external_in_flight` becomes the part of the load that this VM's own count does not explain.
        """
        self.external_in_flight = max(0, min(load - self.used, self.endpoint.slots - 1))
        self.reported_ms = now_ms

    def record_peer_evidence(self, evidence: float) -> None:
        """Record another VM's evidence, which alone can't put the endpoint on probation."""
        self.slowness = max(self.slowness, min(evidence, SLOW_AT - 1))

    def _add_slowness(self, evidence: float) -> None:
        self.slowness = max(0.0, min(SLOW_AT, self.slowness + evidence))

    def _add_failures(self, evidence: float) -> None:
        self.failures = max(0.0, min(FAILING_AT, self.failures + evidence))
