"""What is known of the load and health of each backend server, with the age of each figure.

Layer: state.  Figures come from probes of this VM or of a peer, and from the answers to requests.
Between two figures the requests that this VM and its neighbours have started and ended are counted
on top.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from cloverhook.gateway.refusals import RefusalShare
from cloverhook.gateway.trust import CircuitBreaker

__all__ = ["SLOW_FACTOR", "LoadTable", "LoadReport", "ServerLoad"]

SLOW_FACTOR = 2.5
"""Work that takes this many times as long is worth asking a second endpoint for, or avoiding the
endpoint where that can't be done."""
USUAL_PACE = 1.0
UNKNOWN_PACE = 2.0
"""What is assumed without a fresh figure: worse than usual, better than a known slow one."""
FRESH_FIGURE_MS = 1_500.0
"""Other data centres send a figure when it changes and after a second; one may be lost."""
FRESH_COUNT_MS = 700.0
"""A peer repeats its counts four times a second; one that has stopped no longer counts."""
FAILURE_STEP = 0.25
FAILURE_HALF_LIFE_MS = 2_000.0
UNREACHABLE_MS = 1_500.0
"""How long an endpoint without a connection is avoided if no probe says otherwise."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """One report: requests running and waiting, and how long work takes compared with usual.

    An endpoint that is cold stays so for `cold_for_ms`; only probes tell that.
    """

    running: int
    waiting: int
    slowdown: float
    reachable: bool = True
    cold_for_ms: float = 0.0


class ServerLoad:
    """The load of one incarnation as this VM sees it."""

    __slots__ = (
        "_base",
        "_changed",
        "_cold_until_ms",
        "_failure",
        "_failure_ms",
        "_figure",
        "_figure_ms",
        "_in_flight",
        "_measured_ms",
        "_peers",
        "_progress_ms",
        "_progress_to_ms",
        "_refusals",
        "_unreachable_until_ms",
        "_used",
        "circuit_breaker",
    )

    def __init__(self, used: Callable[[int], None] = lambda count: None) -> None:
        """Start with nothing known; `used` hears each count of requests in flight here."""
        self._used = used
        self._in_flight = 0
        self._changed: list[Callable[[], None]] = []
        self.circuit_breaker = CircuitBreaker()
        self._refusals = RefusalShare()
        self._peers: dict[str, tuple[int, float]] = {}
        self._figure: LoadReport | None = None
        self._figure_ms = -1e12
        self._measured_ms: float | None = None
        self._progress_ms = 0.0
        self._progress_to_ms = 0.0
        self._base = 0
        self._cold_until_ms = 0.0
        self._failure = 0.0
        self._failure_ms = 0.0
        self._unreachable_until_ms = 0.0

    @property
    def in_flight(self) -> int:
        """How many requests this VM has in flight there."""
        return self._in_flight

    @in_flight.setter
    def in_flight(self, count: int) -> None:
        self._in_flight = count
        self._used(count)
        self._tell_change()

    def on_next_change(self, callback: Callable[[], None]) -> None:
        """Call back once, when the load may be another than now."""
        self._changed.append(callback)

    def _tell_change(self) -> None:
        if self._changed:
            callbacks, self._changed = self._changed, []
            for callback in callbacks:
                callback()

    @property
    def latest_report(self) -> LoadReport | None:
        """The newest figure, whatever its age."""
        return self._figure

    def age_ms(self, now_ms: float) -> float:
        """Return the age of the newest figure."""
        return now_ms - self._figure_ms

    def set_peer_in_flight(self, vm: str, count: int, now_ms: float) -> None:
        """Take how many requests another VM has in flight there."""
        before, _ = self._peers.get(vm, (0, 0.0))
        if before > count:
            self._refusals.record_ended(before - count, now_ms)
        if count:
            self._peers[vm] = (count, now_ms)
        else:
            self._peers.pop(vm, None)
        if count != before:
            self._tell_change()

    def known_in_flight(self, now_ms: float) -> int:
        """Return the requests that this VM and those that tell it have in flight there."""
        if not self._peers:
            return self._in_flight
        oldest_ms = now_ms - FRESH_COUNT_MS
        return self._in_flight + sum(n for n, at_ms in self._peers.values() if at_ms >= oldest_ms)

    def update(self, figure: LoadReport, at_ms: float, ended_count: int = 0) -> None:
        """Take a figure of the time `at_ms`; an older one than known is left out.

        `ended_count` is how many requests in flight here the figure no longer counts: an answer's
        figure leaves its own request out.
        """
        if at_ms < self._figure_ms:
            return
        self._progress_ms = self.expected_progress_ms(at_ms)
        self._progress_to_ms = at_ms
        self._figure = figure
        self._figure_ms = at_ms
        self._base = self.known_in_flight(at_ms) - ended_count
        self._unreachable_until_ms = 0.0 if figure.reachable else at_ms + UNREACHABLE_MS
        self._tell_change()

    def update_from_probe(self, figure: LoadReport, at_ms: float) -> None:
        """Take the figure of a probe, by this VM or another one."""
        if self._measured_ms is None or at_ms >= self._measured_ms:
            self._cold_until_ms = at_ms + figure.cold_for_ms if figure.cold_for_ms else 0.0
        self._measured_ms = max(at_ms, self._measured_ms or at_ms)
        self.update(figure, at_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the newest probe found the endpoint cold, and it still must be."""
        return now_ms < self._cold_until_ms

    def since_last_probe_ms(self, now_ms: float) -> float:
        """Return for how long no probe has brought a figure; the first question starts the time."""
        if self._measured_ms is None:
            self._measured_ms = now_ms
        return now_ms - self._measured_ms

    def load(self, now_ms: float) -> float:
        """Return the requests that the endpoint has, as far as this VM can tell."""
        shared = self.known_in_flight(now_ms)
        if self._figure is None or self.age_ms(now_ms) > FRESH_FIGURE_MS:
            return shared
        reported = self._figure.running + self._figure.waiting
        return max(shared, reported + shared - self._base)

    def slowdown(self, now_ms: float) -> float:
        """Return how long work takes there now, as a multiple of usual."""
        if self._figure is None or self.age_ms(now_ms) > FRESH_FIGURE_MS:
            return UNKNOWN_PACE if self._figure is not None else USUAL_PACE
        return self._figure.slowdown

    def expected_progress_ms(self, now_ms: float) -> float:
        """Return how much work a request would have had done there since the first figure.

        The unit is a millisecond at the usual pace.  The difference between two times says how
        much work an endpoint should have done meanwhile, however its pace has changed.
        """
        if self._figure is None:
            return 0.0
        return self._progress_ms + (now_ms - self._progress_to_ms) / max(self._figure.slowdown, 0.1)

    def unreachable(self, now_ms: float) -> bool:
        """Return whether no connection could be made there a moment ago."""
        return now_ms < self._unreachable_until_ms

    def record_unreachable(self, now_ms: float) -> None:
        """Count an attempt that found nobody."""
        self._unreachable_until_ms = now_ms + UNREACHABLE_MS
        self.record_failure(now_ms)

    def failure_share(self, now_ms: float) -> float:
        """Return the share of recent requests that failed there; it fades with time."""
        return self._failure * 0.5 ** ((now_ms - self._failure_ms) / FAILURE_HALF_LIFE_MS)

    def record_failure(self, now_ms: float) -> None:
        """Count a failed request."""
        self._count(1.0, now_ms)

    def record_success(self, now_ms: float) -> None:
        """Count a request that was answered well."""
        if self._failure:
            self._count(0.0, now_ms)

    def record_refusal(self, now_ms: float) -> None:
        """Count a request, of this VM or another one, that was turned away with free slots."""
        self._refusals.record_refusal(now_ms)

    def refusal_share(self, now_ms: float) -> float:
        """Return the share of requests that are turned away there with free slots."""
        return self._refusals.share_at(now_ms)

    def record_end(self, now_ms: float) -> None:
        """Count a request of this VM that has ended there."""
        self._refusals.record_ended(1, now_ms)

    def _count(self, value: float, now_ms: float) -> None:
        share = self.failure_share(now_ms)
        self._failure = share + FAILURE_STEP * (value - share)
        self._failure_ms = now_ms


class LoadTable:
    """The loads of all incarnations."""

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}
        self._in_flight: dict[str, int] = {}

    def get_or_create(self, incarnation: str) -> ServerLoad:
        """Return the load of an incarnation, kept from its first use on."""
        load = self._loads.get(incarnation)
        if load is None:
            load = self._loads[incarnation] = ServerLoad(partial(self._used, incarnation))
        return load

    def get(self, incarnation: str) -> ServerLoad | None:
        """Return the load of an incarnation if anything is known of it."""
        return self._loads.get(incarnation)

    def _used(self, incarnation: str, count: int) -> None:
        if count:
            self._in_flight[incarnation] = count
        else:
            self._in_flight.pop(incarnation, None)

    def has_requests(self) -> bool:
        """Return whether this VM has requests in flight."""
        return bool(self._in_flight)

    def in_flight(self) -> dict[str, int]:
        """Return the requests that this VM has in flight, where there are any."""
        return dict(self._in_flight)

    def forget(self, incarnation: str) -> None:
        """Drop what is known of an incarnation that is gone, once nothing is in flight there."""
        load = self._loads.get(incarnation)
        if load is not None and not load.in_flight:
            del self._loads[incarnation]

    def remove_unknown(self, known: Callable[[str], object]) -> None:
        """Forget every incarnation that is not `known`: updates on one may come late."""
        for incarnation in tuple(self._loads):
            if not known(incarnation):
                self.forget(incarnation)
