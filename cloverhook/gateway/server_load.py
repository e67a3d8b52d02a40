"""The known load and health of each backend server, with the age of each report.

Layer: state.  Load reports come from probes by this VM or a peer, and from the answers to requests.
Requests that this VM and its neighbours have started since the last report are added to it, and
those that have ended since are subtracted.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from cloverhook.gateway.circuit_breaker import CircuitBreaker
from cloverhook.gateway.refusal_share import RefusalShare

__all__ = ["SLOW_FACTOR", "LoadReport", "LoadTable", "ServerLoad"]

SLOW_FACTOR = 2.5
"""If work takes this many times as long, it is worth sending a request to a second endpoint as
well, or avoiding the endpoint if that isn't possible."""
USUAL_SLOWDOWN = 1.0
UNKNOWN_SLOWDOWN = 2.0
"""Assumed without a fresh load report: worse than usual, better than an endpoint known to be
slow."""
REPORT_LIFETIME_MS = 1_500.0
"""Remote data centres send a load report when it changes and again after a second; one may be
lost."""
COUNT_LIFETIME_MS = 700.0
"""A peer repeats its counts four times a second; the counts of a peer that has stopped expire."""
FULL_LIFETIME_MS = 3_000.0
"""An endpoint that was full, and answers nothing, may be so for the time of a few requests."""
FAILURE_SMOOTHING = 0.25
FAILURE_HALF_LIFE_MS = 2_000.0
UNREACHABLE_MS = 1_500.0
"""How long an endpoint that can't be connected to is avoided, unless a probe shows otherwise."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A load report: requests running, requests waiting and the slowdown against usual.

    `slowdown` is how many times as long as usual work takes. A cold endpoint stays cold for
    `cold_for_ms`; only probes report that.
    """

    running: int
    waiting: int
    slowdown: float
    reachable: bool = True
    cold_for_ms: float = 0.0


class ServerLoad:
    """The load of one incarnation as this VM sees it."""

    __slots__ = (
        "_change_callbacks",
        "_cold_until_ms",
        "_doubted_until_ms",
        "_failure_average",
        "_failure_ms",
        "_in_flight",
        "_in_flight_at_report",
        "_last_probe_ms",
        "_latest_report",
        "_latest_report_ms",
        "_on_in_flight",
        "_peer_counts",
        "_progress_at_ms",
        "_progress_ms",
        "_refusals",
        "_unreachable_until_ms",
        "circuit_breaker",
        "link_down",
    )

    def __init__(self, on_in_flight: Callable[[int], None] = lambda count: None) -> None:
        """Start without any data.

        `on_in_flight` is called with each new count of requests that this VM has in flight there.
        """
        self._on_in_flight = on_in_flight
        self._in_flight = 0
        self._change_callbacks: list[Callable[[], None]] = []
        self.circuit_breaker = CircuitBreaker()
        self._refusals = RefusalShare()
        self._peer_counts: dict[str, tuple[int, float]] = {}
        self._latest_report: LoadReport | None = None
        self._latest_report_ms = -1e12
        self._last_probe_ms: float | None = None
        self._progress_ms = 0.0
        self._progress_at_ms = 0.0
        self._in_flight_at_report = 0
        self._cold_until_ms = 0.0
        self._failure_average = 0.0
        self._failure_ms = 0.0
        self._unreachable_until_ms = 0.0
        self._doubted_until_ms = 0.0
        self.link_down = False
        """Whether this VM has found that it does not reach the endpoint; `Links` sets this."""

    @property
    def in_flight(self) -> int:
        """The number of requests that this VM has in flight there."""
        return self._in_flight

    @in_flight.setter
    def in_flight(self, count: int) -> None:
        self._in_flight = count
        self._on_in_flight(count)
        self._notify_change()

    def on_next_change(self, callback: Callable[[], None]) -> None:
        """Call back once, at the next change that may affect the load."""
        self._change_callbacks.append(callback)

    def _notify_change(self) -> None:
        if self._change_callbacks:
            callbacks, self._change_callbacks = self._change_callbacks, []
            for callback in callbacks:
                callback()

    @property
    def latest_report(self) -> LoadReport | None:
        """The latest load report, whatever its age, or None."""
        return self._latest_report

    def age_ms(self, now_ms: float) -> float:
        """Return the age of the latest load report."""
        return now_ms - self._latest_report_ms

    def reported_since(self, at_ms: float) -> bool:
        """Return whether any VM has received a load report of the endpoint since then."""
        return self._latest_report_ms > at_ms

    def was_full(self, slots: int, now_ms: float) -> bool:
        """Return whether all slots were in use by the latest report, which may be a little old.

        An endpoint that is full may answer no probe, so there may be no newer report.  Requests in
        flight don't count: they may be stuck in a link that is lost.
        """
        report = self._latest_report
        is_recent = self.age_ms(now_ms) <= FULL_LIFETIME_MS
        return is_recent and report is not None and report.running + report.waiting >= slots

    def set_peer_in_flight(self, vm: str, count: int, now_ms: float) -> None:
        """Set how many requests another VM has in flight there."""
        before, _ = self._peer_counts.get(vm, (0, 0.0))
        if before > count:
            self._refusals.record_ended(before - count, now_ms)
        if count:
            self._peer_counts[vm] = (count, now_ms)
        else:
            self._peer_counts.pop(vm, None)
        if count != before:
            self._notify_change()

    def known_in_flight(self, now_ms: float) -> int:
        """Return the requests in flight there of this VM and of those that send it their counts."""
        if not self._peer_counts:
            return self._in_flight
        oldest_ms = now_ms - COUNT_LIFETIME_MS
        return self._in_flight + sum(
            n for n, at_ms in self._peer_counts.values() if at_ms >= oldest_ms
        )

    def update(self, report: LoadReport, at_ms: float, ended_count: int = 0) -> None:
        """Store a load report of the time `at_ms`; ignore it if it is older than the latest one.

        `ended_count` is how many requests in flight here the report no longer includes: the report
        in an answer leaves out the request answered.
        """
        if at_ms < self._latest_report_ms:
            return
        self._progress_ms = self.expected_progress_ms(at_ms)
        self._progress_at_ms = at_ms
        self._latest_report = report
        self._latest_report_ms = at_ms
        self._in_flight_at_report = self.known_in_flight(at_ms) - ended_count
        self._unreachable_until_ms = 0.0 if report.reachable else at_ms + UNREACHABLE_MS
        self._notify_change()

    def update_from_probe(self, report: LoadReport, at_ms: float) -> None:
        """Store the load report of a probe by this VM or another one."""
        if self._last_probe_ms is None or at_ms >= self._last_probe_ms:
            self._cold_until_ms = at_ms + report.cold_for_ms if report.cold_for_ms else 0.0
        self._last_probe_ms = max(at_ms, self._last_probe_ms or at_ms)
        self.update(report, at_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the latest probe found the endpoint cold and its cold time is not over."""
        return now_ms < self._cold_until_ms

    def since_last_probe_ms(self, now_ms: float) -> float:
        """Return the time since the last probe's report; without one, since the first call."""
        if self._last_probe_ms is None:
            self._last_probe_ms = now_ms
        return now_ms - self._last_probe_ms

    def load(self, now_ms: float) -> float:
        """Return the number of requests at the endpoint, as far as is known here."""
        known = self.known_in_flight(now_ms)
        if self._latest_report is None or self.age_ms(now_ms) > REPORT_LIFETIME_MS:
            return known
        reported = self._latest_report.running + self._latest_report.waiting
        return max(known, reported + known - self._in_flight_at_report)

    def slowdown(self, now_ms: float) -> float:
        """Return how many times as long as usual work takes there now."""
        if self._latest_report is None or self.age_ms(now_ms) > REPORT_LIFETIME_MS:
            return UNKNOWN_SLOWDOWN if self._latest_report is not None else USUAL_SLOWDOWN
        return self._latest_report.slowdown

    def expected_progress_ms(self, now_ms: float) -> float:
        """Return how much work a single request would have received there since the first report.

        The unit is a millisecond at the usual speed. The difference between two times is the work
        that an endpoint should have done in between, however its speed has changed.
        """
        if self._latest_report is None:
            return 0.0
        return self._progress_ms + (now_ms - self._progress_at_ms) / max(
            self._latest_report.slowdown, 0.1
        )

    def unreachable(self, now_ms: float) -> bool:
        """Return whether the endpoint is out of reach, or has recently been found to be."""
        return self.link_down or now_ms < self._unreachable_until_ms

    def is_doubted(self, now_ms: float) -> bool:
        """Return whether it is being checked if the endpoint can be reached."""
        return now_ms < self._doubted_until_ms

    def doubt_until(self, until_ms: float) -> None:
        """Use the endpoint only where no other one has capacity until then; 0 ends that."""
        self._doubted_until_ms = until_ms
        self._notify_change()

    def record_unreachable(self, now_ms: float) -> None:
        """Record an attempt that could not reach the endpoint."""
        self._unreachable_until_ms = now_ms + UNREACHABLE_MS
        self.record_failure(now_ms)

    def failure_share(self, now_ms: float) -> float:
        """Return the share of recent requests that failed there; it decays over time."""
        return self._failure_average * 0.5 ** ((now_ms - self._failure_ms) / FAILURE_HALF_LIFE_MS)

    def record_failure(self, now_ms: float) -> None:
        """Record a failed request."""
        self._update_failure_average(1.0, now_ms)

    def record_success(self, now_ms: float) -> None:
        """Record a request that was answered successfully."""
        if self._failure_average:
            self._update_failure_average(0.0, now_ms)

    def record_refusal(self, now_ms: float) -> None:
        """Record a request of this VM or another one that was rejected despite a free slot."""
        self._refusals.record_refusal(now_ms)

    def refusal_share(self, now_ms: float) -> float:
        """Return the share of requests that are rejected there despite a free slot."""
        return self._refusals.share_at(now_ms)

    def record_end(self, now_ms: float) -> None:
        """Record that a request of this VM has ended there."""
        self._refusals.record_ended(1, now_ms)

    def _update_failure_average(self, value: float, now_ms: float) -> None:
        share = self.failure_share(now_ms)
        self._failure_average = share + FAILURE_SMOOTHING * (value - share)
        self._failure_ms = now_ms


class LoadTable:
    """The loads of all incarnations."""

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}
        self._in_flight: dict[str, int] = {}

    def get_or_create(self, incarnation: str) -> ServerLoad:
        """Return the load of an incarnation; it is created on first use and kept."""
        load = self._loads.get(incarnation)
        if load is None:
            load = self._loads[incarnation] = ServerLoad(partial(self._set_in_flight, incarnation))
        return load

    def get(self, incarnation: str) -> ServerLoad | None:
        """Return the load of an incarnation, or None if nothing is known of it."""
        return self._loads.get(incarnation)

    def _set_in_flight(self, incarnation: str, count: int) -> None:
        if count:
            self._in_flight[incarnation] = count
        else:
            self._in_flight.pop(incarnation, None)

    def has_requests(self) -> bool:
        """Return whether this VM has requests in flight."""
        return bool(self._in_flight)

    def in_flight(self) -> dict[str, int]:
        """Return this VM's counts of requests in flight by incarnation, without zeros."""
        return dict(self._in_flight)

    def forget(self, incarnation: str) -> None:
        """Drop the load of an incarnation that is gone, unless requests are in flight there."""
        load = self._loads.get(incarnation)
        if load is not None and not load.in_flight:
            del self._loads[incarnation]

    def remove_unknown(self, known: Callable[[str], object]) -> None:
        """Forget every incarnation that is not `known`.

        Updates on an incarnation may arrive after its removal and create its load again.
        """
        for incarnation in tuple(self._loads):
            if not known(incarnation):
                self.forget(incarnation)
