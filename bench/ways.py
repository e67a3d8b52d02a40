"""Compares load-balancing algorithms on real processes, at the present sizes of two deployments.

The mean work is 50 ms, so that one computer can carry the rates: 1,080 calls a second at 90% of 60
slots.  All algorithms get the same arrivals.  Random, round robin, least in flight and best of two
use any VM for any caller; cloverhook steers callers to home VMs.
"""

import asyncio
import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass

from bench.figures import Figure, Table, percentile
from bench.fleets import ServiceFleet
from cloverhook_emulator import invariants
from cloverhook_emulator.fleet_runner import Fleet
from cloverhook_emulator.run_record import ToldRecord

__all__ = ["measure_algorithms"]

WORK_MS = 50.0
DAEMONS = 6
PROBE_MS = 6.0
START_DELAY_MS = 2_500
BASELINES = ("random", "round-robin", "least-in-flight", "best-of-two")
ALGORITHMS = (*BASELINES, "cloverhook")
SERVICES = (("brathwaite.toml", "booking"), ("saltbush.toml", "routes"))
HIGH_PATHS = {"booking": "/book", "routes": "/vans"}
SCENARIOS = ("steady", "peak", "burst", "slow third", "one failing", "one draining")


@dataclass(frozen=True, slots=True)
class Step:
    """A step of the load: its share of the capacity of all slots, its duration and its faults.

    `faulty_share` is the share of the backend servers that have the faults; 0 means a single one.
    """

    name: str
    utilization: float
    duration_s: float
    faults: tuple[tuple[str, object], ...] = ()
    faulty_share: float = 0.0


STEPS = (
    Step("warm-up", 0.7, 2.0),
    Step("steady", 0.7, 5.0),
    Step("peak", 0.9, 6.0),
    Step("pause", 0.5, 1.0),
    Step("burst", 1.4, 0.2),
    Step("pause", 0.6, 2.0),
    Step("slow third", 0.9, 1.0, (("slow_factor", 5.0),), 1 / 3),
    Step("slow third", 0.9, 2.0),
    Step("pause", 0.5, 1.0),
    Step("one failing", 0.7, 2.0, (("fail_fast", True),)),
    Step("pause", 0.5, 0.5),
    Step("one draining", 0.7, 2.0, (("drain", True),)),
)
HEALTHY = {"slow_factor": 1.0, "fail_fast": False, "drain": False}


@dataclass(frozen=True, slots=True)
class AlgorithmResult:
    """The results of one algorithm for one service."""

    algorithm: str
    service: str
    ends: dict[str, list[ToldRecord]]
    report: invariants.Report
    probes_per_1000: float
    lag_ms: float

    def latency_ms(self, scenario: str, percent: float, path: str = "") -> float:
        """Return a percentile of the latency of answers with status 200."""
        return percentile(
            (item.latency_ms for item in self._good(scenario) if path in ("", item.path)), percent
        )

    def waiting_ms(self, scenario: str, percent: float) -> float:
        """Return a percentile of the latency minus the work time."""
        return percentile(
            (item.latency_ms - item.work_ms for item in self._good(scenario)), percent
        )

    def good_ratio(self, scenario: str) -> float:
        """Return the share of the calls that were answered with status 200."""
        return len(self._good(scenario)) / max(1, len(self.ends[scenario]))

    @property
    def wrong(self) -> int:
        """The number of requests lost, doubled, crossed, cut or falsely reported as not run."""
        report = self.report
        found = (report.lost, report.doubled, report.crossed, report.cut, report.false_not_run)
        return sum(len(items) for items in found)

    def _good(self, scenario: str) -> list[ToldRecord]:
        return [item for item in self.ends[scenario] if item.status == 200]


async def measure_algorithms(
    together: int, services: Sequence[tuple[str, str]] = SERVICES
) -> tuple[list[Figure], list[Table]]:
    """Run all algorithms for the services, `together` at a time; return figures and tables."""
    gate = asyncio.Semaphore(together)

    async def one(file: str, service: str, algorithm: str) -> AlgorithmResult:
        async with gate:
            return await _run_algorithm(file, service, algorithm)

    async with asyncio.TaskGroup() as group:
        runs = [
            group.create_task(one(file, service, algorithm))
            for file, service in services
            for algorithm in ALGORITHMS
        ]
    results = [run.result() for run in runs]
    figures: list[Figure] = []
    tables: list[Table] = []
    for _, service in services:
        by_algorithm = {item.algorithm: item for item in results if item.service == service}
        figures += _figures(service, by_algorithm)
        tables += _tables(service, by_algorithm)
    return figures, tables


async def _run_algorithm(file: str, service: str, algorithm: str) -> AlgorithmResult:
    async with Fleet() as fleet:
        running = await ServiceFleet.start(fleet, file, service, algorithm, DAEMONS, WORK_MS)
        full_rate = running.slots / WORK_MS * 1000
        phases = [(step.utilization * full_rate, step.duration_s) for step in STEPS]
        start_ms = time.time() * 1000 + START_DELAY_MS
        faults = asyncio.create_task(_inject_faults(fleet, start_ms))
        spread = "--spread" if algorithm != "cloverhook" else "--nospread"
        told, ends, lag_ms = await running.load(phases, start_ms, "--callers=60", spread)
        await faults
        report = invariants.check(await fleet.run_records(), told)
        probes = sum(item["probes"] for item in (await fleet.counts()).values())
        by_step = _by_step(ends, start_ms)
        return AlgorithmResult(
            algorithm, service, by_step, report, probes / len(ends) * 1000, lag_ms
        )


async def _inject_faults(fleet: Fleet, start_ms: float) -> None:
    servers = [address for process in fleet.backends for address in process.addresses[:-1]]
    at_ms = start_ms
    for step in STEPS:
        end_ms = at_ms + step.duration_s * 1000
        if step.faults:
            faulty = servers[: max(1, round(len(servers) * step.faulty_share))]
            await asyncio.sleep(max(0.0, at_ms / 1000 - time.time()))
            await fleet.set_faults(dict(step.faults), faulty)
            await asyncio.sleep(max(0.0, end_ms / 1000 - time.time()))
            await fleet.set_faults(HEALTHY, faulty)
        at_ms = end_ms


def _by_step(ends: Sequence[ToldRecord], start_ms: float) -> dict[str, list[ToldRecord]]:
    """Return the calls grouped by the name of the step in which they were due."""
    limits = list(itertools.accumulate(step.duration_s * 1000 for step in STEPS))
    found: dict[str, list[ToldRecord]] = {step.name: [] for step in STEPS}
    for item in ends:
        since_ms = item.intended_ms - start_ms
        for step, limit_ms in zip(STEPS, limits, strict=True):
            if since_ms < limit_ms:
                found[step.name].append(item)
                break
    return found


def _figures(service: str, by_algorithm: dict[str, AlgorithmResult]) -> list[Figure]:
    own = by_algorithm["cloverhook"]
    figures = [
        Figure(f"ways.{service}.wrong", own.wrong, "requests", str(own.report) * bool(own.wrong)),
        Figure(f"ways.{service}.lag", own.lag_ms, "ms", "p99 of the load tool's lateness"),
        Figure(f"ways.{service}.probes", own.probes_per_1000, "per 1,000 calls"),
        Figure(f"ways.{service}.measuring", own.probes_per_1000 * PROBE_MS, "ms per 1,000 calls"),
    ]
    for scenario in ("steady", "peak", "slow third"):
        name = scenario.replace(" ", "-")
        best_p99 = min(by_algorithm[item].latency_ms(scenario, 99) for item in BASELINES)
        best_waiting = min(by_algorithm[item].waiting_ms(scenario, 99) for item in BASELINES)
        figures += [
            Figure(
                f"ways.{service}.{name}.p99",
                own.latency_ms(scenario, 99) / best_p99,
                "of the best baseline's",
            ),
            Figure(
                f"ways.{service}.{name}.waiting_p99",
                own.waiting_ms(scenario, 99) / best_waiting,
                "of the best baseline's",
            ),
        ]
    path = HIGH_PATHS[service]
    burst_ratio = own.latency_ms("burst", 99, path) / own.latency_ms("steady", 99, path)
    figures.append(Figure(f"ways.{service}.burst.high_p99", burst_ratio, f"of steady, {path}"))
    for scenario in ("one failing", "one draining"):
        name = scenario.replace(" ", "-")
        figures.append(Figure(f"ways.{service}.{name}.good", own.good_ratio(scenario), "of calls"))
    return figures


def _tables(service: str, by_algorithm: dict[str, AlgorithmResult]) -> list[Table]:
    columns = ("scenario, way", "p50 ms", "p99 ms", "p99.9 ms", "waiting p99", "good", "wrong")
    rows = [
        (
            f"{scenario}, {algorithm}",
            result.latency_ms(scenario, 50),
            result.latency_ms(scenario, 99),
            result.latency_ms(scenario, 99.9),
            result.waiting_ms(scenario, 99),
            result.good_ratio(scenario),
            result.wrong,
        )
        for scenario in SCENARIOS
        for algorithm, result in by_algorithm.items()
    ]
    return [Table(f"{service}: real processes, {DAEMONS} daemons, {WORK_MS:g} ms", columns, rows)]
