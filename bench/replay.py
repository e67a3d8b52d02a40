"""Replays seeded traces through the decision code and compares it with other algorithms.

`python -m bench.replay` prints a table and checks its ratios against `bounds.toml`.  The model
covers only the load on the decisions: arrivals, work, slots and network delays between VMs.  It
does not cover the processor time of daemons.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from bench.figures import Figure, check_bounds
from bench.replay_traces import DEPLOYMENTS, SCENARIOS, Deployment, Scenario
from bench.replay_ways import ALGORITHMS, LOCAL_ALGORITHMS, replay
from bench.replay_world import Result

__all__ = ["Row", "build_figures", "main", "run"]

SEEDS = (1, 2, 3, 4, 5)
WORKERS = 8
OUTAGE = "all-down"


@dataclass(frozen=True, slots=True)
class Row:
    """The measurements of one algorithm in one scenario at one service, over all seeds."""

    service: str
    scenario: str
    algorithm: str
    p50_ms: float
    p99_ms: float
    p999_ms: float
    wait_p99_ms: float
    goodput: float
    failed: int
    refused: int
    lost_with_vm: int
    doubled: int
    attempts_per_call: float
    messages_per_1000: float
    bytes_per_1000: float
    busiest_vm_bytes_per_s: float
    probes_per_1000: float
    high_p99_ms: float
    high_burst_p99_ms: float
    late_goodput: float

    @classmethod
    def from_result(cls, service: str, scenario: str, algorithm: str, result: Result) -> "Row":
        """Compute the measurements from a result."""
        thousands = max(1, result.calls) / 1000
        latency = sorted(result.latency)
        return cls(
            service,
            scenario,
            algorithm,
            _quantile(latency, 0.5),
            _quantile(latency, 0.99),
            _quantile(latency, 0.999),
            _quantile(sorted(result.wait), 0.99),
            result.answered / max(1, result.calls),
            result.failed,
            result.refused,
            result.lost_with_vm,
            result.doubled,
            result.attempts / max(1, result.calls),
            result.messages / thousands,
            result.message_bytes / thousands,
            result.busiest_vm_bytes_per_s,
            result.probes / thousands,
            _quantile(sorted(result.high), 0.99),
            _quantile(sorted(result.high_in_burst), 0.99),
            result.late_answered / max(1, result.late_calls),
        )


def run(
    seeds: tuple[int, ...] = SEEDS,
    scenarios: tuple[Scenario, ...] = SCENARIOS,
    deployments: tuple[Deployment, ...] = DEPLOYMENTS,
    algorithms: tuple[str, ...] = tuple(ALGORITHMS),
    workers: int = WORKERS,
) -> list[Row]:
    """Replay every scenario of every service with every algorithm; return the measurements."""
    keys = [(d, s, w) for s in scenarios for d in deployments for w in algorithms]
    tasks = [(*key, seed) for key in keys for seed in seeds]
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(replay, *zip(*tasks, strict=True), chunksize=1))
    rows: list[Row] = []
    for index, (deployment, scenario, algorithm) in enumerate(keys):
        total = Result()
        for result in results[index * len(seeds) : (index + 1) * len(seeds)]:
            total.add(result)
        rows.append(Row.from_result(deployment.name, scenario.name, algorithm, total))
    return rows


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(len(values) * share))] if values else 0.0


def main(arguments: list[str]) -> int:
    """Print the table and return the exit code; arguments name the scenarios, by default all."""
    chosen = tuple(item for item in SCENARIOS if not arguments or item.name in arguments)
    print(
        f"{'scenario':22}{'service':19}{'way':16}"
        "   p50    p99  p99.9  wait99  good%  fail   refu  lost dbl   att"
        "  msg/k    B/k  VM B/s  prb/k  high99 burst99"
    )
    rows = run(scenarios=chosen)
    for row in rows:
        print(
            f"{row.scenario:22}{row.service:19}{row.algorithm:16}{row.p50_ms:6.1f}{row.p99_ms:7.1f}"
            f"{row.p999_ms:7.1f}{row.wait_p99_ms:8.1f}{row.goodput * 100:7.2f}{row.failed:6}"
            f"{row.refused:7}{row.lost_with_vm:6}{row.doubled:4}{row.attempts_per_call:6.3f}"
            f"{row.messages_per_1000:7.0f}{row.bytes_per_1000:7.0f}"
            f"{row.busiest_vm_bytes_per_s:8.0f}{row.probes_per_1000:7.2f}"
            f"{row.high_p99_ms:8.1f}{row.high_burst_p99_ms:8.1f}"
        )
    return 1 if check_bounds(build_figures(rows)) else 0


def build_figures(rows: list[Row]) -> list[Figure]:
    """Return the figures that have bounds: the worst ratio among the services per scenario."""
    figures: list[Figure] = []
    for scenario in dict.fromkeys(row.scenario for row in rows):
        groups = [
            {
                row.algorithm: row
                for row in rows
                if (row.scenario, row.service) == (scenario, service)
            }
            for service in dict.fromkeys(row.service for row in rows)
        ]
        name = f"replay.{scenario}"
        ours = [group["cloverhook"] for group in groups]
        if scenario == OUTAGE:
            figures.append(Figure(f"{name}.attempts", max(row.attempts_per_call for row in ours)))
            figures.append(Figure(f"{name}.late_goodput", min(row.late_goodput for row in ours)))
            continue
        p99 = max(group["cloverhook"].p99_ms / group["oracle"].p99_ms for group in groups)
        p999 = max(group["cloverhook"].p999_ms / group["oracle"].p999_ms for group in groups)
        figures.append(Figure(f"{name}.p99", p99, "of the oracle"))
        figures.append(Figure(f"{name}.p999", p999, "of the oracle"))
        waiting = max(_waiting_ratio(group) for group in groups)
        figures.append(Figure(f"{name}.waiting_p99", waiting, "of the best baseline"))
        figures.append(Figure(f"{name}.vm_bytes", max(row.busiest_vm_bytes_per_s for row in ours)))
        if any(row.high_burst_p99_ms for row in ours):
            burst = max(row.high_burst_p99_ms / row.high_p99_ms for row in ours)
            figures.append(Figure(f"{name}.high_burst", burst, "of its steady p99"))
    figures.append(Figure("replay.doubled", max(row.doubled for row in rows)))
    return figures


def _waiting_ratio(group: dict[str, Row]) -> float:
    best = min(group[name].wait_p99_ms for name in LOCAL_ALGORITHMS)
    return group["cloverhook"].wait_p99_ms / best


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
