"""An open-loop load tool: arrivals are a Poisson process and do not wait for answers.

Latency is measured from the time at which a call was due, so that a stall of the system, or of this
tool, is not hidden.  The delay of the tool itself is reported as `lag_ms`.

    python -m cloverhook_emulator.load --daemons=127.0.0.1:8080 --host=orders.saltbush.example
        --caller_brand=saltbush --phases=200:5,400:0.2,200:5 --report=load.json
"""

import asyncio
import gc
import itertools
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from absl import app, flags
from hdrh.histogram import HdrHistogram

from cloverhook_emulator.caller import Call, Caller, now_ms
from cloverhook_emulator.run_record import ToldRecord

__all__ = ["CallMix", "Load", "LoadPlan", "LoadResult", "Phase", "PhaseResult", "run_load"]

FLAGS = flags.FLAGS
flags.DEFINE_list("daemons", [], "Caller addresses of daemons; a caller asks a random one first.")
flags.DEFINE_string("host", "", "The host name of the service.")
flags.DEFINE_string("caller_brand", "", "The brand that the callers belong to.")
flags.DEFINE_list("phases", ["100:5"], "The phases of the load, each as calls_per_s:seconds.")
flags.DEFINE_list("paths", ["/"], "The paths of the calls, in equal shares.")
flags.DEFINE_integer("callers", 20, "The number of callers.")
flags.DEFINE_bool("unequal", False, "One caller in ten sends half of the load.")
flags.DEFINE_float("stale_ratio", 0.0, "The share of callers that keep addresses for 30 s.")
flags.DEFINE_bool("spread", False, "Callers use a random address of the list, not the first.")
flags.DEFINE_float("write_ratio", 0.3, "The share of calls that are writes.")
flags.DEFINE_float("keyed_ratio", 0.5, "The share of writes with an idempotency key.")
flags.DEFINE_integer("timeout_ms", 5_000, "The time limit of a call, in milliseconds.")
flags.DEFINE_integer("repeats", 2, "The maximum number of retries of a call.")
flags.DEFINE_integer("load_seed", 1, "The seed of arrival times and random choices.")
flags.DEFINE_float("start_at_ms", 0, "The wall-clock start time in ms; 0: at once.")
flags.DEFINE_bool("spin", False, "Busy-wait for exact start times; uses a whole core.")
flags.DEFINE_string("report", None, "The file for the report, which includes all records.")

MAX_LATENCY_US = 120_000_000
STALE_ADDRESS_LIFETIME_MS = 30_000.0
SIGNIFICANT_DIGITS = 3
SPIN_BEFORE_START_S = 0.002
CALLERS_PER_HEAVY_CALLER = 10
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}


@dataclass(frozen=True, slots=True)
class Phase:
    """A period with a constant mean rate of calls."""

    calls_per_s: float
    duration_s: float

    @classmethod
    def from_text(cls, text: str) -> "Phase":
        """Parse `calls_per_s:seconds`.

        >>> Phase.from_text("200:0.5")
        Phase(calls_per_s=200.0, duration_s=0.5)
        """
        rate, _, seconds = text.partition(":")
        return cls(float(rate), float(seconds))


@dataclass(frozen=True, slots=True)
class CallMix:
    """The kinds of calls that callers make; ratios are from 0 to 1."""

    write_ratio: float = 0.3
    keyed_ratio: float = 0.5
    paths: tuple[str, ...] = ("/",)
    timeout_ms: int = 5_000

    def next_call(self, intended_ms: float, rng: random.Random) -> Call:
        """Return a random call that is due at `intended_ms`."""
        path = rng.choice(self.paths)
        if rng.random() >= self.write_ratio:
            return Call("GET", path, intended_ms, self.timeout_ms)
        keyed = rng.random() < self.keyed_ratio
        return Call("POST", path, intended_ms, self.timeout_ms, keyed)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The parameters of a load on one service.

    With `unequal`, one caller in ten sends half of the calls; a share `stale_ratio` of the callers
    keeps fetched addresses for 30 s; with `spread`, callers use a random address of the list.
    """

    host: str
    brand: str
    daemon_addresses: tuple[str, ...]
    phases: tuple[Phase, ...]
    mix: CallMix = CallMix()
    callers: int = 20
    unequal: bool = False
    stale_ratio: float = 0.0
    spread: bool = False
    max_retries: int = 2
    seed: int = 1
    start_at_ms: float = 0.0
    spin: bool = False

    @classmethod
    def from_flags(cls) -> "LoadPlan":
        """Return the plan given on the command line."""
        return cls(
            FLAGS.host,
            FLAGS.caller_brand,
            tuple(FLAGS.daemons),
            tuple(Phase.from_text(text) for text in FLAGS.phases),
            CallMix(FLAGS.write_ratio, FLAGS.keyed_ratio, tuple(FLAGS.paths), FLAGS.timeout_ms),
            FLAGS.callers,
            FLAGS.unequal,
            FLAGS.stale_ratio,
            FLAGS.spread,
            FLAGS.repeats,
            FLAGS.load_seed,
            FLAGS.start_at_ms,
            FLAGS.spin,
        )


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    return {
        name: histogram.get_value_at_percentile(percentile) / 1000
        for name, percentile in PERCENTILES.items()
    }


@dataclass(slots=True)
class PhaseResult:
    """The outcomes of the calls that were due in one phase.

    Only answers with status 200 count in `latency` and in `waiting`, the latency without the work
    time.  `lag` is the delay with which the tool started its calls.
    """

    phase: Phase
    latency: HdrHistogram = field(default_factory=_histogram)
    waiting: HdrHistogram = field(default_factory=_histogram)
    lag: HdrHistogram = field(default_factory=_histogram)
    calls: int = 0
    succeeded: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)

    def add(self, record: ToldRecord) -> None:
        """Count a call by the record of its last request."""
        self.outcomes[f"{record.status} {record.outcome} {record.error}".strip()] += 1
        if record.status != 200:
            return
        self.succeeded += 1
        waiting_ms = record.latency_ms - record.work_ms
        self.latency.record_value(max(1, int(record.latency_ms * 1000)))
        self.waiting.record_value(max(1, int(waiting_ms * 1000)))

    def to_document(self) -> dict[str, Any]:
        """Return the results as a JSON object; times are milliseconds."""
        return {
            "calls_per_s": self.phase.calls_per_s,
            "duration_s": self.phase.duration_s,
            "calls": self.calls,
            "good": self.succeeded,
            "outcomes": dict(self.outcomes),
            "latency_ms": _percentiles(self.latency),
            "waiting_ms": _percentiles(self.waiting),
            "lag_ms": _percentiles(self.lag),
        }


@dataclass(slots=True)
class LoadResult:
    """The result of a load.

    `request_records` holds a record for every request, and `final_records` the last one of every
    call.
    """

    phases: list[PhaseResult]
    request_records: list[ToldRecord] = field(default_factory=list)
    final_records: list[ToldRecord] = field(default_factory=list)

    @property
    def calls(self) -> int:
        """The number of logical calls, each of which may have taken several requests."""
        return sum(phase.calls for phase in self.phases)

    def to_document(self) -> dict[str, Any]:
        """Return the report as a JSON object, with all records."""
        return {
            "calls": self.calls,
            "phases": [phase.to_document() for phase in self.phases],
            "told": [record.to_document() for record in self.request_records],
            "ends": [record.to_document() for record in self.final_records],
        }


class Load:
    """A running load; `result` grows as calls end."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self.result = LoadResult([PhaseResult(phase) for phase in plan.phases])
        self._callers = [self._make_caller(index) for index in range(plan.callers)]
        heavy = max(1, plan.callers // CALLERS_PER_HEAVY_CALLER)
        weights = [1.0] * plan.callers
        if plan.unequal and heavy < plan.callers:
            weights[:heavy] = [(plan.callers - heavy) / heavy] * heavy
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._calls: set[asyncio.Task[None]] = set()
        self._stopped = False

    def stop(self) -> None:
        """Start no more calls; calls in flight still complete."""
        self._stopped = True

    async def run(self) -> LoadResult:
        """Execute the plan, and return its result once every call has ended."""
        start_ms = max(self._plan.start_at_ms, now_ms())
        for result in self.result.phases:
            end_ms = start_ms + result.phase.duration_s * 1000
            await self._run_phase(result, start_ms, end_ms)
            start_ms = end_ms
        while self._calls:
            await asyncio.wait(tuple(self._calls))
        for caller in self._callers:
            caller.close()
        return self.result

    async def _run_phase(self, result: PhaseResult, start_ms: float, end_ms: float) -> None:
        due_ms = start_ms + self._next_gap_ms(result.phase)
        while due_ms < end_ms:
            await self._wait_until(due_ms)
            if self._stopped:
                return
            result.lag.record_value(max(1, int((now_ms() - due_ms) * 1000)))
            task = asyncio.create_task(self._call(result, due_ms))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            result.calls += 1
            due_ms += self._next_gap_ms(result.phase)

    async def _wait_until(self, due_ms: float) -> None:
        remaining_s = (due_ms - now_ms()) / 1000
        if self._plan.spin:
            if remaining_s > SPIN_BEFORE_START_S:
                await asyncio.sleep(remaining_s - SPIN_BEFORE_START_S)
            while now_ms() < due_ms:
                await asyncio.sleep(0)
        elif remaining_s > 0:
            await asyncio.sleep(remaining_s)

    async def _call(self, result: PhaseResult, due_ms: float) -> None:
        call = self._plan.mix.next_call(due_ms, self._random)
        caller = self._random.choices(self._callers, cum_weights=self._cumulative_weights)[0]
        end = await caller.call(call)
        result.add(end)
        self.result.final_records.append(end)

    def _next_gap_ms(self, phase: Phase) -> float:
        if phase.calls_per_s <= 0:
            return phase.duration_s * 1000
        return self._random.expovariate(phase.calls_per_s) * 1000

    def _make_caller(self, index: int) -> Caller:
        plan = self._plan
        stale = index >= plan.callers * (1 - plan.stale_ratio)
        return Caller(
            plan.host,
            plan.brand,
            list(plan.daemon_addresses),
            random.Random(plan.seed * 10_007 + index),
            self.result.request_records.append,
            plan.max_retries,
            STALE_ADDRESS_LIFETIME_MS if stale else 0.0,
            plan.spread,
        )


async def run_load(plan: LoadPlan) -> LoadResult:
    """Execute a plan, and return its result once every call has ended."""
    return await Load(plan).run()


def _main(arguments: list[str]) -> None:
    del arguments
    gc.disable()  # Collection pauses would show up as latency; the process is short-lived.
    document = asyncio.run(run_load(LoadPlan.from_flags())).to_document()
    if FLAGS.report is not None:
        Path(FLAGS.report).write_text(json.dumps(document))
    print(json.dumps({"calls": document["calls"], "phases": document["phases"]}))


if __name__ == "__main__":
    app.run(_main)
