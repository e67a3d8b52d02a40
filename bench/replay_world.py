"""The world of the replay: a clock, endpoints with slots, and what is measured."""

import heapq
from array import array
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.replay_traces import WARM_UP_MS, Call, Deployment, Scenario, Trouble
from cloverhook.routing_events import AttemptResult

__all__ = ["Backend", "Clock", "Result", "World"]

LOCAL_WAY_MS = 0.15
FAIL_MS = 1.0

OnEnd = Callable[[AttemptResult, int], None]


class Clock:
    """Runs events in the order of their time."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = 0

    def at(self, time_ms: float, work: Callable[..., None], *arguments: object) -> None:
        """Run work at a time."""
        self._count += 1
        heapq.heappush(self._events, (time_ms, self._count, work, arguments))

    def after(self, delay_ms: float, work: Callable[..., None], *arguments: object) -> None:
        """Run work after a delay."""
        self.at(self.now_ms + delay_ms, work, *arguments)

    def run(self, until_ms: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, work, arguments = heapq.heappop(self._events)
            work(*arguments)


@dataclass(slots=True)
class _Job:
    call: Call
    on_end: OnEnd
    open: bool = True


class Backend:
    """An endpoint: it works on as many requests as it has slots, others wait there."""

    def __init__(self, index: int, deployment: Deployment, troubles: tuple[Trouble, ...]) -> None:
        self.index = index
        self.address = f"10.0.0.{index}:8080"
        self.data_center = deployment.data_centers[index % len(deployment.data_centers)]
        self.slots = deployment.slots
        self._troubles = [item for item in troubles if index in item.endpoints]
        self._busy: set[int] = set()
        self._jobs: dict[int, _Job] = {}
        self._queue: deque[int] = deque()
        self._next = 0
        self.runs: dict[str, int] = {}
        self.max_busy = 0

    def trouble(self, kind: str, now_ms: float) -> Trouble | None:
        """Return the trouble of a kind that the endpoint has now, or None."""
        for item in self._troubles:
            if item.kind == kind and item.from_ms <= now_ms < item.to_ms:
                return item
        return None

    def plan(self, clock: Clock) -> None:
        """Plan what happens at set times."""
        for item in self._troubles:
            if item.kind == "down":
                clock.at(item.from_ms, self._cut_all, clock)

    def offer(self, clock: Clock, call: Call, on_end: OnEnd) -> int | None:
        """Take a request; its end is told by `on_end`.  The number returned can cancel it."""
        now_ms = clock.now_ms
        if self.trouble("down", now_ms):
            on_end(AttemptResult.NOT_SENT, 0)
        elif self.trouble("draining", now_ms):
            on_end(AttemptResult.REFUSED, len(self._jobs))
        elif self.trouble("failing", now_ms):
            clock.after(FAIL_MS, on_end, AttemptResult.FAILED, len(self._jobs))
        else:
            self._next += 1
            self._jobs[self._next] = _Job(call, on_end)
            self._queue.append(self._next)
            self.max_busy = max(self.max_busy, len(self._jobs))
            self._begin(clock)
            return self._next
        return None

    def cancel(self, clock: Clock, number: int | None) -> None:
        """Drop a request whose sender has gone."""
        if number in self._jobs:
            self._drop(number)
            self._begin(clock)

    def _drop(self, number: int) -> None:
        del self._jobs[number]
        if number in self._busy:
            self._busy.discard(number)
        else:
            self._queue.remove(number)

    def _begin(self, clock: Clock) -> None:
        while self._queue and len(self._busy) < self.slots:
            number = self._queue.popleft()
            call = self._jobs[number].call
            self._busy.add(number)
            self.runs[call.request_id] = self.runs.get(call.request_id, 0) + 1
            clock.at(self._finish_ms(clock.now_ms, call.work_ms), self._finish, clock, number)

    def _finish_ms(self, start_ms: float, work_ms: float) -> float:
        now_ms = start_ms
        for item in self._troubles:
            if item.kind != "slow" or item.to_ms <= now_ms:
                continue
            if now_ms + work_ms <= item.from_ms:
                break
            work_ms -= max(0.0, item.from_ms - now_ms)
            now_ms = max(now_ms, item.from_ms)
            done = (item.to_ms - now_ms) / item.factor
            if done >= work_ms:
                return now_ms + work_ms * item.factor
            work_ms -= done
            now_ms = item.to_ms
        return now_ms + work_ms

    def _finish(self, clock: Clock, number: int) -> None:
        job = self._jobs.get(number)
        if job is None:
            return
        self._drop(number)
        self._begin(clock)
        job.on_end(AttemptResult.ANSWERED, len(self._jobs))

    def _cut_all(self, clock: Clock) -> None:
        jobs, self._jobs = self._jobs, {}
        self._busy.clear()
        self._queue.clear()
        for job in jobs.values():
            job.on_end(AttemptResult.CUT, 0)


@dataclass(slots=True)
class Result:
    """What a run has measured; the lists hold milliseconds."""

    latency: array = field(default_factory=lambda: array("d"))
    wait: array = field(default_factory=lambda: array("d"))
    high: array = field(default_factory=lambda: array("d"))
    high_in_burst: array = field(default_factory=lambda: array("d"))
    calls: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    lost_with_vm: int = 0
    doubled: int = 0
    attempts: int = 0
    messages: int = 0
    message_bytes: int = 0
    busiest_vm_bytes_per_s: float = 0.0
    probes: int = 0
    overfilled: int = 0
    late_answered: int = 0
    late_calls: int = 0

    def add(self, other: "Result") -> None:
        """Add another run's measures."""
        for name in self.__slots__:
            mine, theirs = getattr(self, name), getattr(other, name)
            if isinstance(mine, array):
                mine.extend(theirs)
            elif name == "busiest_vm_bytes_per_s":
                setattr(self, name, max(mine, theirs))
            else:
                setattr(self, name, mine + theirs)


class World:
    """The endpoints of one run, and its measures."""

    def __init__(self, deployment: Deployment, scenario: Scenario) -> None:
        self.clock = Clock()
        self.deployment = deployment
        self.scenario = scenario
        troubles = scenario.troubles
        if scenario.slow_share:
            slow = tuple(range(round(deployment.endpoints * scenario.slow_share)))
            troubles = (Trouble("slow", slow, 2_000.0, 3_000.0, 5.0),)
        self.backends = [Backend(i, deployment, troubles) for i in range(deployment.endpoints)]
        self.by_address = {backend.address: backend for backend in self.backends}
        for backend in self.backends:
            backend.plan(self.clock)
        self.result = Result()
        self._at_most_once: set[str] = set()

    def way_ms(self, one: str, other: str) -> float:
        """Return the time one way between two data centres."""
        return LOCAL_WAY_MS if one == other else self.deployment.way_ms

    def arrived(self, call: Call) -> None:
        """Count a call."""
        if not call.idempotent:
            self._at_most_once.add(call.request_id)
        if call.arrives_ms >= WARM_UP_MS:
            self.result.calls += 1
            self.result.late_calls += self._is_late(call)

    def attempted(self, call: Call) -> None:
        """Count an attempt."""
        self.result.attempts += call.arrives_ms >= WARM_UP_MS

    def ended(self, call: Call, outcome: str) -> None:
        """Measure the end of a call: `answered`, `refused`, `failed` or `lost_with_vm`."""
        if call.arrives_ms < WARM_UP_MS:
            return
        result = self.result
        setattr(result, outcome, getattr(result, outcome) + 1)
        if outcome != "answered":
            return
        result.late_answered += self._is_late(call)
        latency_ms = self.clock.now_ms - call.arrives_ms
        result.latency.append(latency_ms)
        result.wait.append(latency_ms - call.work_ms)
        if call.priority == 0:
            self._measure_high(call, latency_ms)

    def close(self) -> Result:
        """Return the measures of the run."""
        for backend in self.backends:
            self.result.overfilled += backend.max_busy > backend.slots
        runs: dict[str, int] = {}
        for backend in self.backends:
            for request_id, count in backend.runs.items():
                runs[request_id] = runs.get(request_id, 0) + count
        self.result.doubled = sum(runs.get(item, 0) > 1 for item in self._at_most_once)
        return self.result

    def _measure_high(self, call: Call, latency_ms: float) -> None:
        burst = self.scenario.burst
        if burst and burst[0] <= call.arrives_ms < burst[1] + 100.0:
            self.result.high_in_burst.append(latency_ms)
        else:
            self.result.high.append(latency_ms)

    def _is_late(self, call: Call) -> bool:
        return call.arrives_ms >= 13_500.0
