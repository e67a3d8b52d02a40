"""Replays seeded traces through the decision objects and compares them with other ways.

`python -m bench.replay` prints a table.  Only the load on the decisions is modelled: arrivals,
work, slots and the ways between machines; processor time of daemons is not.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from bench.replay_traces import DEPLOYMENTS, SCENARIOS, Deployment, Scenario
from bench.replay_ways import WAYS, replay
from bench.replay_world import Result

__all__ = ["Row", "main", "run"]

SEEDS = (1, 2, 3, 4, 5)
WORKERS = 8


@dataclass(frozen=True, slots=True)
class Row:
    """The measures of one way in one scenario at one service, over all seeds."""

    service: str
    scenario: str
    way: str
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
    def from_result(cls, service: str, scenario: str, way: str, result: Result) -> "Row":
        """Work out the measures of a result."""
        thousands = max(1, result.calls) / 1000
        latency = sorted(result.latency)
        return cls(
            service,
            scenario,
            way,
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
    ways: tuple[str, ...] = tuple(WAYS),
    workers: int = WORKERS,
) -> list[Row]:
    """Replay every scenario of every service in every way and return the measures."""
    keys = [(d, s, w) for s in scenarios for d in deployments for w in ways]
    tasks = [(*key, seed) for key in keys for seed in seeds]
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(replay, *zip(*tasks, strict=True), chunksize=1))
    rows: list[Row] = []
    for index, (deployment, scenario, way) in enumerate(keys):
        total = Result()
        for result in results[index * len(seeds) : (index + 1) * len(seeds)]:
            total.add(result)
        rows.append(Row.from_result(deployment.name, scenario.name, way, total))
    return rows


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(len(values) * share))] if values else 0.0


def main(arguments: list[str]) -> int:
    """Print the table; arguments name the scenarios, by default all."""
    chosen = tuple(item for item in SCENARIOS if not arguments or item.name in arguments)
    print(
        f"{'scenario':22}{'service':19}{'way':16}"
        "   p50    p99  p99.9  wait99  good%  fail   refu  lost dbl   att"
        "  msg/k    B/k  VM B/s  prb/k  high99 burst99"
    )
    for row in run(scenarios=chosen):
        print(
            f"{row.scenario:22}{row.service:19}{row.way:16}{row.p50_ms:6.1f}{row.p99_ms:7.1f}"
            f"{row.p999_ms:7.1f}{row.wait_p99_ms:8.1f}{row.goodput * 100:7.2f}{row.failed:6}"
            f"{row.refused:7}{row.lost_with_vm:6}{row.doubled:4}{row.attempts_per_call:6.3f}"
            f"{row.messages_per_1000:7.0f}{row.bytes_per_1000:7.0f}"
            f"{row.busiest_vm_bytes_per_s:8.0f}{row.probes_per_1000:7.2f}"
            f"{row.high_p99_ms:8.1f}{row.high_burst_p99_ms:8.1f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
